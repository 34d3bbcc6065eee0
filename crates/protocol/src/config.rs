//! Configuration objects and the validation of changes.

use crate::{DataCentreId, Generation, Millis, ServiceId, TargetId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// Protocol between callers, instances and the targets of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Protocol {
    /// Chat completions, served by a model engine.
    Chat,
    /// Arbitrary HTTP requests below a path prefix.
    Plain,
}

/// A service level objective; the burn-rate report tracks it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceLevel {
    /// Request class: `online` or `batch`.
    pub class: String,
    /// Latency objective for the first token, or for the complete response of a plain service.
    pub first_token_ms: u64,
    /// Share of requests that must meet the objective, between 0 and 1.
    pub share: f64,
}

/// A service: a model or a plain HTTP service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name; callers give it as `model`.
    pub name: ServiceId,
    /// Protocol of its targets.
    pub protocol: Protocol,
    /// Model version that its targets should run; empty for a plain service.
    #[serde(default)]
    pub version: String,
    /// Path prefix of a plain service; starts with `/`.
    #[serde(default)]
    pub prefix: String,
    /// HTTP methods of a plain service that may run more than once.
    #[serde(default)]
    pub repeatable: Vec<String>,
    /// Deadline in milliseconds of requests that carry none; 30000 by default.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Maximum number of queued online requests on one instance; 64 by default.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Service level objectives.
    #[serde(default)]
    pub levels: Vec<ServiceLevel>,
}

fn default_deadline_ms() -> u64 {
    30_000
}

fn default_queue() -> u32 {
    64
}

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Unique name among the model versions.
    pub name: String,
    /// Location of its weights in the weight store.
    pub weights: String,
}

/// An adapter of a model version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Unique name among the adapters.
    pub name: String,
    /// Model version that it adapts.
    pub version: String,
    /// Location of its weights in the weight store.
    pub weights: String,
}

/// A target: a model engine or a process of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Unique name among the targets.
    pub name: TargetId,
    /// IP address and port of its HTTP interface.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Service that it runs.
    pub service: ServiceId,
    /// Maximum number of concurrent requests; at least 1.
    pub slots: u32,
    /// Adapters that it should have loaded.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Whether it rejects orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fence: bool,
    /// Set by an operator so that it gets no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// Rate limit of a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Name of the caller, or `*` for all callers without a limit of their own.
    pub caller: String,
    /// Requests per second on each instance.
    pub rate: f64,
    /// Maximum burst, in requests; at least 1.
    pub burst: f64,
}

/// Limits on the use of the weight store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Maximum number of concurrent weight loads of one service.
    pub loads_at_once: u32,
}

/// One object of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "object", rename_all = "snake_case")]
pub enum Object {
    /// A service.
    Service(Service),
    /// A model version.
    Version(Version),
    /// An adapter.
    Adapter(Adapter),
    /// A target.
    Target(Target),
    /// A caller's rate limit.
    Limit(Limit),
    /// Limits on the use of the weight store.
    Weights(Weights),
}

/// Kind of an object to delete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// A service.
    Service,
    /// A model version.
    Version,
    /// An adapter.
    Adapter,
    /// A target.
    Target,
    /// A caller's rate limit.
    Limit,
}

/// An object to delete.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deletion {
    /// Kind of the object.
    pub sort: ObjectKind,
    /// Name of the object; the caller's name for a rate limit.
    pub name: String,
}

/// A change submitted by an operator; deletions are applied first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Objects to create or replace.
    #[serde(default)]
    pub put: Vec<Object>,
    /// Objects to delete.
    #[serde(default)]
    pub delete: Vec<Deletion>,
}

/// An accepted change, as stored in the append-only log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigEntry {
    /// Generation of the configuration after the change.
    pub generation: Generation,
    /// Unique token by which a writer recognises its own write if the response was lost.
    pub token: String,
    /// Operator who submitted the change.
    pub author: String,
    /// Time of acceptance.
    pub at: Millis,
    /// The accepted change.
    pub change: Change,
}

/// Why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// Kind and name of the invalid object, such as `target/t1`.
    pub object: String,
    /// Name of the invalid field.
    pub field: &'static str,
    /// Description of a valid value.
    pub expected: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: field `{}`: expected {}", self.object, self.field, self.expected)
    }
}

impl std::error::Error for ValidationError {}

/// All objects of the configuration at one generation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Generation; 0 before the first accepted change.
    pub generation: Generation,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Model versions by name.
    pub versions: BTreeMap<String, Version>,
    /// Adapters by name.
    pub adapters: BTreeMap<String, Adapter>,
    /// Targets by name.
    pub targets: BTreeMap<TargetId, Target>,
    /// Rate limits by caller.
    pub limits: BTreeMap<String, Limit>,
    /// Limits on the use of the weight store, if set.
    pub weights: Option<Weights>,
}

impl Document {
    /// Returns the document after `change`, at the next generation.
    ///
    /// # Errors
    ///
    /// The first validation error of the new document.
    pub fn with_change(&self, change: &Change) -> Result<Document, ValidationError> {
        let mut next = self.clone();
        for deletion in &change.delete {
            next.delete(deletion);
        }
        for object in &change.put {
            next.put(object.clone());
        }
        next.generation += 1;
        next.validate()?;
        Ok(next)
    }

    fn put(&mut self, object: Object) {
        match object {
            Object::Service(object) => drop(self.services.insert(object.name.clone(), object)),
            Object::Version(object) => drop(self.versions.insert(object.name.clone(), object)),
            Object::Adapter(object) => drop(self.adapters.insert(object.name.clone(), object)),
            Object::Target(object) => drop(self.targets.insert(object.name.clone(), object)),
            Object::Limit(object) => drop(self.limits.insert(object.caller.clone(), object)),
            Object::Weights(object) => self.weights = Some(object),
        }
    }

    fn delete(&mut self, deletion: &Deletion) {
        match deletion.sort {
            ObjectKind::Service => drop(self.services.remove(&deletion.name)),
            ObjectKind::Version => drop(self.versions.remove(&deletion.name)),
            ObjectKind::Adapter => drop(self.adapters.remove(&deletion.name)),
            ObjectKind::Target => drop(self.targets.remove(&deletion.name)),
            ObjectKind::Limit => drop(self.limits.remove(&deletion.name)),
        }
    }

    /// Checks all objects and the references between them.
    ///
    /// # Errors
    ///
    /// The first validation error.
    pub fn validate(&self) -> Result<(), ValidationError> {
        self.services.values().try_for_each(|s| self.check_service(s))?;
        self.adapters.values().try_for_each(|a| self.check_adapter(a))?;
        self.targets.values().try_for_each(|t| self.check_target(t))?;
        self.limits.values().try_for_each(check_limit)?;
        if self.weights.as_ref().is_some_and(|w| w.loads_at_once == 0) {
            return Err(invalid("weights", "", "loads_at_once", "at least 1"));
        }
        Ok(())
    }

    fn check_service(&self, service: &Service) -> Result<(), ValidationError> {
        let fail = |field, expected: &str| Err(invalid("service", &service.name, field, expected));
        if !is_name(&service.name) {
            return fail("name", "letters, digits, `-`, `_` and `.`");
        }
        if service.protocol == Protocol::Chat && !self.versions.contains_key(&service.version) {
            return fail("version", "the name of a model version");
        }
        if service.protocol == Protocol::Plain && !service.prefix.starts_with('/') {
            return fail("prefix", "a path that starts with `/`");
        }
        if service.prefix.starts_with("/v1/") {
            return fail("prefix", "a path outside `/v1/`");
        }
        if service.levels.iter().any(|level| !(level.share > 0.0 && level.share < 1.0)) {
            return fail("levels.share", "a share between 0 and 1");
        }
        Ok(())
    }

    fn check_adapter(&self, adapter: &Adapter) -> Result<(), ValidationError> {
        if self.versions.contains_key(&adapter.version) {
            return Ok(());
        }
        Err(invalid("adapter", &adapter.name, "version", "the name of a model version"))
    }

    fn check_target(&self, target: &Target) -> Result<(), ValidationError> {
        let fail = |field, expected: &str| Err(invalid("target", &target.name, field, expected));
        if !is_name(&target.name) {
            return fail("name", "letters, digits, `-`, `_` and `.`");
        }
        if target.slots == 0 {
            return fail("slots", "at least 1");
        }
        let Some(service) = self.services.get(&target.service) else {
            return fail("service", "the name of a service");
        };
        for name in &target.adapters {
            let is_compatible =
                self.adapters.get(name).is_some_and(|a| a.version == service.version);
            if !is_compatible {
                return fail("adapters", "adapters of the service's model version");
            }
        }
        Ok(())
    }
}

fn check_limit(limit: &Limit) -> Result<(), ValidationError> {
    if limit.rate > 0.0 && limit.burst >= 1.0 {
        return Ok(());
    }
    Err(invalid("limit", &limit.caller, "rate", "a rate above 0 and a burst of at least 1"))
}

fn invalid(kind: &str, name: &str, field: &'static str, expected: &str) -> ValidationError {
    ValidationError { object: format!("{kind}/{name}"), field, expected: expected.into() }
}

fn is_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    !name.is_empty() && name.chars().all(allowed)
}
