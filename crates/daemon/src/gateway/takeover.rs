//! Jobs whose holder is gone, and jobs that are handed over.
//!
//! A takeover is a write on the condition that nobody else has written since,
//! so two instances that both try agree on one. What it costs when the holder
//! was only cut off is double work on its items, so a whole data centre that
//! falls silent at once is given more time than a single instance.

use super::holder::{self, Held};
use super::message::{Ask, Standing};
use super::node::Node;
use coordination::hash;
use coordination::member::Member;
use platform::job;
use platform::store::{Fault, Object};
use state::progress::{Holder, ItemId, JobId, Partial};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// Time between looks for jobs without a holder.
const LOOK: Duration = Duration::from_millis(250);
/// A holder must be gone for this long before its jobs are taken over.
const PATIENCE: Duration = Duration::from_millis(300);
/// The same when nobody of its data centre is heard of: it may be cut off, and
/// cuts last some seconds.
const CUT_PATIENCE: Duration = Duration::from_secs(7);
/// A holder that no member list names counts as gone once this instance has
/// been up for so long.
const ACQUAINTED: Duration = Duration::from_secs(3);
/// First look through all jobs on the platform after a start.
const FIRST_SWEEP: Duration = Duration::from_millis(1_500);
/// Pause after a look that failed.
const SWEEP_AGAIN: Duration = Duration::from_millis(1_000);
/// Time between looks through all jobs on the platform.
const SWEEP_EVERY: Duration = Duration::from_secs(60);
/// Tries to take a job over while others write to it.
const TRIES: u32 = 4;
/// Longest wait for an instance that is to take a job over.
const PASS_LIMIT: Duration = Duration::from_millis(300);

/// Looks for jobs without a holder until `stop`.
pub async fn run(node: Rc<Node>, stop: CancellationToken) {
    let began = Instant::now();
    let mut noticed: HashMap<JobId, Instant> = HashMap::new();
    let mut next_sweep = began + FIRST_SWEEP;
    loop {
        tokio::select! {
            () = tokio::time::sleep(LOOK) => {}
            () = stop.cancelled() => return,
        }
        let now = Instant::now();
        if node.is_stopping() || node.store.is_away(now) {
            continue;
        }
        let is_acquainted = now >= began + ACQUAINTED;
        for id in due(&node, &mut noticed, is_acquainted, now) {
            if adopt(&node, &id, HashMap::new()).await.is_some() {
                noticed.remove(&id);
            }
        }
        if now >= next_sweep && node.config().is_some() {
            let is_done = !is_chosen(&node, b"sweep") || sweep(&node, is_acquainted).await;
            let pause = if is_done { SWEEP_EVERY } else { SWEEP_AGAIN };
            next_sweep = Instant::now() + pause;
            holder_expire(&node);
        }
    }
}

/// Whether this instance is the one to act on a key.
fn is_chosen(node: &Node, key: &[u8]) -> bool {
    let members = node.members.borrow();
    hash::owner(key, members.workers().map(|member| member.id)) == Some(members.me().id)
}

/// Whether a holder is gone.
fn is_gone(node: &Node, holder: Holder, is_acquainted: bool) -> bool {
    let members = node.members.borrow();
    if holder.instance == members.me().id {
        return false;
    }
    if members.get(holder.instance).is_some() {
        return false;
    }
    // Its address answers under another id, so it was started anew.
    let is_replaced = members.workers().any(|member| member.peer == holder.address);
    is_replaced || is_acquainted || members.is_dead(holder.instance)
}

/// Jobs that fall to this instance because their holder is gone.
fn due(
    node: &Node,
    noticed: &mut HashMap<JobId, Instant>,
    is_acquainted: bool,
    now: Instant,
) -> Vec<JobId> {
    let directory = node.board.directory.borrow();
    let cells = node.board.cells.borrow();
    let orphaned = directory.values().filter(|standing| {
        !standing.is_settled
            && !cells.contains_key(&standing.job)
            && is_gone(node, standing.holder, is_acquainted)
    });
    let orphaned: Vec<&Standing> = orphaned.collect();
    noticed.retain(|id, _| orphaned.iter().any(|standing| standing.job == *id));
    let mut due = Vec::new();
    for standing in orphaned {
        let since = *noticed.entry(standing.job.clone()).or_insert(now);
        if now >= since + patience(node, standing) && is_chosen(node, standing.job.as_bytes()) {
            due.push(standing.job.clone());
        }
    }
    due
}

fn patience(node: &Node, standing: &Standing) -> Duration {
    let members = node.members.borrow();
    let here = |member: &Member| member.data_centre == standing.data_centre;
    if members.workers().any(here) { PATIENCE } else { CUT_PATIENCE }
}

/// Looks through all jobs on the platform; `false` when it has to be repeated.
async fn sweep(node: &Rc<Node>, is_acquainted: bool) -> bool {
    let objects = match node.store.list_all(job::KIND).await {
        Ok(objects) => objects,
        Err(fault) => {
            slog::info!(node.log, "jobs not listed"; "fault" => %fault);
            return false;
        }
    };
    let mut orphans = 0;
    for object in &objects {
        let Ok((job, progress)) = holder::read(object) else {
            slog::error!(node.log, "job not understood"; "job" => &object.name,
                "revision" => object.revision);
            continue;
        };
        let is_open = !progress.ended && progress.outcomes.len() < job.items.len();
        let keeper = progress.holder.unwrap_or(job.acceptor);
        let is_here = node.board.cell(&object.name).is_some();
        if !is_open || is_here || !is_gone_or_unaware(node, keeper, is_acquainted) {
            continue;
        }
        orphans += 1;
        pass(node, &object.name, HashMap::new()).await;
    }
    slog::info!(node.log, "jobs swept"; "jobs" => objects.len(), "without_holder" => orphans,
        "acquainted" => is_acquainted);
    // Holders that are not known yet may still be found.
    is_acquainted
}

/// Whether a holder is gone; this instance itself counts, since the job isn't
/// in its memory.
fn is_gone_or_unaware(node: &Node, holder: Holder, is_acquainted: bool) -> bool {
    holder.instance == node.id() || is_gone(node, holder, is_acquainted)
}

/// Has another instance take a job over; this one, if no other does.
pub async fn pass(node: &Rc<Node>, id: &str, partials: HashMap<ItemId, Partial>) {
    let mut ranked: Vec<Member> = node.members.borrow().workers().cloned().collect();
    ranked.sort_by_key(|member| std::cmp::Reverse(hash::weight(id.as_bytes(), member.id)));
    for member in ranked {
        if member.id == node.id() {
            if node.is_stopping() {
                continue;
            }
            adopt(node, id, partials).await;
            return;
        }
        let ask = Ask::Adopt(id.to_owned(), partials.clone());
        if node.ask(member.peer, &ask, PASS_LIMIT).await.is_ok() {
            slog::info!(node.log, "job passed on"; "job" => id, "to" => %member.peer,
                "partials" => partials.len());
            return;
        }
    }
    slog::warn!(node.log, "job passed to nobody"; "job" => id);
}

/// Takes a job over, unless it is settled or another holder is at work; `None`
/// when it can't be done now, or there is no such job.
pub async fn adopt(
    node: &Rc<Node>,
    id: &str,
    partials: HashMap<ItemId, Partial>,
) -> Option<Rc<Held>> {
    for _ in 0..TRIES {
        if let Some(held) = node.board.cell(id) {
            held.sheet.borrow_mut().merge_partials(partials);
            node.board.wake();
            return Some(held);
        }
        let object = match node.store.get(job::KIND, id).await {
            Ok(object) => object?,
            Err(fault) => {
                slog::info!(node.log, "job not taken over"; "job" => id, "fault" => %fault);
                return None;
            }
        };
        match claim(node, &object).await {
            Ok(held) => {
                held.sheet.borrow_mut().merge_partials(partials);
                node.board.wake();
                return Some(held);
            }
            Err(Some(fault)) => {
                slog::info!(node.log, "job not taken over"; "job" => id, "fault" => %fault,
                    "revision" => object.revision);
                if !matches!(fault, Fault::Conflict(_)) {
                    return None;
                }
            }
            Err(None) => return None,
        }
    }
    None
}

/// Writes this instance down as the holder.
async fn claim(node: &Rc<Node>, object: &Object) -> Result<Rc<Held>, Option<Fault>> {
    let (job, mut progress) = holder::read(object).map_err(|error| {
        slog::error!(node.log, "job not understood"; "job" => &object.name, "error" => %error);
        None
    })?;
    let is_open = !progress.ended && progress.outcomes.len() < job.items.len();
    let former = progress.holder.unwrap_or(job.acceptor);
    if !is_open || former.instance == node.id() {
        return Ok(holder::hold(node, job, progress, object.revision));
    }
    progress.holder = Some(node.as_holder());
    let written = node.store.set_status(job::KIND, &object.name, object.revision, &progress).await;
    let written = written.map_err(Some)?;
    if let Some(held) = node.board.cell(&object.name) {
        return Ok(held);
    }
    slog::info!(node.log, "job taken over"; "job" => &object.name,
        "from" => format!("{:x}", former.instance), "revision" => written.revision,
        "results" => progress.outcomes.len(), "items" => job.items.len());
    Ok(holder::hold(node, job, progress, written.revision))
}

/// Drops what is past its retention, here and on the platform.
fn holder_expire(node: &Rc<Node>) {
    let now = super::node::millis();
    let retention = node.settings.retention.as_millis() as u64;
    let cells: Vec<Rc<Held>> = node.board.cells.borrow().values().cloned().collect();
    for held in cells {
        let (id, is_over) = {
            let sheet = held.sheet.borrow();
            let is_old = sheet.job().accepted + retention < now;
            (sheet.job().id.clone(), is_old && sheet.is_settled())
        };
        if !is_over {
            continue;
        }
        let is_own = held.sheet.borrow().holder().instance == node.id();
        node.board.cells.borrow_mut().remove(&id);
        node.board.directory.borrow_mut().remove(&id);
        if is_own {
            let node = node.clone();
            tokio::task::spawn_local(async move {
                if let Err(fault) = node.store.delete(job::KIND, &id, held.revision.get()).await {
                    slog::info!(node.log, "job not deleted"; "job" => &id, "fault" => %fault);
                }
            });
        }
    }
}
