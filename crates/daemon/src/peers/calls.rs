//! Calls of other workers to peers.

use super::{BATCH_WINDOW, CHANNEL_CAPACITY};
use std::net::SocketAddr;
use std::time::Duration;
use transport::channel::{self, ReplySender, RequestReceiver, RequestSender};
use transport::peer::{Entries, PeerError};

/// Longest wait for configuration entries; a document grows with the fleet. The worker notices a
/// member that falls silent earlier.
const MAX_ENTRIES_TIME: Duration = Duration::from_secs(12);

/// A call to a peer on behalf of another worker.
pub enum Call {
    /// Sends a command to the owner of a shard.
    Command {
        /// Peer address of the owner.
        to: SocketAddr,
        /// Shard of the command.
        shard: u32,
        /// The command, encoded as JSON.
        body: Vec<u8>,
        /// Timeout of the call.
        timeout: Duration,
        /// Receives the owner's encoded reply.
        reply: ReplySender<Result<Vec<u8>, PeerError>>,
    },
    /// Fetches configuration entries from a member.
    Entries {
        /// Peer address of the member.
        to: SocketAddr,
        /// Generation after which entries are wanted.
        after: u64,
        /// Receives the entries.
        reply: ReplySender<Result<Entries, PeerError>>,
    },
}

/// The peers, for the other workers.
#[derive(Clone)]
pub struct Handle(RequestSender<Call>);

/// A handle, and the receiver to run the worker with.
pub fn new_handle() -> (Handle, RequestReceiver<Call>) {
    let (sender, receiver) = channel::channel("peers", CHANNEL_CAPACITY);
    (Handle(sender), receiver)
}

impl Handle {
    /// Sends a command to the owner of a shard.
    ///
    /// # Errors
    ///
    /// `NotSent` when the command surely had no effect, else `OutcomeUnknown`.
    pub async fn command(
        &self,
        to: SocketAddr,
        shard: u32,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Vec<u8>, PeerError> {
        let call = |reply| Call::Command { to, shard, body, timeout, reply };
        match self.0.call(timeout + BATCH_WINDOW, call).await {
            Ok(result) => result,
            Err(error) if error.kind == protocol::Kind::Undetermined => {
                Err(PeerError::OutcomeUnknown(error.message))
            }
            Err(error) => Err(PeerError::NotSent(error.message)),
        }
    }

    /// Fetches the configuration entries after a generation from a member.
    ///
    /// # Errors
    ///
    /// The error of the call.
    pub async fn entries(&self, to: SocketAddr, after: u64) -> Result<Entries, PeerError> {
        let call = |reply| Call::Entries { to, after, reply };
        match self.0.call(MAX_ENTRIES_TIME, call).await {
            Ok(result) => result,
            Err(error) => Err(PeerError::NotSent(error.message)),
        }
    }
}
