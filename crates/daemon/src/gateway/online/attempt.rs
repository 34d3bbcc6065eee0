//! One attempt to send a request to a target, and the classification of its response.

use super::replacement::{Replaced, Replacement};
use super::{ProxiedRequest, TargetResponse};
use crate::clock;
use crate::gateway::leases::Lease;
use crate::gateway::target_body::TargetBody;
use crate::gateway::target_head::{self, Verdict};
use crate::gateway::target_process::TargetProcess;
use bytes::Bytes;
use coordination::slots::{Grant, LeaseOutcome};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use platform::header;
use protocol::TargetId;
use protocol::routing::{Class, Route};
use protocol::settings::Policy;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::{JoinError, spawn_local};
use tokio_util::task::AbortOnDropHandle;
use transport::upstream::{Exchange, SendError};

/// An exchange with a target that runs as a task; dropping it resets its connection.
pub(super) type Sending = AbortOnDropHandle<Result<Exchange, SendError>>;

type SendingResult = Result<Result<Exchange, SendError>, JoinError>;

/// A request that was sent to a target, whose response has not begun.
pub struct Pending {
    pub(super) sending: Sending,
    pub(super) lease: Lease,
}

impl Pending {
    /// Drops the exchange at the deadline. One that came early says nothing about the target.
    fn end(self, route: &Route, policy: &Policy) {
        let Pending { sending, lease } = self;
        drop(sending);
        if lease.silence() >= route.objective.mul_f64(policy.reroute_factor) {
            lease.end_silent();
        }
    }
}

/// An attempt that failed.
pub(super) struct FailedAttempt {
    pub(super) target: TargetId,
    pub(super) address: SocketAddr,
    pub(super) reason: RetryReason,
}

impl FailedAttempt {
    pub(super) fn new(grant: &Grant, reason: RetryReason) -> FailedAttempt {
        FailedAttempt { target: grant.target.clone(), address: grant.address, reason }
    }
}

/// Why there is no head of a response yet.
enum NoHead {
    /// The target has sent nothing for so long that another one may be faster.
    Silent,
    /// The deadline has passed.
    Expired,
}

impl ProxiedRequest {
    /// Sends the request to the target of a lease.
    pub(super) fn start(
        &mut self,
        lease: Lease,
        last_event: Option<u64>,
    ) -> Result<Pending, FailedAttempt> {
        let now = clock::now();
        let failed = |reason| FailedAttempt::new(&lease.grant, reason);
        let remaining = self.call.remaining(now);
        if remaining.is_zero() {
            return Err(failed(RetryReason::DeadlineExceeded));
        }
        let request = self
            .request(&lease, remaining, last_event)
            .map_err(|text| failed(RetryReason::NotSent(text)))?;
        let (node, address) = (self.node.clone(), lease.grant.address);
        let sending = spawn_local(async move { node.targets.send(address, request).await });
        self.attempts += 1;
        self.charge.set_may_have_run(true);
        let mut lease = lease;
        lease.sent_at = Some(now);
        Ok(Pending { sending: AbortOnDropHandle::new(sending), lease })
    }

    /// Waits for the response to a request that was sent, or for that of a target that replaces a
    /// silent one.
    pub(super) async fn response(
        &mut self,
        pending: Pending,
        last_event: Option<u64>,
    ) -> Result<TargetResponse, FailedAttempt> {
        let mut pending = pending;
        loop {
            let grant = pending.lease.grant.clone();
            let failed = |reason| FailedAttempt::new(&grant, reason);
            match self.head_or_replacement(&mut pending, last_event).await {
                Replaced::Kept(result) => {
                    let is_resumed = last_event.is_some();
                    return self.accept(flatten(result), pending.lease, is_resumed).map_err(failed);
                }
                Replaced::Expired => {
                    pending.end(&self.route, &self.node.settings.policy);
                    return Err(failed(RetryReason::DeadlineExceeded));
                }
                Replaced::By(replacement, failure) => {
                    self.end_replaced(pending, failure);
                    match replacement {
                        Replacement::Response(response) => return Ok(*response),
                        Replacement::Pending(other) => pending = *other,
                    }
                }
            }
        }
    }

    async fn head_or_replacement(
        &mut self,
        pending: &mut Pending,
        last_event: Option<u64>,
    ) -> Replaced<SendingResult> {
        loop {
            match self.head(pending).await {
                Ok(result) => return Replaced::Kept(Ok(result)),
                Err(NoHead::Expired) => return Replaced::Expired,
                // A stop was ordered meanwhile.
                Err(NoHead::Silent) if !self.may_retry() => {}
                Err(NoHead::Silent) => {
                    let Pending { sending, lease } = pending;
                    return self.replace(sending, has_failed, lease, last_event).await;
                }
            }
        }
    }

    /// Drops the exchange with a target that was replaced; `failure` is how it failed, if it did.
    fn end_replaced(&mut self, pending: Pending, failure: Option<SendingResult>) {
        let Pending { sending, lease } = pending;
        drop(sending);
        match failure {
            // The request goes on elsewhere, whatever the reason.
            Some(result) => drop(self.accept(flatten(result), lease, false)),
            None => lease.end_silent(),
        }
    }

    /// Waits for the head of a response, as long as no other target may be faster.
    async fn head(&self, pending: &mut Pending) -> Result<Result<Exchange, SendError>, NoHead> {
        let Pending { sending, lease } = pending;
        let waited = lease.silence();
        let remaining = self.call.remaining(clock::now());
        let policy = &self.node.settings.policy;
        let after = |factor| self.route.objective.mul_f64(factor).saturating_sub(waited);
        let overdue_after = after(policy.overdue_factor).min(remaining);
        let reroute_after = after(policy.reroute_factor).min(remaining);
        let timeout = if self.may_retry() { reroute_after } else { remaining };
        if let Ok(result) = tokio::time::timeout(overdue_after, &mut *sending).await {
            return Ok(flatten(result));
        }
        lease.report_overdue();
        let rest = timeout.saturating_sub(overdue_after);
        match tokio::time::timeout(rest, sending).await {
            Ok(result) => Ok(flatten(result)),
            Err(_) if timeout == remaining => Err(NoHead::Expired),
            Err(_) => Err(NoHead::Silent),
        }
    }

    fn request(
        &self,
        lease: &Lease,
        remaining: Duration,
        last_event: Option<u64>,
    ) -> Result<Request<Full<Bytes>>, String> {
        let call = &self.call;
        let remaining = remaining.as_millis().to_string();
        let mut builder = Request::builder().method(call.method.clone()).uri(&call.target);
        if let Some(headers) = builder.headers_mut() {
            *headers = call.headers.clone();
            headers.remove(header::DEADLINE_MS);
            headers.remove(header::EXPECTED_TARGET);
            headers.remove("content-length");
            if last_event.is_some() {
                headers.remove(header::LAST_EVENT_ID);
            }
        }
        builder = builder.header(header::DEADLINE_MS, remaining);
        builder = builder.header(header::EXPECTED_TARGET, &lease.grant.target);
        if let Some(workspace) = &call.workspace {
            builder = builder.header(header::WORKSPACE, &workspace.name);
        }
        if let Some(source) = lease.grant.copy_from {
            builder = builder.header(header::COPY_PROMPT_FROM, source.to_string());
        }
        if let Some(last_event) = last_event {
            builder = builder.header(header::LAST_EVENT_ID, last_event.to_string());
        }
        builder.body(Full::new(call.body.clone())).map_err(|error| error.to_string())
    }

    /// Checks whether there is a response that belongs to the request and is to be passed on.
    pub(super) fn accept(
        &mut self,
        result: Result<Exchange, SendError>,
        lease: Lease,
        is_resumed: bool,
    ) -> Result<TargetResponse, RetryReason> {
        match result {
            Err(error @ (SendError::NotSent(_) | SendError::Refused(_))) => {
                self.attempts -= 1;
                // A refusal comes at once, unless this instance is slow.
                if matches!(error, SendError::NotSent(_)) {
                    self.connecting += lease.silence();
                }
                lease.end(LeaseOutcome::Unresponsive);
                Err(RetryReason::NotSent(error.to_string()))
            }
            Err(SendError::OutcomeUnknown(text)) => {
                self.on_interrupted(&lease.grant, false);
                lease.end(LeaseOutcome::Interrupted);
                Err(RetryReason::MayHaveRun(text))
            }
            Err(SendError::Foreign(text)) => {
                self.node.metrics.count("response.foreign");
                lease.end(LeaseOutcome::Interrupted);
                Err(RetryReason::MayHaveRun(text))
            }
            Ok(exchange) => self.accept_head(exchange, lease, is_resumed),
        }
    }

    fn accept_head(
        &self,
        exchange: Exchange,
        lease: Lease,
        is_resumed: bool,
    ) -> Result<TargetResponse, RetryReason> {
        if !exchange.names_request() {
            self.node.metrics.count("response.unnamed");
        }
        let head = exchange.head();
        if let Verdict::NotRun(outcome) = target_head::classify(head) {
            lease.end(outcome);
            return Err(RetryReason::NotRun);
        }
        let status = head.status;
        // Other successes than 200 come without the rest of a stream, or with a part of it.
        let breaks_stream = self.has_begun && status != StatusCode::OK;
        if breaks_stream || (status.is_server_error() && self.may_retry()) {
            lease.end(completion_outcome(status));
            return Err(RetryReason::MayHaveRun(format!("target responded with {status}")));
        }
        let expects_events = self.route.class == Class::Stream;
        let process = TargetProcess::of(&exchange, &self.node, &self.service, &lease.grant);
        let body = TargetBody::new(exchange, process, expects_events).resumed(is_resumed);
        Ok(TargetResponse { body, lease })
    }
}

/// The result of an exchange; one whose task failed may have been sent.
pub(super) fn flatten(result: SendingResult) -> Result<Exchange, SendError> {
    result.unwrap_or_else(|error| Err(SendError::OutcomeUnknown(error.to_string())))
}

/// Whether an exchange brought no response that could be passed on.
fn has_failed(result: &SendingResult) -> bool {
    let Ok(Ok(exchange)) = result else {
        return true;
    };
    let head = exchange.head();
    target_head::classify(head) != Verdict::Run || head.status.is_server_error()
}

/// The lease outcome of a complete response.
pub(super) fn completion_outcome(status: StatusCode) -> LeaseOutcome {
    if status.is_server_error() { LeaseOutcome::Failed } else { LeaseOutcome::Completed }
}

/// Why an attempt failed; another one may follow.
pub(super) enum RetryReason {
    NotSent(String),
    NotRun,
    MayHaveRun(String),
    DeadlineExceeded,
}

impl RetryReason {
    pub(super) fn name(&self) -> &'static str {
        match self {
            RetryReason::NotSent(_) => "not sent",
            RetryReason::NotRun => "not run",
            RetryReason::MayHaveRun(_) => "may have run",
            RetryReason::DeadlineExceeded => "deadline exceeded",
        }
    }

    pub(super) fn text(&self) -> &str {
        match self {
            RetryReason::NotSent(text) | RetryReason::MayHaveRun(text) => text,
            RetryReason::NotRun | RetryReason::DeadlineExceeded => "",
        }
    }
}
