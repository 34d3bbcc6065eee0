//! Types that callers, operators and instances exchange.
//!
//! Request and response types, the error kinds with their HTTP status and retry
//! advice, the settings of an instance and the trace format. No networking and
//! no policy.
//!
//! ```
//! use protocol::kind::{Execution, Kind};
//!
//! let properties = Kind::Overloaded.properties();
//! assert_eq!(properties.status, 503);
//! assert_eq!(properties.ran, Execution::NotRun);
//! ```

pub mod chat;
pub mod config;
pub mod error;
pub mod header;
pub mod job;
pub mod kind;
pub mod routing;
pub mod secret;
pub mod settings;
pub mod trace;
pub mod workspace;

pub use error::Error;
pub use kind::Kind;

/// Identifies one process; a restarted instance gets a new id.
pub type InstanceId = u64;
/// Name of a target in the configuration.
pub type TargetId = String;
/// Name of a service in the configuration.
pub type ServiceId = String;
/// Name of a data centre in the configuration.
pub type DataCentreId = String;
/// Name of a region, which has several data centres.
pub type RegionId = String;
/// Version of a target's software, not of the weights that it has loaded. Versions have no order.
pub type SoftwareVersion = String;
/// Id of one attempt of a caller at a request; each attempt has its own.
pub type AttemptId = String;
/// Name of a workspace in the configuration.
pub type WorkspaceId = String;
/// Hash of a request's method, host, path and body; the same for every caller and retry.
pub type RequestFingerprint = u64;
/// Hash of the id of a part of prompts; the same in every prompt that has the part.
pub type PartFingerprint = u64;
/// Identifies an accepted batch job across all instances.
pub type JobId = String;
/// Shard of the durable log, numbered from 0.
pub type ShardId = u32;
/// Generation of the configuration; incremented by each accepted change.
pub type Generation = u64;
/// Milliseconds since the Unix epoch, as used in messages and stored records.
pub type Millis = u64;
