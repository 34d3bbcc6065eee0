//! Rules that settings meet together.

use super::{Settings, SettingsError};

impl Settings {
    /// Checks the settings that `file` has set.
    pub(super) fn validate(&self, file: &str) -> Result<(), SettingsError> {
        let rules = [
            (self.cpu_cores > 0.0, "instance", "processor", "above 0"),
            (self.shards >= 1, "log", "shards", "at least 1"),
            (self.max_chunk_items >= 1, "batch", "chunk_items", "at least 1"),
            (self.max_attempts >= 1, "batch", "attempts", "at least 1"),
            (self.front_threads >= 1, "front", "threads", "at least 1"),
            (self.platform_calls_per_second > 0.0, "platform", "calls_per_second", "above 0"),
            (self.max_value_bytes >= 1_000, "platform", "value_bytes", "at least 1000"),
            (
                self.claim_timeout > self.report_interval * 2,
                "batch",
                "claim_ms",
                "over twice report_ms",
            ),
            (self.controller_lease > self.order_lifetime, "orders", "lease_ms", "over lifetime_ms"),
            (self.max_stop_duration > self.stop_grace, "stop", "bound_ms", "over grace_ms"),
            (self.suspect_timeout > self.heartbeat_interval, "peers", "suspect_ms", "over ping_ms"),
        ];
        let failed = rules.iter().find(|(met, ..)| !met);
        let failed = failed.map(|(_, section, key, expected)| (*section, *key, *expected));
        let policy = self.policy.validate().map(|(key, expected)| ("policy", key, expected));
        let quota = self.quota.validate().map(|(key, expected)| ("quota", key, expected));
        let cold = self.cold.validate().map(|(key, expected)| ("cold", key, expected));
        match failed.or(policy).or(quota).or(cold) {
            None => Ok(()),
            Some((section, key, expected)) => Err(SettingsError {
                file: file.into(),
                section: section.into(),
                key: key.into(),
                expected: expected.into(),
            }),
        }
    }
}
