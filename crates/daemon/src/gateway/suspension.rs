//! Detects that the machine was suspended, and refreshes state that may be outdated.
//!
//! Decisions by time are correct without it, since [`crate::clock`] counts suspended time. Timers,
//! however, fire late: those of watches, of anti-entropy, and of an allocator that is settling.

use super::anti_entropy;
use super::node::Node;
use crate::clock;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;

const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Shorter suspensions are ignored; watches and membership tolerate them.
const MIN_SUSPENSION: Duration = Duration::from_millis(200);

/// Checks for suspensions until `stop`.
pub async fn run(node: Rc<Node>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        check(&node);
    }
}

/// Checks for a suspension now. To be called before deciding that others are unresponsive, since
/// the machine may have resumed just now.
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
