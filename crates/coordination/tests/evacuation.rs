//! Evacuations: whatever the order of news, the latest state counts everywhere.

use coordination::evacuation::{Change, Table};
use coordination::registry::{Change as TargetChange, Registry};
use protocol::routing::Target;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

const ZONES: [&str; 3] = ["east", "west", "unknown"];
const SCHEDULES: u64 = 2_000;

fn change(zone: &str, revision: u64, is_active: bool) -> Change {
    Change { data_centre: zone.to_owned(), revision, is_active }
}

/// Orders and withdrawals by the operator, with rising revisions.
fn random_history(rng: &mut StdRng) -> Vec<Change> {
    let mut active = BTreeMap::new();
    let mut history = Vec::new();
    for revision in 1..rng.random_range(2..20) {
        let zone = ZONES[rng.random_range(0..ZONES.len())];
        let is_active = !active.get(zone).copied().unwrap_or(false);
        active.insert(zone, is_active);
        history.push(change(zone, revision, is_active));
    }
    history
}

/// The evacuations in force after `history`, with the revisions of their objects.
fn listing(history: &[Change]) -> Vec<(String, u64)> {
    let mut latest = BTreeMap::new();
    for change in history {
        latest.insert(change.data_centre.clone(), change.clone());
    }
    let active = latest.into_values().filter(|change| change.is_active);
    active.map(|change| (change.data_centre, change.revision)).collect()
}

#[test]
fn order_and_repetition_of_changes_do_not_matter() {
    for seed in 0..SCHEDULES {
        let mut rng = StdRng::seed_from_u64(seed);
        let history = random_history(&mut rng);
        let mut news = history.clone();
        news.extend(history.iter().filter(|_| rng.random_bool(0.3)).cloned());
        news.shuffle(&mut rng);
        let mut ordered = Table::default();
        history.iter().for_each(|change| assert!(ordered.on_change(change)));
        let mut shuffled = Table::default();
        for change in &news {
            shuffled.on_change(change);
        }
        assert_eq!(shuffled.active(), ordered.active(), "seed {seed}");
        assert_eq!(shuffled.digest(), ordered.digest(), "seed {seed}");
    }
}

/// A list that stands for changes lost with a compacted history.
#[test]
fn list_makes_up_for_lost_changes() {
    for seed in 0..SCHEDULES {
        let mut rng = StdRng::seed_from_u64(seed);
        let history = random_history(&mut rng);
        let mut table = Table::default();
        for change in history.iter().filter(|_| rng.random_bool(0.5)) {
            table.on_change(change);
        }
        let revision = history.last().map_or(0, |change| change.revision) + 1;
        let changes = table.on_list(listing(&history), revision);
        let active: Vec<String> = listing(&history).into_iter().map(|(zone, _)| zone).collect();
        assert!(table.active().into_iter().eq(active), "seed {seed}");
        // The new changes bring any other instance to the same state.
        let mut other = Table::default();
        changes.iter().for_each(|change| assert!(other.on_change(change)));
        for change in table.changes() {
            other.on_change(&change);
        }
        assert_eq!(other.active(), table.active(), "seed {seed}");
    }
}

#[test]
fn list_read_before_an_order_does_not_withdraw_it() {
    let mut table = Table::default();
    table.on_change(&change("east", 9, true));
    assert_eq!(table.on_list(Vec::new(), 8), []);
    assert!(table.active().contains("east"));
    assert_eq!(table.on_list(Vec::new(), 10), [change("east", 10, false)]);
}

#[test]
fn nothing_is_known_before_the_first_list() {
    let mut table = Table::default();
    assert!(!table.is_known());
    table.on_list(Vec::new(), 3);
    assert!(table.is_known());
}

fn target(id: &str, zone: &str) -> Target {
    Target {
        id: id.to_owned(),
        started_at: 0,
        service: String::from("llm"),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: zone.to_owned(),
        slots: 2,
        leaving: false,
        revision: 1,
        cold_left_ms: 0,
        software: None,
    }
}

#[test]
fn targets_of_an_evacuated_data_centre_are_unusable_until_it_is_withdrawn() {
    let mut registry = Registry::default();
    for (id, zone) in [("a", "east"), ("b", "west")] {
        registry.on_change(TargetChange::Present(target(id, zone)));
    }
    let usable = |registry: &Registry| -> Vec<String> {
        let mut ids: Vec<String> = registry.usable().map(|target| target.id.clone()).collect();
        ids.sort();
        ids
    };
    let version = registry.version();
    registry.set_evacuated([String::from("east")].into());
    assert!(registry.version() > version, "allocators must notice");
    assert_eq!(usable(&registry), ["b"]);
    assert!(registry.is_unusable("a"));
    // A new entry of a target there changes nothing.
    registry.on_change(TargetChange::Present(Target { revision: 2, ..target("a", "east") }));
    assert_eq!(usable(&registry), ["b"]);
    registry.set_evacuated([String::from("east"), String::from("west")].into());
    assert_eq!(usable(&registry), Vec::<String>::new());
    registry.set_evacuated([].into());
    assert_eq!(usable(&registry), ["a", "b"]);
    assert!(!registry.is_unusable("a"));
}
