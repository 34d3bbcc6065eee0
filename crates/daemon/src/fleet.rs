//! State of the targets, shared by the front end, batch and control workers.

mod selection;

pub use selection::{Requirements, TargetGuard, is_servable, pick};

use coordination::admission::PeerLoad;
use coordination::ejection::{Availability, Health};
use coordination::hash;
use coordination::limit::ConcurrencyLimit;
use coordination::load::{self, Estimate};
use coordination::route::{self, Candidate};
use protocol::config::{Document, Protocol, Service, Target};
use protocol::{DataCentreId, ServiceId, TargetId};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};
use transport::target::LoadReport;

/// Locks a mutex, ignoring poison: the data behind these locks stays valid after a panic.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Unanswered load reports in a row after which a target counts as unresponsive. Two
/// tolerate one pause of the target; a third would delay each waiting request by another
/// second.
const MISSED_REPORTS_UNTIL_UNRESPONSIVE: u32 = 2;
/// Unanswered load reports in a row after which a silence is no longer taken for a pause.
const MISSED_REPORTS_UNTIL_GONE: u32 = 5;

/// Targets whose online load changed since it was last sent to their owners.
#[derive(Debug, Default)]
pub struct ChangedLoads {
    targets: Mutex<Vec<Arc<FleetTarget>>>,
    /// Signals that the list is no longer empty.
    pub signal: Notify,
}

impl ChangedLoads {
    /// Takes all listed targets; a later change lists its target again.
    pub fn take(&self) -> Vec<Arc<FleetTarget>> {
        let targets = std::mem::take(&mut *lock(&self.targets));
        targets.iter().for_each(|target| target.is_load_changed.store(false, Ordering::Relaxed));
        targets
    }
}

/// Runtime state of a target.
#[derive(Debug)]
pub struct State {
    /// Estimate of the requests running there.
    pub load: Estimate,
    /// Limit of concurrent requests from this instance.
    pub concurrency: ConcurrencyLimit,
    /// Recent failures, for ejection.
    pub health: Health,
    /// Online requests of other instances, where this one owns the target.
    pub peer_load: PeerLoad,
    /// Its last load report; `None` before the first.
    pub report: Option<LoadReport>,
}

/// A target with its runtime state.
#[derive(Debug)]
pub struct FleetTarget {
    /// Configuration that this state was built for.
    pub config: Target,
    /// Hash of its name, for ranking.
    pub id: u64,
    /// Its runtime state.
    pub state: Mutex<State>,
    /// Whether its load reports go unanswered; waiting streams subscribe to this.
    unresponsive: watch::Sender<bool>,
    /// Load reports in a row that it left unanswered.
    missed_reports: AtomicU32,
    /// Online requests that this instance last reported to the target's owner.
    pub reported_online: AtomicU32,
    /// Whether it is listed in [`ChangedLoads`].
    is_load_changed: AtomicBool,
    changed_loads: Arc<ChangedLoads>,
}

impl FleetTarget {
    fn new(config: Target, changed_loads: Arc<ChangedLoads>) -> FleetTarget {
        let state = State {
            load: Estimate::default(),
            concurrency: ConcurrencyLimit::new(config.slots),
            health: Health::default(),
            peer_load: PeerLoad::default(),
            report: None,
        };
        let id = hash::bytes(config.name.as_bytes());
        FleetTarget {
            config,
            id,
            state: Mutex::new(state),
            unresponsive: watch::Sender::new(false),
            missed_reports: AtomicU32::new(0),
            reported_online: AtomicU32::new(0),
            is_load_changed: AtomicBool::new(false),
            changed_loads,
        }
    }

    /// Counts a load report that wasn't answered in time.
    pub fn on_unresponsive(&self, now: Instant) {
        let missed = self.missed_reports.fetch_add(1, Ordering::Relaxed) + 1;
        match missed {
            MISSED_REPORTS_UNTIL_UNRESPONSIVE => {
                lock(&self.state).health.on_silent(now);
                self.unresponsive.send_replace(true);
            }
            MISSED_REPORTS_UNTIL_GONE => lock(&self.state).health.on_unresponsive(now),
            // One silence counts once, and once more if it is no pause.
            _ => {}
        }
    }

    /// Ends a silence: the target responds again. A pause leaves nothing against it.
    pub fn on_response(&self) {
        self.missed_reports.store(0, Ordering::Relaxed);
        self.unresponsive.send_replace(false);
        let health = &mut lock(&self.state).health;
        if health.is_first_silence() {
            health.on_success();
        }
    }

    /// Whether its load reports go unanswered.
    pub fn is_unresponsive(&self) -> bool {
        *self.unresponsive.borrow()
    }

    /// Waits until the target is unresponsive.
    pub async fn wait_unresponsive(&self) {
        let mut unresponsive = self.unresponsive.subscribe();
        // The sender lives as long as `self`, so the wait can't fail.
        drop(unresponsive.wait_for(|unresponsive| *unresponsive).await);
    }

    /// Records a load report that was requested at `now`.
    pub fn on_report(&self, report: LoadReport, now: Instant) {
        self.on_response();
        let mut state = lock(&self.state);
        state.load.on_report(load::Report { online: report.online, batch: report.batch, at: now });
        state.report = Some(report);
    }

    /// Lists the target, so that its owner is sent the new load.
    fn on_load_changed(self: &Arc<FleetTarget>) {
        if !self.is_load_changed.swap(true, Ordering::Relaxed) {
            lock(&self.changed_loads.targets).push(self.clone());
            self.changed_loads.signal.notify_one();
        }
    }

    /// Model version of its last load report; `None` before the first.
    pub fn version(&self) -> Option<String> {
        lock(&self.state).report.as_ref().map(|report| report.version.clone())
    }

    /// How much the target may be used; not at all while its load reports go unanswered.
    pub fn availability(&self, now: Instant) -> Availability {
        if self.is_unresponsive() {
            return Availability::Ejected;
        }
        lock(&self.state).health.availability(now)
    }

    /// Whether a first silence is all that is known against the target.
    fn is_first_silence(&self) -> bool {
        lock(&self.state).health.is_first_silence()
    }

    /// The target as a candidate for a request. A first silence excludes it only if `is_strict`.
    fn candidate(&self, data_centre: &str, is_strict: bool, now: Instant) -> Candidate {
        let availability = self.availability(now);
        let state = lock(&self.state);
        let online = state.load.online(now);
        let own = state.load.own();
        let slots = self.config.slots;
        let most = match availability {
            _ if !is_strict && state.health.is_first_silence() => state.concurrency.limit(),
            Availability::Ejected => 0,
            Availability::Probation => 1,
            Availability::Full => state.concurrency.limit(),
        };
        let capacity = most.saturating_sub(own);
        // One and a half times the slots keep the engine's queue short, and a request ready
        // for the next free slot.
        let queue = (slots + slots.div_ceil(2)).saturating_sub(online);
        let local = self.config.data_centre == data_centre;
        Candidate { id: self.id, local, online, slots, free: capacity.min(queue) }
    }
}

/// Counts of one service on this instance.
#[derive(Debug, Default)]
pub struct Counts {
    /// Requests that wait for a target.
    pub waiting: AtomicU32,
    /// Requests that run at a target.
    pub running: AtomicU32,
    /// Moving mean of request durations, in microseconds; 0 before the first.
    pub mean_duration_us: AtomicU64,
    /// Signals that a request ended and its slot is free.
    pub slot_freed: Notify,
}

const MEAN_WINDOW: u64 = 8;

impl Counts {
    fn on_request_end(&self, elapsed: Duration) {
        let elapsed = elapsed.as_micros() as u64;
        let mean = self.mean_duration_us.load(Ordering::Relaxed);
        let next =
            if mean == 0 { elapsed } else { mean - mean / MEAN_WINDOW + elapsed / MEAN_WINDOW };
        self.mean_duration_us.store(next, Ordering::Relaxed);
        self.running.fetch_sub(1, Ordering::Relaxed);
        self.slot_freed.notify_one();
    }
}

/// A service and its usable targets.
#[derive(Debug)]
pub struct ServiceTargets {
    /// Configuration of the service.
    pub service: Service,
    /// Its targets, without those that are leaving.
    pub targets: Vec<Arc<FleetTarget>>,
    /// Its counts, shared by all snapshots.
    pub counts: Arc<Counts>,
}

/// Immutable snapshot that requests are routed by.
#[derive(Debug, Default)]
pub struct View {
    /// The configuration in force.
    pub document: Arc<Document>,
    /// Services with their usable targets.
    pub services: BTreeMap<ServiceId, ServiceTargets>,
    /// All targets, including those that are leaving.
    pub targets: BTreeMap<TargetId, Arc<FleetTarget>>,
    /// Targets that get no new requests.
    pub leaving: HashSet<TargetId>,
    /// Whether the configuration in force is loaded, so that this instance may serve.
    pub ready: bool,
}

impl View {
    /// The plain service with the longest prefix of `path`.
    pub fn plain_service(&self, path: &str) -> Option<&ServiceTargets> {
        let is_plain = |s: &&ServiceTargets| s.service.protocol == Protocol::Plain;
        let fits = |s: &&ServiceTargets| path.starts_with(&s.service.prefix);
        let found = self.services.values().filter(is_plain).filter(fits);
        found.max_by_key(|s| s.service.prefix.len())
    }
}

/// State of targets and services that outlives a snapshot.
#[derive(Debug, Default)]
pub struct Fleet {
    targets: Mutex<HashMap<TargetId, Arc<FleetTarget>>>,
    counts: Mutex<HashMap<ServiceId, Arc<Counts>>>,
    /// Targets whose load must be sent to their owners.
    pub changed_loads: Arc<ChangedLoads>,
}

/// The instance that a snapshot is made for.
#[derive(Clone, Debug)]
pub struct ViewContext {
    /// Id of the instance.
    pub me: u64,
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
    /// Maximum number of targets that it uses, shared equally by the services.
    pub max_targets: usize,
}

const MIN_TARGETS_PER_SERVICE: usize = 6;

impl Fleet {
    /// Builds a snapshot of `document` whose services have no targets in `leaving`.
    pub fn view(
        &self,
        document: Document,
        leaving: HashSet<TargetId>,
        context: &ViewContext,
        ready: bool,
    ) -> View {
        let targets = self.targets(&document);
        let max_per_service =
            (context.max_targets / document.services.len().max(1)).max(MIN_TARGETS_PER_SERVICE);
        let mut services = BTreeMap::new();
        for service in document.services.values() {
            let of_service =
                targets.values().filter(|target| target.config.service == service.name);
            let usable = of_service.filter(|target| !leaving.contains(&target.config.name));
            let targets = subset(usable.cloned().collect(), context, max_per_service);
            let counts = lock(&self.counts).entry(service.name.clone()).or_default().clone();
            services.insert(
                service.name.clone(),
                ServiceTargets { service: service.clone(), targets, counts },
            );
        }
        View { document: Arc::new(document), services, targets, leaving, ready }
    }

    fn targets(&self, document: &Document) -> BTreeMap<TargetId, Arc<FleetTarget>> {
        let mut known = lock(&self.targets);
        known.retain(|name, target| {
            let config = document.targets.get(name);
            config.is_some_and(|t| {
                t.address == target.config.address && t.slots == target.config.slots
            })
        });
        for config in document.targets.values() {
            let target = known.get(&config.name);
            let is_same = target.is_some_and(|target| target.config == *config);
            if !is_same {
                let added = FleetTarget::new(config.clone(), self.changed_loads.clone());
                if let Some(target) = target {
                    lock(&added.state).report.clone_from(&lock(&target.state).report);
                }
                known.insert(config.name.clone(), Arc::new(added));
            }
        }
        known.iter().map(|(name, target)| (name.clone(), target.clone())).collect()
    }
}

fn subset(
    targets: Vec<Arc<FleetTarget>>,
    context: &ViewContext,
    max_targets: usize,
) -> Vec<Arc<FleetTarget>> {
    if targets.len() <= max_targets {
        return targets;
    }
    let is_local = |target: &&Arc<FleetTarget>| target.config.data_centre == context.data_centre;
    let local: Vec<u64> = targets.iter().filter(is_local).map(|target| target.id).collect();
    let remote: Vec<u64> =
        targets.iter().filter(|n| !is_local(n)).map(|target| target.id).collect();
    let mut selected = route::subset(context.me, &local, max_targets.saturating_sub(2));
    let remaining = max_targets - selected.len();
    selected.extend(route::subset(context.me, &remote, remaining));
    targets.into_iter().filter(|target| selected.contains(&target.id)).collect()
}
