//! Scans all jobs on the platform for jobs without a holder, and deletes expired ones.
//!
//! Runs after a start and after the loss of a member, since nobody else may know of the
//! jobs that a lost instance accepted last. A few instances share the range of jobs.
//! Findings are reported page by page, because a page takes long on a slow link.

use super::broadcast;
use super::call_reason::CallReason;
use super::job_store::{self, JobSummary};
use super::job_table::{self, HeldJob};
use super::message::{JobStatus, Update};
use super::node::{Node, unix_millis};
use super::takeover::{self, MEMBERSHIP_WARM_UP};
use crate::clock;
use coordination::membership::State;
use coordination::range_scan::{Range, assigned_range};
use platform::job;
use platform::store::Object;
use state::progress::Handoff;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;

/// Interval between checks whether a scan is due.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The first scan waits until the members haven't changed for this long, so that each
/// instance knows its range...
const MEMBERSHIP_STABLE_PERIOD: Duration = Duration::from_millis(250);
/// ...but no longer than this.
const MAX_FIRST_SCAN_DELAY: Duration = Duration::from_millis(1_500);
/// Delay after a scan that failed or ran before all members were known.
const SCAN_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// Delay after the loss of a member, since others may be lost with it.
const SCAN_DELAY_AFTER_LOSS: Duration = Duration::from_millis(2_000);
/// Interval between scans when nothing has happened.
const SCAN_INTERVAL: Duration = Duration::from_secs(60);
/// One in this many instances scans. More of them cost more calls; fewer take longer, as
/// a page of 1 MB takes some 300 ms on the slowest links.
const INSTANCES_PER_SCANNER: usize = 8;

/// When the next scan is due.
struct Schedule {
    started_at: Instant,
    next: Option<Instant>,
    losses: u64,
    members: u64,
    stable_since: Instant,
}

impl Schedule {
    fn new(now: Instant) -> Schedule {
        Schedule { started_at: now, next: None, losses: 0, members: 0, stable_since: now }
    }

    /// Whether a scan is due, given the number of losses and the version of the membership.
    fn is_due(&mut self, losses: u64, members: u64, now: Instant) -> bool {
        if self.members != members {
            (self.members, self.stable_since) = (members, now);
        }
        if self.losses != losses {
            self.losses = losses;
            let after_loss = now + SCAN_DELAY_AFTER_LOSS;
            self.next = self.next.map(|next| next.min(after_loss));
        }
        let is_stable = members > 0 && now >= self.stable_since + MEMBERSHIP_STABLE_PERIOD;
        let first = || is_stable || now >= self.started_at + MAX_FIRST_SCAN_DELAY;
        self.next.map_or_else(first, |next| now >= next)
    }
}

/// Runs scans until `stop`.
pub async fn run(node: Rc<Node>, stop: CancellationToken) {
    let mut schedule = Schedule::new(clock::now());
    loop {
        tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        let now = clock::now();
        if node.is_stopping() || node.store.is_backing_off(now) || node.config().is_none() {
            continue;
        }
        let (losses, version) = {
            let members = node.members.borrow();
            (members.losses(), members.version())
        };
        if !schedule.is_due(losses, version, now) {
            continue;
        }
        let is_warmed_up = now >= schedule.started_at + MEMBERSHIP_WARM_UP;
        let is_done = match own_range(&node) {
            Some(range) => scan(&node, range, is_warmed_up).await,
            None => is_warmed_up,
        };
        schedule.next = Some(clock::now() + if is_done { SCAN_INTERVAL } else { SCAN_RETRY_DELAY });
        expire(&node);
    }
}

fn own_range(node: &Node) -> Option<Range> {
    let members = node.members.borrow();
    assigned_range(
        members.me().id,
        members.workers().map(|member| member.id),
        INSTANCES_PER_SCANNER,
    )
}

/// Scans a range of the jobs; `false` if it must be repeated.
async fn scan(node: &Rc<Node>, range: Range, is_warmed_up: bool) -> bool {
    let mut after = range.after.map(str::to_owned);
    let mut is_done = true;
    let (mut jobs, mut orphans) = (0, 0);
    loop {
        let page = match node.store.list(CallReason::Scan, job::KIND, after.as_deref()).await {
            Ok(page) => page,
            Err(error) => {
                slog::info!(node.log, "job list failed"; "fault" => %error);
                return false;
            }
        };
        let is_last = !page.has_more
            || !page.last_name.as_ref().is_some_and(|last| range.is_before_end(last));
        after.clone_from(&page.last_name);
        let mut page_orphans: Vec<JobStatus> = Vec::new();
        for object in page.objects.iter().filter(|object| range.is_before_end(&object.name)) {
            jobs += 1;
            match classify(node, object, is_warmed_up) {
                ScanResult::Orphan(status) => page_orphans.push(*status),
                ScanResult::Own => {
                    is_done &=
                        takeover::take_over(node, &object.name, Handoff::default()).await.is_some();
                }
                // If the hand-off fails, the job has no holder soon.
                ScanResult::Leaving => is_done = false,
                ScanResult::Nothing => {}
            }
        }
        orphans += page_orphans.len();
        report_orphans(node, page_orphans);
        if is_last {
            break;
        }
    }
    slog::info!(node.log, "job scan finished"; "jobs" => jobs, "without_holder" => orphans,
        "after" => range.after, "before" => range.before, "acquainted" => is_warmed_up);
    // Before the warm-up ends, unknown holders may still appear.
    is_done && is_warmed_up
}

/// What a scanned job needs.
enum ScanResult {
    Nothing,
    /// Held by this instance, which doesn't know it.
    Own,
    /// The holder is stopping.
    Leaving,
    /// The holder is gone.
    Orphan(Box<JobStatus>),
}

fn classify(node: &Node, object: &Object, is_warmed_up: bool) -> ScanResult {
    let Ok(JobSummary { holder, is_open, job, tokens }) = job_store::summary(object) else {
        slog::error!(node.log, "malformed job object"; "job" => &object.name,
            "revision" => object.revision);
        return ScanResult::Nothing;
    };
    if !is_open || node.jobs.held_job(&object.name).is_some() {
        return ScanResult::Nothing;
    }
    if holder.instance == node.id() {
        return ScanResult::Own;
    }
    if !takeover::is_gone(node, holder, is_warmed_up) {
        let members = node.members.borrow();
        let is_leaving = members.get(holder.instance).is_some_and(|m| m.state == State::Leaving);
        return if is_leaving { ScanResult::Leaving } else { ScanResult::Nothing };
    }
    ScanResult::Orphan(Box::new(JobStatus {
        job: object.name.clone(),
        holder,
        data_centre: String::new(),
        revision: object.revision,
        route: job_table::route_of(node, &job).map_or_else(String::new, |route| route.name),
        workspace: job.workspace.clone(),
        waiting_tokens: tokens,
        is_finished: false,
    }))
}

/// Reports orphaned jobs to all instances; each is taken over by the instance chosen for
/// it.
fn report_orphans(node: &Rc<Node>, orphans: Vec<JobStatus>) {
    if orphans.is_empty() {
        return;
    }
    orphans.iter().for_each(|status| node.jobs.on_status(status.clone()));
    broadcast::send(node, Update::Statuses(orphans));
}

/// Deletes finished jobs past their retention from memory and from the platform.
fn expire(node: &Rc<Node>) {
    let now = unix_millis();
    let retention = node.settings.retention.as_millis() as u64;
    let held_jobs: Vec<Rc<HeldJob>> = node.jobs.held.borrow().values().cloned().collect();
    for held in held_jobs {
        let (id, is_expired) = {
            let state = held.state.borrow();
            let is_old = state.job().accepted + retention < now;
            (state.job().id.clone(), is_old && state.is_finished())
        };
        if !is_expired {
            continue;
        }
        let is_own = held.state.borrow().holder().instance == node.id();
        node.jobs.held.borrow_mut().remove(&id);
        node.jobs.directory.borrow_mut().remove(&id);
        if is_own {
            let node = node.clone();
            spawn_local(async move {
                let overflow = held.overflow.borrow().clone();
                job_store::delete(&node, &id, held.revision.get(), &overflow).await;
            });
        }
    }
}
