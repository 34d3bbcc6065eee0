//! The peers duty: heartbeats, news, commands to owners, online load at targets.

mod calls;

pub use calls::{Call, Handle, duty};

use crate::fleet::{Node, lock};
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

const CAPACITY: usize = 4096;
/// Longest wait for a heartbeat's answer.
const PING_TIMEOUT: Duration = Duration::from_millis(1000);
/// News that comes in within this time leaves together.
const GATHER: Duration = Duration::from_millis(5);
/// Time between looks at the seeds.
const SEED_EVERY: Duration = Duration::from_secs(5);
/// The same while no other member is known.
const SEED_ALONE: Duration = Duration::from_millis(500);
/// Time between exchanges of whole member lists.
const EXCHANGE_EVERY: Duration = Duration::from_secs(60);
/// Online load that hasn't changed is told again after this, before it goes stale.
const RETELL: Duration = Duration::from_millis(700);
/// Entries in one answer.
const ENTRIES: usize = 64;

#[derive(Clone)]
struct Local {
    shared: Arc<Shared>,
    pool: Pool,
}

impl Handler for Local {
    async fn ping(&self, from: Member, notes: Vec<Update>) -> (Member, Vec<Update>) {
        self.hear(from, &notes);
        // News travels with the one who pings: an answer that is lost would
        // otherwise count as told.
        (lock(&self.shared.members).me().clone(), Vec::new())
    }

    async fn command(&self, shard: u32, body: Vec<u8>) -> Vec<u8> {
        let answer = match serde_json::from_slice(&body) {
            Ok(command) => self.shared.shards.submit_local(shard, command).await,
            Err(error) => Err(protocol::Error::new(protocol::Kind::Malformed, error.to_string())),
        };
        serde_json::to_vec(&answer).unwrap_or_default()
    }

    async fn entries(&self, after: u64) -> Entries {
        entries_after(&self.shared, after)
    }

    async fn pressure(&self, from: u64, target: String, online: u32) {
        let view = self.shared.view();
        if let Some(node) = view.nodes.get(&target) {
            lock(&node.state).peer_load.on_peer_report(from, online, Instant::now());
            self.shared.batch.wake();
        }
    }

    async fn ask(&self, _body: Vec<u8>) -> Vec<u8> {
        Vec::new() // The gateway's messages mean nothing here.
    }

    async fn members(&self) -> Vec<Member> {
        let table = lock(&self.shared.members);
        std::iter::once(table.me().clone()).chain(table.others().cloned()).collect()
    }
}

fn entries_after(shared: &Shared, after: u64) -> Entries {
    let chain = lock(&shared.config_log);
    let found = chain.since(after, ENTRIES);
    let is_next = found.first().is_some_and(|entry| entry.generation == after + 1);
    let behind = chain.generation() > after;
    let entries = found.iter().map(|entry| serde_json::to_vec(entry).unwrap_or_default());
    let document = serde_json::to_vec(chain.document()).unwrap_or_default();
    let needs_document = behind && !is_next;
    Entries {
        head: chain.generation(),
        entries: if needs_document { Vec::new() } else { entries.collect() },
        document: if needs_document { document } else { Vec::new() },
    }
}

/// Takes in what a member sent of its configuration.
pub fn absorb(shared: &Shared, found: &Entries) {
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

impl Local {
    fn hear(&self, from: Member, notes: &[Update]) {
        let told = notes.iter().map(|note| match note {
            Update::Generation(generation) => *generation,
            _ => 0,
        });
        let head = told.max().unwrap_or(0).max(from.generation);
        let further = head > lock(&self.shared.config_log).generation();
        let address = from.peer;
        lock(&self.shared.members).on_heartbeat(from, Instant::now());
        for note in notes {
            let is_news = self.shared.on_update(note);
            if is_news && !matches!(note, Update::Member(_)) {
                lock(&self.shared.members).broadcast(note.clone());
            }
        }
        let is_behind = !lock(&self.shared.members).out_of_date().is_empty();
        if is_behind {
            self.shared.updates_ready.notify_one();
        }
        if further {
            spawn_local(self.clone().fetch(address));
        }
    }

    async fn fetch(self, from: SocketAddr) {
        loop {
            let after = lock(&self.shared.config_log).generation();
            let Ok(found) = self.pool.entries(from, after).await else {
                return;
            };
            absorb(&self.shared, &found);
            let now = lock(&self.shared.config_log).generation();
            if now == after || now >= found.head {
                return;
            }
        }
    }

    async fn ping(self, to: Member) {
        let (me, mark, updates_for) = {
            let table = lock(&self.shared.members);
            let (mark, news) = table.updates_for(to.id);
            (table.me().clone(), mark, news)
        };
        match self.pool.ping(to.peer, &me, &updates_for).await {
            Ok((member, notes)) => {
                lock(&self.shared.members).on_delivered(to.id, mark);
                self.hear(member, &notes);
            }
            Err(_) => lock(&self.shared.members).on_heartbeat_missed(to.id, Instant::now()),
        }
    }

    async fn meet(self, address: SocketAddr) {
        let me = lock(&self.shared.members).me().clone();
        if address == me.peer {
            return;
        }
        let Ok((member, _)) = self.pool.ping(address, &me, &[]).await else {
            return;
        };
        self.hear(member, &[]);
        self.exchange(address).await;
    }

    async fn exchange(&self, address: SocketAddr) {
        let Ok(members) = self.pool.members(address).await else {
            return;
        };
        let mut table = lock(&self.shared.members);
        for member in members {
            table.merge(member, Instant::now());
        }
    }

    async fn gossip(self, stop: CancellationToken) {
        let mut ticks = tokio::time::interval(self.shared.settings.heartbeat_interval);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = stop.cancelled() => return,
            }
            let due = lock(&self.shared.members).tick(Instant::now());
            due.into_iter().for_each(|member| drop(spawn_local(self.clone().ping(member))));
        }
    }

    /// Sends news as soon as there is some, rather than at the next heartbeat.
    async fn flood(self, stop: CancellationToken) {
        loop {
            tokio::select! {
                () = self.shared.updates_ready.notified() => {}
                () = tokio::time::sleep(RETELL) => {}
                () = stop.cancelled() => return,
            }
            tokio::time::sleep(GATHER).await;
            let behind = lock(&self.shared.members).out_of_date();
            let pings = behind.into_iter().map(|member| self.clone().ping(member));
            spawn_local(futures_util::future::join_all(pings));
        }
    }

    /// Tells the deciders of targets how many online requests this instance has
    /// there, within milliseconds of a change.
    async fn press(self, stop: CancellationToken) {
        let untold = self.shared.fleet.changed_loads.clone();
        // A clock of its own: while something changes at every moment, what doesn't
        // change must still be told again before its words go stale.
        let mut again = tokio::time::interval(RETELL);
        loop {
            let changed = tokio::select! {
                () = untold.signal.notified() => true,
                _ = again.tick() => false,
                () = stop.cancelled() => return,
            };
            if changed {
                // Told at once; only what changes right after is gathered. A
                // request that meets a target full of batch waits for this word.
                untold.take().iter().for_each(|node| self.tell_load(node, false));
                tokio::time::sleep(GATHER).await;
                continue;
            }
            let view = self.shared.view();
            let busy = view.nodes.values().filter(|node| lock(&node.state).load.own() > 0);
            busy.for_each(|node| self.tell_load(node, true));
        }
    }

    /// Tells one target's target_owner; a word that it has heard only when `again`.
    fn tell_load(&self, node: &Node, again: bool) {
        let online = admission::advertised(lock(&node.state).load.own());
        let is_new = node.reported_online.swap(online, Ordering::Relaxed) != online;
        match self.shared.target_owner(node) {
            Some(target_owner) if target_owner.id == self.shared.id => self.shared.batch.wake(),
            _ if !is_new && !again => {}
            Some(target_owner) => {
                let local = self.clone();
                let target = node.target.name.clone();
                spawn_local(async move {
                    let me = local.shared.id;
                    // A word that is lost is followed by another.
                    drop(local.pool.pressure(target_owner.peer, me, &target, online).await);
                });
            }
            None => {}
        }
    }

    /// Meets members by the settings and by the platform's list.
    async fn seek(self, stop: CancellationToken) {
        let mut exchanged = Instant::now();
        let mut is_registered = false;
        loop {
            if !is_registered {
                is_registered = self.register().await;
            }
            let fingers = lock(&self.shared.members).fingers();
            let known: HashSet<SocketAddr> =
                lock(&self.shared.members).others().map(|m| m.peer).collect();
            let seeds = self.shared.settings.seeds.iter().filter(|seed| !known.contains(seed));
            let mut met: Vec<SocketAddr> = seeds.copied().collect();
            if fingers.is_empty()
                && let Ok(listed) = self.shared.store.instances().await
            {
                let me = lock(&self.shared.members).me().peer;
                met.extend(listed.into_iter().filter(|a| *a != me && !known.contains(a)));
            }
            let meetings = met.into_iter().map(|address| self.clone().meet(address));
            futures_util::future::join_all(meetings).await;
            if exchanged.elapsed() >= EXCHANGE_EVERY
                && let Some(partner) = self.partner(&fingers)
            {
                exchanged = Instant::now();
                self.exchange(partner).await;
            }
            let wait = if fingers.is_empty() { SEED_ALONE } else { SEED_EVERY };
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = stop.cancelled() => return,
            }
        }
    }

    /// Leaves this instance's address on the platform, for those that find no
    /// seed; `false` when that has to be tried again.
    async fn register(&self) -> bool {
        let peer = lock(&self.shared.members).me().peer;
        let entry = instance::Registration {
            peer_address: peer,
            data_centre: self.shared.settings.data_centre.clone(),
        };
        let registered = self.shared.store.register(&peer.to_string(), entry).await;
        if let Err(fault) = &registered {
            slog::info!(self.shared.log, "not registered"; "fault" => %fault);
        }
        registered.is_ok()
    }

    fn partner(&self, fingers: &[u64]) -> Option<SocketAddr> {
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
                    Call::Command { to, shard, body, limit, answer } => {
                        drop(answer.send(pool.command(to, shard, &body, limit).await));
                    }
                    Call::Entries { to, after, answer } => {
                        drop(answer.send(pool.entries(to, after).await));
                    }
                }
            });
        }
    }
}

/// Runs the duty until `stop`. Must be called inside a `LocalSet`.
pub async fn run(
    shared: Arc<Shared>,
    listener: TcpListener,
    calls: RequestReceiver<Call>,
    partition: SimulatedPartition,
    stop: CancellationToken,
) {
    let pool = Pool::new(PING_TIMEOUT, partition, shared.traffic.clone());
    let local = Local { shared: shared.clone(), pool };
    let serving =
        transport::peer::serve(listener, local.clone(), shared.traffic.clone(), stop.clone());
    tokio::join!(
        serving,
        local.clone().gossip(stop.clone()),
        local.clone().flood(stop.clone()),
        local.clone().press(stop.clone()),
        local.clone().seek(stop.clone()),
        local.serve_calls(calls, stop),
    );
}
