//! Responses and errors match the published API contract and what a stock client expects.

mod util;

use bytes::Bytes;
use jsonschema::Validator;
use protocol::kind::{Kind, Retry};
use serde_json::{Value, json};
use standin::engine::Control as EngineControl;
use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use util::client::{Response, call, chat, get, post};
use util::cluster::{Cluster, Plan, items};

fn contract() -> Value {
    serde_json::from_str(include_str!("../../../api/openapi.json")).expect("JSON")
}

fn validator(name: &str) -> Validator {
    let contract = contract();
    let schema = json!({
        "$ref": format!("#/components/schemas/{name}"), "components": contract["components"],
    });
    jsonschema::validator_for(&schema).expect("valid schema")
}

#[track_caller]
fn check(response: &Response, status: u16, schema: &str) {
    assert_eq!(response.status, status, "{response:?}");
    let errors: Vec<String> =
        validator(schema).iter_errors(&response.json()).map(|error| error.to_string()).collect();
    assert!(errors.is_empty(), "{errors:?} in {response:?}");
}

/// Checks schema and status of an error response, and that `Retry-After` is present if it applies.
#[track_caller]
fn check_error(response: &Response, kind: Kind) {
    check(response, kind.properties().status, "Error");
    assert_eq!(response.error_kind(), Some(kind));
    let has_retry_after = !response.header("retry-after").is_empty();
    assert_eq!(has_retry_after, kind.properties().retry != Retry::Never, "{response:?}");
}

#[test]
fn contract_lists_every_error_kind() {
    let contract = contract();
    let listed = contract["components"]["schemas"]["Error"]["properties"]["error"]["properties"]
        ["type"]["enum"]
        .as_array()
        .expect("a list")
        .iter()
        .map(|kind| kind.as_str().expect("a name").to_owned())
        .collect::<HashSet<_>>();
    let defined: HashSet<String> = Kind::ALL.iter().map(|kind| kind.name()).collect();
    assert_eq!(listed, defined);
}

#[test]
fn responses_match_the_contract() {
    let cluster = Cluster::start(Plan::default());
    let front = cluster.daemons[0].front_address;
    assert_eq!(get(front, "/v1/openapi.json").json(), contract());
    check(&chat(front, "which edition?", &[], json!({})), 200, "Completion");
    let streamed = chat(front, "which edition?", &[], json!({ "stream": true }));
    let chunk = validator("Chunk");
    let body = String::from_utf8_lossy(&streamed.body).into_owned();
    let events = body.lines().filter_map(|line| line.strip_prefix("data: "));
    for event in events.filter(|event| *event != "[DONE]") {
        let event: Value = serde_json::from_str(event).expect("JSON");
        assert!(chunk.is_valid(&event), "{event}");
    }
    let accepted = cluster.submit(0, "night", &items("describe", 20));
    check(&accepted, 201, "JobStatus");
    let job = accepted.json()["job"].as_str().expect("job id").to_owned();
    cluster.wait_job(0, &job, "finished");
    for (path, schema) in [
        ("/v1/models".to_owned(), "Models"),
        (format!("/v1/jobs/{job}"), "JobStatus"),
        (format!("/v1/jobs/{job}/results?limit=7"), "Results"),
        ("/v1/config".to_owned(), "Document"),
        ("/v1/config/history".to_owned(), "History"),
        ("/v1/targets".to_owned(), "Targets"),
        ("/v1/instances".to_owned(), "Instances"),
        ("/v1/status".to_owned(), "Status"),
        ("/v1/burn".to_owned(), "Burn"),
    ] {
        check(&get(front, &path), 200, schema);
    }
    check(&call("POST", front, &format!("/v1/jobs/{job}/cancel"), &[], ""), 200, "JobStatus");
    check(&call("POST", front, "/v1/targets/t1/leave", &[], ""), 200, "Leaving");
    check(&cluster.apply(0, 1, &json!({ "put": [] })), 200, "Accepted");
}

#[test]
fn caller_errors_match_the_contract() {
    let cluster = Cluster::start(Plan::default());
    let front = cluster.daemons[0].front_address;
    let path = "/v1/chat/completions";
    check_error(&call("POST", front, path, &[], "{ not json"), Kind::Malformed);
    check_error(&get(front, "/v1/nothing"), Kind::UnknownPath);
    check_error(&chat(front, "x", &[], json!({ "model": "no-such" })), Kind::UnknownService);
    let version = json!({ "model": "pustak-llm@v9" });
    check_error(&chat(front, "x", &[], version), Kind::UnknownModel);
    let adapter = json!({ "model": "pustak-llm+no-such" });
    check_error(&chat(front, "x", &[], adapter), Kind::UnknownModel);
    check_error(&chat(front, "x", &[("gatespool-class", "other")], json!({})), Kind::Malformed);
    check_error(&chat(front, &"x".repeat(2 << 20), &[], json!({})), Kind::TooLarge);
    check_error(&get(front, "/v1/jobs/job-none"), Kind::NotFound);
    check_error(&call("POST", front, "/v1/jobs", &[], "{}"), Kind::Malformed);
    check_error(&cluster.submit(0, "empty", &[]), Kind::Malformed);
    check_error(&cluster.submit(0, "odd", &[json!({ "promt": "misspelt" })]), Kind::Malformed);
    check_error(&call("POST", front, "/v1/targets/t99/leave", &[], ""), Kind::NotFound);
    let key = [("idempotency-key", "k")];
    assert_eq!(chat(front, "one", &key, json!({})).status, 200);
    check_error(&chat(front, "two", &key, json!({})), Kind::KeyConflict);
    check_error(&cluster.apply(0, 9, &json!({ "put": [] })), Kind::StaleRevision);
    let zero_rate = json!({ "put": [{ "object": "limit", "caller": "x", "rate": 0, "burst": 1 }] });
    check_error(&cluster.apply(0, 1, &zero_rate), Kind::InvalidConfig);
    // The daemon still serves requests.
    assert_eq!(chat(front, "after", &[], json!({})).status, 200);
}

#[test]
fn target_and_limit_errors_match_the_contract() {
    let cluster = Cluster::start(Plan::default());
    let front = cluster.daemons[0].front_address;
    let limit = json!({ "put": [
        { "object": "limit", "caller": "greedy", "rate": 0.01, "burst": 1.0 }
    ] });
    assert_eq!(cluster.apply(0, 1, &limit).status, 200);
    let greedy = [("gatespool-caller", "greedy")];
    assert_eq!(chat(front, "one", &greedy, json!({})).status, 200);
    let rejected = chat(front, "two", &greedy, json!({}));
    check_error(&rejected, Kind::CallerLimit);
    let wait: u64 = rejected.header("retry-after").parse().expect("seconds");
    assert!(wait > 10, "not the time until the next token: {wait}");
    let control = |control: EngineControl| {
        cluster.engines.iter().for_each(|engine| engine.control(control.clone()));
    };
    control(EngineControl { interrupted_streams: Some(1000), ..EngineControl::default() });
    check_error(&chat(front, "cut", &[], json!({})), Kind::Truncated);
    control(EngineControl {
        interrupted_streams: Some(0),
        failing: Some(true),
        ..EngineControl::default()
    });
    check_error(&chat(front, "failing", &[], json!({})), Kind::TargetFailed);
}

#[test]
fn platform_outage_errors_match_the_contract() {
    let cluster = Cluster::start(Plan::default());
    let front = cluster.daemons[0].front_address;
    cluster.set_platform_down(true);
    let at_most_once = [("idempotency-key", "o"), ("gatespool-repeatable", "false")];
    check_error(&chat(front, "offer", &at_most_once, json!({})), Kind::PlatformUnavailable);
    check_error(&cluster.submit(0, "night", &items("describe", 5)), Kind::PlatformUnavailable);
    check_error(&cluster.apply(0, 1, &json!({ "put": [] })), Kind::PlatformUnavailable);
}

#[test]
fn slow_request_body_is_rejected_with_408() {
    let settings = vec![String::from("front.body_timeout_ms = 300")];
    let cluster = Cluster::start(Plan { settings, ..Plan::default() });
    let mut stream = TcpStream::connect(cluster.daemons[0].front_address).expect("connect");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("set read timeout");
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 1000\r\n\r\n{";
    stream.write_all(head.as_bytes()).expect("write");
    let mut buf = [0; 1024];
    let read = stream.read(&mut buf).expect("read response");
    let response = String::from_utf8_lossy(&buf[..read]).into_owned();
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(response.contains("slow_caller"), "{response}");
}

/// Unsupported protocol versions and invalid bytes.
#[test]
fn invalid_input_affects_only_its_own_connection() {
    let cluster = Cluster::start(Plan::default());
    let front = cluster.daemons[0].front_address;
    for invalid in [&b"\x16\x03\x01\x02\x00"[..], b"GET / HTTP/9.9\r\n\r\n", b"\r\n\r\n\0\0\0"] {
        let mut stream = TcpStream::connect(front).expect("connect");
        stream.write_all(invalid).expect("write");
    }
    let mut stream = TcpStream::connect(cluster.daemons[0].peer_address).expect("connect");
    stream.write_all(&[0xff; 4096]).expect("write");
    drop(stream);
    assert_eq!(chat(front, "after", &[], json!({})).status, 200);
    cluster.wait_members();
}

/// Fields and headers that a stock chat completions client relies on.
#[test]
fn stock_client_reads_the_same_text_streamed_or_not_from_any_instance() {
    let cluster = Cluster::start(Plan::default());
    let body = json!({
        "model": "pustak-llm", "temperature": 0.2, "top_p": 1, "user": "someone",
        "messages": [
            { "role": "system", "content": "be brief" },
            { "role": "user", "content": "price?" },
        ],
    });
    let mut texts = HashSet::new();
    for daemon in &cluster.daemons {
        let auth = [("authorization", "Bearer some-token")];
        let completion = post(daemon.front_address, "/v1/chat/completions", &auth, &body);
        assert_eq!(completion.header("content-type"), "application/json");
        texts.insert(completion.text());
        let mut streamed = body.clone();
        streamed["stream"] = json!(true);
        let bytes = Bytes::from(streamed.to_string());
        let response = call("POST", daemon.front_address, "/v1/chat/completions", &auth, bytes);
        assert_eq!(response.header("content-type"), "text/event-stream");
        let (text, done) = response.streamed_text();
        assert!(done);
        texts.insert(text);
        let ids = get(daemon.front_address, "/v1/models").json()["data"][0]["id"].clone();
        assert_eq!(ids, "pustak-llm");
    }
    assert_eq!(texts.len(), 1, "{texts:?}");
}
