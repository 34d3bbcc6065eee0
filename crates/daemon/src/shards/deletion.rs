//! Deletes objects that are past retention. Failed deletions of entries are retried in the
//! next round; other objects whose deletion fails stay and only cost space.

use crate::store::Handle;
use protocol::{Millis, ShardId};
use state::command::ChunkResults;
use state::jobs::Job;
use state::object_key;
use state::record::Entry;
use state::snapshot::{Head, Segment};
use std::ops::Range;

/// Maximum number of entries deleted in one round, so that commits don't wait long.
const MAX_ENTRIES_PER_ROUND: u64 = 64;

/// Deletes, in order, entries of `range` that were written before `oldest`; returns the
/// position of the first one retained.
pub async fn delete_entries(
    store: &Handle,
    shard: ShardId,
    range: Range<u64>,
    oldest: Millis,
) -> u64 {
    let end = range.end.min(range.start + MAX_ENTRIES_PER_ROUND);
    for position in range.start..end {
        let key = object_key::entry(shard, position);
        match store.get(&key).await {
            Ok(None) => continue,
            Ok(Some(found)) => {
                let is_old = Entry::decode(&found.bytes).is_ok_and(|entry| entry.at < oldest);
                if !is_old || store.delete(&key).await.is_err() {
                    return position;
                }
            }
            Err(_) => return position,
        }
    }
    end.max(range.start)
}

/// Deletes the objects of an expired job.
pub async fn delete_job(store: Handle, job: Job) {
    let id = &job.spec.job;
    let index = object_key::index(id);
    let found = store.get(&index).await.ok().flatten();
    let results: Vec<ChunkResults> =
        found.and_then(|found| serde_json::from_slice(&found.bytes).ok()).unwrap_or_default();
    for result in &results {
        for part in &result.parts {
            let key = object_key::result_part(id, result.chunk, part.attempt, part.part);
            drop(store.delete(&key).await);
        }
    }
    for chunk in 0..job.spec.starts.len() as u32 {
        drop(store.delete(&object_key::chunk(id, &job.spec.upload, chunk)).await);
    }
    drop(store.delete(&index).await);
}

/// Deletes a previous snapshot's parts, and those of its segments that are no longer
/// retained.
pub async fn delete_snapshot(
    store: Handle,
    shard: ShardId,
    previous: Head,
    retained: Vec<Segment>,
) {
    for part in 0..previous.parts {
        drop(store.delete(&object_key::snapshot_part(shard, &previous.name, part)).await);
    }
    for segment in previous.segments.iter().filter(|segment| !retained.contains(segment)) {
        drop(store.delete(&object_key::segment(shard, &segment.name)).await);
    }
}
