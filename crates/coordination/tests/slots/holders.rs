//! Holders whose leases the account must find out about.

use crate::waits::wait;
use crate::{MS, ask, grant, ledger};
use coordination::slots::{Decision, HeldLease, LeaseReport, Purpose, Request};
use std::time::{Duration, Instant};

#[test]
fn a_new_account_waits_for_reports_before_it_serves_batch() {
    let now = Instant::now();
    let mut ledger = ledger(1, now);
    ledger.start_settling(now);
    assert!(matches!(ledger.on_request(ask(Purpose::Batch, now), now), Decision::Full(_)));
    let held = |lease, purpose| HeldLease { lease, target: String::from("t0"), purpose };
    let reported = [held(91, Purpose::Online), held(92, Purpose::Batch)];
    ledger.on_lease_report(7, &reported, now);
    assert_eq!(ledger.in_use(), [1, 1]);
    let later = now + MS * 400;
    assert!(matches!(ledger.on_request(ask(Purpose::Batch, later), later), Decision::Full(_)));
    ledger.on_holder_lost(7);
    assert_eq!(ledger.in_use(), [0, 0]);
}

#[test]
fn a_lease_whose_release_was_lost_is_found_out() {
    let now = Instant::now();
    let mut ledger = ledger(1, now);
    let lost = grant(&mut ledger, ask(Purpose::Online, now), now);
    ledger.on_lease_report(1, &[], now);
    assert_eq!(ledger.in_use(), [1, 0], "the grant may have crossed the report");
    let later = now + Duration::from_secs(2);
    ledger.on_lease_report(1, &[], later);
    assert_eq!(ledger.in_use(), [0, 0]);
    ledger.on_release(lost.lease, LeaseReport::default(), later);
    assert_eq!(ledger.in_use(), [0, 0], "a late release changes nothing");
}

/// Regression: in a cut, slots leased to holders on its other side stayed taken for
/// seconds, while requests waited and were refused.
#[test]
fn a_lease_of_a_holder_that_fell_silent_is_given_to_who_waits() {
    let now = Instant::now();
    let mut ledger = ledger(1, now);
    for holder in [7, 8] {
        grant(&mut ledger, Request { holder, ..ask(Purpose::Online, now) }, now);
    }
    let later = now + MS * 1_000;
    ledger.on_lease_report(8, &[], later);
    let id = wait(&mut ledger, ask(Purpose::Online, later), later);
    assert!(ledger.next_grants(later).is_empty(), "both may still be at work");
    let later = now + MS * 1_600;
    ledger.take_unserviceable(later);
    let granted: Vec<u64> = ledger.next_grants(later).iter().map(|(id, ..)| *id).collect();
    assert_eq!(granted, [id], "the slot of the silent one, not of the one that was heard");
    assert_eq!(ledger.in_use(), [2, 0]);
}

/// Regression: an account whose machine had slept for two seconds took all holders for
/// silent, and gave their slots away while they used them.
#[test]
fn an_account_that_wakes_takes_nobody_for_silent() {
    let now = Instant::now();
    let mut ledger = ledger(1, now);
    for _ in 0..2 {
        grant(&mut ledger, ask(Purpose::Online, now), now);
    }
    let woken = now + Duration::from_secs(20);
    ledger.on_resume(woken);
    let next = Request { holder: 2, ..ask(Purpose::Online, woken) };
    assert!(matches!(ledger.on_request(next, woken), Decision::Full(_)));
    assert_eq!(ledger.in_use(), [2, 0]);
    // Who stays silent from now on has gone.
    let later = woken + Duration::from_secs(4);
    let next = Request { holder: 2, ..ask(Purpose::Online, later) };
    let found = ledger.on_request(next.clone(), later);
    assert!(matches!(found, Decision::Full(_)), "found out at the first wish: {found:?}");
    grant(&mut ledger, next, later + MS);
}
