//! Stand-ins of the outer systems, for tests and trials: the platform, a model
//! engine, a plain service.
//!
//! They are small on purpose. Each keeps its own record of what it was asked
//! and what it ran; proofs judge by these records, never by a daemon's counts.
//! None of this is a simulator of a cluster.

pub mod engine;
pub mod objects;
pub mod plain;
pub mod platform;
pub mod runner;
pub mod serve;
pub mod text;
