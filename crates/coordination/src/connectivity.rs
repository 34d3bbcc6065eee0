//! Tracks whether a service is reachable when idle time may only mean that it has nothing to send.
//!
//! A pending watch is idle by nature, and a broken one looks the same. So a client that relies on
//! a watch sends a probe after some idle time, and counts as disconnected when that fails. Further
//! probes are sent less and less often, until another instance reports that it is connected again.
//!
//! The tracker also knows since when the service has responded without a long outage, by responses
//! to this instance and to others ([`Uptime`]). Entries that need renewal expire in a long outage
//! although their owners live. In a short outage, or one of this instance alone, they don't, so a
//! missing entry is gone.
//!
//! This is not a circuit breaker: it never blocks calls.
//!
//! ```
//! use coordination::connectivity::{Policy, Tracker};
//! use std::time::{Duration, Instant};
//!
//! let mut tracker = Tracker::new(Policy::default());
//! let start = Instant::now();
//! tracker.on_response(start);
//! let later = start + Duration::from_millis(700);
//! assert!(tracker.is_probe_due(later));
//! tracker.on_probe_failed(later, 0.5);
//! assert!(tracker.is_disconnected());
//! assert!(!tracker.is_probe_due(later));
//! tracker.on_response(later);
//! assert!(!tracker.is_disconnected());
//! let uptime = tracker.uptime().unwrap();
//! assert_eq!(uptime.since, start, "the outage was too short for entries to expire");
//! ```

use crate::retry;
use std::time::{Duration, Instant};

/// When a probe is due, and which outages count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Idle time after which a probe is due; short enough that another instance takes over a watch
    /// within 2 s, even if the first one to do so is disconnected too. Each takeover takes this
    /// long, the 100 ms until the next check, and the timeout of 400 ms of the probe.
    pub probe_after: Duration,
    /// Shortest outage in which an entry may expire although its owner lives.
    pub expiry: Duration,
    /// Delay of the next probe after the first one that failed; doubles with each further one.
    pub min_probe_delay: Duration,
    /// Longest delay of the next probe after one that failed. Many instances probe in this time,
    /// and the first that gets a response makes the others probe.
    pub max_probe_delay: Duration,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            probe_after: Duration::from_millis(600),
            expiry: Duration::from_millis(1_800),
            min_probe_delay: Duration::from_millis(100),
            max_probe_delay: Duration::from_millis(800),
        }
    }
}

/// A period in which the service responded to some instance, without an outage in which entries
/// may expire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Uptime {
    /// First response.
    pub since: Instant,
    /// Last response so far.
    pub last: Instant,
}

/// What this instance knows of the service.
#[derive(Clone, Debug)]
pub struct Tracker {
    policy: Policy,
    /// Last response to this instance.
    last_response: Option<Instant>,
    /// Latest known uptime.
    uptime: Option<Uptime>,
    /// Whether a call has failed, here or elsewhere, since the uptime's last response.
    has_failed_calls: bool,
    is_disconnected: bool,
    /// Probes that failed since the last response.
    failed_probes: u32,
    /// When to probe next; `None` if none failed since the last response.
    next_probe: Option<Instant>,
}

impl Tracker {
    /// A tracker before the first call.
    pub fn new(policy: Policy) -> Tracker {
        Tracker {
            policy,
            last_response: None,
            uptime: None,
            has_failed_calls: false,
            is_disconnected: false,
            failed_probes: 0,
            next_probe: None,
        }
    }

    /// A call got a response.
    pub fn on_response(&mut self, now: Instant) {
        self.merge(Uptime { since: now, last: now });
        self.has_failed_calls = false;
        self.is_disconnected = false;
        self.failed_probes = 0;
        self.next_probe = None;
        self.last_response = Some(now);
    }

    /// A call failed: the service may be unavailable.
    pub fn on_failure(&mut self) {
        self.has_failed_calls = true;
    }

    /// A probe timed out or was rejected; `chance` in 0..1 is the jitter of the next one.
    pub fn on_probe_failed(&mut self, now: Instant, chance: f64) {
        self.has_failed_calls = true;
        self.is_disconnected = true;
        self.failed_probes += 1;
        let Policy { min_probe_delay, max_probe_delay, .. } = self.policy;
        let delay = retry::backoff(self.failed_probes, min_probe_delay, max_probe_delay, chance);
        self.next_probe = Some(now + delay);
    }

    /// Another instance was disconnected and is so no longer: the next probe is due at once.
    pub fn on_peer_regained(&mut self, now: Instant) {
        if self.is_disconnected {
            self.failed_probes = 0;
            self.next_probe = Some(now);
        }
    }

    /// Another instance reported its latest uptime, and whether it is disconnected.
    pub fn on_peer_report(&mut self, uptime: Option<Uptime>, is_disconnected: bool) {
        self.has_failed_calls |= is_disconnected;
        if let Some(uptime) = uptime {
            self.merge(uptime);
        }
    }

    fn merge(&mut self, received: Uptime) {
        let Some(current) = &mut self.uptime else {
            self.uptime = Some(received);
            return;
        };
        let expiry = self.policy.expiry;
        if received.last + expiry <= current.since {
            return; // It ended before an outage.
        }
        // Without a failed call, a gap between responses is a gap between calls.
        if received.since >= current.last + expiry && self.has_failed_calls {
            *current = received;
            return;
        }
        current.since = current.since.min(received.since);
        current.last = current.last.max(received.last);
    }

    /// Whether this instance counts as disconnected from the service.
    pub fn is_disconnected(&self) -> bool {
        self.is_disconnected
    }

    /// Whether a probe should be sent.
    pub fn is_probe_due(&self, now: Instant) -> bool {
        if let Some(next_probe) = self.next_probe {
            return now >= next_probe;
        }
        self.idle_time(now).is_none_or(|idle_time| idle_time >= self.policy.probe_after)
    }

    /// Time since the last response to this instance; `None` before the first.
    pub fn idle_time(&self, now: Instant) -> Option<Duration> {
        self.last_response.map(|at| now.saturating_duration_since(at))
    }

    /// The latest known uptime; `None` before the first response. Entries that expired before its
    /// start are renewed soon after it, if at all.
    pub fn uptime(&self) -> Option<Uptime> {
        self.uptime
    }
}
