//! A graceful shutdown interrupts no request, and hands off batch work without repeating it.

mod util;

use serde_json::json;
use standin::engine::Config;
use standin::text;
use std::collections::HashMap;
use std::time::Duration;
use util::client::chat;
use util::cluster::{Cluster, Plan, items};
use util::wait_until;

#[test]
fn running_requests_complete_during_shutdown() {
    let engine = Config { token_interval: Duration::from_millis(60), ..Config::default() };
    let mut cluster = Cluster::start(Plan { engine, ..Plan::default() });
    let front = cluster.daemons[0].front_address;
    let calls: Vec<_> = (0..12)
        .map(|n| {
            std::thread::spawn(move || {
                let key = format!("key-{n}");
                let headers = [("idempotency-key", key.as_str())];
                let headers = if n % 3 == 0 { &headers[..] } else { &[] };
                let prompt = format!("running {n}");
                let response = chat(front, &prompt, headers, json!({ "stream": n % 2 == 0 }));
                (n, prompt, response)
            })
        })
        .collect();
    wait_until("all requests run", || cluster.runs().len() >= 12);
    cluster.daemons[0].terminate();
    let not_ready = || cluster.daemons[0].get("/ready").status != 200;
    wait_until("readiness is withdrawn", not_ready);
    for call in calls {
        let (n, prompt, response) = call.join().expect("caller thread panicked");
        let expected = text::full_text(&prompt, None);
        if n % 2 == 0 {
            assert_eq!(response.streamed_text(), (expected, true), "{response:?}");
        } else {
            assert_eq!(response.text(), expected);
        }
    }
    assert!(cluster.daemons[0].wait_exit().success());
}

/// The load balancer may send requests until it notices that the instance is not ready.
#[test]
fn request_during_the_grace_period_is_served() {
    let settings = vec![String::from("stop.grace_ms = 3000")];
    let mut cluster = Cluster::start(Plan { settings, ..Plan::default() });
    cluster.daemons[0].terminate();
    wait_until("readiness is withdrawn", || cluster.daemons[0].get("/ready").status != 200);
    let response = chat(cluster.daemons[0].front_address, "one more", &[], json!({}));
    assert_eq!(response.status, 200, "{response:?}");
    assert!(cluster.daemons[0].wait_exit().success());
}

#[test]
fn batch_work_is_handed_off_without_repeats() {
    let engine = Config { token_interval: Duration::from_millis(10), ..Config::default() };
    let mut cluster = Cluster::start(Plan { engine, ..Plan::default() });
    let accepted = cluster.submit(0, "night", &items("describe", 600));
    let job = accepted.json()["job"].as_str().expect("job id").to_owned();
    // A rolling replacement.
    for round in 0..3 {
        let before = cluster.runs().len();
        wait_until("more items have run", || cluster.runs().len() > before + 50);
        let new_daemon = cluster.start_daemon();
        new_daemon.wait_ready();
        cluster.daemons[round].terminate();
        assert!(cluster.daemons[round].wait_exit().success());
        cluster.daemons[round] = new_daemon;
    }
    let status = cluster.wait_job(0, &job, "finished");
    assert_eq!(status["done"], 600);
    let mut runs: HashMap<String, usize> = HashMap::new();
    cluster.runs().into_iter().for_each(|run| *runs.entry(run.prompt).or_default() += 1);
    assert_eq!(runs.len(), 600);
    let repeated: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    assert!(repeated.is_empty(), "ran again: {repeated:?}");
}

#[test]
fn shutdown_is_bounded_when_a_stream_hangs() {
    let settings =
        vec![String::from("stop.bound_ms = 1500"), String::from("targets.idle_ms = 60000")];
    let mut cluster = Cluster::start(Plan { settings, engines: 1, ..Plan::default() });
    let front = cluster.daemons[0].front_address;
    let frozen = standin::engine::Control { frozen: Some(true), ..Default::default() };
    cluster.engines[0].control(frozen);
    let caller = std::thread::spawn(move || chat(front, "hangs", &[], json!({ "stream": true })));
    wait_until("the stream runs", || cluster.engines[0].running()[0] == 1);
    cluster.daemons[0].terminate();
    assert!(cluster.daemons[0].wait_exit().success());
    let response = caller.join().expect("caller thread panicked");
    assert!(!response.streamed_text().1);
}
