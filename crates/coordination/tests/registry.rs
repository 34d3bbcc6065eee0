//! Targets as several instances learn of them, in any order.

use coordination::registry::{Change, Delta, REREGISTRATION_GRACE, Registry};
use proptest::prelude::*;
use protocol::routing::Target;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn target(id: &str, revision: u64, leaving: bool) -> Target {
    Target {
        id: id.to_owned(),
        started_at: 0,
        service: String::from("llm"),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        data_centre: String::from("east"),
        slots: 8,
        leaving,
        revision,
    }
}

fn usable(registry: &Registry) -> Vec<&str> {
    let mut ids: Vec<&str> = registry.usable().map(|target| target.id.as_str()).collect();
    ids.sort_unstable();
    ids
}

#[test]
fn a_removal_counts_at_once_while_the_platform_is_there() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.on_list(vec![target("a", 1, false), target("b", 2, false)], 2, None, now);
    let mut learnt = Delta::default();
    registry.on_removed("a", 3, None, now, &mut learnt);
    assert_eq!(learnt.changes, [Change::Gone { id: "a".into(), revision: 3 }]);
    assert_eq!(usable(&registry), ["b"]);
}

#[test]
fn entries_missing_after_an_outage_are_not_gone_until_they_stay_away() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.on_list(vec![target("a", 1, false), target("b", 2, false)], 2, None, now);
    let mut learnt = registry.on_list(Vec::new(), 9, Some(now), now);
    assert!(learnt.changes.is_empty());
    learnt.missing.sort_unstable();
    assert_eq!(learnt.missing, ["a", "b"]);
    let again = registry.on_list(Vec::new(), 9, Some(now), now);
    assert!(again.missing.is_empty(), "told once");
    assert_eq!(usable(&registry), ["a", "b"]);
    // One comes back, the other doesn't.
    registry.on_change(Change::Present(target("a", 11, false)));
    let later = now + REREGISTRATION_GRACE;
    let gone = registry.remove_expired(later);
    assert_eq!(gone.len(), 1);
    assert_eq!(usable(&registry), ["a"]);
    assert!(registry.remove_expired(later + Duration::from_secs(9)).is_empty());
}

#[test]
fn one_that_leaves_is_not_used_and_old_news_does_not_bring_it_back() {
    let mut registry = Registry::default();
    registry.on_change(Change::Present(target("a", 5, true)));
    assert!(usable(&registry).is_empty());
    assert!(!registry.on_change(Change::Present(target("a", 4, false))));
    assert!(usable(&registry).is_empty());
    registry.on_change(Change::Gone { id: "a".into(), revision: 6 });
    assert!(!registry.on_change(Change::Present(target("a", 5, false))));
    // The same target registers anew after a lapse.
    assert!(registry.on_change(Change::Present(target("a", 8, false))));
    assert_eq!(usable(&registry), ["a"]);
}

#[test]
fn a_target_has_left_once_it_is_leaving_or_gone() {
    let mut registry = Registry::default();
    assert!(!registry.is_unusable("a"), "unknown: whoever names it knows more");
    registry.on_change(Change::Present(target("a", 5, false)));
    assert!(!registry.is_unusable("a"));
    registry.on_change(Change::Present(target("a", 6, true)));
    assert!(registry.is_unusable("a"));
    assert_eq!(registry.change("a"), Some(Change::Present(target("a", 6, true))));
    let gone = Change::Gone { id: "a".into(), revision: 7 };
    registry.on_change(gone.clone());
    assert!(registry.is_unusable("a"));
    assert_eq!(registry.change("a"), Some(gone));
    registry.on_change(Change::Present(target("a", 8, false)));
    assert!(!registry.is_unusable("a"), "it is back");
}

fn changes() -> impl Strategy<Value = Vec<Change>> {
    let change = (0..4_u8, 1..40_u64, 0..4_u8).prop_map(|(id, revision, what)| {
        let id = format!("t{id}");
        match what {
            0 => Change::Gone { id, revision },
            // What an entry says is a function of its revision.
            _ => Change::Present(target(&id, revision, revision.is_multiple_of(3))),
        }
    });
    proptest::collection::vec(change, 0..40)
}

proptest! {
    /// Instances that learn the same changes in different orders agree, as long
    /// as no revision both writes and removes a target.
    #[test]
    fn the_order_of_news_does_not_matter(changes in changes(), seed in any::<u64>()) {
        let written = |id: &str, at: u64| changes.iter().any(|change| {
            matches!(change, Change::Present(t) if t.id == id && t.revision == at)
        });
        let clear = |change: &&Change| match change {
            Change::Gone { id, revision } => !written(id, *revision),
            Change::Present(_) => true,
        };
        let changes: Vec<Change> = changes.iter().filter(clear).cloned().collect();
        let mut shuffled = changes.clone();
        let len = shuffled.len();
        for n in 0..len {
            shuffled.swap(n, (seed as usize).wrapping_mul(31 + n) % len);
        }
        let mut one = Registry::default();
        let mut other = Registry::default();
        changes.into_iter().for_each(|change| { one.on_change(change); });
        shuffled.into_iter().for_each(|change| { other.on_change(change); });
        prop_assert_eq!(usable(&one), usable(&other));
        prop_assert_eq!(one.digests(), other.digests());
    }

    /// Whatever two instances know, one exchange of what differs makes the first
    /// know all that the second does, and a second exchange brings nothing.
    #[test]
    fn an_exchange_of_differing_parts_closes_every_gap(
        known in changes(),
        missed in changes(),
    ) {
        let mut behind = Registry::default();
        let mut ahead = Registry::default();
        for change in &known {
            behind.on_change(change.clone());
            ahead.on_change(change.clone());
        }
        missed.into_iter().for_each(|change| { ahead.on_change(change); });
        for change in ahead.changes_in_differing_buckets(&behind.digests()) {
            behind.on_change(change);
        }
        prop_assert_eq!(behind.digests(), ahead.digests());
        prop_assert!(ahead.changes_in_differing_buckets(&behind.digests()).is_empty());
    }
}
