//! Chat completions.

use super::answer::Answer;
use super::call::Terms;
use super::keyed::{self, Begun, Recorded};
use super::{Front, Running};
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
use tokio::sync::mpsc;
use transport::http::{self, BodyStream, RequestHead, Response};
use transport::target::StreamItem;

/// Events that may wait for a slow caller.
const PIECES: usize = 32;

/// Answers a chat completion.
///
/// # Errors
///
/// The refusal or failure, when no part of the answer was given.
pub async fn call<B: BodyStream>(
    front: &Front,
    head: &RequestHead,
    mut body: B,
    running: Running,
) -> Result<Response, Error> {
    let arrived = Instant::now();
    let settings = &front.shared.settings;
    let body = http::read_body(&mut body, settings.max_body_bytes, settings.body_timeout).await?;
    let request: Request = serde_json::from_slice(&body)
        .map_err(|error| Error::new(Kind::Malformed, format!("body: {error}")))?;
    let (service, wanted) = parse_model(&request);
    let deadline = check_service(front, &service, &wanted)?;
    let terms = Terms::read(head, &service, &body, deadline, arrived)?;
    let is_keyed = terms.key.is_some();
    let serving = serve(front.clone(), terms, service, wanted, request, arrived, running);
    // A keyed request goes on when its caller hangs up, also before the first
    // token: its claim is settled, and its outcome is there for the resend. One
    // without a key ends with its caller.
    if !is_keyed {
        return serving.await;
    }
    let task = tokio::spawn(serving);
    task.await.unwrap_or_else(|error| Err(Error::new(Kind::Internal, error.to_string())))
}

async fn serve(
    front: Front,
    terms: Terms,
    service: String,
    wanted: Requirements,
    request: Request,
    arrived: Instant,
    running: Running,
) -> Result<Response, Error> {
    let stream = request.stream;
    if let Some(key) = &terms.key
        && let Begun::Kept(kept) = keyed::begin(&front.shared, &terms, key).await?
    {
        return replay(&terms, &service, stream, kept);
    }
    let answer = Answer::new(
        front.shared.clone(),
        front.client.clone(),
        terms.clone(),
        wanted,
        service.clone(),
        request,
    );
    let mut exchange = Exchange { front, terms, service, answer, arrived, running };
    let first = exchange.first().await?;
    if stream { Ok(exchange.stream(first)) } else { exchange.whole(first).await }
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

fn check_service(front: &Front, service: &str, wanted: &Requirements) -> Result<Duration, Error> {
    let view = front.shared.view();
    let bound = view.services.get(service);
    let bound = bound.filter(|bound| bound.service.protocol == Protocol::Chat);
    let Some(bound) = bound else {
        return Err(Error::new(Kind::UnknownService, format!("no service `{service}`")));
    };
    if !fleet::is_servable(bound, wanted) {
        let text = format!("service `{service}` has no target with {wanted:?}");
        return Err(Error::new(Kind::UnknownModel, text));
    }
    Ok(Duration::from_millis(bound.service.deadline_ms))
}

/// One exchange with a caller.
struct Exchange {
    front: Front,
    terms: Terms,
    service: String,
    answer: Answer,
    arrived: Instant,
    running: Running,
}

impl Exchange {
    /// The first piece; after it the caller gets a part of the answer, before it
    /// a plain error.
    async fn first(&mut self) -> Result<StreamItem, Error> {
        let first = self.answer.next().await;
        self.note(first.is_ok());
        match first {
            Ok(piece) => Ok(piece),
            Err(error) => Err(self.settle(error).await),
        }
    }

    fn note(&self, is_good: bool) {
        let took = self.arrived.elapsed();
        let first = is_good.then_some(took);
        let shared = &self.front.shared;
        let document = shared.view().document.clone();
        let class = self.terms.class.name();
        shared.telemetry.on_request(&document, &self.service, class, first, Instant::now());
        shared.telemetry.time("front.first_token", took);
    }

    /// What a failure means for the claim of a request that may run once: given
    /// back when nothing was sent, the final outcome otherwise.
    async fn settle(&self, error: Error) -> Error {
        let guarded = !self.front.shared.settings.is_guard_disabled("refusal");
        match &self.terms.key {
            Some(key) if !self.terms.repeatable && guarded => {
                if self.answer.was_sent() {
                    return keyed::give_up(&self.front.shared, key, &error).await;
                }
                keyed::release(&self.front.shared, &self.terms, key);
                error
            }
            _ => error,
        }
    }

    async fn whole(mut self, first: StreamItem) -> Result<Response, Error> {
        let mut piece = first;
        let finish = loop {
            if let StreamItem::End(finish) = piece {
                break finish;
            }
            piece = match self.answer.next().await {
                Ok(piece) => piece,
                Err(error) => return Err(self.settle(error).await),
            };
        };
        let outcome = self.outcome(finish);
        let recorded = self.record(&outcome).await?;
        if let Some(Recorded::Earlier(kept)) = recorded {
            return replay(&self.terms, &self.service, false, *kept);
        }
        let mut response = http::json(200, &completion(&self.terms, &self.service, &outcome));
        set_recorded(&mut response, recorded.as_ref());
        http::set_header(&mut response, header::TARGET, self.answer.target());
        Ok(response)
    }

    fn outcome(&self, finish: String) -> Outcome {
        Outcome { text: self.answer.text().to_owned(), finish, tokens: self.answer.tokens() }
    }

    async fn record(&self, outcome: &Outcome) -> Result<Option<Recorded>, Error> {
        match &self.terms.key {
            None => Ok(None),
            Some(key) => {
                let kept = StoredOutcome::Chat(outcome.clone());
                keyed::finish(&self.front.shared, key, kept).await.map(Some)
            }
        }
    }

    fn stream(self, first: StreamItem) -> Response {
        let (pieces, receiver) = mpsc::channel(PIECES);
        let target = self.answer.target().to_owned();
        tokio::spawn(self.feed(first, pieces));
        let mut response = http::stream(200, "text/event-stream", receiver);
        http::set_header(&mut response, header::TARGET, &target);
        response
    }

    /// Sends events until the answer is whole. The closing event follows the
    /// durable outcome: what a caller saw end is what a resend reads back.
    async fn feed(mut self, first: StreamItem, pieces: mpsc::Sender<Result<Bytes, String>>) {
        let events = Events { pieces, id: id(&self.terms), service: self.service.clone() };
        let mut piece = first;
        events.send(Delta { role: Some("assistant".into()), content: None }, None).await;
        let finish = loop {
            match piece {
                StreamItem::End(finish) => break finish,
                StreamItem::Token(text) => {
                    let heard = events.send(Delta { role: None, content: Some(text) }, None).await;
                    if !heard && self.terms.key.is_none() {
                        return;
                    }
                }
            }
            piece = match self.answer.next().await {
                Ok(piece) => piece,
                Err(error) => return events.fail(&self.settle(error).await).await,
            };
        };
        let outcome = self.outcome(finish.clone());
        match self.record(&outcome).await {
            Err(error) => events.fail(&error).await,
            Ok(Some(Recorded::Earlier(kept))) if *kept != StoredOutcome::Chat(outcome) => {
                let text = "another answer with this key was recorded first; ask again";
                events.fail(&Error::new(Kind::InProgress, text)).await;
            }
            Ok(_) => events.end(&finish).await,
        }
        drop(self.running);
    }
}

/// Writes events to a caller.
struct Events {
    pieces: mpsc::Sender<Result<Bytes, String>>,
    id: String,
    service: String,
}

impl Events {
    /// Sends one event; `false` when the caller is gone.
    async fn send(&self, delta: Delta, finish_reason: Option<String>) -> bool {
        let chunk = Chunk {
            id: self.id.clone(),
            object: "chat.completion.chunk".into(),
            created: crate::clock::millis() / 1000,
            model: self.service.clone(),
            choices: vec![ChunkChoice { index: 0, delta, finish_reason }],
        };
        self.write(&chunk).await
    }

    async fn end(&self, finish: &str) {
        self.send(Delta::default(), Some(finish.to_owned())).await;
        drop(self.pieces.send(Ok(Bytes::from(format!("data: {DONE}\n\n")))).await);
    }

    /// Fails openly: an error event and no closing event, so that no client
    /// takes the part for the whole.
    async fn fail(&self, error: &Error) {
        self.write(&Body::from(error)).await;
    }

    async fn write<T: Serialize>(&self, value: &T) -> bool {
        let data = serde_json::to_string(value).unwrap_or_default();
        self.pieces.send(Ok(Bytes::from(format!("data: {data}\n\n")))).await.is_ok()
    }
}

fn id(terms: &Terms) -> String {
    format!("chatcmpl-{:016x}", terms.id)
}

fn completion(terms: &Terms, service: &str, outcome: &Outcome) -> Completion {
    Completion {
        id: id(terms),
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

fn set_recorded(response: &mut Response, recorded: Option<&Recorded>) {
    let value = match recorded {
        None => return,
        Some(Recorded::Later) => "later",
        Some(Recorded::Now | Recorded::Earlier(_)) => "now",
    };
    http::set_header(response, header::RECORDED, value);
}

/// Gives a kept outcome again, in the form the caller asked for.
fn replay(
    terms: &Terms,
    service: &str,
    stream: bool,
    kept: StoredOutcome,
) -> Result<Response, Error> {
    let outcome = match kept {
        StoredOutcome::Chat(outcome) => outcome,
        StoredOutcome::Failed(error) => return Err(error),
        StoredOutcome::Plain { .. } => {
            return Err(Error::new(Kind::KeyConflict, "the key belongs to a plain call"));
        }
    };
    let mut response = if stream {
        replay_stream(terms, service, outcome)
    } else {
        http::json(200, &completion(terms, service, &outcome))
    };
    http::set_header(&mut response, header::RECORDED, "now");
    http::set_header(&mut response, header::REPLAYED, "true");
    Ok(response)
}

fn replay_stream(terms: &Terms, service: &str, outcome: Outcome) -> Response {
    let (pieces, receiver) = mpsc::channel(PIECES);
    let events = Events { pieces, id: id(terms), service: service.to_owned() };
    tokio::spawn(async move {
        let delta = Delta { role: Some("assistant".into()), content: Some(outcome.text) };
        events.send(delta, None).await;
        events.end(&outcome.finish).await;
    });
    http::stream(200, "text/event-stream", receiver)
}
