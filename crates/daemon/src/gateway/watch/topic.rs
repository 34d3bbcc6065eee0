//! The kinds of objects that are watched, and how long a watch of each may wait.

use coordination::watch::Timeouts;
use platform::store::MAX_WATCH;
use platform::{config, decommission, target};
use std::time::Duration;

/// Timeout of a watch of the targets. A watch that was lost without a failed probe is
/// noticed only this long plus [`PROBE_TIMEOUT`] later, which must stay below the 2 s in
/// which requests to a leaving target must stop. Each watch costs a call.
const TARGETS_WATCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The same for the configuration. A configuration must be in force within 2 s of its
/// acknowledgement by the platform, or within 3 s after an outage of the platform, so a watch
/// that may have missed a change has a shorter timeout.
const CONFIG_WATCH_TIMEOUTS: Timeouts =
    Timeouts { up_to_date: Duration::from_millis(3_400), behind: Duration::from_millis(1_500) };
/// The same for orders to empty a machine, which aren't urgent.
const DECOMMISSIONS_WATCH_TIMEOUTS: Timeouts =
    Timeouts { up_to_date: MAX_WATCH, behind: Duration::from_secs(10) };
/// The same for evacuations, which must be in force within 5 s.
const EVACUATIONS_WATCH_TIMEOUTS: Timeouts =
    Timeouts { up_to_date: MAX_WATCH, behind: Duration::from_secs(3) };
/// The same for quarantined requests, which instances also report to each other.
const QUARANTINE_WATCH_TIMEOUTS: Timeouts =
    Timeouts { up_to_date: MAX_WATCH, behind: Duration::from_secs(20) };

/// Kind of object that is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Topic {
    Config,
    Targets,
    Decommissions,
    Evacuations,
    Quarantine,
}

impl Topic {
    pub(super) fn kind(self) -> &'static str {
        match self {
            Topic::Config => config::KIND,
            Topic::Targets => target::KIND,
            Topic::Decommissions => decommission::KIND,
            Topic::Evacuations => platform::evacuation::KIND,
            Topic::Quarantine => platform::quarantine::KIND,
        }
    }

    pub(super) fn watch_timeouts(self) -> Timeouts {
        match self {
            Topic::Config => CONFIG_WATCH_TIMEOUTS,
            Topic::Targets => Timeouts::constant(TARGETS_WATCH_TIMEOUT),
            Topic::Decommissions => DECOMMISSIONS_WATCH_TIMEOUTS,
            Topic::Evacuations => EVACUATIONS_WATCH_TIMEOUTS,
            Topic::Quarantine => QUARANTINE_WATCH_TIMEOUTS,
        }
    }

    /// Whether one instance watches for all data centres.
    pub(super) fn is_global(self) -> bool {
        self == Topic::Decommissions
    }
}
