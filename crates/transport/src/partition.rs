//! Cuts for tests: addresses that a daemon treats as unreachable, or whose open
//! connections it treats as silent.
//!
//! A data centre that is cut off can't be brought about on loopback without
//! privileges, so each connection asks here first. Without a file (always, in
//! production) the answer is a plain `false`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const REREAD: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
struct Known {
    read: Option<Instant>,
    addresses: Vec<SocketAddr>,
    /// Addresses whose connections fell silent, and when.
    silent: HashMap<SocketAddr, Instant>,
}

const SILENT: &str = "silent ";

impl Known {
    fn take_in(&mut self, text: &str, now: Instant) {
        let lines = || text.lines().map(str::trim);
        self.addresses = lines().filter_map(|line| line.parse().ok()).collect();
        let silent = lines().filter_map(|line| line.strip_prefix(SILENT)?.parse().ok());
        let silent: Vec<SocketAddr> = silent.collect();
        self.silent.retain(|address, _| silent.contains(address));
        silent.into_iter().for_each(|address| {
            self.silent.entry(address).or_insert(now);
        });
        self.read = Some(now);
    }
}

/// Addresses that count as unreachable.
#[derive(Clone, Debug, Default)]
pub struct SimulatedPartition {
    file: Option<PathBuf>,
    known: Arc<Mutex<Known>>,
}

impl SimulatedPartition {
    /// Cuts as `file` lists them, one address a line, `silent ` before it where only the
    /// connections that are open go silent; none without a file.
    pub fn new(file: Option<PathBuf>) -> SimulatedPartition {
        SimulatedPartition { file, known: Arc::default() }
    }

    /// Whether `address` is cut off now.
    pub fn is_unreachable(&self, address: SocketAddr, now: Instant) -> bool {
        self.look(now, |known| known.addresses.contains(&address))
    }

    /// Whether a connection to `address` that was opened at `opened` is silent for good.
    pub fn is_unresponsive(&self, address: SocketAddr, opened: Instant, now: Instant) -> bool {
        self.look(now, |known| known.silent.get(&address).is_some_and(|since| opened < *since))
    }

    fn look(&self, now: Instant, at: impl FnOnce(&Known) -> bool) -> bool {
        let Some(file) = &self.file else {
            return false;
        };
        let Ok(mut known) = self.known.lock() else {
            return false;
        };
        if known.read.is_none_or(|read| now.saturating_duration_since(read) >= REREAD) {
            let text = std::fs::read_to_string(file).unwrap_or_default();
            known.take_in(&text, now);
        }
        at(&known)
    }
}
