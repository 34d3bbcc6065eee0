//! A cluster of daemons with stand-ins for the platform and the targets.

use super::client::{self, Response};
use super::daemon::Daemon;
use super::wait_until;
use serde_json::{Value, json};
use standin::engine::{Config, Engine};
use standin::plain::PlainService;
use standin::platform::{Control, Platform};
use standin::serve::{self, Server};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

/// Data centres, assigned to daemons and targets in turn.
pub const DATA_CENTRES: [&str; 3] = ["kirtipur-hall", "patan-hall", "bhaktapur-hall"];

/// What [`Cluster::start`] starts.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of engines.
    pub engines: usize,
    /// Behaviour of each engine.
    pub engine: Config,
    /// Additional settings, as `section.key = value`.
    pub settings: Vec<String>,
    /// Guards to disable, to see the test fail; `GATESPOOL_UNGUARDED` by default, so that the
    /// test needn't be changed for it.
    pub disabled_guards: String,
    /// Number of data centres; all three by default.
    pub data_centres: usize,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            daemons: 3,
            engines: 3,
            engine: Config::default(),
            settings: Vec::new(),
            disabled_guards: std::env::var("GATESPOOL_UNGUARDED").unwrap_or_default(),
            data_centres: 3,
        }
    }
}

/// Daemons and stand-ins of one test.
pub struct Cluster {
    pub platform: Platform,
    pub platform_address: SocketAddr,
    pub engines: Vec<Engine>,
    pub engine_addresses: Vec<SocketAddr>,
    /// Target of the service with the plain protocol.
    pub plain: PlainService,
    pub daemons: Vec<Daemon>,
    pub plan: Plan,
    /// Directory of the test's files.
    pub dir: PathBuf,
    started_daemons: usize,
    servers: Vec<Server>,
}

static DIR_COUNT: AtomicU32 = AtomicU32::new(0);

/// Settings with short timeouts, so that expiries don't slow the tests.
const SETTINGS: &[&str] = &[
    "peers.ping_ms = 100",
    "peers.suspect_ms = 600",
    "platform.timeout_ms = 500",
    "platform.calls_per_second = 5000",
    "platform.poll_ms = 300",
    "log.shards = 4",
    "log.commit_ms = 10",
    "batch.claim_ms = 2000",
    "batch.report_ms = 200",
    "batch.chunk_items = 16",
    "targets.poll_ms = 100",
    "targets.idle_ms = 2000",
    "orders.lease_ms = 1500",
    "orders.lifetime_ms = 300",
    "stop.grace_ms = 300",
    "stop.bound_ms = 15000",
    "log_lines.level = debug",
];

impl Cluster {
    /// Starts all that `plan` names and applies a configuration for it.
    #[track_caller]
    pub fn start(plan: Plan) -> Cluster {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let number = DIR_COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("{}-{number}", std::process::id());
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&dir).expect("a directory");
        let platform = Platform::default();
        let plain = PlainService::default();
        let mut servers = vec![
            serve::start(any_port, platform.clone()).expect("the platform"),
            serve::start(any_port, plain.clone()).expect("the plain service"),
        ];
        let engines: Vec<Engine> =
            (0..plan.engines).map(|_| Engine::new(plan.engine.clone())).collect();
        let engine_servers =
            engines.iter().map(|e| serve::start(any_port, e.clone()).expect("an engine"));
        servers.extend(engine_servers);
        let engine_addresses = servers[2..].iter().map(|r| r.address).collect();
        let platform_address = servers[0].address;
        let mut cluster = Cluster {
            platform,
            platform_address,
            engines,
            engine_addresses,
            plain,
            daemons: Vec::new(),
            plan,
            dir,
            started_daemons: 0,
            servers,
        };
        for _ in 0..cluster.plan.daemons {
            let daemon = cluster.start_daemon();
            cluster.daemons.push(daemon);
        }
        cluster.daemons.iter().for_each(Daemon::wait_ready);
        cluster.wait_members();
        let change = cluster.initial_change();
        let response = cluster.apply(0, 0, &change);
        assert_eq!(response.status, 200, "configuration rejected: {response:?}");
        cluster.wait_generation(1);
        cluster
    }

    /// Starts one more daemon, in the next data centre.
    #[track_caller]
    pub fn start_daemon(&mut self) -> Daemon {
        let data_centre = DATA_CENTRES[self.started_daemons % self.plan.data_centres];
        self.start_daemon_in(data_centre, "")
    }

    /// Starts one more daemon in `data_centre`, with additional settings.
    #[track_caller]
    pub fn start_daemon_in(&mut self, data_centre: &str, extra_settings: &str) -> Daemon {
        let seeds: Vec<String> = self.daemons.iter().map(|d| d.peer_address.to_string()).collect();
        let mut lines: Vec<String> = SETTINGS.iter().map(ToString::to_string).collect();
        lines.push(format!("instance.data_centre = {data_centre}"));
        lines.push(format!("platform.address = {}", self.platform_address));
        lines.push(format!("peers.seeds = {}", seeds.join(", ")));
        lines.push(String::from("front.listen = 127.0.0.1:0"));
        lines.push(String::from("peers.listen = 127.0.0.1:0"));
        if !self.plan.disabled_guards.is_empty() {
            lines.push(format!("faults.unguarded = {}", self.plan.disabled_guards));
        }
        lines.extend(self.plan.settings.iter().cloned());
        lines.extend(extra_settings.lines().map(str::to_owned));
        self.started_daemons += 1;
        let name = format!("daemon-{}", self.started_daemons);
        Daemon::start(&self.dir, &name, &ini(&lines))
    }

    /// Configuration change that adds the services and targets of this cluster.
    pub fn initial_change(&self) -> Value {
        let target = |number: usize, at: &SocketAddr| {
            json!({
                "object": "target", "name": format!("t{number}"), "address": at.to_string(),
                "data_centre": DATA_CENTRES[number % self.plan.data_centres], "service": "pustak-llm",
                "slots": self.plan.engine.slots, "checks_fence": self.plan.engine.checks_fencing_token,
            })
        };
        let mut put = vec![
            json!({ "object": "version", "name": "v1", "weights": "w/v1" }),
            json!({ "object": "version", "name": "v2", "weights": "w/v2" }),
            json!({
                "object": "service", "name": "pustak-llm", "protocol": "chat", "version": "v1",
                "levels": [{ "class": "online", "first_token_ms": 760, "share": 0.95 }],
            }),
            json!({
                "object": "service", "name": "offers", "protocol": "plain", "prefix": "/offers",
                "repeatable": ["GET"],
            }),
            json!({
                "object": "target", "name": "p0", "address": self.servers[1].address.to_string(),
                "data_centre": DATA_CENTRES[0], "service": "offers", "slots": 64,
            }),
        ];
        put.extend(self.engine_addresses.iter().enumerate().map(|(n, at)| target(n, at)));
        json!({ "put": put })
    }

    /// Submits a configuration change, based on `revision`, to a daemon.
    pub fn apply(&self, daemon: usize, revision: u64, change: &Value) -> Response {
        let body = json!({ "revision": revision, "author": "test", "change": change });
        client::post(self.daemons[daemon].front_address, "/v1/config", &[], &body)
    }

    /// Waits until every daemon considers all daemons alive.
    #[track_caller]
    pub fn wait_members(&self) {
        let all = self.daemons.len();
        wait_until("all members are alive", || {
            self.daemons.iter().all(|d| d.alive_members() == all)
        });
    }

    /// Waits until this or a later generation is in force on every daemon.
    #[track_caller]
    pub fn wait_generation(&self, generation: u64) {
        wait_until("the generation is in force", || {
            self.daemons.iter().all(|d| d.generation() >= generation)
        });
    }

    /// Injects faults into the platform.
    pub fn set_platform_faults(&self, control: Control) {
        self.platform.control(control);
    }

    /// Takes the platform down or brings it back.
    pub fn set_platform_down(&self, is_down: bool) {
        self.platform.control(Control { unavailable: Some(is_down), ..Control::default() });
    }

    /// Runs of all engines.
    pub fn runs(&self) -> Vec<standin::engine::Run> {
        self.engines.iter().flat_map(Engine::runs).collect()
    }

    /// Submits a job without a due time.
    pub fn submit(&self, daemon: usize, key: &str, items: &[Value]) -> Response {
        self.submit_due(daemon, key, items, 0)
    }

    /// Submits a job with a due time in Unix milliseconds; 0 for none.
    pub fn submit_due(&self, daemon: usize, key: &str, items: &[Value], due: u64) -> Response {
        let mut lines = vec![json!({ "service": "pustak-llm", "due": due }).to_string()];
        lines.extend(items.iter().map(Value::to_string));
        let headers = [("idempotency-key", key)];
        let front = self.daemons[daemon].front_address;
        client::call("POST", front, "/v1/jobs", &headers, lines.join("\n"))
    }

    /// Status of a job according to one daemon; null if it doesn't know.
    pub fn status(&self, daemon: usize, job: &str) -> Value {
        let response = self.daemons[daemon].get(&format!("/v1/jobs/{job}"));
        if response.status == 200 { response.json() } else { Value::Null }
    }

    /// Waits until a job is in `phase` and returns its status.
    #[track_caller]
    pub fn wait_job(&self, daemon: usize, job: &str, phase: &str) -> Value {
        let deadline = std::time::Instant::now() + super::WAIT_TIMEOUT;
        loop {
            let status = self.status(daemon, job);
            if status["phase"] == phase {
                return status;
            }
            let in_time = std::time::Instant::now() < deadline;
            assert!(in_time, "the job isn't {phase}: {status}\n{}", self.describe());
            std::thread::sleep(std::time::Duration::from_millis(10));
        }
    }

    /// State of all daemons and engines for a failure message; writes the log to a file.
    fn describe(&self) -> String {
        let describe_daemon = |daemon: &Daemon| {
            let body = |path| String::from_utf8_lossy(&daemon.get(path).body).into_owned();
            format!("{}\n{}\n{}\n", body("/v1/status"), body("/v1/instances"), body("/v1/targets"))
        };
        let running: Vec<[u32; 2]> = self.engines.iter().map(Engine::running).collect();
        let daemons: String = self.daemons.iter().map(describe_daemon).collect();
        let log_path = self.dir.join("log.json");
        let entries = self.platform.keys("log/").into_iter().map(|key| {
            let value = self.platform.value(&key).unwrap_or_default();
            format!("{key} {}\n", String::from_utf8_lossy(&value))
        });
        drop(std::fs::write(log_path, entries.collect::<String>()));
        format!("{daemons}running {running:?}, files in {}", self.dir.display())
    }

    /// All results of a job, read page by page from one daemon.
    #[track_caller]
    pub fn results(&self, daemon: usize, job: &str) -> Vec<Value> {
        let mut all = Vec::new();
        let mut from = 0;
        loop {
            let path = format!("/v1/jobs/{job}/results?from={from}&limit=500");
            let page = super::wait_for("a page of results", || {
                let response = self.daemons[daemon].get(&path);
                (response.status == 200).then(|| response.json())
            });
            all.extend(page["results"].as_array().cloned().unwrap_or_default());
            match page["next"].as_u64() {
                Some(next) => from = next,
                None => return all,
            }
        }
    }
}

/// Groups `section.key = value` lines by section; a later line replaces an earlier one.
fn ini(lines: &[String]) -> String {
    let mut sections: Vec<(String, Vec<String>)> = Vec::new();
    for line in lines {
        let (name, value) = line.split_once('=').expect("section.key = value");
        let (section, key) = name.trim().split_once('.').expect("section.key");
        let line = format!("{key} = {}", value.trim());
        let at = sections.iter().position(|(known, _)| known == section);
        match at {
            Some(at) => {
                let same_key = |old: &String| old.starts_with(&format!("{key} ="));
                sections[at].1.retain(|old| !same_key(old));
                sections[at].1.push(line);
            }
            None => sections.push((section.to_owned(), vec![line])),
        }
    }
    let text = sections.iter().map(|(s, lines)| format!("[{s}]\n{}\n", lines.join("\n")));
    text.collect()
}

/// `count` job items, whose prompts start with `prompt`.
pub fn items(prompt: &str, count: usize) -> Vec<Value> {
    (0..count).map(|i| json!({ "prompt": format!("{prompt} {i}") })).collect()
}
