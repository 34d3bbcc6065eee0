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

fn offer(cluster: &Cluster, daemon: usize, key: &str) -> Response {
    let headers = [
        ("idempotency-key", key),
        ("gatespool-repeatable", "false"),
        ("gatespool-deadline-ms", "3000"),
    ];
    chat(cluster.daemons[daemon].front_address, &format!("offer {key}"), &headers, json!({}))
}

/// Most runs of one prompt, over all engines.
fn most_runs(cluster: &Cluster) -> usize {
    let mut runs: HashMap<String, usize> = HashMap::new();
    cluster.runs().into_iter().for_each(|run| *runs.entry(run.prompt).or_default() += 1);
    runs.values().copied().max().unwrap_or(0)
}

#[test]
fn an_offer_whose_instance_is_killed_is_not_made_again() {
    let engine = Config { token_interval: Duration::from_millis(100), ..Config::default() };
    let mut cluster = Cluster::start(Plan { engine, ..Plan::default() });
    let front = cluster.daemons[0].front_address;
    let sent = std::thread::spawn(move || {
        let headers = [("idempotency-key", "a"), ("gatespool-repeatable", "false")];
        chat(front, "offer a", &headers, json!({}))
    });
    wait_until("the offer is being made", || cluster.runs().iter().any(|run| run.tokens > 0));
    cluster.daemons[0].kill();
    assert_eq!(sent.join().expect("an answer").status, 0);
    for daemon in [1, 2, 1] {
        let again = wait_for("the resend is answered", || {
            let response = offer(&cluster, daemon, "a");
            (response.json()["error"]["type"] != "platform_away").then_some(response)
        });
        let kind = again.json()["error"]["type"].clone();
        assert!(kind == "in_progress" || kind == "may_have_run", "{again:?}");
    }
    assert_eq!(most_runs(&cluster), 1);
}

#[test]
fn an_offer_resent_everywhere_at_once_is_made_once() {
    let cluster = Cluster::start(Plan::default());
    std::thread::scope(|scope| {
        for n in 0..30 {
            let cluster = &cluster;
            scope.spawn(move || offer(cluster, n % 3, &format!("k{}", n % 5)));
        }
    });
    for n in 0..5 {
        let kept = wait_for("the outcome is kept", || {
            let response = offer(&cluster, n % 3, &format!("k{n}"));
            (response.status == 200).then_some(response)
        });
        assert_eq!(kept.header("gatespool-replayed"), "true");
    }
    assert_eq!(most_runs(&cluster), 1);
}

#[test]
fn a_cut_answer_is_final_and_told_at_once() {
    let cluster = Cluster::start(Plan::default());
    for engine in &cluster.engines {
        engine
            .control(EngineControl { interrupted_streams: Some(100), ..EngineControl::default() });
    }
    let first = offer(&cluster, 0, "a");
    assert_eq!(first.json()["error"]["type"], "may_have_run", "{first:?}");
    let again = offer(&cluster, 1, "a");
    assert_eq!(again.json()["error"]["type"], "may_have_run", "{again:?}");
    assert!(again.json()["error"]["retry_after"].is_null());
    assert_eq!(most_runs(&cluster), 1);
}

#[rstest]
#[case::an_answer(1)]
#[case::several_answers(6)]
fn a_claim_whose_answer_is_lost_runs_nothing_twice(#[case] lose: u32) {
    let cluster = Cluster::start(Plan::default());
    let lose_prefix = Some(String::from("log/"));
    cluster.set_platform_faults(Control {
        lost_replies: Some(lose),
        lost_replies_prefix: lose_prefix,
        ..Control::default()
    });
    for round in 0..12 {
        offer(&cluster, round % 3, &format!("k{}", round % 4));
    }
    for n in 0..4 {
        wait_until("the offer has its outcome", || {
            offer(&cluster, n % 3, &format!("k{n}")).status == 200
        });
    }
    assert_eq!(most_runs(&cluster), 1);
}

#[test]
fn a_holder_paused_between_claim_and_answer_runs_it_once() {
    let engine = Config { token_interval: Duration::from_millis(60), ..Config::default() };
    let cluster = Cluster::start(Plan { engine, ..Plan::default() });
    let front = cluster.daemons[0].front_address;
    let sent = std::thread::spawn(move || {
        let headers = [
            ("idempotency-key", "a"),
            ("gatespool-repeatable", "false"),
            ("gatespool-deadline-ms", "3000"),
        ];
        chat(front, "offer a", &headers, json!({}))
    });
    wait_until("the offer is being made", || cluster.runs().iter().any(|run| run.tokens > 0));
    cluster.daemons[0].freeze();
    // Past the deadline and its margin the resend gets the final word.
    wait_until("the resend is told", || {
        offer(&cluster, 1, "a").json()["error"]["type"] == "may_have_run"
    });
    cluster.daemons[0].thaw();
    sent.join().expect("an answer");
    offer(&cluster, 2, "a");
    assert_eq!(most_runs(&cluster), 1);
}

fn post_offer(cluster: &Cluster, daemon: usize, key: &str) -> Response {
    let headers = [("idempotency-key", key), ("gatespool-deadline-ms", "3000")];
    call("POST", cluster.daemons[daemon].front_address, "/offers/new", &headers, "400 rupees")
}

#[test]
fn a_call_of_a_plain_service_whose_answer_is_lost_is_not_repeated() {
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
fn items_that_may_run_once_survive_kills_without_a_second_run() {
    let engine = Config { token_interval: Duration::from_millis(10), ..Config::default() };
    let mut cluster = Cluster::start(Plan { engine, ..Plan::default() });
    let list: Vec<Value> =
        (0..200).map(|n| json!({ "prompt": format!("wire {n}"), "repeatable": false })).collect();
    let accepted = cluster.submit(0, "wires", &list);
    let job = accepted.json()["job"].as_str().expect("its id").to_owned();
    wait_until("work began", || cluster.runs().len() > 40);
    cluster.daemons[1].kill();
    wait_until("work goes on", || cluster.runs().len() > 90);
    let fresh = cluster.start_daemon();
    fresh.wait_ready();
    cluster.daemons[1] = fresh;
    cluster.daemons[2].freeze();
    wait_until("work goes on", || cluster.runs().len() > 130);
    cluster.daemons[2].thaw();
    let status = cluster.wait_job(1, &job, "finished");
    assert_eq!(status["done"], 200);
    assert_eq!(cluster.results(1, &job).len(), 200);
    assert_eq!(most_runs(&cluster), 1);
}

/// A caller that hangs up before the first token leaves no claim behind that
/// nobody settles: the offer is made, once, and its outcome is there to read.
#[test]
fn an_offer_whose_caller_hangs_up_is_made_once_and_kept() {
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
        std::net::TcpStream::connect(cluster.daemons[0].front_address).expect("connected");
    std::io::Write::write_all(&mut stream, head.as_bytes()).expect("sent");
    wait_until("the offer is being made", || cluster.runs().len() == 1);
    drop(stream);
    let kept = wait_for("the outcome is kept", || {
        let response = offer(&cluster, 1, "a");
        (response.status == 200).then_some(response)
    });
    assert_eq!(kept.header("gatespool-replayed"), "true");
    assert_eq!(most_runs(&cluster), 1);
}
