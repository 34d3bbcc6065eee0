//! Random schedules of faults, derived from a seed.

use super::util::proxy::Mode;
use super::util::stutter::Stutter;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use standin::objects;
use standin::runner::{self, Silence};
use std::time::Duration;

/// Connections between a gateway and the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Those that it opens.
    Outgoing,
    /// Those that the others open.
    Incoming,
}

/// A fault; the number is the index of a gateway or a runner, the duration how long it lasts.
#[derive(Clone, Debug)]
pub enum Fault {
    /// SIGKILL, and a restart after the duration.
    Kill(usize, Duration),
    /// SIGKILL to all gateways at once, and a restart of all.
    KillAll(Duration),
    /// SIGTERM, and a restart once the process has exited.
    Terminate(usize),
    /// SIGSTOP, and SIGCONT after the duration.
    Freeze(usize, Duration),
    /// Faulty connections from one gateway to the platform.
    PlatformConnection(usize, Mode, Duration),
    /// Faulty connections from all gateways to one runner.
    RunnerConnection(usize, Mode, Duration),
    /// Network partition between one gateway and all others, in both directions.
    PeerPartition(usize, Duration),
    /// The same in one direction.
    OneWayPartition(usize, Direction, Duration),
    /// A runner sends each response twice.
    Stutter(usize, Stutter, Duration),
    /// A runner's responses have this status code, which is that of no response.
    OddStatus(usize, [u8; 3], Duration),
    /// Faults of the platform itself.
    PlatformFaults(objects::Faults, Duration),
    /// The platform rejects almost all writes.
    RejectedWrites(Duration),
    /// The platform compacts its change history.
    CompactHistory,
    /// The end of a runner's process, and a start at the same address, with another id, after the
    /// duration.
    RunnerCrash(usize, Duration),
    /// The end of a runner's process, and after the duration a start of another one at its address,
    /// with another id and the other of two software versions.
    RunnerReplacement(usize, Duration),
    /// The same, with a start at this software version.
    Release(usize, &'static str, Duration),
    /// Callers begin no streams.
    Quiet(Duration),
    /// Faults of a runner itself.
    RunnerFaults(usize, runner::Faults, Duration),
    /// A runner reports that it is draining, and is ready again after the duration.
    Drain(usize, Duration),
    /// These runners don't write a part of their responses for the duration, and then go on.
    Silence(Vec<usize>, Silence, Duration),
    /// A runner drains, and is then replaced as with [`Fault::RunnerReplacement`].
    Rollout(usize, Duration),
    /// SIGHUP.
    Reload(usize),
    /// The next version of the configuration is written.
    Configure,
}

/// A fault and the delay before it.
pub type Step = (Duration, Fault);

pub(super) fn random_millis(rng: &mut StdRng, from: u64, to: u64) -> Duration {
    Duration::from_millis(rng.random_range(from..to))
}

fn random_mode(rng: &mut StdRng) -> Mode {
    match rng.random_range(0..4) {
        0 => Mode::Delay(random_millis(rng, 5, 120)),
        1 => Mode::Reset,
        2 => Mode::Stall,
        _ => Mode::StallResponses,
    }
}

fn random_platform_faults(rng: &mut StdRng) -> objects::Faults {
    let none = objects::Faults::default();
    match rng.random_range(0..5) {
        0 => objects::Faults { unavailable: true, ..none },
        1 => objects::Faults { unresponsive: true, ..none },
        2 => objects::Faults { lost_replies: rng.random_range(1..6), ..none },
        3 => objects::Faults {
            delayed_writes: rng.random_range(1..4),
            write_delay: random_millis(rng, 500, 3_000),
            ..none
        },
        _ => objects::Faults { latency: random_millis(rng, 20, 250), ..none },
    }
}

fn random_runner_faults(rng: &mut StdRng) -> runner::Faults {
    let none = runner::Faults::default();
    match rng.random_range(0..4) {
        0 => runner::Faults { interrupted: rng.random_range(1..6), ..none },
        1 => runner::Faults { wrong_id: rng.random_range(1..4), ..none },
        2 => runner::Faults { unresponsive: true, ..none },
        _ => runner::Faults { rejects_all: true, ..none },
    }
}

/// Faults in sequence for `duration`; they may overlap.
pub fn schedule(seed: u64, gateways: usize, runners: usize, duration: Duration) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed);
    let rng = &mut rng;
    let mut steps = Vec::new();
    let mut elapsed = Duration::ZERO;
    while elapsed < duration {
        let pause = random_millis(rng, 50, 700);
        elapsed += pause;
        let gateway = rng.random_range(0..gateways);
        let runner = rng.random_range(0..runners);
        let period = random_millis(rng, 200, 2_000);
        let fault = match rng.random_range(0..24) {
            0..3 => Fault::Kill(gateway, random_millis(rng, 10, 800)),
            3 => Fault::KillAll(random_millis(rng, 10, 800)),
            4..6 => Fault::Terminate(gateway),
            6..8 => Fault::Freeze(gateway, period),
            8..11 => Fault::PlatformConnection(gateway, random_mode(rng), period),
            11..14 => Fault::RunnerConnection(runner, random_mode(rng), period),
            14..16 => Fault::PeerPartition(gateway, period),
            16..19 => Fault::PlatformFaults(random_platform_faults(rng), period),
            19 => Fault::CompactHistory,
            20..22 => Fault::RunnerFaults(runner, random_runner_faults(rng), period),
            22 => Fault::Drain(runner, period),
            _ => Fault::Configure,
        };
        steps.push((pause, fault));
    }
    steps
}

/// Adds crashes of runners, in series and beside the other faults.
pub fn with_crashes(steps: Vec<Step>, seed: u64, runners: usize) -> Vec<Step> {
    with_faults(steps, seed, runners, Fault::RunnerCrash)
}

/// Adds replacements of runners, in series and beside the other faults.
pub fn with_replacements(steps: Vec<Step>, seed: u64, runners: usize) -> Vec<Step> {
    with_faults(steps, seed, runners, Fault::RunnerReplacement)
}

/// Adds losses of all gateways, and changes of the configuration.
pub fn with_removals(steps: Vec<Step>, seed: u64, runners: usize) -> Vec<Step> {
    let steps = with_faults(steps, seed, runners, |_, _| Fault::Configure);
    with_faults(steps, seed ^ 1, runners, |runner, period| match runner % 3 {
        0 => Fault::KillAll(period),
        _ => Fault::Configure,
    })
}

fn with_faults(
    steps: Vec<Step>,
    seed: u64,
    runners: usize,
    fault_of: fn(usize, Duration) -> Fault,
) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(!seed);
    let mut all = Vec::new();
    for (pause, fault) in steps {
        if rng.random_bool(0.5) {
            all.push((pause, fault));
            continue;
        }
        let added = fault_of(rng.random_range(0..runners), random_millis(&mut rng, 30, 700));
        all.push((pause / 2, added));
        all.push((pause - pause / 2, fault));
    }
    all
}
