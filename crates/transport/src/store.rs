//! The platform's object API, behind a small trait.

use bytes::Bytes;
use protocol::Millis;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

/// Version of an object; changes with each write.
pub type Version = u64;

/// An object as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Its version.
    pub version: Version,
    /// Its value.
    pub value: Bytes,
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(Version),
    /// None.
    Any,
}

/// How a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The condition isn't met.
    Conflict,
    /// The call was never taken in: no connection, or over the rate.
    Away(String),
    /// No answer that tells; a write may have taken effect.
    Lost(String),
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Fault::Conflict => write!(f, "the condition of the write isn't met"),
            Fault::Away(text) => write!(f, "platform away: {text}"),
            Fault::Lost(text) => write!(f, "answer lost: {text}"),
        }
    }
}

impl std::error::Error for Fault {}

/// How the platform's list shows an instance or a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// `instance` or the target's name.
    pub name: String,
    /// `true` when it is a daemon of this system.
    pub daemon: bool,
    /// Address; of a daemon, the one for peers.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
    /// When that was noted.
    pub since: Millis,
}

/// What a watch brings: keys that changed, and where to go on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision to watch from next.
    pub revision: u64,
    /// Keys that changed.
    pub keys: Vec<String>,
}

/// The object API.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads an object; `None` when there is none.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Object>, Fault>> + Send;

    /// Writes an object under a condition and gives its new version.
    fn put(
        &self,
        key: &str,
        value: Bytes,
        condition: Condition,
    ) -> impl Future<Output = Result<Version, Fault>> + Send;

    /// Deletes an object; one that isn't there is no fault.
    fn delete(&self, key: &str) -> impl Future<Output = Result<(), Fault>> + Send;

    /// Keys below `prefix` after the key `after`, in order, at most `most`.
    fn list(
        &self,
        prefix: &str,
        after: &str,
        most: usize,
    ) -> impl Future<Output = Result<Vec<String>, Fault>> + Send;

    /// Waits up to `wait` for changes below `prefix` after `revision`.
    fn watch(
        &self,
        prefix: &str,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, Fault>> + Send;

    /// The lagging list of instances and targets.
    fn instances(&self) -> impl Future<Output = Result<Vec<Listed>, Fault>> + Send;
}
