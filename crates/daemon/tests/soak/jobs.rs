//! Checks what callers and runners have seen of jobs.

use super::callers::ITEMS_PER_JOB;
use super::own_text::is_text_of;
use super::route_changes::JOB_CALL_PATHS;
use serde_json::Value;
use standin::runner::Run;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// How long after the end of its job an item may still start: 3 s if the holder is reachable,
/// longer since several faults in a row may have frozen or isolated it.
const MAX_CANCEL_DELAY: Duration = Duration::from_secs(8);

/// What callers have seen of a job.
#[derive(Default)]
pub(super) struct Job {
    pub is_accepted: bool,
    pub is_rejected: bool,
    pub results: Vec<Value>,
    /// Whether an end was requested; from then on, results may be missing.
    pub is_end_requested: bool,
    pub ended_at: Option<Instant>,
}

/// Checks that no call about an accepted job was sent to a runner.
pub(super) fn check_calls(jobs: &BTreeMap<String, Job>, runs: &[Run]) -> Vec<String> {
    let is_wrong = |run: &&Run| {
        let is_accepted = jobs.get(&run.id).is_some_and(|job| job.is_accepted);
        is_accepted && JOB_CALL_PATHS.iter().any(|path| run.path.starts_with(path))
    };
    let wrong = runs.iter().filter(is_wrong);
    wrong.map(|run| format!("{}: a call to {} ran as a request", run.id, run.path)).collect()
}

/// Checks that each run of an item that goes on does so at a version that began the item before.
pub(super) fn check_items(runs: &[Run]) -> Vec<String> {
    let mut runs: Vec<&Run> = runs.iter().filter(|run| run.path.starts_with("/batch/")).collect();
    runs.sort_by_key(|run| run.started);
    let mut began: HashMap<&str, Vec<&str>> = HashMap::new();
    let mut violations = Vec::new();
    for run in runs {
        let versions = began.entry(&run.id).or_default();
        if run.last_event_id.is_none() {
            versions.push(&run.software);
        } else if !versions.contains(&run.software.as_str()) {
            violations.push(format!("{}: goes on at {}, not {versions:?}", run.id, run.software));
        }
    }
    violations
}

/// Checks the results and the runs of a job.
pub(super) fn check_job(id: &str, job: &Job, runs: &[Run], has_removals: bool) -> Vec<String> {
    let mut violations = Vec::new();
    let prefix = format!("{id}-");
    let mut own_runs = runs.iter().filter(|run| run.id.starts_with(&prefix));
    if job.is_rejected && own_runs.clone().next().is_some() {
        violations.push(format!("{id}: rejected by all, but an item ran"));
    }
    if let Some(ended_at) = job.ended_at
        && own_runs.any(|run| run.arrived > ended_at + MAX_CANCEL_DELAY)
    {
        violations.push(format!("{id}: an item started too late after the end of its job"));
    }
    if job.is_accepted && !job.is_end_requested && job.results.len() < ITEMS_PER_JOB {
        violations
            .push(format!("{id}: accepted, {} of {ITEMS_PER_JOB} results", job.results.len()));
    }
    let mut items: Vec<&str> = job.results.iter().filter_map(|r| r["id"].as_str()).collect();
    items.sort_unstable();
    items.dedup();
    if items.len() != job.results.len() {
        violations.push(format!("{id}: a result is listed twice"));
    }
    for result in &job.results {
        let item = result["id"].as_str().unwrap_or_default();
        let is_failing = item.ends_with("-poison");
        let is_valid = item.starts_with(&prefix)
            && match result["state"].as_str() {
                Some("complete") => {
                    !is_failing
                        && result["message"].as_str().is_some_and(|text| is_text_of(item, text))
                }
                Some("errored") => is_failing || job.is_end_requested || has_removals,
                _ => false,
            };
        if !is_valid {
            violations.push(format!("{id}: a wrong result: {result}"));
        }
    }
    violations
}
