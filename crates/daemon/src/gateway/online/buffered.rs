//! Responses that are read to their end before they are passed on.

use super::attempt::completion_outcome;
use super::{ForwardError, ProxiedRequest, TargetResponse, forwarded_head, unbuffered, with_body};
use crate::clock;
use crate::gateway::crash::hex;
use crate::gateway::in_flight;
use crate::gateway::target_body::{Read, Truncation};
use coordination::slots::LeaseOutcome;
use hyper::Response;
use transport::server::Body;

/// Largest body that is buffered.
const MAX_BUFFERED_BYTES: usize = 8 << 20;

/// Buffers a response before passing it on, so that an interrupted one can be retried or
/// replaced by an error. One that finds no room beside others is passed on as it arrives.
pub(super) async fn respond(
    mut request: ProxiedRequest,
    response: TargetResponse,
    in_flight: in_flight::Guard,
) -> Response<Body> {
    let mut response = response;
    loop {
        let head = forwarded_head(&response.body);
        let remaining = request.call.remaining(clock::now());
        let body = response.body.read(MAX_BUFFERED_BYTES, &request.node.bodies);
        let read = tokio::time::timeout(remaining, body).await;
        let truncation = match read {
            Ok(Ok(Read::Whole(body))) => {
                request.on_whole(&response);
                let is_framed = response.body.is_framed();
                response.lease.end(completion_outcome(head.status()));
                let body = if is_framed { Body::Full(body) } else { Body::Unframed(body) };
                return with_body(head, body);
            }
            Ok(Ok(Read::Part(part))) => {
                return unbuffered::respond(request, response, part, in_flight);
            }
            Ok(Err(truncation)) => truncation,
            Err(_) => return request.fail(&ForwardError::DeadlineExceeded),
        };
        request.on_truncated(&response, &truncation);
        request.excluded.push(response.lease.grant.target.clone());
        request.may_have_run = true;
        response.lease.end(LeaseOutcome::Interrupted);
        if !request.may_retry() {
            return request.fail(&ForwardError::MayHaveRun(truncation.to_string()));
        }
        response = match request.forward(None).await {
            Ok(response) => response,
            Err(error) => return request.fail(&error),
        };
    }
}

impl ProxiedRequest {
    /// Records a response that has been read to its end.
    pub(super) fn on_whole(&self, response: &TargetResponse) {
        if response.body.head().status.is_success() {
            self.record_time(response.lease.sent_at);
            self.on_answered();
        }
        self.on_end(response.body.is_framed());
        let is_within_objective = clock::since(self.call.started) <= self.route.objective;
        self.node.metrics.record_request(&self.route.name, is_within_objective, clock::now());
    }

    /// Records a response that ended too early.
    pub(super) fn on_truncated(&self, response: &TargetResponse, truncation: &Truncation) {
        slog::info!(self.node.log, "response truncated"; "request" => &self.call.id,
            "content" => hex(self.call.fingerprint()),
            "target" => &response.lease.grant.target, "fault" => %truncation,
            "framing" => response.body.framing().name(), "sent" => self.attempts,
            "age_ms" => clock::since(self.call.started).as_millis() as u64);
        self.on_interrupted(&response.lease.grant, response.body.has_event());
    }
}
