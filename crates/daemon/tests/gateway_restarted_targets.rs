//! Responses that end with their connections, from targets that crash and run again: whether the
//! process that responded still runs.

mod util;

use rstest::rstest;
use std::cell::Cell;
use std::time::Duration;
use util::gateway::Fleet;
use util::raw_caller::{RawResponse, Version};
use util::raw_streams::{
    CHUNKED, UNFRAMED, call, chunks, event, events, fleet_of, target, target_with_body, with_length,
};
use util::raw_target::{Answer, End, HEALTH_PATH, RawTarget};
use util::wait_until;

/// How long a gateway is frozen while its target responds.
const FREEZE: Duration = Duration::from_secs(1);

/// The address of a target that runs again says nothing, however late the gateway looks.
#[rstest]
fn stream_of_a_target_that_crashes_and_runs_again_does_not_look_complete(
    #[values(false, true)] is_frozen: bool,
    #[values(Version::Http10, Version::Http11)] version: Version,
) {
    let target = target(|request| Answer {
        pause: Duration::from_millis(300),
        ..Answer::new(&request.id, UNFRAMED, &[&event(1), &event(2)], End::Restart)
    });
    let fleet = fleet_of(&[&target]);
    let response = std::thread::scope(|scope| {
        let caller = scope.spawn(|| call(&fleet, version, "/ask/again", "again"));
        wait_until("it runs", || target.requests().iter().any(|r| r.path == "/ask/again"));
        if is_frozen {
            std::thread::sleep(Duration::from_millis(100));
            fleet.gateways[0].freeze();
            std::thread::sleep(Duration::from_secs(1));
            fleet.gateways[0].thaw();
        }
        caller.join().expect("a response")
    });
    assert!(response.status != 200 || !response.looks_complete(), "{response:?}");
}

#[rstest]
fn stream_read_after_its_target_crashed_and_runs_again_does_not_look_complete(
    #[values(Version::Http10, Version::Http11)] version: Version,
) {
    let target = target(|request| {
        let is_first = request.path == "/ask/first";
        if !is_first {
            std::thread::sleep(Duration::from_millis(500));
        }
        let end = if is_first { End::Close } else { End::Restart };
        Answer::new(&request.id, UNFRAMED, &[&event(1), &event(2)], end)
    });
    let fleet = fleet_of(&[&target]);
    assert!(call(&fleet, version, "/ask/first", "first").looks_complete());
    let response = std::thread::scope(|scope| {
        let caller = scope.spawn(|| call(&fleet, version, "/ask/again", "again"));
        wait_until("it runs", || target.requests().iter().any(|r| r.path == "/ask/again"));
        // The gateway reads the whole response at once.
        fleet.gateways[0].freeze();
        std::thread::sleep(Duration::from_secs(1));
        fleet.gateways[0].thaw();
        caller.join().expect("a response")
    });
    assert!(response.status != 200 || !response.looks_complete(), "{response:?}");
}

/// Calls while the gateway is frozen from the arrival of the request at the target until well
/// after the response, which it reads at once.
fn call_while_frozen(
    fleet: &Fleet,
    target: &RawTarget,
    version: Version,
    path: &str,
) -> RawResponse {
    std::thread::scope(|scope| {
        let caller = scope.spawn(|| call(fleet, version, path, "frozen"));
        wait_until("it runs", || target.requests().iter().any(|r| r.path == path));
        fleet.gateways[0].freeze();
        std::thread::sleep(FREEZE);
        fleet.gateways[0].thaw();
        caller.join().expect("a response")
    })
}

/// A target that takes a while to respond to the first request, and ends that response so.
fn target_that_ends_its_first_response(end: End) -> RawTarget {
    let is_first = Cell::new(true);
    target(move |request| {
        let body = events(request.last_event_id.map_or(1, |id| id + 1), 6);
        if !is_first.replace(false) {
            return Answer::new(&request.id, &with_length(&body), &[&body], End::KeepAlive);
        }
        std::thread::sleep(FREEZE / 2);
        match end {
            End::Close => Answer::new(&request.id, UNFRAMED, &[&body], end),
            _ => Answer::new(&request.id, UNFRAMED, &[&event(1), &event(2)], end),
        }
    })
}

#[rstest]
fn first_response_of_a_target_that_crashes_and_runs_again_does_not_look_complete(
    #[values("/ask/x", "/talk/x", "/plain/x")] path: &str,
    #[values(Version::Http10, Version::Http11)] version: Version,
) {
    let target = target_that_ends_its_first_response(End::Restart);
    let fleet = fleet_of(&[&target]);
    let response = call_while_frozen(&fleet, &target, version, path);
    let is_whole = response.looks_complete() && response.body == events(1, 6);
    assert!(response.status != 200 || !response.looks_complete() || is_whole, "{response:?}");
}

#[test]
fn item_of_a_target_that_crashes_and_runs_again_in_its_first_response_is_whole() {
    let target = target_that_ends_its_first_response(End::Restart);
    let fleet = fleet_of(&[&target]);
    assert_eq!(fleet.submit(0, "job", &["item-1"]).status, 202);
    wait_until("it runs", || target.requests().iter().any(|r| r.path == "/batch/item-1"));
    fleet.gateways[0].freeze();
    std::thread::sleep(FREEZE);
    fleet.gateways[0].thaw();
    let text: Vec<String> = (1..=6).map(|n| format!("part-{n}")).collect();
    for result in fleet.wait_results(0, "job") {
        assert_eq!(result["message"], text.join("\n"), "{result}");
    }
}

/// A response that was read late isn't cut if its target runs on, even the only run of a stream.
#[rstest]
fn first_response_of_a_target_that_runs_on_is_whole(
    #[values("/ask/x", "/talk/x", "/plain/x")] path: &str,
    #[values(Version::Http10, Version::Http11)] version: Version,
) {
    let target = target_that_ends_its_first_response(End::Close);
    let fleet = fleet_of(&[&target]);
    let response = call_while_frozen(&fleet, &target, version, path);
    assert!(response.looks_complete(), "{response:?}");
    assert_eq!(response.body, events(1, 6));
    assert_eq!(target.requests().iter().filter(|r| r.path == path).count(), 1);
}

/// Number of health checks that a target has received.
fn checks(target: &RawTarget) -> usize {
    target.requests().iter().filter(|request| request.path == HEALTH_PATH).count()
}

/// The id is asked for only until a connection from before the request tells as much.
#[rstest]
fn only_the_first_response_without_a_stated_end_is_checked(
    #[values("/ask/x", "/talk/x", "/plain/x")] path: &str,
) {
    let target = target_with_body(UNFRAMED, &[&event(1)], End::Close);
    let fleet = fleet_of(&[&target]);
    let before = target.connections();
    for n in 0..5 {
        assert!(call(&fleet, Version::Http11, path, &format!("call-{n}")).looks_complete());
    }
    assert_eq!(checks(&target), 1);
    // One for each response, the check, and the one that tells of the process.
    assert!(target.connections() <= before + 7, "{} connections", target.connections() - before);
}

#[rstest]
fn target_that_states_the_end_sees_neither_checks_nor_further_connections(
    #[values("/ask/x", "/talk/x", "/plain/x")] path: &str,
    #[values(true, false)] is_chunked: bool,
) {
    let target = target(move |request| {
        if is_chunked {
            let chunks = chunks(&[&event(1)]);
            let chunks: Vec<&str> = chunks.iter().map(String::as_str).collect();
            return Answer::new(&request.id, CHUNKED, &chunks, End::KeepAlive);
        }
        let body = event(1);
        Answer::new(&request.id, &with_length(&body), &[&body], End::KeepAlive)
    });
    let fleet = fleet_of(&[&target]);
    let before = target.connections();
    for n in 0..5 {
        assert!(call(&fleet, Version::Http11, path, &format!("call-{n}")).looks_complete());
    }
    assert_eq!((checks(&target), target.connections()), (0, before));
}

#[rstest]
#[case::later(true)]
#[case::never(false)]
fn first_response_counts_once_its_target_has_told_its_id(
    #[case] tells_id: bool,
    #[values("/ask/x", "/talk/x", "/plain/x")] path: &str,
) {
    let target = target_with_body(UNFRAMED, &[&event(1)], End::Close);
    let fleet = fleet_of(&[&target]);
    target.set_id(None);
    let response = std::thread::scope(|scope| {
        let caller = scope.spawn(|| call(&fleet, Version::Http11, path, "call"));
        wait_until("it is asked", || checks(&target) > 0);
        if tells_id {
            target.set_id(Some("r0"));
        }
        caller.join().expect("a response")
    });
    let is_whole = response.status == 200 && response.looks_complete();
    assert!(is_whole || !tells_id, "{response:?}");
    // A repeated request has a connection from before it.
    let is_repeated = target.requests().iter().filter(|r| r.path == path).count() > 1;
    assert!(!is_whole || tells_id || is_repeated, "{response:?}");
}
