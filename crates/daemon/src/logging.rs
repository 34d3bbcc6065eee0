//! JSON lines on standard output.
//!
//! A thread of its own writes them from a bounded queue. A line for which there
//! is no place is dropped and counted, and the count is told with the next line:
//! a process never waits for its log.

use slog::{Drain, Level, Logger, o};

/// Lines that may wait to be written.
const QUEUE: usize = 1024;

/// A logger that writes JSON lines of at least `level`.
pub fn json(level: &str, data_centre: &str) -> Logger {
    let level = match level {
        "debug" => Level::Debug,
        "warning" => Level::Warning,
        "error" => Level::Error,
        _ => Level::Info,
    };
    let drain = slog_json::Json::default(std::io::stdout()).fuse();
    let drain = slog_async::Async::new(drain)
        .chan_size(QUEUE)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    let drain = slog::LevelFilter::new(drain, level).fuse();
    Logger::root(drain, o!("data_centre" => data_centre.to_owned()))
}

/// A logger that drops everything.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
