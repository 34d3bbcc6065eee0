//! What is said of a request that may crash its targets.

use crate::{TargetId, hash};
use protocol::{Millis, RequestFingerprint};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One start of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetStart {
    /// The target.
    pub target: TargetId,
    /// Its start, in milliseconds since the Unix epoch; 0 if it doesn't tell.
    #[serde(rename = "born")]
    pub started_at: Millis,
}

/// Word that a request ran on a target as it crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub content: RequestFingerprint,
    /// The target that crashed.
    #[serde(rename = "boot")]
    pub start: TargetStart,
    /// Milliseconds since the crash.
    pub age_ms: u64,
    /// Whether the request has come to its end on a target since.
    #[serde(rename = "is_acquitted")]
    pub is_cleared: bool,
}

impl CrashReport {
    /// A strike for a crash that has just been seen.
    pub fn new(content: RequestFingerprint, boot: TargetStart) -> CrashReport {
        CrashReport { content, start: boot, age_ms: 0, is_cleared: false }
    }

    /// The same strike `passed` milliseconds later.
    pub fn aged(self, passed: Millis) -> CrashReport {
        CrashReport { age_ms: self.age_ms.saturating_add(passed), ..self }
    }

    /// What the digest of all strikes holds of it.
    pub(super) fn digest(&self) -> u64 {
        let seed =
            self.content ^ self.start.started_at.rotate_left(32) ^ u64::from(self.is_cleared);
        hash::weight(self.start.target.as_bytes(), seed)
    }
}

/// How requests are held.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Crashes after which a request is held; 0 for never.
    pub max_crashes: usize,
    /// How long a request is held after its last crash or trial: before its first trial,
    /// its second, and all further ones. Most wrongly held requests are freed by the first;
    /// one that does crash its targets crashes two more in a day.
    pub durations: [Duration; 3],
    /// Trials of which nobody hears how they ended that don't lengthen the hold: one may be
    /// stopped for other work or find no slot, and its sender may be gone.
    pub unreported_trials: usize,
    /// Crashes beyond [`Policy::crashes`] with which a request is held though others explain
    /// them all: two that crash their targets may share some.
    pub shared_margin: usize,
    /// How long a strike counts.
    pub retention: Duration,
    /// Requests with strikes that are remembered. A fleet that loses hundreds of targets at
    /// one moment gives a strike to thousands.
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
    /// It may.
    Allowed,
    /// It is held for this long.
    Quarantined(Duration),
    /// It is held, and may be tried once if its owner says so ([`Table::on_trial`]).
    TrialDue,
}
