//! Settings of a daemon, read from an INI file and checked as a whole.
//!
//! Every key is known: a misspelt key is an error, because a setting that is
//! silently ignored is found out on the worst day.

mod policy;
mod source;

pub use policy::Policy;

use crate::DataCentreId;
use source::Source;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

/// What is wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// File at fault.
    pub file: String,
    /// Section at fault.
    pub section: String,
    /// Key at fault.
    pub key: String,
    /// What was expected.
    pub expected: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SettingsError { file, section, key, expected } = self;
        write!(f, "{file}: section [{section}], key `{key}`: expected {expected}")
    }
}

impl std::error::Error for SettingsError {}

/// What a process does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Serves the product's own interface.
    #[default]
    Standalone,
    /// Serves the operator's routes on a platform that keeps configuration,
    /// targets and jobs.
    Gateway,
    /// Keeps a machine that nothing has to run on: does nothing until it is
    /// stopped.
    Standby,
}

impl FromStr for Role {
    type Err = ();

    fn from_str(text: &str) -> Result<Role, ()> {
        match text {
            "own" => Ok(Role::Standalone),
            "gateway" => Ok(Role::Gateway),
            "standby" => Ok(Role::Standby),
            _ => Err(()),
        }
    }
}

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// `[instance] name`: its name, for logs and registration.
    pub name: String,
    /// `[instance] duty`: `own`, `gateway` or `standby`.
    pub role: Role,
    /// `[instance] processor`: cores that this daemon gets; it may be a part of one.
    pub cpu_cores: f64,
    /// `[instance] data_centre`: where this daemon stands.
    pub data_centre: DataCentreId,
    /// `[instance] data`: folder of the small disk, if there is one.
    pub data_dir: Option<PathBuf>,
    /// `[front] listen`: address for callers and operators.
    pub front_address: SocketAddr,
    /// `[front] ready`: address of the readiness check, if it has its own.
    pub ready_address: Option<SocketAddr>,
    /// `[front] body_limit`: most bytes of an online request.
    pub body_limit: usize,
    /// `[front] body_timeout_ms`: how long a caller may take to send a body.
    pub body_timeout: Duration,
    /// `[front] threads`: threads that serve callers.
    pub front_threads: usize,
    /// `[front] admin`: whether operators' calls are served here.
    pub admin: bool,
    /// `[peers] listen`: address for other daemons.
    pub peer_address: SocketAddr,
    /// `[peers] seeds`: daemons to ask first.
    pub seeds: Vec<SocketAddr>,
    /// `[peers] ping_ms`: time between heartbeats.
    pub heartbeat_interval: Duration,
    /// `[peers] suspect_ms`: silence after which a daemon counts as dead.
    pub suspect_timeout: Duration,
    /// `[platform] address`: the object API.
    pub platform_address: SocketAddr,
    /// `[platform] timeout_ms`: longest wait for one call.
    pub platform_timeout: Duration,
    /// `[platform] entry_heartbeat_ms`: time between the writes by which a target
    /// keeps its entry; three that are left out make it lapse.
    pub entry_heartbeat: Duration,
    /// `[platform] value_bytes`: most bytes of an object that the platform keeps.
    pub value_bytes: usize,
    /// `[platform] calls_per_second`: most calls of this daemon.
    pub platform_rate: f64,
    /// `[platform] poll_ms`: time between reads of the configuration head.
    pub platform_poll: Duration,
    /// `[log] shards`: shards of the durable log; the same on every daemon.
    pub shards: u32,
    /// `[log] commit_ms`: shortest time between two commits of a shard.
    pub commit_interval: Duration,
    /// `[log] retention_s`: how long outcomes stay readable.
    pub retention: Duration,
    /// `[log] snapshot_entries`: entries between snapshots of a shard.
    pub snapshot_entries: u64,
    /// `[batch] chunk_items`: most items of a chunk.
    pub chunk_items: usize,
    /// `[batch] claim_ms`: silence after which a chunk goes out again.
    pub claim_timeout: Duration,
    /// `[batch] report_ms`: time between progress reports of a chunk.
    pub report_interval: Duration,
    /// `[batch] attempts`: tries of an item before it fails for good.
    pub max_attempts: u32,
    /// `[batch] reserve`: slots of a target that batch leaves free.
    pub reserved_slots: u32,
    /// `[batch] enabled`: whether this daemon runs batch items.
    pub batch_enabled: bool,
    /// `[targets] subset`: most targets that one daemon polls.
    pub max_polled_targets: usize,
    /// `[targets] poll_ms`: time between load reports asked of a target.
    pub target_poll: Duration,
    /// `[targets] connect_ms`: longest wait for a connection to a target.
    pub connect_timeout: Duration,
    /// `[targets] idle_ms`: silence of a stream after which it counts as cut.
    pub stream_idle_timeout: Duration,
    /// `[orders] lease_ms`: how long a controller holds a target.
    pub controller_lease: Duration,
    /// `[orders] lifetime_ms`: how long an order may be on its way.
    pub order_lifetime: Duration,
    /// `[stop] grace_ms`: time from SIGTERM until no call is accepted.
    pub stop_grace: Duration,
    /// `[stop] bound_ms`: time from SIGTERM until exit at the latest.
    pub stop_bound: Duration,
    /// `[metrics] listen`: where metrics are served as text over HTTP.
    pub metrics_listen: Option<SocketAddr>,
    /// `[metrics] address`: where metrics go over UDP.
    pub metrics_address: Option<SocketAddr>,
    /// `[log_lines] level`: `debug`, `info`, `warning` or `error`.
    pub log_level: String,
    /// `[policy]`: what the gateway decides by.
    pub policy: Policy,
    /// `[faults] cut`: addresses this daemon treats as unreachable (tests).
    pub partition_file: Option<PathBuf>,
    /// `[faults] suspended`: a file with the milliseconds for which the machine counts as
    /// suspended so far (tests).
    pub suspension_file: Option<PathBuf>,
    /// `[faults] unguarded`: guards switched off (tests).
    pub disabled_guards: Vec<String>,
}

impl Default for Settings {
    fn default() -> Settings {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            name: String::from("local"),
            role: Role::default(),
            cpu_cores: 1.0,
            data_centre: String::from("local"),
            data_dir: None,
            front_address: any,
            ready_address: None,
            body_limit: 1 << 20,
            body_timeout: Duration::from_secs(10),
            front_threads: 2,
            admin: true,
            peer_address: any,
            seeds: Vec::new(),
            heartbeat_interval: Duration::from_millis(500),
            suspect_timeout: Duration::from_secs(3),
            platform_address: SocketAddr::from(([127, 0, 0, 1], 7700)),
            platform_timeout: Duration::from_secs(2),
            entry_heartbeat: Duration::from_millis(1_200),
            value_bytes: 1 << 20,
            platform_rate: 100.0,
            platform_poll: Duration::from_secs(2),
            shards: 8,
            commit_interval: Duration::from_millis(50),
            retention: Duration::from_secs(86_400),
            snapshot_entries: 256,
            chunk_items: 256,
            claim_timeout: Duration::from_secs(15),
            report_interval: Duration::from_secs(2),
            max_attempts: 3,
            reserved_slots: 0,
            batch_enabled: true,
            max_polled_targets: 64,
            target_poll: Duration::from_millis(500),
            connect_timeout: Duration::from_millis(500),
            stream_idle_timeout: Duration::from_secs(5),
            controller_lease: Duration::from_secs(6),
            order_lifetime: Duration::from_secs(2),
            stop_grace: Duration::from_secs(2),
            stop_bound: Duration::from_secs(30),
            metrics_listen: None,
            metrics_address: None,
            log_level: String::from("info"),
            policy: Policy::default(),
            partition_file: None,
            suspension_file: None,
            disabled_guards: Vec::new(),
        }
    }
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// The file, section and key at fault, and what was expected there.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| SettingsError {
            file: file.clone(),
            section: String::new(),
            key: String::new(),
            expected: format!("a readable file ({e})"),
        })?;
        Settings::parse(&file, &text)
    }

    /// Checks the text of a file; `file` is its name in faults.
    ///
    /// # Errors
    ///
    /// As [`Settings::read`].
    pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
        let mut source = Source::new(file, text)?;
        let mut settings = Settings::default();
        settings.fill_addresses(&mut source)?;
        settings.fill_log(&mut source)?;
        settings.fill_work(&mut source)?;
        settings.policy.fill(&mut source)?;
        source.finish()?;
        settings.check(file)?;
        Ok(settings)
    }

    fn fill_addresses(&mut self, s: &mut Source) -> Result<(), SettingsError> {
        s.text("instance", "name", &mut self.name);
        s.value("instance", "duty", "own, gateway or standby", &mut self.role)?;
        s.text("instance", "data_centre", &mut self.data_centre);
        s.value("instance", "processor", "a number of cores", &mut self.cpu_cores)?;
        s.option("instance", "data", "a path", &mut self.data_dir)?;
        s.value("front", "listen", "an IP number and port", &mut self.front_address)?;
        s.option("front", "ready", "an IP number and port", &mut self.ready_address)?;
        s.value("front", "body_limit", "a number of bytes", &mut self.body_limit)?;
        s.millis("front", "body_timeout_ms", &mut self.body_timeout)?;
        s.value("front", "threads", "a number of threads", &mut self.front_threads)?;
        s.value("front", "admin", "true or false", &mut self.admin)?;
        s.value("peers", "listen", "an IP number and port", &mut self.peer_address)?;
        s.list("peers", "seeds", "IP numbers and ports, with commas", &mut self.seeds)?;
        s.millis("peers", "ping_ms", &mut self.heartbeat_interval)?;
        s.millis("peers", "suspect_ms", &mut self.suspect_timeout)?;
        s.value("platform", "address", "an IP number and port", &mut self.platform_address)?;
        s.millis("platform", "timeout_ms", &mut self.platform_timeout)?;
        s.millis("platform", "entry_heartbeat_ms", &mut self.entry_heartbeat)?;
        s.value("platform", "value_bytes", "a whole number", &mut self.value_bytes)?;
        s.value("platform", "calls_per_second", "a number", &mut self.platform_rate)?;
        s.millis("platform", "poll_ms", &mut self.platform_poll)?;
        s.option("metrics", "listen", "an IP number and port", &mut self.metrics_listen)?;
        s.option("metrics", "address", "an IP number and port", &mut self.metrics_address)?;
        s.text("log_lines", "level", &mut self.log_level);
        s.option("faults", "cut", "a path", &mut self.partition_file)?;
        s.option("faults", "suspended", "a path", &mut self.suspension_file)?;
        s.list("faults", "unguarded", "names with commas", &mut self.disabled_guards)
    }

    fn fill_log(&mut self, s: &mut Source) -> Result<(), SettingsError> {
        s.value("log", "shards", "a number of shards", &mut self.shards)?;
        s.millis("log", "commit_ms", &mut self.commit_interval)?;
        s.seconds("log", "retention_s", &mut self.retention)?;
        s.value("log", "snapshot_entries", "a number of entries", &mut self.snapshot_entries)
    }

    fn fill_work(&mut self, s: &mut Source) -> Result<(), SettingsError> {
        s.value("batch", "chunk_items", "a number of items", &mut self.chunk_items)?;
        s.millis("batch", "claim_ms", &mut self.claim_timeout)?;
        s.millis("batch", "report_ms", &mut self.report_interval)?;
        s.value("batch", "attempts", "a number of tries", &mut self.max_attempts)?;
        s.value("batch", "reserve", "a number of slots", &mut self.reserved_slots)?;
        s.value("batch", "enabled", "true or false", &mut self.batch_enabled)?;
        s.value("targets", "subset", "a number of targets", &mut self.max_polled_targets)?;
        s.millis("targets", "poll_ms", &mut self.target_poll)?;
        s.millis("targets", "connect_ms", &mut self.connect_timeout)?;
        s.millis("targets", "idle_ms", &mut self.stream_idle_timeout)?;
        s.millis("orders", "lease_ms", &mut self.controller_lease)?;
        s.millis("orders", "lifetime_ms", &mut self.order_lifetime)?;
        s.millis("stop", "grace_ms", &mut self.stop_grace)?;
        s.millis("stop", "bound_ms", &mut self.stop_bound)?;
        s.seconds("stop", "bound_s", &mut self.stop_bound)
    }

    fn check(&self, file: &str) -> Result<(), SettingsError> {
        let rules = [
            (self.cpu_cores > 0.0, "instance", "processor", "above 0"),
            (self.shards >= 1, "log", "shards", "at least 1"),
            (self.chunk_items >= 1, "batch", "chunk_items", "at least 1"),
            (self.max_attempts >= 1, "batch", "attempts", "at least 1"),
            (self.front_threads >= 1, "front", "threads", "at least 1"),
            (self.platform_rate > 0.0, "platform", "calls_per_second", "above 0"),
            (self.value_bytes >= 1_000, "platform", "value_bytes", "at least 1000"),
            (
                self.claim_timeout > self.report_interval * 2,
                "batch",
                "claim_ms",
                "over twice report_ms",
            ),
            (self.controller_lease > self.order_lifetime, "orders", "lease_ms", "over lifetime_ms"),
            (self.stop_bound > self.stop_grace, "stop", "bound_ms", "over grace_ms"),
            (self.suspect_timeout > self.heartbeat_interval, "peers", "suspect_ms", "over ping_ms"),
        ];
        let failed = rules.iter().find(|(met, ..)| !met);
        let failed = failed.map(|(_, section, key, expected)| (*section, *key, *expected));
        let policy = self.policy.check().map(|(key, expected)| ("policy", key, expected));
        match failed.or(policy) {
            None => Ok(()),
            Some((section, key, expected)) => Err(SettingsError {
                file: file.into(),
                section: section.into(),
                key: key.into(),
                expected: expected.into(),
            }),
        }
    }

    /// Whether a guard is switched off by a test.
    pub fn is_guard_disabled(&self, guard: &str) -> bool {
        self.disabled_guards.iter().any(|name| name == guard)
    }
}
