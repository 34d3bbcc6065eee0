//! A peak slightly above the capacity of all slots, in virtual time: the allocator decides which
//! requests are served in time, late or not at all.

mod common;

use coordination::slots::{
    Allocator, Decision, Grant, LeaseOutcome, LeaseReport, Policy, Purpose, Request, WaiterId,
    Workload,
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
/// Maximum wait for a slot with which a response meets its objective.
const IN_TIME: Duration = Duration::from_millis(195);
/// Time after which a caller leaves.
const CALLER_TIMEOUT: Duration = Duration::from_secs(2);
const TARGETS: u16 = 7;
const SLOTS: u32 = 8;

/// Outcomes of a run's requests.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    in_time: u32,
    late: u32,
    rejected: u32,
    left: u32,
}

struct World {
    allocator: Allocator,
    now: Instant,
    /// Active leases by the time at which they end.
    lease_ends: BinaryHeap<Reverse<(Instant, u64)>>,
    waiting: HashMap<WaiterId, Instant>,
    tally: Tally,
}

impl World {
    fn new(policy: Policy, now: Instant) -> World {
        let mut allocator = Allocator::new(policy, 0, now - Duration::from_secs(10));
        allocator.set_targets(&common::targets(TARGETS, SLOTS), now);
        let (lease_ends, waiting) = (BinaryHeap::new(), HashMap::new());
        World { allocator, now, lease_ends, waiting, tally: Tally::default() }
    }

    fn on_grant(&mut self, grant: &Grant, arrived: Instant) {
        self.lease_ends.push(Reverse((self.now + HOLD, grant.lease)));
        if self.now <= arrived + IN_TIME {
            self.tally.in_time += 1;
        } else {
            self.tally.late += 1;
        }
    }

    fn arrive(&mut self) {
        let now = self.now;
        let request = Request {
            holder: 1,
            data_centre: String::from("east"),
            service: String::from("llm"),
            purpose: Purpose::Online,
            due: now + CALLER_TIMEOUT,
            remaining: Duration::ZERO,
            is_started: false,
            latest_start: now + IN_TIME,
            safe_start: now + IN_TIME,
            expires: now + CALLER_TIMEOUT,
            total_slots: 0,
            excluded: Vec::new(),
            software: None,
            may_wait: true,
            workload: Workload::default(),
        };
        match self.allocator.on_request(request, now) {
            Decision::Granted(grant, _) => self.on_grant(&grant, now),
            Decision::Queued(id) => {
                self.waiting.insert(id, now);
            }
            Decision::Full(_) | Decision::NoTarget => self.tally.rejected += 1,
        }
    }

    fn step(&mut self) {
        self.now += MS;
        while let Some(Reverse((at, lease))) = self.lease_ends.peek().copied()
            && at <= self.now
        {
            self.lease_ends.pop();
            let report = LeaseReport { outcome: LeaseOutcome::Completed, ..LeaseReport::default() };
            self.allocator.on_release(lease, report, self.now);
        }
        for (id, grant, _) in self.allocator.next_grants(self.now) {
            let arrived = self.waiting.remove(&id).expect("a queued request");
            self.on_grant(&grant, arrived);
        }
        for (id, _) in self.allocator.take_unserviceable(self.now) {
            self.waiting.remove(&id);
            self.tally.rejected += 1;
        }
        let now = self.now;
        let gone: Vec<WaiterId> = self
            .waiting
            .iter()
            .filter(|(_, c)| now >= **c + CALLER_TIMEOUT)
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            self.waiting.remove(&id);
            self.allocator.on_waiter_gone(id);
            self.tally.left += 1;
        }
    }
}

/// Four peaks of 2.4 s at 1.15 times the capacity, with lows of 3.4 s between.
fn simulate(policy: Policy, seed: u64) -> Tally {
    let mut world = World::new(policy, Instant::now());
    let mut rng = StdRng::seed_from_u64(seed);
    let capacity = f64::from(TARGETS as u32 * SLOTS) / HOLD.as_secs_f64();
    for millisecond in 0..4 * 5_800 {
        let is_peak = millisecond % 5_800 < 2_400;
        let rate = capacity * if is_peak { 1.15 } else { 0.25 };
        if rng.random::<f64>() < rate / 1_000.0 {
            world.arrive();
        }
        world.step();
    }
    world.tally
}

#[rstest]
fn overload_makes_only_the_excess_late(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let tally = simulate(Policy::default(), seed);
    let all = tally.in_time + tally.late + tally.rejected + tally.left;
    let share = f64::from(tally.in_time) / f64::from(all);
    assert!(share > 0.9, "in time {share:.3}: {tally:?}");
    assert!(tally.left + tally.rejected <= all / 100, "the lows don't serve the rest: {tally:?}");
    // In order of arrival, one late request makes those behind it late.
    let in_order = simulate(Policy { late_last: false, ..Policy::default() }, seed);
    assert!(in_order.in_time < tally.in_time, "{in_order:?} and {tally:?}");
}
