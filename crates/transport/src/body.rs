//! Bodies of responses that are sent in chunks.
//!
//! A body is complete only if its sender says so. One whose sender is dropped, as by a task that
//! panics or is cancelled, is aborted instead, so that no part of it passes for the whole.

use bytes::Bytes;
use futures_util::Stream;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc;

/// The response was aborted, or the request's body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Aborted;

impl std::fmt::Display for Aborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "body aborted")
    }
}

impl std::error::Error for Aborted {}

/// The receiver of a body is gone, since its caller has disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disconnected;

#[derive(Debug)]
enum Part {
    Chunk(Bytes),
    End,
}

/// Sends the chunks of a body. Dropping it before [`Sender::finish`] aborts the body.
#[derive(Debug)]
pub struct Sender(mpsc::Sender<Part>);

impl Sender {
    /// Sends a chunk.
    ///
    /// # Errors
    ///
    /// The caller has disconnected.
    pub async fn send(&self, chunk: Bytes) -> Result<(), Disconnected> {
        self.0.send(Part::Chunk(chunk)).await.map_err(|_| Disconnected)
    }

    /// Completes the body.
    pub async fn finish(self) {
        // Without a receiver nobody needs to know.
        let _disconnected = self.0.send(Part::End).await;
    }

    /// Returns once the caller has disconnected.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

/// The chunks of a body; an error if it is aborted.
#[derive(Debug)]
pub struct Receiver {
    parts: mpsc::Receiver<Part>,
    is_ended: bool,
}

/// Creates a body. Up to `capacity` chunks are buffered.
pub fn channel(capacity: usize) -> (Sender, Receiver) {
    let (sender, parts) = mpsc::channel(capacity);
    (Sender(sender), Receiver { parts, is_ended: false })
}

impl Stream for Receiver {
    type Item = Result<Bytes, Aborted>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.is_ended {
            return Poll::Ready(None);
        }
        let part = ready!(self.parts.poll_recv(cx));
        self.is_ended = !matches!(part, Some(Part::Chunk(_)));
        Poll::Ready(match part {
            Some(Part::Chunk(chunk)) => Some(Ok(chunk)),
            Some(Part::End) => None,
            None => Some(Err(Aborted)),
        })
    }
}
