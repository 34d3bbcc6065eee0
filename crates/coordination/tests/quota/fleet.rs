//! Data centres whose ledgers exchange reports in virtual time.

use coordination::quota::{Attempt, Ledger, Policy, Report};
use protocol::workspace::Quota;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

pub const WORKSPACE: &str = "press";
pub const NAMES: [&str; 3] = ["north", "south", "west"];
pub const STEP: Duration = Duration::from_millis(10);
/// First attempt of a caller that may not wait.
const AT_ONCE: Attempt = Attempt::Fresh { max_wait: Duration::ZERO };

fn data_centres(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// One ledger per data centre; reports take one step, and are lost while a data centre is cut off.
pub struct Fleet {
    pub names: &'static [&'static str],
    /// What requests are charged as.
    pub attempt: Attempt,
    pub policy: Policy,
    pub quota: Quota,
    pub start: Instant,
    pub now: Instant,
    pub ledgers: Vec<Ledger>,
    pub epoch: u64,
    pub in_flight: Vec<(usize, Report)>,
    pub next_exchange: Instant,
    /// Data centre that is cut off.
    pub cut: Option<usize>,
    /// Requests that run, each with its time.
    pub runs: Vec<Instant>,
    /// Fractions of requests that are due in each data centre.
    pub due: [f64; 3],
    /// Whether requests are charged to another data centre once a part is used up.
    pub borrows: bool,
    /// One in so many messages is lost, in a pattern that differs by the seed; 0 for none.
    pub lost_one_in: u64,
    pub messages: u64,
    pub asked: u64,
    pub refused: u64,
}

impl Fleet {
    pub fn new(quota: Quota) -> Fleet {
        Fleet::of(&NAMES, Policy::default(), quota)
    }

    pub fn of(names: &'static [&'static str], policy: Policy, quota: Quota) -> Fleet {
        let now = Instant::now();
        let ledgers = names.iter().map(|name| new_ledger(policy, names, name, 0, now)).collect();
        Fleet {
            names,
            attempt: AT_ONCE,
            policy,
            quota,
            start: now,
            now,
            ledgers,
            epoch: 0,
            in_flight: Vec::new(),
            next_exchange: now,
            cut: None,
            runs: Vec::new(),
            due: [0.0; 3],
            borrows: true,
            lost_one_in: 0,
            messages: 0,
            asked: 0,
            refused: 0,
        }
    }

    pub fn restart(&mut self, n: usize) {
        self.epoch += 1;
        let name = self.names[n];
        self.ledgers[n] = new_ledger(self.policy, self.names, name, self.epoch, self.now);
    }

    /// Replaces a ledger by one that continues from its snapshot.
    pub fn replace(&mut self, n: usize) {
        let snapshot = self.ledgers[n].snapshot();
        self.restart(n);
        self.ledgers[n].restore(snapshot, self.now);
    }

    pub fn ask(&mut self, n: usize) -> Result<Duration, Duration> {
        self.ask_as(n, self.attempt)
    }

    /// Charges a request as the daemon does: what must wait here, or is rejected here as a first
    /// attempt, is charged to another data centre if one lends. Returns the wait.
    pub fn ask_as(&mut self, n: usize, attempt: Attempt) -> Result<Duration, Duration> {
        self.asked += 1;
        let result = self.ledgers[n].charge(WORKSPACE, self.quota, attempt, self.now);
        let may_borrow = result != Ok(Duration::ZERO) && attempt != Attempt::Retry;
        if may_borrow && self.borrow(n) {
            if result.is_ok() {
                self.ledgers[n].refund(WORKSPACE);
            }
            self.runs.push(self.now);
            return Ok(Duration::ZERO);
        }
        match result {
            Ok(wait) => self.runs.push(self.now + wait),
            Err(_) => self.refused += 1,
        }
        result
    }

    /// Borrows from any other data centre that can be reached. The token is spent if the reply is
    /// lost.
    pub fn borrow(&mut self, n: usize) -> bool {
        let (now, quota) = (self.now, self.quota);
        let is_cut = |to: usize| self.cut.is_some_and(|cut| cut == n || cut == to);
        let others: Vec<usize> =
            (0..self.names.len()).filter(|to| *to != n && self.borrows && !is_cut(*to)).collect();
        others.into_iter().any(|to| {
            let is_lent = self.ledgers[to].lend(WORKSPACE, quota, now).is_ok();
            is_lent && !self.loses_message()
        })
    }

    pub fn loses_message(&mut self) -> bool {
        self.messages += 1;
        let mixed = self.messages.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
        self.lost_one_in > 0 && mixed.is_multiple_of(self.lost_one_in)
    }

    pub fn step(&mut self) {
        self.now += STEP;
        for (to, report) in std::mem::take(&mut self.in_flight) {
            self.ledgers[to].on_report(report, self.now);
        }
        if self.now < self.next_exchange {
            return;
        }
        self.next_exchange = self.now + self.policy.exchange_interval;
        for from in 0..self.names.len() {
            let report = self.ledgers[from].exchange(self.now);
            for to in (0..self.names.len()).filter(|to| *to != from) {
                let is_cut = self.cut.is_some_and(|cut| cut == from || cut == to);
                if !is_cut && !self.loses_message() {
                    self.in_flight.push((to, report.clone()));
                }
            }
        }
    }

    /// Largest number of requests that ran in a sliding window.
    pub fn busiest_window(&self) -> usize {
        let (mut first, mut most) = (0, 0);
        let mut runs = self.runs.clone();
        runs.sort_unstable();
        for (last, at) in runs.iter().enumerate() {
            while at.duration_since(runs[first]) >= self.policy.window {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }

    pub fn bound(&self) -> f64 {
        self.policy.allowed(self.quota) + self.policy.tolerance(self.quota)
    }

    /// Plays a load for some time: `rates` requests per second in each data centre, evenly spread.
    pub fn play(&mut self, time: Duration, rates: [f64; 3]) {
        let until = self.now + time;
        while self.now < until {
            for (n, rate) in rates.into_iter().enumerate() {
                self.due[n] += rate * STEP.as_secs_f64();
                while self.due[n] >= 1.0 {
                    self.due[n] -= 1.0;
                    // A refusal is counted; these callers don't come back.
                    let _refused = self.ask(n);
                }
            }
            self.step();
        }
    }
}

fn new_ledger(policy: Policy, names: &[&str], name: &str, epoch: u64, now: Instant) -> Ledger {
    let mut ledger = Ledger::new(policy, name, epoch, now);
    ledger.set_data_centres(&data_centres(names));
    ledger
}
