//! Workspaces that compete for too few slots, in virtual time: who is served in time, and what
//! counts as a workspace's share.

mod common;

use coordination::fair_share::FairShare;
use coordination::slots::{
    Allocator, Decision, Grant, LeaseOutcome, LeaseReport, Policy, Purpose, Request,
    WAITER_CHECK_INTERVAL, WaiterId, Workload, WorkspaceWeight,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
/// Times for which requests hold their slots. They differ, or the slots that a burst takes would
/// all come free together again.
const HOLD_MS: std::ops::Range<u64> = 200..800;
const IN_TIME: Duration = Duration::from_millis(195);
const CALLER_TIMEOUT: Duration = Duration::from_secs(2);
const TARGETS: u16 = 4;
const SLOTS: u32 = 8;
const QUIET_WORKSPACES: usize = 9;
/// Requests per second of a quiet workspace; all of them use half of the slots.
const QUIET_RATE: f64 = 3.5;
/// Requests per second of the loud one, more than all slots serve.
const LOUD_RATE: f64 = 80.0;
const LOUD: &str = "loud";

fn allocator(policy: Policy, now: Instant) -> Allocator {
    let mut allocator = Allocator::new(policy, 0, now - Duration::from_secs(10));
    allocator.set_targets(&common::targets(TARGETS, SLOTS), now);
    allocator
}

fn request(workspace: &str, purpose: Purpose, now: Instant) -> Request {
    let weight = WorkspaceWeight { name: workspace.to_owned(), weight: 5.0 };
    Request {
        holder: 1,
        data_centre: String::from("east"),
        service: String::from("llm"),
        purpose,
        due: now + CALLER_TIMEOUT,
        remaining: Duration::ZERO,
        is_started: false,
        latest_start: now + IN_TIME,
        safe_start: now + IN_TIME,
        expires: now + CALLER_TIMEOUT,
        total_slots: 0,
        excluded: Vec::new(),
        software: None,
        may_wait: true,
        workload: Workload { workspace: Some(weight), tokens: 200, ..Workload::default() },
    }
}

/// Requests of a workspace, and how many of them got a slot in time.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    all: u32,
    in_time: u32,
}

struct World {
    allocator: Allocator,
    now: Instant,
    ends: BTreeMap<(Instant, u64), ()>,
    waiting: HashMap<WaiterId, (String, Instant)>,
    tallies: BTreeMap<String, Tally>,
    random: StdRng,
    next_check: Instant,
}

impl World {
    fn on_grant(&mut self, grant: &Grant, workspace: &str, arrived: Instant) {
        let hold = Duration::from_millis(self.random.random_range(HOLD_MS));
        self.ends.insert((self.now + hold, grant.lease), ());
        let tally = self.tallies.entry(workspace.to_owned()).or_default();
        tally.in_time += u32::from(self.now <= arrived + IN_TIME);
    }

    fn arrive(&mut self, workspace: &str) {
        self.tallies.entry(workspace.to_owned()).or_default().all += 1;
        let request = request(workspace, Purpose::Online, self.now);
        match self.allocator.on_request(request, self.now) {
            Decision::Granted(grant, _) => self.on_grant(&grant, workspace, self.now),
            Decision::Queued(id) => {
                self.waiting.insert(id, (workspace.to_owned(), self.now));
            }
            Decision::Full(_) | Decision::NoTarget => {}
        }
    }

    fn step(&mut self) {
        self.now += MS;
        while let Some(((at, lease), ())) = self.ends.pop_first() {
            if at > self.now {
                self.ends.insert((at, lease), ());
                break;
            }
            self.allocator.on_release(lease, LeaseReport::default(), self.now);
        }
        for (id, grant, _) in self.allocator.next_grants(self.now) {
            let (workspace, arrived) = self.waiting.remove(&id).expect("a queued request");
            self.on_grant(&grant, &workspace, arrived);
        }
        if self.now >= self.next_check {
            self.next_check = self.now + WAITER_CHECK_INTERVAL;
            for (id, _) in self.allocator.take_unserviceable(self.now) {
                self.waiting.remove(&id);
            }
        }
    }
}

/// Part of the requests in time of each quiet workspace, lowest first, over 20 s.
fn play(policy: Policy, loud_rate: f64, seed: u64) -> Vec<f64> {
    let now = Instant::now();
    let mut world = World {
        allocator: allocator(policy, now),
        now,
        ends: BTreeMap::new(),
        waiting: HashMap::new(),
        tallies: BTreeMap::new(),
        random: StdRng::seed_from_u64(seed),
        next_check: now,
    };
    for _ in 0..20_000 {
        for n in 0..QUIET_WORKSPACES {
            if world.random.random::<f64>() < QUIET_RATE / 1_000.0 {
                world.arrive(&format!("quiet-{n}"));
            }
        }
        if world.random.random::<f64>() < loud_rate / 1_000.0 {
            world.arrive(LOUD);
        }
        world.step();
    }
    let quiet = world.tallies.iter().filter(|(name, _)| *name != LOUD);
    let mut parts: Vec<f64> =
        quiet.map(|(_, tally)| f64::from(tally.in_time) / f64::from(tally.all)).collect();
    parts.sort_by(f64::total_cmp);
    parts
}

/// Guards against quiet workspaces that are late or rejected because of a loud one.
#[rstest]
fn quiet_workspaces_are_no_later_beside_a_loud_one(#[values(1, 2, 3)] seed: u64) {
    let alone = play(Policy::default(), 0.0, seed);
    let beside = play(Policy::default(), LOUD_RATE, seed);
    assert!(beside[0] > alone[0] - 0.02, "{beside:?} beside the loud one, {alone:?} alone");
    let without = play(Policy { fair_shares: false, ..Policy::default() }, LOUD_RATE, seed);
    assert!(without[QUIET_WORKSPACES / 2] < 0.8, "by deadline alone: {without:?}");
}

/// Guards against shares that are kept for workspaces which don't use them, and against debts for
/// the use of a share that was free.
#[test]
fn unused_share_is_lent_and_returned() {
    let start = Instant::now();
    let mut shares = FairShare::new(start);
    let at = |millis: u64| start + Duration::from_millis(millis);
    for n in 0..100 {
        shares.record(LOUD, 1.0, 100.0, at(n * 100));
    }
    assert_eq!(shares.level(LOUD, at(10_000)), 0, "nobody else uses its share");
    assert_eq!(shares.level("quiet", at(10_000)), 0);
    shares.record("quiet", 1.0, 100.0, at(10_000));
    assert!(shares.level(LOUD, at(10_000)) > 0, "the share is returned at once");
    assert_eq!(shares.level("quiet", at(10_000)), 0);
    for n in 100..200 {
        shares.record("quiet", 1.0, 100.0, at(n * 100));
    }
    assert_eq!(shares.level(LOUD, at(20_000)), 0, "no debt remains");
}

/// Guards against memory that grows with the names that callers send, and against sums that
/// overflow in a long run.
#[test]
fn state_is_bounded() {
    let start = Instant::now();
    let mut shares = FairShare::new(start);
    for n in 0..5_000 {
        shares.record(&format!("w{n}"), 1.0, 100.0, start);
    }
    assert!(shares.largest(usize::MAX, start).len() <= 1_024);
    for hour in 1..50 {
        let now = start + Duration::from_secs(3_600 * hour);
        shares.record(LOUD, 1.0, 300.0, now);
        shares.record("quiet", 1.0, 100.0, now);
        assert_eq!((shares.level(LOUD, now), shares.level("quiet", now)), (1, 0));
        let parts: Vec<f64> = shares.largest(4, now).into_iter().map(|(_, part)| part).collect();
        assert_eq!(parts.len(), 2);
        assert!((parts[0] - 0.75).abs() < 1e-6, "{parts:?}");
    }
}

fn grant(allocator: &mut Allocator, request: Request, now: Instant) -> Grant {
    match allocator.on_request(request, now) {
        Decision::Granted(grant, _) => grant,
        decision => panic!("{decision:?}"),
    }
}

fn part_of(allocator: &Allocator, workspace: &str, now: Instant) -> f64 {
    let shares = allocator.workspace_shares(16, now);
    shares.iter().find(|share| share.workspace == workspace).map_or(0.0, |share| share.part)
}

/// Guards against requests that count in every allocator in which they wait: only what is granted
/// counts, and a grant that isn't used is taken back.
#[test]
fn request_in_several_allocators_counts_once() {
    let now = Instant::now();
    let mut allocators = [0, 1].map(|_| allocator(Policy::default(), now));
    for allocator in &mut allocators {
        grant(allocator, request("other", Purpose::Online, now), now);
    }
    let leases = allocators
        .each_mut()
        .map(|allocator| grant(allocator, request(LOUD, Purpose::Online, now), now).lease);
    let unused = LeaseReport { outcome: LeaseOutcome::Unused, ..LeaseReport::default() };
    allocators[0].on_release(leases[0], LeaseReport::default(), now);
    allocators[1].on_release(leases[1], unused, now);
    let parts = allocators.each_ref().map(|allocator| part_of(allocator, LOUD, now));
    assert!((parts[0] - 0.5).abs() < 1e-6 && parts[1] < 1e-6, "{parts:?}");
    while let Decision::Granted(..) =
        allocators[1].on_request(request("other", Purpose::Online, now), now)
    {}
    let before = part_of(&allocators[1], LOUD, now);
    allocators[1].on_request(request(LOUD, Purpose::Online, now), now);
    assert_eq!(part_of(&allocators[1], LOUD, now), before, "a queued request counts nothing");
}

/// Fills all slots with work of the loud workspace but for one of the quiet one, queues a request
/// of each, the loud one's first, and returns which is served when a slot comes free.
fn first_served(allocator: &mut Allocator, purpose: Purpose, now: Instant) -> &'static str {
    let quiet = grant(allocator, request("quiet", purpose, now), now);
    while let Decision::Granted(..) = allocator.on_request(request(LOUD, purpose, now), now) {}
    let later = now + MS;
    allocator.on_request(request("quiet", purpose, later), later);
    allocator.on_release(quiet.lease, LeaseReport::default(), later);
    let grants = allocator.next_grants(later);
    assert_eq!(grants.len(), 1);
    let part = part_of(allocator, "quiet", later);
    if part > 1.5 / f64::from(TARGETS as u32 * SLOTS) { "quiet" } else { LOUD }
}

/// Batch is ordered by the workspaces of jobs like online requests.
#[rstest]
#[case::online(Purpose::Online)]
#[case::batch(Purpose::Batch)]
fn workspace_below_its_share_goes_first(#[case] purpose: Purpose) {
    let now = Instant::now();
    assert_eq!(first_served(&mut allocator(Policy::default(), now), purpose, now), "quiet");
    let policy = Policy { fair_shares: false, ..Policy::default() };
    assert_eq!(first_served(&mut allocator(policy, now), purpose, now), LOUD);
}

/// An allocator that takes over, and one on the other side of a partition, knows only what it
/// granted itself: it starts with equal shares and soon has its own.
#[test]
fn allocator_knows_what_it_granted_itself() {
    let now = Instant::now();
    let mut sides = [0, 1].map(|_| allocator(Policy::default(), now));
    assert_eq!(first_served(&mut sides[0], Purpose::Online, now), "quiet");
    assert_eq!(part_of(&sides[1], LOUD, now), 0.0, "nothing is known of the other side");
    assert_eq!(first_served(&mut sides[1], Purpose::Online, now), "quiet");
    // Reports of holders after a takeover tell no work that another allocator granted.
    let mut next = allocator(Policy::default(), now);
    next.on_lease_report(1, &[], now);
    assert!(next.workspace_shares(16, now).is_empty());
}
