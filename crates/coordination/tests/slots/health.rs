//! Targets that fail, are unresponsive or have overdue requests.

use crate::{MS, allocator, grant, request, target};
use coordination::slots::{
    Allocator, Decision, Grant, LeaseOutcome, LeaseReport, Policy, Purpose, Request,
};
use protocol::routing::Target;
use rstest::rstest;
use std::time::{Duration, Instant};

#[test]
fn unresponsive_target_is_ejected_then_readmitted_on_probation() {
    let now = Instant::now();
    let mut allocator = allocator(2, now);
    let lease = grant(&mut allocator, request(Purpose::Online, now), now);
    let unresponsive =
        LeaseReport { outcome: LeaseOutcome::Unresponsive, ..LeaseReport::default() };
    allocator.on_release(lease.lease, unresponsive, now);
    for _ in 0..2 {
        assert_ne!(grant(&mut allocator, request(Purpose::Online, now), now).target, lease.target);
    }
    let later = now + Duration::from_secs(3);
    let readmitted = grant(&mut allocator, request(Purpose::Online, later), later);
    assert_eq!(readmitted.target, lease.target);
    // On probation it gets one request at a time.
    assert!(matches!(
        allocator.on_request(request(Purpose::Online, later), later),
        Decision::Full(_)
    ));
}

/// Regression: a reset of all connections interrupted eight requests of each target, and ejected
/// every target for eight failures in a row.
#[test]
fn interruptions_at_once_count_as_one_failure() {
    let now = Instant::now();
    let mut allocator = Allocator::new(Policy::default(), 0, now - Duration::from_secs(10));
    allocator.set_targets(&[target(0, 8)], now);
    let leases: Vec<Grant> =
        (0..8).map(|_| grant(&mut allocator, request(Purpose::Online, now), now)).collect();
    let interrupted = LeaseReport { outcome: LeaseOutcome::Interrupted, ..LeaseReport::default() };
    for (n, lease) in leases.iter().enumerate() {
        allocator.on_release(lease.lease, interrupted, now + MS * (100 + n as u32));
    }
    let later = now + MS * 200;
    for n in 0..2 {
        let at = later + MS * n;
        let next = grant(&mut allocator, request(Purpose::Online, at), at);
        allocator.on_release(next.lease, interrupted, at + MS);
    }
    let after = later + MS * 10;
    let decision = allocator.on_request(request(Purpose::Online, after), after);
    assert!(matches!(decision, Decision::Full(_)), "consecutive failures eject it: {decision:?}");
}

#[test]
fn overdue_target_is_used_last() {
    let now = Instant::now();
    let mut allocator = allocator(2, now);
    allocator.on_overdue("t0", now);
    for _ in 0..2 {
        assert_eq!(grant(&mut allocator, request(Purpose::Online, now), now).target, "t1");
    }
    assert_eq!(grant(&mut allocator, request(Purpose::Online, now), now).target, "t0");
}

/// Runs one request on `target` with this outcome.
fn finish_at(allocator: &mut Allocator, target: &str, outcome: LeaseOutcome, now: Instant) {
    let avoid = (0..8).map(|n| format!("t{n}")).filter(|id| id != target).collect();
    let grant = grant(allocator, Request { excluded: avoid, ..request(Purpose::Online, now) }, now);
    allocator.on_release(grant.lease, LeaseReport { outcome, ..LeaseReport::default() }, now);
}

/// Regression: only consecutive failures ejected a target, so one that failed every second request
/// got as many as the others.
#[rstest]
#[case::breaks_off(LeaseOutcome::Interrupted)]
#[case::answers_with_a_failure(LeaseOutcome::Failed)]
fn partly_failing_target_is_used_last_and_not_for_batch(#[case] failure: LeaseOutcome) {
    let now = Instant::now();
    let mut allocator = allocator(2, now);
    for _ in 0..4 {
        finish_at(&mut allocator, "t0", failure, now);
        finish_at(&mut allocator, "t0", LeaseOutcome::Completed, now);
        finish_at(&mut allocator, "t1", LeaseOutcome::Completed, now);
    }
    finish_at(&mut allocator, "t0", failure, now);
    for _ in 0..2 {
        assert_eq!(grant(&mut allocator, request(Purpose::Batch, now), now).target, "t1");
    }
    assert!(matches!(allocator.on_request(request(Purpose::Batch, now), now), Decision::Full(_)));
    // A batch slot on the healthy target precedes a free one on the other.
    let Decision::Granted(online, Some(_)) =
        allocator.on_request(request(Purpose::Online, now), now)
    else {
        panic!("batch isn't preempted");
    };
    assert_eq!(online.target, "t1");
    // Old failures decay, so it is tried again.
    let later = now + Duration::from_secs(20);
    assert_eq!(grant(&mut allocator, request(Purpose::Batch, later), later).target, "t0");
}

#[test]
fn rare_failures_do_not_exclude_a_target() {
    let now = Instant::now();
    let mut allocator = allocator(1, now);
    for _ in 0..10 {
        for _ in 0..12 {
            finish_at(&mut allocator, "t0", LeaseOutcome::Completed, now);
        }
        finish_at(&mut allocator, "t0", LeaseOutcome::Failed, now);
    }
    assert_eq!(grant(&mut allocator, request(Purpose::Batch, now), now).target, "t0");
}

/// A target that restarts under its id has no leases, and isn't blamed for how its last start
/// ended.
#[test]
fn restarted_target_has_no_leases_or_failures() {
    let now = Instant::now();
    let mut allocator = allocator(1, now);
    let old = grant(&mut allocator, request(Purpose::Online, now), now);
    let lease = grant(&mut allocator, request(Purpose::Online, now), now);
    let unresponsive =
        LeaseReport { outcome: LeaseOutcome::Unresponsive, ..LeaseReport::default() };
    allocator.on_release(lease.lease, unresponsive, now);
    let decision = allocator.on_request(request(Purpose::Online, now), now);
    assert!(matches!(decision, Decision::Full(_)), "ejected: {decision:?}");
    allocator.set_targets(&[Target { started_at: 7, revision: 2, ..target(0, 2) }], now);
    for _ in 0..2 {
        grant(&mut allocator, request(Purpose::Online, now), now);
    }
    // A release from the earlier start frees no slot of this one.
    allocator.on_release(old.lease, LeaseReport::default(), now);
    assert_eq!(allocator.in_use(), [2, 0]);
    let decision = allocator.on_request(request(Purpose::Online, now), now);
    assert!(matches!(decision, Decision::Full(_)), "{decision:?}");
}

/// Grants slots of the targets that aren't excluded, and reports each as given up in a silence.
fn fall_silent(allocator: &mut Allocator, slots: usize, excluded: &[&str], now: Instant) {
    let excluded: Vec<String> = excluded.iter().map(ToString::to_string).collect();
    let request = Request { excluded, ..request(Purpose::Online, now) };
    let leases: Vec<Grant> = (0..slots).map(|_| grant(allocator, request.clone(), now)).collect();
    for (n, lease) in leases.iter().enumerate() {
        let silence = Some(Duration::from_secs(1));
        let report =
            LeaseReport { outcome: LeaseOutcome::Unresponsive, silence, ..LeaseReport::default() };
        allocator.on_release(lease.lease, report, now + MS * (500 + n as u32));
    }
}

/// Number of slots that are granted at once.
fn free_slots(allocator: &mut Allocator, now: Instant) -> usize {
    let is_granted = |decision| matches!(decision, Decision::Granted(..));
    let decisions =
        std::iter::repeat_with(|| allocator.on_request(request(Purpose::Online, now), now));
    decisions.take_while(|decision| is_granted(decision.clone())).count()
}

/// Regression: a pause of all targets ejected all of them, with all slots free.
#[test]
fn common_silence_ejects_no_target() {
    let now = Instant::now();
    let mut allocator = allocator(4, now);
    fall_silent(&mut allocator, 8, &[], now);
    let later = now + MS * 600;
    let item = allocator.on_request(request(Purpose::Batch, later), later);
    assert!(matches!(item, Decision::Full(_)), "items wait until a target responds: {item:?}");
    assert_eq!(free_slots(&mut allocator, later), 8);
}

#[test]
fn target_that_is_silent_alone_is_ejected() {
    let now = Instant::now();
    let mut allocator = allocator(4, now);
    fall_silent(&mut allocator, 1, &["t1", "t2", "t3"], now);
    assert_eq!(free_slots(&mut allocator, now + MS * 600), 6);
}

/// Regression: each request in flight doubled the ejection.
#[test]
fn requests_in_one_silence_count_as_one_failure() {
    let now = Instant::now();
    let policy = Policy { headroom: 0.0, ..Policy::default() };
    let mut allocator = Allocator::new(policy, 0, now - Duration::from_secs(10));
    allocator.set_targets(&[target(0, 8), target(1, 8), target(2, 8)], now);
    fall_silent(&mut allocator, 8, &["t1", "t2"], now);
    let on_probation = 1;
    assert_eq!(free_slots(&mut allocator, now + MS * 1_600), 16 + on_probation);
}

#[test]
fn target_that_responds_after_a_silence_is_used_as_before() {
    let now = Instant::now();
    let mut allocator = allocator(3, now);
    fall_silent(&mut allocator, 1, &["t1", "t2", "t3"], now);
    let later = now + MS * 1_700;
    let others = Request {
        excluded: vec![String::from("t1"), String::from("t2")],
        ..request(Purpose::Online, later)
    };
    let lease = grant(&mut allocator, others, later);
    allocator.on_release(lease.lease, LeaseReport::default(), later + MS);
    assert_eq!(free_slots(&mut allocator, later + MS * 2), 6);
}

#[test]
fn targets_that_stay_silent_are_ejected_however_many_they_are() {
    let now = Instant::now();
    let mut allocator = allocator(4, now);
    fall_silent(&mut allocator, 8, &[], now);
    let later = now + MS * 1_000;
    fall_silent(&mut allocator, 8, &[], later);
    assert_eq!(free_slots(&mut allocator, later + MS * 600), 0);
}
