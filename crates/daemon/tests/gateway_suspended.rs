//! Suspended machines: the monotonic clock stops, while callers keep waiting.

mod util;

use rstest::rstest;
use standin::runner::{Config, Run};
use std::time::Duration;
use util::gateway::{Fleet, Plan};
use util::wait_until;

/// Deadline that callers set.
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);

/// One gateway and one runner with one slot, whose responses take 1 s.
fn fleet() -> Fleet {
    let config = Config {
        id: String::from("r0"),
        slots: 1,
        event_interval: Duration::from_millis(50),
        event_count: 20,
        ..Config::default()
    };
    let plan = Plan { gateways: vec!["east"], runners: vec![("east", config)], ..Plan::default() };
    Fleet::start(plan)
}

fn next_run(fleet: &Fleet) -> Option<Run> {
    fleet.runners[0].runs().into_iter().find(|run| run.path == "/plain/next")
}

/// A request waits for a slot while the machine is suspended: the suspended time is deducted
/// from the time limit sent to the target, and the request isn't sent if none remains.
#[rstest]
#[case(500)]
#[case(2_000)]
#[case(20_000)]
fn suspended_time_counts_towards_the_deadline(#[case] millis: u64) {
    let suspended_for = Duration::from_millis(millis);
    let fleet = fleet();
    let status = std::thread::scope(|scope| {
        scope.spawn(|| fleet.send(0, "/ask/first", "first"));
        wait_until("the first request runs", || !fleet.runs("/ask/first").is_empty());
        let next = scope.spawn(|| fleet.send(0, "/plain/next", "next"));
        std::thread::sleep(Duration::from_millis(300));
        fleet.gateways[0].simulate_suspension(suspended_for);
        next.join().expect("a response").status
    });
    let is_suspension = |line: &serde_json::Value| line["msg"] == "was suspended";
    wait_until("the suspension is logged", || fleet.log(0).iter().any(is_suspension));
    match next_run(&fleet) {
        Some(run) => {
            let remaining = run.remaining.expect("a time limit");
            assert!(
                remaining <= CALLER_TIMEOUT - suspended_for,
                "{remaining:?} remaining after {suspended_for:?} of suspension"
            );
            assert_eq!(status, 200);
        }
        None => {
            assert!(suspended_for >= CALLER_TIMEOUT && status != 200, "not sent, status {status}")
        }
    }
}

/// A gateway rereads the platform's objects after a suspension.
#[test]
fn resumed_gateway_applies_the_current_configuration() {
    let fleet = fleet();
    fleet.gateways[0].simulate_suspension(Duration::from_secs(20));
    fleet.configure(8);
    wait_until("version 8 is in force", || {
        let is_version_8 = |line: &serde_json::Value| line["version"] == 8;
        fleet
            .log(0)
            .iter()
            .any(|line| line["msg"] == "configuration in force" && is_version_8(line))
    });
    assert_eq!(fleet.send(0, "/ask/woken", "woken").status, 200);
}
