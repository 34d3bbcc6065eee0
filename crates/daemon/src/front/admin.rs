//! Operators' endpoints: configuration, targets, instances and status.

use super::HttpHandler;
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

const MAX_BODY_BYTES: usize = 1 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_HISTORY_ENTRIES: usize = 100;

/// A configuration change, with the revision it is based on.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeRequest {
    revision: Generation,
    #[serde(default)]
    author: String,
    change: Change,
}

/// Applies a configuration change.
///
/// # Errors
///
/// Why the change isn't accepted.
pub async fn apply<B: BodyStream>(handler: &HttpHandler, mut body: B) -> Result<Response, Error> {
    check_admin(handler)?;
    let body = http::read_body(&mut body, MAX_BODY_BYTES, BODY_TIMEOUT).await?;
    let request: ChangeRequest = serde_json::from_slice(&body)
        .map_err(|error| Error::new(Kind::Malformed, error.to_string()))?;
    let ChangeRequest { revision, author, change } = request;
    let generation = control::apply(&handler.shared, revision, author, change).await?;
    Ok(http::json(200, &serde_json::json!({ "generation": generation })))
}

fn check_admin(handler: &HttpHandler) -> Result<(), Error> {
    if handler.shared.settings.admin {
        return Ok(());
    }
    Err(Error::new(Kind::UnknownPath, "operators' endpoints are disabled on this instance"))
}

/// Returns the configuration in force on this instance.
pub fn config(handler: &HttpHandler) -> Response {
    http::json(200, handler.shared.view().document.as_ref())
}

/// Returns the latest accepted changes, newest first.
pub fn history(handler: &HttpHandler) -> Response {
    let config_log = lock(&handler.shared.config_log);
    let entries: Vec<&ConfigEntry> = config_log.history().rev().take(MAX_HISTORY_ENTRIES).collect();
    http::json(200, &entries)
}

/// Lists chat services in the format of the OpenAI models endpoint.
pub fn models(handler: &HttpHandler) -> Response {
    let view = handler.shared.view();
    let is_chat = |s: &&protocol::config::Service| s.protocol == protocol::config::Protocol::Chat;
    let services = view.document.services.values().filter(is_chat);
    let data: Vec<serde_json::Value> = services
        .map(|s| serde_json::json!({ "id": s.name, "object": "model", "owned_by": "gatespool" }))
        .collect();
    http::json(200, &serde_json::json!({ "object": "list", "data": data }))
}

/// Status of a target as known by this instance.
#[derive(Serialize)]
struct TargetView<'a> {
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

/// Lists all targets as known by this instance.
pub fn targets(handler: &HttpHandler) -> Response {
    let view = handler.shared.view();
    let now = Instant::now();
    let targets: Vec<TargetView<'_>> = view
        .targets
        .values()
        .map(|target| {
            let version = target.version();
            let state = lock(&target.state);
            TargetView {
                name: &target.config.name,
                service: &target.config.service,
                data_centre: &target.config.data_centre,
                address: target.config.address.to_string(),
                slots: target.config.slots,
                online: state.load.online(now),
                batch: state.load.batch(now),
                usage: format!("{:?}", state.health.availability(now)).to_lowercase(),
                leaving: view.leaving.contains(&target.config.name),
                version,
            }
        })
        .collect();
    http::json(200, &targets)
}

/// Lists all instances as known by this one, with their configuration generations.
pub fn instances(handler: &HttpHandler) -> Response {
    let table = lock(&handler.shared.members);
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

/// Returns the state and counters of this instance.
pub fn status(handler: &HttpHandler) -> Response {
    let shared = &handler.shared;
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

/// Returns the burn rates of the service levels, from this instance's counts.
pub fn burn(handler: &HttpHandler) -> Response {
    let view = handler.shared.view();
    let document: &Document = &view.document;
    http::json(200, &handler.shared.telemetry.burn(document, Instant::now()))
}

/// Stops new work to a target, or allows it again. The notice is sent between
/// instances, so it works while the platform is unavailable. It is lost when all
/// instances restart; use the target's field in the configuration to persist it.
///
/// # Errors
///
/// `NotFound` when there is no such target.
pub fn leave(handler: &HttpHandler, name: &str, leaving: bool) -> Result<Response, Error> {
    check_admin(handler)?;
    if !handler.shared.view().targets.contains_key(name) {
        return Err(Error::new(Kind::NotFound, format!("no target `{name}`")));
    }
    let notice = Notice { leaving, stamp: clock::millis() };
    handler.shared.report_leaving(name, Source::Operator, notice);
    Ok(http::json(200, &serde_json::json!({ "target": name, "leaving": leaving })))
}
