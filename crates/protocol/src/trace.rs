//! Traces to replay: JSON lines, each with its expected outcome.

use serde::{Deserialize, Serialize};

/// One line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case", deny_unknown_fields)]
pub enum Event {
    /// An online request.
    Request(Request),
    /// A batch job.
    Job(Job),
    /// A fault to inject into a stand-in through its control endpoint.
    Fault(Fault),
}

/// Expected outcome of an event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// A complete response.
    Completed,
    /// The same text as the earlier event of this name.
    SameAs(String),
    /// A response with this error kind.
    Error(crate::Kind),
    /// A finished job with exactly this many failed items.
    Failed(u64),
    /// A cancelled job.
    Cancelled,
}

/// An online request of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Milliseconds from the start of the trace.
    pub at: u64,
    /// Name by which other events refer to this one.
    pub name: String,
    /// Label by which the report groups requests.
    pub class: String,
    /// Name of the service to call.
    pub service: String,
    /// Text of the user message.
    pub prompt: String,
    /// Idempotency key, if any.
    #[serde(default)]
    pub key: Option<String>,
    /// `false` if the request may run at most once; `true` by default.
    #[serde(default = "default_true")]
    pub repeatable: bool,
    /// Whether the response is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Expected outcome.
    pub expect: Expect,
}

fn default_true() -> bool {
    true
}

/// A batch job of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// Milliseconds from the start of the trace.
    pub at: u64,
    /// Name by which other events refer to this one.
    pub name: String,
    /// Service that runs the items.
    pub service: String,
    /// Idempotency key of the job.
    pub key: String,
    /// Number of generated items; the prompt of item `i` is `prompt` followed by `i`.
    pub items: u64,
    /// Prefix of the generated prompts.
    pub prompt: String,
    /// Prompts of further items, sent unchanged after the generated ones.
    #[serde(default)]
    pub extra: Vec<String>,
    /// Maximum number of tokens to generate for each item.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Milliseconds from `at` to the due time; 0 if there is none.
    #[serde(default)]
    pub due: u64,
    /// Milliseconds from `at` after which the job is cancelled.
    #[serde(default)]
    pub cancel_after: Option<u64>,
    /// Expected outcome.
    pub expect: Expect,
}

/// A fault to inject into a stand-in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Milliseconds from the start of the trace.
    pub at: u64,
    /// Name of the stand-in; the replay command maps it to an address.
    pub standin: String,
    /// Body of the request to the control endpoint.
    pub control: serde_json::Value,
}
