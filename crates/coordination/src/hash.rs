//! Hashes that every instance computes alike.

use protocol::RequestFingerprint;
use xxhash_rust::xxh3::{Xxh3Default, xxh3_64, xxh3_64_with_seed};

/// Hash of `bytes`, the same on every instance and in every version.
pub fn bytes(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// What a request asks for: the same for every try of it, whatever its id.
pub fn request_fingerprint(
    method: &str,
    host: &str,
    path: &str,
    body: &[u8],
) -> RequestFingerprint {
    let mut hasher = Xxh3Default::new();
    for part in [method.as_bytes(), host.as_bytes(), path.as_bytes(), body] {
        // Lengths keep the parts apart.
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

/// Shard of a key among `shards`.
pub fn shard(key: &str, shards: u32) -> u32 {
    (bytes(key.as_bytes()) % u64::from(shards.max(1))) as u32
}

/// Weight of `node` for `key`; the node with the highest weight is chosen.
pub fn weight(key: &[u8], node: u64) -> u64 {
    xxh3_64_with_seed(key, node)
}

/// The node that rendezvous hashing chooses for `key`.
///
/// When a node joins or leaves, only the keys it gains or loses move, so
/// replacing one instance doesn't reshuffle the shards of all others.
pub fn owner(key: &[u8], nodes: impl IntoIterator<Item = u64>) -> Option<u64> {
    nodes.into_iter().max_by_key(|node| (weight(key, *node), *node))
}
