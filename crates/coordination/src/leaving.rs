//! Tracks which targets are leaving, by the notices of several sources.
//!
//! The platform's list lags, a target's own rejection reaches one instance, and an operator's
//! change may race a rollout. A target counts as leaving while any source says so; each source
//! withdraws only its own notice.

use crate::TargetId;
use std::collections::HashMap;

/// Origin of a notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The platform's list of instances.
    Platform,
    /// A rejection by the target itself, received here or by a peer.
    Target,
    /// The configuration.
    Operator,
    /// A controller that is about to send the target an order.
    Controller,
}

/// Latest notices of all targets.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    notices: HashMap<(TargetId, Source), Notice>,
}

/// Notice of one source about one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Notice {
    /// Whether the target leaves; `false` withdraws an earlier notice.
    pub leaving: bool,
    /// Version by the source's own clock; only a higher one replaces a notice of the same source.
    pub stamp: u64,
}

impl Targets {
    /// Records a notice; `true` if it changed the source's state and should be broadcast.
    pub fn record(&mut self, target: &str, source: Source, notice: Notice) -> bool {
        let key = (target.to_owned(), source);
        if self.notices.get(&key).is_some_and(|known| known.stamp >= notice.stamp) {
            return false;
        }
        let changed = self.notices.get(&key).is_none_or(|known| known.leaving != notice.leaving);
        self.notices.insert(key, notice);
        changed
    }

    /// The latest notice of one source; `None` if there was none.
    pub fn notice(&self, target: &str, source: Source) -> Option<Notice> {
        self.notices.get(&(target.to_owned(), source)).copied()
    }

    /// Whether any source says that the target leaves.
    pub fn is_leaving(&self, target: &str) -> bool {
        self.notices.iter().any(|((name, _), notice)| name == target && notice.leaving)
    }

    /// All targets that are leaving.
    pub fn all(&self) -> Vec<TargetId> {
        let leaving = self.notices.iter().filter(|(_, notice)| notice.leaving);
        leaving.map(|((name, _), _)| name.clone()).collect()
    }

    /// Drops the notices of targets that `keep` rejects, such as those no longer configured.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.notices.retain(|(name, _), _| keep(name));
    }
}
