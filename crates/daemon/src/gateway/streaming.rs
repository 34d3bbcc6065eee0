//! Proxies event streams. A resumable stream that is interrupted continues on another
//! target.

mod stats;

use super::crash::hex;
use super::front::CallerRequest;
use super::in_flight;
use super::leases::{AcquireError, Lease};
use super::node::Node;
use super::online::{
    ForwardError, Pending, ProxiedRequest, Replaced, Replacement, TargetResponse, forwarded_head,
    with_body,
};
use super::target_body::Truncation;
use crate::clock;
use bytes::{Bytes, BytesMut};
use coordination::continuation;
use coordination::slots::LeaseOutcome;
use hyper::Response;
use hyper::header::CONTENT_LENGTH;
use protocol::routing::Origin;
use protocol::{SoftwareVersion, TargetId};
use stats::EventStats;
use std::rc::Rc;
use std::time::Duration;
use transport::body;
use transport::event::EventSplitter;
use transport::server::{self, Body};
use transport::upstream::Framing;

/// The target of a stream is silent after this many times the route's maximum gap between events.
const SILENCE_GAP_FACTOR: u32 = 3;

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
}

/// Why the response to a caller is incomplete.
enum Incomplete {
    CallerGone,
    /// No target completes it; holds the error.
    Aborted(String),
}

/// Why a target's stream ended.
enum StreamEnd {
    Completed,
    CallerGone,
    DeadlineExceeded,
    /// The target's response was interrupted; holds the error.
    Interrupted(String),
    /// The target was silent, and another one has the request.
    Replaced(Replacement),
}

type Chunk = Result<Option<Bytes>, Truncation>;

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
                StreamEnd::Replaced(Replacement::Response(response)) => *response,
                StreamEnd::Replaced(Replacement::Pending(pending)) => {
                    self.resume(Some(*pending)).await?
                }
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

    /// Forwards one target's response.
    async fn forward_response(&mut self, response: TargetResponse) -> StreamEnd {
        self.framing = Some(response.body.framing());
        if response.body.framing() == Framing::Connection {
            self.node().metrics.count("stream.unframed");
        }
        self.stats = EventStats { started_at: Some(clock::now()), ..EventStats::default() };
        let mut response = response;
        let end = self.forward_body(&mut response).await;
        let TargetResponse { body, mut lease } = response;
        self.is_inside_event = body.is_inside_event();
        let is_framed = body.is_framed();
        // Closes the connection unless the response is complete.
        drop(body);
        self.check_origin(&lease);
        match end {
            StreamEnd::Interrupted(_) => self.request.on_interrupted(&lease.grant),
            StreamEnd::Completed => {
                self.node().leases.on_completed(&lease.grant, &self.request.workload);
                self.request.on_end(is_framed);
            }
            StreamEnd::CallerGone | StreamEnd::DeadlineExceeded | StreamEnd::Replaced(_) => {}
        }
        self.target_first = self.stats.first_since(lease.sent_at);
        lease.report.first_event = self.target_first;
        lease.report.event_interval = self.stats.event_interval();
        match end {
            StreamEnd::Completed => lease.end(LeaseOutcome::Completed),
            StreamEnd::CallerGone | StreamEnd::DeadlineExceeded => lease.end(LeaseOutcome::Unused),
            StreamEnd::Interrupted(_) => lease.end(LeaseOutcome::Interrupted),
            StreamEnd::Replaced(_) => lease.end_silent(),
        }
        end
    }

    /// Forwards a response until it ends or its target is replaced.
    async fn forward_body(&mut self, response: &mut TargetResponse) -> StreamEnd {
        // Only complete events are sent if the stream may be resumed after them.
        let mut splitter = (self.request.route.resumable && response.body.is_event_stream())
            .then(EventSplitter::default);
        loop {
            let chunk = match self.next_chunk(response, splitter.is_some()).await {
                Ok(chunk) => chunk,
                Err(end) => return end,
            };
            if let Err(end) = self.forward_chunk(chunk, &mut splitter, &mut response.lease).await {
                return end;
            }
        }
    }

    /// Sends on what a chunk completes; fails at the end of the response.
    async fn forward_chunk(
        &mut self,
        chunk: Result<Option<Bytes>, Truncation>,
        splitter: &mut Option<EventSplitter>,
        lease: &mut Lease,
    ) -> Result<(), StreamEnd> {
        let bytes = match chunk {
            Ok(Some(bytes)) => bytes,
            Ok(None) => {
                let rest = splitter.as_mut().map(EventSplitter::take_rest);
                return Err(self.send_last(rest.unwrap_or_default()).await);
            }
            Err(truncation) => return Err(StreamEnd::Interrupted(truncation.to_string())),
        };
        lease.heard_at = Some(clock::now());
        let bytes = match splitter {
            Some(splitter) => {
                self.complete_events(splitter, &bytes).map_err(StreamEnd::Interrupted)?
            }
            None => {
                self.has_sent_other = true;
                bytes
            }
        };
        if bytes.is_empty() {
            return Ok(());
        }
        self.stats.on_chunk(clock::now());
        if splitter.is_some() && self.request.origin.is_none() {
            let origin = self.origin(lease);
            self.request.set_origin(origin);
        }
        self.sender.send(bytes).await.map_err(|_| StreamEnd::CallerGone)
    }

    /// Reads the next chunk. A target that is silent for too long may be replaced if the stream can
    /// be resumed.
    async fn next_chunk(
        &mut self,
        response: &mut TargetResponse,
        can_resume: bool,
    ) -> Result<Chunk, StreamEnd> {
        let remaining = self.remaining();
        let max_gap = self.max_gap().min(remaining);
        let is_overdue = tokio::select! {
            biased;
            chunk = response.body.next_chunk() => return Ok(chunk),
            () = self.sender.closed() => return Err(StreamEnd::CallerGone),
            () = tokio::time::sleep(max_gap) => max_gap < remaining,
        };
        if !is_overdue {
            return Err(StreamEnd::DeadlineExceeded);
        }
        response.lease.report_overdue();
        if can_resume && self.request.may_retry() {
            return self.replace(response).await;
        }
        let remaining = self.remaining();
        tokio::select! {
            biased;
            chunk = response.body.next_chunk() => Ok(chunk),
            () = self.sender.closed() => Err(StreamEnd::CallerGone),
            () = tokio::time::sleep(remaining) => Err(StreamEnd::DeadlineExceeded),
        }
    }

    /// Reads the next chunk of a silent target, unless another one replaces it first.
    async fn replace(&mut self, response: &mut TargetResponse) -> Result<Chunk, StreamEnd> {
        let TargetResponse { body, lease } = response;
        self.check_origin(lease);
        let chunk = std::pin::pin!(body.next_chunk());
        let replaced = tokio::select! {
            replaced = self.request.replace(chunk, lease, self.last_event) => replaced,
            () = self.sender.closed() => return Err(StreamEnd::CallerGone),
        };
        match replaced {
            Replaced::Kept(chunk) => Ok(chunk),
            Replaced::By(replacement) => Err(StreamEnd::Replaced(replacement)),
            Replaced::Expired => Err(StreamEnd::DeadlineExceeded),
        }
    }

    fn remaining(&self) -> Duration {
        self.call().remaining(clock::now())
    }

    /// What began the stream, at its first event.
    fn origin(&self, lease: &Lease) -> Origin {
        let service = self.request.service.clone();
        Origin { service, software: self.version_of_run(lease) }
    }

    fn version_of_run(&self, lease: &Lease) -> Option<SoftwareVersion> {
        let registry = self.node().registry.borrow();
        let target = registry.get(&lease.grant.target);
        continuation::version_of_run(lease.software.as_ref(), target)
    }

    /// Forgets the version of the stream if the target turned out to have started again.
    fn check_origin(&mut self, lease: &Lease) {
        let Some(origin) = &self.request.origin else {
            return;
        };
        if origin.software.is_some() && self.version_of_run(lease).is_none() {
            let origin = Origin { software: None, ..origin.clone() };
            self.request.set_origin(origin);
        }
    }

    /// Sends what follows the last event of a complete response.
    async fn send_last(&self, rest: Bytes) -> StreamEnd {
        if !rest.is_empty() && self.sender.send(rest).await.is_err() {
            return StreamEnd::CallerGone;
        }
        StreamEnd::Completed
    }

    /// Complete events in the received data, without those already sent by an earlier
    /// target.
    fn complete_events(
        &mut self,
        splitter: &mut EventSplitter,
        bytes: &[u8],
    ) -> Result<Bytes, String> {
        if !splitter.push(bytes) {
            return Err(String::from("event exceeds the size limit"));
        }
        let mut complete = BytesMut::new();
        while let Some(event) = splitter.next_event() {
            if let (Some(id), Some(last)) = (event.id, self.last_event)
                && id <= last
            {
                continue;
            }
            if event.id.is_some() {
                self.last_event = event.id;
            }
            complete.extend_from_slice(&event.raw);
        }
        Ok(complete.freeze())
    }

    fn max_gap(&self) -> Duration {
        let route = &self.request.route;
        if self.stats.chunks == 0 {
            route.objective
        } else {
            route.max_event_gap * SILENCE_GAP_FACTOR
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
