//! Whether the process of a target still runs, and what that says of its responses.
//!
//! A connection that was closed looks the same if the target closed it after a complete response
//! and if its process ended halfway. Shortly afterwards its address tells the two apart.

use std::time::Duration;

/// Time within which the port and all connections of a process that ends are closed.
pub const CLOSE_WINDOW: Duration = Duration::from_millis(5);

/// Interval at which the reader of a response that ends with its connection checks that it isn't
/// held up.
pub const AWAKE_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time from one of these checks to the next in which a close counts as noticed when it
/// happened. A reader that was suspended for longer may find that the target runs again.
pub const MAX_NOTICE_DELAY: Duration = Duration::from_millis(250);

/// What a connection attempt to a target's address showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// A connection was established.
    Listening,
    /// The connection was refused: no process listens on the address.
    Refused,
    /// The attempt timed out or failed otherwise.
    Unknown,
}

impl Presence {
    /// Whether the process has crashed. One that `is_leaving` as announced may have ended.
    pub fn is_crash(self, is_leaving: bool) -> bool {
        self == Presence::Refused && !is_leaving
    }

    /// Whether a response that ended with its connection is complete as far as can be known. A
    /// target that has announced that it leaves may still end halfway, so that doesn't matter. If
    /// another connection to it failed just before, its process may have crashed, and the one that
    /// listens now may be the next.
    pub fn confirms_end(self, time_since_failure: Option<Duration>) -> bool {
        let has_failed = time_since_failure.is_some_and(|time| time < MAX_NOTICE_DELAY);
        self == Presence::Listening && !has_failed
    }
}
