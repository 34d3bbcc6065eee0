//! An accepted configuration is in force in every data centre within seconds and
//! never reverts.

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

fn fault(cluster: &Cluster, control: Control) {
    cluster.set_platform_faults(control);
}

#[rstest]
#[case::sound(Control::default())]
#[case::deaf_watches(Control { no_watch_events: Some(true), ..Control::default() })]
#[case::stale_reads(Control { stale_reads: Some(true), ..Control::default() })]
#[case::slow(Control { latency_ms: Some(50), ..Control::default() })]
fn accepted_is_in_force_everywhere(#[case] control: Control) {
    let cluster = Cluster::start(Plan::default());
    fault(&cluster, control);
    assert_eq!(cluster.apply(1, 1, &limit(7)).status, 200);
    cluster.wait_generation(2);
    assert!(cluster.daemons.iter().all(|daemon| rate(daemon) == 7.0));
}

#[test]
fn of_operators_that_race_one_is_accepted() {
    let cluster = Cluster::start(Plan { daemons: 4, ..Plan::default() });
    for round in 0..5u64 {
        let revision = round + 1;
        let replies: Vec<_> = std::thread::scope(|scope| {
            let offer = |n: u32| {
                let cluster = &cluster;
                let change = limit(10 * (round as u32 + 1) + n);
                scope.spawn(move || cluster.apply(n as usize % 4, revision, &change))
            };
            let calls: Vec<_> = (1..=8).map(offer).collect();
            calls.into_iter().map(|call| call.join().expect("an answer")).collect()
        });
        let accepted = replies.iter().filter(|response| response.status == 200).count();
        assert_eq!(accepted, 1, "{replies:?}");
        let refused = replies.iter().filter(|response| response.status != 200);
        assert!(refused.into_iter().all(|r| r.json()["error"]["type"] == "stale_revision"));
        cluster.wait_generation(revision + 1);
        let first = rate(&cluster.daemons[0]);
        assert!(cluster.daemons.iter().all(|daemon| rate(daemon) == first));
    }
}

/// A platform that is put back to an earlier copy takes nothing back, and gets
/// again what it lost.
#[test]
fn a_restored_platform_reverts_nothing() {
    let mut cluster = Cluster::start(Plan::default());
    fault(&cluster, Control { save_snapshot: Some(true), ..Control::default() });
    assert_eq!(cluster.apply(0, 1, &limit(7)).status, 200);
    cluster.wait_generation(2);
    fault(&cluster, Control { restore_snapshot: Some(true), ..Control::default() });
    wait_until("the platform is healed", || {
        let healed = cluster.platform.value("config/e/000000000002").is_some();
        assert!(cluster.daemons.iter().all(|daemon| rate(daemon) == 7.0), "it reverted");
        healed
    });
    let fresh = cluster.start_daemon();
    fresh.wait_ready();
    assert_eq!((fresh.generation(), rate(&fresh)), (2, json!(7.0)));
    cluster.daemons.push(fresh);
    assert_eq!(cluster.apply(2, 2, &limit(8)).status, 200);
    cluster.wait_generation(3);
}

/// An instance that keeps nothing and starts while the platform is away gets the
/// configuration in force from its peers.
#[rstest]
#[case::away(Control { unavailable: Some(true), ..Control::default() })]
#[case::stale(Control { stale_reads: Some(true), ..Control::default() })]
fn a_start_during_an_outage_serves_nothing_older(#[case] control: Control) {
    let mut cluster = Cluster::start(Plan::default());
    if control.stale_reads == Some(true) {
        fault(&cluster, control.clone());
    }
    assert_eq!(cluster.apply(0, 1, &limit(7)).status, 200);
    cluster.wait_generation(2);
    fault(&cluster, control);
    let fresh = cluster.start_daemon();
    wait_until("it is ready", || {
        let ready = fresh.get("/ready").status == 200;
        assert!(!ready || fresh.generation() == 2, "it serves an older configuration");
        ready
    });
    let response = chat(fresh.front_address, "which edition?", &[], json!({}));
    assert_eq!(response.status, 200, "{response:?}");
}

#[test]
fn a_start_with_neither_platform_nor_peers_is_not_ready() {
    let mut cluster = Cluster::start(Plan::default());
    cluster.set_platform_down(true);
    cluster.daemons.clear();
    let fresh = cluster.start_daemon();
    let response = chat(fresh.front_address, "anyone?", &[], json!({}));
    assert_eq!(response.json()["error"]["type"], "not_ready");
    assert_eq!(fresh.get("/ready").status, 503);
    cluster.set_platform_down(false);
    fresh.wait_ready();
    assert_eq!(fresh.generation(), 1);
}

/// Another number of shards would look for keys where they are not.
#[test]
fn an_instance_with_another_number_of_shards_serves_nothing() {
    let mut cluster = Cluster::start(Plan::default());
    let other = cluster.start_daemon_in("patan-hall", "log.shards = 5");
    let log = cluster.dir.join("daemon-4.log");
    wait_until("it says why", || {
        let text = std::fs::read_to_string(&log).unwrap_or_default();
        text.contains("log.shards differs")
    });
    assert_eq!(other.get("/ready").status, 503);
    assert_eq!(chat(other.front_address, "x", &[], json!({})).json()["error"]["type"], "not_ready");
}

#[test]
fn a_change_whose_answer_is_lost_is_accepted_once() {
    let cluster = Cluster::start(Plan::default());
    let lose_prefix = Some(String::from("config/"));
    fault(
        &cluster,
        Control { lost_replies: Some(1), lost_replies_prefix: lose_prefix, ..Control::default() },
    );
    let response = cluster.apply(0, 1, &limit(7));
    assert_eq!((response.status, response.json()["generation"].clone()), (200, json!(2)));
    cluster.wait_generation(2);
    assert_eq!(cluster.platform.keys("config/e/").len(), 2);
}

#[test]
fn an_invalid_change_names_object_and_field() {
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
fn a_change_while_the_platform_is_away_is_refused() {
    let cluster = Cluster::start(Plan::default());
    cluster.set_platform_down(true);
    let response = cluster.apply(0, 1, &limit(7));
    assert_eq!(response.status, 503, "{response:?}");
    assert!(!response.header("retry-after").is_empty());
    assert!(cluster.daemons.iter().all(|daemon| daemon.generation() == 1));
}
