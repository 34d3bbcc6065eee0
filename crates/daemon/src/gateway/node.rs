//! State of one gateway instance, and its requests to other instances.

mod calls;

use super::broadcast::Outbox;
use super::crash::CrashChecks;
use super::digest::{Connectivity, StateDigest, Uptime};
use super::in_flight;
use super::job_table::JobTable;
use super::leases::Leases;
use super::metrics::Metrics;
use super::quarantine;
use super::quota::Quotas;
use super::store::PlatformStore;
use crate::clock;
use coordination::answer_time;
use coordination::evacuation;
use coordination::membership::{Member, MemberTable, Policy};
use coordination::origins;
use coordination::quarantine::Policy as QuarantinePolicy;
use coordination::registry::Registry;
use coordination::releases;
use coordination::slots;
use hyper::header::HeaderName;
use platform::header;
use protocol::routing;
use protocol::settings::{self, Settings};
use protocol::{DataCentreId, InstanceId, TargetId};
use slog::Logger;
use state::progress::{Holder, Millis};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use transport::budget::Budget;
use transport::connections::Connections;
use transport::peer::Pool as Peers;
use transport::upstream;

/// How long the targets of a data centre are avoided once none of its members is reachable;
/// longer than network partitions usually last.
const UNREACHABLE_PERIOD: Duration = Duration::from_secs(10);
/// A caller whose timeout is below this share of the longest one on its route is assumed to
/// retry.
const RETRY_TIMEOUT_RATIO: f64 = 0.98;
/// Bounds the memory for the longest timeouts of routes.
const MAX_ROUTES: usize = 4_096;

/// The configuration in force.
#[derive(Debug)]
pub struct Config {
    /// The decoded routes, limits and workspaces.
    pub table: routing::Table,
    /// When it came into force at this instance.
    pub since: Instant,
}

/// A start of a target.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// Start time as the target reports it; 0 if it doesn't.
    pub started_at: Millis,
    /// Since when this instance has known that it may be used.
    pub known_since: Instant,
}

/// State of one instance, shared by its tasks.
pub struct Node {
    /// Settings as read at the start.
    pub settings: Settings,
    /// Logger with the fields of this instance.
    pub log: Logger,
    /// When the instance started.
    pub started: Instant,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// This instance's view of the members.
    pub members: RefCell<MemberTable>,
    /// Notified when membership updates are to be sent.
    pub membership_changed: Notify,
    /// Addresses from which members are discovered, as in the settings last read.
    pub seeds: RefCell<Vec<SocketAddr>>,
    /// Members to which a heartbeat is in progress.
    pub pending_heartbeats: RefCell<HashSet<InstanceId>>,
    /// Whether the handling of a membership change is scheduled.
    pub is_change_pending: Cell<bool>,
    /// The configuration in force; `None` until one is received after the start.
    pub config: RefCell<Option<Rc<Config>>>,
    /// The registry of targets.
    pub registry: RefCell<Registry>,
    /// Evacuations of data centres.
    pub evacuations: RefCell<evacuation::Table>,
    /// When the evacuations were last read from the platform without a watch.
    pub evacuations_read: Cell<Option<Instant>>,
    /// When the members last changed.
    pub members_changed: Cell<Instant>,
    /// When members were last fetched from another instance because their digests differed.
    pub members_fetched: Cell<Option<Instant>>,
    /// When the registry was last repaired; the start if it wasn't.
    pub targets_repaired: Cell<Instant>,
    /// Whether registry entries are being fetched from another instance.
    pub is_fetching_targets: Cell<bool>,
    /// Current starts of the targets.
    pub starts: RefCell<HashMap<TargetId, Start>>,
    /// The platform's object store, behind a circuit breaker.
    pub store: PlatformStore,
    /// Number of topics that this instance watches on the platform for the others.
    pub watched: Cell<usize>,
    /// Whether a probe of the platform is in progress.
    pub is_probing: Cell<bool>,
    /// Connection pool for targets.
    pub targets: upstream::Pool,
    /// Connection pool for other instances.
    pub peers: Peers,
    /// Leases held, and the slot allocators owned by this instance.
    pub leases: Leases,
    /// What began the streams that callers may take up here, beside those forwarded here.
    pub origins: RefCell<origins::Table>,
    /// Software versions that have served.
    pub releases: RefCell<releases::Log>,
    /// Held during a call about the list of software versions.
    pub release_calls: tokio::sync::Mutex<()>,
    /// Batch jobs known to this instance.
    pub jobs: JobTable,
    /// Updates to be forwarded by this instance.
    pub outbox: Outbox,
    /// Crash reports, and the requests that are quarantined for them.
    pub quarantine: quarantine::State,
    /// Checks of targets whose responses were interrupted.
    pub crash_checks: CrashChecks,
    /// Total time for which the machine was suspended, as detected so far.
    pub suspended_for: Cell<Duration>,
    /// Notified when the machine has resumed from a suspension.
    pub resumed: Notify,
    /// Members that recently failed to reach the platform, and until when this is assumed.
    pub disconnected: RefCell<HashMap<InstanceId, Instant>>,
    /// Peers that recently failed to reply, and until when they are skipped.
    unresponsive: RefCell<HashMap<SocketAddr, Instant>>,
    /// Longest timeout that callers have sent, per route.
    longest_timeouts: RefCell<HashMap<String, Duration>>,
    /// Data centres that have had a reachable member; `Some` is the time since which they have
    /// none.
    unreachable_since: RefCell<HashMap<DataCentreId, Option<Instant>>>,
    /// Open connections of callers.
    pub callers: Rc<Connections>,
    /// Memory for bodies of requests and responses.
    pub bodies: Budget,
    /// Calls and tasks that a stop waits for.
    pub in_flight: in_flight::Counter,
    /// Cancelled when a stop is requested.
    pub stopping: CancellationToken,
    /// When a stop ends the process at the latest; `None` before a stop.
    pub exit_at: Cell<Option<Instant>>,
    /// How long the answers of each route took.
    pub answer_times: RefCell<answer_time::Table>,
    /// Cancelled when a stop has no time left.
    pub ending: CancellationToken,
}

impl Node {
    /// State of an instance that has received nothing yet; `me` is its membership entry.
    pub fn new(settings: Settings, log: Logger, me: Member, peers: Peers) -> Rc<Node> {
        let policy = Policy {
            heartbeat_interval: settings.heartbeat_interval,
            suspect_timeout: settings.suspect_timeout,
            compares: true,
            ..Policy::default()
        };
        let now = clock::now();
        let connections = upstream::Settings {
            connect_timeout: settings.connect_timeout,
            id_header: Some(HeaderName::from_static(header::REQUEST_ID)),
            ..upstream::Settings::default()
        };
        Rc::new(Node {
            store: PlatformStore::new(&settings, log.clone()),
            watched: Cell::new(0),
            is_probing: Cell::new(false),
            targets: upstream::Pool::new(connections),
            leases: Leases::new(me.id, slot_policy(&settings.policy), Quotas::new(&settings), now),
            members: RefCell::new(MemberTable::new(me, policy)),
            membership_changed: Notify::new(),
            seeds: RefCell::new(settings.seeds.clone()),
            pending_heartbeats: RefCell::default(),
            is_change_pending: Cell::new(false),
            config: RefCell::default(),
            registry: RefCell::default(),
            members_changed: Cell::new(now),
            members_fetched: Cell::default(),
            targets_repaired: Cell::new(now),
            is_fetching_targets: Cell::default(),
            evacuations: RefCell::default(),
            evacuations_read: Cell::default(),
            starts: RefCell::default(),
            jobs: JobTable::default(),
            origins: RefCell::default(),
            releases: RefCell::default(),
            release_calls: tokio::sync::Mutex::default(),
            outbox: Outbox::default(),
            quarantine: quarantine::State::new(quarantine_policy(&settings.policy), now),
            crash_checks: CrashChecks::default(),
            suspended_for: Cell::default(),
            resumed: Notify::new(),
            disconnected: RefCell::default(),
            unresponsive: RefCell::default(),
            longest_timeouts: RefCell::default(),
            unreachable_since: RefCell::default(),
            metrics: Metrics::default(),
            started: now,
            callers: Connections::new(max_caller_connections(settings.max_open_files)),
            bodies: Budget::new(settings.max_body_memory_bytes()),
            in_flight: in_flight::Counter::default(),
            stopping: CancellationToken::new(),
            exit_at: Cell::default(),
            answer_times: RefCell::default(),
            ending: CancellationToken::new(),
            peers,
            settings,
            log,
        })
    }

    /// Id of this instance, unique to each start of the process.
    pub fn id(&self) -> InstanceId {
        self.members.borrow().me().id
    }

    /// This instance as a job's holder: its id and peer address.
    pub fn as_holder(&self) -> Holder {
        let members = self.members.borrow();
        Holder { instance: members.me().id, address: members.me().peer }
    }

    /// Name of the data centre of this instance.
    pub fn data_centre(&self) -> &DataCentreId {
        &self.settings.data_centre
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// Whether the configuration, the targets, the crash reports and the evacuations were received
    /// since the start.
    pub fn is_initialized(&self) -> bool {
        let knows_targets = self.registry.borrow().revision() > 0;
        self.config.borrow().is_some()
            && knows_targets
            && self.quarantine.is_known.get()
            && self.evacuations.borrow().is_known()
    }

    /// Whether the rate of requests to the targets of a service is limited.
    pub fn is_rate_limited(&self, service: &str) -> bool {
        self.leases.has_rate_limits.get()
            && self.config().is_some_and(|config| {
                config.table.service(service).is_some_and(|service| service.cold.is_some())
            })
    }

    /// Whether a stop was requested.
    pub fn is_stopping(&self) -> bool {
        self.stopping.is_cancelled()
    }

    /// Digest of what this instance knows, for comparison with others.
    pub fn state_digest(&self) -> StateDigest {
        let config = self.config.borrow().as_ref().map_or(0, |config| config.table.version);
        let jobs = super::job_table::digest(self);
        let has_crash_reports = self.quarantine.is_known.get();
        let crash_reports = has_crash_reports.then(|| self.quarantine.table.borrow().digest());
        let evacuations = Some(self.evacuations.borrow().digest());
        let members = Some(self.members.borrow().digest());
        let registry = self.registry.borrow();
        StateDigest {
            config,
            targets: registry.digest(),
            targets_through: Some(registry.complete_through()),
            jobs,
            crash_reports,
            members,
            evacuations,
        }
    }

    /// Whether this instance can reach the platform, as reported to the others.
    pub fn connectivity(&self) -> Connectivity {
        let is_disconnected = self.store.is_disconnected() || self.store.last_call_failed();
        let now = clock::now();
        let ago = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let known = self.store.uptime();
        let uptime =
            known.map(|known| Uptime { since_ms: ago(known.since), last_ms: ago(known.last) });
        Connectivity { is_disconnected, uptime }
    }

    /// The other members, without those known to be dead.
    pub fn others(&self) -> Vec<Member> {
        self.members.borrow().others().cloned().collect()
    }

    /// Whether a data centre has recently lost its last reachable member. A network partition
    /// may then hide its targets too; if it stays unreachable, its targets are tried again. A
    /// data centre that never had a reachable member doesn't count, since this instance may
    /// just have started.
    pub fn is_recently_unreachable(&self, data_centre: &str, now: Instant) -> bool {
        let is_reachable = self.members.borrow().workers().any(|m| m.data_centre == data_centre);
        let mut unreachable_since = self.unreachable_since.borrow_mut();
        if is_reachable {
            unreachable_since.insert(data_centre.to_owned(), None);
            return false;
        }
        match unreachable_since.get_mut(data_centre) {
            None => false,
            Some(since) => now < *since.get_or_insert(now) + UNREACHABLE_PERIOD,
        }
    }

    /// Whether some data centre with targets has no reachable member.
    pub fn is_isolated(&self) -> bool {
        let members = self.members.borrow();
        let registry = self.registry.borrow();
        let is_reachable = |name: &str| members.workers().any(|member| member.data_centre == name);
        registry.staying().any(|target| !is_reachable(&target.data_centre))
    }

    /// Whether a request with this timeout is assumed to be a retry: callers of a route use
    /// the same timeout, and a retry has less of it remaining.
    pub fn is_retry(&self, route: &str, timeout: Duration) -> bool {
        let mut longest_timeouts = self.longest_timeouts.borrow_mut();
        if longest_timeouts.len() >= MAX_ROUTES {
            longest_timeouts.clear();
        }
        let longest = longest_timeouts.entry(route.to_owned()).or_insert(timeout);
        *longest = timeout.max(*longest);
        timeout < longest.mul_f64(RETRY_TIMEOUT_RATIO)
    }
}

/// Parameters of slot allocators, by which holders of jobs order their items too.
pub(super) fn slot_policy(policy: &settings::Policy) -> slots::Policy {
    let default = slots::Policy::default();
    slots::Policy {
        started_first: policy.started_first,
        batch_order: policy.batch_order,
        headroom: policy.headroom,
        preemption_cost: policy.preemption_cost,
        late_last: policy.late_last,
        slow_factor: if policy.slow_last { default.slow_factor } else { f64::INFINITY },
        places_by_delay: policy.places_by_delay,
        fair_shares: policy.fair_shares,
        failing_last: policy.failing_last,
        overdue_last: policy.overdue_last,
        ..default
    }
}

/// Number of connections that callers may have open. The other files and sockets are for targets,
/// other instances and the platform.
fn max_caller_connections(max_open_files: Option<usize>) -> usize {
    max_open_files.map_or(usize::MAX, |files| files / 2)
}

fn quarantine_policy(policy: &settings::Policy) -> QuarantinePolicy {
    QuarantinePolicy { max_crashes: policy.max_crashes, ..QuarantinePolicy::default() }
}

/// Milliseconds since the Unix epoch, for timestamps in stored objects.
pub fn unix_millis() -> Millis {
    crate::clock::millis()
}
