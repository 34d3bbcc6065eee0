//! Chooses the target of a request.

use crate::hash;

/// A target that may serve a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Hash of the target's name.
    pub id: u64,
    /// Whether it is in this instance's data centre.
    pub local: bool,
    /// Online requests there, from all instances.
    pub online: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Further requests that this instance may send it; 0 excludes the target.
    pub free: u32,
}

impl Candidate {
    fn load_ratio(&self) -> f64 {
        f64::from(self.online) / f64::from(self.slots.max(1))
    }
}

/// Settings of prefix affinity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Maximum load of the prefix's preferred target, as a multiple of the mean.
    pub max_load_factor: f64,
    /// Whether prefix affinity is used.
    pub affinity: bool,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy { max_load_factor: 1.25, affinity: true }
    }
}

/// Picks a target: the index of a candidate, or `None` if none is free.
///
/// Local targets come first while one has a free slot. Among them it is the target that the prefix
/// hashes to, unless its load exceeds `max_load_factor` times the mean; else the less loaded of
/// two random ones. The least loaded of all would attract every instance at once while reports
/// lag.
pub fn pick(
    prefix: u64,
    candidates: &[Candidate],
    policy: Policy,
    random: [u64; 2],
) -> Option<usize> {
    let eligible = eligible(candidates);
    if eligible.is_empty() {
        return None;
    }
    if policy.affinity {
        let preferred_target = preferred(prefix, &eligible, candidates);
        if is_within(candidates[preferred_target], &eligible, candidates, policy.max_load_factor) {
            return Some(preferred_target);
        }
    }
    let first = eligible[(random[0] % eligible.len() as u64) as usize];
    let second = eligible[(random[1] % eligible.len() as u64) as usize];
    let is_second_lower = candidates[second].load_ratio() < candidates[first].load_ratio();
    Some(if is_second_lower { second } else { first })
}

fn eligible(candidates: &[Candidate]) -> Vec<usize> {
    let may_send = |i: &usize| candidates[*i].free > 0;
    let has_slot = |i: &usize| candidates[*i].online < candidates[*i].slots;
    let all: Vec<usize> = (0..candidates.len()).filter(may_send).collect();
    let local: Vec<usize> = all.iter().copied().filter(|i| candidates[*i].local).collect();
    if local.iter().any(has_slot) {
        return local;
    }
    let with_slot: Vec<usize> = all.iter().copied().filter(has_slot).collect();
    if !with_slot.is_empty() {
        return with_slot;
    }
    if local.is_empty() { all } else { local }
}

fn preferred(prefix: u64, eligible: &[usize], candidates: &[Candidate]) -> usize {
    let weight = |i: &usize| hash::weight(&prefix.to_le_bytes(), candidates[*i].id);
    eligible.iter().copied().max_by_key(weight).unwrap_or(eligible[0])
}

fn is_within(
    candidate: Candidate,
    eligible: &[usize],
    candidates: &[Candidate],
    max_load_factor: f64,
) -> bool {
    let sum: f64 = eligible.iter().map(|i| candidates[*i].load_ratio()).sum();
    let mean_load = sum / eligible.len() as f64;
    let load_after = f64::from(candidate.online + 1) / f64::from(candidate.slots.max(1));
    let one_slot = 1.0 / f64::from(candidate.slots.max(1));
    load_after <= (mean_load + one_slot) * max_load_factor && candidate.online < candidate.slots
}

const MAX_PREFIX_BYTES: usize = 256;

/// Hash of the part of a prompt that decides affinity.
pub fn prefix(service: &str, text: &str) -> u64 {
    let end = text.len().min(MAX_PREFIX_BYTES);
    let mut bytes = Vec::with_capacity(service.len() + 1 + end);
    bytes.extend_from_slice(service.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(&text.as_bytes()[..end]);
    hash::bytes(&bytes)
}

/// The targets that one instance polls, at most `max_targets`.
///
/// Those with the highest rendezvous weights for the instance, so that every target is polled by
/// about the same number of instances.
pub fn subset(me: u64, targets: &[u64], max_targets: usize) -> Vec<u64> {
    let mut ranked: Vec<u64> = targets.to_vec();
    ranked.sort_by_key(|target| std::cmp::Reverse(hash::weight(&me.to_le_bytes(), *target)));
    ranked.truncate(max_targets);
    ranked
}
