//! Reconciliation of leases with their holders.

use crate::waits::enqueue;
use crate::{MS, allocator, grant, request};
use coordination::slots::{Decision, HeldLease, LeaseReport, Purpose, Request};
use std::time::{Duration, Instant};

#[test]
fn new_allocator_waits_for_reports_before_batch() {
    let now = Instant::now();
    let mut allocator = allocator(1, now);
    allocator.start_settling(now);
    assert!(matches!(allocator.on_request(request(Purpose::Batch, now), now), Decision::Full(_)));
    let held = |lease, purpose| HeldLease { lease, target: String::from("t0"), purpose };
    let reported = [held(91, Purpose::Online), held(92, Purpose::Batch)];
    allocator.on_lease_report(7, &reported, now);
    assert_eq!(allocator.in_use(), [1, 1]);
    let later = now + MS * 400;
    assert!(matches!(
        allocator.on_request(request(Purpose::Batch, later), later),
        Decision::Full(_)
    ));
    allocator.on_holder_lost(7);
    assert_eq!(allocator.in_use(), [0, 0]);
}

#[test]
fn lease_with_a_lost_release_is_reconciled() {
    let now = Instant::now();
    let mut allocator = allocator(1, now);
    let lease = grant(&mut allocator, request(Purpose::Online, now), now);
    allocator.on_lease_report(1, &[], now);
    assert_eq!(allocator.in_use(), [1, 0], "the grant may be newer than the report");
    let later = now + Duration::from_secs(2);
    allocator.on_lease_report(1, &[], later);
    assert_eq!(allocator.in_use(), [0, 0]);
    allocator.on_release(lease.lease, LeaseReport::default(), later);
    assert_eq!(allocator.in_use(), [0, 0], "a late release changes nothing");
}

/// Regression: in a network partition, slots leased to holders on the other side stayed taken
/// while requests were queued and rejected.
#[test]
fn lease_of_an_unresponsive_holder_is_granted_to_a_waiter() {
    let now = Instant::now();
    let mut allocator = allocator(1, now);
    for holder in [7, 8] {
        grant(&mut allocator, Request { holder, ..request(Purpose::Online, now) }, now);
    }
    let later = now + MS * 1_000;
    allocator.on_lease_report(8, &[], later);
    let id = enqueue(&mut allocator, request(Purpose::Online, later), later);
    assert!(allocator.next_grants(later).is_empty(), "both may still use their slots");
    let later = now + MS * 1_600;
    allocator.take_unserviceable(later);
    let granted: Vec<u64> = allocator.next_grants(later).iter().map(|(id, ..)| *id).collect();
    assert_eq!(granted, [id], "only the unresponsive holder's slot");
    assert_eq!(allocator.in_use(), [2, 0]);
}

/// Regression: an allocator whose machine had been suspended took all holders for unresponsive and
/// granted their slots while in use.
#[test]
fn resumed_allocator_keeps_holders_responsive() {
    let now = Instant::now();
    let mut allocator = allocator(1, now);
    for _ in 0..2 {
        grant(&mut allocator, request(Purpose::Online, now), now);
    }
    let resumed = now + Duration::from_secs(20);
    allocator.on_resume(resumed);
    let next = Request { holder: 2, ..request(Purpose::Online, resumed) };
    assert!(matches!(allocator.on_request(next, resumed), Decision::Full(_)));
    assert_eq!(allocator.in_use(), [2, 0]);
    // A holder that sends nothing from now on is unresponsive.
    let later = resumed + Duration::from_secs(4);
    let next = Request { holder: 2, ..request(Purpose::Online, later) };
    let decision = allocator.on_request(next.clone(), later);
    assert!(matches!(decision, Decision::Full(_)), "dropped by the first request: {decision:?}");
    grant(&mut allocator, next, later + MS);
}
