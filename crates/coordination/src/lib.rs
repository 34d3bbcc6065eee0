//! Decisions of a fleet that serves online and batch work.
//!
//! Every function here decides and nothing more: no I/O, no clock, no thread,
//! no lock. The present time is an argument, and so is chance. That makes each
//! rule testable without sleeping, and lets others embed it under their own
//! transport and storage.
//!
//! What it is not: a consensus library. Agreement rests on conditional writes
//! to a store that the embedder names ([`append_log`], [`lease`]); what members tell
//! each other ([`membership`]) is a hint that may be lost.
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
pub mod append_log;
pub mod burn_rate;
pub mod capacity;
pub mod connectivity;
pub mod drain;
pub mod ejection;
pub mod flush;
pub mod hash;
pub mod lease;
pub mod leaving;
pub mod limit;
pub mod load;
pub mod membership;
pub mod quarantine;
pub mod queue;
pub mod range_scan;
pub mod registry;
pub mod retry;
pub mod rollout;
pub mod route;
pub mod run_time;
pub mod slots;
pub mod watch;

/// Identifies a daemon process.
pub type InstanceId = u64;
/// Name of a target.
pub type TargetId = String;
