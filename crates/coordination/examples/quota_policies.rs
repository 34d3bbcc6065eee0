//! Compares ways to hold quotas over several data centres on one load, in virtual time.
//!
//! ```text
//! cargo run --release -p gatespool-coordination --example quota_policies
//! ```
//!
//! Prints for each way the requests refused of those that one central token bucket would admit,
//! the largest excess of a sliding window over the bound (below 0: never reached), and the
//! messages per request.

use coordination::quota::{Attempt, Ledger, Policy, Report};
use protocol::workspace::Quota;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

const NAMES: [&str; 3] = ["north", "south", "west"];
const ZONE_RATIO: [f64; 3] = [0.366, 0.293, 0.341];
const INSTANCES: usize = 51;
const WORKSPACES: usize = 73;
/// Mean requests per second of all workspaces.
const TOTAL_RATE: f64 = 262.0;
const QUOTA_RATIO: f64 = 1.6;
const STEP: Duration = Duration::from_millis(10);
const LENGTH: Duration = Duration::from_secs(40);
/// Time at which a fault or the load of a busy workspace begins, and when it ends.
const BEGIN: Duration = Duration::from_secs(12);
const END: Duration = Duration::from_secs(18);

/// What happens between [`BEGIN`] and [`END`].
#[derive(Clone, Copy, Debug, PartialEq)]
enum Scenario {
    Calm,
    /// The first data centre is cut off.
    Cut,
    /// The three largest workspaces send eight times their usual load.
    Busy,
    /// Both.
    BusyInCut,
}

/// A way to hold quotas.
trait Limiter {
    fn ask(&mut self, workspace: usize, zone: usize, instance: usize, now: Instant) -> bool;
    fn step(&mut self, _now: Instant, _is_cut: bool) {}
    fn messages(&self) -> u64 {
        0
    }
}

#[derive(Clone)]
struct Bucket {
    quota: Quota,
    tokens: f64,
    at: Instant,
}

impl Bucket {
    fn new(quota: Quota, now: Instant) -> Bucket {
        Bucket { quota, tokens: quota.burst.max(1.0), at: now }
    }

    fn take(&mut self, now: Instant) -> bool {
        self.tokens += (now - self.at).as_secs_f64() * self.quota.rate;
        self.tokens = self.tokens.min(self.quota.burst.max(1.0));
        self.at = now;
        let is_admitted = self.tokens >= 1.0;
        self.tokens -= if is_admitted { 1.0 } else { 0.0 };
        is_admitted
    }
}

/// Every instance has an equal part.
struct Static(Vec<Vec<Bucket>>);

impl Limiter for Static {
    fn ask(&mut self, workspace: usize, _zone: usize, instance: usize, now: Instant) -> bool {
        self.0[workspace][instance].take(now)
    }
}

/// One account for all, in the second data centre; while it can't be reached, nothing is refused.
struct Central {
    accounts: Vec<Bucket>,
    is_cut: bool,
    messages: u64,
}

impl Limiter for Central {
    fn ask(&mut self, workspace: usize, zone: usize, _instance: usize, now: Instant) -> bool {
        if self.is_cut && zone == 0 {
            return true;
        }
        self.messages += 1;
        self.accounts[workspace].take(now)
    }

    fn step(&mut self, _now: Instant, is_cut: bool) {
        self.is_cut = is_cut;
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}

/// Every data centre has the whole quota, less what the others report that they ran.
struct Counts {
    accounts: Vec<[Bucket; 3]>,
    ran: Vec<[f64; 3]>,
    next: Instant,
    interval: Duration,
    messages: u64,
}

impl Limiter for Counts {
    fn ask(&mut self, workspace: usize, zone: usize, _instance: usize, now: Instant) -> bool {
        let is_admitted = self.accounts[workspace][zone].take(now);
        self.ran[workspace][zone] += if is_admitted { 1.0 } else { 0.0 };
        is_admitted
    }

    fn step(&mut self, now: Instant, is_cut: bool) {
        if now < self.next {
            return;
        }
        self.next = now + self.interval;
        self.messages += 6;
        for (accounts, ran) in self.accounts.iter_mut().zip(&mut self.ran) {
            for (to, account) in accounts.iter_mut().enumerate() {
                let reaches = |from: usize| from != to && !(is_cut && (from == 0 || to == 0));
                account.tokens -= (0..3).filter(|from| reaches(*from)).map(|n| ran[n]).sum::<f64>();
            }
            *ran = [0.0; 3];
        }
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}

/// The ledgers of [`coordination::quota`].
struct Shares {
    ledgers: Vec<Ledger>,
    names: Vec<String>,
    quotas: Vec<Quota>,
    in_flight: Vec<(usize, Report)>,
    /// Whether the other data centres are asked when a part is used up.
    borrows: bool,
    is_cut: bool,
    next: Instant,
    interval: Duration,
    messages: u64,
}

impl Limiter for Shares {
    fn ask(&mut self, workspace: usize, zone: usize, _instance: usize, now: Instant) -> bool {
        let (name, quota) = (&self.names[workspace], self.quotas[workspace]);
        let at_once = Attempt::Fresh { max_wait: Duration::ZERO };
        if self.ledgers[zone].charge(name, quota, at_once, now).is_ok() {
            return true;
        }
        let is_cut = self.is_cut;
        let reaches = |to: usize| to != zone && !(is_cut && (to == 0 || zone == 0));
        for to in (0..NAMES.len()).filter(|to| self.borrows && reaches(*to)) {
            self.messages += 1;
            if self.ledgers[to].lend(name, quota, now).is_ok() {
                return true;
            }
        }
        false
    }

    fn step(&mut self, now: Instant, is_cut: bool) {
        self.is_cut = is_cut;
        for (to, report) in std::mem::take(&mut self.in_flight) {
            self.ledgers[to].on_report(report, now);
        }
        if now < self.next {
            return;
        }
        self.next = now + self.interval;
        for from in 0..NAMES.len() {
            let report = self.ledgers[from].exchange(now);
            for to in (0..NAMES.len()).filter(|to| *to != from) {
                self.messages += 1;
                if !is_cut || (from != 0 && to != 0) {
                    self.in_flight.push((to, report.clone()));
                }
            }
        }
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}

/// Mean rates of the workspaces: a few large ones, and many small ones.
fn rates() -> Vec<f64> {
    let weights: Vec<f64> = (1..=WORKSPACES).map(|rank| (rank as f64).powf(-1.1)).collect();
    let total: f64 = weights.iter().sum();
    weights.into_iter().map(|weight| weight / total * TOTAL_RATE).collect()
}

fn quotas() -> Vec<Quota> {
    let quota = |rate: f64| Quota { rate: rate * QUOTA_RATIO, burst: rate * QUOTA_RATIO };
    rates().into_iter().map(quota).collect()
}

fn limiter(way: &str, now: Instant) -> Box<dyn Limiter> {
    let (policy, quotas) = (Policy::default(), quotas());
    let buckets = || quotas.iter().map(|quota| Bucket::new(*quota, now));
    match way {
        "static part per instance" => {
            let part = |quota: &Quota| {
                let instances = INSTANCES as f64;
                Quota { rate: quota.rate / instances, burst: quota.burst / instances }
            };
            let parts = |quota| vec![Bucket::new(part(quota), now); INSTANCES];
            Box::new(Static(quotas.iter().map(parts).collect()))
        }
        "one account" => {
            Box::new(Central { accounts: buckets().collect(), is_cut: false, messages: 0 })
        }
        "counts exchanged" => Box::new(Counts {
            accounts: buckets().map(|bucket| [bucket.clone(), bucket.clone(), bucket]).collect(),
            ran: vec![[0.0; 3]; WORKSPACES],
            next: now,
            interval: policy.exchange_interval,
            messages: 0,
        }),
        way => {
            let names: BTreeSet<String> = NAMES.iter().map(|name| (*name).to_owned()).collect();
            let ledger = |name: &&str| {
                let mut ledger = Ledger::new(policy, name, 0, now);
                ledger.set_data_centres(&names);
                ledger
            };
            Box::new(Shares {
                ledgers: NAMES.iter().map(ledger).collect(),
                names: (0..WORKSPACES).map(|n| format!("w{n}")).collect(),
                quotas,
                in_flight: Vec::new(),
                borrows: way == "shares that lend",
                is_cut: false,
                next: now,
                interval: policy.exchange_interval,
                messages: 0,
            })
        }
    }
}

#[derive(Default)]
struct Result {
    asked: u64,
    below: u64,
    refused_below: u64,
    worst_excess: f64,
}

fn play(limiter: &mut dyn Limiter, scenario: Scenario, start: Instant, seed: u64) -> Result {
    let policy = Policy::default();
    let mut random = StdRng::seed_from_u64(seed);
    let (rates, quotas) = (rates(), quotas());
    let mut reference: Vec<Bucket> =
        quotas.iter().map(|quota| Bucket::new(*quota, start)).collect();
    let mut recent: HashMap<usize, VecDeque<Instant>> = HashMap::new();
    let mut result = Result { worst_excess: f64::NEG_INFINITY, ..Result::default() };
    let mut now = start;
    while now < start + LENGTH {
        now += STEP;
        let elapsed = now - start;
        let is_fault = (BEGIN..END).contains(&elapsed);
        let is_cut = is_fault && matches!(scenario, Scenario::Cut | Scenario::BusyInCut);
        let is_busy = is_fault && matches!(scenario, Scenario::Busy | Scenario::BusyInCut);
        limiter.step(now, is_cut);
        let phase = elapsed.as_secs_f64() % 5.2;
        let factor = if phase < 3.0 { 0.378 } else { 1.85 };
        for workspace in 0..WORKSPACES {
            let busy = if is_busy && workspace < 3 { 8.0 } else { 1.0 };
            for (zone, ratio) in ZONE_RATIO.into_iter().enumerate() {
                let mean = rates[workspace] * ratio * factor * busy * STEP.as_secs_f64();
                let mut remaining = random.random::<f64>();
                let mut term = (-mean).exp();
                let mut count = 0;
                while remaining > term {
                    remaining -= term;
                    count += 1;
                    term *= mean / f64::from(count);
                }
                for _ in 0..count {
                    let instance = zone * 17 + random.random_range(0..17);
                    let is_admitted = limiter.ask(workspace, zone, instance, now);
                    let is_below = reference[workspace].take(now);
                    result.asked += 1;
                    result.below += u64::from(is_below);
                    result.refused_below += u64::from(is_below && !is_admitted);
                    if is_admitted {
                        let runs = recent.entry(workspace).or_default();
                        runs.push_back(now);
                        while runs.front().is_some_and(|at| now - *at >= policy.window) {
                            runs.pop_front();
                        }
                        let quota = quotas[workspace];
                        let bound = policy.allowed(quota) + policy.tolerance(quota);
                        let excess = runs.len() as f64 / bound - 1.0;
                        result.worst_excess = result.worst_excess.max(excess);
                    }
                }
            }
        }
    }
    result
}

fn main() {
    println!("| way | scenario | refused below the quota | worst window | messages a request |");
    println!("| --- | --- | --- | --- | --- |");
    for way in [
        "static part per instance",
        "one account",
        "counts exchanged",
        "shares",
        "shares that lend",
    ] {
        for scenario in [Scenario::Calm, Scenario::Cut, Scenario::Busy, Scenario::BusyInCut] {
            let (mut total, mut messages) = (Result::default(), 0);
            total.worst_excess = f64::NEG_INFINITY;
            for seed in 0..5 {
                let start = Instant::now();
                let mut limiter = limiter(way, start);
                let result = play(limiter.as_mut(), scenario, start, seed);
                total.asked += result.asked;
                total.below += result.below;
                total.refused_below += result.refused_below;
                total.worst_excess = total.worst_excess.max(result.worst_excess);
                messages += limiter.messages();
            }
            println!(
                "| {way} | {scenario:?} | {:.2} % | {:+.1} % | {:.3} |",
                100.0 * total.refused_below as f64 / total.below as f64,
                100.0 * total.worst_excess,
                messages as f64 / total.asked as f64,
            );
        }
    }
}
