//! Writes the progress of held jobs to the platform and detects when another instance has
//! taken a job over.

use super::call_reason::CallReason;
use super::handoff;
use super::held_job::HeldJob;
use super::job_store;
use super::job_table;
use super::node::{Node, unix_millis};
use super::stored_job::{LoadError, StoredJob};
use crate::clock;
use coordination::flush;
use platform::job;
use platform::store::{Object, StoreError};
use state::progress::{Holder, Progress};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;

/// A holder whose loop runs this late was suspended or starved, so its jobs may have been
/// taken over.
const STALL_THRESHOLD: Duration = Duration::from_millis(1_500);
/// Interval between checks of a job without changes.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum delay after a failed write.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum age of the platform's last confirmation while a whole data centre is
/// unreachable: instances there may have taken the job over or ended it. A successful write
/// confirms too.
const VERIFY_INTERVAL: Duration = Duration::from_millis(1_500);
/// How long verification continues once all data centres are reachable again. Whoever ended
/// a job just before may not have known its holder.
const ISOLATION_COOLDOWN: Duration = Duration::from_secs(4);

/// Time for cancelled runs to store their partial output.
pub(super) const RUN_STOP_DELAY: Duration = Duration::from_millis(5);

/// Checks on the platform whether a job is still held here.
pub async fn verify(node: &Rc<Node>, held: &Rc<HeldJob>) {
    let id = held.state.borrow().job().id.clone();
    match node.store.get(CallReason::Verify, job::KIND, &id).await {
        Ok(Some(object)) if object.revision > held.revision.get() => {
            let snapshot = held.state.borrow().to_progress();
            // If loading fails now, the next write runs into the same conflict.
            on_newer_object(node, held, &snapshot, &object).await;
        }
        Ok(Some(_)) => held.on_confirmed(clock::now()),
        Ok(None) => job_table::release(node, held),
        Err(error) => slog::info!(node.log, "job load failed"; "job" => &id, "fault" => %error),
    }
}

/// Writes changes of a job until it is finished and durable.
pub async fn write_loop(node: Rc<Node>, held: Rc<HeldJob>) {
    let mut last_attempt = clock::now();
    let mut last_poll = clock::now();
    let mut last_isolated: Option<Instant> = None;
    loop {
        tokio::select! {
            () = held.dirty.notified() => {}
            () = tokio::time::sleep(
                time_to_write(&node, &held, clock::now()).min(POLL_INTERVAL)
            ) => {}
            () = held.released.cancelled() => return,
        }
        if clock::since(last_poll) >= STALL_THRESHOLD {
            verify(&node, &held).await;
        }
        last_poll = clock::now();
        held.state.borrow_mut().expire(unix_millis());
        job_table::check_route(&node, &held, last_poll);
        if node.is_isolated() {
            last_isolated = Some(last_poll);
        }
        let may_be_taken_over =
            last_isolated.is_some_and(|at| clock::since(at) < ISOLATION_COOLDOWN);
        let is_due = clock::since(last_attempt.max(held.confirmed_at.get())) >= VERIFY_INTERVAL;
        if is_due && may_be_taken_over {
            last_attempt = clock::now();
            verify(&node, &held).await;
        }
        // A holder that was replaced must not write: the new holder serves results from
        // memory and wouldn't return those that others have read from the platform.
        while !held.released.is_cancelled() && time_to_write(&node, &held, clock::now()).is_zero() {
            if !write(&node, &held).await {
                let delay = node.store.backoff_remaining(clock::now()).max(WRITE_RETRY_DELAY);
                tokio::time::sleep(delay).await;
            }
        }
        if held.released.is_cancelled() {
            return;
        }
        if held.state.borrow().is_finished() {
            let state = held.state.borrow();
            slog::info!(node.log, "job finished"; "job" => &state.job().id,
                "results" => state.durable_results().len(), "items" => state.job().items.len(),
                "ended" => state.is_ended(),
                "age_ms" => unix_millis().saturating_sub(state.job().accepted));
            drop(state);
            job_table::announce(&node, &held);
            return;
        }
    }
}

/// Time until the next write; [`Duration::MAX`] if nothing is unwritten.
fn time_to_write(node: &Node, held: &HeldJob, now: Instant) -> Duration {
    let state = held.state.borrow();
    if !state.has_unwritten() {
        return Duration::MAX;
    }
    let (due, at) = (state.job().due, unix_millis());
    let overdue = Duration::from_millis(at.saturating_sub(due));
    let due_in = Duration::from_millis(due.saturating_sub(at));
    let has_unwritten_end = state.is_ended() && !state.is_end_durable();
    let unwritten = flush::Unwritten {
        oldest: held.oldest_unwritten.get().unwrap_or(now),
        failed: held.oldest_failure.get(),
        due: now.checked_sub(overdue).unwrap_or(now) + due_in,
        is_last: has_unwritten_end || state.is_done(),
    };
    let policy =
        flush::Policy { max_delay: node.settings.policy.write_delay, ..flush::Policy::default() };
    flush::flush_at(policy, unwritten).saturating_duration_since(now)
}

/// Writes a job's progress once; `false` if it must be retried.
pub async fn write(node: &Rc<Node>, held: &Rc<HeldJob>) -> bool {
    let (id, snapshot) = {
        let state = held.state.borrow();
        (state.job().id.clone(), state.to_progress())
    };
    let revision = held.revision.get();
    let overflow = held.overflow.borrow().clone();
    let result =
        job_store::write(node, CallReason::Progress, &id, revision, &snapshot, &overflow).await;
    match result {
        Ok((object, overflow)) => {
            *held.overflow.borrow_mut() = overflow;
            on_durable(node, held, &snapshot, object.revision);
            true
        }
        Err(StoreError::Conflict(found)) => {
            let found = match found {
                Some(object) => Ok(Some(*object)),
                None => node.store.get(CallReason::Progress, job::KIND, &id).await,
            };
            match found {
                Ok(Some(object)) => return on_newer_object(node, held, &snapshot, &object).await,
                Ok(None) => job_table::release(node, held),
                Err(error) => {
                    slog::info!(node.log, "job load failed"; "job" => &id, "fault" => %error);
                    return false;
                }
            }
            true
        }
        Err(StoreError::NotFound) => {
            slog::warn!(node.log, "job object missing"; "job" => &id, "revision" => revision);
            job_table::release(node, held);
            true
        }
        Err(error) => {
            slog::info!(node.log, "job write failed"; "job" => &id, "fault" => %error,
                "revision" => revision);
            false
        }
    }
}

/// Sends the new holder of a job the progress made here.
async fn hand_off_progress(node: Rc<Node>, held: Rc<HeldJob>, holder: Holder) {
    tokio::time::sleep(RUN_STOP_DELAY).await;
    let (id, handoff) = {
        let state = held.state.borrow();
        (state.job().id.clone(), state.handoff())
    };
    handoff::send_handoff(node, id, holder, handoff).await;
}

fn on_durable(node: &Rc<Node>, held: &Rc<HeldJob>, snapshot: &Progress, revision: u64) {
    held.revision.set(revision);
    held.on_confirmed(clock::now());
    held.state.borrow_mut().on_written(snapshot);
    held.oldest_unwritten.set(None);
    held.oldest_failure.set(None);
    held.mark_dirty();
    slog::info!(node.log, "results durable"; "job" => &held.state.borrow().job().id,
        "results" => snapshot.outcomes.len(), "revision" => revision, "ended" => snapshot.ended);
    held.changed.notify_waiters();
    job_table::announce(node, held);
}

/// Handles an object that changed since it was read: an earlier write succeeded after all,
/// or another instance wrote. `false` if the job couldn't be loaded.
async fn on_newer_object(
    node: &Rc<Node>,
    held: &Rc<HeldJob>,
    snapshot: &Progress,
    object: &Object,
) -> bool {
    let StoredJob { progress, overflow, .. } =
        match job_store::read(node, CallReason::Verify, object).await {
            Ok(stored_job) => stored_job,
            Err(error @ LoadError::Malformed(_)) => {
                slog::error!(node.log, "job load failed"; "job" => &object.name,
                "revision" => object.revision, "fault" => %error);
                job_table::release(node, held);
                return true;
            }
            Err(error) => {
                slog::info!(node.log, "job load failed"; "job" => &object.name, "fault" => %error);
                return false;
            }
        };
    *held.overflow.borrow_mut() = overflow;
    if progress == *snapshot {
        on_durable(node, held, snapshot, object.revision);
        return true;
    }
    held.revision.set(object.revision);
    held.state.borrow_mut().on_conflict(progress);
    let holder = held.state.borrow().holder();
    held.changed.notify_waiters();
    if holder.instance != node.id() {
        slog::info!(node.log, "job taken over elsewhere"; "job" => &object.name,
            "holder" => format!("{:x}", holder.instance), "revision" => object.revision);
        job_table::release(node, held);
        spawn_local(hand_off_progress(node.clone(), held.clone(), holder));
    }
    true
}
