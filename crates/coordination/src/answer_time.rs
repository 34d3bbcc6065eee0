//! Estimates how long a route's answers take, from the latest ones that an instance has passed on.
//!
//! ```
//! use coordination::answer_time::{Answer, Table};
//! use std::time::Duration;
//!
//! let mut table = Table::default();
//! assert_eq!(table.whole("chat"), None);
//! let [whole, run] = [700, 200].map(Duration::from_millis);
//! table.record("chat", Answer { whole, run: Some(run) });
//! table.record("chat", Answer { whole: run, run: None });
//! assert_eq!((table.whole("chat"), table.run("chat")), (Some(whole), Some(run)));
//! ```

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Number of times of a route that are kept.
const MAX_TIMES: usize = 32;
/// Bounds the memory of a table.
const MAX_ROUTES: usize = 4_096;
/// Share of the kept times that an estimate isn't below.
const QUANTILE: f64 = 0.95;

/// How long one answer took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// From the start of the request to the last byte, with the wait for a slot and the time at
    /// targets that were replaced.
    pub whole: Duration,
    /// From sending it to the target that answered; `None` if that sent only a part of the answer.
    pub run: Option<Duration>,
}

/// Answers of all routes. The least recent ones are forgotten.
#[derive(Clone, Debug, Default)]
pub struct Table {
    routes: HashMap<String, Times>,
}

#[derive(Clone, Debug, Default)]
struct Times {
    whole: VecDeque<Duration>,
    run: VecDeque<Duration>,
}

impl Table {
    /// Records an answer of a route.
    pub fn record(&mut self, route: &str, answer: Answer) {
        if let Some(times) = self.routes.get_mut(route) {
            return times.record(answer);
        }
        if self.routes.len() >= MAX_ROUTES {
            self.routes.clear();
        }
        self.routes.entry(route.to_owned()).or_default().record(answer);
    }

    /// 95th percentile of the times that requests of a route took; `None` without answers.
    pub fn whole(&self, route: &str) -> Option<Duration> {
        quantile(&self.routes.get(route)?.whole)
    }

    /// 95th percentile of the times of runs of a route's requests; `None` without answers.
    pub fn run(&self, route: &str) -> Option<Duration> {
        let times = self.routes.get(route)?;
        quantile(&times.run).or_else(|| quantile(&times.whole))
    }
}

impl Times {
    fn record(&mut self, answer: Answer) {
        push(&mut self.whole, answer.whole);
        answer.run.into_iter().for_each(|run| push(&mut self.run, run));
    }
}

fn push(times: &mut VecDeque<Duration>, time: Duration) {
    if times.len() >= MAX_TIMES {
        times.pop_front();
    }
    times.push_back(time);
}

fn quantile(times: &VecDeque<Duration>) -> Option<Duration> {
    let mut sorted: Vec<Duration> = times.iter().copied().collect();
    sorted.sort_unstable();
    let rank = (sorted.len() as f64 * QUANTILE).ceil() as usize;
    sorted.get(rank.checked_sub(1)?).copied()
}
