//! Jobs whose holder is gone, and jobs that are handed over.
//!
//! A takeover is a write on the condition that nobody else has written since,
//! so two instances that both try agree on one. What it costs when the holder
//! was only cut off is double work on its items, so a whole data centre that
//! falls silent at once is given more time than a single instance.

use super::call_reason::CallReason;
use super::job_store::{self, LoadError, StoredJob};
use super::job_table::{self, HeldJob};
use super::job_writer;
use super::message::{JobStatus, PeerRequest};
use super::node::Node;
use crate::clock;
use coordination::hash;
use coordination::membership::{Member, MemberTable, State};
use platform::job;
use platform::store::{Fault, Object};
use state::progress::{Handoff, Holder, JobId};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;

/// Time between looks for jobs without a holder.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// A holder must be gone for this long before its jobs are taken over: until
/// then it shows whether the rest of its data centre is out of sight, too.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1_200);
/// The same when nobody of its data centre is heard of: it may be cut off, and
/// cuts last some seconds.
const PARTITION_TAKEOVER_DELAY: Duration = Duration::from_secs(8);
/// How long after a takeover this instance looks whether it still stands: another
/// may have done the same a moment later.
const VERIFY_DELAY: Duration = Duration::from_millis(700);
/// A holder that no member list names counts as gone once this instance has
/// been up for so long.
pub(super) const MEMBERSHIP_WARM_UP: Duration = Duration::from_secs(3);
/// Tries to take a job over while others write to it.
const MAX_ATTEMPTS: u32 = 4;
/// Shortest pause before a job is tried again that couldn't be taken over.
const TAKEOVER_RETRY_DELAY: Duration = Duration::from_millis(250);
/// How long a holder is told what was learnt of its job: longer than the cuts of some
/// seconds that data centres are known to have.
const SEND_HANDOFF_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest wait for an instance that is to take a job over.
const HANDOFF_TIMEOUT: Duration = Duration::from_millis(300);

/// Looks for jobs without a holder until `stop`.
pub async fn run(node: Rc<Node>, stop: CancellationToken) {
    let began = clock::now();
    let mut absences: HashMap<JobId, Absence> = HashMap::new();
    loop {
        tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        let now = clock::now();
        if node.is_stopping() || node.store.is_backing_off(now) {
            continue;
        }
        let is_warmed_up = now >= began + MEMBERSHIP_WARM_UP;
        for id in due_jobs(&node, &mut absences, is_warmed_up, now) {
            take_over(&node, &id, Handoff::default()).await;
        }
    }
}

/// Whether this instance is the one to act on a key.
fn is_successor(node: &Node, key: &[u8]) -> bool {
    let members = node.members.borrow();
    hash::owner(key, members.workers().map(|member| member.id)) == Some(members.me().id)
}

/// Whether a holder is gone.
pub(super) fn is_gone(node: &Node, holder: Holder, is_warmed_up: bool) -> bool {
    let members = node.members.borrow();
    if holder.instance == members.me().id {
        return false;
    }
    if members.get(holder.instance).is_some() {
        return false;
    }
    is_replaced(&members, holder) || is_warmed_up || members.is_dead(holder.instance)
}

/// Whether a holder's address answers under another id: it was started anew.
fn is_replaced(members: &MemberTable, holder: Holder) -> bool {
    let is_other = |member: &Member| member.peer == holder.address && member.id != holder.instance;
    members.workers().any(is_other)
}

/// A job whose holder is gone.
#[derive(Clone, Copy, Debug)]
struct Absence {
    since: Instant,
    /// Whether the holder's whole data centre was out of sight at some time
    /// since: when it comes back, so will the holder in a moment.
    was_unreachable: bool,
}

/// Jobs that fall to this instance because their holder is gone.
fn due_jobs(
    node: &Node,
    absences: &mut HashMap<JobId, Absence>,
    is_warmed_up: bool,
    now: Instant,
) -> Vec<JobId> {
    let directory = node.jobs.directory.borrow();
    let held_jobs = node.jobs.held.borrow();
    let orphaned = directory.values().filter(|status| {
        !status.is_finished
            && !held_jobs.contains_key(&status.job)
            && is_gone(node, status.holder, is_warmed_up)
    });
    let orphaned: Vec<&JobStatus> = orphaned.collect();
    absences.retain(|id, _| orphaned.iter().any(|status| status.job == *id));
    let mut due = Vec::new();
    for status in orphaned {
        let first = Absence { since: now, was_unreachable: false };
        let absence = absences.entry(status.job.clone()).or_insert(first);
        absence.was_unreachable |= is_unreachable(node, &status.data_centre);
        let patience = match absence.was_unreachable {
            _ if is_replaced(&node.members.borrow(), status.holder) => Duration::ZERO,
            true => PARTITION_TAKEOVER_DELAY,
            false => TAKEOVER_DELAY,
        };
        if now >= absence.since + patience && is_successor(node, status.job.as_bytes()) {
            due.push(status.job.clone());
        }
    }
    due
}

/// Whether nobody of a data centre is in sight; one that isn't known isn't dark.
fn is_unreachable(node: &Node, data_centre: &str) -> bool {
    if data_centre.is_empty() {
        return false;
    }
    let members = node.members.borrow();
    let is_seen =
        |member: &Member| member.data_centre == data_centre && member.state == State::Alive;
    !members.workers().any(is_seen)
}

/// Has another instance take a job over; this one, if no other does and it isn't
/// stopping. `false` when nobody did.
pub async fn hand_off(node: &Rc<Node>, id: &str, learnt: &Handoff) -> bool {
    let mut ranked: Vec<Member> = node.members.borrow().workers().cloned().collect();
    ranked.sort_by_key(|member| std::cmp::Reverse(hash::weight(id.as_bytes(), member.id)));
    for member in ranked {
        if member.id == node.id() {
            if node.is_stopping() {
                continue;
            }
            return take_over(node, id, learnt.clone()).await.is_some();
        }
        let ask = PeerRequest::TakeOver(id.to_owned(), learnt.clone());
        if node.request(member.peer, &ask, HANDOFF_TIMEOUT).await.is_ok() {
            slog::info!(node.log, "job passed on"; "job" => id, "to" => %member.peer,
                "partials" => learnt.partials.len(), "failures" => learnt.failures.len(),
                "outcomes" => learnt.outcomes.len());
            return true;
        }
    }
    slog::warn!(node.log, "job passed to nobody"; "job" => id);
    false
}

/// Takes a job over, unless it is settled or another holder is at work; `None`
/// when it can't be done now, or there is no such job.
pub async fn take_over(node: &Rc<Node>, id: &str, learnt: Handoff) -> Option<Rc<HeldJob>> {
    match try_take_over(node, id, &learnt).await {
        Ok(held) => held,
        Err(fault) => {
            slog::info!(node.log, "job not taken over"; "job" => id, "fault" => %fault);
            None
        }
    }
}

/// Takes a job over as another instance asks, as soon as the platform can be asked:
/// whoever asks takes the job for held and doesn't ask again.
///
/// Guards against a job that lies for the rest of the day because its holder couldn't
/// read it at that moment (seen 41 s long, on a platform three hundred times slower).
pub async fn take_over_with_retry(node: &Rc<Node>, id: &str, learnt: Handoff) {
    let is_first = {
        let mut pending_takeovers = node.jobs.pending_takeovers.borrow_mut();
        let is_first = !pending_takeovers.contains_key(id);
        pending_takeovers.entry(id.to_owned()).or_default().push(learnt);
        is_first
    };
    if !is_first {
        return; // The one under way takes it in.
    }
    while let Err(fault) = try_take_over(node, id, &Handoff::default()).await {
        slog::info!(node.log, "job not taken over"; "job" => id, "fault" => %fault,
            "again" => !node.is_stopping());
        if node.is_stopping() {
            for learnt in node.jobs.pending_takeovers.borrow_mut().remove(id).unwrap_or_default() {
                spawn_local(hand_off_detached(node.clone(), id.to_owned(), learnt));
            }
            return;
        }
        tokio::time::sleep(node.store.backoff_remaining(clock::now()).max(TAKEOVER_RETRY_DELAY))
            .await;
    }
    let learnt = node.jobs.pending_takeovers.borrow_mut().remove(id).unwrap_or_default();
    for learnt in learnt {
        forward_handoff(node, id, learnt).await;
    }
}

async fn hand_off_detached(node: Rc<Node>, id: JobId, learnt: Handoff) {
    hand_off(&node, &id, &learnt).await;
}

/// Brings what was learnt of a job to its holder, be it this instance.
async fn forward_handoff(node: &Rc<Node>, id: &str, learnt: Handoff) {
    if let Some(held) = node.jobs.held_job(id) {
        merge_handoff(node, &held, learnt);
        return;
    }
    let holder = node.jobs.directory.borrow().get(id).map(|status| status.holder);
    if let Some(holder) = holder.filter(|holder| holder.instance != node.id()) {
        send_handoff(node.clone(), id.to_owned(), holder, learnt).await;
    }
}

/// Takes in what another holder has learnt.
fn merge_handoff(node: &Node, held: &HeldJob, learnt: Handoff) {
    held.state.borrow_mut().merge_handoff(learnt);
    held.mark_dirty();
    node.jobs.wake();
}

/// Tells the holder of a job what was learnt here, until it has heard it: it may be
/// out of sight for as long as a cut lasts.
pub async fn send_handoff(node: Rc<Node>, id: JobId, holder: Holder, learnt: Handoff) {
    if learnt.is_empty() {
        return;
    }
    let until = clock::now() + SEND_HANDOFF_TIMEOUT;
    let ask = PeerRequest::TakeOver(id.clone(), learnt);
    while clock::now() < until {
        if node.request(holder.address, &ask, HANDOFF_TIMEOUT).await.is_ok() {
            slog::info!(node.log, "what was learnt passed on"; "job" => &id,
                "to" => %holder.address);
            return;
        }
        tokio::time::sleep(TAKEOVER_RETRY_DELAY).await;
    }
    slog::info!(node.log, "what was learnt is lost"; "job" => &id, "to" => %holder.address);
}

/// As [`take_over`]; `None` when the job isn't to be taken over.
///
/// # Errors
///
/// Why it can't be done now.
async fn try_take_over(
    node: &Rc<Node>,
    id: &str,
    learnt: &Handoff,
) -> Result<Option<Rc<HeldJob>>, Fault> {
    let mut conflict = None;
    for _ in 0..MAX_ATTEMPTS {
        if let Some(held) = node.jobs.held_job(id) {
            merge_handoff(node, &held, learnt.clone());
            return Ok(Some(held));
        }
        let Some(object) = node.store.get(CallReason::Takeover, job::KIND, id).await? else {
            return Ok(None);
        };
        match claim(node, &object).await {
            Ok(Some(held)) => {
                merge_handoff(node, &held, learnt.clone());
                return Ok(Some(held));
            }
            Ok(None) => return Ok(None),
            Err(fault @ Fault::Conflict(_)) => conflict = Some(fault),
            Err(fault) => return Err(fault),
        }
    }
    conflict.map_or(Ok(None), Err)
}

/// Writes this instance down as the holder; `None` when another is, or nobody can
/// read the job.
async fn claim(node: &Rc<Node>, object: &Object) -> Result<Option<Rc<HeldJob>>, Fault> {
    let mut stored_job = match job_store::read(node, CallReason::Takeover, object).await {
        Ok(stored_job) => stored_job,
        Err(LoadError::Fault(fault)) => return Err(fault),
        Err(error @ LoadError::Malformed(_)) => {
            slog::warn!(node.log, "job not read"; "job" => &object.name, "fault" => %error);
            return Ok(None);
        }
    };
    let former = stored_job.holder();
    if !stored_job.is_open() || former.instance == node.id() {
        return Ok(Some(job_table::hold(node, stored_job)));
    }
    if let Some(holder) = live_holder(node, former) {
        // Others were faster: whoever holds it now is told, in case it doesn't
        // know, and asked from now on.
        slog::info!(node.log, "job is held"; "job" => &object.name, "holder" => %holder.peer);
        node.notify(holder.peer, PeerRequest::TakeOver(object.name.clone(), Handoff::default()));
        node.jobs.on_status(JobStatus {
            job: object.name.clone(),
            holder: former,
            data_centre: holder.data_centre,
            revision: object.revision,
            route: job_table::route_of(node, &stored_job.job)
                .map_or_else(String::new, |route| route.name),
            waiting_tokens: stored_job.job.tokens(),
            is_finished: false,
        });
        return Ok(None);
    }
    stored_job.progress.holder = Some(node.as_holder());
    let StoredJob { progress, overflow, revision, .. } = &stored_job;
    let written =
        job_store::write(node, CallReason::Takeover, &object.name, *revision, progress, overflow)
            .await;
    let (written, overflow) = written?;
    if let Some(held) = node.jobs.held_job(&object.name) {
        return Ok(Some(held));
    }
    slog::info!(node.log, "job taken over"; "job" => &object.name,
        "from" => format!("{:x}", former.instance), "revision" => written.revision,
        "results" => progress.outcomes.len(), "items" => stored_job.job.items.len());
    let held =
        job_table::hold(node, StoredJob { overflow, revision: written.revision, ..stored_job });
    let (node, taken) = (node.clone(), held.clone());
    spawn_local(async move {
        tokio::time::sleep(VERIFY_DELAY).await;
        if !taken.released.is_cancelled() {
            job_writer::verify(&node, &taken).await;
        }
    });
    Ok(Some(held))
}

/// The member that holds a job, if it lives and isn't about to stop.
fn live_holder(node: &Node, holder: Holder) -> Option<Member> {
    let members = node.members.borrow();
    let mut found = members.workers().filter(|member| member.id == holder.instance);
    found.next().cloned()
}
