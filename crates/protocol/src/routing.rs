//! Which requests go to which service, and the targets that run them.
//!
//! These are the project's own types for a configuration that an operator keeps
//! on the platform. The adapter decodes the platform's form into them; nothing
//! here knows that form, and nothing here decides.
//!
//! ```
//! use protocol::routing::{Route, Table};
//!
//! let route = Route { host: "a.example".into(), prefix: "/chat/".into(), ..Route::default() };
//! let table = Table { routes: vec![route], ..Table::default() };
//! assert!(table.find("a.example", "/chat/7").is_some());
//! assert!(table.find("a.example", "/other/").is_none());
//! ```

use crate::{DataCentreId, Millis, ServiceId, TargetId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Version of the operator's configuration; later ones are higher, with gaps.
pub type Version = u64;

/// How a route's requests may be handled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Class {
    /// One answer; running the request again does no harm.
    Repeatable,
    /// One answer; the request runs once for each call at most.
    #[default]
    #[serde(rename = "Once")]
    AtMostOnce,
    /// A series of events.
    Stream,
    /// Jobs of many items that run later.
    Batch,
}

/// Terms of a batch route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchTerms {
    /// Time from the first submission in which every result is due.
    pub due: Duration,
    /// Time after which an item may be given up.
    #[serde(rename = "give_up")]
    pub expire_after: Duration,
    /// Most tokens that may wait on the route over all instances; 0 is no limit.
    pub waiting_tokens: u64,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Value of the `Host` header.
    pub host: String,
    /// What the path begins with; begins and ends with a slash.
    pub prefix: String,
    /// How its requests may be handled.
    pub class: Class,
    /// Longest time a request is held.
    pub timeout: Duration,
    /// Latency objective: the whole answer, or the first event of a stream.
    pub objective: Duration,
    /// Longest pause between events that keeps a stream within its objective.
    #[serde(rename = "gap")]
    pub max_event_gap: Duration,
    /// Silence after which callers leave a stream, its first event included;
    /// `None` if they wait as long as they said.
    #[serde(rename = "silence")]
    pub caller_idle_timeout: Option<Duration>,
    /// Rank; 0 is the most urgent.
    #[serde(rename = "rank")]
    pub priority: u32,
    /// Services with their weights; the weights need not add up to anything.
    pub services: Vec<(ServiceId, u32)>,
    /// Most targets that one call may be sent to.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Whether a stream that broke may go on at another target.
    pub resumable: bool,
    /// Terms of a batch route.
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
            batch: None,
        }
    }
}

impl Route {
    /// Whether running a request twice does no harm.
    pub fn is_repeatable(&self) -> bool {
        match self.class {
            Class::Repeatable | Class::Batch => true,
            Class::AtMostOnce => false,
            Class::Stream => self.resumable,
        }
    }

    /// The service for a draw in 0..=`u64::MAX`, by weight.
    pub fn service(&self, draw: u64) -> Option<&ServiceId> {
        let total: u64 = self.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        if total == 0 {
            return self.services.first().map(|(name, _)| name);
        }
        let mut place = draw % total;
        for (name, weight) in &self.services {
            let weight = u64::from(*weight);
            if place < weight {
                return Some(name);
            }
            place -= weight;
        }
        None
    }
}

/// What the configuration says of a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// Path of its health check.
    pub health_path: String,
    /// Most connections that one target takes from all callers together.
    pub connections: u32,
    /// Requests that one target works on at once; 0 when the configuration
    /// doesn't tell.
    pub slots: u32,
}

/// What callers are held to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub head_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time to send a head.
    #[serde(rename = "head_time")]
    pub head_timeout: Duration,
    /// Longest rest of a connection between requests.
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

/// The whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// Its version.
    pub version: Version,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// What callers are held to.
    pub limits: Limits,
}

impl Table {
    /// The route of a request: of the host's routes, the one with the longest
    /// prefix of the path.
    pub fn route_for(&self, host: &str, path: &str) -> Option<&Route> {
        let of_host = self.routes.iter().filter(|route| route.host.eq_ignore_ascii_case(host));
        let fits = of_host.filter(|route| path.starts_with(&route.prefix));
        fits.max_by_key(|route| route.prefix.len())
    }

    /// What is said of a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// A target as the platform's registry shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Its id; it may start again under it.
    pub id: TargetId,
    /// Its start, in milliseconds since the Unix epoch; 0 if it doesn't tell.
    #[serde(rename = "born")]
    pub started_at: Millis,
    /// Service it runs.
    pub service: ServiceId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it has announced that it leaves.
    pub leaving: bool,
    /// Revision of its entry; later ones are higher.
    pub revision: u64,
}
