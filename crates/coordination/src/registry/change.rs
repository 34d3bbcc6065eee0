//! Changes of the registry, as instances exchange them.

use crate::TargetId;
use protocol::routing::{Origin, Target};

/// A change that instances exchange.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Change {
    /// The target as registered.
    Present(Target),
    /// The target was removed at a revision.
    Gone {
        /// Name of the target.
        id: TargetId,
        /// Revision of the removal.
        revision: u64,
        /// What it ran; `None` if unknown, or from an earlier build.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        ran: Option<Origin>,
    },
}

/// Changes by one reading of the platform's registry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Changes that are new, for a broadcast.
    pub changes: Vec<Change>,
    /// Targets that were unknown before. Nothing goes wrong while others don't know them.
    pub added: Vec<Change>,
    /// Targets whose entries were just found missing, possibly by expiry; they remain until
    /// [`Registry::remove_expired`] removes them.
    pub missing: Vec<TargetId>,
}

/// Latest changes of some buckets, for an instance that fetches many.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Changes in the buckets of the page.
    pub changes: Vec<Change>,
    /// From where the next page continues, a bucket or a revision; `None` after the last one.
    pub next: Option<u64>,
}
