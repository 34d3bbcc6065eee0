//! Which software versions have served, as far as the platform's list of them tells.
//!
//! An instance that has just started knows only the versions that it finds. Whether there was
//! another one shortly before, at which a stream may have begun, it learns from the platform: a
//! version is listed there before its first stream begins, and removed once callers of its streams
//! can't return any more.
//!
//! ```
//! use coordination::releases::{Log, Release};
//! use std::time::Instant;
//!
//! let now = Instant::now();
//! let release = |software: &str| Release { service: "llm".into(), software: software.into() };
//! let mut log = Log::default();
//! log.set_present([release("v2")].into());
//! assert!(!log.is_recorded(&release("v2")), "it must be listed before its first stream");
//! assert!(log.needs_list(&release("v2"), now), "nothing is known of the time before");
//! log.on_list([release("v1")].into(), now);
//! assert!(log.has_others(&release("v2")), "streams may have begun at v1");
//! ```

use protocol::{ServiceId, SoftwareVersion};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Minimum age of a list that is read again because it has another version.
const RELIST_INTERVAL: Duration = Duration::from_secs(5);

/// A software version of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Release {
    /// The service.
    pub service: ServiceId,
    /// The version of its targets' software.
    pub software: SoftwareVersion,
}

/// What one instance knows of the versions.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// Versions that targets state now.
    present: BTreeSet<Release>,
    /// Present versions that are known to be listed.
    recorded: BTreeSet<Release>,
    /// Versions that were listed, or present here, at any time since the last list was read.
    listed: BTreeSet<Release>,
    /// When the list was last read; `None` if it wasn't since the start.
    listed_at: Option<Instant>,
    /// Versions that were present when the targets were first known.
    initial: BTreeSet<Release>,
    /// When each present version was first needed.
    needed_since: HashMap<Release, Instant>,
    /// Since when listed versions have been absent.
    absent_since: HashMap<Release, Instant>,
}

impl Log {
    /// Sets the versions that targets state now. One that comes back later must be listed again, as
    /// it may have been removed from the list meanwhile.
    pub fn set_present(&mut self, present: BTreeSet<Release>) {
        self.recorded.retain(|release| present.contains(release));
        self.needed_since.retain(|release, _| present.contains(release));
        if self.initial.is_empty() {
            self.initial.clone_from(&present);
        }
        self.initial.retain(|release| present.contains(release));
        self.listed.extend(present.iter().cloned());
        self.present = present;
    }

    /// Whether a version is known to be listed.
    pub fn is_recorded(&self, release: &Release) -> bool {
        self.recorded.contains(release)
    }

    /// How long a stream that needs a version to be listed may still wait for that: `patience` from
    /// the first such stream on, since the platform may be away. There is no wait for a version that
    /// was there at the start: others have probably listed it, and all streams of an instance that has
    /// just started would wait.
    pub fn remaining_wait(
        &mut self,
        release: &Release,
        patience: Duration,
        now: Instant,
    ) -> Duration {
        if self.initial.is_empty() || self.initial.contains(release) {
            return Duration::ZERO;
        }
        let since = *self.needed_since.entry(release.clone()).or_insert(now);
        (since + patience).saturating_duration_since(now)
    }

    /// A version was listed.
    pub fn on_recorded(&mut self, release: Release) {
        self.listed.insert(release.clone());
        self.recorded.insert(release);
    }

    /// The list was read at `now`.
    pub fn on_list(&mut self, list: BTreeSet<Release>, now: Instant) {
        self.recorded.extend(list.intersection(&self.present).cloned());
        self.listed = list;
        self.listed_at = Some(now);
    }

    /// Whether the list was read since the start.
    pub fn is_listed(&self) -> bool {
        self.listed_at.is_some()
    }

    /// All versions that may have served, for an instance that has just started; `None` until the
    /// list was read.
    pub fn known(&self) -> Option<Vec<Release>> {
        self.listed_at.map(|_| self.listed.iter().cloned().collect())
    }

    /// Whether versions are present, and the list wasn't read since the start.
    pub fn has_unlisted(&self) -> bool {
        self.listed_at.is_none() && !self.present.is_empty()
    }

    /// Whether the list must be read to tell if `release` has been the only version of its service.
    pub fn needs_list(&self, release: &Release, now: Instant) -> bool {
        match self.listed_at {
            None => true,
            Some(at) => self.has_others(release) && now >= at + RELIST_INTERVAL,
        }
    }

    /// Whether another version of the service is listed.
    pub fn has_others(&self, release: &Release) -> bool {
        let mut of_service = self.listed.iter().filter(|other| other.service == release.service);
        of_service.any(|other| other.software != release.software)
    }

    /// Listed versions that have been absent for `retention`, by all calls of this.
    pub fn expired(&mut self, retention: Duration, now: Instant) -> Vec<Release> {
        let absent = self.listed.difference(&self.present);
        let absent_since: HashMap<Release, Instant> = absent
            .map(|release| {
                (release.clone(), self.absent_since.get(release).copied().unwrap_or(now))
            })
            .collect();
        self.absent_since = absent_since;
        let expired = self.absent_since.iter().filter(|(_, since)| now >= **since + retention);
        expired.map(|(release, _)| release.clone()).collect()
    }
}
