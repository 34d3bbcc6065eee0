//! What members know and tell of each other.

use crate::InstanceId;
use crate::leaving::Source;
use std::net::SocketAddr;
use std::time::Duration;

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It answers.
    Alive,
    /// It missed heartbeats and may refute.
    Suspect,
    /// It is stopping.
    Leaving,
    /// It counts as gone.
    Dead,
}

/// One member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Unique for each start of a process.
    pub id: InstanceId,
    /// Address for other members.
    pub peer: SocketAddr,
    /// Address for callers.
    pub http: SocketAddr,
    /// Data centre it stands in.
    pub data_centre: String,
    /// Raised by the member itself to refute a suspicion.
    pub incarnation: u64,
    /// How it stands.
    pub state: State,
    /// Configuration in force there when it was last heard of directly. News
    /// doesn't carry it on: with every member's at every change it would be the
    /// largest part of all traffic.
    pub generation: u64,
}

/// News that members pass on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// A member's state.
    Member(Member),
    /// A target leaves or came back.
    Leaving {
        /// The target.
        target: String,
        /// The source's stamp; higher wins.
        since: u64,
        /// Whether it leaves.
        leaving: bool,
        /// Whose word this is.
        witness: Source,
    },
    /// A job was cancelled.
    JobCancelled(String),
    /// A shard has a new job, with the time of its acceptance.
    JobAccepted(u32, u64),
    /// A generation of the configuration is in force somewhere.
    Generation(u64),
}

/// Times that rule the table.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Silence of a suspect until it counts as dead.
    pub suspect_timeout: Duration,
    /// How long a dead member is still tried now and then; a cut that heals
    /// within it needs no help from the platform's list.
    pub dead_retention: Duration,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            heartbeat_interval: Duration::from_millis(500),
            suspect_timeout: Duration::from_secs(3),
            dead_retention: Duration::from_secs(7_200),
        }
    }
}
