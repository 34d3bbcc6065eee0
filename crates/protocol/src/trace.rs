//! Recorded traces: JSON lines with stated outcomes.

use serde::{Deserialize, Serialize};

/// One line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case", deny_unknown_fields)]
pub enum Event {
    /// A request of a caller.
    Request(Request),
    /// A batch job.
    Job(Job),
    /// A fault of a stand-in, given to its control call.
    Fault(Fault),
}

/// What a trace says must come of an event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// The whole answer.
    Completed,
    /// The same text as the earlier event with this name.
    SameAs(String),
    /// An answer that names this error kind.
    Error(crate::Kind),
    /// Every item ends, and just this many fail.
    Failed(u64),
    /// The job ends as cancelled.
    Cancelled,
}

/// A request of a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Milliseconds from the start of the trace.
    pub at: u64,
    /// Name that other lines refer to.
    pub name: String,
    /// Class that the report groups by.
    pub class: String,
    /// Service called.
    pub service: String,
    /// Prompt.
    pub prompt: String,
    /// Request key, if any.
    #[serde(default)]
    pub key: Option<String>,
    /// `false` when it may run at most once.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Most tokens.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Stated outcome.
    pub expect: Expect,
}

fn yes() -> bool {
    true
}

/// A batch job of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// Milliseconds from the start of the trace.
    pub at: u64,
    /// Name that other lines refer to.
    pub name: String,
    /// Service that runs the items.
    pub service: String,
    /// Key of the job.
    pub key: String,
    /// How many items; item `i` asks `prompt` followed by `i`.
    pub items: u64,
    /// Start of each item's prompt.
    pub prompt: String,
    /// Prompts given as they are, after the counted ones.
    #[serde(default)]
    pub extra: Vec<String>,
    /// Most tokens of each item.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Milliseconds from `at` to the due time; 0 when there is none.
    #[serde(default)]
    pub due: u64,
    /// Milliseconds from `at` after which it is cancelled.
    #[serde(default)]
    pub cancel_after: Option<u64>,
    /// Stated outcome.
    pub expect: Expect,
}

/// A fault of a stand-in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Milliseconds from the start of the trace.
    pub at: u64,
    /// Name of the stand-in, as the caller of the replay maps it to an address.
    pub standin: String,
    /// Body of the control call.
    pub control: serde_json::Value,
}
