//! Chooses the instances that watch the platform on behalf of all others.
//!
//! A watch costs a platform call for each change and each expiry, so a few instances of each data
//! centre watch and forward the changes. Instances rank each other by hash, without messages;
//! disconnected ones rank last.
//!
//! A watch whose request or response was lost looks like one without changes. It can have missed a
//! change only if the store's revision is higher than the one it continues from.

use crate::InstanceId;
use crate::hash;
use std::time::Duration;

/// An instance that could watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Id that ranks it.
    pub id: InstanceId,
    /// Whether it has recently failed to reach the platform.
    pub is_disconnected: bool,
}

/// Timeouts of watches, depending on whether a watch may have missed a change.
///
/// `since` is the revision that a watch continues from, and `latest` the highest revision of the
/// store in any response so far.
///
/// ```
/// use coordination::watch::Timeouts;
/// use std::time::Duration;
///
/// let [short, long] = [Duration::from_secs(1), Duration::from_secs(4)];
/// let timeouts = Timeouts { up_to_date: long, behind: short };
/// assert_eq!(timeouts.timeout(7, 7), long);
/// assert!(!timeouts.is_renewal_due(7, 7, 2 * short), "the store hasn't changed");
/// assert!(timeouts.is_renewal_due(7, 8, 2 * short));
/// assert_eq!(timeouts.timeout(7, 8), short);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Timeout while `latest` isn't higher than `since`: no change is known to be missing.
    pub up_to_date: Duration,
    /// Timeout while `latest` is higher than `since`: a change may have been missed.
    pub behind: Duration,
}

impl Timeouts {
    /// The same timeout for all watches.
    pub fn constant(timeout: Duration) -> Timeouts {
        Timeouts { up_to_date: timeout, behind: timeout }
    }

    /// Timeout of a watch that starts now.
    pub fn timeout(&self, since: u64, latest: u64) -> Duration {
        if latest > since { self.behind } else { self.up_to_date }
    }

    /// Whether a watch that was up to date when it started and has been open for `open_for`
    /// should be renewed because the store has changed since. The renewed watch returns a missed
    /// change at once.
    pub fn is_renewal_due(&self, since: u64, latest: u64, open_for: Duration) -> bool {
        latest > since && open_for >= self.behind
    }
}

/// The instance that ranks first for `topic`; `None` without candidates.
pub fn first(topic: &str, candidates: impl IntoIterator<Item = Candidate>) -> Option<InstanceId> {
    candidates.into_iter().min_by_key(|candidate| rank(topic, *candidate)).map(|first| first.id)
}

/// Rank of an instance for `topic`: the lowest watches.
fn rank(topic: &str, candidate: Candidate) -> (bool, u64, InstanceId) {
    let Candidate { id, is_disconnected } = candidate;
    (is_disconnected, hash::weight(topic.as_bytes(), id), id)
}

/// Whether `me` is among the `watcher_count` instances that watch `topic`.
pub fn is_watcher(
    topic: &str,
    me: InstanceId,
    candidates: impl IntoIterator<Item = Candidate>,
    watcher_count: usize,
) -> bool {
    let mut ranked: Vec<(bool, u64, InstanceId)> =
        candidates.into_iter().map(|candidate| rank(topic, candidate)).collect();
    ranked.sort_unstable();
    ranked.iter().take(watcher_count).any(|(.., id)| *id == me)
}
