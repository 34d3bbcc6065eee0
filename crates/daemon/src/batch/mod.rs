//! The batch duty: claims chunks, runs their items in idle capacity, reports.
//!
//! One loop owns all of it. Streams run as tasks and send their ends back; the
//! loop decides, for each target that this instance is in charge of, how many
//! may start or must stop.

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

/// Most jobs whose cancel is remembered.
const CANCELS: usize = 4096;

/// Batch work as other duties see it.
#[derive(Clone, Default)]
pub struct Handle {
    wake: Arc<Notify>,
    hints: Arc<Mutex<Hints>>,
    in_hand: Arc<AtomicUsize>,
}

/// What other duties told the batch duty.
#[derive(Default)]
struct Hints {
    /// Jobs that were cancelled, newest last.
    cancelled: VecDeque<JobId>,
    /// Shards with new jobs and the time of the news.
    work: VecDeque<(ShardId, u64)>,
    /// News already seen, to pass each on once.
    seen: VecDeque<(ShardId, u64)>,
    /// When the last of it came.
    last: Option<Instant>,
}

impl Handle {
    /// Online load, targets or members changed: decide again now.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Chunks in hand; a planned stop waits for them to be given back.
    pub fn in_hand(&self) -> usize {
        self.in_hand.load(Ordering::Relaxed)
    }

    fn set_in_hand(&self, chunks: usize) {
        self.in_hand.store(chunks, Ordering::Relaxed);
    }

    /// A job was cancelled; `true` when that is news.
    pub fn on_cancelled(&self, job: &JobId) -> bool {
        let mut hints = crate::fleet::lock(&self.hints);
        if hints.cancelled.contains(job) {
            return false;
        }
        hints.cancelled.push_back(job.clone());
        if hints.cancelled.len() > CANCELS {
            hints.cancelled.pop_front();
        }
        drop(hints);
        self.wake();
        true
    }

    /// A shard has a new job; `true` when that is news.
    pub fn on_work(&self, shard: ShardId, at: u64, now: Instant) -> bool {
        let mut hints = crate::fleet::lock(&self.hints);
        if hints.seen.contains(&(shard, at)) {
            return false;
        }
        hints.seen.push_back((shard, at));
        hints.last = Some(now);
        hints.work.push_back((shard, at));
        if hints.seen.len() > CANCELS {
            hints.seen.pop_front();
        }
        drop(hints);
        self.wake();
        true
    }

    /// Time since the last news of work.
    pub fn since_work(&self, now: Instant) -> Duration {
        let last = crate::fleet::lock(&self.hints).last;
        last.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }

    fn is_cancelled(&self, job: &JobId) -> bool {
        crate::fleet::lock(&self.hints).cancelled.contains(job)
    }

    fn take_work(&self) -> Option<ShardId> {
        crate::fleet::lock(&self.hints).work.pop_front().map(|(shard, _)| shard)
    }
}

/// Whether this instance may claim and start batch work.
fn is_open(shared: &Shared) -> bool {
    let stopping = crate::fleet::lock(&shared.stopping).is_some();
    shared.settings.batch_enabled && !stopping
}
