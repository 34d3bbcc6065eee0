//! A data centre that is cut off goes on with what it can, and joins again
//! without losing or repeating anything.

mod util;

use serde_json::{Value, json};
use standin::engine::Config;
use standin::text;
use std::net::SocketAddr;
use std::time::Duration;
use util::client::chat;
use util::cluster::{Cluster, Plan, items};
use util::wait_until;

/// Cuts daemon `one` off from every other and from the targets elsewhere, and
/// from the platform too when `platform` says so.
fn cut(cluster: &Cluster, one: usize, platform: bool) {
    let away = |n: usize| n != one;
    let peers =
        (0..cluster.daemons.len()).filter(|n| away(*n)).map(|n| cluster.daemons[n].peer_address);
    let targets = (0..cluster.engine_addresses.len()).filter(|n| n % 3 != one);
    let mut gone: Vec<SocketAddr> = peers.collect();
    gone.extend(targets.map(|n| cluster.engine_addresses[n]));
    if platform {
        gone.push(cluster.platform_address);
    }
    cluster.daemons[one].set_unreachable(&gone);
    for other in (0..cluster.daemons.len()).filter(|n| away(*n)) {
        let mut gone = vec![cluster.daemons[one].peer_address];
        gone.extend(
            (0..cluster.engine_addresses.len())
                .filter(|n| n % 3 == one)
                .map(|n| cluster.engine_addresses[n]),
        );
        cluster.daemons[other].set_unreachable(&gone);
    }
    let all = cluster.daemons.len();
    wait_until("the cut is noticed", || {
        let noticed =
            |n: usize| cluster.daemons[n].alive_members() == if n == one { 1 } else { all - 1 };
        (0..all).all(noticed)
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
fn cut_off_from_everything_it_serves_what_it_can() {
    let cluster = Cluster::start(Plan::default());
    cut(&cluster, 0, true);
    let front = cluster.daemons[0].front_address;
    let plain = chat(front, "which edition?", &[], json!({ "stream": true }));
    assert_eq!(plain.streamed_text(), (text::full_text("which edition?", None), true));
    let keyed = chat(front, "keyed", &[("idempotency-key", "k")], json!({}));
    assert_eq!((keyed.status, keyed.header("gatespool-recorded")), (200, "later"));
    let once = [("idempotency-key", "o"), ("gatespool-repeatable", "false")];
    let offer = chat(front, "offer", &once, json!({}));
    assert_eq!(offer.json()["error"]["ran"], "not_run", "{offer:?}");
    assert!(!offer.header("retry-after").is_empty());
    let job = cluster.submit(0, "night", &items("describe", 10));
    assert_eq!(job.json()["error"]["ran"], "not_run", "{job:?}");
    // Elsewhere life goes on, and the configuration changes.
    assert_eq!(cluster.apply(1, 1, &limit(7)).status, 200);
    wait_until("in force elsewhere", || cluster.daemons[2].generation() == 2);
    assert_eq!(cluster.daemons[0].generation(), 1);
    heal(&cluster);
    cluster.wait_generation(2);
    // The answer that was given while cut off is recorded, and read elsewhere.
    wait_until("the outcome is recorded", || {
        let again =
            chat(cluster.daemons[1].front_address, "keyed", &[("idempotency-key", "k")], json!({}));
        again.header("gatespool-replayed") == "true" && again.text() == keyed.text()
    });
    assert!(cluster.runs().iter().all(|run| run.prompt != "offer"));
}

/// Work in hand goes on while it is cut off; elsewhere its chunk goes out again;
/// it joins while both are at it, and each item has one outcome.
#[test]
fn batch_work_of_both_sides_has_one_outcome_each() {
    let engine = Config { token_interval: Duration::from_millis(20), ..Config::default() };
    let cluster = Cluster::start(Plan { engine, ..Plan::default() });
    let list: Vec<Value> =
        (0..48).map(|n| json!({ "prompt": format!("long {n}"), "max_tokens": 150 })).collect();
    let accepted = cluster.submit(1, "night", &list);
    let job = accepted.json()["job"].as_str().expect("its id").to_owned();
    wait_until("all chunks are out", || cluster.status(0, &job)["claims"] == 3);
    let holder = util::wait_for("a holder", || {
        (0..3).find(|daemon| cluster.engines[*daemon].running()[1] > 0)
    });
    cut(&cluster, holder, true);
    let reader = (holder + 1) % 3;
    // The 32 items of the others' own chunks, and some of the one that went out
    // again: joining now, the former holder brings outcomes that are there.
    wait_until("its chunk is run again", || {
        cluster.status(reader, &job)["done"].as_u64().unwrap_or(0) > 32
    });
    heal(&cluster);
    let status = cluster.wait_job(reader, &job, "finished");
    assert_eq!(status["done"], 48, "{status}");
    let results = cluster.results(holder, &job);
    assert_eq!(results.len(), 48);
    assert_eq!(cluster.results(reader, &job), results);
}

/// The data centres lose each other, but each still reaches the platform: both
/// take commands for the same shards, and the chain keeps them apart.
#[test]
fn cut_off_from_each_other_they_agree_through_the_platform() {
    let cluster = Cluster::start(Plan::default());
    let peers: Vec<SocketAddr> = cluster.daemons.iter().map(|daemon| daemon.peer_address).collect();
    cluster.daemons.iter().for_each(|daemon| daemon.set_unreachable(&peers));
    wait_until("each is alone", || {
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
    let job = job.json()["job"].as_str().expect("its id").to_owned();
    let status = cluster.wait_job(0, &job, "finished");
    assert_eq!(status["done"], 120);
    heal(&cluster);
}
