//! Batch jobs as loaded from the platform.

use platform::store::StoreError;
use serde::{Deserialize, Serialize};
use state::progress::{Holder, Job, Progress};

/// Reference to an overflow object with `count` items or results.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OverflowObject {
    pub(super) name: String,
    pub(super) count: u32,
}

/// Overflow objects of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overflow {
    pub(super) items: Vec<OverflowObject>,
    pub(super) results: Vec<OverflowObject>,
}

/// A job as loaded from the platform.
#[derive(Clone, Debug)]
pub struct StoredJob {
    /// Description and items.
    pub job: Job,
    /// Results, failures and holder.
    pub progress: Progress,
    /// Where the rest of it is stored.
    pub overflow: Overflow,
    /// Revision of the job's object.
    pub revision: u64,
}

impl StoredJob {
    /// Whether items remain to be run.
    pub fn is_open(&self) -> bool {
        !self.progress.ended && self.progress.outcomes.len() < self.job.items.len()
    }

    /// The holder according to the platform.
    pub fn holder(&self) -> Holder {
        self.progress.holder.unwrap_or(self.job.accepted_by)
    }
}

/// What the job's own object says, without its overflow objects.
#[derive(Clone, Debug)]
pub struct JobSummary {
    /// The holder according to the platform.
    pub holder: Holder,
    /// Whether items remain to be run.
    pub is_open: bool,
    /// The job with only those items that its own object holds.
    pub job: Job,
    /// Where the rest of it is stored.
    pub overflow: Overflow,
    /// Tokens of all items, including overflow.
    pub tokens: u64,
}

/// Why a job can't be loaded.
#[derive(Clone, Debug)]
pub enum LoadError {
    /// An object can't be decoded, or an overflow object is missing.
    Malformed(String),
    /// A call of the platform failed.
    Store(StoreError),
}

impl std::fmt::Display for LoadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            LoadError::Malformed(text) => write!(f, "malformed: {text}"),
            LoadError::Store(error) => write!(f, "read failed: {error}"),
        }
    }
}

impl From<serde_json::Error> for LoadError {
    fn from(error: serde_json::Error) -> LoadError {
        LoadError::Malformed(error.to_string())
    }
}
