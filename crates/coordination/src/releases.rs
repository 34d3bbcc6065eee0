//! Which software versions have served, as far as the platform tells.
//!
//! An instance that has just started knows only the versions that it finds. Whether there was
//! another one shortly before, at which a stream may have begun, it learns from the platform: from a
//! list of versions, and from the changes of the registry that the list doesn't cover yet (see
//! [`Checkpoint`]). A version is removed from the list once callers of its streams can't return any
//! more.
//!
//! ```
//! use coordination::releases::{Log, Release};
//! use std::time::{Duration, Instant};
//!
//! let now = Instant::now();
//! let release = |software: &str| Release { service: "llm".into(), software: software.into() };
//! let mut log = Log::default();
//! log.set_present([release("v2")].into());
//! assert!(log.needs_list(&release("v2"), now), "nothing is known of the time before");
//! log.on_list([release("v1")].into(), now);
//! assert!(log.has_others(&release("v2")), "streams may have begun at v1");
//! assert_eq!(log.unrecorded(), [release("v2")], "it must be listed");
//! ```

mod checkpoint;

pub use checkpoint::{Checkpoint, Step, Stored, Watched};

use protocol::{Millis, ServiceId, SoftwareVersion};
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

/// The versions that may have served, as one instance tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// The versions.
    pub releases: Vec<Release>,
    /// As [`Checkpoint::complete_since`].
    pub complete_since: Millis,
}

/// What one instance knows of the versions.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// Versions that targets state now.
    present: BTreeSet<Release>,
    /// Versions that were present here before, and may have been removed from the list since.
    departed: BTreeSet<Release>,
    /// Versions that are known to be listed.
    recorded: BTreeSet<Release>,
    /// Versions that may have served: listed ones, and those seen here that aren't listed yet.
    known: BTreeSet<Release>,
    /// When the list was last read; `None` if it wasn't since the start.
    listed_at: Option<Instant>,
    /// As [`Checkpoint::complete_since`], at the start of this instance; `None` until it is known.
    complete_since: Option<Millis>,
    /// Changes of the registry that this instance has watched.
    watched: Option<Watched>,
    /// Since when known versions have been absent.
    absent_since: HashMap<Release, Instant>,
}

impl Log {
    /// Sets the versions that targets state now. One that comes back must be listed again, as it may
    /// have been removed from the list meanwhile.
    pub fn set_present(&mut self, present: BTreeSet<Release>) {
        for release in present.iter().filter(|release| self.departed.remove(release)) {
            self.recorded.remove(release);
        }
        let departed = self.present.difference(&present).cloned();
        self.departed.extend(departed);
        self.known.extend(present.iter().cloned());
        self.present = present;
    }

    /// Adds versions that targets stated in changes of the registry.
    pub fn on_seen(&mut self, releases: impl IntoIterator<Item = Release>) {
        self.known.extend(releases);
    }

    /// The registry was watched up to revision `through`, without a gap since revision `since`; `None`
    /// if it was read as a whole.
    pub fn on_watched(&mut self, since: Option<u64>, through: u64) {
        let before = self.watched.filter(|watched| Some(watched.through) == since);
        let from = before.map_or(since.unwrap_or(through), |watched| watched.from);
        self.watched = Some(Watched { from, through });
    }

    /// The changes of the registry between two revisions were read, beside the watch.
    pub fn on_changes_read(&mut self, after: u64, through: u64) {
        if let Some(watched) = self.watched.as_mut().filter(|watched| watched.from <= through) {
            watched.from = watched.from.min(after);
        }
    }

    /// Changes of the registry that this instance has watched; `None` if it hasn't.
    pub fn watched(&self) -> Option<Watched> {
        self.watched
    }

    /// Whether a version is known to be listed.
    pub fn is_recorded(&self, release: &Release) -> bool {
        self.recorded.contains(release)
    }

    /// Known versions that aren't known to be listed.
    pub fn unrecorded(&self) -> Vec<Release> {
        self.known.difference(&self.recorded).cloned().collect()
    }

    /// A version was listed.
    pub fn on_recorded(&mut self, release: Release) {
        self.known.insert(release.clone());
        self.recorded.insert(release);
    }

    /// A version was removed from the list.
    pub fn on_removed(&mut self, release: &Release) {
        self.recorded.remove(release);
        self.departed.remove(release);
        self.absent_since.remove(release);
        if !self.present.contains(release) {
            self.known.remove(release);
        }
    }

    /// The list was read at `now`. Versions that aren't in it any more were removed from it.
    pub fn on_list(&mut self, list: BTreeSet<Release>, now: Instant) {
        let unrecorded = self.unrecorded();
        self.known = list.union(&self.present).cloned().collect();
        self.known.extend(unrecorded);
        self.recorded = list;
        self.departed.clear();
        self.listed_at = Some(now);
    }

    /// The versions that served before the start of this instance are known; all from the Unix time
    /// `complete_since` on.
    pub fn on_complete(&mut self, complete_since: Millis) {
        self.complete_since.get_or_insert(complete_since);
    }

    /// Another instance told at `now` which versions may have served.
    pub fn on_history(&mut self, history: History, now: Instant) {
        self.known.extend(history.releases);
        self.listed_at = Some(now);
        self.on_complete(history.complete_since);
    }

    /// Whether it is known since the start which versions had served before.
    pub fn is_listed(&self) -> bool {
        self.complete_since.is_some()
    }

    /// Whether all versions are known that have served in the `period` before the Unix time `now`.
    pub fn is_complete(&self, period: Duration, now: Millis) -> bool {
        let period = period.as_millis() as Millis;
        self.complete_since.is_some_and(|since| now >= since.saturating_add(period) || since == 0)
    }

    /// All versions that may have served, for an instance that has just started; `None` until they
    /// are known here.
    pub fn history(&self) -> Option<History> {
        let releases = self.known.iter().cloned().collect();
        self.complete_since.map(|complete_since| History { releases, complete_since })
    }

    /// Whether versions are present, and those before aren't known since the start.
    pub fn has_unlisted(&self) -> bool {
        !self.is_listed() && !self.present.is_empty()
    }

    /// Whether the list must be read to tell if `release` has been the only version of its service.
    pub fn needs_list(&self, release: &Release, now: Instant) -> bool {
        match self.listed_at.filter(|_| self.is_listed()) {
            None => true,
            Some(at) => self.has_others(release) && now >= at + RELIST_INTERVAL,
        }
    }

    /// Whether another version of the service may have served.
    pub fn has_others(&self, release: &Release) -> bool {
        let mut of_service = self.known.iter().filter(|other| other.service == release.service);
        of_service.any(|other| other.software != release.software)
    }

    /// Whether a version of the service is present or may have served.
    pub fn has_versions(&self, service: &str) -> bool {
        self.known.iter().any(|release| release.service == service)
    }

    /// Known versions that have been absent for `retention`, by all calls of this.
    pub fn expired(&mut self, retention: Duration, now: Instant) -> Vec<Release> {
        let absent = self.known.difference(&self.present);
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
