//! Members, and the updates that they exchange.

use crate::InstanceId;
use crate::leaving::Source;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// State of a member; the higher one wins at equal incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// It replies to heartbeats.
    Alive,
    /// It missed heartbeats and may refute the suspicion.
    Suspect,
    /// It is shutting down.
    Leaving,
    /// It is gone.
    Dead,
}

/// A member as others know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Unique for each start of a process.
    pub id: InstanceId,
    /// Address for other members.
    pub peer: SocketAddr,
    /// Address for callers.
    pub http: SocketAddr,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Incremented by the member itself to refute a suspicion.
    pub incarnation: u64,
    /// State as last reported.
    pub state: State,
    /// Generation of the configuration in force there, from direct messages only: broadcasting it
    /// for every member would dominate traffic.
    pub generation: u64,
}

/// An update that members pass on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// State of a member.
    Member(Member),
    /// A target leaves or has returned.
    Leaving {
        /// Name of the target.
        target: String,
        /// Version by the source's own clock; the highest wins.
        stamp: u64,
        /// Whether it leaves.
        leaving: bool,
        /// Origin of the notice.
        source: Source,
    },
    /// A job was cancelled.
    JobCancelled(String),
    /// A shard has accepted a job at this time.
    JobAccepted(u32, u64),
    /// A generation of the configuration is in force on some instance.
    Generation(u64),
}

/// Intervals and timeouts of membership.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Interval between heartbeats.
    pub heartbeat_interval: Duration,
    /// Time until a suspect counts as dead.
    pub suspect_timeout: Duration,
    /// How long dead members are still probed; a partition that heals within it needs no help from
    /// the platform's list.
    pub dead_retention: Duration,
    /// Whether members compare their views, which repairs what a member lacks. Then a new member
    /// is sent only later updates, instead of all by each that sends heartbeats to it.
    pub compares: bool,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            heartbeat_interval: Duration::from_millis(500),
            suspect_timeout: Duration::from_secs(3),
            dead_retention: Duration::from_secs(7_200),
            compares: false,
        }
    }
}
