//! Forwards HTTP calls to services that aren't inference engines.

use super::HttpHandler;
use super::keyed::{self, BeginOutcome, RecordStatus};
use super::request_options::{IdempotencyKey, RequestOptions};
use crate::fleet::{self, Requirements, TargetGuard};
use bytes::Bytes;
use coordination::retry::{self, Failure};
use protocol::{Error, Kind, header};
use state::record::{Body, StoredOutcome};
use std::time::{Duration, Instant};
use transport::http::{self, BodyStream, RequestHead, Response};
use transport::target::{AttemptError, AttemptMeta, PlainCall, PlainResponse};
use transport::upstream::Framing;

const MAX_ATTEMPTS: u32 = 3;

/// Forwards a call to a target of the service that its path belongs to.
///
/// # Errors
///
/// Why there is no response.
pub async fn call<B: BodyStream>(
    handler: &HttpHandler,
    head: &RequestHead,
    mut body: B,
) -> Result<Response, Error> {
    let settings = &handler.shared.settings;
    let body = http::read_body(&mut body, settings.max_body_bytes, settings.body_timeout).await?;
    let (service, repeatable, deadline) = {
        let view = handler.shared.view();
        let targets = view.plain_service(&head.path);
        let targets = targets.ok_or_else(|| Error::new(Kind::UnknownPath, head.path.clone()))?;
        let method = head.method.as_str();
        let repeatable = targets.service.repeatable.iter().any(|m| m.eq_ignore_ascii_case(method));
        let deadline = Duration::from_millis(targets.service.deadline_ms);
        (targets.service.name.clone(), repeatable, deadline)
    };
    let scope = format!("{service} {} {}", head.method, head.path);
    let mut options = RequestOptions::read(head, &scope, &body, deadline, Instant::now())?;
    options.repeatable &= repeatable;
    let Some(key) = options.key.clone() else {
        return run(handler, head, &service, &options, body).await;
    };
    if let BeginOutcome::Replay(stored) = keyed::begin(&handler.shared, &options, &key).await? {
        return replay(stored);
    }
    // Spawned, so that the outcome is recorded even if the caller disconnects.
    let (handler, head) = (handler.clone(), head.clone());
    let task =
        tokio::spawn(async move { run_keyed(handler, head, service, options, key, body).await });
    task.await.unwrap_or_else(|error| Err(Error::new(Kind::Internal, error.to_string())))
}

async fn run_keyed(
    handler: HttpHandler,
    head: RequestHead,
    service: String,
    options: RequestOptions,
    key: IdempotencyKey,
    body: Bytes,
) -> Result<Response, Error> {
    let response = match call_targets(&handler, &head, &service, &options, body).await {
        Ok(response) => response,
        Err((error, was_sent)) => {
            if options.repeatable {
                return Err(error);
            }
            if was_sent {
                return Err(keyed::record_undetermined(&handler.shared, &key, &error).await);
            }
            keyed::release(&handler.shared, &options, &key);
            return Err(error);
        }
    };
    let stored = StoredOutcome::Plain {
        status: response.status.as_u16(),
        content_type: response.content_type.clone(),
        body: Body::new(response.body.to_vec()),
    };
    let recorded = keyed::finish(&handler.shared, &key, stored).await?;
    if let RecordStatus::Superseded(stored) = recorded {
        return replay(*stored);
    }
    let mut response = forward(response);
    let value = if recorded == RecordStatus::Pending { "later" } else { "now" };
    http::set_header(&mut response, header::RECORDED, value);
    Ok(response)
}

async fn run(
    handler: &HttpHandler,
    head: &RequestHead,
    service: &str,
    options: &RequestOptions,
    body: Bytes,
) -> Result<Response, Error> {
    let response = call_targets(handler, head, service, options, body).await;
    response.map(forward).map_err(|(error, _)| error)
}

fn forward(response: PlainResponse) -> Response {
    http::bytes(response.status.as_u16(), &response.content_type, response.body)
}

/// Calls targets until one responds. The flag beside the error says whether a
/// target may have received the call.
async fn call_targets(
    handler: &HttpHandler,
    head: &RequestHead,
    service: &str,
    options: &RequestOptions,
    body: Bytes,
) -> Result<PlainResponse, (Error, bool)> {
    let mut tried = Vec::new();
    let mut sent = false;
    let path = if head.query.is_empty() {
        head.path.clone()
    } else {
        format!("{}?{}", head.path, head.query)
    };
    let plain =
        PlainCall { method: head.method.clone(), path, headers: head.headers.clone(), body };
    for attempt in 1.. {
        let now = Instant::now();
        let Some(guard) = acquire_target(handler, service, &tried, now) else {
            return Err((Error::new(Kind::NoTarget, format!("no target of `{service}`")), sent));
        };
        let meta = AttemptMeta {
            attempt: rand::random(),
            key: options.key.as_ref().map_or(String::new(), |key| key.scoped.clone()),
            priority: 0,
            timeout: options.remaining(now),
        };
        let result = handler.client.plain(guard.target.config.address, plain.clone(), &meta).await;
        let error = match result {
            // The server accepted the call before it failed: it may have run.
            Ok(PlainResponse { status, .. }) if status.is_server_error() => {
                AttemptError::new(Failure::Unknown, format!("target returned status {status}"))
            }
            Ok(response) if !is_complete(handler, &guard, &response).await => {
                AttemptError::new(Failure::Unknown, "closed by a target that is gone")
            }
            Ok(response) => {
                guard.on_success();
                return Ok(response);
            }
            // A plain service may have run a call that it rejected.
            Err(error) if error.failure == Failure::Refused && !options.repeatable => {
                AttemptError { failure: Failure::Unknown, ..error }
            }
            Err(error) => error,
        };
        guard.on_failure(Instant::now());
        tried.push(guard.target.config.name.clone());
        sent |= error.failure == Failure::Unknown;
        let guard_disabled = handler.shared.settings.is_guard_disabled("retry");
        let may_retry = retry::may_retry(options.repeatable || guard_disabled, error.failure);
        if !may_retry || attempt >= MAX_ATTEMPTS || options.remaining(Instant::now()).is_zero() {
            let kind = if sent { Kind::TargetFailed } else { Kind::NoTarget };
            return Err((Error::new(kind, error.message), sent));
        }
    }
    Err((Error::new(Kind::Internal, "no attempt was made"), sent))
}

/// Whether a response is complete. One that ends with its connection may be a part of what a
/// target that has crashed would have sent.
async fn is_complete(handler: &HttpHandler, guard: &TargetGuard, response: &PlainResponse) -> bool {
    if response.framing != Framing::Connection {
        return true;
    }
    handler.client.probe(guard.target.config.address).await.confirms_end()
}

fn acquire_target(
    handler: &HttpHandler,
    service: &str,
    tried: &[String],
    now: Instant,
) -> Option<TargetGuard> {
    let view = handler.shared.view();
    let targets = view.services.get(service)?;
    let data_centre = &handler.shared.settings.data_centre;
    let requirements = Requirements { prefix: rand::random(), ..Requirements::default() };
    fleet::pick(targets, &requirements, tried, data_centre, now)
}

fn replay(stored: StoredOutcome) -> Result<Response, Error> {
    match stored {
        StoredOutcome::Plain { status, content_type, body } => {
            let body = Bytes::from(body.into_bytes());
            let mut response = http::bytes(status, &content_type, body);
            http::set_header(&mut response, header::RECORDED, "now");
            http::set_header(&mut response, header::REPLAYED, "true");
            Ok(response)
        }
        StoredOutcome::Failed(error) => Err(error),
        StoredOutcome::Chat(_) => {
            Err(Error::new(Kind::KeyConflict, "the key belongs to a chat request"))
        }
    }
}
