//! What the registry keeps of a target, registered or removed.

use super::Change;
use protocol::routing::{Origin, Target};
use std::time::Instant;

/// A target that is registered, or was a short time ago.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) target: Target,
    /// Until when its absence from the registry may be an expiry; `None` while it is present.
    pub(super) missing_until: Option<Instant>,
}

impl Entry {
    /// What the target runs.
    pub(super) fn ran(&self) -> Origin {
        let Target { service, software, .. } = &self.target;
        Origin { service: service.clone(), software: software.clone() }
    }

    /// Whether `target` is the same entry without its software version, from an earlier build.
    pub(super) fn lacks_only_software(&self, target: &Target) -> bool {
        let software = &self.target.software;
        software.is_some()
            && target.software.is_none()
            && Target { software: software.clone(), ..target.clone() } == self.target
    }
}

/// A target that was removed.
#[derive(Clone, Debug)]
pub(super) struct Removal {
    pub(super) revision: u64,
    /// What the target ran; `None` if unknown.
    pub(super) ran: Option<Origin>,
}

impl Removal {
    pub(super) fn to_change(&self, id: &str) -> Change {
        Change::Gone { id: id.to_owned(), revision: self.revision, ran: self.ran.clone() }
    }
}
