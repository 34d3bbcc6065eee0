//! Brings a chunk's report to the platform and the log, and fetches chunks.

use super::chunk::{Chunk, Report};
use crate::shared::Shared;
use bytes::Bytes;
use platform::key_value::Condition;
use protocol::{Error, Kind, ShardId};
use state::command::{ChunkAssignment, Command, Reply};
use state::object_key;
use state::part::{ChunkItems as Items, ChunkProgress, ResultPart};
use std::time::Instant;

/// How a report ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// It is recorded.
    Recorded,
    /// The chunk is no longer this instance's.
    Stopped,
    /// Try again later.
    Failed,
}

/// Sends a report: first the object, then the record that names it.
pub async fn send(shared: &Shared, work: &ChunkAssignment, report: Report) -> Sent {
    let mut place = None;
    if let Some((part, contents)) = report.part {
        let key = object_key::result_part(&work.job, work.chunk, part.attempt, part.part);
        let bytes = Bytes::from(serde_json::to_vec(&contents).unwrap_or_default());
        // Only this hand-out writes this object, and always the same.
        if shared.store.put(&key, bytes, Condition::Any).await.is_err() {
            return Sent::Failed;
        }
        place = Some(part);
    }
    let command = Command::Progress {
        job: work.job.clone(),
        chunk: work.chunk,
        attempt: work.attempt,
        part: place,
        done: report.done,
        failed: report.failed,
        disposition: report.after,
    };
    match shared.shards.submit(shared, command).await {
        Ok(Reply::Continue) => Sent::Recorded,
        Ok(Reply::Stop) => Sent::Stopped,
        Ok(_) | Err(_) => Sent::Failed,
    }
}

/// Asks a shard for a chunk of one of `services` and reads it.
///
/// # Errors
///
/// What the owner answered, or how the platform failed.
pub async fn claim(
    shared: &Shared,
    shard: ShardId,
    services: Vec<String>,
) -> Result<Option<Chunk>, Error> {
    let command = Command::Claim { holder: shared.id, services };
    let Reply::Work(work) = shared.shards.submit_to(shared, shard, command).await? else {
        return Ok(None);
    };
    let key = object_key::chunk(&work.job, &work.upload, work.chunk);
    let items: Items = read(shared, &key).await?;
    let mut progress = ChunkProgress::default();
    for part in &work.parts {
        let key = object_key::result_part(&work.job, work.chunk, part.attempt, part.part);
        progress.apply(read::<ResultPart>(shared, &key).await?);
    }
    let most = shared.settings.max_attempts;
    Ok(Some(Chunk::new(work, items, &progress, most, Instant::now())))
}

async fn read<T: serde::de::DeserializeOwned>(shared: &Shared, key: &str) -> Result<T, Error> {
    let lost = |text: String| Error::new(Kind::PlatformUnavailable, format!("`{key}`: {text}"));
    let found = shared.store.get(key).await.map_err(|fault| lost(fault.to_string()))?;
    let found = found.ok_or_else(|| lost("missing".into()))?;
    serde_json::from_slice(&found.bytes).map_err(|error| lost(error.to_string()))
}
