//! Verdicts and figures of a replay.

use super::events::{self, Got};
use crate::print::table;
use hdrhistogram::Histogram;
use protocol::job::{Outcome, Phase, ResultLine, Status};
use protocol::trace::{Expect, Fault, Job, Request};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// What became of one event.
pub struct Played {
    name: String,
    class: String,
    expect: Option<Expect>,
    text: Option<String>,
    got: String,
    problem: Option<String>,
    first: Option<Duration>,
    gaps: Vec<Duration>,
    items: u64,
    took: Duration,
}

impl Played {
    /// A request and its outcome.
    pub fn request(request: Request, got: Got) -> Played {
        let outcome = match (&got.text, got.kind) {
            (Some(_), _) => String::from("completed"),
            (None, Some(kind)) => format!("{}: {}", kind.name(), got.message),
            (None, None) => format!("no answer: {}", got.message),
        };
        let problem = match &request.expect {
            Expect::Completed | Expect::SameAs(_) if got.text.is_some() => None,
            Expect::Error(kind) if got.kind == Some(*kind) => None,
            _ => Some(outcome.clone()),
        };
        Played {
            name: request.name,
            class: request.class,
            expect: Some(request.expect),
            text: got.text,
            got: outcome,
            problem,
            first: got.first,
            gaps: got.gaps,
            items: 0,
            took: Duration::ZERO,
        }
    }

    /// A job and its outcomes.
    pub fn job(job: Job, status: Option<Status>, lines: Vec<ResultLine>, took: Duration) -> Played {
        let items = job.items + job.extra.len() as u64;
        let failed = events::failed(&lines);
        let phase = status.as_ref().map(|status| status.phase);
        let got = format!("{phase:?}, {} outcomes, {failed} failed", lines.len());
        let each_once = lines.iter().enumerate().all(|(n, line)| line.item == n as u64);
        let all_once = lines.len() as u64 == items && each_once;
        let holds = all_once
            && match &job.expect {
                Expect::Completed => phase == Some(Phase::Finished) && failed == 0,
                Expect::Failed(count) => phase == Some(Phase::Finished) && failed == *count,
                Expect::Cancelled => phase == Some(Phase::Cancelled),
                Expect::SameAs(_) | Expect::Error(_) => false,
            };
        let completed = lines.iter().filter(|l| matches!(l.outcome, Outcome::Completed { .. }));
        Played {
            name: job.name,
            class: String::from("batch"),
            expect: Some(job.expect),
            text: None,
            problem: (!holds).then(|| got.clone()),
            got,
            first: None,
            gaps: Vec::new(),
            items: completed.count() as u64,
            took,
        }
    }

    /// A fault that was set.
    pub fn fault(fault: &Fault, done: Result<(), String>) -> Played {
        Played {
            name: format!("fault of {} at {} ms", fault.standin, fault.at),
            class: String::from("fault"),
            expect: None,
            text: None,
            got: done.clone().err().unwrap_or_else(|| "set".into()),
            problem: done.err(),
            first: None,
            gaps: Vec::new(),
            items: 0,
            took: Duration::ZERO,
        }
    }
}

/// Verdict on one event.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// Name in the trace.
    pub name: String,
    /// Class.
    pub class: String,
    /// Whether the stated outcome holds.
    pub holds: bool,
    /// What came.
    pub got: String,
}

/// Figures of one class.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Requests.
    pub requests: u64,
    /// Stated outcomes that hold.
    pub hold: u64,
    /// First token in ms: p50, p95, p99.
    pub first_ms: [f64; 3],
    /// Gap between tokens in ms: p50, p95, p99.
    pub gap_ms: [f64; 3],
}

/// A whole report.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Verdicts, in the order of names.
    pub verdicts: Vec<Verdict>,
    /// Figures by class.
    pub classes: BTreeMap<String, Figures>,
    /// Batch items completed.
    pub items: u64,
    /// Batch items a second, over the time that jobs ran.
    pub items_per_second: f64,
    /// Seconds in all.
    pub seconds: f64,
}

impl Report {
    /// A report of everything played.
    pub fn new(mut played: Vec<Played>, took: Duration) -> Report {
        let texts: HashMap<String, Option<String>> =
            played.iter().map(|one| (one.name.clone(), one.text.clone())).collect();
        for one in &mut played {
            if let Some(Expect::SameAs(other)) = &one.expect
                && one.problem.is_none()
                && texts.get(other) != Some(&one.text)
            {
                one.problem = Some(format!("another text than `{other}`"));
            }
        }
        played.sort_by(|a, b| a.name.cmp(&b.name));
        let items = played.iter().map(|one| one.items).sum();
        let longest = played.iter().map(|one| one.took).max().unwrap_or_default();
        let seconds = longest.as_secs_f64();
        Report {
            classes: classes(&played),
            verdicts: played.iter().map(verdict).collect(),
            items,
            items_per_second: if seconds > 0.0 { items as f64 / seconds } else { 0.0 },
            seconds: took.as_secs_f64(),
        }
    }

    /// Whether every stated outcome holds.
    pub fn holds(&self) -> bool {
        self.verdicts.iter().all(|verdict| verdict.holds)
    }

    /// The report for people.
    pub fn text(&self) -> String {
        let heads = ["CLASS", "STATED", "HOLD", "FIRST p50/p95/p99 ms", "GAP p50/p95/p99 ms"];
        let three = |v: [f64; 3]| format!("{:.1} / {:.1} / {:.1}", v[0], v[1], v[2]);
        let rows: Vec<Vec<String>> = self
            .classes
            .iter()
            .map(|(class, f)| {
                vec![
                    class.clone(),
                    f.requests.to_string(),
                    f.hold.to_string(),
                    three(f.first_ms),
                    three(f.gap_ms),
                ]
            })
            .collect();
        let mut text = table(&heads, &rows);
        let (items, rate) = (self.items, self.items_per_second);
        text.push_str(&format!("batch: {items} items, {rate:.1} a second\n"));
        for verdict in self.verdicts.iter().filter(|verdict| !verdict.holds) {
            text.push_str(&format!("DOES NOT HOLD {}: {}\n", verdict.name, verdict.got));
        }
        let hold = self.verdicts.iter().filter(|verdict| verdict.holds).count();
        let all = self.verdicts.len();
        text.push_str(&format!("{hold} of {all} stated outcomes hold, {:.1} s\n", self.seconds));
        text
    }
}

fn verdict(one: &Played) -> Verdict {
    Verdict {
        name: one.name.clone(),
        class: one.class.clone(),
        holds: one.problem.is_none(),
        got: one.problem.clone().unwrap_or_else(|| one.got.clone()),
    }
}

fn classes(played: &[Played]) -> BTreeMap<String, Figures> {
    let mut by_class: BTreeMap<String, Vec<&Played>> = BTreeMap::new();
    for one in played {
        by_class.entry(one.class.clone()).or_default().push(one);
    }
    let figures = |list: Vec<&Played>| Figures {
        requests: list.len() as u64,
        hold: list.iter().filter(|one| one.problem.is_none()).count() as u64,
        first_ms: percentiles(list.iter().filter_map(|one| one.first)),
        gap_ms: percentiles(list.iter().flat_map(|one| one.gaps.iter().copied())),
    };
    by_class.into_iter().map(|(class, list)| (class, figures(list))).collect()
}

fn percentiles(times: impl Iterator<Item = Duration>) -> [f64; 3] {
    let Ok(mut histogram) = Histogram::<u64>::new(3) else {
        return [0.0; 3];
    };
    for time in times {
        // A histogram of this kind grows as needed; recording can't fail.
        let _ = histogram.record(time.as_micros() as u64);
    }
    [0.5, 0.95, 0.99].map(|q| histogram.value_at_quantile(q) as f64 / 1000.0)
}
