//! Runs one item on one target.

use super::chunk::{End, Partial, Waiting};
use coordination::retry::Failure;
use protocol::chat::{Message, Request, Resume};
use std::net::SocketAddr;
use std::time::Duration;
use tokio_util::sync::CancellationToken;
use transport::target::{AttemptError, AttemptMeta, Client, StreamItem};

/// Longest time of one item on one target.
const LONGEST: Duration = Duration::from_secs(600);

/// What a run needs besides the item.
pub struct Run {
    /// Client.
    pub client: Client,
    /// Target.
    pub to: SocketAddr,
    /// Service.
    pub service: String,
    /// Key for the target's record: job and item.
    pub key: String,
    /// Id of this attempt.
    pub attempt: u64,
    /// Test only: sent as if it were online.
    pub as_online: bool,
    /// Stops the stream; what came so far is kept.
    pub park: CancellationToken,
}

/// Runs an item until its end, or until it is told to make way.
pub async fn run(run: Run, waiting: Waiting) -> End {
    let mut partial = waiting.partial.clone();
    let request = request(&run, &waiting);
    let meta = AttemptMeta {
        attempt: run.attempt,
        key: run.key.clone(),
        priority: u8::from(!run.as_online),
        timeout: LONGEST,
    };
    let started = tokio::select! {
        started = run.client.chat(run.to, &request, &meta) => started,
        () = run.park.cancelled() => return parked(&waiting, partial),
    };
    let mut stream = match started {
        Ok(stream) => stream,
        Err(fault) => return failed(&fault),
    };
    loop {
        let piece = tokio::select! {
            piece = stream.next() => piece,
            () = run.park.cancelled() => return parked(&waiting, partial),
        };
        match piece {
            Ok(StreamItem::Token(text)) => {
                partial.text.push_str(&text);
                partial.tokens += 1;
            }
            Ok(StreamItem::End(_)) => return End::Whole(partial.text),
            Err(fault) => return failed(&fault),
        }
    }
}

fn request(run: &Run, waiting: &Waiting) -> Request {
    let partial = &waiting.partial;
    let resume =
        (partial.tokens > 0).then(|| Resume { text: partial.text.clone(), tokens: partial.tokens });
    Request {
        model: run.service.clone(),
        messages: vec![Message { role: "user".into(), content: waiting.item.prompt.clone() }],
        stream: true,
        max_tokens: waiting.item.max_tokens,
        resume,
    }
}

/// Only an item that may be repeated makes way: resuming is a second send.
fn parked(waiting: &Waiting, partial: Partial) -> End {
    if waiting.item.repeatable {
        return End::Parked(partial);
    }
    End::Failed(String::from("stopped while it ran"))
}

fn failed(fault: &AttemptError) -> End {
    match fault.failure {
        Failure::NotSent | Failure::Refused => End::NotTaken,
        Failure::Unknown => End::Failed(fault.message.clone()),
    }
}
