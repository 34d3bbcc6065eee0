//! The current time. Everything else takes it as an argument.

pub use transport::clock::{now, simulate_suspension, since, suspended_for};

use protocol::Millis;
use std::time::{SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds; 0 before 1970.
pub fn millis() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |passed| passed.as_millis() as Millis)
}
