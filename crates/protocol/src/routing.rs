//! Routes from requests to services, and the targets of a service.
//!
//! Independent of the format in which the platform stores them; the `platform`
//! crate decodes that format into these types.
//!
//! ```
//! use protocol::routing::{Route, Table};
//!
//! let route = Route { host: "a.example".into(), prefix: "/chat/".into(), ..Route::default() };
//! let table = Table { routes: vec![route], ..Table::default() };
//! assert!(table.route_for("a.example", "/chat/7").is_some());
//! assert!(table.route_for("a.example", "/other/").is_none());
//! ```

use crate::workspace::Directory;
use crate::{DataCentreId, Millis, RegionId, ServiceId, SoftwareVersion, TargetId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Version of the operator's configuration; increases with gaps.
pub type Version = u64;

/// How the requests of a route are run and answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Class {
    /// A single response; the request may run more than once.
    Repeatable,
    /// A single response; the request runs at most once for each call.
    #[default]
    #[serde(rename = "Once")]
    AtMostOnce,
    /// A stream of events.
    Stream,
    /// Jobs of many items that run asynchronously.
    Batch,
}

/// Time and size limits of a batch route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchTerms {
    /// Time from the first submission until all results are due.
    pub due: Duration,
    /// Time from the submission after which unfinished items may be dropped.
    #[serde(rename = "give_up")]
    pub expire_after: Duration,
    /// Maximum number of queued tokens on the route over all instances, for each workspace if
    /// there are any; 0 for no limit.
    #[serde(rename = "waiting_tokens")]
    pub max_queued_tokens: u64,
}

/// Maps requests of a host and path prefix to services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Unique name, used in metrics.
    pub name: String,
    /// Value of the `Host` header, compared without case.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// How the requests are run and answered.
    pub class: Class,
    /// Maximum time in which a request is served.
    pub timeout: Duration,
    /// Latency objective of the complete response, or of a stream's first event.
    pub objective: Duration,
    /// Maximum time between events of a stream that meets its objective.
    #[serde(rename = "gap")]
    pub max_event_gap: Duration,
    /// Time without an event after which callers abandon a stream, also before
    /// the first event; `None` if they wait until their deadline.
    #[serde(rename = "silence")]
    pub caller_idle_timeout: Option<Duration>,
    /// Priority; 0 is the highest.
    #[serde(rename = "rank")]
    pub priority: u32,
    /// Services with their relative weights.
    pub services: Vec<(ServiceId, u32)>,
    /// Maximum number of targets to which one call is sent.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Whether an interrupted stream may be resumed at another target.
    pub resumable: bool,
    /// Whether the prompts of its requests share parts.
    #[serde(default)]
    pub shares_prompts: bool,
    /// Whether requests need no API key.
    #[serde(default)]
    pub is_public: bool,
    /// Regions in which requests may be served and stored; empty for all.
    #[serde(default)]
    pub allowed_regions: Vec<RegionId>,
    /// Limits of a batch route; `None` for other classes.
    #[serde(rename = "terms")]
    pub batch: Option<BatchTerms>,
}

impl Default for Route {
    fn default() -> Route {
        Route {
            name: String::new(),
            host: String::new(),
            prefix: String::from("/"),
            class: Class::default(),
            timeout: Duration::from_secs(30),
            objective: Duration::from_secs(1),
            max_event_gap: Duration::from_secs(1),
            caller_idle_timeout: None,
            priority: 0,
            services: Vec::new(),
            max_attempts: 1,
            resumable: false,
            shares_prompts: false,
            is_public: false,
            allowed_regions: Vec::new(),
            batch: None,
        }
    }
}

impl Route {
    /// Whether a request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.class {
            Class::Repeatable | Class::Batch => true,
            Class::AtMostOnce => false,
            Class::Stream => self.resumable,
        }
    }

    /// Selects a service by weight from a uniformly distributed `random`.
    pub fn service(&self, random: u64) -> Option<&ServiceId> {
        let total: u64 = self.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        if total == 0 {
            return self.services.first().map(|(name, _)| name);
        }
        let mut remaining = random % total;
        for (name, weight) in &self.services {
            let weight = u64::from(*weight);
            if remaining < weight {
                return Some(name);
            }
            remaining -= weight;
        }
        None
    }
}

/// Configuration of a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Unique name.
    pub name: ServiceId,
    /// Path of the health check of its targets.
    pub health_path: String,
    /// Maximum number of connections to one target from all clients together.
    #[serde(rename = "connections")]
    pub max_connections: u32,
    /// Maximum number of concurrent requests at one target; 0 if unspecified.
    pub slots: u32,
    /// Tokens that a target keeps in memory, of prompts and of what it generates; 0 if unspecified.
    #[serde(default)]
    pub memory_tokens: u64,
    /// How its targets copy what they keep of prompts from each other; `None` if they can't.
    #[serde(default)]
    pub transfer: Option<Transfer>,
    /// How its targets behave while they are cold; `None` if they need no care.
    #[serde(default)]
    pub cold: Option<Cold>,
}

/// How the targets of a service copy the memory of prompts from each other.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transfer {
    /// Memory of a token, in bytes.
    pub token_bytes: f64,
    /// Bandwidth of a target's link, in bytes a second.
    pub bandwidth: f64,
}

impl Transfer {
    /// Time to copy the memory of a token.
    pub fn token_time_s(&self) -> f64 {
        self.token_bytes / self.bandwidth.max(f64::MIN_POSITIVE)
    }
}

/// How the targets of a service behave after they have started.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cold {
    /// How long a target is cold after it has started.
    pub period: Duration,
    /// Requests a second that a cold target bears.
    pub rate: f64,
}

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum time in which a caller sends the request head.
    #[serde(rename = "head_time")]
    pub head_timeout: Duration,
    /// Maximum time between requests on a connection.
    #[serde(rename = "idle")]
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Routes, services and limits of one configuration version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Version of the configuration.
    pub version: Version,
    /// All routes, in no particular order.
    pub routes: Vec<Route>,
    /// All services to which routes may refer.
    pub services: Vec<Service>,
    /// Limits on the requests of callers.
    pub limits: Limits,
    /// Workspaces and their API keys; `None` if requests need no keys.
    pub workspaces: Option<Directory>,
}

impl Table {
    /// Finds the route of `host` with the longest prefix that matches `path`.
    pub fn route_for(&self, host: &str, path: &str) -> Option<&Route> {
        let host_routes = self.routes.iter().filter(|route| route.host.eq_ignore_ascii_case(host));
        let matching = host_routes.filter(|route| path.starts_with(&route.prefix));
        matching.max_by_key(|route| route.prefix.len())
    }

    /// Finds the batch route of a job that was submitted at `path` of `host`, where other routes may
    /// have been added since: the one with the `name` that it had then, else the one with the longest
    /// prefix that matches.
    pub fn batch_route_for(&self, host: &str, path: &str, name: &str) -> Option<&Route> {
        let of_host = self.batch_routes(host);
        let matching = of_host.filter(|route| path.starts_with(&route.prefix));
        matching.max_by_key(|route| (route.name == name, route.prefix.len()))
    }

    /// Batch routes of a host.
    pub fn batch_routes(&self, host: &str) -> impl Iterator<Item = &Route> {
        let of_host = |route: &&Route| route.host.eq_ignore_ascii_case(host);
        self.routes.iter().filter(move |route| route.class == Class::Batch).filter(of_host)
    }

    /// Finds the configuration of a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// A target in the platform's registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Id; survives restarts of the target.
    pub id: TargetId,
    /// Start time in Unix milliseconds; 0 if unknown.
    #[serde(rename = "born")]
    pub started_at: Millis,
    /// Service that it runs.
    pub service: ServiceId,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it has announced that it is leaving.
    pub leaving: bool,
    /// Revision of its registry entry; increases.
    pub revision: u64,
    /// Milliseconds for which it was still cold when it wrote its entry; 0 if it was warm.
    #[serde(default, skip_serializing_if = "is_zero", rename = "cold_ms")]
    pub cold_left_ms: Millis,
    /// Version of the software that it runs; `None` if its entry states none, or from an earlier
    /// build.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareVersion>,
}

/// Maximum of [`Target::slots`]; sums over all targets can't overflow.
pub const MAX_SLOTS: u32 = 1 << 16;
/// Maximum of [`Target::cold_left_ms`]: 30 days.
pub const MAX_COLD_LEFT_MS: Millis = 30 * 86_400_000;
/// Maximum bytes of each text of a target, so that many fit in a message.
pub const MAX_TARGET_TEXT_BYTES: usize = 1 << 10;

impl Target {
    /// Whether all numbers and texts are within their bounds.
    pub fn is_within_bounds(&self) -> bool {
        let texts = [&self.id, &self.service, &self.data_centre];
        let mut texts = texts.into_iter().chain(&self.software);
        self.slots <= MAX_SLOTS
            && self.cold_left_ms <= MAX_COLD_LEFT_MS
            && texts.all(|text| text.len() <= MAX_TARGET_TEXT_BYTES)
    }

    /// Whether another entry under the same id is of the same start of the target, as far as they
    /// tell: a process keeps its software version.
    pub fn is_same_start(&self, other: &Target) -> bool {
        let is_same_version = match (&self.software, &other.software) {
            (Some(version), Some(other)) => version == other,
            _ => true,
        };
        self.started_at == other.started_at && is_same_version
    }
}

/// What began a stream. The outputs of two software versions don't fit together, so a stream goes
/// on only at targets of the service and the version by which it began.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// Service of the target.
    pub service: ServiceId,
    /// Version of the target's software; `None` if unknown.
    pub software: Option<SoftwareVersion>,
}

fn is_zero(value: &Millis) -> bool {
    *value == 0
}
