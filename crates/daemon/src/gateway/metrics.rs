//! Counters and latency histograms, served as text.
//!
//! They are recorded with `cadence`, whose sink aggregates them in memory until they are read.

use super::node::Node;
use super::quota::metric_name;
use super::slot_metrics;
use crate::clock;
use bytes::Bytes;
use cadence::prelude::*;
use cadence::{MetricSink, StatsdClient};
use coordination::burn_rate::{History, WINDOWS};
use coordination::slots::Purpose;
use hdrhistogram::Histogram;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use transport::body::Aborted;
use transport::server::{Body, Handler};

/// Largest time that a histogram resolves; longer ones are clamped.
const MAX_HISTOGRAM_MS: u64 = 120_000;
const SIGNIFICANT_DIGITS: u8 = 2;
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];
/// Limit on distinct metric names; further ones are dropped.
const MAX_NAMES: usize = 512;

#[derive(Default)]
struct Totals {
    counters: BTreeMap<String, u64>,
    times: BTreeMap<String, Histogram<u64>>,
}

#[derive(Clone, Default)]
struct Sink(Arc<Mutex<Totals>>);

impl MetricSink for Sink {
    fn emit(&self, metric: &str) -> std::io::Result<usize> {
        let Some((name, rest)) = metric.split_once(':') else {
            return Ok(0);
        };
        let Some((value, kind)) = rest.split_once('|') else {
            return Ok(0);
        };
        let value: u64 = value.parse().unwrap_or(0);
        let mut totals = crate::fleet::lock(&self.0);
        if totals.counters.len() + totals.times.len() >= MAX_NAMES {
            return Ok(0);
        }
        match kind {
            "ms" => {
                if let Ok(empty) =
                    Histogram::new_with_bounds(1, MAX_HISTOGRAM_MS, SIGNIFICANT_DIGITS)
                {
                    let times = totals.times.entry(name.to_owned()).or_insert(empty);
                    times.saturating_record(value.max(1));
                }
            }
            _ => *totals.counters.entry(name.to_owned()).or_default() += value,
        }
        Ok(metric.len())
    }
}

/// Share of requests that must meet their objective; the rest is the error budget of a route, by
/// which its burn rate is computed.
const GOOD_RATIO: f64 = 0.99;
/// Workspaces whose share is reported, for each service and class: those with the largest.
const MAX_SHARES: usize = 16;
/// Limit on routes with a burn rate.
const MAX_ROUTES: usize = 256;

/// The counters and histograms of one instance.
pub struct Metrics {
    client: StatsdClient,
    sink: Sink,
    burn_rates: RefCell<BTreeMap<String, History>>,
}

impl Default for Metrics {
    fn default() -> Metrics {
        let sink = Sink::default();
        let client = StatsdClient::from_sink("gatespool", sink.clone());
        Metrics { client, sink, burn_rates: RefCell::default() }
    }
}

impl Metrics {
    /// Increments a counter.
    pub fn count(&self, name: &str) {
        self.count_many(name, 1);
    }

    /// Increments a counter by `count`.
    pub fn count_many(&self, name: &str, count: u64) {
        // The sink aggregates in memory and never fails.
        let _recorded = self.client.count(name, count);
    }

    /// Records a time in a histogram, in milliseconds.
    pub fn time(&self, name: &str, time: Duration) {
        let _recorded = self.client.time(name, time);
    }

    /// Records whether a request of a route met its objective, for the burn rate.
    pub fn record_request(&self, route: &str, is_within_objective: bool, now: Instant) {
        let mut burn_rates = self.burn_rates.borrow_mut();
        if burn_rates.len() >= MAX_ROUTES && !burn_rates.contains_key(route) {
            burn_rates.clear(); // Forgets removed routes; those in use return at once.
        }
        burn_rates.entry(route.to_owned()).or_default().record(is_within_objective, now);
    }

    fn burn_rate_text(&self, now: Instant) -> String {
        let mut text = String::new();
        for (route, series) in self.burn_rates.borrow().iter() {
            for window in WINDOWS {
                let count = series.count_within(window, now);
                let labels = format!("{{route=\"{route}\",window_s=\"{}\"}}", window.as_secs());
                // Writing to a string can't fail.
                let _written = writeln!(text, "gatespool_good{labels} {}", count.good);
                let _written = writeln!(text, "gatespool_all{labels} {}", count.all);
                let rate = count.burn(GOOD_RATIO);
                let _written = writeln!(text, "gatespool_burn{labels} {rate:.3}");
            }
        }
        text
    }

    fn totals_text(&self) -> String {
        let totals = crate::fleet::lock(&self.sink.0);
        let mut text = String::new();
        for (name, value) in &totals.counters {
            write_line(&mut text, name, "", *value);
        }
        for (name, times) in &totals.times {
            write_line(&mut text, name, "_count", times.len());
            for quantile in QUANTILES {
                let suffix = format!("_ms{{quantile=\"{quantile}\"}}");
                write_line(&mut text, name, &suffix, times.value_at_quantile(quantile));
            }
        }
        text
    }
}

fn write_line(text: &mut String, name: &str, suffix: &str, value: u64) {
    let name = name.replace('.', "_");
    // Writing to a string can't fail.
    let _written = writeln!(text, "{name}{suffix} {value}");
}

/// Serves readiness and metrics.
pub struct StatusHandler {
    /// The instance whose status is served.
    pub node: Rc<Node>,
}

impl Handler for StatusHandler {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Aborted> {
        let node = &self.node;
        let (status, text) = match request.uri().path() {
            platform::READINESS_PATH if node.config().is_some() && !node.is_stopping() => {
                (StatusCode::OK, String::from("ready\n"))
            }
            platform::READINESS_PATH => {
                (StatusCode::SERVICE_UNAVAILABLE, String::from("not ready\n"))
            }
            "/metrics" => (StatusCode::OK, metrics(node)),
            _ => (StatusCode::NOT_FOUND, String::new()),
        };
        let mut response = Response::new(Body::Full(Bytes::from(text)));
        *response.status_mut() = status;
        Ok(response)
    }

    fn max_head_bytes(&self) -> usize {
        16 << 10
    }
}

fn metrics(node: &Node) -> String {
    let mut text = node.metrics.totals_text();
    text.push_str(&node.metrics.burn_rate_text(clock::now()));
    let counts = node.store.without_breaker().counts();
    let [online, batch] = node.leases.in_use();
    // A platform that never responded is reported with the largest value of a gauge.
    let idle_time = node.store.idle_time(clock::now()).map_or(u64::MAX, |t| t.as_millis() as u64);
    let gauges = [
        ("gatespool.platform.reads", counts.reads.get()),
        ("gatespool.platform.writes", counts.writes.get()),
        ("gatespool.platform.silence_ms", idle_time),
        ("gatespool.config.version", node.state_digest().config),
        ("gatespool.config.lag_ms", node.outbox.configs.lag(clock::now()).as_millis() as u64),
        ("gatespool.targets.revision", node.registry.borrow().revision()),
        ("gatespool.targets.connections", node.targets.connections_opened()),
        ("gatespool.members", node.others().len() as u64 + 1),
        ("gatespool.leases.held", node.leases.held_count() as u64),
        ("gatespool.account.online", u64::from(online)),
        ("gatespool.account.batch", u64::from(batch)),
        ("gatespool.jobs.held", node.jobs.held_count() as u64),
        ("gatespool.held_requests", node.quarantine.table.borrow().quarantined() as u64),
        ("gatespool.held_parts", node.quarantine.table.borrow().quarantined_parts() as u64),
        ("gatespool.callers.connections", node.callers.count() as u64),
        ("gatespool.callers.closed_idle", node.callers.closed_idle()),
        ("gatespool.callers.closed_unread", node.callers.closed_unread()),
        ("gatespool.bodies.bytes", node.bodies.held() as u64),
        ("gatespool.running", node.in_flight.get() as u64),
    ];
    for (cause, calls) in node.store.calls() {
        write_line(
            &mut text,
            "gatespool.platform.calls",
            &format!("{{cause=\"{}\"}}", cause.name()),
            calls,
        );
    }
    for (name, value) in gauges {
        write_line(&mut text, name, "", value);
    }
    text.push_str(&slot_metrics::text(node));
    text.push_str(&share_text(node));
    text
}

/// Parts of the work that the slot allocators here granted in the last seconds, by workspace.
fn share_text(node: &Node) -> String {
    let mut text = String::new();
    for share in node.leases.allocator.borrow().workspace_shares(MAX_SHARES, clock::now()) {
        let class = match share.purpose {
            Purpose::Online => "online",
            Purpose::Batch => "batch",
        };
        let (service, workspace) = (&share.service, metric_name(&share.workspace));
        let labels =
            format!("{{service=\"{service}\",class=\"{class}\",workspace=\"{workspace}\"}}");
        // Writing to a string can't fail.
        let _written = writeln!(text, "gatespool_share{labels} {:.3}", share.part);
    }
    text
}
