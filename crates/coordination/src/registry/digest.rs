//! Hashes by which two instances compare their registries.

use super::DIGEST_BUCKETS;
use crate::hash;
use protocol::routing::Target;

/// Bucket of a target in the digests.
pub(super) fn bucket(id: &str) -> usize {
    (hash::bytes(id.as_bytes()) % DIGEST_BUCKETS as u64) as usize
}

/// Hash of an entry, whose content is a function of its revision.
pub(super) fn digest_of(id: &str, revision: u64, is_present: bool) -> u64 {
    hash::weight(id.as_bytes(), revision << 1 | u64::from(is_present))
}

/// Hash of a target. It differs if the software version is missing, so that an instance which
/// learned of the target from an earlier build fetches it again.
pub(super) fn digest_of_target(target: &Target) -> u64 {
    let digest = digest_of(&target.id, target.revision, true);
    if target.software.is_some() { digest } else { !digest }
}
