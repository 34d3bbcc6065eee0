//! One attempt at a completion: a request that was sent to a target.

use crate::fleet::TargetGuard;
use coordination::retry::Failure;
use protocol::chat::Request;
use std::time::{Duration, Instant};
use tokio_util::task::AbortOnDropHandle;
use transport::target::{AttemptError, AttemptMeta, Client, Stream, StreamItem};

/// How long a target must have sent nothing, besides leaving its load reports unanswered, to count
/// as silent. One that goes on sends tokens at shorter intervals.
const MIN_SILENCE: Duration = Duration::from_millis(500);

enum Response {
    /// Its head hasn't arrived.
    Awaited(AbortOnDropHandle<Result<Stream, AttemptError>>),
    Begun(Stream),
}

/// A request that was sent to a target. Dropping it cancels the request.
pub struct Attempt {
    /// The target.
    pub guard: TargetGuard,
    response: Response,
    /// When the request was sent, or the latest item came.
    active_at: Instant,
}

impl Attempt {
    /// Sends the request to the target of `guard`.
    pub fn start(
        client: &Client,
        guard: TargetGuard,
        request: Request,
        meta: AttemptMeta,
        now: Instant,
    ) -> Attempt {
        let (client, address) = (client.clone(), guard.target.config.address);
        let sending = tokio::spawn(async move { client.chat(address, &request, &meta).await });
        let response = Response::Awaited(AbortOnDropHandle::new(sending));
        Attempt { guard, response, active_at: now }
    }

    /// Whether the head of the response has arrived.
    pub fn has_begun(&self) -> bool {
        matches!(self.response, Response::Begun(_))
    }

    /// Returns the next item. May be cancelled and called again.
    ///
    /// # Errors
    ///
    /// The request failed, or its response was interrupted.
    pub async fn next(&mut self) -> Result<StreamItem, AttemptError> {
        loop {
            match &mut self.response {
                Response::Awaited(sending) => {
                    let stream = sending.await.unwrap_or_else(|error| {
                        Err(AttemptError::new(Failure::Unknown, error.to_string()))
                    });
                    self.response = Response::Begun(stream?);
                }
                Response::Begun(stream) => {
                    let item = stream.next().await?;
                    self.active_at = Instant::now();
                    return Ok(item);
                }
            }
        }
    }

    /// Whether the error says only that the response has brought no data for a while.
    pub fn is_idle(&self, error: &AttemptError) -> bool {
        error.is_timeout && self.has_begun()
    }

    /// Like [`Attempt::next`], but waits as long as the response brings no data.
    ///
    /// # Errors
    ///
    /// The request failed, or its response was interrupted.
    pub async fn next_despite_idle(&mut self) -> Result<StreamItem, AttemptError> {
        loop {
            match self.next().await {
                Err(error) if self.is_idle(&error) => {}
                result => return result,
            }
        }
    }

    /// Waits until the target is silent: it leaves its load reports unanswered and sends nothing.
    pub fn silence(&self) -> impl Future<Output = ()> + use<> {
        let (target, earliest) = (self.guard.target.clone(), self.active_at + MIN_SILENCE);
        async move {
            target.wait_unresponsive().await;
            tokio::time::sleep_until(earliest.into()).await;
        }
    }
}
