//! Checks the observations of callers and runners against the guarantees of the system.

use super::callers::{ITEMS_PER_JOB, Response};
use super::calm::Answer;
use super::jobs::{Job, check_calls, check_items, check_job};
use super::own_text::{is_event_of, is_own, is_text_of};
use serde_json::Value;
use standin::runner::Run;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

pub const EVENTS_PER_RESPONSE: u64 = 12;
/// Status of an attempt to take a stream up that can't go on.
pub const STREAM_GONE: u16 = 410;
#[derive(Default)]
struct Observations {
    violations: Vec<String>,
    jobs: BTreeMap<String, Job>,
    versions: HashMap<usize, u64>,
    /// Answers to all requests.
    answers: Vec<Answer>,
    /// Numbers of completed, rejected and failed streams.
    stream_counts: [u64; 3],
    /// Numbers of attempts to take a stream up, by status.
    taken_up: BTreeMap<u16, u64>,
    /// Whether the route of the jobs is removed and added again.
    has_removals: bool,
    /// Whether online routes begin the paths of submissions and calls about jobs, which then run as
    /// requests where no job was accepted.
    has_pages: bool,
    /// Whether each stream that broke off can go on.
    has_one_version: bool,
    /// Whether origins of streams outlive all faults.
    keeps_origins: bool,
    /// When gateways were restarted.
    starts: Vec<Instant>,
    /// Software versions that runners have begun to serve, in order.
    software: Vec<(Instant, usize, String)>,
    /// Named streams that were refused for good: the id, what was received, and from when to when.
    gone: Vec<(String, String, Instant, Instant)>,
}

/// Records observations and finds violations of the guarantees.
#[derive(Default)]
pub struct Recorder(Mutex<Observations>);

impl Recorder {
    fn lock(&self) -> MutexGuard<'_, Observations> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// From now on the route of the jobs may be missing, so that items of accepted jobs may fail.
    pub fn expect_removals(&self) {
        self.lock().has_removals = true;
    }

    /// From now on online routes may begin the paths of submissions and calls about jobs.
    pub fn expect_pages(&self) {
        self.lock().has_pages = true;
    }

    /// From now on each stream that broke off can go on: only one software version has ever served,
    /// and the platform shows that.
    pub fn expect_one_version(&self) {
        self.lock().has_one_version = true;
    }

    /// From now on each named stream can go on while a runner of its version serves.
    pub fn expect_origins(&self) {
        self.lock().keeps_origins = true;
    }

    /// Records that a runner begins to serve this software version.
    pub fn on_software(&self, runner: usize, software: &str) {
        self.lock().software.push((Instant::now(), runner, software.to_owned()));
    }

    /// Records that a named stream, begun at `sent`, is refused for good.
    pub fn on_gone(&self, id: &str, whole: &Response, ended: Instant) {
        let text = String::from_utf8_lossy(&whole.body).into_owned();
        self.lock().gone.push((id.to_owned(), text, whole.sent, ended));
    }

    /// Records the status of an attempt to take a stream up.
    pub fn on_taken_up(&self, id: &str, status: u16) {
        let mut observed = self.lock();
        *observed.taken_up.entry(status).or_default() += 1;
        if observed.has_one_version && status == STREAM_GONE {
            observed.violations.push(format!("{id}: refused for good, beside a single version"));
        }
    }

    /// Records a stream that is neither taken up nor refused for good long after the last fault.
    pub fn on_given_up(&self, id: &str, status: u16) {
        self.lock().violations.push(format!("{id}: still not taken up, but status {status}"));
    }

    /// Records the events of a stream over all attempts of its caller.
    pub fn on_joined(&self, id: &str, whole: &Response) {
        let text = String::from_utf8_lossy(&whole.body);
        let ids: Vec<u64> = text
            .lines()
            .filter_map(|line| line.strip_prefix("id: "))
            .filter_map(|id| id.parse().ok())
            .collect();
        let expected: Vec<u64> = (1..=EVENTS_PER_RESPONSE).take(ids.len()).collect();
        let is_short = whole.is_complete && ids.len() as u64 != EVENTS_PER_RESPONSE;
        if ids != expected || is_short {
            self.lock().violations.push(format!("{id}: taken up with wrong events: {ids:?}"));
        }
        self.check_versions(id, &text);
    }

    /// Checks that only one software version has generated a stream.
    fn check_versions(&self, id: &str, text: &str) {
        let mut versions: Vec<&str> =
            text.lines().filter_map(|line| line.strip_prefix("event: ")).collect();
        versions.dedup();
        if versions.len() > 1 {
            self.lock().violations.push(format!("{id}: events of the versions {versions:?}"));
        }
    }

    /// Checks that the events of a response, complete or not, are those of its own request.
    pub fn on_events(&self, id: &str, response: &Response) {
        let text = String::from_utf8_lossy(&response.body);
        let mut events: Vec<&str> = text.split("\n\n").collect();
        // What follows the last whole event.
        let rest = events.pop();
        let wrong: Vec<&&str> = events.iter().filter(|event| !is_event_of(id, event)).collect();
        let is_cut = response.is_complete && rest.is_some_and(|rest| !rest.is_empty());
        if response.status == 200 && (is_cut || !wrong.is_empty()) {
            let what =
                format!("{id}: wrong events {wrong:?}, or the last one is cut off: {rest:?}");
            self.lock().violations.push(what);
        }
    }

    /// Checks that a complete response has all events of its own request, from the first one on.
    pub fn on_whole(&self, id: &str, response: &Response) {
        self.on_events(id, response);
        let text = String::from_utf8_lossy(&response.body);
        let events: Vec<&str> =
            text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
        let is_complete = response.status == 200 && response.is_complete;
        if is_complete && !is_text_of(id, &events.join("\n")) {
            let what = format!("{id}: a complete response with wrong events: {events:?}");
            self.lock().violations.push(what);
        }
    }

    pub fn on_stream(&self, id: &str, response: &Response) {
        self.check_versions(id, &String::from_utf8_lossy(&response.body));
        self.on_whole(id, response);
        let mut observed = self.lock();
        match response.status {
            200 if response.is_complete => observed.stream_counts[0] += 1,
            408 | 421 | 429 | 503 => observed.stream_counts[1] += 1,
            404 => {
                observed.violations.push(format!("{id}: 404, though its route has always existed"))
            }
            _ => observed.stream_counts[2] += 1,
        }
    }

    /// Records the statuses of all attempts to submit a job.
    pub fn on_submitted(&self, job: &str, statuses: &[u16]) {
        let mut observed = self.lock();
        let job_record = observed.jobs.entry(job.to_owned()).or_default();
        job_record.is_accepted = statuses.contains(&202);
        job_record.is_rejected = statuses.iter().all(|status| matches!(status, 429 | 503));
    }

    /// Records that an accepted job is submitted again.
    pub fn on_resubmitted(&self, job: &str, response: &Response) {
        // Beside faults it may be refused for now, or get no answer.
        if !matches!(response.status, 0 | 202 | 429 | 502 | 503 | 504) {
            let what = format!("{job}: accepted, but {} when it comes again", response.status);
            self.lock().violations.push(what);
        }
    }

    /// Records a read of a job from its first result on.
    pub fn on_read(&self, job: &str, response: &Response) {
        let mut observed = self.lock();
        let has_pages = observed.has_pages;
        let Some(job_record) = observed.jobs.get_mut(job) else {
            return;
        };
        let mut violations = Vec::new();
        if response.status == 404 && job_record.is_accepted {
            violations.push(format!("{job}: accepted, but now unknown"));
        }
        let is_page = has_pages && !job_record.is_accepted;
        if response.status == 200 && response.is_complete && !is_page {
            let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
            let results = body["results"].as_array().cloned().unwrap_or_default();
            if body["total"] != ITEMS_PER_JOB {
                violations.push(format!("{job}: a total of {}", body["total"]));
            }
            let common = results.len().min(job_record.results.len());
            if results[..common] != job_record.results[..common] {
                violations.push(format!("{job}: a result has changed or moved"));
            }
            if results.len() > job_record.results.len() {
                job_record.results = results;
            }
        }
        observed.violations.extend(violations);
    }

    /// Records that the end of a job is about to be requested.
    pub fn on_end_requested(&self, job: &str) {
        if let Some(job_record) = self.lock().jobs.get_mut(job) {
            job_record.is_end_requested = true;
        }
    }

    pub fn on_end_acknowledged(&self, job: &str, now: Instant) {
        if let Some(job_record) = self.lock().jobs.get_mut(job) {
            job_record.ended_at = Some(now);
        }
    }

    /// Records that a version is in force at a gateway.
    pub fn on_version(&self, gateway: usize, version: u64) {
        let mut observed = self.lock();
        let previous = observed.versions.insert(gateway, version).unwrap_or(0);
        if version < previous {
            observed
                .violations
                .push(format!("gateway {gateway}: version {version} after {previous}"));
        }
    }

    /// Records a restart of a gateway, after which an older version may be in force.
    pub fn on_start(&self, gateway: usize) {
        let mut observed = self.lock();
        observed.versions.remove(&gateway);
        observed.starts.push(Instant::now());
    }

    /// Accepted jobs with missing results whose end wasn't requested.
    pub fn open_jobs(&self) -> Vec<String> {
        let observed = self.lock();
        let is_open = |job: &Job| {
            job.is_accepted && !job.is_end_requested && job.results.len() < ITEMS_PER_JOB
        };
        observed.jobs.iter().filter(|(_, job)| is_open(job)).map(|(id, _)| id.clone()).collect()
    }

    /// Whether every accepted job has all its results.
    pub fn is_complete(&self) -> bool {
        self.open_jobs().is_empty()
    }

    /// Records how an exchange ended.
    pub fn on_answer(&self, id: &str, response: &Response) {
        let mut observed = self.lock();
        observed.answers.push(Answer::new(id, response));
        if response.status != 0 && !(100..600).contains(&response.status) {
            observed
                .violations
                .push(format!("{id}: an answer with the status {}", response.status));
        }
        if let Some(stamp) = &response.stamp
            && !is_own(id, stamp, response)
        {
            let status = response.status;
            observed.violations.push(format!("{id}: {status} with the stamp {stamp}"));
        }
    }

    /// Takes the answers to all requests.
    pub fn take_answers(&self) -> Vec<Answer> {
        std::mem::take(&mut self.lock().answers)
    }

    /// Summary of the streams and jobs.
    pub fn counts(&self) -> String {
        let observed = self.lock();
        let accepted = observed.jobs.values().filter(|job| job.is_accepted).count();
        let [completed, rejected, failed] = observed.stream_counts;
        let taken_up = &observed.taken_up;
        format!(
            "{completed} completed, {rejected} rejected, {failed} failed; {accepted} jobs; \
             taken up, by status: {taken_up:?}"
        )
    }

    /// All violations, including those that only the runs of the runners show.
    pub fn violations(&self, runs: &[Run]) -> Vec<String> {
        let observed = self.lock();
        let mut violations = observed.violations.clone();
        let mut run_counts: HashMap<&str, usize> = HashMap::new();
        for run in runs {
            *run_counts.entry(run.id.as_str()).or_default() += 1;
        }
        let repeated =
            run_counts.iter().filter(|(id, count)| id.starts_with("ask-") && **count > 1);
        violations.extend(
            repeated.map(|(id, count)| format!("{id}: an at-most-once request ran {count} times")),
        );
        for Answer { id, status, is_stamped, .. } in &observed.answers {
            let ran = run_counts.contains_key(id.as_str());
            let may_run = observed.has_pages && observed.jobs.contains_key(id);
            if ran && !may_run && matches!(status, 408 | 421 | 429 | 503) {
                violations.push(format!("{id}: rejected as not run with {status}, but it ran"));
            }
            if *is_stamped && !ran {
                violations
                    .push(format!("{id}: stamped by a runner with {status}, but it never ran"));
            }
        }
        violations.extend(check_items(runs));
        violations.extend(check_calls(&observed.jobs, runs));
        if observed.keeps_origins {
            violations.extend(observed.gone.iter().filter_map(|gone| observed.wrongly_gone(gone)));
        }
        for (id, job) in &observed.jobs {
            violations.extend(check_job(id, job, runs, observed.has_removals));
        }
        violations
    }
}

impl Observations {
    /// A stream that was refused for good although a runner of its version served all the while, and
    /// no gateway that knew the version was restarted.
    fn wrongly_gone(&self, gone: &(String, String, Instant, Instant)) -> Option<String> {
        let (id, text, sent, ended) = gone;
        let version = text.lines().find_map(|line| line.strip_prefix("event: "))?;
        if self.starts.iter().any(|at| at > sent && at < ended) {
            return None;
        }
        let serves = |(at, runner, software): &&(Instant, usize, String)| {
            let is_last = |(other, n, _): &(Instant, usize, String)| {
                n != runner || other <= at || other > ended
            };
            software == version && at <= sent && self.software.iter().all(is_last)
        };
        let (_, runner, _) = self.software.iter().find(serves)?;
        Some(format!("{id}: refused for good, though runner {runner} of {version} served on"))
    }
}
