//! How long an item of a batch job is going to run, learnt from those that were
//! done, and so whether it can still be done by the time at which it is due.
//!
//! ```
//! use coordination::span::Span;
//! use std::time::Duration;
//!
//! let mut span = Span::default();
//! assert_eq!(span.left(0), Duration::ZERO, "nothing was learnt yet");
//! span.on_done(200, Duration::from_millis(25));
//! assert_eq!(span.left(0), Duration::from_secs(5));
//! assert_eq!(span.left(150), Duration::from_millis(1_250));
//! ```

use std::time::Duration;

/// Weight of the newest item in the running means: some twenty items count.
const NEWEST: f64 = 0.05;
/// Share of the mean that an item is taken to have left however much it has made:
/// sizes differ by some quarter around their mean.
const LEAST_LEFT: f64 = 0.1;

/// Running means over the items that were done.
#[derive(Clone, Copy, Debug, Default)]
pub struct Span {
    /// Events of a whole item; 0 while unknown.
    events: f64,
    /// Seconds between two events.
    pace: f64,
}

impl Span {
    /// An item was done: its events in all its runs, and the time between two.
    pub fn on_done(&mut self, events: usize, pace: Duration) {
        let (events, pace) = (events as f64, pace.as_secs_f64());
        if self.events == 0.0 {
            *self = Span { events, pace };
            return;
        }
        self.events += (events - self.events) * NEWEST;
        self.pace += (pace - self.pace) * NEWEST;
    }

    /// Time that an item needs which has made some events already.
    pub fn left(&self, made: usize) -> Duration {
        let left = (self.events - made as f64).max(self.events * LEAST_LEFT);
        Duration::from_secs_f64(left * self.pace)
    }
}
