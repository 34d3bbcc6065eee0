//! Durable state: request keys, batch jobs and the configuration, and how the
//! records that the platform keeps fold into them.
//!
//! A [`shard::Shard`] is the state of one chain of log entries. Commands are
//! decided against it ([`shard::Shard::decide`]); what they decide is a list of
//! records, which take effect only when the entry that holds them is in the
//! chain ([`shard::Shard::apply`]). This crate reads and writes nothing itself:
//! the caller moves entries to and from the platform.
//!
//! ```
//! use state::command::Command;
//! use state::shard::{Batch, Decision, Policy, Shard};
//!
//! let shard = Shard::new(0, Policy::default());
//! let command = Command::Status { job: "job-1".into() };
//! let decision = shard.decide(&mut Batch::default(), &command, 0);
//! assert!(matches!(decision, Decision::Answer(Err(_))));
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
