//! What callers, operators and instances say to each other.
//!
//! This crate holds the request and answer types, the closed list of error
//! kinds with the one table from kind to answer, the settings of a daemon and
//! the trace format. It opens no connection and takes no decision.
//!
//! ```
//! use protocol::kind::{Kind, Ran};
//!
//! let row = Kind::Overloaded.row();
//! assert_eq!(row.status, 503);
//! assert_eq!(row.ran, Ran::NotRun);
//! ```

pub mod chat;
pub mod config;
pub mod error;
pub mod header;
pub mod job;
pub mod kind;
pub mod routing;
pub mod settings;
pub mod trace;

pub use error::Error;
pub use kind::Kind;

/// Identifies a daemon process; unique for each start.
pub type InstanceId = u64;
/// Name of a target, as the configuration gives it.
pub type TargetId = String;
/// Name of a service, as the configuration gives it.
pub type ServiceId = String;
/// Name of a data centre.
pub type DataCentreId = String;
/// Identifies what a request asks for, whoever sends it and however often: a hash of its method,
/// host, path and body.
pub type RequestFingerprint = u64;
/// Identifies an accepted batch job.
pub type JobId = String;
/// Number of a shard of the durable log.
pub type ShardId = u32;
/// Generation of the configuration; grows by one with each accepted change.
pub type Generation = u64;
/// Milliseconds since the Unix epoch, as they travel in messages and records.
pub type Millis = u64;
