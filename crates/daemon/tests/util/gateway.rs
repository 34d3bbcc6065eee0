//! A fleet of gateway processes with stand-ins for the platform and the targets.

pub mod changes;
mod entries;
pub mod routes;

use super::client::{self, Response};
use super::daemon::Daemon;
use super::port::ReservedPort;
use super::proxy::Proxy;
use super::{wait_for, wait_until};
use entries::runner_entry;
use serde_json::{Value, json};
use standin::objects::Objects;
use standin::runner::{self, Run, Runner};
use standin::serve::{self, Server};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

/// Host name of all routes.
pub const HOST: &str = "a.example";

static DIR_COUNT: AtomicU32 = AtomicU32::new(0);

/// What [`Fleet::start`] starts.
pub struct Plan {
    /// Data centre of each gateway.
    pub gateways: Vec<&'static str>,
    /// Data centre and configuration of each runner.
    pub runners: Vec<(&'static str, runner::Config)>,
    /// Maximum number of attempts on the resumable route.
    pub max_attempts: u32,
    /// Maximum number of queued tokens on the batch route; 0 for no limit.
    pub max_queued_tokens: u64,
    /// Workspaces of the configuration in its stored form; null for none.
    pub workspaces: Value,
    /// Regions of the batch route and of the plain one; empty for all.
    pub allowed_regions: Vec<&'static str>,
    /// Requests a second that a cold runner bears; 0 if runners are never cold.
    pub cold_rate: f64,
    /// Tokens that a runner keeps, by the configuration; 0 if it names none, and no route says that
    /// its prompts share parts.
    pub memory_tokens: u64,
    /// Program of an earlier build: gateways start with it, and change the build whenever they
    /// are restarted.
    pub earlier_build: Option<PathBuf>,
    /// Additional settings, as `section.key = value`.
    pub settings: Vec<String>,
}

impl Default for Plan {
    fn default() -> Plan {
        let runner = |n: u32| runner::Config { id: format!("r{n}"), ..runner::Config::default() };
        Plan {
            gateways: vec!["east", "east", "west"],
            runners: vec![("east", runner(0)), ("west", runner(1))],
            max_attempts: 2,
            max_queued_tokens: 0,
            workspaces: Value::Null,
            allowed_regions: Vec::new(),
            cold_rate: 0.0,
            memory_tokens: 0,
            earlier_build: None,
            settings: Vec::new(),
        }
    }
}

/// Gateways and stand-ins of one test.
pub struct Fleet {
    /// Objects of the platform.
    pub objects: Objects,
    pub runners: Vec<Runner>,
    /// Addresses at which the gateways reach the runners.
    pub runner_addresses: Vec<SocketAddr>,
    pub gateways: Vec<Daemon>,
    /// Directory of settings and logs.
    pub dir: PathBuf,
    plan: Plan,
    /// Number of starts of each gateway.
    starts: Vec<AtomicU32>,
    platform_addresses: Vec<SocketAddr>,
    /// Ports of the gateways, which they keep over restarts.
    ports: Vec<ReservedPort>,
    _servers: Vec<Server>,
}

/// Loopback address with a port that the system chooses.
fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Fleet {
    /// Starts the fleet, configures it and waits until every gateway is ready.
    #[track_caller]
    pub fn start(plan: Plan) -> Fleet {
        let fleet = Fleet::start_unconfigured(plan);
        fleet.configure(7);
        fleet.wait_ready();
        fleet
    }

    /// Starts the fleet without a configuration.
    #[track_caller]
    pub fn start_unconfigured(plan: Plan) -> Fleet {
        Fleet::start_behind_proxies(plan, |address| address)
    }

    /// Starts the fleet without a configuration. `proxy` maps the address of the platform
    /// (once for each gateway) and of each runner to the one that the gateways use.
    #[track_caller]
    pub fn start_behind_proxies(
        plan: Plan,
        mut proxy: impl FnMut(SocketAddr) -> SocketAddr,
    ) -> Fleet {
        let number = DIR_COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("gatespool-gateway-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).expect("a directory");
        let objects = Objects::default();
        let platform = serve::start(any_port(), objects.clone()).expect("the platform");
        let platform_addresses = plan.gateways.iter().map(|_| proxy(platform.address)).collect();
        let mut servers = vec![platform];
        let mut runners = Vec::new();
        let mut runner_addresses = Vec::new();
        for (data_centre, config) in &plan.runners {
            let runner = Runner::new(config.clone());
            let server = serve::start_process(any_port(), runner.clone(), runner.process())
                .expect("a runner");
            let address = proxy(server.address);
            objects.put(
                "servers",
                &config.id,
                runner_entry(address, data_centre, &runner, config.slots, "ready"),
            );
            runner_addresses.push(address);
            servers.push(server);
            runners.push(runner);
        }
        let mut fleet = Fleet {
            objects,
            runners,
            runner_addresses,
            gateways: Vec::new(),
            dir,
            starts: plan.gateways.iter().map(|_| AtomicU32::new(0)).collect(),
            plan,
            platform_addresses,
            ports: Vec::new(),
            _servers: servers,
        };
        for n in 0..fleet.plan.gateways.len() {
            let [front, peer] = [ReservedPort::any(), ReservedPort::any()];
            let gateway = fleet.start_gateway(n, front.address, peer.address);
            fleet.ports.extend([front, peer]);
            fleet.gateways.push(gateway);
        }
        fleet
    }

    /// Starts the fleet with one proxy to the platform for each gateway and waits until every
    /// gateway is ready. Also returns these proxies, in the order of the gateways.
    #[track_caller]
    pub fn start_with_platform_proxies(plan: Plan) -> (Fleet, Vec<Proxy>) {
        let mut proxies = Vec::new();
        let gateways = plan.gateways.len();
        let fleet = Fleet::start_behind_proxies(plan, |address| {
            let proxy = Proxy::start(address);
            proxies.push(proxy.clone());
            proxy.address
        });
        proxies.truncate(gateways);
        fleet.configure(7);
        fleet.wait_ready();
        (fleet, proxies)
    }

    fn start_gateway(&self, n: usize, front: SocketAddr, peer: SocketAddr) -> Daemon {
        let seeds: Vec<String> = self.gateways.iter().map(|g| g.peer_address.to_string()).collect();
        let data_centre = self.plan.gateways[n];
        let mut ini = format!(
            "[instance]\nname = gateway-{n}\nduty = gateway\ndata_centre = {data_centre}\n\
             [front]\nlisten = {front}\n\
             [peers]\nlisten = {peer}\nseeds = {}\nping_ms = 100\nsuspect_ms = 400\n\
             [platform]\naddress = {}\ntimeout_ms = 400\n\
             [stop]\ngrace_ms = 300\nbound_s = 8\n",
            seeds.join(","),
            self.platform_addresses[n],
        );
        for line in &self.plan.settings {
            let (section, setting) = line.split_once('.').expect("section.key = value");
            ini.push_str(&format!("[{section}]\n{setting}\n"));
        }
        let name = format!("gateway-{n}");
        let starts = self.starts[n].fetch_add(1, Ordering::Relaxed);
        match &self.plan.earlier_build {
            Some(program) if starts.is_multiple_of(2) => {
                Daemon::start_build(program, &self.dir, &name, &ini)
            }
            _ => {
                ini.push_str(&format!("[platform]\nfirst_start = {}\n", starts == 0));
                Daemon::start(&self.dir, &name, &ini)
            }
        }
    }

    /// Restarts a gateway on the same addresses, after a SIGKILL if it still runs.
    #[track_caller]
    pub fn restart(&mut self, n: usize) {
        let (front, peer) = (self.gateways[n].front_address, self.gateways[n].peer_address);
        self.gateways[n].kill();
        self.gateways[n] = self.start_gateway(n, front, peer);
    }

    /// Writes version `version` of the configuration.
    pub fn configure(&self, version: u64) {
        self.objects.put("config", "main", self.config(version));
    }

    /// The configuration of the fleet, with this version.
    pub fn config(&self, version: u64) -> Value {
        let route = |name: &str, prefix: &str, kind: &str| {
            json!({
                "name": name, "host": HOST, "path_prefix": prefix, "kind": kind,
                "timeout_ms": 5000, "slo_ms": 300, "gap_slo_ms": 200, "priority": 0,
                "service": "llm", "max_attempts": 1, "resumable": false,
                "sticky": self.plan.memory_tokens > 0,
            })
        };
        let mut resumable = route("talk", "/talk/", "stream");
        resumable["max_attempts"] = json!(self.plan.max_attempts);
        resumable["resumable"] = json!(true);
        let mut batch = route("batch", "/batch/", "batch");
        batch["max_attempts"] = json!(3);
        batch["due_ms"] = json!(5_000);
        batch["max_wait_s"] = json!(60);
        batch["queue_max"] = json!(self.plan.max_queued_tokens);
        let mut plain = route("plain", "/plain/", "safe");
        plain["max_attempts"] = json!(2);
        for restricted in [&mut batch, &mut plain] {
            restricted["allowed_regions"] = json!(self.plan.allowed_regions);
        }
        let mut open = route("open", "/open/", "safe");
        open["public"] = json!(true);
        let mut config = json!({
            "version": version,
            "routes": [route("ask", "/ask/", "stream"), resumable, batch, plain, open],
            "services": [{ "name": "llm", "health_path": "/healthz", "max_conns": 200 }],
            "limits": { "max_body_bytes": 4_000_000, "idle_timeout_ms": 15_000 },
        });
        config["services"][0]["cold_s"] = json!(1.0);
        config["services"][0]["cold_per_s"] = json!(self.plan.cold_rate);
        if self.plan.memory_tokens > 0 {
            config["services"][0]["engine"] = json!({ "kv_capacity": self.plan.memory_tokens });
        }
        if !self.plan.workspaces.is_null() {
            config["tenants"] = self.plan.workspaces.clone();
        }
        config
    }

    /// Waits until every gateway knows a configuration, the targets and all other gateways.
    #[track_caller]
    pub fn wait_ready(&self) {
        for n in 0..self.gateways.len() {
            wait_until("a gateway is ready", || {
                self.send(n, &format!("/open/ready-{n}"), &format!("ready-{n}")).status == 200
            });
        }
        let others = self.gateways.len() - 1;
        for n in 0..self.gateways.len() {
            wait_until("all gateways know each other", || self.alive_peers(n) >= others);
        }
    }

    /// Number of other members that a gateway considers alive, by its last `members` line.
    fn alive_peers(&self, n: usize) -> usize {
        let lines = self.log(n);
        let members = lines.iter().rev().find(|line| line["msg"] == "members");
        members.and_then(|line| line["alive"].as_u64()).unwrap_or(0) as usize
    }

    /// Log lines of a gateway.
    pub fn log(&self, n: usize) -> Vec<Value> {
        let path = self.dir.join(format!("gateway-{n}.log"));
        let text = std::fs::read_to_string(path).unwrap_or_default();
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
    }

    /// Id that a gateway has logged at its start.
    #[track_caller]
    pub fn instance_id(&self, n: usize) -> u64 {
        let lines = self.log(n);
        let started = lines.iter().rev().find(|line| line["msg"] == "started").expect("a line");
        u64::from_str_radix(started["id"].as_str().expect("an id"), 16).expect("a number")
    }

    /// Sends a request to a gateway and waits for the response.
    pub fn send(&self, n: usize, path: &str, id: &str) -> Response {
        self.send_with(n, path, id, &[])
    }

    /// As [`Fleet::send`], with additional headers.
    pub fn send_with(
        &self,
        n: usize,
        path: &str,
        id: &str,
        extra_headers: &[(&str, &str)],
    ) -> Response {
        send_to(self.gateways[n].front_address, path, id, extra_headers)
    }

    /// Submits a job of items with these ids, of 100 tokens each.
    pub fn submit(&self, n: usize, job: &str, items: &[&str]) -> Response {
        submit_to(self.gateways[n].front_address, job, items, &[])
    }

    /// Reads the results of a job from position `from` on.
    pub fn results(&self, n: usize, job: &str, from: usize) -> Response {
        let path = format!("/lots/{job}?since_rev={from}");
        self.call_job(n, "GET", &path, &[])
    }

    /// Sends a call about a job, with additional headers.
    pub fn call_job(
        &self,
        n: usize,
        method: &str,
        path: &str,
        extra_headers: &[(&str, &str)],
    ) -> Response {
        let mut headers = vec![("host", HOST), ("x-gatespool-wait-ms", "200")];
        headers.extend(extra_headers);
        client::call(method, self.gateways[n].front_address, path, &headers, Vec::new())
    }

    /// Requests the end of a job.
    pub fn end_job(&self, n: usize, job: &str) -> Response {
        self.call_job(n, "DELETE", &format!("/lots/{job}"), &[])
    }

    /// Waits until all results of a job are listed and returns them.
    #[track_caller]
    pub fn wait_results(&self, n: usize, job: &str) -> Vec<Value> {
        wait_for("all results are listed", || {
            let response = self.results(n, job, 0);
            if response.status != 200 {
                return None;
            }
            let page = response.json();
            let results = page["results"].as_array()?.clone();
            (results.len() as u64 == page["total"].as_u64()?).then_some(results)
        })
    }

    /// Runs of all runners whose path starts with `prefix`.
    pub fn runs(&self, prefix: &str) -> Vec<Run> {
        let runs = self.runners.iter().flat_map(Runner::runs);
        runs.filter(|run| run.path.starts_with(prefix)).collect()
    }
}

/// Sends a request with a deadline of 5 s to the gateway at `to`.
pub fn send_to(to: SocketAddr, path: &str, id: &str, extra_headers: &[(&str, &str)]) -> Response {
    let mut headers =
        vec![("host", HOST), ("x-gatespool-request-id", id), ("x-gatespool-deadline-ms", "5000")];
    headers.extend(extra_headers);
    client::call("POST", to, path, &headers, "a prompt")
}

/// Submits a job of items with these ids, of 100 tokens each, to the gateway at `to`.
pub fn submit_to(
    to: SocketAddr,
    job: &str,
    items: &[&str],
    extra_headers: &[(&str, &str)],
) -> Response {
    submit_at(to, &format!("/batch/{job}"), job, items, extra_headers)
}

/// As [`submit_to`], at this path.
pub fn submit_at(
    to: SocketAddr,
    path: &str,
    job: &str,
    items: &[&str],
    extra_headers: &[(&str, &str)],
) -> Response {
    let item = |id: &&str| {
        json!({
            "id": id, "path": format!("/batch/{id}"), "headers": {},
            "body": "cHJvbXB0", "tokens": 100,
        })
    };
    let items: Vec<Value> = items.iter().map(item).collect();
    let mut headers = vec![("host", HOST), ("x-gatespool-request-id", job)];
    headers.extend(extra_headers);
    client::post(to, path, &headers, &json!({ "items": items }))
}

/// Data of all events of a stream, joined by newlines.
pub fn event_data(response: &Response) -> String {
    let text = String::from_utf8_lossy(&response.body);
    let events: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    events.join("\n")
}
