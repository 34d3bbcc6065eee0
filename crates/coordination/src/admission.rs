//! Admission control of batch streams on a target.
//!
//! Per target one instance decides: the rendezvous hashing owner among the live instances of its
//! data centre. While views differ two may decide at once; that costs efficiency only, since each
//! of them yields to online requests.

use crate::InstanceId;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Age after which a peer's count of online requests is ignored.
pub const PEER_REPORT_MAX_AGE: Duration = Duration::from_millis(1500);

/// How long the peak of a busy target keeps batch from starting there. If longer, slots stay idle
/// after bursts; if shorter, gaps within a burst fill with streams that must stop at once.
pub const PEAK_WINDOW: Duration = Duration::from_millis(300);

/// Cap on recorded counts.
const MAX_SAMPLES: usize = 64;

/// Time since the last online request after which a target counts as idle.
pub const IDLE_AFTER: Duration = Duration::from_secs(30);

/// Largest count that is advertised exactly.
const MAX_EXACT_COUNT: u32 = 4;
/// Larger counts are rounded up to a multiple of this.
const COUNT_STEP: u32 = 4;

/// The count of online requests that an instance advertises to its peers.
///
/// Small counts are exact. Large ones change all the time and would dominate control traffic;
/// rounded up, most changes need no message, and batch leaves at most three extra slots free.
pub fn advertised(online: u32) -> u32 {
    if online <= MAX_EXACT_COUNT { online } else { online.next_multiple_of(COUNT_STEP) }
}

/// Online requests that other instances run at one target.
#[derive(Clone, Debug, Default)]
pub struct PeerLoad {
    peers: HashMap<InstanceId, (u32, Instant)>,
    samples: VecDeque<(Instant, u32)>,
    last_used: Option<Instant>,
}

impl PeerLoad {
    /// A peer reported its number of online requests there.
    pub fn on_peer_report(&mut self, from: InstanceId, online: u32, now: Instant) {
        self.peers.retain(|_, (_, at)| now.saturating_duration_since(*at) <= PEER_REPORT_MAX_AGE);
        self.peers.insert(from, (online, now));
        self.record(self.sum(now), now);
    }

    /// Sum of the peers' recent reports.
    pub fn sum(&self, now: Instant) -> u32 {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) <= PEER_REPORT_MAX_AGE;
        self.peers.values().filter(|(_, at)| is_recent(at)).map(|(n, _)| n).sum()
    }

    /// Records a count of online requests.
    pub fn record(&mut self, online: u32, now: Instant) {
        if online > 0 {
            self.last_used = Some(now);
        }
        if self.samples.back().is_some_and(|(_, last)| *last == online) {
            return;
        }
        self.samples.push_back((now, online));
        // A count holds until the next one, so keep the last one before the window.
        let is_old = |at: Instant| now.saturating_duration_since(at) > PEAK_WINDOW;
        while self.samples.len() > MAX_SAMPLES
            || self.samples.get(1).is_some_and(|(at, _)| is_old(*at))
        {
            self.samples.pop_front();
        }
    }

    /// Slots to keep free: `configured`, or none if the target is idle, where the first request
    /// only waits for a batch stream to stop.
    pub fn reserve(&self, configured: u32, now: Instant) -> u32 {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= IDLE_AFTER;
        if self.last_used.is_some_and(is_recent) { configured } else { 0 }
    }

    /// The highest count within [`PEAK_WINDOW`].
    pub fn peak(&self, now: Instant) -> u32 {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= PEAK_WINDOW;
        let first = self.samples.iter().position(|(at, _)| is_recent(*at));
        // The last count before the window still holds at its start.
        let from = first.unwrap_or(self.samples.len()).saturating_sub(1);
        self.samples.range(from..).map(|(_, online)| *online).max().unwrap_or(0)
    }
}

/// What to do about batch on one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start up to this many more streams.
    Start(u32),
    /// Stop this many streams now, newest first.
    Stop(u32),
    /// Start and stop nothing.
    Hold,
}

/// Slots of one target and their use.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Slots to keep free for the first requests of a burst.
    pub reserve: u32,
    /// Online requests there now, as far as known.
    pub online: u32,
    /// Highest count of online requests within [`PEAK_WINDOW`].
    pub peak: u32,
    /// Batch streams there now.
    pub batch: u32,
}

impl Capacity {
    /// Online requests to assume before a stream starts. On a busy target that is the recent peak,
    /// since a new stream would soon have to stop again.
    fn expected_online(&self) -> u32 {
        let is_busy = self.peak * 2 >= self.slots;
        if is_busy { self.peak.max(self.online) } else { self.online }
    }
}

/// Decides for one target.
///
/// Streams stop one by one as online requests need their slots. Stopping is fast enough that
/// stopping ahead of a burst wouldn't help online requests.
pub fn decide(capacity: Capacity) -> Decision {
    let must_stop =
        (capacity.online + capacity.batch + capacity.reserve).saturating_sub(capacity.slots);
    if must_stop > 0 && capacity.batch > 0 && capacity.online > 0 {
        return Decision::Stop(must_stop.min(capacity.batch));
    }
    let free_slots = capacity
        .slots
        .saturating_sub(capacity.expected_online() + capacity.reserve + capacity.batch);
    if free_slots > 0 { Decision::Start(free_slots) } else { Decision::Hold }
}
