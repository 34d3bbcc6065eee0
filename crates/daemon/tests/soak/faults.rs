//! What is done to the fleet, drawn from a seed.

use super::util::proxy::Mode;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use standin::objects;
use standin::runner;
use std::time::Duration;

/// One fault; `n` numbers a gateway or a runner.
#[derive(Clone, Debug)]
pub enum Fault {
    /// SIGKILL, and a start after the time.
    Kill(usize, Duration),
    /// Every gateway is killed at one moment, and all start again.
    KillAll(Duration),
    /// SIGTERM, and a start once it has ended.
    Stop(usize),
    /// SIGSTOP for the time.
    Freeze(usize, Duration),
    /// The gateway's way to the platform.
    Platform(usize, Mode, Duration),
    /// All gateways' way to the runner.
    Runner(usize, Mode, Duration),
    /// The gateway's way to the other gateways, both ways.
    Peers(usize, Duration),
    /// The platform itself.
    Store(objects::Faults, Duration),
    /// The platform forgets its history.
    Forget,
    /// The runner itself.
    Engine(usize, runner::Faults, Duration),
    /// The runner announces that it leaves, and comes back.
    Leave(usize, Duration),
    /// The operator writes the next configuration.
    Configure,
}

/// A fault and how long to wait before it.
pub type Step = (Duration, Fault);

fn millis(rng: &mut StdRng, from: u64, to: u64) -> Duration {
    Duration::from_millis(rng.random_range(from..to))
}

fn mode(rng: &mut StdRng) -> Mode {
    match rng.random_range(0..4) {
        0 => Mode::Delay(millis(rng, 5, 120)),
        1 => Mode::Reset,
        2 => Mode::Stall,
        _ => Mode::StallResponses,
    }
}

fn store(rng: &mut StdRng) -> objects::Faults {
    let none = objects::Faults::default();
    match rng.random_range(0..5) {
        0 => objects::Faults { away: true, ..none },
        1 => objects::Faults { silent: true, ..none },
        2 => objects::Faults { lost: rng.random_range(1..6), ..none },
        3 => objects::Faults {
            late: rng.random_range(1..4),
            late_by: millis(rng, 500, 3_000),
            ..none
        },
        _ => objects::Faults { slow: millis(rng, 20, 250), ..none },
    }
}

fn engine(rng: &mut StdRng) -> runner::Faults {
    let none = runner::Faults::default();
    match rng.random_range(0..4) {
        0 => runner::Faults { cut: rng.random_range(1..6), ..none },
        1 => runner::Faults { foreign: rng.random_range(1..4), ..none },
        2 => runner::Faults { silent: true, ..none },
        _ => runner::Faults { full: true, ..none },
    }
}

/// The day of a seed: faults in series that overlap.
pub fn day(seed: u64, gateways: usize, runners: usize, length: Duration) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed);
    let rng = &mut rng;
    let mut steps = Vec::new();
    let mut passed = Duration::ZERO;
    while passed < length {
        let pause = millis(rng, 50, 700);
        passed += pause;
        let gateway = rng.random_range(0..gateways);
        let engine_at = rng.random_range(0..runners);
        let time = millis(rng, 200, 2_000);
        let fault = match rng.random_range(0..24) {
            0..3 => Fault::Kill(gateway, millis(rng, 10, 800)),
            3 => Fault::KillAll(millis(rng, 10, 800)),
            4..6 => Fault::Stop(gateway),
            6..8 => Fault::Freeze(gateway, time),
            8..11 => Fault::Platform(gateway, mode(rng), time),
            11..14 => Fault::Runner(engine_at, mode(rng), time),
            14..16 => Fault::Peers(gateway, time),
            16..19 => Fault::Store(store(rng), time),
            19 => Fault::Forget,
            20..22 => Fault::Engine(engine_at, engine(rng), time),
            22 => Fault::Leave(engine_at, time),
            _ => Fault::Configure,
        };
        steps.push((pause, fault));
    }
    steps
}
