//! Callers that keep sending requests on persistent connections, whatever fails.

use super::check::Recorder;
use super::returns::BrokenStream;
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
pub(super) struct HttpClient {
    http: Client<HttpConnector, Full<bytes::Bytes>>,
    version: Version,
    /// Time after which it leaves.
    timeout: Duration,
}

pub const CALL_TIMEOUT: Duration = Duration::from_secs(6);
pub(super) const REQUEST_INTERVAL: Duration = Duration::from_millis(15);
const READ_INTERVAL: Duration = Duration::from_millis(80);
/// Attempts of a patient caller to take up one stream.
const MAX_TAKE_UPS: usize = 3;
/// Of the streams of a persistent caller, each so-many-th is taken up without its name.
const UNNAMED_EVERY: usize = 3;
/// Time after which a stream is left halfway.
const LEAVES_AFTER: Duration = Duration::from_millis(120);
/// Of the requests of a caller, each so-many-th fails at its runner if some are to.
const FAILING_EVERY: usize = 13;
/// End of the ids of these requests, and the status of their runners' responses.
pub const FAILING_SUFFIX: &str = "-failing";
pub const FAILING_STATUS: u16 = 500;
/// Of the accepted jobs of a caller, each so-many-th is submitted again.
const RESUBMITTED_EVERY: usize = 3;
/// Items per job; one of them always fails.
pub const ITEMS_PER_JOB: usize = 6;

/// An HTTP response.
pub struct Response {
    /// Status code; 0 if no response arrived.
    pub status: u16,
    /// What its runner has stamped it with; `None` if it comes from a gateway.
    pub stamp: Option<String>,
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

pub(super) async fn call_with(
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
        stamp: None,
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
        let stamp = head.headers().get("x-gatespool-server-stamp");
        response.stamp = stamp.map(|stamp| String::from_utf8_lossy(stamp.as_bytes()).into_owned());
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
    // With an id, as a runner that gets the call by mistake would reject it otherwise.
    let path = format!("/lots/{job}?since_rev=0");
    call(http, "GET", front, &path, job, String::new()).await
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

/// The requests of a caller of streams.
#[derive(Clone, Copy)]
pub struct Requests {
    /// Their kinds in turn.
    kinds: &'static [&'static str],
    /// If the caller takes streams up, each so-many-th request is left halfway.
    leaving_every: usize,
    /// Whether some fail at their runners.
    has_failures: bool,
}

impl Requests {
    pub const STREAMS: Requests =
        Requests { kinds: &["ask", "talk"], leaving_every: 5, has_failures: false };
    pub const OF_ALL_KINDS: Requests =
        Requests { kinds: &["ask", "talk", "plain"], ..Requests::STREAMS };
    /// All resumable streams are left halfway, and no other ones.
    pub const OFTEN_TAKEN_UP: Requests =
        Requests { kinds: &["talk", "ask", "plain", "ask"], leaving_every: 4, has_failures: true };
}

/// A caller of streams.
pub struct StreamCaller {
    /// Its number.
    pub n: usize,
    /// HTTP version of its requests.
    pub version: Version,
    pub patience: Patience,
    pub requests: Requests,
    /// Addresses of the gateways.
    pub fronts: Vec<SocketAddr>,
    /// While set, it begins no streams.
    pub is_quiet: Arc<AtomicBool>,
}

/// Requests streams until `is_over` is set.
pub async fn send_streams(caller: StreamCaller, record: Arc<Recorder>, is_over: Arc<AtomicBool>) {
    let StreamCaller { n, version, patience, requests, fronts, is_quiet } = caller;
    let kinds = requests.kinds;
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
        let fails = requests.has_failures && count % FAILING_EVERY == 0;
        let id = format!("{kind}-{n}-{count}{}", if fails { FAILING_SUFFIX } else { "" });
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
        let leaves = patience != Patience::None && count % requests.leaving_every == 0;
        let timeout = if leaves { LEAVES_AFTER } else { CALL_TIMEOUT };
        let first = HttpClient { timeout, ..http.clone() };
        let response =
            call_with(&first, "POST", front, &path, &id, "x".into(), &first_headers).await;
        record.on_answer(&id, &response);
        record.on_stream(&id, &response);
        if kind == "talk" && response.status == 200 && !response.is_complete {
            let is_named = patience != Patience::Persistent || (n + count) % UNNAMED_EVERY != 0;
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
        let path = format!("/batch/{n}/{job}");
        let mut statuses = Vec::new();
        for attempt in 0..4 {
            let front = fronts[(n + count + attempt) % fronts.len()];
            let response = call(&http, "POST", front, &path, &job, body.clone()).await;
            record.on_answer(&job, &response);
            statuses.push(response.status);
            if response.status == 202 {
                break;
            }
            tokio::time::sleep(REQUEST_INTERVAL * 10).await;
        }
        record.on_submitted(&job, &statuses);
        if count % RESUBMITTED_EVERY == 0 && statuses.contains(&202) {
            let front = fronts[(n + count + 1) % fronts.len()];
            let response = call(&http, "POST", front, &path, &job, body).await;
            record.on_resubmitted(&job, &response);
        }
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
            let response = call(&http, "DELETE", front, &path, &job, String::new()).await;
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
                record.on_whole(&id, &response);
                if response.status == 200 {
                    record.on_version(n, version);
                }
            }
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}
