//! Calls of batch jobs: submission, results, an item's body, the end.

use super::call_reason::CallReason;
use super::front::{error_response, set_header, text_response};
use super::job_store::{self, LoadError, StoredJob};
use super::job_table::{self, HeldJob};
use super::message::{PeerReply, PeerRequest, Update};
use super::node::Node;
use super::{broadcast, submit, takeover};
use crate::clock;
use hyper::{HeaderMap, Response};
use platform::store::Fault;
use platform::{header, job};
use protocol::{Error, Kind};
use state::progress::{Handoff, Job, Outcome, Progress};
use std::rc::Rc;
use std::time::{Duration, Instant};
use transport::listen::Body;

/// Longest time for which a read of results is held, whatever the caller says.
const MAX_RESULTS_WAIT: Duration = Duration::from_secs(5);
/// Time for a holder to answer, on top of the time for which a read is held.
const HOLDER_REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between looks whether a job has a holder again.
const HOLDER_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long a job that was read from the platform is shown again without a call. What
/// one instance has shown, all others must show a second later.
const JOB_CACHE_TTL: Duration = Duration::from_millis(700);
/// Longest wait for the end of a job to become durable.
const END_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Tries to write an end while others write to the job.
const MAX_END_ATTEMPTS: u32 = 4;

/// Header of an answer of our own.
const CONTENT_TYPE: &str = "content-type";

/// Answers a call about a job.
pub async fn call(node: &Rc<Node>, call: job::Call, headers: &HeaderMap) -> Response<Body> {
    match call {
        job::Call::Results { job, from } => {
            let wait = header::millis(headers, header::WAIT).unwrap_or_default();
            results(node, &job, from, wait.min(MAX_RESULTS_WAIT)).await
        }
        job::Call::Body { job, item } => body(node, &job, &item).await,
        job::Call::End { job } => end(node, &job).await,
    }
}

async fn results(node: &Rc<Node>, id: &str, from: usize, wait: Duration) -> Response<Body> {
    let until = clock::now() + wait;
    loop {
        let left = until.saturating_duration_since(clock::now());
        let ask = |id| PeerRequest::Results(id, from, left.as_millis() as u64);
        match find(node, id, ask, left).await {
            Location::Local(held) => {
                let (total, outcomes) = held_results(&held, from, left).await;
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

/// Waits until a job whose holder couldn't be asked has another that can; `false` when
/// the time is over.
///
/// Gains calls of the platform: a read that finds nothing new is held as long as its
/// caller asks instead of coming again at once, which made a call each time.
async fn wait_for_holder(node: &Rc<Node>, id: &str, until: Instant) -> bool {
    let holder = |node: &Node| {
        let status = node.jobs.directory.borrow().get(id).map(|status| status.holder.instance);
        status.filter(|holder| node.members.borrow().get(*holder).is_some())
    };
    let before = holder(node);
    loop {
        let left = until.saturating_duration_since(clock::now());
        if left.is_zero() {
            return false;
        }
        tokio::time::sleep(left.min(HOLDER_POLL_INTERVAL)).await;
        let now = holder(node);
        if node.jobs.held_job(id).is_some() || (now.is_some() && now != before) {
            return true;
        }
    }
}

fn results_response(total: usize, from: usize, outcomes: &[Outcome]) -> Response<Body> {
    let mut response = Response::new(Body::Whole(job::results(total, from, outcomes)));
    set_header(&mut response, CONTENT_TYPE, "application/json");
    response
}

fn unavailable(node: &Node, id: &str) -> Response<Body> {
    slog::info!(node.log, "job in doubt"; "job" => id,
        "platform_away" => node.store.is_backing_off(clock::now()));
    let mut error = Error::new(Kind::PlatformUnavailable, "the job can't be read now");
    error.retry_after = Some(submit::RETRY_AFTER);
    error_response(node, "", &error)
}

/// Results of a held job from a position on, waited for if there is none.
async fn held_results(held: &Rc<HeldJob>, from: usize, wait: Duration) -> (usize, Vec<Outcome>) {
    let until = tokio::time::Instant::now() + wait;
    loop {
        let changed = held.changed.notified();
        {
            let state = held.state.borrow();
            let outcomes = state.durable_results().get(from..).unwrap_or_default();
            let is_over = state.is_ended() || held.released.is_cancelled();
            let is_all = state.durable_results().len() >= state.job().items.len();
            if !outcomes.is_empty() || is_over || is_all || tokio::time::Instant::now() >= until {
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

async fn body(node: &Rc<Node>, id: &str, item: &str) -> Response<Body> {
    let ask = |id| PeerRequest::Body(id, item.to_owned());
    let found = match find(node, id, ask, Duration::ZERO).await {
        Location::Local(held) => body_in(held.state.borrow().job(), item),
        Location::Reply(PeerReply::Body(body)) => body,
        Location::Stored(job, _) => body_in(&job, item),
        Location::NotFound => None,
        Location::Reply(_) | Location::Unknown => return unavailable(node, id),
    };
    match found.and_then(|text| job::body_of(&text).ok()) {
        Some(bytes) => {
            let mut response = Response::new(Body::Whole(bytes));
            set_header(&mut response, CONTENT_TYPE, "application/octet-stream");
            response
        }
        None => text_response(404, "no such item"),
    }
}

fn body_in(job: &Job, item: &str) -> Option<String> {
    job.items.iter().find(|known| known.id == item).map(|known| known.body.clone())
}

async fn end(node: &Rc<Node>, id: &str) -> Response<Body> {
    match find(node, id, PeerRequest::End, END_TIMEOUT).await {
        Location::Local(held) => match end_held(node, &held).await {
            true => text_response(200, "ended"),
            false => unavailable(node, id),
        },
        Location::Reply(PeerReply::Done) => text_response(200, "ended"),
        Location::NotFound => text_response(404, "no such job"),
        Location::Reply(_) | Location::Stored(..) | Location::Unknown => {
            match end_stored(node, id).await {
                true => text_response(200, "ended"),
                false => unavailable(node, id),
            }
        }
    }
}

/// Ends a job whose holder can't be asked: on the platform, where its holder
/// finds it with its next write; whoever can be reached is told besides.
async fn end_stored(node: &Rc<Node>, id: &str) -> bool {
    for _ in 0..MAX_END_ATTEMPTS {
        let mut stored_job = match job_store::load(node, CallReason::End, id).await {
            Ok(Some(stored_job)) => stored_job,
            Ok(None) => return false,
            Err(error) => {
                slog::info!(node.log, "end not written"; "job" => id, "fault" => %error);
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
        slog::info!(node.log, "end written for a holder that is silent"; "job" => id,
            "revision" => *revision, "written" => written.is_ok());
        match written {
            Ok(_) => {
                // The holder may be no member here, as just after a cut: it is
                // told where it was when it took the job.
                let update = Update::Ended(id.to_owned());
                let ask = PeerRequest::Update(node.as_holder().address, update.clone());
                node.notify(stored_job.holder().address, ask);
                broadcast::send(node, update);
                return true;
            }
            Err(Fault::Conflict(_) | Fault::Lost(_)) => {}
            Err(_) => return false,
        }
    }
    false
}

/// A job was ended on the platform: it stops here, if it runs here.
pub fn on_ended(node: &Node, id: &str) {
    if let Some(held) = node.jobs.held_job(id) {
        slog::info!(node.log, "job ended elsewhere"; "job" => id);
        held.state.borrow_mut().end();
        held.stop_runs();
        held.mark_dirty();
    }
}

/// Ends a held job; `true` once that is durable.
async fn end_held(node: &Rc<Node>, held: &Rc<HeldJob>) -> bool {
    let until = tokio::time::Instant::now() + END_TIMEOUT;
    if held.state.borrow().is_all_durable() {
        return true; // Nothing is left that could be ended.
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

/// Where a job was found.
enum Location {
    /// In memory here.
    Local(Rc<HeldJob>),
    /// Its holder answered.
    Reply(PeerReply),
    /// On the platform, while its holder can't be asked.
    Stored(Box<Job>, Box<Progress>),
    /// There is no such job.
    NotFound,
    /// Nobody can say now.
    Unknown,
}

/// Finds a job: here, at its holder, or on the platform.
async fn find(
    node: &Rc<Node>,
    id: &str,
    ask: impl Fn(String) -> PeerRequest,
    wait: Duration,
) -> Location {
    if let Some(held) = node.jobs.held_job(id) {
        return Location::Local(held);
    }
    let limit = wait + HOLDER_REPLY_TIMEOUT;
    let status = node.jobs.directory.borrow().get(id).cloned();
    let mut asked = None;
    if let Some(status) = status {
        if let Some(reply) =
            ask_holder(node, status.holder.instance, ask(id.to_owned()), limit).await
        {
            return Location::Reply(reply);
        }
        asked = Some(status.holder.instance);
    }
    let stored_job = match load_cached(node, id).await {
        Ok(Some(stored_job)) => stored_job,
        Ok(None) => return Location::NotFound,
        Err(error) => {
            slog::info!(node.log, "job not read"; "job" => id, "fault" => %error);
            return Location::Unknown;
        }
    };
    let holder = stored_job.holder();
    if !stored_job.is_open() {
        return Location::Local(job_table::hold(node, stored_job));
    }
    let stored = |stored_job: StoredJob| {
        Location::Stored(Box::new(stored_job.job), Box::new(stored_job.progress))
    };
    if holder.instance == node.id() {
        return match takeover::take_over(node, id, Handoff::default()).await {
            Some(held) => Location::Local(held),
            None => stored(stored_job),
        };
    }
    if asked != Some(holder.instance) {
        let reply = ask_holder(node, holder.instance, ask(id.to_owned()), limit).await;
        if let Some(reply) = reply {
            return Location::Reply(reply);
        }
    }
    stored(stored_job)
}

/// A job by its id, as it was a moment ago at most.
async fn load_cached(node: &Node, id: &str) -> Result<Option<StoredJob>, LoadError> {
    let now = clock::now();
    let known = node.jobs.cache.borrow().get(id).cloned();
    if let Some((_, stored_job)) = known.filter(|(read, _)| now < *read + JOB_CACHE_TTL) {
        return Ok(Some(stored_job));
    }
    let stored_job = job_store::load(node, CallReason::Lookup, id).await?;
    let mut cache = node.jobs.cache.borrow_mut();
    cache.retain(|_, (read, _)| now < *read + JOB_CACHE_TTL);
    if let Some(stored_job) = &stored_job {
        // As of before the call: the answer may show no more than that.
        cache.insert(id.to_owned(), (now, stored_job.clone()));
    }
    Ok(stored_job)
}

/// The holder's reply; `None` if it can't be asked or doesn't hold the job.
async fn ask_holder(
    node: &Rc<Node>,
    holder: u64,
    ask: PeerRequest,
    limit: Duration,
) -> Option<PeerReply> {
    let address = node.members.borrow().get(holder).map(|member| member.peer)?;
    match node.request(address, &ask, limit).await {
        Ok(PeerReply::NotOwner) => None,
        Ok(reply) => Some(reply),
        Err(fault) => {
            slog::info!(node.log, "holder silent"; "holder" => %address, "fault" => ?fault);
            None
        }
    }
}

/// Results for another instance.
pub async fn on_results(node: &Rc<Node>, id: &str, from: usize, wait: Duration) -> PeerReply {
    match node.jobs.held_job(id) {
        Some(held) => {
            let (total, outcomes) = held_results(&held, from, wait.min(MAX_RESULTS_WAIT)).await;
            PeerReply::Results(total, outcomes)
        }
        None => PeerReply::NotOwner,
    }
}

/// Body of an item for another instance.
pub fn on_body(node: &Node, id: &str, item: &str) -> PeerReply {
    match node.jobs.held_job(id) {
        Some(held) => PeerReply::Body(body_in(held.state.borrow().job(), item)),
        None => PeerReply::NotOwner,
    }
}

/// The end of a job for another instance.
pub async fn on_end(node: &Rc<Node>, id: &str) -> PeerReply {
    match node.jobs.held_job(id) {
        None => PeerReply::NotOwner,
        Some(held) if end_held(node, &held).await => PeerReply::Done,
        Some(_) => PeerReply::Unavailable,
    }
}
