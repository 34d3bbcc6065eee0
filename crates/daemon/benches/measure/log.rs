//! The durable log: platform writes by daemons and load, with and without group
//! commit and durable responses; takeover of shards; batch items.

use crate::fleet::production_settings;
use crate::load::{self, Load};
use crate::util::client::chat;
use crate::util::cluster::{Cluster, Plan, items};
use crate::util::wait_until;
use serde_json::json;
use standin::engine::Config;
use standin::objects::Counts;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const DURATION: Duration = Duration::from_secs(6);
const RATES: [f64; 2] = [150.0, 450.0];

fn engine() -> Config {
    let token = Duration::from_millis(1);
    Config {
        slots: 64,
        prefill: Duration::from_millis(1),
        token_interval: token,
        ..Config::default()
    }
}

fn start(daemons: usize, disabled_guards: &str) -> Cluster {
    let disabled_guards = disabled_guards.into();
    let plan = Plan {
        daemons,
        engine: engine(),
        settings: production_settings(),
        disabled_guards,
        ..Plan::default()
    };
    Cluster::start(plan)
}

fn fronts(cluster: &Cluster) -> Vec<SocketAddr> {
    cluster.daemons.iter().map(|daemon| daemon.front_address).collect()
}

fn send_load(cluster: &Cluster, rate: f64, keyed: bool) -> (load::Outcome, Counts, Counts) {
    let before = cluster.platform.counts();
    let addresses = fronts(cluster);
    let name = if keyed { "keyed" } else { "plain" };
    let load = Load { addresses, rate, duration: DURATION, tokens: 3, keyed, burst: None, name };
    let outcome = load::send(load);
    (outcome, before, cluster.platform.counts())
}

/// Prints platform writes by number of daemons and load.
pub fn run() {
    println!(
        "{:>7} {:>8} {:>7} {:>10} {:>12} {:>10} {:>20}",
        "daemons", "req/s", "whole", "writes/s", "per 1000 req", "conflicts", "whole ms p50/p99"
    );
    for rate in RATES {
        for daemons in [3, 6, 12, 24] {
            let cluster = start(daemons, "");
            let (outcome, before, after) = send_load(&cluster, rate, true);
            let writes = after.writes - before.writes;
            println!(
                "{:>7} {:>8.0} {:>7} {:>10.1} {:>12.1} {:>10} {:>11.1} / {:>6.1}",
                daemons,
                rate,
                outcome.completed,
                writes as f64 / DURATION.as_secs_f64(),
                writes as f64 * 1000.0 / outcome.completed.max(1) as f64,
                after.conflicts - before.conflicts,
                load::quantile_ms(&outcome.total_time, 0.5),
                load::quantile_ms(&outcome.total_time, 0.99),
            );
        }
    }
}

/// Compares group commit with one object per record, and responses sent after
/// their record is durable with ones sent before.
pub fn commit_modes() {
    println!(
        "{:>28} {:>7} {:>12} {:>20} {:>14}",
        "mode", "whole", "per 1000 req", "whole ms p50/p99", "lost at a kill"
    );
    for (mode, disabled_guards, with_key) in [
        ("no key", "", false),
        ("grouped, durable first", "", true),
        ("one object a record", "group", true),
        ("grouped, answered first", "durable", true),
    ] {
        let mut cluster = start(3, disabled_guards);
        let (outcome, before, after) = send_load(&cluster, RATES[1], with_key);
        let writes = after.writes - before.writes;
        let lost = if with_key { lost_at_kill(&mut cluster) } else { 0 };
        println!(
            "{:>28} {:>7} {:>12.1} {:>11.1} / {:>6.1} {:>14}",
            mode,
            outcome.completed,
            writes as f64 * 1000.0 / outcome.completed.max(1) as f64,
            load::quantile_ms(&outcome.total_time, 0.5),
            load::quantile_ms(&outcome.total_time, 0.99),
            lost
        );
    }
}

/// Number of outcomes acknowledged just before an instance is killed that its
/// peers don't have.
fn lost_at_kill(cluster: &mut Cluster) -> usize {
    const CALLS: usize = 60;
    let front = cluster.daemons[0].front_address;
    let keys: Vec<String> = (0..CALLS).map(|n| format!("last {n}")).collect();
    std::thread::scope(|scope| {
        for key in &keys {
            scope.spawn(move || {
                let headers = [("idempotency-key", key.as_str())];
                chat(front, key, &headers, json!({ "max_tokens": 3 }))
            });
        }
    });
    cluster.daemons[0].kill();
    let other = cluster.daemons[1].front_address;
    let is_lost = |key: &&String| {
        let headers = [("idempotency-key", key.as_str())];
        let response = chat(other, key, &headers, json!({ "max_tokens": 3 }));
        response.header("gatespool-replayed") != "true"
    };
    keys.iter().filter(is_lost).count()
}

/// Prints the time from the kill of a shard's owner until the shard accepts
/// commands again.
pub fn takeover() {
    const ROUNDS: usize = 5;
    let mut settings = production_settings();
    settings.push(String::from("log.shards = 1"));
    println!("{:>6} {:>22}", "round", "ms until recorded");
    for round in 0..ROUNDS {
        let plan = Plan { engine: engine(), settings: settings.clone(), ..Plan::default() };
        let mut cluster = Cluster::start(plan);
        for n in 0..200 {
            let key = format!("k{n}");
            chat(
                cluster.daemons[n % 3].front_address,
                &key,
                &[("idempotency-key", &key)],
                json!({}),
            );
        }
        // The owner is the daemon with the most platform calls, made for commits.
        let calls = |d: usize| {
            let status = cluster.daemons[d].get("/v1/status").json();
            status["platform_calls"].as_u64().unwrap_or(0)
        };
        let owner = (0..3).max_by_key(|d| calls(*d)).expect("no daemons");
        cluster.daemons[owner].kill();
        let start = Instant::now();
        let other = cluster.daemons[(owner + 1) % 3].front_address;
        wait_until("a command is recorded", || {
            let response = chat(other, "next", &[("idempotency-key", "next")], json!({}));
            response.header("gatespool-recorded") == "now"
        });
        println!("{:>6} {:>22.0}", round, start.elapsed().as_secs_f64() * 1000.0);
    }
}

/// Prints platform writes per thousand items, and items repeated after a kill.
pub fn jobs() {
    println!(
        "{:>7} {:>8} {:>9} {:>10} {:>16} {:>18} {:>10}",
        "items", "seconds", "items/s", "writes", "per 1000 items", "bytes an item", "repeated"
    );
    for kill in [false, true] {
        const ITEMS: usize = 20_000;
        let mut cluster = start(3, "");
        let before = cluster.platform.counts();
        let start = Instant::now();
        let items: Vec<_> = items("describe", ITEMS)
            .into_iter()
            .map(|mut item| {
                item["max_tokens"] = json!(4);
                item
            })
            .collect();
        let accepted = cluster.submit(0, "night", &items);
        let job = accepted.json()["job"].as_str().expect("the response has no job id").to_owned();
        if kill {
            wait_until("half is done", || {
                cluster.status(0, &job)["done"].as_u64().unwrap_or(0) > ITEMS as u64 / 2
            });
            cluster.daemons[2].kill();
        }
        cluster.wait_job(0, &job, "finished");
        let seconds = start.elapsed().as_secs_f64();
        let after = cluster.platform.counts();
        let writes = after.writes - before.writes;
        let runs = cluster.runs().iter().filter(|run| run.is_complete).count();
        println!(
            "{:>7} {:>8.1} {:>9.0} {:>10} {:>16.1} {:>18.0} {:>10}",
            ITEMS,
            seconds,
            ITEMS as f64 / seconds,
            writes,
            writes as f64 * 1000.0 / ITEMS as f64,
            (after.written_bytes - before.written_bytes) as f64 / ITEMS as f64,
            runs - ITEMS
        );
    }
}
