//! Targets that fail, fall silent or are doubted.

use crate::{MS, ask, grant, ledger, target};
use coordination::slots::{
    Allocator, Decision, Grant, LeaseOutcome, LeaseReport, Policy, Purpose, Request,
};
use protocol::routing::Target;
use rstest::rstest;
use std::time::{Duration, Instant};

#[test]
fn a_silent_target_is_left_alone_and_returns_gently() {
    let now = Instant::now();
    let mut ledger = ledger(2, now);
    let lost = grant(&mut ledger, ask(Purpose::Online, now), now);
    let silent = LeaseReport { outcome: LeaseOutcome::Unresponsive, ..LeaseReport::default() };
    ledger.on_release(lost.lease, silent, now);
    for _ in 0..2 {
        assert_ne!(grant(&mut ledger, ask(Purpose::Online, now), now).target, lost.target);
    }
    let later = now + Duration::from_secs(3);
    let back = grant(&mut ledger, ask(Purpose::Online, later), later);
    assert_eq!(back.target, lost.target);
    // One at a time until it has done a few.
    assert!(matches!(ledger.on_request(ask(Purpose::Online, later), later), Decision::Full(_)));
}

/// Regression: when all connections of the fleet were reset, each target lost eight
/// requests at once, and was taken out of use for eight failures in a row: no slot
/// for three seconds, though all were sound.
#[test]
fn requests_that_break_off_together_are_one_event() {
    let now = Instant::now();
    let mut ledger = Allocator::new(Policy::default(), 0, now - Duration::from_secs(10));
    ledger.set_targets(&[target(0, 8)]);
    let leases: Vec<Grant> =
        (0..8).map(|_| grant(&mut ledger, ask(Purpose::Online, now), now)).collect();
    let broken = LeaseReport { outcome: LeaseOutcome::Interrupted, ..LeaseReport::default() };
    for (n, lease) in leases.iter().enumerate() {
        ledger.on_release(lease.lease, broken, now + MS * (100 + n as u32));
    }
    let later = now + MS * 200;
    for n in 0..2 {
        let at = later + MS * n;
        let next = grant(&mut ledger, ask(Purpose::Online, at), at);
        ledger.on_release(next.lease, broken, at + MS);
    }
    let after = later + MS * 10;
    let verdict = ledger.on_request(ask(Purpose::Online, after), after);
    assert!(matches!(verdict, Decision::Full(_)), "one after the other they are: {verdict:?}");
}

#[test]
fn a_doubted_target_is_used_last() {
    let now = Instant::now();
    let mut ledger = ledger(2, now);
    ledger.on_overdue("t0", now);
    for _ in 0..2 {
        assert_eq!(grant(&mut ledger, ask(Purpose::Online, now), now).target, "t1");
    }
    assert_eq!(grant(&mut ledger, ask(Purpose::Online, now), now).target, "t0");
}

/// A request on a target ended so.
fn end_at(ledger: &mut Allocator, target: &str, end: LeaseOutcome, now: Instant) {
    let avoid = (0..8).map(|n| format!("t{n}")).filter(|id| id != target).collect();
    let grant = grant(ledger, Request { excluded: avoid, ..ask(Purpose::Online, now) }, now);
    ledger.on_release(grant.lease, LeaseReport { outcome: end, ..LeaseReport::default() }, now);
}

/// Regression: only failures in a row took a target out of use, so one that failed
/// every second request was given as many as the others.
#[rstest]
#[case::breaks_off(LeaseOutcome::Interrupted)]
#[case::answers_with_a_failure(LeaseOutcome::Failed)]
fn a_target_that_fails_in_part_is_used_last_and_not_for_batch(#[case] failure: LeaseOutcome) {
    let now = Instant::now();
    let mut ledger = ledger(2, now);
    for _ in 0..4 {
        end_at(&mut ledger, "t0", failure, now);
        end_at(&mut ledger, "t0", LeaseOutcome::Completed, now);
        end_at(&mut ledger, "t1", LeaseOutcome::Completed, now);
    }
    end_at(&mut ledger, "t0", failure, now);
    for _ in 0..2 {
        assert_eq!(grant(&mut ledger, ask(Purpose::Batch, now), now).target, "t1");
    }
    assert!(matches!(ledger.on_request(ask(Purpose::Batch, now), now), Decision::Full(_)));
    // A slot of batch at the sound target goes before a free one at the other.
    let Decision::Granted(online, Some(_)) = ledger.on_request(ask(Purpose::Online, now), now)
    else {
        panic!("batch isn't stopped");
    };
    assert_eq!(online.target, "t1");
    // Old failures say little: it gets another chance.
    let later = now + Duration::from_secs(20);
    assert_eq!(grant(&mut ledger, ask(Purpose::Batch, later), later).target, "t0");
}

#[test]
fn one_failure_now_and_then_takes_no_target_out_of_use() {
    let now = Instant::now();
    let mut ledger = ledger(1, now);
    for _ in 0..10 {
        for _ in 0..12 {
            end_at(&mut ledger, "t0", LeaseOutcome::Completed, now);
        }
        end_at(&mut ledger, "t0", LeaseOutcome::Failed, now);
    }
    assert_eq!(grant(&mut ledger, ask(Purpose::Batch, now), now).target, "t0");
}

/// A target that starts again under its id holds nothing of before, and is not to blame
/// for how its last start ended.
#[test]
fn a_target_that_has_started_again_is_a_new_one() {
    let now = Instant::now();
    let mut ledger = ledger(1, now);
    let old = grant(&mut ledger, ask(Purpose::Online, now), now);
    let lost = grant(&mut ledger, ask(Purpose::Online, now), now);
    let silent = LeaseReport { outcome: LeaseOutcome::Unresponsive, ..LeaseReport::default() };
    ledger.on_release(lost.lease, silent, now);
    let verdict = ledger.on_request(ask(Purpose::Online, now), now);
    assert!(matches!(verdict, Decision::Full(_)), "out of use: {verdict:?}");
    ledger.set_targets(&[Target { started_at: 7, revision: 2, ..target(0, 2) }]);
    for _ in 0..2 {
        grant(&mut ledger, ask(Purpose::Online, now), now);
    }
    // The end of a run of the earlier start frees no slot of this one.
    ledger.on_release(old.lease, LeaseReport::default(), now);
    assert_eq!(ledger.in_use(), [2, 0]);
    let verdict = ledger.on_request(ask(Purpose::Online, now), now);
    assert!(matches!(verdict, Decision::Full(_)), "{verdict:?}");
}
