//! Hashes that are the same on every instance and in every version.

use protocol::{PartFingerprint, RequestFingerprint};
use xxhash_rust::xxh3::{Xxh3Default, xxh3_64, xxh3_64_with_seed};

/// Hash of a byte string (XXH3, 64 bits).
pub fn bytes(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Fingerprint of a request's content: the same for every attempt, whatever the request's id.
pub fn request_fingerprint(
    method: &str,
    host: &str,
    path: &str,
    body: &[u8],
) -> RequestFingerprint {
    let mut hasher = Xxh3Default::new();
    for field in [method.as_bytes(), host.as_bytes(), path.as_bytes(), body] {
        // The length prefix keeps the fields apart.
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    hasher.digest()
}

/// Fingerprint of a part of prompts, whatever the model and the parts beside it.
pub fn part_fingerprint(id: &str) -> PartFingerprint {
    xxh3_64(id.as_bytes())
}

/// Shard of a key, in `0..shards`.
pub fn shard(key: &str, shards: u32) -> u32 {
    (bytes(key.as_bytes()) % u64::from(shards.max(1))) as u32
}

/// Rendezvous hashing weight of `node` for `key`; the highest weight owns the key.
pub fn weight(key: &[u8], node: u64) -> u64 {
    xxh3_64_with_seed(key, node)
}

/// The owner of `key` by rendezvous hashing; `None` without nodes.
///
/// When a node joins or leaves, only the keys that it gains or loses move, so replacing one
/// instance doesn't move the shards of the others.
pub fn owner(key: &[u8], nodes: impl IntoIterator<Item = u64>) -> Option<u64> {
    nodes.into_iter().max_by_key(|node| (weight(key, *node), *node))
}
