//! A batch job in the memory of the instance that holds it.

use super::stored_job::{Overflow, StoredJob};
use crate::clock;
use coordination::retry;
use coordination::route_watch::Watch;
use coordination::slots::LeaseOutcome;
use state::progress::{ItemId, JobState};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Delay before an item that was rejected may run again.
const REJECTED_ITEM_DELAY: Duration = Duration::from_millis(100);
/// Delay after the first interrupted run of an item, and the longest one after several.
const INTERRUPTED_ITEM_DELAY: Duration = Duration::from_millis(200);
const MAX_ITEM_DELAY: Duration = Duration::from_secs(3);
/// Items of crashed targets wait for slots anyway, so their delays need no random part.
const MAX_JITTER: f64 = 1.0;

/// A job in this instance's memory.
pub struct HeldJob {
    /// Items, results and progress.
    pub state: RefCell<JobState>,
    /// Revision of the job's object that this instance last read or wrote.
    pub revision: Cell<u64>,
    /// Parts of the job stored in overflow objects.
    pub overflow: RefCell<Overflow>,
    /// When each unfinished item was first started here.
    pub(super) first_started: RefCell<HashMap<ItemId, Instant>>,
    /// How often the runs of each unfinished item were interrupted here.
    pub(super) interruptions: RefCell<HashMap<ItemId, u32>>,
    /// Notified when results or the end of the job have become durable.
    pub changed: Notify,
    /// Notified when there is something to write.
    pub(super) dirty: Notify,
    /// Arrival of the oldest unwritten result; `None` if all are written.
    pub(super) oldest_unwritten: Cell<Option<Instant>>,
    /// Arrival of the oldest unwritten result that is a failure.
    pub(super) oldest_failure: Cell<Option<Instant>>,
    /// When the platform last confirmed that this instance holds the job.
    pub(super) confirmed_at: Cell<Instant>,
    /// Whether the job's route was removed.
    pub(super) route: RefCell<Watch>,
    /// Name of the route in the last status that was announced; empty if there was no route.
    pub(super) announced_route: RefCell<String>,
    /// Cancelled when the submitter ends the job; stops its runs.
    pub(super) ended: CancellationToken,
    /// Cancelled when this instance stops holding the job; stops its runs.
    pub released: CancellationToken,
    /// Whether the job is finished and held only to serve reads.
    pub is_read_only: bool,
}

impl HeldJob {
    /// Loads a job; an item fails permanently after `max_attempts` failed runs.
    pub(super) fn new(stored_job: StoredJob, max_attempts: u32, now: Instant) -> HeldJob {
        let StoredJob { job, progress, overflow, revision } = stored_job;
        let accepted_at = Some(job.config).filter(|version| *version > 0);
        let state = JobState::new(job, progress, max_attempts);
        let is_read_only = state.is_finished();
        HeldJob {
            state: RefCell::new(state),
            revision: Cell::new(revision),
            overflow: RefCell::new(overflow),
            first_started: RefCell::default(),
            interruptions: RefCell::default(),
            changed: Notify::new(),
            dirty: Notify::new(),
            oldest_unwritten: Cell::new(None),
            oldest_failure: Cell::new(None),
            confirmed_at: Cell::new(now),
            route: RefCell::new(Watch::new(accepted_at)),
            announced_route: RefCell::default(),
            ended: CancellationToken::new(),
            released: CancellationToken::new(),
            is_read_only,
        }
    }

    /// Stops all runs because the job has ended.
    pub fn stop_runs(&self) {
        self.ended.cancel();
    }

    /// Schedules a write of what has changed.
    pub fn mark_dirty(&self) {
        let now = clock::now();
        let state = self.state.borrow();
        let since = |is_any: bool, current: Option<Instant>| is_any.then(|| current.unwrap_or(now));
        self.oldest_unwritten.set(since(state.unwritten() > 0, self.oldest_unwritten.get()));
        self.oldest_failure.set(since(state.has_unwritten_failure(), self.oldest_failure.get()));
        self.dirty.notify_one();
    }

    /// How long an item waits before its next run, after one that was interrupted or rejected.
    /// Each interruption makes the wait longer, since the item may be what crashes targets.
    pub(super) fn next_retry_delay(&self, item: &str, outcome: LeaseOutcome) -> Duration {
        if outcome != LeaseOutcome::Interrupted {
            return REJECTED_ITEM_DELAY;
        }
        let mut interruptions = self.interruptions.borrow_mut();
        let count = interruptions.entry(item.to_owned()).or_default();
        *count += 1;
        retry::backoff(*count, INTERRUPTED_ITEM_DELAY, MAX_ITEM_DELAY, MAX_JITTER)
    }

    /// The platform has just confirmed the holder.
    pub(super) fn on_confirmed(&self, now: Instant) {
        self.confirmed_at.set(now);
    }
}
