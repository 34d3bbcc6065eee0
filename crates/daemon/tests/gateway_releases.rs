//! Streams that callers take up after all gateways were killed beside a release of new software:
//! what two versions generate is never joined, and streams of a single version go on.

mod util;

use rstest::rstest;
use standin::objects::Faults;
use standin::runner::Config;
use std::time::{Duration, Instant};
use util::gateway::{Fleet, Plan};
use util::raw_caller::RawResponse;
use util::stream_caller::{Caller, versions};
use util::wait_until;

const EVENTS: u64 = 60;
const RUNNERS: usize = 4;
const STREAMS: usize = 12;
/// Longest time until the registry is up to date at all instances.
const REGISTRY_DELAY: Duration = Duration::from_millis(500);
/// Time within which a request is refused that can't be served.
const AT_ONCE: Duration = Duration::from_millis(600);
/// Time between two restarts of instances that don't overlap.
const RESTART_INTERVAL: Duration = Duration::from_millis(1_500);

fn fleet() -> Fleet {
    fleet_with(Faults::default())
}

/// A fleet whose runners are of one version; `faults` strike the platform while it starts.
fn fleet_with(faults: Faults) -> Fleet {
    fleet_of(3, faults)
}

/// As [`fleet_with`], with this number of gateways.
fn fleet_of(gateways: usize, faults: Faults) -> Fleet {
    let runner = |n: usize| {
        let config = Config {
            id: format!("r{n}"),
            software: String::from("v1"),
            slots: 16,
            event_count: EVENTS,
            event_interval: Duration::from_millis(20),
            ..Config::default()
        };
        ("east", config)
    };
    let runners = (0..RUNNERS).map(runner).collect();
    let gateways = ["east", "east", "west"].into_iter().cycle().take(gateways).collect();
    let fleet = Fleet::start_unconfigured(Plan { gateways, runners, ..Plan::default() });
    fleet.objects.set_faults(faults);
    fleet.configure(7);
    fleet.wait_ready();
    fleet
}

/// Streams that were broken off by their callers, at all instances in turn.
fn begin(fleet: &Fleet) -> Vec<Caller> {
    begin_named(fleet, "left")
}

fn begin_named(fleet: &Fleet, name: &str) -> Vec<Caller> {
    let fronts: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.front_address).collect();
    let begin = |n: usize| Caller::begin(fronts[n % fronts.len()], &format!("{name}-{n}"), 2).0;
    (0..STREAMS).map(begin).collect()
}

/// Replaces a runner by one of other software.
fn release(fleet: &Fleet, n: usize, software: &str) {
    let earlier = fleet.replace_runner(n, software);
    fleet.register_replacement(n, &earlier);
}

fn release_all(fleet: &Fleet, software: &str) {
    (0..RUNNERS).for_each(|n| release(fleet, n, software));
    std::thread::sleep(REGISTRY_DELAY);
}

fn kill_all(fleet: &mut Fleet) {
    fleet.gateways.iter_mut().for_each(|gateway| gateway.kill());
}

fn restart_all(fleet: &mut Fleet) {
    (0..fleet.gateways.len()).for_each(|n| fleet.restart(n));
    fleet.wait_ready();
}

/// Responses to the attempts that take the streams up, each at another instance.
fn take_up(fleet: &Fleet, callers: &mut [Caller]) -> Vec<RawResponse> {
    let fronts: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.front_address).collect();
    let finish = |(n, caller): (usize, &mut Caller)| {
        let front = fronts[(n + 1) % fronts.len()];
        // An instance that has just started says when to return until it knows the others.
        let responses = (0..40).map(|_| {
            let sent_at = Instant::now();
            let response = caller.finish(front);
            let is_refused = response.status != 200;
            assert!(!is_refused || sent_at.elapsed() < AT_ONCE, "{:?}", sent_at.elapsed());
            response
        });
        let mut responses = responses.inspect(|response| {
            if response.status == 503 {
                std::thread::sleep(Duration::from_millis(100));
            }
        });
        responses.find(|response| response.status != 503).expect("a decision")
    };
    let finish = &finish;
    std::thread::scope(|scope| {
        let threads: Vec<_> =
            callers.iter_mut().enumerate().map(|each| scope.spawn(move || finish(each))).collect();
        threads.into_iter().map(|thread| thread.join().expect("a response")).collect()
    })
}

#[track_caller]
fn assert_cannot_go_on(responses: &[RawResponse]) {
    let statuses: Vec<u16> = responses.iter().map(|response| response.status).collect();
    let joined = responses.iter().filter(|response| versions(&response.body).len() > 1).count();
    assert_eq!((joined, statuses), (0, vec![410; responses.len()]));
}

#[track_caller]
fn assert_go_on(responses: &[RawResponse]) {
    for response in responses {
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(versions(&response.body).len(), 1, "{response:?}");
        assert_eq!(response.body.matches("\n\n").count() as u64, EVENTS, "{response:?}");
    }
}

/// What callers name when they return.
#[derive(Clone, Copy, Debug)]
enum Attempt {
    Named,
    Unnamed,
}

/// Regression: streams of the earlier version went on at the later one, as the instances had
/// forgotten that there had been another one.
#[rstest]
fn streams_of_a_replaced_version_end_though_all_instances_were_killed(
    #[values(Attempt::Named, Attempt::Unnamed)] attempt: Attempt,
    #[values(Duration::ZERO, Duration::from_millis(1_200))] returns_after: Duration,
) {
    let mut fleet = fleet();
    let mut callers = begin(&fleet);
    release_all(&fleet, "v2");
    kill_all(&mut fleet);
    restart_all(&mut fleet);
    std::thread::sleep(returns_after);
    callers.iter_mut().for_each(|c| c.names_attempt = matches!(attempt, Attempt::Named));
    assert_cannot_go_on(&take_up(&fleet, &mut callers));
}

#[rstest]
#[case::while_all_instances_are_down(false)]
#[case::after_they_are_back(true)]
fn streams_of_a_version_that_leaves_end(#[case] is_back_before: bool) {
    let mut fleet = fleet();
    let mut callers = begin(&fleet);
    kill_all(&mut fleet);
    if is_back_before {
        restart_all(&mut fleet);
    }
    (0..RUNNERS).for_each(|n| release(&fleet, n, "v2"));
    if !is_back_before {
        restart_all(&mut fleet);
    }
    std::thread::sleep(REGISTRY_DELAY);
    assert_cannot_go_on(&take_up(&fleet, &mut callers));
}

/// The later version is withdrawn, so that only the earlier one is left.
#[test]
fn streams_of_a_withdrawn_version_end_though_all_instances_were_killed() {
    let mut fleet = fleet();
    release_all(&fleet, "v2");
    let mut callers = begin(&fleet);
    release_all(&fleet, "v1");
    kill_all(&mut fleet);
    restart_all(&mut fleet);
    assert_cannot_go_on(&take_up(&fleet, &mut callers));
}

/// The response to the write of the list of versions is lost.
#[test]
fn version_is_remembered_though_the_write_was_not_confirmed() {
    let lost = Some(String::from(platform::release::KIND));
    let mut fleet =
        fleet_with(Faults { lost_replies: 1, lost_replies_kind: lost, ..Faults::default() });
    let mut callers = begin(&fleet);
    release_all(&fleet, "v2");
    kill_all(&mut fleet);
    restart_all(&mut fleet);
    assert_cannot_go_on(&take_up(&fleet, &mut callers));
}

#[test]
fn streams_begin_at_a_new_version_while_the_platform_is_away() {
    let fleet = fleet();
    (0..RUNNERS - 1).for_each(|n| fleet.remove_runner(n));
    release(&fleet, RUNNERS - 1, "v2");
    std::thread::sleep(REGISTRY_DELAY);
    fleet.objects.set_faults(Faults { unresponsive: true, ..Faults::default() });
    let since = Instant::now();
    let mut callers = begin_named(&fleet, "away");
    // Each instance waits for the platform once, and not for each stream.
    assert!(since.elapsed() < Duration::from_millis(2_500), "{:?}", since.elapsed());
    assert_go_on(&take_up(&fleet, &mut callers));
}

#[rstest]
#[case::at_one_moment(true)]
#[case::one_by_one(false)]
fn streams_of_a_single_version_go_on_though_all_instances_were_killed(#[case] at_once: bool) {
    let mut fleet = fleet();
    let mut callers = begin(&fleet);
    if at_once {
        kill_all(&mut fleet);
        restart_all(&mut fleet);
    } else {
        for n in 0..fleet.gateways.len() {
            fleet.restart(n);
            std::thread::sleep(RESTART_INTERVAL);
        }
        fleet.wait_ready();
    }
    assert_go_on(&take_up(&fleet, &mut callers));
}

/// Guards against a write by each gateway when all send streams to a new version at one moment.
#[rstest]
#[case::small(3)]
#[case::larger(12)]
fn versions_cost_few_writes_a_release(#[case] gateways: usize) {
    let gateways =
        std::env::var("GATESPOOL_GATEWAYS").map_or(gateways, |n| n.parse().expect("a number"));
    let mut fleet = fleet_of(gateways, Faults::default());
    let recorded = || {
        let objects = fleet.objects.objects_of_kind(platform::release::KIND);
        objects.iter().filter(|o| o["meta"]["name"] != platform::release::CHECKPOINT).count()
    };
    let before = fleet.objects.counts();
    drop(begin_all(&fleet, "first"));
    wait_until("the version is listed", || recorded() == 1);
    std::thread::sleep(REGISTRY_DELAY);
    let first = fleet.objects.counts();
    let released = fleet.objects.counts();
    release_all(&fleet, "v2");
    drop(begin_all(&fleet, "second"));
    wait_until("the second version is listed", || recorded() == 2);
    std::thread::sleep(REGISTRY_DELAY);
    let second = fleet.objects.counts();
    kill_all(&mut fleet);
    let killed = fleet.objects.counts();
    restart_all(&mut fleet);
    drop(begin_all(&fleet, "third"));
    std::thread::sleep(REGISTRY_DELAY);
    let third = fleet.objects.counts();
    println!(
        "{gateways} gateways: first version {} writes, {} B; release {} writes, {} lists; after a kill of all {} writes, {} lists",
        first.writes - before.writes,
        first.written_bytes - before.written_bytes,
        second.writes - released.writes,
        second.lists - released.lists,
        third.writes - killed.writes,
        third.lists - killed.lists,
    );
    // A second one if the members change meanwhile.
    assert!(first.writes - before.writes <= 2);
    assert!(second.writes - released.writes <= 2);
    assert_eq!(second.lists, released.lists, "the list is read at a start only");
    // Some instances write their addresses.
    assert!(third.writes - killed.writes <= gateways as u64, "the versions are listed already");
}

/// A stream at each gateway, all at one moment.
fn begin_all(fleet: &Fleet, name: &str) -> Vec<Caller> {
    let begin = |n: usize| {
        let front = fleet.gateways[n].front_address;
        Caller::begin(front, &format!("{name}-{n}"), 2).0
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> =
            (0..fleet.gateways.len()).map(|n| scope.spawn(move || begin(n))).collect();
        threads.into_iter().map(|thread| thread.join().expect("a stream")).collect()
    })
}
