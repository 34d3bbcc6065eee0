//! Injected faults and call counts of the object store.

use super::Objects;
use coordination::limit::TokenBucket;
use serde::Serialize;
use serde_json::Value;
use std::time::{Duration, Instant};

/// Injected faults; none by default.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Every call fails with 503 and has no effect.
    pub unavailable: bool,
    /// No call gets a response or has an effect.
    pub unresponsive: bool,
    /// Number of writes that take effect without a response.
    pub lost_replies: u32,
    /// Restricts `lost_replies` to writes of this kind.
    pub lost_replies_kind: Option<String>,
    /// Watches return no events.
    pub no_watch_events: bool,
    /// Number of writes that take effect after `write_delay`, without a response.
    pub delayed_writes: u32,
    /// Delay of the `delayed_writes`.
    pub write_delay: Duration,
    /// Delay of every call before it takes effect.
    pub latency: Duration,
    /// Restricts `latency` to calls about this kind.
    pub latency_kind: Option<String>,
}

/// Calls counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Reads of one object.
    pub reads: u64,
    /// Reads of one object that accept stale data.
    pub stale_reads: u64,
    /// List pages.
    pub lists: u64,
    /// Watches.
    pub watches: u64,
    /// Writes, including deletions and rejected ones.
    pub writes: u64,
    /// Writes rejected by their condition.
    pub conflicts: u64,
    /// Writes rejected by the rate limit.
    #[serde(rename = "limited")]
    pub rate_limited: u64,
    /// Body bytes of writes within the rate and size limits.
    #[serde(rename = "bytes")]
    pub written_bytes: u64,
    /// Largest body of such a write, in bytes.
    #[serde(rename = "largest")]
    pub largest_write_bytes: u64,
}

impl Objects {
    /// Changes some faults in place.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.lock().faults);
        self.changed.notify_waiters();
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
        self.changed.notify_waiters();
    }

    /// Makes the open watches hang; later ones work.
    pub fn hang_watches(&self) {
        self.lock().watch_epoch += 1;
        self.changed.notify_waiters();
    }

    /// Makes the open watches of `kind` hang; later ones work.
    pub fn hang_watches_of_kind(&self, kind: &str) {
        *self.lock().kind_watch_epochs.entry(kind.to_owned()).or_default() += 1;
        self.changed.notify_waiters();
    }

    /// While set, reads return the objects of this moment and watches no events; writes work.
    pub fn set_stale_reads(&self, is_stale: bool) {
        let mut state = self.lock();
        state.stale_objects = is_stale.then(|| state.objects.clone());
    }

    /// Saves a copy of all objects for [`Objects::restore_snapshot`].
    pub fn save_snapshot(&self) {
        let mut state = self.lock();
        state.snapshot = state.objects.clone();
    }

    /// Replaces all objects by the saved copy; revisions continue.
    pub fn restore_snapshot(&self) {
        let mut state = self.lock();
        state.objects = state.snapshot.clone();
    }

    /// Replaces one object without a new revision or watch event.
    pub fn insert_stale(&self, kind: &str, object: Value) {
        let name = object["meta"]["name"].as_str().unwrap_or_default().to_owned();
        self.lock().objects.insert((kind.to_owned(), name), object);
    }

    /// Sets the limit of spec and status together, in bytes; larger writes are rejected.
    pub fn set_max_value_bytes(&self, bytes: usize) {
        self.lock().max_value_bytes = bytes;
    }

    /// Sets the number of objects per list page.
    pub fn set_page_size(&self, objects: usize) {
        self.lock().page_size = objects;
    }

    /// Sets the rate limit; writes above it are rejected.
    pub fn set_write_rate(&self, writes_per_second: f64) {
        let bucket = TokenBucket::new(writes_per_second, writes_per_second, Instant::now());
        self.lock().bucket = Some(bucket);
    }

    /// Drops the history; watches from an earlier revision get 410.
    pub fn compact_history(&self) {
        let mut state = self.lock();
        state.compacted_revision = state.revision;
        state.history.clear();
        drop(state);
        self.changed.notify_waiters();
    }
}
