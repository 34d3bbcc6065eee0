//! Stand-in for the platform's object store: revisions, conditional writes and watches.

mod faults;
mod raw;

pub use faults::{Counts, Faults};

use bytes::Bytes;
use coordination::limit::TokenBucket;
use hyper::Method;
use percent_encoding::percent_decode_str;
use raw::RawTexts;
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use transport::http::{self, BodyStream, RequestHead, Response, Service};

const MAX_BODY_BYTES: usize = 8 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Longer than any test runs.
const HANG_TIME: Duration = Duration::from_secs(3_600);
const MAX_PAGE_OBJECTS: usize = 500;
/// Also the limit of an object: of its spec and its status together.
const MAX_PAGE_BYTES: usize = 1 << 20;

#[derive(Clone)]
struct Change {
    revision: u64,
    kind: String,
    object: Value,
    removed: bool,
}

type Key = (String, String);

#[derive(Default)]
struct State {
    objects: BTreeMap<Key, Value>,
    history: VecDeque<Change>,
    compacted_revision: u64,
    revision: u64,
    faults: Faults,
    counts: Counts,
    /// Objects that reads return while they are stale.
    stale_objects: Option<BTreeMap<Key, Value>>,
    snapshot: BTreeMap<Key, Value>,
    bucket: Option<TokenBucket>,
    /// Limit of spec and status together; 0 for [`MAX_PAGE_BYTES`].
    max_value_bytes: usize,
    /// Objects per page; 0 for [`MAX_PAGE_OBJECTS`].
    page_size: usize,
    /// Watches of an earlier epoch hang.
    watch_epoch: u64,
    /// The same, by kind of the watched objects.
    kind_watch_epochs: BTreeMap<String, u64>,
    raw_texts: RawTexts,
}

impl State {
    /// Objects that reads return.
    fn visible_objects(&self) -> &BTreeMap<Key, Value> {
        self.stale_objects.as_ref().unwrap_or(&self.objects)
    }

    /// Epochs of a watch of `kind` that starts now: of all watches, and of those of `kind`.
    fn watch_epochs(&self, kind: &str) -> (u64, u64) {
        (self.watch_epoch, self.kind_watch_epochs.get(kind).copied().unwrap_or_default())
    }
}

/// Handle to an object store; clones share its state.
#[derive(Clone, Default)]
pub struct Objects {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

impl Objects {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls counted since the start.
    pub fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// Current object, also while reads are stale.
    pub fn get(&self, kind: &str, name: &str) -> Option<Value> {
        self.lock().objects.get(&(kind.to_owned(), name.to_owned())).cloned()
    }

    /// Current objects of `kind`, by name.
    pub fn objects_of_kind(&self, kind: &str) -> Vec<Value> {
        let state = self.lock();
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        of_kind.map(|(_, object)| object.clone()).collect()
    }

    /// Creates an object or replaces its spec, without conditions or faults.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        let mut state = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        let status = state.objects.get(&key).map_or(Value::Null, |object| object["status"].clone());
        write_object(&mut state, key, spec, status);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Creates an object or replaces it, with a spec and a status that needn't be JSON.
    pub fn put_raw(&self, kind: &str, name: &str, spec: &[u8], status: &[u8]) {
        let mut state = self.lock();
        let [spec, status] = [spec, status].map(|text| state.raw_texts.insert(text));
        write_object(&mut state, (kind.to_owned(), name.to_owned()), spec, status);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Deletes an object if it exists, without conditions or faults.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.lock();
        if let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) {
            record_deletion(&mut state, kind.to_owned(), object, true);
        }
        drop(state);
        self.changed.notify_waiters();
    }

    fn list(&self, kind: &str, after: Option<&str>) -> Response {
        let mut state = self.lock();
        state.counts.lists += 1;
        let max_objects = if state.page_size == 0 { MAX_PAGE_OBJECTS } else { state.page_size };
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for ((of, name), object) in state.visible_objects() {
            if of != kind || after.is_some_and(|after| name.as_str() <= after) {
                continue;
            }
            bytes += state.raw_texts.encode(object).len();
            if items.len() >= max_objects || (bytes > MAX_PAGE_BYTES && !items.is_empty()) {
                has_more = true;
                break;
            }
            items.push(object.clone());
        }
        let as_of = state.revision;
        state.raw_texts.response(&json!({ "items": items, "has_more": has_more, "as_of": as_of }))
    }

    async fn watch(&self, kind: &str, from: u64, wait: Duration) -> Response {
        let watch_epoch = {
            let mut state = self.lock();
            state.counts.watches += 1;
            state.watch_epochs(kind)
        };
        let until = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            if self.lock().watch_epochs(kind) != watch_epoch {
                tokio::time::sleep(HANG_TIME).await;
            }
            {
                let state = self.lock();
                if state.faults.unavailable {
                    return http::json(503, &json!({})); // An outage ends open watches.
                }
                if from < state.compacted_revision {
                    return http::json(410, &json!({}));
                }
                let has_no_events = state.faults.no_watch_events || state.stale_objects.is_some();
                let fits = |change: &&Change| {
                    !has_no_events && change.revision > from && change.kind == kind
                };
                let show = |c: &Change| json!({ "removed": c.removed, "object": c.object.clone() });
                let events: Vec<Value> = state.history.iter().filter(fits).map(show).collect();
                if !events.is_empty() || tokio::time::Instant::now() >= until {
                    // Without events the watch must not advance.
                    let as_of = if has_no_events { from } else { state.revision };
                    return state.raw_texts.response(&json!({ "events": events, "as_of": as_of }));
                }
            }
            tokio::select! {
                () = changed => {}
                () = tokio::time::sleep_until(until) => {}
            }
        }
    }

    fn read(&self, kind: &str, name: &str, is_stale_ok: bool) -> Response {
        let mut state = self.lock();
        let counts = &mut state.counts;
        *(if is_stale_ok { &mut counts.stale_reads } else { &mut counts.reads }) += 1;
        match state.visible_objects().get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => state.raw_texts.response(object),
            None => http::json(404, &json!({})),
        }
    }

    fn write(
        &self,
        method: &Method,
        segments: &[&str],
        query_rev: Option<u64>,
        body: &[u8],
    ) -> Response {
        let size = body.len() as u64;
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let mut state = self.lock();
        state.counts.writes += 1;
        if state.bucket.as_mut().is_some_and(|bucket| bucket.try_take(Instant::now()).is_err()) {
            state.counts.rate_limited += 1;
            return http::json(429, &json!({}));
        }
        let kind = segments.first().copied().unwrap_or_default().to_owned();
        let name = match segments.get(1) {
            Some(name) => (*name).to_owned(),
            None => body["meta"]["name"].as_str().unwrap_or_default().to_owned(),
        };
        let key = (kind, name);
        let existing = state.objects.get(&key).cloned();
        let is_status = segments.get(2) == Some(&"status");
        let max_bytes =
            if state.max_value_bytes == 0 { MAX_PAGE_BYTES } else { state.max_value_bytes };
        if *method != Method::DELETE && value_bytes(existing.as_ref(), &body, is_status) > max_bytes
        {
            return http::json(413, &json!({}));
        }
        state.counts.written_bytes += size;
        state.counts.largest_write_bytes = state.counts.largest_write_bytes.max(size);
        let expected = query_rev.or(body["meta"]["rev"].as_u64());
        let response = if *method == Method::POST {
            match existing {
                Some(object) => {
                    state.counts.conflicts += 1;
                    http::json(409, &object)
                }
                None => {
                    let object = write_object(&mut state, key, body["spec"].clone(), Value::Null);
                    http::json(201, &object)
                }
            }
        } else {
            let Some(object) = existing else {
                return http::json(404, &json!({}));
            };
            if expected.is_some_and(|rev| object["meta"]["rev"] != rev) {
                state.counts.conflicts += 1;
                return http::json(409, &object);
            }
            if *method == Method::DELETE {
                state.objects.remove(&key);
                record_deletion(&mut state, key.0, object, true);
                http::json(200, &json!({}))
            } else if is_status {
                let object =
                    write_object(&mut state, key, object["spec"].clone(), body["status"].clone());
                http::json(200, &object)
            } else {
                let object =
                    write_object(&mut state, key, body["spec"].clone(), object["status"].clone());
                http::json(200, &object)
            }
        };
        drop(state);
        self.changed.notify_waiters();
        response
    }

    async fn handle(&self, head: &RequestHead, body: &[u8]) -> Response {
        let segments: Vec<String> = head.segments().into_iter().map(unescape).collect();
        let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
        let Some(("objects", path)) = segments.split_first().map(|(first, path)| (*first, path))
        else {
            return http::json(404, &json!({}));
        };
        let number = |name: &str| head.value(name).and_then(|value| value.parse::<u64>().ok());
        match (&head.method, path) {
            (&Method::GET, [kind]) => match number("watch") {
                Some(from) => {
                    let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                    self.watch(kind, from, wait).await
                }
                None => self.list(kind, head.value("since_rev").map(unescape).as_deref()),
            },
            (&Method::GET, [kind, name]) => self.read(kind, name, head.value("stale_ok").is_some()),
            (method, path) => self.write(method, path, number("rev"), body),
        }
    }
}

fn unescape(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}

/// Bytes of spec and status of an object after a write of `body`.
fn value_bytes(existing: Option<&Value>, body: &Value, is_status: bool) -> usize {
    let of_existing = |half: &str| existing.map_or(0, |object| object[half].to_string().len());
    match is_status {
        true => of_existing("spec") + body["status"].to_string().len(),
        false => body["spec"].to_string().len() + of_existing("status"),
    }
}

fn write_object(state: &mut State, key: Key, spec: Value, status: Value) -> Value {
    if let Some(existing) = state.objects.get(&key)
        && existing["spec"] == spec
        && existing["status"] == status
    {
        return existing.clone(); // A write without a change keeps the revision.
    }
    let created = state.objects.get(&key).map(|object| object["meta"]["created"].clone());
    state.revision += 1;
    let rev = state.revision;
    let meta = json!({
        "name": key.1, "rev": rev, "created": created.unwrap_or(json!(rev)),
        "finalizers": [], "deleting": false,
    });
    let object = json!({ "meta": meta, "spec": spec, "status": status });
    state.objects.insert(key.clone(), object.clone());
    state.history.push_back(Change {
        revision: rev,
        kind: key.0,
        object: object.clone(),
        removed: false,
    });
    object
}

fn record_deletion(state: &mut State, kind: String, object: Value, removed: bool) {
    state.revision += 1;
    let revision = state.revision;
    state.history.push_back(Change { revision, kind, object, removed });
}

enum WriteFault {
    None,
    ReplyLost,
    Delayed(Duration),
}

impl Service for Objects {
    async fn call<B: BodyStream>(&self, head: RequestHead, mut body: B) -> Response {
        let Ok(body) = http::read_body(&mut body, MAX_BODY_BYTES, BODY_TIMEOUT).await else {
            return http::bytes(400, "text/plain", Bytes::new());
        };
        let faults = self.lock().faults.clone();
        if faults.unresponsive {
            tokio::time::sleep(HANG_TIME).await;
        }
        if faults.unavailable {
            return http::json(503, &json!({}));
        }
        let is_read = head.method == Method::GET;
        let kind = head.segments().get(1).copied().unwrap_or_default().to_owned();
        if faults.latency_kind.as_ref().is_none_or(|delayed| *delayed == kind) {
            tokio::time::sleep(faults.latency).await;
        }
        let write_fault = if is_read { WriteFault::None } else { self.next_write_fault(&kind) };
        match write_fault {
            WriteFault::None => self.handle(&head, &body).await,
            WriteFault::ReplyLost => {
                let _response = self.handle(&head, &body).await;
                tokio::time::sleep(HANG_TIME).await;
                http::json(503, &json!({}))
            }
            WriteFault::Delayed(by) => {
                // The write takes effect even if the caller disconnects.
                let objects = self.clone();
                let task = async move {
                    tokio::time::sleep(by).await;
                    let _response = objects.handle(&head, &body).await;
                };
                drop(tokio::spawn(task));
                tokio::time::sleep(HANG_TIME).await;
                http::json(503, &json!({}))
            }
        }
    }
}

impl Objects {
    fn next_write_fault(&self, kind: &str) -> WriteFault {
        let mut state = self.lock();
        let faults = &mut state.faults;
        let kind_matches = faults.lost_replies_kind.as_ref().is_none_or(|lost| lost == kind);
        if faults.lost_replies > 0 && kind_matches {
            faults.lost_replies -= 1;
            WriteFault::ReplyLost
        } else if faults.delayed_writes > 0 {
            faults.delayed_writes -= 1;
            WriteFault::Delayed(faults.write_delay)
        } else {
            WriteFault::None
        }
    }
}
