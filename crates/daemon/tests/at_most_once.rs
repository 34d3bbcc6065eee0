//! A request marked as not repeatable runs at most once.

mod util;

use rstest::rstest;
use serde_json::{Value, json};
use standin::engine::{Config, Control as EngineControl};
use standin::platform::Control;
use std::collections::HashMap;
use std::time::Duration;
use util::client::{Response, call, chat};
use util::cluster::{Cluster, Plan};
use util::{wait_for, wait_until};

fn send_offer(cluster: &Cluster, daemon: usize, key: &str) -> Response {
    let headers = [
        ("idempotency-key", key),
        ("gatespool-repeatable", "false"),
        ("gatespool-deadline-ms", "3000"),
    ];
    chat(cluster.daemons[daemon].front_address, &format!("offer {key}"), &headers, json!({}))
}

/// Highest number of runs of one prompt, over all engines.
fn max_runs(cluster: &Cluster) -> usize {
    let mut runs: HashMap<String, usize> = HashMap::new();
    cluster.runs().into_iter().for_each(|run| *runs.entry(run.prompt).or_default() += 1);
    runs.values().copied().max().unwrap_or(0)
}

#[test]
fn request_is_not_rerun_when_its_instance_is_killed() {
    let engine = Config { token_interval: Duration::from_millis(100), ..Config::default() };
    let mut cluster = Cluster::start(Plan { engine, ..Plan::default() });
    let front = cluster.daemons[0].front_address;
    let caller = std::thread::spawn(move || {
        let headers = [("idempotency-key", "a"), ("gatespool-repeatable", "false")];
        chat(front, "offer a", &headers, json!({}))
    });
    wait_until("the offer is running", || cluster.runs().iter().any(|run| run.tokens > 0));
    cluster.daemons[0].kill();
    assert_eq!(caller.join().expect("caller thread panicked").status, 0);
    for daemon in [1, 2, 1] {
        let again = wait_for("the resend is served", || {
            let response = send_offer(&cluster, daemon, "a");
            (response.json()["error"]["type"] != "platform_away").then_some(response)
        });
        let kind = again.json()["error"]["type"].clone();
        assert!(kind == "in_progress" || kind == "may_have_run", "{again:?}");
    }
    assert_eq!(max_runs(&cluster), 1);
}

#[test]
fn request_resent_to_all_instances_concurrently_runs_once() {
    let cluster = Cluster::start(Plan::default());
    std::thread::scope(|scope| {
        for n in 0..30 {
            let cluster = &cluster;
            scope.spawn(move || send_offer(cluster, n % 3, &format!("k{}", n % 5)));
        }
    });
    for n in 0..5 {
        let recorded = wait_for("the outcome is recorded", || {
            let response = send_offer(&cluster, n % 3, &format!("k{n}"));
            (response.status == 200).then_some(response)
        });
        assert_eq!(recorded.header("gatespool-replayed"), "true");
    }
    assert_eq!(max_runs(&cluster), 1);
}

#[test]
fn interrupted_response_is_reported_as_final_without_delay() {
    let cluster = Cluster::start(Plan::default());
    for engine in &cluster.engines {
        engine
            .control(EngineControl { interrupted_streams: Some(100), ..EngineControl::default() });
    }
    let first = send_offer(&cluster, 0, "a");
    assert_eq!(first.json()["error"]["type"], "may_have_run", "{first:?}");
    let again = send_offer(&cluster, 1, "a");
    assert_eq!(again.json()["error"]["type"], "may_have_run", "{again:?}");
    assert!(again.json()["error"]["retry_after"].is_null());
    assert_eq!(max_runs(&cluster), 1);
}

#[rstest]
#[case::one_reply(1)]
#[case::several_replies(6)]
fn request_runs_once_when_replies_to_claim_writes_are_lost(#[case] lost_replies: u32) {
    let cluster = Cluster::start(Plan::default());
    let lost_replies_prefix = Some(String::from("log/"));
    cluster.set_platform_faults(Control {
        lost_replies: Some(lost_replies),
        lost_replies_prefix,
        ..Control::default()
    });
    for round in 0..12 {
        send_offer(&cluster, round % 3, &format!("k{}", round % 4));
    }
    for n in 0..4 {
        wait_until("the outcome is recorded", || {
            send_offer(&cluster, n % 3, &format!("k{n}")).status == 200
        });
    }
    assert_eq!(max_runs(&cluster), 1);
}

#[test]
fn request_runs_once_when_its_holder_is_paused() {
    let engine = Config { token_interval: Duration::from_millis(60), ..Config::default() };
    let cluster = Cluster::start(Plan { engine, ..Plan::default() });
    let front = cluster.daemons[0].front_address;
    let caller = std::thread::spawn(move || {
        let headers = [
            ("idempotency-key", "a"),
            ("gatespool-repeatable", "false"),
            ("gatespool-deadline-ms", "3000"),
        ];
        chat(front, "offer a", &headers, json!({}))
    });
    wait_until("the offer is running", || cluster.runs().iter().any(|run| run.tokens > 0));
    cluster.daemons[0].freeze();
    // After the deadline and its margin the outcome is final.
    wait_until("the resend gets the final error", || {
        send_offer(&cluster, 1, "a").json()["error"]["type"] == "may_have_run"
    });
    cluster.daemons[0].thaw();
    caller.join().expect("caller thread panicked");
    send_offer(&cluster, 2, "a");
    assert_eq!(max_runs(&cluster), 1);
}

fn post_offer(cluster: &Cluster, daemon: usize, key: &str) -> Response {
    let headers = [("idempotency-key", key), ("gatespool-deadline-ms", "3000")];
    call("POST", cluster.daemons[daemon].front_address, "/offers/new", &headers, "400 rupees")
}

#[test]
fn plain_call_is_not_repeated_when_its_response_is_lost() {
    let cluster = Cluster::start(Plan::default());
    cluster.plain.lose_replies(1);
    let first = post_offer(&cluster, 0, "a");
    assert_eq!(first.json()["error"]["type"], "may_have_run", "{first:?}");
    for daemon in [1, 2, 0] {
        let again = post_offer(&cluster, daemon, "a");
        assert_eq!(again.json()["error"]["type"], "may_have_run", "{again:?}");
    }
    assert_eq!(cluster.plain.calls().len(), 1);
    let other = post_offer(&cluster, 1, "b");
    assert_eq!(other.status, 200);
    assert_eq!(post_offer(&cluster, 2, "b").json(), other.json());
    assert_eq!(cluster.plain.calls().len(), 2);
}

#[test]
fn at_most_once_items_are_not_rerun_after_kills_and_pauses() {
    let engine = Config { token_interval: Duration::from_millis(10), ..Config::default() };
    let mut cluster = Cluster::start(Plan { engine, ..Plan::default() });
    let list: Vec<Value> =
        (0..200).map(|n| json!({ "prompt": format!("wire {n}"), "repeatable": false })).collect();
    let accepted = cluster.submit(0, "wires", &list);
    let job = accepted.json()["job"].as_str().expect("job id").to_owned();
    wait_until("items are running", || cluster.runs().len() > 40);
    cluster.daemons[1].kill();
    wait_until("more items have run", || cluster.runs().len() > 90);
    let new_daemon = cluster.start_daemon();
    new_daemon.wait_ready();
    cluster.daemons[1] = new_daemon;
    cluster.daemons[2].freeze();
    wait_until("more items have run", || cluster.runs().len() > 130);
    cluster.daemons[2].thaw();
    let status = cluster.wait_job(1, &job, "finished");
    assert_eq!(status["done"], 200);
    assert_eq!(cluster.results(1, &job).len(), 200);
    assert_eq!(max_runs(&cluster), 1);
}

/// A caller that disconnects before the first token must not leave a claim without an outcome.
#[test]
fn request_whose_caller_disconnects_runs_once_and_is_recorded() {
    let engine = Config { prefill: Duration::from_millis(400), ..Config::default() };
    let cluster = Cluster::start(Plan { engine, ..Plan::default() });
    let body = json!({
        "model": "pustak-llm", "messages": [{ "role": "user", "content": "offer a" }],
    })
    .to_string();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nidempotency-key: a\r\n\
         gatespool-repeatable: false\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream =
        std::net::TcpStream::connect(cluster.daemons[0].front_address).expect("connect");
    std::io::Write::write_all(&mut stream, head.as_bytes()).expect("write request");
    wait_until("the offer is running", || cluster.runs().len() == 1);
    drop(stream);
    let recorded = wait_for("the outcome is recorded", || {
        let response = send_offer(&cluster, 1, "a");
        (response.status == 200).then_some(response)
    });
    assert_eq!(recorded.header("gatespool-replayed"), "true");
    assert_eq!(max_runs(&cluster), 1);
}
