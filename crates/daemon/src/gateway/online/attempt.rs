//! One attempt to send a request to a target, and the classification of its response.

use super::{ProxiedRequest, TargetResponse};
use crate::clock;
use crate::gateway::leases::Lease;
use crate::gateway::target_body::TargetBody;
use bytes::Bytes;
use coordination::slots::LeaseOutcome;
use http_body_util::Full;
use hyper::http::response::Parts;
use hyper::{HeaderMap, Request, StatusCode};
use platform::header;
use protocol::routing::Class;
use std::time::Duration;
use transport::upstream::{Exchange, SendError};

impl ProxiedRequest {
    pub(super) async fn send(
        &mut self,
        lease: Lease,
        last_event: Option<u64>,
    ) -> Result<TargetResponse, RetryReason> {
        let now = clock::now();
        let remaining = self.call.remaining(now);
        if remaining.is_zero() {
            return Err(RetryReason::DeadlineExceeded);
        }
        let request = self.request(&lease, remaining, last_event).map_err(RetryReason::NotSent)?;
        let policy = &self.node.settings.policy;
        let overdue_after = self.route.objective.mul_f64(policy.overdue_factor);
        let reroute_after = self.route.objective.mul_f64(policy.reroute_factor);
        let mut lease = lease;
        lease.sent_at = Some(now);
        let sending = self.node.targets.send(lease.grant.address, request);
        let mut sending = std::pin::pin!(sending);
        let mut timeout = remaining;
        if self.route.is_repeatable() && self.attempts + 1 < self.route.max_attempts {
            timeout = timeout.min(reroute_after);
        }
        let response = tokio::time::timeout(overdue_after.min(timeout), sending.as_mut()).await;
        let result = match response {
            Ok(result) => result,
            Err(_) => {
                lease.report_overdue();
                let rest = timeout.saturating_sub(clock::since(now));
                match tokio::time::timeout(rest, sending).await {
                    Ok(result) => result,
                    Err(_) => {
                        self.attempts += 1;
                        lease.end(LeaseOutcome::Unresponsive);
                        let is_expired = self.call.remaining(clock::now()).is_zero();
                        let text = String::from("response timed out");
                        return Err(if is_expired {
                            RetryReason::DeadlineExceeded
                        } else {
                            RetryReason::MayHaveRun(text)
                        });
                    }
                }
            }
        };
        match result {
            Err(SendError::NotSent(text)) => {
                lease.end(LeaseOutcome::Unresponsive);
                Err(RetryReason::NotSent(text))
            }
            Err(SendError::OutcomeUnknown(text)) => {
                self.attempts += 1;
                self.on_interrupted(&lease.grant);
                lease.end(LeaseOutcome::Interrupted);
                Err(RetryReason::MayHaveRun(text))
            }
            Ok(exchange) => {
                self.attempts += 1;
                self.accept(exchange, lease, last_event.is_some())
            }
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

    /// Checks whether a response belongs to the request and is to be passed on.
    fn accept(
        &self,
        exchange: Exchange,
        lease: Lease,
        is_resumed: bool,
    ) -> Result<TargetResponse, RetryReason> {
        let head = exchange.head();
        if is_not_run(head) {
            lease.end(rejection_outcome(head));
            return Err(RetryReason::NotRun);
        }
        if !belongs_to_request(&head.headers, &self.call.id) {
            lease.end(LeaseOutcome::Interrupted);
            return Err(RetryReason::MayHaveRun(String::from(
                "response belongs to another request",
            )));
        }
        if head.status.is_server_error() && self.may_retry() {
            let status = head.status;
            lease.end(completion_outcome(status));
            return Err(RetryReason::MayHaveRun(format!("target responded with {status}")));
        }
        let expects_events = self.route.class == Class::Stream;
        let body = TargetBody::new(exchange, expects_events).resumed(is_resumed);
        Ok(TargetResponse { body, lease })
    }
}

/// Whether a response says that the target did not run the request.
pub fn is_not_run(head: &Parts) -> bool {
    head.headers.contains_key(header::NOT_RUN) || head.status == StatusCode::MISDIRECTED_REQUEST
}

/// The lease outcome of a response that says that the request was not run.
pub fn rejection_outcome(head: &Parts) -> LeaseOutcome {
    let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    if is_misdirected { LeaseOutcome::Misdirected } else { LeaseOutcome::Rejected }
}

/// The lease outcome of a complete response.
pub(super) fn completion_outcome(status: StatusCode) -> LeaseOutcome {
    if status.is_server_error() { LeaseOutcome::Failed } else { LeaseOutcome::Completed }
}

/// Whether a response belongs to the request `id`; one without an id is taken to.
pub fn belongs_to_request(headers: &HeaderMap, id: &str) -> bool {
    let response_id = header::text(headers, header::REQUEST_ID);
    response_id.is_empty() || response_id == id
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
