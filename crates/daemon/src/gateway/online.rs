//! Forwards one online request: acquires a slot, sends the request to its target, and passes the
//! response on. Failed attempts are retried on other targets where the route allows it.

mod acquire;
mod attempt;
mod buffered;
mod failure;
mod origin;
mod replacement;
mod stop;
mod unbuffered;

pub use attempt::Pending;
pub use replacement::{Replaced, Replacement};

use super::crash::{self, BrokenRequest, hex};
use super::front::{CallerRequest, error_response};
use super::leases::{AcquireError, Lease};
use super::node::{Config, Node};
use super::quarantine;
use super::quota::Charge;
use super::target_body::TargetBody;
use super::{in_flight, streaming, workload};
use crate::clock;
use attempt::{FailedAttempt, RetryReason};
use coordination::hash;
use coordination::slots::{Forecast, Grant, Workload};
use hyper::{Response, Version};
use platform::header;
use platform::store::Revision;
use protocol::routing::{Class, Origin, Route};
use protocol::{Error, Kind, TargetId};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use transport::body::Aborted;
use transport::server::Body;

/// Time that a request may spend on targets that can't be reached before it is rejected. Connections
/// that are refused don't count.
const MAX_CONNECTING_TIME: Duration = Duration::from_millis(300);
/// Number of unreachable targets after which waiting for a slot counts towards that time, since the
/// others may be unreachable too.
const MAX_UNREACHABLE_TARGETS: u32 = 3;
/// Retry delay sent to the caller when none is known from an allocator.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// A request of a caller that is forwarded to targets.
pub struct ProxiedRequest {
    /// The instance that forwards it.
    pub node: Rc<Node>,
    /// The request as read from the caller.
    pub call: Rc<CallerRequest>,
    /// The route that matched.
    pub route: Rc<Route>,
    /// Service whose targets run the request.
    pub service: String,
    /// Version of the configuration that matched the route.
    pub version: u64,
    /// Number of targets that it was sent to, without those that couldn't be reached.
    pub attempts: u32,
    /// Whether a target may have run the request.
    pub may_have_run: bool,
    /// Time from the start of the request to the last outcome of a slot query.
    pub slot_wait: Cell<Duration>,
    /// Revision of the registry at this instance when the last slot was granted; 0 before.
    pub registry: Revision,
    /// Number of targets that couldn't be reached since the last start of [`ProxiedRequest::forward`].
    pub unreachable: u32,
    /// Time spent on them.
    pub connecting: Duration,
    /// Whether the caller has the head of the response, which only success can complete.
    pub has_begun: bool,
    /// Targets of failed attempts.
    pub excluded: Vec<TargetId>,
    /// Targets that were silent.
    pub silent: Vec<TargetId>,
    /// What began the stream that the request goes on with; `None` before its first event.
    pub origin: Option<Origin>,
    /// Charge to the quota of the caller's workspace.
    pub charge: Charge,
    /// What slot requests tell of the request.
    pub workload: Workload,
    /// What the allocator expected of the request on the last target; `None` if it told nothing.
    pub forecast: Option<Forecast>,
}

/// A response of a target whose head has arrived.
pub struct TargetResponse {
    /// The head, and the body to be read.
    pub body: TargetBody,
    /// Lease on the slot that the response occupies.
    pub lease: Lease,
}

/// Why a request got no response.
pub enum ForwardError {
    /// No target ran the request; the caller may safely retry.
    NotRun(AcquireError),
    /// A target may have run the request.
    MayHaveRun(String),
    /// The deadline has passed, and a target may have run the request.
    DeadlineExceeded,
}

/// Serves an online request.
///
/// # Errors
///
/// Returns an error if the connection must be closed without a response.
pub async fn serve(
    node: &Rc<Node>,
    config: &Config,
    route: Rc<Route>,
    call: Rc<CallerRequest>,
) -> Result<Response<Body>, Aborted> {
    let in_flight = node.in_flight.start();
    let random = hash::bytes(call.id.as_bytes());
    let Some(service) = route.service(random).cloned() else {
        let error = Error::new(Kind::NoTarget, "the route has no service");
        return Ok(error_response(node, &call.id, &error));
    };
    let version = config.table.version;
    let charge = Charge::new(node, call.workspace.as_deref());
    let workload = workload::of_request(&route, &call);
    let mut request = ProxiedRequest {
        node: node.clone(),
        call,
        route,
        service,
        version,
        attempts: 0,
        may_have_run: false,
        slot_wait: Cell::default(),
        registry: 0,
        unreachable: 0,
        connecting: Duration::ZERO,
        has_begun: false,
        excluded: Vec::new(),
        silent: Vec::new(),
        origin: None,
        charge,
        workload,
        forecast: None,
    };
    if !request.is_admitted() {
        return Ok(request.fail(&ForwardError::NotRun(AcquireError::Stopping)));
    }
    if let Err(error) = request.find_origin().await {
        return Ok(request.fail(&ForwardError::NotRun(error)));
    }
    match request.forward(None).await {
        Ok(response) => respond(request, response, in_flight).await,
        Err(error) => Ok(request.fail(&error)),
    }
}

async fn respond(
    request: ProxiedRequest,
    response: TargetResponse,
    in_flight: in_flight::Guard,
) -> Result<Response<Body>, Aborted> {
    if request.route.class == Class::Stream && response.body.head().status.is_success() {
        return Ok(streaming::stream(request, response, in_flight));
    }
    Ok(buffered::respond(request, response, in_flight).await)
}

/// Head of the response to the caller: the target's without hop-by-hop headers. The end of a body
/// that the target doesn't state isn't stated to the caller either, so such a response is in
/// HTTP/1.0 and ends with its connection.
pub fn forwarded_head(body: &TargetBody) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = body.head().status;
    *response.headers_mut() = header::end_to_end(&body.head().headers);
    if !body.is_framed() {
        *response.version_mut() = Version::HTTP_10;
    }
    response
}

/// Attaches a body to a response head.
pub fn with_body(head: Response<()>, body: Body) -> Response<Body> {
    head.map(|()| body)
}

impl ProxiedRequest {
    /// Clears the parts of the prompt once a target has begun to respond.
    pub fn on_answered(&self) {
        quarantine::on_answered(&self.node, &self.call.parts);
    }

    /// Clears the request of crash reports once its response is complete. A response that is
    /// framed by the end of its connection may have been truncated by a crash.
    pub fn on_end(&self, is_framed: bool) {
        if is_framed {
            quarantine::on_completed(&self.node, || self.call.contents());
        }
    }

    /// Starts a crash check after a response was interrupted; `has_event` tells whether the target
    /// had sent an event of it.
    pub fn on_interrupted(&self, grant: &Grant, has_event: bool) {
        let call = &self.call;
        let broken = BrokenRequest {
            id: call.id.clone(),
            contents: call.contents(),
            has_event,
            is_item: false,
        };
        crash::on_interrupted(&self.node, grant, broken);
    }

    /// Whether the request may be sent to another target after one may have run it.
    pub fn may_retry(&self) -> bool {
        let has_attempts = self.attempts < self.route.max_attempts;
        self.route.is_repeatable() && has_attempts && self.is_in_time()
    }

    /// Sends the request until a target accepts it; `last_event` is the id of the last event
    /// received of a stream that is resumed.
    ///
    /// # Errors
    ///
    /// Returns why there will be no response.
    pub async fn forward(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<TargetResponse, ForwardError> {
        self.unreachable = 0;
        self.connecting = Duration::ZERO;
        let lease = self.acquire_next(last_event).await;
        self.forward_on(lease, last_event).await
    }

    async fn forward_on(
        &mut self,
        lease: Result<Lease, AcquireError>,
        last_event: Option<u64>,
    ) -> Result<TargetResponse, ForwardError> {
        let mut lease = lease;
        loop {
            let acquired = lease.map_err(|error| self.reject(error))?;
            let result = match self.start(acquired, last_event) {
                Ok(pending) => self.response(pending, last_event).await,
                Err(failed) => Err(failed),
            };
            match result {
                Ok(response) => return Ok(response),
                Err(failed) => self.on_failed(failed)?,
            }
            lease = self.acquire_again(last_event).await;
        }
    }

    /// Acquires a lease after a failed attempt.
    async fn acquire_again(&mut self, last_event: Option<u64>) -> Result<Lease, AcquireError> {
        if self.unreachable < MAX_UNREACHABLE_TARGETS {
            return self.acquire_next(last_event).await;
        }
        let remaining = MAX_CONNECTING_TIME.saturating_sub(self.connecting);
        let lease = tokio::time::timeout(remaining, self.acquire_next(last_event)).await;
        lease.unwrap_or(Err(AcquireError::Full(RETRY_AFTER)))
    }

    /// As [`ProxiedRequest::forward`], for a request that was sent to the replacement of a silent
    /// target.
    ///
    /// # Errors
    ///
    /// Returns why there will be no response.
    pub async fn forward_sent(
        &mut self,
        pending: Pending,
        last_event: Option<u64>,
    ) -> Result<TargetResponse, ForwardError> {
        match self.response(pending, last_event).await {
            Ok(response) => Ok(response),
            Err(failed) => {
                if self.is_lost(&failed).await {
                    self.attempts -= 1;
                    self.silent.clear();
                }
                self.on_failed(failed)?;
                let lease = self.acquire_patiently(last_event).await;
                self.forward_on(lease, last_event).await
            }
        }
    }

    /// Records an attempt that failed.
    ///
    /// # Errors
    ///
    /// Fails if there may be no other one.
    fn on_failed(&mut self, failed: FailedAttempt) -> Result<(), ForwardError> {
        let FailedAttempt { target, reason, .. } = failed;
        slog::info!(self.node.log, "try failed"; "request" => &self.call.id,
            "content" => hex(self.call.fingerprint()),
            "target" => &target, "how" => reason.name(), "text" => reason.text(),
            "sent" => self.attempts, "attempts" => self.route.max_attempts,
            "registry" => self.registry,
            "age_ms" => clock::since(self.call.started).as_millis() as u64);
        self.excluded.push(target);
        let is_not_run = matches!(reason, RetryReason::NotSent(_) | RetryReason::NotRun);
        self.charge.set_may_have_run(self.may_have_run || !is_not_run);
        match reason {
            RetryReason::NotSent(_) => {
                self.unreachable += 1;
                if self.connecting >= MAX_CONNECTING_TIME {
                    return Err(self.reject(AcquireError::Full(RETRY_AFTER)));
                }
            }
            RetryReason::NotRun => {
                if self.attempts >= self.route.max_attempts {
                    return Err(self.reject(AcquireError::Full(RETRY_AFTER)));
                }
            }
            RetryReason::MayHaveRun(text) => {
                self.may_have_run = true;
                if !self.may_retry() {
                    return Err(ForwardError::MayHaveRun(text));
                }
            }
            RetryReason::DeadlineExceeded => return Err(ForwardError::DeadlineExceeded),
        }
        Ok(())
    }

    /// Counts the tokens of a prompt that is sent, by whether its target probably keeps them.
    fn count_prompt_tokens(&self) {
        if let Some(forecast) = &self.forecast {
            self.node.metrics.count_many("prompt.tokens.kept", forecast.kept_tokens);
            self.node.metrics.count_many("prompt.tokens.unread", forecast.unread_tokens);
        }
    }

    /// A rejection promises that the request did not run, so it is sent only if that is certain.
    fn reject(&self, error: AcquireError) -> ForwardError {
        if self.may_have_run {
            return ForwardError::MayHaveRun(String::from("no slot for a retry"));
        }
        ForwardError::NotRun(error)
    }
}
