//! The peers worker: heartbeats, updates, commands to shard owners, online load of targets.

mod calls;

pub use calls::{Call, Handle, new_handle};

use crate::fleet::{FleetTarget, lock};
use crate::shared::Shared;
use coordination::admission;
use coordination::append_log::EntryOrder;
use coordination::membership::{Member, Update};
use platform::instance;
use protocol::config::{ConfigEntry, Document};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;
use transport::channel::RequestReceiver;
use transport::partition::SimulatedPartition;
use transport::peer::{Entries, Handler, Pool};

const CHANNEL_CAPACITY: usize = 4096;
/// Timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Updates that arrive within this time are sent together.
const BATCH_WINDOW: Duration = Duration::from_millis(5);
/// Interval between attempts to reach seeds that aren't members.
const SEED_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between these attempts while no other member is known.
const ISOLATED_SEED_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between exchanges of whole member lists.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(60);
/// Interval at which unchanged online load is sent again, before its owner drops it as
/// stale.
const LOAD_REFRESH_INTERVAL: Duration = Duration::from_millis(700);
/// Maximum number of configuration entries in one reply.
const MAX_ENTRIES: usize = 64;

#[derive(Clone)]
struct Peers {
    shared: Arc<Shared>,
    pool: Pool,
}

impl Handler for Peers {
    async fn ping(&self, from: Member, updates: Vec<Update>) -> (Member, Vec<Update>) {
        self.on_heartbeat(from, &updates);
        // Updates are only sent with requests: those in a lost reply would count as
        // delivered.
        (lock(&self.shared.members).me().clone(), Vec::new())
    }

    async fn command(&self, shard: u32, body: Vec<u8>) -> Vec<u8> {
        let result = match serde_json::from_slice(&body) {
            Ok(command) => self.shared.shards.submit_local(shard, command).await,
            Err(error) => Err(protocol::Error::new(protocol::Kind::Malformed, error.to_string())),
        };
        serde_json::to_vec(&result).unwrap_or_default()
    }

    async fn entries(&self, after: u64) -> Entries {
        entries_after(&self.shared, after)
    }

    async fn pressure(&self, from: u64, target: String, online: u32) {
        let view = self.shared.view();
        if let Some(target) = view.targets.get(&target) {
            lock(&target.state).peer_load.on_peer_report(from, online, Instant::now());
            self.shared.batch.wake();
        }
    }

    async fn ask(&self, _body: Vec<u8>) -> Vec<u8> {
        Vec::new() // Only the gateway uses these messages.
    }

    async fn members(&self) -> Vec<Member> {
        let members = lock(&self.shared.members);
        std::iter::once(members.me().clone()).chain(members.others().cloned()).collect()
    }
}

fn entries_after(shared: &Shared, after: u64) -> Entries {
    let config_log = lock(&shared.config_log);
    let found = config_log.since(after, MAX_ENTRIES);
    let is_next = found.first().is_some_and(|entry| entry.generation == after + 1);
    let is_behind = config_log.generation() > after;
    let entries = found.iter().map(|entry| serde_json::to_vec(entry).unwrap_or_default());
    let document = serde_json::to_vec(config_log.document()).unwrap_or_default();
    let needs_document = is_behind && !is_next;
    Entries {
        head: config_log.generation(),
        entries: if needs_document { Vec::new() } else { entries.collect() },
        document: if needs_document { document } else { Vec::new() },
    }
}

/// Applies the configuration entries or the document that a member sent.
pub fn apply_entries(shared: &Shared, found: &Entries) {
    if !found.document.is_empty()
        && let Ok(document) = serde_json::from_slice::<Document>(&found.document)
    {
        let generation = document.generation;
        if lock(&shared.config_log).install(document) {
            shared.on_generation(generation);
        }
    }
    for bytes in &found.entries {
        let Ok(entry) = serde_json::from_slice::<ConfigEntry>(bytes) else {
            return;
        };
        if shared.apply_config_entry(entry) == EntryOrder::Gap {
            return;
        }
    }
}

impl Peers {
    fn on_heartbeat(&self, from: Member, updates: &[Update]) {
        let generations = updates.iter().map(|update| match update {
            Update::Generation(generation) => *generation,
            _ => 0,
        });
        let head = generations.max().unwrap_or(0).max(from.generation);
        let is_ahead = head > lock(&self.shared.config_log).generation();
        let address = from.peer;
        lock(&self.shared.members).on_heartbeat(from, Instant::now());
        for update in updates {
            let is_new = self.shared.on_update(update);
            if is_new && !matches!(update, Update::Member(_)) {
                lock(&self.shared.members).broadcast(update.clone());
            }
        }
        let has_unsent = !lock(&self.shared.members).out_of_date().is_empty();
        if has_unsent {
            self.shared.updates_ready.notify_one();
        }
        if is_ahead {
            spawn_local(self.clone().fetch_entries(address));
        }
    }

    async fn fetch_entries(self, from: SocketAddr) {
        loop {
            let after = lock(&self.shared.config_log).generation();
            let Ok(found) = self.pool.entries(from, after).await else {
                return;
            };
            apply_entries(&self.shared, &found);
            let now = lock(&self.shared.config_log).generation();
            if now == after || now >= found.head {
                return;
            }
        }
    }

    async fn send_heartbeat(self, to: Member) {
        let (me, cursor, updates) = {
            let members = lock(&self.shared.members);
            let (cursor, updates) = members.updates_for(to.id);
            (members.me().clone(), cursor, updates)
        };
        match self.pool.ping(to.peer, &me, &updates).await {
            Ok((member, updates)) => {
                lock(&self.shared.members).on_delivered(to.id, cursor);
                self.on_heartbeat(member, &updates);
            }
            Err(_) => lock(&self.shared.members).on_heartbeat_missed(to.id, Instant::now()),
        }
    }

    async fn join(self, address: SocketAddr) {
        let me = lock(&self.shared.members).me().clone();
        if address == me.peer {
            return;
        }
        let Ok((member, _)) = self.pool.ping(address, &me, &[]).await else {
            return;
        };
        self.on_heartbeat(member, &[]);
        self.exchange_members(address).await;
    }

    async fn exchange_members(&self, address: SocketAddr) {
        let Ok(members) = self.pool.members(address).await else {
            return;
        };
        let mut table = lock(&self.shared.members);
        for member in members {
            table.merge(member, Instant::now());
        }
    }

    async fn send_heartbeats(self, stop: CancellationToken) {
        let mut ticks = tokio::time::interval(self.shared.settings.heartbeat_interval);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = stop.cancelled() => return,
            }
            let due = lock(&self.shared.members).tick(Instant::now());
            due.into_iter()
                .for_each(|member| drop(spawn_local(self.clone().send_heartbeat(member))));
        }
    }

    /// Sends updates at once, rather than with the next heartbeat.
    async fn send_updates(self, stop: CancellationToken) {
        loop {
            tokio::select! {
                () = self.shared.updates_ready.notified() => {}
                () = tokio::time::sleep(LOAD_REFRESH_INTERVAL) => {}
                () = stop.cancelled() => return,
            }
            tokio::time::sleep(BATCH_WINDOW).await;
            let out_of_date = lock(&self.shared.members).out_of_date();
            let heartbeats =
                out_of_date.into_iter().map(|member| self.clone().send_heartbeat(member));
            spawn_local(futures_util::future::join_all(heartbeats));
        }
    }

    /// Sends the number of this instance's online requests to the owners of the targets,
    /// within milliseconds of a change.
    async fn send_loads(self, stop: CancellationToken) {
        let changed_loads = self.shared.fleet.changed_loads.clone();
        // A separate timer: unchanged loads must be refreshed before they go stale, even
        // while others change all the time.
        let mut refresh = tokio::time::interval(LOAD_REFRESH_INTERVAL);
        loop {
            let changed = tokio::select! {
                () = changed_loads.signal.notified() => true,
                _ = refresh.tick() => false,
                () = stop.cancelled() => return,
            };
            if changed {
                // Sent at once; only later changes are batched. A request at a target full
                // of batch work waits for this report.
                changed_loads.take().iter().for_each(|target| self.send_load(target, false));
                tokio::time::sleep(BATCH_WINDOW).await;
                continue;
            }
            let view = self.shared.view();
            let busy = view.targets.values().filter(|target| lock(&target.state).load.own() > 0);
            busy.for_each(|target| self.send_load(target, true));
        }
    }

    /// Sends the load of one target to its owner; an unchanged one only on `refresh`.
    fn send_load(&self, target: &FleetTarget, refresh: bool) {
        let online = admission::advertised(lock(&target.state).load.own());
        let is_new = target.reported_online.swap(online, Ordering::Relaxed) != online;
        match self.shared.target_owner(target) {
            Some(owner) if owner.id == self.shared.id => self.shared.batch.wake(),
            _ if !is_new && !refresh => {}
            Some(owner) => {
                let peers = self.clone();
                let target = target.config.name.clone();
                spawn_local(async move {
                    let me = peers.shared.id;
                    // A lost report is followed by the next one.
                    drop(peers.pool.pressure(owner.peer, me, &target, online).await);
                });
            }
            None => {}
        }
    }

    /// Joins members found in the settings and in the platform's list.
    async fn discover(self, stop: CancellationToken) {
        let mut last_exchange = Instant::now();
        let mut is_registered = false;
        loop {
            if !is_registered {
                is_registered = self.register().await;
            }
            let fingers = lock(&self.shared.members).fingers();
            let known: HashSet<SocketAddr> =
                lock(&self.shared.members).others().map(|m| m.peer).collect();
            let seeds = self.shared.settings.seeds.iter().filter(|seed| !known.contains(seed));
            let mut candidates: Vec<SocketAddr> = seeds.copied().collect();
            if fingers.is_empty()
                && let Ok(listed) = self.shared.store.instances().await
            {
                let me = lock(&self.shared.members).me().peer;
                candidates.extend(listed.into_iter().filter(|a| *a != me && !known.contains(a)));
            }
            let joins = candidates.into_iter().map(|address| self.clone().join(address));
            futures_util::future::join_all(joins).await;
            if last_exchange.elapsed() >= EXCHANGE_INTERVAL
                && let Some(address) = self.exchange_partner(&fingers)
            {
                last_exchange = Instant::now();
                self.exchange_members(address).await;
            }
            let wait = if fingers.is_empty() { ISOLATED_SEED_INTERVAL } else { SEED_INTERVAL };
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = stop.cancelled() => return,
            }
        }
    }

    /// Registers this instance's address on the platform, for instances that reach no seed;
    /// `false` if that must be retried.
    async fn register(&self) -> bool {
        let peer = lock(&self.shared.members).me().peer;
        let entry = instance::Registration {
            peer_address: peer,
            data_centre: self.shared.settings.data_centre.clone(),
        };
        let registered = self.shared.store.register(&peer.to_string(), entry).await;
        if let Err(error) = &registered {
            slog::info!(self.shared.log, "registration failed"; "fault" => %error);
        }
        registered.is_ok()
    }

    fn exchange_partner(&self, fingers: &[u64]) -> Option<SocketAddr> {
        let chosen = fingers.get(rand::random_range(0..fingers.len().max(1)))?;
        lock(&self.shared.members).get(*chosen).map(|member| member.peer)
    }

    async fn serve_calls(self, mut calls: RequestReceiver<Call>, stop: CancellationToken) {
        loop {
            let call = tokio::select! {
                call = calls.recv() => call,
                () = stop.cancelled() => None,
            };
            let Some(call) = call else {
                return;
            };
            let pool = self.pool.clone();
            spawn_local(async move {
                match call {
                    Call::Command { to, shard, body, timeout, reply } => {
                        drop(reply.send(pool.command(to, shard, &body, timeout).await));
                    }
                    Call::Entries { to, after, reply } => {
                        drop(reply.send(pool.entries(to, after).await));
                    }
                }
            });
        }
    }
}

/// Runs the worker until `stop`. Must be called inside a `LocalSet`.
pub async fn run(
    shared: Arc<Shared>,
    listener: TcpListener,
    calls: RequestReceiver<Call>,
    partition: SimulatedPartition,
    stop: CancellationToken,
) {
    let pool = Pool::new(HEARTBEAT_TIMEOUT, partition, shared.traffic.clone());
    let peers = Peers { shared: shared.clone(), pool };
    let serving =
        transport::peer::serve(listener, peers.clone(), shared.traffic.clone(), stop.clone());
    tokio::join!(
        serving,
        peers.clone().send_heartbeats(stop.clone()),
        peers.clone().send_updates(stop.clone()),
        peers.clone().send_loads(stop.clone()),
        peers.clone().discover(stop.clone()),
        peers.serve_calls(calls, stop),
    );
}
