//! Requests that crash the targets that run them, and are quarantined.
//!
//! A request that crashed its target is retried, under another id and by another instance. Its
//! content stays the same, so crash reports count by its fingerprint: one for each start of a
//! target that crashed while the request ran there. With [`Policy::max_crashes`] of them the
//! request is quarantined: no instance sends it, except for a trial after a while.
//!
//! Requests that have only a part of their prompts in common may crash targets by that part. So
//! the parts of each request to which its target had not begun to respond are reported and
//! quarantined likewise. Any response to a request with a part clears it, and a part in
//! [`AnsweredParts`] isn't suspected at all.
//!
//! Everything that ran on a crashed target gets a report, harmless requests too. A crash that a
//! quarantined suspect explains doesn't count against others, a complete run clears a request, and
//! a trial frees one that was quarantined wrongly.
//!
//! Crash reports are a grow-only set, so they may be received in any order and more than once.
//! They are hints: a lost one lets a request crash one more target.
//!
//! ```
//! use coordination::quarantine::{Contents, CrashReport, Decision, Policy, Suspect, Table, TargetStart};
//! use std::time::Instant;
//!
//! let now = Instant::now();
//! let mut table = Table::new(Policy::default(), now);
//! for n in 0..3 {
//!     let start = TargetStart { target: format!("t{n}"), started_at: 0 };
//!     table.on_crash_report(CrashReport::new(Suspect::Part(7), start), now);
//! }
//! let with_part = Contents { request: 1, parts: vec![6, 7] };
//! assert!(matches!(table.decide_request(&with_part, now), Decision::Quarantined(_)));
//! let without = Contents { request: 2, parts: vec![6] };
//! assert_eq!(table.decide_request(&without, now), Decision::Allowed);
//! ```

mod answered;
mod explanation;
mod history;
mod types;

pub use answered::AnsweredParts;
pub use types::{Contents, CrashReport, Decision, Policy, Suspect, TargetStart};

use explanation::Quarantine;
use history::{Crash, History};
use std::collections::HashMap;
use std::time::{Duration, Instant};

const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(60);

/// Crash reports by suspect.
#[derive(Clone, Debug)]
pub struct Table {
    policy: Policy,
    histories: HashMap<Suspect, History>,
    quarantined: HashMap<Suspect, Quarantine>,
    digest: u64,
    /// When expired reports were last removed.
    last_expiry_check: Instant,
}

impl Table {
    /// A table without reports.
    pub fn new(policy: Policy, now: Instant) -> Table {
        Table {
            policy,
            histories: HashMap::new(),
            quarantined: HashMap::new(),
            digest: 0,
            last_expiry_check: now,
        }
    }

    /// Whether there are no reports.
    pub fn is_empty(&self) -> bool {
        self.histories.is_empty()
    }

    /// Number of a suspect's crash reports that aren't cleared.
    pub fn crashes(&self, suspect: Suspect) -> usize {
        self.histories.get(&suspect).map_or(0, |history| history.uncleared().count())
    }

    /// Number of quarantined suspects.
    pub fn quarantined(&self) -> usize {
        self.quarantined.len()
    }

    /// Number of quarantined parts of prompts.
    pub fn quarantined_parts(&self) -> usize {
        self.quarantined.keys().filter(|suspect| suspect.is_part()).count()
    }

    /// Quarantined suspects, each with its number of crash reports that aren't cleared.
    pub fn quarantined_suspects(&self) -> Vec<(Suspect, usize)> {
        self.quarantined.keys().map(|suspect| (*suspect, self.crashes(*suspect))).collect()
    }

    /// Takes in a report, local or received; `true` if it is new.
    pub fn on_crash_report(&mut self, report: CrashReport, now: Instant) -> bool {
        let age = Duration::from_millis(report.age_ms);
        if age >= self.policy.retention {
            return false;
        }
        let at = now.checked_sub(age).unwrap_or(now);
        let suspect = report.suspect;
        let before = self.contribution(suspect);
        let history = self.histories.entry(suspect).or_default();
        let uncleared = history.uncleared().count();
        let is_new = match history.crashes.get_mut(&report.start) {
            Some(known) => {
                let is_new = report.is_cleared && !known.is_cleared;
                known.is_cleared |= report.is_cleared;
                is_new
            }
            None => {
                let crash = Crash { at, is_cleared: report.is_cleared };
                history.crashes.insert(report.start, crash);
                true
            }
        };
        let max_count = uncleared.max(history.uncleared().count());
        self.update_digest(suspect, before);
        if is_new {
            let evicted_candidate = self.evict(now);
            if evicted_candidate || self.may_be_quarantined(max_count) {
                self.recompute();
            }
        }
        is_new
    }

    /// A target has responded to a suspect, so its crash reports are cleared. Returns them for a
    /// broadcast if there are several; a single one quarantines nothing and isn't shared.
    pub fn on_success(&mut self, suspect: Suspect, now: Instant) -> Vec<CrashReport> {
        let before = self.contribution(suspect);
        let Some(history) = self.histories.get_mut(&suspect) else {
            return Vec::new();
        };
        let uncleared = history.uncleared().count();
        let mut cleared = Vec::new();
        for (start, crash) in history.crashes.iter_mut().filter(|(_, crash)| !crash.is_cleared) {
            crash.is_cleared = true;
            cleared.push(to_report(suspect, start, crash, now));
        }
        let has_several = history.crashes.len() > 1;
        self.update_digest(suspect, before);
        if self.may_be_quarantined(uncleared) {
            self.recompute();
        }
        if has_several { cleared } else { Vec::new() }
    }

    /// Whether a request with so many crashes may be quarantined, or may have been.
    ///
    /// Guards against recomputing all requests at each report of a mass crash, which reports every
    /// request that ran: with 8,000 requests that takes 50 µs a report, this check 0.6 µs.
    fn may_be_quarantined(&self, crashes: usize) -> bool {
        self.policy.max_crashes > 0 && crashes >= self.policy.max_crashes
    }

    /// A suspect's part of the digest.
    fn contribution(&self, suspect: Suspect) -> u64 {
        let history = self.histories.get(&suspect).filter(|history| history.crashes.len() > 1);
        let crashes = history.into_iter().flat_map(|history| history.crashes.iter());
        crashes
            .fold(0, |sum, (start, crash)| sum.wrapping_add(report_digest(suspect, start, crash)))
    }

    /// Updates the digest after a change of a suspect, whose contribution was `before`.
    fn update_digest(&mut self, suspect: Suspect, before: u64) {
        self.digest = self.digest.wrapping_sub(before).wrapping_add(self.contribution(suspect));
    }

    /// Whether a request with these contents may be sent now. If a trial is due, it needs one of
    /// each of its [`Table::quarantined_of`].
    pub fn decide_request(&self, contents: &Contents, now: Instant) -> Decision {
        let mut decision = Decision::Allowed;
        for suspect in self.quarantined_of(contents) {
            decision = match (decision, self.decide(suspect, now)) {
                (Decision::Quarantined(a), Decision::Quarantined(b)) => {
                    Decision::Quarantined(a.max(b))
                }
                (Decision::Quarantined(remaining), _) => Decision::Quarantined(remaining),
                (_, other) => other,
            };
        }
        decision
    }

    /// The suspects for which a request with these contents is quarantined.
    pub fn quarantined_of(&self, contents: &Contents) -> Vec<Suspect> {
        let applies = |suspect: &Suspect| {
            self.quarantined.get(suspect).is_some_and(|quarantine| {
                quarantine.companions.iter().all(|part| contents.parts.contains(part))
            })
        };
        contents.suspects().filter(applies).collect()
    }

    /// Whether requests with a suspect may be sent now.
    pub fn decide(&self, suspect: Suspect, now: Instant) -> Decision {
        let Some(quarantine) = self.quarantined.get(&suspect) else {
            return Decision::Allowed;
        };
        let Some(history) = self.histories.get(&suspect) else {
            return Decision::Allowed;
        };
        let (durations, later_crashes): (&[Duration], usize) = match suspect {
            Suspect::Request(_) => {
                (&self.policy.durations, quarantine.crashes.saturating_sub(self.policy.max_crashes))
            }
            Suspect::Part(_) => {
                let durations = &self.policy.part_durations;
                (durations, history.later_crashes(self.policy.max_crashes, durations[0]))
            }
        };
        let extra_trials = history.trials.saturating_sub(self.policy.unreported_trials);
        let level = later_crashes.max(extra_trials);
        let duration = durations[level.min(durations.len() - 1)];
        let since = history.last_crash().max(history.last_trial).unwrap_or(now);
        let remaining = (since + duration).saturating_duration_since(now);
        if remaining.is_zero() { Decision::TrialDue } else { Decision::Quarantined(remaining) }
    }

    /// Grants one trial of a quarantined suspect whose time has come. One instance decides for
    /// each suspect, so that there is one trial at a time.
    pub fn on_trial(&mut self, suspect: Suspect, now: Instant) -> bool {
        if self.decide(suspect, now) != Decision::TrialDue {
            return false;
        }
        if let Some(history) = self.histories.get_mut(&suspect) {
            history.trials += 1;
            history.last_trial = Some(now);
        }
        true
    }

    /// Digest of all suspects with several reports; equal on instances that know the same ones.
    /// Single reports are left out: a mass crash makes many, and losing one costs little.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The reports that the digest covers, for an instance that is out of date.
    pub fn crash_reports(&self, now: Instant) -> Vec<CrashReport> {
        self.with_several_reports()
            .map(|(suspect, start, crash)| to_report(suspect, start, crash, now))
            .collect()
    }

    /// The reports of one suspect.
    pub fn crash_reports_of(&self, suspect: Suspect, now: Instant) -> Vec<CrashReport> {
        let history = self.histories.get(&suspect);
        let crashes = history.into_iter().flat_map(|history| history.crashes.iter());
        crashes.map(|(start, crash)| to_report(suspect, start, crash, now)).collect()
    }

    fn with_several_reports(&self) -> impl Iterator<Item = (Suspect, &TargetStart, &Crash)> {
        let histories = self.histories.iter().filter(|(_, history)| history.crashes.len() > 1);
        histories.flat_map(|(suspect, history)| {
            history.crashes.iter().map(|(start, crash)| (*suspect, start, crash))
        })
    }

    /// Removes expired reports, and those of the lowest ranks beyond the limit; `true` if one of
    /// them may have been quarantined.
    fn evict(&mut self, now: Instant) -> bool {
        let is_check_due =
            now.saturating_duration_since(self.last_expiry_check) >= EXPIRY_CHECK_INTERVAL;
        let evicted_expired = is_check_due && self.evict_expired(now);
        // In batches, so that not every report of a mass crash scans the whole table.
        let is_over = self.histories.len() > self.policy.max_entries + self.policy.max_entries / 8;
        let evicted_lowest = is_over && self.evict_lowest();
        evicted_expired || evicted_lowest
    }

    fn evict_expired(&mut self, now: Instant) -> bool {
        self.last_expiry_check = now;
        let retention = self.policy.retention;
        let has_expired = |crash: &Crash| now.saturating_duration_since(crash.at) >= retention;
        let has_expired_crash = |history: &History| history.crashes.values().any(has_expired);
        let histories = self.histories.iter().filter(|(_, history)| has_expired_crash(history));
        let suspects: Vec<Suspect> = histories.map(|(suspect, _)| *suspect).collect();
        let mut evicted_candidate = false;
        for suspect in suspects {
            evicted_candidate |= self.may_be_quarantined(self.crashes(suspect));
            let before = self.contribution(suspect);
            if let Some(history) = self.histories.get_mut(&suspect) {
                history.crashes.retain(|_, crash| !has_expired(crash));
            }
            self.update_digest(suspect, before);
        }
        self.histories.retain(|_, history| !history.crashes.is_empty());
        evicted_candidate
    }

    fn evict_lowest(&mut self) -> bool {
        let rank = |(suspect, history): (&Suspect, &History)| {
            (history.uncleared().count(), history.last_crash(), *suspect)
        };
        let mut ranks: Vec<(usize, Option<Instant>, Suspect)> =
            self.histories.iter().map(rank).collect();
        ranks.sort_unstable();
        ranks.truncate(self.histories.len().saturating_sub(self.policy.max_entries));
        let mut evicted_candidate = false;
        for (crashes, _, suspect) in ranks {
            evicted_candidate |= self.may_be_quarantined(crashes);
            let before = self.contribution(suspect);
            self.histories.remove(&suspect);
            self.update_digest(suspect, before);
        }
        evicted_candidate
    }

    fn recompute(&mut self) {
        self.quarantined = explanation::quarantined(&self.histories, &self.policy);
    }
}

fn to_report(suspect: Suspect, start: &TargetStart, crash: &Crash, now: Instant) -> CrashReport {
    let age = now.saturating_duration_since(crash.at);
    let start = start.clone();
    CrashReport { suspect, start, age_ms: age.as_millis() as u64, is_cleared: crash.is_cleared }
}

fn report_digest(suspect: Suspect, start: &TargetStart, crash: &Crash) -> u64 {
    to_report(suspect, start, crash, crash.at).digest()
}
