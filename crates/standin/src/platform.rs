//! Stand-in of the platform for the product's own interface: the object store
//! with a control call, so that a trace can bring faults about over HTTP.

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

const BODY_LIMIT: usize = 64 << 10;
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
    /// Only writes are lost whose keys start so, a whole first segment.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lose_prefix: Option<String>,
    /// Keeps a copy of all objects.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub save: Option<bool>,
    /// Puts the copy back, as a restored replica would.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub restore: Option<bool>,
    /// Writes a second; more are refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub writes_per_second: Option<f64>,
}

/// The platform.
#[derive(Clone, Default)]
pub struct Platform {
    objects: Objects,
}

impl Platform {
    /// The store itself.
    pub fn objects(&self) -> &Objects {
        &self.objects
    }

    /// Sets faults and rates.
    pub fn control(&self, control: Control) {
        self.objects.change_faults(|faults| {
            faults.away = control.down.unwrap_or(faults.away);
            faults.slow = control.slow_ms.map_or(faults.slow, Duration::from_millis);
            faults.deaf = control.deaf.unwrap_or(faults.deaf);
            faults.lost = control.lose.unwrap_or(faults.lost);
            let lost_kind = control.lose_prefix.map(|prefix| key_value::object_of_key(&prefix).0);
            faults.lost_kind = lost_kind.or(faults.lost_kind.take());
        });
        if let Some(rate) = control.writes_per_second {
            self.objects.set_rate(rate);
        }
        if let Some(is_stale) = control.stale {
            self.objects.set_stale(is_stale);
        }
        if control.save == Some(true) {
            self.objects.save();
        }
        if control.restore == Some(true) {
            self.objects.restore();
        }
    }

    /// Calls counted since the start.
    pub fn counts(&self) -> Counts {
        self.objects.counts()
    }

    /// Keys below `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let (kind, _) = key_value::object_of_key(prefix);
        let names = self.objects.all(&kind).into_iter();
        let keys = names.map(|o| {
            key_value::key_of_object(&kind, o["meta"]["name"].as_str().unwrap_or_default())
        });
        keys.filter(|key| key.starts_with(prefix)).collect()
    }

    /// Value of a key.
    pub fn value(&self, key: &str) -> Option<Bytes> {
        let (kind, name) = key_value::object_of_key(key);
        key_value::decode(&self.objects.get(&kind, &name)?["spec"].to_string()).ok()
    }

    /// A target's own entry, as it writes it.
    pub fn list_target(&self, name: &str, address: SocketAddr, is_leaving: bool) {
        let state = if is_leaving { "draining" } else { "ready" };
        let entry: Value = json!({
            "service": "any", "addr": address, "zone": "any", "slots": 1, "state": state,
        });
        self.objects.put(platform::target::KIND, name, entry);
    }

    async fn control_call<B: BodyStream>(&self, mut body: B) -> Response {
        let bytes = match http::read_body(&mut body, BODY_LIMIT, BODY_WAIT).await {
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
