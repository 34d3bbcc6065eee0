//! Leases on a store with conditional writes, without trusting wall clocks.
//!
//! A holder counts its lease from the moment *before* its write went out. A
//! successor counts from the moment *after* it first saw that write. Both use
//! their own steady clock, so the successor's wait ends after the holder's
//! right does, whatever the wall clocks say; only clocks that run at different
//! speeds could break it, and a lease of seconds tolerates far more drift than
//! machines have.

use crate::InstanceId;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Lease of a controller, as the store keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Who holds it; 0 when it was given back.
    pub holder: InstanceId,
    /// Grows with each change of holder; the fencing number of orders.
    pub epoch: u64,
    /// Counts renewals, so that each renewal is a change to be seen.
    pub renewal: u64,
}

/// What a candidate has seen of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The record seen last.
    pub record: Record,
    /// When this very record was first seen.
    pub since: Instant,
}

impl Observation {
    /// Folds a new reading into what was seen before.
    pub fn update(before: Option<Observation>, record: Record, now: Instant) -> Observation {
        match before {
            Some(sight) if sight.record == record => sight,
            _ => Observation { record, since: now },
        }
    }
}

/// What a candidate does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write this record, conditional on the version that was read.
    Write(Record),
    /// Look again after this long.
    Wait(Duration),
}

/// Decides whether `me` may take the lease.
///
/// `margin` is how long an order of the former holder may still be on its way
/// to a target that doesn't check fencing numbers.
pub fn claim(
    me: InstanceId,
    sight: Option<Observation>,
    length: Duration,
    margin: Duration,
    now: Instant,
) -> Action {
    let Some(Observation { record, since }) = sight else {
        return Action::Write(Record { holder: me, epoch: 1, renewal: 0 });
    };
    if record.holder == me {
        return Action::Write(Record { renewal: record.renewal + 1, ..record });
    }
    let next = Record { holder: me, epoch: record.epoch + 1, renewal: 0 };
    if record.holder == 0 {
        return Action::Write(next);
    }
    let free_at = since + length + margin;
    match free_at.checked_duration_since(now) {
        Some(left) if !left.is_zero() => Action::Wait(left),
        _ => Action::Write(next),
    }
}

/// A lease that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// What was written.
    pub record: Record,
    /// The moment before the write went out.
    pub since: Instant,
    /// How long it lasts.
    pub length: Duration,
}

impl Held {
    /// Whether an order may leave now.
    ///
    /// It must reach the target within the lease, since a target that ignores
    /// fencing numbers obeys whatever arrives. A holder that wakes from a pause
    /// fails this test before it sends.
    pub fn may_order(&self, lifetime: Duration, now: Instant) -> bool {
        now + lifetime < self.since + self.length
    }

    /// Whether it is time to renew: less than half is left.
    pub fn should_renew(&self, now: Instant) -> bool {
        now >= self.since + self.length / 2
    }
}
