//! Configuration and targets, as they are learnt from the platform or from peers.
//!
//! [`super::watch`] brings what changed on the platform; what is news is told to
//! all other instances over [`super::broadcast`], and what is lost on the way,
//! [`super::anti_entropy`] makes up for.

use super::broadcast;
use super::message::Update;
use super::node::{Config, Node};
use crate::clock;
use coordination::registry::{Change, Delta, REREGISTRATION_GRACE};
use platform::store::{Changes, Listing, Object, Revision};
use platform::{config, target};
use protocol::routing::{Target, Version};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Time between looks for targets that stayed away for too long.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Changes of targets that get a line each when they are learnt together.
const MAX_LOGGED_CHANGES: usize = 64;
/// Missing targets that are named in a line.
const MAX_LOGGED_TARGETS: usize = 8;
/// Removes what has stayed missing, until `stop`.
pub async fn run(node: Rc<Node>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(EXPIRY_CHECK_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        let lapsed = node.registry.borrow_mut().remove_expired(clock::now());
        if !lapsed.is_empty() {
            on_changed(&node, &lapsed, "lapsed");
            broadcast::send(&node, Update::Targets(lapsed));
        }
    }
}

/// Takes in a version of the configuration; an earlier one is passed over.
/// `true` when it is in force now and wasn't before.
pub fn on_config(node: &Rc<Node>, version: Version, text: &str, from: &str) -> bool {
    let known = node.config().map_or(0, |config| config.table.version);
    if version <= known {
        return false;
    }
    match config::decode(text.as_bytes()) {
        Ok(table) => {
            slog::info!(node.log, "configuration in force"; "version" => version,
                "before" => known, "from" => from, "routes" => table.routes.len());
            let config = Config { table, text: text.to_owned(), since: clock::now() };
            *node.config.borrow_mut() = Some(Rc::new(config));
            node.jobs.wake();
            true
        }
        Err(error) => {
            slog::error!(node.log, "configuration not understood"; "version" => version,
                "from" => from, "error" => %error);
            false
        }
    }
}

/// Takes in changes of the registry; `true` when any was news.
pub fn on_targets(node: &Rc<Node>, changes: Vec<Change>, from: &str) -> bool {
    let news: Vec<Change> = {
        let mut registry = node.registry.borrow_mut();
        changes.into_iter().filter(|change| registry.on_change(change.clone())).collect()
    };
    on_changed(node, &news, from);
    !news.is_empty()
}

/// Logs changes that were taken in, and lets those that wait for slots know.
fn on_changed(node: &Rc<Node>, news: &[Change], from: &str) {
    if news.is_empty() {
        return;
    }
    if news.len() > MAX_LOGGED_CHANGES {
        slog::info!(node.log, "targets"; "changes" => news.len(), "from" => from,
            "revision" => node.registry.borrow().revision());
    }
    for change in news.iter().filter(|_| news.len() <= MAX_LOGGED_CHANGES) {
        match change {
            Change::Present(target) => slog::info!(node.log, "target";
                "target" => &target.id, "service" => &target.service,
                "address" => %target.address, "leaving" => target.leaving,
                "revision" => target.revision, "from" => from),
            Change::Gone { id, revision } => slog::info!(node.log, "target gone";
                "target" => id, "revision" => revision, "from" => from),
        }
    }
    note_births(node, news);
    let registry = node.registry.borrow();
    let addresses: Vec<SocketAddr> = registry.usable().map(|target| target.address).collect();
    drop(registry);
    node.targets.retain_idle(|address| addresses.contains(&address));
    super::allocator::grant_waiters(node);
    node.jobs.wake();
}

/// Targets may start again under their ids: no connection to the earlier start is used.
fn note_births(node: &Node, news: &[Change]) {
    let mut births = node.start_times.borrow_mut();
    for change in news {
        match change {
            Change::Present(target) => {
                let before = births.insert(target.id.clone(), target.started_at);
                if before.is_some_and(|before| before != target.started_at) {
                    slog::info!(node.log, "target started again"; "target" => &target.id,
                        "born" => target.started_at, "before" => before);
                    node.targets.close_idle(target.address);
                }
            }
            Change::Gone { id, .. } => drop(births.remove(id)),
        }
    }
}

/// All entries of the registry were read.
pub fn on_entries(node: &Rc<Node>, listing: &Listing) {
    let now = clock::now();
    let regained = node.store.reachable_since();
    let mut learnt = Delta::default();
    let mut targets = Vec::new();
    for object in &listing.objects {
        match read_target(node, object) {
            Ok(target) => targets.push(target),
            Err(revision) => spoil(node, &object.name, revision, &mut learnt),
        }
    }
    for name in listing.unreadable.iter().filter_map(|found| found.name.as_ref()) {
        spoil(node, name, listing.revision, &mut learnt);
    }
    let listed = node.registry.borrow_mut().on_list(targets, listing.revision, regained, now);
    learnt.changes.extend(listed.changes);
    learnt.missing.extend(listed.missing);
    on_learnt(node, learnt);
}

/// A watch brought changes of the registry.
pub fn on_changes(node: &Rc<Node>, changes: Changes) {
    let regained = node.store.reachable_since();
    let now = clock::now();
    let mut learnt = Delta::default();
    let latest: HashMap<String, usize> = changes
        .changes
        .iter()
        .enumerate()
        .map(|(at, change)| (change.object.name.clone(), at))
        .collect();
    for (at, change) in changes.changes.iter().enumerate() {
        let name = &change.object.name;
        // What one answer brings of an entry counts as it stands at its end: the revision
        // is that of the whole answer, so the removal of a target that has come back since
        // would outdo its new entry.
        if latest.get(name) != Some(&at) {
            continue;
        }
        if change.removed {
            let mut registry = node.registry.borrow_mut();
            registry.on_removed(name, changes.revision, regained, now, &mut learnt);
            continue;
        }
        match read_target(node, &change.object) {
            Ok(target) => on_entry(node, target, &mut learnt),
            Err(revision) => spoil(node, name, revision, &mut learnt),
        }
    }
    let unreadable = changes.unreadable.iter().filter_map(|found| found.name.as_ref());
    for name in unreadable.filter(|name| !latest.contains_key(*name)) {
        spoil(node, name, changes.revision, &mut learnt);
    }
    on_learnt(node, learnt);
}

fn on_entry(node: &Node, target: Target, learnt: &mut Delta) {
    node.registry.borrow_mut().on_entry(target, learnt);
}

/// An entry that another writer has spoilt names no target to use. It doesn't say that the
/// target leaves: the target writes its entry anew with its next heartbeat, and is used
/// again then.
fn spoil(node: &Node, id: &str, revision: Revision, learnt: &mut Delta) {
    node.registry.borrow_mut().on_invalid(id, revision, learnt);
}

/// Passes on what the platform's word changed.
fn on_learnt(node: &Rc<Node>, learnt: Delta) {
    let Delta { changes: news, missing } = learnt;
    if !missing.is_empty() {
        let regained = node.store.reachable_since().map(|at| clock::since(at).as_millis() as u64);
        slog::info!(node.log, "targets missing"; "count" => missing.len(),
            "targets" => ?missing.iter().take(MAX_LOGGED_TARGETS).collect::<Vec<_>>(),
            "platform_back_ms" => regained, "bound_ms" => REREGISTRATION_GRACE.as_millis() as u64);
    }
    on_changed(node, &news, "platform");
    if !news.is_empty() {
        broadcast::send(node, Update::Targets(news));
    }
}

/// Reads an entry; an error is the revision as of which it names no target.
fn read_target(node: &Node, object: &Object) -> Result<Target, Revision> {
    target::decode(&object.name, object.revision, object.spec.get()).map_err(|fault| {
        slog::warn!(node.log, "entry of a target not understood"; "target" => &object.name,
            "fault" => %fault, "revision" => object.revision);
        object.revision
    })
}

/// An object of the configuration's kind was read.
pub fn on_config_object(node: &Rc<Node>, object: &Object) {
    if object.name != config::NAME {
        return;
    }
    let text = object.spec.get();
    let version = match config::decode(text.as_bytes()) {
        Ok(table) => table.version,
        Err(error) => {
            slog::error!(node.log, "configuration not understood";
                "revision" => object.revision, "error" => %error);
            return;
        }
    };
    if on_config(node, version, text, "platform") {
        broadcast::send(node, Update::Config(version));
    }
}
