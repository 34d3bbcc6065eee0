//! Placement of requests whose prompts share parts.

use crate::{MS, grant, request, target};
use coordination::prompt::Prompt;
use coordination::slots::{
    Allocator, Decision, Forecast, Grant, LeaseOutcome, LeaseReport, Policy, Purpose, Request,
    TargetMemory, Workload,
};
use protocol::routing::Target;
use rstest::rstest;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Length of a long part: 400 ms to read at the 20 us per token that are assumed at first.
const LONG: u32 = 20_000;
/// Time after which the prompts granted before have been read.
const READ: Duration = Duration::from_millis(500);

fn allocator(policy: Policy, targets: u16, slots: u32, now: Instant) -> Allocator {
    let policy = Policy { headroom: 0.0, ..policy };
    let mut allocator = Allocator::new(policy, 0, now - Duration::from_secs(10));
    let targets: Vec<Target> = (0..targets).map(|n| target(n, slots)).collect();
    allocator.set_targets(&targets, now);
    allocator
}

fn workload(part: &str, tokens: u32) -> Workload {
    Workload {
        prompt: Prompt::new("m", [(part, tokens), ("question", 20)]),
        objective: MS * 300,
        max_event_gap: MS * 300,
        ..Workload::default()
    }
}

/// An online request whose prompt begins with a shared part.
fn prompted(part: &str, tokens: u32, now: Instant) -> Request {
    Request { workload: workload(part, tokens), ..request(Purpose::Online, now) }
}

/// A request that only the target with this number may serve.
fn only_at(n: u16, request: Request) -> Request {
    let excluded = (0..8).filter(|other| *other != n).map(|other| format!("t{other}")).collect();
    Request { excluded, ..request }
}

fn forecast(grant: &Grant) -> Forecast {
    grant.forecast.expect("a request that is placed by delay")
}

/// Runs one request to its end, with a first event after this time.
fn complete(allocator: &mut Allocator, request: Request, first: Duration, now: Instant) -> Grant {
    let grant = grant(allocator, request, now);
    let report = LeaseReport { first_event: Some(first), ..LeaseReport::default() };
    allocator.on_release(grant.lease, report, now + first);
    grant
}

/// Guards against reading a long prompt again because the target that keeps it has more load.
#[test]
fn long_prompt_goes_to_the_free_target_that_keeps_it() {
    let now = Instant::now();
    let mut allocator = allocator(Policy::default(), 4, 8, now);
    grant(&mut allocator, only_at(2, prompted("manual", LONG, now)), now);
    for n in 1..8 {
        let at = now + READ * n;
        let next = grant(&mut allocator, prompted("manual", LONG, at), at);
        assert_eq!(next.target, "t2", "request {n}");
        assert_eq!(forecast(&next).unread_tokens, 0);
    }
}

/// Guards against a part that everybody asks for being tied to one target, and against it being
/// read everywhere.
#[test]
fn hot_part_spreads_only_when_the_targets_that_keep_it_are_full() {
    let now = Instant::now();
    let mut allocator = allocator(Policy::default(), 4, 3, now);
    let mut reads = Vec::new();
    for n in 0..9 {
        let at = now + READ * n;
        let next = grant(&mut allocator, prompted("manual", LONG, at), at);
        if forecast(&next).kept_tokens == 0 {
            reads.push((n, next.target));
        }
    }
    let order: Vec<u32> = reads.iter().map(|(n, _)| *n).collect();
    assert_eq!(order, [0, 3, 6], "read again only when three slots are taken: {reads:?}");
}

/// Guards against load piling up on a target for the sake of a short part, also where the times of
/// two targets lie on either side of a multiple of the smallest difference that counts.
#[rstest]
fn short_part_goes_to_the_least_loaded_target(#[values(3, 6, 9, 12, 15, 18)] first_ms: u32) {
    let now = Instant::now();
    let mut allocator = allocator(Policy::default(), 2, 8, now);
    for n in 0..40 {
        let own = format!("own-{n}");
        let request = Request {
            workload: Workload { prompt: Prompt::new("m", [(&*own, 20)]), ..workload("", 0) },
            ..request(Purpose::Online, now)
        };
        complete(&mut allocator, request, MS * first_ms, now + READ * n);
    }
    let at = now + READ * 50;
    let first = grant(&mut allocator, prompted("short", 300, at), at);
    let at = at + READ;
    let second = grant(&mut allocator, prompted("short", 300, at), at);
    assert_ne!(second.target, first.target, "reading 300 tokens takes 6 ms");
}

/// Guards against sending requests where their prompt was kept by an earlier start.
#[rstest]
#[case::by_its_start_time(7, "v1")]
#[case::at_another_version(0, "v2")]
fn restarted_target_keeps_nothing(#[case] started_at: u64, #[case] version: &str) {
    let now = Instant::now();
    let mut allocator = allocator(Policy::default(), 1, 2, now);
    let at_version = |version: &str| Some(version.to_owned());
    allocator.set_targets(&[Target { software: at_version("v1"), ..target(0, 2) }], now);
    complete(&mut allocator, prompted("manual", LONG, now), READ, now);
    let later = now + READ * 2;
    let software = at_version(version);
    let restarted = Target { started_at, revision: 2, software, ..target(0, 2) };
    allocator.set_targets(&[restarted], later);
    let next = grant(&mut allocator, prompted("manual", LONG, later), later);
    assert_eq!(forecast(&next).kept_tokens, 0);
}

/// Guards against believing that a target reads, or keeps, a prompt which it never received.
#[rstest]
#[case::unused(LeaseOutcome::Unused)]
#[case::rejected(LeaseOutcome::Rejected)]
fn request_that_was_not_run_leaves_nothing_behind(#[case] outcome: LeaseOutcome) {
    let now = Instant::now();
    let mut allocator = allocator(Policy::default(), 1, 2, now);
    let first = grant(&mut allocator, prompted("manual", LONG, now), now);
    let report = LeaseReport { outcome, ..LeaseReport::default() };
    allocator.on_release(first.lease, report, now + MS);
    let second = grant(&mut allocator, prompted("manual", LONG, now + MS), now + MS);
    assert_eq!(forecast(&second), forecast(&first));
}

/// Guards against forgetting what other requests had read when one was not run.
#[test]
fn request_that_was_not_run_takes_nothing_along() {
    let now = Instant::now();
    let mut allocator = allocator(Policy::default(), 1, 2, now);
    complete(&mut allocator, prompted("manual", LONG, now), READ, now);
    let later = now + READ * 2;
    let second = grant(&mut allocator, prompted("manual", LONG, later), later);
    let unused = LeaseReport { outcome: LeaseOutcome::Unused, ..LeaseReport::default() };
    allocator.on_release(second.lease, unused, later);
    let third = grant(&mut allocator, prompted("manual", LONG, later), later);
    assert_eq!(forecast(&third).unread_tokens, 0);
}

/// Guards against a belief that never changes though first events show that it's wrong, and against
/// giving it up for one disturbance.
#[test]
fn two_late_first_events_in_a_row_are_believed() {
    let now = Instant::now();
    let mut allocator = allocator(Policy::default(), 1, 8, now);
    complete(&mut allocator, prompted("a", LONG, now), MS * 400, now);
    complete(&mut allocator, prompted("b", LONG, now + READ), MS * 400, now + READ);
    // Late, in time, late, late.
    for (n, (first_ms, kept_before)) in
        [(400, true), (10, true), (400, true), (400, true)].into_iter().enumerate()
    {
        let at = now + READ * (2 + n as u32);
        let next = complete(&mut allocator, prompted("a", LONG, at), MS * first_ms, at);
        assert_eq!(forecast(&next).kept_tokens > 0, kept_before, "request {n}");
        if n < 3 {
            let probe = grant(&mut allocator, prompted("b", LONG, at + READ / 2), at + READ / 2);
            assert!(forecast(&probe).kept_tokens > 0, "given up after request {n}");
            // Its holder stopped it, so it tells nothing.
            let failed = LeaseReport { outcome: LeaseOutcome::Failed, ..LeaseReport::default() };
            allocator.on_release(probe.lease, failed, at + READ / 2);
        }
    }
    let at = now + READ * 7;
    let other = grant(&mut allocator, prompted("b", LONG, at), at);
    assert_eq!(forecast(&other).kept_tokens, 0, "believed to be kept after two late events");
    let same = grant(&mut allocator, prompted("a", LONG, at), at);
    assert_eq!(forecast(&same).unread_tokens, 0, "it has just been read");
}

/// Guards against reading a long prompt elsewhere to spare an item that loses less, and against
/// stopping an item for a short one.
#[rstest]
#[case::long(LONG, true)]
#[case::short(300, false)]
fn item_gives_way_where_a_long_prompt_is_kept(#[case] tokens: u32, #[case] gives_way: bool) {
    let now = Instant::now();
    let mut allocator = allocator(Policy::default(), 2, 2, now);
    complete(&mut allocator, only_at(0, prompted("manual", tokens, now)), READ, now);
    for _ in 0..2 {
        grant(&mut allocator, only_at(0, request(Purpose::Batch, now)), now);
    }
    let later = now + READ * 2;
    match allocator.on_request(prompted("manual", tokens, later), later) {
        Decision::Granted(grant, revocation) => {
            assert_eq!(revocation.is_some(), gives_way);
            assert_eq!(grant.target, if gives_way { "t0" } else { "t1" });
        }
        other => panic!("{other:?}"),
    }
}

/// Guards against counting on parts that the target had to evict, and against forgetting those that
/// are in use.
#[test]
fn memory_limit_evicts_the_parts_unused_longest() {
    let now = Instant::now();
    let mut allocator = allocator(Policy::default(), 1, 8, now);
    let memory = TargetMemory { tokens: 2 * u64::from(LONG) + 100, copy_token_time_s: None };
    allocator.set_memory(HashMap::from([(String::from("llm"), memory)]));
    for (n, (part, is_kept)) in
        [("a", false), ("b", false), ("a", true), ("c", false), ("a", true), ("b", false)]
            .into_iter()
            .enumerate()
    {
        let at = now + READ * n as u32;
        let next = complete(&mut allocator, prompted(part, LONG, at), MS * 10, at);
        assert_eq!(forecast(&next).kept_tokens > 0, is_kept, "request {n} with part {part}");
    }
}

/// Guards against a change for senders that name no workload, and for operators who switch
/// placement by delay off.
#[rstest]
#[case::no_workload(true, Workload::default())]
#[case::switched_off(false, workload("manual", LONG))]
fn choice_is_by_load_without_workload_or_if_switched_off(
    #[case] places_by_delay: bool,
    #[case] workload: Workload,
) {
    let now = Instant::now();
    let policy = Policy { places_by_delay, ..Policy::default() };
    let mut allocator = allocator(policy, 4, 8, now);
    grant(&mut allocator, only_at(2, prompted("manual", LONG, now)), now);
    let later = now + READ;
    let others: Vec<String> = (0..3)
        .map(|_| {
            let request = Request { workload: workload.clone(), ..request(Purpose::Online, later) };
            let grant = grant(&mut allocator, request, later);
            assert_eq!(grant.forecast, None);
            grant.target
        })
        .collect();
    assert_eq!(others, ["t0", "t1", "t3"]);
}

/// Guards against a target that goes on with what another software version keeps of a prompt.
#[rstest]
#[case::of_the_same_version("v1", true)]
#[case::of_another_version("v2", false)]
fn prompt_is_copied_only_between_targets_of_one_version(
    #[case] other: &str,
    #[case] is_copied: bool,
    #[values(false, true)] is_told: bool,
) {
    let now = Instant::now();
    let mut allocator = allocator(Policy::default(), 2, 1, now);
    let at_version = |n: u16, version: &str| Target {
        software: Some(version.to_owned()),
        revision: 2,
        ..target(n, 1)
    };
    let targets = [at_version(0, "v1"), at_version(1, other)];
    // A sender may know of the prompt at a target that this allocator doesn't have.
    allocator.set_targets(if is_told { &targets[1..] } else { &targets }, now);
    let memory = TargetMemory { tokens: u64::MAX, copy_token_time_s: Some(1e-7) };
    allocator.set_memory(HashMap::from([(String::from("llm"), memory)]));
    // The pace of a service is known from its first request on.
    complete(&mut allocator, prompted("other", 1, now), MS * 10, now);
    let mut prompted = prompted("manual", LONG, now + READ);
    if is_told {
        prompted.workload.read_at = Some(targets[0].address);
        prompted.workload.read_by.clone_from(&targets[0].software);
    } else {
        let first = Request { software: Some(String::from("v1")), ..prompted.clone() };
        assert_eq!(grant(&mut allocator, first, now).target, "t0");
    }
    let grant = grant(&mut allocator, prompted, now + READ);
    assert_eq!(grant.target, "t1");
    assert_eq!(grant.copy_from, is_copied.then_some(targets[0].address));
}
