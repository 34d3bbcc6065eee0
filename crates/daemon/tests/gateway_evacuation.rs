//! The targets of a data centre that the operator evacuates receive nothing until the evacuation
//! is withdrawn, whatever fails meanwhile.

mod util;

use rstest::rstest;
use serde_json::json;
use standin::runner::{Config, Run};
use std::time::{Duration, Instant};
use util::gateway::{Fleet, Plan};
use util::proxy::Mode;
use util::wait_until;

/// Maximum time from the order of an evacuation until the last request reaches a target there.
const MAX_NOTICE_TIME: Duration = Duration::from_secs(5);
/// How long requests are sent after it.
const OBSERVATION_TIME: Duration = Duration::from_millis(1_500);
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

fn plan() -> Plan {
    let runner = |id: &str| Config { id: id.to_owned(), ..Config::default() };
    Plan {
        gateways: vec!["east", "east", "west"],
        runners: vec![("east", runner("r0")), ("east", runner("r1")), ("west", runner("r2"))],
        ..Plan::default()
    }
}

fn evacuate(fleet: &Fleet, data_centre: &str) -> Instant {
    fleet.objects.put("evacuations", data_centre, json!({}));
    Instant::now()
}

/// Sends online requests to all gateways until `end`.
fn keep_sending(fleet: &Fleet, end: Instant) {
    let mut sent = 0;
    while Instant::now() < end {
        for n in 0..fleet.gateways.len() {
            let response = fleet.send(n, &format!("/plain/{n}-{sent}"), &format!("{n}-{sent}"));
            assert_eq!(response.status, 200, "{response:?}");
        }
        sent += 1;
        std::thread::sleep(REQUEST_INTERVAL);
    }
}

/// Requests that reached runners 0 and 1, which are in the east, later than allowed: runner, path
/// and id of each, and when it arrived.
fn late_runs(fleet: &Fleet, notice: Instant) -> Vec<String> {
    let of_runner = |n: usize| fleet.runners[n].runs().into_iter().map(move |run| (n, run));
    let runs = (0..2).flat_map(of_runner);
    let late = runs.filter(|(_, run)| run.arrived > notice + MAX_NOTICE_TIME);
    late.map(|(n, run)| {
        let Run { path, id, arrived, .. } = &run;
        format!("runner {n}, {path}, {id}, {:?} after the order", arrived.duration_since(notice))
    })
    .collect()
}

#[test]
fn evacuated_targets_receive_nothing_until_the_order_is_withdrawn() {
    let fleet = Fleet::start(plan());
    let items: Vec<String> = (0..200).map(|n| format!("item-{n}")).collect();
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    assert_eq!(fleet.submit(0, "job", &items).status, 202);
    let notice = evacuate(&fleet, "east");
    keep_sending(&fleet, notice + MAX_NOTICE_TIME + OBSERVATION_TIME);
    assert_eq!(fleet.wait_results(0, "job").len(), items.len());
    let late = late_runs(&fleet, notice);
    assert_eq!(late, Vec::<String>::new(), "late requests");
    let before = fleet.runners[0].runs().len();
    fleet.objects.remove("evacuations", "east");
    wait_until("the targets are used again", || {
        fleet.send(0, "/plain/again", "again");
        fleet.runners[0].runs().len() > before
    });
}

#[test]
fn requests_are_rejected_at_once_while_all_data_centres_are_evacuated() {
    let fleet = Fleet::start(plan());
    evacuate(&fleet, "nowhere");
    evacuate(&fleet, "east");
    evacuate(&fleet, "west");
    wait_until("requests are rejected", || fleet.send(0, "/plain/x", "x").status == 503);
    let asked = Instant::now();
    assert_eq!(fleet.send(1, "/plain/y", "y").status, 503);
    assert!(asked.elapsed() < Duration::from_secs(1), "took {:?}", asked.elapsed());
    fleet.objects.remove("evacuations", "west");
    wait_until("requests are served", || fleet.send(0, "/plain/z", "z").status == 200);
}

#[rstest]
#[case::stalled(Mode::Stall)]
#[case::reset(Mode::Reset)]
fn instances_without_the_platform_learn_of_an_evacuation(#[case] mode: Mode) {
    let (fleet, proxies) = Fleet::start_with_platform_proxies(plan());
    proxies[..2].iter().for_each(|proxy| proxy.set_mode(mode));
    std::thread::sleep(Duration::from_millis(300));
    let notice = evacuate(&fleet, "east");
    keep_sending(&fleet, notice + MAX_NOTICE_TIME + OBSERVATION_TIME);
    let late = late_runs(&fleet, notice);
    assert_eq!(late, Vec::<String>::new(), "late requests");
}

#[test]
fn evacuation_outlasts_an_outage_of_the_platform_and_restarts() {
    let (mut fleet, proxies) = Fleet::start_with_platform_proxies(plan());
    let notice = evacuate(&fleet, "east");
    std::thread::sleep(MAX_NOTICE_TIME);
    proxies.iter().for_each(|proxy| proxy.set_mode(Mode::Stall));
    let before: usize = fleet.runners[..2].iter().map(|runner| runner.runs().len()).sum();
    fleet.restart(0);
    wait_until("the restarted gateway serves", || {
        fleet.send(0, "/plain/first", "first").status == 200
    });
    keep_sending(&fleet, Instant::now() + OBSERVATION_TIME);
    let after: usize = fleet.runners[..2].iter().map(|runner| runner.runs().len()).sum();
    assert_eq!(before, after, "requests reached evacuated targets");
    assert_eq!(late_runs(&fleet, notice), Vec::<String>::new(), "late requests");
}

/// All instances start while the evacuation is in force.
#[test]
fn fleet_that_starts_during_an_evacuation_sends_nothing_there() {
    let fleet = Fleet::start_unconfigured(plan());
    evacuate(&fleet, "east");
    fleet.configure(7);
    fleet.wait_ready();
    std::thread::sleep(MAX_NOTICE_TIME);
    let notice = Instant::now() - MAX_NOTICE_TIME;
    keep_sending(&fleet, Instant::now() + OBSERVATION_TIME);
    assert_eq!(late_runs(&fleet, notice), Vec::<String>::new(), "late requests");
}

/// A watch of the evacuations that the platform never answers delays none.
#[test]
fn unanswered_watch_delays_no_evacuation() {
    let fleet = Fleet::start(plan());
    // Most of their waiting time remains to the watches that hang.
    std::thread::sleep(Duration::from_secs(1));
    fleet.objects.hang_watches();
    let notice = evacuate(&fleet, "east");
    keep_sending(&fleet, notice + MAX_NOTICE_TIME + OBSERVATION_TIME);
    let late = late_runs(&fleet, notice);
    assert_eq!(late, Vec::<String>::new(), "late requests");
}
