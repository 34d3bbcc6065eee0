//! Connections between instances that fall silent for good, while new ones work.

mod util;

use standin::runner::Config;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use util::gateway::{Fleet, Plan};

/// Longest time from the platform's acknowledgement of a configuration until it is in force
/// at an instance that only other instances tell: the users' bound is 2 s.
const BOUND: Duration = Duration::from_millis(1_900);

fn in_force(fleet: &Fleet, n: usize, version: u64) -> bool {
    let lines = fleet.log(n);
    lines.iter().any(|l| l["msg"] == "configuration in force" && l["version"] == version)
}

/// Regression: the word of a new configuration went once into each connection; what a silent
/// one swallowed was made up for by comparisons alone, whose partners are drawn by lot. An
/// instance answered by the version before 3.4 s after the next one was acknowledged.
#[test]
fn a_configuration_is_in_force_in_time_though_connections_fell_silent() {
    let runners = vec![("east", Config { id: String::from("r0"), ..Config::default() })];
    let fleet = Fleet::start(Plan { gateways: vec!["east"; 10], runners, ..Plan::default() });
    let peers: Vec<SocketAddr> =
        fleet.gateways.iter().map(|gateway| gateway.peer_address).collect();
    for version in 8..11 {
        // Connections are open to most by now, by heartbeats and comparisons.
        std::thread::sleep(Duration::from_millis(2_500));
        fleet.gateways.iter().for_each(|gateway| gateway.set_unresponsive(&peers));
        std::thread::sleep(Duration::from_millis(60));
        fleet.configure(version);
        let acknowledged = Instant::now();
        let behind = || (0..10).filter(|n| !in_force(&fleet, *n, version)).collect::<Vec<_>>();
        while !behind().is_empty() && acknowledged.elapsed() < BOUND {
            std::thread::sleep(Duration::from_millis(20));
        }
        assert!(behind().is_empty(), "version {version} isn't in force at {:?}", behind());
        fleet.gateways.iter().for_each(|gateway| gateway.set_unresponsive(&[]));
    }
}
