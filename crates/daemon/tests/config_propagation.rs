//! An accepted configuration takes effect in every data centre and is never reverted.

mod util;

use rstest::rstest;
use serde_json::{Value, json};
use standin::platform::Control;
use util::client::chat;
use util::cluster::{Cluster, Plan};
use util::daemon::Daemon;
use util::wait_until;

fn limit(rate: u32) -> Value {
    json!({ "put": [{ "object": "limit", "caller": "shop", "rate": rate, "burst": rate }] })
}

fn rate(daemon: &Daemon) -> Value {
    daemon.get("/v1/config").json()["limits"]["shop"]["rate"].clone()
}

fn set_fault(cluster: &Cluster, control: Control) {
    cluster.set_platform_faults(control);
}

#[rstest]
#[case::no_fault(Control::default())]
#[case::no_watch_events(Control { no_watch_events: Some(true), ..Control::default() })]
#[case::stale_reads(Control { stale_reads: Some(true), ..Control::default() })]
#[case::latency(Control { latency_ms: Some(50), ..Control::default() })]
fn accepted_change_takes_effect_on_all_instances(#[case] control: Control) {
    let cluster = Cluster::start(Plan::default());
    set_fault(&cluster, control);
    assert_eq!(cluster.apply(1, 1, &limit(7)).status, 200);
    cluster.wait_generation(2);
    assert!(cluster.daemons.iter().all(|daemon| rate(daemon) == 7.0));
}

#[test]
fn one_of_several_concurrent_changes_is_accepted() {
    let cluster = Cluster::start(Plan { daemons: 4, ..Plan::default() });
    for round in 0..5u64 {
        let revision = round + 1;
        let replies: Vec<_> = std::thread::scope(|scope| {
            let apply = |n: u32| {
                let cluster = &cluster;
                let change = limit(10 * (round as u32 + 1) + n);
                scope.spawn(move || cluster.apply(n as usize % 4, revision, &change))
            };
            let calls: Vec<_> = (1..=8).map(apply).collect();
            calls.into_iter().map(|call| call.join().expect("caller thread panicked")).collect()
        });
        let accepted = replies.iter().filter(|response| response.status == 200).count();
        assert_eq!(accepted, 1, "{replies:?}");
        let rejected = replies.iter().filter(|response| response.status != 200);
        assert!(rejected.into_iter().all(|r| r.json()["error"]["type"] == "stale_revision"));
        cluster.wait_generation(revision + 1);
        let first = rate(&cluster.daemons[0]);
        assert!(cluster.daemons.iter().all(|daemon| rate(daemon) == first));
    }
}

/// A platform restored from an older backup must not revert the configuration; the instances
/// write the lost entries again.
#[test]
fn platform_restored_from_backup_reverts_nothing() {
    let mut cluster = Cluster::start(Plan::default());
    set_fault(&cluster, Control { save_snapshot: Some(true), ..Control::default() });
    assert_eq!(cluster.apply(0, 1, &limit(7)).status, 200);
    cluster.wait_generation(2);
    set_fault(&cluster, Control { restore_snapshot: Some(true), ..Control::default() });
    wait_until("the lost entry is written again", || {
        let is_rewritten = cluster.platform.value("config/e/000000000002").is_some();
        assert!(
            cluster.daemons.iter().all(|daemon| rate(daemon) == 7.0),
            "the configuration was reverted"
        );
        is_rewritten
    });
    let new_daemon = cluster.start_daemon();
    new_daemon.wait_ready();
    assert_eq!((new_daemon.generation(), rate(&new_daemon)), (2, json!(7.0)));
    cluster.daemons.push(new_daemon);
    assert_eq!(cluster.apply(2, 2, &limit(8)).status, 200);
    cluster.wait_generation(3);
}

/// An instance without stored state that starts during an outage gets the current configuration
/// from its peers.
#[rstest]
#[case::unavailable(Control { unavailable: Some(true), ..Control::default() })]
#[case::stale(Control { stale_reads: Some(true), ..Control::default() })]
fn instance_started_during_outage_never_serves_an_older_configuration(#[case] control: Control) {
    let mut cluster = Cluster::start(Plan::default());
    if control.stale_reads == Some(true) {
        set_fault(&cluster, control.clone());
    }
    assert_eq!(cluster.apply(0, 1, &limit(7)).status, 200);
    cluster.wait_generation(2);
    set_fault(&cluster, control);
    let new_daemon = cluster.start_daemon();
    wait_until("the new instance is ready", || {
        let ready = new_daemon.get("/ready").status == 200;
        assert!(!ready || new_daemon.generation() == 2, "ready with an older configuration");
        ready
    });
    let response = chat(new_daemon.front_address, "which edition?", &[], json!({}));
    assert_eq!(response.status, 200, "{response:?}");
}

#[test]
fn instance_without_platform_and_peers_is_not_ready() {
    let mut cluster = Cluster::start(Plan::default());
    cluster.set_platform_down(true);
    cluster.daemons.clear();
    let new_daemon = cluster.start_daemon();
    let response = chat(new_daemon.front_address, "anyone?", &[], json!({}));
    assert_eq!(response.json()["error"]["type"], "not_ready");
    assert_eq!(new_daemon.get("/ready").status, 503);
    cluster.set_platform_down(false);
    new_daemon.wait_ready();
    assert_eq!(new_daemon.generation(), 1);
}

/// The shard of a key depends on the number of shards.
#[test]
fn instance_with_a_different_shard_count_is_not_ready() {
    let mut cluster = Cluster::start(Plan::default());
    let other = cluster.start_daemon_in("patan-hall", "log.shards = 5");
    let log = cluster.dir.join("daemon-4.log");
    wait_until("the mismatch is logged", || {
        let text = std::fs::read_to_string(&log).unwrap_or_default();
        text.contains("log.shards differs")
    });
    assert_eq!(other.get("/ready").status, 503);
    assert_eq!(chat(other.front_address, "x", &[], json!({})).json()["error"]["type"], "not_ready");
}

#[test]
fn change_is_accepted_once_when_the_write_reply_is_lost() {
    let cluster = Cluster::start(Plan::default());
    let lost_replies_prefix = Some(String::from("config/"));
    set_fault(
        &cluster,
        Control { lost_replies: Some(1), lost_replies_prefix, ..Control::default() },
    );
    let response = cluster.apply(0, 1, &limit(7));
    assert_eq!((response.status, response.json()["generation"].clone()), (200, json!(2)));
    cluster.wait_generation(2);
    assert_eq!(cluster.platform.keys("config/e/").len(), 2);
}

#[test]
fn error_for_an_invalid_change_names_object_and_field() {
    let cluster = Cluster::start(Plan::default());
    let change = json!({ "put": [{
        "object": "target", "name": "t9", "address": "127.0.0.1:1", "data_centre": "x",
        "service": "no-such", "slots": 4,
    }] });
    let response = cluster.apply(0, 1, &change);
    assert_eq!(response.status, 422);
    let message = response.json()["error"]["message"].as_str().unwrap_or_default().to_owned();
    assert!(message.contains("target/t9") && message.contains("`service`"), "{message}");
    assert_eq!(cluster.daemons[0].generation(), 1);
}

#[test]
fn change_is_rejected_while_the_platform_is_unavailable() {
    let cluster = Cluster::start(Plan::default());
    cluster.set_platform_down(true);
    let response = cluster.apply(0, 1, &limit(7));
    assert_eq!(response.status, 503, "{response:?}");
    assert!(!response.header("retry-after").is_empty());
    assert!(cluster.daemons.iter().all(|daemon| daemon.generation() == 1));
}
