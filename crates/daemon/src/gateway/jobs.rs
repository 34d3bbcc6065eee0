//! Calls about accepted batch jobs: results, the body of an item, the end.

mod lookup;

use super::call_reason::CallReason;
use super::front::{error_response, set_header, text_response};
use super::held_job::HeldJob;
use super::job_store;
use super::message::{PeerReply, PeerRequest, Update};
use super::node::Node;
use super::stored_job::StoredJob;
use super::{broadcast, submit};
use crate::clock;
use hyper::{HeaderMap, Response};
pub use lookup::exists;
use lookup::{Location, find};
use platform::store::StoreError;
use platform::{header, job};
use protocol::workspace::Workspace;
use protocol::{Error, Kind};
use state::progress::{Job, JobId, Outcome};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use transport::server::Body;

/// Longest time for which a read waits for new results, whatever the caller requests.
const MAX_RESULTS_WAIT: Duration = Duration::from_secs(5);
/// Interval between checks for a new holder.
const HOLDER_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait until the end of a job is durable.
const END_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Attempts to write an end while others write to the same job.
const MAX_END_ATTEMPTS: u32 = 4;

const CONTENT_TYPE: &str = "content-type";

/// Serves a call about a job for a caller of `workspace`. A job of another workspace is reported
/// as not found.
pub async fn call(
    node: &Rc<Node>,
    call: job::Request,
    headers: &HeaderMap,
    workspace: Option<&Workspace>,
) -> Response<Body> {
    let caller = workspace.map(|workspace| workspace.name.as_str());
    match call {
        job::Request::Results { job, from } => {
            let wait = header::millis(headers, header::WAIT_MS).unwrap_or_default();
            results(node, &job, caller, from, wait.min(MAX_RESULTS_WAIT)).await
        }
        job::Request::ItemBody { job, item } => body(node, &job, caller, &item).await,
        job::Request::End { job } => end(node, &job, caller).await,
    }
}

async fn results(
    node: &Rc<Node>,
    id: &str,
    caller: Option<&str>,
    from: usize,
    wait: Duration,
) -> Response<Body> {
    let until = clock::now() + wait;
    loop {
        let remaining = until.saturating_duration_since(clock::now());
        let request = |id| PeerRequest::Results(id, from, remaining.as_millis() as u64);
        match find(node, id, caller, request, remaining).await {
            Location::Local(held) => {
                let (total, outcomes) = held_results(&held, from, remaining).await;
                return results_response(total, from, &outcomes);
            }
            Location::Reply(PeerReply::Results(total, outcomes)) => {
                return results_response(total, from, &outcomes);
            }
            Location::Stored(job, progress) => {
                let outcomes = progress.outcomes.get(from..).unwrap_or_default();
                if outcomes.is_empty() && wait_for_holder(node, id, until).await {
                    continue;
                }
                return results_response(job.items.len(), from, outcomes);
            }
            Location::NotFound => return text_response(404, "no such job"),
            Location::Reply(_) | Location::Unknown => return unavailable(node, id),
        }
    }
}

/// Waits until a job whose holder couldn't be reached has a reachable one; `false` on
/// timeout.
///
/// Without this wait, a caller polls at once and each poll costs a call of the platform.
async fn wait_for_holder(node: &Rc<Node>, id: &str, until: Instant) -> bool {
    let holder = |node: &Node| {
        let status = node.jobs.directory.borrow().get(id).map(|status| status.holder.instance);
        status.filter(|holder| node.members.borrow().get(*holder).is_some())
    };
    let before = holder(node);
    loop {
        let remaining = until.saturating_duration_since(clock::now());
        if remaining.is_zero() {
            return false;
        }
        tokio::time::sleep(remaining.min(HOLDER_POLL_INTERVAL)).await;
        let now = holder(node);
        if node.jobs.held_job(id).is_some() || (now.is_some() && now != before) {
            return true;
        }
    }
}

fn results_response(total: usize, from: usize, outcomes: &[Outcome]) -> Response<Body> {
    let mut response = Response::new(Body::Full(job::encode_results(total, from, outcomes)));
    set_header(&mut response, CONTENT_TYPE, "application/json");
    response
}

/// The response to a call about a job that can't be read now.
pub fn unavailable(node: &Node, id: &str) -> Response<Body> {
    slog::info!(node.log, "job unavailable"; "job" => id,
        "platform_away" => node.store.is_backing_off(clock::now()));
    let mut error = Error::new(Kind::PlatformUnavailable, "the job can't be read now");
    error.retry_after = Some(submit::RETRY_AFTER);
    error_response(node, "", &error)
}

/// Results of a held job starting at an index; waits if there are none yet.
async fn held_results(held: &Rc<HeldJob>, from: usize, wait: Duration) -> (usize, Vec<Outcome>) {
    let until = tokio::time::Instant::now() + wait;
    loop {
        let changed = held.changed.notified();
        {
            let state = held.state.borrow();
            let outcomes = state.durable_results().get(from..).unwrap_or_default();
            let has_ended = state.is_ended() || held.released.is_cancelled();
            let is_complete = state.durable_results().len() >= state.job().items.len();
            if !outcomes.is_empty()
                || has_ended
                || is_complete
                || tokio::time::Instant::now() >= until
            {
                return (state.job().items.len(), outcomes.to_vec());
            }
        }
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep_until(until) => {}
            () = held.released.cancelled() => {}
        }
    }
}

async fn body(node: &Rc<Node>, id: &str, caller: Option<&str>, item: &str) -> Response<Body> {
    let request = |id| PeerRequest::Body(id, item.to_owned());
    let found = match find(node, id, caller, request, Duration::ZERO).await {
        Location::Local(held) => body_in(held.state.borrow().job(), item),
        Location::Reply(PeerReply::Body(body)) => body,
        Location::Stored(job, _) => body_in(&job, item),
        Location::NotFound => None,
        Location::Reply(_) | Location::Unknown => return unavailable(node, id),
    };
    match found.and_then(|text| job::decode_body(&text).ok()) {
        Some(bytes) => {
            let mut response = Response::new(Body::Full(bytes));
            set_header(&mut response, CONTENT_TYPE, "application/octet-stream");
            response
        }
        None => text_response(404, "no such item"),
    }
}

fn body_in(job: &Job, item: &str) -> Option<String> {
    job.items.iter().find(|candidate| candidate.id == item).map(|candidate| candidate.body.clone())
}

async fn end(node: &Rc<Node>, id: &str, caller: Option<&str>) -> Response<Body> {
    let has_ended = match find(node, id, caller, PeerRequest::End, END_TIMEOUT).await {
        // The job may be handed off meanwhile.
        Location::Local(held) => end_held(node, &held).await || end_stored(node, id).await,
        Location::Reply(PeerReply::Acknowledged) => true,
        Location::NotFound => return text_response(404, "no such job"),
        Location::Reply(_) | Location::Stored(..) | Location::Unknown => end_stored(node, id).await,
    };
    match has_ended {
        true => text_response(200, "ended"),
        false => unavailable(node, id),
    }
}

/// Ends a job whose holder can't be reached, by writing to the platform. The holder notices
/// with its next write, or earlier if a notification reaches it.
async fn end_stored(node: &Rc<Node>, id: &str) -> bool {
    for _ in 0..MAX_END_ATTEMPTS {
        let mut stored_job = match job_store::load(node, CallReason::End, id).await {
            Ok(Some(stored_job)) => stored_job,
            Ok(None) => return false,
            Err(error) => {
                slog::info!(node.log, "job end not written"; "job" => id, "fault" => %error);
                return false;
            }
        };
        if stored_job.progress.ended {
            return true;
        }
        stored_job.progress.ended = true;
        let StoredJob { progress, overflow, revision, .. } = &stored_job;
        let written =
            job_store::write(node, CallReason::End, id, *revision, progress, overflow).await;
        slog::info!(node.log, "job end written for an unresponsive holder"; "job" => id,
            "revision" => *revision, "written" => written.is_ok());
        match written {
            Ok(_) => {
                spawn_local(notify_holder_of_end(
                    node.clone(),
                    id.to_owned(),
                    stored_job.holder().address,
                ));
                broadcast::send(node, Update::Ended(id.to_owned()));
                return true;
            }
            Err(StoreError::Conflict(_) | StoreError::OutcomeUnknown(_)) => {}
            Err(_) => return false,
        }
    }
    false
}

/// Notifies the holder that its job has ended, retrying because the holder may still be
/// unreachable. `holder` is the address stored with the job, since the holder may not be a
/// known member right after a partition.
async fn notify_holder_of_end(node: Rc<Node>, id: JobId, holder: SocketAddr) {
    let update = Update::Ended(id.clone());
    let request = PeerRequest::Update(node.as_holder().address, update);
    if !node.deliver(|| holder, &request).await {
        slog::info!(node.log, "holder not notified of the end of its job"; "job" => &id,
            "holder" => %holder);
    }
}

/// Handles a job's end that another instance has written to the platform.
pub fn on_ended(node: &Node, id: &str) {
    if let Some(held) = node.jobs.held_job(id) {
        slog::info!(node.log, "job ended elsewhere"; "job" => id);
        held.state.borrow_mut().end();
        held.stop_runs();
        held.mark_dirty();
    }
}

/// Ends a held job; `true` once the end is durable.
async fn end_held(node: &Rc<Node>, held: &Rc<HeldJob>) -> bool {
    let until = tokio::time::Instant::now() + END_TIMEOUT;
    if held.state.borrow().is_all_durable() {
        return true; // The job is already complete.
    }
    held.state.borrow_mut().end();
    slog::info!(node.log, "job ended by its submitter"; "job" => &held.state.borrow().job().id);
    held.stop_runs();
    held.mark_dirty();
    loop {
        let changed = held.changed.notified();
        if held.state.borrow().is_end_durable() {
            return true;
        }
        if held.released.is_cancelled() {
            return false;
        }
        let wait = tokio::time::timeout_at(until, changed);
        if wait.await.is_err() {
            return held.state.borrow().is_end_durable();
        }
    }
}

/// Handles a request for results from another instance.
pub async fn on_results(node: &Rc<Node>, id: &str, from: usize, wait: Duration) -> PeerReply {
    match node.jobs.held_job(id) {
        Some(held) => {
            let (total, outcomes) = held_results(&held, from, wait.min(MAX_RESULTS_WAIT)).await;
            PeerReply::Results(total, outcomes)
        }
        None => PeerReply::NotOwner,
    }
}

/// Handles a request for an item's body from another instance.
pub fn on_body(node: &Node, id: &str, item: &str) -> PeerReply {
    match node.jobs.held_job(id) {
        Some(held) => PeerReply::Body(body_in(held.state.borrow().job(), item)),
        None => PeerReply::NotOwner,
    }
}

/// Handles a request to end a job from another instance.
pub async fn on_end(node: &Rc<Node>, id: &str) -> PeerReply {
    match node.jobs.held_job(id) {
        None => PeerReply::NotOwner,
        Some(held) if end_held(node, &held).await => PeerReply::Acknowledged,
        Some(_) => PeerReply::Unavailable,
    }
}
