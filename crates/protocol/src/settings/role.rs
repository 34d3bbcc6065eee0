//! `[instance] duty`: what a process does.

use std::str::FromStr;

/// Role of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Serves the product's own API.
    #[default]
    Standalone,
    /// Serves the operator's routes on a platform that stores configuration,
    /// targets and jobs.
    Gateway,
    /// Idles until it is stopped, on a machine held in reserve.
    Standby,
}

impl FromStr for Role {
    type Err = ();

    fn from_str(text: &str) -> Result<Role, ()> {
        match text {
            "own" => Ok(Role::Standalone),
            "gateway" => Ok(Role::Gateway),
            "standby" => Ok(Role::Standby),
            _ => Err(()),
        }
    }
}
