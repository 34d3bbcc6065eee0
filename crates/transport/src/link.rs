//! A slow network link simulated for tests.
//!
//! Loopback connections have no rate of their own. All connections between instances share the
//! simulated link of the process that sends, in order of arrival, so that a large message delays
//! the small ones behind it. Without a setting, as in production, there is no simulated link.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Bytes sent at once: few enough that connections alternate, enough for the timer's resolution.
pub(crate) const CHUNK_BYTES: usize = 16 << 10;

/// An outgoing link with a limited rate.
#[derive(Debug)]
pub struct SimulatedLink {
    bytes_per_second: u64,
    /// When all bytes accepted so far will have been sent.
    idle_at: Mutex<Instant>,
}

impl SimulatedLink {
    /// An idle link; a rate of 0 counts as 1.
    pub fn new(bytes_per_second: u64, now: Instant) -> SimulatedLink {
        SimulatedLink { bytes_per_second: bytes_per_second.max(1), idle_at: Mutex::new(now) }
    }

    /// Accepts a number of bytes; returns when they will have been sent.
    pub fn accept(&self, bytes: usize, now: Instant) -> Instant {
        let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second as f64);
        let mut idle_at = self.idle_at.lock().unwrap_or_else(PoisonError::into_inner);
        *idle_at = now.max(*idle_at) + time;
        *idle_at
    }
}
