//! Whether the route of accepted work was removed.
//!
//! A configuration that lacks a route is evidence of its removal only if it is later than one that
//! had it: an instance that has just started may know an earlier one.
//!
//! ```
//! use coordination::route_watch::Watch;
//! use std::time::{Duration, Instant};
//!
//! let now = Instant::now();
//! let mut watch = Watch::new(Some(7));
//! assert!(!watch.is_removed(6, false, now), "an earlier configuration");
//! assert!(!watch.is_removed(8, false, now), "the route may be added again");
//! assert!(watch.is_removed(8, false, now + Duration::from_secs(2)));
//! ```

use protocol::routing::Version;
use std::time::{Duration, Instant};

/// Time for which a route must be missing. A change that removes a route and one that adds it again
/// may follow each other closely, and an item that has failed stays so.
const REMOVAL_DELAY: Duration = Duration::from_secs(2);

/// What is known of the route of one job.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    /// Latest version that is known to have the route; `None` if none is.
    last_with_route: Option<Version>,
    missing_since: Option<Instant>,
}

impl Watch {
    /// The route is known to be in this version of the configuration, if any.
    pub fn new(version: Option<Version>) -> Watch {
        Watch { last_with_route: version, missing_since: None }
    }

    /// Whether the route was removed, given whether the version in force has it. To be called
    /// regularly.
    pub fn is_removed(&mut self, version: Version, has_route: bool, now: Instant) -> bool {
        if has_route {
            self.last_with_route = self.last_with_route.max(Some(version));
            self.missing_since = None;
            return false;
        }
        if self.last_with_route.is_none_or(|last| version <= last) {
            return false;
        }
        now >= *self.missing_since.get_or_insert(now) + REMOVAL_DELAY
    }
}
