//! Where a stream that has begun may go on.
//!
//! Targets of several software versions may serve side by side, and what two versions generate
//! doesn't fit together. A stream whose version is unknown goes on only where its service has no
//! versions, or where all that it may have begun at state the same one; see
//! [`Registry::only_software`](crate::registry::Registry::only_software).
//!
//! ```
//! use coordination::continuation::{Continuation, of_stream};
//! use protocol::routing::Origin;
//!
//! let mut origin = Origin { service: "llm".into(), software: Some("v1".into()) };
//! assert_eq!(of_stream(&origin, false), Continuation::AtVersion("v1".into()));
//! origin.software = None;
//! assert_eq!(of_stream(&origin, true), Continuation::Nowhere);
//! ```

use protocol::SoftwareVersion;
use protocol::routing::{Origin, Target};

/// Where a stream may go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Continuation {
    /// At any target of its service.
    Anywhere,
    /// At the targets of a software version.
    AtVersion(SoftwareVersion),
    /// Nowhere, as it isn't known which version began it.
    Nowhere,
}

impl Continuation {
    /// Whether the stream may go on at a target of its service.
    pub fn allows(&self, software: Option<&str>) -> bool {
        match self {
            Continuation::Anywhere => true,
            Continuation::AtVersion(version) => software == Some(version),
            Continuation::Nowhere => false,
        }
    }
}

/// Where a stream may go on by what is known of its beginning, and by whether its service has
/// versions.
pub fn of_stream(origin: &Origin, has_versions: bool) -> Continuation {
    match &origin.software {
        Some(version) => Continuation::AtVersion(version.clone()),
        None if has_versions => Continuation::Nowhere,
        None => Continuation::Anywhere,
    }
}

/// Whether a run at a target of this service and version may go on with a stream. `None` stands for
/// an unknown origin, or an unknown version.
pub fn allows(
    origin: Option<&Origin>,
    service: &str,
    software: Option<&str>,
    has_versions: bool,
) -> bool {
    match origin {
        Some(origin) if origin.service == service => {
            of_stream(origin, has_versions).allows(software)
        }
        Some(_) => false,
        None => !has_versions,
    }
}

/// Version of a run on `target`, which stated `at_grant` when the run was granted; that is `None` if
/// the target wasn't known then. Returns `None` if it states another version now: the process that runs
/// may be of either. A target that is gone can't have started again.
pub fn version_of_run(
    at_grant: Option<Option<&SoftwareVersion>>,
    target: Option<&Target>,
) -> Option<SoftwareVersion> {
    let now = target.map(|target| target.software.as_ref());
    match (at_grant, now) {
        (Some(at_grant), Some(now)) => at_grant.filter(|_| at_grant == now).cloned(),
        (known, None) | (None, known) => known.flatten().cloned(),
    }
}
