//! Names of the objects that the platform keeps.

use protocol::{Generation, JobId, ShardId};

/// Most bytes of one value: in base64, which adds a third, it stays below the
/// platform's limit of a megabyte with room for the object's head.
pub const MAX_VALUE_BYTES: usize = 750_000;

/// Prefix of a shard's entries.
pub fn entries_prefix(shard: ShardId) -> String {
    format!("log/{shard:04}/e/")
}

/// Entry `position` of a shard.
pub fn entry(shard: ShardId, position: u64) -> String {
    format!("log/{shard:04}/e/{position:012}")
}

/// Head of a shard's latest snapshot.
pub fn snapshot_head(shard: ShardId) -> String {
    format!("log/{shard:04}/head")
}

/// One part of a snapshot.
pub fn snapshot_part(shard: ShardId, name: &str, part: usize) -> String {
    format!("log/{shard:04}/s/{name}/{part:04}")
}

/// A segment of finished keys.
pub fn segment(shard: ShardId, name: &str) -> String {
    format!("log/{shard:04}/k/{name}")
}

/// Items of one chunk of a job, as one upload wrote them.
pub fn chunk(job: &JobId, upload: &str, chunk: u32) -> String {
    format!("chunk/{job}/{upload}/{chunk:06}")
}

/// Outcomes of one progress report.
pub fn result_part(job: &JobId, chunk: u32, attempt: u32, part: u32) -> String {
    format!("result/{job}/{chunk:06}/{attempt:04}-{part:05}")
}

/// Index of a job whose items all have an outcome.
pub fn index(job: &JobId) -> String {
    format!("index/{job}")
}

/// An accepted change of the configuration.
pub fn config(generation: Generation) -> String {
    format!("config/e/{generation:012}")
}

/// Number of shards that the log was begun with.
pub const SHARD_COUNT: &str = "log/shards";

/// Prefix of the accepted changes.
pub const CONFIG_PREFIX: &str = "config/e/";

/// Lease of a target's controller.
pub fn lease(target: &str) -> String {
    format!("lease/target/{target}")
}

/// One of a service's slots for loading weights.
pub fn load_slot(service: &str, slot: u32) -> String {
    format!("lease/load/{service}/{slot:02}")
}
