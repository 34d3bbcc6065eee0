//! Replicated state machines of idempotency keys, batch jobs and configuration.
//!
//! A [`shard::Shard`] is the state of one append-only log. A command is decided
//! against it ([`shard::Shard::decide`]), which yields records; they take effect
//! only once the log entry that holds them is appended and applied
//! ([`shard::Shard::apply`]). This crate does no I/O: the caller reads and writes
//! log entries.
//!
//! ```
//! use state::command::Command;
//! use state::shard::{Batch, Decision, Policy, Shard};
//!
//! let shard = Shard::new(0, Policy::default());
//! let command = Command::Status { job: "job-1".into() };
//! let decision = shard.decide(&mut Batch::default(), &command, 0);
//! assert!(matches!(decision, Decision::Reply(Err(_))));
//! ```

pub mod command;
pub mod config;
pub mod jobs;
pub mod keys;
pub mod object_key;
pub mod part;
pub mod progress;
pub mod record;
pub mod shard;
pub mod snapshot;
