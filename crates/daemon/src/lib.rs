//! The gatespool daemon: worker threads joined by bounded channels.
//!
//! [`start`] runs a whole daemon inside the calling process, as the example and the tests
//! of the command line do; the binary `gatespoold` only adds options and signals. Decisions
//! are made in `coordination` and `state`; the workers here carry them out.
//!
//! ```no_run
//! # fn main() -> anyhow::Result<()> {
//! let settings = protocol::settings::Settings::default();
//! let daemon = daemon::start(settings, daemon::logging::discard())?;
//! println!("callers are served at {}", daemon.front);
//! daemon.stop();
//! daemon.join();
//! # Ok(())
//! # }
//! ```

pub mod append;
pub mod batch;
pub mod clock;
pub mod control;
pub mod fleet;
pub mod front;
pub mod gateway;
pub mod logging;
pub mod orders;
pub mod peers;
pub mod retry_queue;
pub mod shards;
pub mod shared;
pub mod standby;
pub mod start;
pub mod store;
pub mod telemetry;

pub use start::{Daemon, start};
