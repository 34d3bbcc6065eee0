//! Whether the process of a target still runs, and what that says of its responses.
//!
//! A connection that was closed looks the same if the target closed it after a complete response
//! and if its process ended halfway. Shortly afterwards its address tells the two apart.

use std::time::Duration;

/// Time within which the port and all connections of a process that ends are closed.
pub const CLOSE_WINDOW: Duration = Duration::from_millis(5);

/// Interval at which the connection that shows whether a process runs is checked and, if the target
/// has closed it, replaced. One that is younger says nothing: if the process has crashed, it is a
/// connection to the next one.
pub const MONITOR_INTERVAL: Duration = Duration::from_millis(50);

/// What a connection to a target's address showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// A connection was established.
    Listening,
    /// The connection was refused: no process listens on the address.
    Refused,
    /// A connection that was open before has been closed: the process has probably ended.
    Closed,
    /// The attempt timed out or failed otherwise.
    Unknown,
}

impl Presence {
    /// Whether the process has crashed. One that `is_leaving` as announced may have ended.
    pub fn is_crash(self, is_leaving: bool) -> bool {
        self == Presence::Refused && !is_leaving
    }

    /// Whether a response that ended with its connection is complete as far as can be known. A
    /// target that has announced that it leaves may still end halfway, so that doesn't matter.
    pub fn confirms_end(self) -> bool {
        self == Presence::Listening
    }
}
