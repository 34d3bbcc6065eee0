//! Quotas in virtual time: what runs in each sliding window over all data centres, and what is
//! refused of requests below the quota.

use coordination::quota::{Ledger, Policy, Report};
use proptest::prelude::*;
use protocol::workspace::Quota;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

const WORKSPACE: &str = "press";
const NAMES: [&str; 3] = ["north", "south", "west"];
const STEP: Duration = Duration::from_millis(10);

fn data_centres() -> BTreeSet<String> {
    NAMES.iter().map(|name| (*name).to_owned()).collect()
}

/// One ledger per data centre; reports take one step, and are lost while `is_cut`.
struct Fleet {
    policy: Policy,
    quota: Quota,
    start: Instant,
    now: Instant,
    ledgers: Vec<Ledger>,
    epoch: u64,
    in_flight: Vec<(usize, Report)>,
    next_exchange: Instant,
    /// Data centre that is cut off.
    cut: Option<usize>,
    /// Requests that run, each with its time.
    runs: Vec<Instant>,
    /// Fractions of requests that are due in each data centre.
    due: [f64; 3],
    /// Whether requests are charged to another data centre once a part is used up.
    borrows: bool,
    asked: u64,
    refused: u64,
}

impl Fleet {
    fn new(quota: Quota) -> Fleet {
        let (policy, now) = (Policy::default(), Instant::now());
        let ledgers = NAMES.iter().map(|name| new_ledger(policy, name, 0, now)).collect();
        Fleet {
            policy,
            quota,
            start: now,
            now,
            ledgers,
            epoch: 0,
            in_flight: Vec::new(),
            next_exchange: now,
            cut: None,
            runs: Vec::new(),
            due: [0.0; 3],
            borrows: true,
            asked: 0,
            refused: 0,
        }
    }

    fn restart(&mut self, n: usize) {
        self.epoch += 1;
        self.ledgers[n] = new_ledger(self.policy, NAMES[n], self.epoch, self.now);
    }

    /// Replaces a ledger by one that continues from its snapshot.
    fn replace(&mut self, n: usize) {
        let snapshot = self.ledgers[n].snapshot();
        self.restart(n);
        self.ledgers[n].restore(snapshot, self.now);
    }

    fn ask(&mut self, n: usize) -> Result<(), Duration> {
        self.asked += 1;
        let result = self.ledgers[n].charge(WORKSPACE, self.quota, self.now);
        if result.is_ok() || self.borrow(n) {
            self.runs.push(self.now);
            return Ok(());
        }
        self.refused += 1;
        result
    }

    /// Borrows from any other data centre that can be reached.
    fn borrow(&mut self, n: usize) -> bool {
        let (now, quota) = (self.now, self.quota);
        let is_cut = |to: usize| self.cut.is_some_and(|cut| cut == n || cut == to);
        let others: Vec<usize> =
            (0..NAMES.len()).filter(|to| *to != n && self.borrows && !is_cut(*to)).collect();
        others.into_iter().any(|to| self.ledgers[to].lend(WORKSPACE, quota, now).is_ok())
    }

    fn step(&mut self) {
        self.now += STEP;
        for (to, report) in std::mem::take(&mut self.in_flight) {
            self.ledgers[to].on_report(report, self.now);
        }
        if self.now < self.next_exchange {
            return;
        }
        self.next_exchange = self.now + self.policy.exchange_interval;
        for from in 0..NAMES.len() {
            let report = self.ledgers[from].exchange(self.now);
            for to in (0..NAMES.len()).filter(|to| *to != from) {
                if self.cut.is_none_or(|cut| cut != from && cut != to) {
                    self.in_flight.push((to, report.clone()));
                }
            }
        }
    }

    /// Largest number of requests that ran in a sliding window.
    fn busiest_window(&self) -> usize {
        let (mut first, mut most) = (0, 0);
        for (last, at) in self.runs.iter().enumerate() {
            while at.duration_since(self.runs[first]) >= self.policy.window {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }

    fn bound(&self) -> f64 {
        self.policy.allowed(self.quota) + self.policy.tolerance(self.quota)
    }

    /// Plays a load for some time: `rates` requests per second in each data centre, evenly spread.
    fn play(&mut self, time: Duration, rates: [f64; 3]) {
        let until = self.now + time;
        while self.now < until {
            for (n, rate) in rates.into_iter().enumerate() {
                self.due[n] += rate * STEP.as_secs_f64();
                while self.due[n] >= 1.0 {
                    self.due[n] -= 1.0;
                    // A refusal is counted; these callers don't come back.
                    let _refused = self.ask(n);
                }
            }
            self.step();
        }
    }
}

fn new_ledger(policy: Policy, name: &str, epoch: u64, now: Instant) -> Ledger {
    let mut ledger = Ledger::new(policy, name, epoch, now);
    ledger.set_data_centres(&data_centres());
    ledger
}

fn quota(rate: f64) -> Quota {
    Quota { rate, burst: rate }
}

const PEAK: Duration = Duration::from_millis(2_200);
const LOW: Duration = Duration::from_secs(3);

/// Uneven data centres, and peaks of 1.85 times the mean against a quota of 1.6 times.
#[rstest]
#[case::large(60.0)]
#[case::middle(6.0)]
#[case::small(0.8)]
fn requests_below_the_quota_are_not_refused(#[case] mean: f64) {
    let mut fleet = Fleet::new(quota(mean * 1.6));
    let rates = |factor: f64| [0.366, 0.293, 0.341].map(|part| part * mean * factor);
    for _ in 0..8 {
        fleet.play(LOW, rates(0.378));
        fleet.play(PEAK, rates(1.85));
    }
    assert!(fleet.asked > 20);
    assert_eq!(fleet.refused, 0, "of {}", fleet.asked);
}

/// All requests come to one data centre, then all to another.
#[rstest]
#[case::large(60.0)]
#[case::small(1.0)]
fn quota_follows_the_demand(#[case] mean: f64) {
    let mut fleet = Fleet::new(quota(mean * 1.6));
    fleet.play(Duration::from_secs(10), [mean, 0.0, 0.0]);
    fleet.refused = 0;
    fleet.play(Duration::from_secs(10), [mean, 0.0, 0.0]);
    assert_eq!(fleet.refused, 0, "in a steady state");
    let asked = fleet.asked;
    fleet.play(Duration::from_secs(10), [0.0, mean, 0.0]);
    let refused_ratio = fleet.refused as f64 / (fleet.asked - asked) as f64;
    assert!(refused_ratio < 0.02, "{refused_ratio} after the move");
}

#[rstest]
#[case::large(95.0)]
#[case::middle(9.0)]
#[case::small(1.2)]
fn busy_workspace_is_held_to_its_quota_through_faults(#[case] rate: f64) {
    let mut fleet = Fleet::new(quota(rate));
    let load = [rate * 4.0, rate * 2.0, rate * 3.0];
    fleet.play(Duration::from_secs(8), [rate * 0.2; 3]);
    fleet.play(Duration::from_secs(8), load);
    fleet.cut = Some(0);
    fleet.play(Duration::from_secs(6), load);
    fleet.cut = None;
    fleet.play(Duration::from_secs(4), load);
    for n in 0..NAMES.len() {
        fleet.restart(n);
    }
    fleet.play(Duration::from_secs(8), load);
    assert!(fleet.busiest_window() as f64 <= fleet.bound(), "{}", fleet.busiest_window());
    let allowed = rate * fleet.now.duration_since(fleet.start).as_secs_f64();
    assert!(fleet.runs.len() as f64 > allowed * 0.75, "{} of {allowed}", fleet.runs.len());
}

/// Regression: a ledger that started inside a cut took an equal part of the quota, while the others
/// kept theirs.
#[rstest]
#[case::one(&[0])]
#[case::one_of_the_others(&[1])]
#[case::all(&[0, 1, 2])]
fn ledgers_that_start_inside_a_cut_do_not_exceed_the_quota(#[case] restarted: &[usize]) {
    let rate = 95.0;
    let mut fleet = Fleet::new(Quota { rate, burst: rate * 0.1 });
    // At first only the data centres whose ledgers stay have demand, so they hold the quota.
    let is_busy = |n: &usize| restarted.len() == NAMES.len() || !restarted.contains(n);
    let load = [0, 1, 2].map(|n| if is_busy(&n) { rate * 3.0 } else { 0.0 });
    fleet.play(Duration::from_secs(8), load);
    fleet.cut = Some(0);
    fleet.play(Duration::from_secs(6), load);
    restarted.iter().for_each(|n| fleet.restart(*n));
    fleet.play(Duration::from_secs(12), [rate * 3.0; 3]);
    let (busiest, bound) = (fleet.busiest_window() as f64, fleet.bound());
    assert!(busiest <= bound, "{busiest} of {bound}");
}

/// Regression: a ledger that started inside a cut didn't know the share of its predecessor.
#[rstest]
#[case::one(0)]
#[case::one_of_the_others(1)]
fn replaced_ledger_keeps_its_share_inside_a_cut(#[case] replaced: usize) {
    let rate = 60.0;
    let mut fleet = Fleet::new(quota(rate * 1.6));
    let load = [0.6, 0.25, 0.15].map(|part| part * rate);
    fleet.play(Duration::from_secs(8), load);
    fleet.cut = Some(0);
    fleet.play(Duration::from_secs(2), load);
    fleet.replace(replaced);
    (fleet.asked, fleet.refused) = (0, 0);
    fleet.play(Duration::from_secs(6), load);
    let refused_ratio = fleet.refused as f64 / fleet.asked as f64;
    assert!(refused_ratio < 0.02, "{refused_ratio} of requests below the quota are refused");
    let overload = [rate * 3.0; 3];
    fleet.play(Duration::from_secs(10), overload);
    assert!(fleet.busiest_window() as f64 <= fleet.bound(), "{}", fleet.busiest_window());
}

#[test]
fn lowered_quota_holds_one_window_later() {
    let mut fleet = Fleet::new(quota(60.0));
    fleet.play(Duration::from_secs(8), [40.0; 3]);
    fleet.quota = quota(6.0);
    fleet.play(Duration::from_secs(5), [40.0; 3]);
    fleet.runs.clear();
    fleet.play(Duration::from_secs(8), [40.0; 3]);
    assert!(fleet.busiest_window() as f64 <= fleet.bound(), "{}", fleet.busiest_window());
}

#[test]
fn refund_makes_room_for_another_request() {
    let mut fleet = Fleet { borrows: false, ..Fleet::new(quota(9.0)) };
    while fleet.ask(0).is_ok() {}
    fleet.ledgers[0].refund(WORKSPACE);
    assert!(fleet.ask(0).is_ok());
    assert!(fleet.ask(0).is_err());
}

/// Requests that a data centre's own part can't serve are charged to another one.
#[test]
fn used_up_part_borrows_from_another_data_centre() {
    let mut fleet = Fleet { borrows: false, ..Fleet::new(quota(30.0)) };
    while fleet.ask(0).is_ok() {}
    let (now, quota) = (fleet.now, fleet.quota);
    let mut borrowed = 0;
    while fleet.ledgers[1].lend(WORKSPACE, quota, now).is_ok() {
        borrowed += 1;
    }
    assert!(borrowed > 0);
    assert!(fleet.ask(1).is_err(), "what was lent is used up");
}

/// Callers that retry in their turn are served.
#[test]
fn caller_that_waits_as_told_is_served() {
    let mut fleet = Fleet { borrows: false, ..Fleet::new(quota(30.0)) };
    let mut waiting: BTreeMap<Instant, u32> = BTreeMap::new();
    while fleet.ask(0).is_ok() {}
    for _ in 0..12 {
        let after = fleet.ask(0).expect_err("the quota is used up");
        *waiting.entry(fleet.now + after).or_default() += 1;
    }
    let mut served = 0;
    for _ in 0..400 {
        let later = waiting.split_off(&fleet.now);
        for (_, count) in std::mem::replace(&mut waiting, later) {
            served += (0..count).filter(|_| fleet.ask(0).is_ok()).count();
        }
        fleet.step();
    }
    assert_eq!(served, 12);
}

#[derive(Clone, Debug)]
enum Event {
    Play { millis: u64, load: [u8; 3] },
    Cut(usize),
    Heal,
    Restart(usize),
    Replace(usize),
    RestartAll,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (50_u64..3_000, any::<[u8; 3]>())
            .prop_map(|(millis, load)| Event::Play { millis, load }),
        1 => (0_usize..3).prop_map(Event::Cut),
        1 => Just(Event::Heal),
        1 => (0_usize..3).prop_map(Event::Restart),
        1 => (0_usize..3).prop_map(Event::Replace),
        1 => Just(Event::RestartAll),
    ]
}

proptest! {
    /// Without cuts and restarts no schedule exceeds the bound.
    #[test]
    fn no_window_exceeds_the_quota_in_any_load(
        rate in 0.3_f64..120.0,
        loads in proptest::collection::vec((50_u64..3_000, any::<[u8; 3]>()), 1..12),
    ) {
        let mut fleet = Fleet::new(quota(rate));
        for (millis, load) in loads {
            let rates = load.map(|part| f64::from(part) / 64.0 * rate);
            fleet.play(Duration::from_millis(millis), rates);
        }
        prop_assert!(fleet.busiest_window() as f64 <= fleet.bound());
    }

    /// A cut, or a start of one or all ledgers, also inside a cut; each is followed by a window
    /// without another fault.
    #[test]
    fn no_window_exceeds_the_quota_in_any_schedule(
        rate in 0.3_f64..120.0,
        burst_ratio in 0.0_f64..1.0,
        events in proptest::collection::vec(event(), 1..12),
    ) {
        let mut fleet = Fleet::new(Quota { rate, burst: rate * burst_ratio });
        let mut last_fault: Option<Instant> = None;
        for event in events {
            let may_fail = last_fault.is_none_or(|at| fleet.now - at > fleet.policy.window);
            match event {
                Event::Play { millis, load } => {
                    let rates = load.map(|part| f64::from(part) / 64.0 * rate);
                    fleet.play(Duration::from_millis(millis), rates);
                    continue;
                }
                Event::Heal => {
                    fleet.cut = None;
                    continue;
                }
                Event::Cut(n) if may_fail && fleet.cut.is_none() => fleet.cut = Some(n),
                Event::Restart(n) if may_fail => fleet.restart(n),
                Event::Replace(n) if may_fail => fleet.replace(n),
                Event::RestartAll if may_fail => {
                    (0..NAMES.len()).for_each(|n| fleet.restart(n));
                }
                Event::Cut(_) | Event::Restart(_) | Event::Replace(_) | Event::RestartAll => continue,
            }
            last_fault = Some(fleet.now);
        }
        prop_assert!(fleet.busiest_window() as f64 <= fleet.bound(),
            "{} of {}", fleet.busiest_window(), fleet.bound());
    }
}
