//! Snapshots: what bounds the replay when a shard changes hands.
//!
//! Claims and jobs are written whole. Finished keys are far more; each snapshot
//! writes only those since the last one, as a segment that never changes, and
//! names the segments that still hold keys inside the retention window. The
//! head is written last, so a snapshot that was only half written is never read.

use crate::jobs::{Job, Jobs};
use crate::keys::{Claim, Finished, Keys};
use crate::shard::{Policy, Shard};
use protocol::{Millis, ShardId};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// A segment of finished keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Name of its object.
    pub name: String,
    /// Latest issue time of a key in it.
    pub newest: Millis,
}

/// Head of a snapshot, a small object that names the rest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// First entry that the snapshot doesn't hold.
    pub next: u64,
    /// Name of the parts.
    pub name: String,
    /// Number of parts.
    pub parts: usize,
    /// Segments of finished keys.
    pub segments: Vec<Segment>,
    /// Entries before this one are deleted.
    #[serde(default)]
    #[serde(rename = "swept")]
    pub deleted_before: u64,
}

/// Contents of the parts, once joined.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    /// Claims without an outcome.
    pub claims: HashMap<String, Claim>,
    /// Attempts that were given back.
    pub released: HashMap<u64, Millis>,
    /// Jobs.
    pub jobs: Vec<Job>,
}

/// Finished keys as a segment keeps them.
pub type FinishedKeys = Vec<(u64, Finished)>;

impl Body {
    /// What a snapshot of `shard` holds besides finished keys.
    pub fn of(shard: &Shard) -> Body {
        Body {
            claims: shard.keys().claims().clone(),
            released: shard.keys().released().clone(),
            jobs: shard.jobs().all().cloned().collect(),
        }
    }

    /// The shard again.
    pub fn restore(
        self,
        id: ShardId,
        policy: Policy,
        next: u64,
        finished: FinishedKeys,
        now: Millis,
    ) -> Shard {
        let keys = Keys::restore(self.claims, self.released, finished);
        Shard::restore(id, policy, next, keys, Jobs::restore(self.jobs, now))
    }
}

/// Segments that still hold keys issued at or after `before`.
pub fn retained_segments(segments: &[Segment], before: Millis) -> Vec<Segment> {
    segments.iter().filter(|segment| segment.newest >= before).cloned().collect()
}
