//! How busy a target is: its own late report, corrected by what we know better.

use std::time::{Duration, Instant};

/// Age after which a report says nothing.
pub const REPORT_MAX_AGE: Duration = Duration::from_secs(5);

/// What a target last reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Online requests running or waiting there, from all instances.
    pub online: u32,
    /// Batch requests running or waiting there.
    pub batch: u32,
    /// When the report came; the figures are older by the target's lag.
    pub at: Instant,
}

/// Load of one target as one instance knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    report: Option<Report>,
    own: u32,
    own_at_report: u32,
    started_since: u32,
}

impl Estimate {
    /// Takes in a report; one that is older than the last is dropped, since
    /// reports may come late and out of order.
    pub fn on_report(&mut self, report: Report) {
        if self.report.is_some_and(|last| last.at > report.at) {
            return;
        }
        self.report = Some(report);
        self.own_at_report = self.own;
        self.started_since = 0;
    }

    /// An online request of ours starts.
    pub fn on_start(&mut self) {
        self.own += 1;
        self.started_since += 1;
    }

    /// An online request of ours ended.
    pub fn on_end(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Online requests of ours now.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Online requests of all instances, as far as known.
    pub fn online(&self, now: Instant) -> u32 {
        let Some(report) = self.report else {
            return self.own;
        };
        if now.saturating_duration_since(report.at) > REPORT_MAX_AGE {
            return self.own;
        }
        let others = report.online.saturating_sub(self.own_at_report);
        self.own + others
    }

    /// Batch requests as last reported, 0 when the report is stale.
    pub fn batch(&self, now: Instant) -> u32 {
        let fresh = |r: &Report| now.saturating_duration_since(r.at) <= REPORT_MAX_AGE;
        self.report.filter(fresh).map_or(0, |r| r.batch)
    }
}
