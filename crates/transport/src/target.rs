//! Calls to targets: model engines and plain services.

use crate::partition::SimulatedPartition;
use crate::sse::DataParser;
use bytes::Bytes;
use coordination::retry::Failure;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::client::legacy::{Client as Http, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use protocol::chat::{self, Chunk, DONE};
use protocol::header;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Set by a target that refuses because it is leaving.
pub const LEAVING: &str = "gatespool-leaving";

/// How a try ended that gave no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptError {
    /// What that means for trying again.
    pub failure: Failure,
    /// Whether the target says that it is leaving.
    pub leaving: bool,
    /// Whether no answer came in time, rather than a bad one.
    pub is_timeout: bool,
    /// The reason.
    pub message: String,
}

impl AttemptError {
    /// A fault for the reason `message`.
    pub fn new(failure: Failure, message: impl Into<String>) -> AttemptError {
        AttemptError { failure, leaving: false, is_timeout: false, message: message.into() }
    }

    fn silence(limit: Duration) -> AttemptError {
        let message = format!("no answer in {limit:?}");
        AttemptError { is_timeout: true, ..AttemptError::new(Failure::Unknown, message) }
    }
}

/// What goes along with a request.
#[derive(Clone, Debug, Default)]
pub struct AttemptMeta {
    /// Id of this attempt.
    pub attempt: u64,
    /// Key of the request, for the target's own record.
    pub key: String,
    /// 0 is online, 1 is batch.
    pub priority: u8,
    /// Time left for the caller.
    pub timeout: Duration,
}

/// What a target reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Online requests running or waiting.
    pub online: u32,
    /// Batch requests running or waiting.
    pub batch: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Model version loaded.
    #[serde(default)]
    pub version: String,
    /// Adapters loaded.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Whether an order is being carried out.
    #[serde(default)]
    pub busy: bool,
}

/// An order to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Model version to run.
    pub version: String,
    /// Adapters to hold.
    pub adapters: Vec<String>,
}

/// One piece of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// Text of one token.
    Token(String),
    /// The answer is whole; this is why it ended.
    End(String),
}

/// A client for all targets.
#[derive(Clone)]
pub struct Client {
    http: Http<HttpConnector, Full<Bytes>>,
    partition: SimulatedPartition,
    idle: Duration,
}

impl Client {
    /// A client that gives up on a connection after `connect`, and on a silent
    /// stream after `idle`.
    pub fn new(connect: Duration, idle: Duration, partition: SimulatedPartition) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect));
        let http = Http::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(30))
            .build(connector);
        Client { http, partition, idle }
    }

    /// Starts a streamed chat completion.
    ///
    /// # Errors
    ///
    /// How the try ended, when no stream began.
    pub async fn chat(
        &self,
        to: SocketAddr,
        request: &chat::Request,
        meta: &AttemptMeta,
    ) -> Result<Stream, AttemptError> {
        let body = serde_json::to_vec(request)
            .map_err(|error| AttemptError::new(Failure::NotSent, error.to_string()))?;
        let builder = self.builder(to, Method::POST, "/v1/chat/completions", meta);
        let builder = builder.header("content-type", "application/json");
        let response = self.send(to, builder.body(Full::from(body)), meta.timeout).await?;
        check(&response)?;
        Ok(Stream {
            body: response.into_body(),
            parser: DataParser::default(),
            idle: self.idle,
            finish: None,
            partition: self.partition.clone(),
            from: to,
        })
    }

    /// Makes one call of a plain service.
    ///
    /// # Errors
    ///
    /// How the try ended, when no whole answer came.
    pub async fn plain(
        &self,
        to: SocketAddr,
        call: PlainCall,
        meta: &AttemptMeta,
    ) -> Result<(StatusCode, String, Bytes), AttemptError> {
        let mut builder = self.builder(to, call.method, &call.path, meta);
        if let Some(kind) = call.headers.get("content-type") {
            builder = builder.header("content-type", kind);
        }
        let response = self.send(to, builder.body(Full::new(call.body)), meta.timeout).await?;
        if is_refusal(&response) {
            check(&response)?;
        }
        let status = response.status();
        let kind = text(response.headers(), "content-type");
        let body = tokio::time::timeout(meta.timeout, response.into_body().collect()).await;
        let body =
            body.map_err(|_| AttemptError::new(Failure::Unknown, "no whole answer in time"))?;
        let body = body.map_err(|error| AttemptError::new(Failure::Unknown, error.to_string()))?;
        Ok((status, kind, body.to_bytes()))
    }

    /// Asks a target how it is.
    ///
    /// # Errors
    ///
    /// How the call failed.
    pub async fn load_report(
        &self,
        to: SocketAddr,
        limit: Duration,
    ) -> Result<LoadReport, AttemptError> {
        let meta = AttemptMeta { timeout: limit, ..AttemptMeta::default() };
        let builder = self.builder(to, Method::GET, "/load", &meta);
        let response = self.send(to, builder.body(Full::default()), limit).await?;
        let body = tokio::time::timeout(limit, response.into_body().collect()).await;
        let body = body.map_err(|_| AttemptError::silence(limit))?;
        let body = body.map_err(|error| AttemptError::new(Failure::Unknown, error.to_string()))?;
        serde_json::from_slice(&body.to_bytes())
            .map_err(|error| AttemptError::new(Failure::Unknown, error.to_string()))
    }

    /// Gives a target an order under a fencing number.
    ///
    /// # Errors
    ///
    /// How the call failed; a refusal means that the number is old.
    pub async fn order(
        &self,
        to: SocketAddr,
        order: &Order,
        fence: u64,
        limit: Duration,
    ) -> Result<(), AttemptError> {
        let meta = AttemptMeta { timeout: limit, ..AttemptMeta::default() };
        let body = serde_json::to_vec(order).unwrap_or_default();
        let builder = self.builder(to, Method::POST, "/order", &meta);
        let builder = builder.header(header::FENCING_TOKEN, fence.to_string());
        let response = self.send(to, builder.body(Full::from(body)), limit).await?;
        check(&response)
    }

    fn builder(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        meta: &AttemptMeta,
    ) -> hyper::http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{to}{path}"))
            .header(header::ATTEMPT_ID, meta.attempt.to_string())
            .header(header::IDEMPOTENCY_KEY, meta.key.as_str())
            .header(header::PRIORITY, meta.priority.to_string())
            .header(header::DEADLINE_MS, meta.timeout.as_millis().to_string())
    }

    async fn send(
        &self,
        to: SocketAddr,
        request: hyper::http::Result<Request<Full<Bytes>>>,
        limit: Duration,
    ) -> Result<Response<Incoming>, AttemptError> {
        let request = request.map_err(|e| AttemptError::new(Failure::NotSent, e.to_string()))?;
        if self.partition.is_unreachable(to, Instant::now()) {
            return Err(AttemptError::new(Failure::NotSent, "cut off"));
        }
        match tokio::time::timeout(limit, self.http.request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if error.is_connect() => {
                Err(AttemptError::new(Failure::NotSent, error.to_string()))
            }
            Ok(Err(error)) => Err(AttemptError::new(Failure::Unknown, error.to_string())),
            Err(_) => Err(AttemptError::silence(limit)),
        }
    }
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers of the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

fn text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

/// A target's own word that it didn't run the request.
fn is_refusal<B>(response: &Response<B>) -> bool {
    let status = response.status();
    status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS
}

fn check<B>(response: &Response<B>) -> Result<(), AttemptError> {
    let status = response.status();
    if status.is_success() {
        return Ok(());
    }
    let refused = is_refusal(response) || status == StatusCode::CONFLICT;
    let failure = if refused { Failure::Refused } else { Failure::Unknown };
    let leaving = response.headers().contains_key(LEAVING);
    let message = format!("the target answered {status}");
    Err(AttemptError { leaving, ..AttemptError::new(failure, message) })
}

/// A streamed answer.
#[derive(Debug)]
pub struct Stream {
    body: Incoming,
    parser: DataParser,
    idle: Duration,
    finish: Option<String>,
    partition: SimulatedPartition,
    from: SocketAddr,
}

impl Stream {
    /// The next piece. An answer is whole only when its reason *and* the closing
    /// event came; a connection that ends before that is a fault, however
    /// complete the text looks.
    ///
    /// # Errors
    ///
    /// How the stream broke off.
    pub async fn next(&mut self) -> Result<StreamItem, AttemptError> {
        loop {
            while let Some(data) = self.parser.next_data() {
                if let Some(piece) = self.read(&data)? {
                    return Ok(piece);
                }
            }
            if self.partition.is_unreachable(self.from, Instant::now()) {
                return Err(AttemptError::new(Failure::Unknown, "cut off"));
            }
            self.fill().await?;
        }
    }

    fn read(&mut self, data: &str) -> Result<Option<StreamItem>, AttemptError> {
        if data == DONE {
            let finish = self.finish.take();
            let finish =
                finish.ok_or_else(|| AttemptError::new(Failure::Unknown, "no finish reason"))?;
            return Ok(Some(StreamItem::End(finish)));
        }
        let chunk: Chunk = serde_json::from_str(data)
            .map_err(|error| AttemptError::new(Failure::Unknown, error.to_string()))?;
        let Some(choice) = chunk.choices.into_iter().next() else {
            return Ok(None);
        };
        if choice.finish_reason.is_some() {
            self.finish = choice.finish_reason;
        }
        Ok(choice.delta.content.filter(|text| !text.is_empty()).map(StreamItem::Token))
    }

    async fn fill(&mut self) -> Result<(), AttemptError> {
        let frame = tokio::time::timeout(self.idle, self.body.frame()).await;
        let frame = frame.map_err(|_| {
            AttemptError::new(Failure::Unknown, format!("silent for {:?}", self.idle))
        })?;
        let Some(frame) = frame else {
            return Err(AttemptError::new(Failure::Unknown, "the stream ended early"));
        };
        let frame =
            frame.map_err(|error| AttemptError::new(Failure::Unknown, error.to_string()))?;
        let fits = frame.data_ref().is_none_or(|bytes| self.parser.push(bytes));
        if fits { Ok(()) } else { Err(AttemptError::new(Failure::Unknown, "an event is too long")) }
    }
}
