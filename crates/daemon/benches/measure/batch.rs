//! How much idle capacity batch fills, and what it does to the online tail.

use crate::fleet::production;
use crate::load::{self, Load, Outcome};
use crate::util::cluster::{Cluster, Plan, items};
use serde_json::json;
use standin::engine::Config;
use std::net::SocketAddr;
use std::time::Duration;

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

    fn unguarded(self) -> &'static str {
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
}

fn play(mode: Mode) -> Run {
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
    let unguarded = mode.unguarded().to_owned();
    let plan = Plan { engines: ENGINES, engine, settings, unguarded, ..Plan::default() };
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
    let to: Vec<SocketAddr> = cluster.daemons.iter().map(|daemon| daemon.front).collect();
    // A tenth of the slots, and bursts that need all of them.
    let online = (mode != Mode::BatchAlone).then(|| {
        let rate = f64::from(SLOTS) * ENGINES as f64 * 0.09 / 0.24;
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
    // What one slot generates in the time, prefill of the items included.
    let each = LENGTH.as_secs_f64() / (0.040 + 39.0 * TOKEN.as_secs_f64()) * 40.0;
    let capacity = each * f64::from(SLOTS) * ENGINES as f64;
    let idle = capacity - (after.0 - before.0) as f64;
    Run { online, filled: (after.1 - before.1) as f64 / idle }
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
    println!(
        "{:>3} {:>20} {:>7} {:>8} {:>8} {:>26} {:>18} {:>9} {:>8}",
        "",
        "mode",
        "whole",
        "refused",
        "failed",
        "first ms p50/p99/p99.9",
        "gap ms p99",
        "p99 ratio",
        "filled"
    );
    for repeat in 0..REPEATS {
        let mut alone = None;
        for mode in
            [Mode::Alone, Mode::BatchAlone, Mode::Design, Mode::NoPriority, Mode::StaticSplit]
        {
            let run = play(mode);
            let Some(online) = run.online else {
                println!("{repeat:>3} {:>20} {:>107.3}", mode.name(), run.filled);
                continue;
            };
            let p99 = load::at(&online.first, 0.99);
            let base = *alone.get_or_insert(p99);
            println!(
                "{repeat:>3} {:>20} {:>7} {:>8} {:>8} {:>9.1} /{:>7.1} /{:>7.1} {:>18.1} {:>9.2} {:>8.3}",
                mode.name(),
                online.whole,
                online.refused,
                online.failed,
                load::at(&online.first, 0.5),
                p99,
                load::at(&online.first, 0.999),
                load::at(&online.gap, 0.99),
                p99 / base,
                run.filled
            );
        }
    }
}
