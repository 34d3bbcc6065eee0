//! Online before batch, and batch with headroom.

use crate::waits::wait;
use crate::{MS, ask, grant, ledger, target};
use coordination::slots::{Allocator, Decision, LeaseReport, Policy, Purpose, Request};
use protocol::routing::Target;
use std::time::{Duration, Instant};

#[test]
fn online_takes_a_free_slot_before_one_of_batch() {
    let now = Instant::now();
    let mut ledger = ledger(2, now);
    let batch = grant(&mut ledger, ask(Purpose::Batch, now), now);
    match ledger.on_request(ask(Purpose::Online, now), now) {
        Decision::Granted(grant, None) => assert_ne!(grant.target, batch.target, "the emptier one"),
        other => panic!("{other:?}"),
    }
}

#[test]
fn online_stops_the_least_urgent_item_when_nothing_is_free() {
    let now = Instant::now();
    let mut ledger = ledger(1, now);
    let soon = grant(&mut ledger, Request { due: now, ..ask(Purpose::Batch, now) }, now);
    let later = grant(&mut ledger, ask(Purpose::Batch, now), now);
    match ledger.on_request(ask(Purpose::Online, now), now) {
        Decision::Granted(_, Some(revocation)) => assert_eq!(revocation.lease, later.lease),
        other => panic!("{other:?}"),
    }
    assert_eq!(ledger.in_use(), [1, 1]);
    // The holder gives it back: it must not be counted twice.
    ledger.on_release(later.lease, LeaseReport::default(), now);
    assert_eq!(ledger.in_use(), [1, 1]);
    ledger.on_release(soon.lease, LeaseReport::default(), now);
    assert_eq!(ledger.in_use(), [1, 0]);
}

#[test]
fn batch_leaves_headroom_to_online() {
    let now = Instant::now();
    let policy = Policy { headroom: 0.25, ..Policy::default() };
    let mut ledger = Allocator::new(policy, 0, now - Duration::from_secs(10));
    let targets = [target(0, 4), target(1, 4)];
    ledger.set_targets(&targets);
    for _ in 0..6 {
        grant(&mut ledger, ask(Purpose::Batch, now), now);
    }
    assert!(matches!(ledger.on_request(ask(Purpose::Batch, now), now), Decision::Full(_)));
    assert!(matches!(
        ledger.on_request(ask(Purpose::Online, now), now),
        Decision::Granted(_, None)
    ));
}

#[test]
fn batch_never_passes_an_online_request_that_waits() {
    let now = Instant::now();
    let mut ledger = ledger(1, now);
    let first = grant(&mut ledger, ask(Purpose::Online, now), now);
    grant(&mut ledger, ask(Purpose::Online, now), now);
    let waits = |purpose| Request { may_wait: true, ..ask(purpose, now) };
    let Decision::Queued(batch) = ledger.on_request(waits(Purpose::Batch), now) else {
        panic!("batch waits");
    };
    ledger.on_release(first.lease, LeaseReport::default(), now);
    let second = grant(&mut ledger, ask(Purpose::Online, now), now);
    let Decision::Queued(online) = ledger.on_request(waits(Purpose::Online), now) else {
        panic!("online waits");
    };
    ledger.on_release(second.lease, LeaseReport::default(), now);
    let grants = ledger.next_grants(now);
    assert_eq!(grants.iter().map(|(id, ..)| *id).collect::<Vec<_>>(), [online]);
    assert_ne!(batch, online);
}

/// Regression: in an overload the item due first always came first, in vain once it
/// was too late for it, and made the next ones late as well.
#[test]
fn batch_that_cannot_be_in_time_waits_last_and_gives_way_first() {
    let now = Instant::now();
    let mut ledger = ledger(1, now);
    let item = |due: u32, in_time: u32| Request {
        due: now + MS * due,
        latest_start: now + MS * in_time,
        ..ask(Purpose::Batch, now)
    };
    let later = now + MS * 100;
    let late = grant(&mut ledger, item(1_000, 0), later);
    let in_time = grant(&mut ledger, item(9_000, 4_000), later);
    let waits_late = wait(&mut ledger, item(500, 0), later);
    let waits = wait(&mut ledger, item(9_500, 4_500), later);
    match ledger.on_request(ask(Purpose::Online, later), later) {
        Decision::Granted(_, Some(revocation)) => assert_eq!(revocation.lease, late.lease),
        other => panic!("{other:?}"),
    }
    ledger.on_release(in_time.lease, LeaseReport::default(), later);
    let grants = ledger.next_grants(later);
    assert_eq!(grants.iter().map(|(id, ..)| *id).collect::<Vec<_>>(), [waits]);
    assert_ne!(waits, waits_late);
}

/// Regression: an instance that kept the accounts of data centres out of its sight
/// gave their targets to requests that had asked for its own.
#[test]
fn a_wish_gets_slots_of_the_data_centre_that_it_asks_alone() {
    let now = Instant::now();
    let mut ledger = Allocator::new(Policy::default(), 0, now - Duration::from_secs(10));
    let west = Target { data_centre: String::from("west"), ..target(0, 8) };
    ledger.set_targets(&[west, target(1, 1)]);
    assert_eq!(grant(&mut ledger, ask(Purpose::Online, now), now).target, "t1");
    assert!(matches!(ledger.on_request(ask(Purpose::Online, now), now), Decision::Full(_)));
    let for_west = Request { data_centre: String::from("west"), ..ask(Purpose::Online, now) };
    assert_eq!(grant(&mut ledger, for_west, now).target, "t0");
}

/// Regression: in a shortage many items were begun and few done, as what was begun waited
/// behind what wasn't.
#[test]
fn batch_that_was_begun_goes_before_batch_that_was_not() {
    let now = Instant::now();
    let mut ledger = ledger(1, now);
    let taken = grant(&mut ledger, ask(Purpose::Online, now), now);
    grant(&mut ledger, ask(Purpose::Online, now), now);
    let fresh = Request { due: now + MS * 3_000, ..ask(Purpose::Batch, now) };
    let fresh = wait(&mut ledger, fresh, now);
    let begun = wait(&mut ledger, Request { is_started: true, ..ask(Purpose::Batch, now) }, now);
    ledger.on_release(taken.lease, LeaseReport::default(), now);
    let grants = ledger.next_grants(now);
    assert_eq!(grants.iter().map(|(id, ..)| *id).collect::<Vec<_>>(), [begun]);
    assert_ne!(begun, fresh);
}

#[test]
fn batch_goes_in_the_order_of_its_chances_to_be_in_time() {
    let now = Instant::now();
    let mut ledger = ledger(2, now);
    let taken: Vec<_> =
        (0..4).map(|_| grant(&mut ledger, ask(Purpose::Online, now), now)).collect();
    let item = |sure_ms: u32, in_time_ms: u32| Request {
        safe_start: now + MS * sure_ms,
        latest_start: now + MS * in_time_ms,
        due: now + MS * (in_time_ms + 1_000),
        ..ask(Purpose::Batch, now)
    };
    let late = wait(&mut ledger, item(0, 0), now);
    let doubtful = wait(&mut ledger, item(0, 900), now);
    let sure = wait(&mut ledger, item(2_000, 5_000), now);
    let mut order = Vec::new();
    for lease in &taken[..3] {
        ledger.on_release(lease.lease, LeaseReport::default(), now);
        order.extend(ledger.next_grants(now).into_iter().map(|(id, ..)| id));
    }
    assert_eq!(order, [sure, doubtful, late]);
}

/// Regression: the first target in order lost all its items to a rise of online, however
/// near their end they were.
#[test]
fn online_stops_the_item_with_most_of_its_time_before_it_on_whatever_target() {
    let now = Instant::now();
    let mut ledger = ledger(2, now);
    let item = |left_ms: u32| Request { remaining: MS * left_ms, ..ask(Purpose::Batch, now) };
    let leases: Vec<_> =
        [300, 900, 4_000, 2_000].map(|left| grant(&mut ledger, item(left), now)).into();
    let mut stopped = Vec::new();
    for _ in 0..3 {
        match ledger.on_request(ask(Purpose::Online, now), now) {
            Decision::Granted(_, Some(revocation)) => stopped.push(revocation.lease),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(stopped[0], leases[2].lease, "it has four seconds before it");
    assert!(!stopped.contains(&leases[0].lease), "it is nearly done");
}

#[test]
fn batch_leaves_few_slots_free_where_few_requests_come() {
    let now = Instant::now();
    let mut ledger = Allocator::new(Policy::default(), 0, now - Duration::from_secs(10));
    let targets: Vec<Target> = (0..30).map(|n| target(n, 7)).collect();
    ledger.set_targets(&targets);
    for _ in 0..46 {
        grant(&mut ledger, ask(Purpose::Online, now), now);
    }
    let wants =
        |_: &u32| matches!(ledger.on_request(ask(Purpose::Batch, now), now), Decision::Granted(..));
    let granted = (0..210).take_while(wants).count();
    // By its share alone it left 13 free. Requests of half a second come 92 a second.
    assert_eq!(granted, 210 - 46 - 5);
}
