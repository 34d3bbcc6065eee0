//! The batch worker: claims chunks, runs their items in idle slots, reports.
//!
//! One loop owns the state. Streams run as tasks and send their outcomes back; for each
//! target that this instance owns, the loop decides how many streams start or stop.

use crate::shared::Shared;
use protocol::{JobId, ShardId};
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

mod chunk;
mod item;
mod report;
mod run;

pub use run::run;

/// Maximum number of cancelled jobs, and of work announcements, remembered.
const MAX_REMEMBERED_CANCELS: usize = 4096;

/// The batch worker, for the other workers.
#[derive(Clone, Default)]
pub struct Handle {
    wake: Arc<Notify>,
    hints: Arc<Mutex<Hints>>,
    assigned_chunks: Arc<AtomicUsize>,
}

/// What other workers reported to the batch worker.
#[derive(Default)]
struct Hints {
    /// Cancelled jobs, newest last.
    cancelled: VecDeque<JobId>,
    /// Announced shards that no claim has followed yet, with the time of the announcement.
    work: VecDeque<(ShardId, u64)>,
    /// Announcements already seen, so that each is forwarded once.
    seen_work: VecDeque<(ShardId, u64)>,
    /// When the last announcement came.
    last_work: Option<Instant>,
}

impl Handle {
    /// Wakes the worker after online load, targets or members changed.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Chunks held by this instance; a planned stop waits until they are released.
    pub fn assigned_chunks(&self) -> usize {
        self.assigned_chunks.load(Ordering::Relaxed)
    }

    fn set_assigned_chunks(&self, chunks: usize) {
        self.assigned_chunks.store(chunks, Ordering::Relaxed);
    }

    /// Records that a job was cancelled; `true` when that is new.
    pub fn on_cancelled(&self, job: &JobId) -> bool {
        let mut hints = crate::fleet::lock(&self.hints);
        if hints.cancelled.contains(job) {
            return false;
        }
        hints.cancelled.push_back(job.clone());
        if hints.cancelled.len() > MAX_REMEMBERED_CANCELS {
            hints.cancelled.pop_front();
        }
        drop(hints);
        self.wake();
        true
    }

    /// Records that a shard has new work; `true` when that is new.
    pub fn on_work(&self, shard: ShardId, at: u64, now: Instant) -> bool {
        let mut hints = crate::fleet::lock(&self.hints);
        if hints.seen_work.contains(&(shard, at)) {
            return false;
        }
        hints.seen_work.push_back((shard, at));
        hints.last_work = Some(now);
        hints.work.push_back((shard, at));
        if hints.seen_work.len() > MAX_REMEMBERED_CANCELS {
            hints.seen_work.pop_front();
        }
        drop(hints);
        self.wake();
        true
    }

    /// Time since the last work announcement; [`Duration::MAX`] before the first.
    pub fn time_since_work(&self, now: Instant) -> Duration {
        let last = crate::fleet::lock(&self.hints).last_work;
        last.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }

    fn is_cancelled(&self, job: &JobId) -> bool {
        crate::fleet::lock(&self.hints).cancelled.contains(job)
    }

    fn next_hint(&self) -> Option<ShardId> {
        crate::fleet::lock(&self.hints).work.pop_front().map(|(shard, _)| shard)
    }
}

/// Whether this instance may claim and start batch work.
fn accepts_work(shared: &Shared) -> bool {
    let stopping = crate::fleet::lock(&shared.stopping).is_some();
    shared.settings.batch_enabled && !stopping
}
