//! A peak that asks for a little more than all slots, in virtual time: the account
//! decides who is served in time, who late and who not at all.

mod common;

use coordination::slots::{
    Allocator, Decision, Grant, LeaseOutcome, LeaseReport, Policy, Purpose, Request, WaiterId,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
/// Time for which a request holds its slot.
const HOLD: Duration = Duration::from_millis(750);
/// Time in which a slot must be had for an answer within its objective.
const IN_TIME: Duration = Duration::from_millis(195);
/// Time after which a caller leaves.
const PATIENCE: Duration = Duration::from_secs(2);
const TARGETS: u16 = 7;
const SLOTS: u32 = 8;

/// How the requests of a run ended.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    in_time: u32,
    late: u32,
    refused: u32,
    left: u32,
}

struct World {
    ledger: Allocator,
    now: Instant,
    /// Leases by the time at which they end.
    ends: BinaryHeap<Reverse<(Instant, u64)>>,
    waiting: HashMap<WaiterId, Instant>,
    tally: Tally,
}

impl World {
    fn new(policy: Policy, now: Instant) -> World {
        let mut ledger = Allocator::new(policy, 0, now - Duration::from_secs(10));
        ledger.set_targets(&common::targets(TARGETS, SLOTS));
        let (ends, waiting) = (BinaryHeap::new(), HashMap::new());
        World { ledger, now, ends, waiting, tally: Tally::default() }
    }

    fn on_grant(&mut self, grant: &Grant, came: Instant) {
        self.ends.push(Reverse((self.now + HOLD, grant.lease)));
        if self.now <= came + IN_TIME {
            self.tally.in_time += 1;
        } else {
            self.tally.late += 1;
        }
    }

    fn arrive(&mut self) {
        let now = self.now;
        let ask = Request {
            holder: 1,
            data_centre: String::from("east"),
            service: String::from("llm"),
            purpose: Purpose::Online,
            due: now + PATIENCE,
            remaining: Duration::ZERO,
            is_started: false,
            latest_start: now + IN_TIME,
            safe_start: now + IN_TIME,
            expires: now + PATIENCE,
            total_slots: 0,
            excluded: Vec::new(),
            may_wait: true,
        };
        match self.ledger.on_request(ask, now) {
            Decision::Granted(grant, _) => self.on_grant(&grant, now),
            Decision::Queued(id) => {
                self.waiting.insert(id, now);
            }
            Decision::Full(_) | Decision::NoTarget => self.tally.refused += 1,
        }
    }

    fn step(&mut self) {
        self.now += MS;
        while let Some(Reverse((at, lease))) = self.ends.peek().copied()
            && at <= self.now
        {
            self.ends.pop();
            let report = LeaseReport { outcome: LeaseOutcome::Completed, ..LeaseReport::default() };
            self.ledger.on_release(lease, report, self.now);
        }
        for (id, grant, _) in self.ledger.next_grants(self.now) {
            let came = self.waiting.remove(&id).expect("it waited");
            self.on_grant(&grant, came);
        }
        for (id, _) in self.ledger.take_unserviceable(self.now) {
            self.waiting.remove(&id);
            self.tally.refused += 1;
        }
        let now = self.now;
        let gone: Vec<WaiterId> =
            self.waiting.iter().filter(|(_, c)| now >= **c + PATIENCE).map(|(id, _)| *id).collect();
        for id in gone {
            self.waiting.remove(&id);
            self.ledger.on_waiter_gone(id);
            self.tally.left += 1;
        }
    }
}

/// Four peaks of 2.4 s at 1.15 times what the slots serve, lows of 3.4 s between.
fn play(policy: Policy, seed: u64) -> Tally {
    let mut world = World::new(policy, Instant::now());
    let mut draw = StdRng::seed_from_u64(seed);
    let served = f64::from(TARGETS as u32 * SLOTS) / HOLD.as_secs_f64();
    for millisecond in 0..4 * 5_800 {
        let is_peak = millisecond % 5_800 < 2_400;
        let rate = served * if is_peak { 1.15 } else { 0.25 };
        if draw.random::<f64>() < rate / 1_000.0 {
            world.arrive();
        }
        world.step();
    }
    world.tally
}

#[rstest]
fn a_peak_makes_only_its_excess_late(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let tally = play(Policy::default(), seed);
    let all = tally.in_time + tally.late + tally.refused + tally.left;
    let share = f64::from(tally.in_time) / f64::from(all);
    assert!(share > 0.9, "in time {share:.3}: {tally:?}");
    assert!(tally.left + tally.refused <= all / 100, "the lows serve the rest: {tally:?}");
    // In order of arrival alone, one late request makes those behind it late.
    let plain = play(Policy { late_last: false, ..Policy::default() }, seed);
    assert!(plain.in_time < tally.in_time, "{plain:?} and {tally:?}");
}
