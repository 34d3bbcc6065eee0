//! Callers that keep sending requests on persistent connections, whatever fails.

use super::check::{Recorder, STREAM_GONE};
use super::util::gateway::HOST;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Version};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// API key of the callers of jobs.
pub const KEY: &str = "key-soak";
/// API keys of the callers of streams: of two hot workspaces, and of two quiet ones.
pub const STREAM_KEYS: [&str; 6] =
    ["key-hot-0", "key-hot-0", "key-hot-1", "key-hot-1", "key-quiet-0", "key-quiet-1"];
/// Index of the first quiet caller of streams.
const FIRST_QUIET: usize = 4;
/// Ratio of the requests of a hot caller to those of a quiet one.
const HOT_RATIO: u32 = 8;
/// Long parts that prompts share, and their length in tokens.
const PARTS: [(&str, u32); 4] = [("a0", 4_000), ("b1", 4_000), ("c2", 2_000), ("d3", 1_000)];

/// A client and the HTTP version of its requests.
#[derive(Clone)]
struct HttpClient {
    http: Client<HttpConnector, Full<bytes::Bytes>>,
    version: Version,
    /// Time after which it leaves.
    timeout: Duration,
}

pub const CALL_TIMEOUT: Duration = Duration::from_secs(6);
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);
const READ_INTERVAL: Duration = Duration::from_millis(80);
/// Attempts of a patient caller to take up one stream.
const MAX_TAKE_UPS: usize = 3;
/// How long a persistent caller returns after the last fault.
const PERSISTENCE: Duration = Duration::from_secs(10);
/// Time after which a persistent caller returns, by the length of the stream's id.
const RETURN_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(700), Duration::from_secs(2)];
/// Of the streams of a persistent caller, each so-many-th is taken up without its name.
const UNNAMED_EVERY: usize = 3;
/// Of the streams of a caller that takes them up, each so-many-th is left halfway.
const LEAVING_EVERY: usize = 5;
/// Time after which a stream is left halfway.
const LEAVES_AFTER: Duration = Duration::from_millis(120);
/// Items per job; one of them always fails.
pub const ITEMS_PER_JOB: usize = 6;

/// An HTTP response.
pub struct Response {
    /// Status code; 0 if no response arrived.
    pub status: u16,
    /// Body, as far as it was received.
    pub body: Vec<u8>,
    /// Whether the body was received to its end.
    pub is_complete: bool,
    /// Whether the caller left before [`CALL_TIMEOUT`], or couldn't connect.
    pub is_callers_end: bool,
    pub sent: Instant,
    pub ended: Instant,
}

fn client(version: Version) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    HttpClient {
        http: Client::builder(TokioExecutor::new()).build(connector),
        version,
        timeout: CALL_TIMEOUT,
    }
}

async fn call(
    http: &HttpClient,
    method: &str,
    to: SocketAddr,
    path: &str,
    id: &str,
    body: String,
) -> Response {
    let headers = [("authorization", &*format!("Bearer {KEY}"))];
    call_with(http, method, to, path, id, body, &headers).await
}

async fn call_with(
    http: &HttpClient,
    method: &str,
    to: SocketAddr,
    path: &str,
    id: &str,
    body: String,
    extra_headers: &[(&str, &str)],
) -> Response {
    let mut request = Request::builder()
        .method(method)
        .version(http.version)
        .uri(format!("http://{to}{path}"))
        .header("host", HOST)
        .header("x-gatespool-request-id", id)
        .header("x-gatespool-deadline-ms", "5000");
    for (name, value) in extra_headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body.into())).expect("a request");
    let sent = Instant::now();
    let mut response = Response {
        status: 0,
        body: Vec::new(),
        is_complete: false,
        is_callers_end: false,
        sent,
        ended: sent,
    };
    let exchange = async {
        let head = match http.http.request(request).await {
            Ok(head) => head,
            Err(error) => {
                response.is_callers_end = error.is_connect();
                return;
            }
        };
        response.status = head.status().as_u16();
        let mut body = head.into_body();
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => response.body.extend(frame.data_ref().into_iter().flatten()),
                Err(_) => return,
            }
        }
        response.is_complete = true;
    };
    // On a timeout the connection is dropped, and the response stays incomplete.
    let is_timeout = tokio::time::timeout(http.timeout, exchange).await.is_err();
    response.is_callers_end |= is_timeout && http.timeout < CALL_TIMEOUT;
    response.ended = Instant::now();
    response
}

async fn read_all(http: &HttpClient, front: SocketAddr, job: &str) -> Response {
    let path = format!("/lots/{job}?since_rev=0");
    call(http, "GET", front, &path, "", String::new()).await
}

/// A stream that broke off, as its caller takes it up at other gateways.
struct BrokenStream {
    id: String,
    /// Headers of its first attempt.
    headers: Vec<(&'static str, String)>,
    /// Whether further attempts name the first one.
    is_named: bool,
    /// What arrived in all attempts.
    whole: Response,
    /// Number of attempts to take it up.
    attempts: usize,
}

impl BrokenStream {
    /// Drops what was cut off and returns the id of the last whole event; `None` if nothing is to be
    /// taken up.
    fn last_event_id(&mut self) -> Option<String> {
        let text = String::from_utf8_lossy(&self.whole.body);
        let end = text.rfind("\n\n").map_or(0, |end| end + 2);
        self.whole.body.truncate(end);
        let text = String::from_utf8_lossy(&self.whole.body);
        let last = text.lines().filter_map(|line| line.strip_prefix("id: ")).next_back();
        last.filter(|_| !self.whole.is_complete).map(str::to_owned)
    }

    /// Takes the stream up at another gateway, and waits before the next attempt. Returns the status;
    /// `None` if nothing is to be taken up.
    async fn take_up(
        &mut self,
        http: &HttpClient,
        fronts: &[SocketAddr],
        record: &Recorder,
    ) -> Option<u16> {
        let last = self.last_event_id()?;
        self.attempts += 1;
        let (id, attempt) = (&self.id, self.attempts);
        let mut headers: Vec<(&str, &str)> =
            self.headers.iter().map(|(name, value)| (*name, &**value)).collect();
        headers.push(("last-event-id", &last));
        if self.is_named {
            headers.push(("resumes", id));
        }
        let front = fronts[(attempt + last.len() + id.len()) % fronts.len()];
        let path = format!("/talk/{id}");
        let attempt_id = format!("{id}~{attempt}");
        let next = call_with(http, "POST", front, &path, &attempt_id, "x".into(), &headers).await;
        record.on_answer(&attempt_id, &next);
        record.on_taken_up(&attempt_id, next.status);
        if next.status == 200 {
            self.whole.body.extend(next.body);
            self.whole.is_complete = next.is_complete;
        } else {
            tokio::time::sleep(REQUEST_INTERVAL * 10).await;
        }
        Some(next.status)
    }

    /// Takes the stream up until it is complete or can't go on, or until long after the last fault.
    async fn take_up_persistently(
        mut self,
        http: HttpClient,
        fronts: Vec<SocketAddr>,
        record: Arc<Recorder>,
        is_over: Arc<AtomicBool>,
    ) {
        tokio::time::sleep(RETURN_DELAYS[self.id.len() % RETURN_DELAYS.len()]).await;
        let mut deadline = None;
        while let Some(status) = self.take_up(&http, &fronts, &record).await {
            let now = Instant::now();
            if deadline.is_none() && is_over.load(Ordering::Relaxed) {
                deadline = Some(now + PERSISTENCE);
            }
            if status == STREAM_GONE {
                break;
            }
            if deadline.is_some_and(|deadline| now >= deadline) {
                record.on_given_up(&self.id, status);
                break;
            }
        }
        record.on_joined(&self.id, &self.whole);
    }
}

/// Which streams that broke off a caller takes up.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Patience {
    None,
    /// All, with a few attempts each.
    Some,
    /// All, until they are complete or can't go on, beside new streams.
    Persistent,
}

/// A caller of streams.
pub struct StreamCaller {
    /// Its number.
    pub n: usize,
    /// HTTP version of its requests.
    pub version: Version,
    pub patience: Patience,
    /// Kinds of its requests in turn.
    pub kinds: &'static [&'static str],
    /// Addresses of the gateways.
    pub fronts: Vec<SocketAddr>,
    /// While set, it begins no streams.
    pub is_quiet: Arc<AtomicBool>,
}

/// Requests streams until `is_over` is set.
pub async fn send_streams(caller: StreamCaller, record: Arc<Recorder>, is_over: Arc<AtomicBool>) {
    let StreamCaller { n, version, patience, kinds, fronts, is_quiet } = caller;
    let workspace = n % STREAM_KEYS.len();
    let http = client(version);
    let mut returns = JoinSet::new();
    let mut count = 0;
    while !is_over.load(Ordering::Relaxed) {
        if is_quiet.load(Ordering::Relaxed) {
            tokio::time::sleep(REQUEST_INTERVAL).await;
            continue;
        }
        count += 1;
        let kind = kinds[count % kinds.len()];
        let id = format!("{kind}-{n}-{count}");
        // Three consecutive requests go to the same gateway, so that connections are reused.
        let front = fronts[(n + count / 3) % fronts.len()];
        let (part, tokens) = PARTS[(n + count / 2) % PARTS.len()];
        let headers = vec![
            ("authorization", format!("Bearer {}", STREAM_KEYS[workspace])),
            ("x-gatespool-model", String::from("m")),
            ("x-gatespool-prompt-prefix", format!("{part}:{tokens},{n}{count:x}:20")),
        ];
        let first_headers: Vec<(&str, &str)> =
            headers.iter().map(|(name, value)| (*name, &**value)).collect();
        let path = format!("/{kind}/{id}");
        let leaves = patience != Patience::None && count % LEAVING_EVERY == 0;
        let timeout = if leaves { LEAVES_AFTER } else { CALL_TIMEOUT };
        let first = HttpClient { timeout, ..http.clone() };
        let response =
            call_with(&first, "POST", front, &path, &id, "x".into(), &first_headers).await;
        record.on_answer(&id, &response);
        record.on_stream(kind, &id, &response);
        if kind == "talk" && response.status == 200 && !response.is_complete {
            let is_named = patience != Patience::Persistent || count % UNNAMED_EVERY != 0;
            let mut broken = BrokenStream { id, headers, is_named, whole: response, attempts: 0 };
            match patience {
                Patience::None => {}
                Patience::Some => {
                    while broken.attempts < MAX_TAKE_UPS
                        && broken.take_up(&http, &fronts, &record).await.is_some()
                    {
                    }
                    record.on_joined(&broken.id, &broken.whole);
                }
                Patience::Persistent => {
                    let (fronts, record) = (fronts.clone(), record.clone());
                    let is_over = is_over.clone();
                    let http = http.clone();
                    returns.spawn(broken.take_up_persistently(http, fronts, record, is_over));
                }
            }
        }
        let pause = if workspace < FIRST_QUIET { 1 } else { HOT_RATIO };
        tokio::time::sleep(REQUEST_INTERVAL * pause).await;
    }
    while let Some(result) = returns.join_next().await {
        result.expect("a caller that returns");
    }
}

/// Submits jobs until `is_over` is set, reads each and ends every fourth.
pub async fn submit_jobs(
    n: usize,
    fronts: Vec<SocketAddr>,
    record: Arc<Recorder>,
    is_over: Arc<AtomicBool>,
) {
    let http = client(Version::HTTP_11);
    let mut count = 0;
    while !is_over.load(Ordering::Relaxed) {
        count += 1;
        let job = format!("job-{n}-{count}");
        let item = |k: usize| {
            let id = if k == 0 { format!("{job}-poison") } else { format!("{job}-{k}") };
            json!({ "id": id, "path": format!("/batch/{id}"), "headers": {}, "body": "eA==", "tokens": 10 })
        };
        let body =
            json!({ "items": (0..ITEMS_PER_JOB).map(item).collect::<Vec<Value>>() }).to_string();
        let mut statuses = Vec::new();
        for attempt in 0..4 {
            let front = fronts[(n + count + attempt) % fronts.len()];
            let response =
                call(&http, "POST", front, &format!("/batch/{job}"), &job, body.clone()).await;
            record.on_answer(&job, &response);
            statuses.push(response.status);
            if response.status == 202 {
                break;
            }
            tokio::time::sleep(REQUEST_INTERVAL * 10).await;
        }
        record.on_submitted(&job, &statuses);
        for read in 0..6 {
            tokio::time::sleep(READ_INTERVAL).await;
            let front = fronts[(n + read) % fronts.len()];
            let response = read_all(&http, front, &job).await;
            record.on_answer(&job, &response);
            record.on_read(&job, &response);
        }
        if count % 4 == 0 {
            let front = fronts[count % fronts.len()];
            record.on_end_requested(&job);
            let path = format!("/lots/{job}");
            let response = call(&http, "DELETE", front, &path, "", String::new()).await;
            if response.status == 200 {
                record.on_end_acknowledged(&job, Instant::now());
            }
        }
    }
}

/// Reads the open jobs until every accepted job has all its results, or until `deadline`.
pub async fn read_until_complete(
    fronts: Vec<SocketAddr>,
    record: Arc<Recorder>,
    deadline: Instant,
) {
    let http = client(Version::HTTP_11);
    let mut count = 0;
    while !record.is_complete() && Instant::now() < deadline {
        for job in record.open_jobs() {
            count += 1;
            let front = fronts[count % fronts.len()];
            record.on_read(&job, &read_all(&http, front, &job).await);
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}

/// Finds out which configuration is in force at each gateway, by routes that only one version
/// has, until `is_over` is set.
pub async fn poll_versions(
    fronts: Vec<SocketAddr>,
    record: Arc<Recorder>,
    newest: Arc<std::sync::atomic::AtomicU64>,
    is_over: Arc<AtomicBool>,
) {
    let http = client(Version::HTTP_11);
    let mut count = 0;
    while !is_over.load(Ordering::Relaxed) {
        for (n, front) in fronts.iter().enumerate() {
            let newest = newest.load(Ordering::Relaxed);
            for version in newest.saturating_sub(2)..=newest {
                count += 1;
                let path = format!("/at-{version}/x");
                let id = format!("probe-{count}");
                let response = call(&http, "POST", *front, &path, &id, "x".into()).await;
                record.on_answer(&id, &response);
                if response.status == 200 {
                    record.on_version(n, version);
                }
            }
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}
