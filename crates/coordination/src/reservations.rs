//! Tokens of submissions whose outcome isn't known yet.
//!
//! A job counts against the limit of its route once its holder reports it. Before, and after a
//! write whose response was lost, it may be stored without any instance holding it. Its tokens are
//! reserved meanwhile, so that no other job is accepted in its place.
//!
//! ```
//! use coordination::reservations::{Reservation, Table};
//! use std::time::{Duration, Instant};
//!
//! let now = Instant::now();
//! let reservation = Reservation { job: "7c41".into(), route: "night".into(), workspace: None, tokens: 940 };
//! let mut table = Table::default();
//! table.insert(reservation, Some(now + Duration::from_secs(5)));
//! assert_eq!(table.tokens("night", None, |_| true, now), 940);
//! assert_eq!(table.tokens("night", None, |_| true, now + Duration::from_secs(6)), 0);
//! ```

use protocol::{JobId, WorkspaceId};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Instant;

/// Tokens of a job that may be stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// Id of the job.
    pub job: JobId,
    /// Route on which it was submitted.
    pub route: String,
    /// Workspace of the submitter; `None` if it has none.
    pub workspace: Option<WorkspaceId>,
    /// Tokens of all items.
    pub tokens: u64,
}

/// Reservations of this instance and of others, by job.
#[derive(Clone, Debug, Default)]
pub struct Table(HashMap<JobId, Stored>);

#[derive(Clone, Debug)]
struct Stored {
    reservation: Reservation,
    /// `None` until the reservation is removed.
    expires: Option<Instant>,
}

impl Table {
    /// Adds a reservation, which counts until `expires` or, with `None`, until it is removed. One
    /// that expires doesn't replace one that doesn't.
    pub fn insert(&mut self, reservation: Reservation, expires: Option<Instant>) {
        let is_permanent = |stored: &Stored| stored.expires.is_none();
        if expires.is_some() && self.0.get(&reservation.job).is_some_and(is_permanent) {
            return;
        }
        self.0.insert(reservation.job.clone(), Stored { reservation, expires });
    }

    /// The reservation of a job; `None` if there is none.
    pub fn get(&self, job: &str) -> Option<&Reservation> {
        self.0.get(job).map(|stored| &stored.reservation)
    }

    /// Removes the reservation of a job.
    pub fn remove(&mut self, job: &str) {
        self.0.remove(job);
    }

    /// Removes the reservation of a job that another instance has made.
    pub fn remove_expiring(&mut self, job: &str) {
        if self.0.get(job).is_some_and(|stored| stored.expires.is_some()) {
            self.0.remove(job);
        }
    }

    /// Removes the reservations that have expired.
    pub fn remove_expired(&mut self, now: Instant) {
        self.0.retain(|_, stored| stored.expires.is_none_or(|expires| now < expires));
    }

    /// Tokens that a workspace has reserved on a route for the jobs that `is_counted` accepts.
    pub fn tokens(
        &self,
        route: &str,
        workspace: Option<&str>,
        is_counted: impl Fn(&str) -> bool,
        now: Instant,
    ) -> u64 {
        let current = self.0.values().filter(|stored| stored.expires.is_none_or(|at| now < at));
        let reservations = current.map(|stored| &stored.reservation);
        let matching = reservations.filter(|reservation| {
            reservation.route == route
                && reservation.workspace.as_deref() == workspace
                && is_counted(&reservation.job)
        });
        matching.map(|reservation| reservation.tokens).sum()
    }
}
