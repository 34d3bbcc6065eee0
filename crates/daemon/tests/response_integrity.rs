//! Each caller gets the complete response to its own request.

mod util;

use protocol::Kind;
use rstest::rstest;
use serde_json::json;
use standin::engine::{Config, Control};
use standin::text;
use std::time::Duration;
use util::client::{Response, chat, post};
use util::cluster::{Cluster, DATA_CENTRES, Plan};
use util::raw_caller::{self, Version};
use util::raw_target::{Answer, End, RawTarget};
use util::wait_until;

fn interrupt_all(cluster: &Cluster, streams: u32) {
    for engine in &cluster.engines {
        engine.control(Control { interrupted_streams: Some(streams), ..Control::default() });
    }
}

#[test]
fn interrupted_stream_resumes_at_the_next_token() {
    let cluster = Cluster::start(Plan::default());
    for (round, stream) in [true, false].into_iter().enumerate() {
        interrupt_all(&cluster, 1);
        for n in 0..6 {
            let prompt = format!("question {round} {n}");
            let front = cluster.daemons[n % 3].front_address;
            let response = chat(front, &prompt, &[], json!({ "stream": stream }));
            let expected = text::full_text(&prompt, None);
            if stream {
                assert_eq!(response.streamed_text(), (expected, true));
            } else {
                assert_eq!(response.text(), expected);
            }
        }
    }
    let interrupted = cluster.runs().iter().filter(|run| !run.is_complete).count();
    assert!(interrupted > 0, "no stream was interrupted");
}

/// Checks that a truncated stream has no final event, and an error or an aborted body.
#[track_caller]
fn check_incomplete(response: &Response) {
    let (_, done) = response.streamed_text();
    assert!(!done, "a truncated stream has a final event: {response:?}");
    let body = String::from_utf8_lossy(&response.body);
    assert!(
        !response.is_complete || body.contains("\"error\""),
        "a truncated stream has no error: {response:?}"
    );
}

#[test]
fn stream_that_cannot_resume_reports_an_error() {
    let cluster = Cluster::start(Plan::default());
    interrupt_all(&cluster, 1000);
    for daemon in &cluster.daemons {
        let streamed = chat(daemon.front_address, "cut everywhere", &[], json!({ "stream": true }));
        check_incomplete(&streamed);
        let plain = chat(daemon.front_address, "cut everywhere", &[], json!({}));
        assert_ne!(plain.status, 200, "{plain:?}");
        let at_most_once = [("gatespool-repeatable", "false"), ("idempotency-key", "w")];
        let streamed =
            chat(daemon.front_address, "a wicket", &at_most_once, json!({ "stream": true }));
        check_incomplete(&streamed);
    }
}

#[test]
fn stream_of_a_killed_instance_has_no_final_event() {
    let engine = Config { token_interval: Duration::from_millis(50), ..Config::default() };
    let mut cluster = Cluster::start(Plan { engine, ..Plan::default() });
    let front = cluster.daemons[0].front_address;
    let caller =
        std::thread::spawn(move || chat(front, "interrupted", &[], json!({ "stream": true })));
    wait_until("the stream runs", || cluster.runs().iter().any(|run| run.tokens > 1));
    cluster.daemons[0].kill();
    let response = caller.join().expect("caller thread panicked");
    assert!(!response.streamed_text().1, "a truncated stream has a final event: {response:?}");
}

/// A response of unknown length to a caller of HTTP/1.0 ends with its connection.
#[test]
fn stream_of_a_killed_instance_does_not_look_complete_to_an_http_1_0_caller() {
    let engine = Config { token_interval: Duration::from_millis(50), ..Config::default() };
    let mut cluster = Cluster::start(Plan { engine, ..Plan::default() });
    let front = cluster.daemons[0].front_address;
    let headers = "Host: a.example\nContent-Type: application/json";
    let messages = json!([{ "role": "user", "content": "interrupted" }]);
    let body = json!({ "model": "pustak-llm", "stream": true, "messages": messages }).to_string();
    let path = "/v1/chat/completions";
    let mut stream = raw_caller::send(front, Version::Http10, path, headers, &body);
    wait_until("the stream runs", || cluster.runs().iter().any(|run| run.tokens > 1));
    cluster.daemons[0].kill();
    let response = raw_caller::read(&mut stream);
    assert!(!response.looks_complete(), "{response:?}");
}

/// Replaces the target of the plain service by one whose responses to calls have this body.
fn cluster_with_plain_target(headers: &'static str, body: &'static str, end: End) -> Cluster {
    let cluster = Cluster::start(Plan { daemons: 1, ..Plan::default() });
    let target = RawTarget::start(move |request| {
        if request.path == "/load" {
            let load = "{\"online\":0,\"batch\":0,\"leaving\":false}";
            let headers = format!("Content-Type: application/json\nContent-Length: {}", load.len());
            return Answer::new("", &headers, &[load], End::KeepAlive);
        }
        Answer::new("", headers, &[body], end)
    });
    let target = json!({
        "object": "target", "name": "p0", "address": target.address.to_string(),
        "data_centre": DATA_CENTRES[0], "service": "offers", "slots": 64,
    });
    let response = cluster.apply(0, 1, &json!({ "put": [target] }));
    assert_eq!(response.status, 200, "{response:?}");
    cluster.wait_generation(2);
    cluster
}

#[rstest]
#[case::crash("Content-Type: text/plain", "half of", End::Crash)]
#[case::inside_an_event("Content-Type: text/event-stream", "data: half of", End::Close)]
fn plain_call_is_not_answered_with_a_part(
    #[case] headers: &'static str,
    #[case] body: &'static str,
    #[case] end: End,
) {
    let cluster = cluster_with_plain_target(headers, body, end);
    let response = post(cluster.daemons[0].front_address, "/offers/1", &[], &json!({}));
    assert_eq!(response.error_kind(), Some(Kind::TargetFailed), "{response:?}");
}

#[test]
fn plain_call_is_answered_with_a_whole_response_without_a_length() {
    let cluster = cluster_with_plain_target("Content-Type: text/plain", "all of it", End::Close);
    let response = post(cluster.daemons[0].front_address, "/offers/1", &[], &json!({}));
    assert_eq!((response.status, &response.body[..]), (200, &b"all of it"[..]));
}

#[test]
fn responses_are_not_mixed_up_when_engines_are_slow_or_interrupted() {
    let cluster = Cluster::start(Plan::default());
    cluster.engines[0].control(Control { slow_factor: Some(8.0), ..Control::default() });
    cluster.engines[1].control(Control { interrupted_streams: Some(20), ..Control::default() });
    std::thread::scope(|scope| {
        for n in 0..60 {
            let cluster = &cluster;
            scope.spawn(move || {
                let prompt = format!("caller {n}");
                let key = format!("key-{n}");
                let front = cluster.daemons[n % 3].front_address;
                let headers = [("idempotency-key", key.as_str())];
                let response = chat(front, &prompt, &headers, json!({ "stream": true }));
                let (got, done) = response.streamed_text();
                if response.status == 200 && done {
                    assert_eq!(got, text::full_text(&prompt, None));
                } else {
                    check_incomplete(&response);
                }
            });
        }
    });
}

/// Missing load reports must reveal an unresponsive target long before its streams time out.
#[test]
fn requests_move_away_from_an_unresponsive_target() {
    let engine = Config { token_interval: Duration::from_millis(40), ..Config::default() };
    let settings = vec![String::from("targets.idle_ms = 60000")];
    let cluster = Cluster::start(Plan { engine, settings, ..Plan::default() });
    std::thread::scope(|scope| {
        let calls: Vec<_> = (0..12)
            .map(|n| {
                let front = cluster.daemons[n % 3].front_address;
                let prompt = format!("moving {n}");
                let headers = [("gatespool-deadline-ms", "20000")];
                scope.spawn(move || {
                    let response = chat(front, &prompt, &headers, json!({ "stream": true }));
                    (prompt, response.streamed_text())
                })
            })
            .collect();
        wait_until("all requests run", || cluster.runs().len() == 12);
        cluster.engines[0].control(Control { frozen: Some(true), ..Control::default() });
        for call in calls {
            let (prompt, got) = call.join().expect("caller thread panicked");
            assert_eq!(got, (text::full_text(&prompt, None), true));
        }
    });
    let moved = cluster.runs().len() - 12;
    assert!(moved > 0, "no stream ran on the frozen target");
}

#[test]
fn resend_is_replayed_as_soon_as_the_first_stream_has_ended() {
    let cluster = Cluster::start(Plan::default());
    let headers = [("idempotency-key", "seen")];
    let first = chat(cluster.daemons[0].front_address, "seen", &headers, json!({ "stream": true }));
    let (text, done) = first.streamed_text();
    assert!(done);
    // The final event follows the durable outcome, so the resend needn't wait.
    let again = chat(cluster.daemons[1].front_address, "seen", &headers, json!({ "stream": true }));
    assert_eq!(again.streamed_text(), (text, true));
    assert_eq!(again.header("gatespool-replayed"), "true");
    assert_eq!(cluster.runs().len(), 1);
}
