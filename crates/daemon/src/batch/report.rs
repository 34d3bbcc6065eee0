//! Writes reports of chunks to the platform and the log, and claims chunks.

use super::chunk::{Chunk, Report};
use crate::shared::Shared;
use bytes::Bytes;
use platform::key_value::Condition;
use protocol::{Error, Kind, ShardId};
use state::command::{ChunkAssignment, Command, Reply};
use state::object_key;
use state::part::{ChunkItems as Items, ChunkProgress, ResultPart};
use std::time::Instant;

/// Outcome of sending a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The report is recorded.
    Recorded,
    /// This instance no longer holds the chunk.
    Revoked,
    /// The report must be sent again.
    Failed,
}

/// Sends a report: first the object, then the record that refers to it.
pub async fn send(shared: &Shared, assignment: &ChunkAssignment, report: Report) -> ReportOutcome {
    let mut part_ref = None;
    if let Some((part, contents)) = report.part {
        let key =
            object_key::result_part(&assignment.job, assignment.chunk, part.attempt, part.part);
        let bytes = Bytes::from(serde_json::to_vec(&contents).unwrap_or_default());
        // Only this assignment writes this object, always with the same contents.
        if shared.store.put(&key, bytes, Condition::Any).await.is_err() {
            return ReportOutcome::Failed;
        }
        part_ref = Some(part);
    }
    let command = Command::Progress {
        job: assignment.job.clone(),
        chunk: assignment.chunk,
        attempt: assignment.attempt,
        part: part_ref,
        done: report.done,
        failed: report.failed,
        disposition: report.disposition,
    };
    match shared.shards.submit(shared, command).await {
        Ok(Reply::Continue) => ReportOutcome::Recorded,
        Ok(Reply::Stop) => ReportOutcome::Revoked,
        Ok(_) | Err(_) => ReportOutcome::Failed,
    }
}

/// Claims a chunk of one of `services` from a shard and reads it; `None` when there is
/// none.
///
/// # Errors
///
/// The error of the shard's owner or of the platform.
pub async fn claim(
    shared: &Shared,
    shard: ShardId,
    services: Vec<String>,
) -> Result<Option<Chunk>, Error> {
    let command = Command::Claim { holder: shared.id, services };
    let Reply::Work(assignment) = shared.shards.submit_to(shared, shard, command).await? else {
        return Ok(None);
    };
    let key = object_key::chunk(&assignment.job, &assignment.upload, assignment.chunk);
    let items: Items = read(shared, &key).await?;
    let mut progress = ChunkProgress::default();
    for part in &assignment.parts {
        let key =
            object_key::result_part(&assignment.job, assignment.chunk, part.attempt, part.part);
        progress.apply(read::<ResultPart>(shared, &key).await?);
    }
    let max_attempts = shared.settings.max_attempts;
    Ok(Some(Chunk::new(assignment, items, &progress, max_attempts, Instant::now())))
}

async fn read<T: serde::de::DeserializeOwned>(shared: &Shared, key: &str) -> Result<T, Error> {
    let unreadable =
        |text: String| Error::new(Kind::PlatformUnavailable, format!("`{key}`: {text}"));
    let found = shared.store.get(key).await.map_err(|error| unreadable(error.to_string()))?;
    let found = found.ok_or_else(|| unreadable("missing".into()))?;
    serde_json::from_slice(&found.bytes).map_err(|error| unreadable(error.to_string()))
}
