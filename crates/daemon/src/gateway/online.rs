//! One online request: a slot, a target, an answer.

mod attempt;

pub use attempt::{belongs_to_request, is_not_run, rejection_outcome};

use super::crash::{self, BrokenRequest, hex};
use super::front::{CallerRequest, error_response, text_response};
use super::leases::{self, AcquireError, Lease, SlotQuery};
use super::node::{Config, Node};
use super::quarantine::{self, Admission};
use super::streaming;
use crate::clock;
use attempt::{RetryReason, completion_outcome};
use coordination::hash;
use coordination::slots::{Grant, LeaseOutcome};
use hyper::Response;
use hyper::http::response::Parts;
use platform::header;
use platform::store::Revision;
use protocol::routing::{Class, Route};
use protocol::{Error, Kind};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use transport::listen::{self, Body};
use transport::upstream::Exchange;

/// Targets that couldn't be reached, after which a request is refused.
const MOST_UNREACHED: u32 = 3;
/// Longest answer that is read whole before it is passed on.
const MOST_WHOLE: usize = 8 << 20;
/// When to come back after a refusal that nothing more is known of.
const COME_BACK: Duration = Duration::from_millis(300);

/// One request on its way.
pub struct ProxiedRequest {
    /// The instance.
    pub node: Rc<Node>,
    /// The request.
    pub call: Rc<CallerRequest>,
    /// Its route.
    pub route: Rc<Route>,
    /// Service that runs it.
    pub service: String,
    /// Version of the configuration that routed it.
    pub version: u64,
    /// Targets it was sent to.
    pub sent: u32,
    /// Whether a target may have run it, or has.
    pub may_have_run: bool,
    /// From its start until the last answer about a slot.
    pub slot_wait: Cell<Duration>,
    /// Highest revision of the registry known here when it last got a slot.
    pub registry: Revision,
    /// Targets that it shouldn't be sent to again.
    pub excluded: Vec<String>,
}

/// An answer that has begun.
pub struct TargetResponse {
    /// The answer.
    pub exchange: Exchange,
    /// The slot that it takes.
    pub lease: Lease,
}

/// How a try without an answer ended.
pub enum ForwardError {
    /// No target ran the request: refuse it.
    NotRun(AcquireError),
    /// A target may have run it.
    MayHaveRun(String),
    /// The time is over, and a target may have run it.
    DeadlineExceeded,
}

/// Counts a request as in hand.
pub struct InFlightGuard(Rc<Node>);

impl InFlightGuard {
    /// One more.
    pub fn new(node: &Rc<Node>) -> InFlightGuard {
        node.in_flight.set(node.in_flight.get() + 1);
        InFlightGuard(node.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get().saturating_sub(1));
    }
}

/// Serves a request.
///
/// # Errors
///
/// The connection must close without an answer.
pub async fn serve(
    node: &Rc<Node>,
    config: &Config,
    route: Rc<Route>,
    call: Rc<CallerRequest>,
) -> Result<Response<Body>, listen::Broken> {
    let in_flight = InFlightGuard::new(node);
    let draw = hash::bytes(call.id.as_bytes());
    let Some(service) = route.service(draw).cloned() else {
        let error = Error::new(Kind::NoTarget, "the route has no service");
        return Ok(error_response(node, &call.id, &error));
    };
    let version = config.table.version;
    let mut forward = ProxiedRequest {
        node: node.clone(),
        call,
        route,
        service,
        version,
        sent: 0,
        may_have_run: false,
        slot_wait: Cell::default(),
        registry: 0,
        excluded: Vec::new(),
    };
    match forward.begin(None).await {
        Ok(begun) => answer(forward, begun, in_flight).await,
        Err(failed) => Ok(forward.fail(&failed)),
    }
}

async fn answer(
    forward: ProxiedRequest,
    begun: TargetResponse,
    in_flight: InFlightGuard,
) -> Result<Response<Body>, listen::Broken> {
    if forward.route.class == Class::Stream && begun.exchange.head().status.is_success() {
        return Ok(streaming::stream(forward, begun, in_flight));
    }
    whole(forward, begun).await
}

/// Reads an answer whole before passing it on, so that one that breaks off can
/// be had again or be told from a whole one.
async fn whole(
    mut forward: ProxiedRequest,
    begun: TargetResponse,
) -> Result<Response<Body>, listen::Broken> {
    let mut begun = begun;
    loop {
        let head = copy(begun.exchange.head());
        let left = forward.call.left(clock::now());
        let read = tokio::time::timeout(left, begun.exchange.read_to_end(MOST_WHOLE)).await;
        let fault = match read {
            Ok(Ok(body)) => {
                begun.lease.end(completion_outcome(head.status()));
                forward.on_end(begun.exchange.has_body_framing());
                let is_good = clock::since(forward.call.started) <= forward.route.objective;
                forward.node.metrics.record_request(&forward.route.name, is_good, clock::now());
                return Ok(respond(head, Body::Whole(body)));
            }
            Ok(Err(fault)) => fault,
            Err(_) => return Ok(forward.fail(&ForwardError::DeadlineExceeded)),
        };
        forward.excluded.push(begun.lease.grant.target.clone());
        forward.may_have_run = true;
        forward.on_interrupted(&begun.lease.grant);
        begun.lease.end(LeaseOutcome::Interrupted);
        if !forward.may_send_again() {
            return Ok(forward.fail(&ForwardError::MayHaveRun(fault)));
        }
        begun = match forward.begin(None).await {
            Ok(begun) => begun,
            Err(failed) => return Ok(forward.fail(&failed)),
        };
    }
}

fn copy(head: &Parts) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = head.status;
    *response.headers_mut() = header::end_to_end(&head.headers);
    response
}

/// A target's answer with a body.
pub fn respond(head: Response<()>, body: Body) -> Response<Body> {
    head.map(|()| body)
}

/// A target's head, to be passed on.
pub fn response_head(exchange: &Exchange) -> Response<()> {
    copy(exchange.head())
}

impl ProxiedRequest {
    /// An answer has come to its end; one that ends with its connection may have been cut
    /// short by a crash.
    pub fn on_end(&self, is_framed: bool) {
        if is_framed {
            quarantine::on_success(&self.node, || self.call.content());
        }
    }

    /// The connection broke before the target's answer was whole.
    pub fn on_interrupted(&self, grant: &Grant) {
        let broken = BrokenRequest { id: self.call.id.clone(), content: self.call.content() };
        crash::on_interrupted(&self.node, grant, broken);
    }

    /// Whether the request may be sent to another target.
    pub fn may_send_again(&self) -> bool {
        self.route.is_repeatable() && self.sent < self.route.max_attempts
    }

    /// Gets the head of an answer; `after` is the last event known of a stream
    /// that goes on.
    ///
    /// # Errors
    ///
    /// How the tries ended.
    pub async fn begin(&mut self, after: Option<u64>) -> Result<TargetResponse, ForwardError> {
        let mut unreached = 0;
        loop {
            let lease = self.admitted(after).await.map_err(|refusal| self.refused(refusal))?;
            let target = lease.grant.target.clone();
            self.registry = lease.registry;
            let result = self.send(lease, after).await;
            let again = match result {
                Ok(begun) => return Ok(begun),
                Err(again) => again,
            };
            slog::info!(self.node.log, "try failed"; "request" => &self.call.id,
                "content" => hex(self.call.content()),
                "target" => &target, "how" => again.name(), "text" => again.text(),
                "sent" => self.sent, "attempts" => self.route.max_attempts,
                "registry" => self.registry,
                "age_ms" => clock::since(self.call.started).as_millis() as u64);
            self.excluded.push(target);
            match again {
                RetryReason::NotSent(_) => {
                    unreached += 1;
                    if unreached >= MOST_UNREACHED {
                        return Err(self.refused(AcquireError::Full(COME_BACK)));
                    }
                }
                RetryReason::NotRun => {
                    if self.sent >= self.route.max_attempts {
                        return Err(self.refused(AcquireError::Full(COME_BACK)));
                    }
                }
                RetryReason::MayHaveRun(text) => {
                    self.may_have_run = true;
                    if !self.may_send_again() {
                        return Err(ForwardError::MayHaveRun(text));
                    }
                }
                RetryReason::DeadlineExceeded => return Err(ForwardError::DeadlineExceeded),
            }
        }
    }

    /// A refusal says that the request has not run, so it is one only if that is
    /// true.
    fn refused(&self, refusal: AcquireError) -> ForwardError {
        if self.may_have_run {
            return ForwardError::MayHaveRun(String::from("no slot for another try"));
        }
        ForwardError::NotRun(refusal)
    }

    /// Until when a slot brings the answer in time, and until when the caller waits.
    fn window(&self, is_resumed: bool, now: Instant) -> (Instant, Instant) {
        let route = &self.route;
        let start = self.call.started;
        let last = self.call.until.min(start + route.timeout);
        let leaves = |since: Instant| {
            route.caller_idle_timeout.map_or(last, |silence| last.min(since + silence))
        };
        if is_resumed {
            // A reader waits in the middle of the stream.
            return (now + route.max_event_gap, leaves(now));
        }
        if self.call.is_retry {
            // Its objective is counted from the first time it came: it is late.
            return (start, leaves(start));
        }
        let own_share = self.node.settings.policy.target_share;
        (start + route.objective.mul_f64(1.0 - own_share), leaves(start))
    }

    /// A slot, unless the request is held because it crashes its targets.
    async fn admitted(&self, after: Option<u64>) -> Result<Lease, AcquireError> {
        let content = || self.call.content();
        let admission = quarantine::admit(&self.node, content).await;
        if let Admission::Held(left) = admission {
            return Err(AcquireError::Quarantined(left));
        }
        let lease = self.lease(after).await?;
        // It may have waited while its like crashed further targets.
        match quarantine::held_for(&self.node, content) {
            Some(left) if admission == Admission::Free => Err(AcquireError::Quarantined(left)),
            _ => Ok(lease),
        }
    }

    async fn lease(&self, after: Option<u64>) -> Result<Lease, AcquireError> {
        let (latest_start, expires) = self.window(after.is_some(), clock::now());
        let want = SlotQuery {
            service: self.service.clone(),
            latest_start,
            expires,
            excluded: self.excluded.clone(),
        };
        let result = leases::acquire(&self.node, &want).await;
        self.slot_wait.set(clock::since(self.call.started));
        result
    }

    /// The answer to a request that got none.
    pub fn fail(&self, failed: &ForwardError) -> Response<Body> {
        let call = &self.call;
        let age = clock::since(call.started);
        let (status, cause) = match failed {
            ForwardError::NotRun(AcquireError::Full(_)) => (503, "no slot"),
            ForwardError::NotRun(AcquireError::NoTarget) => (503, "no target"),
            ForwardError::NotRun(AcquireError::Quarantined(_)) => (503, "crashes its targets"),
            ForwardError::MayHaveRun(_) => (502, "no whole answer"),
            ForwardError::DeadlineExceeded => (504, "time over"),
        };
        let is_repeatable = self.route.is_repeatable();
        self.node.metrics.record_request(&self.route.name, false, clock::now());
        slog::info!(self.node.log, "request failed"; "request" => &call.id, "cause" => cause,
            "content" => hex(call.content()),
            "status" => status, "route" => &self.route.name, "service" => &self.service,
            "config" => self.version, "registry" => self.registry, "sent" => self.sent,
            "avoided" => ?self.excluded,
            "slot_ms" => self.slot_wait.get().as_millis() as u64, "again" => call.is_retry,
            "age_ms" => age.as_millis() as u64, "repeatable" => is_repeatable);
        match failed {
            ForwardError::NotRun(refused) => {
                let after = match refused {
                    AcquireError::Full(after) | AcquireError::Quarantined(after) => *after,
                    AcquireError::NoTarget => COME_BACK,
                };
                let kind = match refused {
                    AcquireError::Full(_) => Kind::Overloaded,
                    AcquireError::NoTarget => Kind::NoTarget,
                    AcquireError::Quarantined(_) => Kind::Quarantined,
                };
                let mut error = Error::new(kind, cause);
                error.retry_after = Some(after);
                error_response(&self.node, &call.id, &error)
            }
            ForwardError::MayHaveRun(_) | ForwardError::DeadlineExceeded => {
                self.node.metrics.count(&format!("failed.{status}"));
                text_response(status, cause)
            }
        }
    }
}
