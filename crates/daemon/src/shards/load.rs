//! Reads a shard from the platform: snapshot, segments, then the later entries.

use crate::store::Handle;
use platform::store::{Revision, StoreError};
use protocol::{Millis, ShardId};
use state::object_key;
use state::record::Entry;
use state::shard::{Policy, Shard};
use state::snapshot::{Body, FinishedKeys, Head};

/// Entries read concurrently while catching up.
const READ_AHEAD: u64 = 16;

/// A shard with what its next snapshot needs.
pub struct Loaded {
    /// The shard, up to its last entry.
    pub shard: Shard,
    /// Head of the last snapshot; empty when there is none.
    pub head: Head,
    /// Revision of the head's object, to replace it conditionally; `None` without a
    /// snapshot.
    pub revision: Option<Revision>,
}

/// Reads a whole shard.
///
/// # Errors
///
/// The error of the platform call.
pub async fn load(
    store: &Handle,
    id: ShardId,
    policy: Policy,
    now: Millis,
) -> Result<Loaded, StoreError> {
    let mut loaded = match store.get(&object_key::snapshot_head(id)).await? {
        None => Loaded { shard: Shard::new(id, policy), head: Head::default(), revision: None },
        Some(found) => {
            let head: Head = decode(&found.bytes)?;
            restore(store, id, policy, head, found.revision, now).await?
        }
    };
    catch_up(store, &mut loaded.shard, now).await?;
    Ok(loaded)
}

async fn restore(
    store: &Handle,
    id: ShardId,
    policy: Policy,
    head: Head,
    revision: Revision,
    now: Millis,
) -> Result<Loaded, StoreError> {
    let mut bytes = Vec::new();
    for part in 0..head.parts {
        bytes.extend_from_slice(
            &get_required(store, &object_key::snapshot_part(id, &head.name, part)).await?,
        );
    }
    let body: Body = decode(&bytes)?;
    let mut finished: FinishedKeys = Vec::new();
    for segment in &head.segments {
        let keys: FinishedKeys =
            decode(&get_required(store, &object_key::segment(id, &segment.name)).await?)?;
        finished.extend(keys);
    }
    let shard = body.restore(id, policy, head.next_position, finished, now);
    Ok(Loaded { shard, head, revision: Some(revision) })
}

/// Applies every entry after the shard's last one; returns their number.
///
/// # Errors
///
/// The error of the platform call; earlier entries are applied.
pub async fn catch_up(store: &Handle, shard: &mut Shard, now: Millis) -> Result<u64, StoreError> {
    let start = shard.next_position();
    loop {
        let first = shard.next_position();
        let window = if first == start { 1 } else { READ_AHEAD };
        let keys: Vec<String> =
            (first..first + window).map(|n| object_key::entry(shard.id(), n)).collect();
        let reads = keys.iter().map(|key| store.get(key));
        let found = futures_util::future::join_all(reads).await;
        for object in found {
            let Some(object) = object? else {
                return Ok(shard.next_position() - start);
            };
            shard.apply(decode_entry(&object.bytes)?, now);
        }
    }
}

fn decode_entry(bytes: &[u8]) -> Result<Entry, StoreError> {
    Entry::decode(bytes).map_err(|error| StoreError::OutcomeUnknown(error.to_string()))
}

async fn get_required(store: &Handle, key: &str) -> Result<bytes::Bytes, StoreError> {
    match store.get(key).await? {
        Some(object) => Ok(object.bytes),
        None => Err(StoreError::OutcomeUnknown(format!("`{key}` is missing"))),
    }
}

fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(bytes).map_err(|error| StoreError::OutcomeUnknown(error.to_string()))
}
