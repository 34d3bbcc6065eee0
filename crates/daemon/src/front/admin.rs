//! Operators' calls: configuration, targets, instances, status.

use super::Front;
use crate::clock;
use crate::control;
use crate::fleet::lock;
use coordination::leaving::{Notice, Source};
use protocol::config::{Change, ConfigEntry, Document};
use protocol::{Error, Generation, Kind};
use serde::{Deserialize, Serialize};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use transport::http::{self, BodyStream, Response};

const BODY_LIMIT: usize = 1 << 20;
const BODY_WAIT: Duration = Duration::from_secs(10);
const HISTORY: usize = 100;

/// A change offered by an operator, with the revision it was made on.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Offer {
    revision: Generation,
    #[serde(default)]
    author: String,
    change: Change,
}

/// Accepts a change.
///
/// # Errors
///
/// Why it isn't accepted.
pub async fn apply<B: BodyStream>(front: &Front, mut body: B) -> Result<Response, Error> {
    check_admin(front)?;
    let body = http::read_body(&mut body, BODY_LIMIT, BODY_WAIT).await?;
    let offer: Offer = serde_json::from_slice(&body)
        .map_err(|error| Error::new(Kind::Malformed, error.to_string()))?;
    let Offer { revision, author, change } = offer;
    let generation = control::apply(&front.shared, revision, author, change).await?;
    Ok(http::json(200, &serde_json::json!({ "generation": generation })))
}

fn check_admin(front: &Front) -> Result<(), Error> {
    if front.shared.settings.admin {
        return Ok(());
    }
    Err(Error::new(Kind::UnknownPath, "operators' calls are not served here"))
}

/// The configuration in force: the one that requests are routed by.
pub fn config(front: &Front) -> Response {
    http::json(200, front.shared.view().document.as_ref())
}

/// The latest accepted changes, newest first.
pub fn history(front: &Front) -> Response {
    let chain = lock(&front.shared.config_log);
    let entries: Vec<&ConfigEntry> = chain.history().rev().take(HISTORY).collect();
    http::json(200, &entries)
}

/// Services as stock clients list models.
pub fn models(front: &Front) -> Response {
    let view = front.shared.view();
    let is_chat = |s: &&protocol::config::Service| s.protocol == protocol::config::Protocol::Chat;
    let services = view.document.services.values().filter(is_chat);
    let data: Vec<serde_json::Value> = services
        .map(|s| serde_json::json!({ "id": s.name, "object": "model", "owned_by": "gatespool" }))
        .collect();
    http::json(200, &serde_json::json!({ "object": "list", "data": data }))
}

/// A target as this instance sees it.
#[derive(Serialize)]
struct Seen<'a> {
    name: &'a str,
    service: &'a str,
    data_centre: &'a str,
    address: String,
    slots: u32,
    online: u32,
    batch: u32,
    usage: String,
    leaving: bool,
    version: Option<String>,
}

/// All targets as this instance sees them.
pub fn targets(front: &Front) -> Response {
    let view = front.shared.view();
    let now = Instant::now();
    let seen: Vec<Seen<'_>> = view
        .nodes
        .values()
        .map(|node| {
            let version = node.version();
            let state = lock(&node.state);
            Seen {
                name: &node.target.name,
                service: &node.target.service,
                data_centre: &node.target.data_centre,
                address: node.target.address.to_string(),
                slots: node.target.slots,
                online: state.load.online(now),
                batch: state.load.batch(now),
                usage: format!("{:?}", state.health.availability(now)).to_lowercase(),
                leaving: view.leaving.contains(&node.target.name),
                version,
            }
        })
        .collect();
    http::json(200, &seen)
}

/// All instances as this one sees them, with the configuration in force there.
pub fn instances(front: &Front) -> Response {
    let table = lock(&front.shared.members);
    let all = std::iter::once(table.me()).chain(table.others());
    let list: Vec<serde_json::Value> = all
        .map(|member| {
            serde_json::json!({
                "id": format!("{:016x}", member.id),
                "data_centre": member.data_centre,
                "address": member.http.to_string(),
                "peer": member.peer.to_string(),
                "state": control::state_name(member.state),
                "generation": member.generation,
            })
        })
        .collect();
    http::json(200, &list)
}

/// Counts of this instance.
pub fn status(front: &Front) -> Response {
    let shared = &front.shared;
    let counts = shared.store.counts();
    let view = shared.view();
    http::json(
        200,
        &serde_json::json!({
            "id": format!("{:016x}", shared.id),
            "data_centre": shared.settings.data_centre,
            "generation": view.document.generation,
            "ready": view.ready,
            "stopping": lock(&shared.stopping).is_some(),
            "running": shared.in_flight.load(Ordering::Relaxed),
            "unrecorded": shared.retry_queue.len(),
            "platform_calls": counts.calls.load(Ordering::Relaxed),
            "platform_failed": counts.failed.load(Ordering::Relaxed),
            "peer_bytes_sent": shared.traffic.sent.load(Ordering::Relaxed),
            "peer_bytes_received": shared.traffic.received.load(Ordering::Relaxed),
        }),
    )
}

/// Burn of the service levels, as this instance counted it.
pub fn burn(front: &Front) -> Response {
    let view = front.shared.view();
    let document: &Document = &view.document;
    http::json(200, &front.shared.telemetry.burn(document, Instant::now()))
}

/// An operator's order that a target gets no new work, or gets it again. It is
/// passed between instances and so works while the platform is away; it lasts
/// as long as the instances do, and the configuration's own field for good.
///
/// # Errors
///
/// `NotFound` when there is no such target.
pub fn leave(front: &Front, name: &str, leaving: bool) -> Result<Response, Error> {
    check_admin(front)?;
    if !front.shared.view().nodes.contains_key(name) {
        return Err(Error::new(Kind::NotFound, format!("no target `{name}`")));
    }
    let word = Notice { leaving, stamp: clock::millis() };
    front.shared.report_leaving(name, Source::Operator, word);
    Ok(http::json(200, &serde_json::json!({ "target": name, "leaving": leaving })))
}
