//! Whether a service that one depends on still answers, where silence may also
//! mean that there is nothing to tell.
//!
//! A watch that waits is silent by nature: one that will never be answered looks
//! like a quiet one. So whoever rests on a watch asks for a sign of life whenever
//! nothing was answered for a while, and counts as cut off once that is overdue.
//!
//! It also tells since when the service has answered somebody without a long
//! break, by what this instance and others saw ([`Series`]). Entries that need to be
//! renewed lapse in a long outage, though their owners live; in a short one, or
//! while only this instance was turned away, they don't, and what is missing is gone.
//!
//! What it is not: a breaker. Calls go on or not by their own rules.
//!
//! ```
//! use coordination::connectivity::{Tracker, Policy};
//! use std::time::{Duration, Instant};
//!
//! let mut tracker = Tracker::new(Policy::default());
//! let start = Instant::now();
//! tracker.on_response(start);
//! let later = start + Duration::from_millis(700);
//! assert!(tracker.is_probe_due(later));
//! tracker.on_probe_failed();
//! assert!(tracker.is_disconnected());
//! tracker.on_response(later);
//! assert!(!tracker.is_disconnected());
//! let uptime = tracker.uptime().unwrap();
//! assert_eq!(uptime.since, start, "the outage was too short for entries to expire");
//! ```

use std::time::{Duration, Instant};

/// When a sign of life is asked for, and which outages count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Silence after which a sign of life is due.
    ///
    /// News is allowed 2 s. Of these, 600 ms of silence, 100 ms until the next
    /// look, 400 ms for the answer and 100 ms until another instance looks make
    /// 1.2 s until that one watches; 1.8 s if it is cut off too and a third does.
    pub probe_after: Duration,
    /// Shortest silence in which an entry of a living owner may lapse.
    pub expiry: Duration,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy { probe_after: Duration::from_millis(600), expiry: Duration::from_millis(1_800) }
    }
}

/// A time in which the service answered one instance or another, without a break in
/// which entries may lapse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Uptime {
    /// Its first answer.
    pub since: Instant,
    /// Its last answer so far.
    pub last: Instant,
}

/// What is known of the service.
#[derive(Clone, Debug)]
pub struct Tracker {
    policy: Policy,
    /// Last answer to this instance.
    answered: Option<Instant>,
    /// The latest series that is known.
    series: Option<Uptime>,
    /// Whether a call has failed, here or elsewhere, since the series' last answer.
    is_doubted: bool,
    is_lost: bool,
}

impl Tracker {
    /// Nothing was asked yet.
    pub fn new(policy: Policy) -> Tracker {
        Tracker { policy, answered: None, series: None, is_doubted: false, is_lost: false }
    }

    /// A call was answered.
    pub fn on_response(&mut self, now: Instant) {
        self.on_series(Uptime { since: now, last: now });
        self.is_doubted = false;
        self.is_lost = false;
        self.answered = Some(now);
    }

    /// A call failed: the service may be away.
    pub fn on_failure(&mut self) {
        self.is_doubted = true;
    }

    /// A sign of life is overdue, or was refused.
    pub fn on_probe_failed(&mut self) {
        self.is_doubted = true;
        self.is_lost = true;
    }

    /// Another instance tells the latest series that it knows, and whether it has
    /// lost the service.
    pub fn on_peer_report(&mut self, series: Option<Uptime>, is_lost: bool) {
        self.is_doubted |= is_lost;
        if let Some(series) = series {
            self.on_series(series);
        }
    }

    fn on_series(&mut self, found: Uptime) {
        let Some(known) = &mut self.series else {
            self.series = Some(found);
            return;
        };
        let lapse = self.policy.expiry;
        if found.last + lapse <= known.since {
            return; // Of before an outage.
        }
        // Without a failed call, time without answers is time without questions.
        if found.since >= known.last + lapse && self.is_doubted {
            *known = found;
            return;
        }
        known.since = known.since.min(found.since);
        known.last = known.last.max(found.last);
    }

    /// Whether this instance counts as cut off from the service.
    pub fn is_disconnected(&self) -> bool {
        self.is_lost
    }

    /// Whether a sign of life should be asked for.
    pub fn is_probe_due(&self, now: Instant) -> bool {
        self.idle_time(now).is_none_or(|silence| silence >= self.policy.probe_after)
    }

    /// How long ago this instance was last answered; `None` if it never was.
    pub fn idle_time(&self, now: Instant) -> Option<Duration> {
        self.answered.map(|at| now.saturating_duration_since(at))
    }

    /// The latest series that is known. What lapsed before it is back soon after its
    /// start, if it is to come back at all.
    pub fn uptime(&self) -> Option<Uptime> {
        self.series
    }
}
