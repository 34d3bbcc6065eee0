//! Batch beside online that comes in waves, in virtual time: at what the slots can just
//! bear, and at two and a half times that, for good. What counts is how many items are
//! done by the time they are due, and what is thrown away.

mod common;

use coordination::run_time::{Estimate, Sample};
use coordination::slots::{
    Allocator, Decision, Grant, LeaseId, LeaseOutcome, LeaseReport, Policy, Purpose, Request,
    Revocation, WaiterId,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
/// Time between steps.
const STEP: Duration = Duration::from_millis(10);
const TARGETS: u16 = 30;
const SLOTS: u32 = 7;
/// Time for which an online request holds its slot.
const HOLD: Duration = Duration::from_millis(750);
/// Slot time of an item in the mean, and its events.
const ITEM: Duration = Duration::from_millis(4_800);
const EVENTS: u32 = 96;
/// Time from the grant of a slot to an item's first event.
const START: Duration = Duration::from_millis(100);
/// Time in which a job's items are to be done.
const DUE: Duration = Duration::from_secs(18);
const ITEMS: usize = 10;
/// Longest wait of one wish for a slot.
const WISH: Duration = Duration::from_millis(800);
/// Time allowed to an item beyond the mean, as a factor.
const SPARE: f64 = 1.25;
/// How long jobs come.
const LOAD: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug, Default)]
struct Item {
    /// Slot time that it needs.
    needs: Duration,
    /// Slot time that it has had.
    had: Duration,
    began: Option<Instant>,
    lease: Option<LeaseId>,
    done: Option<Instant>,
}

struct Job {
    due: Instant,
    items: Vec<Item>,
    wish: Option<(WaiterId, Instant)>,
}

impl Job {
    /// The item that goes next: what has had most of its time.
    fn next(&self) -> Option<usize> {
        let idle = |item: &Item| item.done.is_none() && item.lease.is_none();
        let idle = (0..self.items.len()).filter(|at| idle(&self.items[*at]));
        idle.max_by_key(|at| self.items[*at].had)
    }
}

struct Run {
    job: usize,
    item: usize,
    began: Instant,
}

struct World {
    ledger: Allocator,
    /// What the holders know of how long items run, and whether the account tells them.
    span: Estimate,
    is_told: bool,
    now: Instant,
    jobs: Vec<Job>,
    runs: BTreeMap<LeaseId, Run>,
    online: BTreeMap<LeaseId, Instant>,
    online_waits: BTreeMap<WaiterId, Instant>,
    online_late: u32,
    online_all: u32,
    cuts: u32,
}

impl World {
    fn new(policy: Policy, is_told: bool, now: Instant) -> World {
        let mut ledger = Allocator::new(policy, 0, now - Duration::from_secs(10));
        ledger.set_targets(&common::targets(TARGETS, SLOTS));
        World {
            ledger,
            span: Estimate::default(),
            is_told,
            now,
            jobs: Vec::new(),
            runs: BTreeMap::new(),
            online: BTreeMap::new(),
            online_waits: BTreeMap::new(),
            online_late: 0,
            online_all: 0,
            cuts: 0,
        }
    }

    fn ask(&self, purpose: Purpose) -> Request {
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
            may_wait: true,
        }
    }

    fn arrive(&mut self) {
        self.online_all += 1;
        match self.ledger.on_request(self.ask(Purpose::Online), self.now) {
            Decision::Granted(grant, stopped) => self.on_online(&grant, stopped, self.now),
            Decision::Queued(id) => {
                self.online_waits.insert(id, self.now);
            }
            Decision::Full(_) | Decision::NoTarget => self.online_late += 1,
        }
    }

    fn on_online(&mut self, grant: &Grant, stopped: Option<Revocation>, came: Instant) {
        self.online.insert(grant.lease, self.now + HOLD);
        self.online_late += u32::from(self.now > came + MS * 195);
        if let Some(run) = stopped.and_then(|stopped| self.runs.remove(&stopped.lease)) {
            let item = &mut self.jobs[run.job].items[run.item];
            item.lease = None;
            item.had += (self.now - run.began).saturating_sub(START);
            self.cuts += 1;
            let lease = stopped.map(|stopped| stopped.lease).expect("it was stopped");
            let unused = LeaseReport { outcome: LeaseOutcome::Unused, ..LeaseReport::default() };
            self.ledger.on_release(lease, unused, self.now);
        }
    }

    fn made(&self, item: &Item) -> usize {
        (item.had.as_secs_f64() / ITEM.as_secs_f64() * f64::from(EVENTS)) as usize
    }

    /// Each job asks for a slot for its next item, unless it waits for one.
    fn wish(&mut self) {
        for job in 0..self.jobs.len() {
            if let Some((id, since)) = self.jobs[job].wish {
                if self.now < since + WISH {
                    continue;
                }
                self.ledger.on_waiter_gone(id);
                self.jobs[job].wish = None;
            }
            while let Some(next) = self.jobs[job].next() {
                let due = self.jobs[job].due;
                let made = self.made(&self.jobs[job].items[next]);
                let latest = |time: Duration| due.checked_sub(time).expect("a time");
                let ask = Request {
                    due: due.max(self.now),
                    remaining: self.span.remaining(made),
                    is_started: made > 0,
                    latest_start: latest(self.span.remaining(made)),
                    safe_start: latest(self.span.upper_bound(made, SPARE)),
                    ..self.ask(Purpose::Batch)
                };
                match self.ledger.on_request(ask, self.now) {
                    Decision::Granted(grant, _) => self.on_batch(job, &grant),
                    Decision::Queued(id) => {
                        self.jobs[job].wish = Some((id, self.now));
                        break;
                    }
                    Decision::Full(_) | Decision::NoTarget => break,
                }
            }
        }
    }

    fn on_batch(&mut self, job: usize, grant: &Grant) {
        let Some(next) = self.jobs[job].next() else {
            let unused = LeaseReport { outcome: LeaseOutcome::Unused, ..LeaseReport::default() };
            self.ledger.on_release(grant.lease, unused, self.now);
            return;
        };
        let item = &mut self.jobs[job].items[next];
        item.lease = Some(grant.lease);
        item.began.get_or_insert(self.now);
        self.runs.insert(grant.lease, Run { job, item: next, began: self.now });
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let ended: Vec<LeaseId> =
            self.online.iter().filter(|(_, at)| **at <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.online.remove(&lease);
            self.ledger.on_release(lease, LeaseReport::default(), now);
        }
        let is_done = |run: &Run| {
            let item = &self.jobs[run.job].items[run.item];
            let left = item.needs.saturating_sub(item.had);
            now >= run.began + START + left
        };
        let done: Vec<LeaseId> =
            self.runs.iter().filter(|(_, run)| is_done(run)).map(|(id, _)| *id).collect();
        for lease in done {
            let run = self.runs.remove(&lease).expect("it ran");
            let item = &mut self.jobs[run.job].items[run.item];
            item.done = Some(now);
            item.lease = None;
            let took = now - item.began.expect("it began");
            let events = (item.needs.as_secs_f64() / ITEM.as_secs_f64() * f64::from(EVENTS)) as u32;
            let done = Sample { events, event_interval: ITEM / EVENTS, elapsed: took };
            let report = LeaseReport { completed: Some(done), ..LeaseReport::default() };
            self.ledger.on_release(lease, report, now);
        }
        // Every job's holder is another instance: what it knows is the account's word.
        if self.is_told {
            self.span.merge(self.ledger.run_time());
        }
        for (id, grant, stopped) in self.ledger.next_grants(now) {
            if let Some(came) = self.online_waits.remove(&id) {
                self.on_online(&grant, stopped, came);
                continue;
            }
            let waits = |job: &Job| job.wish.is_some_and(|(waiter, _)| waiter == id);
            let job = self.jobs.iter().position(waits).expect("somebody waited");
            self.jobs[job].wish = None;
            self.on_batch(job, &grant);
        }
        self.online_late += self.ledger.take_unserviceable(now).len() as u32;
        self.wish();
    }
}

/// What callers got.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    asked: usize,
    in_time: usize,
    late: usize,
    cuts: u32,
    /// Slot time of items that were never done, in items.
    wasted: f64,
    online_late: f64,
}

/// Lows of 3.8 s and peaks of 2.8 s of online, with `load` times as much batch as the
/// slots can bear besides.
fn play(policy: Policy, is_told: bool, load: f64, seed: u64) -> Tally {
    let start = Instant::now();
    let mut world = World::new(policy, is_told, start);
    let mut draw = StdRng::seed_from_u64(seed);
    let slots = f64::from(u32::from(TARGETS) * SLOTS);
    let online = 0.57 * slots;
    let jobs_per_s = load * (slots - online) / (ITEM + START).as_secs_f64() / ITEMS as f64;
    let step_s = STEP.as_secs_f64();
    while world.now < start + LOAD + DUE {
        let at = (world.now - start).as_secs_f64();
        let swing = if at % 6.6 < 3.8 { 0.377 } else { 1.6 };
        let arrivals =
            if world.now < start + LOAD { online * swing / HOLD.as_secs_f64() } else { 0.0 };
        let mut left = arrivals * step_s;
        while left > 0.0 {
            if draw.random::<f64>() < left {
                world.arrive();
            }
            left -= 1.0;
        }
        if world.now < start + LOAD && draw.random::<f64>() < jobs_per_s * step_s {
            // Sizes differ by a quarter, as the ones observed.
            let item =
                |_| Item { needs: ITEM.mul_f64(draw.random_range(0.6..1.4)), ..Item::default() };
            let items = (0..ITEMS).map(item).collect();
            world.jobs.push(Job { due: world.now + DUE, items, wish: None });
        }
        world.step();
    }
    let mut tally = Tally { cuts: world.cuts, ..Tally::default() };
    for job in &world.jobs {
        for item in &job.items {
            tally.asked += 1;
            match item.done {
                Some(at) if at <= job.due => tally.in_time += 1,
                Some(_) => tally.late += 1,
                None => tally.wasted += item.had.as_secs_f64() / ITEM.as_secs_f64(),
            }
        }
    }
    tally.online_late = f64::from(world.online_late) / f64::from(world.online_all.max(1));
    tally
}

/// Regression: on a fleet of many instances each sees too few items to learn how long they
/// run, so what couldn't be in time any more went first: of 1,629 items 274 were in time on
/// a day without any fault.
#[rstest]
fn in_a_shortage_most_of_what_is_done_is_in_time(#[values(1, 2, 3)] seed: u64) {
    let tally = play(Policy::default(), true, 2.5, seed);
    let done = tally.in_time + tally.late;
    assert!(tally.in_time * 10 >= done * 8, "{tally:?}");
    assert!(tally.wasted < 5.0, "slots went into what was never done: {tally:?}");
    assert!(tally.online_late < 0.001, "online pays for it: {tally:?}");
    // Before, 513, 438 and 413 of 2,760 to 2,900 were in time; now 1,501 to 1,580.
    let untold = play(Policy::default(), false, 2.5, seed);
    assert!(tally.in_time > 2 * untold.in_time, "{tally:?}, untold {untold:?}");
}

/// Regression: batch left a share of the slots free, six in a hundred, however many there
/// were and however few requests came, and fell behind at what the slots could bear.
#[rstest]
fn at_what_the_slots_can_bear_nearly_all_is_in_time(#[values(1, 2, 3)] seed: u64) {
    let tally = play(Policy::default(), true, 1.1, seed);
    assert!(tally.in_time * 100 >= tally.asked * 93, "{tally:?}");
    assert!(tally.online_late < 0.001, "online pays for it: {tally:?}");
    assert!(tally.cuts as usize <= tally.asked, "stopped too often: {tally:?}");
    // Before, 1,241, 1,163 and 1,219 were in time; now 1,286, 1,193 and 1,286.
    let never = Duration::from_secs(60);
    let wide = play(Policy { preemption_cost: never, ..Policy::default() }, true, 1.1, seed);
    assert!(tally.in_time > wide.in_time, "{tally:?}, by share alone {wide:?}");
}
