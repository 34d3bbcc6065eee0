//! The control duty: configuration, leaving targets, load reports.

use crate::append::{self, End};
use crate::clock;
use crate::fleet::{Node, lock};
use crate::peers;
use crate::shared::Shared;
use coordination::append_log::{Append, EntryOrder};
use coordination::leaving::{Notice, Source};
use coordination::membership::State;
use coordination::retry::Failure;
use platform::key_value::Condition;
use platform::store::StoreError;
use protocol::config::{Change, ConfigEntry, Document};
use protocol::{Error, Generation, Kind};
use state::object_key;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;
use transport::target::{Client, LoadReport};

/// How long a watch is held.
const WATCH: Duration = Duration::from_secs(20);
/// Time between looks of an instance that isn't a watcher.
const REST: Duration = Duration::from_secs(1);
/// Longest wait for a load report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Generations between snapshots of the configuration.
const SNAPSHOT_EVERY: Generation = 64;
/// Age after which a target's report may take back its own word, in milliseconds.
const LEAVE_HOLD_MS: u64 = 2000;
/// Time between looks while the settings don't fit the log.
const MISMATCH_REST: Duration = Duration::from_secs(2);
/// Tries to settle a write whose answer was lost.
const SETTLE_TRIES: u32 = 4;

/// Brings the configuration up to date from the platform: every entry after the
/// one in force, or the snapshot first when nothing is in force.
///
/// # Errors
///
/// How the platform failed.
pub async fn read_platform(shared: &Shared) -> Result<(), StoreError> {
    if lock(&shared.config_log).generation() == 0
        && let Some(found) = shared.store.get(SNAPSHOT).await?
        && let Ok(document) = serde_json::from_slice::<Document>(&found.bytes)
    {
        let generation = document.generation;
        if lock(&shared.config_log).install(document) {
            shared.on_generation(generation);
        }
    }
    loop {
        let next = lock(&shared.config_log).generation() + 1;
        let Some(found) = shared.store.get(&object_key::config_entry(next)).await? else {
            return Ok(());
        };
        let entry: ConfigEntry = serde_json::from_slice(&found.bytes)
            .map_err(|e| StoreError::OutcomeUnknown(e.to_string()))?;
        if shared.apply_config_entry(entry) == EntryOrder::Gap {
            return Ok(());
        }
    }
}

/// Object that holds the whole document at some generation.
const SNAPSHOT: &str = "config/snapshot";

/// Test only: what a reader without the generation rule would do.
async fn read_unguarded(shared: &Shared) -> Result<(), StoreError> {
    let keys = shared.store.keys(object_key::CONFIG_PREFIX).await?;
    let mut entries = Vec::new();
    for key in keys {
        if let Some(found) = shared.store.get(&key).await?
            && let Ok(entry) = serde_json::from_slice::<ConfigEntry>(&found.bytes)
        {
            entries.push(entry);
        }
    }
    lock(&shared.config_log).apply_unchecked(&entries);
    shared.refresh();
    Ok(())
}

/// Puts back entries that the platform has lost, as a restored replica would:
/// whoever has a generation in force knows the entry that brought it.
async fn heal(shared: &Shared) -> Result<(), StoreError> {
    let generation = lock(&shared.config_log).generation();
    if generation == 0 || shared.store.get(&object_key::config_entry(generation)).await?.is_some() {
        return Ok(());
    }
    let entries: Vec<ConfigEntry> = lock(&shared.config_log).history().cloned().collect();
    for entry in entries {
        let bytes = serde_json::to_vec(&entry).unwrap_or_default().into();
        match shared
            .store
            .put(&object_key::config_entry(entry.generation), bytes, Condition::Absent)
            .await
        {
            Ok(_) => slog::warn!(shared.log, "configuration entry put back";
                "generation" => entry.generation),
            Err(StoreError::Conflict(_)) => {}
            Err(fault) => return Err(fault),
        }
    }
    Ok(())
}

/// Accepts a change on the condition that `revision` is still in force.
///
/// # Errors
///
/// `InvalidConfig`, `StaleRevision`, `PlatformUnavailable` or `Undetermined`.
pub async fn apply(
    shared: &Shared,
    revision: Generation,
    author: String,
    change: Change,
) -> Result<Generation, Error> {
    let (document, generation) = {
        let chain = lock(&shared.config_log);
        (chain.document().with_change(&change), chain.generation())
    };
    if revision != generation {
        return Err(stale(revision, generation));
    }
    document.map_err(|fault| Error::new(Kind::InvalidConfig, fault.to_string()))?;
    // A platform that was restored from a copy may lack entries that are in
    // force; they must be back before another change takes their place.
    heal(shared).await.map_err(away)?;
    let token = format!("{:016x}-{:016x}", shared.id, rand::random::<u64>());
    let entry =
        ConfigEntry { generation: generation + 1, token, author, at: clock::millis(), change };
    settle(shared, entry).await
}

async fn settle(shared: &Shared, entry: ConfigEntry) -> Result<Generation, Error> {
    let append = Append::new(entry.generation, entry.token.clone());
    let key = object_key::config_entry(entry.generation);
    let value = bytes::Bytes::from(serde_json::to_vec(&entry).unwrap_or_default());
    let token = |bytes: &[u8]| {
        serde_json::from_slice::<ConfigEntry>(bytes).map(|entry| entry.token).unwrap_or_default()
    };
    match append::drive(&shared.store, &append, &key, value, SETTLE_TRIES, token).await {
        End::Committed => {
            let generation = entry.generation;
            shared.apply_config_entry(entry);
            snapshot(shared).await;
            Ok(generation)
        }
        End::Overtaken => Err(stale(entry.generation - 1, entry.generation)),
        End::Refused(text) => Err(Error::new(Kind::PlatformUnavailable, text)),
        End::Open => {
            let text = "the platform gave no answer; read the configuration";
            Err(Error::new(Kind::Undetermined, text))
        }
    }
}

fn stale(revision: Generation, in_force: Generation) -> Error {
    let text = format!("revision {revision} is not in force, {in_force} is");
    Error::new(Kind::StaleRevision, text)
}

fn away(fault: StoreError) -> Error {
    Error::new(Kind::PlatformUnavailable, fault.to_string())
}

/// Writes the whole document now and then, so that a new instance needn't read
/// every change since the beginning. Losing this write costs only time.
async fn snapshot(shared: &Shared) {
    let document = lock(&shared.config_log).document().clone();
    if document.generation.is_multiple_of(SNAPSHOT_EVERY) {
        let bytes = serde_json::to_vec(&document).unwrap_or_default().into();
        drop(shared.store.put(SNAPSHOT, bytes, Condition::Any).await);
    }
}

/// Whether this instance has the same number of shards as the log was begun with.
/// With another number it would look for keys where they are not, and run what
/// has run. Whoever comes first writes the number down.
async fn check_shards(shared: &Shared) -> Result<bool, StoreError> {
    let own = shared.settings.shards.to_string();
    let known = match shared.store.get(object_key::SHARD_COUNT).await? {
        Some(found) => found.bytes,
        None => {
            let value = bytes::Bytes::from(own.clone());
            match shared.store.put(object_key::SHARD_COUNT, value.clone(), Condition::Absent).await
            {
                Ok(_) => value,
                Err(fault) => return Err(fault),
            }
        }
    };
    let is_same = known.as_ref() == own.as_bytes();
    if !is_same {
        slog::error!(shared.log, "log.shards differs from the log's own"; "settings" => own,
            "log" => String::from_utf8_lossy(&known).into_owned());
    }
    Ok(is_same)
}

/// Learns the configuration in force before anything is served: from the
/// platform, or from a peer while the platform is away.
async fn configure(shared: &Shared, stop: &CancellationToken) {
    while !stop.is_cancelled() {
        let shards = check_shards(shared).await;
        if let Ok(false) = shards {
            tokio::time::sleep(MISMATCH_REST).await;
            continue;
        }
        let from_platform = shards.is_ok() && read_platform(shared).await.is_ok();
        let from_peers = ask_peers(shared).await;
        if from_platform || from_peers {
            shared.configured.store(true, Ordering::Relaxed);
            shared.refresh();
            let generation = lock(&shared.config_log).generation();
            slog::info!(shared.log, "ready"; "generation" => generation,
                "platform" => from_platform, "peers" => from_peers);
            return;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// Takes in the configuration of every member that is further; `true` when at
/// least one that has a configuration answered.
async fn ask_peers(shared: &Shared) -> bool {
    let known: HashSet<_> = lock(&shared.members).others().map(|m| m.peer).collect();
    let seeds = shared.settings.seeds.iter().copied();
    let all: HashSet<_> = known.into_iter().chain(seeds).collect();
    let mut answered = false;
    for address in all {
        let after = lock(&shared.config_log).generation();
        if let Ok(found) = shared.peers.entries(address, after).await {
            answered |= found.head > 0;
            peers::absorb(shared, &found);
        }
    }
    answered
}

/// Keeps the configuration up to date until `stop`.
async fn follow(shared: Arc<Shared>, stop: CancellationToken) {
    configure(&shared, &stop).await;
    let mut revision = None;
    let mut polled: Option<Instant> = None;
    while !stop.is_cancelled() {
        if shared.settings.is_guard_disabled("revert") {
            drop(read_unguarded(&shared).await);
            tokio::time::sleep(shared.settings.platform_poll_interval).await;
            continue;
        }
        if !shared.is_watcher() {
            tokio::time::sleep(REST).await;
            continue;
        }
        let poll = shared.settings.platform_poll_interval;
        // A watch may be silent and dead, so the head is read as well.
        if polled.is_none_or(|at| at.elapsed() >= poll) {
            polled = Some(Instant::now());
            let read = read_platform(&shared).await;
            let healed = heal(&shared).await;
            if read.is_err() || healed.is_err() {
                tokio::time::sleep(poll.mul_f64(0.5 + rand::random::<f64>())).await;
                continue;
            }
        }
        let wait = WATCH.min(poll);
        tokio::select! {
            changes = shared.store.watch(object_key::CONFIG_PREFIX, revision, wait) => match changes {
                Ok(changes) => {
                    revision = Some(changes.revision);
                    if !changes.keys.is_empty() {
                        drop(read_platform(&shared).await);
                    }
                }
                Err(fault) => {
                    slog::debug!(shared.log, "watch broken"; "fault" => %fault);
                    revision = None;
                    tokio::time::sleep(poll.mul_f64(rand::random())).await;
                }
            },
            () = stop.cancelled() => return,
        }
    }
}

/// Reads the platform's list of leaving targets until `stop`.
async fn follow_list(shared: Arc<Shared>, stop: CancellationToken) {
    while !stop.is_cancelled() {
        let wait =
            shared.settings.platform_poll_interval.mul_f64(0.75 + rand::random::<f64>() / 2.0);
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = stop.cancelled() => return,
        }
        if !shared.is_watcher() {
            continue;
        }
        let Ok(listed) = shared.store.targets().await else {
            continue;
        };
        for one in listed {
            // The stamp is the list's own, so that a stale copy of the list,
            // which shows an older state, takes nothing back.
            let word = Notice { leaving: one.is_leaving, stamp: one.revision };
            shared.report_leaving(&one.name, Source::Platform, word);
        }
    }
}

/// Asks the targets that this instance uses how they are, until `stop`.
async fn follow_targets(shared: Arc<Shared>, client: Client, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(shared.settings.target_poll_interval) => {}
            () = stop.cancelled() => return,
        }
        let view = shared.view();
        let mut asked: Vec<Arc<Node>> =
            view.services.values().flat_map(|bound| bound.nodes.iter().cloned()).collect();
        asked.extend(shared.owned_targets().iter().cloned());
        asked.sort_by_key(|node| node.id);
        asked.dedup_by_key(|node| node.id);
        let asks = asked.iter().map(|node| ask(&shared, &client, node));
        futures_util::future::join_all(asks).await;
    }
}

async fn ask(shared: &Shared, client: &Client, node: &Node) {
    let sent = Instant::now();
    match client.load_report(node.target.address, REPORT_TIMEOUT).await {
        Ok(report) => on_report(shared, node, report, sent),
        Err(fault) if fault.failure == Failure::NotSent => {
            lock(&node.state).health.on_failure(Instant::now());
        }
        Err(fault) if fault.is_timeout => node.on_unresponsive(Instant::now()),
        // It answers, if not with a report: a plain service need not have one.
        Err(_) => {}
    }
}

fn on_report(shared: &Shared, node: &Node, report: LoadReport, at: Instant) {
    let name = &node.target.name;
    let now = clock::millis();
    let word = lock(&shared.leaving_targets).notice(name, Source::Target);
    let said = word.is_some_and(|word| word.leaving);
    // A report lags, so it takes back a leave only when that is old enough.
    let is_settled = word.is_none_or(|word| word.stamp + LEAVE_HOLD_MS < now);
    if report.leaving != said && (report.leaving || is_settled) {
        let word = Notice { leaving: report.leaving, stamp: now };
        shared.report_leaving(name, Source::Target, word);
    }
    node.on_report(report, at);
}

/// Runs the duty until `stop`.
pub async fn run(shared: Arc<Shared>, client: Client, stop: CancellationToken) {
    tokio::join!(
        follow(shared.clone(), stop.clone()),
        follow_list(shared.clone(), stop.clone()),
        follow_targets(shared.clone(), client.clone(), stop.clone()),
        crate::orders::run(shared.clone(), client, stop.clone()),
        crate::retry_queue::run(shared.clone(), stop.clone()),
        crate::telemetry::run(shared, stop),
    );
}

/// How a member stands, as status pages print it.
pub fn state_name(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Leaving => "leaving",
        State::Dead => "dead",
    }
}
