//! Real answers and errors against the published contract, and a stock client's
//! view of it.

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
    jsonschema::validator_for(&schema).expect("a schema")
}

#[track_caller]
fn check(response: &Response, status: u16, schema: &str) {
    assert_eq!(response.status, status, "{response:?}");
    let errors: Vec<String> =
        validator(schema).iter_errors(&response.json()).map(|error| error.to_string()).collect();
    assert!(errors.is_empty(), "{errors:?} in {response:?}");
}

/// An error answer: the schema, the status of its row, and when to come back.
#[track_caller]
fn check_error(response: &Response, kind: Kind) {
    check(response, kind.properties().status, "Error");
    assert_eq!(response.error_kind(), Some(kind));
    let says_when = !response.header("retry-after").is_empty();
    assert_eq!(says_when, kind.properties().retry != Retry::Never, "{response:?}");
}

#[test]
fn every_kind_of_the_table_is_in_the_contract() {
    let contract = contract();
    let listed = contract["components"]["schemas"]["Error"]["properties"]["error"]["properties"]
        ["type"]["enum"]
        .as_array()
        .expect("a list")
        .iter()
        .map(|kind| kind.as_str().expect("a name").to_owned())
        .collect::<HashSet<_>>();
    let known: HashSet<String> = Kind::ALL.iter().map(|kind| kind.name()).collect();
    assert_eq!(listed, known);
}

#[test]
fn answers_fit_the_contract() {
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
    let job = accepted.json()["job"].as_str().expect("its id").to_owned();
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
fn errors_of_callers_fit_the_contract() {
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
    let nameless = json!({ "put": [{ "object": "limit", "caller": "x", "rate": 0, "burst": 1 }] });
    check_error(&cluster.apply(0, 1, &nameless), Kind::InvalidConfig);
    // The daemon is as well as before.
    assert_eq!(chat(front, "after", &[], json!({})).status, 200);
}

#[test]
fn errors_of_targets_and_limits_fit_the_contract() {
    let cluster = Cluster::start(Plan::default());
    let front = cluster.daemons[0].front_address;
    let limit = json!({ "put": [
        { "object": "limit", "caller": "greedy", "rate": 0.01, "burst": 1.0 }
    ] });
    assert_eq!(cluster.apply(0, 1, &limit).status, 200);
    let greedy = [("gatespool-caller", "greedy")];
    assert_eq!(chat(front, "one", &greedy, json!({})).status, 200);
    let refused = chat(front, "two", &greedy, json!({}));
    check_error(&refused, Kind::CallerLimit);
    let wait: u64 = refused.header("retry-after").parse().expect("seconds");
    assert!(wait > 10, "the time until the next token, not a constant: {wait}");
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
fn errors_of_an_outage_fit_the_contract() {
    let cluster = Cluster::start(Plan::default());
    let front = cluster.daemons[0].front_address;
    cluster.set_platform_down(true);
    let once = [("idempotency-key", "o"), ("gatespool-repeatable", "false")];
    check_error(&chat(front, "offer", &once, json!({})), Kind::PlatformUnavailable);
    check_error(&cluster.submit(0, "night", &items("describe", 5)), Kind::PlatformUnavailable);
    check_error(&cluster.apply(0, 1, &json!({ "put": [] })), Kind::PlatformUnavailable);
}

/// A caller that sends its body slowly is told so, and holds up nobody.
#[test]
fn a_slow_caller_is_refused() {
    let settings = vec![String::from("front.body_timeout_ms = 300")];
    let cluster = Cluster::start(Plan { settings, ..Plan::default() });
    let mut stream = TcpStream::connect(cluster.daemons[0].front_address).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout");
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 1000\r\n\r\n{";
    stream.write_all(head.as_bytes()).expect("sent");
    let mut answer = [0; 1024];
    let read = stream.read(&mut answer).expect("an answer");
    let answer = String::from_utf8_lossy(&answer[..read]).into_owned();
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("slow_caller"), "{answer}");
}

/// Wrong versions of the protocol and junk end the connection, nothing else.
#[test]
fn junk_ends_its_own_connection_only() {
    let cluster = Cluster::start(Plan::default());
    let front = cluster.daemons[0].front_address;
    for junk in [&b"\x16\x03\x01\x02\x00"[..], b"GET / HTTP/9.9\r\n\r\n", b"\r\n\r\n\0\0\0"] {
        let mut stream = TcpStream::connect(front).expect("a connection");
        stream.write_all(junk).expect("sent");
    }
    let mut stream = TcpStream::connect(cluster.daemons[0].peer_address).expect("a connection");
    stream.write_all(&[0xff; 4096]).expect("sent");
    drop(stream);
    assert_eq!(chat(front, "after", &[], json!({})).status, 200);
    cluster.wait_members();
}

/// What a stock client of chat completions relies on.
#[test]
fn a_stock_client_reads_the_same_text_either_way_from_any_instance() {
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
        let whole = post(daemon.front_address, "/v1/chat/completions", &auth, &body);
        assert_eq!(whole.header("content-type"), "application/json");
        texts.insert(whole.text());
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
