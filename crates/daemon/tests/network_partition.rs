//! A partitioned data centre serves what it can, and rejoins without losing or repeating work.

mod util;

use serde_json::{Value, json};
use standin::engine::Config;
use standin::text;
use std::net::SocketAddr;
use std::time::Duration;
use util::client::chat;
use util::cluster::{Cluster, Plan, items};
use util::wait_until;

/// Isolates daemon `isolated` from the other daemons and their targets, and from the platform if
/// `with_platform` is set.
fn partition(cluster: &Cluster, isolated: usize, with_platform: bool) {
    let is_other = |n: usize| n != isolated;
    let peers = (0..cluster.daemons.len())
        .filter(|n| is_other(*n))
        .map(|n| cluster.daemons[n].peer_address);
    let targets = (0..cluster.engine_addresses.len()).filter(|n| n % 3 != isolated);
    let mut unreachable: Vec<SocketAddr> = peers.collect();
    unreachable.extend(targets.map(|n| cluster.engine_addresses[n]));
    if with_platform {
        unreachable.push(cluster.platform_address);
    }
    cluster.daemons[isolated].set_unreachable(&unreachable);
    for other in (0..cluster.daemons.len()).filter(|n| is_other(*n)) {
        let mut unreachable = vec![cluster.daemons[isolated].peer_address];
        unreachable.extend(
            (0..cluster.engine_addresses.len())
                .filter(|n| n % 3 == isolated)
                .map(|n| cluster.engine_addresses[n]),
        );
        cluster.daemons[other].set_unreachable(&unreachable);
    }
    let all = cluster.daemons.len();
    wait_until("the partition is noticed", || {
        let has_noticed = |n: usize| {
            cluster.daemons[n].alive_members() == if n == isolated { 1 } else { all - 1 }
        };
        (0..all).all(has_noticed)
    });
}

fn heal(cluster: &Cluster) {
    cluster.daemons.iter().for_each(|daemon| daemon.set_unreachable(&[]));
    cluster.wait_members();
}

fn limit(rate: u32) -> Value {
    json!({ "put": [{ "object": "limit", "caller": "shop", "rate": rate, "burst": rate }] })
}

#[test]
fn isolated_instance_serves_what_it_can() {
    let cluster = Cluster::start(Plan::default());
    partition(&cluster, 0, true);
    let front = cluster.daemons[0].front_address;
    let plain = chat(front, "which edition?", &[], json!({ "stream": true }));
    assert_eq!(plain.streamed_text(), (text::full_text("which edition?", None), true));
    let keyed = chat(front, "keyed", &[("idempotency-key", "k")], json!({}));
    assert_eq!((keyed.status, keyed.header("gatespool-recorded")), (200, "later"));
    let at_most_once = [("idempotency-key", "o"), ("gatespool-repeatable", "false")];
    let offer = chat(front, "offer", &at_most_once, json!({}));
    assert_eq!(offer.json()["error"]["ran"], "not_run", "{offer:?}");
    assert!(!offer.header("retry-after").is_empty());
    let job = cluster.submit(0, "night", &items("describe", 10));
    assert_eq!(job.json()["error"]["ran"], "not_run", "{job:?}");
    // The other side accepts a configuration change.
    assert_eq!(cluster.apply(1, 1, &limit(7)).status, 200);
    wait_until("the change takes effect on the other side", || {
        cluster.daemons[2].generation() == 2
    });
    assert_eq!(cluster.daemons[0].generation(), 1);
    heal(&cluster);
    cluster.wait_generation(2);
    // The response sent during the partition is recorded and can be read from another instance.
    wait_until("the outcome is recorded", || {
        let again =
            chat(cluster.daemons[1].front_address, "keyed", &[("idempotency-key", "k")], json!({}));
        again.header("gatespool-replayed") == "true" && again.text() == keyed.text()
    });
    assert!(cluster.runs().iter().all(|run| run.prompt != "offer"));
}

/// The isolated holder keeps running its chunk while another instance runs it again; both have
/// outcomes when the partition heals.
#[test]
fn item_run_on_both_sides_of_a_partition_has_one_outcome() {
    let engine = Config { token_interval: Duration::from_millis(20), ..Config::default() };
    let cluster = Cluster::start(Plan { engine, ..Plan::default() });
    let list: Vec<Value> =
        (0..48).map(|n| json!({ "prompt": format!("long {n}"), "max_tokens": 150 })).collect();
    let accepted = cluster.submit(1, "night", &list);
    let job = accepted.json()["job"].as_str().expect("job id").to_owned();
    wait_until("all chunks are assigned", || cluster.status(0, &job)["claims"] == 3);
    let holder = util::wait_for("a holder", || {
        (0..3).find(|daemon| cluster.engines[*daemon].running()[1] > 0)
    });
    partition(&cluster, holder, true);
    let reader = (holder + 1) % 3;
    // 32 items are the other holders' own; with more done, some of the reassigned chunk have
    // outcomes before the former holder rejoins.
    wait_until("the reassigned chunk is running", || {
        cluster.status(reader, &job)["done"].as_u64().unwrap_or(0) > 32
    });
    heal(&cluster);
    let status = cluster.wait_job(reader, &job, "finished");
    assert_eq!(status["done"], 48, "{status}");
    let results = cluster.results(holder, &job);
    assert_eq!(results.len(), 48);
    assert_eq!(cluster.results(reader, &job), results);
}

/// Each instance reaches the platform but no peer: all accept commands for the same shards, and
/// only the append-only log orders them.
#[test]
fn instances_without_peers_agree_through_the_platform() {
    let cluster = Cluster::start(Plan::default());
    let peers: Vec<SocketAddr> = cluster.daemons.iter().map(|daemon| daemon.peer_address).collect();
    cluster.daemons.iter().for_each(|daemon| daemon.set_unreachable(&peers));
    wait_until("each instance sees no peer", || {
        cluster.daemons.iter().all(|daemon| daemon.alive_members() == 1)
    });
    std::thread::scope(|scope| {
        for n in 0..45 {
            let cluster = &cluster;
            scope.spawn(move || {
                let key = format!("offer-{}", n % 15);
                let headers =
                    [("idempotency-key", key.as_str()), ("gatespool-repeatable", "false")];
                chat(cluster.daemons[n % 3].front_address, &key, &headers, json!({}));
            });
        }
    });
    let mut prompts: Vec<String> = cluster.runs().into_iter().map(|run| run.prompt).collect();
    prompts.sort();
    let runs = prompts.len();
    prompts.dedup();
    assert_eq!(prompts.len(), runs, "an offer ran twice");
    assert_eq!(cluster.apply(1, 1, &limit(7)).status, 200);
    cluster.wait_generation(2);
    let job = cluster.submit(2, "night", &items("describe", 120));
    let job = job.json()["job"].as_str().expect("job id").to_owned();
    let status = cluster.wait_job(0, &job, "finished");
    assert_eq!(status["done"], 120);
    heal(&cluster);
}
