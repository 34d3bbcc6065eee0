//! Result objects of a chunk, one for each progress report.

use protocol::job::{Item, Outcome};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Identifies one result object of a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultPartRef {
    /// Assignment that wrote it.
    pub attempt: u32,
    /// Number within that assignment, from 0.
    pub part: u32,
}

/// Contents of one result object. Items are numbered within their chunk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultPart {
    /// Outcomes by item.
    pub outcomes: BTreeMap<u32, Outcome>,
    /// Items that may run at most once and are about to be sent.
    pub started: Vec<u32>,
    /// Number of tries so far, for items without an outcome.
    pub tries: BTreeMap<u32, u32>,
}

/// Stored items of one chunk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkItems {
    /// Items in the order of submission.
    pub items: Vec<Item>,
}

/// Progress of a chunk, merged from its result objects.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChunkProgress {
    /// Outcomes by item; the first one of an item wins.
    pub outcomes: BTreeMap<u32, Outcome>,
    /// Items that may run at most once and were started.
    pub started: Vec<u32>,
    /// Maximum number of tries reported for each item.
    pub tries: BTreeMap<u32, u32>,
}

impl ChunkProgress {
    /// Merges the next result object.
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

    /// Decides what a new holder does with item `index`, which may be tried
    /// `max_tries` times.
    pub fn plan(&self, index: u32, item: &Item, max_tries: u32) -> Plan {
        if self.outcomes.contains_key(&index) {
            return Plan::Skip;
        }
        if !item.repeatable && self.started.contains(&index) {
            return Plan::OutcomeUnknown;
        }
        let tries = self.tries.get(&index).copied().unwrap_or(0);
        if tries >= max_tries { Plan::AttemptsExhausted } else { Plan::Run { tries } }
    }
}

/// What a new holder does with one item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// The item has an outcome.
    Skip,
    /// The item may have run and must not run again.
    OutcomeUnknown,
    /// The item was tried the maximum number of times.
    AttemptsExhausted,
    /// The item is to be run.
    Run {
        /// Number of earlier tries.
        tries: u32,
    },
}
