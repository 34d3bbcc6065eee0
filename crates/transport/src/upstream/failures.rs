//! When connections to each address last failed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long failures are remembered.
const MEMORY: Duration = Duration::from_secs(2);

/// Last failure of each address, of the last [`MEMORY`].
#[derive(Debug, Default)]
pub(super) struct Failures(HashMap<SocketAddr, Instant>);

impl Failures {
    /// Records a refused connection or an interrupted response.
    pub(super) fn record(&mut self, address: SocketAddr, now: Instant) {
        self.0.retain(|_, at| now.saturating_duration_since(*at) < MEMORY);
        self.0.insert(address, now);
    }

    /// Time since the last failure of an address; `None` if none is remembered.
    pub(super) fn age(&self, address: SocketAddr, now: Instant) -> Option<Duration> {
        self.0.get(&address).map(|at| now.saturating_duration_since(*at))
    }
}
