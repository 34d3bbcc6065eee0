//! Jobs and online requests on the slots of one allocator, in virtual time.

use crate::common;
use coordination::run_time::{Estimate, Sample};
use coordination::slots::{
    Allocator, Decision, Grant, LeaseId, LeaseOutcome, LeaseReport, Policy, Purpose, Request,
    Revocation, WaiterId, Workload,
};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
/// Time step of the simulation.
pub const STEP: Duration = Duration::from_millis(10);
const TARGETS: u16 = 30;
const SLOTS: u32 = 7;
/// Time for which an online request holds its slot.
pub const HOLD: Duration = Duration::from_millis(750);
/// Mean slot time of an item.
pub const ITEM_SLOT_TIME: Duration = Duration::from_millis(4_800);
const ITEM_EVENTS: u32 = 96;
/// Time from the grant of a slot to an item's first event.
pub const FIRST_EVENT_DELAY: Duration = Duration::from_millis(100);
/// Time from submission to a job's deadline.
pub const JOB_TIME: Duration = Duration::from_secs(18);
pub const JOB_ITEMS: usize = 10;
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
const SLACK_FACTOR: f64 = 1.25;
/// How long jobs arrive.
pub const LOAD_DURATION: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug, Default)]
pub struct Item {
    pub needed: Duration,
    /// Slot time so far on a target of ordinary speed.
    pub used: Duration,
    /// Slot time so far on any target, until the deadline.
    pub spent: Duration,
    pub started: Option<Instant>,
    pub lease: Option<LeaseId>,
    pub done: Option<Instant>,
}

pub struct Job {
    pub due: Instant,
    pub items: Vec<Item>,
    pub request: Option<(WaiterId, Instant)>,
}

impl Job {
    /// The next item: the one with most slot time so far.
    pub fn next(&self) -> Option<usize> {
        let is_idle = |item: &Item| item.done.is_none() && item.lease.is_none();
        let idle = (0..self.items.len()).filter(|at| is_idle(&self.items[*at]));
        idle.max_by_key(|at| self.items[*at].used)
    }
}

pub struct Run {
    pub job: usize,
    pub item: usize,
    pub started: Instant,
    pub speed: f64,
}

impl Run {
    /// Slot time at ordinary speed that the item had before `now`.
    pub fn progress(&self, now: Instant) -> Duration {
        (now - self.started).saturating_sub(FIRST_EVENT_DELAY).mul_f64(self.speed)
    }
}

/// What is asked of the slots.
pub struct Load {
    /// Speed of every fourth target.
    pub fast_factor: f64,
    /// Mean of the slots that online requests use, as a ratio.
    pub online: f64,
    /// Durations in seconds and factors of the two phases of a wave.
    pub waves: [(f64, f64); 2],
    /// Batch load relative to the capacity that online requests leave.
    pub batch: f64,
    /// Largest deviation of an item's slot time from the mean, as a ratio.
    pub size_spread: f64,
    /// Whether jobs have 7 to 13 items, and online requests arrive until the last deadline.
    pub is_varied: bool,
}

impl Load {
    pub fn at(&self, at_s: f64) -> f64 {
        let [(low_s, low), (peak_s, peak)] = self.waves;
        self.online * if at_s % (low_s + peak_s) < low_s { low } else { peak }
    }
}

/// Sum of the speeds of the fastest slots, at most `limit` of them.
pub fn capacity(fast_factor: f64, limit: usize) -> f64 {
    let targets = common::targets(TARGETS, SLOTS);
    let speeds = targets.iter().map(|target| speed(&target.id, fast_factor));
    let mut slots: Vec<f64> = speeds.flat_map(|speed| [speed; SLOTS as usize]).collect();
    slots.sort_by(|a, b| b.total_cmp(a));
    slots.iter().take(limit).sum()
}

fn speed(target: &str, fast_factor: f64) -> f64 {
    let number: u16 = target.trim_start_matches('t').parse().expect("a target's number");
    if number % 4 == 3 { fast_factor } else { 1.0 }
}

pub struct World {
    pub allocator: Allocator,
    /// The holders' estimate, which the allocator updates if `has_updates`.
    pub estimate: Estimate,
    pub has_updates: bool,
    pub now: Instant,
    pub jobs: Vec<Job>,
    pub fast_factor: f64,
    pub runs: BTreeMap<LeaseId, Run>,
    /// End and speed.
    pub online: BTreeMap<LeaseId, (Instant, f64)>,
    /// Slot time at ordinary speed that online requests left and items could use.
    pub left_s: f64,
    pub online_waits: BTreeMap<WaiterId, Instant>,
    pub online_late: u32,
    pub online_all: u32,
    pub preemptions: u32,
}

impl World {
    pub fn new(policy: Policy, has_updates: bool, fast_factor: f64, now: Instant) -> World {
        let mut allocator = Allocator::new(policy, 0, now - Duration::from_secs(10));
        allocator.set_targets(&common::targets(TARGETS, SLOTS), now);
        World {
            allocator,
            estimate: Estimate::default(),
            has_updates,
            now,
            jobs: Vec::new(),
            fast_factor,
            runs: BTreeMap::new(),
            online: BTreeMap::new(),
            left_s: 0.0,
            online_waits: BTreeMap::new(),
            online_late: 0,
            online_all: 0,
            preemptions: 0,
        }
    }

    pub fn request(&self, purpose: Purpose) -> Request {
        let now = self.now;
        Request {
            holder: 1,
            data_centre: String::from("east"),
            service: String::from("llm"),
            purpose,
            due: now + Duration::from_secs(2),
            remaining: Duration::ZERO,
            is_started: false,
            latest_start: now + MS * 195,
            safe_start: now + MS * 195,
            expires: now + Duration::from_secs(2),
            total_slots: 0,
            excluded: Vec::new(),
            software: None,
            may_wait: true,
            workload: Workload::default(),
        }
    }

    pub fn arrive(&mut self) {
        self.online_all += 1;
        match self.allocator.on_request(self.request(Purpose::Online), self.now) {
            Decision::Granted(grant, revocation) => self.on_online(&grant, revocation, self.now),
            Decision::Queued(id) => {
                self.online_waits.insert(id, self.now);
            }
            Decision::Full(_) | Decision::NoTarget => self.online_late += 1,
        }
    }

    pub fn on_online(&mut self, grant: &Grant, revocation: Option<Revocation>, arrived: Instant) {
        let speed = speed(&grant.target, self.fast_factor);
        self.online.insert(grant.lease, (self.now + HOLD.div_f64(speed), speed));
        self.online_late += u32::from(self.now > arrived + MS * 195);
        if let Some(run) = revocation.and_then(|revocation| self.runs.remove(&revocation.lease)) {
            let progress = run.progress(self.now);
            self.on_run_end(&run).used += progress;
            self.preemptions += 1;
            let lease = revocation.map(|revocation| revocation.lease).expect("a revoked lease");
            let unused = LeaseReport { outcome: LeaseOutcome::Unused, ..LeaseReport::default() };
            self.allocator.on_release(lease, unused, self.now);
        }
    }

    /// Records the slot time of a run that ends now.
    pub fn on_run_end(&mut self, run: &Run) -> &mut Item {
        let job = &mut self.jobs[run.job];
        let item = &mut job.items[run.item];
        item.lease = None;
        item.spent += self.now.min(job.due).saturating_duration_since(run.started);
        item
    }

    pub fn events_so_far(&self, item: &Item) -> usize {
        (item.used.as_secs_f64() / ITEM_SLOT_TIME.as_secs_f64() * f64::from(ITEM_EVENTS)) as usize
    }

    /// Each job requests a slot for its next item, unless a request is queued.
    pub fn request_slots(&mut self) {
        for job in 0..self.jobs.len() {
            if let Some((id, since)) = self.jobs[job].request {
                if self.now < since + REQUEST_TIMEOUT {
                    continue;
                }
                self.allocator.on_waiter_gone(id);
                self.jobs[job].request = None;
            }
            while let Some(next) = self.jobs[job].next() {
                let due = self.jobs[job].due;
                let events_so_far = self.events_so_far(&self.jobs[job].items[next]);
                let latest = |time: Duration| due.checked_sub(time).expect("a time");
                let request = Request {
                    due: due.max(self.now),
                    remaining: self.estimate.remaining(events_so_far),
                    is_started: events_so_far > 0,
                    latest_start: latest(self.estimate.remaining(events_so_far)),
                    safe_start: latest(self.estimate.upper_bound(events_so_far, SLACK_FACTOR)),
                    ..self.request(Purpose::Batch)
                };
                match self.allocator.on_request(request, self.now) {
                    Decision::Granted(grant, _) => self.on_batch(job, &grant),
                    Decision::Queued(id) => {
                        self.jobs[job].request = Some((id, self.now));
                        break;
                    }
                    Decision::Full(_) | Decision::NoTarget => break,
                }
            }
        }
    }

    pub fn on_batch(&mut self, job: usize, grant: &Grant) {
        let Some(next) = self.jobs[job].next() else {
            let unused = LeaseReport { outcome: LeaseOutcome::Unused, ..LeaseReport::default() };
            self.allocator.on_release(grant.lease, unused, self.now);
            return;
        };
        let item = &mut self.jobs[job].items[next];
        item.lease = Some(grant.lease);
        item.started.get_or_insert(self.now);
        let speed = speed(&grant.target, self.fast_factor);
        self.runs.insert(grant.lease, Run { job, item: next, started: self.now, speed });
    }

    /// Sum of the speeds of the slots that items can use now: those without an online request, and
    /// no more than there are items before their deadline.
    pub fn usable(&self) -> f64 {
        let online: f64 = self.online.values().map(|(_, speed)| speed).sum();
        let pending = self.jobs.iter().filter(|job| job.due > self.now);
        let items = pending.map(|job| job.items.len()).sum();
        (capacity(self.fast_factor, usize::MAX) - online).min(capacity(self.fast_factor, items))
    }

    pub fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let ended: Vec<LeaseId> =
            self.online.iter().filter(|(_, (at, _))| *at <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.online.remove(&lease);
            self.allocator.on_release(lease, LeaseReport::default(), now);
        }
        let is_done = |run: &Run| {
            let item = &self.jobs[run.job].items[run.item];
            let left = item.needed.saturating_sub(item.used);
            now >= run.started + FIRST_EVENT_DELAY + left.div_f64(run.speed)
        };
        let done: Vec<LeaseId> =
            self.runs.iter().filter(|(_, run)| is_done(run)).map(|(id, _)| *id).collect();
        for lease in done {
            let run = self.runs.remove(&lease).expect("a running item");
            let item = self.on_run_end(&run);
            item.done = Some(now);
            let elapsed = now - item.started.expect("a started item");
            let events = (item.needed.as_secs_f64() / ITEM_SLOT_TIME.as_secs_f64()
                * f64::from(ITEM_EVENTS)) as u32;
            let event_interval = (ITEM_SLOT_TIME / ITEM_EVENTS).div_f64(run.speed);
            let done = Sample { events, event_interval, elapsed };
            let report = LeaseReport { completed: Some(done), ..LeaseReport::default() };
            self.allocator.on_release(lease, report, now);
        }
        // Each job has its own holder, which learns only from the allocator's estimate.
        if self.has_updates {
            self.estimate.merge(self.allocator.run_time());
        }
        for (id, grant, revocation) in self.allocator.next_grants(now) {
            if let Some(arrived) = self.online_waits.remove(&id) {
                self.on_online(&grant, revocation, arrived);
                continue;
            }
            let queued = |job: &Job| job.request.is_some_and(|(waiter, _)| waiter == id);
            let job = self.jobs.iter().position(queued).expect("a queued request");
            self.jobs[job].request = None;
            self.on_batch(job, &grant);
        }
        self.online_late += self.allocator.take_unserviceable(now).len() as u32;
        self.request_slots();
        self.left_s += self.usable() * STEP.as_secs_f64();
    }
}
