//! Surplus responses of targets, which arrive late in the place of the response to another request.

mod util;

use rstest::rstest;
use serde_json::json;
use std::time::Duration;
use util::gateway::Fleet;
use util::raw_caller::Version;
use util::raw_streams::{call, fleet_of, target};
use util::raw_target::{Answer, End, RawTarget};
use util::wait_until;

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// A target that runs each request, after a surplus response to another one which did not run.
fn target_with_surplus(status: &'static str) -> RawTarget {
    target(move |_| {
        let head = format!(
            "HTTP/1.1 {status}\r\nX-Gatespool-Request-Id: earlier\r\nX-Gatespool-Not-Run: 1\r\n\
             Content-Length: 0\r\n\r\n"
        );
        let pause = Duration::from_millis(5);
        Answer { pieces: vec![head.into_bytes()], pause, end: End::KeepAlive }
    })
}

/// Two such targets, with so many attempts on the route of streams that can't be resumed.
fn fleet_with_surplus(status: &'static str, max_attempts: u32) -> (Fleet, [RawTarget; 2]) {
    let targets = [target_with_surplus(status), target_with_surplus(status)];
    let fleet = fleet_of(&[&targets[0], &targets[1]]);
    let mut config = fleet.config(8);
    config["routes"][0]["max_attempts"] = json!(max_attempts);
    fleet.objects.put("config", "main", config);
    wait_until("the configuration is in force", || {
        let lines = fleet.log(0);
        lines.iter().any(|line| line["msg"] == "configuration in force" && line["version"] == 8)
    });
    (fleet, targets)
}

/// Regression: "not run" was believed before it was asked whose response it is, so a request that
/// ran was sent to another target, or refused with the promise that it had not run.
#[rstest]
fn surplus_rejection_of_another_request_is_not_believed(
    #[values("503 Service Unavailable", "421 Misdirected Request")] status: &'static str,
    #[values(1, 2)] max_attempts: u32,
) {
    let (fleet, targets) = fleet_with_surplus(status, max_attempts);
    for n in 0..4 {
        let id = format!("surplus-{n}");
        let response = call(&fleet, Version::Http11, "/ask/x", &id);
        assert!(!PROMISES.contains(&response.status), "{response:?}");
        let runs = targets.iter().flat_map(RawTarget::requests);
        assert_eq!(runs.filter(|request| request.id == id).count(), 1, "{id}");
    }
}

/// Each item comes to its end, and no run of one is taken for a rejection.
#[test]
fn surplus_rejection_is_no_rejection_of_an_item() {
    let (fleet, _targets) = fleet_with_surplus("503 Service Unavailable", 1);
    assert_eq!(fleet.submit(0, "job", &["a"]).status, 202);
    let run = || fleet.log(0).into_iter().find(|line| line["msg"] == "item run");
    wait_until("the item has run", || run().is_some());
    assert_eq!(run().expect("a run")["fault"], "response to a different request");
}
