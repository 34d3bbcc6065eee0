//! Measurements: `cargo bench -p gatespoold --bench measure -- NAME ...`.
//!
//! Each prints the table that the pages quote. Daemons are processes of the real
//! binary, stand-ins run in this process. Figures are compared within one run.

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
    ("modes", log::modes),
    ("takeover", log::takeover),
    ("items", log::jobs),
    ("harm", batch::run),
    ("quick", batch::quick),
    ("giving_way", batch::giving_way),
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
        println!("name one or more of: {}", all.join(", "));
    }
}
