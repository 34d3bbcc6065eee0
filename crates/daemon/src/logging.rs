//! JSON log lines on standard output.
//!
//! A separate thread writes them from a bounded queue. Lines that don't fit are dropped,
//! and their number is logged with the next line, so a process never waits for its log.

use slog::{Drain, Level, Logger, o};

/// Maximum number of queued lines.
const QUEUE: usize = 1024;

/// Creates a logger for JSON lines of at least `level`: `debug`, `warning` or `error`, else
/// info.
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

/// Creates a logger that drops everything.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
