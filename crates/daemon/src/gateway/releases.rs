//! The list of software versions on the platform, with its checkpoint.

use super::call_reason::CallReason;
use super::store::PlatformStore;
use crate::clock;
use coordination::hash;
use coordination::releases::{Checkpoint, Log, Release, Step, Stored, Watched};
use platform::store::{Changes, Listing, Object, Revision, StoreError};
use platform::{release, target};
use std::cell::RefCell;
use std::collections::BTreeSet;

/// Handles the whole registry, from which a watch starts.
pub fn on_registry(releases: &RefCell<Log>, listing: &Listing) {
    let mut releases = releases.borrow_mut();
    releases.on_seen(stated(&listing.objects));
    releases.on_watched(None, listing.revision);
}

/// Handles changes of the registry that were watched since a revision.
pub fn on_changes(releases: &RefCell<Log>, changes: &Changes, since: Revision) {
    let mut releases = releases.borrow_mut();
    releases.on_seen(stated(changes.changes.iter().map(|change| &change.object)));
    releases.on_watched(Some(since), changes.revision);
}

/// The versions that entries of the registry state, also those that were removed.
fn stated<'a>(objects: impl IntoIterator<Item = &'a Object>) -> Vec<Release> {
    let targets = objects
        .into_iter()
        .filter_map(|object| target::decode(&object.name, object.revision, object.spec.get()).ok());
    let releases = targets
        .filter_map(|target| Some(Release { service: target.service, software: target.software? }));
    releases.collect()
}

/// Calls of the platform about the list; only one instance extends it at a time.
pub struct List<'a> {
    /// The platform.
    pub store: &'a PlatformStore,
    /// What this instance knows of the versions.
    pub releases: &'a RefCell<Log>,
    /// Logger of this instance.
    pub log: &'a slog::Logger,
    /// Whether the whole system starts for the first time, so that nothing served before.
    pub is_first_start: bool,
}

impl List<'_> {
    /// Reads the list, and once after a start the changes of the registry that it doesn't cover yet.
    /// Returns the checkpoint; `None` if there is none.
    ///
    /// # Errors
    ///
    /// The failed call of the platform.
    pub async fn read(&self) -> Result<Option<Stored>, StoreError> {
        // Stamped with the time before the call, since the list is no newer than that.
        let asked_at = clock::now();
        let objects = self.store.list_all(CallReason::Release, release::KIND).await?;
        let stored = objects.iter().find_map(to_stored);
        if !self.releases.borrow().is_listed() {
            self.read_uncovered(stored).await?;
        }
        let releases = objects.iter().filter(|object| object.name != release::CHECKPOINT);
        let releases = releases.filter_map(|object| serde_json::from_str(object.spec.get()).ok());
        let releases: BTreeSet<Release> = releases.collect();
        self.releases.borrow_mut().on_list(releases, asked_at);
        Ok(stored)
    }

    /// Learns after a start which versions have served that the list may lack.
    async fn read_uncovered(&self, stored: Option<Stored>) -> Result<(), StoreError> {
        let is_covered = match stored {
            Some(stored) => self.read_changes(stored.resume_after()).await?,
            None => self.is_first_start,
        };
        let complete_since = match stored {
            Some(stored) if is_covered => stored.checkpoint.complete_since,
            None if is_covered => 0,
            _ => clock::millis(),
        };
        slog::info!(self.log, "earlier software versions known"; "is_covered" => is_covered,
            "through" => stored.map(|stored| stored.checkpoint.through),
            "complete_since" => complete_since);
        self.releases.borrow_mut().on_complete(complete_since);
        Ok(())
    }

    /// Reads the changes of the registry after a revision; `false` if the platform has dropped them.
    async fn read_changes(&self, after: Revision) -> Result<bool, StoreError> {
        let mut next = after;
        loop {
            match self.store.changes(CallReason::Release, target::KIND, next).await {
                Ok(changes) => {
                    let mut releases = self.releases.borrow_mut();
                    releases.on_seen(stated(changes.changes.iter().map(|change| &change.object)));
                    if changes.revision <= next || changes.changes.is_empty() {
                        releases.on_changes_read(after, changes.revision.max(next));
                        return Ok(true);
                    }
                    next = changes.revision;
                }
                Err(StoreError::HistoryCompacted) => return Ok(false),
                Err(error) => return Err(error),
            }
        }
    }

    /// Lists the known versions that aren't listed; returns them.
    ///
    /// # Errors
    ///
    /// The failed call of the platform.
    pub async fn record_all(&self) -> Result<Vec<Release>, StoreError> {
        let unrecorded = self.releases.borrow().unrecorded();
        for release in &unrecorded {
            self.record(release).await?;
        }
        Ok(unrecorded)
    }

    /// Lists a version.
    ///
    /// # Errors
    ///
    /// The failed call of the platform.
    pub async fn record(&self, release: &Release) -> Result<(), StoreError> {
        let name = object_name(release);
        match self.store.create(CallReason::Release, release::KIND, &name, release).await {
            Ok(_) | Err(StoreError::Conflict(_)) => {}
            Err(error) => {
                slog::info!(self.log, "software version not listed"; "service" => &release.service,
                    "software" => &release.software, "fault" => %error);
                return Err(error);
            }
        }
        slog::info!(self.log, "software version listed"; "service" => &release.service,
            "software" => &release.software);
        self.releases.borrow_mut().on_recorded(release.clone());
        Ok(())
    }

    /// Advances the checkpoint as far as the registry was watched here. Returns the stored one; `None`
    /// if it must be read.
    ///
    /// # Errors
    ///
    /// The failed call of the platform.
    pub async fn advance(&self, stored: Option<Stored>) -> Result<Option<Stored>, StoreError> {
        let Some(stored) = stored else {
            return self.create_checkpoint().await;
        };
        let mut step = stored.next(self.watched());
        if let Step::ReadChanges { after } = step {
            step = if self.read_changes(after).await? {
                stored.next(self.watched())
            } else {
                Step::Write(self.after_gap(&stored))
            };
        }
        let Step::Write(checkpoint) = step else {
            return Ok(Some(stored));
        };
        self.record_all().await?;
        self.write(stored.revision, checkpoint).await
    }

    fn watched(&self) -> Option<Watched> {
        self.releases.borrow().watched()
    }

    /// The checkpoint after changes of the registry that this instance hasn't seen, and that can't be
    /// read any more.
    fn after_gap(&self, stored: &Stored) -> Checkpoint {
        let complete_since = clock::millis();
        let through = self.watched().map_or(stored.checkpoint.through, |watched| watched.through);
        slog::warn!(self.log, "changes of the targets are no longer known";
            "after" => stored.checkpoint.through, "through" => through,
            "complete_since" => complete_since);
        Checkpoint { complete_since, through }
    }

    async fn create_checkpoint(&self) -> Result<Option<Stored>, StoreError> {
        let Some(watched) = self.watched() else {
            return Ok(None);
        };
        self.record_all().await?;
        let complete_since = if self.is_first_start { 0 } else { clock::millis() };
        let checkpoint = Checkpoint { complete_since, through: watched.through };
        let name = release::CHECKPOINT;
        let result = self.store.create(CallReason::Release, release::KIND, name, &checkpoint).await;
        match result {
            // Another writer has left something else there.
            Err(StoreError::Conflict(Some(object))) if to_stored(&object).is_none() => {
                self.write(object.revision, checkpoint).await
            }
            result => on_written(result, checkpoint),
        }
    }

    async fn write(
        &self,
        revision: Revision,
        checkpoint: Checkpoint,
    ) -> Result<Option<Stored>, StoreError> {
        let (reason, name) = (CallReason::Release, release::CHECKPOINT);
        let write = self.store.replace_at(reason, release::KIND, name, revision, &checkpoint);
        on_written(write.await, checkpoint)
    }

    /// Removes a version from the list.
    pub async fn remove(&self, release: &Release) {
        let name = object_name(release);
        let result = self.store.delete(CallReason::Release, release::KIND, &name, None).await;
        slog::info!(self.log, "software version removed from the list";
            "service" => &release.service, "software" => &release.software,
            "is_removed" => result.is_ok());
        // Listed again by the next call if it has come back meanwhile.
        self.releases.borrow_mut().on_removed(release);
    }
}

/// The checkpoint that is stored after a write.
fn on_written(
    result: Result<Object, StoreError>,
    checkpoint: Checkpoint,
) -> Result<Option<Stored>, StoreError> {
    match result {
        Ok(object) => Ok(Some(Stored { checkpoint, revision: object.revision })),
        // Another instance was faster.
        Err(StoreError::Conflict(object)) => Ok(object.and_then(|object| to_stored(&object))),
        Err(StoreError::NotFound) => Ok(None),
        Err(error) => Err(error),
    }
}

/// The checkpoint that an object holds; `None` for another object, and for one that claims to cover
/// changes after its own write, which no instance says.
fn to_stored(object: &Object) -> Option<Stored> {
    let is_checkpoint = object.name == release::CHECKPOINT;
    let spec: Checkpoint =
        is_checkpoint.then(|| serde_json::from_str(object.spec.get()).ok())??;
    if spec.through >= object.revision {
        return None;
    }
    // The clock of the writer may be ahead.
    let checkpoint =
        Checkpoint { complete_since: spec.complete_since.min(clock::millis()), ..spec };
    Some(Stored { checkpoint, revision: object.revision })
}

/// Name of a version's object on the platform.
fn object_name(release: &Release) -> String {
    let service = hash::bytes(release.service.as_bytes());
    format!("{service:016x}.{:016x}", hash::bytes(release.software.as_bytes()))
}
