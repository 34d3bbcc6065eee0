//! State that the worker threads of one daemon share.

use crate::batch;
use crate::fleet::{Fleet, FleetTarget, View, ViewContext, lock};
use crate::peers;
use crate::retry_queue::RetryQueue;
use crate::shards;
use crate::store;
use crate::telemetry::Telemetry;
use coordination::append_log::EntryOrder;
use coordination::hash;
use coordination::leaving::{Notice, Source, Targets};
use coordination::limit::TokenBucket;
use coordination::membership::{Member, MemberTable, Update};
use coordination::retry::Budget;
use protocol::config::ConfigEntry;
use protocol::settings::Settings;
use protocol::{Generation, InstanceId, TargetId};
use slog::Logger;
use state::config::Log;
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicUsize};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use transport::peer::Traffic;

/// Instances of one data centre that watch the platform for the others: two, so that one
/// can be replaced without a gap.
const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Minimum time between two announcements of new work, for each member: 10 s at 400
/// members.
const ANNOUNCEMENT_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(25);

/// Targets that this instance owns, cached for one view and one version of the member
/// table.
#[derive(Default)]
struct OwnedTargets {
    view: Arc<View>,
    version: u64,
    targets: Arc<Vec<Arc<FleetTarget>>>,
}

/// State that more than one worker uses.
pub struct Shared {
    /// Settings of this instance, fixed since its start.
    pub settings: Settings,
    /// Id of this instance, drawn anew at each start.
    pub id: InstanceId,
    /// Root logger; adds the data centre to each line.
    pub log: Logger,
    /// Members as this instance sees them.
    pub members: Mutex<MemberTable>,
    /// Configuration in force and its latest entries.
    pub config_log: Mutex<Log>,
    /// Targets reported as leaving, by source.
    pub leaving_targets: Mutex<Targets>,
    /// State of targets that outlives a view.
    pub fleet: Fleet,
    view: RwLock<Arc<View>>,
    owned_targets: Mutex<OwnedTargets>,
    /// Access to the platform's store.
    pub store: store::Handle,
    /// Access to the shard committers.
    pub shards: shards::Handle,
    /// Access to the other instances.
    pub peers: peers::Handle,
    /// Access to the batch worker.
    pub batch: batch::Handle,
    /// Commands to retry until the log takes them.
    pub retry_queue: RetryQueue,
    /// Metrics and service-level counts.
    pub telemetry: Telemetry,
    /// Bytes sent to and received from other instances.
    pub traffic: Arc<Traffic>,
    /// Caller requests in flight.
    pub in_flight: AtomicUsize,
    /// When a planned stop was requested; `None` before that.
    pub stopping: Mutex<Option<Instant>>,
    /// Whether new requests are rejected, in the last phase of a stop.
    pub rejects_new: AtomicBool,
    /// Whether the configuration in force has been loaded.
    pub configured: AtomicBool,
    /// Budget for retries at other targets.
    pub budget: Mutex<Budget>,
    /// Rate limits by caller.
    pub buckets: Mutex<HashMap<String, TokenBucket>>,
    /// Signals updates that wait to be sent to the peers.
    pub updates_ready: Notify,
}

impl Shared {
    /// The current routing snapshot.
    pub fn view(&self) -> Arc<View> {
        self.view.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Rebuilds the routing snapshot after the configuration or the leaving targets
    /// changed.
    pub fn refresh(&self) {
        // Locked before the first read: of two overlapping refreshes, the one that writes
        // last must have read last.
        let mut view = self.view.write().unwrap_or_else(PoisonError::into_inner);
        let document = lock(&self.config_log).document().clone();
        let leaving = self.leaving();
        let context = ViewContext {
            me: self.id,
            data_centre: self.settings.data_centre.clone(),
            max_targets: self.settings.max_polled_targets,
        };
        let ready = self.configured.load(std::sync::atomic::Ordering::Relaxed);
        *view = Arc::new(self.fleet.view(document, leaving, &context, ready));
    }

    fn leaving(&self) -> HashSet<TargetId> {
        if self.settings.is_guard_disabled("leaving") {
            return HashSet::new();
        }
        let mut leaving: HashSet<TargetId> =
            lock(&self.leaving_targets).all().into_iter().collect();
        let config_log = lock(&self.config_log);
        let ordered_to_leave =
            config_log.document().targets.values().filter(|target| target.leaving);
        leaving.extend(ordered_to_leave.map(|target| target.name.clone()));
        leaving
    }

    /// Records that `source` reports a target as leaving or available; returns whether the
    /// target's state changed.
    pub fn record_leaving(&self, target: &str, source: Source, notice: Notice) -> bool {
        let changed = lock(&self.leaving_targets).record(target, source, notice);
        if changed {
            slog::info!(self.log, "target leaving changed"; "target" => target,
                "leaving" => notice.leaving, "witness" => format!("{source:?}"));
            self.refresh();
            self.batch.wake();
        }
        changed
    }

    /// Like [`Shared::record_leaving`], and broadcasts a change to the peers.
    pub fn report_leaving(&self, target: &str, source: Source, notice: Notice) {
        if self.record_leaving(target, source, notice) {
            let Notice { leaving, stamp } = notice;
            let update = Update::Leaving { target: target.into(), stamp, leaving, source };
            lock(&self.members).broadcast(update);
            self.updates_ready.notify_one();
        }
    }

    /// Applies an update here and broadcasts it to the peers.
    pub fn broadcast(&self, update: Update) {
        self.on_update(&update);
        lock(&self.members).broadcast(update);
        self.updates_ready.notify_one();
    }

    /// Broadcasts that a shard has work, unless another announcement went out just before:
    /// each one makes its receivers claim from every shard, so in a large fleet more of
    /// them cost more than they save.
    pub fn announce_work(&self, shard: u32, at: u64) {
        let now = Instant::now();
        let members = lock(&self.members).workers().count() as u32;
        if self.batch.time_since_work(now) >= ANNOUNCEMENT_INTERVAL_PER_MEMBER * members {
            self.broadcast(Update::JobAccepted(shard, at));
        } else {
            self.batch.on_work(shard, at, now);
        }
    }

    /// Applies an update; returns whether it was new here.
    pub fn on_update(&self, update: &Update) -> bool {
        match update {
            Update::Member(member) => lock(&self.members).merge(member.clone(), Instant::now()),
            Update::Leaving { target, stamp: since, leaving, source } => {
                let notice = Notice { leaving: *leaving, stamp: *since };
                self.record_leaving(target, *source, notice)
            }
            Update::JobCancelled(job) => self.batch.on_cancelled(job),
            Update::JobAccepted(shard, at) => self.batch.on_work(*shard, *at, Instant::now()),
            // The member table forwards the generation; the peers worker fetches the
            // entries from the sender.
            Update::Generation(generation) => {
                lock(&self.members).on_generation(*generation);
                false
            }
        }
    }

    /// Applies a configuration entry from any source.
    pub fn apply_config_entry(&self, entry: ConfigEntry) -> EntryOrder {
        let generation = entry.generation;
        let order = lock(&self.config_log).apply(entry);
        if order == EntryOrder::Next {
            slog::info!(self.log, "configuration in force"; "generation" => generation);
            self.on_generation(generation);
        }
        order
    }

    /// Publishes a change of the configuration in force.
    pub fn on_generation(&self, generation: Generation) {
        self.refresh();
        lock(&self.members).set_generation(generation);
        self.updates_ready.notify_one();
        self.batch.wake();
    }

    /// The member that commits to `shard`, as this instance sees the members; `None`
    /// without members.
    pub fn shard_owner(&self, shard: u32) -> Option<Member> {
        let members = lock(&self.members);
        let selected = hash::owner(&shard.to_le_bytes(), members.workers().map(|m| m.id))?;
        members.workers().find(|m| m.id == selected).cloned()
    }

    /// The member that admits batch work and sends orders to `node`: one of the target's
    /// data centre, or of any when that has none.
    pub fn target_owner(&self, target: &FleetTarget) -> Option<Member> {
        let members = lock(&self.members);
        let is_local = |m: &&Member| m.data_centre == target.config.data_centre;
        let key = target.id.to_le_bytes();
        let selected = hash::owner(&key, members.workers().filter(is_local).map(|m| m.id))
            .or_else(|| hash::owner(&key, members.workers().map(|m| m.id)))?;
        members.workers().find(|m| m.id == selected).cloned()
    }

    /// The targets that this instance owns. The ranking of targets and members is cached
    /// until one of them changes.
    pub fn owned_targets(&self) -> Arc<Vec<Arc<FleetTarget>>> {
        let view = self.view();
        let version = lock(&self.members).version();
        let mut owned = lock(&self.owned_targets);
        if !Arc::ptr_eq(&owned.view, &view) || owned.version != version {
            let is_mine = |target: &&Arc<FleetTarget>| {
                self.target_owner(target).is_some_and(|d| d.id == self.id)
            };
            let targets = view.targets.values().filter(is_mine).cloned().collect();
            *owned = OwnedTargets { view, version, targets: Arc::new(targets) };
        }
        owned.targets.clone()
    }

    /// Whether this instance watches the platform for its data centre.
    pub fn is_watcher(&self) -> bool {
        let members = lock(&self.members);
        let is_local = |m: &&Member| m.data_centre == self.settings.data_centre;
        let mut ranked: Vec<u64> = members.workers().filter(is_local).map(|m| m.id).collect();
        ranked.sort_by_key(|id| std::cmp::Reverse(hash::weight(b"watch", *id)));
        ranked.iter().take(WATCHERS_PER_DATA_CENTRE).any(|id| *id == self.id)
    }
}

/// What [`Shared`] is built from.
pub struct SharedParts {
    /// Settings of this instance.
    pub settings: Settings,
    /// Root logger.
    pub log: Logger,
    /// This instance's own entry in the member table.
    pub me: Member,
    /// Access to the platform's store.
    pub store: store::Handle,
    /// Access to the shard committers.
    pub shards: shards::Handle,
    /// Access to the other instances.
    pub peers: peers::Handle,
    /// Access to the batch worker.
    pub batch: batch::Handle,
    /// Metrics and service-level counts.
    pub telemetry: Telemetry,
}

impl SharedParts {
    /// Builds the shared state.
    pub fn build(self) -> Shared {
        let policy = coordination::membership::Policy {
            heartbeat_interval: self.settings.heartbeat_interval,
            suspect_timeout: self.settings.suspect_timeout,
            ..Default::default()
        };
        Shared {
            id: self.me.id,
            members: Mutex::new(MemberTable::new(self.me, policy)),
            settings: self.settings,
            log: self.log,
            store: self.store,
            shards: self.shards,
            peers: self.peers,
            batch: self.batch,
            telemetry: self.telemetry,
            config_log: Mutex::default(),
            leaving_targets: Mutex::default(),
            fleet: Fleet::default(),
            view: RwLock::default(),
            owned_targets: Mutex::default(),
            retry_queue: RetryQueue::default(),
            traffic: Arc::default(),
            in_flight: AtomicUsize::new(0),
            stopping: Mutex::new(None),
            rejects_new: AtomicBool::new(false),
            configured: AtomicBool::new(false),
            budget: Mutex::default(),
            buckets: Mutex::default(),
            updates_ready: Notify::new(),
        }
    }
}
