//! What one instance of the gateway knows.

use super::broadcast::Outbox;
use super::crash::CrashChecks;
use super::job_table::JobTable;
use super::leases::Leases;
use super::message::{Connectivity, PeerReply, PeerRequest, StateDigest, Uptime, decode, encode};
use super::metrics::Metrics;
use super::store::PlatformStore;
use crate::clock;
use coordination::membership::{Member, MemberTable, Policy};
use coordination::quarantine;
use coordination::registry::Registry;
use coordination::slots;
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
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;
use transport::peer::{PeerError, Pool as Peers};
use transport::upstream;

/// Longest wait for the reply to a message that is only told.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a member that didn't reply is passed over where another will do.
const UNRESPONSIVE_PERIOD: Duration = Duration::from_millis(400);

/// How long the targets of a data centre out of sight are left alone: longer than
/// the cuts of some seconds that data centres are known to have.
const UNREACHABLE_PERIOD: Duration = Duration::from_secs(10);
/// Share of the longest time left below which a caller is taken for one that
/// comes again.
const RETRY_TIMEOUT_RATIO: f64 = 0.98;
/// Routes whose callers' times are remembered.
const MAX_ROUTES: usize = 4_096;

/// The configuration in force, decoded and as it came.
#[derive(Debug)]
pub struct Config {
    /// Decoded.
    pub table: routing::Table,
    /// In the platform's form, to be passed on.
    pub text: String,
    /// When it came into force here.
    pub since: Instant,
}

/// One instance.
pub struct Node {
    /// Settings.
    pub settings: Settings,
    /// Log.
    pub log: Logger,
    /// When it started.
    pub started: Instant,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Members.
    pub members: RefCell<MemberTable>,
    /// News for members is waiting.
    pub membership_changed: Notify,
    /// Instances to ask first for members, by the settings as last read.
    pub seeds: RefCell<Vec<SocketAddr>>,
    /// Members to which a heartbeat is under way.
    pub pending_heartbeats: RefCell<HashSet<InstanceId>>,
    /// Whether a change of members is about to be acted on.
    pub is_change_pending: Cell<bool>,
    /// Configuration in force.
    pub config: RefCell<Option<Rc<Config>>>,
    /// Targets.
    pub registry: RefCell<Registry>,
    /// Starts of the targets, as far as they tell them.
    pub start_times: RefCell<HashMap<TargetId, Millis>>,
    /// The platform's store.
    pub store: PlatformStore,
    /// Topics that this instance watches on the platform for others.
    pub watched: Cell<usize>,
    /// Whether a sign of life of the platform is under way.
    pub is_probing: Cell<bool>,
    /// Connections to targets.
    pub targets: upstream::Pool,
    /// Connections to other instances.
    pub peers: Peers,
    /// Slots: leases held, and the accounts kept here.
    pub leases: Leases,
    /// Batch jobs.
    pub jobs: JobTable,
    /// News on its way through this instance.
    pub outbox: Outbox,
    /// Requests that crash their targets.
    pub quarantine: RefCell<quarantine::Table>,
    /// The strikes of some request have changed.
    pub crash_reports_changed: Notify,
    /// Whether this instance has learnt since its start which requests are held.
    pub has_crash_reports: Cell<bool>,
    /// Targets whose answers broke off, and are looked into.
    pub crash_checks: CrashChecks,
    /// How long the machine was suspended, as far as that was noticed.
    pub suspended_for: Cell<Duration>,
    /// The machine was suspended and has woken.
    pub resumed: Notify,
    /// Members that lately lost contact with the platform, and until when that counts.
    pub disconnected: RefCell<HashMap<InstanceId, Instant>>,
    /// Members that lately didn't reply.
    unresponsive: RefCell<HashMap<SocketAddr, Instant>>,
    /// Longest time left that callers on each route came with.
    longest_timeouts: RefCell<HashMap<String, Duration>>,
    /// Data centres that had a member in sight, and since when they have none.
    unreachable_since: RefCell<HashMap<DataCentreId, Option<Instant>>>,
    /// Online requests in hand.
    pub in_flight: Cell<usize>,
    /// Set once a stop was ordered.
    pub stopping: CancellationToken,
}

impl Node {
    /// An instance that knows nothing yet.
    pub fn new(settings: Settings, log: Logger, me: Member, peers: Peers) -> Rc<Node> {
        let policy = Policy {
            heartbeat_interval: settings.heartbeat_interval,
            suspect_timeout: settings.suspect_timeout,
            ..Policy::default()
        };
        let now = clock::now();
        let connections = upstream::Settings {
            connect_timeout: settings.connect_timeout,
            ..upstream::Settings::default()
        };
        Rc::new(Node {
            store: PlatformStore::new(&settings, log.clone()),
            watched: Cell::new(0),
            is_probing: Cell::new(false),
            targets: upstream::Pool::new(connections),
            leases: Leases::new(me.id, slot_policy(&settings.policy), now),
            members: RefCell::new(MemberTable::new(me, policy)),
            membership_changed: Notify::new(),
            seeds: RefCell::new(settings.seeds.clone()),
            pending_heartbeats: RefCell::default(),
            is_change_pending: Cell::new(false),
            config: RefCell::default(),
            registry: RefCell::default(),
            start_times: RefCell::default(),
            jobs: JobTable::default(),
            outbox: Outbox::default(),
            quarantine: RefCell::new(quarantine::Table::new(
                quarantine_policy(&settings.policy),
                now,
            )),
            crash_reports_changed: Notify::new(),
            has_crash_reports: Cell::new(false),
            crash_checks: CrashChecks::default(),
            suspended_for: Cell::default(),
            resumed: Notify::new(),
            disconnected: RefCell::default(),
            unresponsive: RefCell::default(),
            longest_timeouts: RefCell::default(),
            unreachable_since: RefCell::default(),
            metrics: Metrics::default(),
            started: now,
            in_flight: Cell::new(0),
            stopping: CancellationToken::new(),
            peers,
            settings,
            log,
        })
    }

    /// Id of this start of the process.
    pub fn id(&self) -> InstanceId {
        self.members.borrow().me().id
    }

    /// This instance as the holder of a job.
    pub fn as_holder(&self) -> Holder {
        let members = self.members.borrow();
        Holder { instance: members.me().id, address: members.me().peer }
    }

    /// Data centre of this instance.
    pub fn data_centre(&self) -> &DataCentreId {
        &self.settings.data_centre
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// Whether a configuration, targets and held requests are known, as they are soon after
    /// a start.
    pub fn is_initialized(&self) -> bool {
        let knows_targets = self.registry.borrow().revision() > 0;
        self.config.borrow().is_some() && knows_targets && self.has_crash_reports.get()
    }

    /// Whether a stop was ordered.
    pub fn is_stopping(&self) -> bool {
        self.stopping.is_cancelled()
    }

    /// How far this instance is.
    pub fn state_digest(&self) -> StateDigest {
        let config = self.config.borrow().as_ref().map_or(0, |config| config.table.version);
        let jobs = super::job_table::digest(self);
        let has_crash_reports = self.has_crash_reports.get();
        let crash_reports = has_crash_reports.then(|| self.quarantine.borrow().digest());
        StateDigest { config, targets: self.registry.borrow().digest(), jobs, crash_reports }
    }

    /// Whether this instance reaches the platform, as it tells the others.
    pub fn connectivity(&self) -> Connectivity {
        let is_disconnected = self.store.is_disconnected() || self.store.last_call_failed();
        let now = clock::now();
        let ago = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let known = self.store.uptime();
        let uptime =
            known.map(|known| Uptime { since_ms: ago(known.since), last_ms: ago(known.last) });
        Connectivity { is_disconnected, uptime }
    }

    /// Members other than this one that are not known to be gone.
    pub fn others(&self) -> Vec<Member> {
        self.members.borrow().others().cloned().collect()
    }

    /// Whether a data centre has lost its last member in sight a short while ago.
    /// It may be cut off, and then its targets can't be reached either; if it
    /// stays out of sight, its targets are worth a try. One that was never in sight
    /// is no loss: this instance has just started.
    pub fn is_recently_unreachable(&self, data_centre: &str, now: Instant) -> bool {
        let is_seen = self.members.borrow().workers().any(|m| m.data_centre == data_centre);
        let mut unreachable_since = self.unreachable_since.borrow_mut();
        if is_seen {
            unreachable_since.insert(data_centre.to_owned(), None);
            return false;
        }
        match unreachable_since.get_mut(data_centre) {
            None => false,
            Some(since) => now < *since.get_or_insert(now) + UNREACHABLE_PERIOD,
        }
    }

    /// Whether a data centre with targets has no member in sight.
    pub fn is_isolated(&self) -> bool {
        let members = self.members.borrow();
        let registry = self.registry.borrow();
        let is_seen = |name: &str| members.workers().any(|member| member.data_centre == name);
        registry.usable().any(|target| !is_seen(&target.data_centre))
    }

    /// Whether a caller on this route seems to come again: callers wait alike,
    /// and one that comes again has less time left than it had at first.
    pub fn is_retry(&self, route: &str, wait: Duration) -> bool {
        let mut longest_timeouts = self.longest_timeouts.borrow_mut();
        if longest_timeouts.len() >= MAX_ROUTES {
            longest_timeouts.clear();
        }
        let longest = longest_timeouts.entry(route.to_owned()).or_insert(wait);
        *longest = wait.max(*longest);
        wait < longest.mul_f64(RETRY_TIMEOUT_RATIO)
    }

    /// Whether `address` lately didn't reply.
    pub fn is_unresponsive(&self, address: SocketAddr, now: Instant) -> bool {
        self.unresponsive.borrow().get(&address).is_some_and(|until| now < *until)
    }

    /// Sends a message and waits for its reply; whoever doesn't reply is passed over for a
    /// while.
    ///
    /// # Errors
    ///
    /// Whether the message left.
    pub async fn request(
        &self,
        to: SocketAddr,
        request: &PeerRequest,
        limit: Duration,
    ) -> Result<PeerReply, PeerError> {
        let result = self.try_request(to, request, limit).await;
        if result.is_err() {
            self.unresponsive.borrow_mut().insert(to, clock::now() + UNRESPONSIVE_PERIOD);
        }
        result
    }

    /// The same for a wait too short to say anything of who doesn't reply.
    ///
    /// # Errors
    ///
    /// Whether the message left.
    pub async fn try_request(
        &self,
        to: SocketAddr,
        request: &PeerRequest,
        limit: Duration,
    ) -> Result<PeerReply, PeerError> {
        let bytes = self.peers.ask(to, &encode(request), limit).await?;
        decode(&bytes)
            .ok_or_else(|| PeerError::OutcomeUnknown(String::from("a reply of another version")))
    }

    /// Tells one member, without waiting.
    pub fn notify(self: &Rc<Node>, to: SocketAddr, request: PeerRequest) {
        let node = self.clone();
        spawn_local(async move {
            if let Err(fault) = node.request(to, &request, NOTIFY_TIMEOUT).await {
                // Hints may be lost: what they say is found out by other ways.
                slog::debug!(node.log, "not told"; "to" => %to, "fault" => ?fault);
            }
        });
    }
}

/// How accounts work by the settings.
fn slot_policy(policy: &settings::Policy) -> slots::Policy {
    let default = slots::Policy::default();
    slots::Policy {
        started_first: policy.started_first,
        headroom: policy.headroom,
        preemption_cost: policy.preemption_cost,
        late_last: policy.late_last,
        slow_factor: if policy.slow_last { default.slow_factor } else { f64::INFINITY },
        failing_last: policy.failing_last,
        overdue_last: policy.overdue_last,
        ..default
    }
}

/// When requests are held by the settings.
fn quarantine_policy(policy: &settings::Policy) -> quarantine::Policy {
    quarantine::Policy { max_crashes: policy.max_crashes, ..quarantine::Policy::default() }
}

/// The time of day in milliseconds, for what is kept on the platform.
pub fn unix_millis() -> Millis {
    crate::clock::millis()
}
