//! HTTP front end: latency and CPU time of a daemon, failing targets, overload.

use crate::fleet::production_settings;
use crate::load::{self, Load, Outcome};
use crate::util::client::chat;
use crate::util::cluster::{Cluster, Plan};
use serde_json::json;
use standin::engine::{Config, Control};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn start(daemons: usize, engines: usize, engine: Config) -> Cluster {
    Cluster::start(Plan {
        daemons,
        engines,
        engine,
        settings: production_settings(),
        ..Plan::default()
    })
}

fn fronts(cluster: &Cluster) -> Vec<SocketAddr> {
    cluster.daemons.iter().map(|daemon| daemon.front_address).collect()
}

fn print_row(name: &str, outcome: &Outcome) {
    println!(
        "{:>22} {:>7} {:>8} {:>7} {:>8.1} /{:>7.1} /{:>7.1} {:>8.1}",
        name,
        outcome.completed,
        outcome.rejected,
        outcome.failed,
        load::quantile_ms(&outcome.first_token, 0.5),
        load::quantile_ms(&outcome.first_token, 0.99),
        load::quantile_ms(&outcome.first_token, 0.999),
        load::quantile_ms(&outcome.token_gap, 0.99),
    );
}

fn print_header() {
    println!(
        "{:>22} {:>7} {:>8} {:>7} {:>26} {:>8}",
        "", "whole", "refused", "failed", "first ms p50/p99/p99.9", "gap p99"
    );
}

/// Injects a fault into one of six targets during a run.
pub fn faults() {
    print_header();
    let cases: [(&str, Option<Control>); 5] = [
        ("none", None),
        (
            "cuts every stream",
            Some(Control { interrupted_streams: Some(100_000), ..Control::default() }),
        ),
        ("fails", Some(Control { failing: Some(true), ..Control::default() })),
        ("frozen", Some(Control { frozen: Some(true), ..Control::default() })),
        ("slowed 10x", Some(Control { slow_factor: Some(10.0), ..Control::default() })),
    ];
    for (name, control) in cases {
        let token = Duration::from_millis(10);
        let cluster = start(3, 6, Config { token_interval: token, ..Config::default() });
        let engine = cluster.engines[0].clone();
        let injection = std::thread::spawn(move || {
            std::thread::sleep(Duration::from_secs(3));
            control.into_iter().for_each(|control| engine.control(control));
        });
        let addresses = fronts(&cluster);
        let duration = Duration::from_secs(9);
        let outcome = load::send(Load {
            addresses,
            rate: 60.0,
            duration,
            tokens: 20,
            keyed: false,
            burst: None,
            name: "online",
        });
        injection.join().expect("fault thread panicked");
        print_row(name, &outcome);
    }
}

/// Prints the latency that a daemon adds, requests per second and core, and memory
/// per open stream.
pub fn overhead() {
    let engine = Config {
        slots: 4000,
        prefill: Duration::from_millis(5),
        token_interval: Duration::from_millis(1),
        ..Config::default()
    };
    let cluster = start(1, 1, engine);
    let rate = 100.0;
    let duration = Duration::from_secs(5);
    let send_to = |address: SocketAddr| {
        load::send(Load {
            addresses: vec![address],
            rate,
            duration,
            tokens: 5,
            keyed: false,
            burst: None,
            name: "x",
        })
    };
    print_header();
    print_row("direct", &send_to(cluster.engine_addresses[0]));
    print_row("through one daemon", &send_to(cluster.daemons[0].front_address));
    for rate in [500.0, 1000.0, 2000.0] {
        let (ticks_before, _) = cluster.daemons[0].cpu_ticks_and_rss_kib();
        let start = Instant::now();
        let addresses = vec![cluster.daemons[0].front_address];
        let duration = Duration::from_secs(5);
        let outcome = load::send(Load {
            addresses,
            rate,
            duration,
            tokens: 5,
            keyed: false,
            burst: None,
            name: "y",
        });
        let (after, _) = cluster.daemons[0].cpu_ticks_and_rss_kib();
        let cores = (after - ticks_before) as f64 / 100.0 / start.elapsed().as_secs_f64();
        let served = outcome.completed as f64 / start.elapsed().as_secs_f64();
        print_row(&format!("{rate:.0}/s offered"), &outcome);
        println!("{:>22} {:.2} cores, {:.0} requests/s a core", "", cores, served / cores);
    }
    streams(&cluster);
}

fn streams(cluster: &Cluster) {
    const STREAMS: usize = 1000;
    cluster.engines[0].control(Control { token_ms: Some(400), ..Control::default() });
    let (_, before) = cluster.daemons[0].cpu_ticks_and_rss_kib();
    let front = cluster.daemons[0].front_address;
    std::thread::scope(|scope| {
        let load = scope.spawn(move || {
            load::send(Load {
                addresses: vec![front],
                rate: 500.0,
                duration: Duration::from_secs(2),
                tokens: 12,
                keyed: false,
                burst: None,
                name: "open",
            })
        });
        std::thread::sleep(Duration::from_millis(3000));
        let (_, during) = cluster.daemons[0].cpu_ticks_and_rss_kib();
        let open = cluster.engines[0].running()[0];
        let each = (during - before) as f64 / f64::from(open.max(1));
        println!("{:>22} {open} of {STREAMS} open, {each:.1} KiB a stream", "");
        load.join().expect("load thread panicked");
    });
}

/// Prints the goodput at 0.5 to 3 times the capacity of the targets.
pub fn saturation() {
    let token = Duration::from_millis(10);
    let engine = Config {
        slots: 8,
        token_interval: token,
        prefill: Duration::from_millis(10),
        ..Config::default()
    };
    // A request takes a slot for 200 ms: 10 ms of prefill and 19 gaps of 10 ms.
    let capacity = 3.0 * 8.0 / 0.2;
    print_header();
    for factor in [0.5, 0.8, 1.0, 1.5, 2.0, 3.0] {
        let cluster = start(3, 3, engine.clone());
        chat(cluster.daemons[0].front_address, "warm", &[], json!({}));
        let duration = Duration::from_secs(8);
        let outcome = load::send(Load {
            addresses: fronts(&cluster),
            rate: capacity * factor,
            duration,
            tokens: 20,
            keyed: false,
            burst: None,
            name: "online",
        });
        print_row(&format!("{factor:.1} times capacity"), &outcome);
        let goodput = outcome.completed as f64 / duration.as_secs_f64();
        println!("{:>22} {:.1} whole/s of {capacity:.0}", "", goodput);
    }
}

/// Prints the CPU time of a daemon and the bytes sent between daemons by load and
/// completion length.
pub fn slopes() {
    let token = Duration::from_millis(10);
    let engine = Config {
        slots: 4000,
        prefill: Duration::from_millis(5),
        token_interval: token,
        ..Config::default()
    };
    let plan = Plan {
        daemons: 3,
        engines: 6,
        engine,
        settings: production_settings(),
        data_centres: 1,
        ..Plan::default()
    };
    let cluster = Cluster::start(plan);
    std::thread::sleep(Duration::from_secs(3));
    println!(
        "{:>8} {:>8} {:>16} {:>14} {:>14}",
        "req/s", "tokens", "ms CPU a request", "% core", "B/s peers"
    );
    for (rate, tokens) in [(0.0, 0), (50.0, 5), (100.0, 5), (100.0, 55), (100.0, 105), (200.0, 55)]
    {
        let peer_bytes = |daemon: usize| {
            let status = cluster.daemons[daemon].get("/v1/status").json();
            let count = |name: &str| status[name].as_f64().unwrap_or(0.0);
            count("peer_bytes_sent") + count("peer_bytes_received")
        };
        let (bytes_before, (ticks_before, _)) =
            (peer_bytes(0), cluster.daemons[0].cpu_ticks_and_rss_kib());
        let start = Instant::now();
        let duration = Duration::from_secs(6);
        if rate > 0.0 {
            let addresses = vec![cluster.daemons[0].front_address];
            load::send(Load {
                addresses,
                rate,
                duration,
                tokens,
                keyed: false,
                burst: None,
                name: "slope",
            });
        } else {
            std::thread::sleep(duration);
        }
        let seconds = start.elapsed().as_secs_f64();
        let (after, _) = cluster.daemons[0].cpu_ticks_and_rss_kib();
        let cpu_seconds = (after - ticks_before) as f64 / 100.0;
        let each = cpu_seconds * 1000.0 / (rate * duration.as_secs_f64()).max(1.0);
        println!(
            "{rate:>8.0} {tokens:>8} {each:>16.3} {:>14.2} {:>14.0}",
            cpu_seconds * 100.0 / seconds,
            (peer_bytes(0) - bytes_before) / seconds
        );
    }
}
