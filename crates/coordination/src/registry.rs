//! The set of targets, from the platform's registry.
//!
//! Entries expire while the platform is unavailable and are renewed within seconds of its return,
//! so an entry that is missing then may still be valid. Changes from several instances are merged
//! by revision, so their order doesn't matter.

mod change;
mod digest;
mod ended;
mod entry;

pub use change::{Change, Delta, Page};

use crate::TargetId;
use crate::releases::Release;
use digest::{bucket, digest_of, digest_of_target};
use ended::Ended;
use entry::{Entry, Removal};
use protocol::routing::{Origin, Target};
use protocol::{DataCentreId, SoftwareVersion};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

/// How long entries may take to be renewed after the platform's return: two seconds by the
/// platform's guarantee, plus the delay of updates.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_300);
/// Number of buckets that two instances compare by digest. A differing bucket costs about 50
/// entries of 3,000 targets; the list of digests takes half a kilobyte.
pub const DIGEST_BUCKETS: usize = 64;
/// Cap on remembered removals, which keep late updates from restoring a target.
const MAX_REMOVED: usize = 4_096;

/// All known targets.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: HashMap<TargetId, Entry>,
    removed: HashMap<TargetId, Removal>,
    ended: Ended,
    /// Earliest [`Entry::missing_until`]; `None` if no entry is missing.
    first_expiry: Option<Instant>,
    revision: u64,
    complete_through: u64,
    version: u64,
    /// Sum of the entries' hashes, by bucket.
    digests: Vec<u64>,
    /// Data centres whose targets must receive nothing.
    evacuated: BTreeSet<DataCentreId>,
}

impl Registry {
    /// Incremented whenever a target changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Highest revision of any change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Revision up to which all changes are known; 0 until the whole registry was received.
    pub fn complete_through(&self) -> u64 {
        self.complete_through
    }

    /// All changes up to `revision` are known.
    pub fn set_complete_through(&mut self, revision: u64) {
        self.complete_through = self.complete_through.max(revision);
    }

    /// Targets that may be sent requests.
    pub fn usable(&self) -> impl Iterator<Item = &Target> {
        self.staying().filter(|target| !self.evacuated.contains(&target.data_centre))
    }

    /// Targets that don't leave, also those of evacuated data centres.
    pub fn staying(&self) -> impl Iterator<Item = &Target> {
        self.entries.values().map(|entry| &entry.target).filter(|target| !target.leaving)
    }

    /// Whether any target of a service states its software version.
    pub fn states_software(&self, service: &str) -> bool {
        let mut targets = self.entries.values().map(|entry| &entry.target);
        targets.any(|target| target.service == service && target.software.is_some())
    }

    /// The version of a service's software if all its targets state the same, those that were
    /// removed within the last minute included.
    pub fn only_software(&self, service: &str) -> Option<&SoftwareVersion> {
        let present = self.entries.values().map(|entry| &entry.target);
        let present = present.filter(|target| target.service == service);
        let present = present.map(|target| target.software.as_ref());
        let mut versions = present.chain(self.ended.versions(service));
        let first = versions.next()??;
        versions.all(|version| version == Some(first)).then_some(first)
    }

    /// The versions that targets state.
    pub fn releases(&self) -> BTreeSet<Release> {
        self.entries.values().map(|entry| Release::of_target(&entry.target)).collect()
    }

    /// The versions of targets that ended within the last minute.
    pub fn ended_releases(&self) -> Vec<Release> {
        self.ended.releases().collect()
    }

    /// What a known target runs.
    fn ran(&self, id: &str) -> Option<Origin> {
        self.entries.get(id).map(Entry::ran)
    }

    /// Whether a target is known to be leaving, evacuated or removed; `false` if it is unknown.
    pub fn is_unusable(&self, id: &str) -> bool {
        let Some(entry) = self.entries.get(id) else {
            return self.removed.contains_key(id);
        };
        entry.target.leaving || self.evacuated.contains(&entry.target.data_centre)
    }

    /// Replaces the set of evacuated data centres, whose targets are unusable.
    pub fn set_evacuated(&mut self, evacuated: BTreeSet<DataCentreId>) {
        self.version += u64::from(evacuated != self.evacuated);
        self.evacuated = evacuated;
    }

    /// Latest change of a target, for an instance that is out of date; `None` if it is unknown.
    pub fn change(&self, id: &str) -> Option<Change> {
        let present = self.entries.get(id).map(|entry| Change::Present(entry.target.clone()));
        present.or_else(|| self.removed.get(id).map(|removal| removal.to_change(id)))
    }

    /// A known target, leaving or not.
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.entries.get(id).map(|entry| &entry.target)
    }

    /// Digest of the whole registry; equal on instances that know the same.
    pub fn digest(&self) -> u64 {
        self.digests.iter().copied().fold(0, u64::wrapping_add)
    }

    /// Digest by bucket, for [`Registry::changes_in_differing_buckets`] of another instance.
    pub fn digests(&self) -> Vec<u64> {
        let mut digests = self.digests.clone();
        digests.resize(DIGEST_BUCKETS, 0);
        digests
    }

    /// Latest changes in the buckets whose digests differ, for an instance that is out of date.
    pub fn changes_in_differing_buckets(&self, digests: &[u64]) -> Vec<Change> {
        let local = self.digests();
        self.changes_in(|bucket| digests.get(bucket) != local.get(bucket))
    }

    /// Whole buckets whose digests differ, from bucket `first` on, until there are at least `limit`
    /// changes.
    pub fn page(&self, digests: &[u64], first: usize, limit: usize) -> Page {
        let local = self.digests();
        let differing: Vec<usize> = (first..DIGEST_BUCKETS)
            .filter(|bucket| digests.get(*bucket) != local.get(*bucket))
            .collect();
        let mut sizes = vec![0_usize; DIGEST_BUCKETS];
        let ids = self.entries.keys().chain(self.removed.keys());
        ids.for_each(|id| sizes[bucket(id)] += 1);
        let mut size = 0;
        let mut end = differing.len();
        for (index, bucket) in differing.iter().enumerate() {
            size += sizes[*bucket];
            if size >= limit {
                end = index + 1;
                break;
            }
        }
        let (included, rest) = differing.split_at(end);
        let is_included = |bucket: usize| included.binary_search(&bucket).is_ok();
        let next = rest.first().map(|bucket| *bucket as u64);
        Page { changes: self.changes_in(is_included), next }
    }

    /// The oldest changes after `revision`, at least `limit` of them if there are so many.
    pub fn changes_since(&self, revision: u64, limit: usize) -> Page {
        let present = self.entries.values().map(|entry| entry.target.revision);
        let removed = self.removed.values().map(|removal| removal.revision);
        let mut revisions: Vec<u64> = present.chain(removed).collect();
        revisions.retain(|known| *known > revision);
        let last = if revisions.len() > limit {
            Some(*revisions.select_nth_unstable(limit.saturating_sub(1)).1)
        } else {
            None
        };
        let is_included = |known: u64| known > revision && last.is_none_or(|last| known <= last);
        let present = self.entries.values().map(|entry| &entry.target);
        let present = present.filter(|target| is_included(target.revision));
        let present = present.map(|target| Change::Present(target.clone()));
        let removals = self.removed.iter().filter(|(_, known)| is_included(known.revision));
        let removals = removals.map(|(id, removal)| removal.to_change(id));
        Page { changes: present.chain(removals).collect(), next: last }
    }

    /// Latest changes in some buckets.
    fn changes_in(&self, is_included: impl Fn(usize) -> bool) -> Vec<Change> {
        let differs = |id: &TargetId| is_included(bucket(id));
        let present = self.entries.values().map(|entry| &entry.target);
        let present = present.filter(|target| differs(&target.id));
        let present = present.map(|target| Change::Present(target.clone()));
        let removals = self.removed.iter().filter(|(id, _)| differs(id));
        let removals = removals.map(|(id, removal)| removal.to_change(id));
        present.chain(removals).collect()
    }

    /// A target's part of its bucket's digest.
    fn contribution(&self, id: &str) -> u64 {
        let entry = self.entries.get(id);
        let present = entry.map_or(0, |entry| digest_of_target(&entry.target));
        let removal = self.removed.get(id);
        let removal = removal.map_or(0, |removal| digest_of(id, removal.revision, false));
        present.wrapping_add(removal)
    }

    /// Updates a bucket's digest after a change of a target, whose contribution was `before`.
    fn update_digest(&mut self, id: &str, before: u64) {
        let after = self.contribution(id);
        self.digests.resize(DIGEST_BUCKETS, 0);
        if let Some(digest) = self.digests.get_mut(bucket(id)) {
            *digest = digest.wrapping_sub(before).wrapping_add(after);
        }
    }

    /// Applies a change; `true` if it is new.
    pub fn on_change(&mut self, change: Change) -> bool {
        let id = match &change {
            Change::Present(target) => target.id.clone(),
            Change::Gone { id, .. } => id.clone(),
        };
        let before = self.contribution(&id);
        let is_new = match change {
            Change::Present(target) => self.on_present(target),
            Change::Gone { id, revision, ran } => self.on_gone(&id, revision, ran),
        };
        self.update_digest(&id, before);
        self.version += u64::from(is_new);
        is_new
    }

    fn on_present(&mut self, target: Target) -> bool {
        self.revision = self.revision.max(target.revision);
        if self.removed.get(&target.id).is_some_and(|removed| removed.revision >= target.revision) {
            return false;
        }
        match self.entries.get_mut(&target.id) {
            Some(entry) if entry.target.revision > target.revision => false,
            Some(entry) if entry.target == target && entry.missing_until.is_none() => false,
            Some(entry) if entry.lacks_only_software(&target) => {
                entry.missing_until = None;
                false
            }
            _ => {
                self.removed.remove(&target.id);
                let software = target.software.clone();
                let entry = Entry { target, missing_until: None };
                let before = self.entries.insert(entry.target.id.clone(), entry);
                let before = before.filter(|before| before.target.software != software);
                before.into_iter().for_each(|before| self.ended.insert(Some(before.ran())));
                true
            }
        }
    }

    fn on_gone(&mut self, id: &str, revision: u64, ran: Option<Origin>) -> bool {
        self.revision = self.revision.max(revision);
        if self.entries.get(id).is_some_and(|entry| entry.target.revision > revision) {
            return false;
        }
        if self.removed.len() >= MAX_REMOVED {
            self.evict_oldest_removal();
        }
        let entry = self.entries.remove(id);
        let known = self.removed.get(id).cloned();
        let is_new = entry.is_some() || known.is_none();
        let ran = entry.map(|entry| entry.ran()).or(ran);
        let ran = ran.or_else(|| known.as_ref()?.ran.clone());
        if is_new {
            self.ended.insert(ran.clone());
        }
        // Of several removals the latest counts, whatever their order.
        let revision = known.map_or(revision, |known| known.revision.max(revision));
        self.removed.insert(id.to_owned(), Removal { revision, ran });
        is_new
    }

    fn evict_oldest_removal(&mut self) {
        let oldest = self.removed.iter().min_by_key(|(_, removal)| removal.revision);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            let before = self.contribution(&id);
            self.removed.remove(&id);
            self.update_digest(&id, before);
        }
    }

    /// Applies a whole listing as of `revision`, read at `now`; `available_since` is when the
    /// platform's current uptime began.
    pub fn on_list(
        &mut self,
        list: Vec<Target>,
        revision: u64,
        available_since: Option<Instant>,
        now: Instant,
    ) -> Delta {
        let present: HashSet<TargetId> = list.iter().map(|target| target.id.clone()).collect();
        let mut delta = Delta::default();
        for target in list {
            self.on_entry(target, &mut delta);
        }
        self.revision = self.revision.max(revision);
        self.set_complete_through(revision);
        let absent = self.entries.keys().filter(|id| !present.contains(*id)).cloned();
        let absent: Vec<TargetId> = absent.collect();
        for id in absent {
            self.on_removed(&id, revision, available_since, now, &mut delta);
        }
        delta
    }

    /// An entry was read.
    pub fn on_entry(&mut self, target: Target, delta: &mut Delta) {
        let is_unknown =
            !self.entries.contains_key(&target.id) && !self.removed.contains_key(&target.id);
        let change = Change::Present(target);
        if self.on_change(change.clone()) {
            let list = if is_unknown { &mut delta.added } else { &mut delta.changes };
            list.push(change);
        }
    }

    /// An entry was read that describes no usable target, as of `revision`.
    pub fn on_invalid(&mut self, id: &str, revision: u64, delta: &mut Delta) {
        let change = Change::Gone { id: id.to_owned(), revision, ran: self.ran(id) };
        if self.entries.contains_key(id) && self.on_change(change.clone()) {
            delta.changes.push(change);
        }
    }

    /// A removal was observed at `now`. Within [`REREGISTRATION_GRACE`] of the platform's return
    /// it may be an expiry, and then it counts only once it has lasted.
    pub fn on_removed(
        &mut self,
        id: &str,
        revision: u64,
        available_since: Option<Instant>,
        now: Instant,
        delta: &mut Delta,
    ) {
        let grace_until = available_since
            .map(|at| at + REREGISTRATION_GRACE)
            .filter(|grace_until| now < *grace_until);
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if entry.target.revision > revision {
            return;
        }
        if let Some(grace_until) = grace_until {
            let first = self.first_expiry.map_or(grace_until, |first| first.min(grace_until));
            self.first_expiry = Some(first);
            if entry.missing_until.replace(entry.missing_until.unwrap_or(grace_until)).is_none() {
                delta.missing.push(id.to_owned());
            }
            return;
        }
        let change = Change::Gone { id: id.to_owned(), revision, ran: self.ran(id) };
        if self.on_change(change.clone()) {
            delta.changes.push(change);
        }
    }

    /// Removes entries that have been missing for too long; returns the new changes. To be called
    /// regularly.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<Change> {
        self.ended.remove_expired(now);
        if self.first_expiry.is_none_or(|first| now < first) {
            return Vec::new();
        }
        let has_expired = |entry: &&Entry| entry.missing_until.is_some_and(|until| now >= until);
        let expired = self.entries.values().filter(has_expired);
        let expired: Vec<Target> = expired.map(|entry| entry.target.clone()).collect();
        let mut changes = Vec::new();
        for target in expired {
            // Removed at the revision of its last known entry: a renewed entry has a higher one
            // and remains.
            let Target { id, revision, .. } = target;
            let change = Change::Gone { revision, ran: self.ran(&id), id };
            if self.on_change(change.clone()) {
                changes.push(change);
            }
        }
        self.first_expiry = self.entries.values().filter_map(|entry| entry.missing_until).min();
        changes
    }
}
