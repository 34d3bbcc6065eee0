//! Finds out whether a target whose responses were interrupted has crashed.
//!
//! A broken connection looks the same if it was reset, if the target closed it, and if the
//! target's process is gone. Only the last is a reason to suspect the requests that ran there, so
//! the target's address is probed, once for all of them.

use super::node::Node;
use super::quarantine;
use coordination::presence::CLOSE_WINDOW;
use coordination::quarantine::{Contents, Suspect, TargetStart};
use coordination::slots::Grant;
use protocol::TargetId;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::spawn_local;

/// A request or item whose response was interrupted.
#[derive(Clone, Debug)]
pub struct BrokenRequest {
    /// Id of the request or item.
    pub id: String,
    /// What it may have crashed the target by.
    pub contents: Contents,
    /// Whether the target had sent an event of this run.
    pub has_event: bool,
    /// Whether it is an item of a job. Items never crash targets.
    pub is_item: bool,
}

impl BrokenRequest {
    /// What the crash may be due to. A part of a prompt crashes a target before the first event.
    fn suspects(&self) -> impl Iterator<Item = Suspect> {
        let suspects = self.contents.suspects().filter(|_| !self.is_item);
        suspects.filter(|suspect| !(suspect.is_part() && self.has_event))
    }
}

/// Targets with a check in progress, and the requests interrupted there.
#[derive(Default)]
pub struct CrashChecks(RefCell<HashMap<TargetId, Vec<BrokenRequest>>>);

/// Schedules a check of a target after one of its responses was interrupted.
pub fn on_interrupted(node: &Rc<Node>, grant: &Grant, request: BrokenRequest) {
    let is_first = {
        let mut pending = node.crash_checks.0.borrow_mut();
        let interrupted = pending.entry(grant.target.clone()).or_default();
        interrupted.push(request);
        interrupted.len() == 1
    };
    if is_first {
        spawn_local(check_target(node.clone(), grant.target.clone(), grant.address));
    }
}

async fn check_target(node: Rc<Node>, target: TargetId, address: SocketAddr) {
    // Responses of a process that ends are interrupted within this time, and share one probe.
    tokio::time::sleep(CLOSE_WINDOW).await;
    let presence = node.targets.probe(address).await;
    let interrupted = node.crash_checks.0.borrow_mut().remove(&target).unwrap_or_default();
    // A target that has left may close its connections at its end.
    let is_unusable = node.registry.borrow().is_unusable(&target);
    let ids: Vec<&String> = interrupted.iter().map(|request| &request.id).collect();
    let fingerprints: Vec<String> =
        interrupted.iter().map(|request| hex(request.contents.request)).collect();
    let without_event = interrupted.iter().filter(|request| !request.has_event);
    let parts_without_event: Vec<Vec<String>> = without_event
        .map(|request| request.contents.parts.iter().map(|part| hex(*part)).collect())
        .collect();
    let is_crash = presence.is_crash(is_unusable);
    slog::info!(node.log, "responses interrupted"; "target" => &target, "address" => %address,
        "presence" => ?presence, "has_left" => is_unusable,
        "is_crash" => is_crash, "requests" => ?ids, "contents" => ?fingerprints,
        "parts_without_event" => ?parts_without_event);
    if is_crash {
        let started_at = node.registry.borrow().get(&target).map_or(0, |target| target.started_at);
        let suspects = interrupted.iter().flat_map(BrokenRequest::suspects);
        quarantine::on_crash(&node, &TargetStart { target, started_at }, suspects);
    }
}

/// A fingerprint as written in logs and object names.
pub fn hex(fingerprint: u64) -> String {
    format!("{fingerprint:016x}")
}
