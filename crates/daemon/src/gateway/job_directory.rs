//! Jobs as their holders report them.

use super::message::JobStatus;
use protocol::WorkspaceId;
use state::progress::{Holder, JobId};
use std::collections::HashMap;
use std::time::Instant;

/// The last status of each job that was reported.
#[derive(Debug, Default)]
pub struct Directory(HashMap<JobId, Report>);

#[derive(Debug)]
struct Report {
    status: JobStatus,
    /// Since when the job is known to be open, or to be finished.
    since: Instant,
}

impl Directory {
    /// Records a status unless one of a later revision is known.
    pub fn record(&mut self, status: JobStatus, now: Instant) {
        let current = self.0.get(&status.job);
        if current.is_some_and(|current| current.status.revision > status.revision) {
            return;
        }
        let same = current.filter(|current| current.status.is_finished == status.is_finished);
        let since = same.map_or(now, |current| current.since);
        self.0.insert(status.job.clone(), Report { status, since });
    }

    /// The last status of a job; `None` if none is known.
    pub fn get(&self, job: &str) -> Option<&JobStatus> {
        self.0.get(job).map(|report| &report.status)
    }

    /// Holder of a job; `None` if none is known.
    pub fn holder(&self, job: &str) -> Option<Holder> {
        self.get(job).map(|status| status.holder)
    }

    /// Workspace of a job; `None` for an unknown job.
    pub fn owner(&self, job: &str) -> Option<Option<WorkspaceId>> {
        self.get(job).map(|status| status.workspace.clone())
    }

    /// All statuses.
    pub fn statuses(&self) -> impl Iterator<Item = &JobStatus> {
        self.0.values().map(|report| &report.status)
    }

    /// Number of jobs.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// Whether a job has been reported open since before `time`.
    pub fn is_open_since(&self, job: &str, time: Instant) -> bool {
        let report = self.0.get(job);
        report.is_some_and(|report| !report.status.is_finished && report.since < time)
    }

    /// Removes a job.
    pub fn remove(&mut self, job: &str) {
        self.0.remove(job);
    }

    /// Removes the jobs that have been finished since before `time`, and returns their number.
    pub fn remove_finished(&mut self, time: Instant) -> usize {
        let before = self.0.len();
        self.0.retain(|_, report| !report.status.is_finished || report.since >= time);
        before - self.0.len()
    }
}
