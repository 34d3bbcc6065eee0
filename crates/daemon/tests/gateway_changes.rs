//! Requests that a gateway has read get a whole answer or a refusal, whichever changes of the
//! configuration, reloads and stops come meanwhile.

mod util;

use rstest::rstest;
use serde_json::{Value, json};
use standin::runner::{Config, Runner, Silence};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};
use util::gateway::{Fleet, HOST, Plan};
use util::raw_caller::{self, RawResponse, Version};
use util::wait_until;

/// More than the slots of all targets.
const CALLERS: usize = 12;
const EVENTS: u64 = 10;
const EVENT_INTERVAL: Duration = Duration::from_millis(80);
const CHANGE_INTERVAL: Duration = Duration::from_millis(150);
const SILENCE: Duration = Duration::from_millis(1_200);

fn fleet() -> Fleet {
    let runner = |n: usize| {
        let id = format!("r{n}");
        Config { id, event_interval: EVENT_INTERVAL, event_count: EVENTS, ..Config::default() }
    };
    // Some callers wait for a token.
    let workspaces = json!([
        { "name": "busy", "api_keys": ["key-busy"], "rate_per_s": 6.0, "burst": 6.0 },
        { "name": "calm", "api_keys": ["key-calm"] },
    ]);
    Fleet::start(Plan {
        runners: vec![("east", runner(0)), ("west", runner(1))],
        workspaces,
        ..Plan::default()
    })
}

fn each_route(config: &mut Value, change: impl Fn(&mut Value)) {
    config["routes"].as_array_mut().expect("routes").iter_mut().for_each(change);
}

fn add_service(config: &mut Value) {
    let service = json!({ "name": "other", "health_path": "/healthz", "max_conns": 200 });
    config["services"].as_array_mut().expect("services").push(service);
}

fn set_limits(config: &mut Value) {
    config["limits"] = json!({
        "max_header_bytes": 1, "max_body_bytes": 1, "header_timeout_ms": 1, "idle_timeout_ms": 1,
    });
}

fn set_times(config: &mut Value) {
    each_route(config, |route| {
        ["timeout_ms", "slo_ms", "gap_slo_ms"].iter().for_each(|time| route[*time] = json!(10));
    });
}

fn move_routes(config: &mut Value) {
    add_service(config);
    each_route(config, |route| route["service"] = json!("other"));
}

fn split_routes(config: &mut Value) {
    add_service(config);
    each_route(config, |route| {
        route["split"] =
            json!([{ "service": "llm", "weight": 0.1 }, { "service": "other", "weight": 0.9 }]);
        route.as_object_mut().expect("a route").remove("service");
    });
}

fn remove_routes(config: &mut Value) {
    config["routes"] = json!([]);
}

fn remove_services(config: &mut Value) {
    config["services"] = json!([]);
}

fn forbid_attempts(config: &mut Value) {
    each_route(config, |route| {
        route["max_attempts"] = json!(1);
        route["resumable"] = json!(false);
        route["allowed_regions"] = json!(["nowhere"]);
    });
}

fn change_keys(config: &mut Value) {
    config["tenants"] = json!([{ "name": "new", "api_keys": ["key-new"] }]);
}

fn limit_services(config: &mut Value) {
    config["services"][0]["max_conns"] = json!(1);
    config["services"][0]["cold_s"] = json!(60.0);
    config["services"][0]["cold_per_s"] = json!(0.1);
}

type Change = fn(&mut Value);

const CHANGES: [Change; 9] = [
    set_limits,
    set_times,
    move_routes,
    split_routes,
    remove_routes,
    remove_services,
    forbid_attempts,
    change_keys,
    limit_services,
];

fn configure(fleet: &Fleet, version: u64, change: Change) {
    let mut config = fleet.config(version);
    change(&mut config);
    fleet.objects.put("config", "main", config);
}

/// What a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Buffered,
    Stream,
    ResumableStream,
    TakenUpStream,
    WithQuota,
}

impl Call {
    fn path(self) -> &'static str {
        match self {
            Call::Buffered | Call::WithQuota => "/plain/end",
            Call::Stream => "/ask/end",
            Call::ResumableStream | Call::TakenUpStream => "/talk/end",
        }
    }

    fn send(self, fleet: &Fleet, n: usize) -> TcpStream {
        let key = if self == Call::WithQuota { "key-busy" } else { "key-calm" };
        let mut headers = format!(
            "Host: {HOST}\nAuthorization: Bearer {key}\nX-Gatespool-Request-Id: end-{n}\n\
             X-Gatespool-Deadline-Ms: 4500"
        );
        if self == Call::TakenUpStream {
            headers.push_str("\nLast-Event-Id: 2\nResumes: earlier");
        }
        let to = fleet.gateways[0].front_address;
        raw_caller::send(to, Version::Http11, self.path(), &headers, "a prompt")
    }
}

/// Callers whose requests run, or wait for slots and tokens.
fn start_callers(fleet: &Fleet, call: Call) -> Vec<TcpStream> {
    let callers: Vec<_> = (0..CALLERS).map(|n| call.send(fleet, n)).collect();
    wait_until("some run", || fleet.runs(call.path()).len() >= 4);
    sleep(Duration::from_millis(100));
    callers
}

#[track_caller]
fn assert_answered(callers: &mut [TcpStream], fleet: &Fleet, call: Call, running: usize) {
    let responses: Vec<RawResponse> = callers.iter_mut().map(raw_caller::read).collect();
    let is_answered = |r: &&RawResponse| r.status != 0 && r.looks_complete();
    let whole = responses.iter().filter(|r| r.status == 200).filter(is_answered).count();
    let lost: Vec<_> = responses.iter().filter(|r| !is_answered(r)).collect();
    assert!(lost.is_empty(), "{} of {CALLERS}: {lost:?}", lost.len());
    let statuses: Vec<u16> = responses.iter().map(|response| response.status).collect();
    let complete = fleet.runs(call.path()).iter().filter(|run| run.is_complete).count();
    assert!(whole >= running, "{statuses:?}, {running} ran before, {complete} complete");
}

#[rstest]
fn change_of_the_configuration_ends_no_request(
    #[values(
        Call::Buffered,
        Call::Stream,
        Call::ResumableStream,
        Call::TakenUpStream,
        Call::WithQuota
    )]
    call: Call,
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8)] change: usize,
) {
    let fleet = fleet();
    let mut callers = start_callers(&fleet, call);
    let running = fleet.runs(call.path()).len();
    configure(&fleet, 8, CHANGES[change]);
    assert_answered(&mut callers, &fleet, call, running);
}

/// How the series of changes ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Reload,
    Stop,
}

#[rstest]
fn series_of_changes_beside_silent_targets_ends_no_request(
    #[values(
        Call::Buffered,
        Call::Stream,
        Call::ResumableStream,
        Call::TakenUpStream,
        Call::WithQuota
    )]
    call: Call,
    #[values(Silence::Everything, Silence::HalfEvents)] silence: Silence,
    #[values(End::Reload, End::Stop)] end: End,
) {
    let fleet = fleet();
    let mut callers = start_callers(&fleet, call);
    let set =
        |silence| fleet.runners.iter().for_each(|runner: &Runner| runner.set_silence(silence));
    set(Some(silence));
    if end == End::Stop {
        fleet.gateways[0].terminate();
    }
    let since = Instant::now();
    for version in 8.. {
        let changes = CHANGES.len() as u64;
        configure(&fleet, version, CHANGES[(version % changes) as usize]);
        if end == End::Reload {
            fleet.gateways[0].reload();
        }
        sleep(CHANGE_INTERVAL);
        if since.elapsed() >= SILENCE {
            break;
        }
    }
    set(None);
    assert_answered(&mut callers, &fleet, call, 0);
}
