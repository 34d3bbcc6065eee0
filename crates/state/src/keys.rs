//! Idempotency keys of one shard.
//!
//! For a finished key, only its hash, the request's digest and the position of
//! the log entry with the outcome are kept. Outcomes stay in the log entries, so
//! memory use doesn't depend on the size of responses.

use coordination::hash;
use protocol::Millis;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Claim of an attempt to run a request that may run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Digest of the request.
    pub digest: u64,
    /// The only attempt that may send the request.
    pub attempt: u64,
    /// Time after which the caller no longer waits for the response.
    pub deadline: Millis,
    /// When the key was issued.
    pub issued: Millis,
}

/// An idempotency key whose request has an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finished {
    /// Digest of the request.
    pub digest: u64,
    /// Position of the log entry that holds the outcome.
    pub position: u64,
    /// When the key was issued.
    pub issued: Millis,
}

/// All idempotency keys of a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keys {
    claims: HashMap<String, Claim>,
    finished: HashMap<u64, Finished>,
    /// Released attempts, with the issue time of their key. The claim of a
    /// released attempt may still be appended afterwards and must be ignored.
    released: HashMap<u64, Millis>,
}

impl Keys {
    /// The claim on `key`, if there is no outcome yet.
    pub fn claim(&self, key: &str) -> Option<&Claim> {
        self.claims.get(key)
    }

    /// Location of the outcome of `key`, if it has one.
    pub fn finished(&self, key: &str) -> Option<Finished> {
        self.finished.get(&hash::bytes(key.as_bytes())).copied()
    }

    /// Whether an attempt was released.
    pub fn is_released(&self, attempt: u64) -> bool {
        self.released.contains_key(&attempt)
    }

    /// Applies a claim; the first one of a key wins.
    pub fn on_claimed(&mut self, key: String, claim: Claim) {
        if !self.is_released(claim.attempt) {
            self.claims.entry(key).or_insert(claim);
        }
    }

    /// Applies the release of an attempt that was never sent.
    pub fn on_released(&mut self, key: &str, attempt: u64, issued: Millis) {
        self.released.insert(attempt, issued);
        if self.claims.get(key).is_some_and(|claim| claim.attempt == attempt) {
            self.claims.remove(key);
        }
    }

    /// Applies an outcome; the first one of a key wins. Returns whether this one
    /// was the first.
    pub fn on_finished(&mut self, key: &str, finished: Finished) -> bool {
        self.claims.remove(key);
        let hash = hash::bytes(key.as_bytes());
        let is_first = !self.finished.contains_key(&hash);
        self.finished.entry(hash).or_insert(finished);
        is_first
    }

    /// Removes keys issued before `before`.
    pub fn expire(&mut self, before: Millis) {
        self.finished.retain(|_, finished| finished.issued >= before);
        self.claims.retain(|_, claim| claim.issued >= before);
        self.released.retain(|_, issued| *issued >= before);
    }

    /// Number of keys with an outcome.
    pub fn len(&self) -> usize {
        self.finished.len()
    }

    /// Whether there is neither a claim nor an outcome.
    pub fn is_empty(&self) -> bool {
        self.finished.is_empty() && self.claims.is_empty()
    }

    /// Finished keys whose outcome is at position `from` or later, by position.
    pub fn finished_since(&self, from: u64) -> Vec<(u64, Finished)> {
        let since = self.finished.iter().filter(|(_, f)| f.position >= from);
        let mut list: Vec<(u64, Finished)> = since.map(|(h, f)| (*h, *f)).collect();
        list.sort_by_key(|(hash, finished)| (finished.position, *hash));
        list
    }

    /// Claims without an outcome, by key.
    pub fn claims(&self) -> &HashMap<String, Claim> {
        &self.claims
    }

    /// Released attempts, with the issue time of their key.
    pub fn released(&self) -> &HashMap<u64, Millis> {
        &self.released
    }

    /// Restores the keys from a snapshot and its segments.
    pub fn restore(
        claims: HashMap<String, Claim>,
        released: HashMap<u64, Millis>,
        finished: Vec<(u64, Finished)>,
    ) -> Keys {
        Keys { claims, released, finished: finished.into_iter().collect() }
    }
}
