//! Harness of the process tests: stand-ins inside the test's process, daemons as
//! processes of the real binary.

#![allow(dead_code)] // Each test file uses its own part of the harness.

pub mod batch;
pub mod client;
pub mod cluster;
pub mod daemon;
pub mod gateway;
pub mod proxy;

use std::time::{Duration, Instant};

/// Limit of every wait; long, since only a failure ever reaches it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until `condition` gives a value.
#[track_caller]
pub fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(Instant::now() < end, "waited in vain: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Waits until `condition` holds.
#[track_caller]
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    wait_for(what, || condition().then_some(()));
}
