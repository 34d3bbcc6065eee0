//! Memory of capnp messages that are arriving.
//!
//! A message begins with the sizes of its segments, and its reader allocates all of them at once.

use crate::budget::{Budget, Reservation};

/// Most segments of a message, as its reader allows.
const MAX_SEGMENTS: usize = 512;
const WORD_BYTES: u64 = 8;

/// Follows the messages on a connection, and reserves memory for the one that is arriving.
#[derive(Debug)]
pub struct Arriving {
    budget: Budget,
    /// The sizes of the segments, as far as they have arrived.
    table: Vec<u8>,
    /// Bytes of the segments that haven't arrived; `None` until their sizes are known.
    remaining: Option<u64>,
    reservation: Reservation,
}

impl Arriving {
    /// Follows a connection of which nothing has been read.
    pub fn new(budget: Budget) -> Arriving {
        let reservation = budget.reserve();
        Arriving { budget, table: Vec::new(), remaining: None, reservation }
    }

    /// Advances past received bytes; `false` if there is no room for the message, or it isn't one.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let mut rest = bytes;
        while !rest.is_empty() {
            let taken = match self.remaining {
                Some(remaining) => (rest.len() as u64).min(remaining) as usize,
                None => {
                    let taken = rest.len().min(self.table_bytes() - self.table.len());
                    self.table.extend_from_slice(&rest[..taken]);
                    taken
                }
            };
            rest = &rest[taken..];
            if !self.advance(taken as u64) {
                return false;
            }
        }
        true
    }

    fn advance(&mut self, taken: u64) -> bool {
        if let Some(remaining) = &mut self.remaining {
            *remaining -= taken;
        } else {
            if self.segments() > MAX_SEGMENTS {
                return false;
            }
            if self.table.len() < self.table_bytes() {
                return true;
            }
            let bytes = self.message_bytes();
            self.table.clear();
            self.remaining = Some(bytes);
            if !self.reservation.grow(usize::try_from(bytes).unwrap_or(usize::MAX)) {
                return false;
            }
        }
        if self.remaining == Some(0) {
            self.remaining = None;
            self.reservation = self.budget.reserve();
        }
        true
    }

    /// Number of segments; 0 before it is known.
    fn segments(&self) -> usize {
        self.number(0).map_or(0, |number| number as usize + 1)
    }

    /// Length of the table, or of its first field before the number of segments is known.
    fn table_bytes(&self) -> usize {
        let fields = 1 + self.segments();
        if fields == 1 { 4 } else { fields.next_multiple_of(2) * 4 }
    }

    fn message_bytes(&self) -> u64 {
        let words = (1..=self.segments()).filter_map(|field| self.number(field));
        words.map(|words| u64::from(words) * WORD_BYTES).sum()
    }

    fn number(&self, field: usize) -> Option<u32> {
        let bytes = self.table.get(field * 4..field * 4 + 4)?;
        Some(u32::from_le_bytes(bytes.try_into().ok()?))
    }
}
