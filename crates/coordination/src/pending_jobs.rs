//! Tokens of submissions whose outcome isn't known yet.
//!
//! A job counts against the limit of its route once its holder reports it. Before, and after a
//! write whose response was lost, it may be stored without any instance holding it. Its tokens are
//! reserved meanwhile, so that no other job is accepted in its place.
//!
//! ```
//! use coordination::pending_jobs::{Submission, Table};
//! use std::time::{Duration, Instant};
//!
//! let now = Instant::now();
//! let submission = Submission { job: "7c41".into(), route: "night".into(), workspace: None, tokens: 940 };
//! let mut table = Table::default();
//! table.insert(submission, Some(now + Duration::from_secs(5)));
//! let is_night = |route: &str| route == "night";
//! assert_eq!(table.tokens(is_night, None, |_| true, now), 940);
//! assert_eq!(table.tokens(is_night, None, |_| true, now + Duration::from_secs(6)), 0);
//! ```

use protocol::{JobId, WorkspaceId};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Instant;

/// A submission whose job may be stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Id of the job.
    pub job: JobId,
    /// Route on which it was submitted.
    pub route: String,
    /// Workspace of the submitter; `None` if it has none.
    pub workspace: Option<WorkspaceId>,
    /// Tokens of all items.
    pub tokens: u64,
}

/// Submissions that are pending at this instance and at others, by job.
#[derive(Clone, Debug, Default)]
pub struct Table(HashMap<JobId, Stored>);

#[derive(Clone, Debug)]
struct Stored {
    submission: Submission,
    /// `None` until the job is removed.
    expires: Option<Instant>,
}

impl Table {
    /// Adds a job, which counts until `expires` or, with `None`, until it is removed. One
    /// that expires doesn't replace one that doesn't.
    pub fn insert(&mut self, submission: Submission, expires: Option<Instant>) {
        let is_permanent = |stored: &Stored| stored.expires.is_none();
        if expires.is_some() && self.0.get(&submission.job).is_some_and(is_permanent) {
            return;
        }
        self.0.insert(submission.job.clone(), Stored { submission, expires });
    }

    /// The submission of a job; `None` if none is pending.
    pub fn get(&self, job: &str) -> Option<&Submission> {
        self.0.get(job).map(|stored| &stored.submission)
    }

    /// Lets a job that doesn't expire count until `expires`.
    pub fn expire(&mut self, job: &str, expires: Instant) {
        if let Some(stored) = self.0.get_mut(job) {
            stored.expires.get_or_insert(expires);
        }
    }

    /// Removes a job.
    pub fn remove(&mut self, job: &str) {
        self.0.remove(job);
    }

    /// Removes a job that another instance has announced.
    pub fn remove_expiring(&mut self, job: &str) {
        if self.0.get(job).is_some_and(|stored| stored.expires.is_some()) {
            self.0.remove(job);
        }
    }

    /// Removes the jobs that have expired.
    pub fn remove_expired(&mut self, now: Instant) {
        self.0.retain(|_, stored| stored.expires.is_none_or(|expires| now < expires));
    }

    /// Tokens that a workspace has reserved on the routes that `is_route` accepts, by name, for the
    /// jobs that `is_counted` accepts.
    pub fn tokens(
        &self,
        is_route: impl Fn(&str) -> bool,
        workspace: Option<&str>,
        is_counted: impl Fn(&str) -> bool,
        now: Instant,
    ) -> u64 {
        let current = self.0.values().filter(|stored| stored.expires.is_none_or(|at| now < at));
        let pending_jobs = current.map(|stored| &stored.submission);
        let matching = pending_jobs.filter(|submission| {
            is_route(&submission.route)
                && submission.workspace.as_deref() == workspace
                && is_counted(&submission.job)
        });
        matching.map(|submission| submission.tokens).fold(0, u64::saturating_add)
    }
}
