//! A process for machines on which nothing has to run.
//!
//! Some deployments require a process on each machine with disks. All durable state is on
//! the platform, so this process only waits for a stop signal, and its machine can be
//! drained at any time.

use slog::Logger;
use tokio::signal::unix::{SignalKind, signal};

/// Waits for `SIGTERM`; `SIGHUP` has no effect but a log line.
///
/// # Errors
///
/// If a signal handler can't be installed.
pub fn run(log: &Logger) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut reload = signal(SignalKind::hangup())?;
        slog::info!(log, "started"; "duty" => "standby");
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = reload.recv() => slog::info!(log, "reload"; "takes_effect" => "next start"),
            }
        }
        slog::info!(log, "stopped"; "duty" => "standby");
        Ok(())
    })
}
