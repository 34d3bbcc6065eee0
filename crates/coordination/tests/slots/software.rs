//! Requests that only targets of one software version may serve.

use super::{MS, grant, request, target};
use coordination::slots::{Allocator, Decision, LeaseReport, Policy, Purpose, Request};
use protocol::routing::Target;
use std::time::{Duration, Instant};

/// An allocator with one target of one slot of each version.
fn allocator(versions: &[&str], now: Instant) -> Allocator {
    let mut allocator = Allocator::new(Policy::default(), 0, now - Duration::from_secs(10));
    let versions = versions.iter().enumerate();
    let targets: Vec<Target> = versions
        .map(|(n, version)| Target { software: Some((*version).to_owned()), ..target(n as u16, 1) })
        .collect();
    allocator.set_targets(&targets, now);
    allocator
}

fn request_at(version: &str, now: Instant) -> Request {
    let software = Some(version.to_owned());
    Request { software, may_wait: true, ..request(Purpose::Online, now) }
}

#[test]
fn request_is_granted_no_target_of_another_version() {
    let now = Instant::now();
    let mut allocator = allocator(&["v1", "v2"], now);
    assert_eq!(grant(&mut allocator, request_at("v2", now), now).target, "t1");
    let waiting = allocator.on_request(request_at("v2", now), now);
    assert!(matches!(waiting, Decision::Queued(_)), "{waiting:?}");
    assert_eq!(allocator.next_grants(now), Vec::new(), "the slot of v1 is free");
    assert_eq!(allocator.on_request(request_at("v3", now), now), Decision::NoTarget);
}

#[test]
fn request_that_waits_for_its_version_delays_no_other() {
    let now = Instant::now();
    let mut allocator = allocator(&["v1", "v2"], now);
    let first = grant(&mut allocator, request_at("v2", now), now);
    let Decision::Queued(waiter) = allocator.on_request(request_at("v2", now), now) else {
        panic!("not queued");
    };
    let other = Request { may_wait: true, ..request(Purpose::Online, now + MS) };
    assert_eq!(grant(&mut allocator, other.clone(), now + MS).target, "t0");
    assert!(matches!(allocator.on_request(other, now + MS), Decision::Queued(_)));
    allocator.on_release(first.lease, LeaseReport::default(), now + MS * 2);
    let grants = allocator.next_grants(now + MS * 2);
    assert_eq!(grants.len(), 1);
    assert_eq!((grants[0].0, &*grants[0].1.target), (waiter, "t1"));
}
