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

fn job_of(response: &util::client::Response) -> String {
    response.json()["job"].as_str().expect("its id").to_owned()
}

/// Every item has the one right outcome, and the counts agree.
#[track_caller]
fn check_results(cluster: &Cluster, daemon: usize, job: &str, prompt: &str, count: usize) {
    let status = cluster.wait_job(daemon, job, "finished");
    assert_eq!(status["done"], count, "{status}");
    let results = cluster.results(daemon, job);
    assert_eq!(results.len(), count);
    for (place, line) in results.iter().enumerate() {
        assert_eq!(line["item"], place);
        assert_eq!(line["text"], text::full_text(&format!("{prompt} {place}"), None));
    }
}

/// Whole runs beyond the first of each key.
fn repeated(cluster: &Cluster) -> usize {
    let mut whole: HashMap<String, usize> = HashMap::new();
    for run in cluster.runs().into_iter().filter(|run| run.is_complete) {
        *whole.entry(run.key).or_default() += 1;
    }
    whole.values().map(|runs| runs - 1).sum()
}

#[test]
fn a_job_survives_the_kill_of_every_instance() {
    let engine = Config { token_interval: Duration::from_millis(5), ..Config::default() };
    let mut cluster = Cluster::start(Plan { engine, ..Plan::default() });
    let job = job_of(&cluster.submit(0, "night", &items("describe", 600)));
    for round in 0..3 {
        let before = cluster.runs().len();
        wait_until("work goes on", || cluster.runs().len() > before + 60);
        let mut fresh = cluster.start_daemon();
        fresh.wait_ready();
        std::mem::swap(&mut cluster.daemons[round], &mut fresh);
        fresh.kill();
    }
    check_results(&cluster, 1, &job, "describe", 600);
    // A kill repeats what its holder ran since its last report and no more.
    let most = 3 * cluster.plan.engines * cluster.plan.engine.slots as usize * 4;
    assert!(repeated(&cluster) <= most, "{} items ran again", repeated(&cluster));
}

#[test]
fn a_holder_paused_past_its_claim_records_no_second_outcome() {
    let engine = Config { token_interval: Duration::from_millis(20), ..Config::default() };
    let cluster = Cluster::start(Plan { engine, ..Plan::default() });
    // Items of some two seconds: the next holder is still at them when the
    // paused one wakes with its own answers in hand.
    let list: Vec<Value> =
        (0..48).map(|n| json!({ "prompt": format!("long {n}"), "max_tokens": 100 })).collect();
    let job = job_of(&cluster.submit(0, "night", &list));
    wait_until("all chunks are out", || cluster.status(0, &job)["claims"] == 3);
    let holder = wait_for("a holder", || {
        let runs = |d: usize| cluster.engines[d].running()[1];
        (0..3).find(|d| runs(*d) > 0)
    });
    cluster.daemons[holder].freeze();
    let reader = (holder + 1) % 3;
    wait_until("its chunk went out again", || {
        cluster.status(reader, &job)["claims"].as_u64().unwrap_or(0) > 3
    });
    cluster.daemons[holder].thaw();
    let status = cluster.wait_job(reader, &job, "finished");
    assert_eq!(status["done"], 48, "{status}");
    let results = cluster.results(holder, &job);
    assert_eq!(results.len(), 48);
    for (place, line) in results.iter().enumerate() {
        assert_eq!(line["text"], text::full_text(&format!("long {place}"), Some(100)));
    }
}

#[test]
fn lost_write_answers_lose_and_repeat_nothing() {
    let cluster = Cluster::start(Plan::default());
    let job = job_of(&cluster.submit(0, "night", &items("describe", 300)));
    for _ in 0..5 {
        let lose_prefix = Some(String::from("log/"));
        cluster.set_platform_faults(Control {
            lost_replies: Some(3),
            lost_replies_prefix: lose_prefix,
            ..Control::default()
        });
        std::thread::sleep(Duration::from_millis(100));
    }
    check_results(&cluster, 2, &job, "describe", 300);
    assert_eq!(repeated(&cluster), 0);
}

#[test]
fn an_outage_and_a_kill_together_lose_nothing() {
    let engine = Config { token_interval: Duration::from_millis(5), ..Config::default() };
    let mut cluster = Cluster::start(Plan { engine, ..Plan::default() });
    let job = job_of(&cluster.submit(0, "night", &items("describe", 500)));
    wait_until("work began", || cluster.runs().len() > 60);
    cluster.set_platform_down(true);
    let before = cluster.runs().len();
    wait_until("work in hand goes on", || cluster.runs().len() > before + 10);
    cluster.daemons[0].kill();
    cluster.set_platform_down(false);
    check_results(&cluster, 1, &job, "describe", 500);
}

#[test]
fn a_resent_job_is_the_same_job() {
    let cluster = Cluster::start(Plan::default());
    let list = items("describe", 40);
    let first = cluster.submit(0, "night", &list);
    let again = cluster.submit(1, "night", &list);
    assert_eq!((first.status, again.status), (201, 200));
    assert_eq!(job_of(&first), job_of(&again));
    let other = cluster.submit(2, "night", &items("another", 40));
    assert_eq!(other.json()["error"]["type"], "key_conflict");
    check_results(&cluster, 2, &job_of(&first), "describe", 40);
    assert_eq!(repeated(&cluster), 0);
}

#[test]
fn a_job_sent_twice_at_once_is_accepted_once() {
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
        calls.into_iter().map(|call| call.join().expect("an answer")).collect()
    });
    let accepted = replies.iter().filter(|response| response.status == 201).count();
    assert_eq!(accepted, 1, "{replies:?}");
    check_results(&cluster, 0, &job_of(&replies[0]), "describe", 64);
    assert_eq!(repeated(&cluster), 0);
}

#[test]
fn items_that_can_never_complete_end_as_failed() {
    let cluster = Cluster::start(Plan::default());
    let mut list = items("describe", 60);
    for place in [3, 17, 44] {
        list[place] = json!({ "prompt": format!("{POISON} {place}") });
    }
    let job = job_of(&cluster.submit(0, "night", &list));
    let status = cluster.wait_job(1, &job, "finished");
    assert_eq!((&status["done"], &status["failed"]), (&json!(60), &json!(3)));
    let results = cluster.results(1, &job);
    let failed: Vec<&Value> = results.iter().filter(|line| line["outcome"] == "failed").collect();
    assert_eq!(failed.len(), 3);
    assert!(failed.iter().all(|line| line["kind"] == "attempts_exhausted"));
    let tries = cluster.runs().iter().filter(|run| run.prompt == format!("{POISON} 17")).count();
    assert_eq!(tries, 3);
}

#[test]
fn an_answer_that_was_acknowledged_outlives_its_instance() {
    let mut cluster = Cluster::start(Plan::default());
    let headers = [("idempotency-key", "answer-1")];
    let first = chat(cluster.daemons[0].front_address, "which edition?", &headers, json!({}));
    assert_eq!((first.status, first.header("gatespool-recorded")), (200, "now"));
    cluster.daemons[0].kill();
    let again = wait_for("the resend is answered", || {
        let response =
            chat(cluster.daemons[1].front_address, "which edition?", &headers, json!({}));
        (response.status == 200).then_some(response)
    });
    assert_eq!(again.header("gatespool-replayed"), "true");
    assert_eq!(again.text(), first.text());
    assert_eq!(cluster.runs().len(), 1);
}

#[test]
fn snapshots_carry_a_shard_from_owner_to_owner() {
    let settings = vec![String::from("log.snapshot_entries = 5"), String::from("log.shards = 1")];
    let mut cluster = Cluster::start(Plan { settings, ..Plan::default() });
    let ask = |cluster: &Cluster, daemon: usize, n: usize| {
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
        assert_eq!(ask(&cluster, n % 3, n).status, 200);
    }
    wait_until("a snapshot is written", || !cluster.platform.keys("log/0000/head").is_empty());
    // Every former owner goes; the fresh instance knows the shard only by what
    // the platform keeps.
    let fresh = cluster.start_daemon();
    fresh.wait_ready();
    cluster.daemons.clear();
    cluster.daemons.push(fresh);
    for n in 0..30 {
        let again = wait_for("the resend is answered", || {
            let response = ask(&cluster, 0, n);
            (response.status == 200).then_some(response)
        });
        assert_eq!(again.header("gatespool-replayed"), "true", "question {n}");
    }
    assert_eq!(cluster.runs().len(), 30);
}

/// The platform refuses writes over its rate in the middle of snapshots; what was
/// only half written is never read, and the next owner finds everything.
#[test]
fn a_snapshot_that_breaks_off_loses_nothing() {
    let settings = vec![String::from("log.snapshot_entries = 2"), String::from("log.shards = 1")];
    let mut cluster = Cluster::start(Plan { settings, ..Plan::default() });
    let ask = |cluster: &Cluster, daemon: usize, n: usize| {
        let key = format!("answer-{n}");
        chat(cluster.daemons[daemon].front_address, &key, &[("idempotency-key", &key)], json!({}))
    };
    let rate = |cluster: &Cluster, rate: f64| {
        cluster
            .set_platform_faults(Control { writes_per_second: Some(rate), ..Control::default() });
    };
    rate(&cluster, 4.0);
    for n in 0..24 {
        assert_eq!(ask(&cluster, n % 3, n).status, 200);
    }
    wait_until("writes were refused", || cluster.platform.counts().rate_limited > 10);
    rate(&cluster, 1e6);
    for n in 0..24 {
        wait_until("the outcome is recorded", || {
            ask(&cluster, 1, n).header("gatespool-replayed") == "true"
        });
    }
    let fresh = cluster.start_daemon();
    fresh.wait_ready();
    cluster.daemons.clear();
    cluster.daemons.push(fresh);
    let runs = cluster.runs().len();
    for n in 0..24 {
        let again = wait_for("the resend is answered", || {
            let response = ask(&cluster, 0, n);
            (response.status == 200).then_some(response)
        });
        assert_eq!(again.header("gatespool-replayed"), "true", "answer {n}");
    }
    assert_eq!(cluster.runs().len(), runs, "nothing runs again for the new owner");
}

/// Past the retention window the platform is rid of it; what is inside is kept.
#[test]
fn what_is_past_retention_is_deleted() {
    let settings = vec![
        String::from("log.retention_s = 4"),
        String::from("log.snapshot_entries = 4"),
        String::from("log.shards = 1"),
    ];
    let mut cluster = Cluster::start(Plan { settings, ..Plan::default() });
    let job = job_of(&cluster.submit(0, "night", &items("describe", 40)));
    cluster.wait_job(0, &job, "finished");
    let asked = |cluster: &Cluster, n: usize| {
        let key = format!("answer-{n}");
        chat(cluster.daemons[0].front_address, &key, &[("idempotency-key", &key)], json!({}))
    };
    let mut n = 0;
    wait_until("the job's objects and the first entries are deleted", || {
        n += 1;
        assert_eq!(asked(&cluster, n).status, 200);
        let gone = |prefix: &str| cluster.platform.keys(prefix).is_empty();
        let first = cluster.platform.value("log/0000/e/000000000000");
        gone("chunk/") && gone("result/") && gone("index/") && first.is_none()
    });
    let fresh = cluster.start_daemon();
    fresh.wait_ready();
    cluster.daemons.clear();
    cluster.daemons.push(fresh);
    let again = wait_for("the resend is answered", || {
        let response = asked(&cluster, n);
        (response.status == 200).then_some(response)
    });
    assert_eq!(again.header("gatespool-replayed"), "true");
}

#[test]
fn a_job_of_the_largest_size_stays_within_bounds() {
    let settings =
        vec![String::from("batch.chunk_items = 256"), String::from("batch.enabled = false")];
    let cluster = Cluster::start(Plan { settings, ..Plan::default() });
    let (_, before) = cluster.daemons[0].cpu_ticks_and_rss_kib();
    let accepted = cluster.submit(0, "night", &items("Describe copy number", 290_000));
    assert_eq!(accepted.status, 201, "{accepted:?}");
    let job = job_of(&accepted);
    let (_, after) = cluster.daemons[0].cpu_ticks_and_rss_kib();
    // The body is some 12 MB; a chunk is some 10 kB.
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

/// Regression: a holder that lost charge of its last target to a newcomer kept
/// its chunk for ever, since its reports showed that it was alive.
#[test]
fn a_chunk_whose_holder_lost_its_targets_is_given_back() {
    let engine = Config { token_interval: Duration::from_millis(20), ..Config::default() };
    let plan = Plan { daemons: 1, engines: 1, engine, data_centres: 1, ..Plan::default() };
    let mut cluster = Cluster::start(plan);
    let job = job_of(&cluster.submit(0, "night", &items("describe", 200)));
    wait_until("work began", || cluster.runs().len() > 8);
    // With one target, each newcomer has an even chance to take charge of it.
    for _ in 0..4 {
        let fresh = cluster.start_daemon();
        fresh.wait_ready();
        cluster.daemons.push(fresh);
    }
    check_results(&cluster, 0, &job, "describe", 200);
}
