//! Prompts that share long parts: where they are read, and how often.

mod util;

use coordination::capacity;
use standin::runner::{Config, Runner};
use std::time::Duration;
use util::gateway::{Fleet, Plan};

/// Tokens of a long part: 160 ms to read.
const LONG: u32 = 8_000;
const PARTS: [&str; 6] = ["a0", "b1", "c2", "d3", "e4", "f5"];

/// Two runners in each of two data centres.
fn plan(gateways: Vec<&'static str>) -> Plan {
    let runner = |n: u32| Config {
        id: format!("r{n}"),
        slots: 8,
        token_time: Duration::from_micros(20),
        memory_tokens: 100_000,
        ..Config::default()
    };
    Plan {
        gateways,
        runners: vec![
            ("east", runner(0)),
            ("east", runner(1)),
            ("west", runner(2)),
            ("west", runner(3)),
        ],
        memory_tokens: 100_000,
        ..Plan::default()
    }
}

/// Sends a request whose prompt begins with a long part to a gateway.
#[track_caller]
fn ask(fleet: &Fleet, gateway: usize, part: &str, n: usize) {
    let id = format!("ask-{part}-{gateway}-{n}");
    // Ids of parts are in hex.
    let prompt = format!("{part}:{LONG},{gateway}{n:04x}:20");
    let headers = [("x-gatespool-model", "m"), ("x-gatespool-prompt-prefix", &*prompt)];
    let response = fleet.send_with(gateway, &format!("/ask/{id}"), &id, &headers);
    assert_eq!(response.status, 200, "{id}: {response:?}");
}

/// Number of times that each runner has read a part.
fn read_counts(fleet: &Fleet, part: &str) -> Vec<usize> {
    fleet.runners.iter().map(|runner: &Runner| runner.read_count(part)).collect()
}

/// Guards against a part that is read by every target, or in every data centre, though the one that
/// keeps it has free slots.
#[test]
fn each_part_is_read_once_by_one_target() {
    let fleet = Fleet::start(plan(vec!["east", "east", "west"]));
    for n in 0..4 {
        for part in PARTS {
            for gateway in 0..fleet.gateways.len() {
                ask(&fleet, gateway, part, n);
            }
        }
    }
    let counts: Vec<Vec<usize>> = PARTS.iter().map(|part| read_counts(&fleet, part)).collect();
    assert!(counts.iter().all(|reads| reads.iter().sum::<usize>() == 1), "{counts:?}");
    let in_east = counts.iter().filter(|reads| reads[0] + reads[1] == 1).count();
    assert!((1..PARTS.len()).contains(&in_east), "parts are spread over data centres: {counts:?}");
}

/// Guards against requests that fail with the instance that runs the allocator, and against its
/// successor having parts read again and again.
#[test]
fn parts_are_read_once_more_at_most_after_the_allocator_is_lost() {
    let mut fleet = Fleet::start(plan(vec!["east", "east", "east", "west"]));
    for part in PARTS {
        for gateway in 0..fleet.gateways.len() {
            ask(&fleet, gateway, part, 0);
        }
    }
    let before: Vec<Vec<usize>> = PARTS.iter().map(|part| read_counts(&fleet, part)).collect();
    let ids: Vec<u64> = (0..3).map(|n| fleet.instance_id(n)).collect();
    let owner = capacity::owner(b"east", ids.iter().copied()).expect("an instance");
    let owner = ids.iter().position(|id| *id == owner).expect("an instance");
    fleet.gateways[owner].kill();
    for n in 1..5 {
        for part in PARTS {
            for gateway in (0..4).filter(|gateway| *gateway != owner) {
                ask(&fleet, gateway, part, n);
            }
        }
    }
    for (part, before) in PARTS.into_iter().zip(before) {
        let after = read_counts(&fleet, part);
        let is_bounded = after.iter().zip(&before).all(|(after, before)| *after <= before + 1);
        assert!(is_bounded, "{part}: {before:?}, then {after:?}");
    }
}
