//! A request rejected as not run was not run; rejections come early and say when to retry.

mod util;

use serde_json::json;
use standin::engine::{Config, Control};
use std::collections::HashSet;
use std::sync::Mutex;
use std::time::Duration;
use util::client::{Response, chat, unix_millis};
use util::cluster::{Cluster, Plan, items};

/// Sends `calls` concurrent requests; returns the prompts rejected as not run.
fn send_burst(cluster: &Cluster, name: &str, calls: usize, at_most_once: bool) -> HashSet<String> {
    let rejected = Mutex::new(HashSet::new());
    std::thread::scope(|scope| {
        for n in 0..calls {
            let rejected = &rejected;
            scope.spawn(move || {
                let prompt = format!("{name} {n}");
                let front = cluster.daemons[n % cluster.daemons.len()].front_address;
                let repeatable = if at_most_once { "false" } else { "true" };
                let headers = [
                    ("idempotency-key", prompt.as_str()),
                    ("gatespool-repeatable", repeatable),
                    ("gatespool-deadline-ms", "4000"),
                ];
                let response = chat(front, &prompt, &headers, json!({}));
                check_retry_after(&response);
                let is_error = response.status >= 400;
                if is_error && response.json()["error"]["ran"] == "not_run" {
                    rejected.lock().expect("lock is not poisoned").insert(prompt);
                }
            });
        }
    });
    rejected.into_inner().expect("lock is not poisoned")
}

/// Checks that 429 and 503 carry `Retry-After`.
#[track_caller]
fn check_retry_after(response: &Response) {
    if response.status == 503 || response.status == 429 {
        assert!(!response.header("retry-after").is_empty(), "{response:?}");
    }
}

#[track_caller]
fn check_none_ran(cluster: &Cluster, rejected: &HashSet<String>) {
    for run in cluster.runs() {
        assert!(!rejected.contains(&run.prompt), "rejected as not run, but it ran: {run:?}");
    }
}

#[test]
fn rejected_requests_were_not_run_under_overload() {
    let engine =
        Config { slots: 2, token_interval: Duration::from_millis(30), ..Config::default() };
    let cluster = Cluster::start(Plan { engine, ..Plan::default() });
    let rejected = send_burst(&cluster, "crowd", 150, false);
    assert!(!rejected.is_empty(), "no request was rejected");
    check_none_ran(&cluster, &rejected);
}

#[test]
fn rejected_requests_were_not_run_while_targets_fail() {
    let cluster = Cluster::start(Plan::default());
    cluster.engines[0].control(Control { interrupted_streams: Some(1000), ..Control::default() });
    cluster.engines[1].control(Control { failing: Some(true), ..Control::default() });
    cluster.engines[2].control(Control { leaving: Some(true), ..Control::default() });
    for at_most_once in [true, false] {
        let rejected = send_burst(&cluster, &format!("mixed {at_most_once}"), 60, at_most_once);
        check_none_ran(&cluster, &rejected);
    }
}

#[test]
fn rejected_requests_were_not_run_during_a_platform_outage() {
    let cluster = Cluster::start(Plan::default());
    cluster.set_platform_down(true);
    let rejected = send_burst(&cluster, "away", 30, true);
    assert_eq!(rejected.len(), 30, "an at-most-once request without a claim was not rejected");
    check_none_ran(&cluster, &rejected);
    let job = cluster.submit(0, "night", &items("describe", 20));
    assert_eq!(job.json()["error"]["ran"], "not_run", "{job:?}");
    cluster.set_platform_down(false);
    // Requests rejected as not run may be sent again, and run once.
    for n in 0..30 {
        util::wait_until("the resend is served", || {
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
fn key_older_than_the_retention_window_is_rejected() {
    let settings = vec![String::from("log.retention_s = 60")];
    let cluster = Cluster::start(Plan { settings, ..Plan::default() });
    let old = (unix_millis() - 61_000).to_string();
    let headers = [("idempotency-key", "old"), ("gatespool-issued", old.as_str())];
    let response = chat(cluster.daemons[0].front_address, "old", &headers, json!({}));
    assert_eq!(response.json()["error"]["type"], "key_expired");
    assert!(cluster.runs().is_empty());
}

#[test]
fn rejection_comes_long_before_the_deadline() {
    let engine =
        Config { slots: 1, token_interval: Duration::from_millis(200), ..Config::default() };
    let cluster = Cluster::start(Plan { engine, engines: 1, ..Plan::default() });
    std::thread::scope(|scope| {
        for n in 0..12 {
            let cluster = &cluster;
            scope.spawn(move || {
                let front = cluster.daemons[n % 3].front_address;
                let headers = [("gatespool-deadline-ms", "20000")];
                let start = std::time::Instant::now();
                let response = chat(front, &format!("crowd {n}"), &headers, json!({}));
                check_retry_after(&response);
                if response.status == 503 {
                    // Half of the deadline.
                    assert!(start.elapsed() < Duration::from_secs(10), "{response:?}");
                }
            });
        }
    });
}
