//! Stand-ins for external systems, for tests and trials: the platform, model engines and a plain
//! service.
//!
//! Each records the requests that it received and ran. Tests rely on these records rather than on
//! a daemon's own counters.

pub mod engine;
pub mod objects;
pub mod plain;
pub mod platform;
pub mod prompt_memory;
pub mod runner;
pub mod serve;
pub mod text;
