//! Proxies event streams. A resumable stream that is interrupted continues on another
//! target.

mod response;
mod stats;

use super::crash::hex;
use super::front::CallerRequest;
use super::in_flight;
use super::leases::AcquireError;
use super::node::Node;
use super::online::{
    ForwardError, Pending, ProxiedRequest, Replacement, TargetResponse, forwarded_head, with_body,
};
use crate::clock;
use hyper::Response;
use hyper::header::CONTENT_LENGTH;
use protocol::{SoftwareVersion, TargetId};
use response::StreamEnd;
use stats::EventStats;
use std::rc::Rc;
use std::time::Duration;
use transport::body;
use transport::server::{self, Body};
use transport::upstream::Framing;

/// Starts the response to a streaming request; a separate task forwards the events.
pub fn stream(
    request: ProxiedRequest,
    response: TargetResponse,
    in_flight: in_flight::Guard,
) -> Response<Body> {
    let mut head = forwarded_head(&response.body);
    // The length is that of this target's response, which may end inside an event or be resumed.
    head.headers_mut().remove(CONTENT_LENGTH);
    let (sender, body) = server::body_channel();
    tokio::task::spawn_local(async move {
        let mut stream = Stream {
            request,
            target: response.lease.grant.target.clone(),
            software: response.lease.software.clone(),
            last_event: None,
            sender,
            stats: EventStats::default(),
            target_first: None,
            framing: None,
            is_inside_event: false,
            has_sent_other: false,
            is_answered: false,
        };
        let result = stream.run(response).await;
        stream.log_end(&result);
        // Otherwise the sender is dropped, which aborts the response.
        if result.is_ok() {
            stream.sender.finish().await;
        }
        drop(in_flight);
    });
    with_body(head, body)
}

struct Stream {
    request: ProxiedRequest,
    /// The last target.
    target: TargetId,
    /// Its software version.
    software: Option<SoftwareVersion>,
    last_event: Option<u64>,
    sender: body::Sender,
    stats: EventStats,
    /// Time from sending the request to the first event of the last target.
    target_first: Option<Duration>,
    /// Framing of the last target's response.
    framing: Option<Framing>,
    /// Whether the last target's response ended inside an event.
    is_inside_event: bool,
    /// Whether something else than events was sent, after which the stream can't be resumed.
    has_sent_other: bool,
    /// Whether a target has sent an event.
    is_answered: bool,
}

/// Why the response to a caller is incomplete.
enum Incomplete {
    CallerGone,
    /// No target completes it; holds the error.
    Aborted(String),
}

fn aborted(error: &str) -> Incomplete {
    Incomplete::Aborted(error.to_owned())
}

impl Stream {
    /// Forwards the response of one target after the other until it is complete.
    async fn run(&mut self, response: TargetResponse) -> Result<(), Incomplete> {
        self.request.has_begun = true;
        let mut response = response;
        loop {
            self.target.clone_from(&response.lease.grant.target);
            self.software.clone_from(&response.lease.software);
            response = match self.forward_response(response).await {
                StreamEnd::Completed => return Ok(()),
                StreamEnd::CallerGone => return Err(Incomplete::CallerGone),
                StreamEnd::DeadlineExceeded => return Err(aborted("timed out")),
                StreamEnd::Replaced { replacement, .. } => match replacement {
                    Replacement::Response(response) => *response,
                    Replacement::Pending(pending) => self.resume(Some(*pending)).await?,
                },
                StreamEnd::Interrupted(error) => {
                    self.on_interrupted(error)?;
                    self.resume(None).await?
                }
            };
        }
    }

    fn on_interrupted(&mut self, error: String) -> Result<(), Incomplete> {
        self.request.excluded.push(self.target.clone());
        if !self.request.may_retry() || self.has_sent_other {
            return Err(Incomplete::Aborted(error));
        }
        slog::info!(self.request.node.log, "resuming interrupted stream";
            "request" => &self.call().id, "content" => hex(self.call().fingerprint()),
            "target" => &self.target, "software" => &self.software, "fault" => &error,
            "after" => self.last_event,
            "sent" => self.request.attempts);
        Ok(())
    }

    /// Waits for another target to continue after the last event; `pending` if one has been sent
    /// the request.
    async fn resume(&mut self, pending: Option<Pending>) -> Result<TargetResponse, Incomplete> {
        let forward = async {
            match pending {
                Some(pending) => self.request.forward_sent(pending, self.last_event).await,
                None => self.request.forward(self.last_event).await,
            }
        };
        let next = tokio::select! {
            next = forward => next,
            () = self.sender.closed() => return Err(Incomplete::CallerGone),
        };
        match next {
            Ok(response) => Ok(response),
            Err(ForwardError::NotRun(AcquireError::Quarantined(_))) => {
                Err(aborted("request is quarantined"))
            }
            Err(ForwardError::NotRun(AcquireError::NoTargetOfVersion)) => {
                Err(aborted("no target of the version that began the stream"))
            }
            Err(ForwardError::NotRun(AcquireError::UnknownVersion)) => {
                Err(aborted("the version that began the stream is unknown"))
            }
            Err(ForwardError::NotRun(_)) => Err(aborted("no slot to resume on")),
            Err(ForwardError::MayHaveRun(error)) => Err(Incomplete::Aborted(error)),
            Err(ForwardError::DeadlineExceeded) => Err(aborted("timed out")),
        }
    }

    fn call(&self) -> &Rc<CallerRequest> {
        &self.request.call
    }

    fn node(&self) -> &Rc<Node> {
        &self.request.node
    }

    fn log_end(&self, result: &Result<(), Incomplete>) {
        match result {
            Ok(()) => self.log("stream ended", ""),
            Err(Incomplete::CallerGone) => self.log("caller disconnected", ""),
            Err(Incomplete::Aborted(error)) => {
                self.node().metrics.count("stream.broken");
                self.log("stream aborted", error);
            }
        }
    }

    fn log(&self, event: &'static str, error: &str) {
        let call = self.call();
        let node = self.node();
        let age = clock::since(call.started);
        node.metrics.time("stream.whole", age);
        let route = &self.request.route;
        let first = self.stats.first_after(call.started);
        first.into_iter().for_each(|first| node.metrics.time("stream.first", first));
        let is_in_time = first.is_some_and(|first| first <= route.objective);
        let forecast = self.request.forecast;
        let is_good = error.is_empty() && is_in_time && self.stats.slowest <= route.max_event_gap;
        node.metrics.record_request(&route.name, is_good, clock::now());
        slog::info!(node.log, "{}", event; "request" => &call.id, "target" => &self.target,
            "software" => &self.software, "resumes" => call.resumes(),
            "content" => hex(call.fingerprint()),
            "workspace" => call.workspace_name(),
            "route" => &self.request.route.name, "config" => self.request.version,
            "registry" => self.request.registry,
            "expected_ms" => forecast.map(|forecast| forecast.first_ms as u64),
            "target_first_ms" => self.target_first.map(|first| first.as_millis() as u64),
            "kept_tokens" => forecast.map(|forecast| forecast.kept_tokens),
            "unread_tokens" => forecast.map(|forecast| forecast.unread_tokens),
            "slowness" => forecast.map(|forecast| forecast.slowness),
            "framing" => self.framing.map(Framing::name),
            "inside_event" => self.is_inside_event,
            "fault" => error, "pieces" => self.stats.chunks, "sent" => self.request.attempts,
            "first_ms" => self.stats.first_after(call.started).map(|at| at.as_millis() as u64),
            "slowest_ms" => self.stats.slowest.as_millis() as u64,
            "objective_ms" => route.objective.as_millis() as u64,
            "max_gap_ms" => route.max_event_gap.as_millis() as u64,
            "slot_ms" => self.request.slot_wait.get().as_millis() as u64,
            "quota_ms" => self.request.charge.waited().as_millis() as u64,
            "again" => call.is_retry, "age_ms" => age.as_millis() as u64);
    }
}
