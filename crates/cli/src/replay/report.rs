//! Report of a replay: checks of expected outcomes and latency statistics.

use super::events::{self, RequestResult};
use crate::print::table;
use hdrhistogram::Histogram;
use protocol::job::{Outcome, Phase, ResultLine, Status};
use protocol::trace::{Expect, Fault, Job, Request};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Result of one event of the trace.
pub struct EventResult {
    name: String,
    class: String,
    expect: Option<Expect>,
    text: Option<String>,
    outcome: String,
    mismatch: Option<String>,
    first_token: Option<Duration>,
    token_gaps: Vec<Duration>,
    items: u64,
    duration: Duration,
}

impl EventResult {
    /// Result of a request, compared with its expected outcome.
    pub fn request(request: Request, result: RequestResult) -> EventResult {
        let outcome = match (&result.text, result.kind) {
            (Some(_), _) => String::from("completed"),
            (None, Some(kind)) => format!("{}: {}", kind.name(), result.message),
            (None, None) => format!("no response: {}", result.message),
        };
        let mismatch = match &request.expect {
            Expect::Completed | Expect::SameAs(_) if result.text.is_some() => None,
            Expect::Error(kind) if result.kind == Some(*kind) => None,
            _ => Some(outcome.clone()),
        };
        EventResult {
            name: request.name,
            class: request.class,
            expect: Some(request.expect),
            text: result.text,
            outcome,
            mismatch,
            first_token: result.first_token,
            token_gaps: result.token_gaps,
            items: 0,
            duration: Duration::ZERO,
        }
    }

    /// Result of a job, compared with its expected outcome.
    pub fn job(
        job: Job,
        status: Option<Status>,
        lines: Vec<ResultLine>,
        duration: Duration,
    ) -> EventResult {
        let items = job.items + job.extra.len() as u64;
        let failed = events::failed_count(&lines);
        let phase = status.as_ref().map(|status| status.phase);
        let outcome = format!("{phase:?}, {} outcomes, {failed} failed", lines.len());
        let is_ordered = lines.iter().enumerate().all(|(n, line)| line.item == n as u64);
        let has_each_item_once = lines.len() as u64 == items && is_ordered;
        let passed = has_each_item_once
            && match &job.expect {
                Expect::Completed => phase == Some(Phase::Finished) && failed == 0,
                Expect::Failed(count) => phase == Some(Phase::Finished) && failed == *count,
                Expect::Cancelled => phase == Some(Phase::Cancelled),
                Expect::SameAs(_) | Expect::Error(_) => false,
            };
        let completed = lines.iter().filter(|l| matches!(l.outcome, Outcome::Completed { .. }));
        EventResult {
            name: job.name,
            class: String::from("batch"),
            expect: Some(job.expect),
            text: None,
            mismatch: (!passed).then(|| outcome.clone()),
            outcome,
            first_token: None,
            token_gaps: Vec::new(),
            items: completed.count() as u64,
            duration,
        }
    }

    /// Result of injecting a fault.
    pub fn fault(fault: &Fault, injected: Result<(), String>) -> EventResult {
        EventResult {
            name: format!("fault of {} at {} ms", fault.standin, fault.at),
            class: String::from("fault"),
            expect: None,
            text: None,
            outcome: injected.clone().err().unwrap_or_else(|| "set".into()),
            mismatch: injected.err(),
            first_token: None,
            token_gaps: Vec::new(),
            items: 0,
            duration: Duration::ZERO,
        }
    }
}

/// Check of one event: its actual outcome against the expected one.
#[derive(Clone, Debug, Serialize)]
pub struct OutcomeCheck {
    /// Name of the event in the trace.
    pub name: String,
    /// Class by which the report groups events.
    pub class: String,
    /// Whether the outcome is as expected.
    #[serde(rename = "holds")]
    pub passed: bool,
    /// Actual outcome.
    #[serde(rename = "got")]
    pub outcome: String,
}

/// Statistics of one class of events.
#[derive(Clone, Debug, Serialize)]
pub struct ClassStats {
    /// Number of events in the class.
    pub requests: u64,
    /// Number of events with the expected outcome.
    #[serde(rename = "hold")]
    pub passed: u64,
    /// Time to the first token in ms: p50, p95, p99.
    pub first_ms: [f64; 3],
    /// Gap between tokens in ms: p50, p95, p99.
    pub gap_ms: [f64; 3],
}

/// Report of a replay.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Checks of all events, sorted by name.
    #[serde(rename = "verdicts")]
    pub checks: Vec<OutcomeCheck>,
    /// Statistics by class.
    pub classes: BTreeMap<String, ClassStats>,
    /// Batch items completed.
    pub items: u64,
    /// Batch items completed per second of the longest job.
    pub items_per_second: f64,
    /// Duration of the replay in seconds.
    pub seconds: f64,
}

impl Report {
    /// Creates the report of a replay that took `duration`.
    pub fn new(mut events: Vec<EventResult>, duration: Duration) -> Report {
        let texts: HashMap<String, Option<String>> =
            events.iter().map(|event| (event.name.clone(), event.text.clone())).collect();
        for event in &mut events {
            if let Some(Expect::SameAs(other)) = &event.expect
                && event.mismatch.is_none()
                && texts.get(other) != Some(&event.text)
            {
                event.mismatch = Some(format!("text differs from that of `{other}`"));
            }
        }
        events.sort_by(|a, b| a.name.cmp(&b.name));
        let items = events.iter().map(|event| event.items).sum();
        let longest = events.iter().map(|event| event.duration).max().unwrap_or_default();
        let seconds = longest.as_secs_f64();
        Report {
            classes: stats_by_class(&events),
            checks: events.iter().map(check_outcome).collect(),
            items,
            items_per_second: if seconds > 0.0 { items as f64 / seconds } else { 0.0 },
            seconds: duration.as_secs_f64(),
        }
    }

    /// Whether every event has its expected outcome.
    pub fn all_passed(&self) -> bool {
        self.checks.iter().all(|check| check.passed)
    }

    /// Formats the report as text.
    pub fn text(&self) -> String {
        let headers = ["CLASS", "STATED", "HOLD", "FIRST p50/p95/p99 ms", "GAP p50/p95/p99 ms"];
        let join = |v: [f64; 3]| format!("{:.1} / {:.1} / {:.1}", v[0], v[1], v[2]);
        let rows: Vec<Vec<String>> = self
            .classes
            .iter()
            .map(|(class, f)| {
                vec![
                    class.clone(),
                    f.requests.to_string(),
                    f.passed.to_string(),
                    join(f.first_ms),
                    join(f.gap_ms),
                ]
            })
            .collect();
        let mut text = table(&headers, &rows);
        let (items, rate) = (self.items, self.items_per_second);
        text.push_str(&format!("batch: {items} items, {rate:.1} a second\n"));
        for check in self.checks.iter().filter(|check| !check.passed) {
            text.push_str(&format!("DOES NOT HOLD {}: {}\n", check.name, check.outcome));
        }
        let passed = self.checks.iter().filter(|check| check.passed).count();
        let total = self.checks.len();
        text.push_str(&format!(
            "{passed} of {total} stated outcomes hold, {:.1} s\n",
            self.seconds
        ));
        text
    }
}

fn check_outcome(event: &EventResult) -> OutcomeCheck {
    OutcomeCheck {
        name: event.name.clone(),
        class: event.class.clone(),
        passed: event.mismatch.is_none(),
        outcome: event.mismatch.clone().unwrap_or_else(|| event.outcome.clone()),
    }
}

fn stats_by_class(events: &[EventResult]) -> BTreeMap<String, ClassStats> {
    let mut by_class: BTreeMap<String, Vec<&EventResult>> = BTreeMap::new();
    for event in events {
        by_class.entry(event.class.clone()).or_default().push(event);
    }
    let stats = |list: Vec<&EventResult>| ClassStats {
        requests: list.len() as u64,
        passed: list.iter().filter(|event| event.mismatch.is_none()).count() as u64,
        first_ms: percentiles(list.iter().filter_map(|event| event.first_token)),
        gap_ms: percentiles(list.iter().flat_map(|event| event.token_gaps.iter().copied())),
    };
    by_class.into_iter().map(|(class, list)| (class, stats(list))).collect()
}

fn percentiles(times: impl Iterator<Item = Duration>) -> [f64; 3] {
    let Ok(mut histogram) = Histogram::<u64>::new(3) else {
        return [0.0; 3];
    };
    for time in times {
        // The histogram resizes itself, so recording can't fail.
        let _ = histogram.record(time.as_micros() as u64);
    }
    [0.5, 0.95, 0.99].map(|q| histogram.value_at_quantile(q) as f64 / 1000.0)
}
