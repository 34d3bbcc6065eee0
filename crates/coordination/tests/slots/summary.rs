//! Summary of an allocator for operators.

use crate::{MS, allocator, grant, request};
use coordination::slots::summary::{MAX_WORKSPACES, SpeedClass, Summary, WorkspaceSummary};
use coordination::slots::{Allocator, LeaseReport, Purpose, Request, Workload, WorkspaceWeight};
use std::time::{Duration, Instant};

fn request_of(workspace: &str, now: Instant) -> Request {
    let workspace = Some(WorkspaceWeight { name: workspace.to_owned(), weight: 1.0 });
    let workload = Workload { workspace, objective: MS * 300, ..Workload::default() };
    Request { workload, may_wait: true, ..request(Purpose::Online, now) }
}

fn use_of(summary: &Summary, name: &str) -> Option<[usize; 2]> {
    let entry = summary.workspaces.iter().find(|(known, _)| known == name);
    entry.map(|(_, entry)| [entry.slots_in_use, entry.waiting])
}

/// Guards against a workspace whose slots and waiting requests aren't told from those of others.
#[test]
fn slots_and_waiters_are_counted_by_workspace() {
    let now = Instant::now();
    let mut allocator = allocator(2, now);
    let first = grant(&mut allocator, request_of("acme", now), now);
    for name in ["acme", "acme", "bela"] {
        grant(&mut allocator, request_of(name, now), now);
    }
    allocator.on_request(request_of("bela", now), now);
    let unnamed = Request { may_wait: true, ..request(Purpose::Online, now) };
    allocator.on_request(unnamed, now);
    let summary = allocator.summary(now);
    assert_eq!(use_of(&summary, "acme"), Some([3, 0]));
    assert_eq!(use_of(&summary, "bela"), Some([1, 1]));
    assert_eq!(summary.unknown_workspace, WorkspaceSummary { slots_in_use: 0, waiting: 1 });
    allocator.on_release(first.lease, LeaseReport::default(), now);
    assert_eq!(use_of(&allocator.summary(now), "acme"), Some([2, 0]));
}

/// Guards against a number of series that grows with the number of workspaces.
#[test]
fn workspaces_beyond_the_limit_are_summed() {
    let now = Instant::now();
    let mut allocator = allocator(20, now);
    for n in 0..MAX_WORKSPACES + 3 {
        grant(&mut allocator, request_of(&format!("w{n:02}"), now), now);
    }
    grant(&mut allocator, request_of("w22", now), now);
    let summary = allocator.summary(now);
    assert_eq!(summary.workspaces.len(), MAX_WORKSPACES);
    assert_eq!(use_of(&summary, "w22"), Some([2, 0]), "most in use, so it is listed");
    assert_eq!(summary.other_workspaces, WorkspaceSummary { slots_in_use: 3, waiting: 0 });
}

fn run(allocator: &mut Allocator, target: &str, interval: Duration, now: Instant) {
    let other = if target == "t0" { "t1" } else { "t0" };
    let request = Request { excluded: vec![other.to_owned()], ..request_of("acme", now) };
    let grant = grant(allocator, request, now);
    let report = LeaseReport {
        first_event: Some(MS * 40),
        event_interval: Some(interval),
        ..LeaseReport::default()
    };
    allocator.on_release(grant.lease, report, now);
}

/// Guards against targets of different speeds in one class, and against times reported as zero
/// before they are known.
#[test]
fn targets_are_grouped_by_learned_slowness() {
    let mut now = Instant::now();
    let mut allocator = allocator(2, now);
    let unknown = &allocator.summary(now).services["llm"];
    assert_eq!(
        (unknown.event_interval, unknown.first_event, unknown.token_time),
        (None, None, None)
    );
    assert_eq!(unknown.classes[&SpeedClass::Usual].targets, 2);
    for _ in 0..40 {
        now += MS * 20;
        run(&mut allocator, "t0", MS * 10, now);
        run(&mut allocator, "t1", MS * 50, now);
    }
    let service = &allocator.summary(now).services["llm"];
    let targets = SpeedClass::ALL.map(|class| service.classes[&class].targets);
    assert_eq!(targets, [1, 0, 1, 0], "a third and 1.67 of the mean of 30 ms");
    assert_eq!(service.classes[&SpeedClass::Fast].event_interval, Some(MS * 10));
    let interval = service.event_interval.expect("known");
    assert!(interval > MS * 25 && interval < MS * 35, "{interval:?}");
    let first = service.first_event.expect("known");
    assert!(first > MS * 30 && first < MS * 50, "{first:?}");
}
