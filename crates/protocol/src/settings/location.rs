//! Regions of data centres, in the settings as `data_centre:region`.

use super::Settings;
use crate::{DataCentreId, RegionId};
use std::str::FromStr;

/// A data centre and its region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Name of the data centre.
    pub data_centre: DataCentreId,
    /// Region in which it is.
    pub region: RegionId,
}

/// The text isn't two names with a colon between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidLocation;

impl FromStr for Location {
    type Err = InvalidLocation;

    fn from_str(text: &str) -> Result<Location, InvalidLocation> {
        let (data_centre, region) = text.split_once(':').ok_or(InvalidLocation)?;
        if data_centre.is_empty() || region.is_empty() {
            return Err(InvalidLocation);
        }
        Ok(Location { data_centre: data_centre.to_owned(), region: region.to_owned() })
    }
}

impl Settings {
    /// The region of a data centre; `None` if it isn't known.
    pub fn region(&self, data_centre: &str) -> Option<&str> {
        let location = self.regions.iter().find(|location| location.data_centre == data_centre);
        location.map(|location| location.region.as_str())
    }
}
