//! Which target gets a request.

use crate::hash;

/// A target that may serve a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Hash of the target's name.
    pub id: u64,
    /// Whether it stands in this instance's data centre.
    pub local: bool,
    /// Online requests there, all instances.
    pub online: u32,
    /// Requests it runs at once.
    pub slots: u32,
    /// Requests of this instance it may still be given; 0 means none now.
    pub free: u32,
}

impl Candidate {
    fn share(&self) -> f64 {
        f64::from(self.online) / f64::from(self.slots.max(1))
    }
}

/// Weight of prefix affinity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// How far over the mean load the prefix's own target may be.
    pub max_load_factor: f64,
    /// Whether affinity is used at all.
    pub affinity: bool,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy { max_load_factor: 1.25, affinity: true }
    }
}

/// Picks a target: the index of a candidate, or `None` when none is free.
///
/// Local targets first, as long as one has a slot; then the target that the
/// prefix hashes to, unless it is busier than `bound` times the mean, since a
/// warm cache isn't worth a wait; then the less busy of two drawn ones. Taking
/// the least busy of all would send every instance to the same target whenever
/// reports lag.
pub fn pick(
    prefix: u64,
    candidates: &[Candidate],
    policy: Policy,
    draws: [u64; 2],
) -> Option<usize> {
    let pool = pool(candidates);
    if pool.is_empty() {
        return None;
    }
    if policy.affinity {
        let favourite = preferred(prefix, &pool, candidates);
        if is_within(candidates[favourite], &pool, candidates, policy.max_load_factor) {
            return Some(favourite);
        }
    }
    let first = pool[(draws[0] % pool.len() as u64) as usize];
    let second = pool[(draws[1] % pool.len() as u64) as usize];
    let lesser = candidates[second].share() < candidates[first].share();
    Some(if lesser { second } else { first })
}

fn pool(candidates: &[Candidate]) -> Vec<usize> {
    let free = |i: &usize| candidates[*i].free > 0;
    let has_slot = |i: &usize| candidates[*i].online < candidates[*i].slots;
    let all: Vec<usize> = (0..candidates.len()).filter(free).collect();
    let local: Vec<usize> = all.iter().copied().filter(|i| candidates[*i].local).collect();
    if local.iter().any(has_slot) {
        return local;
    }
    let open: Vec<usize> = all.iter().copied().filter(has_slot).collect();
    if !open.is_empty() {
        return open;
    }
    if local.is_empty() { all } else { local }
}

fn preferred(prefix: u64, pool: &[usize], candidates: &[Candidate]) -> usize {
    let weight = |i: &usize| hash::weight(&prefix.to_le_bytes(), candidates[*i].id);
    pool.iter().copied().max_by_key(weight).unwrap_or(pool[0])
}

fn is_within(one: Candidate, pool: &[usize], candidates: &[Candidate], bound: f64) -> bool {
    let sum: f64 = pool.iter().map(|i| candidates[*i].share()).sum();
    let mean = sum / pool.len() as f64;
    let after = f64::from(one.online + 1) / f64::from(one.slots.max(1));
    let one_slot = 1.0 / f64::from(one.slots.max(1));
    after <= (mean + one_slot) * bound && one.online < one.slots
}

const PREFIX_BYTES: usize = 256;

/// Hash of the part of a prompt that decides affinity.
pub fn prefix(service: &str, text: &str) -> u64 {
    let end = text.len().min(PREFIX_BYTES);
    let mut bytes = Vec::with_capacity(service.len() + 1 + end);
    bytes.extend_from_slice(service.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(&text.as_bytes()[..end]);
    hash::bytes(&bytes)
}

/// The targets that one instance polls, when the fleet has more than `most`.
///
/// Each instance takes the targets with the highest weights for its own id, so
/// that every target is polled by about the same number of instances.
pub fn subset(me: u64, targets: &[u64], most: usize) -> Vec<u64> {
    let mut ranked: Vec<u64> = targets.to_vec();
    ranked.sort_by_key(|target| std::cmp::Reverse(hash::weight(&me.to_le_bytes(), *target)));
    ranked.truncate(most);
    ranked
}
