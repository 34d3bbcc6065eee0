//! Runs the items of held jobs on slots that online leaves free.

mod run;

use super::job_table::{HeldJob, route_of};
use super::leases::{self, Lease};
use super::node::{Node, unix_millis};
use super::{job_writer, takeover};
use coordination::hash;
use coordination::slots::Feasibility;
use protocol::ServiceId;
use state::progress::{JobState, Millis};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;

/// Time between looks for items when nothing has happened.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait of one request for slots; the account answers when it has one. Each
/// holder with items waits at each account: at 250 instances and five accounts, 0.8 s
/// makes 310 wishes a second for each account, beside 300 online requests at a peak.
const SLOT_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a request for slots that failed.
const SLOT_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Most slots asked for at once.
const MAX_SLOTS_PER_REQUEST: usize = 4;
/// Pause before a stopping instance tries again to pass on jobs that nobody took.
const HANDOFF_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Hands items to slots until `stop`.
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

/// Services that items wait for.
fn services(node: &Node) -> HashSet<ServiceId> {
    let held_jobs = node.jobs.held.borrow();
    let held = held_jobs.values().filter(|held| held.state.borrow().runnable() > 0);
    held.filter_map(|held| service_of(node, &held.state.borrow())).collect()
}

fn service_of(node: &Node, state: &JobState) -> Option<ServiceId> {
    let job = state.job();
    let draw = hash::bytes(job.id.as_bytes());
    route_of(node, job)?.service(draw).cloned()
}

/// When the next item of a job must go on to be done by the time it is due: for sure,
/// and at all.
fn latest_starts(node: &Node, state: &JobState) -> (Millis, Millis) {
    let made = state.next_event_count().unwrap_or_default();
    let span = node.jobs.run_time.borrow();
    let before_due = |time: Duration| state.job().due.saturating_sub(time.as_millis() as Millis);
    let spare = node.settings.policy.slack_factor;
    (before_due(span.upper_bound(made, spare)), before_due(span.remaining(made)))
}

/// Place of a job among those whose items wait; the lowest goes first. The accounts
/// order wishes alike, so a holder's slots go to the job for which it got them.
type Priority = (Feasibility, bool, Millis);

/// What can't be in time any more comes last: in its turn it would make the others
/// late as well. What was begun goes before what wasn't.
fn priority(node: &Node, state: &JobState, now: Millis) -> Priority {
    let (sure, in_time) = latest_starts(node, state);
    let is_begun = state.next_event_count().unwrap_or_default() > 0;
    let is_fresh = node.settings.policy.started_first && !is_begun;
    (Feasibility::at(now, sure, in_time), is_fresh, state.job().due)
}

/// HeldJob jobs with items that wait for the service, the most urgent first.
fn waiting(node: &Node, service: &str) -> Vec<Rc<HeldJob>> {
    let now = unix_millis();
    let held_jobs = node.jobs.held.borrow();
    let fits = |held: &&Rc<HeldJob>| {
        let state = held.state.borrow();
        state.runnable() > 0 && service_of(node, &state).as_deref() == Some(service)
    };
    let mut held: Vec<Rc<HeldJob>> = held_jobs.values().filter(fits).cloned().collect();
    held.sort_by_cached_key(|held| priority(node, &held.state.borrow(), now));
    held
}

/// Items that wait whose priority is no later than that of the first job's, but for when
/// they are due: others must wait for a priority of their own.
fn items_of_first_class(node: &Node, waiting: &[Rc<HeldJob>]) -> usize {
    let now = unix_millis();
    let class = |held: &Rc<HeldJob>| {
        let (chance, is_fresh, _) = priority(node, &held.state.borrow(), now);
        (chance, is_fresh)
    };
    let first = waiting.first().map(class);
    let of_class = waiting.iter().filter(|held| Some(class(held)) == first);
    let is_begun = node.settings.policy.started_first && matches!(first, Some((_, false)));
    let items = |held: &Rc<HeldJob>| {
        let state = held.state.borrow();
        if is_begun { state.started() } else { state.runnable() }
    };
    of_class.map(items).sum()
}

/// What to ask of an account for the next item of a job.
fn slot_query<'a>(
    node: &Node,
    data_centre: &'a str,
    service: &'a str,
    held: &HeldJob,
    most: usize,
) -> leases::BatchQuery<'a> {
    let now = unix_millis();
    let state = held.state.borrow();
    let made = state.next_event_count().unwrap_or_default();
    let until = |at: Millis| Duration::from_millis(at.saturating_sub(now));
    let (sure, in_time) = latest_starts(node, &state);
    leases::BatchQuery {
        data_centre,
        service,
        due: until(state.job().due),
        latest_start: until(in_time),
        safe_start: until(sure),
        remaining: node.jobs.run_time.borrow().remaining(made),
        is_started: made > 0,
        limit: most,
        wait: SLOT_TIMEOUT,
    }
}

/// Gets slots of one data centre for one service as long as items wait.
async fn acquire_slots(
    node: Rc<Node>,
    data_centre: String,
    service: ServiceId,
    stop: CancellationToken,
) {
    while !stop.is_cancelled() && !node.is_stopping() {
        let waiting = waiting(&node, &service);
        let Some(first) = waiting.first() else {
            break;
        };
        let most = items_of_first_class(&node, &waiting).clamp(1, MAX_SLOTS_PER_REQUEST);
        let slot_query = slot_query(&node, &data_centre, &service, first, most);
        drop(waiting);
        match leases::acquire_batch(&node, slot_query).await {
            Some(leases) => leases.into_iter().for_each(|lease| run_next(&node, &service, lease)),
            None => tokio::time::sleep(SLOT_RETRY_DELAY).await,
        }
    }
    node.jobs.acquiring.borrow_mut().remove(&(data_centre, service));
}

/// Runs the most urgent item on a slot; without one, the slot goes back.
fn run_next(node: &Rc<Node>, service: &str, lease: Lease) {
    if node.is_stopping() {
        return;
    }
    for held in waiting(node, service) {
        let item = held.state.borrow_mut().start_next();
        if let Some(item) = item {
            spawn_local(run::run_item(node.clone(), held, item, lease));
            return;
        }
    }
}

/// Gives all jobs to other instances, with what their runs have made.
pub async fn hand_off_jobs(node: &Rc<Node>) {
    let held_jobs: Vec<Rc<HeldJob>> = node.jobs.held.borrow().values().cloned().collect();
    let open: Vec<Rc<HeldJob>> =
        held_jobs.into_iter().filter(|h| !h.state.borrow().is_finished()).collect();
    for held in &open {
        held.released.cancel();
    }
    // The runs put down what they have made.
    tokio::task::yield_now().await;
    tokio::time::sleep(job_writer::RUN_STOP_DELAY).await;
    let mut left = Vec::new();
    for held in open {
        let is_fresh = held.state.borrow().next_write().is_some();
        if is_fresh && !job_writer::write(node, &held).await {
            slog::warn!(node.log, "results not written before the stop";
                "job" => &held.state.borrow().job().id);
        }
        let state = held.state.borrow();
        let id = state.job().id.clone();
        node.jobs.held.borrow_mut().remove(&id);
        left.push((id, state.handoff()));
    }
    // While it is cut off there is nobody to pass a job to, and what it accepted
    // meanwhile is known to nobody else. The bound of the stop ends this.
    loop {
        let mut pending = Vec::new();
        for (id, learnt) in left {
            if !takeover::hand_off(node, &id, &learnt).await {
                pending.push((id, learnt));
            }
        }
        if pending.is_empty() {
            return;
        }
        left = pending;
        tokio::time::sleep(HANDOFF_RETRY_DELAY).await;
    }
}
