//! Jobs that this instance holds: runs their items, makes results durable.

use super::account::{self, Lease};
use super::message::{Ask, Standing};
use super::node::{Node, millis};
use super::online::{is_not_run, is_own};
use super::takeover;
use bytes::Bytes;
use coordination::hash;
use coordination::member::Member;
use coordination::slots::End;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use platform::store::{Fault, Object};
use platform::{header, job};
use protocol::ServiceId;
use protocol::routing::Route;
use state::progress::{Failure, Item, Job, JobId, Outcome, Partial, Progress, Sheet};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;
use transport::event::Splitter;
use transport::upstream::{Exchange, Failure as Unsent};

/// Results wait this long for others to be written with them. Each write is a
/// call that is paid for; a holder that is lost costs the runs not yet written.
const GATHER: Duration = Duration::from_millis(1_500);
/// Results are written without delay from this long before the job is due.
const BEFORE_DUE: Duration = Duration::from_millis(1_500);
/// How jobs stand is told together that comes within this time: each message
/// goes to every member.
const TELL: Duration = Duration::from_millis(60);
/// Longest wait for another instance to know of a job.
const WITNESS: Duration = Duration::from_millis(60);
/// A holder that finds itself this late was stopped or starved: its jobs may have
/// been taken over meanwhile.
const FROZEN: Duration = Duration::from_millis(1_500);
/// Time between looks at a job that nothing has happened to.
const LOOK: Duration = Duration::from_millis(500);
/// Shortest pause after a write that failed.
const WRITE_PAUSE: Duration = Duration::from_millis(100);
/// Time between looks whether a job is still held here, while whole data centres
/// are out of sight: they may have taken it over, or seen its end.
const VERIFY_EVERY: Duration = Duration::from_millis(1_500);
/// Longest wait of one request for slots; the account answers when it has one.
const SLOT_WAIT: Duration = Duration::from_millis(800);
/// Pause after a request for slots that failed.
const SLOT_PAUSE: Duration = Duration::from_millis(150);
/// Most slots asked for at once.
const MOST_SLOTS: usize = 4;
/// An engine that sends nothing for this long is taken for silent. Prompts are
/// read and tokens made within tens of milliseconds; an engine that runs five
/// times slower still stays below it.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Attempts of an item when its route no longer tells.
const ATTEMPTS: u32 = 3;
/// Pause before an item runs again whose run broke off or was turned away.
const ITEM_PAUSE: Duration = Duration::from_millis(100);
/// Longest answer of a target that isn't a stream and is looked at.
const MOST_BODY: usize = 1 << 20;

/// One job in memory.
pub struct Held {
    /// Its sheet.
    pub sheet: RefCell<Sheet>,
    /// Revision of its object.
    pub revision: Cell<u64>,
    /// Woken when results or the end have become durable.
    pub changed: Notify,
    /// Woken when there is something to write.
    dirty: Notify,
    /// When the oldest result that isn't durable came.
    oldest: Cell<Option<Instant>>,
    /// Cancelled when the job's submitter has ended it: its runs stop.
    ended: CancellationToken,
    /// Cancelled when this instance no longer holds the job.
    pub released: CancellationToken,
    /// Whether it only serves reads: nothing is left to run.
    pub is_frozen: bool,
}

impl Held {
    /// The job has ended: its runs stop.
    pub fn stop_runs(&self) {
        self.ended.cancel();
    }

    /// Something is to be written.
    pub fn wake(&self) {
        if self.sheet.borrow().fresh() > 0 && self.oldest.get().is_none() {
            self.oldest.set(Some(Instant::now()));
        }
        self.dirty.notify_one();
    }
}

/// All jobs that this instance knows of.
#[derive(Default)]
pub struct Board {
    /// Jobs in memory here.
    pub cells: RefCell<HashMap<JobId, Rc<Held>>>,
    /// How jobs stand by their holders' word.
    pub directory: RefCell<HashMap<JobId, Standing>>,
    /// What is to be told to all others.
    outbox: RefCell<HashMap<JobId, Standing>>,
    /// When another instance's open jobs were last asked for.
    pub learnt: Cell<Option<Instant>>,
    work: Notify,
    filling: RefCell<HashSet<(String, ServiceId)>>,
}

impl Board {
    /// Jobs in memory.
    pub fn held(&self) -> usize {
        self.cells.borrow().len()
    }

    /// A word about a job; an earlier one is passed over.
    pub fn on_standing(&self, standing: Standing) {
        let mut directory = self.directory.borrow_mut();
        let known = directory.get(&standing.job);
        if known.is_none_or(|known| known.revision <= standing.revision) {
            directory.insert(standing.job.clone(), standing);
        }
    }

    /// Something has changed for items that wait.
    pub fn wake(&self) {
        self.work.notify_one();
    }

    /// The job, if it is in memory here.
    pub fn cell(&self, job: &str) -> Option<Rc<Held>> {
        self.cells.borrow().get(job).cloned()
    }

    /// Tokens that wait on a route, over all instances.
    pub fn waiting_tokens(&self, node: &Node, route: &str) -> u64 {
        let cells = self.cells.borrow();
        let held = cells.values().filter(|held| !held.is_frozen);
        let here: u64 = held
            .map(|held| held.sheet.borrow())
            .filter(|sheet| route_of(node, sheet.job()).is_some_and(|found| found.name == route))
            .map(|sheet| sheet.waiting_tokens())
            .sum();
        let directory = self.directory.borrow();
        let others = directory.values().filter(|standing| {
            standing.route == route && !standing.is_settled && !cells.contains_key(&standing.job)
        });
        here + others.map(|standing| standing.waiting_tokens).sum::<u64>()
    }
}

/// A holder's word; if it speaks of a job that is held here, the platform tells
/// whose it is.
pub fn on_standing(node: &Rc<Node>, standing: Standing) {
    let held = node.board.cell(&standing.job).filter(|held| !held.is_frozen);
    if let Some(held) = held
        && standing.holder.instance != node.id()
        && standing.revision > held.revision.get()
    {
        let node = node.clone();
        spawn_local(async move { verify(&node, &held).await });
    }
    node.board.on_standing(standing);
}

/// Looks whether a job is still held here.
pub async fn verify(node: &Rc<Node>, held: &Rc<Held>) {
    let id = held.sheet.borrow().job().id.clone();
    match node.store.get(job::KIND, &id).await {
        Ok(Some(object)) if object.revision > held.revision.get() => {
            let draft = held.sheet.borrow().snapshot();
            on_found(node, held, &draft, &object);
        }
        Ok(Some(_)) => {}
        Ok(None) => release(node, held),
        Err(fault) => slog::info!(node.log, "job not read"; "job" => &id, "fault" => %fault),
    }
}

/// The route of a job in the configuration in force.
pub fn route_of(node: &Node, job: &Job) -> Option<Route> {
    let config = node.config()?;
    config.table.find(&job.host, &job.path).cloned()
}

/// Reads a job from its object.
///
/// # Errors
///
/// What is wrong with the object.
pub fn read(object: &Object) -> Result<(Job, Progress), serde_json::Error> {
    let job = serde_json::from_str(object.spec.get())?;
    let progress: Option<Progress> = serde_json::from_str(object.status.get())?;
    Ok((job, progress.unwrap_or_default()))
}

/// Puts a job into memory and, unless it is settled, begins to run it.
pub fn hold(node: &Rc<Node>, job: Job, progress: Progress, revision: u64) -> Rc<Held> {
    let id = job.id.clone();
    let attempts = route_of(node, &job).map_or(ATTEMPTS, |route| route.attempts);
    let sheet = Sheet::new(job, progress, attempts);
    let is_frozen = sheet.is_settled();
    let held = Rc::new(Held {
        sheet: RefCell::new(sheet),
        revision: Cell::new(revision),
        changed: Notify::new(),
        dirty: Notify::new(),
        oldest: Cell::new(None),
        ended: CancellationToken::new(),
        released: CancellationToken::new(),
        is_frozen,
    });
    node.board.cells.borrow_mut().insert(id, held.clone());
    if !is_frozen {
        spawn_local(write_all(node.clone(), held.clone()));
        announce(node, &held);
        node.board.wake();
    }
    held
}

/// This instance no longer holds the job: its runs stop.
pub fn release(node: &Node, held: &Held) {
    held.released.cancel();
    let id = held.sheet.borrow().job().id.clone();
    node.board.cells.borrow_mut().remove(&id);
    held.changed.notify_waiters();
}

fn standing(node: &Node, held: &Held) -> Standing {
    let sheet = held.sheet.borrow();
    Standing {
        job: sheet.job().id.clone(),
        holder: node.as_holder(),
        data_centre: node.data_centre().clone(),
        revision: held.revision.get(),
        route: route_of(node, sheet.job()).map_or_else(String::new, |route| route.name),
        waiting_tokens: sheet.waiting_tokens(),
        is_settled: sheet.is_settled(),
    }
}

/// Tells all others how a job stands, together with what else is to be told soon.
pub fn announce(node: &Rc<Node>, held: &Held) {
    let standing = standing(node, held);
    let is_first = {
        let mut outbox = node.board.outbox.borrow_mut();
        outbox.insert(standing.job.clone(), standing);
        outbox.len() == 1
    };
    if !is_first {
        return;
    }
    let node = node.clone();
    spawn_local(async move {
        tokio::time::sleep(TELL).await;
        let standings = std::mem::take(&mut *node.board.outbox.borrow_mut());
        node.tell_all(&Ask::Standings(standings.into_values().collect()));
    });
}

/// Has two other instances know of a job before its submitter is answered, so
/// that it is missed at once if this instance is lost in the next moment. Without
/// an answer from them it is found by a look through all jobs, later.
pub async fn tell_witnesses(node: &Rc<Node>, held: &Held) {
    let now = Instant::now();
    let mut members = node.others();
    members.retain(|member| !node.is_shunned(member.peer, now));
    // One far and one near, where there are such.
    let near = |member: &Member| member.data_centre == *node.data_centre();
    let id = held.sheet.borrow().job().id.clone();
    members.sort_by_key(|member| hash::weight(id.as_bytes(), member.id));
    let witnesses =
        [members.iter().find(|member| !near(member)), members.iter().find(|member| near(member))];
    let ask = Ask::Standings(vec![standing(node, held)]);
    let tell = |witness: Option<&Member>| {
        let (node, ask) = (node.clone(), ask.clone());
        let address = witness.map(|member| member.peer);
        async move {
            match address {
                Some(address) => node.ask(address, &ask, WITNESS).await.is_ok(),
                None => false,
            }
        }
    };
    let (far, near) = tokio::join!(tell(witnesses[0]), tell(witnesses[1]));
    if !far && !near {
        slog::info!(node.log, "job without witness"; "job" => id, "members" => members.len());
    }
}

/// How jobs stand that are known here.
pub fn directory(node: &Node, is_open_only: bool) -> Vec<Standing> {
    let cells = node.board.cells.borrow();
    let own = cells.values().filter(|held| !held.is_frozen).map(|held| standing(node, held));
    let directory = node.board.directory.borrow();
    let others = directory.values().filter(|standing| !cells.contains_key(&standing.job));
    let all = own.chain(others.cloned());
    all.filter(|standing| !(is_open_only && standing.is_settled)).collect()
}

/// A number that two instances share if they know the same open jobs and holders.
pub fn digest(node: &Node) -> u64 {
    let standings = directory(node, true);
    let one = |standing: &Standing| hash::weight(standing.job.as_bytes(), standing.holder.instance);
    standings.iter().map(one).fold(0, u64::wrapping_add)
}

/// Learns from another instance how jobs stand, after a start.
pub async fn learn(node: &Rc<Node>) {
    loop {
        for member in node.others() {
            if learn_from(node, member.peer, false).await {
                return;
            }
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Learns how jobs stand from one instance; `false` when it didn't answer.
pub async fn learn_from(node: &Rc<Node>, address: SocketAddr, is_open_only: bool) -> bool {
    let ask = Ask::Directory(is_open_only);
    let reply = node.ask(address, &ask, super::peers::PING_TIMEOUT).await;
    let Ok(super::message::Reply::Standings(standings)) = reply else {
        return false;
    };
    slog::info!(node.log, "jobs learnt"; "from" => %address, "jobs" => standings.len(),
        "open_only" => is_open_only);
    standings.into_iter().for_each(|standing| on_standing(node, standing));
    true
}

/// Writes what happens to a job until nothing is left to write.
async fn write_all(node: Rc<Node>, held: Rc<Held>) {
    let mut verified = Instant::now();
    let mut looked = Instant::now();
    loop {
        tokio::select! {
            () = held.dirty.notified() => {}
            () = tokio::time::sleep(LOOK) => {}
            () = held.released.cancelled() => return,
        }
        if looked.elapsed() >= FROZEN {
            verify(&node, &held).await;
        }
        looked = Instant::now();
        held.sheet.borrow_mut().on_time(millis());
        if verified.elapsed() >= VERIFY_EVERY && node.is_isolated() {
            verified = Instant::now();
            verify(&node, &held).await;
        }
        while is_write_due(&held, Instant::now()) {
            if !write(&node, &held).await {
                let pause = node.store.back_in(Instant::now()).max(WRITE_PAUSE);
                tokio::time::sleep(pause).await;
            }
            if held.released.is_cancelled() {
                return;
            }
        }
        if held.sheet.borrow().is_settled() {
            let sheet = held.sheet.borrow();
            slog::info!(node.log, "job settled"; "job" => &sheet.job().id,
                "results" => sheet.listed().len(), "items" => sheet.job().items.len(),
                "ended" => sheet.is_ended(),
                "age_ms" => millis().saturating_sub(sheet.job().accepted));
            drop(sheet);
            announce(&node, &held);
            return;
        }
    }
}

fn is_write_due(held: &Held, now: Instant) -> bool {
    let sheet = held.sheet.borrow();
    if sheet.draft().is_none() {
        return false;
    }
    let is_end = sheet.is_ended() && !sheet.is_end_durable();
    let is_near = millis() + BEFORE_DUE.as_millis() as u64 >= sheet.job().due;
    let waited = held.oldest.get().map(|at| now.saturating_duration_since(at));
    is_end || is_near || sheet.is_done() || waited.is_some_and(|waited| waited >= GATHER)
}

/// One write of a job's progress; `false` when it has to be tried again later.
pub async fn write(node: &Rc<Node>, held: &Rc<Held>) -> bool {
    let (id, draft) = {
        let sheet = held.sheet.borrow();
        (sheet.job().id.clone(), sheet.snapshot())
    };
    let revision = held.revision.get();
    let result = node.store.set_status(job::KIND, &id, revision, &draft).await;
    match result {
        Ok(object) => {
            on_durable(node, held, &draft, object.revision);
            true
        }
        Err(Fault::Conflict(found)) => {
            let found = match found {
                Some(object) => Ok(Some(*object)),
                None => node.store.get(job::KIND, &id).await,
            };
            match found {
                Ok(Some(object)) => on_found(node, held, &draft, &object),
                Ok(None) => release(node, held),
                Err(fault) => {
                    slog::info!(node.log, "job not read"; "job" => &id, "fault" => %fault);
                    return false;
                }
            }
            true
        }
        Err(Fault::Missing) => {
            slog::warn!(node.log, "job is gone"; "job" => &id, "revision" => revision);
            release(node, held);
            true
        }
        Err(fault) => {
            slog::info!(node.log, "job not written"; "job" => &id, "fault" => %fault,
                "revision" => revision);
            false
        }
    }
}

fn on_durable(node: &Rc<Node>, held: &Rc<Held>, draft: &Progress, revision: u64) {
    held.revision.set(revision);
    held.sheet.borrow_mut().on_durable(draft);
    let fresh = held.sheet.borrow().fresh();
    held.oldest.set((fresh > 0).then(Instant::now));
    slog::info!(node.log, "results durable"; "job" => &held.sheet.borrow().job().id,
        "results" => draft.outcomes.len(), "revision" => revision, "ended" => draft.ended);
    held.changed.notify_waiters();
    announce(node, held);
}

/// The object isn't as it was: an earlier write of ours was done after all, or
/// another instance has written.
fn on_found(node: &Rc<Node>, held: &Rc<Held>, draft: &Progress, object: &Object) {
    let progress = match read(object) {
        Ok((_, progress)) => progress,
        Err(error) => {
            slog::error!(node.log, "job not understood"; "job" => &object.name,
                "revision" => object.revision, "error" => %error);
            return release(node, held);
        }
    };
    if progress == *draft {
        return on_durable(node, held, draft, object.revision);
    }
    held.revision.set(object.revision);
    held.sheet.borrow_mut().on_overtaken(progress);
    let holder = held.sheet.borrow().holder();
    held.changed.notify_waiters();
    if holder.instance != node.id() {
        slog::info!(node.log, "job overtaken"; "job" => &object.name,
            "holder" => format!("{:x}", holder.instance), "revision" => object.revision);
        release(node, held);
    }
}

/// Hands items to slots until `stop`.
pub async fn run(node: Rc<Node>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = node.board.work.notified() => {}
            () = tokio::time::sleep(LOOK) => {}
            () = stop.cancelled() => return,
        }
        if node.is_stopping() {
            continue;
        }
        for service in services(&node) {
            let registry = node.registry.borrow();
            let of_service = registry.usable().filter(|target| target.service == service);
            let places: BTreeSet<String> = of_service.map(|t| t.data_centre.clone()).collect();
            drop(registry);
            for place in places {
                let key = (place, service.clone());
                if node.board.filling.borrow_mut().insert(key.clone()) {
                    spawn_local(fill(node.clone(), key.0, key.1, stop.clone()));
                }
            }
        }
    }
}

/// Services that items wait for.
fn services(node: &Node) -> HashSet<ServiceId> {
    let cells = node.board.cells.borrow();
    let held = cells.values().filter(|held| held.sheet.borrow().runnable() > 0);
    held.filter_map(|held| service_of(node, &held.sheet.borrow())).collect()
}

fn service_of(node: &Node, sheet: &Sheet) -> Option<ServiceId> {
    let job = sheet.job();
    let draw = hash::of(job.id.as_bytes());
    route_of(node, job)?.service(draw).cloned()
}

/// Held jobs with items that wait for the service, the most urgent first.
fn waiting(node: &Node, service: &str) -> Vec<Rc<Held>> {
    let cells = node.board.cells.borrow();
    let fits = |held: &&Rc<Held>| {
        let sheet = held.sheet.borrow();
        sheet.runnable() > 0 && service_of(node, &sheet).as_deref() == Some(service)
    };
    let mut held: Vec<Rc<Held>> = cells.values().filter(fits).cloned().collect();
    held.sort_by_key(|held| held.sheet.borrow().job().due);
    held
}

/// Gets slots of one data centre for one service as long as items wait.
async fn fill(node: Rc<Node>, place: String, service: ServiceId, stop: CancellationToken) {
    while !stop.is_cancelled() && !node.is_stopping() {
        let waiting = waiting(&node, &service);
        let Some(first) = waiting.first() else {
            break;
        };
        let due = first.sheet.borrow().job().due.saturating_sub(millis());
        let runnable: usize = waiting.iter().map(|held| held.sheet.borrow().runnable()).sum();
        drop(waiting);
        let most = runnable.min(MOST_SLOTS);
        let due = Duration::from_millis(due);
        let leases = account::acquire_batch(&node, &place, &service, due, most, SLOT_WAIT).await;
        match leases {
            Some(leases) => leases.into_iter().for_each(|lease| start(&node, &service, lease)),
            None => tokio::time::sleep(SLOT_PAUSE).await,
        }
    }
    node.board.filling.borrow_mut().remove(&(place, service));
}

/// Runs the most urgent item on a slot; without one, the slot goes back.
fn start(node: &Rc<Node>, service: &str, lease: Lease) {
    if node.is_stopping() {
        return;
    }
    for held in waiting(node, service) {
        let item = held.sheet.borrow_mut().start_next(millis());
        if let Some(item) = item {
            spawn_local(run_item(node.clone(), held, item, lease));
            return;
        }
    }
}

/// How a run of an item ended.
enum Ended {
    Complete,
    Failed(Failure),
    /// It goes on later, where it stopped.
    Stopped(End, String),
}

async fn run_item(node: Rc<Node>, held: Rc<Held>, item: Item, lease: Lease) {
    let mut partial = held.sheet.borrow().partial(&item.id);
    let before = partial.texts.len();
    let began = Instant::now();
    let target = lease.grant.target.clone();
    let ended = tokio::select! {
        ended = attempt(&node, &held, &item, &lease, &mut partial) => ended,
        () = lease.stop.cancelled() => Ended::Stopped(End::Unused, String::from("revoked")),
        () = held.released.cancelled() => Ended::Stopped(End::Unused, String::from("released")),
        () = held.ended.cancelled() => Ended::Stopped(End::Unused, String::from("job ended")),
    };
    let mut lease = lease;
    let made = partial.texts.len() - before.min(partial.texts.len());
    if made > 1 {
        lease.report.pace = Some(began.elapsed() / made as u32);
    }
    let (how, fault) = match &ended {
        Ended::Complete => ("complete", String::new()),
        Ended::Failed(failure) => ("failed", format!("{failure:?}")),
        Ended::Stopped(_, fault) => ("stopped", fault.clone()),
    };
    slog::info!(node.log, "item run"; "item" => &item.id,
        "job" => &held.sheet.borrow().job().id, "target" => target, "how" => how,
        "fault" => &fault, "events" => partial.texts.len(), "resumed_at" => before,
        "ran_ms" => began.elapsed().as_millis() as u64);
    let mut pause = Duration::ZERO;
    match ended {
        Ended::Complete => {
            lease.end(End::Good);
            let text = partial.texts.join("\n");
            let outcome = Outcome { item: item.id.clone(), is_complete: true, text };
            held.sheet.borrow_mut().on_done(&item.id, outcome);
        }
        Ended::Failed(failure) => {
            lease.end(End::Good);
            held.sheet.borrow_mut().on_failed(&item.id, failure);
        }
        Ended::Stopped(end, _) => {
            lease.end(end);
            if end != End::Unused {
                pause = ITEM_PAUSE;
            }
            held.sheet.borrow_mut().on_stopped(&item.id, partial);
        }
    }
    held.wake();
    tokio::time::sleep(pause).await;
    node.board.wake();
}

async fn attempt(
    node: &Rc<Node>,
    held: &Held,
    item: &Item,
    lease: &Lease,
    partial: &mut Partial,
) -> Ended {
    let host = held.sheet.borrow().job().host.clone();
    let request = match request(&host, item, lease, partial) {
        Ok(request) => request,
        Err(fault) => {
            slog::warn!(node.log, "item can't be sent"; "item" => &item.id, "fault" => &fault);
            return Ended::Failed(Failure::Impossible);
        }
    };
    let sent = node.targets.send(lease.grant.address, request);
    let mut exchange = match tokio::time::timeout(SILENCE, sent).await {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(Unsent::NotSent(fault))) => return Ended::Stopped(End::Silent, fault),
        Ok(Err(Unsent::Lost(fault))) => return Ended::Stopped(End::Broken, fault),
        Err(_) => return Ended::Stopped(End::Silent, String::from("no answer in time")),
    };
    let head = exchange.head();
    if is_not_run(head) {
        return Ended::Stopped(End::Refused, format!("turned away with {}", head.status));
    }
    if !is_own(&head.headers, &item.id) {
        return Ended::Stopped(End::Broken, String::from("an answer to another request"));
    }
    let status = head.status;
    if status.is_success() {
        return take_events(&mut exchange, partial).await;
    }
    // Reading the rest keeps the connection.
    let rest = exchange.whole(MOST_BODY).await;
    slog::info!(node.log, "item failed"; "item" => &item.id, "status" => status.as_u16(),
        "target" => &lease.grant.target, "whole" => rest.is_ok());
    match status {
        StatusCode::UNPROCESSABLE_ENTITY => Ended::Failed(Failure::Impossible),
        StatusCode::INTERNAL_SERVER_ERROR => Ended::Failed(Failure::Failed),
        _ => Ended::Stopped(End::Broken, format!("answered with {status}")),
    }
}

async fn take_events(exchange: &mut Exchange, partial: &mut Partial) -> Ended {
    let broken = |fault: &str| Ended::Stopped(End::Broken, fault.to_owned());
    let mut splitter = Splitter::default();
    loop {
        let piece = match tokio::time::timeout(SILENCE, exchange.next()).await {
            Err(_) => return Ended::Stopped(End::Silent, String::from("silent")),
            Ok(Err(fault)) => return broken(&fault),
            Ok(Ok(None)) if !splitter.is_empty() => return broken("ended within an event"),
            Ok(Ok(None)) => return Ended::Complete,
            Ok(Ok(Some(piece))) => piece,
        };
        if !splitter.push(&piece) {
            return broken("an event is too long");
        }
        while let Some(event) = splitter.next_event() {
            let is_known = match (event.id, partial.last_event) {
                (Some(id), Some(last)) => id <= last,
                _ => false,
            };
            if is_known {
                continue;
            }
            partial.last_event = event.id.or(partial.last_event);
            partial.texts.extend(event.data());
        }
    }
}

fn request(
    host: &str,
    item: &Item,
    lease: &Lease,
    partial: &Partial,
) -> Result<Request<Full<Bytes>>, String> {
    let body = job::body_of(&item.body)?;
    let mut builder = Request::post(&item.path);
    for (name, value) in &item.headers {
        builder = builder.header(name, value);
    }
    builder = builder.header("host", host);
    builder = builder.header(header::REQUEST_ID, &item.id);
    builder = builder.header(header::TARGET, &lease.grant.target);
    if let Some(last) = partial.last_event {
        builder = builder.header(header::LAST_EVENT, last.to_string());
    }
    builder.body(Full::new(body)).map_err(|error| error.to_string())
}

/// Gives all jobs to other instances, with what their runs have made.
pub async fn hand_over(node: &Rc<Node>) {
    let cells: Vec<Rc<Held>> = node.board.cells.borrow().values().cloned().collect();
    let open: Vec<Rc<Held>> =
        cells.into_iter().filter(|h| !h.sheet.borrow().is_settled()).collect();
    for held in &open {
        held.released.cancel();
    }
    // The runs put down what they have made.
    tokio::task::yield_now().await;
    tokio::time::sleep(Duration::from_millis(5)).await;
    for held in open {
        let is_fresh = held.sheet.borrow().draft().is_some();
        if is_fresh && !write(node, &held).await {
            slog::warn!(node.log, "results not written before the stop";
                "job" => &held.sheet.borrow().job().id);
        }
        let (id, partials) = {
            let sheet = held.sheet.borrow();
            (sheet.job().id.clone(), sheet.partials().clone())
        };
        node.board.cells.borrow_mut().remove(&id);
        takeover::pass(node, &id, partials).await;
    }
}
