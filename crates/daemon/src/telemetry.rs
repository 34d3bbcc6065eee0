//! Metrics over UDP, and the counts behind the burn rate report.

use crate::fleet::lock;
use crate::shared::Shared;
use cadence::prelude::*;
use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use coordination::burn_rate::{Counts, History, WINDOWS};
use hdrhistogram::Histogram;
use protocol::config::Document;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

const PREFIX: &str = "gatespool";
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time to the first token in a histogram; longer ones count as this.
const MAX_FIRST_TOKEN_MS: u64 = 600_000;
/// Significant digits of a histogram; two keep it at a few kilobytes.
const SIGNIFICANT_DIGITS: u8 = 2;

/// One line of the burn rate report: a service level.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Burn {
    /// Name of the service.
    pub service: String,
    /// Class of its requests.
    pub class: String,
    /// Maximum time to the first token for a good request, in milliseconds.
    pub first_token_ms: u64,
    /// Ratio of requests that must be good.
    pub share: f64,
    /// Time to the first token since the start, in milliseconds: p50, p95, p99.
    pub first_ms: [f64; 3],
    /// Counts in each window, shortest first.
    pub windows: Vec<Window>,
}

/// Counts in one window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// Length of the window, in seconds.
    pub seconds: u64,
    /// Numbers of good and of all requests.
    #[serde(flatten)]
    pub count: Counts,
    /// Burn rate of the error budget.
    pub burn: f64,
}

/// Metrics and service-level counts of one daemon.
pub struct Telemetry {
    client: StatsdClient,
    levels: Mutex<HashMap<(String, String), Level>>,
}

/// Counts of one service and class.
struct Level {
    history: History,
    first_token: Histogram<u64>,
}

impl Default for Level {
    fn default() -> Level {
        let first = Histogram::new_with_max(MAX_FIRST_TOKEN_MS, SIGNIFICANT_DIGITS);
        // Both are constants within the library's bounds.
        Level {
            history: History::default(),
            first_token: first.expect("the histogram's bounds are valid"),
        }
    }
}

impl Level {
    fn record(&mut self, first: Option<Duration>, limit: Duration, now: Instant) {
        self.history.record(first.is_some_and(|first| first <= limit), now);
        if let Some(first) = first {
            self.first_token.saturating_record(first.as_millis() as u64);
        }
    }

    fn first_ms(&self) -> [f64; 3] {
        [0.5, 0.95, 0.99].map(|q| self.first_token.value_at_quantile(q) as f64)
    }
}

impl Telemetry {
    /// Creates a client that sends metrics to `address`; `None` drops them.
    ///
    /// # Errors
    ///
    /// When no UDP socket can be opened.
    pub fn new(address: Option<SocketAddr>) -> anyhow::Result<Telemetry> {
        let client = match address {
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
            Some(address) => {
                let socket = UdpSocket::bind(SocketAddr::from(([0, 0, 0, 0], 0)))?;
                socket.set_nonblocking(true)?;
                let sink = UdpMetricSink::from(address, socket)?;
                StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink))
            }
        };
        Ok(Telemetry { client, levels: Mutex::default() })
    }

    /// Increments a counter. A metric that can't be sent is dropped.
    pub fn count(&self, name: &str) {
        drop(self.client.incr(name));
    }

    /// Records a duration.
    pub fn time(&self, name: &str, time: Duration) {
        drop(self.client.time(name, time));
    }

    /// Counts a request against its service level; `first` is the time to the first token,
    /// `None` when the request failed.
    pub fn on_request(
        &self,
        document: &Document,
        service: &str,
        class: &str,
        first: Option<Duration>,
        now: Instant,
    ) {
        let Some(found) = document.services.get(service) else {
            return;
        };
        for level in found.levels.iter().filter(|level| level.class == class) {
            let limit = Duration::from_millis(level.first_token_ms);
            let key = (service.to_owned(), class.to_owned());
            lock(&self.levels).entry(key).or_default().record(first, limit, now);
        }
    }

    /// The burn rate report of this instance.
    pub fn burn(&self, document: &Document, now: Instant) -> Vec<Burn> {
        let levels = lock(&self.levels);
        let mut lines = Vec::new();
        for service in document.services.values() {
            for level in &service.levels {
                let key = (service.name.clone(), level.class.clone());
                let window = |length: &Duration| {
                    let level_counts = levels.get(&key);
                    let count = level_counts
                        .map_or(Counts::default(), |l| l.history.count_within(*length, now));
                    Window { seconds: length.as_secs(), count, burn: count.burn(level.share) }
                };
                lines.push(Burn {
                    service: service.name.clone(),
                    class: level.class.clone(),
                    first_token_ms: level.first_token_ms,
                    share: level.share,
                    first_ms: levels.get(&key).map_or([0.0; 3], Level::first_ms),
                    windows: WINDOWS.iter().map(window).collect(),
                });
            }
        }
        lines
    }

    fn gauge(&self, name: &str, value: u64) {
        drop(self.client.gauge(name, value));
    }
}

/// Sends gauges until `stop`.
pub async fn run(shared: Arc<Shared>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(GAUGE_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        let telemetry = &shared.telemetry;
        let counts = shared.store.counts();
        telemetry.gauge("platform.calls", counts.calls.load(Ordering::Relaxed));
        telemetry.gauge("platform.failed", counts.failed.load(Ordering::Relaxed));
        telemetry.gauge("peers.sent", shared.traffic.sent.load(Ordering::Relaxed));
        telemetry.gauge("peers.received", shared.traffic.received.load(Ordering::Relaxed));
        telemetry.gauge("front.running", shared.in_flight.load(Ordering::Relaxed) as u64);
        telemetry.gauge("late.waiting", shared.retry_queue.len() as u64);
        telemetry.gauge("config.generation", lock(&shared.config_log).generation());
    }
}
