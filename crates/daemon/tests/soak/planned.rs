//! Random schedules of planned work and of silences of sound runners, derived from a seed.

use super::faults::{Fault, Step, random_millis, schedule};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use standin::runner::Silence;
use std::time::Duration;

/// How long only planned work and silences happen, before and after the other faults.
const PLANNED_PERIOD: Duration = Duration::from_secs(6);
/// How long unplanned faults overlap them.
const UNPLANNED_PERIOD: Duration = Duration::from_secs(2);
const SILENCES: [Silence; 3] = [Silence::Everything, Silence::Events, Silence::HalfEvents];
/// Maximum time of a request on all routes, in milliseconds.
const ROUTE_TIMEOUTS_MS: [u64; 3] = [4_000, 5_000, 8_000];
/// The least of [`ROUTE_TIMEOUTS_MS`].
pub const MIN_TIMEOUT: Duration = Duration::from_secs(4);
const OBJECTIVES_MS: [u64; 3] = [200, 300, 500];
const GAPS_MS: [u64; 3] = [150, 200, 250];
const IDLE_TIMEOUTS_MS: [u64; 3] = [200, 1_000, 15_000];

/// Steps in sequence.
pub struct Phase {
    /// Whether there are only planned work and silences.
    pub is_planned: bool,
    pub steps: Vec<Step>,
}

/// The phases of a seed.
pub fn phases(seed: u64, gateways: usize, runners: usize) -> Vec<Phase> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut planned = |period| planned_steps(&mut rng, gateways, runners, period);
    let before = planned(PLANNED_PERIOD);
    let beside = planned(UNPLANNED_PERIOD);
    let after = planned(PLANNED_PERIOD);
    let faults = schedule(seed, gateways, runners, UNPLANNED_PERIOD);
    vec![
        Phase { is_planned: true, steps: before },
        Phase { is_planned: false, steps: merge(beside, faults) },
        Phase { is_planned: true, steps: after },
    ]
}

fn planned_steps(rng: &mut StdRng, gateways: usize, runners: usize, period: Duration) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut elapsed = Duration::ZERO;
    while elapsed < period {
        let pause = random_millis(rng, 50, 500);
        elapsed += pause;
        let gateway = rng.random_range(0..gateways);
        let runner = rng.random_range(0..runners);
        let fault = match rng.random_range(0..12) {
            0..5 => random_silence(rng, runners),
            5 => Fault::Drain(runner, random_millis(rng, 200, 2_000)),
            6 => Fault::Rollout(runner, random_millis(rng, 30, 700)),
            7..9 => Fault::Reload(gateway),
            9 => Fault::Terminate(gateway),
            _ => Fault::Configure,
        };
        let series = if matches!(fault, Fault::Configure) { rng.random_range(0..4) } else { 0 };
        steps.push((pause, fault));
        for _ in 0..series {
            let pause = random_millis(rng, 20, 200);
            elapsed += pause;
            steps.push((pause, Fault::Configure));
        }
    }
    steps
}

/// Some, half or all of the runners fall silent.
fn random_silence(rng: &mut StdRng, runners: usize) -> Fault {
    let mut silent: Vec<usize> = (0..runners).collect();
    silent.shuffle(rng);
    silent.truncate(match rng.random_range(0..3) {
        0 => rng.random_range(1..=runners.div_ceil(3)),
        1 => runners / 2,
        _ => runners,
    });
    let silence = SILENCES[rng.random_range(0..SILENCES.len())];
    Fault::Silence(silent, silence, random_millis(rng, 600, 1_600))
}

/// Steps of two sequences that begin at once.
pub fn merge(one: Vec<Step>, other: Vec<Step>) -> Vec<Step> {
    let mut timed = Vec::new();
    for steps in [one, other] {
        let mut at = Duration::ZERO;
        for (pause, fault) in steps {
            at += pause;
            timed.push((at, fault));
        }
    }
    relative(timed)
}

/// Steps of faults that happen at these times.
pub fn relative(mut timed: Vec<(Duration, Fault)>) -> Vec<Step> {
    timed.sort_by_key(|(at, _)| *at);
    let mut last = Duration::ZERO;
    let step = |(at, fault)| (at - std::mem::replace(&mut last, at), fault);
    timed.into_iter().map(step).collect()
}

/// Changes times of a configuration, as its version determines.
pub fn vary(config: &mut Value, version: u64) {
    let mut rng = StdRng::seed_from_u64(version);
    let mut pick = |values: [u64; 3]| json!(values[rng.random_range(0..values.len())]);
    for route in config["routes"].as_array_mut().into_iter().flatten() {
        route["timeout_ms"] = pick(ROUTE_TIMEOUTS_MS);
        route["slo_ms"] = pick(OBJECTIVES_MS);
        route["gap_slo_ms"] = pick(GAPS_MS);
    }
    config["limits"]["idle_timeout_ms"] = pick(IDLE_TIMEOUTS_MS);
}
