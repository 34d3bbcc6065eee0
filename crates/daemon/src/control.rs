//! The control worker: configuration, leaving targets, load reports.

use crate::append::{self, AppendOutcome};
use crate::clock;
use crate::fleet::{FleetTarget, lock};
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

/// Maximum duration of one watch request.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which an instance that isn't a watcher checks whether it has become one.
const NON_WATCHER_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a load report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Generations between snapshots of the configuration.
const SNAPSHOT_INTERVAL: Generation = 64;
/// Minimum age of a target's own notice of leaving before its report may withdraw it: a
/// report lags behind.
const MIN_NOTICE_AGE_MS: u64 = 2000;
/// Delay before the shard count is checked again after a mismatch.
const MISMATCH_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Rounds of create and read-back for one append.
const MAX_APPEND_ATTEMPTS: u32 = 4;

/// Applies every entry on the platform after the generation in force, starting from the
/// snapshot when nothing is in force.
///
/// # Errors
///
/// The error of the platform call.
pub async fn read_platform(shared: &Shared) -> Result<(), StoreError> {
    if lock(&shared.config_log).generation() == 0
        && let Some(found) = shared.store.get(SNAPSHOT_KEY).await?
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

/// Key of the snapshot: the whole document at some generation.
const SNAPSHOT_KEY: &str = "config/snapshot";

/// Injected fault: applies entries without checking generations.
async fn read_unchecked(shared: &Shared) -> Result<(), StoreError> {
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

/// Restores entries that the platform has lost, for example when it was restored from an
/// older copy: each instance keeps the latest entries that it applied.
async fn restore_lost_entries(shared: &Shared) -> Result<(), StoreError> {
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
            Ok(_) => slog::warn!(shared.log, "lost configuration entry restored";
                "generation" => entry.generation),
            Err(StoreError::Conflict(_)) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Appends a change if `revision` is still the generation in force.
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
        let config_log = lock(&shared.config_log);
        (config_log.document().with_change(&change), config_log.generation())
    };
    if revision != generation {
        return Err(stale_revision(revision, generation));
    }
    document.map_err(|error| Error::new(Kind::InvalidConfig, error.to_string()))?;
    // A platform restored from an older copy may lack entries in force; without them the
    // change would be written in their place.
    restore_lost_entries(shared).await.map_err(platform_unavailable)?;
    let token = format!("{:016x}-{:016x}", shared.id, rand::random::<u64>());
    let entry =
        ConfigEntry { generation: generation + 1, token, author, at: clock::millis(), change };
    append_entry(shared, entry).await
}

async fn append_entry(shared: &Shared, entry: ConfigEntry) -> Result<Generation, Error> {
    let append = Append::new(entry.generation, entry.token.clone());
    let key = object_key::config_entry(entry.generation);
    let value = bytes::Bytes::from(serde_json::to_vec(&entry).unwrap_or_default());
    let token = |bytes: &[u8]| {
        serde_json::from_slice::<ConfigEntry>(bytes).map(|entry| entry.token).unwrap_or_default()
    };
    match append::drive(&shared.store, &append, &key, value, MAX_APPEND_ATTEMPTS, token).await {
        AppendOutcome::Committed => {
            let generation = entry.generation;
            shared.apply_config_entry(entry);
            write_snapshot(shared).await;
            Ok(generation)
        }
        AppendOutcome::Conflict => Err(stale_revision(entry.generation - 1, entry.generation)),
        AppendOutcome::Rejected(text) => Err(Error::new(Kind::PlatformUnavailable, text)),
        AppendOutcome::Unknown => {
            let text = "the platform didn't respond; read the configuration";
            Err(Error::new(Kind::Undetermined, text))
        }
    }
}

fn stale_revision(revision: Generation, in_force: Generation) -> Error {
    let text = format!("revision {revision} is not in force, {in_force} is");
    Error::new(Kind::StaleRevision, text)
}

fn platform_unavailable(error: StoreError) -> Error {
    Error::new(Kind::PlatformUnavailable, error.to_string())
}

/// Writes the whole document at intervals, so that a new instance needn't read every
/// change. A lost snapshot only delays that.
async fn write_snapshot(shared: &Shared) {
    let document = lock(&shared.config_log).document().clone();
    if document.generation.is_multiple_of(SNAPSHOT_INTERVAL) {
        let bytes = serde_json::to_vec(&document).unwrap_or_default().into();
        drop(shared.store.put(SNAPSHOT_KEY, bytes, Condition::Any).await);
    }
}

/// Whether `log.shards` matches the shard count that the log was created with; the first
/// instance records it. With another count, keys would map to other shards and finished
/// work would run again.
async fn check_shard_count(shared: &Shared) -> Result<bool, StoreError> {
    let own = shared.settings.shards.to_string();
    let recorded = match shared.store.get(object_key::SHARD_COUNT).await? {
        Some(found) => found.bytes,
        None => {
            let value = bytes::Bytes::from(own.clone());
            match shared.store.put(object_key::SHARD_COUNT, value.clone(), Condition::Absent).await
            {
                Ok(_) => value,
                Err(error) => return Err(error),
            }
        }
    };
    let is_same = recorded.as_ref() == own.as_bytes();
    if !is_same {
        slog::error!(shared.log, "log.shards differs from the log's shard count";
            "settings" => own,
            "log" => String::from_utf8_lossy(&recorded).into_owned());
    }
    Ok(is_same)
}

/// Loads the configuration in force before anything is served: from the platform, or from a
/// peer while the platform is unavailable.
async fn load_configuration(shared: &Shared, stop: &CancellationToken) {
    while !stop.is_cancelled() {
        let shards = check_shard_count(shared).await;
        if let Ok(false) = shards {
            tokio::time::sleep(MISMATCH_RETRY_DELAY).await;
            continue;
        }
        let from_platform = shards.is_ok() && read_platform(shared).await.is_ok();
        let from_peers = fetch_from_peers(shared).await;
        if from_platform || from_peers {
            shared.configured.store(true, Ordering::Relaxed);
            shared.refresh();
            let generation = lock(&shared.config_log).generation();
            slog::info!(shared.log, "configuration loaded"; "generation" => generation,
                "platform" => from_platform, "peers" => from_peers);
            return;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// Applies the newer configuration of every member and seed; `true` when at least one with
/// a configuration replied.
async fn fetch_from_peers(shared: &Shared) -> bool {
    let known: HashSet<_> = lock(&shared.members).others().map(|m| m.peer).collect();
    let seeds = shared.settings.seeds.iter().copied();
    let addresses: HashSet<_> = known.into_iter().chain(seeds).collect();
    let mut replied = false;
    for address in addresses {
        let after = lock(&shared.config_log).generation();
        if let Ok(found) = shared.peers.entries(address, after).await {
            replied |= found.head > 0;
            peers::apply_entries(shared, &found);
        }
    }
    replied
}

/// Keeps the configuration up to date until `stop`.
async fn follow_configuration(shared: Arc<Shared>, stop: CancellationToken) {
    load_configuration(&shared, &stop).await;
    let mut revision = None;
    let mut polled: Option<Instant> = None;
    while !stop.is_cancelled() {
        if shared.settings.is_guard_disabled("revert") {
            drop(read_unchecked(&shared).await);
            tokio::time::sleep(shared.settings.platform_poll_interval).await;
            continue;
        }
        if !shared.is_watcher() {
            tokio::time::sleep(NON_WATCHER_INTERVAL).await;
            continue;
        }
        let poll = shared.settings.platform_poll_interval;
        // A watch may hang without an error, so the next entry is also read at each
        // interval.
        if polled.is_none_or(|at| at.elapsed() >= poll) {
            polled = Some(Instant::now());
            let read = read_platform(&shared).await;
            let restored = restore_lost_entries(&shared).await;
            if read.is_err() || restored.is_err() {
                tokio::time::sleep(poll.mul_f64(0.5 + rand::random::<f64>())).await;
                continue;
            }
        }
        let wait = WATCH_TIMEOUT.min(poll);
        tokio::select! {
            changes = shared.store.watch(object_key::CONFIG_PREFIX, revision, wait) => match changes {
                Ok(changes) => {
                    revision = Some(changes.revision);
                    if !changes.keys.is_empty() {
                        drop(read_platform(&shared).await);
                    }
                }
                Err(error) => {
                    slog::debug!(shared.log, "watch broken"; "fault" => %error);
                    revision = None;
                    tokio::time::sleep(poll.mul_f64(rand::random())).await;
                }
            },
            () = stop.cancelled() => return,
        }
    }
}

/// Polls the platform's list of leaving targets until `stop`.
async fn follow_target_list(shared: Arc<Shared>, stop: CancellationToken) {
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
        for target in listed {
            // Stamped with the entry's revision, so that a stale copy of the list withdraws
            // nothing.
            let notice = Notice { leaving: target.is_leaving, stamp: target.revision };
            shared.report_leaving(&target.name, Source::Platform, notice);
        }
    }
}

/// Polls the load reports of the targets that this instance uses or owns, until `stop`.
async fn poll_targets(shared: Arc<Shared>, client: Client, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(shared.settings.target_poll_interval) => {}
            () = stop.cancelled() => return,
        }
        let view = shared.view();
        let mut polled: Vec<Arc<FleetTarget>> =
            view.services.values().flat_map(|service| service.targets.iter().cloned()).collect();
        polled.extend(shared.owned_targets().iter().cloned());
        polled.sort_by_key(|target| target.id);
        polled.dedup_by_key(|target| target.id);
        let polls = polled.iter().map(|target| poll_target(&shared, &client, target));
        futures_util::future::join_all(polls).await;
    }
}

async fn poll_target(shared: &Shared, client: &Client, target: &FleetTarget) {
    let sent = Instant::now();
    match client.load_report(target.config.address, REPORT_TIMEOUT).await {
        Ok(report) => on_report(shared, target, report, sent),
        Err(error) if error.failure == Failure::NotSent => {
            lock(&target.state).health.on_failure(Instant::now());
        }
        Err(error) if error.is_timeout => target.on_unresponsive(Instant::now()),
        // It responded, though not with a report: a plain service needn't have one.
        Err(_) => target.on_response(),
    }
}

fn on_report(shared: &Shared, target: &FleetTarget, report: LoadReport, at: Instant) {
    let name = &target.config.name;
    let now = clock::millis();
    let notice = lock(&shared.leaving_targets).notice(name, Source::Target);
    let is_reported_leaving = notice.is_some_and(|notice| notice.leaving);
    // A report lags, so it withdraws a notice only when that is old enough.
    let may_withdraw = notice.is_none_or(|notice| notice.stamp + MIN_NOTICE_AGE_MS < now);
    if report.leaving != is_reported_leaving && (report.leaving || may_withdraw) {
        let notice = Notice { leaving: report.leaving, stamp: now };
        shared.report_leaving(name, Source::Target, notice);
    }
    target.on_report(report, at);
}

/// Runs the worker until `stop`.
pub async fn run(shared: Arc<Shared>, client: Client, stop: CancellationToken) {
    tokio::join!(
        follow_configuration(shared.clone(), stop.clone()),
        follow_target_list(shared.clone(), stop.clone()),
        poll_targets(shared.clone(), client.clone(), stop.clone()),
        crate::orders::run(shared.clone(), client, stop.clone()),
        crate::retry_queue::run(shared.clone(), stop.clone()),
        crate::telemetry::run(shared, stop),
    );
}

/// Name of a member's state on status pages.
pub fn state_name(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Leaving => "leaving",
        State::Dead => "dead",
    }
}
