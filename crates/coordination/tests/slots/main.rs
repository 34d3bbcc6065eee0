//! Slot allocator: online before batch, queueing, and reconciliation with holders.

mod health;
mod holders;
mod model;
mod order;
mod prompts;
mod rate;
mod software;
mod speeds;
mod summary;
mod waits;

use coordination::slots::{Allocator, Decision, Grant, Policy, Purpose, Request, Workload};
use protocol::routing::Target;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

fn target(n: u16, slots: u32) -> Target {
    Target {
        id: format!("t{n}"),
        started_at: 0,
        service: String::from("llm"),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + n)),
        data_centre: String::from("east"),
        slots,
        leaving: false,
        revision: 1,
        cold_left_ms: 0,
        software: None,
    }
}

/// An allocator past its settling period, of `targets` targets with two slots each.
fn allocator(targets: u16, now: Instant) -> Allocator {
    let policy = Policy { headroom: 0.0, ..Policy::default() };
    let mut allocator = Allocator::new(policy, 0, now - Duration::from_secs(10));
    let targets: Vec<Target> = (0..targets).map(|n| target(n, 2)).collect();
    allocator.set_targets(&targets, now);
    allocator
}

fn request(purpose: Purpose, now: Instant) -> Request {
    Request {
        holder: 1,
        data_centre: String::from("east"),
        service: String::from("llm"),
        purpose,
        due: now + MS * 5_000,
        remaining: Duration::ZERO,
        is_started: false,
        latest_start: now + MS * 200,
        safe_start: now + MS * 200,
        expires: now + MS * 2_000,
        total_slots: 0,
        excluded: Vec::new(),
        software: None,
        may_wait: false,
        workload: Workload::default(),
    }
}

#[track_caller]
fn grant(allocator: &mut Allocator, request: Request, now: Instant) -> Grant {
    match allocator.on_request(request, now) {
        Decision::Granted(grant, _) => grant,
        other => panic!("no slot: {other:?}"),
    }
}
