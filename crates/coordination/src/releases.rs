//! Which software versions have served, as far as the platform tells.
//!
//! An instance that has just started knows only the versions that it finds. Whether there was
//! another one shortly before, at which a stream may have begun, it learns from the platform: from
//! a list of versions, and from the changes of the registry that the list doesn't cover yet (see
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
//! log.on_list([release("v1")].into(), &[].into(), now);
//! assert!(log.has_others(&release("v2")), "streams may have begun at v1");
//! assert_eq!(log.unrecorded(), [release("v2")], "it must be listed");
//! ```

mod checkpoint;

pub use checkpoint::{Checkpoint, Step, Stored, Watched};

use protocol::routing::Target;
use protocol::{Millis, ServiceId, SoftwareVersion};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Minimum age of a list that is read again because it has another version.
const RELIST_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which the platform surely keeps the changes after a revision.
const MAX_COVERAGE_AGE: Duration = Duration::from_secs(10);

/// A software version of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Release {
    /// The service.
    pub service: ServiceId,
    /// The version of its targets' software; empty if they state none.
    pub software: SoftwareVersion,
}

impl Release {
    /// A version of a service; `None` if its targets state none.
    pub fn new(service: ServiceId, software: Option<SoftwareVersion>) -> Release {
        Release { service, software: software.unwrap_or_default() }
    }

    /// The version that a target states.
    pub fn of_target(target: &Target) -> Release {
        Release::new(target.service.clone(), target.software.clone())
    }
}

/// The versions that may have served, as one instance tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// The versions.
    pub releases: Vec<Release>,
    /// As [`Checkpoint::complete_since`].
    pub complete_since: Millis,
    /// As [`Checkpoint::lifetime_ms`].
    #[serde(default)]
    pub lifetime_ms: Millis,
}

/// How much of the registry one instance has read itself from the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Coverage {
    /// Revision up to which all versions that were registered are known.
    through: u64,
    /// When the read began: every version that was registered before is known.
    since: Instant,
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
    /// As [`Checkpoint::complete_since`]; `None` until it is known.
    complete_since: Option<Millis>,
    /// As [`Checkpoint::lifetime_ms`].
    lifetime_ms: Millis,
    /// Whether this instance may have missed versions since.
    is_outdated: bool,
    /// What this instance has read itself; `None` if nothing.
    coverage: Option<Coverage>,
    /// Changes of the registry that this instance has watched.
    watched: Option<Watched>,
    /// Since when known versions have been absent.
    absent_since: HashMap<Release, Instant>,
    /// Since when versions have been known, as of the last call of [`Log::on_time`].
    known_since: HashMap<Release, Instant>,
}

impl Log {
    /// Sets the versions that targets state now. One that comes back must be listed again, as it
    /// may have been removed from the list meanwhile.
    pub fn set_present(&mut self, present: BTreeSet<Release>) {
        let departed = self.present.difference(&present).cloned();
        self.departed.extend(departed);
        self.on_seen(present.iter().cloned());
        self.present = present;
    }

    /// Adds versions that targets state, by changes of the registry.
    pub fn on_seen(&mut self, releases: impl IntoIterator<Item = Release>) {
        for release in releases {
            if self.departed.remove(&release) {
                self.recorded.remove(&release);
            }
            self.on_ended([release]);
        }
    }

    /// Adds versions that targets stated until they ended.
    pub fn on_ended(&mut self, releases: impl IntoIterator<Item = Release>) {
        for release in releases {
            self.absent_since.remove(&release);
            self.known.insert(release);
        }
    }

    /// The registry was watched up to revision `through`, without a gap since revision `since`;
    /// `None` if it was read as a whole.
    pub fn on_watched(&mut self, since: Option<u64>, through: u64) {
        let before = self.watched.filter(|watched| Some(watched.through) == since);
        let from = before.map_or(since.unwrap_or(through), |watched| watched.from);
        if before.is_none() {
            // Any version may have served meanwhile.
            self.absent_since.clear();
        }
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

    /// Versions that are known to be listed.
    pub fn recorded(&self) -> &BTreeSet<Release> {
        &self.recorded
    }

    /// Known versions that aren't known to be listed.
    pub fn unrecorded(&self) -> Vec<Release> {
        self.known.difference(&self.recorded).cloned().collect()
    }

    /// A version was listed.
    pub fn on_recorded(&mut self, release: Release) {
        self.absent_since.remove(&release);
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

    /// The list was read at `now`. Versions that were `recorded` then and aren't in it were
    /// removed.
    pub fn on_list(&mut self, list: BTreeSet<Release>, recorded: &BTreeSet<Release>, now: Instant) {
        for removed in recorded.difference(&list) {
            // One that has come back meanwhile isn't recorded any more.
            if self.recorded.contains(removed) {
                self.on_removed(removed);
            }
        }
        self.known.extend(list.iter().cloned());
        self.recorded.extend(list);
        self.listed_at = Some(now);
    }

    /// The versions that served before now are known; all from the Unix time `complete_since` on.
    pub fn on_complete(&mut self, complete_since: Millis, lifetime_ms: Millis) {
        let before = self.complete_since.unwrap_or_default();
        self.complete_since = Some(before.max(complete_since));
        self.lifetime_ms = self.lifetime_ms.max(lifetime_ms);
        self.is_outdated = false;
    }

    /// This instance was cut off or suspended, and may have missed versions that served.
    pub fn on_missed(&mut self) {
        self.is_outdated = true;
    }

    /// The list, and all changes of the registry up to a revision that it doesn't cover, were read
    /// from the platform by calls that began at `since` or later.
    pub fn on_covered(&mut self, through: u64, since: Instant) {
        self.coverage = Some(Coverage { through, since });
    }

    /// Whether this instance has ever read itself what the list doesn't cover.
    pub fn has_read(&self) -> bool {
        self.coverage.is_some()
    }

    /// Whether every version is known that was registered before `time`. What other instances
    /// report doesn't count, as they may be cut off or have stood still.
    pub fn is_fresh(&self, time: Instant) -> bool {
        self.is_listed() && self.coverage.is_some_and(|coverage| coverage.since >= time)
    }

    /// Revision after which changes of the registry must be read to know all versions; `None` if
    /// the list must be read, too.
    pub fn covered_through(&self, now: Instant) -> Option<u64> {
        let coverage = self.coverage.filter(|_| self.is_listed())?;
        let age = now.saturating_duration_since(coverage.since);
        (age < MAX_COVERAGE_AGE).then_some(coverage.through)
    }

    /// Another instance reported at `now` which versions may have served.
    pub fn on_history(&mut self, history: History, now: Instant) {
        self.on_ended(history.releases);
        self.listed_at = Some(now);
        self.on_complete(history.complete_since, history.lifetime_ms);
    }

    /// Whether it is known which versions had served before the start, and none was missed since.
    pub fn is_listed(&self) -> bool {
        self.complete_since.is_some() && !self.is_outdated
    }

    /// Whether it was known once after the start which versions had served before.
    pub fn was_listed(&self) -> bool {
        self.complete_since.is_some()
    }

    /// As [`Checkpoint::complete_since`]; `None` until it is known.
    pub fn complete_since(&self) -> Option<Millis> {
        self.complete_since
    }

    /// Whether all versions are known whose streams callers may take up at the Unix time `now`.
    /// They return for the longest known lifetime, or `lifetime` if none is known.
    pub fn is_complete(&self, lifetime: Duration, now: Millis) -> bool {
        let lifetime_ms = match self.lifetime_ms {
            0 => lifetime.as_millis() as Millis,
            known => known,
        };
        self.complete_since
            .is_some_and(|since| since == 0 || now >= since.saturating_add(lifetime_ms))
    }

    /// All versions that may have served, for an instance that has just started; `None` unless they
    /// are known here.
    pub fn history(&self) -> Option<History> {
        let releases = self.known.iter().cloned().collect();
        let complete_since = self.complete_since.filter(|_| !self.is_outdated)?;
        Some(History { releases, complete_since, lifetime_ms: self.lifetime_ms })
    }

    /// Whether versions are present, and those before the start aren't known.
    pub fn has_unlisted(&self) -> bool {
        !self.was_listed() && !self.present.is_empty()
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

    /// Notes which versions are known at `now`; to be called regularly.
    pub fn on_time(&mut self, now: Instant) {
        self.known_since.retain(|release, _| self.known.contains(release));
        for release in &self.known {
            if !self.known_since.contains_key(release) {
                self.known_since.insert(release.clone(), now);
            }
        }
    }

    /// Whether a version has been known here for some time.
    pub fn is_known_for(&self, release: &Release, period: Duration, now: Instant) -> bool {
        self.known_since.get(release).is_some_and(|since| now >= *since + period)
    }

    /// Whether targets stated a version here before, and none does now.
    pub fn has_departed(&self, release: &Release) -> bool {
        self.departed.contains(release)
    }

    /// Whether targets of the service state versions, or may have.
    pub fn has_versions(&self, service: &str) -> bool {
        let mut of_service = self.known.iter().filter(|release| release.service == service);
        of_service.any(|release| !release.software.is_empty())
    }

    /// Known versions that have been absent for `retention`, since a call of this at least.
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
