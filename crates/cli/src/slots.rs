//! Commands `workspaces` and `targets --metrics`: use of the slots by workspace, and by service
//! and speed class, from the metrics of several instances.

mod workspace_use;

use crate::exit::Exit;
use crate::metrics::{self, Addresses, Sample, Scrape};
use crate::print::Context;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Speed classes, fastest first.
const CLASS_ORDER: [&str; 4] = ["fast", "usual", "slow", "very_slow"];
const UNKNOWN: &str = "unknown";
/// Use of the slots by one workspace. `None` is unknown.
#[derive(Clone, Debug, Default, Serialize)]
pub struct WorkspaceReport {
    /// Name, or in parentheses what the row sums.
    pub workspace: String,
    /// Slots in use, batch included.
    pub slots_in_use: Option<u64>,
    /// Part of all slots in use; unknown if an instance didn't respond.
    pub share: Option<f64>,
    /// Queued requests; one that is queued in several data centres counts in each.
    pub waiting: Option<u64>,
    /// Requests rejected over the quota since the instances started; a lower bound if one didn't
    /// respond.
    pub rejected: Option<u64>,
    /// Whether slots, share and waiting requests are lower bounds, because an instance doesn't list
    /// this workspace but others, is of an earlier build or didn't respond.
    pub is_minimum: bool,
}

/// Targets of one service and speed class, over the instances that responded.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassReport {
    /// Name of the service.
    pub service: String,
    /// Speed class.
    pub class: String,
    /// Number of targets.
    pub targets: u64,
    /// Their slots in use.
    pub slots_in_use: u64,
    /// Mean time between events, in milliseconds; `None` is unknown.
    pub event_ms: Option<f64>,
}

#[derive(Serialize)]
struct Report<'a, T> {
    rows: &'a [T],
    unreachable: &'a [SocketAddr],
}

/// Prints the use of slots by workspace.
///
/// # Errors
///
/// No instance responds.
pub async fn workspaces(context: &Context, addresses: &Addresses) -> anyhow::Result<Exit> {
    let scrape = metrics::scrape(&context.client, addresses).await?;
    let rows = workspace_use::by_workspace(&scrape);
    let report = Report { rows: &rows, unreachable: &scrape.unreachable };
    let headers = ["WORKSPACE", "SLOTS IN USE", "SHARE", "WAITING", "REJECTED OVER QUOTA"];
    context.print(&report, &headers, || {
        let is_partial = !scrape.unreachable.is_empty();
        rows.iter().map(|row| workspace_row(row, is_partial)).collect()
    })?;
    Ok(Exit::Success)
}

/// Prints targets and their slots in use by service and speed class.
///
/// # Errors
///
/// No instance responds.
pub async fn targets(context: &Context, addresses: &Addresses) -> anyhow::Result<Exit> {
    let scrape = metrics::scrape(&context.client, addresses).await?;
    let rows = by_class(&scrape);
    let report = Report { rows: &rows, unreachable: &scrape.unreachable };
    let headers = ["SERVICE", "CLASS", "TARGETS", "SLOTS IN USE", "TIME PER EVENT"];
    context.print(&report, &headers, || rows.iter().map(class_row).collect())?;
    Ok(Exit::Success)
}

fn by_class(scrape: &Scrape) -> Vec<ClassReport> {
    let mut rows: BTreeMap<(&str, usize, &str), ClassReport> = BTreeMap::new();
    for samples in &scrape.instances {
        for targets in samples.iter().filter(|sample| sample.name == "gatespool_class_targets") {
            let (service, class) = (targets.label("service"), targets.label("class"));
            let order = CLASS_ORDER.iter().position(|known| *known == class);
            let key = (service, order.unwrap_or(CLASS_ORDER.len()), class);
            add_class(rows.entry(key).or_default(), targets, samples);
        }
    }
    rows.into_values().collect()
}

/// Adds the targets of one instance, whose other metrics of the class have the same labels.
fn add_class(row: &mut ClassReport, targets: &Sample, samples: &[Sample]) {
    let value = |name: &str| {
        let is_match = |sample: &&Sample| sample.name == name && sample.labels == targets.labels;
        samples.iter().find(is_match).map(|sample| sample.value)
    };
    let event_ms = value("gatespool_class_event_ms").zip(Some(targets.value));
    targets.label("service").clone_into(&mut row.service);
    targets.label("class").clone_into(&mut row.class);
    row.event_ms = weighted_mean(row.event_ms.zip(Some(row.targets as f64)), event_ms);
    row.targets += targets.value as u64;
    row.slots_in_use += value("gatespool_class_slots_in_use").unwrap_or(0.0) as u64;
}

/// Mean of two means with their numbers of targets; either may be unknown.
fn weighted_mean(a: Option<(f64, f64)>, b: Option<(f64, f64)>) -> Option<f64> {
    let known: Vec<(f64, f64)> =
        a.into_iter().chain(b).filter(|(_, weight)| *weight > 0.0).collect();
    let weight: f64 = known.iter().map(|(_, weight)| weight).sum();
    let sum: f64 = known.iter().map(|(value, weight)| value * weight).sum();
    (weight > 0.0).then(|| sum / weight)
}

fn workspace_row(row: &WorkspaceReport, is_partial: bool) -> Vec<String> {
    let prefix = |is_minimum: bool| if is_minimum { "at least " } else { "" };
    let bound = prefix(row.is_minimum);
    let count = |value: Option<u64>| cell(value, |value| format!("{bound}{value}"));
    vec![
        row.workspace.clone(),
        count(row.slots_in_use),
        cell(row.share, |share| format!("{bound}{:.1} %", share * 100.0)),
        count(row.waiting),
        cell(row.rejected, |value| format!("{}{value}", prefix(is_partial))),
    ]
}

fn class_row(row: &ClassReport) -> Vec<String> {
    vec![
        row.service.clone(),
        row.class.clone(),
        row.targets.to_string(),
        row.slots_in_use.to_string(),
        cell(row.event_ms, |value| format!("{value:.1} ms")),
    ]
}

fn cell<T>(value: Option<T>, format: impl Fn(T) -> String) -> String {
    value.map_or_else(|| UNKNOWN.to_owned(), format)
}
