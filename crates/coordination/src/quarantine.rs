//! Requests that crash the targets that run them, and are quarantined.
//!
//! A request that crashed its target is retried, under another id and by another instance. Its
//! content stays the same, so crash reports count by its fingerprint: one for each start of a
//! target that crashed while the request ran there. With [`Policy::max_crashes`] of them the
//! request is quarantined: no instance sends it, except for a trial after a while.
//!
//! Everything that ran on a crashed target gets a report, harmless requests too. A crash that a
//! quarantined request explains doesn't count against others, a complete run clears a request, and
//! a trial frees one that was quarantined wrongly.
//!
//! Crash reports are a grow-only set, so they may be received in any order and more than once.
//! They are hints: a lost one lets a request crash one more target.
//!
//! ```
//! use coordination::quarantine::{CrashReport, Decision, Policy, Table, TargetStart};
//! use std::time::Instant;
//!
//! let now = Instant::now();
//! let mut table = Table::new(Policy::default(), now);
//! for n in 0..3 {
//!     let start = TargetStart { target: format!("t{n}"), started_at: 0 };
//!     table.on_crash_report(CrashReport::new(7, start), now);
//! }
//! assert!(matches!(table.decide(7, now), Decision::Quarantined(_)));
//! assert_eq!(table.decide(8, now), Decision::Allowed);
//! ```

mod types;

pub use types::{CrashReport, Decision, Policy, TargetStart};

use protocol::RequestFingerprint;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
struct Crash {
    at: Instant,
    is_cleared: bool,
}

#[derive(Clone, Debug, Default)]
struct History {
    crashes: BTreeMap<TargetStart, Crash>,
    trials: usize,
    last_trial: Option<Instant>,
}

impl History {
    fn uncleared(&self) -> impl Iterator<Item = (&TargetStart, &Crash)> {
        self.crashes.iter().filter(|(_, crash)| !crash.is_cleared)
    }

    fn last_crash(&self) -> Option<Instant> {
        self.crashes.values().map(|crash| crash.at).max()
    }
}

/// Crash reports by request.
#[derive(Clone, Debug)]
pub struct Table {
    policy: Policy,
    histories: HashMap<RequestFingerprint, History>,
    /// Quarantined requests, with the number of crashes that no other request explains.
    quarantined: HashMap<RequestFingerprint, usize>,
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

    /// Number of a request's crash reports that aren't cleared.
    pub fn crashes(&self, fingerprint: RequestFingerprint) -> usize {
        self.histories.get(&fingerprint).map_or(0, |history| history.uncleared().count())
    }

    /// Number of quarantined requests.
    pub fn quarantined(&self) -> usize {
        self.quarantined.len()
    }

    /// Quarantined requests, each with its number of crash reports that aren't cleared.
    pub fn quarantined_requests(&self) -> Vec<(RequestFingerprint, usize)> {
        self.quarantined
            .keys()
            .map(|fingerprint| (*fingerprint, self.crashes(*fingerprint)))
            .collect()
    }

    /// Takes in a report, local or received; `true` if it is new.
    pub fn on_crash_report(&mut self, report: CrashReport, now: Instant) -> bool {
        let age = Duration::from_millis(report.age_ms);
        if age >= self.policy.retention {
            return false;
        }
        let at = now.checked_sub(age).unwrap_or(now);
        let fingerprint = report.fingerprint;
        let before = self.contribution(fingerprint);
        let history = self.histories.entry(fingerprint).or_default();
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
        self.update_digest(fingerprint, before);
        if is_new {
            let evicted_candidate = self.evict(now);
            if evicted_candidate || self.may_be_quarantined(max_count) {
                self.recompute();
            }
        }
        is_new
    }

    /// A request ran completely, so its crash reports are cleared. Returns them for a broadcast if
    /// there are several; a single one quarantines nothing and isn't shared.
    pub fn on_success(
        &mut self,
        fingerprint: RequestFingerprint,
        now: Instant,
    ) -> Vec<CrashReport> {
        let before = self.contribution(fingerprint);
        let Some(history) = self.histories.get_mut(&fingerprint) else {
            return Vec::new();
        };
        let uncleared = history.uncleared().count();
        let mut cleared = Vec::new();
        for (start, crash) in history.crashes.iter_mut().filter(|(_, crash)| !crash.is_cleared) {
            crash.is_cleared = true;
            cleared.push(to_report(fingerprint, start, crash, now));
        }
        let has_several = history.crashes.len() > 1;
        self.update_digest(fingerprint, before);
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

    /// A request's part of the digest.
    fn contribution(&self, fingerprint: RequestFingerprint) -> u64 {
        let history = self.histories.get(&fingerprint).filter(|history| history.crashes.len() > 1);
        let crashes = history.into_iter().flat_map(|history| history.crashes.iter());
        crashes.fold(0, |sum, (start, crash)| {
            sum.wrapping_add(report_digest(fingerprint, start, crash))
        })
    }

    /// Updates the digest after a change of a request, whose contribution was `before`.
    fn update_digest(&mut self, fingerprint: RequestFingerprint, before: u64) {
        self.digest = self.digest.wrapping_sub(before).wrapping_add(self.contribution(fingerprint));
    }

    /// Whether a request may be sent now.
    pub fn decide(&self, fingerprint: RequestFingerprint, now: Instant) -> Decision {
        let Some(crashes) = self.quarantined.get(&fingerprint) else {
            return Decision::Allowed;
        };
        let Some(history) = self.histories.get(&fingerprint) else {
            return Decision::Allowed;
        };
        let extra_crashes = crashes.saturating_sub(self.policy.max_crashes);
        let extra_trials = history.trials.saturating_sub(self.policy.unreported_trials);
        let level = extra_crashes.max(extra_trials);
        let duration = self.policy.durations[level.min(self.policy.durations.len() - 1)];
        let since = history.last_crash().max(history.last_trial).unwrap_or(now);
        let remaining = (since + duration).saturating_duration_since(now);
        if remaining.is_zero() { Decision::TrialDue } else { Decision::Quarantined(remaining) }
    }

    /// Grants one trial of a quarantined request whose time has come. One instance decides for
    /// each request, so that there is one trial at a time.
    pub fn on_trial(&mut self, fingerprint: RequestFingerprint, now: Instant) -> bool {
        if self.decide(fingerprint, now) != Decision::TrialDue {
            return false;
        }
        if let Some(history) = self.histories.get_mut(&fingerprint) {
            history.trials += 1;
            history.last_trial = Some(now);
        }
        true
    }

    /// Digest of all requests with several reports; equal on instances that know the same ones.
    /// Single reports are left out: a mass crash makes many, and losing one costs little.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The reports that the digest covers, for an instance that is out of date.
    pub fn crash_reports(&self, now: Instant) -> Vec<CrashReport> {
        self.with_several_reports()
            .map(|(fingerprint, start, crash)| to_report(fingerprint, start, crash, now))
            .collect()
    }

    /// The reports of one request.
    pub fn crash_reports_of(
        &self,
        fingerprint: RequestFingerprint,
        now: Instant,
    ) -> Vec<CrashReport> {
        let history = self.histories.get(&fingerprint);
        let crashes = history.into_iter().flat_map(|history| history.crashes.iter());
        crashes.map(|(start, crash)| to_report(fingerprint, start, crash, now)).collect()
    }

    fn with_several_reports(
        &self,
    ) -> impl Iterator<Item = (RequestFingerprint, &TargetStart, &Crash)> {
        let histories = self.histories.iter().filter(|(_, history)| history.crashes.len() > 1);
        histories.flat_map(|(fingerprint, history)| {
            history.crashes.iter().map(|(start, crash)| (*fingerprint, start, crash))
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
        let fingerprints: Vec<RequestFingerprint> = histories.map(|(id, _)| *id).collect();
        let mut evicted_candidate = false;
        for fingerprint in fingerprints {
            evicted_candidate |= self.may_be_quarantined(self.crashes(fingerprint));
            let before = self.contribution(fingerprint);
            if let Some(history) = self.histories.get_mut(&fingerprint) {
                history.crashes.retain(|_, crash| !has_expired(crash));
            }
            self.update_digest(fingerprint, before);
        }
        self.histories.retain(|_, history| !history.crashes.is_empty());
        evicted_candidate
    }

    fn evict_lowest(&mut self) -> bool {
        let rank = |(id, history): (&RequestFingerprint, &History)| {
            (history.uncleared().count(), history.last_crash(), *id)
        };
        let mut ranks: Vec<(usize, Option<Instant>, RequestFingerprint)> =
            self.histories.iter().map(rank).collect();
        ranks.sort_unstable();
        ranks.truncate(self.histories.len().saturating_sub(self.policy.max_entries));
        let mut evicted_candidate = false;
        for (crashes, _, fingerprint) in ranks {
            evicted_candidate |= self.may_be_quarantined(crashes);
            let before = self.contribution(fingerprint);
            self.histories.remove(&fingerprint);
            self.update_digest(fingerprint, before);
        }
        evicted_candidate
    }

    /// Recomputes which requests are quarantined, those with most crashes first, since a crash
    /// that one explains doesn't count against others.
    fn recompute(&mut self) {
        self.quarantined.clear();
        if self.policy.max_crashes == 0 {
            return;
        }
        let is_certain = |history: &History| {
            history.uncleared().count() >= self.policy.max_crashes + self.policy.shared_margin
        };
        let certain = self.histories.iter().filter(|(_, history)| is_certain(history));
        self.quarantined =
            certain.map(|(id, history)| (*id, history.uncleared().count())).collect();
        let quarantined = self.histories.iter().filter(|(id, _)| self.quarantined.contains_key(id));
        let mut explained: BTreeSet<&TargetStart> = quarantined
            .flat_map(|(_, history)| history.uncleared().map(|(start, _)| start))
            .collect();
        loop {
            let unexplained = |history: &History| {
                history.uncleared().filter(|(start, _)| !explained.contains(start)).count()
            };
            let others = self.histories.iter().filter(|(id, _)| !self.quarantined.contains_key(id));
            let counts: Vec<(RequestFingerprint, usize)> =
                others.map(|(id, history)| (*id, unexplained(history))).collect();
            let max_count = counts.iter().map(|(_, count)| *count).max().unwrap_or(0);
            if max_count < self.policy.max_crashes {
                return;
            }
            // Requests with equal counts can't be told apart: quarantine all of them.
            for (id, count) in counts.into_iter().filter(|(_, count)| *count == max_count) {
                self.quarantined.insert(id, count);
                if let Some(history) = self.histories.get(&id) {
                    explained.extend(history.uncleared().map(|(start, _)| start));
                }
            }
        }
    }
}

fn to_report(
    fingerprint: RequestFingerprint,
    start: &TargetStart,
    crash: &Crash,
    now: Instant,
) -> CrashReport {
    let age = now.saturating_duration_since(crash.at);
    let start = start.clone();
    CrashReport { fingerprint, start, age_ms: age.as_millis() as u64, is_cleared: crash.is_cleared }
}

fn report_digest(fingerprint: RequestFingerprint, start: &TargetStart, crash: &Crash) -> u64 {
    to_report(fingerprint, start, crash, crash.at).digest()
}
