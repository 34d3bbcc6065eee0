//! Whether the platform still answers this instance, and who else reaches it.
//!
//! News of targets and of the configuration rests on watches, and a watch that will
//! never be answered looks like a quiet one: because the platform is silent to this
//! instance alone, because the connection has died without a word, or because the
//! request was lost in an outage that is over. So an instance that watches asks for
//! a sign of life whenever nothing was answered for a while. Without one it gives up
//! its watches and says so, and another instance of its data centre watches.
//!
//! Gains against waiting for overdue watches: news of a target that leaves comes
//! after 1.2 s instead of 6.7 s where the platform is silent to all that watch. A
//! sign of life costs a tenth of a call.

use super::call_reason::CallReason;
use super::message::{Connectivity, PeerRequest};
use super::node::Node;
use crate::clock;
use coordination::connectivity::Uptime;
use coordination::membership::Member;
use platform::instance;
use protocol::InstanceId;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;

/// Time between looks whether a sign of life is due.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for a sign of life until this instance counts as cut off, and for
/// the answer of a watch whose wait is over. The platform answers in 4 ms, in 240 ms
/// when it is sixty times slower.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a member that lost contact with the platform ranks behind others, if it
/// says nothing more.
const DISCONNECTED_TTL: Duration = Duration::from_secs(5);
/// Time between lines about the calls made.
const CALL_LOG_INTERVAL: Duration = Duration::from_secs(4);
/// Time after which an instance that stays cut off says so again: well before the
/// others forget it.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Asks for signs of life while this instance watches, and tells the others of its
/// data centre whether it has any, until `stop`.
pub async fn run(node: Rc<Node>, stop: CancellationToken) {
    let mut last_report = LastReport::default();
    let mut calls = BTreeMap::new();
    let mut calls_logged = clock::now();
    loop {
        tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            () = node.store.disconnected(), if !last_report.is_lost => {}
            () = stop.cancelled() => return,
        }
        let now = clock::now();
        let is_needed = node.watched.get() > 0 || node.store.is_disconnected();
        if is_needed && node.store.is_probe_due(now) && !node.is_probing.replace(true) {
            spawn_local(probe(node.clone()));
        }
        if last_report.is_due(node.store.is_disconnected(), now) {
            send_report(&node);
        }
        if now >= calls_logged + CALL_LOG_INTERVAL {
            calls_logged = now;
            log_calls(&node, &mut calls);
        }
    }
}

/// Logs which calls of the platform were made since it was done last.
fn log_calls(node: &Node, last_report: &mut BTreeMap<CallReason, u64>) {
    let calls = node.store.calls();
    let new = |(cause, count): (&CallReason, &u64)| {
        let before = last_report.get(cause).copied().unwrap_or_default();
        (*count > before).then(|| format!("{} {}", cause.name(), count - before))
    };
    let new: Vec<String> = calls.iter().filter_map(new).collect();
    if !new.is_empty() {
        slog::info!(node.log, "platform calls"; "counts" => new.join(", "),
            "within_s" => CALL_LOG_INTERVAL.as_secs());
    }
    *last_report = calls;
}

/// What the others were told last.
#[derive(Default)]
struct LastReport {
    is_lost: bool,
    at: Option<Instant>,
}

impl LastReport {
    /// Whether to tell them now; counts as told if so.
    fn is_due(&mut self, is_lost: bool, now: Instant) -> bool {
        let is_old = self.at.is_none_or(|at| now >= at + REPORT_INTERVAL);
        if is_lost == self.is_lost && !(is_lost && is_old) {
            return false;
        }
        *self = LastReport { is_lost, at: Some(now) };
        true
    }
}

/// Asks for one sign of life.
async fn probe(node: Rc<Node>) {
    let name = node.settings.name.clone();
    let mut touch = std::pin::pin!(node.store.probe(instance::KIND, &name));
    let in_time = tokio::time::timeout(PROBE_TIMEOUT, touch.as_mut()).await;
    let result = match in_time {
        Ok(result) => result,
        Err(_) => {
            node.store.on_probe_failed(clock::now());
            touch.await
        }
    };
    // The store's breaker has logged the fault.
    if result.is_err() {
        node.store.on_probe_failed(clock::now());
    }
    node.is_probing.set(false);
}

/// Tells the instances of the own data centre whether this one reaches the platform.
fn send_report(node: &Rc<Node>) {
    let ask = PeerRequest::Sync {
        from: node.id(),
        digest: node.state_digest(),
        connectivity: node.connectivity(),
    };
    let is_near = |member: &Member| member.data_centre == *node.data_centre();
    for member in node.others().into_iter().filter(is_near) {
        node.notify(member.peer, ask.clone());
    }
}

/// A member says whether it reaches the platform.
pub fn on_peer_report(node: &Node, member: InstanceId, connectivity: Connectivity) {
    let now = clock::now();
    let ago = |millis: u64| now.checked_sub(Duration::from_millis(millis));
    let series = connectivity.uptime.and_then(|answers| {
        Some(Uptime { since: ago(answers.since_ms)?, last: ago(answers.last_ms)? })
    });
    node.store.on_peer_report(series, connectivity.is_disconnected);
    let mut lost = node.disconnected.borrow_mut();
    if connectivity.is_disconnected {
        lost.insert(member, now + DISCONNECTED_TTL);
    } else {
        lost.remove(&member);
    }
}

/// Whether a member, or this instance, lately failed to reach the platform.
pub fn is_disconnected(node: &Node, member: InstanceId, now: Instant) -> bool {
    if member == node.id() {
        return node.store.is_disconnected();
    }
    node.disconnected.borrow().get(&member).is_some_and(|until| now < *until)
}
