//! A process for machines on which nothing has to run.
//!
//! Some deployments have machines with disks and want a process on each. All
//! that lasts is kept on the platform, so there is nothing to do there: the
//! process waits for its stop. Such a machine can be emptied at any time.

use slog::Logger;
use tokio::signal::unix::{SignalKind, signal};

/// Waits for a signal to stop.
///
/// # Errors
///
/// When a signal can't be handled.
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
