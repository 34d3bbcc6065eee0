//! Schedules the items of held jobs on slots that online requests leave free.

mod run;

use super::held_job::HeldJob;
use super::job_table::route_of;
use super::leases::{self, Lease};
use super::node::{Node, slot_policy, unix_millis};
use super::{residency, workload};
use coordination::hash;
use coordination::slots::{BatchPriority, BatchWork};
use protocol::ServiceId;
use state::progress::{JobState, Millis, PartialOutput};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;

/// Interval between checks for waiting items when nothing wakes the scheduler.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for slots at one allocator. Every holder with items waits at every
/// allocator, so a shorter timeout multiplies the requests that an allocator receives: with 250
/// instances and five allocators, 0.8 s makes 310 a second for each.
const SLOT_TIMEOUT: Duration = Duration::from_secs(2);
const SLOT_RETRY_DELAY: Duration = Duration::from_millis(150);
const MAX_SLOTS_PER_REQUEST: usize = 4;

/// Schedules items until `stop`.
pub async fn run(node: Rc<Node>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = node.jobs.work.notified() => {}
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        if node.is_stopping() {
            continue;
        }
        for service in services(&node) {
            for data_centre in leases::data_centres(&node, &service) {
                let key = (data_centre, service.clone());
                if node.jobs.acquiring.borrow_mut().insert(key.clone()) {
                    spawn_local(acquire_slots(node.clone(), key.0, key.1, stop.clone()));
                }
            }
        }
    }
}

/// Services for which items wait.
fn services(node: &Node) -> HashSet<ServiceId> {
    let held_jobs = node.jobs.held.borrow();
    let held = held_jobs.values().filter(|held| held.state.borrow().runnable() > 0);
    held.filter_map(|held| service_of(node, &held.state.borrow())).collect()
}

fn service_of(node: &Node, state: &JobState) -> Option<ServiceId> {
    let job = state.job();
    let job_hash = hash::bytes(job.id.as_bytes());
    route_of(node, job)?.service(job_hash).cloned()
}

/// Latest start of a job's next item that still meets the due time: with slack for slow
/// runs, and without.
fn latest_starts(node: &Node, state: &JobState) -> (Millis, Millis) {
    let event_count = state.next_event_count().unwrap_or_default();
    let run_time = node.jobs.run_time.borrow();
    let before_due = |time: Duration| state.job().due.saturating_sub(time.as_millis() as Millis);
    let slack = node.settings.policy.slack_factor;
    (
        before_due(run_time.upper_bound(event_count, slack)),
        before_due(run_time.remaining(event_count)),
    )
}

/// Scheduling order of jobs, lowest first. Allocators order requests by the same function, so
/// slots go to the job for which they were granted.
fn priority(node: &Node, state: &JobState, now: Millis) -> BatchPriority<Millis> {
    let (safe_start, latest_start) = latest_starts(node, state);
    let is_started = state.next_event_count().unwrap_or_default() > 0;
    let work = BatchWork { is_started, due: state.job().due, latest_start, safe_start };
    slot_policy(&node.settings.policy).batch_priority(&work, now)
}

/// Held jobs with items waiting for the service that may run in a data centre, most urgent first.
fn waiting(node: &Node, service: &str, data_centre: &str) -> Vec<Rc<HeldJob>> {
    let now = unix_millis();
    let held_jobs = node.jobs.held.borrow();
    let fits = |held: &&Rc<HeldJob>| {
        let state = held.state.borrow();
        state.runnable() > 0
            && service_of(node, &state).as_deref() == Some(service)
            && residency::allows(node, &residency::of_job(node, state.job()), data_centre)
    };
    let mut held: Vec<Rc<HeldJob>> = held_jobs.values().filter(fits).cloned().collect();
    held.sort_by_cached_key(|held| priority(node, &held.state.borrow(), now));
    held
}

/// Number of waiting items in the same class as the first job's, regardless of due times.
/// Only these may share one request for slots.
fn items_of_first_class(node: &Node, waiting: &[Rc<HeldJob>]) -> usize {
    let now = unix_millis();
    let class = |held: &Rc<HeldJob>| {
        let (feasibility, is_unstarted, _) = priority(node, &held.state.borrow(), now);
        (feasibility, is_unstarted)
    };
    let first = waiting.first().map(class);
    let of_class = waiting.iter().filter(|held| Some(class(held)) == first);
    let is_started = node.settings.policy.started_first && matches!(first, Some((_, false)));
    let items = |held: &Rc<HeldJob>| {
        let state = held.state.borrow();
        if is_started { state.started() } else { state.runnable() }
    };
    of_class.map(items).sum()
}

/// Request for slots on behalf of a job's next item.
fn slot_query<'a>(
    node: &Node,
    data_centre: &'a str,
    service: &'a str,
    held: &HeldJob,
    max_slots: usize,
) -> leases::BatchQuery<'a> {
    let now = unix_millis();
    let state = held.state.borrow();
    let event_count = state.next_event_count().unwrap_or_default();
    let until = |at: Millis| Duration::from_millis(at.saturating_sub(now));
    let (safe_start, latest_start) = latest_starts(node, &state);
    let config = node.config();
    let workspaces = config.as_ref().and_then(|config| config.table.workspaces.as_ref());
    let workspace = state.job().workspace.as_deref().and_then(|name| workspaces?.get(name));
    let of_item = |item| workload::of_item(item, workspace.map(AsRef::as_ref));
    let workload = state.next_item().map(of_item).unwrap_or_default();
    leases::BatchQuery {
        data_centre,
        service,
        due: until(state.job().due),
        latest_start: until(latest_start),
        safe_start: until(safe_start),
        remaining: node.jobs.run_time.borrow().remaining(event_count),
        is_started: event_count > 0,
        limit: max_slots,
        wait: SLOT_TIMEOUT,
        workload,
    }
}

/// Acquires slots of one data centre for one service while items wait.
async fn acquire_slots(
    node: Rc<Node>,
    data_centre: String,
    service: ServiceId,
    stop: CancellationToken,
) {
    while !stop.is_cancelled() && !node.is_stopping() {
        let waiting = waiting(&node, &service, &data_centre);
        let Some(first) = waiting.first() else {
            break;
        };
        let max_slots = items_of_first_class(&node, &waiting).clamp(1, MAX_SLOTS_PER_REQUEST);
        let slot_query = slot_query(&node, &data_centre, &service, first, max_slots);
        drop(waiting);
        match leases::acquire_batch(&node, slot_query).await {
            Some(leases) => {
                leases.into_iter().for_each(|lease| run_next(&node, &service, &data_centre, lease))
            }
            None => tokio::time::sleep(SLOT_RETRY_DELAY).await,
        }
    }
    node.jobs.acquiring.borrow_mut().remove(&(data_centre, service));
}

/// Runs the most urgent item on a slot. The slot is released if no item waits.
fn run_next(node: &Rc<Node>, service: &str, data_centre: &str, lease: Lease) {
    if node.is_stopping() {
        return;
    }
    for held in waiting(node, service, data_centre) {
        let can_continue =
            |partial: &PartialOutput| run::can_continue(node, service, &lease, partial);
        let item = held.state.borrow_mut().start_next_where(can_continue);
        if let Some(item) = item {
            spawn_local(run::run_item(node.clone(), held, item, service.to_owned(), lease));
            return;
        }
    }
}
