//! A scenario of the soak test: a fleet, its callers and the faults of a seed.

use super::callers::{self, Patience};
use super::calm::{Disturbances, PlacedRun};
use super::check::Recorder;
use super::class::Class;
use super::inject::Undo;
use super::planned::{self, Phase};
use super::route_changes;
use super::util::gateway::routes::add_routes;
use super::util::gateway::{Fleet, Plan};
use super::util::proxy::Proxy;
use super::util::wait_until;
use hyper::Version;
use platform::release;
use serde_json::json;
use standin::prompt_memory::Tokens;
use standin::runner::Runner;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;

/// Time after the last fault within which every accepted job must be completed.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(40);
/// Numbers of callers of streams and of jobs.
const CALLERS: [usize; 2] = [callers::STREAM_KEYS.len(), 3];
/// Number of callers of streams that make slots scarce.
const MANY_CALLERS: usize = 18;
/// Data centres of gateways and of runners, in turn.
pub(super) const DATA_CENTRES: [&str; 3] = ["east", "east", "west"];
const RUNNER_DATA_CENTRES: [&str; 6] = ["east", "west", "east", "west", "east", "east"];
/// Software versions of the runners.
pub(super) const VERSIONS: [&str; 4] = ["v1", "v2", "v3", "v4"];
/// Tokens that a runner keeps: not all shared parts.
pub(super) const MEMORY_TOKENS: u64 = 9_000;
/// Routes of a large configuration.
const MANY_ROUTES: usize = 1_446;
/// Tokens that may wait on the route of the jobs where it has a limit: those of a few jobs.
const MAX_QUEUED_TOKENS: u64 = 120;
/// Every configuration with such a version lacks the route of the jobs where it is removed.
const REMOVAL_INTERVAL: u64 = 2;

pub(super) struct Scenario {
    pub(super) fleet: Fleet,
    pub(super) platform_proxies: Vec<Proxy>,
    pub(super) runner_proxies: Vec<Proxy>,
    pub(super) record: Arc<Recorder>,
    /// Time that each gateway was suspended since its start; `None` without suspensions.
    pub(super) suspended_for: Option<Vec<Duration>>,
    pub(super) disturbances: Disturbances,
    pub(super) scheduled: BTreeMap<(Instant, usize), Undo>,
    /// Whether callers begin no streams.
    pub(super) is_quiet: Arc<AtomicBool>,
    class: Class,
    version: Arc<AtomicU64>,
    next_id: usize,
}

/// Runs the scenario of a seed and returns the violated guarantees.
pub fn run(seed: u64) -> Vec<String> {
    let class = Class::of(seed);
    let mut scenario = Scenario::start(class);
    let is_over = Arc::new(AtomicBool::new(false));
    let runtime = Runtime::new().expect("a runtime");
    let fronts: Vec<_> =
        scenario.fleet.gateways.iter().map(|gateway| gateway.front_address).collect();
    let record = scenario.record.clone();
    let tasks = scenario.spawn_callers(&runtime, &fronts, &is_over);
    for phase in class.phases(seed, fronts.len(), scenario.runner_proxies.len()) {
        scenario.play(phase);
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
    if class.has_silences {
        let (lost, summary) =
            scenario.disturbances.check(&record.take_answers(), &scenario.placed_runs());
        println!("seed {seed}: {summary}");
        violations.extend(lost);
    }
    let tokens: Vec<Tokens> = scenario.fleet.runners.iter().map(Runner::tokens).collect();
    println!("seed {seed}: {tokens:?}");
    if tokens.iter().all(|tokens| tokens.found == 0) {
        violations.push(String::from("no runner has found a part that it had read"));
    }
    violations
}

/// Program of an earlier build, which doesn't keep track of how far the list of versions reaches.
fn earlier_build() -> Option<PathBuf> {
    std::env::var_os("GATESPOOL_EARLIER_BUILD").map(PathBuf::from)
}

/// Number of gateways: 3 unless the environment says otherwise.
fn gateway_count() -> usize {
    let count = std::env::var("GATESPOOL_SOAK_GATEWAYS");
    count.map_or(DATA_CENTRES.len(), |count| count.parse().expect("a number"))
}

impl Scenario {
    fn start(class: Class) -> Scenario {
        let gateways = gateway_count();
        let least = if class.has_versions { 6 } else { 3 };
        let runners = (0..gateways.max(least))
            .map(|n| (RUNNER_DATA_CENTRES[n % RUNNER_DATA_CENTRES.len()], class.runner_config(n)));
        let workspace = |key: &&str| json!({ "name": key, "api_keys": [key], "rate_per_s": 1_000, "burst": 1_000 });
        let mut keys: Vec<&str> = callers::STREAM_KEYS.to_vec();
        keys.push(callers::KEY);
        keys.dedup();
        let workspaces = json!(keys.iter().map(workspace).collect::<Vec<_>>());
        let plan = Plan {
            gateways: DATA_CENTRES.into_iter().cycle().take(gateways).collect(),
            runners: runners.collect(),
            workspaces,
            earlier_build: earlier_build(),
            memory_tokens: MEMORY_TOKENS,
            settings: class.settings(),
            max_queued_tokens: if class.has_removals { MAX_QUEUED_TOKENS } else { 0 },
            ..Plan::default()
        };
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
            runner.fail_suffix(callers::FAILING_SUFFIX, callers::FAILING_STATUS);
        }
        let mut scenario = Scenario {
            fleet,
            platform_proxies,
            runner_proxies,
            record: Arc::default(),
            suspended_for: class.has_suspensions.then(|| vec![Duration::ZERO; gateways]),
            disturbances: Disturbances::default(),
            scheduled: BTreeMap::new(),
            is_quiet: Arc::default(),
            class,
            version: Arc::new(AtomicU64::new(10)),
            next_id: 0,
        };
        if class.has_removals || class.has_route_changes {
            scenario.record.expect_removals();
        }
        if class.has_route_changes {
            scenario.record.expect_pages();
        }
        if class.has_stutters && !class.has_other_faults {
            scenario.record.expect_origins();
        }
        for (n, runner) in scenario.fleet.runners.iter().enumerate() {
            scenario.record.on_software(n, &runner.identity().software);
        }
        scenario.configure();
        scenario.fleet.wait_ready();
        if class.has_releases() && earlier_build().is_none() {
            scenario.wait_for_checkpoint();
            if class.has_one_version {
                scenario.record.expect_one_version();
            }
        }
        scenario
    }

    /// Waits until the platform shows that nothing served before.
    fn wait_for_checkpoint(&self) {
        let objects = &self.fleet.objects;
        wait_until("the checkpoint is written", || {
            objects.get(release::KIND, release::CHECKPOINT).is_some()
        });
    }

    fn spawn_callers(
        &self,
        runtime: &Runtime,
        fronts: &[SocketAddr],
        is_over: &Arc<AtomicBool>,
    ) -> Vec<JoinHandle<()>> {
        let Class { is_unframed, has_versions, has_silences, has_stutters, .. } = self.class;
        let patience = match (self.class.has_releases(), has_versions) {
            (true, _) => Patience::Persistent,
            (false, true) => Patience::Some,
            (false, false) => Patience::None,
        };
        let mut tasks = Vec::new();
        let callers =
            if has_silences || self.class.has_releases() { MANY_CALLERS } else { CALLERS[0] };
        for n in 0..callers.max(fronts.len()) {
            let is_old = is_unframed && n % 2 == 0;
            let caller = callers::StreamCaller {
                n,
                version: if is_old { Version::HTTP_10 } else { Version::HTTP_11 },
                patience,
                requests: match (has_stutters, has_silences) {
                    (true, _) => callers::Requests::OFTEN_TAKEN_UP,
                    (false, true) => callers::Requests::OF_ALL_KINDS,
                    (false, false) => callers::Requests::STREAMS,
                },
                fronts: fronts.to_vec(),
                is_quiet: self.is_quiet.clone(),
            };
            let task = callers::send_streams(caller, self.record.clone(), is_over.clone());
            tasks.push(runtime.spawn(task));
        }
        for n in 0..CALLERS[1] {
            let record = self.record.clone();
            let task = callers::submit_jobs(n, fronts.to_vec(), record, is_over.clone());
            tasks.push(runtime.spawn(task));
        }
        let (record, newest) = (self.record.clone(), self.version.clone());
        let probe = callers::poll_versions(fronts.to_vec(), record, newest, is_over.clone());
        tasks.push(runtime.spawn(probe));
        tasks
    }

    /// Injects the faults of a phase. The faults of an unplanned one end with it.
    fn play(&mut self, phase: Phase) {
        let started = Instant::now();
        for (pause, fault) in phase.steps {
            self.wait_and_undo(pause);
            self.inject(fault);
        }
        if !phase.is_planned {
            self.undo_all();
            self.disturbances.periods.push((started, Instant::now()));
        }
    }

    fn placed_runs(&self) -> Vec<PlacedRun> {
        let runners = self.fleet.runners.iter().enumerate();
        runners.flat_map(|(n, runner)| runner.runs().into_iter().map(move |run| (n, run))).collect()
    }

    /// Writes the next version of the configuration, with a route that no other version has.
    pub(super) fn configure(&mut self) {
        let version = self.version.load(Ordering::Relaxed) + 1;
        let mut config = self.fleet.config(version);
        if self.class.has_silences {
            planned::vary(&mut config, version);
        }
        let mut marker = config["routes"][3].clone();
        marker["name"] = json!(format!("at-{version}"));
        marker["path_prefix"] = json!(format!("/at-{version}/"));
        if let Some(routes) = config["routes"].as_array_mut() {
            routes.push(marker);
        }
        if self.class.has_removals && version.is_multiple_of(REMOVAL_INTERVAL) {
            let routes = config["routes"].as_array_mut().expect("routes");
            routes.retain(|route| route["kind"] != "batch");
        }
        if self.class.has_route_changes {
            route_changes::vary(&mut config, version);
        }
        if self.class.has_large_configs {
            add_routes(&mut config, MANY_ROUTES);
        }
        self.fleet.objects.put("config", "main", config);
        self.version.store(version, Ordering::Relaxed);
    }

    pub(super) fn undo_after(&mut self, delay: Duration, undo: Undo) {
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
}
