//! The life of one batch job, from its acceptance to its last result.
//!
//! A [`Job`] never changes once it is accepted. What happens to it is its
//! [`Progress`]: who holds it, which results are listed, how often items failed,
//! whether it was ended. Both lie on the platform, in one object for each job,
//! and each change of the progress is a write on the condition that nobody else
//! has written since. A [`JobState`] is the holder's copy: the progress that is
//! durable, what came after it, and what runs.
//!
//! Nothing here reads or writes; the present time is an argument.
//!
//! ```
//! use state::progress::{Job, Outcome, Progress, JobState};
//!
//! let job = Job::example("7c41", &["a", "b"]);
//! let mut state = JobState::new(job, Progress::default(), 3);
//! assert_eq!(state.start_next().map(|item| item.id.clone()), Some("a".into()));
//! state.on_done("a", Outcome { item: "a".into(), is_complete: true, text: "x".into() });
//! assert!(state.listed().is_empty(), "listed only once it is durable");
//! let draft = state.draft().unwrap();
//! state.on_durable(&draft);
//! assert_eq!(state.listed().len(), 1);
//! ```

mod handoff;
mod job;

pub use handoff::{Failure, Handoff, PartialOutput};
pub use job::{FailureCount, Holder, Item, ItemId, Job, JobId, Millis, Outcome, Progress};

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

/// The holder's copy of a job.
#[derive(Clone, Debug)]
pub struct JobState {
    job: Arc<Job>,
    durable: Progress,
    /// Results that are not durable yet.
    unwritten: Vec<Outcome>,
    failures: BTreeMap<ItemId, FailureCount>,
    ended: bool,
    running: HashSet<ItemId>,
    /// Items that may not run now, though nothing else stands against it.
    withheld: HashSet<ItemId>,
    partials: HashMap<ItemId, PartialOutput>,
    done: HashSet<ItemId>,
    attempts: u32,
}

impl JobState {
    /// A copy of what is durable; `attempts` failed runs make an item fail for
    /// good.
    pub fn new(job: Job, durable: Progress, attempts: u32) -> JobState {
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
            attempts: attempts.max(1),
            durable,
        }
    }

    /// The job.
    pub fn job(&self) -> &Arc<Job> {
        &self.job
    }

    /// Results that are durable, in the order of their positions.
    pub fn durable_results(&self) -> &[Outcome] {
        &self.durable.outcomes
    }

    /// Whether its submitter ended it.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Whether its end is durable.
    pub fn is_end_durable(&self) -> bool {
        self.durable.ended
    }

    /// Whether every item has a result, durable or not.
    pub fn is_done(&self) -> bool {
        self.done.len() >= self.job.items.len()
    }

    /// Whether every item has a result that is durable.
    pub fn is_all_durable(&self) -> bool {
        self.durable.outcomes.len() >= self.job.items.len()
    }

    /// Whether nothing is left to run or to write.
    pub fn is_finished(&self) -> bool {
        let nothing_left = self.is_done() || self.ended;
        nothing_left && self.running.is_empty() && self.next_write().is_none()
    }

    /// Results that are not durable yet.
    pub fn unwritten(&self) -> usize {
        self.unwritten.len()
    }

    /// Whether an item that failed for good is among them.
    pub fn has_unwritten_failure(&self) -> bool {
        self.unwritten.iter().any(|outcome| !outcome.is_complete)
    }

    /// Tokens of the items without a result; none once the job has ended.
    pub fn waiting_tokens(&self) -> u64 {
        if self.ended {
            return 0;
        }
        let waiting = self.job.items.iter().filter(|item| !self.done.contains(&item.id));
        waiting.map(|item| item.tokens).sum()
    }

    /// Items that could run now.
    pub fn runnable(&self) -> usize {
        if self.ended { 0 } else { self.free_items().count() }
    }

    /// Items that could run now and were stopped in an earlier run.
    pub fn started(&self) -> usize {
        if self.ended {
            0
        } else {
            self.free_items().filter(|item| self.event_count(&item.id) > 0).count()
        }
    }

    fn idle_items(&self) -> impl Iterator<Item = &Item> {
        let idle = |item: &&Item| !self.done.contains(&item.id) && !self.running.contains(&item.id);
        self.job.items.iter().filter(idle)
    }

    fn free_items(&self) -> impl Iterator<Item = &Item> {
        self.idle_items().filter(|item| !self.withheld.contains(&item.id))
    }

    /// The next item to run: the one that has made most, since least of it is left.
    fn next_item(&self) -> Option<&Item> {
        let runnable = self.free_items().filter(|_| !self.ended);
        runnable.min_by_key(|item| Reverse(self.event_count(&item.id)))
    }

    /// Events that earlier runs of an item have made.
    fn event_count(&self, item: &str) -> usize {
        self.partials.get(item).map_or(0, |partial| partial.events.len())
    }

    /// Events that the next item to run has made already; `None` if none is left.
    pub fn next_event_count(&self) -> Option<usize> {
        self.next_item().map(|item| self.event_count(&item.id))
    }

    /// Takes the next item to run.
    pub fn start_next(&mut self) -> Option<Item> {
        let item = self.next_item()?.clone();
        self.running.insert(item.id.clone());
        Some(item)
    }

    /// What an earlier run of the item has made.
    pub fn partial(&self, item: &str) -> PartialOutput {
        self.partials.get(item).cloned().unwrap_or_default()
    }

    /// An item that was taken to run must not run for a while.
    pub fn withhold(&mut self, item: &str) {
        self.running.remove(item);
        self.withheld.insert(item.to_owned());
    }

    /// An item that was withheld may run again.
    pub fn on_released(&mut self, item: &str) {
        self.withheld.remove(item);
    }

    /// A run was stopped or broke off before its end.
    pub fn on_stopped(&mut self, item: &str, partial: PartialOutput) {
        self.running.remove(item);
        if !partial.events.is_empty() && !self.done.contains(item) {
            self.partials.insert(item.to_owned(), partial);
        }
    }

    /// A run came to its end.
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

    /// A run failed; the item fails for good after its last attempt.
    pub fn on_failed(&mut self, item: &str, failure: Failure) {
        self.running.remove(item);
        // A run that failed says nothing about what it had made.
        self.partials.remove(item);
        let count = self.failures.entry(item.to_owned()).or_default();
        match failure {
            Failure::Retryable => count.runs += 1,
            Failure::Permanent => count.is_permanent = true,
        }
        self.give_up_if_spent(item);
    }

    fn give_up_if_spent(&mut self, item: &str) {
        let count = self.failures.get(item).copied().unwrap_or_default();
        if count.is_permanent || count.runs >= self.attempts {
            self.give_up(item);
        }
    }

    fn give_up(&mut self, item: &str) {
        let outcome = Outcome { item: item.to_owned(), is_complete: false, text: String::new() };
        self.record_outcome(outcome);
    }

    /// Gives up what isn't done when its time has passed.
    pub fn expire(&mut self, now: Millis) {
        if now < self.job.expires || self.ended {
            return;
        }
        let late: Vec<ItemId> = self.idle_items().map(|item| item.id.clone()).collect();
        late.iter().for_each(|item| self.give_up(item));
    }

    /// The job's route is gone: what isn't done can't be.
    pub fn on_route_removed(&mut self) {
        let left: Vec<ItemId> = self.idle_items().map(|item| item.id.clone()).collect();
        left.iter().for_each(|item| self.give_up(item));
    }

    /// Its submitter ends the job.
    pub fn end(&mut self) {
        self.ended = true;
    }

    /// The progress to write next; `None` when all is durable. Failures alone
    /// are not worth a write: they go along with the next results, or when a
    /// failure is the only thing that has happened, with [`JobState::failures_due`].
    pub fn next_write(&self) -> Option<Progress> {
        if self.has_unwritten() { Some(self.to_progress()) } else { None }
    }

    /// Whether there is anything to write.
    pub fn has_unwritten(&self) -> bool {
        !self.unwritten.is_empty() || self.ended != self.durable.ended
    }

    /// Whether failures have been counted that no write has carried yet.
    pub fn has_unwritten_failures(&self) -> bool {
        self.failures != self.durable.failures
    }

    /// The progress with all that is known here.
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

    /// A progress made from this state was written.
    pub fn on_written(&mut self, written: &Progress) {
        let listed: HashSet<&str> = written.outcomes.iter().map(|o| o.item.as_str()).collect();
        self.unwritten.retain(|outcome| !listed.contains(outcome.item.as_str()));
        self.durable = written.clone();
    }

    /// Another instance has written: its results stand, in its order. Results
    /// made here that it doesn't have follow behind them, unless it has ended the
    /// job: a durable end closes the list, so that whoever has read an ended job
    /// shows the same results ever after.
    pub fn on_conflict(&mut self, found: Progress) {
        if found.ended {
            self.unwritten.clear();
        }
        let listed: HashSet<ItemId> = found.outcomes.iter().map(|o| o.item.clone()).collect();
        self.unwritten.retain(|outcome| !listed.contains(&outcome.item));
        for item in &listed {
            self.partials.remove(item);
        }
        self.done = listed;
        self.done.extend(self.unwritten.iter().map(|outcome| outcome.item.clone()));
        self.merge_failures(&found.failures);
        let done = &self.done;
        self.failures.retain(|item, _| !done.contains(item));
        self.ended |= found.ended;
        self.durable = found;
    }

    /// Who holds the job by what is durable.
    pub fn holder(&self) -> Holder {
        self.durable.holder.unwrap_or(self.job.accepted_by)
    }
}
