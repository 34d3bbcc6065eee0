//! How much batch work a target may run.
//!
//! One instance decides for a target at a time: the one that rendezvous hashing
//! gives among the live instances of the target's data centre. Two that decide
//! at once, while their views differ, cost efficiency and nothing else, since
//! each gives way on its own.

use crate::InstanceId;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// How long a peer's word about its online requests counts.
pub const PEER_REPORT_MAX_AGE: Duration = Duration::from_millis(1500);

/// How long a busy target's peak keeps batch from starting there again. Longer,
/// and the gaps after bursts stay empty; shorter, and the gaps within them are
/// filled with streams that must stop at once.
pub const PEAK_WINDOW: Duration = Duration::from_millis(300);

/// Counts kept of that time.
const SAMPLES: usize = 64;

/// How long a target counts as used by online requests after the last one.
pub const IDLE_AFTER: Duration = Duration::from_secs(30);

/// Counts up to this are told as they are.
const EXACT: u32 = 4;
/// Larger ones are rounded up to a multiple of this.
const STEP: u32 = 4;

/// The count of online requests that an instance tells of itself.
///
/// With a few requests each one matters and is told. With many at one target the
/// count goes up and down all the time, and told exactly these words would be the
/// largest part of all control traffic; rounded up, most changes need none, and
/// batch leaves at most three slots more than it must.
pub fn advertised(online: u32) -> u32 {
    if online <= EXACT { online } else { online.next_multiple_of(STEP) }
}

/// Online requests that other instances have at one target.
#[derive(Clone, Debug, Default)]
pub struct PeerLoad {
    peers: HashMap<InstanceId, (u32, Instant)>,
    samples: VecDeque<(Instant, u32)>,
    used: Option<Instant>,
}

impl PeerLoad {
    /// A peer says how many online requests it has there.
    pub fn on_peer_report(&mut self, from: InstanceId, online: u32, now: Instant) {
        self.peers.retain(|_, (_, at)| now.saturating_duration_since(*at) <= PEER_REPORT_MAX_AGE);
        self.peers.insert(from, (online, now));
        self.record(self.sum(now), now);
    }

    /// Sum of the peers' words that still count.
    pub fn sum(&self, now: Instant) -> u32 {
        let fresh = |at: &Instant| now.saturating_duration_since(*at) <= PEER_REPORT_MAX_AGE;
        self.peers.values().filter(|(_, at)| fresh(at)).map(|(n, _)| n).sum()
    }

    /// Remembers a count of online requests.
    pub fn record(&mut self, online: u32, now: Instant) {
        if online > 0 {
            self.used = Some(now);
        }
        if self.samples.back().is_some_and(|(_, last)| *last == online) {
            return;
        }
        self.samples.push_back((now, online));
        // A count holds until the next one, so the one before the window counts.
        let old = |at: Instant| now.saturating_duration_since(at) > PEAK_WINDOW;
        while self.samples.len() > SAMPLES || self.samples.get(1).is_some_and(|(at, _)| old(*at)) {
            self.samples.pop_front();
        }
    }

    /// Slots to keep free: the configured reserve where online requests come now
    /// and then, none where there were none for a while. There the first request
    /// waits the few milliseconds that giving way takes.
    pub fn reserve(&self, configured: u32, now: Instant) -> u32 {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= IDLE_AFTER;
        if self.used.is_some_and(is_recent) { configured } else { 0 }
    }

    /// The highest count within [`BUSY_MEMORY`].
    pub fn peak(&self, now: Instant) -> u32 {
        let fresh = |at: Instant| now.saturating_duration_since(at) <= PEAK_WINDOW;
        let first = self.samples.iter().position(|(at, _)| fresh(*at));
        // The last count before that time is in force at its start.
        let from = first.unwrap_or(self.samples.len()).saturating_sub(1);
        self.samples.range(from..).map(|(_, online)| *online).max().unwrap_or(0)
    }
}

/// What to do about batch on one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// This many more streams may start.
    Start(u32),
    /// This many must stop now, newest first.
    Stop(u32),
    /// Neither.
    Hold,
}

/// Room for batch on one target.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Requests the target runs at once.
    pub slots: u32,
    /// Slots that stay free for the first requests of a burst.
    pub reserve: u32,
    /// Online requests there now, as far as known.
    pub online: u32,
    /// Highest count within [`BUSY_MEMORY`].
    pub peak: u32,
    /// Batch streams there now.
    pub batch: u32,
}

impl Capacity {
    /// Online requests to reckon with before another stream starts. On a busy
    /// target that is the recent peak: there a stream would soon have to stop
    /// again, and near saturation that little harm is multiplied by the queue.
    fn level(&self) -> u32 {
        let is_busy = self.peak * 2 >= self.slots;
        if is_busy { self.peak.max(self.online) } else { self.online }
    }
}

/// Decides for one target.
///
/// Streams stop when online work needs their slots, one for one. Stopping more
/// of them ahead, by how fast a burst grows, was tried and measured: giving way
/// takes well under a millisecond, so the online tail gained nothing, and less of
/// the idle capacity was filled (0.58 against 0.74 under bursts).
pub fn decide(room: Capacity) -> Decision {
    let must_stop = (room.online + room.batch + room.reserve).saturating_sub(room.slots);
    if must_stop > 0 && room.batch > 0 && room.online > 0 {
        return Decision::Stop(must_stop.min(room.batch));
    }
    let free = room.slots.saturating_sub(room.level() + room.reserve + room.batch);
    if free > 0 { Decision::Start(free) } else { Decision::Hold }
}
