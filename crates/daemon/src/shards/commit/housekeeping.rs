//! Background work of a committer: resolves open appends, reclaims chunks, writes indexes
//! and snapshots, deletes what is past retention.

use super::Committer;
use crate::clock;
use crate::shards::load::Loaded;
use crate::shards::{Submission, deletion, is_dead};
use bytes::Bytes;
use platform::key_value::Condition;
use platform::store::StoreError;
use protocol::Millis;
use state::command::Command;
use state::object_key;
use state::snapshot::{Body, Head, Segment, retained_segments};
use std::time::{Duration, Instant};

const DELETION_INTERVAL: Duration = Duration::from_secs(2);

impl Committer {
    /// Runs one round of the work that no command waits for.
    pub(super) async fn housekeep(&mut self) {
        if self.open_append.is_some() {
            // Later commands get the error; nobody waits here.
            drop(self.prepare().await);
        }
        if self.open_append.is_some() {
            return;
        }
        let Some(loaded) = &mut self.loaded else {
            return;
        };
        let shared = self.shared.clone();
        let reclaimed = loaded.shard.reclaim_lost(|holder| is_dead(&shared, holder));
        if reclaimed {
            shared.announce_work(self.id, clock::millis());
        }
        self.archive().await;
        self.snapshot().await;
        self.delete_expired().await;
    }

    /// Writes the index of one finished job, so that its chunks can leave memory.
    async fn archive(&mut self) {
        let Some(loaded) = &self.loaded else {
            return;
        };
        let Some(job) = loaded.shard.jobs().to_archive().next().cloned() else {
            return;
        };
        let results = job.chunk_results(0, u64::MAX);
        let bytes = serde_json::to_vec(&results).unwrap_or_default();
        if bytes.len() > object_key::MAX_VALUE_BYTES {
            return;
        }
        let key = object_key::index(&job.spec.job);
        if self.store.put(&key, Bytes::from(bytes), Condition::Any).await.is_ok() {
            let (reply, receiver) = tokio::sync::oneshot::channel();
            let command = Command::Archive { job: job.spec.job };
            self.queue.push_back(Submission { shard: self.id, command, reply });
            // Kept, since a closed receiver would drop the command.
            self.archive_reply = Some(receiver);
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
            Ok((head, revision)) => {
                if let Some(loaded) = &mut self.loaded {
                    let previous = std::mem::replace(&mut loaded.head, head);
                    loaded.revision = Some(revision);
                    let retained = loaded.head.segments.clone();
                    tokio::spawn(deletion::delete_snapshot(
                        self.store.clone(),
                        self.id,
                        previous,
                        retained,
                    ));
                }
            }
            // Another instance wrote a snapshot; read that next time.
            Err(StoreError::Conflict(_)) => self.loaded = None,
            Err(_) => {}
        }
    }

    async fn write_snapshot(&self, loaded: &Loaded) -> Result<(Head, u64), StoreError> {
        let shard = &loaded.shard;
        let name = format!("{:012}-{:016x}", shard.next_position(), self.shared.id);
        let mut segments = retained_segments(&loaded.head.segments, self.retention_start());
        let finished = shard.keys().finished_since(loaded.head.next_position);
        if !finished.is_empty() {
            let newest = finished.iter().map(|(_, f)| f.issued).max().unwrap_or(0);
            let bytes = Bytes::from(serde_json::to_vec(&finished).unwrap_or_default());
            self.store.put(&object_key::segment(self.id, &name), bytes, Condition::Any).await?;
            segments.push(Segment { name: name.clone(), newest });
        }
        let body = serde_json::to_vec(&Body::of(shard)).unwrap_or_default();
        let parts: Vec<&[u8]> = body.chunks(object_key::MAX_VALUE_BYTES).collect();
        for (index, part) in parts.iter().enumerate() {
            let key = object_key::snapshot_part(self.id, &name, index);
            self.store.put(&key, Bytes::copy_from_slice(part), Condition::Any).await?;
        }
        let deleted_before = loaded.head.deleted_before;
        let head = Head {
            next_position: shard.next_position(),
            name,
            parts: parts.len(),
            segments,
            deleted_before,
        };
        let bytes = Bytes::from(serde_json::to_vec(&head).unwrap_or_default());
        let condition = loaded.revision.map_or(Condition::Absent, Condition::Revision);
        let revision =
            self.store.put(&object_key::snapshot_head(self.id), bytes, condition).await?;
        Ok((head, revision))
    }

    /// Issue time before which nothing is retained.
    fn retention_start(&self) -> Millis {
        clock::millis().saturating_sub(self.policy.retention.as_millis() as Millis)
    }

    /// Deletes what is past retention: entries that a snapshot covers, and the objects of
    /// expired jobs.
    async fn delete_expired(&mut self) {
        let retention_start = self.retention_start();
        if self.last_deletion.elapsed() < DELETION_INTERVAL {
            return;
        }
        self.last_deletion = Instant::now();
        let Some(loaded) = &mut self.loaded else {
            return;
        };
        for job in loaded.shard.expire(clock::millis()) {
            tokio::spawn(deletion::delete_job(self.store.clone(), job));
        }
        loaded.head.deleted_before = deletion::delete_entries(
            &self.store,
            self.id,
            loaded.head.deleted_before..loaded.head.next_position,
            retention_start,
        )
        .await;
    }
}
