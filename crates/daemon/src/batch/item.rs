//! Runs one item on one target.

use super::chunk::{Partial, PendingItem, RunOutcome};
use coordination::retry::Failure;
use protocol::chat::{Message, Request, Resume};
use std::net::SocketAddr;
use std::time::Duration;
use tokio_util::sync::CancellationToken;
use transport::target::{AttemptError, AttemptMeta, Client, StreamItem};

/// Maximum duration of one run of an item.
const MAX_RUN_TIME: Duration = Duration::from_secs(600);

/// Parameters of a run.
pub struct Run {
    /// Client for the targets.
    pub client: Client,
    /// Address of the target.
    pub target: SocketAddr,
    /// Name of the service, sent as the model.
    pub service: String,
    /// Idempotency key: job, chunk and item.
    pub key: String,
    /// Random id of this attempt.
    pub attempt: u64,
    /// Injected fault: the request is sent with online priority.
    pub as_online: bool,
    /// Preempts the stream; its output so far is kept.
    pub preempt: CancellationToken,
}

/// Runs an item until it ends or is preempted.
pub async fn run(run: Run, pending: PendingItem) -> RunOutcome {
    let time = tokio::time::timeout(MAX_RUN_TIME, run_to_end(run, pending)).await;
    time.unwrap_or_else(|_| RunOutcome::Failed(String::from("the run takes too long")))
}

async fn run_to_end(run: Run, pending: PendingItem) -> RunOutcome {
    let mut partial = pending.partial.clone();
    let request = request(&run, &pending);
    let meta = AttemptMeta {
        attempt: run.attempt,
        key: run.key.clone(),
        priority: u8::from(!run.as_online),
        timeout: MAX_RUN_TIME,
    };
    let started = tokio::select! {
        started = run.client.chat(run.target, &request, &meta) => started,
        () = run.preempt.cancelled() => return preempted_or_failed(&pending, partial),
    };
    let mut stream = match started {
        Ok(stream) => stream,
        Err(error) => return outcome_of_error(&error),
    };
    loop {
        let stream_item = tokio::select! {
            stream_item = stream.next() => stream_item,
            () = run.preempt.cancelled() => return preempted_or_failed(&pending, partial),
        };
        match stream_item {
            Ok(StreamItem::Token(text)) => {
                partial.text.push_str(&text);
                partial.tokens += 1;
            }
            Ok(StreamItem::End(_)) => return RunOutcome::Completed(partial.text),
            Err(error) => return outcome_of_error(&error),
        }
    }
}

fn request(run: &Run, pending: &PendingItem) -> Request {
    let partial = &pending.partial;
    let resume =
        (partial.tokens > 0).then(|| Resume { text: partial.text.clone(), tokens: partial.tokens });
    Request {
        model: run.service.clone(),
        messages: vec![Message { role: "user".into(), content: pending.item.prompt.clone() }],
        stream: true,
        max_tokens: pending.item.max_tokens,
        resume,
    }
}

/// Only a repeatable item is preempted: resuming sends it a second time.
fn preempted_or_failed(pending: &PendingItem, partial: Partial) -> RunOutcome {
    if pending.item.repeatable {
        return RunOutcome::Preempted(partial);
    }
    RunOutcome::Failed(String::from("preempted while it ran"))
}

fn outcome_of_error(error: &AttemptError) -> RunOutcome {
    match error.failure {
        Failure::NotSent | Failure::Refused => RunOutcome::Rejected,
        Failure::Unknown => RunOutcome::Failed(error.message.clone()),
    }
}
