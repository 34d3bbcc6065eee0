//! Data centres whose targets must receive nothing, by order of the operator.
//!
//! Changes arrive from the platform and from other instances, in any order. The one of the highest
//! revision counts, so that no instance returns to an earlier state.

use crate::hash;
use protocol::DataCentreId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// An evacuation was ordered or withdrawn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The data centre; it need not be known to any instance.
    pub data_centre: DataCentreId,
    /// Revision of the platform at which this was true.
    pub revision: u64,
    /// Whether the evacuation is in force.
    pub is_active: bool,
}

/// Digest of what an instance knows, for comparison with other instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Whether the instance knows the evacuations in force.
    pub is_known: bool,
    /// Hash of all changes.
    pub hash: u64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    revision: u64,
    is_active: bool,
}

/// All known evacuations, also withdrawn ones.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: BTreeMap<DataCentreId, Entry>,
    is_known: bool,
}

impl Table {
    /// Whether the evacuations in force were received since the start.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Records that all evacuations in force have been received.
    pub fn set_known(&mut self) {
        self.is_known = true;
    }

    /// Applies a change; `true` if it is new.
    pub fn on_change(&mut self, change: &Change) -> bool {
        let known = self.entries.get(&change.data_centre);
        if known.is_some_and(|known| known.revision >= change.revision) {
            return false;
        }
        let entry = Entry { revision: change.revision, is_active: change.is_active };
        self.entries.insert(change.data_centre.clone(), entry);
        true
    }

    /// Applies the complete list of evacuations in force, each with the revision of its object, as
    /// of `revision`. Returns the changes that are new.
    pub fn on_list(&mut self, listed: Vec<(DataCentreId, u64)>, revision: u64) -> Vec<Change> {
        let withdrawn: Vec<DataCentreId> = self
            .entries
            .iter()
            .filter(|(name, entry)| {
                entry.is_active && listed.iter().all(|(listed, _)| listed != *name)
            })
            .map(|(name, _)| name.clone())
            .collect();
        let active = listed.into_iter().map(|(data_centre, revision)| Change {
            data_centre,
            revision,
            is_active: true,
        });
        let withdrawn = withdrawn.into_iter().map(|data_centre| Change {
            data_centre,
            revision,
            is_active: false,
        });
        let changes: Vec<Change> =
            active.chain(withdrawn).filter(|change| self.on_change(change)).collect();
        self.is_known = true;
        changes
    }

    /// Data centres that are being evacuated.
    pub fn active(&self) -> BTreeSet<DataCentreId> {
        let active = self.entries.iter().filter(|(_, entry)| entry.is_active);
        active.map(|(name, _)| name.clone()).collect()
    }

    /// The latest change of each data centre, for an instance that is out of date.
    pub fn changes(&self) -> Vec<Change> {
        let change = |(name, entry): (&DataCentreId, &Entry)| Change {
            data_centre: name.clone(),
            revision: entry.revision,
            is_active: entry.is_active,
        };
        self.entries.iter().map(change).collect()
    }

    /// Digest of what is known; equal on instances that know the same.
    pub fn digest(&self) -> Digest {
        let hashes = self.entries.iter().map(|(name, entry)| {
            hash::weight(name.as_bytes(), entry.revision << 1 | u64::from(entry.is_active))
        });
        Digest { is_known: self.is_known, hash: hashes.fold(0, u64::wrapping_add) }
    }
}
