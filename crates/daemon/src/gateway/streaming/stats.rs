//! Timing of the events of a stream.

use std::time::{Duration, Instant};

/// Timing of the events received from one target.
#[derive(Debug, Default)]
pub(super) struct EventStats {
    /// When its response began.
    pub(super) started_at: Option<Instant>,
    /// Time from there to the first event.
    pub(super) first: Option<Duration>,
    /// When the last event arrived.
    pub(super) last: Option<Instant>,
    /// Number of chunks with events.
    pub(super) chunks: u32,
    /// Longest time between two of them.
    pub(super) slowest: Duration,
}

impl EventStats {
    /// A chunk arrived.
    pub(super) fn on_chunk(&mut self, now: Instant) {
        let started_at = *self.started_at.get_or_insert(now);
        self.first.get_or_insert(now.saturating_duration_since(started_at));
        if let Some(last) = self.last {
            self.slowest = self.slowest.max(now.saturating_duration_since(last));
        }
        self.last = Some(now);
        self.chunks += 1;
    }

    /// Time from `started` to the first event of the last target.
    pub(super) fn first_after(&self, started: Instant) -> Option<Duration> {
        Some(self.started_at?.saturating_duration_since(started) + self.first?)
    }

    /// Time from sending the request to the first event of the last target.
    pub(super) fn first_since(&self, sent_at: Option<Instant>) -> Option<Duration> {
        Some((self.started_at? + self.first?).saturating_duration_since(sent_at?))
    }

    /// Mean time between two events; `None` with fewer than two.
    pub(super) fn event_interval(&self) -> Option<Duration> {
        let first_at = self.started_at? + self.first?;
        let gaps = self.chunks.checked_sub(1).filter(|gaps| *gaps > 0)?;
        Some(self.last?.saturating_duration_since(first_at) / gaps)
    }
}
