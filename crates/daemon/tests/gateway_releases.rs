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
/// Time between two restarts of instances that don't overlap.
const RESTART_INTERVAL: Duration = Duration::from_millis(1_500);

fn fleet() -> Fleet {
    fleet_with(Faults::default())
}

/// A fleet whose runners are of one version; `faults` strike the platform while it starts.
fn fleet_with(faults: Faults) -> Fleet {
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
    let fleet = Fleet::start_unconfigured(Plan { runners, ..Plan::default() });
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
        let responses = (0..40).map(|_| caller.finish(front));
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

#[test]
fn versions_cost_a_write_a_release() {
    let mut fleet = fleet();
    drop(begin(&fleet));
    let recorded = || fleet.objects.objects_of_kind(platform::release::KIND).len();
    wait_until("the version is listed", || recorded() == 1);
    release_all(&fleet, "v2");
    drop(begin_named(&fleet, "second"));
    wait_until("the second version is listed", || recorded() == 2);
    kill_all(&mut fleet);
    let before = fleet.objects.counts().writes;
    restart_all(&mut fleet);
    drop(begin_named(&fleet, "third"));
    let addresses = fleet.gateways.len() as u64;
    assert!(fleet.objects.counts().writes - before <= addresses, "the versions are listed already");
}
