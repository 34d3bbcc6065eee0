//! Requests of one instance to another.

use super::Node;
use crate::clock;
use crate::gateway::message::{PeerReply, PeerRequest, decode, encode};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use transport::peer::PeerError;

/// Timeout for the acknowledgement of a notification.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a member that failed to reply is skipped.
const UNRESPONSIVE_PERIOD: Duration = Duration::from_millis(400);
/// Timeout of each attempt of [`Node::deliver`].
const DELIVERY_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay between attempts of [`Node::deliver`].
const DELIVERY_RETRY_DELAY: Duration = Duration::from_millis(250);
/// How long [`Node::deliver`] retries; longer than a typical network partition.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(15);

impl Node {
    /// Whether the peer at `address` recently failed to reply.
    pub fn is_unresponsive(&self, address: SocketAddr, now: Instant) -> bool {
        self.unresponsive.borrow().get(&address).is_some_and(|until| now < *until)
    }

    /// Sends a request and waits for its reply; a peer that fails to reply is marked
    /// unresponsive.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the request was sent.
    pub async fn request(
        &self,
        to: SocketAddr,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        let result = self.try_request(to, request, timeout).await;
        if result.is_err() {
            self.unresponsive.borrow_mut().insert(to, clock::now() + UNRESPONSIVE_PERIOD);
        }
        result
    }

    /// Like [`Node::request`], for timeouts too short to mark a peer as unresponsive.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the request was sent.
    pub async fn try_request(
        &self,
        to: SocketAddr,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        decode_reply(&self.peers.ask(to, &encode(request), timeout).await?)
    }

    /// Like [`Node::try_request`], for a reply whose size grows with the fleet: it fails if nothing
    /// arrives for `silence`.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the request was sent.
    pub async fn try_large_request(
        &self,
        to: SocketAddr,
        request: &PeerRequest,
        silence: Duration,
    ) -> Result<PeerReply, PeerError> {
        decode_reply(&self.peers.ask_large(to, &encode(request), silence).await?)
    }

    /// Sends a request repeatedly until it is acknowledged, for longer than a typical network
    /// partition; `false` if it wasn't acknowledged. The receiver may receive it more than once.
    /// A stop waits for it.
    ///
    /// `to` is called for each attempt, since the receiver may be replaced meanwhile.
    pub async fn deliver(
        self: &Rc<Node>,
        to: impl Fn() -> SocketAddr,
        request: &PeerRequest,
    ) -> bool {
        let _in_flight = self.in_flight.start();
        let until = clock::now() + DELIVERY_TIMEOUT;
        while clock::now() < until {
            let reply = self.request(to(), request, DELIVERY_ATTEMPT_TIMEOUT).await;
            if matches!(reply, Ok(PeerReply::Acknowledged)) {
                return true;
            }
            tokio::time::sleep(DELIVERY_RETRY_DELAY).await;
        }
        false
    }

    /// The request to compare states with another instance.
    pub fn comparison(&self) -> PeerRequest {
        PeerRequest::Sync {
            from: self.id(),
            digest: self.state_digest(),
            connectivity: self.connectivity(),
            fetches_parts: true,
        }
    }

    /// Sends a request to one member without waiting for the acknowledgement.
    pub fn notify(self: &Rc<Node>, to: SocketAddr, request: PeerRequest) {
        let node = self.clone();
        spawn_local(async move {
            if let Err(error) = node.request(to, &request, NOTIFY_TIMEOUT).await {
                // Lost notifications are made up for by anti-entropy and periodic reports.
                slog::debug!(node.log, "notification failed"; "to" => %to, "fault" => ?error);
            }
        });
    }
}

fn decode_reply(bytes: &[u8]) -> Result<PeerReply, PeerError> {
    decode(bytes)
        .ok_or_else(|| PeerError::OutcomeUnknown(String::from("reply has an unknown format")))
}
