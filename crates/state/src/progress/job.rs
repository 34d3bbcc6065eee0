//! A job as it was accepted, and its progress, as they are kept.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Identifies a job; its submitter chose it.
pub type JobId = String;
/// Identifies an item within all jobs; its submitter chose it.
pub type ItemId = String;
/// Milliseconds since the Unix epoch.
pub type Millis = u64;

/// One item of a job, as it was submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Its id.
    pub id: ItemId,
    /// Path of its request.
    pub path: String,
    /// Headers of its request.
    pub headers: Vec<(String, String)>,
    /// Body of its request, in base64.
    pub body: String,
    /// Tokens of its prompt and most tokens out, together.
    pub tokens: u64,
}

/// The result of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The item.
    pub item: ItemId,
    /// Whether it was done; otherwise it failed for good.
    pub is_complete: bool,
    /// The data of all its events, in order.
    pub text: String,
}

/// The instance that runs a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Its id, unique for each start of a process.
    pub instance: u64,
    /// Its address for other instances.
    pub address: SocketAddr,
}

/// A job as it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// Host of its route and its items.
    pub host: String,
    /// Path it was submitted to; with the host, this leads to its route.
    pub path: String,
    /// When it was accepted.
    pub accepted: Millis,
    /// When its results are due.
    pub due: Millis,
    /// When what isn't done may be given up.
    #[serde(rename = "give_up")]
    pub expires: Millis,
    /// The instance that accepted it, and runs it until another takes it over.
    #[serde(rename = "acceptor")]
    pub accepted_by: Holder,
    /// Its items.
    pub items: Vec<Item>,
}

impl Job {
    /// A small job for examples and tests.
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
            accepted: 0,
            due: 18_000,
            expires: 60_000,
            accepted_by: Holder { instance: 1, address: SocketAddr::from(([127, 0, 0, 1], 1)) },
            items: items.iter().map(item).collect(),
        }
    }

    /// Tokens of all its items.
    pub fn tokens(&self) -> u64 {
        self.items.iter().map(|item| item.tokens).sum()
    }
}

/// How often an item failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureCount {
    /// Runs that ended in a failure of the target.
    pub runs: u32,
    /// Whether a target said that the item can never be done.
    #[serde(rename = "is_impossible")]
    pub is_permanent: bool,
}

/// What has happened to a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Who holds it; `None` while its acceptor does.
    pub holder: Option<Holder>,
    /// Results in the order in which they are listed; it only grows.
    pub outcomes: Vec<Outcome>,
    /// Items that failed and may be tried again.
    pub failures: BTreeMap<ItemId, FailureCount>,
    /// Whether its submitter ended it.
    pub ended: bool,
}
