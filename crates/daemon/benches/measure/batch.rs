//! How much idle capacity batch fills, and what it does to the online tail.

use crate::fleet::production;
use crate::load::{self, Load, Outcome};
use crate::util::client::chat;
use crate::util::cluster::{Cluster, Plan, items};
use serde_json::json;
use standin::engine::Config;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const ENGINES: usize = 6;
const SLOTS: u32 = 8;
const TOKEN: Duration = Duration::from_millis(10);
const LENGTH: Duration = Duration::from_secs(12);
const REPEATS: usize = 3;

#[derive(Clone, Copy, PartialEq)]
enum Mode {
    Alone,
    BatchAlone,
    Design,
    NoPriority,
    StaticSplit,
}

impl Mode {
    fn name(self) -> &'static str {
        match self {
            Mode::Alone => "online alone",
            Mode::BatchAlone => "batch alone",
            Mode::Design => "both, this design",
            Mode::NoPriority => "both, no priority",
            Mode::StaticSplit => "both, static split",
        }
    }

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
    filled: f64,
    /// Wait for a slot at the engine in ms: p50, p90, p99.
    waited: [f64; 3],
}

fn play(mode: Mode, capacity: f64) -> Run {
    let engine = Config {
        slots: SLOTS,
        token: TOKEN,
        prefill: Duration::from_millis(40),
        ..Config::default()
    };
    let mut settings = production();
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
    if mode != Mode::Alone {
        let list: Vec<_> = items("filler", 30_000)
            .into_iter()
            .map(|mut item| {
                item["max_tokens"] = json!(40);
                item
            })
            .collect();
        assert_eq!(cluster.submit(0, "fill", &list).status, 201);
        std::thread::sleep(Duration::from_secs(3));
    }
    let before = tokens(&cluster);
    let began = Instant::now();
    let to: Vec<SocketAddr> = cluster.daemons.iter().map(|daemon| daemon.front_address).collect();
    // A fourteenth of the slots, and bursts that need seven tenths of them: near
    // saturation the tail of online requests alone differs by half from run to run.
    let online = (mode != Mode::BatchAlone).then(|| {
        let rate = f64::from(SLOTS) * ENGINES as f64 * 0.07 / 0.24;
        let burst = Some((Duration::from_secs(6), 10.0));
        load::send(Load {
            to,
            rate,
            length: LENGTH,
            tokens: 20,
            keyed: false,
            burst,
            name: "online",
        })
    });
    if online.is_none() {
        std::thread::sleep(LENGTH);
    }
    let after = tokens(&cluster);
    let waits = online_waits(&cluster);
    let wait =
        |q: f64| waits.get((waits.len() as f64 * q) as usize).map_or(0.0, |us| *us as f64 / 1000.0);
    let idle = capacity * began.elapsed().as_secs_f64() - (after.0 - before.0) as f64;
    let waited = [wait(0.5), wait(0.9), wait(0.99)];
    Run { online, waited, filled: (after.1 - before.1) as f64 / idle }
}

/// Tokens a second that the engines generate when every slot is kept busy by
/// callers that ask them directly: what there is to fill.
fn capacity() -> f64 {
    let engine = Config {
        slots: SLOTS,
        token: TOKEN,
        prefill: Duration::from_millis(40),
        ..Config::default()
    };
    let plan =
        Plan { daemons: 1, engines: ENGINES, engine, settings: production(), ..Plan::default() };
    let cluster = Cluster::start(plan);
    let began = Instant::now();
    std::thread::scope(|scope| {
        for (number, engine) in cluster.engine_addresses.iter().enumerate() {
            for lane in 0..SLOTS {
                scope.spawn(move || {
                    let mut turn = 0;
                    while began.elapsed() < LENGTH / 2 {
                        turn += 1;
                        let prompt = format!("direct {number} {lane} {turn}");
                        chat(*engine, &prompt, &[], json!({ "stream": true, "max_tokens": 40 }));
                    }
                });
            }
        }
    });
    let tokens: u32 = cluster.runs().iter().map(|run| run.tokens).sum();
    f64::from(tokens) / began.elapsed().as_secs_f64()
}

/// Tokens generated: online, batch.
fn tokens(cluster: &Cluster) -> (u64, u64) {
    let runs = cluster.runs();
    let of = |start: &str| {
        let fitting = runs.iter().filter(|run| run.prompt.starts_with(start));
        fitting.map(|run| u64::from(run.tokens)).sum()
    };
    (of("online"), of("filler"))
}

/// Prints the table: ratios within each repeat.
pub fn run() {
    use Mode::{Alone, BatchAlone, Design, NoPriority, StaticSplit};
    repeat(REPEATS, &[Alone, BatchAlone, Design, NoPriority, StaticSplit]);
}

/// The same once, without the baselines, for trying a change.
pub fn quick() {
    repeat(1, &[Mode::Alone, Mode::Design, Mode::Alone, Mode::Design, Mode::BatchAlone]);
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
        let mut alone = None;
        for mode in modes {
            let run = play(*mode, capacity);
            let Some(online) = run.online else {
                println!("{repeat:>3} {:>18} {:>88.3}", mode.name(), run.filled);
                continue;
            };
            let (p50, p99) = (load::at(&online.first, 0.5), load::at(&online.first, 0.99));
            let base = *alone.get_or_insert((p50, p99));
            println!(
                "{repeat:>3} {:>18} {:>6} {:>7} {:>6} {:>9.1} /{:>7.1} /{:>7.1} {:>9.1} {:>9.2} {:>9.2} {:>7.3}",
                mode.name(),
                online.whole,
                online.refused,
                online.failed,
                p50,
                p99,
                load::at(&online.first, 0.999),
                load::at(&online.gap, 0.99),
                p50 / base.0,
                p99 / base.1,
                run.filled
            );
            let [half, ninety, most] = run.waited;
            println!(
                "{repeat:>3} {:>18} waited for a slot {half:.1} / {ninety:.1} / {most:.1} ms, mean gap {:.2} ms",
                "",
                online.gap.mean() / 1000.0
            );
        }
    }
}

/// How long one online request waits for a slot at a target full of batch.
pub fn giving_way() {
    let token = Duration::from_millis(10);
    let engine = Config { slots: SLOTS, token, ..Config::default() };
    let mut settings = production();
    settings.push(String::from("batch.reserve = 0"));
    let plan = Plan { daemons: 3, engines: 3, engine, settings, ..Plan::default() };
    let cluster = Cluster::start(plan);
    let list: Vec<_> =
        (0..2000).map(|n| json!({ "prompt": format!("filler {n}"), "max_tokens": 400 })).collect();
    assert_eq!(cluster.submit(0, "fill", &list).status, 201);
    std::thread::sleep(Duration::from_secs(3));
    let to = cluster.daemons.iter().map(|daemon| daemon.front_address).collect();
    let length = Duration::from_secs(10);
    load::send(Load {
        to,
        rate: 5.0,
        length,
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

/// Microseconds that online requests waited for a slot at the engines, sorted.
fn online_waits(cluster: &Cluster) -> Vec<u64> {
    let runs = cluster.runs();
    let online = runs.iter().filter(|run| run.prompt.starts_with("online"));
    let mut waits: Vec<u64> = online.map(|run| run.waited_us).collect();
    waits.sort_unstable();
    waits
}
