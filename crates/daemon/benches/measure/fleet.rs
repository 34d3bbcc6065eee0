//! Overhead of the control plane per daemon by number of daemons, and the time
//! until a configuration change is in force everywhere.

use crate::util::cluster::{Cluster, Plan};
use serde_json::json;
use std::time::{Duration, Instant};

const SIZES: [usize; 5] = [3, 6, 12, 24, 48];
const WARM_UP: Duration = Duration::from_secs(4);
const SAMPLE_DURATION: Duration = Duration::from_secs(10);
const CHANGES: u64 = 7;

/// Production settings, in place of the short intervals of the tests.
pub fn production_settings() -> Vec<String> {
    [
        "peers.ping_ms = 500",
        "peers.suspect_ms = 3000",
        "platform.timeout_ms = 2000",
        "platform.calls_per_second = 1000",
        "platform.poll_ms = 2000",
        "log.shards = 8",
        "log.commit_ms = 50",
        "batch.claim_ms = 15000",
        "batch.report_ms = 2000",
        "batch.chunk_items = 256",
        "targets.poll_ms = 500",
        "targets.idle_ms = 5000",
        "log_lines.level = info",
        "front.threads = 1",
    ]
    .map(String::from)
    .to_vec()
}

struct Sample {
    peer_bytes: u64,
    cpu_ticks: u64,
    resident_kib: u64,
}

fn sample(cluster: &Cluster) -> Sample {
    let mut sum = Sample { peer_bytes: 0, cpu_ticks: 0, resident_kib: 0 };
    for daemon in &cluster.daemons {
        let status = daemon.get("/v1/status").json();
        let count = |name: &str| status[name].as_u64().unwrap_or(0);
        sum.peer_bytes += count("peer_bytes_sent") + count("peer_bytes_received");
        let (ticks, resident) = daemon.cpu_ticks_and_rss_kib();
        sum.cpu_ticks += ticks;
        sum.resident_kib += resident;
    }
    sum
}

/// Prints the overhead by number of daemons.
pub fn run() {
    println!(
        "{:>7} {:>12} {:>9} {:>9} {:>14} {:>9} {:>22}",
        "daemons",
        "B/s a daemon",
        "% core",
        "MiB",
        "platform calls",
        "watches",
        "in force ms med/max"
    );
    for size in SIZES {
        let plan =
            Plan { daemons: size, engines: 6, settings: production_settings(), ..Plan::default() };
        let cluster = Cluster::start(plan);
        std::thread::sleep(WARM_UP);
        let (before, calls_before) = (sample(&cluster), cluster.platform.counts());
        let start = Instant::now();
        std::thread::sleep(SAMPLE_DURATION);
        let (after, calls_after) = (sample(&cluster), cluster.platform.counts());
        let seconds = start.elapsed().as_secs_f64();
        let daemon_seconds = size as f64 * seconds;
        let calls =
            (calls_after.reads + calls_after.lists + calls_after.writes + calls_after.watches)
                - (calls_before.reads
                    + calls_before.lists
                    + calls_before.writes
                    + calls_before.watches);
        let watches = calls_after.watches - calls_before.watches;
        let (median, max) = change_latency(&cluster);
        println!(
            "{:>7} {:>12.0} {:>9.2} {:>9.1} {:>12.1}/s {:>7.1}/s {:>13.0} / {:>5.0}",
            size,
            (after.peer_bytes - before.peer_bytes) as f64 / daemon_seconds,
            (after.cpu_ticks - before.cpu_ticks) as f64 / daemon_seconds,
            after.resident_kib as f64 / size as f64 / 1024.0,
            calls as f64 / seconds,
            watches as f64 / seconds,
            median,
            max
        );
    }
}

/// Median and maximum time in ms until a change is in force on all daemons.
fn change_latency(cluster: &Cluster) -> (f64, f64) {
    let mut times: Vec<f64> = (0..CHANGES)
        .map(|n| {
            let change = json!({ "put": [
                { "object": "limit", "caller": format!("c{n}"), "rate": 1e6, "burst": 1e6 }
            ] });
            let start = Instant::now();
            let daemon = n as usize % cluster.daemons.len();
            let response = cluster.apply(daemon, n + 1, &change);
            assert_eq!(response.status, 200, "{response:?}");
            cluster.wait_generation(n + 2);
            start.elapsed().as_secs_f64() * 1000.0
        })
        .collect();
    times.sort_by(f64::total_cmp);
    (times[times.len() / 2], times[times.len() - 1])
}
