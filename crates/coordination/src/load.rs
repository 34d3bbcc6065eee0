//! Load of a target: its delayed report, corrected by this instance's own requests.

use std::time::{Duration, Instant};

/// Age after which a report is ignored.
pub const REPORT_MAX_AGE: Duration = Duration::from_secs(5);

/// A load report of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Online requests running or queued there, from all instances.
    pub online: u32,
    /// Batch requests running or queued there.
    pub batch: u32,
    /// When the report was received; its counts are older by the target's delay.
    pub at: Instant,
}

/// Load of one target as one instance knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    report: Option<Report>,
    own: u32,
    own_at_report: u32,
    started_since_report: u32,
}

impl Estimate {
    /// Takes in a report. Reports may arrive out of order; one older than the last is dropped.
    pub fn on_report(&mut self, report: Report) {
        if self.report.is_some_and(|last| last.at > report.at) {
            return;
        }
        self.report = Some(report);
        self.own_at_report = self.own;
        self.started_since_report = 0;
    }

    /// An online request of this instance started.
    pub fn on_start(&mut self) {
        self.own += 1;
        self.started_since_report += 1;
    }

    /// An online request of this instance ended.
    pub fn on_end(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Online requests of this instance.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Estimated online requests of all instances.
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

    /// Batch requests as last reported; 0 if the report is stale.
    pub fn batch(&self, now: Instant) -> u32 {
        let is_recent = |r: &Report| now.saturating_duration_since(r.at) <= REPORT_MAX_AGE;
        self.report.filter(is_recent).map_or(0, |r| r.batch)
    }
}
