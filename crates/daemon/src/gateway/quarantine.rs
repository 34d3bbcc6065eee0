//! Quarantines requests that crash their targets, on all instances.
//!
//! [`super::crash`] detects crashes. Each produces a crash report for every request that ran on
//! that target. The reports are sent to all instances, and [`coordination::quarantine`] decides
//! by them. Those of quarantined requests are also stored on the platform, in case all instances
//! restart at once.

use super::broadcast;
use super::call_reason::CallReason;
use super::crash::hex;
use super::message::{PeerReply, PeerRequest, Update};
use super::node::{Node, unix_millis};
use crate::clock;
use coordination::hash;
use coordination::membership::Member;
use coordination::quarantine::{CrashReport, Decision, TargetStart};
use platform::quarantine::KIND;
use platform::store::{Object, StoreError};
use protocol::{Millis, RequestFingerprint};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;

const TRIAL_TIMEOUT: Duration = Duration::from_millis(100);
/// Quarantine after a trial was not granted: another trial is in progress, or the owner can't be
/// reached.
const TRIAL_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Number of crashes from which a request is logged when its reports come from other instances,
/// since every request that ran on a crashed target has one report.
const MIN_LOGGED_CRASHES: usize = 2;
/// Time between checks for quarantined requests that are not stored: the owner may have changed.
/// After a failed write there is one as soon as the platform replies again.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// The stored form of a quarantined request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    /// Time of the write, to which the ages of the crash reports refer.
    written: Millis,
    #[serde(rename = "strikes")]
    crash_reports: Vec<CrashReport>,
}

/// Whether a request may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is not quarantined.
    Allowed,
    /// It may be sent once; the outcome decides whether it stays quarantined.
    Trial,
    /// It is quarantined for this much longer.
    Quarantined(Duration),
}

/// Records and broadcasts that requests ran on a target when it crashed.
pub fn on_crash(node: &Rc<Node>, start: &TargetStart, fingerprints: &[RequestFingerprint]) {
    let reports: Vec<CrashReport> = fingerprints
        .iter()
        .map(|fingerprint| CrashReport::new(*fingerprint, start.clone()))
        .collect();
    let new_reports = on_crash_reports(node, reports, "own");
    broadcast_reports(node, new_reports);
}

/// Clears a request that was completed by a target.
pub fn on_success(node: &Rc<Node>, fingerprint: impl FnOnce() -> RequestFingerprint) {
    if node.quarantine.borrow().is_empty() {
        return;
    }
    let fingerprint = fingerprint();
    let now = clock::now();
    let was_quarantined = node.quarantine.borrow().decide(fingerprint, now) != Decision::Allowed;
    let cleared = node.quarantine.borrow_mut().on_success(fingerprint, now);
    if cleared.is_empty() {
        return;
    }
    slog::info!(node.log, "request cleared"; "content" => hex(fingerprint),
        "strikes" => cleared.len(), "was_held" => was_quarantined);
    broadcast_reports(node, cleared);
    if was_quarantined {
        spawn_local(delete(node.clone(), fingerprint));
    }
}

/// Records crash reports; returns those that were new. `from` is the source to log.
pub fn on_crash_reports(node: &Node, reports: Vec<CrashReport>, from: &str) -> Vec<CrashReport> {
    let now = clock::now();
    let mut table = node.quarantine.borrow_mut();
    let new_reports: Vec<CrashReport> =
        reports.into_iter().filter(|report| table.on_crash_report(report.clone(), now)).collect();
    for report in &new_reports {
        let crashes = table.crashes(report.fingerprint);
        if crashes < MIN_LOGGED_CRASHES && from != "own" {
            continue;
        }
        let decision = table.decide(report.fingerprint, now);
        slog::info!(node.log, "crash report recorded"; "content" => hex(report.fingerprint),
            "target" => &report.start.target, "born" => report.start.started_at,
            "acquitted" => report.is_cleared, "age_ms" => report.age_ms, "from" => from,
            "crashes" => crashes, "verdict" => ?decision);
    }
    if !new_reports.is_empty() {
        node.crash_reports_changed.notify_one();
    }
    new_reports
}

fn broadcast_reports(node: &Rc<Node>, reports: Vec<CrashReport>) {
    if !reports.is_empty() {
        broadcast::send(node, Update::CrashReports(reports));
    }
}

/// Whether a request may be sent. A due trial is requested from the owner of the request.
pub async fn admit(node: &Node, fingerprint: impl FnOnce() -> RequestFingerprint) -> Admission {
    if node.quarantine.borrow().quarantined() == 0 {
        return Admission::Allowed;
    }
    let fingerprint = fingerprint();
    let decision = node.quarantine.borrow().decide(fingerprint, clock::now());
    match decision {
        Decision::Allowed => Admission::Allowed,
        Decision::Quarantined(remaining) => Admission::Quarantined(remaining),
        Decision::TrialDue if request_trial(node, fingerprint).await => {
            slog::info!(node.log, "trial of a quarantined request"; "content" => hex(fingerprint));
            Admission::Trial
        }
        Decision::TrialDue => Admission::Quarantined(TRIAL_RETRY_DELAY),
    }
}

/// How much longer a request is quarantined; checked again after it has waited for a slot.
pub fn remaining_quarantine(
    node: &Node,
    fingerprint: impl FnOnce() -> RequestFingerprint,
) -> Option<Duration> {
    let table = node.quarantine.borrow();
    if table.quarantined() == 0 {
        return None;
    }
    match table.decide(fingerprint(), clock::now()) {
        Decision::Allowed => None,
        Decision::Quarantined(remaining) => Some(remaining),
        Decision::TrialDue => Some(TRIAL_RETRY_DELAY),
    }
}

/// The instance that grants the trials of a request and stores it while quarantined.
fn owner(node: &Node, fingerprint: RequestFingerprint) -> Option<Member> {
    let members = node.members.borrow();
    let ids = members.workers().map(|member| member.id);
    let id = hash::owner(&fingerprint.to_le_bytes(), ids)?;
    members.workers().find(|member| member.id == id).cloned()
}

fn is_owner(node: &Node, fingerprint: RequestFingerprint) -> bool {
    owner(node, fingerprint).is_some_and(|owner| owner.id == node.id())
}

async fn request_trial(node: &Node, fingerprint: RequestFingerprint) -> bool {
    match owner(node, fingerprint) {
        Some(owner) if owner.id != node.id() => {
            let reply =
                node.request(owner.peer, &PeerRequest::Trial(fingerprint), TRIAL_TIMEOUT).await;
            matches!(reply, Ok(PeerReply::Trial(true)))
        }
        Some(_) => on_trial(node, fingerprint),
        None => false,
    }
}

/// Handles a request for a trial; `true` grants it.
pub fn on_trial(node: &Node, fingerprint: RequestFingerprint) -> bool {
    node.quarantine.borrow_mut().on_trial(fingerprint, clock::now())
}

/// All crash reports of requests with several crashes, for other instances.
pub fn crash_reports(node: &Node) -> Vec<CrashReport> {
    node.quarantine.borrow().crash_reports(clock::now())
}

/// Stores the quarantined requests that this instance owns on the platform, until `stop`.
pub async fn persist(node: Rc<Node>, stop: CancellationToken) {
    let mut written: HashMap<RequestFingerprint, usize> = HashMap::new();
    loop {
        tokio::select! {
            () = node.crash_reports_changed.notified() => {}
            () = node.store.regained() => {}
            () = tokio::time::sleep(WRITE_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        let quarantined = node.quarantine.borrow().quarantined_requests();
        written.retain(|fingerprint, _| quarantined.iter().any(|(id, _)| id == fingerprint));
        for (fingerprint, crashes) in quarantined {
            let is_known = written.get(&fingerprint).is_some_and(|known| *known >= crashes);
            if is_known || !is_owner(&node, fingerprint) {
                continue;
            }
            if write(&node, fingerprint).await {
                written.insert(fingerprint, crashes);
            }
        }
    }
}

/// Stores a quarantined request; returns whether it succeeded.
async fn write(node: &Node, fingerprint: RequestFingerprint) -> bool {
    let crash_reports = node.quarantine.borrow().crash_reports_of(fingerprint, clock::now());
    let entry = Entry { written: unix_millis(), crash_reports };
    let name = hex(fingerprint);
    let created = node.store.create(CallReason::Quarantine, KIND, &name, &entry).await;
    let result = match created {
        Err(StoreError::Conflict(_)) => {
            node.store.replace(CallReason::Quarantine, KIND, &name, &entry).await
        }
        result => result,
    };
    slog::info!(node.log, "quarantined request stored"; "content" => &name,
        "strikes" => entry.crash_reports.len(), "fault" => result.as_ref().err().map(StoreError::to_string));
    result.is_ok()
}

/// Deletes a stored request that is no longer quarantined. If this fails, the request is
/// quarantined again after a restart of all instances, until its trial.
async fn delete(node: Rc<Node>, fingerprint: RequestFingerprint) {
    let name = hex(fingerprint);
    if let Err(error) = node.store.delete(CallReason::Quarantine, KIND, &name, None).await {
        slog::info!(node.log, "deleting quarantined request failed"; "content" => &name, "fault" => %error);
    }
}

/// Records the quarantined requests read from the platform.
pub fn on_objects(node: &Rc<Node>, objects: &[Object]) {
    let now = unix_millis();
    let mut reports = Vec::new();
    for object in objects {
        match serde_json::from_str::<Entry>(object.spec.get()) {
            Ok(entry) => {
                let elapsed = now.saturating_sub(entry.written);
                reports.extend(entry.crash_reports.into_iter().map(|report| report.aged(elapsed)));
            }
            Err(error) => slog::warn!(node.log, "quarantined request is malformed";
                "content" => &object.name, "error" => %error),
        }
    }
    let new_reports = on_crash_reports(node, reports, "platform");
    broadcast_reports(node, new_reports);
}
