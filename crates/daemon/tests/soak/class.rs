//! What the seeds of a class have in common.

use super::check::EVENTS_PER_RESPONSE;
use super::planned::{self, Phase};
use super::scenario::{MEMORY_TOKENS, VERSIONS};
use super::{
    FIRST_FRAMED_VERSIONS_SEED, FIRST_LARGE_CONFIG_SEED, FIRST_OUTAGE_SEED, FIRST_REMOVAL_SEED,
    FIRST_ROUTE_CHANGE_SEED, FIRST_SILENCE_SEED, FIRST_STUTTER_SEED, FIRST_SUSPENSION_SEED,
    FIRST_UNFRAMED_SEED, FIRST_VERSIONS_SEED,
};
use super::{faults, outages, route_changes, stutters};
use standin::runner::Config;
use std::time::Duration;

/// How long faults are injected.
const FAULT_PERIOD: Duration = Duration::from_secs(8);
/// Factors to the times of the runners.
const SLOWNESS: [f64; 3] = [1.0, 0.5, 2.0];
/// Time between events.
const EVENT_INTERVAL: Duration = Duration::from_millis(15);
/// Time between events where runners fall silent, which they then do in the middle of responses.
const LONG_EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// Rate of a gateway's link to the others where configurations are large, in bytes a second.
const LINK_RATE: u64 = 2_750_000;
/// How long a planned stop takes at most where stops are short, in seconds.
const SHORT_BOUND_S: u64 = 2;

/// What the seeds of a class have in common.
#[derive(Clone, Copy)]
pub(super) struct Class {
    pub is_unframed: bool,
    pub has_versions: bool,
    pub has_silences: bool,
    pub has_suspensions: bool,
    pub has_large_configs: bool,
    /// The route of the jobs has a limit and is removed at times, and all gateways are killed more
    /// often.
    pub has_removals: bool,
    /// Releases beside an outage of the platform and before a loss of all gateways.
    pub has_outages: bool,
    /// All these releases are of one software version, and the platform keeps its history.
    pub has_one_version: bool,
    /// Other faults overlap them.
    pub has_other_faults: bool,
    /// Runners stutter, and gateways are out of step during releases and stop beside that.
    pub has_stutters: bool,
    /// Routes of jobs change beside losses of all gateways, and runners answer with odd status lines.
    pub has_route_changes: bool,
}

impl Class {
    pub fn of(seed: u64) -> Class {
        Class {
            is_unframed: (FIRST_UNFRAMED_SEED..FIRST_FRAMED_VERSIONS_SEED).contains(&seed),
            has_versions: (FIRST_VERSIONS_SEED..FIRST_ROUTE_CHANGE_SEED).contains(&seed),
            has_silences: (FIRST_SILENCE_SEED..FIRST_REMOVAL_SEED).contains(&seed),
            has_suspensions: (FIRST_SUSPENSION_SEED..FIRST_STUTTER_SEED).contains(&seed),
            has_large_configs: (FIRST_LARGE_CONFIG_SEED..FIRST_REMOVAL_SEED).contains(&seed),
            has_removals: (FIRST_REMOVAL_SEED..FIRST_OUTAGE_SEED).contains(&seed),
            has_outages: (FIRST_OUTAGE_SEED..FIRST_STUTTER_SEED).contains(&seed),
            has_one_version: (FIRST_OUTAGE_SEED..FIRST_STUTTER_SEED).contains(&seed)
                && seed % 5 == 4,
            has_other_faults: seed % 2 == 1,
            has_stutters: (FIRST_STUTTER_SEED..FIRST_ROUTE_CHANGE_SEED).contains(&seed),
            has_route_changes: seed >= FIRST_ROUTE_CHANGE_SEED,
        }
    }

    /// Additional settings of the gateways.
    pub fn settings(self) -> Vec<String> {
        let link = format!("faults.link_bytes_per_s = {LINK_RATE}");
        let bound = format!("stop.bound_s = {SHORT_BOUND_S}");
        let link = self.has_large_configs.then_some(link);
        link.into_iter().chain(self.has_stutters.then_some(bound)).collect()
    }

    /// Whether runners are released, from one software version for all.
    pub fn has_releases(self) -> bool {
        self.has_outages || self.has_stutters
    }

    pub fn phases(self, seed: u64, gateways: usize, runners: usize) -> Vec<Phase> {
        if self.has_silences {
            return planned::phases(seed, gateways, runners);
        }
        if self.has_stutters {
            let scope = stutters::Scope { gateways, runners };
            let steps = stutters::steps(seed, scope, FAULT_PERIOD);
            return vec![Phase { is_planned: false, steps }];
        }
        if self.has_outages {
            let Class { has_one_version, has_other_faults, .. } = self;
            let scope = outages::Scope { gateways, runners, has_one_version, has_other_faults };
            let steps = outages::steps(seed, scope, FAULT_PERIOD);
            return vec![Phase { is_planned: false, steps }];
        }
        let mut steps = faults::schedule(seed, gateways, runners, FAULT_PERIOD);
        if self.is_unframed {
            steps = faults::with_crashes(steps, seed, runners);
        }
        if self.has_versions {
            steps = faults::with_replacements(steps, seed, runners);
        }
        if self.has_removals {
            steps = faults::with_removals(steps, seed, runners);
        }
        if self.has_route_changes {
            steps = route_changes::with_route_changes(steps, seed, runners, FAULT_PERIOD);
        }
        vec![Phase { is_planned: false, steps }]
    }

    pub fn runner_config(self, n: usize) -> Config {
        let has_two_versions = self.has_versions && !self.has_releases();
        let is_long = self.has_silences || self.has_outages;
        let interval = if is_long { LONG_EVENT_INTERVAL } else { EVENT_INTERVAL };
        Config {
            id: format!("r{n}"),
            software: String::from(if has_two_versions { VERSIONS[n % 2] } else { VERSIONS[0] }),
            event_count: EVENTS_PER_RESPONSE,
            event_interval: interval,
            token_time: Duration::from_micros(20),
            memory_tokens: MEMORY_TOKENS,
            slowness: SLOWNESS[n % SLOWNESS.len()],
            is_unframed: self.is_unframed,
            names_software: self.has_versions,
            ..Config::default()
        }
    }
}
