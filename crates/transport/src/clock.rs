//! The present time, on a clock that goes on while the machine is suspended.
//!
//! The steady clock of the system ([`Instant::now`]) stands still then, so whatever is
//! measured by it across a suspension is too short: leases seem held, callers seem to wait,
//! peers seem to have been heard just now. By this clock a suspension looks like a process
//! that was stopped for as long, to every decision alike.
//!
//! Timers of the runtime follow the steady clock and fire late by what was slept; who waits
//! looks at this clock when it wakes.
//!
//! ```
//! use transport::clock;
//!
//! let began = clock::now();
//! assert!(clock::since(began) < std::time::Duration::from_secs(60));
//! ```

use rustix::time::{ClockId, clock_gettime};
use std::path::PathBuf;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

/// Time between looks into the file that tests put suspensions into.
const REREAD: Duration = Duration::from_millis(20);

struct Origin {
    steady: Instant,
    counting: Duration,
}

/// Suspensions that a test pretends: a file with their milliseconds in all.
struct Pretended {
    file: PathBuf,
    known: Mutex<Option<(Instant, Duration)>>,
}

static ORIGIN: OnceLock<Origin> = OnceLock::new();
static PRETENDED: OnceLock<Pretended> = OnceLock::new();

/// Time since the machine's start, suspensions included.
fn counting() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos) + PRETENDED.get().map_or(Duration::ZERO, Pretended::read)
}

fn origin() -> &'static Origin {
    ORIGIN.get_or_init(|| Origin { steady: Instant::now(), counting: counting() })
}

/// Now. Differences between two such times are right whatever lay between; don't mix them
/// with times of another clock.
pub fn now() -> Instant {
    let origin = origin();
    origin.steady + counting().saturating_sub(origin.counting)
}

/// Time since `then`, which came from [`now`].
pub fn since(then: Instant) -> Duration {
    now().saturating_duration_since(then)
}

/// How long the machine was suspended since the first use of this clock, to a few
/// microseconds.
pub fn suspended_for() -> Duration {
    let origin = origin();
    let awake = origin.steady.elapsed();
    counting().saturating_sub(origin.counting).saturating_sub(awake)
}

/// Has the clock run ahead by what `file` says, for tests; the first call counts.
pub fn simulate_suspension(file: PathBuf) {
    PRETENDED.get_or_init(|| Pretended { file, known: Mutex::new(None) });
}

impl Pretended {
    fn read(&self) -> Duration {
        let now = Instant::now();
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((at, time)) = *known
            && now.saturating_duration_since(at) < REREAD
        {
            return time;
        }
        // Empty or gone: nothing is pretended.
        let text = std::fs::read_to_string(&self.file).unwrap_or_default();
        let time = Duration::from_millis(text.trim().parse().unwrap_or_default());
        *known = Some((now, time));
        time
    }
}
