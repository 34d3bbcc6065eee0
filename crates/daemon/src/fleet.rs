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

/// Reports in a row without an answer after which a target counts as silent. One
/// may be lost to a pause of its own; waiting for a third costs every request
/// that was sent there another second.
const MISSES: u32 = 2;

/// Targets whose online load changed since the peers were told.
#[derive(Debug, Default)]
pub struct Untold {
    nodes: Mutex<Vec<Arc<Node>>>,
    /// Signals that there is one.
    pub signal: Notify,
}

impl Untold {
    /// Takes all of them; a change from now on lists its target again.
    pub fn take(&self) -> Vec<Arc<Node>> {
        let nodes = std::mem::take(&mut *lock(&self.nodes));
        nodes.iter().for_each(|node| node.untold.store(false, Ordering::Relaxed));
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
    pub pressure: PeerLoad,
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
    silent: watch::Sender<bool>,
    /// Reports in a row that it left unanswered.
    missed: AtomicU32,
    /// The count of online requests that its owner was last told.
    pub word: AtomicU32,
    /// Whether it waits in the list of targets whose load is to be told.
    untold: AtomicBool,
    told: Arc<Untold>,
}

impl Node {
    fn new(target: Target, told: Arc<Untold>) -> Node {
        let state = State {
            load: Estimate::default(),
            concurrency: ConcurrencyLimit::new(target.slots),
            health: Health::default(),
            pressure: PeerLoad::default(),
            report: None,
        };
        let id = hash::bytes(target.name.as_bytes());
        Node {
            target,
            id,
            state: Mutex::new(state),
            silent: watch::Sender::new(false),
            missed: AtomicU32::new(0),
            word: AtomicU32::new(0),
            untold: AtomicBool::new(false),
            told,
        }
    }

    /// A report wasn't answered in time.
    pub fn on_silence(&self, now: Instant) {
        if self.missed.fetch_add(1, Ordering::Relaxed) + 1 >= MISSES {
            self.silent.send_replace(true);
            lock(&self.state).health.on_unresponsive(now);
        }
    }

    /// Waits until the target counts as silent.
    pub async fn falls_silent(&self) {
        let mut silent = self.silent.subscribe();
        // The sender lives as long as the target, so this can't fail here.
        drop(silent.wait_for(|silent| *silent).await);
    }

    /// Takes in a report.
    pub fn on_report(&self, report: LoadReport, now: Instant) {
        self.missed.store(0, Ordering::Relaxed);
        self.silent.send_replace(false);
        let mut state = lock(&self.state);
        state.load.on_report(load::Report { online: report.online, batch: report.batch, at: now });
        state.report = Some(report);
    }

    /// Its online load changed: the instance that decides on batch there must hear.
    fn on_load(self: &Arc<Node>) {
        if !self.untold.swap(true, Ordering::Relaxed) {
            lock(&self.told.nodes).push(self.clone());
            self.told.signal.notify_one();
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
        let room = match state.health.availability(now) {
            Availability::Ejected => 0,
            Availability::Probation => 1u32.saturating_sub(own),
            Availability::Full => state.concurrency.limit().saturating_sub(own),
        };
        // Half again as many as there are slots keeps the engine's queue short
        // while there is always a request ready for the next free slot.
        let queue = (slots + slots.div_ceil(2)).saturating_sub(online);
        let local = self.target.data_centre == here;
        Candidate { id: self.id, local, online, slots, free: room.min(queue) }
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
    pub mean: AtomicU64,
    /// Signals that a target became free.
    pub freed: Notify,
}

const MEAN_WEIGHT: u64 = 8;

impl Counts {
    fn on_end(&self, took: Duration) {
        let took = took.as_micros() as u64;
        let mean = self.mean.load(Ordering::Relaxed);
        let next = if mean == 0 { took } else { mean - mean / MEAN_WEIGHT + took / MEAN_WEIGHT };
        self.mean.store(next, Ordering::Relaxed);
        self.running.fetch_sub(1, Ordering::Relaxed);
        self.freed.notify_one();
    }
}

/// A service and the targets that may serve it now.
#[derive(Debug)]
pub struct Bound {
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
    pub services: BTreeMap<ServiceId, Bound>,
    /// All targets, leaving ones too.
    pub nodes: BTreeMap<TargetId, Arc<Node>>,
    /// Targets that get no new work.
    pub leaving: HashSet<TargetId>,
    /// Whether this instance may serve.
    pub ready: bool,
}

impl View {
    /// The plain service whose prefix fits `path`, the longest first.
    pub fn plain(&self, path: &str) -> Option<&Bound> {
        let is_plain = |b: &&Bound| b.service.protocol == Protocol::Plain;
        let fits = |b: &&Bound| path.starts_with(&b.service.prefix);
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
    pub untold: Arc<Untold>,
}

/// What a snapshot is made for.
#[derive(Clone, Debug)]
pub struct Place {
    /// This instance.
    pub me: u64,
    /// Its data centre.
    pub here: DataCentreId,
    /// Most targets that it uses.
    pub subset: usize,
}

const LEAST_OF_A_SERVICE: usize = 6;

impl Fleet {
    /// A snapshot of `document` without the targets in `leaving`.
    pub fn view(
        &self,
        document: Document,
        leaving: HashSet<TargetId>,
        place: &Place,
        ready: bool,
    ) -> View {
        let nodes = self.nodes(&document);
        let share = (place.subset / document.services.len().max(1)).max(LEAST_OF_A_SERVICE);
        let mut services = BTreeMap::new();
        for service in document.services.values() {
            let of_it = nodes.values().filter(|node| node.target.service == service.name);
            let usable = of_it.filter(|node| !leaving.contains(&node.target.name));
            let nodes = subset(usable.cloned().collect(), place, share);
            let counts = lock(&self.counts).entry(service.name.clone()).or_default().clone();
            services
                .insert(service.name.clone(), Bound { service: service.clone(), nodes, counts });
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
                let fresh = Node::new(target.clone(), self.untold.clone());
                if let Some(node) = node {
                    lock(&fresh.state).report.clone_from(&lock(&node.state).report);
                }
                known.insert(target.name.clone(), Arc::new(fresh));
            }
        }
        known.iter().map(|(name, node)| (name.clone(), node.clone())).collect()
    }
}

fn subset(nodes: Vec<Arc<Node>>, place: &Place, most: usize) -> Vec<Arc<Node>> {
    if nodes.len() <= most {
        return nodes;
    }
    let is_local = |node: &&Arc<Node>| node.target.data_centre == place.here;
    let local: Vec<u64> = nodes.iter().filter(is_local).map(|node| node.id).collect();
    let remote: Vec<u64> = nodes.iter().filter(|n| !is_local(n)).map(|node| node.id).collect();
    let mut chosen = route::subset(place.me, &local, most.saturating_sub(2));
    let left = most - chosen.len();
    chosen.extend(route::subset(place.me, &remote, left));
    nodes.into_iter().filter(|node| chosen.contains(&node.id)).collect()
}

/// What a request asks of a target.
#[derive(Clone, Debug, Default)]
pub struct Wanted {
    /// Model version, when the caller names one.
    pub version: Option<String>,
    /// Adapter, when the caller names one.
    pub adapter: Option<String>,
    /// Hash for prefix affinity.
    pub prefix: u64,
}

impl Wanted {
    fn fits(&self, node: &Node, service: &Service) -> bool {
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
pub fn is_known(bound: &Bound, wanted: &Wanted) -> bool {
    bound.nodes.is_empty() || bound.nodes.iter().any(|node| wanted.fits(node, &bound.service))
}

/// A request's hold on a target; dropping it counts the request as over.
#[derive(Debug)]
pub struct Hold {
    /// The target.
    pub node: Arc<Node>,
    counts: Arc<Counts>,
    since: Instant,
}

impl Hold {
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

impl Drop for Hold {
    fn drop(&mut self) {
        lock(&self.node.state).load.on_end();
        self.node.on_load();
        self.counts.on_end(self.since.elapsed());
    }
}

/// Picks a target for an online request and holds it; `None` when none is free.
pub fn pick(
    bound: &Bound,
    wanted: &Wanted,
    avoid: &[TargetId],
    here: &str,
    now: Instant,
) -> Option<Hold> {
    let fitting = |node: &&Arc<Node>| wanted.fits(node, &bound.service);
    let fresh = |node: &&Arc<Node>| !avoid.contains(&node.target.name);
    let nodes: Vec<&Arc<Node>> = bound.nodes.iter().filter(fitting).filter(fresh).collect();
    let candidates: Vec<Candidate> = nodes.iter().map(|node| node.candidate(here, now)).collect();
    let draws = [rand::random(), rand::random()];
    let chosen = route::pick(wanted.prefix, &candidates, Policy::default(), draws)?;
    let node = nodes[chosen].clone();
    {
        let mut state = lock(&node.state);
        state.load.on_start();
        let online = state.load.online(now);
        state.pressure.record(online, now);
    }
    node.on_load();
    bound.counts.running.fetch_add(1, Ordering::Relaxed);
    Some(Hold { node, counts: bound.counts.clone(), since: now })
}
