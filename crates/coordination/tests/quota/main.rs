//! Quotas in virtual time: what runs in each sliding window over all data centres, and what is
//! refused of requests below the quota.

mod fleet;

use coordination::quota::{Attempt, Policy};
use fleet::{Fleet, NAMES, STEP, WORKSPACE};
use proptest::prelude::*;
use protocol::workspace::Quota;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

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

/// Callers that come again when told are served.
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
    for _ in 0..700 {
        let later = waiting.split_off(&fleet.now);
        for (_, count) in std::mem::replace(&mut waiting, later) {
            served += (0..count).filter(|_| fleet.ask_as(0, Attempt::Retry).is_ok()).count();
        }
        fleet.step();
    }
    assert_eq!(served, 12);
}

/// Longest wait of the route in the hot load: a third of an objective of 300 ms.
const HOT_WAIT: Duration = Duration::from_millis(100);
const CALLER_TIME: Duration = Duration::from_secs(5);

/// Parts of what the quota allows that ran: at the first attempt within [`HOT_WAIT`], and later.
/// Requests of one step come in random order.
fn play_hot_load(fleet: &mut Fleet, usual: f64, time: Duration) -> (f64, f64) {
    let mut random = StdRng::seed_from_u64(7);
    let mut retries: BTreeMap<Instant, usize> = BTreeMap::new();
    let (mut in_time, mut late, start) = (0, 0, fleet.now);
    let mut due = 0.0;
    while fleet.now < start + time {
        due += usual * 7.5 * STEP.as_secs_f64();
        let later = retries.split_off(&(fleet.now + STEP));
        let retry_count: usize = std::mem::replace(&mut retries, later).into_values().sum();
        let mut attempts = vec![Attempt::Retry; retry_count];
        attempts.resize(retry_count + due as usize, Attempt::Fresh { max_wait: HOT_WAIT });
        due = due.fract();
        attempts.shuffle(&mut random);
        for attempt in attempts {
            match (fleet.ask_as(random.random_range(0..3), attempt), attempt) {
                (Ok(_), Attempt::Retry) => late += 1,
                (Ok(wait), _) => in_time += u32::from(wait <= HOT_WAIT),
                (Err(_), Attempt::Retry) => {}
                (Err(after), _) => {
                    *retries.entry(fleet.now + after.min(CALLER_TIME / 3)).or_default() += 1;
                }
            }
        }
        fleet.step();
    }
    let allowed = fleet.quota.rate * time.as_secs_f64();
    (f64::from(in_time) / allowed, f64::from(late) / allowed)
}

/// Guards against a quota that is spent on callers that come again, whose objective is missed,
/// while as many fresh requests are rejected to come late themselves.
#[rstest]
#[case::large(60.0)]
#[case::middle(12.0)]
#[case::small(3.0)]
fn hot_workspace_is_served_at_the_first_attempt(#[case] usual: f64) {
    let play = |fresh_first| {
        let policy = Policy { fresh_first, ..Policy::default() };
        let mut fleet = Fleet::of(&NAMES, policy, quota(usual * 1.6));
        fleet.play(Duration::from_secs(8), [usual / 3.0; 3]);
        // The first seconds spend the burst.
        play_hot_load(&mut fleet, usual, Duration::from_secs(6));
        let served = play_hot_load(&mut fleet, usual, Duration::from_secs(20));
        assert!(fleet.busiest_window() as f64 <= fleet.bound(), "{}", fleet.busiest_window());
        served
    };
    let (in_time, late) = play(true);
    assert!(in_time > 0.95 && late < 0.03, "{in_time} in time and {late} late");
    let (in_time, late) = play(false);
    assert!(in_time < 0.85 && late > 0.15, "in the old order {in_time} in time and {late} late");
}

/// Guards against reservations that grow without a bound where the objective is long.
#[test]
fn fresh_request_reserves_the_next_token_within_its_wait() {
    let mut fleet = Fleet { borrows: false, ..Fleet::new(quota(30.0)) };
    while fleet.ask(0).is_ok() {}
    // The part of one data centre allows a request every 100 ms.
    let short = Attempt::Fresh { max_wait: Duration::from_millis(99) };
    let wait = fleet.ask_as(0, short).expect("a reservation");
    assert!(!wait.is_zero() && wait <= Duration::from_millis(99), "{wait:?}");
    assert!(fleet.ask_as(0, short).is_err(), "the next token is due later");
    let long = Attempt::Fresh { max_wait: Duration::from_secs(60) };
    let reserved = (0..1_000).take_while(|_| fleet.ask_as(0, long).is_ok()).count();
    let tolerance = fleet.policy.tolerance(fleet.quota);
    assert!(reserved > 0 && (reserved as f64) < tolerance / 3.0, "{reserved} of {tolerance}");
}

/// Guards against callers of a moderately busy workspace that come again in vain.
#[test]
fn retry_gets_what_fresh_requests_leave() {
    let mut fleet = Fleet { borrows: false, ..Fleet::new(quota(30.0)) };
    fleet.play(Duration::from_secs(8), [20.0; 3]);
    let turn = |fleet: &mut Fleet| fleet.ask_as(0, Attempt::Retry).expect_err("no token");
    assert_eq!(turn(&mut fleet), Duration::from_secs(5), "while fresh requests need all");
    fleet.play(Duration::from_secs(4), [4.0, 4.0, 4.0]);
    assert!(fleet.ask_as(0, Attempt::Retry).is_ok());
    while fleet.ask_as(0, Attempt::Retry).is_ok() {}
    assert!(turn(&mut fleet) < Duration::from_secs(2), "most of the rate is left");
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
        max_wait_ms in 0_u64..2_000,
        loads in proptest::collection::vec((50_u64..3_000, any::<[u8; 3]>()), 1..12),
    ) {
        let attempt = Attempt::Fresh { max_wait: Duration::from_millis(max_wait_ms) };
        let mut fleet = Fleet { attempt, ..Fleet::new(quota(rate)) };
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
        max_wait_ms in 0_u64..2_000,
        events in proptest::collection::vec(event(), 1..12),
    ) {
        let attempt = Attempt::Fresh { max_wait: Duration::from_millis(max_wait_ms) };
        let quota = Quota { rate, burst: rate * burst_ratio };
        let mut fleet = Fleet { attempt, ..Fleet::new(quota) };
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

    /// Two ledgers that lend to each other, with lost messages and one partition.
    #[test]
    fn no_window_exceeds_the_quota_with_two_ledgers(
        rate in 0.3_f64..120.0,
        burst_ratio in 0.0_f64..1.0,
        max_wait_ms in 0_u64..2_000,
        lost_one_in in prop_oneof![Just(0_u64), 2_u64..20],
        loads in proptest::collection::vec((50_u64..2_000, any::<[u8; 2]>()), 2..14),
        cut in (0_usize..14, 1_usize..6),
    ) {
        let attempt = Attempt::Fresh { max_wait: Duration::from_millis(max_wait_ms) };
        let quota = Quota { rate, burst: rate * burst_ratio };
        let fleet = Fleet::of(&NAMES[..2], Policy::default(), quota);
        let mut fleet = Fleet { attempt, lost_one_in, ..fleet };
        for (at, (millis, load)) in loads.into_iter().enumerate() {
            fleet.cut = (cut.0..cut.0 + cut.1).contains(&at).then_some(0);
            let rates = load.map(|part| f64::from(part) / 64.0 * rate);
            fleet.play(Duration::from_millis(millis), [rates[0], rates[1], 0.0]);
        }
        prop_assert!(fleet.busiest_window() as f64 <= fleet.bound(),
            "{} of {}", fleet.busiest_window(), fleet.bound());
    }
}
