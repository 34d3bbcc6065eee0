//! `[quota]`: how strictly the quotas of workspaces must hold over all instances together.

use super::SettingsError;
use super::source::Source;
use std::time::Duration;

/// Accuracy of the quotas; each field names its key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// `[quota] window_s`: length of the sliding window in which a quota must hold.
    pub window: Duration,
    /// `[quota] excess`: tolerated excess in a window, as a ratio of what the quota allows.
    pub excess_ratio: f64,
    /// `[quota] slack`: tolerated excess in a window, in requests, on top of the ratio.
    pub excess_requests: f64,
}

impl Default for Quota {
    fn default() -> Quota {
        Quota { window: Duration::from_secs(5), excess_ratio: 0.1, excess_requests: 20.0 }
    }
}

impl Quota {
    pub(super) fn read(&mut self, source: &mut Source) -> Result<(), SettingsError> {
        source.read_seconds("quota", "window_s", &mut self.window)?;
        source.read_value("quota", "excess", "a ratio", &mut self.excess_ratio)?;
        source.read_value("quota", "slack", "a number of requests", &mut self.excess_requests)
    }

    /// Returns the first invalid key and a description of valid values.
    pub(super) fn validate(&self) -> Option<(&'static str, &'static str)> {
        let rules = [
            (!self.window.is_zero(), "window_s", "above 0"),
            (self.excess_ratio >= 0.0, "excess", "at least 0"),
            (self.excess_requests >= 0.0, "slack", "at least 0"),
        ];
        rules.iter().find(|(met, ..)| !met).map(|(_, key, expected)| (*key, *expected))
    }
}
