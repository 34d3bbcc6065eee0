//! Batch jobs in the API of callers.

use crate::{Kind, Millis};
use serde::{Deserialize, Serialize};

/// First line of a job's body; one [`Item`] a line follows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobHeader {
    /// Service that runs the items.
    pub service: String,
    /// Due time in Unix milliseconds, 0 for none; jobs that are due earlier run first.
    #[serde(default)]
    pub due: Millis,
}

/// One item of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Item {
    /// Text of the user message.
    pub prompt: String,
    /// `false` if the item may run at most once; `true` by default.
    #[serde(default = "default_true", skip_serializing_if = "is_true")]
    pub repeatable: bool,
    /// Maximum number of tokens to generate; if absent, the target decides.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
}

fn default_true() -> bool {
    true
}

fn is_true(value: &bool) -> bool {
    *value
}

/// Phase of a job's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Accepted; some items have no outcome yet.
    Running,
    /// Every item has an outcome.
    Finished,
    /// Cancelled; items that had no outcome are cancelled too.
    Cancelled,
}

/// Status of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Id of the job.
    pub job: String,
    /// Service that runs the items.
    pub service: String,
    /// Current phase.
    pub phase: Phase,
    /// Total number of items.
    pub items: u64,
    /// Number of items with an outcome.
    pub done: u64,
    /// Number of items among `done` that failed.
    pub failed: u64,
    /// Due time in Unix milliseconds; 0 if none was given.
    pub due: Millis,
    /// Number of chunk claims so far; more than the number of chunks if work was repeated.
    pub claims: u64,
}

/// Outcome of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The target returned a complete response.
    Completed {
        /// Text of the response.
        text: String,
    },
    /// Failed for good; there is no further attempt.
    Failed {
        /// Error kind.
        kind: Kind,
        /// Human-readable cause.
        reason: String,
    },
    /// The job was cancelled before the item had an outcome.
    Cancelled,
}

/// One line of the results.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultLine {
    /// Position of the item in the job, from 0.
    pub item: u64,
    /// Outcome of the item.
    #[serde(flatten)]
    pub outcome: Outcome,
}

/// A page of results.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultPage {
    /// Outcomes in item order; items without one are left out.
    pub results: Vec<ResultLine>,
    /// Position of the first item of the next page; absent on the last page.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub next: Option<u64>,
}
