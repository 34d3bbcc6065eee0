//! A cancelled job stops, and all instances report the same outcomes.

mod util;

use serde_json::Value;
use standin::engine::Config;
use std::time::{Duration, Instant};
use util::client::{Response, call};
use util::cluster::{Cluster, Plan, items};
use util::{wait_for, wait_until};

/// Time in which a holder that has just resumed reports, and learns from the answer that its job
/// is cancelled; its engines may be idle until it runs again.
const HOLDER_REPORT_TIME: Duration = Duration::from_secs(1);

fn start(item_count: usize) -> (Cluster, String) {
    let engine = Config { token_interval: Duration::from_millis(20), ..Config::default() };
    // With large chunks, a holder that ignored the cancel would run for long.
    let settings = vec![String::from("batch.chunk_items = 1000")];
    let cluster = Cluster::start(Plan { engine, settings, ..Plan::default() });
    let accepted = cluster.submit(0, "lot", &items("summary", item_count));
    let job = accepted.json()["job"].as_str().expect("job id").to_owned();
    wait_until("items are running", || cluster.runs().len() > 60);
    (cluster, job)
}

fn cancel(cluster: &Cluster, daemon: usize, job: &str) -> Response {
    call("POST", cluster.daemons[daemon].front_address, &format!("/v1/jobs/{job}/cancel"), &[], "")
}

/// Number of items of the cancelled job that got a slot.
fn started(cluster: &Cluster) -> usize {
    cluster.runs().iter().filter(|run| run.prompt.starts_with("summary")).count()
}

/// Waits until no batch stream has run for [`HOLDER_REPORT_TIME`].
#[track_caller]
fn wait_until_idle(cluster: &Cluster) {
    let mut idle_since = Instant::now();
    wait_until("running streams stop", || {
        if cluster.engines.iter().any(|engine| engine.running()[1] > 0) {
            idle_since = Instant::now();
        }
        idle_since.elapsed() >= HOLDER_REPORT_TIME
    });
}

/// Checks that no item of the job runs, and that none starts while another job runs to its end.
/// `at_cancel` is the number of items started when the cancel was acknowledged.
#[track_caller]
fn check_stopped(cluster: &Cluster, at_cancel: usize) {
    wait_until_idle(cluster);
    let before = started(cluster);
    let slots = cluster.plan.engines * cluster.plan.engine.slots as usize;
    let started_later = before - at_cancel;
    assert!(started_later <= slots, "{started_later} items started after the cancel");
    let other = cluster.submit(1, "other", &items("another lot", 40));
    let other = other.json()["job"].as_str().expect("job id").to_owned();
    cluster.wait_job(1, &other, "finished");
    assert_eq!(started(cluster), before, "an item started after the cancel");
}

#[track_caller]
fn check_same_results(cluster: &Cluster, job: &str, count: usize) {
    let first: Vec<Value> = cluster.results(0, job);
    assert_eq!(first.len(), count, "every item has an outcome");
    assert!(first.iter().any(|line| line["outcome"] == "cancelled"));
    for daemon in 1..cluster.daemons.len() {
        assert_eq!(cluster.results(daemon, job), first);
    }
}

#[test]
fn cancelled_job_stops_on_all_instances() {
    let (cluster, job) = start(4000);
    let response = cancel(&cluster, 1, &job);
    let at_cancel = started(&cluster);
    assert_eq!(response.json()["phase"], "cancelled", "{response:?}");
    check_stopped(&cluster, at_cancel);
    check_same_results(&cluster, &job, 4000);
}

#[test]
fn holder_paused_during_cancel_stops_when_it_resumes() {
    let (cluster, job) = start(4000);
    cluster.daemons[2].freeze();
    wait_until("the cancel is recorded", || {
        let response = cancel(&cluster, 1, &job);
        response.status == 200 && response.json()["phase"] == "cancelled"
    });
    let at_cancel = started(&cluster);
    cluster.daemons[2].thaw();
    check_stopped(&cluster, at_cancel);
    check_same_results(&cluster, &job, 4000);
}

#[test]
fn cancel_during_platform_outage_takes_effect_and_is_recorded_later() {
    let (cluster, job) = start(4000);
    cluster.set_platform_down(true);
    let response = cancel(&cluster, 1, &job);
    assert_eq!(response.json()["error"]["type"], "not_recorded", "{response:?}");
    assert!(!response.header("retry-after").is_empty());
    wait_until("running streams stop", || cluster.engines.iter().all(|e| e.running()[1] == 0));
    let stopped_at = cluster.runs().len();
    cluster.set_platform_down(false);
    cluster.wait_job(2, &job, "cancelled");
    assert_eq!(cluster.runs().len(), stopped_at, "an item started after the cancel");
    check_same_results(&cluster, &job, 4000);
}

#[test]
fn cancel_racing_with_completion_has_one_outcome() {
    for round in 0..4 {
        let cluster = Cluster::start(Plan::default());
        let accepted = cluster.submit(0, "lot", &items("summary", 96));
        let job = accepted.json()["job"].as_str().expect("job id").to_owned();
        wait_until("most items have run", || cluster.runs().len() > 60 + round * 10);
        let phases: Vec<Value> = std::thread::scope(|scope| {
            let calls: Vec<_> = (0..3)
                .map(|daemon| {
                    let (cluster, job) = (&cluster, job.as_str());
                    scope.spawn(move || cancel(cluster, daemon, job).json()["phase"].clone())
                })
                .collect();
            calls.into_iter().map(|call| call.join().expect("caller thread panicked")).collect()
        });
        let phase = wait_for("a final phase", || {
            let status = cluster.status(2, &job);
            (status["phase"] != "running").then(|| status["phase"].clone())
        });
        assert!(
            phases.iter().all(|reported| *reported == phase),
            "reported {phases:?}, is {phase}"
        );
        let first = cluster.results(0, &job);
        assert_eq!(first.len(), 96);
        assert_eq!(cluster.results(1, &job), first);
        assert_eq!(cluster.results(2, &job), first);
    }
}
