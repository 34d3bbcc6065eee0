//! Which instance does what one must do for many: one of those with most processor.
//!
//! An id tells in its lowest bits how much processor its instance has, so that all rank
//! instances alike without another word. Where they are alike, rendezvous hashing decides
//! as elsewhere.
//!
//! ```
//! use coordination::capacity;
//!
//! let small = capacity::tag_id(0x1230, 0.12);
//! let large = capacity::tag_id(0x4560, 0.5);
//! assert_eq!(capacity::owner(b"key", [small, large]), Some(large));
//! assert_eq!(capacity::owner(b"key", [small]), Some(small));
//! ```

use crate::InstanceId;
use crate::hash;

/// Lowest bits of an id that tell the class.
const BITS: u64 = 0xf;
/// Processor, in cores, from which the classes count; each further one begins at twice as
/// much. Instances of a sixteenth of a core are the smallest known.
const LEAST: f64 = 1.0 / 32.0;

/// An id drawn by lot, marked as that of an instance with so many cores, of which it may
/// have a part.
pub fn tag_id(id: u64, cores: f64) -> InstanceId {
    let class = (cores / LEAST).log2().clamp(0.0, BITS as f64);
    (id & !BITS) | class as u64
}

/// Class of an instance; the higher, the more processor it has.
pub fn class(id: InstanceId) -> u64 {
    id & BITS
}

/// The instance that is chosen for `key`: one of those with most processor.
///
/// Guards against an account of slots on an instance of an eighth of a core: it is asked
/// 300 times a second at a peak of a fleet of 250, and callers wait for each answer.
pub fn owner(key: &[u8], nodes: impl IntoIterator<Item = InstanceId>) -> Option<InstanceId> {
    let nodes: Vec<InstanceId> = nodes.into_iter().collect();
    let most = nodes.iter().map(|node| class(*node)).max()?;
    hash::owner(key, nodes.into_iter().filter(|node| class(*node) == most))
}
