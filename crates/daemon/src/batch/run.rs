//! The loop of the batch duty.

mod claim;

use super::chunk::{Chunk, End, Waiting};
use super::is_open;
use super::item::{self, Run};
use super::report::{self, Sent};
use crate::fleet::{Node, View, lock};
use crate::shared::Shared;
use coordination::admission::{self, Capacity, Decision};
use coordination::ejection::Availability;
use protocol::config::Protocol;
use protocol::{Error, ShardId, TargetId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use transport::target::Client;

/// Time between looks while there is batch work.
const TICK: Duration = Duration::from_millis(20);
/// The same while there is none; news wakes the duty at once.
const REST: Duration = Duration::from_millis(250);
const EVENTS: usize = 4096;
const FAILED: Duration = Duration::from_millis(500);
/// Outcomes that may wait to be recorded before no new item starts.
const MOST_UNRECORDED: usize = 2048;
/// How long a chunk may be without a target before it is given back.
const STRANDED: Duration = Duration::from_secs(1);
/// Number of a chunk in hand.
type ChunkKey = u64;

enum Event {
    Ended { chunk: ChunkKey, index: u32, stream: u64, end: End },
    Reported { chunk: ChunkKey, sent: Sent },
    Claimed { shard: ShardId, found: Result<Option<Box<Chunk>>, Error> },
}

struct Stream {
    chunk: ChunkKey,
    target: TargetId,
    repeatable: bool,
    park: CancellationToken,
}

struct Duty {
    shared: Arc<Shared>,
    client: Client,
    chunks: BTreeMap<ChunkKey, Chunk>,
    streams: BTreeMap<u64, Stream>,
    events: mpsc::Sender<Event>,
    counter: u64,
    claiming: bool,
    ask_at: Instant,
    sticky: Option<ShardId>,
    turn: ShardId,
    /// Asks in a row that found nothing.
    dry: ShardId,
}

/// Runs batch work until `stop`.
pub async fn run(shared: Arc<Shared>, client: Client, stop: CancellationToken) {
    let (events, mut incoming) = mpsc::channel(EVENTS);
    let now = Instant::now();
    let mut duty = Duty {
        client,
        chunks: BTreeMap::new(),
        streams: BTreeMap::new(),
        events,
        counter: 0,
        claiming: false,
        ask_at: now,
        sticky: None,
        turn: rand::random::<ShardId>() % shared.settings.shards,
        dry: 0,
        shared,
    };
    let wake = duty.shared.batch.wake.clone();
    loop {
        tokio::select! {
            event = incoming.recv() => event.into_iter().for_each(|e| duty.on_event(e)),
            () = wake.notified() => {}
            () = tokio::time::sleep(duty.tick()) => {}
            () = stop.cancelled() => return,
        }
        while let Ok(event) = incoming.try_recv() {
            duty.on_event(event);
        }
        duty.step(Instant::now());
    }
}

impl Duty {
    fn tick(&self) -> Duration {
        if self.chunks.is_empty() && self.streams.is_empty() { REST } else { TICK }
    }

    fn step(&mut self, now: Instant) {
        let view = self.shared.view();
        self.drop_cancelled();
        if !is_open(&self.shared) {
            self.chunks.values_mut().for_each(|chunk| chunk.closing = true);
        }
        let charge = self.shared.owned_targets();
        self.yield_elsewhere(&view, &charge, now);
        let mut free = HashMap::new();
        for node in charge.iter() {
            if let Some(starts) = self.balance(&view, node, now) {
                *free.entry(node.target.service.clone()).or_insert(0) += starts;
            }
        }
        self.give_back_stranded(&free, now);
        self.send_reports(now);
        self.ask(&free, now);
        self.shared.batch.set_in_hand(self.chunks.len() + usize::from(self.claiming));
    }

    fn drop_cancelled(&mut self) {
        if self.shared.settings.is_guard_disabled("cancel") {
            return;
        }
        let batch = self.shared.batch.clone();
        let is_over = |chunk: &Chunk| batch.is_cancelled(&chunk.work.job);
        let over: Vec<ChunkKey> =
            self.chunks.iter().filter(|(_, c)| is_over(c)).map(|(key, _)| *key).collect();
        over.into_iter().for_each(|key| self.drop_chunk(key));
    }

    fn drop_chunk(&mut self, key: ChunkKey) {
        self.chunks.remove(&key);
        self.streams.values().filter(|s| s.chunk == key).for_each(|s| s.park.cancel());
    }

    /// Gives way on targets that are in another instance's charge by now: that one
    /// hears of online requests there, but not of these streams. All that is known
    /// here is the target's own late report. Stopping the streams at once was
    /// tried; each planned replacement then ran items again.
    fn yield_elsewhere(&self, view: &View, charge: &[Arc<Node>], now: Instant) {
        let is_mine = |name: &TargetId| charge.iter().any(|node| node.target.name == *name);
        let elsewhere: BTreeSet<&TargetId> =
            self.streams.values().map(|s| &s.target).filter(|name| !is_mine(name)).collect();
        for node in elsewhere.into_iter().filter_map(|name| view.nodes.get(name)) {
            let (online, batch) = {
                let state = lock(&node.state);
                (state.load.online(now), state.load.batch(now))
            };
            let over = (online + batch).saturating_sub(node.target.slots);
            if online > 0 && over > 0 {
                self.park(&node.target.name, over);
            }
        }
    }

    /// Gives back chunks of services for which this instance has had no target in
    /// its charge for a while. A chunk in the hands of a live holder never lapses,
    /// so one that can't be run here would wait for ever.
    fn give_back_stranded(&mut self, free: &HashMap<String, usize>, now: Instant) {
        if self.shared.settings.is_guard_disabled("strand") {
            return;
        }
        for chunk in self.chunks.values_mut() {
            if free.contains_key(&chunk.work.service) {
                chunk.served = now;
            } else if now.saturating_duration_since(chunk.served) >= STRANDED {
                chunk.closing = true;
            }
        }
    }

    /// Starts or stops streams on one target; returns how many more could start,
    /// or `None` when the target is not in this instance's charge, or unusable.
    fn balance(&mut self, view: &View, node: &Arc<Node>, now: Instant) -> Option<usize> {
        let name = &node.target.name;
        let is_staying = |s: &&Stream| s.target == *name && !s.park.is_cancelled();
        let count = self.streams.values().filter(is_staying).count() as u32;
        let is_usable = !view.leaving.contains(name)
            && runs_version(view, node)
            && lock(&node.state).health.availability(now) == Availability::Full;
        if !is_usable || !view.ready {
            return None;
        }
        let room = self.room(node, count, now);
        let starts = match admission::decide(room) {
            Decision::Hold => 0,
            Decision::Stop(_) if self.shared.settings.is_guard_disabled("yield") => 0,
            Decision::Stop(most) => {
                self.park(name, most);
                0
            }
            Decision::Start(most) => self.start(node, most as usize),
        };
        Some(starts)
    }

    fn room(&self, node: &Node, batch: u32, now: Instant) -> Capacity {
        let mut state = lock(&node.state);
        // Its own requests and the peers' words are fresh; the report lags, and
        // counts batch streams of whoever decided before.
        let known = state.load.own() + state.peer_load.sum(now);
        let online = known.max(state.load.online(now));
        state.peer_load.record(online, now);
        let peak = state.peer_load.peak(now);
        let reserve = state.peer_load.reserve(self.shared.settings.reserved_slots, now);
        let unyielding = self.shared.settings.is_guard_disabled("yield");
        if unyielding {
            return Capacity { slots: node.target.slots, reserve, online: 0, peak: 0, batch };
        }
        Capacity { slots: node.target.slots, reserve, online, peak, batch }
    }

    fn park(&self, target: &str, most: u32) {
        let fitting = self.streams.values().rev().filter(|s| s.target == target && s.repeatable);
        let running = fitting.filter(|s| !s.park.is_cancelled());
        running.take(most as usize).for_each(|s| s.park.cancel());
    }

    fn start(&mut self, node: &Arc<Node>, most: usize) -> usize {
        for started in 0..most {
            let may_once = self.once_on(&node.target.name) < node.target.slots.div_ceil(2);
            let Some((key, waiting)) = self.next_item(&node.target.service, may_once) else {
                return most - started;
            };
            self.spawn(node, key, waiting);
        }
        0
    }

    /// Streams on a target that can't make way, since their items may run once.
    fn once_on(&self, target: &str) -> u32 {
        let fixed = |s: &&Stream| s.target == target && !s.repeatable;
        self.streams.values().filter(fixed).count() as u32
    }

    /// The next item of the earliest due chunk of a service; items that may run
    /// once only when `may_once`.
    fn next_item(&mut self, service: &str, may_once: bool) -> Option<(ChunkKey, Waiting)> {
        let unrecorded: usize = self.chunks.values().map(Chunk::unrecorded).sum();
        if unrecorded >= MOST_UNRECORDED {
            return None;
        }
        let due = |chunk: &Chunk| if chunk.work.due == 0 { u64::MAX } else { chunk.work.due };
        let fits = |c: &Chunk| c.work.service == service && c.has_item(may_once);
        let fitting = self.chunks.iter_mut().filter(|(_, chunk)| fits(chunk));
        let (key, chunk) = fitting.min_by_key(|(key, chunk)| (due(chunk), **key))?;
        chunk.take(may_once).map(|waiting| (*key, waiting))
    }

    fn spawn(&mut self, node: &Arc<Node>, chunk: ChunkKey, waiting: Waiting) {
        self.counter += 1;
        let stream = self.counter;
        let park = CancellationToken::new();
        let Some(held) = self.chunks.get(&chunk) else {
            return;
        };
        let work = &held.work;
        let run = Run {
            client: self.client.clone(),
            to: node.target.address,
            service: work.service.clone(),
            key: format!("{}/{}/{}", work.job, work.chunk, waiting.index),
            attempt: rand::random(),
            as_online: self.shared.settings.is_guard_disabled("priority"),
            park: park.clone(),
        };
        let index = waiting.index;
        let repeatable = waiting.item.repeatable;
        let target = node.target.name.clone();
        self.streams.insert(stream, Stream { chunk, target, repeatable, park });
        let events = self.events.clone();
        tokio::spawn(async move {
            let end = item::run(run, waiting).await;
            drop(events.send(Event::Ended { chunk, index, stream, end }).await);
        });
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Ended { chunk, index, stream, end } => self.on_ended(chunk, index, stream, end),
            Event::Reported { chunk, sent } => self.on_reported(chunk, sent),
            Event::Claimed { shard, found } => self.on_claimed(shard, found),
        }
    }

    fn on_ended(&mut self, chunk: ChunkKey, index: u32, stream: u64, end: End) {
        let target = self.streams.remove(&stream).map(|s| s.target);
        if let Some(node) = target.and_then(|name| self.shared.view().nodes.get(&name).cloned()) {
            let mut state = lock(&node.state);
            match &end {
                End::Whole(_) => state.health.on_success(),
                End::NotTaken => state.health.on_failure(Instant::now()),
                // One prompt that can't be answered says nothing of its target.
                End::Parked(_) | End::Failed(_) => {}
            }
        }
        let name = match &end {
            End::Whole(_) => "batch.completed",
            End::Parked(_) => "batch.parked",
            End::Failed(_) => "batch.failed",
            End::NotTaken => "batch.not_taken",
        };
        self.shared.telemetry.count(name);
        if let Some(held) = self.chunks.get_mut(&chunk) {
            held.on_end(index, end, self.shared.settings.max_attempts);
        }
    }

    fn send_reports(&mut self, now: Instant) {
        let every = self.shared.settings.report_interval;
        for (key, chunk) in &mut self.chunks {
            if chunk.sending || !chunk.is_due(every, now) {
                continue;
            }
            chunk.sending = true;
            let report = chunk.make_report();
            let work = chunk.work.clone();
            let (shared, events, key) = (self.shared.clone(), self.events.clone(), *key);
            tokio::spawn(async move {
                let sent = report::send(&shared, &work, report).await;
                if sent == Sent::Failed {
                    tokio::time::sleep(FAILED.mul_f64(0.5 + rand::random::<f64>())).await;
                }
                drop(events.send(Event::Reported { chunk: key, sent }).await);
            });
        }
    }

    fn on_reported(&mut self, key: ChunkKey, sent: Sent) {
        let Some(chunk) = self.chunks.get_mut(&key) else {
            return;
        };
        chunk.sending = false;
        match sent {
            Sent::Recorded => {
                if chunk.on_recorded(Instant::now()) {
                    self.drop_chunk(key);
                }
            }
            // Test only: a holder that doesn't listen.
            Sent::Stopped if self.shared.settings.is_guard_disabled("cancel") => {
                chunk.on_recorded(Instant::now());
            }
            Sent::Stopped => {
                slog::info!(self.shared.log, "chunk is no longer ours"; "job" => &chunk.work.job,
                    "chunk" => chunk.work.chunk, "attempt" => chunk.work.attempt);
                self.shared.telemetry.count("batch.fenced");
                self.drop_chunk(key);
            }
            Sent::Failed => {}
        }
    }
}

/// Whether a target runs the version in force. Online requests are also served
/// by the one before while a rollout lasts; batch items can wait for it.
fn runs_version(view: &View, node: &Node) -> bool {
    let Some(service) = view.document.services.get(&node.target.service) else {
        return false;
    };
    let is_chat = service.protocol == Protocol::Chat;
    is_chat && node.version().is_some_and(|version| version == service.version)
}
