//! Benchmarks: `cargo bench -p gatespoold --bench measure -- NAME ...`.
//!
//! Each prints a table. Daemons run as processes of the real binary, stand-ins in
//! this process. Compare only figures of the same run.

#[path = "../../tests/util/mod.rs"]
mod util;

mod batch;
mod fleet;
mod front;
mod load;
mod log;

type Bench = (&'static str, fn());

const BENCHES: &[Bench] = &[
    ("fleet", fleet::run),
    ("log", log::run),
    ("modes", log::commit_modes),
    ("takeover", log::takeover),
    ("items", log::jobs),
    ("harm", batch::run),
    ("quick", batch::run_once),
    ("giving_way", batch::preemption_wait),
    ("faults", front::faults),
    ("overhead", front::overhead),
    ("saturation", front::saturation),
    ("slopes", front::slopes),
];

fn main() {
    let names: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with('-')).collect();
    for (name, bench) in BENCHES {
        if names.iter().any(|wanted| wanted == name) {
            println!("== {name}");
            bench();
        }
    }
    if names.is_empty() {
        let all: Vec<&str> = BENCHES.iter().map(|(name, _)| *name).collect();
        println!("name one or more benchmarks: {}", all.join(", "));
    }
}
