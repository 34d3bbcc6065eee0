//! A small deployment: gateways as separate processes, and stand-ins of the platform's store and
//! of runners in this one.

use crate::http::{self, Response};
use crate::store_limit::LimitedStore;
use serde_json::{Value, json};
use standin::objects::Objects;
use standin::runner::{self, Runner};
use standin::serve::{self, Server};
use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Host of all routes.
pub const HOST: &str = "shop.example";
/// Longest wait for the deployment to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Zone of each gateway and runner.
pub const ZONES: [&str; 3] = ["kirtipur-hall", "patan-hall", "bhaktapur-hall"];

/// Why a case couldn't run.
pub type Error = Box<dyn std::error::Error>;

/// A gateway process and its addresses.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    fn start(&mut self, program: &Path, dir: &Path) -> io::Result<()> {
        let path = dir.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(path)?;
        let child = bound_command(program)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _killed = child.kill();
            let _status = child.wait();
        }
    }

    /// Whether the platform would give the gateway new channels.
    pub fn is_ready(&self) -> bool {
        http::call(self.ready, "GET", "/readyz", &[("Host", "ready")], b"").status == 200
    }
}

/// A command that runs a program and, where `setpriv` is there, has it killed when this process is
/// gone, however it ends.
fn bound_command(program: &Path) -> Command {
    let probe = Command::new("setpriv").arg("--version").stdout(Stdio::null()).status();
    if !probe.is_ok_and(|status| status.success()) {
        return Command::new(program);
    }
    let mut command = Command::new("setpriv");
    command.args(["--pdeathsig", "KILL"]).arg(program);
    command
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The deployment of a case. Dropping it ends all its processes.
pub struct Fleet {
    pub objects: Objects,
    pub runners: Vec<Runner>,
    pub gateways: Vec<Gateway>,
    program: PathBuf,
    dir: PathBuf,
    platform: SocketAddr,
    peers: Vec<SocketAddr>,
    limited: Option<LimitedStore>,
    servers: Vec<Server>,
}

/// Stand-ins beside the store that a case starts itself.
pub struct Standins {
    /// Entries of the runners, by id.
    pub entries: Vec<(String, Value)>,
    /// Whether the store limits whole objects, as its pages say.
    pub limits_objects: bool,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A free loopback address.
fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind(any_port())?.local_addr()
}

/// Settings of a gateway: those of `deploy/gateway.ini` with the figures of
/// `sites/ppl-kathmandu.toml`.
fn settings(
    name: &str,
    zone: &str,
    [front, ready, peer]: [SocketAddr; 3],
    seeds: &str,
    platform: SocketAddr,
    is_first_start: bool,
) -> String {
    let regions: Vec<String> = ZONES.iter().map(|zone| format!("{zone}:valley")).collect();
    let regions = regions.join(",");
    format!(
        "[instance]\nname = {name}\nduty = gateway\ndata_centre = {zone}\nregions = {regions}\n\
         open_files = 4200\nmemory_mb = 260\nprocessor = 0.25\n\
         [front]\nlisten = {front}\nready = {ready}\n\
         [peers]\nlisten = {peer}\nseeds = {seeds}\nping_ms = 250\nsuspect_ms = 1000\n\
         [platform]\naddress = {platform}\ntimeout_ms = 700\nvalue_bytes = 1048576\n\
         {}entry_heartbeat_ms = 1200\n\
         [log]\nretention_s = 120\n[targets]\nconnect_ms = 120\n\
         [stop]\ngrace_ms = 2200\nbound_s = 8\n[quota]\nexcess = 0.1\n",
        if is_first_start { "first_start = true\n" } else { "" },
    )
}

impl Fleet {
    /// Starts the stand-ins and one gateway in each zone, with this configuration, and waits until
    /// all are ready.
    pub fn start(
        program: &Path,
        dir: &Path,
        runners: &[runner::Config],
        config: Value,
    ) -> Result<Fleet, Error> {
        let mut entries = Vec::new();
        let mut servers = Vec::new();
        let mut standins = Vec::new();
        for (n, config) in runners.iter().enumerate() {
            let runner = Runner::new(config.clone());
            let server = serve::start_process(any_port(), runner.clone(), runner.process())?;
            let entry = json!({
                "service": "llm", "addr": server.address.to_string(),
                "zone": ZONES[n % ZONES.len()], "version": "v1", "slots": config.slots,
                "state": "ready", "cold_left_ms": 0, "seq": 1,
            });
            entries.push((config.id.clone(), entry));
            servers.push(server);
            standins.push(runner);
        }
        let all = Standins { entries, limits_objects: false };
        let mut fleet = Fleet::start_with(program, dir, all, config)?;
        fleet.runners = standins;
        fleet.servers.extend(servers);
        Ok(fleet)
    }

    /// As [`Fleet::start`], with runners that the case has started.
    pub fn start_with(
        program: &Path,
        dir: &Path,
        standins: Standins,
        config: Value,
    ) -> Result<Fleet, Error> {
        let objects = Objects::default();
        let platform = serve::start(any_port(), objects.clone())?;
        let limited = match standins.limits_objects {
            true => Some(LimitedStore::start(platform.address, objects.clone())?),
            false => None,
        };
        let platform_address = limited.as_ref().map_or(platform.address, |store| store.address);
        for (id, entry) in standins.entries {
            objects.put("servers", &id, entry);
        }
        objects.put("config", "main", config);
        let mut fleet = Fleet {
            objects,
            runners: Vec::new(),
            gateways: Vec::new(),
            program: program.to_owned(),
            dir: dir.to_owned(),
            platform: platform_address,
            peers: Vec::new(),
            limited,
            servers: vec![platform],
        };
        for _ in ZONES {
            fleet.peers.push(free_address()?);
        }
        for n in 0..ZONES.len() {
            let name = format!("front-{}-1", ZONES[n]);
            let settings = dir.join(format!("{name}.ini"));
            let (front, ready) = (free_address()?, free_address()?);
            fleet.gateways.push(Gateway { name, front, ready, settings, child: None });
            fleet.write_settings(n, true)?;
        }
        for gateway in &mut fleet.gateways {
            gateway.start(&fleet.program, &fleet.dir)?;
        }
        fleet.wait_ready()?;
        Ok(fleet)
    }

    fn write_settings(&self, n: usize, is_first_start: bool) -> io::Result<()> {
        let Gateway { name, front, ready, settings: file, .. } = &self.gateways[n];
        let seeds: Vec<String> = self.peers.iter().map(SocketAddr::to_string).collect();
        let addresses = [*front, *ready, self.peers[n]];
        let text =
            settings(name, ZONES[n], addresses, &seeds.join(","), self.platform, is_first_start);
        fs::write(file, text)
    }

    /// Starts a gateway again at its addresses after its process has ended.
    pub fn restart(&mut self, n: usize) -> io::Result<()> {
        self.write_settings(n, false)?;
        let (program, dir) = (self.program.clone(), self.dir.clone());
        self.gateways[n].start(&program, &dir)
    }

    /// Waits until all gateways are ready and know each other.
    pub fn wait_ready(&self) -> Result<(), Error> {
        wait_until("all gateways are ready", READY_TIMEOUT, || {
            self.gateways.iter().all(Gateway::is_ready)
        })?;
        std::thread::sleep(Duration::from_secs(2));
        Ok(())
    }

    /// Replaces the configuration; the store's answer is the acknowledgement.
    pub fn configure(&self, config: Value) {
        self.objects.put("config", "main", config);
    }

    /// Sends a batch job to a gateway.
    pub fn submit(&self, n: usize, path: &str, job: &str, items: &[Value]) -> Response {
        let body = json!({ "items": items }).to_string();
        let headers = [
            ("Host", HOST),
            ("X-Gatespool-Request-Id", job),
            ("X-Gatespool-Deadline-Ms", "4000"),
            ("Content-Type", "application/json"),
        ];
        http::call(self.gateways[n].front, "POST", path, &headers, body.as_bytes())
    }

    /// Reads the results of a batch job at a gateway.
    pub fn results(&self, n: usize, job: &str) -> Response {
        self.results_from(n, job, 0)
    }

    /// Number of writes that the store has rejected as too large.
    pub fn rejected_writes(&self) -> u64 {
        self.limited.as_ref().map_or(0, LimitedStore::rejected)
    }

    /// Reads the results of a batch job from a position on.
    pub fn results_from(&self, n: usize, job: &str, from: usize) -> Response {
        let path = format!("/lots/{job}?since_rev={from}");
        let headers = [("Host", HOST), ("X-Gatespool-Wait-Ms", "200")];
        http::call(self.gateways[n].front, "GET", &path, &headers, b"")
    }

    /// Ends all processes.
    pub fn stop(&mut self) {
        self.gateways.iter_mut().for_each(Gateway::kill);
        self.servers.clear();
    }
}

/// Waits until a condition holds.
pub fn wait_until(
    what: &str,
    timeout: Duration,
    mut holds: impl FnMut() -> bool,
) -> Result<(), Error> {
    let started = Instant::now();
    while !holds() {
        if started.elapsed() >= timeout {
            return Err(format!("not seen within {timeout:?}: {what}").into());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// An item with a prompt of a few bytes.
pub fn item(id: &str, path: &str) -> Value {
    json!({
        "id": id, "path": path, "headers": { "X-Gatespool-Model": "m" },
        "body": "cHJvbXB0", "tokens": 100,
    })
}

/// A route of the configuration.
pub fn route(name: &str, prefix: &str, kind: &str) -> Value {
    json!({
        "name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_ms": 5000,
        "slo_ms": 300, "gap_slo_ms": 200, "priority": 0, "service": "llm", "max_attempts": 2,
        "resumable": kind == "stream",
    })
}

/// A batch route of the configuration.
pub fn batch_route(name: &str, prefix: &str) -> Value {
    let mut route = route(name, prefix, "batch");
    route["max_attempts"] = json!(3);
    route["timeout_ms"] = json!(15_000);
    route["slo_ms"] = json!(400);
    route["due_ms"] = json!(18_000);
    route["max_wait_s"] = json!(60);
    route["queue_max"] = json!(1_400_000);
    route
}

/// A configuration with these routes.
pub fn config(version: u64, routes: Vec<Value>) -> Value {
    json!({
        "version": version,
        "routes": routes,
        "services": [{
            "name": "llm", "health_path": "/healthz", "max_conns": 290,
            "engine": { "slots": 8, "kv_capacity": 72_000 },
        }],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
        },
    })
}
