//! How much batch work a target may run.
//!
//! One instance decides for a target at a time: the one that rendezvous hashing
//! gives among the live instances of the target's data centre. Two that decide
//! at once, while their views differ, cost efficiency and nothing else, since
//! each gives way on its own.

use crate::InstanceId;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long a peer's word about its online requests counts.
pub const PRESSURE_AGE: Duration = Duration::from_millis(1500);

/// How long a burst is remembered, so that batch doesn't fill the gap between
/// two requests of one burst.
pub const BURST_MEMORY: Duration = Duration::from_millis(300);

/// Online requests that other instances have at one target.
#[derive(Clone, Debug, Default)]
pub struct Pressure {
    peers: HashMap<InstanceId, (u32, Instant)>,
    peak: Option<(u32, Instant)>,
}

impl Pressure {
    /// A peer says how many online requests it has there.
    pub fn on_word(&mut self, from: InstanceId, online: u32, now: Instant) {
        self.peers.retain(|_, (_, at)| now.saturating_duration_since(*at) <= PRESSURE_AGE);
        self.peers.insert(from, (online, now));
        self.note(self.sum(now), now);
    }

    /// Sum of the peers' words that still count.
    pub fn sum(&self, now: Instant) -> u32 {
        let fresh = |at: &Instant| now.saturating_duration_since(*at) <= PRESSURE_AGE;
        self.peers.values().filter(|(_, at)| fresh(at)).map(|(n, _)| n).sum()
    }

    /// Remembers the highest count of the last moments.
    pub fn note(&mut self, online: u32, now: Instant) {
        let keep = self.peak.filter(|(_, at)| now.saturating_duration_since(*at) <= BURST_MEMORY);
        match keep {
            Some((peak, _)) if peak > online => self.peak = keep,
            _ => self.peak = Some((online, now)),
        }
    }

    /// The highest count of the last moments.
    pub fn peak(&self, now: Instant) -> u32 {
        let fresh = |at: Instant| now.saturating_duration_since(at) <= BURST_MEMORY;
        self.peak.filter(|(_, at)| fresh(*at)).map_or(0, |(n, _)| n)
    }
}

/// What to do about batch on one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Batch {
    /// This many more streams may start.
    Start(u32),
    /// This many must stop now, newest first.
    Stop(u32),
    /// Neither.
    Hold,
}

/// Room for batch on one target.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Requests the target runs at once.
    pub slots: u32,
    /// Slots that stay free for the first requests of a burst.
    pub reserve: u32,
    /// Online requests there now, as far as known.
    pub online: u32,
    /// Highest count of online requests in the last moments.
    pub peak: u32,
    /// Batch streams there now.
    pub batch: u32,
}

/// Decides for one target.
///
/// Streams stop when online work needs their slots now; new ones start only
/// below the recent peak. The gap between the two rules keeps a steady online
/// load from starting and stopping the same stream over and over.
pub fn batch(room: Room) -> Batch {
    let in_use = room.online + room.batch;
    let must_stop = (in_use + room.reserve.min(1)).saturating_sub(room.slots);
    if must_stop > 0 && room.batch > 0 && room.online > 0 {
        return Batch::Stop(must_stop.min(room.batch));
    }
    let wanted = room.online.max(room.peak) + room.reserve;
    let free = room.slots.saturating_sub(wanted + room.batch);
    if free > 0 { Batch::Start(free) } else { Batch::Hold }
}
