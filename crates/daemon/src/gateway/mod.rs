//! The gateway: serves an operator's routes on a platform that stores the
//! configuration, the registry of targets and the batch jobs.
//!
//! Runs on a single thread with a `LocalSet`. Instances exchange messages; the
//! state of one instance is in [`node::Node`] and needs no locks. The decisions
//! are made by `coordination` and `state`, and all calls of the platform go
//! through the `platform` package.
//!
//! | module | job |
//! | --- | --- |
//! | [`front`] | HTTP requests of callers: routes and calls |
//! | [`access`] | API keys and workspaces |
//! | [`online`], [`streaming`] | online requests; event streams and their resumption |
//! | [`origins`] | what began the streams that callers take up again, and the versions that served |
//! | [`leases`], [`allocator`] | leases of slots; the slot allocator of a data centre |
//! | [`workload`] | what slot requests tell of the work behind them |
//! | [`quota`] | quotas of workspaces: ledgers, charges and refunds |
//! | [`submit`], [`jobs`] | submission of batch jobs; calls about accepted jobs |
//! | [`crash`], [`quarantine`] | detection of crashed targets; requests that crash them |
//! | [`job_table`], [`held_job`] | known jobs; those in the memory of this instance |
//! | [`job_writer`], [`items`] | durable progress; scheduling of items |
//! | [`takeover`], [`handoff`], [`job_scan`] | jobs whose holder is gone; jobs of instances that stop; scans of all jobs |
//! | [`watch`], [`platform_health`] | watches of the platform; probes of it |
//! | [`suspension`] | reaction to a suspension of the machine |
//! | [`discovery`] | changes of the configuration and of targets |
//! | [`residency`] | regions in which requests and jobs may be |
//! | [`evacuation`] | data centres whose targets receive nothing |
//! | [`peers`], [`message`], [`digest`] | membership; messages between instances; what they compare |
//! | `target_head`, `target_body` | whose a target's response is and what it says; bodies, and whether they are complete |
//! | [`target_page`] | compact form of many registry entries |
//! | [`broadcast`], [`anti_entropy`] | updates to all instances; repair of lost ones |
//! | [`store`], [`job_store`], [`stored_job`] | the platform's store behind a circuit breaker; storage format of jobs; jobs as loaded |
//! | [`call_reason`] | reasons by which calls of the platform are counted |
//! | [`node`], [`mod@run`], [`in_flight`] | state of an instance; start and shutdown; work that a stop waits for |
//! | [`metrics`], [`slot_metrics`] | counters and histograms; state of the slot allocators |

pub mod access;
pub mod allocator;
pub mod anti_entropy;
pub mod broadcast;
pub mod call_reason;
pub mod config_fetch;
pub mod config_parts;
pub mod crash;
pub mod digest;
pub mod discovery;
pub mod evacuation;
pub mod front;
pub mod handoff;
pub mod held_job;
pub mod in_flight;
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
pub mod origins;
pub mod peers;
pub mod platform_health;
pub mod quarantine;
pub mod quota;
pub mod releases;
pub mod residency;
pub mod run;
pub mod slot_metrics;
pub mod store;
pub mod stored_job;
pub mod streaming;
pub mod submit;
pub mod suspension;
pub mod takeover;
mod target_body;
mod target_head;
pub mod target_page;
mod target_process;
pub mod watch;
pub mod workload;

pub use run::run;
