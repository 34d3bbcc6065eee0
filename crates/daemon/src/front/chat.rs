//! Chat completions.

use super::completion_stream::CompletionStream;
use super::keyed::{self, BeginOutcome, RecordStatus};
use super::request_options::RequestOptions;
use super::{HttpHandler, InFlightGuard};
use crate::fleet::{self, Requirements};
use bytes::Bytes;
use coordination::route;
use protocol::chat::{
    Choice, Chunk, ChunkChoice, Completion, DONE, Delta, Message, Outcome, Request, Usage,
};
use protocol::config::Protocol;
use protocol::error::Body;
use protocol::{Error, Kind, header};
use serde::Serialize;
use state::record::StoredOutcome;
use std::time::{Duration, Instant};
use transport::body;
use transport::http::{self, BodyStream, RequestHead, Response};
use transport::target::StreamItem;

/// Events that are buffered for a slow caller.
const EVENT_BUFFER: usize = 32;

/// Handles a chat completion request.
///
/// # Errors
///
/// Why there is no response. After the response has started, errors are sent as
/// events.
pub async fn call<B: BodyStream>(
    handler: &HttpHandler,
    head: &RequestHead,
    mut body: B,
    in_flight: InFlightGuard,
) -> Result<Response, Error> {
    let arrived = Instant::now();
    let settings = &handler.shared.settings;
    let body = http::read_body(&mut body, settings.max_body_bytes, settings.body_timeout).await?;
    let request: Request = serde_json::from_slice(&body)
        .map_err(|error| Error::new(Kind::Malformed, format!("body: {error}")))?;
    let (service, requirements) = parse_model(&request);
    let deadline = check_service(handler, &service, &requirements)?;
    let options = RequestOptions::read(head, &service, &body, deadline, arrived)?;
    let is_keyed = options.key.is_some();
    let response =
        serve(handler.clone(), options, service, requirements, request, arrived, in_flight);
    // A keyed request continues when its caller disconnects, so that its claim is
    // settled and its outcome recorded for a resend. Others are dropped.
    if !is_keyed {
        return response.await;
    }
    let task = tokio::spawn(response);
    task.await.unwrap_or_else(|error| Err(Error::new(Kind::Internal, error.to_string())))
}

async fn serve(
    handler: HttpHandler,
    options: RequestOptions,
    service: String,
    requirements: Requirements,
    request: Request,
    arrived: Instant,
    in_flight: InFlightGuard,
) -> Result<Response, Error> {
    let stream = request.stream;
    if let Some(key) = &options.key
        && let BeginOutcome::Replay(stored) = keyed::begin(&handler.shared, &options, key).await?
    {
        return replay(&options, &service, stream, stored);
    }
    let completion = CompletionStream::new(
        handler.shared.clone(),
        handler.client.clone(),
        options.clone(),
        requirements,
        service.clone(),
        request,
    );
    let mut exchange = Exchange { handler, options, service, completion, arrived, in_flight };
    let first = exchange.first().await?;
    if stream { Ok(exchange.stream(first)) } else { exchange.respond(first).await }
}

/// Splits `service@version+adapter`.
fn parse_model(request: &Request) -> (String, Requirements) {
    let (rest, adapter) = match request.model.split_once('+') {
        Some((rest, adapter)) => (rest, Some(adapter.to_owned())),
        None => (request.model.as_str(), None),
    };
    let (service, version) = match rest.split_once('@') {
        Some((service, version)) => (service, Some(version.to_owned())),
        None => (rest, None),
    };
    let prefix = route::prefix(service, &request.text());
    (service.to_owned(), Requirements { version, adapter, prefix })
}

fn check_service(
    handler: &HttpHandler,
    service: &str,
    requirements: &Requirements,
) -> Result<Duration, Error> {
    let view = handler.shared.view();
    let targets = view.services.get(service);
    let targets = targets.filter(|targets| targets.service.protocol == Protocol::Chat);
    let Some(targets) = targets else {
        return Err(Error::new(Kind::UnknownService, format!("no service `{service}`")));
    };
    if !fleet::is_servable(targets, requirements) {
        let text = format!("service `{service}` has no target with {requirements:?}");
        return Err(Error::new(Kind::UnknownModel, text));
    }
    Ok(Duration::from_millis(targets.service.deadline_ms))
}

/// A request of a caller and its completion.
struct Exchange {
    handler: HttpHandler,
    options: RequestOptions,
    service: String,
    completion: CompletionStream,
    arrived: Instant,
    in_flight: InFlightGuard,
}

impl Exchange {
    /// Waits for the first item. An error up to here is an error response; later
    /// ones are sent within the stream.
    async fn first(&mut self) -> Result<StreamItem, Error> {
        let first = self.completion.next().await;
        self.record_first_token(first.is_ok());
        match first {
            Ok(item) => Ok(item),
            Err(error) => Err(self.settle_claim(error).await),
        }
    }

    fn record_first_token(&self, is_success: bool) {
        let elapsed = self.arrived.elapsed();
        let first = is_success.then_some(elapsed);
        let shared = &self.handler.shared;
        let document = shared.view().document.clone();
        let class = self.options.class.name();
        shared.telemetry.on_request(&document, &self.service, class, first, Instant::now());
        shared.telemetry.time("front.first_token", elapsed);
    }

    /// Settles the claim of a failed at-most-once request: releases it if nothing
    /// was sent, otherwise records the failure as its outcome.
    async fn settle_claim(&self, error: Error) -> Error {
        let guarded = !self.handler.shared.settings.is_guard_disabled("refusal");
        match &self.options.key {
            Some(key) if !self.options.repeatable && guarded => {
                if self.completion.was_sent() {
                    return keyed::record_undetermined(&self.handler.shared, key, &error).await;
                }
                keyed::release(&self.handler.shared, &self.options, key);
                error
            }
            _ => error,
        }
    }

    async fn respond(mut self, first: StreamItem) -> Result<Response, Error> {
        let mut item = first;
        let finish = loop {
            if let StreamItem::End(finish) = item {
                break finish;
            }
            item = match self.completion.next().await {
                Ok(item) => item,
                Err(error) => return Err(self.settle_claim(error).await),
            };
        };
        let outcome = self.outcome(finish);
        let recorded = self.record(&outcome).await?;
        if let Some(RecordStatus::Superseded(stored)) = recorded {
            return replay(&self.options, &self.service, false, *stored);
        }
        let mut response =
            http::json(200, &completion_body(&self.options, &self.service, &outcome));
        set_recorded(&mut response, recorded.as_ref());
        http::set_header(&mut response, header::TARGET, self.completion.target());
        Ok(response)
    }

    fn outcome(&self, finish: String) -> Outcome {
        Outcome {
            text: self.completion.text().to_owned(),
            finish,
            tokens: self.completion.tokens(),
        }
    }

    async fn record(&self, outcome: &Outcome) -> Result<Option<RecordStatus>, Error> {
        match &self.options.key {
            None => Ok(None),
            Some(key) => {
                let stored = StoredOutcome::Chat(outcome.clone());
                keyed::finish(&self.handler.shared, key, stored).await.map(Some)
            }
        }
    }

    fn stream(self, first: StreamItem) -> Response {
        let (tx, rx) = body::channel(EVENT_BUFFER);
        let target = self.completion.target().to_owned();
        tokio::spawn(self.send_events(first, tx));
        let mut response = http::stream(200, "text/event-stream", rx);
        http::set_header(&mut response, header::TARGET, &target);
        response
    }

    /// Sends events until the completion ends. The closing event is sent after the
    /// outcome is recorded, so that a resend returns the same completion.
    async fn send_events(mut self, first: StreamItem, tx: body::Sender) {
        let events = EventWriter { tx, id: id(&self.options), service: self.service.clone() };
        let mut item = first;
        events.send(Delta { role: Some("assistant".into()), content: None }, None).await;
        let finish = loop {
            match item {
                StreamItem::End(finish) => break finish,
                StreamItem::Token(text) => {
                    let is_connected =
                        events.send(Delta { role: None, content: Some(text) }, None).await;
                    if !is_connected && self.options.key.is_none() {
                        return;
                    }
                }
            }
            item = match self.completion.next().await {
                Ok(item) => item,
                Err(error) => return events.fail(&self.settle_claim(error).await).await,
            };
        };
        let outcome = self.outcome(finish.clone());
        match self.record(&outcome).await {
            Err(error) => events.fail(&error).await,
            Ok(Some(RecordStatus::Superseded(stored)))
                if *stored != StoredOutcome::Chat(outcome) =>
            {
                let text = "another completion with this key was recorded first; retry the request";
                events.fail(&Error::new(Kind::InProgress, text)).await;
            }
            Ok(_) => events.end(&finish).await,
        }
        drop(self.in_flight);
    }
}

/// Writes server-sent events to a caller.
struct EventWriter {
    tx: body::Sender,
    id: String,
    service: String,
}

impl EventWriter {
    /// Sends one event; returns `false` if the caller disconnected.
    async fn send(&self, delta: Delta, finish_reason: Option<String>) -> bool {
        let chunk = Chunk {
            id: self.id.clone(),
            object: "chat.completion.chunk".into(),
            created: crate::clock::millis() / 1000,
            model: self.service.clone(),
            choices: vec![ChunkChoice { index: 0, delta, finish_reason }],
        };
        self.write_json(&chunk).await
    }

    async fn end(self, finish: &str) {
        self.send(Delta::default(), Some(finish.to_owned())).await;
        self.write(DONE).await;
        self.tx.finish().await;
    }

    /// Sends an error event and no closing event, so that no client takes the
    /// partial completion for a complete one.
    async fn fail(self, error: &Error) {
        self.write_json(&Body::from(error)).await;
        self.tx.finish().await;
    }

    async fn write_json<T: Serialize>(&self, value: &T) -> bool {
        self.write(&serde_json::to_string(value).unwrap_or_default()).await
    }

    async fn write(&self, data: &str) -> bool {
        self.tx.send(Bytes::from(format!("data: {data}\n\n"))).await.is_ok()
    }
}

fn id(options: &RequestOptions) -> String {
    format!("chatcmpl-{:016x}", options.id)
}

fn completion_body(options: &RequestOptions, service: &str, outcome: &Outcome) -> Completion {
    Completion {
        id: id(options),
        object: "chat.completion".into(),
        created: crate::clock::millis() / 1000,
        model: service.to_owned(),
        choices: vec![Choice {
            index: 0,
            message: Message { role: "assistant".into(), content: outcome.text.clone() },
            finish_reason: outcome.finish.clone(),
        }],
        usage: Usage {
            prompt_tokens: 0,
            completion_tokens: outcome.tokens,
            total_tokens: outcome.tokens,
        },
    }
}

fn set_recorded(response: &mut Response, recorded: Option<&RecordStatus>) {
    let value = match recorded {
        None => return,
        Some(RecordStatus::Pending) => "later",
        Some(RecordStatus::Durable | RecordStatus::Superseded(_)) => "now",
    };
    http::set_header(response, header::RECORDED, value);
}

/// Returns a stored outcome, streamed if the caller asked for a stream.
fn replay(
    options: &RequestOptions,
    service: &str,
    stream: bool,
    stored: StoredOutcome,
) -> Result<Response, Error> {
    let outcome = match stored {
        StoredOutcome::Chat(outcome) => outcome,
        StoredOutcome::Failed(error) => return Err(error),
        StoredOutcome::Plain { .. } => {
            return Err(Error::new(Kind::KeyConflict, "the key belongs to a plain call"));
        }
    };
    let mut response = if stream {
        replay_stream(options, service, outcome)
    } else {
        http::json(200, &completion_body(options, service, &outcome))
    };
    http::set_header(&mut response, header::RECORDED, "now");
    http::set_header(&mut response, header::REPLAYED, "true");
    Ok(response)
}

fn replay_stream(options: &RequestOptions, service: &str, outcome: Outcome) -> Response {
    let (tx, rx) = body::channel(EVENT_BUFFER);
    let events = EventWriter { tx, id: id(options), service: service.to_owned() };
    tokio::spawn(async move {
        let delta = Delta { role: Some("assistant".into()), content: Some(outcome.text) };
        events.send(delta, None).await;
        events.end(&outcome.finish).await;
    });
    http::stream(200, "text/event-stream", rx)
}
