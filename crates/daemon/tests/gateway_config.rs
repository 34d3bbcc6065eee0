//! A configuration that the platform has acknowledged is in force at all instances within
//! [`MAX_RECOVERY_TIME`], even if open watches of the configuration get no response.

mod util;

use rstest::rstest;
use serde_json::Value;
use standin::objects::Objects;
use std::time::{Duration, Instant};
use util::gateway::{Fleet, Plan};
use util::wait_until;

/// Maximum time from the moment the watches hang until a configuration acknowledged right after
/// it is in force at all instances. Stricter than the required 3 s.
const MAX_RECOVERY_TIME: Duration = Duration::from_millis(2_500);

fn is_in_force(fleet: &Fleet, n: usize, version: u64) -> bool {
    let is_applied = |line: &Value| {
        line["msg"] == "configuration in force" && line["version"].as_u64() >= Some(version)
    };
    fleet.log(n).iter().any(is_applied)
}

/// Instances at which `version` isn't in force.
fn out_of_date(fleet: &Fleet, version: u64) -> Vec<usize> {
    (0..fleet.gateways.len()).filter(|n| !is_in_force(fleet, *n, version)).collect()
}

/// Puts `version` in force, so that all watches of the configuration restart at the same time.
fn restart_config_watches(fleet: &Fleet, version: u64) {
    fleet.configure(version);
    wait_until("the configuration is in force", || out_of_date(fleet, version).is_empty());
    std::thread::sleep(Duration::from_millis(100));
}

/// Regression: watches of the configuration that the platform accepted but never answered were
/// replaced only after their full timeout, at all watchers.
#[rstest]
#[case::all_watches_hang(Objects::hang_watches)]
#[case::watches_of_the_configuration_hang(
    |objects: &Objects| objects.hang_watches_of_kind("config")
)]
fn unanswered_watch_delays_no_configuration(#[case] hang: fn(&Objects)) {
    let fleet = Fleet::start(Plan::default());
    restart_config_watches(&fleet, 8);
    hang(&fleet.objects);
    let hung_at = Instant::now();
    fleet.configure(9);
    while !out_of_date(&fleet, 9).is_empty() && hung_at.elapsed() < MAX_RECOVERY_TIME {
        std::thread::sleep(Duration::from_millis(20));
    }
    let late = out_of_date(&fleet, 9);
    assert!(late.is_empty(), "version 9 isn't in force at {late:?} after {:?}", hung_at.elapsed());
}
