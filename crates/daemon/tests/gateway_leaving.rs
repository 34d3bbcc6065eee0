//! A target that has said that it leaves, or whose entry has gone, gets no request
//! after [`BOUND`], whatever happens to those that watch for it.

mod util;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use serde_json::Value;
use standin::runner::{Config, Run};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use util::gateway::{Fleet, Plan};
use util::proxy::Mode;
use util::wait_until;

/// Longest time from a target's word until the last request reaches it: the
/// users' bound.
const BOUND: Duration = Duration::from_millis(2_000);
/// How long requests are sent after it: past the longest wait of a watch.
const WATCHED: Duration = Duration::from_millis(3_000);
/// Rounds of a seed.
const ROUNDS: usize = 3;
/// Pause between requests.
const PACE: Duration = Duration::from_millis(20);

/// Sends requests through these gateways from now until `more` after [`BOUND`].
fn send_on(fleet: &Fleet, gateways: &[usize], more: Duration) {
    let until = Instant::now() + BOUND + more;
    let mut sent = 0;
    while Instant::now() < until {
        for n in gateways {
            fleet.send(*n, &format!("/plain/{n}-{sent}"), &format!("on-{n}-{sent}"));
        }
        sent += 1;
        std::thread::sleep(PACE);
    }
}

/// Checks that runner `n` got nothing later than [`BOUND`] after `left`.
#[track_caller]
fn check_left_alone(fleet: &Fleet, n: usize, left: Instant) {
    let is_late = |run: &Run| run.arrived > left + BOUND;
    let runs = fleet.runners[n].runs();
    let late: Vec<Duration> =
        runs.iter().filter(|run| is_late(run)).map(|run| run.arrived - left).collect();
    assert!(late.is_empty(), "{} requests after its word, the last {:?}", late.len(), late.last());
}

/// Whether a gateway watches the targets, by its last line on that.
fn watches_targets(fleet: &Fleet, n: usize) -> bool {
    let lines = fleet.log(n);
    let is_seat = |line: &&Value| {
        line["kind"] == "servers"
            && (line["msg"] == "watch started" || line["msg"] == "watch stopped")
    };
    let last = lines.iter().rfind(is_seat);
    last.is_some_and(|line| line["msg"] == "watch started")
}

/// Has the watches that wait begin anew, so that they have most of their time left.
fn renew_watches(fleet: &Fleet) {
    let before = fleet.objects.counts().watches;
    fleet.touch_runner_entry(1);
    wait_until("watches begin anew", || fleet.objects.counts().watches > before);
    // Several watch; a watcher pauses after a change.
    std::thread::sleep(Duration::from_millis(500));
}

/// Regression: a watch whose request the store had taken and never answered was
/// noticed after its whole wait, 6.7 s, by all watchers alike.
#[test]
fn a_watch_that_is_never_answered_holds_up_no_news() {
    let fleet = Fleet::start(Plan::default());
    renew_watches(&fleet);
    fleet.objects.strand_watches();
    let left = Instant::now();
    fleet.set_runner_state(0, "draining");
    send_on(&fleet, &[0, 1, 2], WATCHED);
    check_left_alone(&fleet, 0, left);
}

/// Regression: the store was silent to all that watched; those to whom it would
/// have answered didn't ask.
#[test]
fn another_watches_when_the_platform_is_silent_to_a_watcher() {
    let plan = Plan { gateways: vec!["east", "east", "east"], ..Plan::default() };
    let (fleet, proxies) = Fleet::start_with_platform_proxies(plan);
    renew_watches(&fleet);
    let watchers: Vec<usize> = (0..3).filter(|n| watches_targets(&fleet, *n)).collect();
    assert_eq!(watchers.len(), 1, "one in each data centre");
    watchers.iter().for_each(|n| proxies[*n].set_mode(Mode::Stall));
    let left = Instant::now();
    fleet.set_runner_state(0, "draining");
    send_on(&fleet, &[0, 1, 2], WATCHED);
    check_left_alone(&fleet, 0, left);
}

/// Regression: who knew that a target leaves sent to it all the same, on a slot
/// that it got from the account of a data centre that didn't know yet.
#[test]
fn a_slot_of_a_target_known_to_leave_is_not_used() {
    let runner = |id: &str| Config { id: id.to_owned(), slots: 8, ..Config::default() };
    let plan = Plan {
        gateways: vec!["east", "west", "west"],
        // One that stays, or nobody would ask for slots in the east.
        runners: vec![("east", runner("r0")), ("east", runner("r1")), ("west", runner("r2"))],
        ..Plan::default()
    };
    let (fleet, proxies) = Fleet::start_with_platform_proxies(plan);
    // The account of the east hears nothing new: not from the platform, nor by
    // asking others. They reach it, and it answers what they ask.
    let peers: Vec<SocketAddr> =
        fleet.gateways.iter().map(|gateway| gateway.peer_address).collect();
    proxies[0].set_mode(Mode::Stall);
    fleet.gateways[0].set_unreachable(&peers[1..]);
    fleet.gateways[1..].iter().for_each(|gateway| gateway.set_unreachable(&peers[..1]));
    std::thread::sleep(Duration::from_millis(200));
    let left = Instant::now();
    fleet.set_runner_state(0, "draining");
    let knows = |n: usize| {
        let lines = fleet.log(n);
        lines.iter().any(|l| l["msg"] == "target" && l["target"] == "r0" && l["leaving"] == true)
    };
    wait_until("the west knows", || knows(1) && knows(2));
    fleet.gateways[1..].iter().for_each(|gateway| gateway.set_unreachable(&[]));
    std::thread::sleep((left + BOUND).saturating_duration_since(Instant::now()));
    assert!(!knows(0), "the premise: the account's keeper doesn't know");
    let items: Vec<String> = (0..24).map(|n| format!("item-{n}")).collect();
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    assert_eq!(fleet.submit(1, "job", &items).status, 202);
    assert_eq!(fleet.wait_results(1, "job").len(), items.len());
    check_left_alone(&fleet, 0, left);
}

/// Random rounds: the platform fails some instances in some way, and a target leaves,
/// with a word or without. Those that the platform answers leave it alone in time,
/// whoever watched.
#[rstest]
#[case::seed_1(1)]
#[case::seed_2(2)]
#[case::seed_3(3)]
fn whoever_reaches_the_platform_leaves_a_leaving_target_alone(#[case] seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let plan = Plan { gateways: vec!["east", "east", "east", "west", "west"], ..Plan::default() };
    let all: Vec<usize> = (0..plan.gateways.len()).collect();
    let (fleet, proxies) = Fleet::start_with_platform_proxies(plan);
    for round in 0..ROUNDS {
        renew_watches(&fleet);
        let mut gateways = all.clone();
        gateways.shuffle(&mut rng);
        let (struck, sound) = gateways.split_at(rng.random_range(1..all.len()));
        let mode = [Mode::Stall, Mode::StallResponses, Mode::Reset][rng.random_range(0..3)];
        struck.iter().for_each(|n| proxies[*n].set_mode(mode));
        std::thread::sleep(Duration::from_millis(rng.random_range(0..1_500)));
        let left = Instant::now();
        let has_word = rng.random_bool(0.5);
        if has_word {
            fleet.set_runner_state(0, "draining");
        } else {
            fleet.objects.remove("servers", "r0");
        }
        println!("seed {seed}, round {round}: {mode:?} for {struck:?}, word {has_word}");
        send_on(&fleet, sound, Duration::from_millis(700));
        check_left_alone(&fleet, 0, left);
        proxies.iter().for_each(|proxy| proxy.set_mode(Mode::Pass));
        fleet.set_runner_state(0, "ready");
        wait_until("all use it again", || {
            let before = fleet.runners[0].runs().len();
            all.iter().for_each(|n| {
                fleet.send(*n, "/plain/again", &format!("again-{round}-{n}"));
            });
            fleet.runners[0].runs().len() > before
        });
        // Those that were struck are as the others again.
        std::thread::sleep(Duration::from_millis(1_500));
    }
}
