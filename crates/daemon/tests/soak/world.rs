//! One day: a fleet, its callers, its faults.

use super::SUSPENDED;
use super::callers;
use super::check::{EVENTS, Record};
use super::faults::{self, Fault};
use super::util::gateway::{Fleet, Plan};
use super::util::proxy::{Mode, Proxy};
use serde_json::json;
use standin::objects;
use standin::runner::{self, Config};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Length of the faults.
const LENGTH: Duration = Duration::from_secs(8);
/// Time after the last fault in which every accepted job must be done.
const SETTLE: Duration = Duration::from_secs(40);
/// Callers of streams and of jobs.
const CALLERS: [usize; 2] = [6, 3];

/// What is to be undone, and when.
enum Undo {
    Start(usize),
    Thaw(usize),
    Platform(usize),
    Runner(usize),
    Peers,
    Store,
    Engine(usize),
    Return(usize),
}

struct World {
    fleet: Fleet,
    platforms: Vec<Proxy>,
    runners: Vec<Proxy>,
    record: Arc<Record>,
    version: Arc<AtomicU64>,
    due: BTreeMap<(Instant, usize), Undo>,
    next: usize,
    /// How long each gateway was suspended since its start; `None` on days without.
    asleep: Option<Vec<Duration>>,
}

/// Plays the day of a seed and gives the promises that were broken.
pub fn play(seed: u64) -> Vec<String> {
    let mut world = World::start();
    world.asleep = (seed >= SUSPENDED).then(|| vec![Duration::ZERO; world.fleet.gateways.len()]);
    let over = Arc::new(AtomicBool::new(false));
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let fronts: Vec<_> = world.fleet.gateways.iter().map(|gateway| gateway.front_address).collect();
    let (record, version) = (world.record.clone(), world.version.clone());
    let mut tasks = Vec::new();
    for n in 0..CALLERS[0] {
        let task = callers::ask(n, fronts.clone(), record.clone(), over.clone());
        tasks.push(runtime.spawn(task));
    }
    for n in 0..CALLERS[1] {
        let task = callers::batch(n, fronts.clone(), record.clone(), over.clone());
        tasks.push(runtime.spawn(task));
    }
    let probe = callers::probe(fronts.clone(), record.clone(), version, over.clone());
    tasks.push(runtime.spawn(probe));
    for (pause, fault) in faults::day(seed, fronts.len(), world.runners.len(), LENGTH) {
        world.wait(pause);
        world.strike(fault);
    }
    world.heal();
    over.store(true, Ordering::Relaxed);
    runtime.block_on(async {
        for task in tasks {
            task.await.expect("a caller");
        }
        callers::settle(fronts, record.clone(), Instant::now() + SETTLE).await;
    });
    println!("seed {seed}: {}; logs in {}", record.counts(), world.fleet.dir.display());
    let runs = world.fleet.runs("/");
    record.broken(&runs)
}

impl World {
    fn start() -> World {
        let engine = |n: usize| Config {
            id: format!("r{n}"),
            events: EVENTS,
            pace: Duration::from_millis(15),
            ..Config::default()
        };
        let runners = vec![("east", engine(0)), ("west", engine(1)), ("east", engine(2))];
        let plan = Plan { runners, ..Plan::default() };
        let gateways = plan.gateways.len();
        let mut proxies = Vec::new();
        let fleet = Fleet::start_behind_proxies(plan, |address| {
            let proxy = Proxy::start(address);
            proxies.push(proxy.clone());
            proxy.address
        });
        // The platform's come first, one for each gateway.
        let runners = proxies.split_off(gateways);
        let platforms = proxies;
        for runner in &fleet.runners {
            runner.fail_all("-poison", 422);
        }
        let version = Arc::new(AtomicU64::new(10));
        let record = Arc::new(Record::default());
        let mut world = World {
            fleet,
            platforms,
            runners,
            record,
            version,
            due: BTreeMap::new(),
            next: 0,
            asleep: None,
        };
        world.configure();
        world.fleet.wait_ready();
        world
    }

    /// Writes the next version; one route stands in it alone.
    fn configure(&mut self) {
        let version = self.version.load(Ordering::Relaxed) + 1;
        let mut config = self.fleet.config(version);
        let mut route = config["routes"][3].clone();
        route["name"] = json!(format!("at-{version}"));
        route["path_prefix"] = json!(format!("/at-{version}/"));
        if let Some(routes) = config["routes"].as_array_mut() {
            routes.push(route);
        }
        self.fleet.objects.put("config", "main", config);
        self.version.store(version, Ordering::Relaxed);
    }

    fn later(&mut self, after: Duration, undo: Undo) {
        self.next += 1;
        self.due.insert((Instant::now() + after, self.next), undo);
    }

    fn wait(&mut self, pause: Duration) {
        let until = Instant::now() + pause;
        loop {
            let now = Instant::now();
            let first = self.due.keys().next().copied();
            match first {
                Some(key) if key.0 <= now => {
                    if let Some(undo) = self.due.remove(&key) {
                        self.undo(undo);
                    }
                }
                _ if now >= until => return,
                _ => std::thread::sleep(Duration::from_millis(5)),
            }
        }
    }

    fn strike(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(n, down) => {
                self.fleet.gateways[n].kill();
                self.later(down, Undo::Start(n));
            }
            Fault::KillAll(down) => {
                for n in 0..self.fleet.gateways.len() {
                    self.fleet.gateways[n].kill();
                    self.later(down, Undo::Start(n));
                }
            }
            Fault::Stop(n) => {
                if self.fleet.gateways[n].is_running() {
                    self.fleet.gateways[n].thaw();
                    self.fleet.gateways[n].terminate();
                    self.later(Duration::from_millis(400), Undo::Start(n));
                }
            }
            Fault::Freeze(n, time) => {
                if self.fleet.gateways[n].is_running() {
                    self.fleet.gateways[n].freeze();
                    if let Some(asleep) = &mut self.asleep {
                        asleep[n] += time;
                        self.fleet.gateways[n].simulate_suspension(asleep[n]);
                    }
                    self.later(time, Undo::Thaw(n));
                }
            }
            Fault::Platform(n, mode, time) => {
                self.platforms[n].set_mode(mode);
                self.later(time, Undo::Platform(n));
            }
            Fault::Runner(n, mode, time) => {
                self.runners[n].set_mode(mode);
                self.later(time, Undo::Runner(n));
            }
            Fault::Peers(n, time) => {
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
                self.later(time, Undo::Peers);
            }
            Fault::Store(faults, time) => {
                self.fleet.objects.set_faults(faults);
                self.later(time, Undo::Store);
            }
            Fault::Forget => self.fleet.objects.forget_history(),
            Fault::Engine(n, faults, time) => {
                self.fleet.runners[n].set_faults(faults);
                self.later(time, Undo::Engine(n));
            }
            Fault::Leave(n, time) => {
                self.fleet.set_runner_state(n, "draining");
                self.later(time, Undo::Return(n));
            }
            Fault::Configure => self.configure(),
        }
    }

    fn undo(&mut self, undo: Undo) {
        match undo {
            Undo::Start(n) => {
                let is_running = self.fleet.gateways[n].is_running();
                if is_running && !self.fleet.gateways[n].is_stopping() {
                    return; // Started by an earlier undo.
                }
                if is_running {
                    self.later(Duration::from_millis(200), Undo::Start(n));
                    return;
                }
                self.record.on_start(n);
                self.asleep.iter_mut().for_each(|asleep| asleep[n] = Duration::ZERO);
                self.fleet.restart(n);
                self.record.on_start(n);
            }
            Undo::Thaw(n) => {
                if self.fleet.gateways[n].is_running() {
                    self.fleet.gateways[n].thaw();
                }
            }
            Undo::Platform(n) => self.platforms[n].set_mode(Mode::Pass),
            Undo::Runner(n) => self.runners[n].set_mode(Mode::Pass),
            Undo::Peers => self.fleet.gateways.iter().for_each(|g| g.set_unreachable(&[])),
            Undo::Store => self.fleet.objects.set_faults(objects::Faults::default()),
            Undo::Engine(n) => self.fleet.runners[n].set_faults(runner::Faults::default()),
            Undo::Return(n) => self.fleet.set_runner_state(n, "ready"),
        }
    }

    /// Undoes all that is left.
    fn heal(&mut self) {
        while let Some((_, undo)) = self.due.pop_first() {
            self.undo(undo);
            if self.due.values().all(|undo| matches!(undo, Undo::Start(_))) {
                std::thread::sleep(Duration::from_millis(20));
            }
        }
    }
}
