//! What control costs each daemon as the fleet grows, and how fast a change is
//! in force everywhere.

use crate::util::cluster::{Cluster, Plan};
use serde_json::json;
use std::time::{Duration, Instant};

const SIZES: [usize; 5] = [3, 6, 12, 24, 48];
const SETTLE: Duration = Duration::from_secs(4);
const WINDOW: Duration = Duration::from_secs(10);
const CHANGES: u64 = 7;

/// Settings as in production, rather than the short times of the tests.
pub fn production() -> Vec<String> {
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
        "log_lines.level = warning",
        "front.threads = 1",
    ]
    .map(String::from)
    .to_vec()
}

struct Sample {
    bytes: u64,
    ticks: u64,
    resident: u64,
}

fn sample(cluster: &Cluster) -> Sample {
    let mut sum = Sample { bytes: 0, ticks: 0, resident: 0 };
    for daemon in &cluster.daemons {
        let status = daemon.get("/v1/status").json();
        let count = |name: &str| status[name].as_u64().unwrap_or(0);
        sum.bytes += count("peer_bytes_sent") + count("peer_bytes_received");
        let (ticks, resident) = daemon.cpu_ticks_and_rss_kib();
        sum.ticks += ticks;
        sum.resident += resident;
    }
    sum
}

/// Prints the table.
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
        let plan = Plan { daemons: size, engines: 6, settings: production(), ..Plan::default() };
        let cluster = Cluster::start(plan);
        std::thread::sleep(SETTLE);
        let (before, calls) = (sample(&cluster), cluster.platform.counts());
        let began = Instant::now();
        std::thread::sleep(WINDOW);
        let (after, later) = (sample(&cluster), cluster.platform.counts());
        let seconds = began.elapsed().as_secs_f64();
        let each = size as f64 * seconds;
        let made = (later.reads + later.lists + later.writes + later.watches)
            - (calls.reads + calls.lists + calls.writes + calls.watches);
        let watches = later.watches - calls.watches;
        let (median, most) = in_force(&cluster);
        println!(
            "{:>7} {:>12.0} {:>9.2} {:>9.1} {:>12.1}/s {:>7.1}/s {:>13.0} / {:>5.0}",
            size,
            (after.bytes - before.bytes) as f64 / each,
            (after.ticks - before.ticks) as f64 / each,
            after.resident as f64 / size as f64 / 1024.0,
            made as f64 / seconds,
            watches as f64 / seconds,
            median,
            most
        );
    }
}

/// Applies changes and times each until the last daemon has it.
fn in_force(cluster: &Cluster) -> (f64, f64) {
    let mut times: Vec<f64> = (0..CHANGES)
        .map(|n| {
            let change = json!({ "put": [
                { "object": "limit", "caller": format!("c{n}"), "rate": 1e6, "burst": 1e6 }
            ] });
            let began = Instant::now();
            let through = n as usize % cluster.daemons.len();
            let response = cluster.apply(through, n + 1, &change);
            assert_eq!(response.status, 200, "{response:?}");
            cluster.wait_generation(n + 2);
            began.elapsed().as_secs_f64() * 1000.0
        })
        .collect();
    times.sort_by(f64::total_cmp);
    (times[times.len() / 2], times[times.len() - 1])
}
