//! Memory for bodies that an instance holds whole, over all of its requests.
//!
//! Each body alone is bounded by its kind. Many at once would still take more memory than the
//! machine has, so they share a [`Budget`], and the one that no longer fits is refused or passed on
//! in parts. Small bodies always fit: they are bounded by the number of connections, and shouldn't
//! suffer from large ones.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Size up to which a body isn't counted.
const SMALL_BYTES: usize = 32 << 10;

/// A number of bytes that bodies share; clones share it too.
#[derive(Clone, Debug)]
pub struct Budget {
    held: Arc<AtomicUsize>,
    max_bytes: usize,
}

impl Budget {
    /// A budget of which nothing is used.
    pub fn new(max_bytes: usize) -> Budget {
        Budget { held: Arc::default(), max_bytes }
    }

    /// A budget that any body fits into.
    pub fn unlimited() -> Budget {
        Budget::new(usize::MAX)
    }

    /// Number of bytes in use, without those of small bodies.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// A reservation for a body of which nothing has been read.
    pub fn reserve(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }
}

/// The part of a budget that a body uses, until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    bytes: usize,
}

impl Reservation {
    /// Raises the reservation to a body of this size; `false` if it doesn't fit. A body always fits
    /// if there is no other one, since its own limit allows it.
    pub fn grow(&mut self, body_bytes: usize) -> bool {
        if body_bytes <= self.bytes.max(SMALL_BYTES) {
            return true;
        }
        let more = body_bytes - self.bytes;
        let max = self.budget.max_bytes;
        let add = |held: usize| {
            (held == self.bytes || held.saturating_add(more) <= max).then(|| held + more)
        };
        let added = self.budget.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        if added.is_ok() {
            self.bytes = body_bytes;
        }
        added.is_ok()
    }

    /// Keeps the reservation for as long as any part of the body exists.
    pub fn hold(self, body: Bytes) -> Bytes {
        if self.bytes == 0 {
            return body;
        }
        Bytes::from_owner(Held { body, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

struct Held {
    body: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
