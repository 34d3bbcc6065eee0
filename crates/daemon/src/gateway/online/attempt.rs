//! One send of a request to one target, and what its answer says.

use super::{ProxiedRequest, TargetResponse};
use crate::clock;
use crate::gateway::leases::Lease;
use bytes::Bytes;
use coordination::slots::LeaseOutcome;
use http_body_util::Full;
use hyper::http::response::Parts;
use hyper::{HeaderMap, Request, StatusCode};
use platform::header;
use std::time::Duration;
use transport::upstream::{Exchange, SendError};

impl ProxiedRequest {
    pub(super) async fn send(
        &mut self,
        lease: Lease,
        after: Option<u64>,
    ) -> Result<TargetResponse, RetryReason> {
        let now = clock::now();
        let left = self.call.left(now);
        if left.is_zero() {
            return Err(RetryReason::DeadlineExceeded);
        }
        let request = self.request(&lease, left, after).map_err(RetryReason::NotSent)?;
        let policy = &self.node.settings.policy;
        let overdue = self.route.objective.mul_f64(policy.overdue_factor);
        let give_up = self.route.objective.mul_f64(policy.reroute_factor);
        let sent = self.node.targets.send(lease.grant.address, request);
        let mut sent = std::pin::pin!(sent);
        let mut limit = left;
        if self.route.is_repeatable() && self.sent + 1 < self.route.max_attempts {
            limit = limit.min(give_up);
        }
        let first = tokio::time::timeout(overdue.min(limit), sent.as_mut()).await;
        let result = match first {
            Ok(result) => result,
            Err(_) => {
                lease.report_overdue();
                let rest = limit.saturating_sub(clock::since(now));
                match tokio::time::timeout(rest, sent).await {
                    Ok(result) => result,
                    Err(_) => {
                        self.sent += 1;
                        lease.end(LeaseOutcome::Unresponsive);
                        let is_over = self.call.left(clock::now()).is_zero();
                        let text = String::from("no answer in time");
                        return Err(if is_over {
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
                self.sent += 1;
                self.on_interrupted(&lease.grant);
                lease.end(LeaseOutcome::Interrupted);
                Err(RetryReason::MayHaveRun(text))
            }
            Ok(exchange) => {
                self.sent += 1;
                self.check(exchange, lease)
            }
        }
    }

    fn request(
        &self,
        lease: &Lease,
        left: Duration,
        after: Option<u64>,
    ) -> Result<Request<Full<Bytes>>, String> {
        let call = &self.call;
        let left = left.as_millis().to_string();
        let mut builder = Request::builder().method(call.method.clone()).uri(&call.target);
        if let Some(headers) = builder.headers_mut() {
            *headers = call.headers.clone();
            headers.remove(header::DEADLINE_MS);
            headers.remove(header::EXPECTED_TARGET);
            headers.remove("content-length");
            if after.is_some() {
                headers.remove(header::LAST_EVENT_ID);
            }
        }
        builder = builder.header(header::DEADLINE_MS, left);
        builder = builder.header(header::EXPECTED_TARGET, &lease.grant.target);
        if let Some(after) = after {
            builder = builder.header(header::LAST_EVENT_ID, after.to_string());
        }
        builder.body(Full::new(call.body.clone())).map_err(|error| error.to_string())
    }

    /// Whether an answer is the one asked for, and can be passed on.
    fn check(&self, exchange: Exchange, lease: Lease) -> Result<TargetResponse, RetryReason> {
        let head = exchange.head();
        if is_not_run(head) {
            lease.end(rejection_outcome(head));
            return Err(RetryReason::NotRun);
        }
        if !belongs_to_request(&head.headers, &self.call.id) {
            lease.end(LeaseOutcome::Interrupted);
            return Err(RetryReason::MayHaveRun(String::from("an answer to another request")));
        }
        if head.status.is_server_error() && self.may_send_again() {
            let status = head.status;
            lease.end(completion_outcome(status));
            return Err(RetryReason::MayHaveRun(format!("the target answers {status}")));
        }
        Ok(TargetResponse { exchange, lease })
    }
}

/// Whether an answer says that the request was not run.
pub fn is_not_run(head: &Parts) -> bool {
    head.headers.contains_key(header::NOT_RUN) || head.status == StatusCode::MISDIRECTED_REQUEST
}

/// What it says of a target that it didn't run a request.
pub fn rejection_outcome(head: &Parts) -> LeaseOutcome {
    let is_another = head.status == StatusCode::MISDIRECTED_REQUEST;
    if is_another { LeaseOutcome::Misdirected } else { LeaseOutcome::Rejected }
}

/// What a whole answer says of its target.
pub(super) fn completion_outcome(status: StatusCode) -> LeaseOutcome {
    if status.is_server_error() { LeaseOutcome::Failed } else { LeaseOutcome::Completed }
}

/// Whether an answer belongs to the request `id`.
pub fn belongs_to_request(headers: &HeaderMap, id: &str) -> bool {
    let echoed = header::text(headers, header::REQUEST_ID);
    echoed.is_empty() || echoed == id
}

/// How a try ended that may be followed by another.
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
            RetryReason::DeadlineExceeded => "time over",
        }
    }

    pub(super) fn text(&self) -> &str {
        match self {
            RetryReason::NotSent(text) | RetryReason::MayHaveRun(text) => text,
            RetryReason::NotRun | RetryReason::DeadlineExceeded => "",
        }
    }
}
