//! Calls of batch jobs: submission, results, an item's body, the end.

use super::front::{Call, refusal, set, text};
use super::holder::{self, Held};
use super::message::{Acceptance, Ask, Reply};
use super::node::{Node, millis};
use super::takeover;
use bytes::Bytes;
use hyper::{HeaderMap, Response};
use platform::store::Fault;
use platform::{header, job};
use protocol::routing::Route;
use protocol::{Error, Kind};
use state::progress::{Job, Outcome, Progress};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use transport::listen::Body;

/// Longest time for which a read of results is held, whatever the caller says.
const LONGEST_HOLD: Duration = Duration::from_secs(5);
/// Time for a holder to answer, on top of the time for which a read is held.
const HOLDER_ANSWER: Duration = Duration::from_millis(400);
/// Longest wait for an instance that keeps a submission in our place.
const RELAY_LIMIT: Duration = Duration::from_millis(900);
/// Instances that are asked to keep a submission in our place.
const RELAYS: usize = 2;
/// Share of the caller's time that may go into finding out what became of a
/// submission whose answer was lost.
const DOUBT_SHARE: f64 = 0.4;
/// Pause before a submission is tried again whose answer was lost.
const AGAIN: Duration = Duration::from_millis(50);
/// When a caller comes back whose job didn't fit, or while the platform is away.
const COME_BACK: Duration = Duration::from_millis(500);
/// Longest wait for the end of a job to become durable.
const END_LIMIT: Duration = Duration::from_millis(2_500);
/// Tries to write an end while others write to the job.
const END_TRIES: u32 = 4;

/// Header of an answer of our own.
const CONTENT_TYPE_NAME: &str = "content-type";

/// Answers a submission.
pub async fn submit(node: &Rc<Node>, route: &Route, call: &Call) -> Response<Body> {
    let until = call.started + call.left(call.started).mul_f64(DOUBT_SHARE);
    let mut acceptance = accept(node, route, call, until).await;
    if acceptance == Acceptance::Refused && !node.is_stopping() || node.store.is_doubtful() {
        let is_open = matches!(acceptance, Acceptance::Refused | Acceptance::Unknown);
        if is_open {
            acceptance = relay(node, call, acceptance).await;
        }
    }
    slog::info!(node.log, "submission"; "job" => &call.id, "route" => &route.name,
        "acceptance" => ?acceptance, "bytes" => call.body.len(),
        "age_ms" => call.started.elapsed().as_millis() as u64);
    answer(node, &call.id, acceptance)
}

fn answer(node: &Node, id: &str, acceptance: Acceptance) -> Response<Body> {
    let refuse = |kind, message| {
        let mut error = Error::new(kind, message);
        error.retry_after = Some(COME_BACK);
        refusal(node, id, &error)
    };
    match acceptance {
        Acceptance::Accepted => text(202, "accepted"),
        Acceptance::Full => refuse(Kind::CallerLimit, "too many tokens wait on the route"),
        Acceptance::Refused => refuse(Kind::PlatformAway, "the platform is away"),
        Acceptance::Unknown => text(502, "nobody can say whether the job is kept"),
        Acceptance::Malformed => text(400, "the submission can't be understood"),
    }
}

/// A submission that another instance couldn't put on the platform.
pub async fn on_submit(
    node: &Rc<Node>,
    host: &str,
    path: &str,
    id: &str,
    body: &[u8],
) -> Acceptance {
    let Some(config) = node.config() else {
        return Acceptance::Refused;
    };
    let Some(route) = config.table.find(host, path) else {
        return Acceptance::Refused;
    };
    let now = Instant::now();
    let call = Call {
        id: id.to_owned(),
        method: hyper::Method::POST,
        target: path.to_owned(),
        host: host.to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::copy_from_slice(body),
        is_again: false,
        started: now,
        until: now + RELAY_LIMIT,
    };
    accept(node, route, &call, now + RELAY_LIMIT.mul_f64(0.8)).await
}

/// Has other instances keep a submission.
async fn relay(node: &Rc<Node>, call: &Call, acceptance: Acceptance) -> Acceptance {
    let Ok(body) = std::str::from_utf8(&call.body) else {
        return Acceptance::Malformed;
    };
    let path = call.target.split('?').next().unwrap_or_default().to_owned();
    let ask =
        Ask::Submit { host: call.host.clone(), path, job: call.id.clone(), body: body.to_owned() };
    let now = Instant::now();
    let blind = node.blind.borrow().clone();
    let mut members = node.others();
    members.retain(|member| !node.is_shunned(member.peer, now));
    let is_blind = |id: &u64| blind.get(id).is_some_and(|until| now < *until);
    // Cached: a key that is drawn anew at each comparison is no order.
    members.sort_by_cached_key(|member| (is_blind(&member.id), rand::random::<u32>()));
    let mut result = acceptance;
    for member in members.into_iter().take(RELAYS) {
        let reply = node.ask(member.peer, &ask, RELAY_LIMIT).await;
        slog::info!(node.log, "submission relayed"; "job" => &call.id, "to" => %member.peer,
            "reply" => ?reply);
        match reply {
            Ok(Reply::Submitted(Acceptance::Accepted)) => return Acceptance::Accepted,
            Ok(Reply::Submitted(Acceptance::Refused)) => {}
            Ok(Reply::Submitted(Acceptance::Full)) if result == Acceptance::Refused => {
                return Acceptance::Full;
            }
            Err(transport::peer::Fault::NotSent(_)) => {}
            Ok(_) | Err(_) => result = Acceptance::Unknown,
        }
    }
    result
}

/// Keeps a job on the platform, or finds it kept already.
async fn accept(node: &Rc<Node>, route: &Route, call: &Call, until: Instant) -> Acceptance {
    let id = &call.id;
    if node.board.cell(id).is_some() || node.board.directory.borrow().contains_key(id) {
        return Acceptance::Accepted;
    }
    let Some(terms) = route.terms else {
        return Acceptance::Malformed;
    };
    let items = match job::decode(&call.body) {
        Ok(items) if !id.is_empty() => items,
        Ok(_) => return Acceptance::Malformed,
        Err(error) => {
            slog::info!(node.log, "submission not understood"; "job" => id, "error" => error);
            return Acceptance::Malformed;
        }
    };
    let now = millis();
    let job = Job {
        id: id.clone(),
        host: call.host.clone(),
        path: call.target.split('?').next().unwrap_or_default().to_owned(),
        accepted: now,
        due: now + terms.due.as_millis() as u64,
        give_up: now + terms.give_up.as_millis() as u64,
        acceptor: node.as_holder(),
        items,
    };
    let waiting = node.board.waiting_tokens(node, &route.name);
    if terms.waiting_tokens > 0 && waiting + job.tokens() > terms.waiting_tokens {
        slog::info!(node.log, "submission doesn't fit"; "job" => id, "waiting" => waiting,
            "tokens" => job.tokens(), "most" => terms.waiting_tokens);
        return is_kept(node, id).await;
    }
    create(node, job, until).await
}

/// A job that doesn't fit may have been kept before, when it did.
async fn is_kept(node: &Rc<Node>, id: &str) -> Acceptance {
    match node.store.get(job::KIND, id).await {
        Ok(Some(_)) => Acceptance::Accepted,
        Ok(None) => Acceptance::Full,
        Err(fault) => {
            slog::info!(node.log, "job not read"; "job" => id, "fault" => %fault);
            Acceptance::Unknown
        }
    }
}

async fn create(node: &Rc<Node>, job: Job, until: Instant) -> Acceptance {
    // Once an answer was lost, the job may be kept, and a refusal would be false.
    let mut is_doubtful = false;
    loop {
        match node.store.create(job::KIND, &job.id, &job).await {
            Ok(object) => {
                let held = holder::hold(node, job, Progress::default(), object.revision);
                holder::tell_witnesses(node, &held).await;
                return Acceptance::Accepted;
            }
            Err(Fault::Conflict(_)) => {
                found(node, &job.id).await;
                return Acceptance::Accepted;
            }
            Err(Fault::Lost(fault)) => {
                slog::info!(node.log, "submission in doubt"; "job" => &job.id, "fault" => fault);
                is_doubtful = true;
            }
            Err(Fault::Away(_)) if !is_doubtful => return Acceptance::Refused,
            Err(fault) => {
                slog::info!(node.log, "submission in doubt"; "job" => &job.id,
                    "fault" => %fault);
            }
        }
        let pause = node.store.back_in(Instant::now()).max(AGAIN);
        if Instant::now() + pause >= until {
            return Acceptance::Unknown;
        }
        tokio::time::sleep(pause).await;
    }
}

/// The job is kept already: its holder, if it lives, must know.
async fn found(node: &Rc<Node>, id: &str) {
    let object = match node.store.get(job::KIND, id).await {
        Ok(Some(object)) => object,
        Ok(None) => return,
        Err(fault) => {
            slog::info!(node.log, "job not read"; "job" => id, "fault" => %fault);
            return;
        }
    };
    let Ok((job, progress)) = holder::read(&object) else {
        slog::error!(node.log, "job not understood"; "job" => id);
        return;
    };
    let keeper = progress.holder.unwrap_or(job.acceptor);
    let member = node.members.borrow().get(keeper.instance).cloned();
    match member {
        Some(member) => node.tell(member.peer, Ask::Adopt(id.to_owned(), HashMap::new())),
        // Its own, or that of an instance that is gone.
        None => {
            takeover::adopt(node, id, HashMap::new()).await;
        }
    }
}

/// Answers a call about a job.
pub async fn call(node: &Rc<Node>, call: job::Call, headers: &HeaderMap) -> Response<Body> {
    match call {
        job::Call::Results { job, from } => {
            let wait = header::millis(headers, header::WAIT).unwrap_or_default();
            results(node, &job, from, wait.min(LONGEST_HOLD)).await
        }
        job::Call::Body { job, item } => body(node, &job, &item).await,
        job::Call::End { job } => end(node, &job).await,
    }
}

async fn results(node: &Rc<Node>, id: &str, from: usize, wait: Duration) -> Response<Body> {
    match find(node, id, |id| Ask::Results(id, from, wait.as_millis() as u64), wait).await {
        Found::Here(held) => {
            let (total, outcomes) = held_results(&held, from, wait).await;
            listed(total, from, &outcomes)
        }
        Found::Reply(Reply::Results(total, outcomes)) => listed(total, from, &outcomes),
        Found::Stored(job, progress) => {
            let outcomes = progress.outcomes.get(from..).unwrap_or_default();
            listed(job.items.len(), from, outcomes)
        }
        Found::Missing => text(404, "no such job"),
        Found::Reply(_) | Found::Unknown => unsure(node, id),
    }
}

fn listed(total: usize, from: usize, outcomes: &[Outcome]) -> Response<Body> {
    let mut response = Response::new(Body::Whole(job::results(total, from, outcomes)));
    set(&mut response, CONTENT_TYPE_NAME, "application/json");
    response
}

fn unsure(node: &Node, id: &str) -> Response<Body> {
    slog::info!(node.log, "job in doubt"; "job" => id,
        "platform_away" => node.store.is_away(Instant::now()));
    let mut error = Error::new(Kind::PlatformAway, "the job can't be read now");
    error.retry_after = Some(COME_BACK);
    refusal(node, "", &error)
}

/// Results of a held job from a position on, waited for if there is none.
async fn held_results(held: &Rc<Held>, from: usize, wait: Duration) -> (usize, Vec<Outcome>) {
    let until = tokio::time::Instant::now() + wait;
    loop {
        let changed = held.changed.notified();
        {
            let sheet = held.sheet.borrow();
            let outcomes = sheet.listed().get(from..).unwrap_or_default();
            let is_over = sheet.is_ended() || held.released.is_cancelled();
            let is_all = sheet.listed().len() >= sheet.job().items.len();
            if !outcomes.is_empty() || is_over || is_all || tokio::time::Instant::now() >= until {
                return (sheet.job().items.len(), outcomes.to_vec());
            }
        }
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep_until(until) => {}
            () = held.released.cancelled() => {}
        }
    }
}

async fn body(node: &Rc<Node>, id: &str, item: &str) -> Response<Body> {
    let ask = |id| Ask::Body(id, item.to_owned());
    let found = match find(node, id, ask, Duration::ZERO).await {
        Found::Here(held) => body_in(held.sheet.borrow().job(), item),
        Found::Reply(Reply::Body(body)) => body,
        Found::Stored(job, _) => body_in(&job, item),
        Found::Missing => None,
        Found::Reply(_) | Found::Unknown => return unsure(node, id),
    };
    match found.and_then(|text| job::body_of(&text).ok()) {
        Some(bytes) => {
            let mut response = Response::new(Body::Whole(bytes));
            set(&mut response, CONTENT_TYPE_NAME, "application/octet-stream");
            response
        }
        None => text(404, "no such item"),
    }
}

fn body_in(job: &Job, item: &str) -> Option<String> {
    job.items.iter().find(|known| known.id == item).map(|known| known.body.clone())
}

async fn end(node: &Rc<Node>, id: &str) -> Response<Body> {
    match find(node, id, Ask::End, END_LIMIT).await {
        Found::Here(held) => match end_held(node, &held).await {
            true => text(200, "ended"),
            false => unsure(node, id),
        },
        Found::Reply(Reply::Done) => text(200, "ended"),
        Found::Missing => text(404, "no such job"),
        Found::Reply(_) | Found::Stored(..) | Found::Unknown => match end_stored(node, id).await {
            true => text(200, "ended"),
            false => unsure(node, id),
        },
    }
}

/// Ends a job whose holder can't be asked: on the platform, where its holder
/// finds it with its next write; whoever can be reached is told besides.
async fn end_stored(node: &Rc<Node>, id: &str) -> bool {
    for _ in 0..END_TRIES {
        let object = match node.store.get(job::KIND, id).await {
            Ok(Some(object)) => object,
            Ok(None) => return false,
            Err(fault) => {
                slog::info!(node.log, "end not written"; "job" => id, "fault" => %fault);
                return false;
            }
        };
        let Ok((_, mut progress)) = holder::read(&object) else {
            return false;
        };
        if progress.ended {
            return true;
        }
        progress.ended = true;
        let written = node.store.set_status(job::KIND, id, object.revision, &progress).await;
        slog::info!(node.log, "end written for a holder that is silent"; "job" => id,
            "revision" => object.revision, "written" => written.is_ok());
        match written {
            Ok(_) => {
                node.tell_all(&Ask::Ended(id.to_owned()));
                return true;
            }
            Err(Fault::Conflict(_) | Fault::Lost(_)) => {}
            Err(_) => return false,
        }
    }
    false
}

/// A job was ended on the platform: it stops here, if it runs here.
pub fn on_ended(node: &Node, id: &str) {
    if let Some(held) = node.board.cell(id) {
        held.sheet.borrow_mut().end();
        held.stop_runs();
        held.wake();
    }
}

/// Ends a held job; `true` once that is durable.
async fn end_held(node: &Rc<Node>, held: &Rc<Held>) -> bool {
    let until = tokio::time::Instant::now() + END_LIMIT;
    if held.sheet.borrow().is_all_listed() {
        return true; // Nothing is left that could be ended.
    }
    held.sheet.borrow_mut().end();
    slog::info!(node.log, "job ended by its submitter"; "job" => &held.sheet.borrow().job().id);
    held.stop_runs();
    held.wake();
    loop {
        let changed = held.changed.notified();
        if held.sheet.borrow().is_end_durable() {
            return true;
        }
        if held.released.is_cancelled() {
            return false;
        }
        let wait = tokio::time::timeout_at(until, changed);
        if wait.await.is_err() {
            return held.sheet.borrow().is_end_durable();
        }
    }
}

/// Where a job was found.
enum Found {
    /// In memory here.
    Here(Rc<Held>),
    /// Its holder answered.
    Reply(Reply),
    /// On the platform, while its holder can't be asked.
    Stored(Box<Job>, Box<Progress>),
    /// There is no such job.
    Missing,
    /// Nobody can say now.
    Unknown,
}

/// Finds a job: here, at its holder, or on the platform.
async fn find(node: &Rc<Node>, id: &str, ask: impl Fn(String) -> Ask, wait: Duration) -> Found {
    if let Some(held) = node.board.cell(id) {
        return Found::Here(held);
    }
    let limit = wait + HOLDER_ANSWER;
    let standing = node.board.directory.borrow().get(id).cloned();
    let mut asked = None;
    if let Some(standing) = standing {
        if let Some(reply) =
            ask_holder(node, standing.holder.instance, ask(id.to_owned()), limit).await
        {
            return Found::Reply(reply);
        }
        asked = Some(standing.holder.instance);
    }
    let object = match node.store.get(job::KIND, id).await {
        Ok(Some(object)) => object,
        Ok(None) => return Found::Missing,
        Err(fault) => {
            slog::info!(node.log, "job not read"; "job" => id, "fault" => %fault);
            return Found::Unknown;
        }
    };
    let Ok((job, progress)) = holder::read(&object) else {
        slog::error!(node.log, "job not understood"; "job" => id);
        return Found::Unknown;
    };
    let is_open = !progress.ended && progress.outcomes.len() < job.items.len();
    let keeper = progress.holder.unwrap_or(job.acceptor);
    if !is_open {
        return Found::Here(holder::hold(node, job, progress, object.revision));
    }
    if keeper.instance == node.id() {
        return match takeover::adopt(node, id, HashMap::new()).await {
            Some(held) => Found::Here(held),
            None => Found::Stored(Box::new(job), Box::new(progress)),
        };
    }
    if asked != Some(keeper.instance) {
        let reply = ask_holder(node, keeper.instance, ask(id.to_owned()), limit).await;
        if let Some(reply) = reply {
            return Found::Reply(reply);
        }
    }
    Found::Stored(Box::new(job), Box::new(progress))
}

/// The holder's reply; `None` if it can't be asked or doesn't hold the job.
async fn ask_holder(node: &Rc<Node>, holder: u64, ask: Ask, limit: Duration) -> Option<Reply> {
    let address = node.members.borrow().get(holder).map(|member| member.peer)?;
    match node.ask(address, &ask, limit).await {
        Ok(Reply::NotHere) => None,
        Ok(reply) => Some(reply),
        Err(fault) => {
            slog::info!(node.log, "holder silent"; "holder" => %address, "fault" => ?fault);
            None
        }
    }
}

/// Results for another instance.
pub async fn on_results(node: &Rc<Node>, id: &str, from: usize, wait: Duration) -> Reply {
    match node.board.cell(id) {
        Some(held) => {
            let (total, outcomes) = held_results(&held, from, wait.min(LONGEST_HOLD)).await;
            Reply::Results(total, outcomes)
        }
        None => Reply::NotHere,
    }
}

/// Body of an item for another instance.
pub fn on_body(node: &Node, id: &str, item: &str) -> Reply {
    match node.board.cell(id) {
        Some(held) => Reply::Body(body_in(held.sheet.borrow().job(), item)),
        None => Reply::NotHere,
    }
}

/// The end of a job for another instance.
pub async fn on_end(node: &Rc<Node>, id: &str) -> Reply {
    match node.board.cell(id) {
        None => Reply::NotHere,
        Some(held) if end_held(node, &held).await => Reply::Done,
        Some(_) => Reply::Away,
    }
}
