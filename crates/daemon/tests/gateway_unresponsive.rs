//! Connections between instances that become unresponsive for good, while new ones work.

mod util;

use standin::runner::Config;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use util::gateway::{Fleet, Plan};

/// Maximum time from the platform's acknowledgement of a configuration until it is in force at
/// all instances; the required limit is 2 s.
const MAX_PROPAGATION_TIME: Duration = Duration::from_millis(1_900);

fn is_in_force(fleet: &Fleet, n: usize, version: u64) -> bool {
    let lines = fleet.log(n);
    lines.iter().any(|l| l["msg"] == "configuration in force" && l["version"] == version)
}

/// Regression: an update lost in an unresponsive connection was recovered only by
/// anti-entropy with randomly chosen peers, which took too long.
#[test]
fn configuration_is_in_force_in_time_despite_unresponsive_connections() {
    let runners = vec![("east", Config { id: String::from("r0"), ..Config::default() })];
    let fleet = Fleet::start(Plan { gateways: vec!["east"; 10], runners, ..Plan::default() });
    let peers: Vec<SocketAddr> =
        fleet.gateways.iter().map(|gateway| gateway.peer_address).collect();
    for version in 8..11 {
        // By then, heartbeats and anti-entropy have opened connections to most peers.
        std::thread::sleep(Duration::from_millis(2_500));
        fleet.gateways.iter().for_each(|gateway| gateway.set_unresponsive(&peers));
        std::thread::sleep(Duration::from_millis(60));
        fleet.configure(version);
        let acknowledged = Instant::now();
        let out_of_date =
            || (0..10).filter(|n| !is_in_force(&fleet, *n, version)).collect::<Vec<_>>();
        while !out_of_date().is_empty() && acknowledged.elapsed() < MAX_PROPAGATION_TIME {
            std::thread::sleep(Duration::from_millis(20));
        }
        assert!(
            out_of_date().is_empty(),
            "version {version} isn't in force at {:?}",
            out_of_date()
        );
        fleet.gateways.iter().for_each(|gateway| gateway.set_unresponsive(&[]));
    }
}
