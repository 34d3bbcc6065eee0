//! HTTP client of the product's own interface for its targets: model engines and plain services.
//!
//! Their responses don't name the request. A faulty target may send a second response to a request,
//! late, in the place of the response to the next one, so each connection carries one request only.

mod stream;

pub use stream::{Stream, StreamItem};

use crate::event::{self, EventTracker};
use crate::head;
use crate::partition::SimulatedPartition;
use crate::upstream::{self, Framing};
use bytes::Bytes;
use coordination::presence::{CLOSE_WINDOW, Presence};
use coordination::retry::Failure;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::client::legacy::{Client as Http, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use protocol::chat;
use protocol::header;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Response header set by a target that rejects a request because it is leaving.
pub const LEAVING: &str = "gatespool-leaving";

/// Largest body of a plain service's response.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Largest load report.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// Why an attempt gave no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptError {
    /// Whether the request may have run, which decides on a retry.
    pub failure: Failure,
    /// Whether the target reported that it is leaving.
    pub leaving: bool,
    /// Whether the target did not respond in time.
    pub is_timeout: bool,
    /// Human-readable cause.
    pub message: String,
}

impl AttemptError {
    /// Creates an error that is neither a timeout nor due to a leaving target.
    pub fn new(failure: Failure, message: impl Into<String>) -> AttemptError {
        AttemptError { failure, leaving: false, is_timeout: false, message: message.into() }
    }

    fn timeout(timeout: Duration) -> AttemptError {
        let message = format!("no response within {timeout:?}");
        AttemptError { is_timeout: true, ..AttemptError::new(Failure::Unknown, message) }
    }
}

/// Metadata sent to the target with a request.
#[derive(Clone, Debug, Default)]
pub struct AttemptMeta {
    /// Id of the attempt.
    pub attempt: u64,
    /// Idempotency key of the request; may be empty.
    pub key: String,
    /// 0 for online, 1 for batch.
    pub priority: u8,
    /// Time remaining until the caller's deadline.
    pub timeout: Duration,
}

/// Load and state that a target reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of running or queued online requests.
    pub online: u32,
    /// Number of running or queued batch requests.
    pub batch: u32,
    /// Whether the target is leaving.
    pub leaving: bool,
    /// Loaded model version; empty if there is none.
    #[serde(default)]
    pub version: String,
    /// Loaded adapters.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Whether the target is executing an order.
    #[serde(default)]
    pub busy: bool,
}

/// An order to a target: what to load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Model version to load.
    pub version: String,
    /// Adapters to keep loaded.
    pub adapters: Vec<String>,
}

/// HTTP client shared by all targets.
#[derive(Clone)]
pub struct Client {
    http: Http<HttpConnector, Full<Bytes>>,
    partition: SimulatedPartition,
    connect_timeout: Duration,
    idle_timeout: Duration,
}

impl Client {
    /// Creates a client. `idle_timeout` is the time without data after which reading a stream
    /// fails with a timeout.
    pub fn new(
        connect_timeout: Duration,
        idle_timeout: Duration,
        partition: SimulatedPartition,
    ) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        let http = Http::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build(connector);
        Client { http, partition, connect_timeout, idle_timeout }
    }

    /// Starts a streamed chat completion.
    ///
    /// # Errors
    ///
    /// No stream was started.
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
        check_status(&response)?;
        let partition = self.partition.clone();
        Ok(Stream::new(response.into_body(), to, self.idle_timeout, partition))
    }

    /// Calls a plain service.
    ///
    /// # Errors
    ///
    /// There was no complete response, as far as its body tells, or the target rejected the
    /// request.
    pub async fn plain(
        &self,
        to: SocketAddr,
        call: PlainCall,
        meta: &AttemptMeta,
    ) -> Result<PlainResponse, AttemptError> {
        let mut builder = self.builder(to, call.method, &call.path, meta);
        if let Some(content_type) = call.headers.get("content-type") {
            builder = builder.header("content-type", content_type);
        }
        let response = self.send(to, builder.body(Full::new(call.body)), meta.timeout).await?;
        if is_rejection(&response) {
            check_status(&response)?;
        }
        let (head, body) = response.into_parts();
        let framing = Framing::of(&head, &body);
        let content_type = header_text(&head.headers, "content-type");
        let body = read_to_end(body, MAX_RESPONSE_BYTES, meta.timeout).await?;
        if event::are_events(&head.headers) == Some(true) && has_broken_event(&body) {
            return Err(AttemptError::new(Failure::Unknown, "broken off inside an event"));
        }
        Ok(PlainResponse { status: head.status, content_type, body, framing })
    }

    /// Checks whether a process listens on the address of a target that has closed a connection.
    pub async fn probe(&self, to: SocketAddr) -> Presence {
        tokio::time::sleep(CLOSE_WINDOW).await;
        if self.partition.is_unreachable(to, Instant::now()) {
            return Presence::Unknown;
        }
        match upstream::connect(to, self.connect_timeout).await {
            Ok(_) => Presence::Listening,
            Err(error) => upstream::presence(&error),
        }
    }

    /// Fetches the load report of a target.
    ///
    /// # Errors
    ///
    /// The request failed, or the report is malformed.
    pub async fn load_report(
        &self,
        to: SocketAddr,
        timeout: Duration,
    ) -> Result<LoadReport, AttemptError> {
        let meta = AttemptMeta { timeout, ..AttemptMeta::default() };
        let builder = self.builder(to, Method::GET, "/load", &meta);
        let response = self.send(to, builder.body(Full::default()), timeout).await?;
        check_status(&response)?;
        let body = read_to_end(response.into_body(), MAX_REPORT_BYTES, timeout).await?;
        serde_json::from_slice(&body)
            .map_err(|error| AttemptError::new(Failure::Unknown, error.to_string()))
    }

    /// Sends an order to a target.
    ///
    /// # Errors
    ///
    /// The request failed; [`Failure::Refused`] if the fencing token is outdated.
    pub async fn order(
        &self,
        to: SocketAddr,
        order: &Order,
        fencing_token: u64,
        timeout: Duration,
    ) -> Result<(), AttemptError> {
        let meta = AttemptMeta { timeout, ..AttemptMeta::default() };
        let body = serde_json::to_vec(order).unwrap_or_default();
        let builder = self.builder(to, Method::POST, "/order", &meta);
        let builder = builder.header(header::FENCING_TOKEN, fencing_token.to_string());
        let response = self.send(to, builder.body(Full::from(body)), timeout).await?;
        check_status(&response)
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
            // The target closes first, so the closed connection occupies no port here.
            .header(CONNECTION, "close")
            .header(header::ATTEMPT_ID, meta.attempt.to_string())
            .header(header::IDEMPOTENCY_KEY, meta.key.as_str())
            .header(header::PRIORITY, meta.priority.to_string())
            .header(header::DEADLINE_MS, meta.timeout.as_millis().to_string())
    }

    async fn send(
        &self,
        to: SocketAddr,
        request: hyper::http::Result<Request<Full<Bytes>>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, AttemptError> {
        let request = request.map_err(|e| AttemptError::new(Failure::NotSent, e.to_string()))?;
        if self.partition.is_unreachable(to, Instant::now()) {
            return Err(AttemptError::new(Failure::NotSent, "unreachable (simulated partition)"));
        }
        match tokio::time::timeout(timeout, self.http.request(request)).await {
            Ok(Ok(response)) => match head::fault(&response) {
                None => Ok(response),
                Some(fault) => Err(AttemptError::new(Failure::Unknown, fault)),
            },
            Ok(Err(error)) if error.is_connect() => {
                Err(AttemptError::new(Failure::NotSent, error.to_string()))
            }
            Ok(Err(error)) => Err(AttemptError::new(Failure::Unknown, error.to_string())),
            Err(_) => Err(AttemptError::timeout(timeout)),
        }
    }
}

/// A request to a plain service.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers of the caller; only `content-type` is forwarded.
    pub headers: HeaderMap,
    /// Complete request body.
    pub body: Bytes,
}

/// Response of a plain service.
#[derive(Clone, Debug)]
pub struct PlainResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Content type; empty if the response names none.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
    /// What tells the end of the body.
    pub framing: Framing,
}

/// Reads a body of at most `max_bytes`.
async fn read_to_end(
    body: Incoming,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, AttemptError> {
    let read = tokio::time::timeout(timeout, Limited::new(body, max_bytes).collect()).await;
    let body = read.map_err(|_| AttemptError::timeout(timeout))?;
    let body = body.map_err(|error| AttemptError::new(Failure::Unknown, error.to_string()))?;
    Ok(body.to_bytes())
}

/// Whether a body ends inside an event, or an event is broken off by the head of another response.
fn has_broken_event(body: &[u8]) -> bool {
    let mut events = EventTracker::default();
    events.push(body);
    events.is_inside() || events.has_head()
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

/// Whether the target reports that it didn't run the request.
fn is_rejection<B>(response: &Response<B>) -> bool {
    let status = response.status();
    status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS
}

fn check_status<B>(response: &Response<B>) -> Result<(), AttemptError> {
    let status = response.status();
    if status.is_success() {
        return Ok(());
    }
    let rejected = is_rejection(response) || status == StatusCode::CONFLICT;
    let failure = if rejected { Failure::Refused } else { Failure::Unknown };
    let leaving = response.headers().contains_key(LEAVING);
    let message = format!("the target responded with {status}");
    Err(AttemptError { leaving, ..AttemptError::new(failure, message) })
}
