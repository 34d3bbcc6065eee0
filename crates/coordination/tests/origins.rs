//! Where the origins of streams are stored, and where they are looked for.

use coordination::InstanceId;
use coordination::origins::{Place, Table, candidates, keepers};
use proptest::prelude::*;
use protocol::DataCentreId;
use protocol::routing::Origin;
use std::time::{Duration, Instant};

/// Lifetime of the origins in the tests.
const LIFETIME: Duration = Duration::from_secs(5);

fn origin(version: &str) -> Origin {
    Origin { service: String::from("llm"), software: Some(version.to_owned()) }
}

fn data_centres() -> Vec<DataCentreId> {
    ["east", "west", "south"].map(str::to_owned).to_vec()
}

/// Members with these ids, in the data centres in turn.
fn places<'a>(ids: &[InstanceId], names: &'a [DataCentreId]) -> Vec<Place<'a>> {
    ids.iter().map(|id| (*id, &names[*id as usize % names.len()])).collect()
}

proptest! {
    /// After the first instance of a stream was killed and another member has joined, every other
    /// member asks all the members that store the origin.
    #[test]
    fn killed_and_joined_members_hide_no_origin(
        ids in prop::collection::btree_set(1_u64..10_000, 2..40),
        joined in 10_000_u64..20_000,
        attempt in "[0-9a-f]{16}",
    ) {
        let names = data_centres();
        let ids: Vec<InstanceId> = ids.into_iter().collect();
        let began = ids[0];
        let stored = keepers(&attempt, &names[began as usize % 3], &places(&ids[1..], &names));
        let near = ids[1..].iter().filter(|id| **id % 3 == began % 3).count();
        let copies_nearby = near.min(2);
        let copies_elsewhere = (ids.len() - 1 - near).min(3 - copies_nearby);
        prop_assert_eq!(stored.len(), copies_nearby + copies_elsewhere);
        for asker in ids.iter().filter(|id| !stored.contains(id)) {
            let mut others = ids.clone();
            others.push(joined);
            others.retain(|id| id != asker);
            let asked = candidates(&attempt, &places(&others, &names));
            prop_assert!(stored.iter().all(|id| asked.contains(id)), "{stored:?} of {asked:?}");
        }
    }
}

#[test]
fn origins_are_stored_in_the_own_data_centre_and_in_another() {
    let names = data_centres();
    let others = places(&(1..=30).collect::<Vec<_>>(), &names);
    let stored = keepers("attempt", "west", &others);
    let is_near: Vec<bool> = stored.iter().map(|id| id % 3 == 1).collect();
    assert_eq!(is_near, [true, true, false]);
}

#[test]
fn later_origin_of_an_attempt_replaces_the_earlier_one() {
    let now = Instant::now();
    let mut table = Table::default();
    table.store(String::from("a"), origin("v1"), LIFETIME, now);
    table.store(String::from("a"), origin("v2"), LIFETIME * 2, now);
    assert_eq!(table.get("a", now + LIFETIME), Some(&origin("v2")));
    assert_eq!(table.len(), 1);
}

#[test]
fn expired_origins_take_no_memory() {
    let now = Instant::now();
    let mut table = Table::default();
    for n in 0..100 {
        table.store(format!("a{n}"), origin("v1"), LIFETIME, now);
    }
    table.store(String::from("b"), origin("v1"), LIFETIME, now + LIFETIME);
    assert_eq!(table.len(), 1);
}
