//! What a holder has learnt of its items beyond what is durable, and how another takes it in.

use super::{FailureCount, ItemId, JobState, Outcome};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// What is known of an item that was stopped before its end.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialOutput {
    /// Id of its last event; `None` before the first.
    #[serde(rename = "last_event")]
    pub last_event_id: Option<u64>,
    /// The data of its events so far, in order.
    #[serde(rename = "texts")]
    pub events: Vec<String>,
}

/// How a run of an item failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The target ran it and failed.
    Retryable,
    /// The target says that it can never be done.
    Permanent,
}

/// What a holder has learnt of a job's items that isn't durable, for the holder that
/// follows it.
///
/// Guards against items that run again at each change of hands: one that can never be
/// done was run by three holders within 4.4 s, four times in all, since each wrote its
/// verdict down only after it had lost the job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handoff {
    /// What stopped runs have made.
    pub partials: HashMap<ItemId, PartialOutput>,
    /// How often items failed.
    pub failures: BTreeMap<ItemId, FailureCount>,
    /// Results that aren't listed yet.
    pub outcomes: Vec<Outcome>,
}

impl Handoff {
    /// Whether there is nothing to pass on.
    pub fn is_empty(&self) -> bool {
        self.partials.is_empty() && self.failures.is_empty() && self.outcomes.is_empty()
    }
}

impl JobState {
    /// All that is known here and isn't durable, for the next holder.
    pub fn handoff(&self) -> Handoff {
        Handoff {
            partials: self.partials.clone(),
            failures: self.failures.clone(),
            outcomes: self.unwritten.clone(),
        }
    }

    /// Takes in what another holder has learnt. Both may have counted the same failed
    /// runs, so the higher count stands: an item runs too often rather than being
    /// given up too soon.
    pub fn merge_handoff(&mut self, learnt: Handoff) {
        learnt.outcomes.into_iter().for_each(|outcome| self.record_outcome(outcome));
        self.merge_failures(&learnt.failures);
        self.merge_partials(learnt.partials);
    }

    pub(super) fn merge_failures(&mut self, failures: &BTreeMap<ItemId, FailureCount>) {
        for (item, count) in failures {
            if self.done.contains(item) {
                continue;
            }
            let known = self.failures.entry(item.clone()).or_default();
            known.runs = known.runs.max(count.runs);
            known.is_permanent |= count.is_permanent;
            self.give_up_if_spent(item);
        }
    }

    /// Takes in what runs at another holder have made.
    pub fn merge_partials(&mut self, partials: HashMap<ItemId, PartialOutput>) {
        for (item, partial) in partials {
            if self.done.contains(&item) {
                continue;
            }
            let known = self.partials.entry(item).or_default();
            if partial.last_event_id > known.last_event_id {
                *known = partial;
            }
        }
    }
}
