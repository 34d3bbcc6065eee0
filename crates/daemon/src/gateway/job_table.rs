//! Jobs that this instance knows of: those in its memory, and how all others
//! stand by their holders' word.

use super::job_store::{Overflow, StoredJob};
use super::message::{JobFilter, JobStatus, PeerReply, PeerRequest, Update};
use super::node::Node;
use super::{broadcast, job_writer, peers};
use crate::clock;
use coordination::hash;
use coordination::membership::Member;
use coordination::run_time::Estimate;
use protocol::ServiceId;
use protocol::routing::Route;
use state::progress::{Handoff, ItemId, Job, JobId, JobState};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;

/// How jobs stand is told together that comes within this time: each message
/// goes to every member.
const STATUS_BATCH_WINDOW: Duration = Duration::from_millis(60);
/// Longest wait for another instance to know of a job.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(60);
/// Attempts of an item when its route no longer tells.
const DEFAULT_MAX_ATTEMPTS: u32 = 3;
/// Pause before others are asked again how jobs stand.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(500);

/// One job in memory.
pub struct HeldJob {
    /// Its state.
    pub state: RefCell<JobState>,
    /// Revision of its object.
    pub revision: Cell<u64>,
    /// What of it lies in overflow on the platform.
    pub overflow: RefCell<Overflow>,
    /// When items that aren't done were first run here.
    pub(super) first_started: RefCell<HashMap<ItemId, Instant>>,
    /// Woken when results or the end have become durable.
    pub changed: Notify,
    /// Woken when there is something to write.
    pub(super) dirty: Notify,
    /// When the oldest result that isn't durable came.
    pub(super) oldest_unwritten: Cell<Option<Instant>>,
    /// When the oldest result came that isn't durable and says that its item failed.
    pub(super) oldest_failure: Cell<Option<Instant>>,
    /// When the platform last showed that the job is held here.
    pub(super) confirmed_at: Cell<Instant>,
    /// Cancelled when the job's submitter has ended it: its runs stop.
    pub(super) ended: CancellationToken,
    /// Cancelled when this instance no longer holds the job.
    pub released: CancellationToken,
    /// Whether it only serves reads: nothing is left to run.
    pub is_read_only: bool,
}

impl HeldJob {
    /// The job has ended: its runs stop.
    pub fn stop_runs(&self) {
        self.ended.cancel();
    }

    /// Something is to be written.
    pub fn mark_dirty(&self) {
        let now = clock::now();
        let state = self.state.borrow();
        let since = |is_any: bool, known: Option<Instant>| is_any.then(|| known.unwrap_or(now));
        self.oldest_unwritten.set(since(state.unwritten() > 0, self.oldest_unwritten.get()));
        self.oldest_failure.set(since(state.has_unwritten_failure(), self.oldest_failure.get()));
        self.dirty.notify_one();
    }

    /// What is known of the job's holder by the platform was as expected just now.
    pub(super) fn on_confirmed(&self, now: Instant) {
        self.confirmed_at.set(now);
    }
}

/// All jobs that this instance knows of.
#[derive(Default)]
pub struct JobTable {
    /// Jobs in memory here.
    pub held: RefCell<HashMap<JobId, Rc<HeldJob>>>,
    /// How jobs stand by their holders' word.
    pub directory: RefCell<HashMap<JobId, JobStatus>>,
    /// What is to be told to all others.
    outbox: RefCell<HashMap<JobId, JobStatus>>,
    /// Jobs read from the platform for callers, and when.
    pub(super) cache: RefCell<HashMap<JobId, (Instant, StoredJob)>>,
    /// When another instance's open jobs were last asked for.
    pub last_fetch: Cell<Option<Instant>>,
    pub(super) work: Notify,
    /// What was learnt of how long items run.
    pub(super) run_time: RefCell<Estimate>,
    /// What was learnt elsewhere of jobs that this instance is about to take over, as
    /// others have asked.
    pub(super) pending_takeovers: RefCell<HashMap<JobId, Vec<Handoff>>>,
    pub(super) acquiring: RefCell<HashSet<(String, ServiceId)>>,
}

impl JobTable {
    /// Jobs in memory.
    pub fn held_count(&self) -> usize {
        self.held.borrow().len()
    }

    /// A word about a job; an earlier one is passed over.
    pub fn on_status(&self, status: JobStatus) {
        let mut directory = self.directory.borrow_mut();
        let known = directory.get(&status.job);
        if known.is_none_or(|known| known.revision <= status.revision) {
            directory.insert(status.job.clone(), status);
        }
    }

    /// Something has changed for items that wait.
    pub fn wake(&self) {
        self.work.notify_one();
    }

    /// The job, if it is in memory here.
    pub fn held_job(&self, job: &str) -> Option<Rc<HeldJob>> {
        self.held.borrow().get(job).cloned()
    }

    /// Tokens that wait on a route, over all instances.
    pub fn waiting_tokens(&self, node: &Node, route: &str) -> u64 {
        let held_jobs = self.held.borrow();
        let held = held_jobs.values().filter(|held| !held.is_read_only);
        let here: u64 = held
            .map(|held| held.state.borrow())
            .filter(|state| route_of(node, state.job()).is_some_and(|found| found.name == route))
            .map(|state| state.waiting_tokens())
            .sum();
        let directory = self.directory.borrow();
        let others = directory.values().filter(|status| {
            status.route == route && !status.is_finished && !held_jobs.contains_key(&status.job)
        });
        here + others.map(|status| status.waiting_tokens).sum::<u64>()
    }
}

/// A holder's word; if it speaks of a job that is held here, the platform tells
/// whose it is.
pub fn on_status(node: &Rc<Node>, status: JobStatus) {
    let held = node.jobs.held_job(&status.job).filter(|held| !held.is_read_only);
    if let Some(held) = held
        && status.holder.instance != node.id()
        && status.revision > held.revision.get()
    {
        let node = node.clone();
        spawn_local(async move { job_writer::verify(&node, &held).await });
    }
    node.jobs.on_status(status);
}

/// The route of a job in the configuration in force.
pub fn route_of(node: &Node, job: &Job) -> Option<Route> {
    let config = node.config()?;
    config.table.route_for(&job.host, &job.path).cloned()
}

/// Puts a job into memory and, unless it is settled, begins to run it.
pub fn hold(node: &Rc<Node>, stored_job: StoredJob) -> Rc<HeldJob> {
    let StoredJob { job, progress, overflow, revision } = stored_job;
    let id = job.id.clone();
    let attempts = route_of(node, &job).map_or(DEFAULT_MAX_ATTEMPTS, |route| route.max_attempts);
    let state = JobState::new(job, progress, attempts);
    let is_read_only = state.is_finished();
    let held = Rc::new(HeldJob {
        state: RefCell::new(state),
        revision: Cell::new(revision),
        overflow: RefCell::new(overflow),
        first_started: RefCell::default(),
        changed: Notify::new(),
        dirty: Notify::new(),
        oldest_unwritten: Cell::new(None),
        oldest_failure: Cell::new(None),
        confirmed_at: Cell::new(clock::now()),
        ended: CancellationToken::new(),
        released: CancellationToken::new(),
        is_read_only,
    });
    node.jobs.held.borrow_mut().insert(id, held.clone());
    if !is_read_only {
        spawn_local(job_writer::write_loop(node.clone(), held.clone()));
        announce(node, &held);
        node.jobs.wake();
    }
    held
}

/// This instance no longer holds the job: its runs stop.
pub fn release(node: &Node, held: &HeldJob) {
    held.released.cancel();
    let id = held.state.borrow().job().id.clone();
    node.jobs.held.borrow_mut().remove(&id);
    held.changed.notify_waiters();
}

fn status(node: &Node, held: &HeldJob) -> JobStatus {
    let state = held.state.borrow();
    JobStatus {
        job: state.job().id.clone(),
        holder: node.as_holder(),
        data_centre: node.data_centre().clone(),
        revision: held.revision.get(),
        route: route_of(node, state.job()).map_or_else(String::new, |route| route.name),
        waiting_tokens: state.waiting_tokens(),
        is_finished: state.is_finished(),
    }
}

/// Tells all others how a job stands, together with what else is to be told soon.
pub fn announce(node: &Rc<Node>, held: &HeldJob) {
    let status = status(node, held);
    let is_first = {
        let mut outbox = node.jobs.outbox.borrow_mut();
        outbox.insert(status.job.clone(), status);
        outbox.len() == 1
    };
    if !is_first {
        return;
    }
    let node = node.clone();
    spawn_local(async move {
        tokio::time::sleep(STATUS_BATCH_WINDOW).await;
        let statuses = std::mem::take(&mut *node.jobs.outbox.borrow_mut());
        broadcast::send(&node, Update::Statuses(statuses.into_values().collect()));
    });
}

/// Has two other instances know of a job before its submitter is answered, so
/// that it is missed at once if this instance is lost in the next moment. Without
/// an answer from them it is found by a look through all jobs, later.
pub async fn notify_witnesses(node: &Rc<Node>, held: &HeldJob) {
    let now = clock::now();
    let mut members = node.others();
    members.retain(|member| !node.is_unresponsive(member.peer, now));
    // One far and one near, where there are such.
    let near = |member: &Member| member.data_centre == *node.data_centre();
    let id = held.state.borrow().job().id.clone();
    members.sort_by_key(|member| hash::weight(id.as_bytes(), member.id));
    let witnesses =
        [members.iter().find(|member| !near(member)), members.iter().find(|member| near(member))];
    let ask = PeerRequest::Statuses(vec![status(node, held)]);
    let tell = |witness: Option<&Member>| {
        let (node, ask) = (node.clone(), ask.clone());
        let address = witness.map(|member| member.peer);
        async move {
            match address {
                Some(address) => node.request(address, &ask, WITNESS_TIMEOUT).await.is_ok(),
                None => false,
            }
        }
    };
    let (far, near) = tokio::join!(tell(witnesses[0]), tell(witnesses[1]));
    if !far && !near {
        slog::info!(node.log, "job without witness"; "job" => id, "members" => members.len());
    }
}

/// How the jobs stand that another instance asks for.
pub fn statuses_for(node: &Node, filter: &JobFilter) -> Vec<JobStatus> {
    let mut statuses = all_statuses(node);
    if let JobFilter::Open(ids) = filter {
        let ids: HashSet<&JobId> = ids.iter().collect();
        statuses.retain(|status| !status.is_finished || ids.contains(&status.job));
    }
    statuses
}

/// How jobs stand that are known here.
fn all_statuses(node: &Node) -> Vec<JobStatus> {
    let held_jobs = node.jobs.held.borrow();
    let own = held_jobs.values().filter(|held| !held.is_read_only).map(|held| status(node, held));
    let directory = node.jobs.directory.borrow();
    let others = directory.values().filter(|status| !held_jobs.contains_key(&status.job));
    own.chain(others.cloned()).collect()
}

/// A number that two instances share if they know the same open jobs and holders.
pub fn digest(node: &Node) -> u64 {
    let one = |status: &JobStatus| hash::weight(status.job.as_bytes(), status.holder.instance);
    open_statuses(node).iter().map(one).fold(0, u64::wrapping_add)
}

fn open_statuses(node: &Node) -> Vec<JobStatus> {
    all_statuses(node).into_iter().filter(|status| !status.is_finished).collect()
}

/// What to ask another instance for whose open jobs differ: a job may have been
/// settled without a word of it here.
pub fn open_jobs_filter(node: &Node) -> JobFilter {
    JobFilter::Open(open_statuses(node).into_iter().map(|status| status.job).collect())
}

/// Learns from another instance how jobs stand, after a start.
pub async fn fetch_statuses(node: &Rc<Node>) {
    loop {
        for member in node.others() {
            if fetch_statuses_from(node, member.peer, JobFilter::All).await {
                return;
            }
        }
        tokio::time::sleep(FETCH_RETRY_DELAY).await;
    }
}

/// Learns how jobs stand from one instance; `false` when it didn't answer.
pub async fn fetch_statuses_from(node: &Rc<Node>, address: SocketAddr, filter: JobFilter) -> bool {
    let is_open_only = matches!(filter, JobFilter::Open(_));
    let ask = PeerRequest::ListJobs(filter);
    let reply = node.request(address, &ask, peers::HEARTBEAT_TIMEOUT).await;
    let Ok(PeerReply::Statuses(statuses)) = reply else {
        return false;
    };
    slog::info!(node.log, "job statuses fetched"; "from" => %address, "jobs" => statuses.len(),
        "open_only" => is_open_only);
    statuses.into_iter().for_each(|status| on_status(node, status));
    true
}
