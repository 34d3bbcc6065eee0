//! The platform over HTTP, and the duty through which all its calls go.
//!
//! One thread makes every call of a daemon, under one budget: the platform
//! counts calls, and a daemon that retried on each thread by itself would meet
//! an outage with a flood.

use crate::cut::Cut;
use crate::ring::{self, Answer, Drain, Ring};
use crate::store::{Changes, Condition, Fault, Listed, Object, Store, Version};
use bytes::Bytes;
use coordination::limit::Bucket;
use http_body_util::{BodyExt, Full};
use hyper::header::{IF_MATCH, IF_NONE_MATCH};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// Header with an object's version.
pub const VERSION: &str = "x-version";

const CAPACITY: usize = 4096;

/// Where the platform is and how much it may be asked.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address of the object API.
    pub address: SocketAddr,
    /// Longest wait for one call.
    pub timeout: Duration,
    /// Most calls a second.
    pub rate: f64,
    /// Cuts of a test.
    pub cut: Cut,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            address: SocketAddr::from(([127, 0, 0, 1], 7700)),
            timeout: Duration::from_secs(2),
            rate: 100.0,
            cut: Cut::default(),
        }
    }
}

/// Calls made and failed, for metrics.
#[derive(Debug, Default)]
pub struct Counts {
    /// Calls made.
    pub calls: AtomicU64,
    /// Calls that failed otherwise than by their condition.
    pub failed: AtomicU64,
}

/// The adaptor that speaks HTTP.
#[derive(Clone)]
pub struct HttpStore {
    client: Client<HttpConnector, Full<Bytes>>,
    config: Config,
}

impl HttpStore {
    /// An adaptor; it connects when it is first called.
    pub fn new(config: Config) -> HttpStore {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(config.timeout / 2));
        let client =
            Client::builder(TokioExecutor::new()).pool_timer(TokioTimer::new()).build(connector);
        HttpStore { client, config }
    }

    async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(StatusCode, Version, Bytes), Fault> {
        if self.config.cut.is_cut(self.config.address, Instant::now()) {
            return Err(Fault::Away("cut off".into()));
        }
        match tokio::time::timeout(limit, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err(Fault::Lost(format!("no answer in {limit:?}"))),
        }
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Version, Bytes), Fault> {
        let response = self.client.request(request).await.map_err(|error| {
            let text = error.to_string();
            if error.is_connect() { Fault::Away(text) } else { Fault::Lost(text) }
        })?;
        let status = response.status();
        let version = response.headers().get(VERSION).and_then(|v| v.to_str().ok()?.parse().ok());
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| Fault::Lost(error.to_string()))?.to_bytes();
        match status {
            StatusCode::TOO_MANY_REQUESTS => Err(Fault::Away("over the platform's rate".into())),
            s if s.is_server_error() => Err(Fault::Lost(format!("status {s}"))),
            s => Ok((s, version.unwrap_or(0), body)),
        }
    }

    fn request(&self, method: Method, path: &str) -> hyper::http::request::Builder {
        let uri = format!("http://{}{path}", self.config.address);
        Request::builder().method(method).uri(uri)
    }

    async fn read(
        &self,
        path: &str,
        limit: Duration,
    ) -> Result<(StatusCode, Version, Bytes), Fault> {
        let request = self.request(Method::GET, path).body(Full::default());
        self.call(request.map_err(|e| Fault::Away(e.to_string()))?, limit).await
    }
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, Fault> {
    serde_json::from_slice(body).map_err(|error| Fault::Lost(error.to_string()))
}

impl Store for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, Fault> {
        let (status, version, value) =
            self.read(&format!("/objects/{key}"), self.config.timeout).await?;
        match status {
            StatusCode::OK => Ok(Some(Object { version, value })),
            StatusCode::NOT_FOUND => Ok(None),
            other => Err(Fault::Lost(format!("status {other}"))),
        }
    }

    async fn put(&self, key: &str, value: Bytes, condition: Condition) -> Result<Version, Fault> {
        let builder = self.request(Method::PUT, &format!("/objects/{key}"));
        let builder = match condition {
            Condition::Absent => builder.header(IF_NONE_MATCH, "*"),
            Condition::Version(version) => builder.header(IF_MATCH, version.to_string()),
            Condition::Any => builder,
        };
        let request = builder.body(Full::new(value)).map_err(|e| Fault::Away(e.to_string()))?;
        let (status, version, body) = self.call(request, self.config.timeout).await?;
        match status {
            StatusCode::OK | StatusCode::CREATED => Ok(version),
            StatusCode::PRECONDITION_FAILED => Err(Fault::Conflict),
            other => {
                let text = String::from_utf8_lossy(&body);
                Err(Fault::Away(format!("status {other}: {text}")))
            }
        }
    }

    async fn delete(&self, key: &str) -> Result<(), Fault> {
        let request =
            self.request(Method::DELETE, &format!("/objects/{key}")).body(Full::default());
        let request = request.map_err(|e| Fault::Away(e.to_string()))?;
        self.call(request, self.config.timeout).await.map(|_| ())
    }

    async fn list(&self, prefix: &str, after: &str, most: usize) -> Result<Vec<String>, Fault> {
        let path = format!("/list?prefix={prefix}&after={after}&limit={most}");
        parse(&self.read(&path, self.config.timeout).await?.2)
    }

    async fn watch(&self, prefix: &str, revision: u64, wait: Duration) -> Result<Changes, Fault> {
        let path = format!("/watch?prefix={prefix}&since={revision}&wait_ms={}", wait.as_millis());
        parse(&self.read(&path, wait + self.config.timeout).await?.2)
    }

    async fn instances(&self) -> Result<Vec<Listed>, Fault> {
        parse(&self.read("/instances", self.config.timeout).await?.2)
    }
}

enum Call {
    Get(String, Answer<Result<Option<Object>, Fault>>),
    Put(String, Bytes, Condition, Answer<Result<Version, Fault>>),
    Delete(String, Answer<Result<(), Fault>>),
    List(String, String, usize, Answer<Result<Vec<String>, Fault>>),
    Watch(String, u64, Duration, Answer<Result<Changes, Fault>>),
    Instances(Answer<Result<Vec<Listed>, Fault>>),
}

/// The platform as other duties see it.
#[derive(Clone)]
pub struct Handle {
    ring: Ring<Call>,
    limit: Duration,
    counts: Arc<Counts>,
}

impl Handle {
    async fn ask<T>(
        &self,
        limit: Duration,
        call: impl FnOnce(Answer<Result<T, Fault>>) -> Call,
    ) -> Result<T, Fault> {
        self.counts.calls.fetch_add(1, Ordering::Relaxed);
        let result = match self.ring.call(limit, call).await {
            Ok(result) => result,
            Err(error) if error.kind == protocol::Kind::Undetermined => {
                Err(Fault::Lost(error.message))
            }
            Err(error) => Err(Fault::Away(error.message)),
        };
        if matches!(result, Err(Fault::Away(_) | Fault::Lost(_))) {
            self.counts.failed.fetch_add(1, Ordering::Relaxed);
        }
        result
    }

    /// Calls made and failed.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }
}

impl Store for Handle {
    async fn get(&self, key: &str) -> Result<Option<Object>, Fault> {
        self.ask(self.limit, |answer| Call::Get(key.into(), answer)).await
    }

    async fn put(&self, key: &str, value: Bytes, condition: Condition) -> Result<Version, Fault> {
        self.ask(self.limit, |answer| Call::Put(key.into(), value, condition, answer)).await
    }

    async fn delete(&self, key: &str) -> Result<(), Fault> {
        self.ask(self.limit, |answer| Call::Delete(key.into(), answer)).await
    }

    async fn list(&self, prefix: &str, after: &str, most: usize) -> Result<Vec<String>, Fault> {
        self.ask(self.limit, |answer| Call::List(prefix.into(), after.into(), most, answer)).await
    }

    async fn watch(&self, prefix: &str, revision: u64, wait: Duration) -> Result<Changes, Fault> {
        let limit = wait + self.limit;
        self.ask(limit, |answer| Call::Watch(prefix.into(), revision, wait, answer)).await
    }

    async fn instances(&self) -> Result<Vec<Listed>, Fault> {
        self.ask(self.limit, Call::Instances).await
    }
}

/// The duty's own end: run it on a thread of its own.
pub struct Duty {
    calls: Drain<Call>,
    config: Config,
}

/// A handle for the other duties, and the duty itself.
pub fn duty(config: Config) -> (Handle, Duty) {
    let (ring, calls) = ring::ring("platform", CAPACITY);
    // The handle waits longer than one call may take, so that the call's own
    // verdict (sent or not) arrives before the handle gives up on it.
    let limit = config.timeout * 2;
    (Handle { ring, limit, counts: Arc::default() }, Duty { calls, config })
}

impl Duty {
    /// Makes calls until `stop`.
    pub async fn run(mut self, stop: CancellationToken) {
        let store = HttpStore::new(self.config.clone());
        let rate = self.config.rate;
        let mut bucket = Bucket::new(rate, rate.max(1.0), Instant::now());
        loop {
            let call = tokio::select! {
                call = self.calls.recv() => call,
                () = stop.cancelled() => None,
            };
            let Some(call) = call else {
                return;
            };
            while let Err(wait) = bucket.take(Instant::now()) {
                tokio::time::sleep(wait).await;
            }
            tokio::spawn(perform(store.clone(), call));
        }
    }
}

async fn perform(store: HttpStore, call: Call) {
    // A caller that no longer waits for its answer is no fault.
    match call {
        Call::Get(key, answer) => drop(answer.send(store.get(&key).await)),
        Call::Put(key, value, condition, answer) => {
            drop(answer.send(store.put(&key, value, condition).await));
        }
        Call::Delete(key, answer) => drop(answer.send(store.delete(&key).await)),
        Call::List(prefix, after, most, answer) => {
            drop(answer.send(store.list(&prefix, &after, most).await));
        }
        Call::Watch(prefix, revision, wait, answer) => {
            drop(answer.send(store.watch(&prefix, revision, wait).await));
        }
        Call::Instances(answer) => drop(answer.send(store.instances().await)),
    }
}
