//! When the list of software versions is extended, its checkpoint advanced, and versions removed.

use super::List;
use crate::clock;
use coordination::releases::{Release, Step, Stored};
use platform::store::{Revision, StoreError};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Interval between writes of the checkpoint, while the registry may have changed. The platform
/// keeps some 20 s of history, and a loss of all instances may last a few of them.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(4);
/// Time after which another watcher advances a checkpoint that stays as it is.
const STANDBY_INTERVAL: Duration = Duration::from_secs(6);
/// Interval between removals of versions from the list.
pub const CLEANUP_INTERVAL: Duration = Duration::from_secs(60);
/// Time after a failed call about the list until the next one.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Most versions that are listed at once.
const MAX_RECORDS: usize = 16;

/// The work of an instance that watches the registry: the first of them keeps the list, and the
/// others stand by, as the first may have lost the platform.
pub struct Keeper {
    is_first: bool,
    /// The checkpoint; `None` until it was read.
    stored: Option<Stored>,
    /// Whether the list was read since this instance has kept it.
    is_read: bool,
    /// Revision of the version that was listed last.
    listed_through: Revision,
    advances_at: Instant,
    cleans_at: Instant,
    /// No calls are made until then, after one has failed.
    retries_at: Instant,
}

impl Keeper {
    /// An instance that has just begun to watch.
    pub fn new(is_first: bool, now: Instant) -> Keeper {
        Keeper {
            is_first,
            stored: None,
            is_read: false,
            listed_through: 0,
            advances_at: if is_first { now } else { now + STANDBY_INTERVAL },
            cleans_at: now + CLEANUP_INTERVAL,
            retries_at: now,
        }
    }

    /// Whether it keeps the list, and doesn't only stand by.
    pub fn is_first(&self) -> bool {
        self.is_first
    }

    /// Whether calls are due.
    pub fn is_due(&mut self, list: &List<'_>, now: Instant) -> bool {
        let is_current = |stored: Stored| stored.next(list.watched()) == Step::Wait;
        if !self.is_first && self.stored.is_some_and(is_current) {
            // The first has an interval from the next change on.
            self.advances_at = now + STANDBY_INTERVAL;
        }
        let is_due = now >= self.advances_at
            || (self.is_first && (now >= self.cleans_at || !list.has_listed_all()));
        is_due && now >= self.retries_at && !list.store.is_backing_off(now)
    }

    /// Makes the calls that are due; returns the versions that were listed. `present` tells the
    /// versions that targets state at the time of the call.
    pub async fn run(
        &mut self,
        list: &List<'_>,
        retention: Duration,
        present: impl Fn() -> BTreeSet<Release>,
        now: Instant,
    ) -> Vec<Release> {
        let result = if self.is_first {
            self.keep(list, retention, present, now).await
        } else {
            self.stand_by(list, now).await
        };
        result.unwrap_or_else(|_| {
            self.retries_at = clock::now() + RETRY_INTERVAL;
            Vec::new()
        })
    }

    async fn keep(
        &mut self,
        list: &List<'_>,
        retention: Duration,
        present: impl Fn() -> BTreeSet<Release>,
        now: Instant,
    ) -> Result<Vec<Release>, StoreError> {
        if !self.is_read || now >= self.cleans_at {
            let is_start = !self.is_read;
            self.stored = list.read().await?;
            self.is_read = true;
            if is_start && self.stored.is_some() {
                self.advances_at = now + CHECKPOINT_INTERVAL;
            }
        }
        let (listed, last) = list.record_some(MAX_RECORDS).await?;
        self.listed_through = self.listed_through.max(last);
        // The changes of this list are seen first, so that an idle platform needs one write.
        let has_seen_list = list.watched().is_some_and(|w| w.through >= self.listed_through);
        if now >= self.advances_at && has_seen_list {
            self.advance(list).await?;
            if list.has_listed_all() {
                self.advances_at = now + CHECKPOINT_INTERVAL;
            }
        }
        if now >= self.cleans_at {
            let expired = list.releases.borrow_mut().expired(retention, now);
            for release in expired {
                if !present().contains(&release) {
                    list.remove(&release).await?;
                }
            }
            self.cleans_at = now + CLEANUP_INTERVAL;
        }
        Ok(listed)
    }

    /// Advances the checkpoint if no other instance has for an interval.
    async fn stand_by(
        &mut self,
        list: &List<'_>,
        now: Instant,
    ) -> Result<Vec<Release>, StoreError> {
        let before = self.stored;
        self.stored = list.read_checkpoint().await?;
        self.advances_at = now + STANDBY_INTERVAL;
        if before.is_none() || self.stored != before {
            return Ok(Vec::new());
        }
        self.stored = list.read().await?;
        let (listed, _) = list.record_some(MAX_RECORDS).await?;
        self.advance(list).await?;
        Ok(listed)
    }

    async fn advance(&mut self, list: &List<'_>) -> Result<(), StoreError> {
        self.stored = list.advance(self.stored).await?;
        self.is_read = self.stored.is_some();
        Ok(())
    }
}
