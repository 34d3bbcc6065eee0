//! `[cold]`: how strictly the rate of requests to cold targets must hold over all instances
//! together.

use super::SettingsError;
use super::source::Source;

/// Accuracy of the limit; each field names its key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// `[cold] excess`: most requests in a second, as a multiple of what a cold target bears.
    pub excess_factor: f64,
    /// `[cold] slack`: tolerated requests in a second beyond that.
    pub slack: f64,
}

impl Default for Cold {
    fn default() -> Cold {
        Cold { excess_factor: 1.0, slack: 0.0 }
    }
}

impl Cold {
    pub(super) fn read(&mut self, source: &mut Source) -> Result<(), SettingsError> {
        source.read_value("cold", "excess", "a factor", &mut self.excess_factor)?;
        source.read_value("cold", "slack", "a number of requests", &mut self.slack)
    }

    /// Returns the first invalid key and a description of valid values.
    pub(super) fn validate(&self) -> Option<(&'static str, &'static str)> {
        let rules = [
            (self.excess_factor > 0.0, "excess", "above 0"),
            (self.slack >= 0.0, "slack", "at least 0"),
        ];
        rules.iter().find(|(met, ..)| !met).map(|(_, key, expected)| (*key, *expected))
    }

    /// Most requests that a target may receive in a second if it bears `rate` while it is cold.
    pub fn ceiling(&self, rate: f64) -> u32 {
        ((rate * self.excess_factor + self.slack) as u32).max(1)
    }
}
