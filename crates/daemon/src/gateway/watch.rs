//! Watches the platform. A few instances of each data centre do so on behalf of the others.
//!
//! All instances agree on the watchers by rank ([`coordination::watch`]). A watcher lists
//! once and watches from that revision; after a failed watch it lists again.
//! [`super::discovery`] applies what it receives.

mod role;
mod topic;

pub use role::{global_watcher, watches_targets};

use super::call_reason::CallReason;
use super::node::Node;
use super::platform_health::PROBE_TIMEOUT;
use super::quarantine;
use super::{discovery, evacuation, releases};
use crate::clock;
use platform::store::{Listing, Object, Revision, StoreError};
use platform::{decommission, instance};
use role::Role;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;
use topic::Topic;

/// Delay after a change, so that a series of changes costs few calls.
const CHANGE_BATCH_WINDOW: Duration = Duration::from_millis(200);
/// Interval between checks whether this instance should watch.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time after the start for meeting other members before any of them watches. Without it, all
/// instances of a starting fleet would consider themselves watchers: 250 of them made 1,570 lists
/// and watches and 3,000 probes. An instance that has
/// met no other member by then must query the platform itself.
const JOIN_DELAY: Duration = Duration::from_millis(150);
/// Longest time for which a start waits for the members to stop changing: one that knows only a
/// part of a fleet that starts considers itself a watcher.
const MAX_JOIN_DELAY: Duration = Duration::from_millis(1_500);
/// The same while no other member has been met.
const MAX_LONE_JOIN_DELAY: Duration = Duration::from_millis(600);
/// The same for global topics, which nothing waits for.
const GLOBAL_JOIN_DELAY: Duration = Duration::from_secs(2);
/// Minimum and maximum delay between attempts while the platform is unreachable.
const RETRY_DELAY_BOUNDS: [Duration; 2] =
    [Duration::from_millis(250), Duration::from_millis(1_500)];

/// Most by which the timeout of a list grows while lists fail. The platform may need longer for the
/// first byte of a large object than for a small one.
const MAX_LIST_TIMEOUT_FACTOR: u32 = 8;

/// Starts watching all topics, until `stop`.
pub fn start(node: &Rc<Node>, stop: &CancellationToken) {
    let topics = [
        Topic::Config,
        Topic::Targets,
        Topic::Decommissions,
        Topic::Evacuations,
        Topic::Quarantine,
    ];
    for topic in topics {
        spawn_local(watch_topic(node.clone(), topic, stop.clone()));
    }
}

/// Returns once a topic may be watched after the start: the members have stopped changing.
async fn joined(node: &Node, topic: Topic) {
    tokio::time::sleep(if topic.is_global() { GLOBAL_JOIN_DELAY } else { JOIN_DELAY }).await;
    loop {
        let is_alone = node.members.borrow().others().next().is_none();
        let has_seeds = !node.seeds.borrow().is_empty();
        let max_delay = if is_alone { MAX_LONE_JOIN_DELAY } else { MAX_JOIN_DELAY };
        let is_meeting = is_alone && has_seeds;
        let is_changing = clock::since(node.members_changed.get()) < JOIN_DELAY;
        let is_settled = !is_meeting && !is_changing;
        if is_settled || clock::since(node.started) >= max_delay {
            return;
        }
        tokio::time::sleep(JOIN_DELAY / 4).await;
    }
}

async fn watch_topic(node: Rc<Node>, topic: Topic, stop: CancellationToken) {
    let mut role = Role::new(node.clone(), topic);
    let mut is_registered = topic != Topic::Config;
    let mut revision: Option<Revision> = None;
    let mut failures = 0_u32;
    tokio::select! {
        () = joined(&node, topic) => {}
        () = stop.cancelled() => return,
    }
    while !stop.is_cancelled() {
        // While probes fail, nothing else is sent to the platform.
        if !role.refresh() || node.store.is_disconnected() {
            revision = None;
            tokio::time::sleep(POLL_INTERVAL).await;
            continue;
        }
        let started_at = clock::now();
        let result = tokio::select! {
            result = list_or_watch(&node, topic, revision, failures) => result,
            () = node.store.disconnected() =>
                Err(StoreError::OutcomeUnknown(String::from("probe failed"))),
            () = renewal_due(&node, topic, revision) => {
                node.metrics.count("watch.renewed");
                slog::debug!(node.log, "watch renewed"; "kind" => topic.kind(),
                    "since" => revision, "latest" => node.store.latest_revision());
                continue;
            }
            () = role.lost() => continue,
            () = node.resumed.notified() => {
                revision = None;
                continue;
            }
            () = stop.cancelled() => return,
        };
        match result {
            Ok(next) => {
                failures = 0;
                revision = Some(next);
                if !is_registered {
                    is_registered = register(&node).await;
                }
            }
            Err(StoreError::HistoryCompacted) => {
                slog::info!(node.log, "watch history expired"; "kind" => topic.kind(),
                    "revision" => revision);
                revision = None;
            }
            Err(error) => {
                failures += 1;
                let open_for = clock::since(started_at);
                slog::info!(node.log, "watch broken"; "kind" => topic.kind(),
                    "fault" => %error, "failures" => failures,
                    "since" => revision, "open_ms" => open_for.as_millis() as u64,
                    "silence_ms" => ms_since_response(&node));
                on_watch_error(&node, revision.take(), &error, open_for, failures).await;
            }
        }
    }
}

/// Returns once a watch that starts now from `since` should be renewed, because another response
/// has shown a higher revision. Never returns for a list, or for a watch that already has the
/// shorter timeout.
async fn renewal_due(node: &Node, topic: Topic, since: Option<Revision>) {
    let timeouts = topic.watch_timeouts();
    let Some(since) = since else {
        return std::future::pending().await;
    };
    if timeouts.timeout(since, node.store.latest_revision()) <= timeouts.behind {
        return std::future::pending().await;
    }
    let started_at = clock::now();
    tokio::time::sleep(timeouts.behind).await;
    let is_due = || {
        let latest = node.store.latest_revision();
        timeouts.is_renewal_due(since, latest, clock::since(started_at))
    };
    while !is_due() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Handles the failure of a watch that was open for the given time, or of the list before
/// it.
async fn on_watch_error(
    node: &Node,
    revision: Option<Revision>,
    error: &StoreError,
    open_for: Duration,
    failures: u32,
) {
    node.store.on_watch_failed();
    if revision.is_none() {
        let now = clock::now();
        node.store.on_failure(error, now);
        node.store.on_probe_failed(now);
    } else if open_for >= RETRY_DELAY_BOUNDS[0] {
        // A single interrupted watch proves nothing; the list that follows does.
        return;
    }
    let delay = coordination::retry::backoff(
        failures,
        RETRY_DELAY_BOUNDS[0],
        RETRY_DELAY_BOUNDS[1],
        rand::random(),
    );
    tokio::time::sleep(delay).await;
}

/// Milliseconds since the platform last responded to this instance.
fn ms_since_response(node: &Node) -> Option<u64> {
    node.store.idle_time(clock::now()).map(|time| time.as_millis() as u64)
}

/// Lists or watches once, after a number of failures, and returns the revision to continue from.
async fn list_or_watch(
    node: &Rc<Node>,
    topic: Topic,
    revision: Option<Revision>,
    failures: u32,
) -> Result<Revision, StoreError> {
    let store = node.store.without_breaker();
    let Some(since) = revision else {
        node.store.count_call(CallReason::Watch);
        let factor = 2_u32.saturating_pow(failures).min(MAX_LIST_TIMEOUT_FACTOR);
        let store = store.with_timeout(store.timeout() * factor);
        let listing = store.list_all(topic.kind()).await?;
        node.store.on_response(clock::now());
        node.store.log_undecodable(topic.kind(), &listing.undecodable);
        let revision = listing.revision;
        node.store.on_revision(revision);
        if topic == Topic::Targets {
            releases::on_registry(&node.releases, &listing);
        }
        on_list(node, topic, listing).await?;
        return Ok(revision);
    };
    let wait = topic.watch_timeouts().timeout(since, node.store.latest_revision());
    node.store.count_call(CallReason::Watch);
    let watch = store.watch(topic.kind(), since, wait);
    let changes = tokio::time::timeout(wait + PROBE_TIMEOUT, watch).await.unwrap_or_else(|_| {
        Err(StoreError::OutcomeUnknown(String::from("the watch is overdue")))
    })?;
    node.store.on_response(clock::now());
    node.store.log_undecodable(topic.kind(), &changes.undecodable);
    let is_unchanged = changes.changes.is_empty() && changes.undecodable.is_empty();
    let revision = changes.revision;
    node.store.on_revision(revision);
    match topic {
        Topic::Decommissions => {
            for change in changes.changes.into_iter().filter(|change| !change.removed) {
                complete_decommission(node, &change.object).await?;
            }
        }
        Topic::Config => {
            let present = changes.changes.into_iter().filter(|change| !change.removed);
            present.for_each(|change| discovery::on_config_object(node, &change.object));
        }
        Topic::Targets => {
            releases::on_changes(&node.releases, &changes, since);
            discovery::on_changes(node, changes);
        }
        Topic::Evacuations => evacuation::on_watched(node, &changes),
        Topic::Quarantine => {
            let present = changes.changes.into_iter().filter(|change| !change.removed);
            let objects: Vec<Object> = present.map(|change| change.object).collect();
            quarantine::on_objects(node, &objects);
        }
    }
    if !is_unchanged && topic == Topic::Targets {
        tokio::time::sleep(CHANGE_BATCH_WINDOW).await;
    }
    Ok(revision)
}

async fn on_list(node: &Rc<Node>, topic: Topic, listing: Listing) -> Result<(), StoreError> {
    let objects = &listing.objects;
    match topic {
        Topic::Decommissions => {
            for object in objects {
                complete_decommission(node, object).await?;
            }
        }
        Topic::Config => {
            objects.iter().for_each(|object| discovery::on_config_object(node, object))
        }
        Topic::Targets => discovery::on_entries(node, &listing),
        Topic::Evacuations => evacuation::on_list(node, &listing),
        Topic::Quarantine => {
            quarantine::on_objects(node, objects);
            node.quarantine.is_known.set(true);
        }
    }
    Ok(())
}

/// Reports a machine as empty: gateways keep nothing on it.
async fn complete_decommission(node: &Rc<Node>, object: &Object) -> Result<(), StoreError> {
    if decommission::Status::is_complete(object.status.get()) {
        return Ok(());
    }
    let status = &decommission::Status::COMPLETE;
    let result = node
        .store
        .set_status(
            CallReason::Decommission,
            decommission::KIND,
            &object.name,
            object.revision,
            status,
        )
        .await;
    slog::info!(node.log, "machine reported as empty"; "machine" => &object.name,
        "revision" => object.revision, "written" => result.is_ok());
    match result {
        // Another instance was faster, the order was withdrawn, or a repetition fails too.
        Ok(_) | Err(StoreError::Conflict(_) | StoreError::NotFound | StoreError::Rejected(_)) => {
            Ok(())
        }
        Err(error) => Err(error),
    }
}

/// Registers this instance's address on the platform for instances that reach no seed.
/// `true` if it is registered.
async fn register(node: &Rc<Node>) -> bool {
    let name = &node.settings.name;
    let peer = node.as_holder().address;
    let entry =
        instance::Registration { peer_address: peer, data_centre: node.data_centre().clone() };
    match node.store.create(CallReason::Address, instance::KIND, name, &entry).await {
        Ok(_) | Err(StoreError::Conflict(_)) => true,
        Err(error) => {
            slog::info!(node.log, "instance registration failed"; "fault" => %error);
            false
        }
    }
}

/// Addresses of instances registered on the platform.
pub async fn registered_addresses(node: &Rc<Node>) -> Vec<SocketAddr> {
    let objects = match node.store.list_all(CallReason::Address, instance::KIND).await {
        Ok(listing) => listing.objects,
        Err(error) => {
            slog::info!(node.log, "instance list failed"; "fault" => %error);
            return Vec::new();
        }
    };
    let read = |object: &Object| instance::decode(object.spec.get()).ok();
    objects.iter().filter_map(read).map(|entry| entry.peer_address).collect()
}
