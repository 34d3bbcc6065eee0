//! Which targets are leaving: the strongest of several witnesses wins.
//!
//! The platform's list lags, a target's own refusal is seen by one instance,
//! an operator's order may race a rollout. A target counts as leaving while any
//! of them says so; each witness takes back only its own word.

use crate::TargetId;
use std::collections::HashMap;

/// Who says that a target leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The platform's list of instances.
    Platform,
    /// The target's own refusal, seen here or told by a peer.
    Target,
    /// The configuration.
    Operator,
    /// A controller that is about to give the target an order.
    Controller,
}

/// Words about all targets.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    words: HashMap<(TargetId, Source), Notice>,
}

/// One witness's word about one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Notice {
    /// Whether it leaves.
    pub leaving: bool,
    /// Source's own clock; a later word of the same witness replaces an earlier.
    pub stamp: u64,
}

impl Targets {
    /// Takes in a word; `true` when it changed anything (and should be passed on).
    pub fn record(&mut self, target: &str, witness: Source, word: Notice) -> bool {
        let key = (target.to_owned(), witness);
        if self.words.get(&key).is_some_and(|known| known.stamp >= word.stamp) {
            return false;
        }
        let changed = self.words.get(&key).is_none_or(|known| known.leaving != word.leaving);
        self.words.insert(key, word);
        changed
    }

    /// The last word of one witness.
    pub fn notice(&self, target: &str, witness: Source) -> Option<Notice> {
        self.words.get(&(target.to_owned(), witness)).copied()
    }

    /// Whether anyone says that the target leaves.
    pub fn is_leaving(&self, target: &str) -> bool {
        self.words.iter().any(|((name, _), word)| name == target && word.leaving)
    }

    /// All targets that anyone says are leaving.
    pub fn all(&self) -> Vec<TargetId> {
        let leaving = self.words.iter().filter(|(_, word)| word.leaving);
        leaving.map(|((name, _), _)| name.clone()).collect()
    }

    /// Forgets targets that are no longer configured.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.words.retain(|(name, _), _| keep(name));
    }
}
