//! Crash reports, and the settings and decisions of the quarantine.

use crate::{TargetId, hash};
use protocol::{Millis, RequestFingerprint};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One start of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetStart {
    /// Name of the target.
    pub target: TargetId,
    /// Start time, in milliseconds since the Unix epoch; 0 if the target doesn't report it.
    #[serde(rename = "born")]
    pub started_at: Millis,
}

/// Report that a request was running on a target that crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint of the request.
    #[serde(rename = "content")]
    pub fingerprint: RequestFingerprint,
    /// The start of the target that crashed.
    #[serde(rename = "boot")]
    pub start: TargetStart,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// Whether the request has run completely since.
    #[serde(rename = "is_acquitted")]
    pub is_cleared: bool,
}

impl CrashReport {
    /// A report of a crash that was just observed.
    pub fn new(content: RequestFingerprint, start: TargetStart) -> CrashReport {
        CrashReport { fingerprint: content, start, age_ms: 0, is_cleared: false }
    }

    /// The same report `elapsed_ms` later.
    pub fn aged(self, elapsed_ms: Millis) -> CrashReport {
        CrashReport { age_ms: self.age_ms.saturating_add(elapsed_ms), ..self }
    }

    /// The report's part of a table's digest.
    pub(super) fn digest(&self) -> u64 {
        let seed =
            self.fingerprint ^ self.start.started_at.rotate_left(32) ^ u64::from(self.is_cleared);
        hash::weight(self.start.target.as_bytes(), seed)
    }
}

/// Settings of the quarantine.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Number of crashes from which a request is quarantined; 0 disables the quarantine.
    pub max_crashes: usize,
    /// Time from the last crash or trial to the first trial, to the second, and to each further
    /// one. The first frees most requests that were quarantined wrongly; the long last one limits
    /// the crashes that a harmful request causes in a day.
    pub durations: [Duration; 3],
    /// Number of trials with an unreported outcome that don't lengthen the quarantine: a trial may
    /// be preempted or find no slot, and its sender may be lost.
    pub unreported_trials: usize,
    /// Crashes beyond [`Policy::max_crashes`] with which a request is quarantined even if others
    /// explain all of them: two harmful requests may share targets.
    pub shared_margin: usize,
    /// Lifetime of a crash report.
    pub retention: Duration,
    /// Maximum of requests with crash reports; a mass crash reports thousands.
    pub max_entries: usize,
}

impl Default for Policy {
    fn default() -> Policy {
        const DAY: Duration = Duration::from_secs(86_400);
        Policy {
            max_crashes: 3,
            durations: [Duration::from_secs(12), Duration::from_secs(600), DAY],
            unreported_trials: 2,
            shared_margin: 2,
            retention: DAY,
            max_entries: 1_024,
        }
    }
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may be sent.
    Allowed,
    /// It must not be sent for this long.
    Quarantined(Duration),
    /// It is quarantined, but its owner may grant a trial by [`super::Table::on_trial`].
    TrialDue,
}
