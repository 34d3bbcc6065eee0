//! Quarantines requests, and parts of prompts, that crash their targets, on all instances.
//!
//! [`super::crash`] detects crashes. Each produces a crash report for every request that ran on
//! that target, and for the parts of those to which it had not begun to respond. The reports are
//! sent to all instances, and [`coordination::quarantine`] decides by them. Those of quarantined
//! suspects are also stored on the platform, in case all instances restart at once.
//!
//! An instance whose targets have responded to a suspected part clears it for all others.

use super::broadcast;
use super::call_reason::CallReason;
use super::crash::hex;
use super::message::{PeerReply, PeerRequest, Update};
use super::node::{Node, unix_millis};
use crate::clock;
use coordination::hash;
use coordination::membership::Member;
use coordination::quarantine::{
    AnsweredParts, Contents, CrashReport, Decision, Policy, Suspect, Table, TargetStart,
};
use platform::quarantine::KIND;
use platform::store::{Object, StoreError};
use protocol::{Millis, PartFingerprint};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;

const TRIAL_TIMEOUT: Duration = Duration::from_millis(100);
/// Quarantine after a trial was not granted: another trial is in progress, or the owner can't be
/// reached.
const TRIAL_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Number of crashes from which a suspect is logged when its reports come from other instances,
/// since every request that ran on a crashed target has one report.
const MIN_LOGGED_CRASHES: usize = 2;
/// Time between checks for quarantined requests that are not stored: the owner may have changed.
/// After a failed write there is one as soon as the platform replies again.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// Instances whose targets have responded to a suspected part clear it one after the other in these
/// steps, until one has, so that not all of them send the same update.
const CLEARING_STEP: Duration = Duration::from_millis(10);
const MAX_CLEARING_DELAY: Duration = Duration::from_millis(300);

/// What one instance knows of crashes.
pub struct State {
    /// Crash reports, and what is quarantined for them.
    pub table: RefCell<Table>,
    /// Parts to which targets have recently responded to this instance.
    answered: RefCell<AnsweredParts>,
    /// Parts that this instance is about to clear.
    clearing: RefCell<HashSet<PartFingerprint>>,
    /// Notified when there is something to store.
    reports_changed: Notify,
    /// Notified when requests that wait may have to be rejected.
    decisions_changed: Notify,
    /// Whether crash reports were received since the start.
    pub is_known: Cell<bool>,
}

impl State {
    /// Without crash reports.
    pub fn new(policy: Policy, now: Instant) -> State {
        State {
            table: RefCell::new(Table::new(policy, now)),
            answered: RefCell::new(AnsweredParts::new(now)),
            clearing: RefCell::default(),
            reports_changed: Notify::new(),
            decisions_changed: Notify::new(),
            is_known: Cell::new(false),
        }
    }
}

/// The stored form of a quarantined suspect.
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

/// Records and broadcasts that suspects ran on a target when it crashed. Parts to which targets
/// have recently responded are left out.
pub fn on_crash(node: &Rc<Node>, start: &TargetStart, suspects: impl Iterator<Item = Suspect>) {
    let now = clock::now();
    let mut answered = node.quarantine.answered.borrow_mut();
    let suspects = suspects.filter(|suspect| match suspect {
        Suspect::Part(part) => !answered.contains(*part, now),
        Suspect::Request(_) => true,
    });
    let reports: Vec<CrashReport> =
        suspects.map(|suspect| CrashReport::new(suspect, start.clone())).collect();
    drop(answered);
    let new_reports = on_crash_reports(node, reports, "own");
    broadcast_reports(node, new_reports);
}

/// Clears a request that was completed by a target.
pub fn on_completed(node: &Rc<Node>, contents: impl FnOnce() -> Contents) {
    if !node.quarantine.table.borrow().is_empty() {
        clear(node, Suspect::Request(contents().request));
    }
}

/// Records that a target has responded to a request with these parts, and clears them.
pub fn on_answered(node: &Rc<Node>, parts: &[PartFingerprint]) {
    node.quarantine.answered.borrow_mut().record(parts, clock::now());
    parts.iter().for_each(|part| clear_soon(node, *part));
}

/// Clears a part that is suspected, unless another instance does first.
fn clear_soon(node: &Rc<Node>, part: PartFingerprint) {
    let suspect = Suspect::Part(part);
    let is_suspected = node.quarantine.table.borrow().crashes(suspect) > 0;
    if !is_suspected || !node.quarantine.clearing.borrow_mut().insert(part) {
        return;
    }
    let node = node.clone();
    spawn_local(async move {
        let delay = CLEARING_STEP.saturating_mul(rank(&node, part));
        tokio::time::sleep(delay.min(MAX_CLEARING_DELAY)).await;
        node.quarantine.clearing.borrow_mut().remove(&part);
        if node.quarantine.table.borrow().crashes(suspect) > 0 {
            clear(&node, suspect);
        }
    });
}

/// Number of instances that clear a part before this one.
fn rank(node: &Node, part: PartFingerprint) -> u32 {
    let weight = |id| hash::weight(&part.to_le_bytes(), id);
    let own = weight(node.id());
    let members = node.members.borrow();
    members.workers().filter(|member| weight(member.id) > own).count() as u32
}

fn clear(node: &Rc<Node>, suspect: Suspect) {
    let now = clock::now();
    let mut table = node.quarantine.table.borrow_mut();
    let was_quarantined = table.decide(suspect, now) != Decision::Allowed;
    let cleared = table.on_success(suspect, now);
    drop(table);
    if cleared.is_empty() {
        return;
    }
    slog::info!(node.log, "request cleared"; "content" => hex(suspect.fingerprint()),
        "is_part" => suspect.is_part(), "strikes" => cleared.len(),
        "was_held" => was_quarantined);
    broadcast_reports(node, cleared);
    if was_quarantined {
        spawn_local(delete(node.clone(), suspect));
    }
}

/// Records crash reports; returns those that were new. `from` is the source to log.
pub fn on_crash_reports(
    node: &Rc<Node>,
    reports: Vec<CrashReport>,
    from: &str,
) -> Vec<CrashReport> {
    let now = clock::now();
    let mut table = node.quarantine.table.borrow_mut();
    let new_reports: Vec<CrashReport> =
        reports.into_iter().filter(|report| table.on_crash_report(report.clone(), now)).collect();
    for report in &new_reports {
        let crashes = table.crashes(report.suspect);
        if crashes < MIN_LOGGED_CRASHES && from != "own" {
            continue;
        }
        let decision = table.decide(report.suspect, now);
        slog::info!(node.log, "crash report recorded";
            "content" => hex(report.suspect.fingerprint()),
            "is_part" => report.suspect.is_part(),
            "target" => &report.start.target, "born" => report.start.started_at,
            "acquitted" => report.is_cleared, "age_ms" => report.age_ms, "from" => from,
            "crashes" => crashes, "verdict" => ?decision);
    }
    drop(table);
    if !new_reports.is_empty() {
        node.quarantine.reports_changed.notify_one();
        node.quarantine.decisions_changed.notify_waiters();
    }
    new_reports.iter().for_each(|report| on_suspected(node, report.suspect));
    new_reports
}

/// Clears a suspect that was reported, if it is a part to which targets have recently responded.
fn on_suspected(node: &Rc<Node>, suspect: Suspect) {
    if let Suspect::Part(part) = suspect
        && node.quarantine.answered.borrow_mut().contains(part, clock::now())
    {
        clear_soon(node, part);
    }
}

fn broadcast_reports(node: &Rc<Node>, reports: Vec<CrashReport>) {
    if !reports.is_empty() {
        broadcast::send(node, Update::CrashReports(reports));
    }
}

/// Whether a request may be sent. Due trials are requested from the owners of the suspects.
pub async fn admit(node: &Node, contents: impl FnOnce() -> Contents) -> Admission {
    if node.quarantine.table.borrow().quarantined() == 0 {
        return Admission::Allowed;
    }
    let contents = contents();
    let decision = node.quarantine.table.borrow().decide_request(&contents, clock::now());
    match decision {
        Decision::Allowed => Admission::Allowed,
        Decision::Quarantined(remaining) => Admission::Quarantined(remaining),
        Decision::TrialDue if request_trials(node, &contents).await => {
            slog::info!(node.log, "trial of a quarantined request";
                "content" => hex(contents.request));
            Admission::Trial
        }
        Decision::TrialDue => Admission::Quarantined(TRIAL_RETRY_DELAY),
    }
}

/// How much longer a request is quarantined; `None` if it isn't.
pub fn remaining_quarantine(node: &Node, contents: impl FnOnce() -> Contents) -> Option<Duration> {
    let table = node.quarantine.table.borrow();
    if table.quarantined() == 0 {
        return None;
    }
    match table.decide_request(&contents(), clock::now()) {
        Decision::Allowed => None,
        Decision::Quarantined(remaining) => Some(remaining),
        Decision::TrialDue => Some(TRIAL_RETRY_DELAY),
    }
}

/// Waits until a request is quarantined; returns for how long.
pub async fn quarantined(node: &Node, contents: impl Fn() -> Contents) -> Duration {
    loop {
        let changed = node.quarantine.decisions_changed.notified();
        if let Some(remaining) = remaining_quarantine(node, &contents) {
            return remaining;
        }
        changed.await;
    }
}

/// The instance that grants the trials of a suspect and stores it while quarantined.
fn owner(node: &Node, suspect: Suspect) -> Option<Member> {
    let members = node.members.borrow();
    let ids = members.workers().map(|member| member.id);
    let id = hash::owner(&suspect.fingerprint().to_le_bytes(), ids)?;
    members.workers().find(|member| member.id == id).cloned()
}

fn is_owner(node: &Node, suspect: Suspect) -> bool {
    owner(node, suspect).is_some_and(|owner| owner.id == node.id())
}

/// Requests a trial of each suspect for which a request is quarantined; whether all are granted.
async fn request_trials(node: &Node, contents: &Contents) -> bool {
    let suspects = node.quarantine.table.borrow().quarantined_of(contents);
    for suspect in suspects {
        if !request_trial(node, suspect).await {
            return false;
        }
    }
    true
}

async fn request_trial(node: &Node, suspect: Suspect) -> bool {
    match owner(node, suspect) {
        Some(owner) if owner.id != node.id() => {
            let request = match suspect {
                Suspect::Request(fingerprint) => PeerRequest::Trial(fingerprint),
                Suspect::Part(fingerprint) => PeerRequest::PartTrial(fingerprint),
            };
            let reply = node.request(owner.peer, &request, TRIAL_TIMEOUT).await;
            matches!(reply, Ok(PeerReply::Trial(true)))
        }
        Some(_) => on_trial(node, suspect),
        None => false,
    }
}

/// Handles a request for a trial; `true` grants it.
pub fn on_trial(node: &Node, suspect: Suspect) -> bool {
    node.quarantine.table.borrow_mut().on_trial(suspect, clock::now())
}

/// All crash reports of suspects with several crashes, for other instances.
pub fn crash_reports(node: &Node) -> Vec<CrashReport> {
    node.quarantine.table.borrow().crash_reports(clock::now())
}

/// Stores the quarantined suspects that this instance owns on the platform, until `stop`.
pub async fn persist(node: Rc<Node>, stop: CancellationToken) {
    let mut written: HashMap<Suspect, usize> = HashMap::new();
    loop {
        tokio::select! {
            () = node.quarantine.reports_changed.notified() => {}
            () = node.store.regained() => {}
            () = tokio::time::sleep(WRITE_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        let quarantined = node.quarantine.table.borrow().quarantined_suspects();
        written.retain(|suspect, _| quarantined.iter().any(|(known, _)| known == suspect));
        for (suspect, crashes) in quarantined {
            let is_known = written.get(&suspect).is_some_and(|known| *known >= crashes);
            if is_known || !is_owner(&node, suspect) {
                continue;
            }
            if write(&node, suspect).await {
                written.insert(suspect, crashes);
            }
        }
    }
}

/// Name of the object in which a suspect is stored.
fn object_name(suspect: Suspect) -> String {
    match suspect {
        Suspect::Request(fingerprint) => hex(fingerprint),
        Suspect::Part(fingerprint) => format!("part-{}", hex(fingerprint)),
    }
}

/// Stores a quarantined suspect; returns whether it succeeded.
async fn write(node: &Node, suspect: Suspect) -> bool {
    let crash_reports = node.quarantine.table.borrow().crash_reports_of(suspect, clock::now());
    let entry = Entry { written: unix_millis(), crash_reports };
    let name = object_name(suspect);
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

/// Deletes a stored suspect that is no longer quarantined. If this fails, it is quarantined again
/// after a restart of all instances, until its trial.
async fn delete(node: Rc<Node>, suspect: Suspect) {
    let name = object_name(suspect);
    if let Err(error) = node.store.delete(CallReason::Quarantine, KIND, &name, None).await {
        slog::info!(node.log, "deleting quarantined request failed"; "content" => &name, "fault" => %error);
    }
}

/// Records the quarantined suspects read from the platform.
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
