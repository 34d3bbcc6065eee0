//! Chooses the instances that watch the platform on behalf of all others.
//!
//! A watch costs a platform call for each change and each expiry, so a few instances of each data
//! centre watch and forward the changes. Instances rank each other by hash, without messages;
//! disconnected ones rank last.

use crate::InstanceId;
use crate::hash;

/// An instance that could watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Id that ranks it.
    pub id: InstanceId,
    /// Whether it has recently failed to reach the platform.
    pub is_disconnected: bool,
}

/// Whether `me` is among the `watcher_count` instances that watch `topic`.
pub fn is_watcher(
    topic: &str,
    me: InstanceId,
    candidates: impl IntoIterator<Item = Candidate>,
    watcher_count: usize,
) -> bool {
    let mut ranked: Vec<(bool, u64, InstanceId)> = candidates
        .into_iter()
        .map(|c| (c.is_disconnected, hash::weight(topic.as_bytes(), c.id), c.id))
        .collect();
    ranked.sort_unstable();
    ranked.iter().take(watcher_count).any(|(.., id)| *id == me)
}
