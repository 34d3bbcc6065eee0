//! The targets that exist, from what the platform's registry shows.
//!
//! Entries lapse while the platform is away, and come back within seconds of
//! its return; an entry that is missing then means nothing yet. What several
//! instances learn is merged by revision, so the order in which it arrives
//! doesn't matter.

use crate::{TargetId, hash};
use protocol::routing::Target;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// How long entries may take to come back after the platform's return: the
/// platform's word is two seconds, and a little more for the news to arrive.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_300);
/// Parts that two instances compare one by one. Of 3,000 targets a part that
/// differs brings some 50, and the list of digests has half a kilobyte.
pub const DIGEST_BUCKETS: usize = 64;
/// Removals that are remembered, so that late news doesn't bring a target back.
const MOST_REMOVED: usize = 4_096;

#[derive(Clone, Debug)]
struct Row {
    target: Target,
    /// Until when its absence from the registry means nothing; `None` while it
    /// is there.
    missing: Option<Instant>,
}

/// One change, as instances tell it to each other.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Change {
    /// The target stands so.
    Present(Target),
    /// The target is gone as of a revision.
    Gone {
        /// The target.
        id: TargetId,
        /// Revision of its removal.
        revision: u64,
    },
}

/// What the platform's word on the registry changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Changes that were news.
    pub changes: Vec<Change>,
    /// Targets whose entries have just been found missing, which may only be a
    /// lapse: they stand until [`Registry::on_time`] removes them.
    pub missing: Vec<TargetId>,
}

/// All targets known.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    rows: HashMap<TargetId, Row>,
    removed: HashMap<TargetId, u64>,
    revision: u64,
    version: u64,
    /// For each part, the sum of the hashes of what is known in it.
    digests: Vec<u64>,
}

fn bucket(id: &str) -> usize {
    (hash::bytes(id.as_bytes()) % DIGEST_BUCKETS as u64) as usize
}

/// Hash of an entry: what an entry says is a function of its revision.
fn digest_of(id: &str, revision: u64, is_present: bool) -> u64 {
    hash::weight(id.as_bytes(), revision << 1 | u64::from(is_present))
}

impl Registry {
    /// Changes whenever a target does.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Highest revision that any change carried.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Targets that may be sent requests.
    pub fn usable(&self) -> impl Iterator<Item = &Target> {
        self.rows.values().map(|row| &row.target).filter(|target| !target.leaving)
    }

    /// Whether a target is known to leave or to be gone, and may be sent nothing.
    /// One that was never heard of isn't.
    pub fn is_unusable(&self, id: &str) -> bool {
        self.rows.get(id).map_or(self.removed.contains_key(id), |row| row.target.leaving)
    }

    /// What is known of a target, to be told to an instance that knows less.
    pub fn change(&self, id: &str) -> Option<Change> {
        let gone = |revision: &u64| Change::Gone { id: id.to_owned(), revision: *revision };
        let present = self.rows.get(id).map(|row| Change::Present(row.target.clone()));
        present.or_else(|| self.removed.get(id).map(gone))
    }

    /// A target that is known, leaving or not.
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.rows.get(id).map(|row| &row.target)
    }

    /// A number that two instances share if they know the same.
    pub fn digest(&self) -> u64 {
        self.digests.iter().copied().fold(0, u64::wrapping_add)
    }

    /// The same for each part, to be given to [`Registry::differing`].
    pub fn digests(&self) -> Vec<u64> {
        let mut digests = self.digests.clone();
        digests.resize(DIGEST_BUCKETS, 0);
        digests
    }

    /// What is known in the parts whose digests differ, for an instance that has
    /// fallen behind.
    pub fn changes_in_differing_buckets(&self, digests: &[u64]) -> Vec<Change> {
        let own = self.digests();
        let differs = |id: &TargetId| digests.get(bucket(id)) != own.get(bucket(id));
        let present = self.rows.values().map(|row| &row.target);
        let present = present.filter(|target| differs(&target.id));
        let present = present.map(|target| Change::Present(target.clone()));
        let gone = self.removed.iter().filter(|(id, _)| differs(id));
        let gone = gone.map(|(id, revision)| Change::Gone { id: id.clone(), revision: *revision });
        present.chain(gone).collect()
    }

    /// What the digest of a target's part holds of it.
    fn contribution(&self, id: &str) -> u64 {
        let row = self.rows.get(id);
        let present = row.map_or(0, |row| digest_of(id, row.target.revision, true));
        let gone = self.removed.get(id).map_or(0, |revision| digest_of(id, *revision, false));
        present.wrapping_add(gone)
    }

    /// Makes a target's part agree after a change; `before` is its share then.
    fn update_digest(&mut self, id: &str, before: u64) {
        let after = self.contribution(id);
        self.digests.resize(DIGEST_BUCKETS, 0);
        if let Some(digest) = self.digests.get_mut(bucket(id)) {
            *digest = digest.wrapping_sub(before).wrapping_add(after);
        }
    }

    /// Takes in a change; `true` when it was news.
    pub fn on_change(&mut self, change: Change) -> bool {
        let id = match &change {
            Change::Present(target) => target.id.clone(),
            Change::Gone { id, .. } => id.clone(),
        };
        let before = self.contribution(&id);
        let is_news = match change {
            Change::Present(target) => self.on_present(target),
            Change::Gone { id, revision } => self.on_gone(&id, revision),
        };
        self.update_digest(&id, before);
        self.version += u64::from(is_news);
        is_news
    }

    fn on_present(&mut self, target: Target) -> bool {
        self.revision = self.revision.max(target.revision);
        if self.removed.get(&target.id).is_some_and(|removed| *removed >= target.revision) {
            return false;
        }
        match self.rows.get_mut(&target.id) {
            Some(row) if row.target.revision > target.revision => false,
            Some(row) if row.target == target && row.missing.is_none() => false,
            _ => {
                self.removed.remove(&target.id);
                self.rows.insert(target.id.clone(), Row { target, missing: None });
                true
            }
        }
    }

    fn on_gone(&mut self, id: &str, revision: u64) -> bool {
        self.revision = self.revision.max(revision);
        if self.rows.get(id).is_some_and(|row| row.target.revision > revision) {
            return false;
        }
        if self.removed.len() >= MOST_REMOVED {
            self.forget_oldest();
        }
        // Of several removals the latest counts, in whatever order they arrive.
        let known = self.removed.get(id).copied();
        self.removed.insert(id.to_owned(), revision.max(known.unwrap_or(0)));
        self.rows.remove(id).is_some() || known.is_none()
    }

    fn forget_oldest(&mut self) {
        let oldest = self.removed.iter().min_by_key(|(_, revision)| **revision);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            let before = self.contribution(&id);
            self.removed.remove(&id);
            self.update_digest(&id, before);
        }
    }

    /// Takes in the whole registry as of `revision`, read at `now`; `regained` is
    /// since when the platform has answered without a break in which entries lapse.
    pub fn on_list(
        &mut self,
        list: Vec<Target>,
        revision: u64,
        regained: Option<Instant>,
        now: Instant,
    ) -> Delta {
        let present: HashSet<TargetId> = list.iter().map(|target| target.id.clone()).collect();
        let mut learnt = Delta::default();
        for target in list {
            self.on_entry(target, &mut learnt);
        }
        self.revision = self.revision.max(revision);
        let absent = self.rows.keys().filter(|id| !present.contains(*id)).cloned();
        let absent: Vec<TargetId> = absent.collect();
        for id in absent {
            self.on_removed(&id, revision, regained, now, &mut learnt);
        }
        learnt
    }

    /// An entry was read.
    pub fn on_entry(&mut self, target: Target, learnt: &mut Delta) {
        let change = Change::Present(target);
        if self.on_change(change.clone()) {
            learnt.changes.push(change);
        }
    }

    /// An entry was read that names no target to use, as of `revision`.
    pub fn on_invalid(&mut self, id: &str, revision: u64, learnt: &mut Delta) {
        let change = Change::Gone { id: id.to_owned(), revision };
        if self.rows.contains_key(id) && self.on_change(change.clone()) {
            learnt.changes.push(change);
        }
    }

    /// A removal was seen at `now`. Within [`RETURN_TIME`] of the platform's
    /// return it may be a lapse; then it only counts once it has lasted.
    pub fn on_removed(
        &mut self,
        id: &str,
        revision: u64,
        regained: Option<Instant>,
        now: Instant,
        learnt: &mut Delta,
    ) {
        let settled = regained.map(|at| at + REREGISTRATION_GRACE).filter(|settled| now < *settled);
        let Some(row) = self.rows.get_mut(id) else {
            return;
        };
        if row.target.revision > revision {
            return;
        }
        if let Some(settled) = settled {
            if row.missing.replace(row.missing.unwrap_or(settled)).is_none() {
                learnt.missing.push(id.to_owned());
            }
            return;
        }
        let change = Change::Gone { id: id.to_owned(), revision };
        if self.on_change(change.clone()) {
            learnt.changes.push(change);
        }
    }

    /// Removes what has been missing for too long; gives what is news.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<Change> {
        let is_over = |row: &&Row| row.missing.is_some_and(|until| now >= until);
        let over = self.rows.values().filter(is_over);
        let over: Vec<Target> = over.map(|row| row.target.clone()).collect();
        let mut news = Vec::new();
        for target in over {
            // It is gone as of its last known entry: an entry that came back in
            // the meantime has a higher revision and stands.
            let change = Change::Gone { id: target.id, revision: target.revision };
            if self.on_change(change.clone()) {
                news.push(change);
            }
        }
        news
    }
}
