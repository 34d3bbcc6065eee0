//! How tests make the store misbehave, and what it counts.

use super::Objects;
use coordination::limit::TokenBucket;
use serde::Serialize;
use serde_json::Value;
use std::time::{Duration, Instant};

/// How the store misbehaves.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Every call gets 503 and nothing is done.
    pub unavailable: bool,
    /// No call gets an answer and nothing is done.
    pub unresponsive: bool,
    /// Answers of this many writes are lost, the writes are done.
    pub lost_replies: u32,
    /// Only writes to this kind are lost.
    pub lost_replies_kind: Option<String>,
    /// Watches bring nothing.
    pub no_watch_events: bool,
    /// This many writes are done after `late_by`, their answers are lost.
    pub delayed_writes: u32,
    /// See `late`.
    pub write_delay: Duration,
    /// Delay of every answer.
    pub latency: Duration,
}

/// Calls counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Reads of one object.
    pub reads: u64,
    /// Reads of one object that may be old, which cost a tenth.
    pub stale_reads: u64,
    /// Pages of lists.
    pub lists: u64,
    /// Watches.
    pub watches: u64,
    /// Writes, deletions among them.
    pub writes: u64,
    /// Writes refused by their condition.
    pub conflicts: u64,
    /// Writes refused for the rate.
    #[serde(rename = "limited")]
    pub rate_limited: u64,
    /// Bytes written.
    #[serde(rename = "bytes")]
    pub written_bytes: u64,
    /// Most bytes of one write.
    #[serde(rename = "largest")]
    pub largest_write_bytes: u64,
}

impl Objects {
    /// Changes the faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.lock().faults);
        self.changed.notify_waiters();
    }

    /// Sets the faults from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
        self.changed.notify_waiters();
    }

    /// The watches under way are never answered; later ones are.
    pub fn hang_watches(&self) {
        self.lock().watch_epoch += 1;
        self.changed.notify_waiters();
    }

    /// From now on reads show this moment, and watches bring nothing; writes go on.
    pub fn set_stale_reads(&self, is_stale: bool) {
        let mut state = self.lock();
        state.stale_objects = is_stale.then(|| state.objects.clone());
    }

    /// Keeps a copy of all objects.
    pub fn save_snapshot(&self) {
        let mut state = self.lock();
        state.snapshot = state.objects.clone();
    }

    /// Puts the copy back, as a restored replica would.
    pub fn restore_snapshot(&self) {
        let mut state = self.lock();
        state.objects = state.snapshot.clone();
    }

    /// Shows one object as it was, as a stale copy of a list would.
    pub fn insert_stale(&self, kind: &str, object: Value) {
        let name = object["meta"]["name"].as_str().unwrap_or_default().to_owned();
        self.lock().objects.insert((kind.to_owned(), name), object);
    }

    /// Most bytes of one half of an object; longer writes are refused.
    pub fn set_max_half_bytes(&self, bytes: usize) {
        self.lock().max_half_bytes = bytes;
    }

    /// Most objects of one page of a list.
    pub fn set_page_size(&self, objects: usize) {
        self.lock().page_size = objects;
    }

    /// Writes a second; more are refused.
    pub fn set_write_rate(&self, writes_per_second: f64) {
        let bucket = TokenBucket::new(writes_per_second, writes_per_second, Instant::now());
        self.lock().bucket = Some(bucket);
    }

    /// Drops the history: watches from before get 410.
    pub fn compact_history(&self) {
        let mut state = self.lock();
        state.compacted_revision = state.revision;
        state.history.clear();
        drop(state);
        self.changed.notify_waiters();
    }
}
