//! What operators see of an allocator: learned times, targets by speed, slots by workspace.
//!
//! The number of entries is bounded whatever the number of targets and workspaces, because each
//! becomes a metric.

use super::Allocator;
use super::speed::Pace;
use super::target_state::TargetState;
use protocol::{ServiceId, WorkspaceId};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Number of workspaces that are listed; the others are summed.
pub const MAX_WORKSPACES: usize = 20;
/// Number of services that are listed.
pub const MAX_SERVICES: usize = 64;
/// Slowness below which a target counts as fast.
const FAST_BELOW: f64 = 0.75;
/// Slowness from which on a target counts as slow: the reciprocal of [`FAST_BELOW`], because
/// slowness is a ratio.
const SLOW_FROM: f64 = 1.33;
/// Slowness from which on a target counts as very slow: the default of `Policy::slow_factor`.
const VERY_SLOW_FROM: f64 = 2.0;

/// Class of targets by slowness, the factor to the usual times of their service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SpeedClass {
    /// Under three quarters of the usual time.
    Fast,
    /// About the usual time, or not known yet.
    Usual,
    /// From a third more up to twice the usual time.
    Slow,
    /// Twice the usual time and more.
    VerySlow,
}

impl SpeedClass {
    /// All classes, fastest first.
    pub const ALL: [SpeedClass; 4] =
        [SpeedClass::Fast, SpeedClass::Usual, SpeedClass::Slow, SpeedClass::VerySlow];

    /// Class of a slowness.
    pub fn of(slowness: f64) -> SpeedClass {
        match slowness {
            _ if slowness < FAST_BELOW => SpeedClass::Fast,
            _ if slowness < SLOW_FROM => SpeedClass::Usual,
            _ if slowness < VERY_SLOW_FROM => SpeedClass::Slow,
            _ => SpeedClass::VerySlow,
        }
    }

    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            SpeedClass::Fast => "fast",
            SpeedClass::Usual => "usual",
            SpeedClass::Slow => "slow",
            SpeedClass::VerySlow => "very_slow",
        }
    }
}

/// Targets of one service and speed class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassSummary {
    /// Number of targets.
    pub targets: usize,
    /// Their active leases.
    pub slots_in_use: u32,
    /// Mean event interval over the targets where it is known.
    pub event_interval: Option<Duration>,
}

/// What is known of one service. Times are means over its targets; `None` if unknown.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceSummary {
    /// Time between two events, at the usual number of running requests.
    pub event_interval: Option<Duration>,
    /// Time to the first event without reading the prompt.
    pub first_event: Option<Duration>,
    /// Time to read a token of a prompt.
    pub token_time: Option<Duration>,
    /// Targets by speed class; all classes are listed.
    pub classes: BTreeMap<SpeedClass, ClassSummary>,
}

/// Slots of one workspace, or of several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkspaceSummary {
    /// Active leases, batch included.
    pub slots_in_use: usize,
    /// Queued requests. One that is queued by several allocators counts at each.
    pub waiting: usize,
}

impl WorkspaceSummary {
    const SLOT: WorkspaceSummary = WorkspaceSummary { slots_in_use: 1, waiting: 0 };
    const WAITER: WorkspaceSummary = WorkspaceSummary { slots_in_use: 0, waiting: 1 };

    fn add(&mut self, other: WorkspaceSummary) {
        self.slots_in_use += other.slots_in_use;
        self.waiting += other.waiting;
    }
}

/// State of an allocator, for operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// The [`MAX_SERVICES`] services with most targets.
    pub services: BTreeMap<ServiceId, ServiceSummary>,
    /// Number of services that are left out.
    pub omitted_services: usize,
    /// The [`MAX_WORKSPACES`] workspaces with most slots in use; among equals those with most
    /// waiting requests, then by name.
    pub workspaces: Vec<(WorkspaceId, WorkspaceSummary)>,
    /// Sum of the other workspaces.
    pub other_workspaces: WorkspaceSummary,
    /// Work whose workspace isn't known: it has none, its sender is of an earlier build, or a
    /// previous allocator granted its lease.
    pub unknown_workspace: WorkspaceSummary,
}

impl Allocator {
    /// Summarizes learned times and the use of slots.
    pub fn summary(&self, now: Instant) -> Summary {
        let mut summary = Summary::default();
        self.summarize_services(&mut summary, now);
        self.summarize_workspaces(&mut summary);
        summary
    }

    fn summarize_services(&self, summary: &mut Summary, now: Instant) {
        let mut by_service: BTreeMap<&ServiceId, Vec<&TargetState>> = BTreeMap::new();
        for state in self.targets.values() {
            by_service.entry(&state.target.service).or_default().push(state);
        }
        let mut ranked: Vec<(&ServiceId, Vec<&TargetState>)> = by_service.into_iter().collect();
        // The sort is stable, so equals stay in order of their names.
        ranked.sort_by_key(|(_, targets)| Reverse(targets.len()));
        summary.omitted_services = ranked.len().saturating_sub(MAX_SERVICES);
        ranked.truncate(MAX_SERVICES);
        let services = ranked.into_iter().map(|(name, targets)| {
            let times = self.paces.get(name).map(ServiceSummary::of_pace).unwrap_or_default();
            (name.clone(), ServiceSummary { classes: summarize_classes(&targets, now), ..times })
        });
        summary.services = services.collect();
    }

    fn summarize_workspaces(&self, summary: &mut Summary) {
        let mut named: BTreeMap<&WorkspaceId, WorkspaceSummary> = BTreeMap::new();
        let active = self.leases.values().filter(|lease| !lease.is_revoked);
        let in_use = active.map(|lease| (lease.workspace.as_ref(), WorkspaceSummary::SLOT));
        let waiting = self
            .waiters
            .values()
            .map(|waiter| (waiter.request.workspace(), WorkspaceSummary::WAITER));
        for (workspace, one) in in_use.chain(waiting) {
            match workspace {
                Some(name) => named.entry(name).or_default().add(one),
                None => summary.unknown_workspace.add(one),
            }
        }
        let mut ranked: Vec<(&WorkspaceId, WorkspaceSummary)> = named.into_iter().collect();
        ranked.sort_by_key(|(_, entry)| Reverse((entry.slots_in_use, entry.waiting)));
        let others = ranked.split_off(ranked.len().min(MAX_WORKSPACES));
        others.into_iter().for_each(|(_, entry)| summary.other_workspaces.add(entry));
        summary.workspaces =
            ranked.into_iter().map(|(name, entry)| (name.clone(), entry)).collect();
    }
}

impl ServiceSummary {
    fn of_pace(pace: &Pace) -> ServiceSummary {
        let has_first = pace.has_first_event();
        ServiceSummary {
            event_interval: duration(pace.usual_interval_s()),
            first_event: has_first.then(|| Duration::from_secs_f64(pace.first_event_s())),
            token_time: has_first.then(|| Duration::from_secs_f64(pace.token_time_s())),
            classes: BTreeMap::new(),
        }
    }
}

/// A time in seconds; 0 is unknown.
fn duration(seconds: f64) -> Option<Duration> {
    (seconds > 0.0).then(|| Duration::from_secs_f64(seconds))
}

fn summarize_classes(targets: &[&TargetState], now: Instant) -> BTreeMap<SpeedClass, ClassSummary> {
    let of_class = |class: SpeedClass| {
        let is_match = |state: &&&TargetState| SpeedClass::of(state.slowness.factor(now)) == class;
        let targets: Vec<&TargetState> = targets.iter().filter(is_match).copied().collect();
        (class, summarize_class(&targets))
    };
    SpeedClass::ALL.into_iter().map(of_class).collect()
}

fn summarize_class(targets: &[&TargetState]) -> ClassSummary {
    let known = targets.iter().map(|state| state.event_interval).filter(|interval| *interval > 0.0);
    let count = known.clone().count();
    let mean_s = known.sum::<f64>() / count.max(1) as f64;
    ClassSummary {
        targets: targets.len(),
        slots_in_use: targets.iter().map(|state| state.used()).sum(),
        event_interval: duration(mean_s),
    }
}
