//! Choice of an owner by CPU capacity.

use coordination::capacity;
use rstest::rstest;
use std::collections::BTreeSet;

#[rstest]
#[case(0.12, 0.25)]
#[case(0.25, 0.5)]
#[case(0.5, 1.0)]
#[case(1.0, 8.0)]
fn class_grows_with_cpu_cores(#[case] less: f64, #[case] more: f64) {
    let class = |cores| capacity::class(capacity::tag_id(u64::MAX, cores));
    assert!(class(less) < class(more), "{} {}", class(less), class(more));
}

#[test]
fn tag_id_keeps_the_other_bits() {
    let ids: BTreeSet<u64> = (0..100).map(|n| capacity::tag_id(n << 4, 0.5)).collect();
    assert_eq!(ids.len(), 100);
    assert_eq!(capacity::class(capacity::tag_id(7, 0.0)), 0);
    assert_eq!(capacity::class(capacity::tag_id(7, f64::INFINITY)), 15);
}

/// Regression: small instances owned the slot allocator, and their slow replies held up all
/// requests at a peak.
#[test]
fn owner_is_of_the_highest_class() {
    let small = (1..=47).map(|n| capacity::tag_id(n << 20, 0.12));
    let large: Vec<u64> = (48..=50).map(|n| capacity::tag_id(n << 20, 0.5)).collect();
    let all: Vec<u64> = small.chain(large.iter().copied()).collect();
    let mut owners = BTreeSet::new();
    for key in 0..200_u32 {
        let owner = capacity::owner(&key.to_le_bytes(), all.clone()).expect("an owner");
        assert!(large.contains(&owner));
        owners.insert(owner);
    }
    assert_eq!(owners.len(), 3, "all large instances own keys");
    let owner = capacity::owner(b"account", all.clone()).expect("an owner");
    let rest: Vec<u64> = all.into_iter().filter(|id| *id != owner).collect();
    let next = capacity::owner(b"account", rest).expect("an owner");
    assert!(next != owner && large.contains(&next));
}
