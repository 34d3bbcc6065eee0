//! How long a wish is expected to wait, and who is refused for it.

use crate::{MS, ask, grant, ledger};
use coordination::slots::{
    Allocator, Decision, Grant, LeaseOutcome, LeaseReport, Purpose, Request,
};
use std::time::Instant;

#[test]
fn a_wait_that_cannot_help_is_refused_with_a_time() {
    let now = Instant::now();
    let mut ledger = ledger(1, now);
    grant(&mut ledger, ask(Purpose::Online, now), now);
    grant(&mut ledger, ask(Purpose::Online, now), now);
    let hopeless = Request { expires: now + MS * 10, may_wait: true, ..ask(Purpose::Online, now) };
    match ledger.on_request(hopeless, now) {
        Decision::Full(after) => assert!(after >= MS * 100 && after <= MS * 1_500),
        other => panic!("{other:?}"),
    }
}

/// An account of one target whose two slots are taken.
pub fn full_ledger(now: Instant) -> Allocator {
    let mut ledger = ledger(1, now);
    for _ in 0..2 {
        grant(&mut ledger, ask(Purpose::Online, now), now);
    }
    ledger
}

#[track_caller]
pub fn wait(ledger: &mut Allocator, ask: Request, now: Instant) -> u64 {
    match ledger.on_request(Request { may_wait: true, ..ask }, now) {
        Decision::Queued(id) => id,
        other => panic!("it waits: {other:?}"),
    }
}

#[test]
fn one_that_waits_is_refused_once_its_caller_would_leave_before_its_turn() {
    let now = Instant::now();
    let mut ledger = full_ledger(now);
    // Leases are taken to last half a second: with two slots, one each 250 ms.
    let patient = Request { expires: now + MS * 400, ..ask(Purpose::Online, now) };
    let id = wait(&mut ledger, patient, now);
    assert!(ledger.take_unserviceable(now + MS * 100).is_empty(), "its turn is expected before");
    let refused = ledger.take_unserviceable(now + MS * 200);
    assert_eq!(refused.iter().map(|(id, _)| *id).collect::<Vec<_>>(), [id]);
    assert!(refused.iter().all(|(_, after)| *after >= MS * 100), "{refused:?}");
    assert!(ledger.take_unserviceable(now + MS * 200).is_empty(), "it is told once");
}

#[test]
fn who_can_be_in_time_goes_before_who_is_late_and_the_late_in_order_of_leaving() {
    let now = Instant::now();
    let mut ledger = ledger(2, now);
    let taken: Vec<Grant> =
        (0..4).map(|_| grant(&mut ledger, ask(Purpose::Online, now), now)).collect();
    let late = |until| Request { latest_start: now, expires: until, ..ask(Purpose::Online, now) };
    let stays = wait(&mut ledger, late(now + MS * 1_900), now);
    let leaves = wait(&mut ledger, late(now + MS * 1_400), now);
    let in_time = wait(&mut ledger, ask(Purpose::Online, now), now);
    let soon = now + MS * 5;
    let mut order = Vec::new();
    for lease in taken {
        ledger.on_release(lease.lease, LeaseReport::default(), soon);
        order.extend(ledger.next_grants(soon).into_iter().map(|(id, ..)| id));
    }
    assert_eq!(order, [in_time, leaves, stays]);
}

/// Regression: one account's few slots made the wait look long, and requests were
/// refused while slots of the other accounts came free every 13 ms.
#[test]
fn a_wait_in_several_accounts_counts_the_slots_of_all() {
    let now = Instant::now();
    let mut ledger = full_ledger(now);
    let hurried = Request { expires: now + MS * 100, may_wait: true, ..ask(Purpose::Online, now) };
    assert!(matches!(ledger.on_request(hurried.clone(), now), Decision::Full(_)));
    wait(&mut ledger, Request { total_slots: 16, ..hurried }, now);
}

/// Regression: a wait was expected as if targets out of use served, so requests were
/// held for 2 s and then refused.
#[test]
fn a_wait_counts_no_target_that_is_out_of_use() {
    let now = Instant::now();
    let mut ledger = ledger(8, now);
    let silent = LeaseReport { outcome: LeaseOutcome::Unresponsive, ..LeaseReport::default() };
    let leases: Vec<Grant> =
        (0..16).map(|_| grant(&mut ledger, ask(Purpose::Online, now), now)).collect();
    for lease in leases {
        if lease.target != "t0" {
            ledger.on_release(lease.lease, silent, now);
        }
    }
    // Two slots are left: half a second each, so the next comes in a quarter.
    let hurried = Request { expires: now + MS * 200, may_wait: true, ..ask(Purpose::Online, now) };
    assert!(matches!(ledger.on_request(hurried, now), Decision::Full(_)));
}
