//! Placement on targets of different speeds, in virtual time, against a choice that knows the true
//! speeds.

use crate::{MS, grant, request, target};
use coordination::prompt::Prompt;
use coordination::slots::{
    Allocator, Decision, LeaseId, LeaseReport, Policy, Purpose, Request, WaiterId, Workload,
};
use protocol::routing::Target;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

const OBJECTIVE: Duration = Duration::from_millis(300);
/// Goal of the design page for p99 of the first event, relative to a choice that knows the speeds.
const MAX_RATIO: f64 = 1.15;
const SLOTS: u32 = 8;
const EVENTS: u32 = 30;
/// Time per event on an ordinary target with one request, and its growth with each further one.
const STEP_S: f64 = 0.012;
const STEP_GROWTH_S: f64 = 0.001;
/// Time to read a token.
const TOKEN_S: f64 = 20e-6;
/// Factor and duration of a disturbance.
const DISTURBANCE: f64 = 2.5;
const DISTURBANCE_S: f64 = 0.6;

/// A request of the load: when it arrives, and how long its prompt is.
type Arrival = (f64, u32);

fn workload(name: &str, tokens: u32) -> Workload {
    Workload {
        prompt: Prompt::new("m", [(name, tokens)]),
        objective: OBJECTIVE,
        max_event_gap: OBJECTIVE,
        ..Workload::default()
    }
}

fn targets(count: usize) -> Vec<Target> {
    (0..count).map(|n| target(n as u16, SLOTS)).collect()
}

/// A target's step time as a multiple of the usual one: for good, and for periods.
#[derive(Clone, Default)]
struct Engine {
    slowness: f64,
    /// From, until, factor.
    periods: Vec<(f64, f64, f64)>,
    running: u32,
    reading_until: f64,
}

impl Engine {
    fn factor(&self, at: f64) -> f64 {
        let period = self.periods.iter().find(|(from, until, _)| (*from..*until).contains(&at));
        self.slowness * period.map_or(1.0, |(.., factor)| *factor)
    }

    fn step(&self, at: f64) -> f64 {
        self.factor(at) * (STEP_S + STEP_GROWTH_S * f64::from(self.running - 1))
    }

    /// The cost of the placement with the true speed, in seconds: time to the first event, and the
    /// delay of the requests that run beside it.
    fn delay(&self, tokens: u32, at: f64) -> f64 {
        let factor = self.factor(at);
        let reading = factor * TOKEN_S * f64::from(tokens);
        let wait = (self.reading_until - at).max(0.0);
        wait + factor * STEP_S + reading * f64::from(1 + self.running)
    }
}

/// Who chooses the target of a request.
enum Chooser {
    Learning(Box<Allocator>),
    Oracle,
}

struct Run {
    target: usize,
    lease: LeaseId,
    arrived: f64,
    sent: f64,
    first: f64,
    events: u32,
}

/// A served request, as the test counts it.
struct Served {
    target: usize,
    sent: f64,
    /// Time from its arrival to its first event.
    first: f64,
}

/// Engines and the requests that they run.
struct World {
    base: Instant,
    engines: Vec<Engine>,
    chooser: Chooser,
    queued: Vec<(WaiterId, Arrival)>,
    runs: Vec<Run>,
    /// Next events, in nanoseconds, with the number of their run.
    next: BinaryHeap<Reverse<(u64, usize)>>,
    served: Vec<Served>,
}

impl World {
    fn run(engines: &[Engine], mut chooser: Chooser, load: &[Arrival]) -> Vec<Served> {
        let base = Instant::now();
        if let Chooser::Learning(allocator) = &mut chooser {
            allocator.set_targets(&targets(engines.len()), base);
        }
        let mut world = World {
            base,
            engines: engines.to_vec(),
            chooser,
            queued: Vec::new(),
            runs: Vec::new(),
            next: BinaryHeap::new(),
            served: Vec::new(),
        };
        for arrival in load {
            world.run_until(arrival.0);
            world.arrive(*arrival);
        }
        world.run_until(f64::INFINITY);
        assert_eq!(world.served.len(), load.len(), "every request is served");
        world.served
    }

    fn instant(&self, at: f64) -> Instant {
        self.base + Duration::from_secs_f64(at)
    }

    fn run_until(&mut self, until: f64) {
        while let Some(Reverse((ns, _))) = self.next.peek()
            && *ns as f64 / 1e9 <= until
        {
            let Some(Reverse((ns, run))) = self.next.pop() else { return };
            self.on_event(ns as f64 / 1e9, run);
        }
    }

    fn arrive(&mut self, arrival: Arrival) {
        let (at, tokens) = arrival;
        let now = self.instant(at);
        match &mut self.chooser {
            Chooser::Learning(allocator) => {
                let name = format!("{at}");
                let request = Request {
                    workload: workload(&name, tokens),
                    expires: now + Duration::from_secs(60),
                    may_wait: true,
                    ..request(Purpose::Online, now)
                };
                match allocator.on_request(request, now) {
                    Decision::Granted(grant, _) => {
                        let target = grant.target[1..].parse().expect("a number");
                        self.start(target, grant.lease, arrival, at);
                    }
                    Decision::Queued(id) => self.queued.push((id, arrival)),
                    other => panic!("{other:?}"),
                }
            }
            Chooser::Oracle => {
                self.queued.push((0, arrival));
                self.serve_queue(at);
            }
        }
    }

    fn serve_queue(&mut self, at: f64) {
        let now = self.instant(at);
        match &mut self.chooser {
            Chooser::Learning(allocator) => {
                for (id, grant, _) in allocator.next_grants(now) {
                    let index = self.queued.iter().position(|(known, _)| *known == id);
                    let (_, arrival) = self.queued.remove(index.expect("a queued request"));
                    let target = grant.target[1..].parse().expect("a number");
                    self.start(target, grant.lease, arrival, at);
                }
            }
            Chooser::Oracle => {
                while let Some((_, arrival)) = self.queued.first().copied() {
                    let free = self.engines.iter().enumerate();
                    let free = free.filter(|(_, engine)| engine.running < SLOTS);
                    let delays: Vec<_> = free
                        .map(|(n, engine)| (n, engine.running, engine.delay(arrival.1, at)))
                        .collect();
                    let best = delays.iter().map(|(.., delay)| *delay).fold(f64::MAX, f64::min);
                    // Callers can't tell differences below a thirtieth of the objective.
                    let steps =
                        |delay: f64| ((delay - best) / OBJECTIVE.as_secs_f64() * 30.0) as u64;
                    let chosen = delays.iter().min_by_key(|(_, load, d)| (steps(*d), *load));
                    let Some((target, ..)) = chosen.copied() else {
                        return;
                    };
                    self.queued.remove(0);
                    self.start(target, 0, arrival, at);
                }
            }
        }
    }

    fn start(&mut self, target: usize, lease: LeaseId, (arrived, tokens): Arrival, at: f64) {
        let engine = &mut self.engines[target];
        engine.running += 1;
        let reading = engine.factor(at) * TOKEN_S * f64::from(tokens);
        engine.reading_until = engine.reading_until.max(at) + reading;
        let first = engine.reading_until + engine.step(at);
        self.next.push(Reverse(((first * 1e9) as u64, self.runs.len())));
        self.runs.push(Run { target, lease, arrived, sent: at, first, events: 0 });
    }

    fn on_event(&mut self, at: f64, index: usize) {
        let run = &mut self.runs[index];
        let engine = &mut self.engines[run.target];
        run.events += 1;
        if run.events < EVENTS {
            let next = at + engine.step(at);
            self.next.push(Reverse(((next * 1e9) as u64, index)));
            return;
        }
        engine.running -= 1;
        let first = run.first - run.arrived;
        self.served.push(Served { target: run.target, sent: run.sent, first });
        let (lease, report) = (
            run.lease,
            LeaseReport {
                first_event: Some(Duration::from_secs_f64(run.first - run.sent)),
                event_interval: Some(Duration::from_secs_f64(
                    (at - run.first) / f64::from(EVENTS - 1),
                )),
                ..LeaseReport::default()
            },
        );
        let now = self.instant(at);
        if let Chooser::Learning(allocator) = &mut self.chooser {
            allocator.on_release(lease, report, now);
        }
        self.serve_queue(at);
    }
}

fn learning(policy: Policy) -> Chooser {
    let settled = Instant::now() - Duration::from_secs(10);
    Chooser::Learning(Box::new(Allocator::new(policy, 0, settled)))
}

/// Requests with prompts of different lengths that take `usage` of the slots for this long.
fn load(engines: &[Engine], usage: f64, duration_s: f64, rng: &mut StdRng) -> Vec<Arrival> {
    let busy_step = STEP_S + STEP_GROWTH_S * f64::from(SLOTS - 1) * usage;
    let hold = |engine: &Engine| engine.slowness * f64::from(EVENTS) * busy_step;
    let rate: f64 = engines.iter().map(|engine| usage * f64::from(SLOTS) / hold(engine)).sum();
    let mut at = 0.0;
    let mut arrivals = Vec::new();
    while at < duration_s {
        let tokens = if rng.random_bool(0.1) { 4_000 } else { rng.random_range(100..1_500) };
        arrivals.push((at, tokens));
        at -= (1.0 - rng.random::<f64>()).ln() / rate;
    }
    arrivals
}

/// Engines of speeds between 0.3 and 2.0; disturbed for this part of the time.
fn engines(count: usize, disturbed: f64, duration_s: f64, rng: &mut StdRng) -> Vec<Engine> {
    let engine = |_| {
        let slowness = rng.random_range(0.3..2.0);
        let mut periods = Vec::new();
        let mut at = 0.0;
        while disturbed > 0.0 && at < duration_s {
            let pause = DISTURBANCE_S * (1.0 - disturbed) / disturbed;
            at += rng.random_range(0.5..1.5) * pause;
            periods.push((at, at + DISTURBANCE_S, DISTURBANCE));
            at += DISTURBANCE_S;
        }
        Engine { slowness, periods, ..Engine::default() }
    };
    (0..count).map(engine).collect()
}

fn p99(served: &[Served]) -> f64 {
    let mut times: Vec<f64> = served.iter().map(|served| served.first).collect();
    times.sort_by(f64::total_cmp);
    times[times.len() * 99 / 100]
}

/// Guards against late first events because the choice doesn't know how fast targets are, or learns
/// it too slowly.
#[rstest]
fn first_events_are_about_as_early_as_with_known_speeds(
    #[values(1, 2, 3, 4, 5)] seed: u64,
    #[values(0.0, 0.15)] disturbed: f64,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let engines = engines(12, disturbed, 60.0, &mut rng);
    let load = load(&engines, 0.5, 60.0, &mut rng);
    let known = p99(&World::run(&engines, Chooser::Oracle, &load));
    let learnt = p99(&World::run(&engines, learning(Policy::default()), &load));
    let ratio = learnt / known;
    println!("p99 {:.1} ms, {:.1} ms with known speeds", learnt * 1e3, known * 1e3);
    assert!(ratio <= MAX_RATIO, "ratio {ratio:.3} of {} requests", load.len());
}

/// Number of requests that the target received in this period.
fn count(served: &[Served], target: usize, from: f64, until: f64) -> usize {
    served.iter().filter(|s| s.target == target && (from..until).contains(&s.sent)).count()
}

/// Guards against trials of a slow target that make more than one first event in a hundred late,
/// which is what p99 bears, and against a target that is never used again.
#[rstest]
#[case::new_and_slow(0.0, 20.0)]
#[case::disturbed_for_long(10.0, 30.0)]
fn slow_target_is_tried_again_at_a_bounded_cost(
    #[values(1, 2, 3)] seed: u64,
    #[case] from: f64,
    #[case] until: f64,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut engines = vec![Engine { slowness: 0.8, ..Engine::default() }; 8];
    engines[0].periods = vec![(from, until, 5.0)];
    let load = load(&engines, 0.4, 60.0, &mut rng);
    let known = World::run(&engines, Chooser::Oracle, &load);
    let learnt = World::run(&engines, learning(Policy::default()), &load);
    let sent = load.iter().filter(|(at, _)| (from..until).contains(at)).count();
    let [known_slow, slow] = [&known, &learnt].map(|served| count(served, 0, from, until));
    let [known_after, after] = [&known, &learnt].map(|served| count(served, 0, until + 10.0, 60.0));
    println!(
        "slow: {slow}, {known_slow} if known, of {sent}; then: {after}, {known_after} if known"
    );
    assert!(slow <= known_slow + sent / 100, "{slow}, {known_slow} if known, of {sent}");
    assert!(after >= known_after / 2, "{after} after it recovered, {known_after} if known");
}

/// Guards against a target that keeps being chosen for its past speed, or avoided for a past
/// disturbance. Requests come one by one, so each report is known before the next choice.
#[test]
fn target_that_becomes_slow_is_avoided_after_a_few_requests_until_it_recovers() {
    let mut now = Instant::now();
    let mut allocator = Allocator::new(Policy::default(), 0, now - Duration::from_secs(10));
    allocator.set_targets(&targets(2), now);
    // Serves a request in which `t0` has this factor; returns the target.
    let mut serve = |factor: f64| {
        let request = Request { workload: workload("", 20), ..request(Purpose::Online, now) };
        let grant = grant(&mut allocator, request, now);
        let factor = if grant.target == "t0" { factor } else { 1.0 };
        let report = LeaseReport {
            first_event: Some((MS * 40).mul_f64(factor)),
            event_interval: Some((MS * 12).mul_f64(factor)),
            ..LeaseReport::default()
        };
        now += MS * 400;
        allocator.on_release(grant.lease, report, now);
        grant.target
    };
    let fast = (0..50).filter(|_| serve(0.5) == "t0").count();
    assert!(fast >= 45, "the faster target gets {fast} of 50");
    let until_avoided = (0..50).take_while(|_| serve(4.0) == "t0").count();
    assert!(until_avoided <= 3, "chosen {until_avoided} times while slow");
    // Disturbances last less than a second; 25 requests are 10 s.
    let until_used = (0..50).take_while(|_| serve(0.5) != "t0").count();
    assert!(until_used <= 25, "chosen again only after {until_used} requests");
}
