//! Responses of a target whose status lines are those of no response, as callers and jobs see them.

mod util;

use Success::{Accepted, NoContent, PartialContent, ResetContent};
use rstest::rstest;
use serde_json::json;
use std::time::Duration;
use util::gateway::{Fleet, submit_to};
use util::raw_caller::{RawResponse, Version};
use util::raw_streams::{CHUNKED, call, chunks, events, fleet_of, sound_target, target};
use util::raw_target::{Answer, End, HEALTH_PATH, RawTarget, Request};

/// Body of an odd response, whole as a text and as events.
const ODD_BODY: &str = "id: 1\ndata: odd\n\n";
/// What no sound response has in its body.
const ODD_TEXT: &str = "odd";
/// Statuses that promise that the request did not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Calls to four targets, one of which is odd.
const CALLS: usize = 60;

/// A response with this status line, whole otherwise.
fn odd(request: &Request, line: &str, headers: &str) -> Answer {
    let Request { id, .. } = request;
    let head = format!(
        "{line}\r\nX-Gatespool-Request-Id: {id}\r\nX-Gatespool-Server-Stamp: raw-{id}\r\n\
         {headers}Content-Type: text/event-stream\r\nContent-Length: {}\r\n\r\n{ODD_BODY}",
        ODD_BODY.len()
    );
    Answer { pieces: vec![head.into_bytes()], pause: Duration::ZERO, end: End::KeepAlive }
}

fn odd_target(line: &'static str, is_not_run: bool) -> RawTarget {
    let headers = if is_not_run { "X-Gatespool-Not-Run: 1\r\n" } else { "" };
    target(move |request| odd(request, line, headers))
}

/// A gateway in front of these targets, with a route `once` whose requests run at most once.
fn fleet_with_once(targets: &[&RawTarget]) -> Fleet {
    let fleet = fleet_of(targets);
    let mut config = fleet.config(8);
    let routes = config["routes"].as_array_mut().expect("routes");
    let mut once = routes[0].clone();
    once["name"] = json!("once");
    once["path_prefix"] = json!("/once/");
    once["kind"] = json!("unsafe");
    routes.push(once);
    fleet.apply(config);
    fleet
}

/// Ids of the requests that a target got, without health checks and readiness checks.
fn ids(target: &RawTarget) -> Vec<String> {
    let requests = target.requests().into_iter();
    let requests = requests.filter(|it| it.path != HEALTH_PATH && !it.path.starts_with("/open/"));
    requests.map(|request| request.id).collect()
}

/// A response that isn't passed on, and promises nothing of a request that was sent.
#[track_caller]
fn check(response: &RawResponse, was_sent: bool) {
    assert!((100..600).contains(&response.status), "{response:?}");
    assert!(!response.body.contains(ODD_TEXT), "{response:?}");
    assert!(response.looks_complete(), "{response:?}");
    assert!(!was_sent || !PROMISES.contains(&response.status), "{response:?}");
}

/// Regression: an answer whose status is none of HTTP's, from 600 on, was passed on to the caller,
/// counted as a success of its target, and its word that it had not run was believed.
#[rstest]
fn response_without_a_status_of_http_is_none(
    #[values(
        "HTTP/1.1 000 Nothing",
        "HTTP/1.1 000",
        "HTTP/1.0 000 Nothing",
        "HTTP/1.1 099 Early",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 600 Odd",
        "HTTP/1.0 777 Odd",
        "HTTP/1.1 999"
    )]
    line: &'static str,
    #[values(false, true)] is_not_run: bool,
) {
    let odd = odd_target(line, is_not_run);
    let fleet = fleet_with_once(&[&odd]);
    for kind in ["plain", "ask", "talk", "once"] {
        let id = format!("call-{kind}");
        let response = call(&fleet, Version::Http11, &format!("/{kind}/x"), &id);
        let was_sent = ids(&odd).contains(&id);
        check(&response, was_sent);
        assert!(response.status >= 500, "{response:?}");
    }
    assert!(!ids(&odd).is_empty(), "no call met the odd target");
}

/// Regression: as above, though three sound targets could have served the calls.
#[rstest]
fn target_without_a_status_of_http_is_avoided(
    #[values("HTTP/1.1 000 Nothing", "HTTP/1.1 600 Odd", "HTTP/1.1 999 Odd")] line: &'static str,
    #[values(false, true)] is_not_run: bool,
) {
    let odd = odd_target(line, is_not_run);
    let sound = [sound_target(), sound_target(), sound_target()];
    let fleet = fleet_with_once(&[&odd, &sound[0], &sound[1], &sound[2]]);
    for n in 0..CALLS {
        let id = format!("plain-{n}");
        let response = call(&fleet, Version::Http11, &format!("/plain/{n}"), &id);
        check(&response, false);
        assert_eq!(response.status, 200, "another target can serve it: {response:?}");
        let id = format!("once-{n}");
        let response = call(&fleet, Version::Http11, &format!("/once/{n}"), &id);
        check(&response, ids(&odd).contains(&id));
    }
    let odd_calls = ids(&odd).len();
    assert!(odd_calls < 2 * CALLS / 4, "the odd target got {odd_calls}, its share as if sound");
    let items = ["item-1", "item-2", "item-3", "item-4", "item-5", "item-6"];
    assert_eq!(submit_to(fleet.gateways[0].front_address, "job", &items, &[]).status, 202);
    for result in fleet.wait_results(0, "job") {
        assert_eq!(result["state"], "complete", "{result}");
        assert!(!result["message"].as_str().expect("text").contains(ODD_TEXT), "{result}");
    }
}

/// Successes that aren't those of a whole output, with their bodies.
#[derive(Clone, Copy, Debug)]
enum Success {
    Accepted,
    NoContent,
    ResetContent,
    PartialContent,
}

impl Success {
    fn answer(self, request: &Request) -> Answer {
        let line = match self {
            Accepted => "HTTP/1.1 202 Accepted",
            ResetContent => "HTTP/1.1 205 Reset Content",
            PartialContent => "HTTP/1.1 206 Partial Content",
            NoContent => {
                let head = format!(
                    "HTTP/1.1 204 No Content\r\nX-Gatespool-Request-Id: {}\r\n\r\n",
                    request.id
                );
                return Answer { pieces: vec![head.into()], ..odd(request, "", "") };
            }
        };
        odd(request, line, "")
    }
}

/// Regression: an item whose target answered without its output, or with a part of it, was complete.
#[rstest]
fn item_is_complete_only_by_a_whole_output(
    #[values(Accepted, NoContent, ResetContent, PartialContent)] success: Success,
) {
    let odd = target(move |request| success.answer(request));
    let sound = sound_target();
    let fleet = fleet_of(&[&odd, &sound]);
    let items = ["item-1", "item-2", "item-3", "item-4", "item-5", "item-6"];
    assert_eq!(submit_to(fleet.gateways[0].front_address, "job", &items, &[]).status, 202);
    let expected: Vec<String> = (1..=6).map(|n| format!("part-{n}")).collect();
    for result in fleet.wait_results(0, "job") {
        assert_eq!(result["message"], expected.join("\n"), "{result}");
    }
    assert!(!ids(&odd).is_empty(), "no item met the odd target");
}

/// Regression: a stream that another target was to continue ended as if complete.
#[rstest]
fn stream_goes_on_only_by_a_whole_output(
    #[values(Accepted, NoContent, ResetContent, PartialContent)] success: Success,
) {
    let interrupted = move |request: &Request| match request.last_event_id {
        None => Answer::new(&request.id, CHUNKED, &[&chunks(&[&events(1, 2)])[0]], End::Reset),
        Some(_) => success.answer(request),
    };
    let targets = [target(interrupted), target(interrupted)];
    let fleet = fleet_of(&[&targets[0], &targets[1]]);
    let response = call(&fleet, Version::Http11, "/talk/x", "call");
    assert!(!response.looks_complete(), "{response:?}");
    let requests = targets.iter().flat_map(RawTarget::requests);
    assert!(requests.into_iter().any(|request| request.last_event_id.is_some()));
}
