//! Main loop of the batch worker.

mod claim;

use super::accepts_work;
use super::chunk::{Chunk, PendingItem, RunOutcome};
use super::item::{self, Run};
use super::report::{self, ReportOutcome};
use crate::fleet::{FleetTarget, View, lock};
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

/// Interval between steps while there is batch work.
const BUSY_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between steps without batch work; an announcement wakes the worker at once.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);
const EVENT_CAPACITY: usize = 4096;
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Number of unrecorded outcomes from which on no new item starts.
const MAX_UNRECORDED: usize = 2048;
/// How long a chunk may be without a usable target before it is released.
const UNSERVICEABLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Local id of a chunk.
type ChunkKey = u64;

enum Event {
    Ended { chunk: ChunkKey, index: u32, stream: u64, outcome: RunOutcome },
    Reported { chunk: ChunkKey, outcome: ReportOutcome },
    Claimed { shard: ShardId, found: Result<Option<Box<Chunk>>, Error> },
}

struct Stream {
    chunk: ChunkKey,
    target: TargetId,
    repeatable: bool,
    preempt: CancellationToken,
}

struct Worker {
    shared: Arc<Shared>,
    client: Client,
    chunks: BTreeMap<ChunkKey, Chunk>,
    streams: BTreeMap<u64, Stream>,
    events: mpsc::Sender<Event>,
    next_id: u64,
    claiming: bool,
    next_claim: Instant,
    preferred_shard: Option<ShardId>,
    last_shard: ShardId,
    /// Claims in a row that found nothing.
    empty_claims: ShardId,
}

/// Runs batch work until `stop`.
pub async fn run(shared: Arc<Shared>, client: Client, stop: CancellationToken) {
    let (events, mut incoming) = mpsc::channel(EVENT_CAPACITY);
    let now = Instant::now();
    let mut worker = Worker {
        client,
        chunks: BTreeMap::new(),
        streams: BTreeMap::new(),
        events,
        next_id: 0,
        claiming: false,
        next_claim: now,
        preferred_shard: None,
        last_shard: rand::random::<ShardId>() % shared.settings.shards,
        empty_claims: 0,
        shared,
    };
    let wake = worker.shared.batch.wake.clone();
    loop {
        tokio::select! {
            event = incoming.recv() => event.into_iter().for_each(|e| worker.on_event(e)),
            () = wake.notified() => {}
            () = tokio::time::sleep(worker.step_interval()) => {}
            () = stop.cancelled() => return,
        }
        while let Ok(event) = incoming.try_recv() {
            worker.on_event(event);
        }
        worker.step(Instant::now());
    }
}

impl Worker {
    fn step_interval(&self) -> Duration {
        if self.chunks.is_empty() && self.streams.is_empty() {
            IDLE_INTERVAL
        } else {
            BUSY_INTERVAL
        }
    }

    fn step(&mut self, now: Instant) {
        let view = self.shared.view();
        self.drop_cancelled();
        if !accepts_work(&self.shared) {
            self.chunks.values_mut().for_each(|chunk| chunk.releasing = true);
        }
        let owned = self.shared.owned_targets();
        self.preempt_on_disowned_targets(&view, &owned, now);
        let mut free_slots = HashMap::new();
        for target in owned.iter() {
            if let Some(starts) = self.balance(&view, target, now) {
                *free_slots.entry(target.config.service.clone()).or_insert(0) += starts;
            }
        }
        self.release_unserviceable(&free_slots, now);
        self.send_reports(now);
        self.claim_chunk(&free_slots, now);
        self.shared.batch.set_assigned_chunks(self.chunks.len() + usize::from(self.claiming));
    }

    fn drop_cancelled(&mut self) {
        if self.shared.settings.is_guard_disabled("cancel") {
            return;
        }
        let batch = self.shared.batch.clone();
        let is_cancelled = |chunk: &Chunk| batch.is_cancelled(&chunk.assignment.job);
        let cancelled: Vec<ChunkKey> =
            self.chunks.iter().filter(|(_, c)| is_cancelled(c)).map(|(key, _)| *key).collect();
        cancelled.into_iter().for_each(|key| self.drop_chunk(key));
    }

    fn drop_chunk(&mut self, key: ChunkKey) {
        self.chunks.remove(&key);
        self.streams.values().filter(|s| s.chunk == key).for_each(|s| s.preempt.cancel());
    }

    /// Preempts streams on targets that another instance owns by now: that one knows the
    /// online requests there, but not these streams. Only what the target's report shows as
    /// too much is stopped: stopping all streams would make items run again at each planned
    /// replacement.
    fn preempt_on_disowned_targets(&self, view: &View, owned: &[Arc<FleetTarget>], now: Instant) {
        let is_owned = |name: &TargetId| owned.iter().any(|target| target.config.name == *name);
        let disowned: BTreeSet<&TargetId> =
            self.streams.values().map(|s| &s.target).filter(|name| !is_owned(name)).collect();
        for target in disowned.into_iter().filter_map(|name| view.targets.get(name)) {
            let (online, batch) = {
                let state = lock(&target.state);
                (state.load.online(now), state.load.batch(now))
            };
            let over = (online + batch).saturating_sub(target.config.slots);
            if online > 0 && over > 0 {
                self.preempt(&target.config.name, over);
            }
        }
    }

    /// Releases chunks of services for which this instance has owned no usable target for a
    /// while. The chunk of a live holder never expires, so it would otherwise wait forever.
    fn release_unserviceable(&mut self, free_slots: &HashMap<String, usize>, now: Instant) {
        if self.shared.settings.is_guard_disabled("strand") {
            return;
        }
        for chunk in self.chunks.values_mut() {
            if free_slots.contains_key(&chunk.assignment.service) {
                chunk.last_serviceable = now;
            } else if now.saturating_duration_since(chunk.last_serviceable) >= UNSERVICEABLE_TIMEOUT
            {
                chunk.releasing = true;
            }
        }
    }

    /// Starts or stops streams on one target; returns how many more could start, or `None`
    /// when the target is unusable.
    fn balance(&mut self, view: &View, target: &Arc<FleetTarget>, now: Instant) -> Option<usize> {
        let name = &target.config.name;
        let is_staying = |s: &&Stream| s.target == *name && !s.preempt.is_cancelled();
        let count = self.streams.values().filter(is_staying).count() as u32;
        let availability = target.availability(now);
        let is_usable = !view.leaving.contains(name)
            && runs_version_in_force(view, target)
            && availability != Availability::Ejected;
        if !is_usable || !view.ready {
            return None;
        }
        let most_starts = most_starts(target, availability, count);
        let capacity = self.capacity(target, count, now);
        let starts = match admission::decide(capacity) {
            Decision::Hold => 0,
            Decision::Stop(_) if self.shared.settings.is_guard_disabled("yield") => 0,
            Decision::Stop(count) => {
                self.preempt(name, count);
                0
            }
            Decision::Start(most) => self.start(target, most.min(most_starts) as usize),
        };
        Some(starts)
    }

    fn capacity(&self, target: &FleetTarget, batch: u32, now: Instant) -> Capacity {
        let mut state = lock(&target.state);
        // Own requests and the peers' reports are current; the target's report lags, and
        // counts streams of earlier owners.
        let known = state.load.own() + state.peer_load.sum(now);
        let online = known.max(state.load.online(now));
        state.peer_load.record(online, now);
        let peak = state.peer_load.peak(now);
        let reserve = state.peer_load.reserve(self.shared.settings.reserved_slots, now);
        let without_yield = self.shared.settings.is_guard_disabled("yield");
        if without_yield {
            return Capacity { slots: target.config.slots, reserve, online: 0, peak: 0, batch };
        }
        Capacity { slots: target.config.slots, reserve, online, peak, batch }
    }

    fn preempt(&self, target: &str, max_streams: u32) {
        let suitable = self.streams.values().rev().filter(|s| s.target == target && s.repeatable);
        let running = suitable.filter(|s| !s.preempt.is_cancelled());
        running.take(max_streams as usize).for_each(|s| s.preempt.cancel());
    }

    fn start(&mut self, target: &Arc<FleetTarget>, max_starts: usize) -> usize {
        for started in 0..max_starts {
            let allow_at_most_once =
                self.count_non_preemptible(&target.config.name) < target.config.slots.div_ceil(2);
            let Some((key, pending)) = self.next_item(&target.config.service, allow_at_most_once)
            else {
                return max_starts - started;
            };
            self.spawn_run(target, key, pending);
        }
        0
    }

    /// Streams on a target that can't be preempted, since their items may run only once.
    fn count_non_preemptible(&self, target: &str) -> u32 {
        let non_preemptible = |s: &&Stream| s.target == target && !s.repeatable;
        self.streams.values().filter(non_preemptible).count() as u32
    }

    /// Takes the next item of the chunk of a service that is due first; at-most-once items
    /// only if `allow_at_most_once`.
    fn next_item(
        &mut self,
        service: &str,
        allow_at_most_once: bool,
    ) -> Option<(ChunkKey, PendingItem)> {
        let unrecorded: usize = self.chunks.values().map(Chunk::unrecorded_count).sum();
        if unrecorded >= MAX_UNRECORDED {
            return None;
        }
        let due =
            |chunk: &Chunk| if chunk.assignment.due == 0 { u64::MAX } else { chunk.assignment.due };
        let fits = |c: &Chunk| c.assignment.service == service && c.has_item(allow_at_most_once);
        let suitable = self.chunks.iter_mut().filter(|(_, chunk)| fits(chunk));
        let (key, chunk) = suitable.min_by_key(|(key, chunk)| (due(chunk), **key))?;
        chunk.take_next(allow_at_most_once).map(|pending| (*key, pending))
    }

    fn spawn_run(&mut self, target: &Arc<FleetTarget>, chunk: ChunkKey, pending: PendingItem) {
        self.next_id += 1;
        let stream = self.next_id;
        let preempt = CancellationToken::new();
        let Some(held) = self.chunks.get(&chunk) else {
            return;
        };
        let assignment = &held.assignment;
        let run = Run {
            client: self.client.clone(),
            target: target.config.address,
            service: assignment.service.clone(),
            key: format!("{}/{}/{}", assignment.job, assignment.chunk, pending.index),
            attempt: rand::random(),
            as_online: self.shared.settings.is_guard_disabled("priority"),
            preempt: preempt.clone(),
        };
        let index = pending.index;
        let repeatable = pending.item.repeatable;
        let target = target.config.name.clone();
        self.streams.insert(stream, Stream { chunk, target, repeatable, preempt });
        let events = self.events.clone();
        tokio::spawn(async move {
            let outcome = item::run(run, pending).await;
            drop(events.send(Event::Ended { chunk, index, stream, outcome }).await);
        });
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Ended { chunk, index, stream, outcome } => {
                self.on_ended(chunk, index, stream, outcome)
            }
            Event::Reported { chunk, outcome } => self.on_reported(chunk, outcome),
            Event::Claimed { shard, found } => self.on_claimed(shard, found),
        }
    }

    fn on_ended(&mut self, chunk: ChunkKey, index: u32, stream: u64, outcome: RunOutcome) {
        let target = self.streams.remove(&stream).map(|s| s.target);
        if let Some(target) = target.and_then(|name| self.shared.view().targets.get(&name).cloned())
        {
            let mut state = lock(&target.state);
            match &outcome {
                RunOutcome::Completed(_) => state.health.on_success(),
                RunOutcome::Rejected => state.health.on_failure(Instant::now()),
                // A failure may be due to the prompt, so it says nothing about the target.
                RunOutcome::Preempted(_) | RunOutcome::Failed(_) => {}
            }
        }
        let name = match &outcome {
            RunOutcome::Completed(_) => "batch.completed",
            RunOutcome::Preempted(_) => "batch.parked",
            RunOutcome::Failed(_) => "batch.failed",
            RunOutcome::Rejected => "batch.not_taken",
        };
        self.shared.telemetry.count(name);
        if let Some(chunk) = self.chunks.get_mut(&chunk) {
            chunk.on_run_ended(index, outcome, self.shared.settings.max_attempts);
        }
    }

    fn send_reports(&mut self, now: Instant) {
        let interval = self.shared.settings.report_interval;
        for (key, chunk) in &mut self.chunks {
            if chunk.sending || !chunk.is_due(interval, now) {
                continue;
            }
            chunk.sending = true;
            let report = chunk.make_report();
            let assignment = chunk.assignment.clone();
            let (shared, events, key) = (self.shared.clone(), self.events.clone(), *key);
            tokio::spawn(async move {
                let outcome = report::send(&shared, &assignment, report).await;
                if outcome == ReportOutcome::Failed {
                    tokio::time::sleep(RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>())).await;
                }
                drop(events.send(Event::Reported { chunk: key, outcome }).await);
            });
        }
    }

    fn on_reported(&mut self, key: ChunkKey, outcome: ReportOutcome) {
        let Some(chunk) = self.chunks.get_mut(&key) else {
            return;
        };
        chunk.sending = false;
        match outcome {
            ReportOutcome::Recorded => {
                if chunk.on_recorded(Instant::now()) {
                    self.drop_chunk(key);
                }
            }
            // Injected fault: the holder ignores the revocation.
            ReportOutcome::Revoked if self.shared.settings.is_guard_disabled("cancel") => {
                chunk.on_recorded(Instant::now());
            }
            ReportOutcome::Revoked => {
                slog::info!(self.shared.log, "chunk revoked"; "job" => &chunk.assignment.job,
                    "chunk" => chunk.assignment.chunk, "attempt" => chunk.assignment.attempt);
                self.shared.telemetry.count("batch.fenced");
                self.drop_chunk(key);
            }
            ReportOutcome::Failed => {}
        }
    }
}

/// How many items may start on a target with `count` running ones, whatever its free slots.
fn most_starts(target: &FleetTarget, availability: Availability, count: u32) -> u32 {
    match availability {
        Availability::Ejected => 0,
        // One at a time shows whether the target is sound.
        Availability::Probation => 1u32.saturating_sub(count + lock(&target.state).load.own()),
        Availability::Full => u32::MAX,
    }
}

/// Whether a target runs the version in force. During a rollout the previous version still
/// serves online requests; batch items wait.
fn runs_version_in_force(view: &View, target: &FleetTarget) -> bool {
    let Some(service) = view.document.services.get(&target.config.service) else {
        return false;
    };
    let is_chat = service.protocol == Protocol::Chat;
    is_chat && target.version().is_some_and(|version| version == service.version)
}
