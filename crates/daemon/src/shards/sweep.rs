//! Deletes what nobody may ask for any more. Each deletion that fails is left for
//! the next round, or for good when its instance goes: that costs space, nothing
//! else.

use crate::store::Handle;
use protocol::{Millis, ShardId};
use state::command::ChunkResults;
use state::jobs::Job;
use state::object_key;
use state::record::Entry;
use state::snapshot::{Head, Segment};
use std::ops::Range;

/// Most entries deleted in one round, so that a shard's commits don't wait long.
const MOST: u64 = 64;

/// Deletes entries of `range` that were written before `oldest`, in order;
/// returns the first one that is kept.
pub async fn entries(store: &Handle, shard: ShardId, range: Range<u64>, oldest: Millis) -> u64 {
    let end = range.end.min(range.start + MOST);
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

/// Deletes the objects of a job that is forgotten.
pub async fn job(store: Handle, job: Job) {
    let id = &job.spec.job;
    let index = object_key::index(id);
    let found = store.get(&index).await.ok().flatten();
    let places: Vec<ChunkResults> =
        found.and_then(|found| serde_json::from_slice(&found.bytes).ok()).unwrap_or_default();
    for place in &places {
        for part in &place.parts {
            let key = object_key::result_part(id, place.chunk, part.attempt, part.part);
            drop(store.delete(&key).await);
        }
    }
    for chunk in 0..job.spec.starts.len() as u32 {
        drop(store.delete(&object_key::chunk(id, &job.spec.upload, chunk)).await);
    }
    drop(store.delete(&index).await);
}

/// Deletes a former snapshot's parts, and its segments that the new one dropped.
pub async fn snapshot(store: Handle, shard: ShardId, former: Head, kept: Vec<Segment>) {
    for part in 0..former.parts {
        drop(store.delete(&object_key::snapshot_part(shard, &former.name, part)).await);
    }
    for segment in former.segments.iter().filter(|segment| !kept.contains(segment)) {
        drop(store.delete(&object_key::segment(shard, &segment.name)).await);
    }
}
