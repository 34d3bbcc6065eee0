//! Times that rule a shard, and guards that tests switch off.

use std::time::Duration;

/// Times that rule a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// How long outcomes stay readable.
    pub retention: Duration,
    /// Silence of a chunk's holder after which the chunk goes out again.
    pub claim_timeout: Duration,
    /// Test only: hand-outs don't fence the earlier ones.
    pub without_fencing: bool,
    /// Test only: claims of requests that may run once are not looked at.
    pub without_claims: bool,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            retention: Duration::from_secs(86_400),
            claim_timeout: Duration::from_secs(15),
            without_fencing: false,
            without_claims: false,
        }
    }
}
