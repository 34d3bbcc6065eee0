//! Decides when the holder of a batch job writes results that aren't durable yet.
//!
//! Each write is a billed call of the platform, while unwritten results are lost with the holder
//! and their items run again; callers see a result only once it is written. So results are
//! batched, but not past the job's deadline.
//!
//! ```
//! use coordination::flush::{self, Policy, Unwritten};
//! use std::time::{Duration, Instant};
//!
//! let now = Instant::now();
//! let due = now + Duration::from_secs(18);
//! let unwritten = Unwritten { oldest: now, failed: None, due, is_last: false };
//! let policy = Policy::default();
//! assert_eq!(flush::flush_at(policy, unwritten), now + policy.max_delay);
//! assert_eq!(flush::flush_at(policy, Unwritten { is_last: true, ..unwritten }), now);
//! ```

use std::time::{Duration, Instant};

/// Delays of writes.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Maximum age of the oldest unwritten result; long enough that most items of a job share a
    /// write. A holder that is lost costs the runs of half this time on average.
    pub max_delay: Duration,
    /// Maximum age of an unwritten permanent failure, whose item would otherwise be run again in
    /// vain if the holder is lost.
    pub failure_delay: Duration,
    /// How long before the deadline results are written; covers a slow write and one retry: a
    /// platform that is sixty times slower responds in 240 ms, and a lost response costs 700 ms.
    pub deadline_margin: Duration,
    /// Minimum delay of results that come later than that but in time; short compared to the
    /// callers' poll interval of half a second.
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

/// Results that wait to be written.
#[derive(Clone, Copy, Debug)]
pub struct Unwritten {
    /// When the oldest result came.
    pub oldest: Instant,
    /// When the oldest permanent failure came; `None` if there is none.
    pub failed: Option<Instant>,
    /// Deadline of the job.
    pub due: Instant,
    /// Whether no more results will follow: all items have one, or the job was cancelled.
    pub is_last: bool,
}

/// Time of the next write.
pub fn flush_at(policy: Policy, unwritten: Unwritten) -> Instant {
    let Unwritten { oldest, failed, due, is_last } = unwritten;
    if is_last {
        return oldest;
    }
    let mut at = oldest + policy.max_delay;
    if let Some(failed) = failed {
        at = at.min(failed + policy.failure_delay);
    }
    if oldest >= due {
        return at; // Late already, so there is no reason to hurry.
    }
    let urgent_from = due.checked_sub(policy.deadline_margin).unwrap_or(oldest);
    at.min(urgent_from.max(oldest + policy.min_delay).min(due))
}
