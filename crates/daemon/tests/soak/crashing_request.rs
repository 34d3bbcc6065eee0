//! A scenario with a request that crashes its targets, or with requests that share a part that
//! does. Several callers send them to all gateways, while gateways are killed, stopped, frozen and
//! partitioned and the platform fails. Crashed targets restart under their ids.

use super::faults::Fault;
use super::util::gateway::{Fleet, Plan, send_to};
use super::{FIRST_PART_SEED, FIRST_SUSPENSION_SEED};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use standin::objects;
use standin::runner::{Config, Run};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How long faults are injected; exceeds the first quarantine period, so that a trial happens.
const FAULT_PERIOD: Duration = Duration::from_secs(17);
/// Time in which reachable instances must learn of a quarantine. Runs count as violations from
/// this time after the crash of [`Cause::known_crashes`] on, and from this time after a restart of their sender.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Runs allowed after [`PROPAGATION_TIME`].
const MAX_LATER_RUNS: usize = 3;
const RUNNERS: usize = 8;
/// Numbers of callers of the crashing request and of other requests.
const CALLERS: [usize; 2] = [3, 4];
const CRASHING_PATH: &str = "/ask/deadly";
const CRASHING_PART: &str = "bad";
/// How often restarts of targets are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What crashes targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// One request, repeated.
    Request,
    /// A part that requests share which aren't alike otherwise.
    Part,
}

impl Cause {
    fn of(seed: u64) -> Cause {
        if seed >= FIRST_PART_SEED { Cause::Part } else { Cause::Request }
    }

    /// Number of crashes after which the cause must become known.
    fn known_crashes(self) -> usize {
        match self {
            Cause::Request => 3,
            Cause::Part => 5,
        }
    }

    /// Path and prompt of a request.
    fn request(self, id: &str, is_crashing: bool) -> (String, String) {
        match (self, is_crashing) {
            (_, false) => (String::from("/ask/sound"), format!("manual:200,{id}:100")),
            (Cause::Request, true) => (String::from(CRASHING_PATH), String::new()),
            (Cause::Part, true) => {
                let prompt = format!("manual:200,{CRASHING_PART}:50,{id}:100");
                (format!("{CRASHING_PATH}/{id}"), prompt)
            }
        }
    }
}

fn fleet(cause: Cause) -> Fleet {
    let config = |n: usize| Config {
        id: format!("r{n}"),
        first_event_delay: Duration::from_millis(20),
        event_interval: Duration::from_millis(10),
        restart_delay: Duration::from_millis(1_500),
        ..Config::default()
    };
    let data_centre = |n: usize| if n.is_multiple_of(2) { "east" } else { "west" };
    let runners = (0..RUNNERS).map(|n| (data_centre(n), config(n))).collect();
    let fleet = Fleet::start(Plan { runners, ..Plan::default() });
    fleet.runners.iter().for_each(|runner| match cause {
        Cause::Request => runner.crash_on_path(CRASHING_PATH),
        Cause::Part => runner.crash_on_part(CRASHING_PART),
    });
    fleet
}

/// Stops the callers when dropped. Otherwise, a panic during fault injection would leave them
/// running and [`std::thread::scope`] would never return.
struct StopGuard<'a>(&'a AtomicBool);

impl Drop for StopGuard<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Runs the scenario of a seed and returns the violated guarantees.
pub fn run(seed: u64) -> Vec<String> {
    let cause = Cause::of(seed);
    let mut fleet = fleet(cause);
    let fronts: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.front_address).collect();
    let is_over = AtomicBool::new(false);
    let mut restarts = Vec::new();
    std::thread::scope(|scope| {
        let _stop_guard = StopGuard(&is_over);
        for n in 0..CALLERS[0] + CALLERS[1] {
            let (fronts, is_over) = (&fronts, &is_over);
            scope.spawn(move || {
                let mut count = n;
                while !is_over.load(Ordering::Relaxed) {
                    count += 1;
                    let is_crashing = n < CALLERS[0];
                    let id = format!("{}-{n}-{count}", if is_crashing { "bad" } else { "sound" });
                    let (path, prompt) = cause.request(&id, is_crashing);
                    let front = fronts[count % fronts.len()];
                    let headers = [("x-gatespool-prompt-prefix", prompt.as_str())];
                    send_to(front, &path, &id, &headers);
                    std::thread::sleep(Duration::from_millis(60));
                }
            });
        }
        restarts.extend(inject_faults(&mut fleet, seed));
    });
    find_violations(&fleet, cause, &restarts)
}

/// A gateway and when it was restarted.
type Restart = (usize, Instant);

/// Injects the faults of a seed and rewrites the entries of restarted targets; returns the
/// restarts of gateways.
fn inject_faults(fleet: &mut Fleet, seed: u64) -> Vec<Restart> {
    let mut restarts = Vec::new();
    let mut rng = StdRng::seed_from_u64(seed);
    let deadline = Instant::now() + FAULT_PERIOD;
    let mut next = Instant::now();
    let mut undo: Option<(Instant, usize)> = None;
    let mut starts = [1; RUNNERS];
    let mut suspended_for = vec![Duration::ZERO; fleet.gateways.len()];
    while Instant::now() < deadline {
        std::thread::sleep(POLL_INTERVAL);
        for (n, known_start) in starts.iter_mut().enumerate() {
            let now = fleet.runners[n].process().starts.load(Ordering::Relaxed);
            if now != *known_start {
                *known_start = now;
                fleet.reregister(n, now);
            }
        }
        if let Some((at, n)) = undo
            && Instant::now() >= at
        {
            restarts.extend(restore(fleet, n));
            undo = None;
            next = Instant::now() + Duration::from_millis(rng.random_range(100..900));
        }
        if undo.is_none() && Instant::now() >= next {
            let n = rng.random_range(0..fleet.gateways.len());
            let period = Duration::from_millis(rng.random_range(200..2_500));
            let fault = random_fault(&mut rng, n, period);
            if let Fault::Freeze(n, period) = fault
                && seed >= FIRST_SUSPENSION_SEED
            {
                suspended_for[n] += period;
                fleet.gateways[n].simulate_suspension(suspended_for[n]);
            }
            inject(fleet, fault);
            undo = Some((Instant::now() + period, n));
        }
    }
    for n in 0..fleet.gateways.len() {
        restarts.extend(restore(fleet, n));
    }
    restarts
}

fn random_fault(rng: &mut StdRng, n: usize, period: Duration) -> Fault {
    match rng.random_range(0..6) {
        0 => Fault::Kill(n, period),
        1 => Fault::KillAll(period),
        2 => Fault::Terminate(n),
        3 => Fault::Freeze(n, period),
        4 => Fault::PeerPartition(n, period),
        _ => Fault::PlatformFaults(
            objects::Faults { unavailable: true, ..objects::Faults::default() },
            period,
        ),
    }
}

fn inject(fleet: &mut Fleet, fault: Fault) {
    match fault {
        Fault::Kill(n, _) => fleet.gateways[n].kill(),
        Fault::KillAll(_) => fleet.gateways.iter_mut().for_each(|gateway| gateway.kill()),
        Fault::Terminate(n) => fleet.gateways[n].terminate(),
        Fault::Freeze(n, _) => fleet.gateways[n].freeze(),
        Fault::PeerPartition(n, _) => {
            let peers: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.peer_address).collect();
            fleet.gateways[n].set_unreachable(&peers);
            for (_, other) in fleet.gateways.iter().enumerate().filter(|(m, _)| *m != n) {
                other.set_unreachable(&[peers[n]]);
            }
        }
        Fault::PlatformFaults(faults, _) => fleet.objects.set_faults(faults),
        _ => {}
    }
}

/// Undoes all faults; returns the gateways that it restarted.
fn restore(fleet: &mut Fleet, n: usize) -> Vec<Restart> {
    let mut restarts = Vec::new();
    fleet.objects.set_faults(objects::Faults::default());
    fleet.gateways.iter().for_each(|gateway| gateway.set_unreachable(&[]));
    if fleet.gateways[n].is_running() {
        fleet.gateways[n].thaw();
    }
    for m in 0..fleet.gateways.len() {
        if !fleet.gateways[m].is_running() {
            fleet.restart(m);
            restarts.push((m, Instant::now()));
        }
    }
    restarts
}

/// The gateway that sent a run: callers choose gateways in turn by the number at the end of
/// the id.
fn sender(run: &Run, gateways: usize) -> usize {
    let count: usize = run.id.rsplit('-').next().and_then(|n| n.parse().ok()).expect("a number");
    count % gateways
}

fn find_violations(fleet: &Fleet, cause: Cause, restarts: &[Restart]) -> Vec<String> {
    let is_new = |run: &Run| {
        let of_sender = restarts.iter().filter(|(n, _)| *n == sender(run, fleet.gateways.len()));
        of_sender
            .into_iter()
            .any(|(_, at)| run.arrived < *at + PROPAGATION_TIME && run.arrived > *at)
    };
    let mut runs = fleet.runs(CRASHING_PATH);
    runs.sort_by_key(|run| run.arrived);
    let served = fleet.runs("/ask/sound").iter().filter(|run| run.is_complete).count();
    println!(
        "{} runs of the crashing request, {served} others served; logs in {}",
        runs.len(),
        fleet.dir.display()
    );
    let mut violations = Vec::new();
    if runs.len() < 3 {
        violations.push(format!("only {} runs", runs.len()));
    } else if let Some(last) = runs.get(cause.known_crashes() - 1) {
        // Each run crashes its target about 20 ms after it started.
        let known = last.started + PROPAGATION_TIME;
        let later: Vec<Duration> = runs
            .iter()
            .filter(|run| run.arrived > known && !is_new(run))
            .map(|run| run.arrived - last.started)
            .collect();
        if later.len() > MAX_LATER_RUNS {
            violations
                .push(format!("{} runs after the quarantine was known: {later:?}", later.len()));
        }
    }
    if served == 0 {
        violations.push(String::from("no other request was served"));
    }
    violations
}
