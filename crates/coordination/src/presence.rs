//! Whether the process of a target still runs, and what that says of its responses.
//!
//! A connection that was closed looks the same if the target closed it after a complete response
//! and if its process ended halfway. What tells the two apart afterwards is a connection that was
//! open before the request was sent, or the id that the process at the address states. That it
//! listens doesn't: another process may.

use std::time::Duration;

/// Time within which the port and all connections of a process that ends are closed.
pub const CLOSE_WINDOW: Duration = Duration::from_millis(5);

/// Maximum time to ask a target for the id of its process. Callers of streams give up after 2 s of
/// silence.
pub const IDENTITY_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of times that a target is asked.
pub const IDENTITY_ATTEMPTS: u32 = 3;

/// Pause before a target is asked again.
pub const IDENTITY_PAUSE: Duration = Duration::from_millis(100);

/// What a connection to a target's address showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// A connection was established, or has been open throughout.
    Listening,
    /// The connection was refused: no process listens on the address.
    Refused,
    /// A connection that was open before has been closed: the process has probably ended.
    Closed,
    /// The process has responded, with the id to which the request was sent.
    Identified,
    /// A process with another id has responded.
    Replaced,
    /// The attempt timed out or failed otherwise.
    Unknown,
}

impl Presence {
    /// Whether the process has crashed. One that `is_leaving` as announced may have ended.
    pub fn is_crash(self, is_leaving: bool) -> bool {
        self == Presence::Refused && !is_leaving
    }

    /// Whether a response that ended with its connection is complete as far as can be known, if a
    /// connection that was open before the request, or an id, showed this. A target that has
    /// announced that it leaves may still end halfway, so that doesn't matter.
    pub fn confirms_end(self) -> bool {
        matches!(self, Presence::Listening | Presence::Identified)
    }
}
