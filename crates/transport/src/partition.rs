//! Network partitions simulated for tests: addresses treated as unreachable, or
//! whose open connections are treated as unresponsive.
//!
//! Partitioning the loopback interface needs privileges, so outgoing connections
//! consult this module instead. Without a file, as in production, nothing is
//! partitioned.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const REREAD_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
struct Cached {
    read_at: Option<Instant>,
    unreachable: Vec<SocketAddr>,
    /// With the time since which open connections are unresponsive.
    unresponsive: HashMap<SocketAddr, Instant>,
}

const UNRESPONSIVE_PREFIX: &str = "silent ";

impl Cached {
    fn update(&mut self, text: &str, now: Instant) {
        let lines = || text.lines().map(str::trim);
        self.unreachable = lines().filter_map(|line| line.parse().ok()).collect();
        let listed =
            lines().filter_map(|line| line.strip_prefix(UNRESPONSIVE_PREFIX)?.parse().ok());
        let listed: Vec<SocketAddr> = listed.collect();
        self.unresponsive.retain(|address, _| listed.contains(address));
        listed.into_iter().for_each(|address| {
            self.unresponsive.entry(address).or_insert(now);
        });
        self.read_at = Some(now);
    }
}

/// Addresses that a test has partitioned off.
#[derive(Clone, Debug, Default)]
pub struct SimulatedPartition {
    file: Option<PathBuf>,
    cached: Arc<Mutex<Cached>>,
}

impl SimulatedPartition {
    /// Reads partitions from `file`, which may change at any time: one address a
    /// line, with the prefix `silent ` if only its open connections are affected.
    /// Nothing is partitioned if `file` is `None`.
    pub fn new(file: Option<PathBuf>) -> SimulatedPartition {
        SimulatedPartition { file, cached: Arc::default() }
    }

    /// Whether `address` is unreachable at present.
    pub fn is_unreachable(&self, address: SocketAddr, now: Instant) -> bool {
        self.check(now, |cached| cached.unreachable.contains(&address))
    }

    /// Whether a connection to `address` opened at `opened` no longer responds.
    pub fn is_unresponsive(&self, address: SocketAddr, opened: Instant, now: Instant) -> bool {
        self.check(now, |cached| {
            cached.unresponsive.get(&address).is_some_and(|since| opened < *since)
        })
    }

    fn check(&self, now: Instant, is_affected: impl FnOnce(&Cached) -> bool) -> bool {
        let Some(file) = &self.file else {
            return false;
        };
        let Ok(mut cached) = self.cached.lock() else {
            return false;
        };
        if cached
            .read_at
            .is_none_or(|read_at| now.saturating_duration_since(read_at) >= REREAD_INTERVAL)
        {
            let text = std::fs::read_to_string(file).unwrap_or_default();
            cached.update(&text, now);
        }
        is_affected(&cached)
    }
}
