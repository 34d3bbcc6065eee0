//! Applies changes of the configuration and of the target registry.
//!
//! Changes come from [`super::watch`] or from other instances; new ones are forwarded over
//! [`super::broadcast`], and [`super::anti_entropy`] repairs lost updates.

use super::message::Update;
use super::node::{Config, Node, Start};
use super::{allocator, broadcast};
use crate::clock;
use coordination::registry::{Change, Delta, REREGISTRATION_GRACE};
use platform::store::{Changes, Listing, Object, Revision};
use platform::{config, target};
use protocol::routing::{Table, Target, Version};
use protocol::secret::Secret;
use protocol::workspace::Directory;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;

/// Interval between checks for missing targets to remove.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Changes logged one by one; a larger batch is logged as a count.
const MAX_LOGGED_CHANGES: usize = 64;
/// Changes sent in one message: few enough to arrive within its timeout on a slow link.
const MAX_CHANGES_PER_MESSAGE: usize = 256;
/// Missing targets listed in a log line.
const MAX_LOGGED_TARGETS: usize = 8;
/// Removes targets that stayed missing for too long, until `stop`.
pub async fn run(node: Rc<Node>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(EXPIRY_CHECK_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        let expired = node.registry.borrow_mut().remove_expired(clock::now());
        if !expired.is_empty() {
            on_changed(&node, &expired, "expired");
            broadcast::send(&node, Update::Targets(expired));
        }
    }
}

/// How a configuration was sent by another instance.
#[derive(Clone, Copy, Debug)]
pub struct Transmission {
    /// Bytes of the parts that were sent.
    pub bytes: usize,
    /// Time for which this instance had known of the version.
    pub waited: Duration,
}

/// Applies a version of the configuration unless it is older than the current one. Returns
/// whether it came into force now.
pub fn on_config(
    node: &Rc<Node>,
    version: Version,
    text: &Secret,
    from: &str,
    sent: Option<Transmission>,
) -> bool {
    if version <= current_version(node) {
        return false;
    }
    match config::decode(text.expose().as_bytes()) {
        Ok(table) => {
            put_in_force(node, table, from, sent);
            true
        }
        Err(error) => {
            slog::error!(node.log, "invalid configuration"; "version" => version,
                "from" => from, "error" => %error);
            false
        }
    }
}

/// As [`on_config`], with a text that came in one piece.
pub fn on_config_text(node: &Rc<Node>, version: Version, text: &Secret, from: &str) -> bool {
    let is_applied = on_config(node, version, text, from, None);
    if is_applied {
        publish_config(node, version, text.clone());
    }
    is_applied
}

fn current_version(node: &Node) -> Version {
    node.config().map_or(0, |config| config.table.version)
}

fn put_in_force(node: &Rc<Node>, table: Table, from: &str, sent: Option<Transmission>) {
    let version = table.version;
    slog::info!(node.log, "configuration in force"; "version" => version,
        "before" => current_version(node), "from" => from, "routes" => table.routes.len(),
        "workspaces" => table.workspaces.as_ref().map(Directory::len),
        "bytes" => sent.map(|sent| sent.bytes),
        "waited_ms" => sent.map(|sent| sent.waited.as_millis() as u64));
    allocator::set_services(node, &table.services);
    let config = Config { table, since: clock::now() };
    *node.config.borrow_mut() = Some(Rc::new(config));
    node.members.borrow_mut().set_own_generation(version);
    node.outbox.configs.on_done(version);
    node.jobs.wake();
}

/// Splits the text of the configuration in force for the instances that fetch it. In a task of its
/// own, since it takes longer than the announcement that it follows.
fn publish_config(node: &Rc<Node>, version: Version, text: Secret) {
    let node = node.clone();
    spawn_local(async move { node.outbox.configs.parts.publish(version, text.expose()) });
}

/// Applies changes of the registry that another instance sent; returns whether any was new. An
/// earlier build passes on entries that are out of bounds.
pub fn on_targets(node: &Rc<Node>, changes: Vec<Change>, from: &str) -> bool {
    let applied: Vec<Change> = {
        let mut registry = node.registry.borrow_mut();
        let changes = changes.into_iter().filter(is_within_bounds);
        changes.filter(|change| registry.on_change(change.clone())).collect()
    };
    on_changed(node, &applied, from);
    !applied.is_empty()
}

fn is_within_bounds(change: &Change) -> bool {
    match change {
        Change::Present(target) => target.is_within_bounds(),
        Change::Gone { .. } => true,
    }
}

/// Logs applied changes and wakes those that wait for slots.
fn on_changed(node: &Rc<Node>, applied: &[Change], from: &str) {
    if applied.is_empty() {
        return;
    }
    if applied.len() > MAX_LOGGED_CHANGES {
        slog::info!(node.log, "targets updated"; "changes" => applied.len(), "from" => from,
            "revision" => node.registry.borrow().revision());
    }
    for change in applied.iter().filter(|_| applied.len() <= MAX_LOGGED_CHANGES) {
        match change {
            Change::Present(target) => slog::info!(node.log, "target";
                "target" => &target.id, "service" => &target.service,
                "address" => %target.address, "leaving" => target.leaving,
                "software" => &target.software,
                "revision" => target.revision, "from" => from),
            Change::Gone { id, revision, .. } => slog::info!(node.log, "target gone";
                "target" => id, "revision" => revision, "from" => from),
        }
    }
    record_starts(node, applied);
    let registry = node.registry.borrow();
    let addresses: Vec<SocketAddr> = registry.usable().map(|target| target.address).collect();
    drop(registry);
    node.targets.retain_idle(|address| addresses.contains(&address));
    allocator::grant_waiters(node);
    node.jobs.wake();
}

/// Closes connections to the previous process of a target that restarted under its id.
fn record_starts(node: &Node, applied: &[Change]) {
    let mut starts = node.starts.borrow_mut();
    let now = clock::now();
    for change in applied {
        match change {
            Change::Present(target) => {
                let before = starts.get(&target.id).copied();
                if before.is_some_and(|before| before.started_at == target.started_at) {
                    continue;
                }
                let start = Start { started_at: target.started_at, known_since: now };
                starts.insert(target.id.clone(), start);
                if let Some(before) = before {
                    slog::info!(node.log, "target restarted"; "target" => &target.id,
                        "born" => target.started_at, "before" => before.started_at);
                    node.targets.close_idle(target.address);
                }
            }
            Change::Gone { id, .. } => drop(starts.remove(id)),
        }
    }
}

/// Handles a full listing of the registry.
pub fn on_entries(node: &Rc<Node>, listing: &Listing) {
    let now = clock::now();
    let available_since = node.store.reachable_since();
    let mut delta = Delta::default();
    let mut targets = Vec::new();
    for object in &listing.objects {
        match read_target(node, object) {
            Ok(target) => targets.push(target),
            Err(revision) => mark_invalid(node, &object.name, revision, &mut delta),
        }
    }
    for name in listing.undecodable.iter().filter_map(|found| found.name.as_ref()) {
        mark_invalid(node, name, listing.revision, &mut delta);
    }
    let listed =
        node.registry.borrow_mut().on_list(targets, listing.revision, available_since, now);
    delta.changes.extend(listed.changes);
    delta.added.extend(listed.added);
    delta.missing.extend(listed.missing);
    on_delta(node, delta);
}

/// Handles registry changes delivered by a watch.
pub fn on_changes(node: &Rc<Node>, changes: Changes) {
    let available_since = node.store.reachable_since();
    let now = clock::now();
    let mut delta = Delta::default();
    let latest: HashMap<String, usize> = changes
        .changes
        .iter()
        .enumerate()
        .map(|(index, change)| (change.object.name.clone(), index))
        .collect();
    for (index, change) in changes.changes.iter().enumerate() {
        let name = &change.object.name;
        // Only the last change of each entry counts: the revision is that of the whole
        // response, so an earlier removal would override the new entry of a target that
        // came back.
        if latest.get(name) != Some(&index) {
            continue;
        }
        if change.removed {
            let mut registry = node.registry.borrow_mut();
            registry.on_removed(name, changes.revision, available_since, now, &mut delta);
            continue;
        }
        match read_target(node, &change.object) {
            Ok(target) => on_entry(node, target, &mut delta),
            Err(revision) => mark_invalid(node, name, revision, &mut delta),
        }
    }
    node.registry.borrow_mut().set_complete_through(changes.revision);
    let undecodable = changes.undecodable.iter().filter_map(|found| found.name.as_ref());
    for name in undecodable.filter(|name| !latest.contains_key(*name)) {
        mark_invalid(node, name, changes.revision, &mut delta);
    }
    on_delta(node, delta);
}

fn on_entry(node: &Node, target: Target, delta: &mut Delta) {
    node.registry.borrow_mut().on_entry(target, delta);
}

/// An invalid entry makes its target unusable but doesn't mean that the target leaves: the
/// target rewrites its entry with the next heartbeat.
fn mark_invalid(node: &Node, id: &str, revision: Revision, delta: &mut Delta) {
    node.registry.borrow_mut().on_invalid(id, revision, delta);
}

/// Logs and broadcasts what the platform reported.
fn on_delta(node: &Rc<Node>, delta: Delta) {
    let Delta { changes, added, missing } = delta;
    if !missing.is_empty() {
        let available_since =
            node.store.reachable_since().map(|at| clock::since(at).as_millis() as u64);
        slog::info!(node.log, "targets missing"; "count" => missing.len(),
            "targets" => ?missing.iter().take(MAX_LOGGED_TARGETS).collect::<Vec<_>>(),
            "platform_back_ms" => available_since,
            "bound_ms" => REREGISTRATION_GRACE.as_millis() as u64);
    }
    // Of many new targets other instances learn when they compare. Sent to all by every watcher,
    // those of a fleet that starts would fill the links.
    let broadcast_count = if added.len() <= MAX_CHANGES_PER_MESSAGE { added.len() } else { 0 };
    let mut applied = changes;
    let urgent_count = applied.len();
    applied.extend(added);
    on_changed(node, &applied, "platform");
    applied.truncate(urgent_count + broadcast_count);
    for changes in applied.chunks(MAX_CHANGES_PER_MESSAGE) {
        broadcast::send(node, Update::Targets(changes.to_vec()));
    }
}

/// Decodes an entry. The error is the revision at which the entry became invalid.
fn read_target(node: &Node, object: &Object) -> Result<Target, Revision> {
    target::decode(&object.name, object.revision, object.spec.get()).map_err(|error| {
        slog::warn!(node.log, "invalid target entry"; "target" => &object.name,
            "fault" => %error, "revision" => object.revision);
        object.revision
    })
}

/// Handles an object of the configuration's kind; all but the named one are ignored.
pub fn on_config_object(node: &Rc<Node>, object: &Object) {
    if object.name != config::NAME {
        return;
    }
    let text = object.spec.get();
    let table = match config::decode(text.as_bytes()) {
        Ok(table) => table,
        Err(error) => {
            slog::error!(node.log, "invalid configuration";
                "revision" => object.revision, "error" => %error);
            return;
        }
    };
    let version = table.version;
    if version > current_version(node) {
        put_in_force(node, table, "platform", None);
        broadcast::send(node, Update::Config(version));
        publish_config(node, version, Secret::from(text.to_owned()));
    }
}
