//! The gatespool daemon: duties as threads, joined by bounded rings.
//!
//! [`start`] brings a whole daemon up inside the calling process, which is how
//! the example and the tests of the command line embed it; the binary
//! `gatespoold` is a thin shell over it. It is not a place for decisions: those
//! are in `coordination` and `state`, and the duties here carry them out.
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
