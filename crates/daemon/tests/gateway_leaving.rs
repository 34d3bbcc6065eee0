//! A target that is draining, or whose entry is removed, receives no request after
//! [`MAX_NOTICE_TIME`], even if the instances that watch the targets fail.

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

/// Maximum time from a target's notice that it is leaving until the last request reaches it.
const MAX_NOTICE_TIME: Duration = Duration::from_millis(2_000);
/// How long requests are sent after [`MAX_NOTICE_TIME`]; exceeds the longest watch.
const OBSERVATION_TIME: Duration = Duration::from_millis(3_000);
const ROUNDS: usize = 3;
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Sends requests through these gateways until `extra_time` after [`MAX_NOTICE_TIME`].
fn keep_sending(fleet: &Fleet, gateways: &[usize], extra_time: Duration) {
    let end = Instant::now() + MAX_NOTICE_TIME + extra_time;
    let mut sent = 0;
    while Instant::now() < end {
        for n in gateways {
            fleet.send(*n, &format!("/plain/{n}-{sent}"), &format!("on-{n}-{sent}"));
        }
        sent += 1;
        std::thread::sleep(REQUEST_INTERVAL);
    }
}

/// Asserts that runner `n` got no request later than [`MAX_NOTICE_TIME`] after `notice`.
#[track_caller]
fn assert_no_late_requests(fleet: &Fleet, n: usize, notice: Instant) {
    let is_late = |run: &Run| run.arrived > notice + MAX_NOTICE_TIME;
    let runs = fleet.runners[n].runs();
    let late: Vec<Duration> =
        runs.iter().filter(|run| is_late(run)).map(|run| run.arrived - notice).collect();
    assert!(
        late.is_empty(),
        "{} late requests, the last {:?} after the notice",
        late.len(),
        late.last()
    );
}

/// Whether a gateway watches the targets, by its last log line about watches of them.
fn is_watching_targets(fleet: &Fleet, n: usize) -> bool {
    let lines = fleet.log(n);
    let is_watch_change = |line: &&Value| {
        line["kind"] == "servers"
            && (line["msg"] == "watch started" || line["msg"] == "watch stopped")
    };
    let last = lines.iter().rfind(is_watch_change);
    last.is_some_and(|line| line["msg"] == "watch started")
}

/// Makes the pending watches restart, so that most of their waiting time remains.
fn restart_watches(fleet: &Fleet) {
    let before = fleet.objects.counts().watches;
    fleet.touch_runner_entry(1);
    wait_until("watches restart", || fleet.objects.counts().watches > before);
    // There are several watchers, and each pauses after a change.
    std::thread::sleep(Duration::from_millis(500));
}

/// Regression: a watch that the platform accepted but never answered was detected only after
/// its full timeout, by all watchers alike.
#[test]
fn unanswered_watch_delays_no_update() {
    let fleet = Fleet::start(Plan::default());
    restart_watches(&fleet);
    fleet.objects.hang_watches();
    let notice = Instant::now();
    fleet.set_runner_state(0, "draining");
    keep_sending(&fleet, &[0, 1, 2], OBSERVATION_TIME);
    assert_no_late_requests(&fleet, 0, notice);
}

/// Regression: the platform was unresponsive to all watchers, and the instances that could
/// reach it didn't watch.
#[test]
fn another_instance_watches_when_the_platform_is_unresponsive_to_the_watcher() {
    let plan = Plan { gateways: vec!["east", "east", "east"], ..Plan::default() };
    let (fleet, proxies) = Fleet::start_with_platform_proxies(plan);
    restart_watches(&fleet);
    let watchers: Vec<usize> = (0..3).filter(|n| is_watching_targets(&fleet, *n)).collect();
    assert_eq!(watchers.len(), 1, "number of watchers in the data centre");
    watchers.iter().for_each(|n| proxies[*n].set_mode(Mode::Stall));
    let notice = Instant::now();
    fleet.set_runner_state(0, "draining");
    keep_sending(&fleet, &[0, 1, 2], OBSERVATION_TIME);
    assert_no_late_requests(&fleet, 0, notice);
}

/// Regression: an instance that knew that a target was leaving still used a slot of it,
/// granted by the slot allocator of a data centre that didn't know yet.
#[test]
fn slot_of_a_leaving_target_is_not_used() {
    let runner = |id: &str| Config { id: id.to_owned(), slots: 8, ..Config::default() };
    let plan = Plan {
        gateways: vec!["east", "west", "west"],
        // Without a target that stays, no instance would request slots in the east.
        runners: vec![("east", runner("r0")), ("east", runner("r1")), ("west", runner("r2"))],
        ..Plan::default()
    };
    let (fleet, proxies) = Fleet::start_with_platform_proxies(plan);
    // The slot allocator of the east gets no updates, neither from the platform nor by
    // requests to its peers, but answers the requests of its peers.
    let peers: Vec<SocketAddr> =
        fleet.gateways.iter().map(|gateway| gateway.peer_address).collect();
    proxies[0].set_mode(Mode::Stall);
    fleet.gateways[0].set_unreachable(&peers[1..]);
    fleet.gateways[1..].iter().for_each(|gateway| gateway.set_unreachable(&peers[..1]));
    std::thread::sleep(Duration::from_millis(200));
    let notice = Instant::now();
    fleet.set_runner_state(0, "draining");
    let knows_leaving = |n: usize| {
        let lines = fleet.log(n);
        lines.iter().any(|l| l["msg"] == "target" && l["target"] == "r0" && l["leaving"] == true)
    };
    wait_until("the west knows that the target is leaving", || {
        knows_leaving(1) && knows_leaving(2)
    });
    fleet.gateways[1..].iter().for_each(|gateway| gateway.set_unreachable(&[]));
    std::thread::sleep((notice + MAX_NOTICE_TIME).saturating_duration_since(Instant::now()));
    assert!(!knows_leaving(0), "the allocator's owner must not know that the target is leaving");
    let items: Vec<String> = (0..24).map(|n| format!("item-{n}")).collect();
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    assert_eq!(fleet.submit(1, "job", &items).status, 202);
    assert_eq!(fleet.wait_results(1, "job").len(), items.len());
    assert_no_late_requests(&fleet, 0, notice);
}

/// Random rounds: some instances lose the platform in some way while a target leaves, with or
/// without a notice. The instances that the platform answers stop using it in time.
#[rstest]
#[case::seed_1(1)]
#[case::seed_2(2)]
#[case::seed_3(3)]
fn instances_that_reach_the_platform_stop_using_a_leaving_target(#[case] seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let plan = Plan { gateways: vec!["east", "east", "east", "west", "west"], ..Plan::default() };
    let all: Vec<usize> = (0..plan.gateways.len()).collect();
    let (fleet, proxies) = Fleet::start_with_platform_proxies(plan);
    for round in 0..ROUNDS {
        restart_watches(&fleet);
        let mut gateways = all.clone();
        gateways.shuffle(&mut rng);
        let (faulty, healthy) = gateways.split_at(rng.random_range(1..all.len()));
        let mode = [Mode::Stall, Mode::StallResponses, Mode::Reset][rng.random_range(0..3)];
        faulty.iter().for_each(|n| proxies[*n].set_mode(mode));
        std::thread::sleep(Duration::from_millis(rng.random_range(0..1_500)));
        let notice = Instant::now();
        let with_notice = rng.random_bool(0.5);
        if with_notice {
            fleet.set_runner_state(0, "draining");
        } else {
            fleet.objects.remove("servers", "r0");
        }
        println!("seed {seed}, round {round}: {mode:?} for {faulty:?}, notice: {with_notice}");
        keep_sending(&fleet, healthy, Duration::from_millis(700));
        assert_no_late_requests(&fleet, 0, notice);
        proxies.iter().for_each(|proxy| proxy.set_mode(Mode::Pass));
        fleet.set_runner_state(0, "ready");
        wait_until("the target is used again", || {
            let before = fleet.runners[0].runs().len();
            all.iter().for_each(|n| {
                fleet.send(*n, "/plain/again", &format!("again-{round}-{n}"));
            });
            fleet.runners[0].runs().len() > before
        });
        // Waits until the faulty gateways have recovered.
        std::thread::sleep(Duration::from_millis(1_500));
    }
}
