//! Leases on a store with conditional writes, without reliance on wall clocks.
//!
//! A holder counts its lease from *before* it sent its write. A successor counts from *after* it
//! first observed that write. Both use their own monotonic clock, so a successor's wait ends after
//! the holder's lease, whatever the wall clocks say. Only clocks of different speed could break
//! this, and a lease of seconds tolerates far more drift than machines have.

use crate::InstanceId;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Controller lease as the store keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Current holder; 0 if it was released.
    pub holder: InstanceId,
    /// Incremented with each change of holder; the fencing token of orders.
    pub epoch: u64,
    /// Incremented with each renewal, so that every renewal changes the record.
    pub renewal: u64,
}

/// What a candidate has observed of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Latest record read.
    pub record: Record,
    /// When this record was first read.
    pub since: Instant,
}

impl Observation {
    /// The observation after reading `record` at `now`.
    pub fn update(previous: Option<Observation>, record: Record, now: Instant) -> Observation {
        match previous {
            Some(observation) if observation.record == record => observation,
            _ => Observation { record, since: now },
        }
    }
}

/// What a candidate does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write this record, conditional on the version that was read.
    Write(Record),
    /// Read the record again after this long.
    Wait(Duration),
}

/// Decides whether `me` may take the lease.
///
/// `margin` is the maximum time for which an order of the former holder may be in flight to a
/// target that ignores fencing tokens.
pub fn claim(
    me: InstanceId,
    observation: Option<Observation>,
    length: Duration,
    margin: Duration,
    now: Instant,
) -> Action {
    let Some(Observation { record, since }) = observation else {
        return Action::Write(Record { holder: me, epoch: 1, renewal: 0 });
    };
    if record.holder == me {
        return Action::Write(Record { renewal: record.renewal + 1, ..record });
    }
    let next = Record { holder: me, epoch: record.epoch + 1, renewal: 0 };
    if record.holder == 0 {
        return Action::Write(next);
    }
    let available_at = since + length + margin;
    match available_at.checked_duration_since(now) {
        Some(remaining) if !remaining.is_zero() => Action::Wait(remaining),
        _ => Action::Write(next),
    }
}

/// A lease that this instance holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// The record that was written.
    pub record: Record,
    /// Time before the write was sent.
    pub since: Instant,
    /// Validity from `since`.
    pub length: Duration,
}

impl Held {
    /// Whether an order with this `lifetime` may be sent now.
    ///
    /// It must reach the target within the lease, since a target that ignores fencing tokens
    /// accepts any order. A holder that was suspended fails this check before it sends.
    pub fn may_order(&self, lifetime: Duration, now: Instant) -> bool {
        now + lifetime < self.since + self.length
    }

    /// Whether less than half of the lease remains.
    pub fn should_renew(&self, now: Instant) -> bool {
        now >= self.since + self.length / 2
    }
}
