//! Objects of the configuration and the rules that a change must meet.

use crate::{DataCentreId, Generation, Millis, ServiceId, TargetId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// How a service is spoken to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Protocol {
    /// Chat completions on a model engine.
    Chat,
    /// Any HTTP call below a path prefix.
    Plain,
}

/// A service level that the burn report watches.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceLevel {
    /// Class: `online` or `batch`.
    pub class: String,
    /// Limit for the first token (or the whole answer of a plain call).
    pub first_token_ms: u64,
    /// Share of requests that must be good, between 0 and 1.
    pub share: f64,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name; what callers give as `model`.
    pub name: ServiceId,
    /// How it is spoken to.
    pub protocol: Protocol,
    /// Model version that its targets should run; empty for plain services.
    #[serde(default)]
    pub version: String,
    /// Path prefix of a plain service, starting with `/`.
    #[serde(default)]
    pub prefix: String,
    /// Methods of a plain service that may be repeated.
    #[serde(default)]
    pub repeatable: Vec<String>,
    /// Deadline when the caller gives none, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u64,
    /// Online requests that may wait on one instance.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Service levels.
    #[serde(default)]
    pub levels: Vec<ServiceLevel>,
}

fn default_deadline() -> u64 {
    30_000
}

fn default_queue() -> u32 {
    64
}

/// A model version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Name.
    pub name: String,
    /// Where the weight store keeps it.
    pub weights: String,
}

/// An adapter of a model version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Name.
    pub name: String,
    /// Version it fits.
    pub version: String,
    /// Where the weight store keeps it.
    pub weights: String,
}

/// A target: a model engine or a plain service's process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name.
    pub name: TargetId,
    /// Address, an IP number and port.
    pub address: SocketAddr,
    /// Data centre it stands in.
    pub data_centre: DataCentreId,
    /// Service it is bound to.
    pub service: ServiceId,
    /// Requests it runs at once.
    pub slots: u32,
    /// Adapters it should hold.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Whether it refuses an order that carries an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
    /// An operator's order to give it no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// A rate limit of a caller; `*` is the default of all others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Caller, or `*`.
    pub caller: String,
    /// Requests a second on each instance.
    pub rate: f64,
    /// Requests at once after a pause.
    pub burst: f64,
}

/// Rates of the weight store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Loads of one service that may run at once.
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
    /// A caller's limit.
    Limit(Limit),
    /// The weight store's rates.
    Weights(Weights),
}

/// Sort of object, for deletions.
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
    /// A caller's limit.
    Limit,
}

/// An object to delete.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deletion {
    /// Its sort.
    pub sort: ObjectKind,
    /// Its name.
    pub name: String,
}

/// A change offered by an operator.
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

/// An accepted change, as the chain keeps it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigEntry {
    /// Generation that it brings into force.
    pub generation: Generation,
    /// Writer token, to know one's own write after a lost answer.
    pub token: String,
    /// Who offered it.
    pub author: String,
    /// When it was accepted.
    pub at: Millis,
    /// The change.
    pub change: Change,
}

/// Why a configuration is not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// Object at fault, such as `target/t1`.
    pub object: String,
    /// Field at fault.
    pub field: &'static str,
    /// What was expected.
    pub expected: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: field `{}`: expected {}", self.object, self.field, self.expected)
    }
}

impl std::error::Error for ValidationError {}

/// All objects in force at one generation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Generation; 0 when nothing was ever accepted.
    pub generation: Generation,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Model versions by name.
    pub versions: BTreeMap<String, Version>,
    /// Adapters by name.
    pub adapters: BTreeMap<String, Adapter>,
    /// Targets by name.
    pub targets: BTreeMap<TargetId, Target>,
    /// Limits by caller.
    pub limits: BTreeMap<String, Limit>,
    /// Rates of the weight store.
    pub weights: Option<Weights>,
}

impl Document {
    /// The document after `change`, at the next generation.
    ///
    /// # Errors
    ///
    /// The first fault found; the document is then as it was.
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
            Object::Service(o) => drop(self.services.insert(o.name.clone(), o)),
            Object::Version(o) => drop(self.versions.insert(o.name.clone(), o)),
            Object::Adapter(o) => drop(self.adapters.insert(o.name.clone(), o)),
            Object::Target(o) => drop(self.targets.insert(o.name.clone(), o)),
            Object::Limit(o) => drop(self.limits.insert(o.caller.clone(), o)),
            Object::Weights(o) => self.weights = Some(o),
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

    /// Checks every object and every reference between objects.
    ///
    /// # Errors
    ///
    /// The first fault, with its object and field.
    pub fn validate(&self) -> Result<(), ValidationError> {
        self.services.values().try_for_each(|s| self.check_service(s))?;
        self.adapters.values().try_for_each(|a| self.check_adapter(a))?;
        self.targets.values().try_for_each(|t| self.check_target(t))?;
        self.limits.values().try_for_each(check_limit)?;
        if self.weights.as_ref().is_some_and(|w| w.loads_at_once == 0) {
            return Err(fault("weights", "", "loads_at_once", "at least 1"));
        }
        Ok(())
    }

    fn check_service(&self, service: &Service) -> Result<(), ValidationError> {
        let at = |field, expected: &str| Err(fault("service", &service.name, field, expected));
        if !is_name(&service.name) {
            return at("name", "letters, digits, `-`, `_` and `.`");
        }
        if service.protocol == Protocol::Chat && !self.versions.contains_key(&service.version) {
            return at("version", "the name of a model version");
        }
        if service.protocol == Protocol::Plain && !service.prefix.starts_with('/') {
            return at("prefix", "a path that starts with `/`");
        }
        if service.prefix.starts_with("/v1/") {
            return at("prefix", "a path outside `/v1/`");
        }
        if service.levels.iter().any(|level| !(level.share > 0.0 && level.share < 1.0)) {
            return at("levels.share", "a share between 0 and 1");
        }
        Ok(())
    }

    fn check_adapter(&self, adapter: &Adapter) -> Result<(), ValidationError> {
        if self.versions.contains_key(&adapter.version) {
            return Ok(());
        }
        Err(fault("adapter", &adapter.name, "version", "the name of a model version"))
    }

    fn check_target(&self, target: &Target) -> Result<(), ValidationError> {
        let at = |field, expected: &str| Err(fault("target", &target.name, field, expected));
        if !is_name(&target.name) {
            return at("name", "letters, digits, `-`, `_` and `.`");
        }
        if target.slots == 0 {
            return at("slots", "at least 1");
        }
        let Some(service) = self.services.get(&target.service) else {
            return at("service", "the name of a service");
        };
        for name in &target.adapters {
            let fits = self.adapters.get(name).is_some_and(|a| a.version == service.version);
            if !fits {
                return at("adapters", "adapters of the service's model version");
            }
        }
        Ok(())
    }
}

fn check_limit(limit: &Limit) -> Result<(), ValidationError> {
    if limit.rate > 0.0 && limit.burst >= 1.0 {
        return Ok(());
    }
    Err(fault("limit", &limit.caller, "rate", "a rate above 0 and a burst of at least 1"))
}

fn fault(sort: &str, name: &str, field: &'static str, expected: &str) -> ValidationError {
    ValidationError { object: format!("{sort}/{name}"), field, expected: expected.into() }
}

fn is_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    !name.is_empty() && name.chars().all(allowed)
}
