//! Where the present time enters; everything else takes it as an argument.

pub use transport::clock::{now, simulate_suspension, since, suspended_for};

use protocol::Millis;
use std::time::{SystemTime, UNIX_EPOCH};

/// Unix milliseconds.
pub fn millis() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |passed| passed.as_millis() as Millis)
}
