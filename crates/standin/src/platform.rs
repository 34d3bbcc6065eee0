//! Stand-in for the platform: the object store with a control call for injecting faults over HTTP.

use crate::objects::{Counts, Objects};
use bytes::Bytes;
use hyper::Method;
use platform::key_value;
use protocol::{Error, Kind};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use transport::http::{self, BodyStream, RequestHead, Response, Service};

const MAX_BODY_BYTES: usize = 64 << 10;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Body of the control call; absent fields leave their fault unchanged.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Fails every call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "down")]
    pub unavailable: Option<bool>,
    /// Delay of every call, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "slow_ms")]
    pub latency_ms: Option<u64>,
    /// Watches return no events.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "deaf")]
    pub no_watch_events: Option<bool>,
    /// Freezes what reads and lists return; writes work.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "stale")]
    pub stale_reads: Option<bool>,
    /// Number of writes that take effect without a response.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "lose")]
    pub lost_replies: Option<u32>,
    /// Restricts `lost_replies` to keys with this prefix; only its first segment counts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "lose_prefix")]
    pub lost_replies_prefix: Option<String>,
    /// Saves a copy of all objects.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "save")]
    pub save_snapshot: Option<bool>,
    /// Restores the saved copy.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "restore")]
    pub restore_snapshot: Option<bool>,
    /// Rate limit; writes above it are rejected.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub writes_per_second: Option<f64>,
}

/// Handle to a platform; clones share its state.
#[derive(Clone, Default)]
pub struct Platform {
    objects: Objects,
}

impl Platform {
    /// Its object store.
    pub fn objects(&self) -> &Objects {
        &self.objects
    }

    /// Applies `control`.
    pub fn control(&self, control: Control) {
        self.objects.change_faults(|faults| {
            faults.unavailable = control.unavailable.unwrap_or(faults.unavailable);
            faults.latency = control.latency_ms.map_or(faults.latency, Duration::from_millis);
            faults.no_watch_events = control.no_watch_events.unwrap_or(faults.no_watch_events);
            faults.lost_replies = control.lost_replies.unwrap_or(faults.lost_replies);
            let lost_replies_kind =
                control.lost_replies_prefix.map(|prefix| key_value::object_of_key(&prefix).0);
            faults.lost_replies_kind = lost_replies_kind.or(faults.lost_replies_kind.take());
        });
        if let Some(rate) = control.writes_per_second {
            self.objects.set_write_rate(rate);
        }
        if let Some(is_stale) = control.stale_reads {
            self.objects.set_stale_reads(is_stale);
        }
        if control.save_snapshot == Some(true) {
            self.objects.save_snapshot();
        }
        if control.restore_snapshot == Some(true) {
            self.objects.restore_snapshot();
        }
    }

    /// Calls counted since the start.
    pub fn counts(&self) -> Counts {
        self.objects.counts()
    }

    /// Keys that start with `prefix`, which must contain the full first segment.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let (kind, _) = key_value::object_of_key(prefix);
        let names = self.objects.objects_of_kind(&kind).into_iter();
        let keys = names.map(|o| {
            key_value::key_of_object(&kind, o["meta"]["name"].as_str().unwrap_or_default())
        });
        keys.filter(|key| key.starts_with(prefix)).collect()
    }

    /// Decoded value of a key; `None` if it is absent or undecodable.
    pub fn value(&self, key: &str) -> Option<Bytes> {
        let (kind, name) = key_value::object_of_key(key);
        key_value::decode(&self.objects.get(&kind, &name)?["spec"].to_string()).ok()
    }

    /// Writes the registry entry of a target, as the target itself does.
    pub fn put_target(&self, name: &str, address: SocketAddr, is_leaving: bool) {
        let state = if is_leaving { "draining" } else { "ready" };
        let entry: Value = json!({
            "service": "any", "addr": address, "zone": "any", "slots": 1, "state": state,
        });
        self.objects.put(platform::target::KIND, name, entry);
    }

    async fn control_call<B: BodyStream>(&self, mut body: B) -> Response {
        let bytes = match http::read_body(&mut body, MAX_BODY_BYTES, BODY_TIMEOUT).await {
            Ok(bytes) => bytes,
            Err(error) => return http::error(&error),
        };
        match serde_json::from_slice(&bytes) {
            Ok(control) => {
                self.control(control);
                http::json(200, &self.counts())
            }
            Err(error) => http::error(&Error::new(Kind::Malformed, error.to_string())),
        }
    }
}

impl Service for Platform {
    async fn call<B: BodyStream>(&self, head: RequestHead, body: B) -> Response {
        match (&head.method, head.path.as_str()) {
            (&Method::POST, "/control") => self.control_call(body).await,
            (&Method::GET, "/counts") => http::json(200, &self.counts()),
            _ => self.objects.call(head, body).await,
        }
    }
}
