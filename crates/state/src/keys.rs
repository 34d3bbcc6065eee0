//! Request keys of one shard.
//!
//! A finished key is a few bytes here: hash of the key, digest, and the entry
//! that holds the outcome. Outcomes stay in the entries, so memory doesn't grow
//! with the size of answers.

use coordination::hash;
use protocol::Millis;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// A claim of a request that may run once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Digest of the request.
    pub digest: u64,
    /// The one attempt.
    pub attempt: u64,
    /// Time after which its answer isn't awaited.
    pub deadline: Millis,
    /// When the key was issued.
    pub issued: Millis,
}

/// A key with an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finished {
    /// Digest of the request.
    pub digest: u64,
    /// Entry that holds the outcome.
    pub position: u64,
    /// When the key was issued.
    pub issued: Millis,
}

/// All keys of a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keys {
    claims: HashMap<String, Claim>,
    finished: HashMap<u64, Finished>,
    /// Attempts that were given back, with the issue time of their key. A claim
    /// whose append was still under way when it was given back may land after
    /// that, and must not count then.
    released: HashMap<u64, Millis>,
}

impl Keys {
    /// The claim on `key`, if there is no outcome yet.
    pub fn claim(&self, key: &str) -> Option<&Claim> {
        self.claims.get(key)
    }

    /// The outcome's place.
    pub fn finished(&self, key: &str) -> Option<Finished> {
        self.finished.get(&hash::bytes(key.as_bytes())).copied()
    }

    /// Whether an attempt was given back.
    pub fn is_released(&self, attempt: u64) -> bool {
        self.released.contains_key(&attempt)
    }

    /// Folds a claim; the first one counts.
    pub fn on_claimed(&mut self, key: String, claim: Claim) {
        if !self.is_released(claim.attempt) {
            self.claims.entry(key).or_insert(claim);
        }
    }

    /// Folds a release of an attempt that was never sent.
    pub fn on_released(&mut self, key: &str, attempt: u64, issued: Millis) {
        self.released.insert(attempt, issued);
        if self.claims.get(key).is_some_and(|claim| claim.attempt == attempt) {
            self.claims.remove(key);
        }
    }

    /// Folds an outcome; the first one counts. Returns whether it was the first.
    pub fn on_finished(&mut self, key: &str, finished: Finished) -> bool {
        self.claims.remove(key);
        let hash = hash::bytes(key.as_bytes());
        let is_first = !self.finished.contains_key(&hash);
        self.finished.entry(hash).or_insert(finished);
        is_first
    }

    /// Forgets keys issued before `before`.
    pub fn expire(&mut self, before: Millis) {
        self.finished.retain(|_, finished| finished.issued >= before);
        self.claims.retain(|_, claim| claim.issued >= before);
        self.released.retain(|_, issued| *issued >= before);
    }

    /// Keys with an outcome.
    pub fn len(&self) -> usize {
        self.finished.len()
    }

    /// Whether there is neither a claim nor an outcome.
    pub fn is_empty(&self) -> bool {
        self.finished.is_empty() && self.claims.is_empty()
    }

    /// Finished keys whose entries stand at or after `from`, for a segment.
    pub fn finished_since(&self, from: u64) -> Vec<(u64, Finished)> {
        let since = self.finished.iter().filter(|(_, f)| f.position >= from);
        let mut list: Vec<(u64, Finished)> = since.map(|(h, f)| (*h, *f)).collect();
        list.sort_by_key(|(hash, finished)| (finished.position, *hash));
        list
    }

    /// Claims, for a snapshot.
    pub fn claims(&self) -> &HashMap<String, Claim> {
        &self.claims
    }

    /// Attempts that were given back, for a snapshot.
    pub fn released(&self) -> &HashMap<u64, Millis> {
        &self.released
    }

    /// Keys as a snapshot and its segments give them.
    pub fn restore(
        claims: HashMap<String, Claim>,
        released: HashMap<u64, Millis>,
        finished: Vec<(u64, Finished)>,
    ) -> Keys {
        Keys { claims, released, finished: finished.into_iter().collect() }
    }
}
