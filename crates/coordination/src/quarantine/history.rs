//! Crashes of targets while one suspect ran there.

use super::TargetStart;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A crash of a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Crash {
    pub(super) at: Instant,
    /// Whether the suspect is known not to have caused it.
    pub(super) is_cleared: bool,
}

/// Crashes by the starts of targets, and the trials granted here.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    pub(super) crashes: BTreeMap<TargetStart, Crash>,
    pub(super) trials: usize,
    pub(super) last_trial: Option<Instant>,
}

impl History {
    /// Crashes that the suspect may have caused.
    pub(super) fn uncleared(&self) -> impl Iterator<Item = (&TargetStart, &Crash)> {
        self.crashes.iter().filter(|(_, crash)| !crash.is_cleared)
    }

    /// Starts of targets that the suspect may have crashed, in order.
    pub(super) fn uncleared_starts(&self) -> impl Iterator<Item = &TargetStart> {
        self.uncleared().map(|(start, _)| start)
    }

    /// Time of the last crash; `None` without crashes.
    pub(super) fn last_crash(&self) -> Option<Instant> {
        self.crashes.values().map(|crash| crash.at).max()
    }

    /// Number of crashes, after the first `count`, that came at least `pause` after the one before,
    /// as the crash of a trial does. Requests that were on their way crash targets sooner.
    pub(super) fn later_crashes(&self, count: usize, pause: Duration) -> usize {
        let mut times: Vec<Instant> = self.uncleared().map(|(_, crash)| crash.at).collect();
        times.sort_unstable();
        let pairs = times.windows(2).skip(count.saturating_sub(1));
        pairs.filter(|pair| pair[1].saturating_duration_since(pair[0]) >= pause).count()
    }
}
