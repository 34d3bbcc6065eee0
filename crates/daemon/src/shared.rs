//! What the duties of one daemon share.

use crate::batch;
use crate::fleet::{Fleet, Node, Place, View, lock};
use crate::late::Late;
use crate::peers;
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
const WORK_NEWS_PER_MEMBER: Duration = Duration::from_millis(25);

/// Targets in this instance's charge, as of one view and one set of members.
#[derive(Default)]
struct Charge {
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
    pub table: Mutex<MemberTable>,
    /// Configuration.
    pub chain: Mutex<Log>,
    /// Leaving targets.
    pub board: Mutex<Targets>,
    /// Targets.
    pub fleet: Fleet,
    view: RwLock<Arc<View>>,
    charge: Mutex<Charge>,
    /// The platform.
    pub store: store::Handle,
    /// The durable log.
    pub shards: shards::Handle,
    /// Other daemons.
    pub peers: peers::Handle,
    /// Batch work.
    pub batch: batch::Handle,
    /// Outcomes that are still to be recorded.
    pub late: Late,
    /// Metrics and service levels.
    pub telemetry: Telemetry,
    /// Bytes between daemons.
    pub traffic: Arc<Traffic>,
    /// Calls that are being answered.
    pub running: AtomicUsize,
    /// When a planned stop was ordered.
    pub stopping: Mutex<Option<Instant>>,
    /// Whether new calls are refused.
    pub refusing: AtomicBool,
    /// Whether the configuration in force is known.
    pub configured: AtomicBool,
    /// Retries that may still be made.
    pub budget: Mutex<Budget>,
    /// Limits of callers.
    pub buckets: Mutex<HashMap<String, TokenBucket>>,
    /// Wakes the peers duty: there is news, or online load to tell.
    pub news: Notify,
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
        let document = lock(&self.chain).document().clone();
        let leaving = self.leaving();
        let place = Place {
            me: self.id,
            here: self.settings.data_centre.clone(),
            subset: self.settings.max_polled_targets,
        };
        let ready = self.configured.load(std::sync::atomic::Ordering::Relaxed);
        *view = Arc::new(self.fleet.view(document, leaving, &place, ready));
    }

    fn leaving(&self) -> HashSet<TargetId> {
        if self.settings.is_guard_disabled("leaving") {
            return HashSet::new();
        }
        let mut leaving: HashSet<TargetId> = lock(&self.board).all().into_iter().collect();
        let chain = lock(&self.chain);
        let ordered = chain.document().targets.values().filter(|target| target.leaving);
        leaving.extend(ordered.map(|target| target.name.clone()));
        leaving
    }

    /// A witness says that a target leaves or came back.
    pub fn say_leaving(&self, target: &str, witness: Source, word: Notice) -> bool {
        let changed = lock(&self.board).record(target, witness, word);
        if changed {
            slog::info!(self.log, "target leaving changed"; "target" => target,
                "leaving" => word.leaving, "witness" => format!("{witness:?}"));
            self.refresh();
            self.batch.wake();
        }
        changed
    }

    /// The same, and the peers are told.
    pub fn tell_leaving(&self, target: &str, witness: Source, word: Notice) {
        if self.say_leaving(target, witness, word) {
            let Notice { leaving, stamp } = word;
            let note = Update::Leaving { target: target.into(), stamp, leaving, source: witness };
            lock(&self.table).broadcast(note);
            self.news.notify_one();
        }
    }

    /// Tells the peers.
    pub fn tell(&self, note: Update) {
        self.on_note(&note);
        lock(&self.table).broadcast(note);
        self.news.notify_one();
    }

    /// Tells the peers that a shard has work, unless there was such news just
    /// before: whoever heard that asks every shard in turn. In a large fleet the
    /// news would otherwise cost more than the asks that it saves.
    pub fn tell_work(&self, shard: u32, at: u64) {
        let now = Instant::now();
        let members = lock(&self.table).workers().count() as u32;
        if self.batch.since_work(now) >= WORK_NEWS_PER_MEMBER * members {
            self.tell(Update::JobAccepted(shard, at));
        } else {
            self.batch.on_work(shard, at, now);
        }
    }

    /// Acts on a note; `true` when it was news here.
    pub fn on_note(&self, note: &Update) -> bool {
        match note {
            Update::Member(member) => lock(&self.table).merge(member.clone(), Instant::now()),
            Update::Leaving { target, stamp: since, leaving, source: witness } => {
                let word = Notice { leaving: *leaving, stamp: *since };
                self.say_leaving(target, *witness, word)
            }
            Update::JobCancelled(job) => self.batch.on_cancelled(job),
            Update::JobAccepted(shard, at) => self.batch.on_work(*shard, *at, Instant::now()),
            // The table passes it on by itself; the entries are fetched by the
            // peers duty, which knows who sent it.
            Update::Generation(generation) => {
                lock(&self.table).on_generation(*generation);
                false
            }
        }
    }

    /// Takes in a configuration entry from anywhere.
    pub fn offer(&self, entry: ConfigEntry) -> EntryOrder {
        let generation = entry.generation;
        let offer = lock(&self.chain).apply(entry);
        if offer == EntryOrder::Next {
            slog::info!(self.log, "configuration in force"; "generation" => generation);
            self.on_generation(generation);
        }
        offer
    }

    /// The configuration in force changed.
    pub fn on_generation(&self, generation: Generation) {
        self.refresh();
        lock(&self.table).set_generation(generation);
        self.news.notify_one();
        self.batch.wake();
    }

    /// The member that owns `shard` in this instance's view.
    pub fn owner(&self, shard: u32) -> Option<Member> {
        let table = lock(&self.table);
        let chosen = hash::owner(&shard.to_le_bytes(), table.workers().map(|m| m.id))?;
        table.workers().find(|m| m.id == chosen).cloned()
    }

    /// The member that decides on batch and orders for `node`: one of those in
    /// the target's data centre, or of all when it has none.
    pub fn decider(&self, node: &Node) -> Option<Member> {
        let table = lock(&self.table);
        let here = |m: &&Member| m.data_centre == node.target.data_centre;
        let key = node.id.to_le_bytes();
        let chosen = hash::owner(&key, table.workers().filter(here).map(|m| m.id))
            .or_else(|| hash::owner(&key, table.workers().map(|m| m.id)))?;
        table.workers().find(|m| m.id == chosen).cloned()
    }

    /// The targets that this instance decides for. Ranking every target against
    /// every member is done only when one of them changed, not at each tick.
    pub fn charge(&self) -> Arc<Vec<Arc<Node>>> {
        let view = self.view();
        let version = lock(&self.table).version();
        let mut charge = lock(&self.charge);
        if !Arc::ptr_eq(&charge.view, &view) || charge.version != version {
            let is_mine = |node: &&Arc<Node>| self.decider(node).is_some_and(|d| d.id == self.id);
            let nodes = view.nodes.values().filter(is_mine).cloned().collect();
            *charge = Charge { view, version, nodes: Arc::new(nodes) };
        }
        charge.nodes.clone()
    }

    /// Whether this instance watches the platform for its data centre.
    pub fn is_watcher(&self) -> bool {
        let table = lock(&self.table);
        let here = |m: &&Member| m.data_centre == self.settings.data_centre;
        let mut ranked: Vec<u64> = table.workers().filter(here).map(|m| m.id).collect();
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
            table: Mutex::new(MemberTable::new(self.me, policy)),
            settings: self.settings,
            log: self.log,
            store: self.store,
            shards: self.shards,
            peers: self.peers,
            batch: self.batch,
            telemetry: self.telemetry,
            chain: Mutex::default(),
            board: Mutex::default(),
            fleet: Fleet::default(),
            view: RwLock::default(),
            charge: Mutex::default(),
            late: Late::default(),
            traffic: Arc::default(),
            running: AtomicUsize::new(0),
            stopping: Mutex::new(None),
            refusing: AtomicBool::new(false),
            configured: AtomicBool::new(false),
            budget: Mutex::default(),
            buckets: Mutex::default(),
            news: Notify::new(),
        }
    }
}
