//! What is asked of a shard, and its answers.

use crate::part::ResultPartRef;
use crate::record::{Disposition, JobSpec, StoredOutcome};
use protocol::{Error, InstanceId, JobId, Millis, job};
use serde::{Deserialize, Serialize};

/// A command to the owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// A keyed request arrives.
    Begin {
        /// Key, with the caller's scope.
        key: String,
        /// Digest of the request.
        digest: u64,
        /// Whether it may run more than once.
        repeatable: bool,
        /// Id of this attempt.
        attempt: u64,
        /// Time after which its answer isn't awaited.
        deadline: Millis,
        /// When the key was issued.
        issued: Millis,
    },
    /// A keyed request has an outcome.
    Finish {
        /// Key, with the caller's scope.
        key: String,
        /// Digest of the request.
        digest: u64,
        /// When the key was issued.
        issued: Millis,
        /// The outcome.
        outcome: StoredOutcome,
    },
    /// A begun request was never sent.
    Release {
        /// Key, with the caller's scope.
        key: String,
        /// Its attempt.
        attempt: u64,
        /// When the key was issued.
        issued: Millis,
    },
    /// A job whose chunks are written.
    Accept(JobSpec),
    /// An instance has room for a chunk of one of these services.
    Claim {
        /// Who asks.
        holder: InstanceId,
        /// Services it has room for.
        services: Vec<String>,
    },
    /// A holder reports on a chunk.
    Progress {
        /// Job.
        job: JobId,
        /// Chunk.
        chunk: u32,
        /// Its hand-out.
        attempt: u32,
        /// The object written, if there is news.
        part: Option<ResultPartRef>,
        /// Items with an outcome in it.
        done: u32,
        /// Of those, failed.
        failed: u32,
        /// What becomes of the chunk.
        #[serde(rename = "after")]
        disposition: Disposition,
    },
    /// Stop a job.
    Cancel {
        /// Job.
        job: JobId,
    },
    /// Where a job stands.
    Status {
        /// Job.
        job: JobId,
    },
    /// Where a job's results are.
    Results {
        /// Job.
        job: JobId,
        /// First item wanted.
        from: u64,
        /// Most items wanted.
        #[serde(rename = "most")]
        limit: u64,
    },
    /// A job's index is written.
    Archive {
        /// Job.
        job: JobId,
    },
}

/// Where the results of some items are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkResults {
    /// Chunk.
    pub chunk: u32,
    /// Its first item.
    pub start: u64,
    /// Item after its last.
    pub end: u64,
    /// Its result objects, in the order that counts.
    pub parts: Vec<ResultPartRef>,
}

/// A chunk that is handed out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkAssignment {
    /// Job.
    pub job: JobId,
    /// Upload whose objects hold the items.
    pub upload: String,
    /// Service that runs the items.
    pub service: String,
    /// Due time of the job.
    pub due: Millis,
    /// Chunk.
    pub chunk: u32,
    /// Number of this hand-out.
    pub attempt: u32,
    /// Result objects of earlier hand-outs.
    pub parts: Vec<ResultPartRef>,
}

/// The owner's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The request may run.
    #[serde(rename = "go")]
    Proceed,
    /// The request has an outcome, kept in this entry.
    #[serde(rename = "kept")]
    AlreadyFinished {
        /// Position of the entry.
        position: u64,
    },
    /// What was asked for is recorded.
    Recorded,
    /// The outcome is recorded, but an earlier one counts, kept in this entry.
    #[serde(rename = "earlier")]
    Duplicate {
        /// Position of the entry.
        position: u64,
    },
    /// A chunk to run.
    Work(ChunkAssignment),
    /// No chunk to run now.
    NoWork,
    /// The holder goes on.
    Continue,
    /// The holder stops: the chunk is no longer its own, or the job is cancelled.
    Stop,
    /// Where a job stands.
    Status(job::Status),
    /// Where results are.
    Results {
        /// Where the job stands.
        status: job::Status,
        /// Chunks of the items asked for; empty when `archived`.
        #[serde(rename = "places")]
        chunks: Vec<ChunkResults>,
        /// Whether the index object has the places.
        archived: bool,
    },
}

/// An answer or an error of the closed list.
pub type Answer = Result<Reply, Error>;

impl Command {
    /// The key or job that the command is about; its hash gives the shard.
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
