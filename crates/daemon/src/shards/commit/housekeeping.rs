//! What a committer does beside commits: settles open appends, reclaims chunks,
//! writes indexes and snapshots, deletes what is past retention.

use super::Committer;
use crate::clock;
use crate::shards::load::Loaded;
use crate::shards::{Item, is_gone, sweep};
use bytes::Bytes;
use platform::key_value::Condition;
use platform::store::StoreError;
use protocol::Millis;
use state::command::Command;
use state::object_key;
use state::snapshot::{Body, Head, Segment, retained_segments};
use std::time::{Duration, Instant};

/// Time between rounds of deletion.
const SWEEP_EVERY: Duration = Duration::from_secs(2);

impl Committer {
    /// One round of everything that no command waits for.
    pub(super) async fn housekeep(&mut self) {
        if self.open.is_some() {
            // The failure is told to the callers that come; nobody waits here.
            drop(self.prepare().await);
        }
        if self.open.is_some() {
            return;
        }
        let Some(loaded) = &mut self.loaded else {
            return;
        };
        let shared = self.shared.clone();
        let reclaimed = loaded.shard.reclaim_lost(|holder| is_gone(&shared, holder));
        if reclaimed {
            shared.announce_work(self.id, clock::millis());
        }
        self.archive().await;
        self.snapshot().await;
        self.sweep().await;
    }

    /// Writes the indexes of ended jobs, so that their chunks need no memory.
    async fn archive(&mut self) {
        let Some(loaded) = &self.loaded else {
            return;
        };
        let Some(job) = loaded.shard.jobs().to_archive().next().cloned() else {
            return;
        };
        let places = job.chunk_results(0, u64::MAX);
        let bytes = serde_json::to_vec(&places).unwrap_or_default();
        if bytes.len() > object_key::MAX_VALUE_BYTES {
            return;
        }
        let key = object_key::index(&job.spec.job);
        if self.store.put(&key, Bytes::from(bytes), Condition::Any).await.is_ok() {
            let (answer, ignored) = tokio::sync::oneshot::channel();
            let command = Command::Archive { job: job.spec.job };
            self.queue.push_back(Item { shard: self.id, command, answer });
            // Held open, or the command would count as given up.
            self.archiving = Some(ignored);
        }
    }

    async fn snapshot(&mut self) {
        let Some(loaded) = &self.loaded else {
            return;
        };
        if loaded.shard.next_position()
            < loaded.head.next_position + self.shared.settings.snapshot_entries
        {
            return;
        }
        match self.write_snapshot(loaded).await {
            Ok((head, version)) => {
                if let Some(loaded) = &mut self.loaded {
                    let former = std::mem::replace(&mut loaded.head, head);
                    loaded.version = Some(version);
                    let kept = loaded.head.segments.clone();
                    tokio::spawn(sweep::snapshot(self.store.clone(), self.id, former, kept));
                }
            }
            // Another owner's snapshot is as good as ours; read it next time.
            Err(StoreError::Conflict(_)) => self.loaded = None,
            Err(_) => {}
        }
    }

    async fn write_snapshot(&self, loaded: &Loaded) -> Result<(Head, u64), StoreError> {
        let shard = &loaded.shard;
        let name = format!("{:012}-{:016x}", shard.next_position(), self.shared.id);
        let mut segments = retained_segments(&loaded.head.segments, self.oldest());
        let fresh = shard.keys().finished_since(loaded.head.next_position);
        if !fresh.is_empty() {
            let newest = fresh.iter().map(|(_, f)| f.issued).max().unwrap_or(0);
            let bytes = Bytes::from(serde_json::to_vec(&fresh).unwrap_or_default());
            self.store.put(&object_key::segment(self.id, &name), bytes, Condition::Any).await?;
            segments.push(Segment { name: name.clone(), newest });
        }
        let body = serde_json::to_vec(&Body::of(shard)).unwrap_or_default();
        let parts: Vec<&[u8]> = body.chunks(object_key::MAX_VALUE_BYTES).collect();
        for (index, part) in parts.iter().enumerate() {
            let key = object_key::snapshot_part(self.id, &name, index);
            self.store.put(&key, Bytes::copy_from_slice(part), Condition::Any).await?;
        }
        let swept = loaded.head.deleted_before;
        let head = Head {
            next_position: shard.next_position(),
            name,
            parts: parts.len(),
            segments,
            deleted_before: swept,
        };
        let bytes = Bytes::from(serde_json::to_vec(&head).unwrap_or_default());
        let condition = loaded.version.map_or(Condition::Absent, Condition::Revision);
        let version = self.store.put(&object_key::snapshot_head(self.id), bytes, condition).await?;
        Ok((head, version))
    }

    /// Issue time before which nothing is kept.
    fn oldest(&self) -> Millis {
        clock::millis().saturating_sub(self.policy.retention.as_millis() as Millis)
    }

    /// Deletes what is past the retention window: entries that a snapshot covers,
    /// and the objects of forgotten jobs.
    async fn sweep(&mut self) {
        let oldest = self.oldest();
        if self.swept.elapsed() < SWEEP_EVERY {
            return;
        }
        self.swept = Instant::now();
        let Some(loaded) = &mut self.loaded else {
            return;
        };
        for job in loaded.shard.expire(clock::millis()) {
            tokio::spawn(sweep::job(self.store.clone(), job));
        }
        loaded.head.deleted_before = sweep::entries(
            &self.store,
            self.id,
            loaded.head.deleted_before..loaded.head.next_position,
            oldest,
        )
        .await;
    }
}
