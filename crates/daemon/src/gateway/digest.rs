//! What two instances tell each other when they compare their states.

use coordination::evacuation::Digest as EvacuationDigest;
use protocol::routing::Version;
use serde::{Deserialize, Serialize};

/// Digest of what an instance knows, for comparison with other instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateDigest {
    /// Version of the configuration in force; 0 for none.
    pub config: Version,
    /// Digest of the registry of targets.
    pub targets: u64,
    /// Revision up to which all changes of the registry are known; `None` from a version of the
    /// program that doesn't tell.
    #[serde(default)]
    pub targets_through: Option<u64>,
    /// Digest of the open jobs and their holders.
    pub jobs: u64,
    /// Digest of the crash reports; `None` until they were received after the start.
    #[serde(rename = "strikes")]
    pub crash_reports: Option<u64>,
    /// Digest of the members; `None` from a version of the program that doesn't compare them.
    #[serde(default)]
    pub members: Option<u64>,
    /// Digest of the evacuations; `None` from a version of the program without evacuations.
    #[serde(default)]
    pub evacuations: Option<EvacuationDigest>,
}

/// Whether an instance can reach the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Connectivity {
    /// Whether the instance has recently failed to reach it.
    #[serde(rename = "is_lost")]
    pub is_disconnected: bool,
    /// Latest known period in which the platform responded to any instance; `None` if it never
    /// did.
    #[serde(rename = "answers")]
    pub uptime: Option<Uptime>,
}

/// A period in which the platform responded without a long gap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Uptime {
    /// Milliseconds since the first response.
    pub since_ms: u64,
    /// Milliseconds since the last response.
    pub last_ms: u64,
}
