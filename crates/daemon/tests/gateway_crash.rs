//! Quarantine of requests that crash the targets that run them.

mod util;

use rstest::rstest;
use serde_json::Value;
use standin::objects::Faults;
use standin::runner::{Config, Run, Runner};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use util::gateway::{Fleet, Plan, event_data};
use util::{wait_for, wait_until};

const RUNNERS: u32 = 8;

/// A fleet whose runners crash on requests under `path` and stay down.
fn fleet(path: &str) -> Fleet {
    let config = |n: u32| Config {
        id: format!("r{n}"),
        first_event_delay: Duration::from_millis(20),
        ..Config::default()
    };
    let data_centre = |n: u32| if n.is_multiple_of(2) { "east" } else { "west" };
    let runners = (0..RUNNERS).map(|n| (data_centre(n), config(n))).collect();
    let fleet = Fleet::start(Plan { runners, ..Plan::default() });
    fleet.runners.iter().for_each(|runner| runner.crash_on_path(path));
    fleet
}

/// Regression: crashes were recorded per request id at the sending instance, so a request
/// repeated under new ids at other instances crashed one target after the other.
#[test]
fn request_that_crashed_three_targets_is_sent_to_no_other() {
    let fleet = fleet("/ask/deadly");
    for n in 0..12 {
        let response = fleet.send(n % 3, "/ask/deadly", &format!("try-{n}"));
        assert!(response.status != 200 || !response.is_complete, "{response:?}");
        // The caller retries after a delay.
        std::thread::sleep(Duration::from_millis(100));
    }
    let runs = fleet.runs("/ask/deadly").len();
    assert_eq!(runs, 3, "number of crashed targets");
    assert_eq!(fleet.send(0, "/ask/sound", "sound").status, 200);
}

/// Sends a request that crashes targets until it is quarantined; returns the number of crashed
/// targets.
fn crash_until_quarantined(fleet: &Fleet, path: &str) -> usize {
    for n in 0..6 {
        let response = fleet.send(n % 2, path, &format!("{path}-{n}"));
        if response.status == 503 {
            break;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    fleet.runs(path).len()
}

#[test]
fn quarantined_request_is_rejected_with_a_retry_delay() {
    let fleet = fleet("/ask/deadly");
    assert_eq!(crash_until_quarantined(&fleet, "/ask/deadly"), 3);
    let response = fleet.send(2, "/ask/deadly", "refused");
    assert_eq!(response.status, 503);
    let after: f64 = response.header("retry-after").parse().expect("seconds");
    assert!((8.0..=12.0).contains(&after), "{after}");
}

/// Regression: a quarantine that couldn't be stored was stored up to a second after the platform
/// was back, and lost if all instances were killed meanwhile.
#[test]
fn quarantine_is_stored_as_soon_as_the_platform_is_back() {
    let fleet = fleet("/ask/deadly");
    fleet.objects.set_faults(Faults { unavailable: true, ..Faults::default() });
    assert_eq!(crash_until_quarantined(&fleet, "/ask/deadly"), 3);
    let lines = |n: usize, message: &str| {
        fleet.log(n).into_iter().filter(|line| line["msg"] == message).collect::<Vec<Value>>()
    };
    let has_failed = |n| !lines(n, "quarantined request stored").is_empty();
    let owner = wait_for("a write fails", || (0..3).find(|n| has_failed(*n)));
    fleet.objects.set_faults(Faults::default());
    wait_until("the platform is regained", || !lines(owner, "platform regained").is_empty());
    let is_stored = || !fleet.objects.objects_of_kind("gatespool-quarantine").is_empty();
    let regained = Instant::now();
    wait_until("the quarantine is stored", is_stored);
    // The log is written asynchronously.
    assert!(regained.elapsed() < Duration::from_millis(200), "{:?}", regained.elapsed());
}

#[test]
fn resumable_stream_that_crashes_targets_is_not_resumed_forever() {
    let fleet = fleet("/talk/deadly");
    for n in 0..6 {
        let response = fleet.send(n % 3, "/talk/deadly", &format!("talk-{n}"));
        assert!(!response.is_complete || response.status != 200, "{response:?}");
        std::thread::sleep(Duration::from_millis(100));
    }
    // Each call makes two attempts, so the report of the third crash may arrive too late to
    // prevent the second attempt of the second call.
    let runs = fleet.runs("/talk/deadly").len();
    assert!((3..=4).contains(&runs), "{runs} targets crashed");
}

#[test]
fn request_interrupted_by_the_crash_of_another_is_served() {
    let config = |n: u32| Config {
        id: format!("r{n}"),
        first_event_delay: Duration::from_millis(20),
        event_interval: Duration::from_millis(20),
        event_count: 30,
        ..Config::default()
    };
    let runners = (0..8).map(|n| ("east", config(n))).collect();
    let fleet = Fleet::start(Plan { runners, ..Plan::default() });
    fleet.runners.iter().for_each(|runner| runner.crash_on_path("/ask/deadly"));
    std::thread::scope(|scope| {
        let calls: Vec<_> = (0..12)
            .map(|n| {
                let fleet = &fleet;
                scope.spawn(move || fleet.send(n % 3, &format!("/talk/{n}"), &format!("by-{n}")))
            })
            .collect();
        wait_until("all calls run", || fleet.runs("/talk/").len() >= 12);
        crash_until_quarantined(&fleet, "/ask/deadly");
        for call in calls {
            call.join().expect("a response");
        }
    });
    // The same requests are served when they are sent again.
    for n in 0..12 {
        let id = format!("again-{n}");
        let response = fleet.send(n % 3, &format!("/talk/{n}"), &id);
        assert_eq!((response.status, response.is_complete), (200, true), "{response:?}");
        assert_eq!(event_data(&response), Runner::text(&id, 30));
    }
}

/// Regression: an interrupted run of an item didn't count as a crash, so the item ran again
/// every 100 ms until its job ended.
#[test]
fn item_that_crashes_targets_runs_ever_more_rarely_and_other_items_complete() {
    let fleet = fleet("/batch/deadly");
    assert_eq!(fleet.submit(0, "job", &["sound-1", "deadly", "sound-2"]).status, 202);
    wait_until("the other items are completed", || {
        let page = fleet.results(1, "job", 0).json();
        page["results"].as_array().is_some_and(|results| results.len() == 2)
    });
    wait_until("the item has crashed three targets", || fleet.runs("/batch/deadly").len() >= 3);
    std::thread::sleep(Duration::from_secs(2));
    let runs = fleet.runs("/batch/deadly").len();
    assert!((3..=5).contains(&runs), "{runs} targets crashed");
}

#[test]
fn quarantine_survives_a_restart_of_all_instances() {
    let mut fleet = fleet("/ask/deadly");
    assert_eq!(crash_until_quarantined(&fleet, "/ask/deadly"), 3);
    wait_until("the quarantine is written", || {
        !fleet.objects.objects_of_kind("gatespool-quarantine").is_empty()
    });
    fleet.gateways.iter_mut().for_each(|gateway| gateway.kill());
    (0..3).for_each(|n| fleet.restart(n));
    fleet.wait_ready();
    wait_until("all know of the quarantine", || {
        (0..3).all(|n| fleet.log(n).iter().any(is_quarantine_line))
    });
    for n in 0..6 {
        assert_eq!(fleet.send(n % 3, "/ask/deadly", &format!("later-{n}")).status, 503);
    }
    assert_eq!(fleet.runs("/ask/deadly").len(), 3);
}

fn is_quarantine_line(line: &Value) -> bool {
    let decision = line["verdict"].as_str().unwrap_or_default();
    line["msg"] == "crash report recorded" && decision.starts_with("Quarantined")
}

#[test]
fn frozen_instance_learns_of_a_quarantine_after_it_continues() {
    let fleet = fleet("/ask/deadly");
    fleet.gateways[2].freeze();
    assert_eq!(crash_until_quarantined(&fleet, "/ask/deadly"), 3);
    std::thread::sleep(Duration::from_secs(2));
    fleet.gateways[2].thaw();
    wait_until("gateway 2 knows of the quarantine", || fleet.log(2).iter().any(is_quarantine_line));
    assert_eq!(fleet.send(2, "/ask/deadly", "woken").status, 503);
    assert_eq!(fleet.runs("/ask/deadly").len(), 3);
}

/// An instance that its peers can't reach learns of a quarantine from the platform.
#[test]
fn partitioned_instance_learns_of_a_quarantine() {
    let fleet = fleet("/ask/deadly");
    let peers: Vec<SocketAddr> =
        fleet.gateways.iter().map(|gateway| gateway.peer_address).collect();
    fleet.gateways[2].set_unreachable(&peers[..2]);
    fleet.gateways[..2].iter().for_each(|gateway| gateway.set_unreachable(&peers[2..]));
    // The partition file is read every 50 ms.
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(crash_until_quarantined(&fleet, "/ask/deadly"), 3);
    wait_until("gateway 2 knows of the quarantine", || fleet.log(2).iter().any(is_quarantine_line));
    let from_platform = |line: &Value| is_quarantine_line(line) && line["from"] == "platform";
    assert!(fleet.log(2).iter().any(from_platform));
    assert_eq!(fleet.send(2, "/ask/deadly", "cut-off").status, 503);
    assert_eq!(fleet.runs("/ask/deadly").len(), 3);
}

/// The next holder of a job has seen none of the crashes, so it begins with short pauses again.
#[test]
fn item_that_crashes_targets_runs_rarely_when_another_instance_takes_over_its_job() {
    let mut fleet = fleet("/batch/deadly");
    assert_eq!(fleet.submit(0, "job", &["deadly"]).status, 202);
    wait_until("the item has crashed three targets", || fleet.runs("/batch/deadly").len() >= 3);
    fleet.gateways[0].kill();
    let runs_before = fleet.runs("/batch/deadly").len();
    wait_until("another instance runs the item", || {
        fleet.runs("/batch/deadly").len() > runs_before
    });
    std::thread::sleep(Duration::from_secs(1));
    let runs = fleet.runs("/batch/deadly").len() - runs_before;
    assert!((1..=3).contains(&runs), "{runs} targets crashed");
}

/// Crashes the target that runs an item.
fn crash_target_of(fleet: &Fleet, path: &str) {
    let is_running = |run: &Run| run.path == path && run.ended.is_none();
    let runner = wait_for("the item runs", || {
        fleet.runners.iter().find(|runner| runner.runs().iter().any(is_running))
    });
    runner.process().crash.notify_one();
    wait_until("its target has crashed", || !runner.runs().iter().any(is_running));
}

/// Regression: an item whose targets crashed whatever they ran was withheld for 12 s, then 10 min.
#[rstest]
#[case::three(3)]
#[case::four(4)]
fn item_whose_targets_crashed_completes_soon_after_the_last_crash(#[case] crashes: usize) {
    let config = |n: u32| Config {
        id: format!("r{n}"),
        event_interval: Duration::from_millis(20),
        event_count: 30,
        ..Config::default()
    };
    let runners = (0..RUNNERS).map(|n| ("east", config(n))).collect();
    let fleet = Fleet::start(Plan { runners, ..Plan::default() });
    assert_eq!(fleet.submit(0, "job", &["sound"]).status, 202);
    (0..crashes).for_each(|_| crash_target_of(&fleet, "/batch/sound"));
    let calm_since = Instant::now();
    let results = fleet.wait_results(0, "job");
    assert!(calm_since.elapsed() < Duration::from_secs(5), "{:?}", calm_since.elapsed());
    assert_eq!(results[0]["state"], "complete", "{results:?}");
}
