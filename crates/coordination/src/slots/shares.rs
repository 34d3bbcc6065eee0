//! Shares of workspaces in the slots of each service, apart for online requests and batch.

use super::lease::{Purpose, Request, Workload};
use super::{Allocator, Lease};
use crate::fair_share::FairShare;
use protocol::{ServiceId, WorkspaceId};
use std::collections::HashMap;
use std::time::Instant;

/// Tokens of work whose sender doesn't tell: about a short prompt and its output.
const DEFAULT_TOKENS: f64 = 500.0;
/// Name and weight under which all requests without a workspace count.
const NO_WORKSPACE: (&str, f64) = ("", 1.0);

/// Work that was granted with a lease.
#[derive(Clone, Debug)]
pub(super) struct GrantedWork {
    service: ServiceId,
    workspace: WorkspaceId,
    tokens: f64,
}

/// Part of a service's granted work that went to a workspace lately.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceShare {
    /// The service.
    pub service: ServiceId,
    /// Class of the work.
    pub purpose: Purpose,
    /// The workspace; empty for all requests without one.
    pub workspace: WorkspaceId,
    /// Its part, from 0 to 1.
    pub part: f64,
}

/// Granted work by service: online, batch.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    services: HashMap<ServiceId, [FairShare; 2]>,
}

impl Shares {
    /// How far the workspace of a request is above its share; 0 if it isn't.
    pub(super) fn level(&self, request: &Request, now: Instant) -> u8 {
        let (workspace, _) = weight(&request.workload);
        let shares = self.services.get(&request.service);
        shares.map_or(0, |shares| shares[index(request.purpose)].level(workspace, now))
    }

    /// Records the work of a granted request.
    fn record(&mut self, request: &Request, now: Instant) -> GrantedWork {
        let (workspace, weight) = weight(&request.workload);
        let tokens = match request.workload.tokens {
            0 => DEFAULT_TOKENS,
            tokens => f64::from(tokens),
        };
        if !self.services.contains_key(&request.service) {
            let new = [FairShare::new(now), FairShare::new(now)];
            self.services.insert(request.service.clone(), new);
        }
        if let Some(shares) = self.services.get_mut(&request.service) {
            shares[index(request.purpose)].record(workspace, weight, tokens, now);
        }
        GrantedWork { service: request.service.clone(), workspace: workspace.to_owned(), tokens }
    }
}

/// Name and weight of the workspace that work belongs to.
fn weight(workload: &Workload) -> (&str, f64) {
    let named = workload.workspace.as_ref().filter(|workspace| workspace.weight > 0.0);
    named.map_or(NO_WORKSPACE, |workspace| (&workspace.name, workspace.weight))
}

fn index(purpose: Purpose) -> usize {
    match purpose {
        Purpose::Online => 0,
        Purpose::Batch => 1,
    }
}

impl Allocator {
    /// Records the work of a request that was just granted a slot.
    pub(super) fn record_work(&mut self, request: &Request, now: Instant) -> GrantedWork {
        self.shares_of_work.record(request, now)
    }

    /// Takes back the work of a lease that wasn't used.
    pub(super) fn take_back_work(&mut self, lease: &Lease) {
        let Some(work) = &lease.work else {
            return;
        };
        if let Some(shares) = self.shares_of_work.services.get_mut(&work.service) {
            let shares = &mut shares[index(lease.purpose)];
            shares.take_back(&work.workspace, work.tokens, lease.granted);
        }
    }

    /// Parts of the granted work of the workspaces that had most of it, at most `count` for each
    /// service and class.
    pub fn workspace_shares(&self, count: usize, now: Instant) -> Vec<WorkspaceShare> {
        let mut parts = Vec::new();
        for (service, shares) in &self.shares_of_work.services {
            for purpose in [Purpose::Online, Purpose::Batch] {
                let largest = shares[index(purpose)].largest(count, now);
                parts.extend(largest.into_iter().map(|(workspace, part)| WorkspaceShare {
                    service: service.clone(),
                    purpose,
                    workspace: workspace.clone(),
                    part,
                }));
            }
        }
        parts
    }
}
