//! What other duties ask of the peers.

use super::{CAPACITY, GATHER, PING_TIMEOUT};
use std::net::SocketAddr;
use std::time::Duration;
use transport::channel::{self, ReplySender, RequestReceiver, RequestSender};
use transport::peer::{Entries, PeerError};

/// A call of another duty.
pub enum Call {
    /// A command to the owner of a shard.
    Command {
        /// The owner.
        to: SocketAddr,
        /// The shard.
        shard: u32,
        /// The command, encoded.
        body: Vec<u8>,
        /// Longest wait.
        limit: Duration,
        /// Where the answer goes.
        answer: ReplySender<Result<Vec<u8>, PeerError>>,
    },
    /// Configuration entries of a member.
    Entries {
        /// The member.
        to: SocketAddr,
        /// The generation in force here.
        after: u64,
        /// Where the answer goes.
        answer: ReplySender<Result<Entries, PeerError>>,
    },
}

/// The peers as other duties see them.
#[derive(Clone)]
pub struct Handle(RequestSender<Call>);

/// A handle and the duty's own end.
pub fn duty() -> (Handle, RequestReceiver<Call>) {
    let (sender, receiver) = channel::channel("peers", CAPACITY);
    (Handle(sender), receiver)
}

impl Handle {
    /// Sends a command to the owner of a shard.
    ///
    /// # Errors
    ///
    /// Whether it left.
    pub async fn command(
        &self,
        to: SocketAddr,
        shard: u32,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Vec<u8>, PeerError> {
        let call = |answer| Call::Command { to, shard, body, limit, answer };
        match self.0.call(limit + GATHER, call).await {
            Ok(result) => result,
            Err(error) if error.kind == protocol::Kind::Undetermined => {
                Err(PeerError::OutcomeUnknown(error.message))
            }
            Err(error) => Err(PeerError::NotSent(error.message)),
        }
    }

    /// Asks a member for configuration entries.
    ///
    /// # Errors
    ///
    /// How the call failed.
    pub async fn entries(&self, to: SocketAddr, after: u64) -> Result<Entries, PeerError> {
        let call = |answer| Call::Entries { to, after, answer };
        match self.0.call(PING_TIMEOUT * 2, call).await {
            Ok(result) => result,
            Err(error) => Err(PeerError::NotSent(error.message)),
        }
    }
}
