//! Sums the use of slots by workspace over the metrics of several instances.

use super::WorkspaceReport;
use crate::metrics::{Sample, Scrape};
use std::cmp::Reverse;
use std::collections::BTreeSet;

const REJECTED_PREFIX: &str = "gatespool_quota_rejected_";
/// Rows of work that isn't attributed to a listed workspace, and the prefixes of their metrics.
const SUMS: [(&str, &str); 2] =
    [("(others)", "other_workspaces"), ("(no known workspace)", "unknown_workspace")];

/// Slots in use and waiting requests.
#[derive(Clone, Copy, Default)]
struct Usage {
    slots_in_use: u64,
    waiting: u64,
}

/// Metrics of one instance.
struct Instance<'a>(&'a [Sample]);

impl Instance<'_> {
    fn value(&self, name: &str, workspace: &str) -> Option<u64> {
        let is_match =
            |sample: &&Sample| sample.name == name && sample.label("workspace") == workspace;
        self.0.iter().find(is_match).map(|sample| sample.value as u64)
    }

    fn usage(&self, prefix: &str, workspace: &str) -> Option<Usage> {
        let value = |suffix: &str| self.value(&format!("gatespool_{prefix}_{suffix}"), workspace);
        Some(Usage { slots_in_use: value("slots_in_use")?, waiting: value("waiting")? })
    }

    /// Slots in use at an allocator of an earlier build, which doesn't tell workspaces apart.
    fn unattributed_slots(&self) -> u64 {
        if self.usage("unknown_workspace", "").is_some() {
            return 0;
        }
        let counts = ["gatespool_account_online", "gatespool_account_batch"];
        counts.iter().filter_map(|name| self.value(name, "")).sum()
    }

    /// Whether slots or waiting requests may be those of a workspace that isn't listed.
    fn has_unlisted_work(&self) -> bool {
        let others = self.usage("other_workspaces", "").unwrap_or_default();
        others.slots_in_use + others.waiting + self.unattributed_slots() > 0
    }
}

/// Rows of the listed workspaces, most slots in use first, then of the rest.
pub(super) fn by_workspace(scrape: &Scrape) -> Vec<WorkspaceReport> {
    let instances: Vec<Instance<'_>> =
        scrape.instances.iter().map(|samples| Instance(samples)).collect();
    let is_partial = !scrape.unreachable.is_empty();
    let (listed, rejected) = names(scrape);
    let is_unlisted = |name: &&&str| !listed.iter().any(|known| metric_name(known) == ***name);
    let unlisted = rejected.iter().filter(is_unlisted);
    let mut rows: Vec<WorkspaceReport> = listed
        .iter()
        .chain(unlisted)
        .map(|name| WorkspaceReport {
            rejected: rejections(&instances, &listed, name),
            ..row(&instances, is_partial, name, "workspace", name)
        })
        .collect();
    rows.sort_by_key(|row| Reverse((row.slots_in_use, row.waiting, row.rejected)));
    rows.extend(SUMS.map(|(title, prefix)| row(&instances, is_partial, title, prefix, "")));
    add_unattributed(&mut rows, &instances);
    if !is_partial {
        add_shares(&mut rows);
    }
    rows
}

/// Names of workspaces with slots or waiting requests, and those in the names of counters.
fn names(scrape: &Scrape) -> (BTreeSet<&str>, BTreeSet<&str>) {
    let samples = || scrape.instances.iter().flatten();
    let listed = samples().filter(|sample| sample.name == "gatespool_workspace_slots_in_use");
    let rejected = samples().filter_map(|sample| sample.name.strip_prefix(REJECTED_PREFIX));
    (listed.map(|sample| sample.label("workspace")).collect(), rejected.collect())
}

fn row(
    instances: &[Instance<'_>],
    is_partial: bool,
    title: &str,
    prefix: &str,
    workspace: &str,
) -> WorkspaceReport {
    let known: Vec<Usage> =
        instances.iter().filter_map(|instance| instance.usage(prefix, workspace)).collect();
    let is_elsewhere = |instance: &Instance<'_>| {
        instance.usage(prefix, workspace).is_none() && instance.has_unlisted_work()
    };
    let is_minimum = is_partial || instances.iter().any(is_elsewhere);
    let runs_allocator =
        |instance: &Instance<'_>| instance.usage("unknown_workspace", "").is_some();
    let is_known = !known.is_empty() || !is_minimum && instances.iter().any(runs_allocator);
    let sum = |of: fn(&Usage) -> u64| is_known.then(|| known.iter().map(of).sum());
    WorkspaceReport {
        workspace: title.to_owned(),
        slots_in_use: sum(|usage| usage.slots_in_use),
        waiting: sum(|usage| usage.waiting),
        is_minimum,
        ..WorkspaceReport::default()
    }
}

/// Rejections over the quota; `None` if several workspaces share the name of the counter.
fn rejections(instances: &[Instance<'_>], listed: &BTreeSet<&str>, name: &str) -> Option<u64> {
    let counter = metric_name(name);
    if listed.iter().filter(|known| metric_name(known) == counter).count() > 1 {
        return None;
    }
    let counter = format!("{REJECTED_PREFIX}{counter}");
    Some(instances.iter().filter_map(|instance| instance.value(&counter, "")).sum())
}

/// The name of a workspace in the name of its counter, as gateways form it.
fn metric_name(workspace: &str) -> String {
    let is_kept = |c: char| c.is_ascii_alphanumeric() || c == '-';
    workspace.chars().map(|c| if is_kept(c) { c } else { '_' }).collect()
}

fn add_unattributed(rows: &mut [WorkspaceReport], instances: &[Instance<'_>]) {
    let slots: u64 = instances.iter().map(Instance::unattributed_slots).sum();
    if let Some(row) = rows.last_mut().filter(|_| slots > 0) {
        row.slots_in_use = Some(row.slots_in_use.unwrap_or(0) + slots);
    }
}

fn add_shares(rows: &mut [WorkspaceReport]) {
    let total: u64 = rows.iter().filter_map(|row| row.slots_in_use).sum();
    for row in rows.iter_mut().filter(|_| total > 0) {
        row.share = row.slots_in_use.map(|slots| slots as f64 / total as f64);
    }
}
