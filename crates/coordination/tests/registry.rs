//! Registry of targets: changes in any order, outages and reconciliation.

use coordination::registry::{Change, DIGEST_BUCKETS, Delta, Page, REREGISTRATION_GRACE, Registry};
use proptest::prelude::*;
use protocol::routing::{Origin, Target};
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
        cold_left_ms: 0,
        software: None,
    }
}

fn usable(registry: &Registry) -> Vec<&str> {
    let mut ids: Vec<&str> = registry.usable().map(|target| target.id.as_str()).collect();
    ids.sort_unstable();
    ids
}

#[test]
fn removal_applies_at_once_while_the_platform_is_available() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.on_list(vec![target("a", 1, false), target("b", 2, false)], 2, None, now);
    let mut delta = Delta::default();
    registry.on_removed("a", 3, None, now, &mut delta);
    let ran = Some(Origin { service: target("a", 1, false).service, software: None });
    assert_eq!(delta.changes, [Change::Gone { id: "a".into(), revision: 3, ran }]);
    assert_eq!(usable(&registry), ["b"]);
}

#[test]
fn missing_entries_are_removed_only_after_the_grace_period() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.on_list(vec![target("a", 1, false), target("b", 2, false)], 2, None, now);
    let mut delta = registry.on_list(Vec::new(), 9, Some(now), now);
    assert!(delta.changes.is_empty());
    delta.missing.sort_unstable();
    assert_eq!(delta.missing, ["a", "b"]);
    let second = registry.on_list(Vec::new(), 9, Some(now), now);
    assert!(second.missing.is_empty(), "reported once");
    assert_eq!(usable(&registry), ["a", "b"]);
    // One is renewed, the other isn't.
    registry.on_change(Change::Present(target("a", 11, false)));
    let later = now + REREGISTRATION_GRACE;
    let removed = registry.remove_expired(later);
    assert_eq!(removed.len(), 1);
    assert_eq!(usable(&registry), ["a"]);
    assert!(registry.remove_expired(later + Duration::from_secs(9)).is_empty());
}

#[test]
fn stale_changes_do_not_restore_a_leaving_target() {
    let mut registry = Registry::default();
    registry.on_change(Change::Present(target("a", 5, true)));
    assert!(usable(&registry).is_empty());
    assert!(!registry.on_change(Change::Present(target("a", 4, false))));
    assert!(usable(&registry).is_empty());
    registry.on_change(Change::Gone { id: "a".into(), revision: 6, ran: None });
    assert!(!registry.on_change(Change::Present(target("a", 5, false))));
    // The same target registers again after an expiry.
    assert!(registry.on_change(Change::Present(target("a", 8, false))));
    assert_eq!(usable(&registry), ["a"]);
}

#[test]
fn target_is_unusable_once_leaving_or_removed() {
    let mut registry = Registry::default();
    assert!(!registry.is_unusable("a"), "an unknown target may be newer");
    registry.on_change(Change::Present(target("a", 5, false)));
    assert!(!registry.is_unusable("a"));
    registry.on_change(Change::Present(target("a", 6, true)));
    assert!(registry.is_unusable("a"));
    assert_eq!(registry.change("a"), Some(Change::Present(target("a", 6, true))));
    let ran = Some(Origin { service: target("a", 1, false).service, software: None });
    let removed = Change::Gone { id: "a".into(), revision: 7, ran };
    registry.on_change(removed.clone());
    assert!(registry.is_unusable("a"));
    assert_eq!(registry.change("a"), Some(removed));
    registry.on_change(Change::Present(target("a", 8, false)));
    assert!(!registry.is_unusable("a"), "it is back");
}

fn changes() -> impl Strategy<Value = Vec<Change>> {
    let change = (0..4_u8, 1..40_u64, 0..4_u8).prop_map(|(id, revision, what)| {
        let id = format!("t{id}");
        match what {
            0 => Change::Gone { id, revision, ran: None },
            // An entry's content is a function of its revision.
            _ => Change::Present(target(&id, revision, revision.is_multiple_of(3))),
        }
    });
    proptest::collection::vec(change, 0..40)
}

proptest! {
    /// Instances that receive the same changes in different orders agree, as long as no revision
    /// both writes and removes a target.
    #[test]
    fn order_of_changes_does_not_matter(changes in changes(), seed in any::<u64>()) {
        let written = |id: &str, at: u64| changes.iter().any(|change| {
            matches!(change, Change::Present(t) if t.id == id && t.revision == at)
        });
        let clear = |change: &&Change| match change {
            Change::Gone { id, revision, .. } => !written(id, *revision),
            Change::Present(_) => true,
        };
        let changes: Vec<Change> = changes.iter().filter(clear).cloned().collect();
        let mut shuffled = changes.clone();
        let len = shuffled.len();
        for n in 0..len {
            shuffled.swap(n, (seed as usize).wrapping_mul(31 + n) % len);
        }
        let mut first = Registry::default();
        let mut second = Registry::default();
        changes.into_iter().for_each(|change| { first.on_change(change); });
        shuffled.into_iter().for_each(|change| { second.on_change(change); });
        prop_assert_eq!(usable(&first), usable(&second));
        prop_assert_eq!(first.digests(), second.digests());
    }

    /// One exchange of differing buckets brings an instance up to date, and a second one brings
    /// nothing.
    #[test]
    fn exchange_of_differing_buckets_reconciles_registries(
        common in changes(),
        missed in changes(),
    ) {
        let mut outdated = Registry::default();
        let mut current = Registry::default();
        for change in &common {
            outdated.on_change(change.clone());
            current.on_change(change.clone());
        }
        missed.into_iter().for_each(|change| { current.on_change(change); });
        for change in current.changes_in_differing_buckets(&outdated.digests()) {
            outdated.on_change(change);
        }
        prop_assert_eq!(outdated.digests(), current.digests());
        prop_assert!(current.changes_in_differing_buckets(&outdated.digests()).is_empty());
    }
}

/// An instance that starts fetches the registry in pages of bounded size, each entry once.
#[rstest::rstest]
#[case(10_000)]
#[case(20_000)]
fn pages_bring_an_empty_registry_up_to_date(#[case] count: usize) {
    const LIMIT: usize = 400;
    let mut known = Registry::default();
    for n in 0..count {
        known.on_change(Change::Present(target(&format!("target-{n}"), n as u64 + 1, false)));
    }
    let mut starting = Registry::default();
    let digests = starting.digests();
    let (mut pages, mut entries, mut next) = (0, 0, Some(0));
    while let Some(first) = next {
        let page = known.page(&digests, first, LIMIT);
        // A page ends with a whole bucket, whose size varies around the mean.
        let largest_bucket = count / DIGEST_BUCKETS * 2;
        assert!(page.changes.len() <= LIMIT + largest_bucket, "{}", page.changes.len());
        pages += 1;
        entries += page.changes.len();
        page.changes.into_iter().for_each(|change| assert!(starting.on_change(change)));
        next = page.next.map(|next| next as usize);
    }
    assert_eq!(entries, count);
    assert!(pages <= count / LIMIT + 1, "{pages} pages");
    assert_eq!(starting.digest(), known.digest());
    assert_eq!(known.page(&starting.digests(), 0, LIMIT), Page::default());
}

/// While targets register, an instance that compares again and again fetches each entry once.
#[rstest::rstest]
#[case(10_000)]
#[case(20_000)]
fn registry_that_grows_is_fetched_once(#[case] count: u64) {
    const LIMIT: usize = 400;
    let (mut known, mut starting) = (Registry::default(), Registry::default());
    let mut entries = 0;
    for step in 0..10 {
        for n in step * count / 10..(step + 1) * count / 10 {
            known.on_change(Change::Present(target(&format!("target-{n}"), n + 1, false)));
        }
        known.set_complete_through((step + 1) * count / 10);
        let mut next = Some(starting.complete_through());
        while let Some(from) = next {
            let page = known.changes_since(from, LIMIT);
            assert!(page.changes.len() <= LIMIT, "{}", page.changes.len());
            entries += page.changes.len();
            page.changes.into_iter().for_each(|change| assert!(starting.on_change(change)));
            next = page.next;
        }
        starting.set_complete_through(known.complete_through());
    }
    assert_eq!(entries as u64, count);
    assert_eq!(starting.digest(), known.digest());
}

/// Many new targets aren't sent to all, but each target that leaves is.
#[test]
fn new_targets_are_told_apart_from_urgent_changes() {
    let mut registry = Registry::default();
    let list = vec![target("a", 1, false), target("b", 2, false)];
    let first = registry.on_list(list, 5, None, Instant::now());
    assert_eq!((first.changes.len(), first.added.len()), (0, 2));
    let mut delta = Delta::default();
    registry.on_entry(target("a", 6, true), &mut delta);
    registry.on_entry(target("c", 7, false), &mut delta);
    registry.on_removed("b", 8, None, Instant::now(), &mut delta);
    let ids = |changes: &[Change]| -> Vec<String> {
        let id = |change: &Change| match change {
            Change::Present(target) => target.id.clone(),
            Change::Gone { id, .. } => id.clone(),
        };
        changes.iter().map(id).collect()
    };
    assert_eq!(ids(&delta.changes), ["a", "b"]);
    assert_eq!(ids(&delta.added), ["c"]);
    // One that was removed and comes back is urgent: its end is known everywhere.
    let mut delta = Delta::default();
    registry.on_entry(target("b", 9, false), &mut delta);
    assert_eq!(ids(&delta.changes), ["b"]);
}

/// Guards against a guess at the version of a stream that began at a target which is gone.
#[test]
fn version_of_a_removed_target_is_known_for_as_long_as_callers_return() {
    let of_version = |id: &str, revision, software: &str| Target {
        software: Some(String::from(software)),
        ..target(id, revision, false)
    };
    let service = target("a", 1, false).service;
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.on_change(Change::Present(of_version("a", 1, "v1")));
    assert_eq!(registry.only_software(&service), Some(&String::from("v1")));
    registry.on_change(Change::Present(of_version("b", 2, "v2")));
    assert_eq!(registry.only_software(&service), None);
    registry.on_removed("a", 3, None, now, &mut Delta::default());
    assert_eq!(registry.only_software(&service), None);
    // An instance that has just started learns of the removal from another one.
    let mut other = Registry::default();
    registry.changes_since(0, 10).changes.into_iter().for_each(|change| {
        other.on_change(change);
    });
    for registry in [&mut registry, &mut other] {
        registry.remove_expired(now);
        registry.remove_expired(now + Duration::from_secs(59));
        assert_eq!(registry.only_software(&service), None);
        registry.remove_expired(now + Duration::from_secs(60));
        assert_eq!(registry.only_software(&service), Some(&String::from("v2")));
    }
    // An entry that states another version replaces a start that is gone.
    registry.on_change(Change::Present(of_version("b", 4, "v3")));
    assert_eq!(registry.only_software(&service), None);
    registry.on_change(Change::Present(target("c", 5, false)));
    assert_eq!(registry.only_software(&service), None);
}
