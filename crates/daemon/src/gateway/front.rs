//! The HTTP front end for callers: reads requests, matches routes, and dispatches to online
//! requests, batch submissions and job calls.

use super::node::{Config, Node};
use super::{access, jobs, online, submit};
use crate::clock;
use bytes::Bytes;
use coordination::quarantine::Contents;
use coordination::{hash, prompt};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Response};
use platform::{header, job};
use protocol::routing::{Class, Route};
use protocol::workspace::Workspace;
use protocol::{Error, Kind, PartFingerprint, RequestFingerprint};
use std::rc::Rc;
use std::time::{Duration, Instant};
use transport::body::Aborted;
use transport::http::status_code;
use transport::server::{self, Body, Handler, Refusal};

/// Limit on request heads until a configuration is in force.
const DEFAULT_MAX_HEAD_BYTES: usize = 64 << 10;
/// Time after the start for which requests wait for the configuration and the targets, instead of
/// being rejected at once. Without it, 786 requests were rejected after a whole fleet had lost
/// power.
const STARTUP_WAIT: Duration = Duration::from_secs(1);
const CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout for reading a request body; callers can send a shorter one.
const MAX_BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Retry delay of a request whose body finds no room beside others, which soon have been sent.
const NO_ROOM_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Retry delay sent to the caller while the instance stops; others can take the request at once.
pub const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A request as read from its caller.
pub struct CallerRequest {
    /// Request id chosen by the caller; may be empty.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query as received.
    pub target: String,
    /// Host header without the port.
    pub host: String,
    /// Headers to be forwarded, without hop-by-hop headers and those that only the gateway sets.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Parts of the prompt that other requests may have too.
    pub parts: Vec<PartFingerprint>,
    /// Workspace of the caller; `None` if the request needs no API key and has none.
    pub workspace: Option<Rc<Workspace>>,
    /// Whether the request is assumed to be a retry, since its timeout is shorter than usual.
    pub is_retry: bool,
    /// When the head was read.
    pub started: Instant,
    /// Deadline: the end of the caller's timeout or the route's, whichever is earlier.
    pub deadline: Instant,
}

impl CallerRequest {
    /// Fingerprint of method, host, target and body; equal for retries.
    pub fn fingerprint(&self) -> RequestFingerprint {
        hash::request_fingerprint(self.method.as_str(), &self.host, &self.target, &self.body)
    }

    /// Path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// What of the request may crash its targets.
    pub fn contents(&self) -> Contents {
        Contents { request: self.fingerprint(), parts: self.parts.clone() }
    }

    /// Name of the caller's workspace.
    pub fn workspace_name(&self) -> Option<&str> {
        self.workspace.as_ref().map(|workspace| workspace.name.as_str())
    }

    /// The attempt that brought the first event, if the request takes a stream up again and names
    /// it.
    pub fn resumes(&self) -> Option<&str> {
        Some(header::text(&self.headers, header::RESUMES)).filter(|attempt| !attempt.is_empty())
    }

    /// Whether the request takes a stream up after its last event.
    pub fn takes_up_stream(&self) -> bool {
        !header::text(&self.headers, header::LAST_EVENT_ID).is_empty()
    }

    /// How long the caller waits for the whole request, over all its attempts from this one on;
    /// `None` if it doesn't say.
    pub fn timeout(&self) -> Option<Duration> {
        header::millis(&self.headers, header::DEADLINE_MS)
    }

    /// Time until the deadline; zero afterwards.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

/// Handles the HTTP requests of callers.
pub struct HttpHandler {
    /// The instance that serves them.
    pub node: Rc<Node>,
}

impl Handler for HttpHandler {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Aborted> {
        let started = clock::now();
        let node = &self.node;
        let mut response = tokio::select! {
            biased;
            response = handle(node, request, started) => response?,
            () = node.ending.cancelled() => text_response(502, "the instance stops"),
        };
        if node.is_stopping() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        node.metrics.time("front.head", clock::since(started));
        Ok(response)
    }

    fn max_head_bytes(&self) -> usize {
        let config = self.node.config();
        config.map_or(DEFAULT_MAX_HEAD_BYTES, |config| config.table.limits.head_bytes)
    }
}

async fn handle(
    node: &Rc<Node>,
    request: Request<Incoming>,
    started: Instant,
) -> Result<Response<Body>, Aborted> {
    let (parts, mut body) = request.into_parts();
    let Some(config) = wait_for_config(node).await else {
        let error = Error::new(Kind::NotReady, "no configuration yet");
        return Ok(error_response(node, "", &error));
    };
    let host = host(&parts.headers).to_owned();
    let path = parts.uri.path();
    let id = header::text(&parts.headers, header::REQUEST_ID).to_owned();
    let route = config.table.route_for(&host, path).cloned();
    let query = parts.uri.query().unwrap_or_default();
    if let Some(call) = job::Request::parse(parts.method.as_str(), path, query) {
        if let Some(route) = &route
            && !access::may_call(&config.table, &host, route, &parts.headers)
        {
            return Ok(unauthorized(node, &id, &config));
        }
        match is_about_job(node, route.as_ref(), &call).await {
            Some(true) => return Ok(call_job(node, &config, call, &host, &parts.headers).await),
            Some(false) => {}
            None => return Ok(jobs::unavailable(node, call.job())),
        }
    }
    let Some(route) = route else {
        slog::info!(node.log, "no route"; "request" => &id, "host" => &host,
            "path" => path, "config" => config.table.version);
        if parts.method == Method::POST && !id.is_empty() {
            let repeated = repeated_submission(node, &config, &parts, &host, &mut body).await?;
            if let Some(response) = repeated {
                return Ok(response);
            }
        }
        return Ok(error_response(node, &id, &Error::new(Kind::UnknownPath, "no such route")));
    };
    let Ok(workspace) = access::authenticate(&config.table, route.is_public, &parts.headers) else {
        return Ok(unauthorized(node, &id, &config));
    };
    let timeout = header::millis(&parts.headers, header::DEADLINE_MS);
    let deadline = started + timeout.unwrap_or(route.timeout).min(route.timeout);
    let max_bytes = config.table.limits.body_bytes;
    let body = match read_body(node, &id, &mut body, max_bytes, timeout).await? {
        Ok(body) => body,
        Err(response) => return Ok(response),
    };
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
    let mut headers = header::end_to_end(&parts.headers);
    access::remove_reserved(&config.table, &mut headers);
    let is_retry = timeout.is_some_and(|timeout| node.is_retry(&route.name, timeout));
    let shared_parts =
        prompt::shared_parts(header::prompt_parts(header::text(&headers, header::PROMPT_PREFIX)));
    let method = parts.method;
    let call = CallerRequest {
        id,
        method,
        target,
        host,
        headers,
        body,
        parts: shared_parts,
        workspace,
        is_retry,
        started,
        deadline,
    };
    serve(node, &config, route, call).await
}

/// The configuration in force. Waits up to [`STARTUP_WAIT`] after the start until the instance is
/// initialized.
async fn wait_for_config(node: &Node) -> Option<Rc<Config>> {
    while !node.is_initialized() && clock::since(node.started) < STARTUP_WAIT {
        tokio::time::sleep(CONFIG_POLL_INTERVAL).await;
    }
    node.config()
}

/// Whether a request with the method and path of a job call is one; `None` if the platform can't be
/// read. Where an online route matches the path as well, it is a job call only if the job exists, even
/// if the host has no batch route any more.
async fn is_about_job(node: &Node, route: Option<&Route>, call: &job::Request) -> Option<bool> {
    let is_online = route.is_some_and(|route| route.class != Class::Batch);
    if !is_online || node.jobs.known_owner(call.job()).is_some() {
        return Some(true);
    }
    jobs::exists(node, call.job()).await
}

/// Serves a request without a route if it repeats the submission of a job, which may outlive its
/// route.
async fn repeated_submission(
    node: &Rc<Node>,
    config: &Config,
    parts: &Parts,
    host: &str,
    body: &mut Incoming,
) -> Result<Option<Response<Body>>, Aborted> {
    let Ok(workspace) = access::authenticate_job_call(&config.table, host, &parts.headers) else {
        return Ok(None);
    };
    let id = header::text(&parts.headers, header::REQUEST_ID);
    let timeout = header::millis(&parts.headers, header::DEADLINE_MS);
    let max_bytes = config.table.limits.body_bytes;
    let body = match read_body(node, id, body, max_bytes, timeout).await? {
        Ok(body) => body,
        Err(response) => return Ok(Some(response)),
    };
    let caller = workspace.as_ref().map(|workspace| workspace.name.as_str());
    Ok(submit::resubmit(node, id, caller, &body).await)
}

/// Serves a call about a job, whose route may be gone.
async fn call_job(
    node: &Rc<Node>,
    config: &Config,
    call: job::Request,
    host: &str,
    headers: &HeaderMap,
) -> Response<Body> {
    match access::authenticate_job_call(&config.table, host, headers) {
        Ok(workspace) => {
            let _in_flight = node.in_flight.start();
            jobs::call(node, call, headers, workspace.as_deref()).await
        }
        Err(access::Unauthorized) => {
            unauthorized(node, header::text(headers, header::REQUEST_ID), config)
        }
    }
}

/// Reads the body of request `id`, or returns the response to one that is late or too large.
async fn read_body(
    node: &Node,
    id: &str,
    body: &mut Incoming,
    max_bytes: usize,
    timeout: Option<Duration>,
) -> Result<Result<Bytes, Response<Body>>, Aborted> {
    let timeout = timeout.unwrap_or(MAX_BODY_TIMEOUT).min(MAX_BODY_TIMEOUT);
    let read = server::read_body(body, max_bytes, &node.bodies);
    let error = tokio::select! {
        biased;
        read = tokio::time::timeout(timeout, read) => match read {
            Ok(read) => match read? {
                Ok(body) => return Ok(Ok(body)),
                Err(Refusal::TooLarge) => {
                    Error::new(Kind::TooLarge, format!("the body is over {max_bytes} bytes"))
                }
                Err(Refusal::NoRoom) => Error::new(Kind::Overloaded, "no room for the body")
                    .with_retry_after(NO_ROOM_RETRY_DELAY),
            },
            Err(_) => Error::new(Kind::SlowCaller, "the body is late"),
        },
        () = node.ending.cancelled() => Error::new(Kind::Draining, "the instance stops")
            .with_retry_after(STOPPING_RETRY_AFTER),
    };
    Ok(Err(error_response(node, id, &error)))
}

async fn serve(
    node: &Rc<Node>,
    config: &Config,
    route: Route,
    call: CallerRequest,
) -> Result<Response<Body>, Aborted> {
    if route.class == Class::Batch {
        return Ok(submit::submit(node, &route, &call).await);
    }
    if call.method == Method::POST {
        let repeated = submit::resubmit(node, &call.id, call.workspace_name(), &call.body).await;
        if let Some(response) = repeated {
            return Ok(response);
        }
    }
    online::serve(node, config, Rc::new(route), Rc::new(call)).await
}

fn host(headers: &HeaderMap) -> &str {
    let host = header::text(headers, "host");
    host.split_once(':').map_or(host, |(name, _)| name)
}

/// The response to a request without a known API key.
fn unauthorized(node: &Node, id: &str, config: &Config) -> Response<Body> {
    slog::info!(node.log, "unknown API key"; "request" => id, "config" => config.table.version,
        "config_age_ms" => clock::since(config.since).as_millis() as u64);
    let error = Error::new(Kind::Unauthorized, "the API key is missing or unknown");
    let mut response = error_response(node, id, &error);
    set_header(&mut response, header::AUTHENTICATE, "Bearer");
    response
}

/// The response to request `id` for an error of the gateway.
pub fn error_response(node: &Node, id: &str, error: &Error) -> Response<Body> {
    let status = error.kind.properties().status;
    node.metrics.count(&format!("refused.{status}"));
    let mut response = text_response(status, &error.message);
    if let Some(after) = error.retry_after {
        let seconds = format!("{:.3}", after.as_secs_f64());
        set_header(&mut response, header::RETRY_AFTER, &seconds);
    }
    if !id.is_empty() {
        set_header(&mut response, header::REQUEST_ID, id);
    }
    response
}

/// A plain-text response of the gateway itself.
pub fn text_response(status: u16, message: &str) -> Response<Body> {
    let mut response = Response::new(Body::Full(Bytes::from(format!("{message}\n"))));
    *response.status_mut() = status_code(status);
    response
}

/// Sets a header; a value that is invalid in HTTP is left out.
pub fn set_header(response: &mut Response<Body>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
