//! Calls of plain services that stand beside the engines.

use super::Front;
use super::call::{Key, Terms};
use super::keyed::{self, Begun, Recorded};
use crate::fleet::{self, Requirements, TargetGuard};
use bytes::Bytes;
use coordination::retry::{self, Failure};
use hyper::StatusCode;
use protocol::{Error, Kind, header};
use state::record::{Body, StoredOutcome};
use std::time::{Duration, Instant};
use transport::http::{self, BodyStream, RequestHead, Response};
use transport::target::{AttemptError, AttemptMeta, PlainCall};

const MOST_TRIES: u32 = 3;

/// Routes a call to a plain service.
///
/// # Errors
///
/// The refusal or failure.
pub async fn call<B: BodyStream>(
    front: &Front,
    head: &RequestHead,
    mut body: B,
) -> Result<Response, Error> {
    let settings = &front.shared.settings;
    let body = http::read_body(&mut body, settings.max_body_bytes, settings.body_timeout).await?;
    let (service, repeatable, deadline) = {
        let view = front.shared.view();
        let bound = view.plain_service(&head.path);
        let bound = bound.ok_or_else(|| Error::new(Kind::UnknownPath, head.path.clone()))?;
        let method = head.method.as_str();
        let repeatable = bound.service.repeatable.iter().any(|m| m.eq_ignore_ascii_case(method));
        let deadline = Duration::from_millis(bound.service.deadline_ms);
        (bound.service.name.clone(), repeatable, deadline)
    };
    let scope = format!("{service} {} {}", head.method, head.path);
    let mut terms = Terms::read(head, &scope, &body, deadline, Instant::now())?;
    terms.repeatable &= repeatable;
    let Some(key) = terms.key.clone() else {
        return run(front, head, &service, &terms, body).await;
    };
    if let Begun::Kept(kept) = keyed::begin(&front.shared, &terms, &key).await? {
        return replay(kept);
    }
    // Spawned, so that the outcome is recorded even when the caller hangs up.
    let (front, head) = (front.clone(), head.clone());
    let task = tokio::spawn(async move { run_keyed(front, head, service, terms, key, body).await });
    task.await.unwrap_or_else(|error| Err(Error::new(Kind::Internal, error.to_string())))
}

async fn run_keyed(
    front: Front,
    head: RequestHead,
    service: String,
    terms: Terms,
    key: Key,
    body: Bytes,
) -> Result<Response, Error> {
    let (status, kind, body) = match exchange(&front, &head, &service, &terms, body).await {
        Ok(answer) => answer,
        Err((error, was_sent)) => {
            if terms.repeatable {
                return Err(error);
            }
            if was_sent {
                return Err(keyed::give_up(&front.shared, &key, &error).await);
            }
            keyed::release(&front.shared, &terms, &key);
            return Err(error);
        }
    };
    let kept = StoredOutcome::Plain {
        status: status.as_u16(),
        content_type: kind.clone(),
        body: Body::new(body.to_vec()),
    };
    let recorded = keyed::finish(&front.shared, &key, kept).await?;
    if let Recorded::Earlier(kept) = recorded {
        return replay(*kept);
    }
    let mut response = http::bytes(status.as_u16(), &kind, body);
    let value = if recorded == Recorded::Later { "later" } else { "now" };
    http::set_header(&mut response, header::RECORDED, value);
    Ok(response)
}

async fn run(
    front: &Front,
    head: &RequestHead,
    service: &str,
    terms: &Terms,
    body: Bytes,
) -> Result<Response, Error> {
    let answer = exchange(front, head, service, terms, body).await;
    let (status, kind, body) = answer.map_err(|(error, _)| error)?;
    Ok(http::bytes(status.as_u16(), &kind, body))
}

/// Calls targets until one answers; the error says whether anything was sent.
async fn exchange(
    front: &Front,
    head: &RequestHead,
    service: &str,
    terms: &Terms,
    body: Bytes,
) -> Result<(StatusCode, String, Bytes), (Error, bool)> {
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
        let Some(hold) = hold(front, service, &tried, now) else {
            return Err((Error::new(Kind::NoTarget, format!("no target of `{service}`")), sent));
        };
        let meta = AttemptMeta {
            attempt: rand::random(),
            key: terms.key.as_ref().map_or(String::new(), |key| key.scoped.clone()),
            priority: 0,
            timeout: terms.left(now),
        };
        let fault = match front.client.plain(hold.node.target.address, plain.clone(), &meta).await {
            // A server's failure after it took in the call: it may have run.
            Ok((status, ..)) if status.is_server_error() => {
                AttemptError::new(Failure::Unknown, format!("the target answered {status}"))
            }
            Ok(answer) => {
                hold.on_success();
                return Ok(answer);
            }
            // A plain service's refusal is no promise that it did nothing.
            Err(fault) if fault.failure == Failure::Refused && !terms.repeatable => {
                AttemptError { failure: Failure::Unknown, ..fault }
            }
            Err(fault) => fault,
        };
        hold.on_failure(Instant::now());
        tried.push(hold.node.target.name.clone());
        sent |= fault.failure == Failure::Unknown;
        let unguarded = front.shared.settings.is_guard_disabled("retry");
        let may = retry::may_retry(terms.repeatable || unguarded, fault.failure);
        if !may || attempt >= MOST_TRIES || terms.left(Instant::now()).is_zero() {
            let kind = if sent { Kind::TargetFailed } else { Kind::NoTarget };
            return Err((Error::new(kind, fault.message), sent));
        }
    }
    Err((Error::new(Kind::Internal, "no try was made"), sent))
}

fn hold(front: &Front, service: &str, tried: &[String], now: Instant) -> Option<TargetGuard> {
    let view = front.shared.view();
    let bound = view.services.get(service)?;
    let here = &front.shared.settings.data_centre;
    let wanted = Requirements { prefix: rand::random(), ..Requirements::default() };
    fleet::pick(bound, &wanted, tried, here, now)
}

fn replay(kept: StoredOutcome) -> Result<Response, Error> {
    match kept {
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
