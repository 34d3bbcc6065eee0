//! Regions in which a request may be served and stored.
//!
//! A route and a workspace may each restrict them; where both do, both restrictions hold.
//!
//! ```
//! use coordination::residency::Residency;
//!
//! let residency = Residency::new(&["fiji".into(), "samoa".into()], &["fiji".into()]);
//! assert!(residency.allows(Some("fiji")));
//! assert!(!residency.allows(Some("samoa")));
//! // The region of a data centre that isn't known may be any.
//! assert!(!residency.allows(None));
//! assert!(Residency::default().allows(None));
//! ```

use protocol::RegionId;
use serde::{Deserialize, Serialize};

/// The regions that are allowed; the default allows all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Residency {
    /// `None` if there is no restriction.
    allowed: Option<Vec<RegionId>>,
}

impl Residency {
    /// The regions that both lists allow; an empty list allows all.
    pub fn new(route: &[RegionId], workspace: &[RegionId]) -> Residency {
        let allowed = match (route.is_empty(), workspace.is_empty()) {
            (true, true) => None,
            (false, true) => Some(route.to_vec()),
            (true, false) => Some(workspace.to_vec()),
            (false, false) => {
                let both = route.iter().filter(|region| workspace.contains(region));
                Some(both.cloned().collect())
            }
        };
        Residency { allowed }
    }

    /// Whether all regions are allowed.
    pub fn is_unrestricted(&self) -> bool {
        self.allowed.is_none()
    }

    /// Whether a region is allowed; `None` for an unknown one.
    pub fn allows(&self, region: Option<&str>) -> bool {
        let Some(allowed) = &self.allowed else {
            return true;
        };
        region.is_some_and(|region| allowed.iter().any(|name| name == region))
    }
}
