//! Work that a stop waits for.

use std::cell::Cell;
use std::rc::Rc;

/// Number of calls and tasks in flight.
#[derive(Clone, Debug, Default)]
pub struct Counter(Rc<Cell<usize>>);

impl Counter {
    /// Counts work as in flight until the guard is dropped.
    pub fn start(&self) -> Guard {
        self.0.set(self.0.get() + 1);
        Guard(self.clone())
    }

    /// Number of calls and tasks in flight.
    pub fn get(&self) -> usize {
        self.0.get()
    }
}

/// Counts work as in flight until dropped.
///
/// Held by calls of callers until they have a response, and by tasks whose loss another
/// instance can't make up for, such as a delivery that is retried until it is acknowledged.
#[derive(Debug)]
pub struct Guard(Counter);

impl Drop for Guard {
    fn drop(&mut self) {
        let Guard(Counter(count)) = self;
        count.set(count.get().saturating_sub(1));
    }
}
