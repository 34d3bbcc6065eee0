//! Priorities of online and batch requests, and headroom.

use crate::waits::enqueue;
use crate::{MS, allocator, grant, request, target};
use coordination::slots::{Allocator, Decision, LeaseReport, Policy, Purpose, Request};
use protocol::routing::Target;
use protocol::settings::BatchOrder;
use std::time::{Duration, Instant};

#[test]
fn online_takes_a_free_slot_before_preempting() {
    let now = Instant::now();
    let mut allocator = allocator(2, now);
    let batch = grant(&mut allocator, request(Purpose::Batch, now), now);
    match allocator.on_request(request(Purpose::Online, now), now) {
        Decision::Granted(grant, None) => {
            assert_ne!(grant.target, batch.target, "the less loaded target")
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn online_preempts_the_least_urgent_item_if_full() {
    let now = Instant::now();
    let mut allocator = allocator(1, now);
    let urgent = grant(&mut allocator, Request { due: now, ..request(Purpose::Batch, now) }, now);
    let later = grant(&mut allocator, request(Purpose::Batch, now), now);
    match allocator.on_request(request(Purpose::Online, now), now) {
        Decision::Granted(_, Some(revocation)) => assert_eq!(revocation.lease, later.lease),
        other => panic!("{other:?}"),
    }
    assert_eq!(allocator.in_use(), [1, 1]);
    // The release of a revoked lease must not free a second slot.
    allocator.on_release(later.lease, LeaseReport::default(), now);
    assert_eq!(allocator.in_use(), [1, 1]);
    allocator.on_release(urgent.lease, LeaseReport::default(), now);
    assert_eq!(allocator.in_use(), [1, 0]);
}

#[test]
fn batch_keeps_headroom_free() {
    let now = Instant::now();
    let policy = Policy { headroom: 0.25, ..Policy::default() };
    let mut allocator = Allocator::new(policy, 0, now - Duration::from_secs(10));
    let targets = [target(0, 4), target(1, 4)];
    allocator.set_targets(&targets, now);
    for _ in 0..6 {
        grant(&mut allocator, request(Purpose::Batch, now), now);
    }
    assert!(matches!(allocator.on_request(request(Purpose::Batch, now), now), Decision::Full(_)));
    assert!(matches!(
        allocator.on_request(request(Purpose::Online, now), now),
        Decision::Granted(_, None)
    ));
}

#[test]
fn batch_never_precedes_a_queued_online_request() {
    let now = Instant::now();
    let mut allocator = allocator(1, now);
    let first = grant(&mut allocator, request(Purpose::Online, now), now);
    grant(&mut allocator, request(Purpose::Online, now), now);
    let waiting = |purpose| Request { may_wait: true, ..request(purpose, now) };
    let Decision::Queued(batch) = allocator.on_request(waiting(Purpose::Batch), now) else {
        panic!("batch isn't queued");
    };
    allocator.on_release(first.lease, LeaseReport::default(), now);
    let second = grant(&mut allocator, request(Purpose::Online, now), now);
    let Decision::Queued(online) = allocator.on_request(waiting(Purpose::Online), now) else {
        panic!("online isn't queued");
    };
    allocator.on_release(second.lease, LeaseReport::default(), now);
    let grants = allocator.next_grants(now);
    assert_eq!(grants.iter().map(|(id, ..)| *id).collect::<Vec<_>>(), [online]);
    assert_ne!(batch, online);
}

/// Regression: under overload the item with the earliest deadline always came first, even when too
/// late, and made the next ones late as well.
#[test]
fn late_batch_is_served_last_and_preempted_first() {
    let now = Instant::now();
    let mut allocator = allocator(1, now);
    let item = |due: u32, in_time: u32| Request {
        due: now + MS * due,
        latest_start: now + MS * in_time,
        ..request(Purpose::Batch, now)
    };
    let later = now + MS * 100;
    let late = grant(&mut allocator, item(1_000, 0), later);
    let in_time = grant(&mut allocator, item(9_000, 4_000), later);
    let waiting_late = enqueue(&mut allocator, item(500, 0), later);
    let waiting = enqueue(&mut allocator, item(9_500, 4_500), later);
    match allocator.on_request(request(Purpose::Online, later), later) {
        Decision::Granted(_, Some(revocation)) => assert_eq!(revocation.lease, late.lease),
        other => panic!("{other:?}"),
    }
    allocator.on_release(in_time.lease, LeaseReport::default(), later);
    let grants = allocator.next_grants(later);
    assert_eq!(grants.iter().map(|(id, ..)| *id).collect::<Vec<_>>(), [waiting]);
    assert_ne!(waiting, waiting_late);
}

/// Regression: an allocator of several data centres granted slots of another data centre than
/// requested.
#[test]
fn request_gets_slots_of_its_data_centre_only() {
    let now = Instant::now();
    let mut allocator = Allocator::new(Policy::default(), 0, now - Duration::from_secs(10));
    let west = Target { data_centre: String::from("west"), ..target(0, 8) };
    allocator.set_targets(&[west, target(1, 1)], now);
    assert_eq!(grant(&mut allocator, request(Purpose::Online, now), now).target, "t1");
    assert!(matches!(allocator.on_request(request(Purpose::Online, now), now), Decision::Full(_)));
    let for_west = Request { data_centre: String::from("west"), ..request(Purpose::Online, now) };
    assert_eq!(grant(&mut allocator, for_west, now).target, "t0");
}

/// Regression: under overload many items were started and few completed, as started items waited
/// behind new ones.
#[test]
fn started_batch_precedes_new_batch() {
    let now = Instant::now();
    let mut allocator = allocator(1, now);
    let taken = grant(&mut allocator, request(Purpose::Online, now), now);
    grant(&mut allocator, request(Purpose::Online, now), now);
    let not_started = Request { due: now + MS * 3_000, ..request(Purpose::Batch, now) };
    let not_started = enqueue(&mut allocator, not_started, now);
    let started =
        enqueue(&mut allocator, Request { is_started: true, ..request(Purpose::Batch, now) }, now);
    allocator.on_release(taken.lease, LeaseReport::default(), now);
    let grants = allocator.next_grants(now);
    assert_eq!(grants.iter().map(|(id, ..)| *id).collect::<Vec<_>>(), [started]);
    assert_ne!(started, not_started);
}

#[test]
fn batch_is_served_in_order_of_feasibility() {
    let now = Instant::now();
    let mut allocator = allocator(2, now);
    let taken: Vec<_> =
        (0..4).map(|_| grant(&mut allocator, request(Purpose::Online, now), now)).collect();
    let item = |sure_ms: u32, in_time_ms: u32| Request {
        safe_start: now + MS * sure_ms,
        latest_start: now + MS * in_time_ms,
        due: now + MS * (in_time_ms + 1_000),
        ..request(Purpose::Batch, now)
    };
    let late = enqueue(&mut allocator, item(0, 0), now);
    let at_risk = enqueue(&mut allocator, item(0, 900), now);
    let safe = enqueue(&mut allocator, item(2_000, 5_000), now);
    let mut order = Vec::new();
    for lease in &taken[..3] {
        allocator.on_release(lease.lease, LeaseReport::default(), now);
        order.extend(allocator.next_grants(now).into_iter().map(|(id, ..)| id));
    }
    assert_eq!(order, [safe, at_risk, late]);
}

/// Regression: the first target lost all its items to a rise of online requests, even those almost
/// complete.
#[test]
fn online_preempts_the_item_with_most_remaining_work_on_any_target() {
    let now = Instant::now();
    let mut allocator = allocator(2, now);
    let item = |left_ms: u32| Request { remaining: MS * left_ms, ..request(Purpose::Batch, now) };
    let leases: Vec<_> = [300, 900, 4_000, 2_000]
        .map(|remaining| grant(&mut allocator, item(remaining), now))
        .into();
    let mut revoked = Vec::new();
    for _ in 0..3 {
        match allocator.on_request(request(Purpose::Online, now), now) {
            Decision::Granted(_, Some(revocation)) => revoked.push(revocation.lease),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(revoked[0], leases[2].lease, "four seconds remain");
    assert!(!revoked.contains(&leases[0].lease), "it is almost complete");
}

#[test]
fn batch_keeps_few_slots_free_at_low_request_rates() {
    let now = Instant::now();
    let mut allocator = Allocator::new(Policy::default(), 0, now - Duration::from_secs(10));
    let targets: Vec<Target> = (0..30).map(|n| target(n, 7)).collect();
    allocator.set_targets(&targets, now);
    for _ in 0..46 {
        grant(&mut allocator, request(Purpose::Online, now), now);
    }
    let is_granted = |_: &u32| {
        matches!(allocator.on_request(request(Purpose::Batch, now), now), Decision::Granted(..))
    };
    let granted = (0..210).take_while(is_granted).count();
    // The headroom ratio alone would leave 13 free; requests of half a second arrive at 92 per
    // second.
    assert_eq!(granted, 210 - 46 - 5);
}

/// Regression: online requests stopped items that were about to end, and items that had just been
/// started, which lost their slot time.
#[test]
fn online_spares_items_that_are_ending_or_new() {
    let start = Instant::now();
    let policy = Policy { headroom: 0.0, batch_order: BatchOrder::Finish, ..Policy::default() };
    let mut allocator = Allocator::new(policy, 0, start - Duration::from_secs(10));
    allocator.set_targets(&[target(0, 2), target(1, 2)], start);
    let item = |due_ms: u32, left_ms: u32| Request {
        due: start + MS * due_ms,
        remaining: MS * left_ms,
        latest_start: start + MS * (due_ms - left_ms),
        ..request(Purpose::Batch, start)
    };
    let ending = grant(&mut allocator, item(18_000, 1_050), start);
    let old = grant(&mut allocator, item(10_000, 5_000), start);
    let now = start + MS * 1_000;
    let new = grant(&mut allocator, item(18_000, 5_000), now);
    let hopeless = grant(&mut allocator, item(3_000, 2_900), now);
    let revoked: Vec<_> = (0..4)
        .map(|_| match allocator.on_request(request(Purpose::Online, now), now) {
            Decision::Granted(_, Some(revocation)) => revocation.lease,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(revoked, [hopeless.lease, old.lease, new.lease, ending.lease]);
}
