//! The gateway: serves an operator's routes on a platform that keeps the
//! configuration, the registry of targets and the batch jobs.
//!
//! One thread runs it all on a `LocalSet`: what instances share is told by
//! messages, what one instance knows lies in [`node::Node`] without locks. It
//! carries out what `coordination` and `state` decide, and speaks to the
//! platform through the `platform` package only.
//!
//! | module | job |
//! | --- | --- |
//! | [`front`] | callers' requests: which route, which call |
//! | [`online`], [`streaming`] | one request at a time; streams, resumed where they broke |
//! | [`leases`], [`allocator`] | slots: asks for leases; keeps the account of a data centre |
//! | [`submit`], [`jobs`] | batch jobs: submissions, and calls about accepted ones |
//! | [`crash`], [`quarantine`] | whether a target whose answer broke off has crashed; requests that crash their targets |
//! | [`job_table`], [`job_writer`], [`items`] | jobs known here; results made durable; runs of items |
//! | [`takeover`], [`job_scan`] | jobs whose holder is gone; looks through all jobs |
//! | [`watch`], [`platform_health`] | the platform, watched by a few for all; whether it answers them |
//! | [`suspension`] | what follows a suspension of the machine |
//! | [`discovery`] | configuration and targets as they are learnt |
//! | [`peers`], [`message`] | membership, and what instances say to each other |
//! | [`broadcast`], [`anti_entropy`] | news for all instances, over one relay in each data centre; what was lost is made up for |
//! | [`store`], [`job_store`] | the platform's store with a breaker in front; how jobs lie there |
//! | [`metrics`] | counters and histograms as text |

pub mod allocator;
pub mod anti_entropy;
pub mod broadcast;
pub mod call_reason;
pub mod crash;
pub mod discovery;
pub mod front;
pub mod items;
pub mod job_scan;
pub mod job_store;
pub mod job_table;
pub mod job_writer;
pub mod jobs;
pub mod leases;
pub mod message;
pub mod metrics;
pub mod node;
pub mod online;
pub mod peers;
pub mod platform_health;
pub mod quarantine;
pub mod run;
pub mod store;
pub mod streaming;
pub mod submit;
pub mod suspension;
pub mod takeover;
pub mod watch;

pub use run::run;
