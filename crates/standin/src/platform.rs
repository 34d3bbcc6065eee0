//! Stand-in of the platform: object API, list of instances, control call.

use bytes::Bytes;
use hyper::Method;
use protocol::{Error, Kind};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use transport::http::{self, BodyStream, Head, Response, Service};
use transport::platform::VERSION;
use transport::store::{Changes, Listed};

/// Most bytes of a value.
pub const MAX_VALUE: usize = 1 << 20;

const BODY_WAIT: Duration = Duration::from_secs(10);

/// Faults and rates, set by the control call; fields left out stay as they are.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Every call fails.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub down: Option<bool>,
    /// Delay of every call, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slow_ms: Option<u64>,
    /// Watches bring nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deaf: Option<bool>,
    /// Reads and lists show the state of this moment, writes go on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stale: Option<bool>,
    /// Answers of this many writes are lost after they took effect.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lose: Option<u32>,
    /// Only writes whose key starts so are lost.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lose_prefix: Option<String>,
    /// Keeps a copy of all objects.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub save: Option<bool>,
    /// Puts the copy back, as a restored replica would.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub restore: Option<bool>,
    /// The list of instances and targets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub listed: Option<Vec<Listed>>,
    /// Writes a second; more are refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub writes_per_second: Option<f64>,
}

/// Calls counted by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads of one object.
    pub reads: u64,
    /// Writes and deletions.
    pub writes: u64,
    /// Lists.
    pub lists: u64,
    /// Watches.
    pub watches: u64,
    /// Writes refused by their condition.
    pub conflicts: u64,
    /// Bytes written.
    pub bytes: u64,
    /// Largest value written.
    pub largest: u64,
    /// Calls refused for the rate.
    pub limited: u64,
}

type Objects = BTreeMap<String, (u64, Bytes)>;

#[derive(Default)]
struct State {
    objects: Objects,
    old: Option<Objects>,
    saved: Objects,
    revision: u64,
    log: Vec<(u64, String)>,
    control: Control,
    counts: Counts,
    bucket: Option<coordination::limit::Bucket>,
}

/// The platform.
#[derive(Clone, Default)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

impl Platform {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets faults and rates.
    pub fn control(&self, control: Control) {
        let mut state = self.lock();
        state.control.down = control.down.or(state.control.down);
        state.control.slow_ms = control.slow_ms.or(state.control.slow_ms);
        state.control.deaf = control.deaf.or(state.control.deaf);
        state.control.lose = control.lose.or(state.control.lose);
        state.control.lose_prefix = control.lose_prefix.or(state.control.lose_prefix.take());
        state.control.listed = control.listed.or(state.control.listed.take());
        if let Some(rate) = control.writes_per_second {
            state.bucket = Some(coordination::limit::Bucket::new(rate, rate, Instant::now()));
        }
        if let Some(stale) = control.stale {
            state.old = stale.then(|| state.objects.clone());
        }
        if control.save == Some(true) {
            state.saved = state.objects.clone();
        }
        if control.restore == Some(true) {
            state.objects = state.saved.clone();
        }
    }

    /// Calls counted since the start.
    pub fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// Keys below `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.lock();
        state.objects.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Value of an object.
    pub fn value(&self, key: &str) -> Option<Bytes> {
        self.lock().objects.get(key).map(|(_, value)| value.clone())
    }

    fn read(&self, key: &str) -> Response {
        let mut state = self.lock();
        state.counts.reads += 1;
        let objects = state.old.as_ref().unwrap_or(&state.objects);
        match objects.get(key) {
            None => http::error(&Error::new(Kind::NotFound, key)),
            Some((version, value)) => {
                let mut response = http::bytes(200, "application/octet-stream", value.clone());
                http::set(&mut response, VERSION, &version.to_string());
                response
            }
        }
    }

    fn write(&self, key: &str, head: &Head, value: Option<Bytes>) -> Response {
        let mut state = self.lock();
        state.counts.writes += 1;
        let over = state.bucket.as_mut().is_some_and(|b| b.take(Instant::now()).is_err());
        if over {
            state.counts.limited += 1;
            return http::error(&Error::new(Kind::CallerLimit, "over the rate"));
        }
        let current = state.objects.get(key).map(|(version, _)| *version);
        let absent = head.header("if-none-match") == "*";
        let wanted: Option<u64> = head.header("if-match").parse().ok();
        if (absent && current.is_some()) || (wanted.is_some() && wanted != current) {
            state.counts.conflicts += 1;
            return http::error(&Error::new(Kind::StaleRevision, key));
        }
        state.revision += 1;
        let revision = state.revision;
        match value {
            None => drop(state.objects.remove(key)),
            Some(value) => {
                state.counts.bytes += value.len() as u64;
                state.counts.largest = state.counts.largest.max(value.len() as u64);
                state.objects.insert(key.to_owned(), (revision, value));
            }
        }
        state.log.push((revision, key.to_owned()));
        let lost = state.take_lost(key);
        drop(state);
        self.changed.notify_waiters();
        if lost {
            return http::error(&Error::new(Kind::Internal, "the answer is lost"));
        }
        let mut response = http::bytes(200, "text/plain", Bytes::new());
        http::set(&mut response, VERSION, &revision.to_string());
        response
    }

    fn list(&self, head: &Head) -> Response {
        let mut state = self.lock();
        state.counts.lists += 1;
        let prefix = head.value("prefix").unwrap_or_default();
        let after = head.value("after").unwrap_or_default();
        let most = head.value("limit").and_then(|n| n.parse().ok()).unwrap_or(1000);
        let objects = state.old.as_ref().unwrap_or(&state.objects);
        let found = objects.keys().filter(|key| key.starts_with(prefix) && key.as_str() > after);
        http::json(200, &found.take(most).collect::<Vec<_>>())
    }

    async fn watch(&self, head: &Head) -> Response {
        self.lock().counts.watches += 1;
        let prefix = head.value("prefix").unwrap_or_default().to_owned();
        let since: u64 = head.value("since").and_then(|n| n.parse().ok()).unwrap_or(0);
        let wait = head.value("wait_ms").and_then(|n| n.parse().ok()).unwrap_or(1000);
        let end = tokio::time::Instant::now() + Duration::from_millis(wait);
        loop {
            let notified = self.changed.notified();
            let changes = self.changes(&prefix, since);
            if !changes.keys.is_empty() {
                return http::json(200, &changes);
            }
            if tokio::time::timeout_at(end, notified).await.is_err() {
                return http::json(200, &Changes { revision: since, keys: Vec::new() });
            }
        }
    }

    fn changes(&self, prefix: &str, since: u64) -> Changes {
        let state = self.lock();
        if state.control.deaf == Some(true) || state.old.is_some() {
            return Changes { revision: since, keys: Vec::new() };
        }
        let fresh = state.log.iter().rev().take_while(|(revision, _)| *revision > since);
        let keys = fresh.filter(|(_, key)| key.starts_with(prefix)).map(|(_, key)| key.clone());
        Changes { revision: state.revision, keys: keys.collect() }
    }
}

impl State {
    fn take_lost(&mut self, key: &str) -> bool {
        let prefix = self.control.lose_prefix.as_deref().unwrap_or_default();
        let left = self.control.lose.unwrap_or(0);
        let lost = left > 0 && key.starts_with(prefix);
        if lost {
            self.control.lose = Some(left - 1);
        }
        lost
    }
}

impl Service for Platform {
    async fn call<B: BodyStream>(&self, head: Head, mut body: B) -> Response {
        let body = match http::read(&mut body, MAX_VALUE, BODY_WAIT).await {
            Ok(body) => body,
            Err(error) => return http::error(&error),
        };
        if let Some(response) = self.control_call(&head, &body) {
            return response;
        }
        let (down, slow) = {
            let state = self.lock();
            (state.control.down == Some(true), state.control.slow_ms.unwrap_or(0))
        };
        if slow > 0 {
            tokio::time::sleep(Duration::from_millis(slow)).await;
        }
        if down {
            return http::bytes(503, "text/plain", Bytes::from_static(b"down"));
        }
        let key = head.path.strip_prefix("/objects/").unwrap_or_default();
        match (&head.method, head.path.as_str()) {
            (&Method::GET, "/list") => self.list(&head),
            (&Method::GET, "/watch") => self.watch(&head).await,
            (&Method::GET, "/instances") => {
                let listed = self.lock().control.listed.clone();
                http::json(200, &listed.unwrap_or_default())
            }
            (&Method::GET, _) if !key.is_empty() => self.read(key),
            (&Method::PUT, _) if !key.is_empty() => self.write(key, &head, Some(body)),
            (&Method::DELETE, _) if !key.is_empty() => self.write(key, &head, None),
            _ => http::error(&Error::new(Kind::UnknownPath, head.path)),
        }
    }
}

impl Platform {
    fn control_call(&self, head: &Head, body: &[u8]) -> Option<Response> {
        match (&head.method, head.path.as_str()) {
            (&Method::POST, "/control") => match serde_json::from_slice(body) {
                Ok(control) => {
                    self.control(control);
                    Some(http::json(200, &self.counts()))
                }
                Err(error) => Some(http::error(&Error::new(Kind::Malformed, error.to_string()))),
            },
            (&Method::GET, "/counts") => Some(http::json(200, &self.counts())),
            _ => None,
        }
    }
}
