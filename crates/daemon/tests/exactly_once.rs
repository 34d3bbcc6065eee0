//! An accepted item completes exactly once, and its result stays readable.

mod util;

use serde_json::{Value, json};
use standin::engine::{Config, POISON};
use standin::platform::Control;
use standin::text;
use std::collections::HashMap;
use std::time::Duration;
use util::client::{call, chat};
use util::cluster::{Cluster, Plan, items};
use util::{wait_for, wait_until};

fn job_id(response: &util::client::Response) -> String {
    response.json()["job"].as_str().expect("job id").to_owned()
}

/// Checks that every item has the expected outcome and that the counts agree.
#[track_caller]
fn check_results(cluster: &Cluster, daemon: usize, job: &str, prompt: &str, count: usize) {
    let status = cluster.wait_job(daemon, job, "finished");
    assert_eq!(status["done"], count, "{status}");
    let results = cluster.results(daemon, job);
    assert_eq!(results.len(), count);
    for (index, line) in results.iter().enumerate() {
        assert_eq!(line["item"], index);
        assert_eq!(line["text"], text::full_text(&format!("{prompt} {index}"), None));
    }
}

/// Number of complete runs beyond the first of each key.
fn repeated_runs(cluster: &Cluster) -> usize {
    let mut complete: HashMap<String, usize> = HashMap::new();
    for run in cluster.runs().into_iter().filter(|run| run.is_complete) {
        *complete.entry(run.key).or_default() += 1;
    }
    complete.values().map(|runs| runs - 1).sum()
}

#[test]
fn job_completes_though_every_instance_is_killed_in_turn() {
    let engine = Config { token_interval: Duration::from_millis(5), ..Config::default() };
    let mut cluster = Cluster::start(Plan { engine, ..Plan::default() });
    let job = job_id(&cluster.submit(0, "night", &items("describe", 600)));
    for round in 0..3 {
        let before = cluster.runs().len();
        wait_until("more items have run", || cluster.runs().len() > before + 60);
        let mut new_daemon = cluster.start_daemon();
        new_daemon.wait_ready();
        std::mem::swap(&mut cluster.daemons[round], &mut new_daemon);
        new_daemon.kill();
    }
    check_results(&cluster, 1, &job, "describe", 600);
    // A kill may repeat only what the holder ran since its last report.
    let max_repeated = 3 * cluster.plan.engines * cluster.plan.engine.slots as usize * 4;
    assert!(repeated_runs(&cluster) <= max_repeated, "{} items ran again", repeated_runs(&cluster));
}

#[test]
fn holder_paused_past_its_claim_records_no_second_outcome() {
    let engine = Config { token_interval: Duration::from_millis(20), ..Config::default() };
    let cluster = Cluster::start(Plan { engine, ..Plan::default() });
    // Items run for about two seconds, so that the next holder is still running them when the
    // paused one resumes with results of its own.
    let list: Vec<Value> =
        (0..48).map(|n| json!({ "prompt": format!("long {n}"), "max_tokens": 100 })).collect();
    let job = job_id(&cluster.submit(0, "night", &list));
    wait_until("all chunks are assigned", || cluster.status(0, &job)["claims"] == 3);
    let holder = wait_for("a holder", || {
        let runs = |d: usize| cluster.engines[d].running()[1];
        (0..3).find(|d| runs(*d) > 0)
    });
    cluster.daemons[holder].freeze();
    let reader = (holder + 1) % 3;
    wait_until("its chunk is assigned again", || {
        cluster.status(reader, &job)["claims"].as_u64().unwrap_or(0) > 3
    });
    cluster.daemons[holder].thaw();
    let status = cluster.wait_job(reader, &job, "finished");
    assert_eq!(status["done"], 48, "{status}");
    let results = cluster.results(holder, &job);
    assert_eq!(results.len(), 48);
    for (index, line) in results.iter().enumerate() {
        assert_eq!(line["text"], text::full_text(&format!("long {index}"), Some(100)));
    }
}

#[test]
fn lost_write_replies_neither_lose_nor_repeat_items() {
    let cluster = Cluster::start(Plan::default());
    let job = job_id(&cluster.submit(0, "night", &items("describe", 300)));
    for _ in 0..5 {
        let lost_replies_prefix = Some(String::from("log/"));
        cluster.set_platform_faults(Control {
            lost_replies: Some(3),
            lost_replies_prefix,
            ..Control::default()
        });
        std::thread::sleep(Duration::from_millis(100));
    }
    check_results(&cluster, 2, &job, "describe", 300);
    assert_eq!(repeated_runs(&cluster), 0);
}

#[test]
fn platform_outage_and_kill_together_lose_nothing() {
    let engine = Config { token_interval: Duration::from_millis(5), ..Config::default() };
    // Whichever chunks are assigned, more than ten of their items haven't run by then.
    let settings = vec![String::from("batch.chunk_items = 128")];
    let mut cluster = Cluster::start(Plan { engine, settings, ..Plan::default() });
    let job = job_id(&cluster.submit(0, "night", &items("describe", 500)));
    wait_until("items are running", || cluster.runs().len() > 60);
    cluster.set_platform_down(true);
    let before = cluster.runs().len();
    wait_until("assigned items continue", || cluster.runs().len() > before + 10);
    cluster.daemons[0].kill();
    cluster.set_platform_down(false);
    check_results(&cluster, 1, &job, "describe", 500);
}

#[test]
fn resent_job_is_recognized() {
    let cluster = Cluster::start(Plan::default());
    let list = items("describe", 40);
    let first = cluster.submit(0, "night", &list);
    let again = cluster.submit(1, "night", &list);
    assert_eq!((first.status, again.status), (201, 200));
    assert_eq!(job_id(&first), job_id(&again));
    let other = cluster.submit(2, "night", &items("another", 40));
    assert_eq!(other.json()["error"]["type"], "key_conflict");
    check_results(&cluster, 2, &job_id(&first), "describe", 40);
    assert_eq!(repeated_runs(&cluster), 0);
}

#[test]
fn job_submitted_concurrently_is_accepted_once() {
    let cluster = Cluster::start(Plan::default());
    let list = items("describe", 64);
    let replies: Vec<_> = std::thread::scope(|scope| {
        let send = |daemon: usize| {
            scope.spawn({
                let (cluster, list) = (&cluster, &list);
                move || cluster.submit(daemon, "night", list)
            })
        };
        let calls: Vec<_> = (0..6).map(|n| send(n % 3)).collect();
        calls.into_iter().map(|call| call.join().expect("caller thread panicked")).collect()
    });
    let accepted = replies.iter().filter(|response| response.status == 201).count();
    assert_eq!(accepted, 1, "{replies:?}");
    check_results(&cluster, 0, &job_id(&replies[0]), "describe", 64);
    assert_eq!(repeated_runs(&cluster), 0);
}

#[test]
fn items_that_always_fail_end_as_failed() {
    let cluster = Cluster::start(Plan::default());
    let mut list = items("describe", 60);
    for index in [3, 17, 44] {
        list[index] = json!({ "prompt": format!("{POISON} {index}") });
    }
    let job = job_id(&cluster.submit(0, "night", &list));
    let status = cluster.wait_job(1, &job, "finished");
    assert_eq!((&status["done"], &status["failed"]), (&json!(60), &json!(3)));
    let results = cluster.results(1, &job);
    let failed: Vec<&Value> = results.iter().filter(|line| line["outcome"] == "failed").collect();
    assert_eq!(failed.len(), 3);
    assert!(failed.iter().all(|line| line["kind"] == "attempts_exhausted"));
    let attempts = cluster.runs().iter().filter(|run| run.prompt == format!("{POISON} 17")).count();
    assert_eq!(attempts, 3);
}

#[test]
fn recorded_response_survives_the_kill_of_its_instance() {
    let mut cluster = Cluster::start(Plan::default());
    let headers = [("idempotency-key", "answer-1")];
    let first = chat(cluster.daemons[0].front_address, "which edition?", &headers, json!({}));
    assert_eq!((first.status, first.header("gatespool-recorded")), (200, "now"));
    cluster.daemons[0].kill();
    let again = wait_for("the resend is served", || {
        let response =
            chat(cluster.daemons[1].front_address, "which edition?", &headers, json!({}));
        (response.status == 200).then_some(response)
    });
    assert_eq!(again.header("gatespool-replayed"), "true");
    assert_eq!(again.text(), first.text());
    assert_eq!(cluster.runs().len(), 1);
}

#[test]
fn new_shard_owner_recovers_from_snapshots() {
    let settings = vec![String::from("log.snapshot_entries = 5"), String::from("log.shards = 1")];
    let mut cluster = Cluster::start(Plan { settings, ..Plan::default() });
    let send = |cluster: &Cluster, daemon: usize, n: usize| {
        let key = format!("answer-{n}");
        let prompt = format!("question {n}");
        chat(
            cluster.daemons[daemon].front_address,
            &prompt,
            &[("idempotency-key", &key)],
            json!({}),
        )
    };
    for n in 0..30 {
        assert_eq!(send(&cluster, n % 3, n).status, 200);
    }
    wait_until("a snapshot is written", || !cluster.platform.keys("log/0000/head").is_empty());
    // The new instance can only recover the shard from the platform.
    let new_daemon = cluster.start_daemon();
    new_daemon.wait_ready();
    cluster.daemons.clear();
    cluster.daemons.push(new_daemon);
    for n in 0..30 {
        let again = wait_for("the resend is served", || {
            let response = send(&cluster, 0, n);
            (response.status == 200).then_some(response)
        });
        assert_eq!(again.header("gatespool-replayed"), "true", "question {n}");
    }
    assert_eq!(cluster.runs().len(), 30);
}

/// The platform rejects writes over its rate while snapshots are written; a partial snapshot must
/// never be read.
#[test]
fn interrupted_snapshot_loses_nothing() {
    let settings = vec![String::from("log.snapshot_entries = 2"), String::from("log.shards = 1")];
    let mut cluster = Cluster::start(Plan { settings, ..Plan::default() });
    let send = |cluster: &Cluster, daemon: usize, n: usize| {
        let key = format!("answer-{n}");
        chat(cluster.daemons[daemon].front_address, &key, &[("idempotency-key", &key)], json!({}))
    };
    let set_write_rate = |cluster: &Cluster, rate: f64| {
        cluster
            .set_platform_faults(Control { writes_per_second: Some(rate), ..Control::default() });
    };
    set_write_rate(&cluster, 4.0);
    for n in 0..24 {
        assert_eq!(send(&cluster, n % 3, n).status, 200);
    }
    wait_until("writes are rejected", || cluster.platform.counts().rate_limited > 10);
    set_write_rate(&cluster, 1e6);
    for n in 0..24 {
        wait_until("the outcome is recorded", || {
            send(&cluster, 1, n).header("gatespool-replayed") == "true"
        });
    }
    let new_daemon = cluster.start_daemon();
    new_daemon.wait_ready();
    cluster.daemons.clear();
    cluster.daemons.push(new_daemon);
    let runs = cluster.runs().len();
    for n in 0..24 {
        let again = wait_for("the resend is served", || {
            let response = send(&cluster, 0, n);
            (response.status == 200).then_some(response)
        });
        assert_eq!(again.header("gatespool-replayed"), "true", "answer {n}");
    }
    assert_eq!(cluster.runs().len(), runs, "requests ran again under the new owner");
}

/// Objects past the retention window are deleted, later ones are kept.
#[test]
fn objects_past_retention_are_deleted() {
    let settings = vec![
        String::from("log.retention_s = 4"),
        String::from("log.snapshot_entries = 4"),
        String::from("log.shards = 1"),
    ];
    let mut cluster = Cluster::start(Plan { settings, ..Plan::default() });
    let job = job_id(&cluster.submit(0, "night", &items("describe", 40)));
    cluster.wait_job(0, &job, "finished");
    let send = |cluster: &Cluster, n: usize| {
        let key = format!("answer-{n}");
        chat(cluster.daemons[0].front_address, &key, &[("idempotency-key", &key)], json!({}))
    };
    let mut n = 0;
    wait_until("the job's objects and the first entries are deleted", || {
        n += 1;
        assert_eq!(send(&cluster, n).status, 200);
        let is_deleted = |prefix: &str| cluster.platform.keys(prefix).is_empty();
        let first = cluster.platform.value("log/0000/e/000000000000");
        is_deleted("chunk/") && is_deleted("result/") && is_deleted("index/") && first.is_none()
    });
    let new_daemon = cluster.start_daemon();
    new_daemon.wait_ready();
    cluster.daemons.clear();
    cluster.daemons.push(new_daemon);
    let again = wait_for("the resend is served", || {
        let response = send(&cluster, n);
        (response.status == 200).then_some(response)
    });
    assert_eq!(again.header("gatespool-replayed"), "true");
}

#[test]
fn largest_job_stays_within_memory_and_write_bounds() {
    let settings =
        vec![String::from("batch.chunk_items = 256"), String::from("batch.enabled = false")];
    let cluster = Cluster::start(Plan { settings, ..Plan::default() });
    let (_, before) = cluster.daemons[0].cpu_ticks_and_rss_kib();
    let accepted = cluster.submit(0, "night", &items("Describe copy number", 290_000));
    assert_eq!(accepted.status, 201, "{accepted:?}");
    let job = job_id(&accepted);
    let (_, after) = cluster.daemons[0].cpu_ticks_and_rss_kib();
    // The body is about 12 MB, a chunk about 10 kB.
    assert!(after < before + 40_000, "resident memory grew from {before} to {after} KiB");
    assert!(cluster.platform.counts().largest_write_bytes < 1 << 20);
    assert_eq!(cluster.status(1, &job)["items"], 290_000);
    let cancel =
        call("POST", cluster.daemons[2].front_address, &format!("/v1/jobs/{job}/cancel"), &[], "");
    assert_eq!(cancel.json()["phase"], "cancelled");
    let path = format!("/v1/jobs/{job}/results?from=289500&limit=1000");
    let page = cluster.daemons[1].get(&path).json();
    assert_eq!(page["results"].as_array().map(Vec::len), Some(500));
    assert!(page["next"].is_null());
}

/// Regression test: a holder whose last target was assigned to another instance kept its chunk
/// forever, since its heartbeats renewed the lease.
#[test]
fn holder_without_targets_releases_its_chunk() {
    let engine = Config { token_interval: Duration::from_millis(20), ..Config::default() };
    let plan = Plan { daemons: 1, engines: 1, engine, data_centres: 1, ..Plan::default() };
    let mut cluster = Cluster::start(plan);
    let job = job_id(&cluster.submit(0, "night", &items("describe", 200)));
    wait_until("items are running", || cluster.runs().len() > 8);
    // Each new instance may become the one that the target is assigned to.
    for _ in 0..4 {
        let new_daemon = cluster.start_daemon();
        new_daemon.wait_ready();
        cluster.daemons.push(new_daemon);
    }
    check_results(&cluster, 0, &job, "describe", 200);
}
