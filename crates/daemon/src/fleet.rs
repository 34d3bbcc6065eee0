//! The targets as this instance knows them, shared by front, batch and control.

use coordination::admission::PeerLoad;
use coordination::ejection::{Availability, Health};
use coordination::hash;
use coordination::limit::ConcurrencyLimit;
use coordination::load::{self, Estimate};
use coordination::route::{self, Candidate, Policy};
use protocol::config::{Document, Protocol, Service, Target};
use protocol::{DataCentreId, ServiceId, TargetId};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};
use transport::target::LoadReport;

/// Locks a mutex; a panic elsewhere leaves plain data that is still usable.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Reports in a row without an answer after which a target counts as unresponsive. One
/// may be lost to a pause of its own; waiting for a third costs every request
/// that was sent there another second.
const MISSED_REPORTS_UNTIL_UNRESPONSIVE: u32 = 2;

/// Targets whose online load changed since the peers were told.
#[derive(Debug, Default)]
pub struct ChangedLoads {
    nodes: Mutex<Vec<Arc<Node>>>,
    /// Signals that there is one.
    pub signal: Notify,
}

impl ChangedLoads {
    /// Takes all of them; a change from now on lists its target again.
    pub fn take(&self) -> Vec<Arc<Node>> {
        let nodes = std::mem::take(&mut *lock(&self.nodes));
        nodes.iter().for_each(|node| node.is_load_changed.store(false, Ordering::Relaxed));
        nodes
    }
}

/// What changes about a target from moment to moment.
#[derive(Debug)]
pub struct State {
    /// Online load.
    pub load: Estimate,
    /// How much it is given at once.
    pub concurrency: ConcurrencyLimit,
    /// Whether it fails.
    pub health: Health,
    /// Online requests of other instances, where this one decides on batch.
    pub peer_load: PeerLoad,
    /// Its last report.
    pub report: Option<LoadReport>,
}

/// A target.
#[derive(Debug)]
pub struct Node {
    /// Its configuration.
    pub target: Target,
    /// Hash of its name.
    pub id: u64,
    /// What changes.
    pub state: Mutex<State>,
    /// Whether it leaves its load reports unanswered; streams that wait for it
    /// watch this.
    unresponsive: watch::Sender<bool>,
    /// Reports in a row that it left unanswered.
    missed_reports: AtomicU32,
    /// The count of online requests that its owner was last told.
    pub reported_online: AtomicU32,
    /// Whether it waits in the list of targets whose load is to be told.
    is_load_changed: AtomicBool,
    changed_loads: Arc<ChangedLoads>,
}

impl Node {
    fn new(target: Target, changed_loads: Arc<ChangedLoads>) -> Node {
        let state = State {
            load: Estimate::default(),
            concurrency: ConcurrencyLimit::new(target.slots),
            health: Health::default(),
            peer_load: PeerLoad::default(),
            report: None,
        };
        let id = hash::bytes(target.name.as_bytes());
        Node {
            target,
            id,
            state: Mutex::new(state),
            unresponsive: watch::Sender::new(false),
            missed_reports: AtomicU32::new(0),
            reported_online: AtomicU32::new(0),
            is_load_changed: AtomicBool::new(false),
            changed_loads,
        }
    }

    /// A report wasn't answered in time.
    pub fn on_unresponsive(&self, now: Instant) {
        if self.missed_reports.fetch_add(1, Ordering::Relaxed) + 1
            >= MISSED_REPORTS_UNTIL_UNRESPONSIVE
        {
            self.unresponsive.send_replace(true);
            lock(&self.state).health.on_unresponsive(now);
        }
    }

    /// Waits until the target counts as unresponsive.
    pub async fn wait_unresponsive(&self) {
        let mut unresponsive = self.unresponsive.subscribe();
        // The sender lives as long as the target, so this can't fail here.
        drop(unresponsive.wait_for(|unresponsive| *unresponsive).await);
    }

    /// Takes in a report.
    pub fn on_report(&self, report: LoadReport, now: Instant) {
        self.missed_reports.store(0, Ordering::Relaxed);
        self.unresponsive.send_replace(false);
        let mut state = lock(&self.state);
        state.load.on_report(load::Report { online: report.online, batch: report.batch, at: now });
        state.report = Some(report);
    }

    /// Its online load changed: the instance that decides on batch there must hear.
    fn on_load_changed(self: &Arc<Node>) {
        if !self.is_load_changed.swap(true, Ordering::Relaxed) {
            lock(&self.changed_loads.nodes).push(self.clone());
            self.changed_loads.signal.notify_one();
        }
    }

    /// Model version that it last reported; `None` before the first report.
    pub fn version(&self) -> Option<String> {
        lock(&self.state).report.as_ref().map(|report| report.version.clone())
    }

    fn candidate(&self, here: &str, now: Instant) -> Candidate {
        let state = lock(&self.state);
        let online = state.load.online(now);
        let own = state.load.own();
        let slots = self.target.slots;
        let capacity = match state.health.availability(now) {
            Availability::Ejected => 0,
            Availability::Probation => 1u32.saturating_sub(own),
            Availability::Full => state.concurrency.limit().saturating_sub(own),
        };
        // Half again as many as there are slots keeps the engine's queue short
        // while there is always a request ready for the next free slot.
        let queue = (slots + slots.div_ceil(2)).saturating_sub(online);
        let local = self.target.data_centre == here;
        Candidate { id: self.id, local, online, slots, free: capacity.min(queue) }
    }
}

/// One service's counts on this instance.
#[derive(Debug, Default)]
pub struct Counts {
    /// Requests waiting for a target.
    pub waiting: AtomicU32,
    /// Requests running.
    pub running: AtomicU32,
    /// Mean time of a request, in microseconds.
    pub mean_duration_us: AtomicU64,
    /// Signals that a target became free.
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

/// A service and the targets that may serve it now.
#[derive(Debug)]
pub struct ServiceTargets {
    /// Its configuration.
    pub service: Service,
    /// Its targets, leaving ones left out.
    pub nodes: Vec<Arc<Node>>,
    /// Its counts.
    pub counts: Arc<Counts>,
}

/// What routing reads: a snapshot that never changes.
#[derive(Debug, Default)]
pub struct View {
    /// The configuration in force.
    pub document: Arc<Document>,
    /// Services with their usable targets.
    pub services: BTreeMap<ServiceId, ServiceTargets>,
    /// All targets, leaving ones too.
    pub nodes: BTreeMap<TargetId, Arc<Node>>,
    /// Targets that get no new work.
    pub leaving: HashSet<TargetId>,
    /// Whether this instance may serve.
    pub ready: bool,
}

impl View {
    /// The plain service whose prefix fits `path`, the longest first.
    pub fn plain_service(&self, path: &str) -> Option<&ServiceTargets> {
        let is_plain = |b: &&ServiceTargets| b.service.protocol == Protocol::Plain;
        let fits = |b: &&ServiceTargets| path.starts_with(&b.service.prefix);
        let found = self.services.values().filter(is_plain).filter(fits);
        found.max_by_key(|b| b.service.prefix.len())
    }
}

/// State of targets and services that outlives one snapshot.
#[derive(Debug, Default)]
pub struct Fleet {
    nodes: Mutex<HashMap<TargetId, Arc<Node>>>,
    counts: Mutex<HashMap<ServiceId, Arc<Counts>>>,
    /// Targets whose load is to be told.
    pub changed_loads: Arc<ChangedLoads>,
}

/// What a snapshot is made for.
#[derive(Clone, Debug)]
pub struct ViewContext {
    /// This instance.
    pub me: u64,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Most targets that it uses.
    pub max_targets: usize,
}

const MIN_TARGETS_PER_SERVICE: usize = 6;

impl Fleet {
    /// A snapshot of `document` without the targets in `leaving`.
    pub fn view(
        &self,
        document: Document,
        leaving: HashSet<TargetId>,
        context: &ViewContext,
        ready: bool,
    ) -> View {
        let nodes = self.nodes(&document);
        let max_per_service =
            (context.max_targets / document.services.len().max(1)).max(MIN_TARGETS_PER_SERVICE);
        let mut services = BTreeMap::new();
        for service in document.services.values() {
            let of_service = nodes.values().filter(|node| node.target.service == service.name);
            let usable = of_service.filter(|node| !leaving.contains(&node.target.name));
            let nodes = subset(usable.cloned().collect(), context, max_per_service);
            let counts = lock(&self.counts).entry(service.name.clone()).or_default().clone();
            services.insert(
                service.name.clone(),
                ServiceTargets { service: service.clone(), nodes, counts },
            );
        }
        View { document: Arc::new(document), services, nodes, leaving, ready }
    }

    fn nodes(&self, document: &Document) -> BTreeMap<TargetId, Arc<Node>> {
        let mut known = lock(&self.nodes);
        known.retain(|name, node| {
            let target = document.targets.get(name);
            target.is_some_and(|t| t.address == node.target.address && t.slots == node.target.slots)
        });
        for target in document.targets.values() {
            let node = known.get(&target.name);
            let is_same = node.is_some_and(|node| node.target == *target);
            if !is_same {
                let added = Node::new(target.clone(), self.changed_loads.clone());
                if let Some(node) = node {
                    lock(&added.state).report.clone_from(&lock(&node.state).report);
                }
                known.insert(target.name.clone(), Arc::new(added));
            }
        }
        known.iter().map(|(name, node)| (name.clone(), node.clone())).collect()
    }
}

fn subset(nodes: Vec<Arc<Node>>, context: &ViewContext, max_targets: usize) -> Vec<Arc<Node>> {
    if nodes.len() <= max_targets {
        return nodes;
    }
    let is_local = |node: &&Arc<Node>| node.target.data_centre == context.data_centre;
    let local: Vec<u64> = nodes.iter().filter(is_local).map(|node| node.id).collect();
    let remote: Vec<u64> = nodes.iter().filter(|n| !is_local(n)).map(|node| node.id).collect();
    let mut selected = route::subset(context.me, &local, max_targets.saturating_sub(2));
    let remaining = max_targets - selected.len();
    selected.extend(route::subset(context.me, &remote, remaining));
    nodes.into_iter().filter(|node| selected.contains(&node.id)).collect()
}

/// What a request asks of a target.
#[derive(Clone, Debug, Default)]
pub struct Requirements {
    /// Model version, when the caller names one.
    pub version: Option<String>,
    /// Adapter, when the caller names one.
    pub adapter: Option<String>,
    /// Hash for prefix affinity.
    pub prefix: u64,
}

impl Requirements {
    fn is_met_by(&self, node: &Node, service: &Service) -> bool {
        if service.protocol == Protocol::Plain {
            return true;
        }
        let loaded = node.version();
        let version = self.version.as_deref();
        // A target whose report hasn't come yet is given the benefit of the
        // doubt for the version in force, not for another one.
        let has_version = match (&loaded, version) {
            (Some(loaded), Some(wanted)) => loaded == wanted,
            (Some(loaded), None) => !loaded.is_empty(),
            (None, Some(wanted)) => *wanted == service.version,
            (None, None) => true,
        };
        let has_adapter = |name: &String| node.target.adapters.contains(name);
        has_version && self.adapter.as_ref().is_none_or(has_adapter)
    }
}

/// Whether a service could ever serve what is wanted.
pub fn is_servable(bound: &ServiceTargets, requirements: &Requirements) -> bool {
    bound.nodes.is_empty()
        || bound.nodes.iter().any(|node| requirements.is_met_by(node, &bound.service))
}

/// A request's hold on a target; dropping it counts the request as over.
#[derive(Debug)]
pub struct TargetGuard {
    /// The target.
    pub node: Arc<Node>,
    counts: Arc<Counts>,
    since: Instant,
}

impl TargetGuard {
    /// The request ended well.
    pub fn on_success(&self) {
        let mut state = lock(&self.node.state);
        state.concurrency.on_success();
        state.health.on_success();
    }

    /// The request failed through the target's fault.
    pub fn on_failure(&self, now: Instant) {
        let mut state = lock(&self.node.state);
        state.concurrency.on_failure();
        state.health.on_failure(now);
    }
}

impl Drop for TargetGuard {
    fn drop(&mut self) {
        lock(&self.node.state).load.on_end();
        self.node.on_load_changed();
        self.counts.on_request_end(self.since.elapsed());
    }
}

/// Picks a target for an online request and holds it; `None` when none is free.
pub fn pick(
    bound: &ServiceTargets,
    requirements: &Requirements,
    excluded: &[TargetId],
    here: &str,
    now: Instant,
) -> Option<TargetGuard> {
    let suitable = |node: &&Arc<Node>| requirements.is_met_by(node, &bound.service);
    let not_excluded = |node: &&Arc<Node>| !excluded.contains(&node.target.name);
    let nodes: Vec<&Arc<Node>> = bound.nodes.iter().filter(suitable).filter(not_excluded).collect();
    let candidates: Vec<Candidate> = nodes.iter().map(|node| node.candidate(here, now)).collect();
    let draws = [rand::random(), rand::random()];
    let selected = route::pick(requirements.prefix, &candidates, Policy::default(), draws)?;
    let node = nodes[selected].clone();
    {
        let mut state = lock(&node.state);
        state.load.on_start();
        let online = state.load.online(now);
        state.peer_load.record(online, now);
    }
    node.on_load_changed();
    bound.counts.running.fetch_add(1, Ordering::Relaxed);
    Some(TargetGuard { node, counts: bound.counts.clone(), since: now })
}
