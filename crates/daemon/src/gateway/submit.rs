//! Submissions of batch jobs, which are stored on the platform before they are
//! acknowledged.

use super::call_reason::CallReason;
use super::front::{CallerRequest, error_response, text_response};
use super::job_store;
use super::message::{ForwardedSubmission, PeerReply, PeerRequest, SubmitOutcome};
use super::node::{Node, unix_millis};
use super::stored_job::{Overflow, StoredJob};
use super::{access, handoff, job_table, platform_health, residency};
use crate::clock;
use bytes::Bytes;
use coordination::membership::Member;
use coordination::pending_jobs::Submission;
use hyper::{HeaderMap, Response};
use platform::job;
use platform::store::{Object, StoreError};
use protocol::routing::Route;
use protocol::workspace::Workspace;
use protocol::{Error, Kind};
use state::progress::{Job, JobId, Progress};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use transport::server::Body;

/// Longest wait for an instance to which a submission is forwarded.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(900);
/// Instances to which a submission is forwarded, one after the other.
const MAX_FORWARDS: usize = 2;
/// Share of the caller's remaining time for finding out whether a job was stored after the
/// response of the platform was lost.
const CONFIRM_TIME_RATIO: f64 = 0.4;
/// Delay before a job is created again after the response was lost.
const CREATE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Duration of a write after which the job is announced to the other instances.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(100);
/// When a caller should retry whose job exceeds the route's limit, or while the platform is
/// unavailable.
pub const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Serves a submission. A stop waits for it, and hands off the job that it accepts.
pub async fn submit(node: &Rc<Node>, route: &Route, call: &CallerRequest) -> Response<Body> {
    let _in_flight = node.in_flight.start();
    let until = call.started + call.remaining(call.started).mul_f64(CONFIRM_TIME_RATIO);
    let mut outcome = accept(node, route, call, until).await;
    let is_undecided = matches!(outcome, SubmitOutcome::Rejected | SubmitOutcome::Unknown);
    let is_rejected = outcome == SubmitOutcome::Rejected && !node.is_stopping();
    if is_undecided && (is_rejected || node.store.last_call_failed()) {
        outcome = forward(node, route, call, outcome).await;
    }
    slog::info!(node.log, "submission handled"; "job" => &call.id, "route" => &route.name,
        "workspace" => call.workspace_name(),
        "acceptance" => ?outcome, "bytes" => call.body.len(),
        "age_ms" => clock::since(call.started).as_millis() as u64);
    response(node, &call.id, outcome)
}

fn response(node: &Node, id: &str, outcome: SubmitOutcome) -> Response<Body> {
    let retry_later = |kind, message| {
        let mut error = Error::new(kind, message);
        error.retry_after = Some(RETRY_AFTER);
        error_response(node, id, &error)
    };
    match outcome {
        SubmitOutcome::Accepted => text_response(202, "accepted"),
        SubmitOutcome::Full => retry_later(Kind::CallerLimit, "too many tokens wait on the route"),
        SubmitOutcome::Rejected => {
            retry_later(Kind::PlatformUnavailable, "the job can't be kept now")
        }
        SubmitOutcome::Unknown => text_response(502, "nobody can say whether the job is kept"),
        SubmitOutcome::Malformed => text_response(400, "the submission can't be understood"),
        SubmitOutcome::NotFound => text_response(404, "no such job"),
        SubmitOutcome::TooLong => text_response(413, "the platform can't keep an item that long"),
    }
}

/// Handles a submission forwarded by another instance.
pub async fn on_submit(node: &Rc<Node>, submission: ForwardedSubmission) -> SubmitOutcome {
    let ForwardedSubmission { host, path, job, body, workspace } = submission;
    let Some(config) = node.config() else {
        return SubmitOutcome::Rejected;
    };
    let Some(route) = config.table.route_for(&host, &path) else {
        return SubmitOutcome::Rejected;
    };
    let is_anonymous = workspace.is_none();
    let workspace = workspace.map(|name| Rc::new(Workspace { name, ..Workspace::default() }));
    let _in_flight = node.in_flight.start();
    let now = clock::now();
    let call = CallerRequest {
        id: job,
        method: hyper::Method::POST,
        target: path,
        host,
        headers: HeaderMap::new(),
        body: Bytes::from(body),
        parts: Vec::new(),
        workspace,
        is_retry: false,
        started: now,
        deadline: now + FORWARD_TIMEOUT,
    };
    match accept(node, route, &call, now + FORWARD_TIMEOUT.mul_f64(0.8)).await {
        // The sender may be of a version that knows neither workspaces nor this outcome.
        SubmitOutcome::NotFound if is_anonymous => SubmitOutcome::Accepted,
        outcome => outcome,
    }
}

/// Has another instance store a submission.
async fn forward(
    node: &Rc<Node>,
    route: &Route,
    call: &CallerRequest,
    outcome: SubmitOutcome,
) -> SubmitOutcome {
    let Ok(body) = std::str::from_utf8(&call.body) else {
        return SubmitOutcome::Malformed;
    };
    let request = PeerRequest::Submit(ForwardedSubmission {
        host: call.host.clone(),
        path: call.path().to_owned(),
        job: call.id.clone(),
        body: body.to_owned(),
        workspace: call.workspace_name().map(str::to_owned),
    });
    let now = clock::now();
    let mut members = node.others();
    members.retain(|member| !node.is_unresponsive(member.peer, now));
    let residency = residency::of_request(route, call.workspace.as_deref());
    residency::retain_allowed(node, &residency, &mut members);
    let is_disconnected = |member: &Member| platform_health::is_disconnected(node, member.id, now);
    // Cached, because a random key must not change between comparisons.
    members.sort_by_cached_key(|member| (is_disconnected(member), rand::random::<u32>()));
    let mut result = outcome;
    for member in members.into_iter().take(MAX_FORWARDS) {
        let reply = node.request(member.peer, &request, FORWARD_TIMEOUT).await;
        slog::info!(node.log, "submission forwarded"; "job" => &call.id, "to" => %member.peer,
            "reply" => ?reply);
        match reply {
            Ok(PeerReply::Submitted(SubmitOutcome::Accepted)) => return SubmitOutcome::Accepted,
            Ok(PeerReply::Submitted(SubmitOutcome::Rejected)) => {}
            Ok(PeerReply::Submitted(SubmitOutcome::Full)) if result == SubmitOutcome::Rejected => {
                return SubmitOutcome::Full;
            }
            Err(transport::peer::PeerError::NotSent(_)) => {}
            Ok(_) | Err(_) => result = SubmitOutcome::Unknown,
        }
    }
    result
}

/// Stores a job, or finds it stored already.
async fn accept(
    node: &Rc<Node>,
    route: &Route,
    call: &CallerRequest,
    until: Instant,
) -> SubmitOutcome {
    let id = &call.id;
    let caller = call.workspace_name();
    if let Some(owner) = node.jobs.known_owner(id) {
        return repeated(owner.as_deref(), caller);
    }
    let Some(terms) = route.batch else {
        return SubmitOutcome::Malformed;
    };
    let items = match job::decode(&call.body) {
        Ok(items) if !id.is_empty() => items,
        Ok(_) => return SubmitOutcome::Malformed,
        Err(error) => {
            slog::info!(node.log, "malformed submission"; "job" => id, "error" => error);
            return SubmitOutcome::Malformed;
        }
    };
    let now = unix_millis();
    let job = Job {
        id: id.clone(),
        host: call.host.clone(),
        path: call.path().to_owned(),
        route: route.name.clone(),
        accepted: now,
        due: now + terms.due.as_millis() as u64,
        expires: now + terms.expire_after.as_millis() as u64,
        accepted_by: node.as_holder(),
        workspace: caller.map(str::to_owned),
        config: node.config().map_or(0, |config| config.table.version),
        residency: residency::of_request(route, call.workspace.as_deref()),
        items,
    };
    let waiting = node.jobs.waiting_tokens(node, &route.name, caller, id);
    if terms.max_queued_tokens > 0 && waiting.saturating_add(job.tokens()) > terms.max_queued_tokens
    {
        slog::info!(node.log, "submission exceeds the token limit";
            "job" => id, "workspace" => caller, "waiting" => waiting,
            "tokens" => job.tokens(), "most" => terms.max_queued_tokens);
        return check_stored(node, id, caller).await.unwrap_or(SubmitOutcome::Full);
    }
    let unconfirmed = Unconfirmed::new(node, &job, &route.name);
    let outcome = create(node, job, until, &unconfirmed).await;
    if outcome != SubmitOutcome::Unknown {
        unconfirmed.on_known(outcome);
    }
    outcome
}

/// A job that is being stored. Its tokens count as waiting. If it is dropped before the outcome is
/// known, because that can't be found out in time or the caller has left, a task finds it out.
struct Unconfirmed {
    node: Rc<Node>,
    job: JobId,
    is_announced: Cell<bool>,
    is_known: Cell<bool>,
}

impl Unconfirmed {
    fn new(node: &Rc<Node>, job: &Job, route: &str) -> Unconfirmed {
        let pending = Submission {
            job: job.id.clone(),
            route: route.to_owned(),
            workspace: job.workspace.clone(),
            tokens: job.tokens(),
        };
        node.jobs.pending.borrow_mut().remove_expired(clock::now());
        node.jobs.pending.borrow_mut().insert(pending, None);
        let (is_announced, is_known) = (Cell::new(false), Cell::new(false));
        Unconfirmed { node: node.clone(), job: job.id.clone(), is_announced, is_known }
    }

    /// Announces the job to the other instances, once.
    fn announce(&self) {
        if !self.is_announced.replace(true) {
            handoff::announce_pending(&self.node, &self.job);
        }
    }

    /// The outcome of the submission is known.
    fn on_known(&self, outcome: SubmitOutcome) {
        self.is_known.set(true);
        if outcome == SubmitOutcome::Accepted {
            handoff::keep_pending(&self.node, &self.job);
        } else if self.is_announced.get() {
            handoff::release_pending(&self.node, &self.job);
        } else {
            self.node.jobs.pending.borrow_mut().remove(&self.job);
        }
    }
}

impl Drop for Unconfirmed {
    fn drop(&mut self) {
        if !self.is_known.get() && !self.node.ending.is_cancelled() {
            spawn_local(handoff::settle(self.node.clone(), self.job.clone()));
        }
    }
}

/// The outcome of a submission whose id belongs to a job of the workspace `owner`.
fn repeated(owner: Option<&str>, caller: Option<&str>) -> SubmitOutcome {
    match access::may_access(owner, caller) {
        true => SubmitOutcome::Accepted,
        false => SubmitOutcome::NotFound,
    }
}

/// Handles a job that was found stored: it is acknowledged to its own workspace only, and its holder
/// learns that it has it in any case.
fn on_found_stored(node: &Rc<Node>, object: &Object, caller: Option<&str>) -> SubmitOutcome {
    let summary = match job_store::summary(object) {
        Ok(summary) => summary,
        Err(error) => {
            slog::error!(node.log, "malformed job object"; "job" => &object.name,
                "revision" => object.revision, "fault" => %error);
            return SubmitOutcome::Unknown;
        }
    };
    slog::info!(node.log, "job found stored"; "job" => &object.name,
        "revision" => object.revision, "is_open" => summary.is_open,
        "holder" => format!("{:x}", summary.holder.instance));
    if summary.is_open {
        spawn_local(handoff::notify_holder(node.clone(), object.name.clone()));
    }
    repeated(summary.job.workspace.as_deref(), caller)
}

/// Looks for a job that may have been stored earlier; `None` if it wasn't.
async fn check_stored(node: &Rc<Node>, id: &str, caller: Option<&str>) -> Option<SubmitOutcome> {
    match node.store.get(CallReason::Submission, job::KIND, id).await {
        Ok(Some(object)) => Some(on_found_stored(node, &object, caller)),
        Ok(None) => None,
        Err(error) => {
            slog::info!(node.log, "job load failed"; "job" => id, "fault" => %error);
            Some(SubmitOutcome::Unknown)
        }
    }
}

/// Serves a submission to a path whose route, if any, isn't a batch route. It may repeat one that was
/// accepted when there was one; `None` if it is no submission, or of a job that was never accepted.
pub async fn resubmit(
    node: &Rc<Node>,
    id: &str,
    caller: Option<&str>,
    body: &[u8],
) -> Option<Response<Body>> {
    if id.is_empty() || job::decode(body).is_err() {
        return None;
    }
    let _in_flight = node.in_flight.start();
    let outcome = match node.jobs.known_owner(id) {
        Some(owner) => repeated(owner.as_deref(), caller),
        None => check_stored(node, id, caller).await?,
    };
    slog::info!(node.log, "submission without a route handled"; "job" => id,
        "workspace" => caller, "acceptance" => ?outcome);
    // Nothing was written by this call, so the caller may safely retry.
    let is_unknown = outcome == SubmitOutcome::Unknown;
    Some(response(node, id, if is_unknown { SubmitOutcome::Rejected } else { outcome }))
}

async fn create(
    node: &Rc<Node>,
    job: Job,
    until: Instant,
    unconfirmed: &Unconfirmed,
) -> SubmitOutcome {
    // Once a response was lost the job may be stored, so it can't be reported as rejected.
    let mut is_outcome_unknown = false;
    loop {
        match create_once(node, &job, unconfirmed).await {
            Ok((object, overflow)) => {
                let progress = Progress::default();
                let stored_job = StoredJob { job, progress, overflow, revision: object.revision };
                let held = job_table::hold(node, stored_job);
                job_table::notify_witnesses(node, &held).await;
                if node.is_stopping() {
                    // The hand-off of all jobs may have collected them already.
                    handoff::hand_off_held(node, vec![held]).await;
                }
                return SubmitOutcome::Accepted;
            }
            Err(StoreError::Conflict(found)) => {
                let caller = job.workspace.as_deref();
                return match found {
                    Some(object) => on_found_stored(node, &object, caller),
                    None => {
                        check_stored(node, &job.id, caller).await.unwrap_or(SubmitOutcome::Unknown)
                    }
                };
            }
            Err(StoreError::OutcomeUnknown(error)) => {
                slog::info!(node.log, "submission outcome unknown";
                    "job" => &job.id, "fault" => error);
                is_outcome_unknown = true;
            }
            Err(StoreError::Unavailable(_)) if !is_outcome_unknown => {
                return SubmitOutcome::Rejected;
            }
            Err(StoreError::Rejected(error)) => {
                slog::warn!(node.log, "submission rejected by the platform";
                    "job" => &job.id, "fault" => error);
                return SubmitOutcome::TooLong;
            }
            Err(error) => {
                slog::info!(node.log, "submission outcome unknown"; "job" => &job.id,
                    "fault" => %error);
            }
        }
        let delay = node.store.backoff_remaining(clock::now()).max(CREATE_RETRY_DELAY);
        if clock::now() + delay >= until {
            return SubmitOutcome::Unknown;
        }
        tokio::time::sleep(delay).await;
    }
}

/// Creates a job, and announces it to the other instances if that takes long or its outcome is
/// unknown.
async fn create_once(
    node: &Rc<Node>,
    job: &Job,
    unconfirmed: &Unconfirmed,
) -> Result<(Object, Overflow), StoreError> {
    let creation = job_store::create(node, job);
    tokio::pin!(creation);
    let result = tokio::select! {
        result = &mut creation => result,
        () = tokio::time::sleep(ANNOUNCEMENT_DELAY) => {
            unconfirmed.announce();
            creation.await
        }
    };
    if matches!(result, Err(StoreError::OutcomeUnknown(_))) {
        unconfirmed.announce();
    }
    result
}
