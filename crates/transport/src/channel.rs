//! Bounded rings that join the duties of a daemon.
//!
//! A full ring is an answer to give, not a place to wait: [`RequestSender::call`] fails
//! at once with `Overloaded`. The ring is tokio's bounded channel rather than a
//! single-producer one, because every front thread writes to the same duty.

use protocol::{Error, Kind};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Sending end of a ring.
#[derive(Debug)]
pub struct RequestSender<T> {
    name: &'static str,
    sender: mpsc::Sender<T>,
}

impl<T> Clone for RequestSender<T> {
    fn clone(&self) -> RequestSender<T> {
        RequestSender { name: self.name, sender: self.sender.clone() }
    }
}

/// Receiving end of a ring.
pub type RequestReceiver<T> = mpsc::Receiver<T>;

/// Where the answer to one call goes.
pub type ReplySender<T> = oneshot::Sender<T>;

/// A ring of `capacity` places; `name` appears in errors.
pub fn channel<T>(name: &'static str, capacity: usize) -> (RequestSender<T>, RequestReceiver<T>) {
    let (sender, receiver) = mpsc::channel(capacity);
    (RequestSender { name, sender }, receiver)
}

impl<T> RequestSender<T> {
    /// Puts a message on the ring.
    ///
    /// # Errors
    ///
    /// `Overloaded` when the ring is full, `Draining` when its duty has ended.
    pub fn send(&self, message: T) -> Result<(), Error> {
        self.sender.try_send(message).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => {
                Error::new(Kind::Overloaded, format!("ring `{}` is full", self.name))
            }
            mpsc::error::TrySendError::Closed(_) => self.ended(),
        })
    }

    /// Puts a message on the ring, or gives it back with the error.
    ///
    /// # Errors
    ///
    /// As [`RequestSender::send`].
    pub fn try_send(&self, message: T) -> Result<(), Box<(T, Error)>> {
        self.sender.try_send(message).map_err(|error| match error {
            mpsc::error::TrySendError::Full(message) => {
                let text = format!("ring `{}` is full", self.name);
                Box::new((message, Error::new(Kind::Overloaded, text)))
            }
            mpsc::error::TrySendError::Closed(message) => Box::new((message, self.ended())),
        })
    }

    /// Puts a message on the ring and waits for its answer, for `limit` at most.
    ///
    /// # Errors
    ///
    /// As [`RequestSender::send`]; `Undetermined` when no answer came in time.
    pub async fn call<R>(
        &self,
        limit: Duration,
        message: impl FnOnce(ReplySender<R>) -> T,
    ) -> Result<R, Error> {
        let (answer, wait) = oneshot::channel();
        self.send(message(answer))?;
        match tokio::time::timeout(limit, wait).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => Err(self.ended()),
            Err(_) => {
                let text = format!("ring `{}` gave no answer in {limit:?}", self.name);
                Err(Error::new(Kind::Undetermined, text))
            }
        }
    }

    fn ended(&self) -> Error {
        Error::new(Kind::Draining, format!("duty `{}` has ended", self.name))
    }
}
