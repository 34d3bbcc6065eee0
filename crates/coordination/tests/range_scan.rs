//! A shared scan misses no name and reads none twice.

use coordination::range_scan::{Range, Schedule, View, assigned_range};
use proptest::prelude::*;
use rstest::rstest;
use std::time::{Duration, Instant};

proptest! {
    #[test]
    fn scan_assigns_every_name_to_exactly_one_member(
        members in prop::collection::hash_set(any::<u64>(), 1..80),
        names in prop::collection::vec("[0-9a-z]{1,8}", 1..40),
        members_per_scanner in 1_usize..10,
    ) {
        for name in &names {
            let reads = |me: &&u64| {
                assigned_range(**me, members.iter().copied(), members_per_scanner).is_some_and(|range| {
                    range.after.is_none_or(|after| name.as_str() > after)
                        && range.is_before_end(name)
                })
            };
            prop_assert_eq!(members.iter().filter(reads).count(), 1, "{}", name);
        }
    }
}

#[rstest]
#[case::few_members_read_alone(9, 1)]
#[case::one_in_eight(55, 7)]
#[case::no_more_than_there_are_ranges(400, 16)]
fn scanners_grow_with_the_fleet(#[case] members: u64, #[case] scanners: usize) {
    let members_per_scanner = if members == 9 { 9 } else { 8 };
    let all = 1..=members;
    let reads =
        all.clone().filter(|me| assigned_range(*me, all.clone(), members_per_scanner).is_some());
    assert_eq!(reads.count(), scanners);
}

const MS: Duration = Duration::from_millis(1);

/// A view in which `members` is the version of the membership.
fn view(members: u64, range: Option<Range>) -> View {
    View { losses: 0, version: members, range }
}

fn range(rank: usize) -> Option<Range> {
    let members: Vec<u64> = (0..80).collect();
    members.iter().filter_map(|me| assigned_range(*me, members.iter().copied(), 8)).nth(rank)
}

/// Guards against names that nobody reads: after a start of all members, two read one range, since
/// their views differed, and the range that one of them was left with wasn't due for a minute.
#[test]
fn range_that_changes_soon_after_a_complete_scan_is_scanned() {
    let start = Instant::now();
    let mut schedule = Schedule::new(start);
    assert!(schedule.is_due(view(1, range(0)), start + MS * 1_500));
    schedule.on_scan(range(0), true, start + MS * 3_100);
    assert!(!schedule.is_due(view(1, range(0)), start + MS * 3_200), "nothing has changed");
    assert!(!schedule.is_due(view(2, range(1)), start + MS * 3_300), "members are changing");
    assert!(schedule.is_due(view(2, range(1)), start + MS * 3_600));
    schedule.on_scan(range(1), true, start + MS * 3_700);
    assert!(!schedule.is_due(view(2, range(1)), start + MS * 9_000));
}

/// A member that scanned nothing in its first view may be given a range later.
#[test]
fn range_that_is_assigned_after_the_start_is_scanned() {
    let start = Instant::now();
    let mut schedule = Schedule::new(start);
    schedule.on_scan(None, true, start + MS * 3_100);
    assert!(!schedule.is_due(view(1, None), start + MS * 3_400));
    assert!(!schedule.is_due(view(2, range(3)), start + MS * 3_500));
    assert!(schedule.is_due(view(2, range(3)), start + MS * 3_800));
}

/// Guards against names that a lost member wrote last: a scan after an earlier loss, a moment too
/// early for them, stood in for the one after its own.
#[test]
fn each_loss_is_followed_by_a_scan_of_its_own() {
    let start = Instant::now();
    let mut schedule = Schedule::new(start);
    let view = |losses| View { losses, version: 1 + losses, range: range(0) };
    assert!(schedule.is_due(view(0), start + MS * 1_500));
    schedule.on_scan(range(0), true, start + MS * 1_600);
    assert!(!schedule.is_due(view(1), start + MS * 20_000));
    assert!(!schedule.is_due(view(2), start + MS * 21_500));
    assert!(schedule.is_due(view(2), start + MS * 22_000), "the first loss");
    schedule.on_scan(range(0), true, start + MS * 22_500);
    assert!(!schedule.is_due(view(2), start + MS * 23_400));
    assert!(schedule.is_due(view(2), start + MS * 23_500), "the second loss");
    schedule.on_scan(range(0), true, start + MS * 23_600);
    assert!(!schedule.is_due(view(2), start + MS * 60_000));
}

/// Guards against scans at every change of the members: each costs calls of the platform.
#[test]
fn later_change_of_the_range_waits_for_the_next_scan() {
    let start = Instant::now();
    let mut schedule = Schedule::new(start);
    schedule.on_scan(range(0), true, start + MS * 3_100);
    assert!(!schedule.is_due(view(1, range(0)), start + MS * 3_200));
    assert!(!schedule.is_due(view(2, range(1)), start + MS * 20_000));
    assert!(!schedule.is_due(view(2, range(1)), start + MS * 21_000));
    let lost = View { losses: 1, ..view(3, range(1)) };
    assert!(!schedule.is_due(lost, start + MS * 22_000), "others may be lost with it");
    assert!(!schedule.is_due(lost, start + MS * 23_900));
    assert!(schedule.is_due(lost, start + MS * 24_000));
}
