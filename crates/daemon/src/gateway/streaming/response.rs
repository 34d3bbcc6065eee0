//! Forwards the response of one target, event by event.

use super::{Stream, TargetResponse};
use crate::clock;
use crate::gateway::leases::Lease;
use crate::gateway::online::{Replaced, Replacement};
use crate::gateway::streaming::stats::EventStats;
use crate::gateway::target_body::Truncation;
use bytes::{Bytes, BytesMut};
use coordination::slots::LeaseOutcome;
use protocol::routing::Origin;
use std::time::Duration;
use transport::event::EventSplitter;
use transport::upstream::Framing;

/// The target of a stream is silent after this many times the route's maximum gap between events.
const SILENCE_GAP_FACTOR: u32 = 3;

/// Why a target's stream ended.
pub(super) enum StreamEnd {
    Completed,
    CallerGone,
    DeadlineExceeded,
    /// The target's response was interrupted; holds the error.
    Interrupted(String),
    /// The target was silent, and another one has the request; it may have failed meanwhile.
    Replaced {
        replacement: Replacement,
        has_failed: bool,
    },
}

type Chunk = Result<Option<Bytes>, Truncation>;

impl Stream {
    /// Forwards one target's response.
    pub(super) async fn forward_response(&mut self, response: TargetResponse) -> StreamEnd {
        self.framing = Some(response.body.framing());
        if response.body.framing() == Framing::Connection {
            self.node().metrics.count("stream.unframed");
        }
        self.stats = EventStats { started_at: Some(clock::now()), ..EventStats::default() };
        let is_continued = self.last_event.is_some();
        let mut response = response;
        let end = self.forward_body(&mut response).await;
        let TargetResponse { body, mut lease } = response;
        self.is_inside_event = body.is_inside_event();
        let is_framed = body.is_framed();
        let has_event = body.has_event();
        // Closes the connection unless the response is complete.
        drop(body);
        self.check_origin(&lease);
        match end {
            StreamEnd::Interrupted(_) | StreamEnd::Replaced { has_failed: true, .. } => {
                self.request.on_interrupted(&lease.grant, has_event);
            }
            StreamEnd::Completed => {
                self.node().leases.on_completed(&lease.grant, &self.request.workload);
                self.request.on_end(is_framed);
                self.request.record_time(lease.sent_at.filter(|_| !is_continued));
            }
            StreamEnd::CallerGone | StreamEnd::DeadlineExceeded | StreamEnd::Replaced { .. } => {}
        }
        self.target_first = self.stats.first_since(lease.sent_at);
        lease.report.first_event = self.target_first;
        lease.report.event_interval = self.stats.event_interval();
        match end {
            StreamEnd::Completed => lease.end(LeaseOutcome::Completed),
            StreamEnd::CallerGone | StreamEnd::DeadlineExceeded => lease.end(LeaseOutcome::Unused),
            StreamEnd::Interrupted(_) | StreamEnd::Replaced { has_failed: true, .. } => {
                lease.end(LeaseOutcome::Interrupted);
            }
            StreamEnd::Replaced { .. } => lease.end_silent(),
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
            if !self.is_answered && response.body.has_event() {
                self.is_answered = true;
                self.request.on_answered();
            }
            if let Err(end) = self.forward_chunk(chunk, &mut splitter, &mut response.lease).await {
                return end;
            }
        }
    }

    /// Sends on what a chunk completes; fails at the end of the response.
    async fn forward_chunk(
        &mut self,
        chunk: Chunk,
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
            replaced = self.request.replace(chunk, Chunk::is_err, lease, self.last_event) => replaced,
            () = self.sender.closed() => return Err(StreamEnd::CallerGone),
        };
        match replaced {
            Replaced::Kept(chunk) => Ok(chunk),
            Replaced::By(replacement, failure) => {
                Err(StreamEnd::Replaced { replacement, has_failed: failure.is_some() })
            }
            Replaced::Expired => Err(StreamEnd::DeadlineExceeded),
        }
    }

    fn remaining(&self) -> Duration {
        self.call().remaining(clock::now())
    }

    /// What began the stream, at its first event.
    fn origin(&self, lease: &Lease) -> Origin {
        let service = self.request.service.clone();
        Origin { service, software: lease.version_of_run() }
    }

    /// Forgets the version of the stream if the target turned out to have started again.
    fn check_origin(&mut self, lease: &Lease) {
        let Some(origin) = &self.request.origin else {
            return;
        };
        if origin.software.is_some() && lease.version_of_run().is_none() {
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
}
