//! Selection of a target for a request.

use super::{Counts, FleetTarget, ServiceTargets, lock};
use coordination::route::{self, Candidate, Policy};
use protocol::TargetId;
use protocol::config::{Protocol, Service};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

/// What a request requires of a target.
#[derive(Clone, Debug, Default)]
pub struct Requirements {
    /// Model version; `None` accepts any that is loaded.
    pub version: Option<String>,
    /// Adapter; `None` accepts any target.
    pub adapter: Option<String>,
    /// Hash of the prompt's start, for prefix affinity.
    pub prefix: u64,
}

impl Requirements {
    fn is_met_by(&self, target: &FleetTarget, service: &Service) -> bool {
        if service.protocol == Protocol::Plain {
            return true;
        }
        let loaded = target.version();
        let version = self.version.as_deref();
        // Before its first report, a target is assumed to run the version in force and no
        // other.
        let has_version = match (&loaded, version) {
            (Some(loaded), Some(wanted)) => loaded == wanted,
            (Some(loaded), None) => !loaded.is_empty(),
            (None, Some(wanted)) => *wanted == service.version,
            (None, None) => true,
        };
        let has_adapter = |name: &String| target.config.adapters.contains(name);
        has_version && self.adapter.as_ref().is_none_or(has_adapter)
    }
}

/// Whether a target of the service meets the requirements, or none is known yet.
pub fn is_servable(service_targets: &ServiceTargets, requirements: &Requirements) -> bool {
    service_targets.targets.is_empty()
        || service_targets
            .targets
            .iter()
            .any(|target| requirements.is_met_by(target, &service_targets.service))
}

/// Counts a request as running on a target until dropped.
#[derive(Debug)]
pub struct TargetGuard {
    /// Target of the request.
    pub target: Arc<FleetTarget>,
    counts: Arc<Counts>,
    started: Instant,
}

impl TargetGuard {
    /// Records a success of the target, which also ends a silence.
    pub fn on_success(&self) {
        self.target.on_response();
        let mut state = lock(&self.target.state);
        state.concurrency.on_success();
        state.health.on_success();
    }

    /// Records a failure of the target.
    pub fn on_failure(&self, now: Instant) {
        let mut state = lock(&self.target.state);
        state.concurrency.on_failure();
        state.health.on_failure(now);
    }
}

impl Drop for TargetGuard {
    fn drop(&mut self) {
        lock(&self.target.state).load.on_end();
        self.target.on_load_changed();
        self.counts.on_request_end(self.started.elapsed());
    }
}

/// Picks a free target for an online request and counts the request there; `None` when none
/// is free.
pub fn pick(
    service_targets: &ServiceTargets,
    requirements: &Requirements,
    excluded: &[TargetId],
    data_centre: &str,
    now: Instant,
) -> Option<TargetGuard> {
    let suitable =
        |target: &&Arc<FleetTarget>| requirements.is_met_by(target, &service_targets.service);
    let not_excluded = |target: &&Arc<FleetTarget>| !excluded.contains(&target.config.name);
    let all: Vec<&Arc<FleetTarget>> = service_targets.targets.iter().filter(suitable).collect();
    let targets: Vec<&Arc<FleetTarget>> = all.iter().copied().filter(not_excluded).collect();
    let select = |is_strict| {
        let candidate = |target: &&Arc<FleetTarget>| target.candidate(data_centre, is_strict, now);
        let candidates: Vec<Candidate> = targets.iter().map(candidate).collect();
        let draws = [rand::random(), rand::random()];
        route::pick(requirements.prefix, &candidates, Policy::default(), draws)
    };
    let selected =
        select(true).or_else(|| if is_common_silence(&all) { select(false) } else { None })?;
    let target = targets[selected].clone();
    {
        let mut state = lock(&target.state);
        state.load.on_start();
        let online = state.load.online(now);
        state.peer_load.record(online, now);
    }
    target.on_load_changed();
    service_targets.counts.running.fetch_add(1, Ordering::Relaxed);
    Some(TargetGuard { target, counts: service_targets.counts.clone(), started: now })
}

/// Whether most of the targets fell silent since they last responded, which is no evidence against
/// each of them.
fn is_common_silence(targets: &[&Arc<FleetTarget>]) -> bool {
    let silent = targets.iter().filter(|target| target.is_first_silence()).count();
    silent * 2 > targets.len()
}
