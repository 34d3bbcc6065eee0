//! Work that a stop waits for.

use super::node::Node;
use std::rc::Rc;

/// Counts work as in flight until dropped.
///
/// Held by calls of callers until they have a response, and by tasks whose loss another
/// instance can't make up for, such as a delivery that is retried until it is acknowledged.
pub struct Guard(Rc<Node>);

impl Guard {
    /// Increments the number of calls and tasks in flight.
    pub fn new(node: &Rc<Node>) -> Guard {
        node.in_flight.set(node.in_flight.get() + 1);
        Guard(node.clone())
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get().saturating_sub(1));
    }
}
