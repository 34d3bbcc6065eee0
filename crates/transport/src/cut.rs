//! Cuts for tests: addresses that a daemon treats as unreachable.
//!
//! A data centre that is cut off can't be brought about on loopback without
//! privileges, so each connection asks here first. Without a file (always, in
//! production) the answer is a plain `false`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const REREAD: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
struct Known {
    read: Option<Instant>,
    addresses: Vec<SocketAddr>,
}

/// Addresses that count as unreachable.
#[derive(Clone, Debug, Default)]
pub struct Cut {
    file: Option<PathBuf>,
    known: Arc<Mutex<Known>>,
}

impl Cut {
    /// Cuts as `file` lists them, one address a line; none without a file.
    pub fn new(file: Option<PathBuf>) -> Cut {
        Cut { file, known: Arc::default() }
    }

    /// Whether `address` is cut off now.
    pub fn is_cut(&self, address: SocketAddr, now: Instant) -> bool {
        let Some(file) = &self.file else {
            return false;
        };
        let Ok(mut known) = self.known.lock() else {
            return false;
        };
        if known.read.is_none_or(|read| now.saturating_duration_since(read) >= REREAD) {
            let text = std::fs::read_to_string(file).unwrap_or_default();
            known.addresses = text.lines().filter_map(|line| line.trim().parse().ok()).collect();
            known.read = Some(now);
        }
        known.addresses.contains(&address)
    }
}
