//! JSON lines on standard error.

use slog::{Drain, Level, Logger, o};

/// A logger that writes JSON lines of at least `level`.
pub fn json(level: &str, data_centre: &str) -> Logger {
    let level = match level {
        "debug" => Level::Debug,
        "warning" => Level::Warning,
        "error" => Level::Error,
        _ => Level::Info,
    };
    let drain = slog_json::Json::default(std::io::stderr()).fuse();
    let drain = slog_async::Async::new(drain).build().fuse();
    let drain = slog::LevelFilter::new(drain, level).fuse();
    Logger::root(drain, o!("data_centre" => data_centre.to_owned()))
}

/// A logger that drops everything.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
