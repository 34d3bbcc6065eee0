//! Expected waits, and rejection of requests that would wait too long.

use crate::{MS, allocator, grant, request};
use coordination::slots::{
    Allocator, Decision, Grant, LeaseOutcome, LeaseReport, Purpose, Request,
};
use std::time::Instant;

#[test]
fn unserviceable_request_is_rejected_with_a_retry_delay() {
    let now = Instant::now();
    let mut allocator = allocator(1, now);
    grant(&mut allocator, request(Purpose::Online, now), now);
    grant(&mut allocator, request(Purpose::Online, now), now);
    let unserviceable =
        Request { expires: now + MS * 10, may_wait: true, ..request(Purpose::Online, now) };
    match allocator.on_request(unserviceable, now) {
        Decision::Full(after) => assert!(after >= MS * 100 && after <= MS * 1_500),
        other => panic!("{other:?}"),
    }
}

/// An allocator whose only target has its two slots taken.
pub fn full_allocator(now: Instant) -> Allocator {
    let mut allocator = allocator(1, now);
    for _ in 0..2 {
        grant(&mut allocator, request(Purpose::Online, now), now);
    }
    allocator
}

#[track_caller]
pub fn enqueue(allocator: &mut Allocator, request: Request, now: Instant) -> u64 {
    match allocator.on_request(Request { may_wait: true, ..request }, now) {
        Decision::Queued(id) => id,
        other => panic!("not queued: {other:?}"),
    }
}

#[test]
fn waiter_is_rejected_once_its_caller_would_leave_first() {
    let now = Instant::now();
    let mut allocator = full_allocator(now);
    // The assumed hold time is half a second: with two slots, one comes free each 250 ms.
    let patient = Request { expires: now + MS * 400, ..request(Purpose::Online, now) };
    let id = enqueue(&mut allocator, patient, now);
    assert!(allocator.take_unserviceable(now + MS * 100).is_empty(), "a slot is expected in time");
    let rejected = allocator.take_unserviceable(now + MS * 200);
    assert_eq!(rejected.iter().map(|(id, _)| *id).collect::<Vec<_>>(), [id]);
    assert!(rejected.iter().all(|(_, after)| *after >= MS * 100), "{rejected:?}");
    assert!(allocator.take_unserviceable(now + MS * 200).is_empty(), "it is returned once");
}

#[test]
fn waiters_in_time_precede_late_ones_which_go_by_expiry() {
    let now = Instant::now();
    let mut allocator = allocator(2, now);
    let taken: Vec<Grant> =
        (0..4).map(|_| grant(&mut allocator, request(Purpose::Online, now), now)).collect();
    let late =
        |until| Request { latest_start: now, expires: until, ..request(Purpose::Online, now) };
    let stays = enqueue(&mut allocator, late(now + MS * 1_900), now);
    let leaves = enqueue(&mut allocator, late(now + MS * 1_400), now);
    let in_time = enqueue(&mut allocator, request(Purpose::Online, now), now);
    let soon = now + MS * 5;
    let mut order = Vec::new();
    for lease in taken {
        allocator.on_release(lease.lease, LeaseReport::default(), soon);
        order.extend(allocator.next_grants(soon).into_iter().map(|(id, ..)| id));
    }
    assert_eq!(order, [in_time, leaves, stays]);
}

/// Regression: the few slots of one allocator made the wait look long, and requests were rejected
/// while slots of other allocators came free.
#[test]
fn expected_wait_counts_slots_of_all_allocators() {
    let now = Instant::now();
    let mut allocator = full_allocator(now);
    let hurried =
        Request { expires: now + MS * 100, may_wait: true, ..request(Purpose::Online, now) };
    assert!(matches!(allocator.on_request(hurried.clone(), now), Decision::Full(_)));
    enqueue(&mut allocator, Request { total_slots: 16, ..hurried }, now);
}

/// Regression: the expected wait counted ejected targets, so requests were queued until their
/// timeout and then rejected.
#[test]
fn expected_wait_ignores_ejected_targets() {
    let now = Instant::now();
    let mut allocator = allocator(8, now);
    let unresponsive =
        LeaseReport { outcome: LeaseOutcome::Unresponsive, ..LeaseReport::default() };
    let leases: Vec<Grant> =
        (0..16).map(|_| grant(&mut allocator, request(Purpose::Online, now), now)).collect();
    for lease in leases {
        if lease.target != "t0" {
            allocator.on_release(lease.lease, unresponsive, now);
        }
    }
    // Two slots remain with half a second each, so one comes free in 250 ms.
    let hurried =
        Request { expires: now + MS * 200, may_wait: true, ..request(Purpose::Online, now) };
    assert!(matches!(allocator.on_request(hurried, now), Decision::Full(_)));
}
