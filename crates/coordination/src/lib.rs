//! Decision logic of a fleet that serves online and batch requests.
//!
//! Nothing here does I/O, reads a clock, spawns threads or takes locks. The current time and
//! random values are arguments, so that each rule is tested in virtual time and can be embedded
//! under any transport and storage.
//!
//! This is not a consensus library. Agreement rests on conditional writes to a store that the
//! embedder provides ([`append_log`], [`lease`]); membership updates ([`membership`]) are hints
//! that may be lost.
//!
//! ```
//! use coordination::append_log::{Append, Step};
//!
//! // A create whose outcome is unknown is resolved by reading the entry back.
//! let append = Append::new(7, "writer-a");
//! assert_eq!(append.on_unknown(), Step::ReadBack);
//! assert_eq!(append.on_read(Some("writer-a")), Step::Committed);
//! assert_eq!(append.on_read(Some("writer-b")), Step::Conflict);
//! ```

pub mod admission;
pub mod answer_time;
pub mod append_log;
pub mod burn_rate;
pub mod capacity;
pub mod connectivity;
pub mod continuation;
pub mod drain;
pub mod ejection;
pub mod evacuation;
pub mod fair_share;
pub mod fanout;
pub mod flush;
pub mod hash;
pub mod lease;
pub mod leaving;
pub mod limit;
pub mod load;
pub mod membership;
pub mod origins;
pub mod parts;
pub mod pending_jobs;
pub mod presence;
pub mod prompt;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod range_scan;
pub mod registry;
pub mod releases;
pub mod residency;
pub mod retry;
pub mod rollout;
pub mod route;
pub mod route_watch;
pub mod run_time;
pub mod slots;
pub mod sources;
pub mod watch;

/// Identifies a start of a daemon process.
pub type InstanceId = u64;
/// Configured name of a target.
pub type TargetId = String;
