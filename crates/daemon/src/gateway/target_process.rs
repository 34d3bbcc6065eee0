//! Whether the process of a target to which a request was sent still runs.
//!
//! Each start of a target has another id, which its health check states. A request names the id
//! of the target that may run it, so a process that states this id is the one that responded.

use super::node::Node;
use coordination::presence::{IDENTITY_ATTEMPTS, IDENTITY_PAUSE, IDENTITY_TIMEOUT, Presence};
use coordination::slots::Grant;
use http_body_util::Full;
use hyper::Request;
use platform::header;
use protocol::{ServiceId, TargetId};
use std::net::SocketAddr;
use std::rc::Rc;
use transport::upstream::{Exchange, Framing, SendError};

/// A process to which a request was sent.
pub struct TargetProcess {
    node: Rc<Node>,
    service: ServiceId,
    target: TargetId,
    address: SocketAddr,
}

impl TargetProcess {
    /// The process of the target of a lease on a slot of `service`; `None` if its response states
    /// its end, so that the process doesn't matter.
    pub fn of(
        exchange: &Exchange,
        node: &Rc<Node>,
        service: &str,
        grant: &Grant,
    ) -> Option<Box<TargetProcess>> {
        let is_framed = exchange.framing() != Framing::Connection;
        (!is_framed).then(|| {
            Box::new(TargetProcess {
                node: node.clone(),
                service: service.to_owned(),
                target: grant.target.clone(),
                address: grant.address,
            })
        })
    }

    /// Asks for the id of the process at the address. The caller still holds the slot of the
    /// request, so the target has one for the health check.
    pub async fn presence(&self) -> Presence {
        let presence = tokio::time::timeout(IDENTITY_TIMEOUT, self.ask_repeatedly()).await;
        let presence = presence.unwrap_or(Presence::Unknown);
        slog::info!(self.node.log, "target asked for its id"; "target" => &self.target,
            "address" => %self.address, "presence" => ?presence);
        presence
    }

    /// Asks until there is an answer: a connection may break off, or the target may be full.
    async fn ask_repeatedly(&self) -> Presence {
        for attempt in 0..IDENTITY_ATTEMPTS {
            if attempt > 0 {
                tokio::time::sleep(IDENTITY_PAUSE).await;
            }
            let presence = match self.ask().await {
                Ok(exchange) => self.presence_by(&exchange),
                Err(_) => self.node.targets.probe(self.address).await,
            };
            if matches!(presence, Presence::Identified | Presence::Replaced | Presence::Refused) {
                return presence;
            }
        }
        Presence::Unknown
    }

    async fn ask(&self) -> Result<Exchange, SendError> {
        let not_sent = |text: &str| SendError::NotSent(text.to_owned());
        let config = self.node.config().ok_or_else(|| not_sent("no configuration"))?;
        let service = config.table.service(&self.service);
        let service = service.ok_or_else(|| not_sent("the service is gone"))?;
        let request = Request::get(&service.health_path)
            .header("host", self.address.to_string())
            .body(Full::default())
            .map_err(|error| not_sent(&error.to_string()))?;
        self.node.targets.send(self.address, request).await
    }

    /// What the response to a health check tells. Its connection isn't used again.
    fn presence_by(&self, exchange: &Exchange) -> Presence {
        match header::text(&exchange.head().headers, header::TARGET_ID) {
            "" => Presence::Unknown,
            id if id == self.target => Presence::Identified,
            _ => Presence::Replaced,
        }
    }
}
