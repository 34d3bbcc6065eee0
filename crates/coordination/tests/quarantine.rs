//! Which requests are held because they crash their targets.

use coordination::quarantine::{CrashReport, Decision, Policy, Table, TargetStart};
use proptest::prelude::*;
use std::time::{Duration, Instant};

const DEADLY: u64 = 7;
const SOUND: u64 = 8;

fn boot(n: u64) -> TargetStart {
    TargetStart { target: format!("t{n}"), started_at: 0 }
}

fn strike(content: u64, n: u64) -> CrashReport {
    CrashReport::new(content, boot(n))
}

fn table() -> Table {
    Table::new(Policy::default(), Instant::now())
}

fn is_held(table: &Table, content: u64, now: Instant) -> bool {
    table.decide(content, now) != Decision::Allowed
}

#[test]
fn a_request_is_held_after_three_crashes() {
    let (mut table, now) = (table(), Instant::now());
    for n in 0..3 {
        assert_eq!(table.decide(DEADLY, now), Decision::Allowed, "after {n} crashes");
        assert!(table.on_crash_report(strike(DEADLY, n), now));
        assert!(!table.on_crash_report(strike(DEADLY, n), now), "the same crash is no news");
    }
    assert_eq!(table.decide(DEADLY, now), Decision::Quarantined(Duration::from_secs(12)));
}

#[test]
fn a_target_that_starts_again_under_its_id_crashes_anew() {
    let (mut table, now) = (table(), Instant::now());
    for born in 1..=3 {
        let boot = TargetStart { target: String::from("t"), started_at: born };
        assert!(table.on_crash_report(CrashReport::new(DEADLY, boot), now));
    }
    assert!(is_held(&table, DEADLY, now));
}

#[test]
fn what_ran_beside_a_held_request_is_not_blamed() {
    let (mut table, now) = (table(), Instant::now());
    for n in 0..3 {
        table.on_crash_report(strike(DEADLY, n), now);
        table.on_crash_report(strike(SOUND, n), now);
    }
    assert!(is_held(&table, SOUND, now), "the two can't be told apart");
    table.on_crash_report(strike(DEADLY, 3), now);
    assert!(is_held(&table, DEADLY, now));
    assert_eq!(table.decide(SOUND, now), Decision::Allowed);
}

#[test]
fn two_requests_that_crash_their_targets_are_both_held() {
    let (mut table, now) = (table(), Instant::now());
    for n in 0..4 {
        table.on_crash_report(strike(DEADLY, n), now);
    }
    table.on_crash_report(strike(SOUND, 3), now);
    for n in 10..13 {
        table.on_crash_report(strike(SOUND, n), now);
    }
    assert!(is_held(&table, DEADLY, now) && is_held(&table, SOUND, now));
}

/// Two that crash their targets may run on the same ones, so that each explains the other.
#[test]
fn a_request_with_many_crashes_is_held_whatever_explains_them() {
    let (mut table, now) = (table(), Instant::now());
    for n in 0..6 {
        table.on_crash_report(strike(DEADLY, n), now);
    }
    for n in 0..4 {
        table.on_crash_report(strike(SOUND, n), now);
    }
    assert!(!is_held(&table, SOUND, now));
    table.on_crash_report(strike(SOUND, 4), now);
    assert!(is_held(&table, SOUND, now) && is_held(&table, DEADLY, now));
}

#[test]
fn a_whole_run_acquits_and_the_word_of_it_does_elsewhere() {
    let (mut here, mut there, now) = (table(), table(), Instant::now());
    for n in 0..3 {
        here.on_crash_report(strike(DEADLY, n), now);
        there.on_crash_report(strike(DEADLY, n), now);
    }
    let acquitted = here.on_success(DEADLY, now);
    assert_eq!(acquitted.len(), 3);
    assert_eq!(here.decide(DEADLY, now), Decision::Allowed);
    assert!(here.on_success(DEADLY, now).is_empty(), "told once");
    for word in acquitted {
        assert!(there.on_crash_report(word, now));
    }
    assert_eq!(there.decide(DEADLY, now), Decision::Allowed);
    assert_eq!(here.digest(), there.digest());
    // A late word of the crash doesn't bring it back.
    assert!(!there.on_crash_report(strike(DEADLY, 0), now));
}

/// A request that does crash its targets crashes two more of them in a day.
#[test]
fn trials_become_rare() {
    let (mut table, start) = (table(), Instant::now());
    for n in 0..3 {
        table.on_crash_report(strike(DEADLY, n), start);
    }
    let mut crashes = 0;
    for second in 0..24 * 3_600 {
        let now = start + Duration::from_secs(second);
        if table.on_trial(DEADLY, now) {
            assert!(!table.on_trial(DEADLY, now), "one at a time");
            crashes += 1;
            table.on_crash_report(strike(DEADLY, 100 + second), now);
        }
    }
    assert_eq!(crashes, 2);
}

/// A trial may be stopped for other work; and an instance that sends one may be gone before
/// it can tell how it ended.
#[test]
fn trials_of_which_nobody_hears_become_rare_as_well() {
    let (mut table, start) = (table(), Instant::now());
    for n in 0..3 {
        table.on_crash_report(strike(DEADLY, n), start);
    }
    let mut now = start;
    for _ in 0..2 {
        now += Duration::from_secs(12);
        assert!(table.on_trial(DEADLY, now));
        assert_eq!(table.decide(DEADLY, now), Decision::Quarantined(Duration::from_secs(12)));
    }
    now += Duration::from_secs(12);
    assert!(table.on_trial(DEADLY, now));
    assert_eq!(table.decide(DEADLY, now), Decision::Quarantined(Duration::from_secs(600)));
}

#[test]
fn strikes_are_forgotten_after_their_time_and_not_refreshed_by_late_words() {
    let policy = Policy { retention: Duration::from_secs(60), ..Policy::default() };
    let (mut table, start) = (Table::new(policy, Instant::now()), Instant::now());
    for n in 0..3 {
        table.on_crash_report(CrashReport { age_ms: 50_000, ..strike(DEADLY, n) }, start);
    }
    assert!(is_held(&table, DEADLY, start));
    let later = start + Duration::from_secs(61);
    assert!(!table.on_crash_report(CrashReport { age_ms: 111_000, ..strike(DEADLY, 0) }, later));
    table.on_crash_report(strike(SOUND, 0), later);
    assert_eq!(table.decide(DEADLY, later), Decision::Allowed);
}

#[test]
fn a_mass_crash_drives_out_no_request_that_is_held() {
    let policy = Policy { max_entries: 50, ..Policy::default() };
    let (mut table, now) = (Table::new(policy, Instant::now()), Instant::now());
    for n in 0..3 {
        table.on_crash_report(strike(DEADLY, n), now);
    }
    for n in 0..1_000 {
        table.on_crash_report(strike(1_000 + n, 10 + n % 20), now);
    }
    assert!(is_held(&table, DEADLY, now));
    assert_eq!(table.quarantined(), 1);
}

#[test]
fn nothing_is_held_without_a_bound() {
    let (mut table, now) = (
        Table::new(Policy { max_crashes: 0, ..Policy::default() }, Instant::now()),
        Instant::now(),
    );
    for n in 0..9 {
        table.on_crash_report(strike(DEADLY, n), now);
    }
    assert_eq!(table.decide(DEADLY, now), Decision::Allowed);
}

fn learn(table: &mut Table, strikes: Vec<CrashReport>, now: Instant) {
    for strike in strikes {
        table.on_crash_report(strike, now);
    }
}

prop_compose! {
    fn any_strike()(content in 0..4_u64, n in 0..8_u64, is_acquitted in any::<bool>()) -> CrashReport {
        CrashReport { is_cleared: is_acquitted, ..strike(content, n) }
    }
}

proptest! {
    /// Whatever order strikes come in, and how often, all instances decide alike.
    #[test]
    fn the_order_of_strikes_does_not_matter(
        strikes in proptest::collection::vec(any_strike(), 0..40),
        again in proptest::collection::vec(any::<prop::sample::Index>(), 0..10),
    ) {
        let now = Instant::now();
        let (mut one, mut other) = (table(), table());
        for strike in &strikes {
            one.on_crash_report(strike.clone(), now);
        }
        for strike in strikes.iter().rev() {
            other.on_crash_report(strike.clone(), now);
        }
        for index in again.iter().filter(|_| !strikes.is_empty()) {
            other.on_crash_report(index.get(&strikes).clone(), now);
        }
        prop_assert_eq!(one.digest(), other.digest());
        for content in 0..4 {
            prop_assert_eq!(one.decide(content, now), other.decide(content, now));
            prop_assert_eq!(one.crashes(content), other.crashes(content));
        }
    }

    /// The digest is kept up to date piece by piece, and so is what is held: both agree with
    /// a table that learns the same at once.
    #[test]
    fn what_is_kept_piece_by_piece_agrees_with_the_whole(
        steps in proptest::collection::vec((any_strike(), any::<bool>()), 0..40),
    ) {
        let now = Instant::now();
        let mut table = table();
        for (strike, is_success) in steps {
            if is_success {
                table.on_success(strike.fingerprint, now);
            } else {
                table.on_crash_report(strike, now);
            }
        }
        let mut whole = Table::new(Policy::default(), Instant::now());
        for content in 0..4 {
            learn(&mut whole, table.crash_reports_of(content, now), now);
        }
        prop_assert_eq!(table.digest(), whole.digest());
        for content in 0..4 {
            prop_assert_eq!(table.decide(content, now), whole.decide(content, now));
        }
    }

    /// What differs between two instances is made up for by an exchange.
    #[test]
    fn an_exchange_makes_two_instances_agree(
        here in proptest::collection::vec(any_strike(), 0..20),
        there in proptest::collection::vec(any_strike(), 0..20),
    ) {
        let now = Instant::now();
        let (mut one, mut other) = (table(), table());
        learn(&mut one, here, now);
        learn(&mut other, there, now);
        learn(&mut other, one.crash_reports(now), now);
        learn(&mut one, other.crash_reports(now), now);
        learn(&mut other, one.crash_reports(now), now);
        prop_assert_eq!(one.digest(), other.digest());
    }
}
