//! Requests that crash the targets that run them, and are kept from further ones.
//!
//! A request that ends its target comes again, under another id and at another instance.
//! What it asks for stays the same, so that is what strikes are counted for: one for each
//! start of a target that crashed while the request ran there. With [`Policy::crashes`] of
//! them it is held: nobody sends it, but for a trial after a while.
//!
//! All that ran on a target that crashed gets a strike, also what did no harm. A crash that
//! a held request explains counts for nobody else, a whole run acquits, and a trial frees
//! what was held wrongly.
//!
//! Strikes are a set that only grows, so the order in which instances hear of them doesn't
//! matter, nor how often. They are hints: one that is lost lets a request crash one target
//! more.
//!
//! ```
//! use coordination::quarantine::{TargetStart, Policy, CrashReport, Table, Decision};
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

/// Time between looks for strikes that no longer count.
const LOOK_EVERY: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
struct Entry {
    at: Instant,
    is_acquitted: bool,
}

#[derive(Clone, Debug, Default)]
struct Row {
    strikes: BTreeMap<TargetStart, Entry>,
    trials: usize,
    trialled: Option<Instant>,
}

impl Row {
    fn standing(&self) -> impl Iterator<Item = (&TargetStart, &Entry)> {
        self.strikes.iter().filter(|(_, entry)| !entry.is_acquitted)
    }

    fn last(&self) -> Option<Instant> {
        self.strikes.values().map(|entry| entry.at).max()
    }
}

/// Requests with strikes.
#[derive(Clone, Debug)]
pub struct Table {
    policy: Policy,
    rows: HashMap<RequestFingerprint, Row>,
    /// Requests that are held, with the crashes that nothing else explains.
    held: HashMap<RequestFingerprint, usize>,
    digest: u64,
    /// When strikes were last looked through for old ones.
    looked: Instant,
}

impl Table {
    /// No strikes.
    pub fn new(policy: Policy, now: Instant) -> Table {
        Table { policy, rows: HashMap::new(), held: HashMap::new(), digest: 0, looked: now }
    }

    /// Whether no request has a strike.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Crashes that count against a request and weren't acquitted.
    pub fn crashes(&self, content: RequestFingerprint) -> usize {
        self.rows.get(&content).map_or(0, |row| row.standing().count())
    }

    /// Requests that are held now.
    pub fn quarantined(&self) -> usize {
        self.held.len()
    }

    /// Requests that are held now, each with its crashes that weren't acquitted.
    pub fn quarantined_requests(&self) -> Vec<(RequestFingerprint, usize)> {
        self.held.keys().map(|content| (*content, self.crashes(*content))).collect()
    }

    /// Takes in a strike, heard or seen; `true` when it is news.
    pub fn on_crash_report(&mut self, strike: CrashReport, now: Instant) -> bool {
        let age = Duration::from_millis(strike.age_ms);
        if age >= self.policy.retention {
            return false;
        }
        let at = now.checked_sub(age).unwrap_or(now);
        let content = strike.content;
        let before = self.share(content);
        let row = self.rows.entry(content).or_default();
        let standing = row.standing().count();
        let is_news = match row.strikes.get_mut(&strike.start) {
            Some(known) => {
                let is_news = strike.is_cleared && !known.is_acquitted;
                known.is_acquitted |= strike.is_cleared;
                is_news
            }
            None => {
                let entry = Entry { at, is_acquitted: strike.is_cleared };
                row.strikes.insert(strike.start, entry);
                true
            }
        };
        let most = standing.max(row.standing().count());
        self.update_digest(content, before);
        if is_news {
            let has_lost_heavy = self.forget(now);
            if has_lost_heavy || self.is_heavy(most) {
                self.judge();
            }
        }
        is_news
    }

    /// A request came to its end on a target, so it crashes none: the strikes that this
    /// acquits, to be told if there are several. A single one holds nobody, and most of what
    /// ran beside a crash has one; told or not, it is made up for once it is shared.
    pub fn on_success(&mut self, content: RequestFingerprint, now: Instant) -> Vec<CrashReport> {
        let before = self.share(content);
        let Some(row) = self.rows.get_mut(&content) else {
            return Vec::new();
        };
        let standing = row.standing().count();
        let mut acquitted = Vec::new();
        for (boot, entry) in row.strikes.iter_mut().filter(|(_, entry)| !entry.is_acquitted) {
            entry.is_acquitted = true;
            acquitted.push(told(content, boot, entry, now));
        }
        let is_shared = row.strikes.len() > 1;
        self.update_digest(content, before);
        if self.is_heavy(standing) {
            self.judge();
        }
        if is_shared { acquitted } else { Vec::new() }
    }

    /// Whether a request with so many crashes may be held, or may have been.
    ///
    /// Gains processor time in a mass crash, which gives a strike to all that ran: to judge
    /// and look through all requests at each strike took 50 us a strike at 8,000 of them, to
    /// do so only when one may be held takes 0.6 (`cargo bench -p gatespoold --bench slopes`).
    fn is_heavy(&self, crashes: usize) -> bool {
        self.policy.max_crashes > 0 && crashes >= self.policy.max_crashes
    }

    /// What the digest holds of a request.
    fn share(&self, content: RequestFingerprint) -> u64 {
        let row = self.rows.get(&content).filter(|row| row.strikes.len() > 1);
        let strikes = row.into_iter().flat_map(|row| row.strikes.iter());
        strikes.fold(0, |sum, (boot, entry)| sum.wrapping_add(told_digest(content, boot, entry)))
    }

    /// Makes the digest agree after a change of a request; `before` is its share then.
    fn update_digest(&mut self, content: RequestFingerprint, before: u64) {
        self.digest = self.digest.wrapping_sub(before).wrapping_add(self.share(content));
    }

    /// Whether a request may be sent.
    pub fn decide(&self, content: RequestFingerprint, now: Instant) -> Decision {
        let Some(crashes) = self.held.get(&content) else {
            return Decision::Allowed;
        };
        let Some(row) = self.rows.get(&content) else {
            return Decision::Allowed;
        };
        let known = crashes.saturating_sub(self.policy.max_crashes);
        let untold = row.trials.saturating_sub(self.policy.unreported_trials);
        let beyond = known.max(untold);
        let hold = self.policy.durations[beyond.min(self.policy.durations.len() - 1)];
        let since = row.last().max(row.trialled).unwrap_or(now);
        let left = (since + hold).saturating_duration_since(now);
        if left.is_zero() { Decision::TrialDue } else { Decision::Quarantined(left) }
    }

    /// Grants one trial of a held request whose time has come. Only one instance decides
    /// for each request, so that two tries don't go out as one trial.
    pub fn on_trial(&mut self, content: RequestFingerprint, now: Instant) -> bool {
        if self.decide(content, now) != Decision::TrialDue {
            return false;
        }
        if let Some(row) = self.rows.get_mut(&content) {
            row.trials += 1;
            row.trialled = Some(now);
        }
        true
    }

    /// A number that two instances share if they know the same of requests with several
    /// strikes. Single ones are many after a mass crash, and a lost one costs little.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// What the digest is of, to be told to an instance that knows less.
    pub fn crash_reports(&self, now: Instant) -> Vec<CrashReport> {
        self.shared().map(|(content, boot, entry)| told(content, boot, entry, now)).collect()
    }

    /// The strikes of one request.
    pub fn crash_reports_of(&self, content: RequestFingerprint, now: Instant) -> Vec<CrashReport> {
        let row = self.rows.get(&content);
        let strikes = row.into_iter().flat_map(|row| row.strikes.iter());
        strikes.map(|(boot, entry)| told(content, boot, entry, now)).collect()
    }

    fn shared(&self) -> impl Iterator<Item = (RequestFingerprint, &TargetStart, &Entry)> {
        let rows = self.rows.iter().filter(|(_, row)| row.strikes.len() > 1);
        rows.flat_map(|(content, row)| row.strikes.iter().map(|(boot, e)| (*content, boot, e)))
    }

    /// Forgets strikes that no longer count, and the least of those beyond the bound;
    /// `true` if a request was among them that may be held.
    fn forget(&mut self, now: Instant) -> bool {
        let is_due = now.saturating_duration_since(self.looked) >= LOOK_EVERY;
        let has_lost_old = is_due && self.forget_old(now);
        // Some at a time, so that not each strike of a mass crash looks through all.
        let is_over = self.rows.len() > self.policy.max_entries + self.policy.max_entries / 8;
        let has_lost_least = is_over && self.forget_least();
        has_lost_old || has_lost_least
    }

    fn forget_old(&mut self, now: Instant) -> bool {
        self.looked = now;
        let retain = self.policy.retention;
        let is_old = |entry: &Entry| now.saturating_duration_since(entry.at) >= retain;
        let has_old = |row: &Row| row.strikes.values().any(is_old);
        let rows = self.rows.iter().filter(|(_, row)| has_old(row));
        let contents: Vec<RequestFingerprint> = rows.map(|(id, _)| *id).collect();
        let mut has_lost_heavy = false;
        for content in contents {
            has_lost_heavy |= self.is_heavy(self.crashes(content));
            let before = self.share(content);
            if let Some(row) = self.rows.get_mut(&content) {
                row.strikes.retain(|_, entry| !is_old(entry));
            }
            self.update_digest(content, before);
        }
        self.rows.retain(|_, row| !row.strikes.is_empty());
        has_lost_heavy
    }

    fn forget_least(&mut self) -> bool {
        let rank =
            |(id, row): (&RequestFingerprint, &Row)| (row.standing().count(), row.last(), *id);
        let mut ranks: Vec<(usize, Option<Instant>, RequestFingerprint)> =
            self.rows.iter().map(rank).collect();
        ranks.sort_unstable();
        ranks.truncate(self.rows.len().saturating_sub(self.policy.max_entries));
        let mut has_lost_heavy = false;
        for (crashes, _, content) in ranks {
            has_lost_heavy |= self.is_heavy(crashes);
            let before = self.share(content);
            self.rows.remove(&content);
            self.update_digest(content, before);
        }
        has_lost_heavy
    }

    /// Finds the requests to hold: the one with most crashes first, since a crash that it
    /// explains says nothing of what else ran there.
    fn judge(&mut self) {
        self.held.clear();
        if self.policy.max_crashes == 0 {
            return;
        }
        let is_plain = |row: &Row| {
            row.standing().count() >= self.policy.max_crashes + self.policy.shared_margin
        };
        let plain = self.rows.iter().filter(|(_, row)| is_plain(row));
        self.held = plain.map(|(id, row)| (*id, row.standing().count())).collect();
        let held = self.rows.iter().filter(|(id, _)| self.held.contains_key(id));
        let mut explained: BTreeSet<&TargetStart> =
            held.flat_map(|(_, row)| row.standing().map(|(boot, _)| boot)).collect();
        loop {
            let unexplained =
                |row: &Row| row.standing().filter(|(boot, _)| !explained.contains(boot)).count();
            let open = self.rows.iter().filter(|(id, _)| !self.held.contains_key(id));
            let counts: Vec<(RequestFingerprint, usize)> =
                open.map(|(id, row)| (*id, unexplained(row))).collect();
            let most = counts.iter().map(|(_, count)| *count).max().unwrap_or(0);
            if most < self.policy.max_crashes {
                return;
            }
            // Those that can't be told apart are held alike.
            for (id, count) in counts.into_iter().filter(|(_, count)| *count == most) {
                self.held.insert(id, count);
                if let Some(row) = self.rows.get(&id) {
                    explained.extend(row.standing().map(|(boot, _)| boot));
                }
            }
        }
    }
}

fn told(
    content: RequestFingerprint,
    boot: &TargetStart,
    entry: &Entry,
    now: Instant,
) -> CrashReport {
    let age = now.saturating_duration_since(entry.at);
    let boot = boot.clone();
    CrashReport {
        content,
        start: boot,
        age_ms: age.as_millis() as u64,
        is_cleared: entry.is_acquitted,
    }
}

fn told_digest(content: RequestFingerprint, boot: &TargetStart, entry: &Entry) -> u64 {
    told(content, boot, entry, entry.at).digest()
}
