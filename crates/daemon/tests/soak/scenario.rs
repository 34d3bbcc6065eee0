//! A scenario of the soak test: a fleet, its callers and the faults of a seed.

use super::callers;
use super::check::{EVENTS_PER_RESPONSE, Recorder};
use super::faults::{self, Fault};
use super::util::gateway::{Fleet, Plan};
use super::util::proxy::{Mode, Proxy};
use super::{
    FIRST_FRAMED_VERSIONS_SEED, FIRST_SUSPENSION_SEED, FIRST_UNFRAMED_SEED, FIRST_VERSIONS_SEED,
};
use hyper::Version;
use serde_json::json;
use standin::objects;
use standin::prompt_memory::Tokens;
use standin::runner::{self, Config, Runner};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// How long faults are injected.
const FAULT_PERIOD: Duration = Duration::from_secs(8);
/// Time after the last fault within which every accepted job must be completed.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(40);
/// Numbers of callers of streams and of jobs.
const CALLERS: [usize; 2] = [callers::STREAM_KEYS.len(), 3];
/// Factors to the times of the runners.
const SLOWNESS: [f64; 3] = [1.0, 0.5, 2.0];
/// Software versions of the runners.
pub(super) const VERSIONS: [&str; 2] = ["v1", "v2"];
/// Tokens that a runner keeps: not all shared parts.
const MEMORY_TOKENS: u64 = 9_000;

/// How to undo a fault.
enum Undo {
    Restart(usize),
    Thaw(usize),
    PlatformConnection(usize),
    RunnerConnection(usize),
    PeerPartition,
    PlatformFaults,
    RunnerFaults(usize),
    /// Holds the id of the runner that was replaced.
    RunnerReplacement(usize, String),
    Ready(usize),
}

struct Scenario {
    fleet: Fleet,
    platform_proxies: Vec<Proxy>,
    runner_proxies: Vec<Proxy>,
    record: Arc<Recorder>,
    version: Arc<AtomicU64>,
    scheduled: BTreeMap<(Instant, usize), Undo>,
    next_id: usize,
    /// Time that each gateway was suspended since its start; `None` without suspensions.
    suspended_for: Option<Vec<Duration>>,
}

/// Runs the scenario of a seed and returns the violated guarantees.
pub fn run(seed: u64) -> Vec<String> {
    let is_unframed = (FIRST_UNFRAMED_SEED..FIRST_FRAMED_VERSIONS_SEED).contains(&seed);
    let has_versions = seed >= FIRST_VERSIONS_SEED;
    let mut scenario = Scenario::start(is_unframed, has_versions);
    scenario.suspended_for = (seed >= FIRST_SUSPENSION_SEED)
        .then(|| vec![Duration::ZERO; scenario.fleet.gateways.len()]);
    let is_over = Arc::new(AtomicBool::new(false));
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let fronts: Vec<_> =
        scenario.fleet.gateways.iter().map(|gateway| gateway.front_address).collect();
    let (record, version) = (scenario.record.clone(), scenario.version.clone());
    let mut tasks = Vec::new();
    let is_patient = has_versions;
    for n in 0..CALLERS[0] {
        let version = if is_unframed && n % 2 == 0 { Version::HTTP_10 } else { Version::HTTP_11 };
        let caller = callers::StreamCaller { n, version, is_patient, fronts: fronts.clone() };
        let task = callers::send_streams(caller, record.clone(), is_over.clone());
        tasks.push(runtime.spawn(task));
    }
    for n in 0..CALLERS[1] {
        let task = callers::submit_jobs(n, fronts.clone(), record.clone(), is_over.clone());
        tasks.push(runtime.spawn(task));
    }
    let probe = callers::poll_versions(fronts.clone(), record.clone(), version, is_over.clone());
    tasks.push(runtime.spawn(probe));
    let runners = scenario.runner_proxies.len();
    let mut steps = faults::schedule(seed, fronts.len(), runners, FAULT_PERIOD);
    if is_unframed {
        steps = faults::with_crashes(steps, seed, runners);
    }
    if has_versions {
        steps = faults::with_replacements(steps, seed, runners);
    }
    for (pause, fault) in steps {
        scenario.wait_and_undo(pause);
        scenario.inject(fault);
    }
    scenario.undo_all();
    is_over.store(true, Ordering::Relaxed);
    runtime.block_on(async {
        for task in tasks {
            task.await.expect("a caller");
        }
        callers::read_until_complete(fronts, record.clone(), Instant::now() + COMPLETION_TIMEOUT)
            .await;
    });
    println!("seed {seed}: {}; logs in {}", record.counts(), scenario.fleet.dir.display());
    let runs = scenario.fleet.runs("/");
    let mut violations = record.violations(&runs);
    let tokens: Vec<Tokens> = scenario.fleet.runners.iter().map(Runner::tokens).collect();
    println!("seed {seed}: {tokens:?}");
    if tokens.iter().all(|tokens| tokens.found == 0) {
        violations.push(String::from("no runner has found a part that it had read"));
    }
    violations
}

impl Scenario {
    fn start(is_unframed: bool, has_versions: bool) -> Scenario {
        let config = |n: usize| Config {
            id: format!("r{n}"),
            software: String::from(if has_versions { VERSIONS[n % 2] } else { VERSIONS[0] }),
            event_count: EVENTS_PER_RESPONSE,
            event_interval: Duration::from_millis(15),
            token_time: Duration::from_micros(20),
            memory_tokens: MEMORY_TOKENS,
            slowness: SLOWNESS[n % SLOWNESS.len()],
            is_unframed,
            names_software: has_versions,
            ..Config::default()
        };
        let mut runners = vec![("east", config(0)), ("west", config(1)), ("east", config(2))];
        if has_versions {
            runners.extend([("west", config(3)), ("east", config(4)), ("east", config(5))]);
        }
        let workspace = |key: &&str| json!({ "name": key, "api_keys": [key], "rate_per_s": 1_000, "burst": 1_000 });
        let mut keys: Vec<&str> = callers::STREAM_KEYS.to_vec();
        keys.push(callers::KEY);
        keys.dedup();
        let workspaces = json!(keys.iter().map(workspace).collect::<Vec<_>>());
        let earlier_build = std::env::var_os("GATESPOOL_EARLIER_BUILD").map(PathBuf::from);
        let plan = Plan {
            runners,
            workspaces,
            earlier_build,
            memory_tokens: MEMORY_TOKENS,
            ..Plan::default()
        };
        let gateways = plan.gateways.len();
        let mut proxies = Vec::new();
        let fleet = Fleet::start_behind_proxies(plan, |address| {
            let proxy = Proxy::start(address);
            proxies.push(proxy.clone());
            proxy.address
        });
        // The proxies to the platform come first, one for each gateway.
        let runner_proxies = proxies.split_off(gateways);
        let platform_proxies = proxies;
        for runner in &fleet.runners {
            runner.fail_suffix("-poison", 422);
        }
        let version = Arc::new(AtomicU64::new(10));
        let record = Arc::new(Recorder::default());
        let mut scenario = Scenario {
            fleet,
            platform_proxies,
            runner_proxies,
            record,
            version,
            scheduled: BTreeMap::new(),
            next_id: 0,
            suspended_for: None,
        };
        scenario.configure();
        scenario.fleet.wait_ready();
        scenario
    }

    /// Writes the next version of the configuration, with a route that no other version has.
    fn configure(&mut self) {
        let version = self.version.load(Ordering::Relaxed) + 1;
        let mut config = self.fleet.config(version);
        let mut marker = config["routes"][3].clone();
        marker["name"] = json!(format!("at-{version}"));
        marker["path_prefix"] = json!(format!("/at-{version}/"));
        if let Some(routes) = config["routes"].as_array_mut() {
            routes.push(marker);
        }
        self.fleet.objects.put("config", "main", config);
        self.version.store(version, Ordering::Relaxed);
    }

    fn undo_after(&mut self, delay: Duration, undo: Undo) {
        self.next_id += 1;
        self.scheduled.insert((Instant::now() + delay, self.next_id), undo);
    }

    /// Waits for `pause` and undoes the faults that are due.
    fn wait_and_undo(&mut self, pause: Duration) {
        let end = Instant::now() + pause;
        loop {
            let now = Instant::now();
            let first = self.scheduled.keys().next().copied();
            match first {
                Some(key) if key.0 <= now => {
                    if let Some(undo) = self.scheduled.remove(&key) {
                        self.undo(undo);
                    }
                }
                _ if now >= end => return,
                _ => std::thread::sleep(Duration::from_millis(5)),
            }
        }
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(n, down) => {
                self.fleet.gateways[n].kill();
                self.undo_after(down, Undo::Restart(n));
            }
            Fault::KillAll(down) => {
                for n in 0..self.fleet.gateways.len() {
                    self.fleet.gateways[n].kill();
                    self.undo_after(down, Undo::Restart(n));
                }
            }
            Fault::Terminate(n) => {
                if self.fleet.gateways[n].is_running() {
                    self.fleet.gateways[n].thaw();
                    self.fleet.gateways[n].terminate();
                    self.undo_after(Duration::from_millis(400), Undo::Restart(n));
                }
            }
            Fault::Freeze(n, period) => {
                if self.fleet.gateways[n].is_running() {
                    self.fleet.gateways[n].freeze();
                    if let Some(suspended_for) = &mut self.suspended_for {
                        suspended_for[n] += period;
                        self.fleet.gateways[n].simulate_suspension(suspended_for[n]);
                    }
                    self.undo_after(period, Undo::Thaw(n));
                }
            }
            Fault::PlatformConnection(n, mode, period) => {
                self.platform_proxies[n].set_mode(mode);
                self.undo_after(period, Undo::PlatformConnection(n));
            }
            Fault::RunnerConnection(n, mode, period) => {
                self.runner_proxies[n].set_mode(mode);
                self.undo_after(period, Undo::RunnerConnection(n));
            }
            Fault::RunnerCrash(n, down) => {
                let software = self.fleet.runners[n].identity().software;
                self.restart_runner(n, &software, down);
            }
            Fault::RunnerReplacement(n, down) => {
                let before = self.fleet.runners[n].identity().software;
                let other = VERSIONS.iter().find(|version| **version != before);
                self.restart_runner(n, other.expect("two versions"), down);
            }
            Fault::PeerPartition(n, period) => {
                let own = self.fleet.gateways[n].peer_address;
                let gateways = self.fleet.gateways.iter();
                let others: Vec<_> =
                    gateways.map(|g| g.peer_address).filter(|peer| *peer != own).collect();
                self.fleet.gateways[n].set_unreachable(&others);
                for (other, gateway) in self.fleet.gateways.iter().enumerate() {
                    if other != n {
                        gateway.set_unreachable(&[own]);
                    }
                }
                self.undo_after(period, Undo::PeerPartition);
            }
            Fault::PlatformFaults(faults, period) => {
                self.fleet.objects.set_faults(faults);
                self.undo_after(period, Undo::PlatformFaults);
            }
            Fault::CompactHistory => self.fleet.objects.compact_history(),
            Fault::RunnerFaults(n, faults, period) => {
                self.fleet.runners[n].set_faults(faults);
                self.undo_after(period, Undo::RunnerFaults(n));
            }
            Fault::Drain(n, period) => {
                self.fleet.set_runner_state(n, "draining");
                self.undo_after(period, Undo::Ready(n));
            }
            Fault::Configure => self.configure(),
        }
    }

    /// Ends a runner's process, and starts another one with another id after `down`.
    fn restart_runner(&mut self, n: usize, software: &str, down: Duration) {
        self.runner_proxies[n].set_mode(Mode::Refuse);
        let earlier = self.fleet.replace_runner(n, software);
        self.undo_after(down, Undo::RunnerReplacement(n, earlier));
    }

    fn undo(&mut self, undo: Undo) {
        match undo {
            Undo::Restart(n) => {
                let is_running = self.fleet.gateways[n].is_running();
                if is_running && !self.fleet.gateways[n].is_stopping() {
                    return; // Restarted by an earlier undo.
                }
                if is_running {
                    self.undo_after(Duration::from_millis(200), Undo::Restart(n));
                    return;
                }
                self.record.on_start(n);
                self.suspended_for
                    .iter_mut()
                    .for_each(|suspended_for| suspended_for[n] = Duration::ZERO);
                self.fleet.restart(n);
                self.record.on_start(n);
            }
            Undo::Thaw(n) => {
                if self.fleet.gateways[n].is_running() {
                    self.fleet.gateways[n].thaw();
                }
            }
            Undo::PlatformConnection(n) => self.platform_proxies[n].set_mode(Mode::Pass),
            Undo::RunnerConnection(n) => self.runner_proxies[n].set_mode(Mode::Pass),
            Undo::PeerPartition => self.fleet.gateways.iter().for_each(|g| g.set_unreachable(&[])),
            Undo::PlatformFaults => self.fleet.objects.set_faults(objects::Faults::default()),
            Undo::RunnerFaults(n) => self.fleet.runners[n].set_faults(runner::Faults::default()),
            Undo::RunnerReplacement(n, earlier) => {
                self.runner_proxies[n].set_mode(Mode::Pass);
                self.fleet.register_replacement(n, &earlier);
            }
            Undo::Ready(n) => self.fleet.set_runner_state(n, "ready"),
        }
    }

    /// Undoes all remaining faults.
    fn undo_all(&mut self) {
        while let Some((_, undo)) = self.scheduled.pop_first() {
            self.undo(undo);
            if self.scheduled.values().all(|undo| matches!(undo, Undo::Restart(_))) {
                std::thread::sleep(Duration::from_millis(20));
            }
        }
    }
}
