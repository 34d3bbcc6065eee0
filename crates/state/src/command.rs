//! Commands to a shard and their replies.

use crate::part::ResultPartRef;
use crate::record::{Disposition, JobSpec, StoredOutcome};
use protocol::{Error, InstanceId, JobId, Millis, job};
use serde::{Deserialize, Serialize};

/// A command to the instance that owns a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// A request with an idempotency key arrives.
    Begin {
        /// Idempotency key, prefixed with the caller's scope.
        key: String,
        /// Digest of the request; another digest under the same key is a conflict.
        digest: u64,
        /// Whether the request may run more than once.
        repeatable: bool,
        /// Id of this attempt.
        attempt: u64,
        /// Time after which the caller no longer waits for the response.
        deadline: Millis,
        /// When the key was issued.
        issued: Millis,
    },
    /// A request with an idempotency key has an outcome.
    Finish {
        /// Idempotency key, prefixed with the caller's scope.
        key: String,
        /// Digest of the request; another digest under the same key is a conflict.
        digest: u64,
        /// When the key was issued.
        issued: Millis,
        /// The outcome to store.
        outcome: StoredOutcome,
    },
    /// A request that was begun was never sent to a target.
    Release {
        /// Idempotency key, prefixed with the caller's scope.
        key: String,
        /// Attempt that is released.
        attempt: u64,
        /// When the key was issued.
        issued: Millis,
    },
    /// A job is accepted; its chunk objects are written already.
    Accept(JobSpec),
    /// An instance can run a chunk of one of these services.
    Claim {
        /// The instance.
        holder: InstanceId,
        /// Services that it has capacity for.
        services: Vec<String>,
    },
    /// A holder reports progress on a chunk; also its heartbeat.
    Progress {
        /// Job that the chunk belongs to.
        job: JobId,
        /// Index of the chunk within the job.
        chunk: u32,
        /// Assignment that the report belongs to.
        attempt: u32,
        /// Result object that was written; `None` if there was nothing to write.
        part: Option<ResultPartRef>,
        /// Items with an outcome in the result object.
        done: u32,
        /// Items among `done` that failed.
        failed: u32,
        /// What happens to the chunk next.
        #[serde(rename = "after")]
        disposition: Disposition,
    },
    /// Cancels a job.
    Cancel {
        /// Job to cancel.
        job: JobId,
    },
    /// Reads a job's status.
    Status {
        /// Job to read.
        job: JobId,
    },
    /// Reads the locations of a job's results.
    Results {
        /// Job to read.
        job: JobId,
        /// Index of the first item.
        from: u64,
        /// Maximum number of items.
        #[serde(rename = "most")]
        limit: u64,
    },
    /// The index object of a completed job is written.
    Archive {
        /// Job that was indexed.
        job: JobId,
    },
}

/// Locations of a chunk's results.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkResults {
    /// Index of the chunk within the job.
    pub chunk: u32,
    /// Index of the first item.
    pub start: u64,
    /// Index after the last item.
    pub end: u64,
    /// Result objects in the order in which they were recorded.
    pub parts: Vec<ResultPartRef>,
}

/// A chunk that is assigned to a holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkAssignment {
    /// Job that the chunk belongs to.
    pub job: JobId,
    /// Upload whose objects hold the items.
    pub upload: String,
    /// Service that runs the items.
    pub service: String,
    /// Due time of the job; 0 when it has none.
    pub due: Millis,
    /// Index of the chunk within the job.
    pub chunk: u32,
    /// Number of this assignment, from 1.
    pub attempt: u32,
    /// Result objects of earlier assignments.
    pub parts: Vec<ResultPartRef>,
}

/// Reply of a shard's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The request may run.
    #[serde(rename = "go")]
    Proceed,
    /// The request already has an outcome.
    #[serde(rename = "kept")]
    AlreadyFinished {
        /// Position of the log entry that holds the outcome.
        position: u64,
    },
    /// The command is durably recorded.
    Recorded,
    /// An earlier outcome of the request takes precedence over this one.
    #[serde(rename = "earlier")]
    Duplicate {
        /// Position of the log entry that holds the earlier outcome.
        position: u64,
    },
    /// A chunk to run.
    Work(ChunkAssignment),
    /// No chunk to run now.
    NoWork,
    /// The holder keeps the chunk.
    Continue,
    /// The holder must stop: the chunk was reassigned or the job cancelled.
    Stop,
    /// Status of a job.
    Status(job::Status),
    /// Locations of a job's results.
    Results {
        /// Status of the job.
        status: job::Status,
        /// Chunks that hold the requested items; empty when `archived`.
        #[serde(rename = "places")]
        chunks: Vec<ChunkResults>,
        /// Whether the locations are in the job's index object instead.
        archived: bool,
    },
}

/// Result of a command; the error kinds are those of the public API.
pub type CommandResult = Result<Reply, Error>;

impl Command {
    /// Idempotency key or job id whose hash selects the shard; `None` for
    /// commands that any shard can serve.
    pub fn routing_key(&self) -> Option<&str> {
        match self {
            Command::Begin { key, .. }
            | Command::Finish { key, .. }
            | Command::Release { key, .. } => Some(key),
            Command::Accept(spec) => Some(&spec.job),
            Command::Progress { job, .. }
            | Command::Cancel { job }
            | Command::Status { job }
            | Command::Results { job, .. }
            | Command::Archive { job } => Some(job),
            Command::Claim { .. } => None,
        }
    }
}
