//! Which instances watch the platform for all others.
//!
//! A watch costs a call for each change and each time it runs out, so a few
//! instances of each data centre watch and tell the others. Ranks come from
//! hashes, so that instances agree without talking; one that has lately failed
//! to reach the platform ranks behind all others.

use crate::InstanceId;
use crate::hash;

/// One instance that could watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its id.
    pub id: InstanceId,
    /// Whether it has lately failed to reach the platform.
    pub is_disconnected: bool,
}

/// Whether `me` is among the `seats` instances that watch `topic`.
pub fn is_watcher(
    topic: &str,
    me: InstanceId,
    candidates: impl IntoIterator<Item = Candidate>,
    seats: usize,
) -> bool {
    let mut ranked: Vec<(bool, u64, InstanceId)> = candidates
        .into_iter()
        .map(|c| (c.is_disconnected, hash::weight(topic.as_bytes(), c.id), c.id))
        .collect();
    ranked.sort_unstable();
    ranked.iter().take(seats).any(|(.., id)| *id == me)
}
