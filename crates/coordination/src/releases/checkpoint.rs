//! How far the list of versions covers the platform's registry of targets.
//!
//! A checkpoint says that every version which was registered up to a revision is listed. What was
//! registered after that revision is in the platform's history of changes, so an instance that starts
//! reads the list and then these changes. If the platform has dropped them, versions may have been
//! missed, and the new checkpoint says from which time on that can't have happened.
//!
//! ```
//! use coordination::releases::{Checkpoint, Step, Stored, Watched};
//!
//! let checkpoint = Checkpoint { through: 10, ..Checkpoint::default() };
//! let stored = Stored { checkpoint, revision: 14 };
//! assert_eq!(stored.next(Some(Watched { from: 8, through: 10 })), Step::Wait, "nothing has changed");
//! let later = Checkpoint { through: 20, ..checkpoint };
//! assert_eq!(stored.next(Some(Watched { from: 8, through: 20 })), Step::Write(later));
//! let after_gap = Watched { from: 18, through: 20 };
//! assert_eq!(stored.next(Some(after_gap)), Step::ReadChanges { after: 10 });
//! ```

use protocol::Millis;
use serde::{Deserialize, Serialize};

/// How far the list of versions covers the registry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Unix time in milliseconds from which on every version that served is listed, as long as its
    /// streams may be taken up; 0 if that holds for all time.
    pub complete_since: Millis,
    /// Revision of the platform up to which all registered versions are listed.
    pub through: u64,
    /// Longest time in milliseconds for which the callers of a stream may return; 0 if unknown.
    #[serde(default)]
    pub lifetime_ms: Millis,
}

/// A checkpoint as it is stored on the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stored {
    /// The checkpoint.
    pub checkpoint: Checkpoint,
    /// Revision of its object.
    pub revision: u64,
}

/// Revisions between which an instance has seen all changes of the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watched {
    /// Revision from which on it has seen them.
    pub from: u64,
    /// Revision up to which it has seen them.
    pub through: u64,
}

/// What an instance does to advance the checkpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing yet.
    Wait,
    /// Reads the changes of the registry after a revision, since its own watch began later.
    ReadChanges {
        /// The revision.
        after: u64,
    },
    /// Writes this checkpoint once all versions that it knows are listed.
    Write(Checkpoint),
}

impl Stored {
    /// Revision after which changes of the registry must be read. If nothing else was written between
    /// the checkpoint's revision and its own write, that is its write, which is in the history for
    /// longer.
    pub fn resume_after(&self) -> u64 {
        let through = self.checkpoint.through;
        if self.revision == through.saturating_add(1) { self.revision } else { through }
    }

    /// The next step of an instance that has seen the changes of `watched`.
    pub fn next(&self, watched: Option<Watched>) -> Step {
        let Some(watched) = watched.filter(|watched| watched.through > self.resume_after()) else {
            return Step::Wait;
        };
        if watched.from > self.resume_after() {
            return Step::ReadChanges { after: self.resume_after() };
        }
        Step::Write(Checkpoint { through: watched.through, ..self.checkpoint })
    }
}
