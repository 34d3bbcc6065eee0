//! Result objects of a chunk: what one progress report brings.

use protocol::job::{Item, Outcome};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Which object of a chunk's results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultPartRef {
    /// Hand-out that wrote it.
    pub attempt: u32,
    /// Number within that hand-out.
    pub part: u32,
}

/// Contents of one result object. Items are numbered within their chunk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultPart {
    /// Outcomes.
    pub outcomes: BTreeMap<u32, Outcome>,
    /// Items that may run once and are about to be sent.
    pub started: Vec<u32>,
    /// Tries so far of items without an outcome.
    pub tries: BTreeMap<u32, u32>,
}

/// Items of one chunk as the platform keeps them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkItems {
    /// The items.
    pub items: Vec<Item>,
}

/// A chunk's items as far as their parts tell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChunkProgress {
    /// Outcomes; the first of each item counts.
    pub outcomes: BTreeMap<u32, Outcome>,
    /// Items that may run once and were started.
    pub started: Vec<u32>,
    /// Most tries told of each item.
    pub tries: BTreeMap<u32, u32>,
}

impl ChunkProgress {
    /// Folds the next part.
    pub fn apply(&mut self, part: ResultPart) {
        for (item, outcome) in part.outcomes {
            self.outcomes.entry(item).or_insert(outcome);
        }
        self.started.extend(part.started);
        for (item, tries) in part.tries {
            let known = self.tries.entry(item).or_insert(0);
            *known = tries.max(*known);
        }
    }

    /// What is to be done about item `index` by a new holder.
    pub fn plan(&self, index: u32, item: &Item, most: u32) -> Plan {
        if self.outcomes.contains_key(&index) {
            return Plan::Skip;
        }
        if !item.repeatable && self.started.contains(&index) {
            return Plan::OutcomeUnknown;
        }
        let tries = self.tries.get(&index).copied().unwrap_or(0);
        if tries >= most { Plan::AttemptsExhausted } else { Plan::Run { tries } }
    }
}

/// What a holder does with one item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// It has an outcome.
    Skip,
    /// It may have run and may not run again.
    OutcomeUnknown,
    /// It was tried as often as allowed.
    AttemptsExhausted,
    /// Run it.
    Run {
        /// Tries before.
        tries: u32,
    },
}
