//! Bounded request channels between the worker threads of an instance.
//!
//! Sending never waits: a full channel is an `Overloaded` error, which the caller
//! of the instance sees.

use protocol::{Error, Kind};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Sending half of a request channel.
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

/// Receiving half of a request channel.
pub type RequestReceiver<T> = mpsc::Receiver<T>;

/// Sends the reply to one request.
pub type ReplySender<T> = oneshot::Sender<T>;

/// Creates a channel for at most `capacity` requests; `name` appears in errors.
pub fn channel<T>(name: &'static str, capacity: usize) -> (RequestSender<T>, RequestReceiver<T>) {
    let (sender, receiver) = mpsc::channel(capacity);
    (RequestSender { name, sender }, receiver)
}

impl<T> RequestSender<T> {
    /// Sends a request that needs no reply, or whose reply is awaited elsewhere.
    ///
    /// # Errors
    ///
    /// `Overloaded` if the channel is full, `Draining` if the receiver is gone.
    pub fn send(&self, message: T) -> Result<(), Error> {
        self.sender.try_send(message).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => {
                Error::new(Kind::Overloaded, format!("channel `{}` is full", self.name))
            }
            mpsc::error::TrySendError::Closed(_) => self.closed(),
        })
    }

    /// Sends a request, or returns it with the error.
    ///
    /// # Errors
    ///
    /// As [`RequestSender::send`].
    pub fn try_send(&self, message: T) -> Result<(), Box<(T, Error)>> {
        self.sender.try_send(message).map_err(|error| match error {
            mpsc::error::TrySendError::Full(message) => {
                let text = format!("channel `{}` is full", self.name);
                Box::new((message, Error::new(Kind::Overloaded, text)))
            }
            mpsc::error::TrySendError::Closed(message) => Box::new((message, self.closed())),
        })
    }

    /// Sends a request and waits up to `timeout` for its reply.
    ///
    /// # Errors
    ///
    /// As [`RequestSender::send`]; `Undetermined` if there is no reply in time.
    pub async fn call<R>(
        &self,
        timeout: Duration,
        message: impl FnOnce(ReplySender<R>) -> T,
    ) -> Result<R, Error> {
        let (reply_sender, reply) = oneshot::channel();
        self.send(message(reply_sender))?;
        match tokio::time::timeout(timeout, reply).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => Err(self.closed()),
            Err(_) => {
                let text = format!("no reply on channel `{}` within {timeout:?}", self.name);
                Err(Error::new(Kind::Undetermined, text))
            }
        }
    }

    fn closed(&self) -> Error {
        Error::new(Kind::Draining, format!("channel `{}` is closed", self.name))
    }
}
