//! Retention and timeouts of a shard, and guards that tests disable.

use std::time::Duration;

/// Retention and timeouts of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// How long outcomes and jobs are kept. Default: 24 hours.
    pub retention: Duration,
    /// Time without a heartbeat of its holder after which a chunk is assigned
    /// again. Default: 15 seconds.
    pub claim_timeout: Duration,
    /// Test only: assignments don't fence earlier ones.
    pub without_fencing: bool,
    /// Test only: claims of requests that may run at most once are ignored.
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
