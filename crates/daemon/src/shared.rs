//! What the duties of one daemon share.

use crate::batch;
use crate::fleet::{Fleet, Node, View, ViewContext, lock};
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

/// Daemons of one data centre that watch the platform; the others hear it from
/// them. Two, so that one may be replaced without a gap.
const WATCHERS: usize = 2;

/// Least time between two pieces of news of work, for each member of the fleet:
/// 10 s at 400 members.
const MIN_ANNOUNCEMENT_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(25);

/// Targets in this instance's charge, as of one view and one set of members.
#[derive(Default)]
struct OwnedTargets {
    view: Arc<View>,
    version: u64,
    nodes: Arc<Vec<Arc<Node>>>,
}

/// Everything that more than one duty needs.
pub struct Shared {
    /// Settings.
    pub settings: Settings,
    /// This instance.
    pub id: InstanceId,
    /// Logger.
    pub log: Logger,
    /// Members.
    pub members: Mutex<MemberTable>,
    /// Configuration.
    pub config_log: Mutex<Log>,
    /// Leaving targets.
    pub leaving_targets: Mutex<Targets>,
    /// Targets.
    pub fleet: Fleet,
    view: RwLock<Arc<View>>,
    owned_targets: Mutex<OwnedTargets>,
    /// The platform.
    pub store: store::Handle,
    /// The durable log.
    pub shards: shards::Handle,
    /// Other daemons.
    pub peers: peers::Handle,
    /// Batch work.
    pub batch: batch::Handle,
    /// Outcomes that are still to be recorded.
    pub retry_queue: RetryQueue,
    /// Metrics and service levels.
    pub telemetry: Telemetry,
    /// Bytes between daemons.
    pub traffic: Arc<Traffic>,
    /// Calls that are being answered.
    pub in_flight: AtomicUsize,
    /// When a planned stop was ordered.
    pub stopping: Mutex<Option<Instant>>,
    /// Whether new calls are refused.
    pub rejects_new: AtomicBool,
    /// Whether the configuration in force is known.
    pub configured: AtomicBool,
    /// Retries that may still be made.
    pub budget: Mutex<Budget>,
    /// Limits of callers.
    pub buckets: Mutex<HashMap<String, TokenBucket>>,
    /// Wakes the peers duty: there is news, or online load to tell.
    pub updates_ready: Notify,
}

impl Shared {
    /// The snapshot that routing reads.
    pub fn view(&self) -> Arc<View> {
        self.view.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Makes a new snapshot after configuration or leaving targets changed.
    pub fn refresh(&self) {
        // Held from before the first read: of two refreshes that overlap, the one
        // that writes last must have read last.
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
        let ordered = config_log.document().targets.values().filter(|target| target.leaving);
        leaving.extend(ordered.map(|target| target.name.clone()));
        leaving
    }

    /// A source says that a target leaves or came back.
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

    /// The same, and the peers are told.
    pub fn report_leaving(&self, target: &str, source: Source, notice: Notice) {
        if self.record_leaving(target, source, notice) {
            let Notice { leaving, stamp } = notice;
            let update = Update::Leaving { target: target.into(), stamp, leaving, source };
            lock(&self.members).broadcast(update);
            self.updates_ready.notify_one();
        }
    }

    /// Tells the peers.
    pub fn broadcast(&self, update: Update) {
        self.on_update(&update);
        lock(&self.members).broadcast(update);
        self.updates_ready.notify_one();
    }

    /// Tells the peers that a shard has work, unless there was such news just
    /// before: whoever heard that asks every shard in turn. In a large fleet the
    /// news would otherwise cost more than the asks that it saves.
    pub fn announce_work(&self, shard: u32, at: u64) {
        let now = Instant::now();
        let members = lock(&self.members).workers().count() as u32;
        if self.batch.since_work(now) >= MIN_ANNOUNCEMENT_INTERVAL_PER_MEMBER * members {
            self.broadcast(Update::JobAccepted(shard, at));
        } else {
            self.batch.on_work(shard, at, now);
        }
    }

    /// Acts on an update; `true` when it was news here.
    pub fn on_update(&self, update: &Update) -> bool {
        match update {
            Update::Member(member) => lock(&self.members).merge(member.clone(), Instant::now()),
            Update::Leaving { target, stamp: since, leaving, source } => {
                let notice = Notice { leaving: *leaving, stamp: *since };
                self.record_leaving(target, *source, notice)
            }
            Update::JobCancelled(job) => self.batch.on_cancelled(job),
            Update::JobAccepted(shard, at) => self.batch.on_work(*shard, *at, Instant::now()),
            // The table passes it on by itself; the entries are fetched by the
            // peers duty, which knows who sent it.
            Update::Generation(generation) => {
                lock(&self.members).on_generation(*generation);
                false
            }
        }
    }

    /// Takes in a configuration entry from anywhere.
    pub fn apply_config_entry(&self, entry: ConfigEntry) -> EntryOrder {
        let generation = entry.generation;
        let order = lock(&self.config_log).apply(entry);
        if order == EntryOrder::Next {
            slog::info!(self.log, "configuration in force"; "generation" => generation);
            self.on_generation(generation);
        }
        order
    }

    /// The configuration in force changed.
    pub fn on_generation(&self, generation: Generation) {
        self.refresh();
        lock(&self.members).set_generation(generation);
        self.updates_ready.notify_one();
        self.batch.wake();
    }

    /// The member that owns `shard` in this instance's view.
    pub fn shard_owner(&self, shard: u32) -> Option<Member> {
        let members = lock(&self.members);
        let selected = hash::owner(&shard.to_le_bytes(), members.workers().map(|m| m.id))?;
        members.workers().find(|m| m.id == selected).cloned()
    }

    /// The member that decides on batch and orders for `node`: one of those in
    /// the target's data centre, or of all when it has none.
    pub fn target_owner(&self, node: &Node) -> Option<Member> {
        let members = lock(&self.members);
        let here = |m: &&Member| m.data_centre == node.target.data_centre;
        let key = node.id.to_le_bytes();
        let selected = hash::owner(&key, members.workers().filter(here).map(|m| m.id))
            .or_else(|| hash::owner(&key, members.workers().map(|m| m.id)))?;
        members.workers().find(|m| m.id == selected).cloned()
    }

    /// The targets that this instance decides for. Ranking every target against
    /// every member is done only when one of them changed, not at each tick.
    pub fn owned_targets(&self) -> Arc<Vec<Arc<Node>>> {
        let view = self.view();
        let version = lock(&self.members).version();
        let mut owned = lock(&self.owned_targets);
        if !Arc::ptr_eq(&owned.view, &view) || owned.version != version {
            let is_mine =
                |node: &&Arc<Node>| self.target_owner(node).is_some_and(|d| d.id == self.id);
            let nodes = view.nodes.values().filter(is_mine).cloned().collect();
            *owned = OwnedTargets { view, version, nodes: Arc::new(nodes) };
        }
        owned.nodes.clone()
    }

    /// Whether this instance watches the platform for its data centre.
    pub fn is_watcher(&self) -> bool {
        let members = lock(&self.members);
        let here = |m: &&Member| m.data_centre == self.settings.data_centre;
        let mut ranked: Vec<u64> = members.workers().filter(here).map(|m| m.id).collect();
        ranked.sort_by_key(|id| std::cmp::Reverse(hash::weight(b"watch", *id)));
        ranked.iter().take(WATCHERS).any(|id| *id == self.id)
    }
}

/// Parts of [`Shared`] that the duties hand in.
pub struct Parts {
    /// Settings.
    pub settings: Settings,
    /// Logger.
    pub log: Logger,
    /// The owner of the member table.
    pub me: Member,
    /// The platform.
    pub store: store::Handle,
    /// The durable log.
    pub shards: shards::Handle,
    /// Other daemons.
    pub peers: peers::Handle,
    /// Batch work.
    pub batch: batch::Handle,
    /// Metrics and service levels.
    pub telemetry: Telemetry,
}

impl Parts {
    /// Joins the parts.
    pub fn join(self) -> Shared {
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
