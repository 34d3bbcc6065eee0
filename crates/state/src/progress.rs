//! State machine of one batch job, from its acceptance to its last result.
//!
//! A [`Job`] is immutable once it is accepted. Its [`Progress`] is its mutable
//! part: holder, results, failure counts, whether its submitter ended it. Both
//! are stored in one object of the platform, and the progress is written by
//! compare-and-swap. A [`JobState`] is the holder's in-memory copy: the durable
//! progress, changes that aren't written yet, and the running items.
//!
//! This module does no I/O; the current time is passed in.
//!
//! ```
//! use state::progress::{Job, JobState, Outcome, Progress};
//!
//! let job = Job::example("7c41", &["a", "b"]);
//! let mut state = JobState::new(job, Progress::default(), 3);
//! assert_eq!(state.start_next().map(|item| item.id.clone()), Some("a".into()));
//! state.on_done("a", Outcome { item: "a".into(), is_complete: true, text: "x".into() });
//! assert!(state.durable_results().is_empty(), "results are durable only once written");
//! let progress = state.next_write().unwrap();
//! state.on_written(&progress);
//! assert_eq!(state.durable_results().len(), 1);
//! ```

mod handoff;
mod job;

pub use handoff::{Failure, Handoff, PartialOutput};
pub use job::{
    FailureCount, Holder, Item, ItemId, Job, JobId, MAX_ITEM_TOKENS, MAX_TIME, Millis, Outcome,
    Progress, at_most,
};

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

/// The holder's in-memory state of a job.
#[derive(Clone, Debug)]
pub struct JobState {
    job: Arc<Job>,
    durable: Progress,
    /// Results that are not durable yet, oldest first.
    unwritten: Vec<Outcome>,
    failures: BTreeMap<ItemId, FailureCount>,
    ended: bool,
    running: HashSet<ItemId>,
    /// Items that must not run until [`JobState::on_released`].
    withheld: HashSet<ItemId>,
    partials: HashMap<ItemId, PartialOutput>,
    done: HashSet<ItemId>,
    max_attempts: u32,
}

impl JobState {
    /// State after loading `durable`; an item fails permanently after
    /// `max_attempts` failed runs (at least one).
    pub fn new(job: Job, durable: Progress, max_attempts: u32) -> JobState {
        let done = durable.outcomes.iter().map(|outcome| outcome.item.clone()).collect();
        JobState {
            job: Arc::new(job),
            unwritten: Vec::new(),
            failures: durable.failures.clone(),
            ended: durable.ended,
            running: HashSet::new(),
            withheld: HashSet::new(),
            partials: HashMap::new(),
            done,
            max_attempts: max_attempts.max(1),
            durable,
        }
    }

    /// The job as it was accepted.
    pub fn job(&self) -> &Arc<Job> {
        &self.job
    }

    /// Durable results, in the order of their positions.
    pub fn durable_results(&self) -> &[Outcome] {
        &self.durable.outcomes
    }

    /// Whether its submitter ended the job, durably or not.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Whether the end of the job is durable.
    pub fn is_end_durable(&self) -> bool {
        self.durable.ended
    }

    /// Whether every item has a result, durable or not.
    pub fn is_done(&self) -> bool {
        self.done.len() >= self.job.items.len()
    }

    /// Whether every item has a durable result.
    pub fn is_all_durable(&self) -> bool {
        self.durable.outcomes.len() >= self.job.items.len()
    }

    /// Whether nothing remains to run or to write.
    pub fn is_finished(&self) -> bool {
        let nothing_remaining = self.is_done() || self.ended;
        nothing_remaining && self.running.is_empty() && self.next_write().is_none()
    }

    /// Number of results that are not durable yet.
    pub fn unwritten(&self) -> usize {
        self.unwritten.len()
    }

    /// Whether an item failed permanently and that result is not durable yet.
    pub fn has_unwritten_failure(&self) -> bool {
        self.unwritten.iter().any(|outcome| !outcome.is_complete)
    }

    /// Total tokens of the items without a result; 0 once the job has ended.
    pub fn waiting_tokens(&self) -> u64 {
        if self.ended {
            return 0;
        }
        let waiting = self.job.items.iter().filter(|item| !self.done.contains(&item.id));
        waiting.map(|item| item.tokens).sum()
    }

    /// Number of items that could run now.
    pub fn runnable(&self) -> usize {
        if self.ended { 0 } else { self.runnable_items().count() }
    }

    /// Number of items that could run now and have output of an earlier run.
    pub fn started(&self) -> usize {
        if self.ended {
            0
        } else {
            self.runnable_items().filter(|item| self.event_count(&item.id) > 0).count()
        }
    }

    fn idle_items(&self) -> impl Iterator<Item = &Item> {
        let idle = |item: &&Item| !self.done.contains(&item.id) && !self.running.contains(&item.id);
        self.job.items.iter().filter(idle)
    }

    fn runnable_items(&self) -> impl Iterator<Item = &Item> {
        self.idle_items().filter(|item| !self.withheld.contains(&item.id))
    }

    /// The next item to run: the one with the most events, as it has the least
    /// work remaining.
    pub fn next_item(&self) -> Option<&Item> {
        let runnable = self.runnable_items().filter(|_| !self.ended);
        runnable.min_by_key(|item| Reverse(self.event_count(&item.id)))
    }

    /// Number of events that earlier runs of an item produced.
    fn event_count(&self, item: &str) -> usize {
        self.partials.get(item).map_or(0, |partial| partial.events.len())
    }

    /// Number of events that earlier runs of the next item produced; `None` if no
    /// item can run.
    pub fn next_event_count(&self) -> Option<usize> {
        self.next_item().map(|item| self.event_count(&item.id))
    }

    /// Marks the next item as running and returns it; `None` if no item can run.
    pub fn start_next(&mut self) -> Option<Item> {
        self.start_next_where(|_| true)
    }

    /// As [`JobState::start_next`], but items whose output `can_continue` rejects come last, since
    /// they must run again from the first event.
    pub fn start_next_where(
        &mut self,
        can_continue: impl Fn(&PartialOutput) -> bool,
    ) -> Option<Item> {
        let order = |item: &&Item| {
            let partial = self.partials.get(&item.id);
            let is_useless = partial.is_some_and(|partial| !can_continue(partial));
            (is_useless, Reverse(self.event_count(&item.id)))
        };
        let runnable = self.runnable_items().filter(|_| !self.ended);
        let item = runnable.min_by_key(order)?.clone();
        self.running.insert(item.id.clone());
        Some(item)
    }

    /// Output of earlier runs of the item; empty if there is none.
    pub fn partial(&self, item: &str) -> PartialOutput {
        self.partials.get(item).cloned().unwrap_or_default()
    }

    /// Withholds an item that was started until [`JobState::on_released`].
    pub fn withhold(&mut self, item: &str) {
        self.running.remove(item);
        self.withheld.insert(item.to_owned());
    }

    /// Makes a withheld item runnable again.
    pub fn on_released(&mut self, item: &str) {
        self.withheld.remove(item);
    }

    /// Records a run that was preempted or interrupted, with its output so far. Output that is
    /// shorter than that of an earlier run is dropped.
    pub fn on_stopped(&mut self, item: &str, partial: PartialOutput) {
        self.running.remove(item);
        let is_longest = partial.events.len() >= self.event_count(item);
        if !partial.events.is_empty() && is_longest && !self.done.contains(item) {
            self.partials.insert(item.to_owned(), partial);
        }
    }

    /// Records a run that completed.
    pub fn on_done(&mut self, item: &str, outcome: Outcome) {
        self.running.remove(item);
        self.record_outcome(outcome);
    }

    fn record_outcome(&mut self, outcome: Outcome) {
        if self.done.insert(outcome.item.clone()) {
            self.partials.remove(&outcome.item);
            self.failures.remove(&outcome.item);
            if !self.durable.ended {
                self.unwritten.push(outcome);
            }
        }
    }

    /// Whether a run of the item has failed before.
    pub fn has_failed(&self, item: &str) -> bool {
        self.failures.contains_key(item)
    }

    /// Records a run that failed; after its last attempt the item fails
    /// permanently.
    pub fn on_failed(&mut self, item: &str, failure: Failure) {
        self.running.remove(item);
        // The output of a failed run can't be relied on.
        self.partials.remove(item);
        let count = self.failures.entry(item.to_owned()).or_default();
        match failure {
            Failure::Retryable => count.runs = count.runs.saturating_add(1),
            Failure::Permanent => count.is_permanent = true,
        }
        self.fail_if_exhausted(item);
    }

    fn fail_if_exhausted(&mut self, item: &str) {
        let count = self.failures.get(item).copied().unwrap_or_default();
        if count.is_permanent || count.runs >= self.max_attempts {
            self.fail_item(item);
        }
    }

    fn fail_item(&mut self, item: &str) {
        let outcome = Outcome { item: item.to_owned(), is_complete: false, text: String::new() };
        self.record_outcome(outcome);
    }

    /// Fails the items that aren't running once the job has expired.
    pub fn expire(&mut self, now: Millis) {
        if now < self.job.expires || self.ended {
            return;
        }
        let expired: Vec<ItemId> = self.idle_items().map(|item| item.id.clone()).collect();
        expired.iter().for_each(|item| self.fail_item(item));
    }

    /// Sets the number of failed runs after which an item fails permanently (at least one). It holds
    /// from the next failure on.
    pub fn set_max_attempts(&mut self, max_attempts: u32) {
        self.max_attempts = max_attempts.max(1);
    }

    /// Fails the items that aren't running, since the job's route was removed.
    pub fn on_route_removed(&mut self) {
        let remaining: Vec<ItemId> = self.idle_items().map(|item| item.id.clone()).collect();
        remaining.iter().for_each(|item| self.fail_item(item));
    }

    /// Ends the job on behalf of its submitter: no item is started any more.
    pub fn end(&mut self) {
        self.ended = true;
    }

    /// The progress to write next; `None` when all results are durable. Failure
    /// counts alone cause no write, see [`JobState::has_unwritten_failures`].
    pub fn next_write(&self) -> Option<Progress> {
        if self.has_unwritten() { Some(self.to_progress()) } else { None }
    }

    /// Whether a result or the end of the job isn't durable yet.
    pub fn has_unwritten(&self) -> bool {
        !self.unwritten.is_empty() || self.ended != self.durable.ended
    }

    /// Whether the failure counts differ from the durable ones.
    pub fn has_unwritten_failures(&self) -> bool {
        self.failures != self.durable.failures
    }

    /// The progress with all changes that aren't written yet.
    pub fn to_progress(&self) -> Progress {
        let mut outcomes = self.durable.outcomes.clone();
        outcomes.extend(self.unwritten.iter().cloned());
        Progress {
            holder: self.durable.holder,
            outcomes,
            failures: self.failures.clone(),
            ended: self.ended,
        }
    }

    /// Records that `written`, taken from this state, is durable.
    pub fn on_written(&mut self, written: &Progress) {
        let durable_items: HashSet<&str> =
            written.outcomes.iter().map(|o| o.item.as_str()).collect();
        self.unwritten.retain(|outcome| !durable_items.contains(outcome.item.as_str()));
        self.durable = written.clone();
    }

    /// Merges `found`, which another instance has written in the meantime. Its
    /// results keep their positions, and unwritten results of other items follow
    /// them, unless `found` has ended the job: then the list of results is final,
    /// so that every reader of an ended job sees the same results.
    pub fn on_conflict(&mut self, found: Progress) {
        if found.ended {
            self.unwritten.clear();
        }
        let durable_items: HashSet<ItemId> =
            found.outcomes.iter().map(|o| o.item.clone()).collect();
        self.unwritten.retain(|outcome| !durable_items.contains(&outcome.item));
        for item in &durable_items {
            self.partials.remove(item);
        }
        self.done = durable_items;
        self.done.extend(self.unwritten.iter().map(|outcome| outcome.item.clone()));
        self.ended |= found.ended;
        // Set before the failure counts are merged: an item that fails in the merge adds
        // a result unless the end is durable.
        self.durable = found;
        let failures = self.durable.failures.clone();
        self.merge_failures(&failures);
        let done = &self.done;
        self.failures.retain(|item, _| !done.contains(item));
    }

    /// The job's holder according to the durable progress.
    pub fn holder(&self) -> Holder {
        self.durable.holder.unwrap_or(self.job.accepted_by)
    }
}
