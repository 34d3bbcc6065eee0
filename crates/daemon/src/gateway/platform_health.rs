//! Probes of the platform, and which other instances reach it.
//!
//! Updates of targets and of the configuration depend on watches, and a watch that will
//! never get a response looks like one without changes: the platform may be unreachable from
//! this instance only, the connection may be dead, or the request was lost in an outage
//! that is over. An instance that watches therefore sends a probe when it hasn't received a
//! response for a while. If the probe fails, it gives up its watches and reports that, and
//! another instance of its data centre takes over. A probe is much cheaper than any other
//! call.

use super::call_reason::CallReason;
use super::digest::Connectivity;
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

/// Interval between checks whether a probe is due.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for a probe, and for the response of a watch beyond its own timeout. Leaves
/// room for a platform that is many times slower than normal.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a member reported as disconnected from the platform ranks behind others.
const DISCONNECTED_TTL: Duration = Duration::from_secs(5);
/// Interval between log lines about the calls made.
const CALL_LOG_INTERVAL: Duration = Duration::from_secs(4);
/// Interval at which a disconnected instance repeats its report; less than
/// [`DISCONNECTED_TTL`].
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Sends probes while this instance watches and reports its connectivity to the other
/// instances of its data centre, until `stop`.
pub async fn run(node: Rc<Node>, stop: CancellationToken) {
    let mut last_report = LastReport::default();
    let mut calls = BTreeMap::new();
    let mut calls_logged = clock::now();
    loop {
        tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            () = node.store.disconnected(), if !last_report.is_disconnected => {}
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

/// Logs the calls of the platform since the last time.
fn log_calls(node: &Node, last_calls: &mut BTreeMap<CallReason, u64>) {
    let calls = node.store.calls();
    let new = |(cause, count): (&CallReason, &u64)| {
        let before = last_calls.get(cause).copied().unwrap_or_default();
        (*count > before).then(|| format!("{} {}", cause.name(), count - before))
    };
    let new: Vec<String> = calls.iter().filter_map(new).collect();
    if !new.is_empty() {
        slog::info!(node.log, "platform calls"; "counts" => new.join(", "),
            "within_s" => CALL_LOG_INTERVAL.as_secs());
    }
    *last_calls = calls;
}

/// The last report sent to other instances.
#[derive(Default)]
struct LastReport {
    is_disconnected: bool,
    at: Option<Instant>,
}

impl LastReport {
    /// Whether a report is due; records it as sent if so.
    fn is_due(&mut self, is_disconnected: bool, now: Instant) -> bool {
        let is_old = self.at.is_none_or(|at| now >= at + REPORT_INTERVAL);
        if is_disconnected == self.is_disconnected && !(is_disconnected && is_old) {
            return false;
        }
        *self = LastReport { is_disconnected, at: Some(now) };
        true
    }
}

/// Sends one probe.
async fn probe(node: Rc<Node>) {
    let name = node.settings.name.clone();
    let mut probe = std::pin::pin!(node.store.probe(instance::KIND, &name));
    let in_time = tokio::time::timeout(PROBE_TIMEOUT, probe.as_mut()).await;
    let result = match in_time {
        Ok(result) => result,
        Err(_) => {
            node.store.on_probe_failed(clock::now());
            probe.await
        }
    };
    // The circuit breaker has logged the error.
    if result.is_err() {
        node.store.on_probe_failed(clock::now());
    }
    node.is_probing.set(false);
}

/// Reports to the other instances of this data centre whether this one reaches the
/// platform.
fn send_report(node: &Rc<Node>) {
    let request = node.comparison();
    let is_near = |member: &Member| member.data_centre == *node.data_centre();
    for member in node.others().into_iter().filter(is_near) {
        node.notify(member.peer, request.clone());
    }
}

/// Handles a member's report of its connectivity.
pub fn on_peer_report(node: &Node, member: InstanceId, connectivity: Connectivity) {
    let now = clock::now();
    let ago = |millis: u64| now.checked_sub(Duration::from_millis(millis));
    let uptime = connectivity.uptime.and_then(|answers| {
        Some(Uptime { since: ago(answers.since_ms)?, last: ago(answers.last_ms)? })
    });
    node.store.on_peer_report(uptime, connectivity.is_disconnected);
    let mut disconnected = node.disconnected.borrow_mut();
    if connectivity.is_disconnected {
        disconnected.insert(member, now + DISCONNECTED_TTL);
    } else if disconnected.remove(&member).is_some() {
        node.store.on_peer_regained(now);
    }
}

/// Whether a member, or this instance, is currently disconnected from the platform.
pub fn is_disconnected(node: &Node, member: InstanceId, now: Instant) -> bool {
    if member == node.id() {
        return node.store.is_disconnected();
    }
    node.disconnected.borrow().get(&member).is_some_and(|until| now < *until)
}
