//! Looks through all jobs on the platform for those without a holder, and drops
//! those that are past their retention.
//!
//! Needed after a start and after a loss: what a lost instance accepted last may
//! be known to nobody. A few instances share the list, and what a page shows is
//! told at once, since a page takes long on a slow link.

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

/// Time between looks whether a sweep is due.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// A sweep after a start waits until the members known have not changed for this
/// long, so that each knows its share...
const MEMBERSHIP_STABLE_PERIOD: Duration = Duration::from_millis(250);
/// ...but no longer than this.
const MAX_FIRST_SCAN_DELAY: Duration = Duration::from_millis(1_500);
/// Pause after a look that failed, or that came before all members were met.
const SCAN_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// Pause after a member was lost: others may be lost with it.
const SCAN_DELAY_AFTER_LOSS: Duration = Duration::from_millis(2_000);
/// Time between looks when nothing has happened.
const SCAN_INTERVAL: Duration = Duration::from_secs(60);
/// One in this many instances takes part: a page is a megabyte and takes some
/// 300 ms on the slowest links, while each reader costs a call more.
const INSTANCES_PER_SCANNER: usize = 8;

/// When the next sweep is due.
struct Schedule {
    began: Instant,
    next: Option<Instant>,
    losses: u64,
    members: u64,
    settled_since: Instant,
}

impl Schedule {
    fn new(now: Instant) -> Schedule {
        Schedule { began: now, next: None, losses: 0, members: 0, settled_since: now }
    }

    /// Whether a sweep is due, by how many members were lost and by the version
    /// of the members known.
    fn is_due(&mut self, losses: u64, members: u64, now: Instant) -> bool {
        if self.members != members {
            (self.members, self.settled_since) = (members, now);
        }
        if self.losses != losses {
            self.losses = losses;
            let after_loss = now + SCAN_DELAY_AFTER_LOSS;
            self.next = self.next.map(|next| next.min(after_loss));
        }
        let is_settled = members > 0 && now >= self.settled_since + MEMBERSHIP_STABLE_PERIOD;
        let first = || is_settled || now >= self.began + MAX_FIRST_SCAN_DELAY;
        self.next.map_or_else(first, |next| now >= next)
    }
}

/// Sweeps until `stop`.
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
        let is_warmed_up = now >= schedule.began + MEMBERSHIP_WARM_UP;
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

/// Looks through a range of the jobs; `false` when it has to be repeated.
async fn scan(node: &Rc<Node>, range: Range, is_warmed_up: bool) -> bool {
    let mut after = range.after.map(str::to_owned);
    let mut is_done = true;
    let (mut jobs, mut orphans) = (0, 0);
    loop {
        let page = match node.store.list(CallReason::Sweep, job::KIND, after.as_deref()).await {
            Ok(page) => page,
            Err(fault) => {
                slog::info!(node.log, "jobs not listed"; "fault" => %fault);
                return false;
            }
        };
        let is_last =
            !page.is_cut || !page.last.as_ref().is_some_and(|last| range.is_before_end(last));
        after.clone_from(&page.last);
        let mut page_orphans: Vec<JobStatus> = Vec::new();
        for object in page.objects.iter().filter(|object| range.is_before_end(&object.name)) {
            jobs += 1;
            match classify(node, object, is_warmed_up) {
                ScanResult::Orphan(status) => page_orphans.push(*status),
                ScanResult::Own => {
                    is_done &=
                        takeover::take_over(node, &object.name, Handoff::default()).await.is_some();
                }
                // Unless it is passed on, it has no holder in a moment.
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
    slog::info!(node.log, "jobs swept"; "jobs" => jobs, "without_holder" => orphans,
        "after" => range.after, "before" => range.before, "acquainted" => is_warmed_up);
    // Holders that are not known yet may still be found.
    is_done && is_warmed_up
}

/// What a job on the platform asks for.
enum ScanResult {
    Nothing,
    /// This instance holds it and doesn't know.
    Own,
    /// Its holder is stopping.
    Leaving,
    /// Its holder is gone.
    Orphan(Box<JobStatus>),
}

fn classify(node: &Node, object: &Object, is_warmed_up: bool) -> ScanResult {
    let Ok(JobSummary { holder, is_open, job, tokens }) = job_store::summary(object) else {
        slog::error!(node.log, "job not understood"; "job" => &object.name,
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
        waiting_tokens: tokens,
        is_finished: false,
    }))
}

/// Whoever each orphan falls to takes it over, and tries again until it is done.
fn report_orphans(node: &Rc<Node>, orphans: Vec<JobStatus>) {
    if orphans.is_empty() {
        return;
    }
    orphans.iter().for_each(|status| node.jobs.on_status(status.clone()));
    broadcast::send(node, Update::Statuses(orphans));
}

/// Drops what is past its retention, here and on the platform.
fn expire(node: &Rc<Node>) {
    let now = unix_millis();
    let retention = node.settings.retention.as_millis() as u64;
    let held_jobs: Vec<Rc<HeldJob>> = node.jobs.held.borrow().values().cloned().collect();
    for held in held_jobs {
        let (id, is_over) = {
            let state = held.state.borrow();
            let is_old = state.job().accepted + retention < now;
            (state.job().id.clone(), is_old && state.is_finished())
        };
        if !is_over {
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
