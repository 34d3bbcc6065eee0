//! Log records, and the log entry that holds a group of them.

use crate::part::ResultPartRef;
use protocol::{Error, InstanceId, JobId, Millis, chat};
use serde::{Deserialize, Serialize};

/// Response body of a plain HTTP service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// Valid UTF-8.
    Text(String),
    /// Bytes that aren't valid UTF-8.
    Bytes(Vec<u8>),
}

impl Body {
    /// Holds `bytes` as text if they are valid UTF-8.
    pub fn new(bytes: Vec<u8>) -> Body {
        match String::from_utf8(bytes) {
            Ok(text) => Body::Text(text),
            Err(error) => Body::Bytes(error.into_bytes()),
        }
    }

    /// The bytes that [`Body::new`] was given.
    pub fn into_bytes(self) -> Vec<u8> {
        match self {
            Body::Text(text) => text.into_bytes(),
            Body::Bytes(bytes) => bytes,
        }
    }
}

/// Stored outcome of a request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredOutcome {
    /// Complete response of a model engine.
    Chat(chat::Outcome),
    /// Complete response of a plain HTTP service.
    Plain {
        /// HTTP status.
        status: u16,
        /// Value of the `content-type` header.
        content_type: String,
        /// Response body.
        body: Body,
    },
    /// A final failure: the request must not run again.
    Failed(Error),
}

/// Immutable description of an accepted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id, derived from the caller's idempotency key.
    pub job: JobId,
    /// Digest of the submitted body.
    pub digest: u64,
    /// Upload whose chunk objects hold the items.
    pub upload: String,
    /// Service that runs the items.
    pub service: String,
    /// Due time; 0 when none was given.
    pub due: Millis,
    /// Number of items.
    pub items: u64,
    /// Index of the first item of each chunk; chunk `i` ends where `i + 1` starts.
    pub starts: Vec<u64>,
    /// When the job was accepted.
    #[serde(rename = "at")]
    pub accepted_at: Millis,
}

/// One state change of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A request that may run at most once is about to be sent.
    Claimed {
        /// Idempotency key.
        key: String,
        /// Digest of the request.
        digest: u64,
        /// The only attempt that may send the request.
        attempt: u64,
        /// Time after which the caller no longer waits for the response.
        deadline: Millis,
        /// When the key was issued.
        issued: Millis,
    },
    /// The attempt was never sent; another one may claim the key.
    Released {
        /// Idempotency key.
        key: String,
        /// Attempt that is released.
        attempt: u64,
        /// When the key was issued.
        issued: Millis,
    },
    /// A request has an outcome; the first one of a key wins.
    Finished {
        /// Idempotency key.
        key: String,
        /// Digest of the request.
        digest: u64,
        /// When the key was issued.
        issued: Millis,
        /// Stored outcome.
        outcome: StoredOutcome,
    },
    /// A job is accepted.
    Accepted(JobSpec),
    /// A chunk is assigned to an instance.
    #[serde(rename = "handed")]
    Assigned {
        /// Job that the chunk belongs to.
        job: JobId,
        /// Index of the chunk within the job.
        chunk: u32,
        /// Number of this assignment, from 1; fences the earlier ones.
        attempt: u32,
        /// Instance that runs the chunk.
        holder: InstanceId,
    },
    /// Items of a chunk have outcomes or were started, or the chunk was released.
    Progressed {
        /// Job that the chunk belongs to.
        job: JobId,
        /// Index of the chunk within the job.
        chunk: u32,
        /// Assignment that ran the items.
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
    /// A job is cancelled.
    Cancelled {
        /// Job that is cancelled.
        job: JobId,
    },
    /// The index of a job that has ended is written; it replaces the job's chunks.
    Archived {
        /// Job that was indexed.
        job: JobId,
    },
}

/// What happens to a chunk after a progress report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Disposition {
    /// The holder keeps the chunk.
    Continue,
    /// The holder releases the chunk, which may be assigned again.
    #[serde(rename = "give_back")]
    Release,
    /// All items of the chunk have outcomes.
    Done,
}

/// Log entry: a group of records, appended as one object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Unique token of the append, by which the writer recognises its own entry
    /// when the outcome of the write is unknown.
    pub token: String,
    /// When it was written, by the writer's clock.
    pub at: Millis,
    /// Records in the order in which they are applied.
    pub records: Vec<Record>,
}

impl Entry {
    /// Encodes the entry as JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes an entry from JSON.
    ///
    /// # Errors
    ///
    /// Fails if `bytes` are not a valid entry.
    pub fn decode(bytes: &[u8]) -> Result<Entry, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}
