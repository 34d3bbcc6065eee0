//! Batch jobs as callers see them.

use crate::{Kind, Millis};
use serde::{Deserialize, Serialize};

/// First line of a job's body; items follow, one on a line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobHeader {
    /// Service that runs the items.
    pub service: String,
    /// When the job should be ready, in Unix milliseconds; earlier goes first.
    #[serde(default)]
    pub due: Millis,
}

/// One item of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Item {
    /// What to answer.
    pub prompt: String,
    /// `false` when the item may run at most once.
    #[serde(default = "yes", skip_serializing_if = "is_yes")]
    pub repeatable: bool,
    /// Most tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
}

fn yes() -> bool {
    true
}

fn is_yes(value: &bool) -> bool {
    *value
}

/// Where a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Accepted; some items have no outcome.
    Running,
    /// Every item has an outcome.
    Finished,
    /// Cancelled; items without an outcome ended as cancelled.
    Cancelled,
}

/// Status of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Id of the job.
    pub job: String,
    /// Service that runs it.
    pub service: String,
    /// Where it stands.
    pub phase: Phase,
    /// Items in all.
    pub items: u64,
    /// Items with an outcome.
    pub done: u64,
    /// Of those, items that failed.
    pub failed: u64,
    /// Due time in Unix milliseconds; 0 when none was given.
    pub due: Millis,
    /// Hand-outs of chunks so far; more than chunks means repeated work.
    pub claims: u64,
}

/// Outcome of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The whole text.
    Completed {
        /// What the target answered.
        text: String,
    },
    /// No attempt will follow.
    Failed {
        /// Which row of the error table.
        kind: Kind,
        /// The reason.
        reason: String,
    },
    /// The job was cancelled first.
    Cancelled,
}

/// One line of the results.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultLine {
    /// Position of the item in the job, from 0.
    pub item: u64,
    /// Its outcome.
    #[serde(flatten)]
    pub outcome: Outcome,
}

/// A page of results.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultPage {
    /// Outcomes in item order; items without one are left out.
    pub results: Vec<ResultLine>,
    /// Where the next page starts; absent on the last.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub next: Option<u64>,
}
