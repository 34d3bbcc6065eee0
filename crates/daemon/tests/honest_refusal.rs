//! What is refused as not run was not run, and a refusal comes at once with
//! word of when to come back.

mod util;

use serde_json::json;
use standin::engine::{Config, Control};
use std::collections::HashSet;
use std::sync::Mutex;
use std::time::Duration;
use util::client::{Response, chat, unix_millis};
use util::cluster::{Cluster, Plan, items};

/// Prompts that were refused as not run.
fn storm(cluster: &Cluster, name: &str, calls: usize, once: bool) -> HashSet<String> {
    let refused = Mutex::new(HashSet::new());
    std::thread::scope(|scope| {
        for n in 0..calls {
            let refused = &refused;
            scope.spawn(move || {
                let prompt = format!("{name} {n}");
                let front = cluster.daemons[n % cluster.daemons.len()].front_address;
                let repeatable = if once { "false" } else { "true" };
                let headers = [
                    ("idempotency-key", prompt.as_str()),
                    ("gatespool-repeatable", repeatable),
                    ("gatespool-deadline-ms", "4000"),
                ];
                let response = chat(front, &prompt, &headers, json!({}));
                check_refusal(&response);
                let is_refused = response.status >= 400;
                if is_refused && response.json()["error"]["ran"] == "not_run" {
                    refused.lock().expect("no panic").insert(prompt);
                }
            });
        }
    });
    refused.into_inner().expect("no panic")
}

/// An error that asks to come back says when.
#[track_caller]
fn check_refusal(response: &Response) {
    if response.status == 503 || response.status == 429 {
        assert!(!response.header("retry-after").is_empty(), "{response:?}");
    }
}

#[track_caller]
fn check_none_ran(cluster: &Cluster, refused: &HashSet<String>) {
    for run in cluster.runs() {
        assert!(!refused.contains(&run.prompt), "refused as not run, but it ran: {run:?}");
    }
}

#[test]
fn under_overload_the_refused_were_not_run() {
    let engine =
        Config { slots: 2, token_interval: Duration::from_millis(30), ..Config::default() };
    let cluster = Cluster::start(Plan { engine, ..Plan::default() });
    let refused = storm(&cluster, "crowd", 150, false);
    assert!(!refused.is_empty(), "nothing was refused");
    check_none_ran(&cluster, &refused);
}

#[test]
fn while_engines_cut_fail_and_leave_the_refused_were_not_run() {
    let cluster = Cluster::start(Plan::default());
    cluster.engines[0].control(Control { interrupted_streams: Some(1000), ..Control::default() });
    cluster.engines[1].control(Control { failing: Some(true), ..Control::default() });
    cluster.engines[2].control(Control { leaving: Some(true), ..Control::default() });
    for once in [true, false] {
        let refused = storm(&cluster, &format!("mixed {once}"), 60, once);
        check_none_ran(&cluster, &refused);
    }
}

#[test]
fn while_the_platform_is_away_the_refused_were_not_run() {
    let cluster = Cluster::start(Plan::default());
    cluster.set_platform_down(true);
    let refused = storm(&cluster, "away", 30, true);
    assert_eq!(refused.len(), 30, "what may run once is refused without its claim");
    check_none_ran(&cluster, &refused);
    let job = cluster.submit(0, "night", &items("describe", 20));
    assert_eq!(job.json()["error"]["ran"], "not_run", "{job:?}");
    cluster.set_platform_down(false);
    // Refused as not run: the same offers may be made now, and are made once.
    for n in 0..30 {
        util::wait_until("the offer is made", || {
            let prompt = format!("away {n}");
            let headers = [("idempotency-key", prompt.as_str()), ("gatespool-repeatable", "false")];
            chat(cluster.daemons[n % 3].front_address, &prompt, &headers, json!({})).status == 200
        });
    }
    let runs = cluster.runs();
    let prompts: HashSet<&str> = runs.iter().map(|run| run.prompt.as_str()).collect();
    assert_eq!((runs.len(), prompts.len()), (30, 30));
}

#[test]
fn a_key_from_before_the_retention_window_is_refused() {
    let settings = vec![String::from("log.retention_s = 60")];
    let cluster = Cluster::start(Plan { settings, ..Plan::default() });
    let old = (unix_millis() - 61_000).to_string();
    let headers = [("idempotency-key", "old"), ("gatespool-issued", old.as_str())];
    let response = chat(cluster.daemons[0].front_address, "old", &headers, json!({}));
    assert_eq!(response.json()["error"]["type"], "key_expired");
    assert!(cluster.runs().is_empty());
}

#[test]
fn a_refusal_comes_long_before_the_deadline() {
    let engine =
        Config { slots: 1, token_interval: Duration::from_millis(200), ..Config::default() };
    let cluster = Cluster::start(Plan { engine, engines: 1, ..Plan::default() });
    std::thread::scope(|scope| {
        for n in 0..12 {
            let cluster = &cluster;
            scope.spawn(move || {
                let front = cluster.daemons[n % 3].front_address;
                let headers = [("gatespool-deadline-ms", "20000")];
                let began = std::time::Instant::now();
                let response = chat(front, &format!("crowd {n}"), &headers, json!({}));
                check_refusal(&response);
                if response.status == 503 {
                    // A limit, not a timing: a tenth of the deadline.
                    assert!(began.elapsed() < Duration::from_secs(10), "{response:?}");
                }
            });
        }
    });
}
