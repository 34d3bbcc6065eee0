//! Sound targets that fall silent for a while and go on.

mod util;

use rstest::rstest;
use standin::runner::{Config, Faults, Run, Runner, Silence};
use std::time::{Duration, Instant};
use util::client::Response;
use util::gateway::{Fleet, Plan, event_data};
use util::wait_until;

const TARGETS: usize = 6;
const EVENTS: u64 = 10;
/// How long the targets are silent: longer than the objective and than three gaps.
const SILENCE: Duration = Duration::from_millis(1_200);
/// How long a request may run at two targets at once.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

fn fleet_of(software: &[&str]) -> Fleet {
    let runner = |(n, software): (usize, &&str)| {
        let config = Config {
            id: format!("r{n}"),
            software: software.to_string(),
            event_interval: Duration::from_millis(40),
            event_count: EVENTS,
            ..Config::default()
        };
        ("east", config)
    };
    let runners = software.iter().enumerate().map(runner).collect();
    Fleet::start(Plan { gateways: vec!["east"], runners, ..Plan::default() })
}

/// Which part of a response the targets don't write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    Head,
    FirstEvent,
    BetweenEvents,
    InsideEvent,
}

impl Position {
    fn silence(self) -> Silence {
        match self {
            Position::Head | Position::BetweenEvents => Silence::Everything,
            Position::FirstEvent => Silence::Events,
            Position::InsideEvent => Silence::HalfEvents,
        }
    }

    /// Whether the responses have begun when the silence does.
    fn is_later(self) -> bool {
        matches!(self, Position::BetweenEvents | Position::InsideEvent)
    }
}

/// Sends `count` requests under `path`, beside a silence of `silent`, and returns the responses.
fn call_in_silence(
    fleet: &Fleet,
    silent: &[Runner],
    position: Position,
    path: &str,
    count: usize,
) -> Vec<(String, Response)> {
    let set = |silence| silent.iter().for_each(|runner| runner.set_silence(silence));
    if !position.is_later() {
        set(Some(position.silence()));
    }
    std::thread::scope(|scope| {
        let call = |n: usize| {
            let id = format!("silent-{n}");
            move || (id.clone(), fleet.send(0, path, &id))
        };
        let calls: Vec<_> = (0..count).map(|n| scope.spawn(call(n))).collect();
        if position.is_later() {
            wait_until("all run", || fleet.runs(path).len() >= count);
            std::thread::sleep(Duration::from_millis(100));
            set(Some(position.silence()));
        }
        std::thread::sleep(SILENCE);
        set(None);
        calls.into_iter().map(|call| call.join().expect("a response")).collect()
    })
}

#[track_caller]
fn assert_whole(responses: &[(String, Response)]) {
    let is_whole = |(id, response): &&(String, Response)| {
        response.status == 200
            && response.is_complete
            && event_data(response) == Runner::text(id, EVENTS)
    };
    let others = responses.iter().filter(|response| !is_whole(response));
    let others: Vec<_> = others.map(|(id, r)| (id, r.status, r.is_complete)).collect();
    assert!(others.is_empty(), "{} of {}: {others:?}", others.len(), responses.len());
}

/// How long two runs of the same request were in progress at once.
fn overlap(run: &Run, later: &Run) -> Duration {
    let now = Instant::now();
    let ended = run.ended.unwrap_or(now).min(later.ended.unwrap_or(now));
    ended.saturating_duration_since(later.started)
}

#[track_caller]
fn assert_one_run_at_a_time(fleet: &Fleet, path: &str) {
    let runs = fleet.runs(path);
    for run in &runs {
        for later in runs.iter().filter(|l| l.id == run.id && l.started > run.started) {
            assert!(overlap(run, later) <= MAX_OVERLAP, "{run:?} beside {later:?}");
        }
    }
}

/// Regression: exchanges with silent targets were given up before others replaced them.
#[rstest]
fn stream_of_a_silent_target_is_not_broken_off(
    #[values(Position::Head, Position::FirstEvent, Position::BetweenEvents, Position::InsideEvent)]
    position: Position,
    #[values(3, 6)] silent: usize,
    #[values(6, 23)] callers: usize,
) {
    let fleet = fleet_of(&["v1"; TARGETS]);
    let responses =
        call_in_silence(&fleet, &fleet.runners[..silent], position, "/talk/silent", callers);
    assert_whole(&responses);
    assert_one_run_at_a_time(&fleet, "/talk/silent");
}

#[rstest]
fn silent_target_without_a_replacement_completes_its_streams(
    #[values(Position::FirstEvent, Position::BetweenEvents, Position::InsideEvent)]
    position: Position,
    #[values(&["v1"], &["v1", "v2"])] software: &[&str],
) {
    let fleet = fleet_of(software);
    let silent = &fleet.runners[..1];
    let responses = call_in_silence(&fleet, silent, position, "/talk/silent", 2);
    assert_whole(&responses);
}

#[rstest]
#[case::responds_with_an_error(|other: &Runner| other.fail_id("silent-0", 500))]
#[case::rejects_it(|other: &Runner| {
    other.set_faults(Faults { rejects_all: true, ..Faults::default() });
})]
fn silent_target_is_kept_if_its_replacement_fails(
    #[case] fail: fn(&Runner),
    #[values("/talk/silent", "/plain/silent")] path: &str,
) {
    let fleet = fleet_of(&["v1", "v1"]);
    fail(&fleet.runners[1]);
    let silent = &fleet.runners[..1];
    let responses = call_in_silence(&fleet, silent, Position::Head, path, 1);
    assert_whole(&responses);
}

#[test]
fn replacement_is_kept_if_the_silent_target_fails_first() {
    let runner = |id: &str| Config {
        id: id.to_owned(),
        first_event_delay: Duration::from_millis(200),
        ..Config::default()
    };
    let runners = vec![("east", runner("r0")), ("east", runner("r1"))];
    let fleet = Fleet::start(Plan { gateways: vec!["east"], runners, ..Plan::default() });
    fleet.runners.iter().for_each(|runner| runner.set_silence(Some(Silence::Events)));
    let response = std::thread::scope(|scope| {
        let call = scope.spawn(|| fleet.send(0, "/talk/silent", "silent-0"));
        wait_until("it runs", || !fleet.runs("/talk/").is_empty());
        let (silent, others): (Vec<&Runner>, Vec<&Runner>) =
            fleet.runners.iter().partition(|runner| !runner.runs().is_empty());
        others.iter().for_each(|other| other.set_silence(None));
        wait_until("another has it", || fleet.runs("/talk/").len() > 1);
        silent.iter().for_each(|silent| silent.process().crash.notify_one());
        call.join().expect("a response")
    });
    assert_whole(&[(String::from("silent-0"), response)]);
}

/// Regression: a common pause ejected every target, and each one longer than the one before.
#[rstest]
fn targets_serve_again_after_a_common_silence(
    #[values(Position::Head, Position::FirstEvent, Position::BetweenEvents)] position: Position,
) {
    let fleet = fleet_of(&["v1"; TARGETS]);
    for wave in 0..3 {
        let path = format!("/talk/wave-{wave}");
        call_in_silence(&fleet, &fleet.runners, position, &path, TARGETS);
        let after = format!("/talk/after-{wave}");
        std::thread::scope(|scope| {
            let calls: Vec<_> = (0..TARGETS)
                .map(|n| {
                    let (fleet, after, id) = (&fleet, &after, format!("after-{wave}-{n}"));
                    scope.spawn(move || (id.clone(), fleet.send(0, after, &id)))
                })
                .collect();
            let responses: Vec<_> =
                calls.into_iter().map(|call| call.join().expect("a response")).collect();
            assert_whole(&responses);
        });
    }
}

#[rstest]
fn buffered_response_of_a_silent_target_is_not_given_up(
    #[values(Position::Head, Position::FirstEvent, Position::BetweenEvents)] position: Position,
    #[values(3, 6)] silent: usize,
    #[values(6, 23)] callers: usize,
) {
    let fleet = fleet_of(&["v1"; TARGETS]);
    let responses =
        call_in_silence(&fleet, &fleet.runners[..silent], position, "/plain/silent", callers);
    assert_whole(&responses);
    assert_one_run_at_a_time(&fleet, "/plain/silent");
}

/// A silent target was dropped for a replacement that had sent nothing, and that failed.
#[test]
fn stream_of_a_silent_target_outlives_a_replacement_that_fails() {
    let fleet = fleet_of(&["v1"; 2]);
    let set = |silence| fleet.runners.iter().for_each(|runner| runner.set_silence(silence));
    let path = "/talk/outlived";
    let response = std::thread::scope(|scope| {
        let call = scope.spawn(|| fleet.send(0, path, "outlived"));
        wait_until("it runs", || fleet.runs(path).len() == 1);
        std::thread::sleep(Duration::from_millis(100));
        set(Some(Silence::Everything));
        // The replacement has had the request for longer than two targets may have it.
        std::thread::sleep(SILENCE);
        let replacement = fleet.runners.iter().find(|runner| runner.runs().is_empty());
        replacement.expect("another target").process().crash.notify_one();
        std::thread::sleep(Duration::from_millis(100));
        set(None);
        call.join().expect("a response")
    });
    assert_whole(&[(String::from("outlived"), response)]);
}
