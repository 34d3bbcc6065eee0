//! Splits a text into parts that can be fetched, passed on and reused one by one.
//!
//! Where a part ends depends only on the bytes before its end. A change to one place of a text
//! therefore changes few parts, and a receiver that has the text before fetches only those.
//!
//! ```
//! use coordination::parts;
//!
//! let records: String = (0..5_000)
//!     .map(|n| format!("{{\"name\":\"record {n}\",\"timeout_ms\":5000,\"is_resumable\":false}},"))
//!     .collect();
//! let changed = records.replacen("record 2500", "another name", 1);
//! let before = parts::split(records.as_bytes());
//! let after = parts::split(changed.as_bytes());
//! assert_eq!(before.concat(), records.as_bytes());
//! let is_new = |part: &&&[u8]| !before.contains(*part);
//! assert!(after.iter().filter(is_new).count() <= 2);
//! ```

use crate::hash;
use serde::{Deserialize, Serialize};

/// Digest by which a part is named.
pub type PartDigest = u64;

/// Minimum size of a part but the last one.
const MIN_BYTES: usize = 16 << 10;
/// Maximum size of a part.
pub const MAX_BYTES: usize = 128 << 10;
/// Bytes that decide whether a part ends behind them: enough to hold more than what all records
/// end with.
const WINDOW_BYTES: usize = 256;
/// Ends of records of which one, on average, ends a part.
const RECORDS_PER_PART: u64 = 128;
/// The byte that ends a record.
const RECORD_END: u8 = b'}';

/// The parts of a text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Version of the text.
    pub version: u64,
    /// Digest of the whole text.
    pub digest: u64,
    /// Digests of the parts, in order.
    pub parts: Vec<PartDigest>,
}

/// Splits a text. The parts, joined, are the text.
pub fn split(text: &[u8]) -> Vec<&[u8]> {
    let mut parts = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let (part, after) = rest.split_at(first_end(rest));
        parts.push(part);
        rest = after;
    }
    parts
}

/// Where the first part of a text ends.
fn first_end(text: &[u8]) -> usize {
    let max = text.len().min(MAX_BYTES);
    let ends_part = |end: &usize| {
        text[end - 1] == RECORD_END
            && hash::bytes(&text[end - WINDOW_BYTES..*end]).is_multiple_of(RECORDS_PER_PART)
    };
    (MIN_BYTES..max).find(ends_part).unwrap_or(max)
}

/// Digest of a part, or of a whole text.
pub fn digest(bytes: &[u8]) -> u64 {
    hash::bytes(bytes)
}
