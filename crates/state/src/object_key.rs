//! Keys of the values in the platform's object store.

use protocol::{Generation, JobId, ShardId};

/// Maximum bytes of one value: encoded in base64, which adds a third, it stays
/// below the platform's limit of 1 MB per object, metadata included.
pub const MAX_VALUE_BYTES: usize = 750_000;

/// Prefix of a shard's log entries.
pub fn entries_prefix(shard: ShardId) -> String {
    format!("log/{shard:04}/e/")
}

/// Log entry `position` of a shard.
pub fn entry(shard: ShardId, position: u64) -> String {
    format!("log/{shard:04}/e/{position:012}")
}

/// Head of a shard's latest snapshot.
pub fn snapshot_head(shard: ShardId) -> String {
    format!("log/{shard:04}/head")
}

/// Part `part` of the snapshot `name`.
pub fn snapshot_part(shard: ShardId, name: &str, part: usize) -> String {
    format!("log/{shard:04}/s/{name}/{part:04}")
}

/// Segment `name` of finished idempotency keys.
pub fn segment(shard: ShardId, name: &str) -> String {
    format!("log/{shard:04}/k/{name}")
}

/// Items of one chunk, as written by the upload `upload`.
pub fn chunk(job: &JobId, upload: &str, chunk: u32) -> String {
    format!("chunk/{job}/{upload}/{chunk:06}")
}

/// Result object of one progress report.
pub fn result_part(job: &JobId, chunk: u32, attempt: u32, part: u32) -> String {
    format!("result/{job}/{chunk:06}/{attempt:04}-{part:05}")
}

/// Index of a completed or cancelled job's results.
pub fn index(job: &JobId) -> String {
    format!("index/{job}")
}

/// Configuration change that led to `generation`.
pub fn config_entry(generation: Generation) -> String {
    format!("config/e/{generation:012}")
}

/// Number of shards that the log was created with.
pub const SHARD_COUNT: &str = "log/shards";

/// Prefix of the configuration changes.
pub const CONFIG_PREFIX: &str = "config/e/";

/// Lease of the instance that controls a target.
pub fn target_lease(target: &str) -> String {
    format!("lease/target/{target}")
}

/// Lease of one of a service's slots for loading model weights.
pub fn load_slot(service: &str, slot: u32) -> String {
    format!("lease/load/{service}/{slot:02}")
}
