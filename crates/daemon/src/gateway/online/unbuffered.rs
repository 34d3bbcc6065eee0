//! Responses that are too large to be buffered beside others, passed on as they arrive.

use super::attempt::completion_outcome;
use super::{ProxiedRequest, TargetResponse, forwarded_head, with_body};
use crate::clock;
use crate::gateway::in_flight;
use crate::gateway::target_body::Truncation;
use bytes::Bytes;
use coordination::slots::LeaseOutcome;
use hyper::Response;
use transport::body;
use transport::server::{self, Body};

/// Why a response is incomplete.
enum Incomplete {
    CallerGone,
    Truncated(Truncation),
}

/// Starts the response to a request, of whose body `part` has been read; a separate task forwards
/// the rest. An interruption aborts the response.
pub(super) fn respond(
    request: ProxiedRequest,
    response: TargetResponse,
    part: Bytes,
    in_flight: in_flight::Guard,
) -> Response<Body> {
    request.node.metrics.count("response.unbuffered");
    let head = forwarded_head(&response.body);
    let (sender, body) = server::body_channel();
    tokio::task::spawn_local(async move {
        forward(&request, response, part, sender).await;
        drop(in_flight);
    });
    with_body(head, body)
}

async fn forward(
    request: &ProxiedRequest,
    response: TargetResponse,
    part: Bytes,
    sender: body::Sender,
) {
    let mut response = response;
    let remaining = request.call.remaining(clock::now());
    let rest = forward_rest(&mut response, part, &sender);
    let outcome = match tokio::time::timeout(remaining, rest).await {
        Ok(Ok(())) => {
            request.on_whole(&response);
            response.lease.end(completion_outcome(response.body.head().status));
            // A caller that doesn't read on gets no whole response.
            let remaining = request.call.remaining(clock::now());
            drop(tokio::time::timeout(remaining, sender.finish()).await);
            return;
        }
        Ok(Err(Incomplete::Truncated(truncation))) => {
            request.on_truncated(&response, &truncation);
            LeaseOutcome::Interrupted
        }
        Ok(Err(Incomplete::CallerGone)) | Err(_) => LeaseOutcome::Unused,
    };
    response.lease.end(outcome);
}

async fn forward_rest(
    response: &mut TargetResponse,
    part: Bytes,
    sender: &body::Sender,
) -> Result<(), Incomplete> {
    let mut next = Some(part);
    while let Some(chunk) = next {
        sender.send(chunk).await.map_err(|_| Incomplete::CallerGone)?;
        next = tokio::select! {
            chunk = response.body.next_chunk() => chunk.map_err(Incomplete::Truncated)?,
            () = sender.closed() => return Err(Incomplete::CallerGone),
        };
    }
    Ok(())
}
