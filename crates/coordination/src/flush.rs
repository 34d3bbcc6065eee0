//! When the holder of a batch job writes results that aren't durable yet.
//!
//! Each write is a call of the platform that is paid for, and what isn't written is
//! run again if the holder is lost; callers see a result once it is written. So
//! results are gathered, but not past the time at which the job is due.
//!
//! ```
//! use coordination::flush::{self, Unwritten, Policy};
//! use std::time::{Duration, Instant};
//!
//! let now = Instant::now();
//! let unwritten = Unwritten { oldest: now, failed: None, due: now + Duration::from_secs(18), is_last: false };
//! let policy = Policy::default();
//! assert_eq!(flush::flush_at(policy, unwritten), now + policy.max_delay);
//! assert_eq!(flush::flush_at(policy, Unwritten { is_last: true, ..unwritten }), now);
//! ```

use std::time::{Duration, Instant};

/// How long results wait to be written.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Results wait this long for others to be written with them. Twice as long as half
    /// of what an item takes to run, so that most of a job's items share a write; a
    /// holder that is lost costs the runs of half as long, some 1.5 s of its items.
    pub max_delay: Duration,
    /// The same where an item has failed for good. Who follows a holder that was lost
    /// runs such an item again, in vain.
    pub failure_delay: Duration,
    /// How long before the job is due its results are written. A store that is sixty
    /// times slower answers in 240 ms, and a lost answer costs 700 ms.
    pub deadline_margin: Duration,
    /// Results that come later than that, and in time, wait this long: callers ask
    /// twice a second.
    pub min_delay: Duration,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            max_delay: Duration::from_secs(3),
            failure_delay: Duration::from_millis(300),
            deadline_margin: Duration::from_millis(1_500),
            min_delay: Duration::from_millis(300),
        }
    }
}

/// What waits to be written.
#[derive(Clone, Copy, Debug)]
pub struct Unwritten {
    /// When the oldest result came.
    pub oldest: Instant,
    /// When the oldest result came that says that its item failed for good.
    pub failed: Option<Instant>,
    /// When the job is due.
    pub due: Instant,
    /// Whether nothing else of the job will follow: all its items have results, or its
    /// submitter has ended it.
    pub is_last: bool,
}

/// When to write.
pub fn flush_at(policy: Policy, fresh: Unwritten) -> Instant {
    let Unwritten { oldest, failed: verdict, due, is_last } = fresh;
    if is_last {
        return oldest;
    }
    let mut at = oldest + policy.max_delay;
    if let Some(verdict) = verdict {
        at = at.min(verdict + policy.failure_delay);
    }
    if oldest >= due {
        return at; // Late already: it is of no use to hurry for this one.
    }
    let near = due.checked_sub(policy.deadline_margin).unwrap_or(oldest);
    at.min(near.max(oldest + policy.min_delay).min(due))
}
