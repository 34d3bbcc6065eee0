//! The list of software versions on the platform, with its checkpoint.

mod keeper;

pub use keeper::{CLEANUP_INTERVAL, Keeper};

use super::call_reason::CallReason;
use super::store::PlatformStore;
use crate::clock;
use coordination::hash;
use coordination::releases::{Checkpoint, Log, Release, Step, Stored, Watched};
use platform::store::{Changes, Listing, Object, Revision, StoreError};
use platform::{release, target};
use protocol::Millis;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;

/// Handles the whole registry, from which a watch starts.
pub fn on_registry(releases: &RefCell<Log>, listing: &Listing) {
    let mut releases = releases.borrow_mut();
    releases.on_seen(listing.objects.iter().filter_map(stated));
    releases.on_watched(None, listing.revision);
}

/// Handles changes of the registry that were watched since a revision.
pub fn on_changes(releases: &RefCell<Log>, changes: &Changes, since: Revision) {
    let mut releases = releases.borrow_mut();
    add(&mut releases, changes);
    releases.on_watched(Some(since), changes.revision);
}

fn add(releases: &mut Log, changes: &Changes) {
    let (removed, present): (Vec<_>, Vec<_>) =
        changes.changes.iter().partition(|change| change.removed);
    releases.on_seen(present.iter().filter_map(|change| stated(&change.object)));
    releases.on_ended(removed.iter().filter_map(|change| stated(&change.object)));
}

/// The version that an entry of the registry states; `None` if it names no target.
fn stated(object: &Object) -> Option<Release> {
    let target = target::decode(&object.name, object.revision, object.spec.get()).ok()?;
    Some(Release::of_target(&target))
}

/// Calls of the platform about the list.
pub struct List<'a> {
    /// The platform.
    pub store: &'a PlatformStore,
    /// What this instance knows of the versions.
    pub releases: &'a RefCell<Log>,
    /// Logger of this instance.
    pub log: &'a slog::Logger,
    /// Whether the whole system starts for the first time, so that nothing served before.
    pub is_first_start: bool,
    /// Longest time for which the callers of a stream may return, as far as this instance knows.
    pub lifetime: Duration,
}

impl List<'_> {
    /// Reads the list, and unless it is known here which versions have served, the changes of the
    /// registry that it doesn't cover yet. Returns the checkpoint; `None` if there is none.
    ///
    /// # Errors
    ///
    /// The failed call of the platform.
    pub async fn read(&self) -> Result<Option<Stored>, StoreError> {
        let is_listed = self.releases.borrow().is_listed();
        self.read_through(!is_listed).await
    }

    /// Reads from the platform what may have changed since the last call: afterwards all versions
    /// are known that were registered before this call, unless the platform has dropped changes.
    ///
    /// # Errors
    ///
    /// The failed call of the platform.
    pub async fn refresh(&self) -> Result<(), StoreError> {
        let asked_at = clock::now();
        let covered = self.releases.borrow().covered_through(asked_at);
        if let Some(after) = covered
            && let Some(through) = self.read_changes(after, None).await?
        {
            self.releases.borrow_mut().on_covered(through, asked_at);
            return Ok(());
        }
        self.read_through(true).await.map(drop)
    }

    /// Reads the list, and the changes of the registry that it doesn't cover if `reads_changes`.
    async fn read_through(&self, reads_changes: bool) -> Result<Option<Stored>, StoreError> {
        // Taken before the call, since the list is no newer than that.
        let asked_at = clock::now();
        let recorded = self.releases.borrow().recorded().clone();
        let listing = self.store.list_all(CallReason::Release, release::KIND).await?;
        let (objects, revision) = (listing.objects, listing.revision);
        let stored = objects.iter().find_map(to_stored);
        let through = match reads_changes {
            true => self.read_uncovered(stored, revision).await?,
            false => None,
        };
        let listed = objects.iter().filter(|object| object.name != release::CHECKPOINT);
        let listed = listed.filter_map(|object| serde_json::from_str(object.spec.get()).ok());
        let listed: BTreeSet<Release> = listed.collect();
        let mut releases = self.releases.borrow_mut();
        releases.on_list(listed, &recorded, asked_at);
        let lifetime_ms = stored.map_or(0, |stored| stored.checkpoint.lifetime_ms);
        if !releases.is_listed() {
            let complete_since = self.complete_since(stored, through.is_some());
            releases.on_complete(complete_since, lifetime_ms);
        } else if let Some(stored) = stored.filter(|_| through.is_some() && !releases.has_read()) {
            // So far only another instance has said so.
            releases.on_complete(stored.checkpoint.complete_since, lifetime_ms);
        }
        if let Some(through) = through {
            releases.on_covered(through, asked_at);
        }
        Ok(stored)
    }

    /// Reads the checkpoint; `None` if there is none.
    ///
    /// # Errors
    ///
    /// The failed call of the platform.
    pub async fn read_checkpoint(&self) -> Result<Option<Stored>, StoreError> {
        let name = release::CHECKPOINT;
        let object = self.store.get(CallReason::Release, release::KIND, name).await?;
        Ok(object.and_then(|object| to_stored(&object)))
    }

    /// Since when all versions are known that have served, after the list was read, and the
    /// changes that it doesn't cover if `is_covered`.
    fn complete_since(&self, stored: Option<Stored>, is_covered: bool) -> Millis {
        let complete_since = match stored {
            Some(stored) if is_covered => stored.checkpoint.complete_since,
            None if self.is_first_start => 0,
            _ => clock::millis(),
        };
        slog::info!(self.log, "earlier software versions known"; "is_covered" => is_covered,
            "through" => stored.map(|stored| stored.checkpoint.through),
            "complete_since" => complete_since);
        complete_since
    }

    /// Reads the changes of the registry that the list of `revision` doesn't cover. Returns the
    /// revision up to which all are known; `None` if that isn't known.
    async fn read_uncovered(
        &self,
        stored: Option<Stored>,
        revision: Revision,
    ) -> Result<Option<Revision>, StoreError> {
        let was_listed = self.releases.borrow().was_listed();
        match stored {
            Some(stored) => self.read_changes(stored.resume_after(), Some(revision)).await,
            // No checkpoint was written since the first start.
            None if self.is_first_start && was_listed => self.read_changes(0, Some(revision)).await,
            None => Ok(None),
        }
    }

    /// Reads the changes of the registry after a revision, up to `until` at least, or all if that
    /// is `None`. Returns the revision that they reach; `None` if the platform has dropped them.
    async fn read_changes(
        &self,
        after: Revision,
        until: Option<Revision>,
    ) -> Result<Option<Revision>, StoreError> {
        let mut next = after;
        loop {
            match self.store.changes(CallReason::Release, target::KIND, next).await {
                Ok(changes) => {
                    let mut releases = self.releases.borrow_mut();
                    add(&mut releases, &changes);
                    let is_empty = changes.changes.is_empty() && changes.undecodable.is_empty();
                    let is_enough = until.is_some_and(|until| changes.revision >= until);
                    if changes.revision <= next || is_empty || is_enough {
                        let through = changes.revision.max(next);
                        releases.on_changes_read(after, through);
                        return Ok(Some(through));
                    }
                    next = changes.revision;
                }
                Err(StoreError::HistoryCompacted) => return Ok(None),
                Err(error) => return Err(error),
            }
        }
    }

    /// Lists the known versions that aren't listed, at most `limit` of them; returns those listed and
    /// the revision of the last one.
    ///
    /// # Errors
    ///
    /// The failed call of the platform.
    pub async fn record_some(&self, limit: usize) -> Result<(Vec<Release>, Revision), StoreError> {
        let mut unrecorded = self.releases.borrow().unrecorded();
        unrecorded.truncate(limit);
        let mut last = 0;
        for release in &unrecorded {
            last = self.record(release).await?;
        }
        Ok((unrecorded, last))
    }

    /// Lists a version; returns the revision of its object, 0 if that isn't known.
    ///
    /// # Errors
    ///
    /// The failed call of the platform.
    pub async fn record(&self, release: &Release) -> Result<Revision, StoreError> {
        let name = object_name(release);
        let result = self.store.create(CallReason::Release, release::KIND, &name, release).await;
        let (is_new, revision) = match result {
            Ok(object) => (true, object.revision),
            Err(StoreError::Conflict(object)) => {
                (false, object.map_or(0, |object| object.revision))
            }
            Err(error) => {
                slog::info!(self.log, "software version not listed"; "service" => &release.service,
                    "software" => &release.software, "fault" => %error);
                return Err(error);
            }
        };
        slog::info!(self.log, "software version listed"; "service" => &release.service,
            "software" => &release.software, "is_new" => is_new);
        self.releases.borrow_mut().on_recorded(release.clone());
        Ok(revision)
    }

    /// Advances the checkpoint as far as the registry was watched here, if all versions seen there
    /// are listed. Returns the stored one; `None` if it must be read.
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
            step = if self.read_changes(after, None).await?.is_some() {
                stored.next(self.watched())
            } else {
                Step::Write(self.after_gap(&stored))
            };
        }
        match step {
            Step::Write(checkpoint) if self.has_listed_all() => {
                self.write(stored.revision, checkpoint).await
            }
            _ => Ok(Some(stored)),
        }
    }

    fn watched(&self) -> Option<Watched> {
        self.releases.borrow().watched()
    }

    fn has_listed_all(&self) -> bool {
        self.releases.borrow().unrecorded().is_empty()
    }

    /// The checkpoint after changes of the registry that this instance hasn't seen, and that can't
    /// be read any more.
    fn after_gap(&self, stored: &Stored) -> Checkpoint {
        let complete_since = clock::millis();
        let through = self.watched().map_or(stored.checkpoint.through, |watched| watched.through);
        slog::warn!(self.log, "changes of the targets are no longer known";
            "after" => stored.checkpoint.through, "through" => through,
            "complete_since" => complete_since);
        Checkpoint { complete_since, through, ..stored.checkpoint }
    }

    async fn create_checkpoint(&self) -> Result<Option<Stored>, StoreError> {
        let complete_since = self.releases.borrow().complete_since();
        let (Some(watched), Some(complete_since)) = (self.watched(), complete_since) else {
            return Ok(None);
        };
        if !self.has_listed_all() {
            return Ok(None);
        }
        let through = watched.through;
        let checkpoint =
            self.with_lifetime(Checkpoint { complete_since, through, ..Checkpoint::default() });
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
        let checkpoint = self.with_lifetime(checkpoint);
        let (reason, name) = (CallReason::Release, release::CHECKPOINT);
        let write = self.store.replace_at(reason, release::KIND, name, revision, &checkpoint);
        on_written(write.await, checkpoint)
    }

    fn with_lifetime(&self, checkpoint: Checkpoint) -> Checkpoint {
        let lifetime_ms = checkpoint.lifetime_ms.max(self.lifetime.as_millis() as Millis);
        Checkpoint { lifetime_ms, ..checkpoint }
    }

    /// Removes a version from the list. It stays known here if that may have failed.
    ///
    /// # Errors
    ///
    /// The failed call of the platform.
    pub async fn remove(&self, release: &Release) -> Result<(), StoreError> {
        let name = object_name(release);
        let result = self.store.delete(CallReason::Release, release::KIND, &name, None).await;
        slog::info!(self.log, "software version removed from the list";
            "service" => &release.service, "software" => &release.software,
            "is_removed" => result.is_ok());
        // Listed again by the next round if it has come back meanwhile.
        result.map(|()| self.releases.borrow_mut().on_removed(release))
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
    let complete_since = spec.complete_since.min(clock::millis());
    Some(Stored { checkpoint: Checkpoint { complete_since, ..spec }, revision: object.revision })
}

/// Name of a version's object on the platform.
fn object_name(release: &Release) -> String {
    let service = hash::bytes(release.service.as_bytes());
    format!("{service:016x}.{:016x}", hash::bytes(release.software.as_bytes()))
}
