//! Hand-off of batch jobs by instances that stop, and of progress to the holder of a job.
//!
//! What a holder knows and has not written would be lost with it, and its items would run again.

use super::job_table::HeldJob;
use super::job_writer;
use super::message::{PeerReply, PeerRequest};
use super::node::Node;
use super::{peers, residency, takeover};
use coordination::hash;
use coordination::membership::Member;
use coordination::residency::Residency;
use state::progress::{Handoff, Holder, JobId};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;

/// Interval between checks of a stopping instance for jobs to hand off.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay before a stopping instance retries to hand off a job that every instance declined.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Longest wait for the reply to a hand-off.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);

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
    let Some((config, status)) = node.config().zip(status) else {
        return Residency::default();
    };
    let route = config.table.routes.iter().find(|route| route.name == status.route);
    let route = route.cloned().unwrap_or_default();
    residency::of_name(node, &route, status.workspace.as_deref())
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
