//! A job as it was accepted, and its progress, in their stored form.

use coordination::residency::Residency;
use protocol::WorkspaceId;
use protocol::routing::Version;
use serde::{Deserialize, Deserializer, Serialize, de};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Id of a job, chosen by its submitter.
pub type JobId = String;
/// Id of an item, chosen by its submitter; unique across jobs.
pub type ItemId = String;
/// Milliseconds since the Unix epoch.
pub type Millis = u64;

/// Maximum of an item's tokens; sums over all jobs can't overflow.
pub const MAX_ITEM_TOKENS: u64 = 1 << 32;
/// Maximum of a time in a job: the end of the year 9999.
pub const MAX_TIME: Millis = 253_402_300_799_999;

/// One item of a job, as it was submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Id, unique across jobs.
    pub id: ItemId,
    /// Path of the request.
    pub path: String,
    /// Headers of the request.
    pub headers: Vec<(String, String)>,
    /// Body of the request, in base64.
    pub body: String,
    /// Prompt tokens plus the maximum of output tokens; at most [`MAX_ITEM_TOKENS`].
    #[serde(deserialize_with = "at_most::<MAX_ITEM_TOKENS, _>")]
    pub tokens: u64,
}

/// The result of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Id of the item.
    pub item: ItemId,
    /// Whether the item succeeded; otherwise it failed permanently.
    pub is_complete: bool,
    /// The data of all events, in order; empty for a failed item.
    pub text: String,
}

/// The instance that holds a job: it runs the items and writes the progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Instance id, unique for each start of a process.
    pub instance: u64,
    /// Address for other instances.
    pub address: SocketAddr,
}

/// A job as it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Id, chosen by the submitter.
    pub id: JobId,
    /// Host of the submission, for the route and for the items' requests.
    pub host: String,
    /// Path of the submission.
    pub path: String,
    /// Name of its route when it was accepted; empty if it was stored by a version that kept none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub route: String,
    /// When it was accepted.
    #[serde(deserialize_with = "at_most::<MAX_TIME, _>")]
    pub accepted: Millis,
    /// When its results are due.
    #[serde(deserialize_with = "at_most::<MAX_TIME, _>")]
    pub due: Millis,
    /// When items without a result fail.
    #[serde(rename = "give_up", deserialize_with = "at_most::<MAX_TIME, _>")]
    pub expires: Millis,
    /// The instance that accepted it, and holds it until another takes it over.
    #[serde(rename = "acceptor")]
    pub accepted_by: Holder,
    /// Workspace of the submitter; `None` if it needed no API key, or if the job was stored by a
    /// version that kept no workspace.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<WorkspaceId>,
    /// Version of the configuration under which it was accepted; 0 if it was stored by a version
    /// that kept none.
    #[serde(default, skip_serializing_if = "is_unknown")]
    pub config: Version,
    /// Regions that its route and its workspace allowed then; all if it was stored by a version that
    /// kept none. They hold once the configuration lacks the route or the workspace.
    #[serde(default, skip_serializing_if = "Residency::is_unrestricted")]
    pub residency: Residency,
    /// Items in the order of submission.
    pub items: Vec<Item>,
}

/// Decodes a number that another writer may have left, and rejects one above `MAX`.
///
/// # Errors
///
/// The number is higher, or isn't an unsigned integer.
pub fn at_most<'de, const MAX: u64, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    let number = u64::deserialize(from)?;
    if number > MAX {
        return Err(de::Error::custom(format_args!("{number} is above {MAX}")));
    }
    Ok(number)
}

fn is_unknown(version: &Version) -> bool {
    *version == 0
}

impl Job {
    /// A job with the given item ids, for examples and tests.
    pub fn example(id: &str, items: &[&str]) -> Job {
        let item = |id: &&str| Item {
            id: (*id).to_owned(),
            path: format!("/batch/{id}"),
            headers: Vec::new(),
            body: String::new(),
            tokens: 10,
        };
        Job {
            id: id.to_owned(),
            host: String::from("a.example"),
            path: String::from("/batch/job"),
            route: String::from("batch"),
            accepted: 0,
            due: 18_000,
            expires: 60_000,
            accepted_by: Holder { instance: 1, address: SocketAddr::from(([127, 0, 0, 1], 1)) },
            workspace: None,
            config: 1,
            residency: Residency::default(),
            items: items.iter().map(item).collect(),
        }
    }

    /// Total tokens of all items.
    pub fn tokens(&self) -> u64 {
        self.items.iter().map(|item| item.tokens).sum()
    }
}

/// Failed runs of an item.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureCount {
    /// Number of runs that failed at the target.
    pub runs: u32,
    /// Whether a target reported that the item can never succeed.
    #[serde(rename = "is_impossible")]
    pub is_permanent: bool,
}

/// Mutable part of a job's stored state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Current holder; `None` until another instance takes over from the one that
    /// accepted the job.
    pub holder: Option<Holder>,
    /// Results in the order of their positions; append-only.
    pub outcomes: Vec<Outcome>,
    /// Failure counts of items that may be retried.
    pub failures: BTreeMap<ItemId, FailureCount>,
    /// Whether the submitter ended the job.
    pub ended: bool,
}
