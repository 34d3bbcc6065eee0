//! Keeps requests that crash their targets from further ones, on all instances.
//!
//! [`super::crash`] sees crashes; each gives a strike to what ran on that target. Strikes
//! are told to all instances, and [`coordination::quarantine`] decides by them. What is
//! held also lies on the platform: the memory of all instances may go at one moment.

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

/// Longest wait for the owner's word on a trial.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(100);
/// When to ask again whose owner granted no trial: another one goes on, or it can't tell.
const TRIAL_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Crashes from which a request that others saw gets a line: all that ran on a target that
/// crashed has one.
const MIN_LOGGED_CRASHES: usize = 2;
/// Time between looks for what is held and not written down: a write may have failed, or
/// the instance gone that was to make it.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// What is kept of a held request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    /// When it was written: the strikes' ages are as of then.
    written: Millis,
    strikes: Vec<CrashReport>,
}

/// Whether a request may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Free,
    /// It may, once: its answer decides whether it goes on being held.
    Trial,
    /// It is held for so long.
    Held(Duration),
}

/// Requests ran on a target as it crashed.
pub fn on_crash(node: &Rc<Node>, boot: &TargetStart, contents: &[RequestFingerprint]) {
    let strikes: Vec<CrashReport> =
        contents.iter().map(|content| CrashReport::new(*content, boot.clone())).collect();
    let news = on_crash_reports(node, strikes, "own");
    tell(node, news);
}

/// A request came to its end on a target.
pub fn on_success(node: &Rc<Node>, content: impl FnOnce() -> RequestFingerprint) {
    if node.quarantine.borrow().is_empty() {
        return;
    }
    let content = content();
    let now = clock::now();
    let was_held = node.quarantine.borrow().decide(content, now) != Decision::Allowed;
    let acquitted = node.quarantine.borrow_mut().on_success(content, now);
    if acquitted.is_empty() {
        return;
    }
    slog::info!(node.log, "request acquitted"; "content" => hex(content),
        "strikes" => acquitted.len(), "was_held" => was_held);
    tell(node, acquitted);
    if was_held {
        spawn_local(erase(node.clone(), content));
    }
}

/// Takes in strikes; gives those that were news.
pub fn on_crash_reports(node: &Node, strikes: Vec<CrashReport>, from: &str) -> Vec<CrashReport> {
    let now = clock::now();
    let mut table = node.quarantine.borrow_mut();
    let news: Vec<CrashReport> =
        strikes.into_iter().filter(|strike| table.on_crash_report(strike.clone(), now)).collect();
    for strike in &news {
        let crashes = table.crashes(strike.fingerprint);
        if crashes < MIN_LOGGED_CRASHES && from != "own" {
            continue;
        }
        let verdict = table.decide(strike.fingerprint, now);
        slog::info!(node.log, "request struck"; "content" => hex(strike.fingerprint),
            "target" => &strike.start.target, "born" => strike.start.started_at,
            "acquitted" => strike.is_cleared, "age_ms" => strike.age_ms, "from" => from,
            "crashes" => crashes, "verdict" => ?verdict);
    }
    if !news.is_empty() {
        node.crash_reports_changed.notify_one();
    }
    news
}

fn tell(node: &Rc<Node>, strikes: Vec<CrashReport>) {
    if !strikes.is_empty() {
        broadcast::send(node, Update::CrashReports(strikes));
    }
}

/// Whether a request may be sent; one whose trial is due asks its owner.
pub async fn admit(node: &Node, content: impl FnOnce() -> RequestFingerprint) -> Admission {
    if node.quarantine.borrow().quarantined() == 0 {
        return Admission::Free;
    }
    let content = content();
    let verdict = node.quarantine.borrow().decide(content, clock::now());
    match verdict {
        Decision::Allowed => Admission::Free,
        Decision::Quarantined(left) => Admission::Held(left),
        Decision::TrialDue if is_granted(node, content).await => {
            slog::info!(node.log, "trial of a held request"; "content" => hex(content));
            Admission::Trial
        }
        Decision::TrialDue => Admission::Held(TRIAL_RETRY_DELAY),
    }
}

/// For how much longer a request is held that waited for a slot meanwhile.
pub fn held_for(node: &Node, content: impl FnOnce() -> RequestFingerprint) -> Option<Duration> {
    let table = node.quarantine.borrow();
    if table.quarantined() == 0 {
        return None;
    }
    match table.decide(content(), clock::now()) {
        Decision::Allowed => None,
        Decision::Quarantined(left) => Some(left),
        Decision::TrialDue => Some(TRIAL_RETRY_DELAY),
    }
}

/// The instance that decides on the trials of a request, and writes it down.
fn owner(node: &Node, content: RequestFingerprint) -> Option<Member> {
    let members = node.members.borrow();
    let ids = members.workers().map(|member| member.id);
    let id = hash::owner(&content.to_le_bytes(), ids)?;
    members.workers().find(|member| member.id == id).cloned()
}

fn is_own(node: &Node, content: RequestFingerprint) -> bool {
    owner(node, content).is_some_and(|owner| owner.id == node.id())
}

async fn is_granted(node: &Node, content: RequestFingerprint) -> bool {
    match owner(node, content) {
        Some(owner) if owner.id != node.id() => {
            let reply = node.request(owner.peer, &PeerRequest::Trial(content), TRIAL_TIMEOUT).await;
            matches!(reply, Ok(PeerReply::Trial(true)))
        }
        Some(_) => on_trial(node, content),
        None => false,
    }
}

/// Another instance asks for a trial.
pub fn on_trial(node: &Node, content: RequestFingerprint) -> bool {
    node.quarantine.borrow_mut().on_trial(content, clock::now())
}

/// All strikes of requests that have several, for an instance that knows others.
pub fn crash_reports(node: &Node) -> Vec<CrashReport> {
    node.quarantine.borrow().crash_reports(clock::now())
}

/// Writes down what is held, until `stop`.
pub async fn keep(node: Rc<Node>, stop: CancellationToken) {
    let mut written: HashMap<RequestFingerprint, usize> = HashMap::new();
    loop {
        tokio::select! {
            () = node.crash_reports_changed.notified() => {}
            () = tokio::time::sleep(WRITE_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        let held = node.quarantine.borrow().quarantined_requests();
        written.retain(|content, _| held.iter().any(|(id, _)| id == content));
        for (content, crashes) in held {
            let is_known = written.get(&content).is_some_and(|known| *known >= crashes);
            if is_known || !is_own(&node, content) {
                continue;
            }
            if write(&node, content).await {
                written.insert(content, crashes);
            }
        }
    }
}

/// Writes down what is known of a held request.
async fn write(node: &Node, content: RequestFingerprint) -> bool {
    let strikes = node.quarantine.borrow().crash_reports_of(content, clock::now());
    let entry = Entry { written: unix_millis(), strikes };
    let name = hex(content);
    let created = node.store.create(CallReason::Quarantine, KIND, &name, &entry).await;
    let result = match created {
        Err(StoreError::Conflict(_)) => {
            node.store.replace(CallReason::Quarantine, KIND, &name, &entry).await
        }
        result => result,
    };
    slog::info!(node.log, "held request written down"; "content" => &name,
        "strikes" => entry.strikes.len(), "fault" => result.as_ref().err().map(StoreError::to_string));
    result.is_ok()
}

/// A request that was written down isn't held any more. A word that is lost here has it
/// held once more after all instances were gone, until its trial.
async fn erase(node: Rc<Node>, content: RequestFingerprint) {
    let name = hex(content);
    if let Err(fault) = node.store.delete(CallReason::Quarantine, KIND, &name, None).await {
        slog::info!(node.log, "held request not erased"; "content" => &name, "fault" => %fault);
    }
}

/// Held requests were read from the platform.
pub fn on_objects(node: &Rc<Node>, objects: &[Object]) {
    let now = unix_millis();
    let mut strikes = Vec::new();
    for object in objects {
        match serde_json::from_str::<Entry>(object.spec.get()) {
            Ok(entry) => {
                let passed = now.saturating_sub(entry.written);
                strikes.extend(entry.strikes.into_iter().map(|strike| strike.aged(passed)));
            }
            Err(error) => slog::warn!(node.log, "held request not understood";
                "content" => &object.name, "error" => %error),
        }
    }
    let news = on_crash_reports(node, strikes, "platform");
    tell(node, news);
}
