//! Snapshots of a shard, which bound the log replay when its owner changes.
//!
//! Claims and jobs are written in full. Finished keys are far more numerous, so
//! each snapshot adds only those since the previous one, as an immutable segment,
//! and lists the segments with keys inside the retention window. The head is
//! written last, so an incomplete snapshot is never read.

use crate::jobs::{Job, Jobs};
use crate::keys::{Claim, Finished, Keys};
use crate::shard::{Policy, Shard};
use protocol::{Millis, ShardId};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Reference to an immutable segment of finished keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Name within [`crate::object_key::segment`].
    pub name: String,
    /// Latest issue time of a key in the segment.
    pub newest: Millis,
}

/// Head of a snapshot, a small object that lists the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Position of the first log entry that the snapshot doesn't include.
    #[serde(rename = "next")]
    pub next_position: u64,
    /// Name of the parts within [`crate::object_key::snapshot_part`].
    pub name: String,
    /// Number of parts; joined in order they hold a [`Body`].
    pub parts: usize,
    /// Segments with finished keys inside the retention window.
    pub segments: Vec<Segment>,
    /// Log entries before this position are deleted.
    #[serde(default)]
    #[serde(rename = "swept")]
    pub deleted_before: u64,
}

/// Contents of a snapshot besides finished keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    /// Claims without an outcome, by idempotency key.
    pub claims: HashMap<String, Claim>,
    /// Released attempts, with the issue time of their key.
    pub released: HashMap<u64, Millis>,
    /// All jobs of the shard.
    pub jobs: Vec<Job>,
}

/// Contents of a segment: hashes of finished keys, with their outcomes.
pub type FinishedKeys = Vec<(u64, Finished)>;

impl Body {
    /// Takes a snapshot of `shard`.
    pub fn of(shard: &Shard) -> Body {
        Body {
            claims: shard.keys().claims().clone(),
            released: shard.keys().released().clone(),
            jobs: shard.jobs().all().cloned().collect(),
        }
    }

    /// Restores the shard, which replays the log from position `next`.
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

/// Segments that hold keys issued at or after `before`.
pub fn retained_segments(segments: &[Segment], before: Millis) -> Vec<Segment> {
    segments.iter().filter(|segment| segment.newest >= before).cloned().collect()
}
