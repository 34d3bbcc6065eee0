//! What one instance does for many falls to one that can bear it.

use coordination::capacity;
use rstest::rstest;
use std::collections::BTreeSet;

#[rstest]
#[case(0.12, 0.25)]
#[case(0.25, 0.5)]
#[case(0.5, 1.0)]
#[case(1.0, 8.0)]
fn more_processor_is_a_higher_class(#[case] less: f64, #[case] more: f64) {
    let class = |cores| capacity::class(capacity::tag_id(u64::MAX, cores));
    assert!(class(less) < class(more), "{} {}", class(less), class(more));
}

#[test]
fn a_mark_leaves_the_rest_of_an_id() {
    let ids: BTreeSet<u64> = (0..100).map(|n| capacity::tag_id(n << 4, 0.5)).collect();
    assert_eq!(ids.len(), 100);
    assert_eq!(capacity::class(capacity::tag_id(7, 0.0)), 0);
    assert_eq!(capacity::class(capacity::tag_id(7, f64::INFINITY)), 15);
}

/// Regression: the account of a data centre fell to any instance, mostly one of an eighth
/// of a core, and its answers held up every request at a peak.
#[test]
fn an_account_falls_to_one_of_the_strongest() {
    let small = (1..=47).map(|n| capacity::tag_id(n << 20, 0.12));
    let large: Vec<u64> = (48..=50).map(|n| capacity::tag_id(n << 20, 0.5)).collect();
    let all: Vec<u64> = small.chain(large.iter().copied()).collect();
    let mut chosen = BTreeSet::new();
    for key in 0..200_u32 {
        let owner = capacity::owner(&key.to_le_bytes(), all.clone()).expect("one");
        assert!(large.contains(&owner));
        chosen.insert(owner);
    }
    assert_eq!(chosen.len(), 3, "they share what there is");
    let owner = capacity::owner(b"account", all.clone()).expect("one");
    let rest: Vec<u64> = all.into_iter().filter(|id| *id != owner).collect();
    let next = capacity::owner(b"account", rest).expect("one");
    assert!(next != owner && large.contains(&next));
}
