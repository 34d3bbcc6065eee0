//! Records of the log and the entry that carries a group of them.

use crate::part::ResultPartRef;
use protocol::{Error, InstanceId, JobId, Millis, chat};
use serde::{Deserialize, Serialize};

/// Body of a plain service's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// Text.
    Text(String),
    /// Anything else.
    Bytes(Vec<u8>),
}

impl Body {
    /// Keeps `bytes` as text where they are.
    pub fn new(bytes: Vec<u8>) -> Body {
        match String::from_utf8(bytes) {
            Ok(text) => Body::Text(text),
            Err(error) => Body::Bytes(error.into_bytes()),
        }
    }

    /// The bytes again.
    pub fn into_bytes(self) -> Vec<u8> {
        match self {
            Body::Text(text) => text.into_bytes(),
            Body::Bytes(bytes) => bytes,
        }
    }
}

/// The outcome of a keyed request, as it is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredOutcome {
    /// A whole answer of a model engine.
    Chat(chat::Outcome),
    /// A whole answer of a plain service.
    Plain {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
        /// Body.
        body: Body,
    },
    /// A failure that is final, since the request may not run again.
    Failed(Error),
}

/// What an accepted job is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id, made from the caller's key.
    pub job: JobId,
    /// Digest of the whole body.
    pub digest: u64,
    /// Upload whose chunk objects hold the items.
    pub upload: String,
    /// Service that runs the items.
    pub service: String,
    /// Due time; 0 when none was given.
    pub due: Millis,
    /// Number of items.
    pub items: u64,
    /// First item of each chunk; chunk `i` ends where `i + 1` starts.
    pub starts: Vec<u64>,
    /// When it was accepted.
    pub at: Millis,
}

/// One fact.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A request that may run once is about to be sent.
    Claimed {
        /// Key.
        key: String,
        /// Digest of the request.
        digest: u64,
        /// The one attempt.
        attempt: u64,
        /// Time after which no answer of that attempt is awaited.
        deadline: Millis,
        /// When the key was issued.
        issued: Millis,
    },
    /// The attempt never left; the key is free again.
    Released {
        /// Key.
        key: String,
        /// The attempt.
        attempt: u64,
        /// When the key was issued.
        issued: Millis,
    },
    /// A request's outcome; the first one counts.
    Finished {
        /// Key.
        key: String,
        /// Digest of the request.
        digest: u64,
        /// When the key was issued.
        issued: Millis,
        /// The outcome.
        outcome: StoredOutcome,
    },
    /// A job is accepted.
    Accepted(JobSpec),
    /// A chunk is handed to an instance.
    #[serde(rename = "handed")]
    Assigned {
        /// Job.
        job: JobId,
        /// Chunk.
        chunk: u32,
        /// Number of this hand-out, from 1; fences the earlier ones.
        attempt: u32,
        /// Who runs it.
        holder: InstanceId,
    },
    /// Some items of a chunk have outcomes, or were started.
    Progressed {
        /// Job.
        job: JobId,
        /// Chunk.
        chunk: u32,
        /// Hand-out that ran them.
        attempt: u32,
        /// The object that holds them, if anything is new.
        part: Option<ResultPartRef>,
        /// Items with an outcome in it.
        done: u32,
        /// Of those, failed.
        failed: u32,
        /// What becomes of the chunk.
        #[serde(rename = "after")]
        disposition: Disposition,
    },
    /// A job is cancelled.
    Cancelled {
        /// Job.
        job: JobId,
    },
    /// The index of a finished job is written; its chunks need not be kept here.
    Archived {
        /// Job.
        job: JobId,
    },
}

/// What becomes of a chunk after a progress report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Disposition {
    /// The holder goes on.
    Continue,
    /// The holder gives it back.
    #[serde(rename = "give_back")]
    Release,
    /// All its items have outcomes.
    Done,
}

/// A group of records, appended as one object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Unique for each append, to know one's own after a lost answer.
    pub token: String,
    /// When it was written, by the writer's clock.
    pub at: Millis,
    /// The records, in order.
    pub records: Vec<Record>,
}

impl Entry {
    /// The bytes that the platform keeps.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads bytes of the platform.
    ///
    /// # Errors
    ///
    /// What is wrong with them.
    pub fn decode(bytes: &[u8]) -> Result<Entry, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}
