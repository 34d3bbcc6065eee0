//! Quotas of workspaces over several instances and data centres: what runs, and what callers get
//! beyond the quota.

mod util;

use coordination::capacity;
use serde_json::{Value, json};
use standin::runner::Run;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use util::client::{self, Response};
use util::gateway::{Fleet, HOST, Plan, send_to};
use util::wait_until;

const BUSY: (&str, &str) = ("authorization", "Bearer key-busy");
const CALM: (&str, &str) = ("authorization", "Bearer key-calm");
const RATE: f64 = 12.0;
const BURST: f64 = 12.0;
const WINDOW: Duration = Duration::from_secs(5);
/// Tolerated excess, as in the settings of [`plan`].
const EXCESS_RATIO: f64 = 0.1;

static NEXT_ID: AtomicU32 = AtomicU32::new(0);

fn workspaces(rate: f64) -> Value {
    json!([
        { "name": "busy", "api_keys": ["key-busy"], "rate_per_s": rate, "burst": BURST },
        { "name": "calm", "api_keys": ["key-calm"], "rate_per_s": 5.0, "burst": 5.0 },
    ])
}

fn plan() -> Plan {
    let settings = vec![String::from("quota.slack = 3"), String::from("quota.excess = 0.1")];
    Plan { workspaces: workspaces(RATE), settings, ..Plan::default() }
}

fn bound() -> f64 {
    (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + EXCESS_RATIO) + 3.0
}

fn ask(fleet: &Fleet, n: usize, key: (&str, &str)) -> Response {
    let id = format!("q-{}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
    send_to(fleet.gateways[n].front_address, "/plain/x", &id, &[key])
}

/// Sends requests of the busy workspace to all gateways from several threads for some time.
fn press(fleet: &Fleet, time: Duration) -> Vec<Response> {
    let until = Instant::now() + time;
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..6)
            .map(|caller| {
                scope.spawn(move || {
                    let mut responses = Vec::new();
                    while Instant::now() < until {
                        responses.push(ask(fleet, caller % fleet.gateways.len(), BUSY));
                        std::thread::sleep(Duration::from_millis(20));
                    }
                    responses
                })
            })
            .collect();
        callers.into_iter().flat_map(|caller| caller.join().expect("a caller")).collect()
    })
}

/// Largest number of runs of the busy workspace in a sliding window.
fn busiest_window(fleet: &Fleet) -> usize {
    busiest_window_of(fleet.runs("/plain/"))
}

fn busiest_window_of(mut runs: Vec<Run>) -> usize {
    runs.retain(|run| run.workspace == "busy");
    runs.sort_by_key(|run| run.started);
    let in_window = |first: usize| {
        runs[first..].iter().take_while(|run| run.started - runs[first].started < WINDOW).count()
    };
    (0..runs.len()).map(in_window).max().unwrap_or(0)
}

#[test]
fn busy_workspace_is_held_to_its_quota_and_the_other_is_served() {
    let fleet = Fleet::start(plan());
    let calm = std::thread::scope(|scope| {
        let load = scope.spawn(|| press(&fleet, Duration::from_secs(7)));
        let mut calm = Vec::new();
        while !load.is_finished() {
            calm.push(ask(&fleet, calm.len() % 3, CALM).status);
            std::thread::sleep(Duration::from_millis(400));
        }
        let responses = load.join().expect("a load");
        let rejected = responses.iter().filter(|response| response.status == 429);
        for response in rejected.clone() {
            let after = response.headers["retry-after"].to_str().expect("a number");
            assert!(after.parse::<f64>().expect("a number") > 0.0);
        }
        assert!(rejected.count() > 100);
        assert!(responses.iter().all(|response| [200, 429].contains(&response.status)));
        calm
    });
    assert!(calm.iter().all(|status| *status == 200), "{calm:?}");
    let most = busiest_window(&fleet);
    assert!(most as f64 <= bound(), "{most} of {}", bound());
    assert!(most as f64 >= RATE * WINDOW.as_secs_f64() * 0.7, "{most}");
}

#[test]
fn quota_holds_through_a_restart_of_all_instances() {
    let mut fleet = Fleet::start(plan());
    press(&fleet, Duration::from_secs(3));
    for gateway in &mut fleet.gateways {
        gateway.kill();
    }
    (0..3).for_each(|n| fleet.restart(n));
    press(&fleet, Duration::from_secs(4));
    let most = busiest_window(&fleet);
    assert!(most as f64 <= bound(), "{most} of {}", bound());
}

#[test]
fn removed_limit_is_not_enforced() {
    let fleet = Fleet::start(plan());
    let mut config = fleet.config(8);
    config["tenants"] = workspaces(0.0);
    fleet.objects.put("config", "main", config);
    wait_until("the configuration is in force", || {
        let is_applied = |line: &Value| line["version"] == 8;
        (0..3).all(|n| fleet.log(n).iter().any(is_applied))
    });
    let responses = press(&fleet, Duration::from_secs(2));
    assert!(responses.iter().all(|response| response.status == 200));
}

/// Cuts the gateways `east` off from the gateways `west`.
fn partition(fleet: &Fleet, east: &[usize], west: &[usize]) {
    let peers = |side: &[usize]| -> Vec<_> {
        side.iter().map(|n| fleet.gateways[*n].peer_address).collect()
    };
    east.iter().for_each(|n| fleet.gateways[*n].set_unreachable(&peers(west)));
    west.iter().for_each(|n| fleet.gateways[*n].set_unreachable(&peers(east)));
}

/// Sends requests of the busy workspace to one gateway, evenly spread over some time; returns how
/// many were rejected.
fn rejected_of(fleet: &Fleet, n: usize, requests: u32, time: Duration) -> usize {
    std::thread::scope(|scope| {
        let calls: Vec<_> = (0..requests)
            .map(|_| {
                std::thread::sleep(time / requests);
                scope.spawn(|| ask(fleet, n, BUSY).status)
            })
            .collect();
        let statuses = calls.into_iter().map(|call| call.join().expect("a status"));
        statuses.filter(|status| *status == 429).count()
    })
}

/// Regression: the keeper of a ledger was lost inside a cut, and the next one didn't know its share
/// of the quota.
#[test]
fn share_of_a_quota_survives_the_loss_of_its_keeper_inside_a_cut() {
    let plan = Plan { gateways: vec!["east", "east", "west", "west"], ..plan() };
    let mut fleet = Fleet::start(plan);
    rejected_of(&fleet, 0, 40, Duration::from_secs(4));
    partition(&fleet, &[0, 1], &[2, 3]);
    std::thread::sleep(Duration::from_millis(700));
    let ids = [0, 1].map(|n| fleet.instance_id(n));
    let keeper_id = capacity::owner(b"east", ids).expect("an instance");
    let keeper = ids.iter().position(|id| *id == keeper_id).expect("an instance");
    fleet.gateways[keeper].kill();
    std::thread::sleep(Duration::from_millis(1_500));
    let rejected = rejected_of(&fleet, 1 - keeper, 60, Duration::from_secs(6));
    assert_eq!(rejected, 0, "of 60 requests below the quota");
}

/// Opens a stream of the busy workspace; a retry has less than the usual time. Returns the status
/// and the time after which a rejected caller may come again.
fn open_stream(fleet: &Fleet, n: usize, is_retry: bool) -> (u16, Duration) {
    let id = format!("q-{}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
    let time_ms = if is_retry { "2500" } else { "5000" };
    let headers = [
        ("host", HOST),
        ("x-gatespool-request-id", id.as_str()),
        ("x-gatespool-deadline-ms", time_ms),
        BUSY,
    ];
    let response =
        client::call("POST", fleet.gateways[n].front_address, "/ask/x", &headers, "a prompt");
    let after = response.header("retry-after").parse().unwrap_or(0.0);
    (response.status, Duration::from_secs_f64(after))
}

/// Opens streams at four times the rate of the quota. Rejected callers come again once, after the
/// time that they are told, at most a third of the usual one. Returns how many retries were served
/// while fresh requests came.
fn press_streams(fleet: &Fleet, time: Duration) -> usize {
    let start = Instant::now();
    let served_late = AtomicU32::new(0);
    std::thread::scope(|scope| {
        let mut n = 0;
        while start.elapsed() < time {
            let served_late = &served_late;
            scope.spawn(move || {
                let (status, after) = open_stream(fleet, n % 3, false);
                std::thread::sleep(after.min(Duration::from_millis(1_600)));
                if status == 429 && start.elapsed() < time {
                    let is_served = open_stream(fleet, n % 3, true).0 == 200;
                    served_late.fetch_add(u32::from(is_served), Ordering::Relaxed);
                }
            });
            n += 1;
            std::thread::sleep(Duration::from_secs(1).div_f64(RATE * 4.0));
        }
    });
    served_late.into_inner() as usize
}

/// Guards against a quota that is spent on callers that come again, while fresh requests are
/// rejected.
#[test]
fn fresh_requests_wait_for_the_tokens_of_a_quota() {
    let fleet = Fleet::start(plan());
    let late = press_streams(&fleet, Duration::from_secs(8));
    let lines: Vec<Value> = (0..3).flat_map(|n| fleet.log(n)).collect();
    let ended = lines.iter().filter(|line| line["msg"] == "stream ended");
    let waits: Vec<u64> = ended.filter_map(|line| line["quota_ms"].as_u64()).collect();
    let waited = waits.iter().filter(|wait| **wait > 0).count();
    assert!(waited > 20, "{waited} of {} waited for a token", waits.len());
    // At most a third of the objective of 300 ms, and more where a busy machine wakes up late.
    let long = waits.iter().filter(|wait| **wait > 150).count();
    assert!(long * 5 < waits.len(), "{waits:?}");
    assert!(late * 10 < waits.len(), "{late} of {} were retries", waits.len());
    let most = busiest_window_of(fleet.runs("/ask/"));
    assert!(most as f64 <= bound(), "{most} of {}", bound());
    assert!(most as f64 >= RATE * WINDOW.as_secs_f64() * 0.8, "{most}");
}
