//! Crash reports, and the settings and decisions of the quarantine.

use crate::{TargetId, hash};
use protocol::{Millis, PartFingerprint, RequestFingerprint};
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

/// What may crash the targets that run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "SuspectFields", into = "SuspectFields")]
pub enum Suspect {
    /// A request, with all that it holds.
    Request(RequestFingerprint),
    /// A part of prompts, whatever else a request holds.
    Part(PartFingerprint),
}

impl Suspect {
    /// Its fingerprint.
    pub fn fingerprint(self) -> u64 {
        match self {
            Suspect::Request(fingerprint) | Suspect::Part(fingerprint) => fingerprint,
        }
    }

    /// Whether it is a part of prompts.
    pub fn is_part(self) -> bool {
        matches!(self, Suspect::Part(_))
    }
}

/// The encoding of a [`Suspect`]; earlier versions take parts for requests, which they never see.
#[derive(Serialize, Deserialize)]
struct SuspectFields {
    content: u64,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    is_part: bool,
}

impl From<SuspectFields> for Suspect {
    fn from(fields: SuspectFields) -> Suspect {
        match fields.is_part {
            true => Suspect::Part(fields.content),
            false => Suspect::Request(fields.content),
        }
    }
}

impl From<Suspect> for SuspectFields {
    fn from(suspect: Suspect) -> SuspectFields {
        SuspectFields { content: suspect.fingerprint(), is_part: suspect.is_part() }
    }
}

/// All that a request may crash its targets by.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Contents {
    /// Fingerprint of the whole request.
    pub request: RequestFingerprint,
    /// Parts of its prompt that other requests may have too.
    pub parts: Vec<PartFingerprint>,
}

impl Contents {
    /// The request and its parts.
    pub fn suspects(&self) -> impl Iterator<Item = Suspect> {
        let parts = self.parts.iter().map(|part| Suspect::Part(*part));
        std::iter::once(Suspect::Request(self.request)).chain(parts)
    }
}

/// Report that a suspect was running on a target that crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// What was running.
    #[serde(flatten)]
    pub suspect: Suspect,
    /// The start of the target that crashed.
    #[serde(rename = "boot")]
    pub start: TargetStart,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// Whether the suspect is known not to have caused the crash.
    #[serde(rename = "is_acquitted")]
    pub is_cleared: bool,
}

impl CrashReport {
    /// A report of a crash that was just observed.
    pub fn new(suspect: Suspect, start: TargetStart) -> CrashReport {
        CrashReport { suspect, start, age_ms: 0, is_cleared: false }
    }

    /// The same report `elapsed_ms` later.
    pub fn aged(self, elapsed_ms: Millis) -> CrashReport {
        CrashReport { age_ms: self.age_ms.saturating_add(elapsed_ms), ..self }
    }

    /// The report's part of a table's digest.
    pub(super) fn digest(&self) -> u64 {
        let fingerprint = self.suspect.fingerprint();
        let seed = fingerprint ^ self.start.started_at.rotate_left(32) ^ u64::from(self.is_cleared);
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
    /// The same for a part of prompts. The first trial comes early, since the quarantine of a part
    /// rejects more requests; each further crash of a trial leads to the next time.
    pub part_durations: [Duration; 4],
    /// Number of trials with an unreported outcome that don't lengthen the quarantine: a trial may
    /// be preempted or find no slot, and its sender may be lost.
    pub unreported_trials: usize,
    /// Crashes beyond [`Policy::max_crashes`] with which a request is quarantined even if others
    /// explain all of them: two harmful requests may share targets.
    pub shared_margin: usize,
    /// Lifetime of a crash report.
    pub retention: Duration,
    /// Maximum of suspects with crash reports; a mass crash reports thousands.
    pub max_entries: usize,
}

impl Default for Policy {
    fn default() -> Policy {
        const DAY: Duration = Duration::from_secs(86_400);
        Policy {
            max_crashes: 3,
            durations: [Duration::from_secs(12), Duration::from_secs(600), DAY],
            part_durations: [
                Duration::from_secs(2),
                Duration::from_secs(12),
                Duration::from_secs(600),
                DAY,
            ],
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
