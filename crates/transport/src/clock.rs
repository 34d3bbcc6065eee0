//! A monotonic clock that includes the time for which the machine was suspended.
//!
//! [`Instant::now`] reads `CLOCK_MONOTONIC`, which stops during a suspension: leases would
//! seem held, callers would seem to wait and heartbeats would seem recent. This clock is
//! based on `CLOCK_BOOTTIME`.
//!
//! Timers of the runtime follow `CLOCK_MONOTONIC` and fire late after a suspension; compare
//! deadlines with this clock when they do.
//!
//! ```
//! use transport::clock;
//!
//! let start = clock::now();
//! assert!(clock::since(start) < std::time::Duration::from_secs(60));
//! ```

use rustix::time::{ClockId, clock_gettime};
use std::path::PathBuf;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

const REREAD_INTERVAL: Duration = Duration::from_millis(20);

struct Origin {
    monotonic: Instant,
    boottime: Duration,
}

/// Suspension simulated by a test: a file with its total length in milliseconds.
struct SimulatedSuspension {
    file: PathBuf,
    cached: Mutex<Option<(Instant, Duration)>>,
}

static ORIGIN: OnceLock<Origin> = OnceLock::new();
static SIMULATED: OnceLock<SimulatedSuspension> = OnceLock::new();

/// Time since boot, suspensions included.
fn boottime() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
        + SIMULATED.get().map_or(Duration::ZERO, SimulatedSuspension::read)
}

fn origin() -> &'static Origin {
    ORIGIN.get_or_init(|| Origin { monotonic: Instant::now(), boottime: boottime() })
}

/// Current time on this clock; not comparable with [`Instant::now`].
pub fn now() -> Instant {
    let origin = origin();
    origin.monotonic + boottime().saturating_sub(origin.boottime)
}

/// Time elapsed since `earlier`, a result of [`now`].
pub fn since(earlier: Instant) -> Duration {
    now().saturating_duration_since(earlier)
}

/// Total time for which the machine was suspended since the first use of this clock,
/// accurate to a few microseconds.
pub fn suspended_for() -> Duration {
    let origin = origin();
    let running = origin.monotonic.elapsed();
    boottime().saturating_sub(origin.boottime).saturating_sub(running)
}

/// Advances the clock by the milliseconds that `file` holds, for tests. Only the
/// first call in a process has an effect.
pub fn simulate_suspension(file: PathBuf) {
    SIMULATED.get_or_init(|| SimulatedSuspension { file, cached: Mutex::new(None) });
}

impl SimulatedSuspension {
    fn read(&self) -> Duration {
        let now = Instant::now();
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((read_at, suspended)) = *cached
            && now.saturating_duration_since(read_at) < REREAD_INTERVAL
        {
            return suspended;
        }
        // An empty or missing file simulates no suspension.
        let text = std::fs::read_to_string(&self.file).unwrap_or_default();
        let suspended = Duration::from_millis(text.trim().parse().unwrap_or_default());
        *cached = Some((now, suspended));
        suspended
    }
}
