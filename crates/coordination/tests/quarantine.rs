//! Quarantine of requests that crash their targets.

use coordination::quarantine::{
    AnsweredParts, Contents, CrashReport, Decision, Policy, Suspect, Table, TargetStart,
};
use proptest::prelude::*;
use std::time::{Duration, Instant};

const HARMFUL: Suspect = Suspect::Request(7);
const HARMLESS: Suspect = Suspect::Request(8);
const HARMFUL_PART: u64 = 7;
const PART: u64 = 9;
const SUSPECTS: [Suspect; 6] = [
    Suspect::Request(0),
    Suspect::Request(1),
    Suspect::Request(2),
    Suspect::Part(0),
    Suspect::Part(1),
    Suspect::Part(2),
];

fn start(n: u64) -> TargetStart {
    TargetStart { target: format!("t{n}"), started_at: 0 }
}

fn report(suspect: Suspect, n: u64) -> CrashReport {
    CrashReport::new(suspect, start(n))
}

fn table() -> Table {
    Table::new(Policy::default(), Instant::now())
}

fn is_quarantined(table: &Table, suspect: Suspect, now: Instant) -> bool {
    table.decide(suspect, now) != Decision::Allowed
}

#[test]
fn request_is_quarantined_after_three_crashes() {
    let (mut table, now) = (table(), Instant::now());
    for n in 0..3 {
        assert_eq!(table.decide(HARMFUL, now), Decision::Allowed, "after {n} crashes");
        assert!(table.on_crash_report(report(HARMFUL, n), now));
        assert!(!table.on_crash_report(report(HARMFUL, n), now), "the same crash isn't new");
    }
    assert_eq!(table.decide(HARMFUL, now), Decision::Quarantined(Duration::from_secs(12)));
}

#[test]
fn restarted_target_counts_as_another_crash() {
    let (mut table, now) = (table(), Instant::now());
    for started_at in 1..=3 {
        let start = TargetStart { target: String::from("t"), started_at };
        assert!(table.on_crash_report(CrashReport::new(HARMFUL, start), now));
    }
    assert!(is_quarantined(&table, HARMFUL, now));
}

#[test]
fn explained_crashes_do_not_count_against_others() {
    let (mut table, now) = (table(), Instant::now());
    for n in 0..3 {
        table.on_crash_report(report(HARMFUL, n), now);
        table.on_crash_report(report(HARMLESS, n), now);
    }
    assert!(is_quarantined(&table, HARMLESS, now), "equal counts are both quarantined");
    table.on_crash_report(report(HARMFUL, 3), now);
    assert!(is_quarantined(&table, HARMFUL, now));
    assert_eq!(table.decide(HARMLESS, now), Decision::Allowed);
}

#[test]
fn two_harmful_requests_are_both_quarantined() {
    let (mut table, now) = (table(), Instant::now());
    for n in 0..4 {
        table.on_crash_report(report(HARMFUL, n), now);
    }
    table.on_crash_report(report(HARMLESS, 3), now);
    for n in 10..13 {
        table.on_crash_report(report(HARMLESS, n), now);
    }
    assert!(is_quarantined(&table, HARMFUL, now) && is_quarantined(&table, HARMLESS, now));
}

/// Two harmful requests may run on the same targets, so that each explains the other's crashes.
#[test]
fn many_crashes_quarantine_a_request_even_if_explained() {
    let (mut table, now) = (table(), Instant::now());
    for n in 0..6 {
        table.on_crash_report(report(HARMFUL, n), now);
    }
    for n in 0..4 {
        table.on_crash_report(report(HARMLESS, n), now);
    }
    assert!(!is_quarantined(&table, HARMLESS, now));
    table.on_crash_report(report(HARMLESS, 4), now);
    assert!(is_quarantined(&table, HARMLESS, now) && is_quarantined(&table, HARMFUL, now));
}

#[test]
fn complete_run_clears_a_request_on_all_instances() {
    let (mut here, mut there, now) = (table(), table(), Instant::now());
    for n in 0..3 {
        here.on_crash_report(report(HARMFUL, n), now);
        there.on_crash_report(report(HARMFUL, n), now);
    }
    let cleared = here.on_success(HARMFUL, now);
    assert_eq!(cleared.len(), 3);
    assert_eq!(here.decide(HARMFUL, now), Decision::Allowed);
    assert!(here.on_success(HARMFUL, now).is_empty(), "reported once");
    for report in cleared {
        assert!(there.on_crash_report(report, now));
    }
    assert_eq!(there.decide(HARMFUL, now), Decision::Allowed);
    assert_eq!(here.digest(), there.digest());
    // A late report of the crash doesn't undo it.
    assert!(!there.on_crash_report(report(HARMFUL, 0), now));
}

/// A harmful request crashes only two more targets in a day.
#[test]
fn trials_become_rare() {
    let (mut table, start) = (table(), Instant::now());
    for n in 0..3 {
        table.on_crash_report(report(HARMFUL, n), start);
    }
    let mut crashes = 0;
    for second in 0..24 * 3_600 {
        let now = start + Duration::from_secs(second);
        if table.on_trial(HARMFUL, now) {
            assert!(!table.on_trial(HARMFUL, now), "one at a time");
            crashes += 1;
            table.on_crash_report(report(HARMFUL, 100 + second), now);
        }
    }
    assert_eq!(crashes, 2);
}

/// A trial may be preempted, and its sender may be lost before it reports the outcome.
#[test]
fn unreported_trials_become_rare() {
    let (mut table, start) = (table(), Instant::now());
    for n in 0..3 {
        table.on_crash_report(report(HARMFUL, n), start);
    }
    let mut now = start;
    for _ in 0..2 {
        now += Duration::from_secs(12);
        assert!(table.on_trial(HARMFUL, now));
        assert_eq!(table.decide(HARMFUL, now), Decision::Quarantined(Duration::from_secs(12)));
    }
    now += Duration::from_secs(12);
    assert!(table.on_trial(HARMFUL, now));
    assert_eq!(table.decide(HARMFUL, now), Decision::Quarantined(Duration::from_secs(600)));
}

#[test]
fn reports_expire_and_late_ones_do_not_renew_them() {
    let policy = Policy { retention: Duration::from_secs(60), ..Policy::default() };
    let (mut table, start) = (Table::new(policy, Instant::now()), Instant::now());
    for n in 0..3 {
        table.on_crash_report(CrashReport { age_ms: 50_000, ..report(HARMFUL, n) }, start);
    }
    assert!(is_quarantined(&table, HARMFUL, start));
    let later = start + Duration::from_secs(61);
    assert!(!table.on_crash_report(CrashReport { age_ms: 111_000, ..report(HARMFUL, 0) }, later));
    table.on_crash_report(report(HARMLESS, 0), later);
    assert_eq!(table.decide(HARMFUL, later), Decision::Allowed);
}

#[test]
fn mass_crash_evicts_no_quarantined_request() {
    let policy = Policy { max_entries: 50, ..Policy::default() };
    let (mut table, now) = (Table::new(policy, Instant::now()), Instant::now());
    for n in 0..3 {
        table.on_crash_report(report(HARMFUL, n), now);
    }
    for n in 0..1_000 {
        table.on_crash_report(report(Suspect::Request(1_000 + n), 10 + n % 20), now);
    }
    assert!(is_quarantined(&table, HARMFUL, now));
    assert_eq!(table.quarantined(), 1);
}

#[test]
fn zero_max_crashes_disables_the_quarantine() {
    let (mut table, now) = (
        Table::new(Policy { max_crashes: 0, ..Policy::default() }, Instant::now()),
        Instant::now(),
    );
    for n in 0..9 {
        table.on_crash_report(report(HARMFUL, n), now);
    }
    assert_eq!(table.decide(HARMFUL, now), Decision::Allowed);
}

/// Reports that requests with these parts crashed target `n`.
fn crash_with_parts(table: &mut Table, parts: &[u64], n: u64, now: Instant) {
    for part in parts {
        table.on_crash_report(report(Suspect::Part(*part), n), now);
    }
}

fn decide_parts(table: &Table, parts: &[u64], now: Instant) -> Decision {
    table.decide_request(&Contents { request: 1_000, parts: parts.to_vec() }, now)
}

#[test]
fn part_is_quarantined_whatever_else_the_request_holds() {
    let (mut table, now) = (table(), Instant::now());
    for n in 0..3 {
        assert_eq!(decide_parts(&table, &[HARMFUL_PART], now), Decision::Allowed);
        crash_with_parts(&mut table, &[HARMFUL_PART, 20 + n], n, now);
    }
    let quarantined = Decision::Quarantined(Duration::from_secs(2));
    for parts in [vec![HARMFUL_PART], vec![1, HARMFUL_PART], vec![20, 2, HARMFUL_PART, 3]] {
        assert_eq!(decide_parts(&table, &parts, now), quarantined, "{parts:?}");
    }
    assert_eq!(decide_parts(&table, &[20, 21, 22], now), Decision::Allowed);
    assert_eq!(table.decide(HARMFUL, now), Decision::Allowed, "a request is no part");
}

/// Nothing distinguishes parts that always come together, so each of them alone is allowed.
#[test]
fn part_beside_the_harmful_one_is_allowed_without_it() {
    let (mut table, now) = (table(), Instant::now());
    for n in 0..3 {
        crash_with_parts(&mut table, &[HARMFUL_PART, PART], n, now);
    }
    assert_ne!(decide_parts(&table, &[PART, HARMFUL_PART], now), Decision::Allowed);
    assert_eq!(decide_parts(&table, &[PART], now), Decision::Allowed);
    assert_eq!(decide_parts(&table, &[HARMFUL_PART], now), Decision::Allowed);
    // The next crash tells them apart.
    crash_with_parts(&mut table, &[HARMFUL_PART], 3, now);
    assert_ne!(decide_parts(&table, &[HARMFUL_PART], now), Decision::Allowed);
    assert_eq!(decide_parts(&table, &[PART], now), Decision::Allowed);
}

#[test]
fn response_to_a_request_clears_its_parts() {
    let (mut table, now) = (table(), Instant::now());
    for n in 0..3 {
        crash_with_parts(&mut table, &[HARMFUL_PART, PART], n, now);
    }
    assert_eq!(table.on_success(Suspect::Part(PART), now).len(), 3);
    assert_ne!(decide_parts(&table, &[HARMFUL_PART], now), Decision::Allowed);
    assert_eq!(decide_parts(&table, &[PART], now), Decision::Allowed);
}

/// Requests that are on their way crash further targets, which says nothing of trials.
#[rstest::rstest]
#[case::three(3)]
#[case::twelve(12)]
fn trials_of_a_part_become_rare_whatever_the_first_crashes(#[case] first_crashes: u64) {
    let (mut table, start) = (table(), Instant::now());
    for n in 0..first_crashes {
        crash_with_parts(&mut table, &[HARMFUL_PART], n, start);
    }
    let mut crashes = Vec::new();
    for second in 0..24 * 3_600 {
        let now = start + Duration::from_secs(second);
        if table.on_trial(Suspect::Part(HARMFUL_PART), now) {
            crashes.push(second);
            crash_with_parts(&mut table, &[HARMFUL_PART], 100 + second, now);
        }
    }
    assert_eq!(crashes, [2, 14, 614]);
}

#[test]
fn answered_parts_are_remembered_for_a_while() {
    let start = Instant::now();
    let mut answered = AnsweredParts::new(start);
    answered.record(&[PART], start);
    assert!(answered.contains(PART, start + Duration::from_millis(4_900)));
    assert!(answered.contains(PART, start + Duration::from_millis(5_100)));
    assert!(!answered.contains(PART, start + Duration::from_millis(10_200)));
    assert!(!answered.contains(HARMFUL_PART, start));
}

fn take_in(table: &mut Table, reports: Vec<CrashReport>, now: Instant) {
    for report in reports {
        table.on_crash_report(report, now);
    }
}

prop_compose! {
    fn any_report()(n in 0..8_u64, index in 0..SUSPECTS.len(), is_cleared in any::<bool>()) -> CrashReport {
        CrashReport { is_cleared, ..report(SUSPECTS[index], n) }
    }
}

proptest! {
    /// All instances decide alike, whatever the order and repetition of reports.
    #[test]
    fn order_of_reports_does_not_matter(
        reports in proptest::collection::vec(any_report(), 0..40),
        again in proptest::collection::vec(any::<prop::sample::Index>(), 0..10),
    ) {
        let now = Instant::now();
        let (mut first, mut second) = (table(), table());
        for report in &reports {
            first.on_crash_report(report.clone(), now);
        }
        for report in reports.iter().rev() {
            second.on_crash_report(report.clone(), now);
        }
        for index in again.iter().filter(|_| !reports.is_empty()) {
            second.on_crash_report(index.get(&reports).clone(), now);
        }
        prop_assert_eq!(first.digest(), second.digest());
        for suspect in SUSPECTS {
            prop_assert_eq!(first.decide(suspect, now), second.decide(suspect, now));
            prop_assert_eq!(first.crashes(suspect), second.crashes(suspect));
        }
    }

    /// The digest and the decisions, which are updated incrementally, equal those of a table that
    /// takes in the same reports at once.
    #[test]
    fn incremental_state_equals_recomputed_state(
        steps in proptest::collection::vec((any_report(), any::<bool>()), 0..40),
    ) {
        let now = Instant::now();
        let mut table = table();
        for (report, is_success) in steps {
            if is_success {
                table.on_success(report.suspect, now);
            } else {
                table.on_crash_report(report, now);
            }
        }
        let mut whole = Table::new(Policy::default(), Instant::now());
        for suspect in SUSPECTS {
            take_in(&mut whole, table.crash_reports_of(suspect, now), now);
        }
        prop_assert_eq!(table.digest(), whole.digest());
        for suspect in SUSPECTS {
            prop_assert_eq!(table.decide(suspect, now), whole.decide(suspect, now));
        }
    }

    /// An exchange of reports reconciles two instances.
    #[test]
    fn exchange_of_reports_reconciles_two_instances(
        here in proptest::collection::vec(any_report(), 0..20),
        there in proptest::collection::vec(any_report(), 0..20),
    ) {
        let now = Instant::now();
        let (mut first, mut second) = (table(), table());
        take_in(&mut first, here, now);
        take_in(&mut second, there, now);
        take_in(&mut second, first.crash_reports(now), now);
        take_in(&mut first, second.crash_reports(now), now);
        take_in(&mut second, first.crash_reports(now), now);
        prop_assert_eq!(first.digest(), second.digest());
    }
}
