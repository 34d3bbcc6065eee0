//! Notices that the machine was suspended, and has what was believed before looked at anew.
//!
//! Decisions that depend on time are right by themselves, since [`crate::clock`] counts the
//! time asleep. What is left are timers, which fire late by it: watches that wait,
//! comparisons, the rest of an account that has taken over.

use super::anti_entropy;
use super::node::Node;
use crate::clock;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;

/// Time between looks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest suspension that anything is done about: watches and members bear as much.
const MIN_SUSPENSION: Duration = Duration::from_millis(200);

/// Looks for suspensions until `stop`.
pub async fn run(node: Rc<Node>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        check(&node);
    }
}

/// Whoever decides by how long others have been silent looks first: the machine may have
/// woken in this moment, and have heard nobody because it slept.
pub fn check(node: &Rc<Node>) {
    let total = clock::suspended_for();
    let last = total.saturating_sub(node.suspended_for.get());
    if last < MIN_SUSPENSION {
        return;
    }
    node.suspended_for.set(total);
    slog::warn!(node.log, "was suspended"; "for_ms" => last.as_millis() as u64,
        "running" => node.in_flight.get(), "jobs" => node.jobs.held_count());
    node.metrics.count("suspended");
    node.leases.allocator.borrow_mut().on_resume(clock::now());
    node.resumed.notify_waiters();
    spawn_local(anti_entropy::compare(node.clone()));
}
