//! Hand-off of batch jobs by instances that stop, of progress to the holder of a job, and of jobs
//! that were found stored to their holder.
//!
//! What a holder knows and has not written would be lost with it, and its items would run again. A
//! holder named by a write whose response was lost doesn't know that it has the job.

use super::call_reason::CallReason;
use super::held_job::HeldJob;
use super::job_store;
use super::job_writer;
use super::message::{PeerReply, PeerRequest, Update};
use super::node::Node;
use super::{broadcast, peers, residency, takeover};
use crate::clock;
use coordination::hash;
use coordination::membership::Member;
use coordination::residency::Residency;
use platform::job;
use state::progress::{Handoff, Holder, JobId};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;

/// Interval between checks of a stopping instance for jobs to hand off.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay before a stopping instance retries to hand off a job that every instance declined.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Longest wait for the reply to a hand-off.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for a holder's reply.
const NOTIFY_HOLDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Minimum delay before the holder is notified again.
const NOTIFY_HOLDER_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Maximum delay between two looks whether a job is stored.
const MAX_SETTLE_DELAY: Duration = Duration::from_secs(2);
/// Time after which a write whose response was lost isn't done any more.
const WRITE_SETTLING_PERIOD: Duration = Duration::from_secs(3);
/// How long a pending job counts at the other instances, unless it is repeated.
const PENDING_LIFETIME: Duration = Duration::from_secs(15);

/// Hands off all jobs to other instances until `stop`, including partial output of their runs.
/// A takeover in progress may still bring jobs after the first ones are handed off.
pub async fn hand_off_jobs(node: Rc<Node>, stop: CancellationToken) {
    while !stop.is_cancelled() {
        let open = node.jobs.open_jobs();
        if !open.is_empty() {
            spawn_local(hand_off_all(node.clone(), open));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn hand_off_all(node: Rc<Node>, jobs: Vec<Rc<HeldJob>>) {
    hand_off_held(&node, jobs).await;
}

/// Hands off some held jobs, including partial output of their runs. Retries until all are
/// taken over or no instance is left that could.
pub async fn hand_off_held(node: &Rc<Node>, jobs: Vec<Rc<HeldJob>>) {
    let _in_flight = node.in_flight.start();
    let mut remaining = release_all(node, jobs).await;
    // During a network partition no other instance can be reached, and none may know the jobs
    // that were accepted since it began. The time limit of the shutdown ends this loop.
    loop {
        let mut pending = Vec::new();
        for (id, handoff) in remaining {
            if !hand_off(node, &id, &handoff).await {
                pending.push((id, handoff));
            }
        }
        if pending.is_empty() || node.members.borrow().is_fleet_leaving() {
            return;
        }
        remaining = pending;
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Stops the runs of held jobs, writes their progress and drops them. Returns what the platform
/// may not have.
async fn release_all(node: &Rc<Node>, jobs: Vec<Rc<HeldJob>>) -> Vec<(JobId, Handoff)> {
    for held in &jobs {
        held.released.cancel();
    }
    // Lets cancelled runs store their partial output.
    tokio::task::yield_now().await;
    tokio::time::sleep(job_writer::RUN_STOP_DELAY).await;
    let mut released = Vec::new();
    for held in jobs {
        let has_unwritten = held.state.borrow().next_write().is_some();
        if has_unwritten && !job_writer::write(node, &held).await {
            slog::warn!(node.log, "results not written before shutdown";
                "job" => &held.state.borrow().job().id);
        }
        let state = held.state.borrow();
        let id = state.job().id.clone();
        node.jobs.held.borrow_mut().remove(&id);
        released.push((id, state.handoff()));
    }
    released
}

/// Hands a job off to another instance, or takes it over if no other does and this one
/// isn't stopping. `false` if no instance took it over.
pub async fn hand_off(node: &Rc<Node>, id: &str, handoff: &Handoff) -> bool {
    let mut ranked: Vec<Member> = node.members.borrow().workers().cloned().collect();
    let residency = known_residency(node, id);
    residency::retain_allowed(node, &residency, &mut ranked);
    ranked.sort_by_key(|member| std::cmp::Reverse(hash::weight(id.as_bytes(), member.id)));
    for member in ranked {
        if member.id == node.id() {
            if node.is_stopping() {
                continue;
            }
            return takeover::take_over(node, id, handoff.clone()).await.is_some();
        }
        if node.is_stopping() {
            // A member that takes this instance for alive would leave it the job.
            peers::send_updates(node, &member).await;
        }
        let request = PeerRequest::TakeOver(id.to_owned(), handoff.clone());
        let reply = node.request(member.peer, &request, REPLY_TIMEOUT).await;
        if matches!(reply, Ok(PeerReply::Acknowledged)) {
            slog::info!(node.log, "job handed off"; "job" => id, "to" => %member.peer,
                "partials" => handoff.partials.len(), "failures" => handoff.failures.len(),
                "outcomes" => handoff.outcomes.len());
            return true;
        }
    }
    slog::warn!(node.log, "no instance took the job over"; "job" => id);
    false
}

/// Regions in which a job may be held, by its last reported status; all if none is known.
pub(super) fn known_residency(node: &Node, id: &str) -> Residency {
    let status = node.jobs.directory.borrow().get(id).cloned();
    status.map(|status| residency::of_status(node, &status)).unwrap_or_default()
}

/// Hands a job off, retrying until an instance takes it over or none is left that could. The
/// time limit of the shutdown ends the retries.
pub async fn hand_off_with_retry(node: &Rc<Node>, id: &str, handoff: &Handoff) {
    let _in_flight = node.in_flight.start();
    while !hand_off(node, id, handoff).await {
        if node.members.borrow().is_fleet_leaving() {
            slog::warn!(node.log, "job left to the next scan"; "job" => id);
            return;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Delivers a hand-off to the job's holder, which may be this instance.
pub(super) async fn forward_handoff(node: &Rc<Node>, id: &str, handoff: Handoff) {
    if let Some(held) = node.jobs.held_job(id) {
        merge_handoff(node, &held, handoff);
        return;
    }
    if let Some(holder) = current_holder(node, id) {
        send_handoff(node.clone(), id.to_owned(), holder, handoff).await;
    }
}

/// Merges progress received from another holder.
pub(super) fn merge_handoff(node: &Node, held: &HeldJob, handoff: Handoff) {
    held.state.borrow_mut().merge_handoff(handoff);
    held.mark_dirty();
    node.jobs.wake();
}

/// Sends progress made here to the job's holder, retrying for as long as a network
/// partition may last.
pub async fn send_handoff(node: Rc<Node>, id: JobId, holder: Holder, handoff: Handoff) {
    if handoff.is_empty() {
        return;
    }
    let request = PeerRequest::TakeOver(id.clone(), handoff);
    let address = || current_holder(&node, &id).unwrap_or(holder).address;
    let is_delivered = node.deliver(address, &request).await;
    slog::info!(node.log, "{}", if is_delivered { "handoff sent" } else { "handoff lost" };
        "job" => &id, "to" => %holder.address);
}

/// The other instance that holds a job according to the last reported status.
fn current_holder(node: &Node, id: &str) -> Option<Holder> {
    let directory = node.jobs.directory.borrow();
    let holder = directory.get(id).map(|status| status.holder);
    holder.filter(|holder| holder.instance != node.id())
}

/// What the platform has of a job.
enum Fate {
    /// It is stored, and its holder knows it if it is open.
    Stored,
    Missing,
}

/// Notifies the holder of a job stored earlier. Retried until the holder has the job, since
/// the response to the submitter says that the job is stored and no other instance may know it.
///
/// Guards against a job that has no results because its holder couldn't read it at that moment;
/// with a platform that was three hundred times slower, one had none for 41 s.
pub async fn notify_holder(node: Rc<Node>, id: JobId) {
    let _in_flight = node.in_flight.start();
    while let Err(error) = try_notify_holder(&node, &id).await {
        slog::info!(node.log, "holder not notified of its job"; "job" => &id, "fault" => error,
            "again" => !node.is_stopping());
        if node.is_stopping() {
            return hand_off_with_retry(&node, &id, &Handoff::default()).await;
        }
        wait_to_retry(&node, NOTIFY_HOLDER_RETRY_DELAY).await;
    }
}

/// Finds out whether a job is stored whose write wasn't confirmed, and notifies its holder. Its
/// tokens count as waiting until then.
pub async fn settle(node: Rc<Node>, id: JobId) {
    let _in_flight = node.in_flight.start();
    let since = clock::now();
    let mut announced: Option<Instant> = None;
    let mut delay = NOTIFY_HOLDER_RETRY_DELAY;
    let is_stored = loop {
        if node.is_stopping() {
            hand_off_with_retry(&node, &id, &Handoff::default()).await;
            break None;
        }
        if announced.is_none_or(|at| clock::since(at) >= PENDING_LIFETIME / 3) {
            announced = Some(clock::now());
            announce_pending(&node, &id);
        }
        match try_notify_holder(&node, &id).await {
            Ok(Fate::Stored) => break Some(true),
            Ok(Fate::Missing) if clock::since(since) >= WRITE_SETTLING_PERIOD => break Some(false),
            Ok(Fate::Missing) => {}
            Err(error) => slog::info!(node.log, "holder not notified of its job"; "job" => &id,
                "fault" => error, "again" => true),
        }
        wait_to_retry(&node, delay).await;
        delay = (delay * 2).min(MAX_SETTLE_DELAY);
    };
    slog::info!(node.log, "fate of a submission known"; "job" => &id, "is_stored" => is_stored,
        "after_ms" => clock::since(since).as_millis() as u64);
    match is_stored {
        Some(false) => release_pending(&node, &id),
        // Until its holder has reported it.
        _ => keep_pending(&node, &id),
    }
}

/// Waits for the platform's back-off and at least `delay`, but not for a stop.
async fn wait_to_retry(node: &Node, delay: Duration) {
    let delay = node.store.backoff_remaining(clock::now()).max(delay);
    tokio::select! {
        () = tokio::time::sleep(delay) => {}
        () = node.stopping.cancelled() => {}
    }
}

/// A single attempt of [`notify_holder`]; the error says what failed.
async fn try_notify_holder(node: &Rc<Node>, id: &str) -> Result<Fate, String> {
    let found = node
        .store
        .get(CallReason::Submission, job::KIND, id)
        .await
        .map_err(|error| error.to_string())?;
    let Some(object) = found else {
        return Ok(Fate::Missing);
    };
    let Ok(summary) = job_store::summary(&object) else {
        slog::error!(node.log, "malformed job object"; "job" => id);
        return Ok(Fate::Stored);
    };
    if !summary.is_open {
        return Ok(Fate::Stored);
    }
    if node.is_stopping() && summary.holder.instance == node.id() {
        let is_taken = hand_off(node, id, &Handoff::default()).await;
        return is_taken
            .then_some(Fate::Stored)
            .ok_or_else(|| String::from("nobody took the job over"));
    }
    let member = node.members.borrow().get(summary.holder.instance).cloned();
    let Some(member) = member else {
        // Held by this instance, or by one that is gone.
        takeover::take_over_with_retry(node, id, Handoff::default()).await;
        return Ok(Fate::Stored);
    };
    let request = PeerRequest::TakeOver(id.to_owned(), Handoff::default());
    match node.request(member.peer, &request, NOTIFY_HOLDER_TIMEOUT).await {
        Ok(PeerReply::Acknowledged) => Ok(Fate::Stored),
        other => Err(format!("{other:?}")),
    }
}

/// Tells the other instances of a job that is pending here.
pub fn announce_pending(node: &Rc<Node>, id: &str) {
    let pending = node.jobs.pending.borrow().get(id).cloned();
    if let Some(pending) = pending {
        let lifetime_ms = PENDING_LIFETIME.as_millis() as u64;
        broadcast::send(node, Update::PendingJob(pending, lifetime_ms));
    }
}

/// Lets a job that was pending here count until its holder must have reported it.
pub fn keep_pending(node: &Node, id: &str) {
    node.jobs.pending.borrow_mut().expire(id, clock::now() + PENDING_LIFETIME);
}

/// Ends the count of a job that was pending here and isn't stored, also at the other instances.
pub fn release_pending(node: &Rc<Node>, id: &str) {
    let pending = node.jobs.pending.borrow().get(id).cloned();
    if let Some(pending) = pending {
        node.jobs.pending.borrow_mut().remove(id);
        broadcast::send(node, Update::PendingJob(pending, 0));
    }
}
