//! State that isn't durable, handed off to a job's next holder.

use super::{FailureCount, ItemId, JobState, Outcome};
use protocol::routing::Origin;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// Output of an item whose run was preempted or interrupted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialOutput {
    /// Id of the last event; `None` before the first.
    #[serde(rename = "last_event")]
    pub last_event_id: Option<u64>,
    /// The data of the events so far, in order.
    #[serde(rename = "texts")]
    pub events: Vec<String>,
    /// What generated the events; `None` without events, or from an earlier build.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<Origin>,
}

/// How a run of an item failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The run failed; another one may succeed.
    Retryable,
    /// The target reported that the item can never succeed.
    Permanent,
}

/// State of a job's items that isn't durable, handed off to the next holder.
///
/// Without it, items would run again at each change of the holder, among them items
/// that failed permanently: one ran four times within 4.4 s, at three holders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handoff {
    /// Output of preempted or interrupted runs.
    pub partials: HashMap<ItemId, PartialOutput>,
    /// Failure counts of items without a result.
    pub failures: BTreeMap<ItemId, FailureCount>,
    /// Results that aren't durable yet.
    pub outcomes: Vec<Outcome>,
}

impl Handoff {
    /// Whether there is nothing to hand off.
    pub fn is_empty(&self) -> bool {
        self.partials.is_empty() && self.failures.is_empty() && self.outcomes.is_empty()
    }
}

impl JobState {
    /// The state that isn't durable, for the next holder.
    pub fn handoff(&self) -> Handoff {
        Handoff {
            partials: self.partials.clone(),
            failures: self.failures.clone(),
            outcomes: self.unwritten.clone(),
        }
    }

    /// Merges the handoff of another holder. Both may have counted the same failed
    /// runs, so the higher count applies: an extra run is better than failing an item
    /// too early.
    pub fn merge_handoff(&mut self, handoff: Handoff) {
        handoff.outcomes.into_iter().for_each(|outcome| self.record_outcome(outcome));
        self.merge_failures(&handoff.failures);
        self.merge_partials(handoff.partials);
    }

    pub(super) fn merge_failures(&mut self, failures: &BTreeMap<ItemId, FailureCount>) {
        for (item, count) in failures {
            if self.done.contains(item) {
                continue;
            }
            let known = self.failures.entry(item.clone()).or_default();
            known.runs = known.runs.max(count.runs);
            known.is_permanent |= count.is_permanent;
            self.fail_if_exhausted(item);
        }
    }

    /// Merges output of runs at another holder; the longer output wins.
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
