//! Share of idle capacity that batch fills, and its effect on the tail latency of
//! online requests.

use crate::fleet::production_settings;
use crate::load::{self, Load, Outcome};
use crate::util::client::chat;
use crate::util::cluster::{Cluster, Plan, items};
use serde_json::json;
use standin::engine::Config;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const ENGINES: usize = 6;
const SLOTS: u32 = 8;
const TOKEN_INTERVAL: Duration = Duration::from_millis(10);
const DURATION: Duration = Duration::from_secs(12);
const REPEATS: usize = 3;

#[derive(Clone, Copy, PartialEq)]
enum Mode {
    OnlineOnly,
    BatchOnly,
    Standard,
    NoPriority,
    StaticSplit,
}

impl Mode {
    fn name(self) -> &'static str {
        match self {
            Mode::OnlineOnly => "online alone",
            Mode::BatchOnly => "batch alone",
            Mode::Standard => "both, this design",
            Mode::NoPriority => "both, no priority",
            Mode::StaticSplit => "both, static split",
        }
    }

    /// Guards that the mode disables.
    fn disabled_guards(self) -> &'static str {
        match self {
            Mode::NoPriority => "priority, yield",
            Mode::StaticSplit => "yield",
            _ => "",
        }
    }
}

struct Run {
    online: Option<Outcome>,
    /// Share of the idle capacity that batch used.
    filled: f64,
    /// Wait of online requests for a slot at the engine in ms: p50, p90, p99.
    slot_wait_ms: [f64; 3],
}

fn run_mode(mode: Mode, capacity: f64) -> Run {
    let engine = Config {
        slots: SLOTS,
        token_interval: TOKEN_INTERVAL,
        prefill: Duration::from_millis(40),
        ..Config::default()
    };
    let mut settings = production_settings();
    settings.push(String::from("batch.report_ms = 1000"));
    if mode == Mode::StaticSplit {
        settings.push(format!("batch.reserve = {}", SLOTS / 2));
    }
    if mode == Mode::NoPriority {
        settings.push(String::from("batch.reserve = 0"));
    }
    let disabled_guards = mode.disabled_guards().to_owned();
    let plan = Plan { engines: ENGINES, engine, settings, disabled_guards, ..Plan::default() };
    let cluster = Cluster::start(plan);
    if mode != Mode::OnlineOnly {
        let items: Vec<_> = items("filler", 30_000)
            .into_iter()
            .map(|mut item| {
                item["max_tokens"] = json!(40);
                item
            })
            .collect();
        assert_eq!(cluster.submit(0, "fill", &items).status, 201);
        std::thread::sleep(Duration::from_secs(3));
    }
    let before = tokens(&cluster);
    let start = Instant::now();
    let addresses: Vec<SocketAddr> =
        cluster.daemons.iter().map(|daemon| daemon.front_address).collect();
    // 7% of the slots, and bursts that need 70%: closer to saturation the tail of
    // online requests varies too much between runs.
    let online = (mode != Mode::BatchOnly).then(|| {
        let rate = f64::from(SLOTS) * ENGINES as f64 * 0.07 / 0.24;
        let burst = Some((Duration::from_secs(6), 10.0));
        load::send(Load {
            addresses,
            rate,
            duration: DURATION,
            tokens: 20,
            keyed: false,
            burst,
            name: "online",
        })
    });
    if online.is_none() {
        std::thread::sleep(DURATION);
    }
    let after = tokens(&cluster);
    let waits = online_waits(&cluster);
    let wait =
        |q: f64| waits.get((waits.len() as f64 * q) as usize).map_or(0.0, |us| *us as f64 / 1000.0);
    let idle = capacity * start.elapsed().as_secs_f64() - (after.0 - before.0) as f64;
    let slot_wait_ms = [wait(0.5), wait(0.9), wait(0.99)];
    Run { online, slot_wait_ms, filled: (after.1 - before.1) as f64 / idle }
}

/// Tokens per second of the engines when direct callers keep every slot busy.
fn capacity() -> f64 {
    let engine = Config {
        slots: SLOTS,
        token_interval: TOKEN_INTERVAL,
        prefill: Duration::from_millis(40),
        ..Config::default()
    };
    let plan = Plan {
        daemons: 1,
        engines: ENGINES,
        engine,
        settings: production_settings(),
        ..Plan::default()
    };
    let cluster = Cluster::start(plan);
    let start = Instant::now();
    std::thread::scope(|scope| {
        for (number, engine) in cluster.engine_addresses.iter().enumerate() {
            for slot in 0..SLOTS {
                scope.spawn(move || {
                    let mut number_sent = 0;
                    while start.elapsed() < DURATION / 2 {
                        number_sent += 1;
                        let prompt = format!("direct {number} {slot} {number_sent}");
                        chat(*engine, &prompt, &[], json!({ "stream": true, "max_tokens": 40 }));
                    }
                });
            }
        }
    });
    let tokens: u32 = cluster.runs().iter().map(|run| run.tokens).sum();
    f64::from(tokens) / start.elapsed().as_secs_f64()
}

/// Numbers of tokens generated for online and batch requests.
fn tokens(cluster: &Cluster) -> (u64, u64) {
    let runs = cluster.runs();
    let sum = |prefix: &str| {
        let matching = runs.iter().filter(|run| run.prompt.starts_with(prefix));
        matching.map(|run| u64::from(run.tokens)).sum()
    };
    (sum("online"), sum("filler"))
}

/// Prints latency ratios within each repeat, for all modes.
pub fn run() {
    use Mode::{BatchOnly, NoPriority, OnlineOnly, Standard, StaticSplit};
    repeat(REPEATS, &[OnlineOnly, BatchOnly, Standard, NoPriority, StaticSplit]);
}

/// One repeat without the other modes.
pub fn run_once() {
    repeat(
        1,
        &[Mode::OnlineOnly, Mode::Standard, Mode::OnlineOnly, Mode::Standard, Mode::BatchOnly],
    );
}

fn repeat(repeats: usize, modes: &[Mode]) {
    println!(
        "{:>3} {:>18} {:>6} {:>7} {:>6} {:>26} {:>10} {:>9} {:>9} {:>7}",
        "",
        "mode",
        "whole",
        "refused",
        "failed",
        "first ms p50/p99/p99.9",
        "gap p99",
        "p50 ratio",
        "p99 ratio",
        "filled"
    );
    for repeat in 0..repeats {
        let capacity = capacity();
        println!("{repeat:>3} {:>18} {capacity:.0} tokens/s", "capacity");
        let mut baseline = None;
        for mode in modes {
            let run = run_mode(*mode, capacity);
            let Some(online) = run.online else {
                println!("{repeat:>3} {:>18} {:>88.3}", mode.name(), run.filled);
                continue;
            };
            let (p50, p99) = (
                load::quantile_ms(&online.first_token, 0.5),
                load::quantile_ms(&online.first_token, 0.99),
            );
            let base = *baseline.get_or_insert((p50, p99));
            println!(
                "{repeat:>3} {:>18} {:>6} {:>7} {:>6} {:>9.1} /{:>7.1} /{:>7.1} {:>9.1} {:>9.2} {:>9.2} {:>7.3}",
                mode.name(),
                online.completed,
                online.rejected,
                online.failed,
                p50,
                p99,
                load::quantile_ms(&online.first_token, 0.999),
                load::quantile_ms(&online.token_gap, 0.99),
                p50 / base.0,
                p99 / base.1,
                run.filled
            );
            let [p50, p90, p99] = run.slot_wait_ms;
            println!(
                "{repeat:>3} {:>18} waited for a slot {p50:.1} / {p90:.1} / {p99:.1} ms, mean gap {:.2} ms",
                "",
                online.token_gap.mean() / 1000.0
            );
        }
    }
}

/// Wait of online requests for a slot at targets filled with batch.
pub fn preemption_wait() {
    let token = Duration::from_millis(10);
    let engine = Config { slots: SLOTS, token_interval: token, ..Config::default() };
    let mut settings = production_settings();
    settings.push(String::from("batch.reserve = 0"));
    let plan = Plan { daemons: 3, engines: 3, engine, settings, ..Plan::default() };
    let cluster = Cluster::start(plan);
    let items: Vec<_> =
        (0..2000).map(|n| json!({ "prompt": format!("filler {n}"), "max_tokens": 400 })).collect();
    assert_eq!(cluster.submit(0, "fill", &items).status, 201);
    std::thread::sleep(Duration::from_secs(3));
    let addresses = cluster.daemons.iter().map(|daemon| daemon.front_address).collect();
    let duration = Duration::from_secs(10);
    load::send(Load {
        addresses,
        rate: 5.0,
        duration,
        tokens: 5,
        keyed: false,
        burst: None,
        name: "online",
    });
    let waits = online_waits(&cluster);
    let at = |q: f64| waits[(waits.len() as f64 * q) as usize] as f64 / 1000.0;
    println!(
        "{} requests waited {:.1} / {:.1} / {:.1} ms (p50/p90/p99) for a slot",
        waits.len(),
        at(0.5),
        at(0.9),
        at(0.99)
    );
}

/// Waits of online requests for a slot at the engines, in microseconds, sorted.
fn online_waits(cluster: &Cluster) -> Vec<u64> {
    let runs = cluster.runs();
    let online = runs.iter().filter(|run| run.prompt.starts_with("online"));
    let mut waits: Vec<u64> = online.map(|run| run.waited_us).collect();
    waits.sort_unstable();
    waits
}
