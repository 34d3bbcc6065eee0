//! One run of one item on a slot: sends it, takes its events, and says how it ended.

use crate::clock;
use crate::gateway::crash::{self, BrokenRequest, hex};
use crate::gateway::job_table::HeldJob;
use crate::gateway::leases::Lease;
use crate::gateway::node::{Node, unix_millis};
use crate::gateway::online::{belongs_to_request, is_not_run, rejection_outcome};
use crate::gateway::quarantine::{self, Admission};
use bytes::Bytes;
use coordination::hash;
use coordination::run_time::Sample;
use coordination::slots::LeaseOutcome;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use platform::{header, job};
use protocol::RequestFingerprint;
use state::progress::{Failure, Item, Outcome, PartialOutput};
use std::rc::Rc;
use std::time::Duration;
use transport::event::Splitter;
use transport::upstream::{Exchange, SendError};

/// An engine that sends nothing for this long is taken for silent. Prompts are
/// read and tokens made within tens of milliseconds; an engine that runs five
/// times slower still stays below it.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause before an item runs again whose run broke off or was turned away.
const ITEM_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest answer of a target that isn't a stream and is looked at.
const MAX_BODY_BYTES: usize = 1 << 20;

/// How a run of an item ended.
enum RunEnd {
    Completed,
    Failed(Failure),
    /// It goes on later, where it stopped.
    Stopped(LeaseOutcome, String),
}

/// Runs an item on a slot, unless it is held because it crashes its targets.
pub(super) async fn run_item(node: Rc<Node>, held: Rc<HeldJob>, item: Item, lease: Lease) {
    let mut partial = held.state.borrow().partial(&item.id);
    let before = partial.events.len();
    let began = clock::now();
    held.first_started.borrow_mut().entry(item.id.clone()).or_insert(began);
    let target = lease.grant.target.clone();
    let content = fingerprint_of(&held, &item);
    if let Admission::Held(left) = quarantine::admit(&node, || content).await {
        lease.end(LeaseOutcome::Unused);
        withhold(&node, &held, &item, left).await;
        return;
    }
    let ended = tokio::select! {
        ended = attempt(&node, &held, &item, &lease, &mut partial) => ended,
        () = lease.stop.cancelled() => RunEnd::Stopped(LeaseOutcome::Unused, String::from("revoked")),
        () = held.released.cancelled() => RunEnd::Stopped(LeaseOutcome::Unused, String::from("released")),
        () = held.ended.cancelled() => RunEnd::Stopped(LeaseOutcome::Unused, String::from("job ended")),
    };
    let mut lease = lease;
    let new_events = partial.events.len() - before.min(partial.events.len());
    if new_events > 1 {
        lease.report.event_interval = Some(clock::since(began) / new_events as u32);
    }
    let (how, fault) = match &ended {
        RunEnd::Completed => ("complete", String::new()),
        RunEnd::Failed(failure) => ("failed", format!("{failure:?}")),
        RunEnd::Stopped(_, fault) => ("stopped", fault.clone()),
    };
    slog::info!(node.log, "item run"; "item" => &item.id, "content" => hex(content),
        "job" => &held.state.borrow().job().id, "target" => target, "how" => how,
        "fault" => &fault, "events" => partial.events.len(), "resumed_at" => before,
        "registry" => lease.registry,
        "ran_ms" => clock::since(began).as_millis() as u64);
    let mut pause = Duration::ZERO;
    match ended {
        RunEnd::Completed => {
            let took =
                clock::since(held.first_started.borrow_mut().remove(&item.id).unwrap_or(began));
            let events = partial.events.len() as u32;
            lease.report.completed = lease.report.event_interval.map(|pace| Sample {
                events,
                event_interval: pace,
                elapsed: took,
            });
            if let Some(done) = lease.report.completed {
                node.jobs.run_time.borrow_mut().record(done);
            }
            lease.end(LeaseOutcome::Completed);
            let text = partial.events.join("\n");
            let outcome = Outcome { item: item.id.clone(), is_complete: true, text };
            held.state.borrow_mut().on_done(&item.id, outcome);
        }
        RunEnd::Failed(failure) => {
            // An item that has failed elsewhere says nothing of this target, and one
            // that can't be done nothing of any.
            let is_first = !held.state.borrow().has_failed(&item.id);
            let is_evidence = is_first && failure == Failure::Retryable;
            lease.end(if is_evidence { LeaseOutcome::Failed } else { LeaseOutcome::Unused });
            held.state.borrow_mut().on_failed(&item.id, failure);
        }
        RunEnd::Stopped(end, _) => {
            if end == LeaseOutcome::Interrupted {
                crash::on_interrupted(
                    &node,
                    &lease.grant,
                    BrokenRequest { id: item.id.clone(), content },
                );
            }
            lease.end(end);
            if end != LeaseOutcome::Unused {
                pause = ITEM_RETRY_DELAY;
            }
            held.state.borrow_mut().on_stopped(&item.id, partial);
        }
    }
    held.mark_dirty();
    tokio::time::sleep(pause).await;
    node.jobs.wake();
}

/// Leaves an item that crashes its targets alone for a while.
async fn withhold(node: &Rc<Node>, held: &HeldJob, item: &Item, left: Duration) {
    slog::info!(node.log, "item withheld"; "item" => &item.id,
        "job" => &held.state.borrow().job().id, "for_ms" => left.as_millis() as u64);
    let give_up = held.state.borrow().job().expires;
    held.state.borrow_mut().withhold(&item.id);
    let left = left.min(Duration::from_millis(give_up.saturating_sub(unix_millis())));
    tokio::select! {
        () = tokio::time::sleep(left) => {}
        () = held.released.cancelled() => {}
        () = held.ended.cancelled() => {}
    }
    held.state.borrow_mut().on_released(&item.id);
    node.jobs.wake();
}

/// What an item asks for, the same as for a request of its own.
fn fingerprint_of(held: &HeldJob, item: &Item) -> RequestFingerprint {
    let state = held.state.borrow();
    // A body that can't be decoded is never sent.
    let body = job::body_of(&item.body).unwrap_or_default();
    hash::request_fingerprint("POST", &state.job().host, &item.path, &body)
}

async fn attempt(
    node: &Rc<Node>,
    held: &HeldJob,
    item: &Item,
    lease: &Lease,
    partial: &mut PartialOutput,
) -> RunEnd {
    let host = held.state.borrow().job().host.clone();
    let request = match request(&host, item, lease, partial) {
        Ok(request) => request,
        Err(fault) => {
            slog::warn!(node.log, "item can't be sent"; "item" => &item.id, "fault" => &fault);
            return RunEnd::Failed(Failure::Permanent);
        }
    };
    let sent = node.targets.send(lease.grant.address, request);
    let mut exchange = match tokio::time::timeout(IDLE_TIMEOUT, sent).await {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(SendError::NotSent(fault))) => {
            return RunEnd::Stopped(LeaseOutcome::Unresponsive, fault);
        }
        Ok(Err(SendError::OutcomeUnknown(fault))) => {
            return RunEnd::Stopped(LeaseOutcome::Interrupted, fault);
        }
        Err(_) => {
            return RunEnd::Stopped(LeaseOutcome::Unresponsive, String::from("no answer in time"));
        }
    };
    let head = exchange.head();
    if is_not_run(head) {
        return RunEnd::Stopped(
            rejection_outcome(head),
            format!("turned away with {}", head.status),
        );
    }
    if !belongs_to_request(&head.headers, &item.id) {
        return RunEnd::Stopped(
            LeaseOutcome::Interrupted,
            String::from("an answer to another request"),
        );
    }
    let status = head.status;
    if status.is_success() {
        let ended = read_events(&mut exchange, partial).await;
        if matches!(ended, RunEnd::Completed) && exchange.has_body_framing() {
            quarantine::on_success(node, || fingerprint_of(held, item));
        }
        return ended;
    }
    // Reading the rest keeps the connection.
    let rest = exchange.read_to_end(MAX_BODY_BYTES).await;
    slog::info!(node.log, "item failed"; "item" => &item.id, "status" => status.as_u16(),
        "target" => &lease.grant.target, "whole" => rest.is_ok());
    match status {
        StatusCode::UNPROCESSABLE_ENTITY => RunEnd::Failed(Failure::Permanent),
        StatusCode::INTERNAL_SERVER_ERROR => RunEnd::Failed(Failure::Retryable),
        _ => RunEnd::Stopped(LeaseOutcome::Interrupted, format!("answered with {status}")),
    }
}

async fn read_events(exchange: &mut Exchange, partial: &mut PartialOutput) -> RunEnd {
    let broken = |fault: &str| RunEnd::Stopped(LeaseOutcome::Interrupted, fault.to_owned());
    let mut splitter = Splitter::default();
    loop {
        let piece = match tokio::time::timeout(IDLE_TIMEOUT, exchange.next()).await {
            Err(_) => return RunEnd::Stopped(LeaseOutcome::Unresponsive, String::from("silent")),
            Ok(Err(fault)) => return broken(&fault),
            Ok(Ok(None)) if !splitter.is_empty() => return broken("ended within an event"),
            Ok(Ok(None)) => return RunEnd::Completed,
            Ok(Ok(Some(piece))) => piece,
        };
        if !splitter.push(&piece) {
            return broken("an event is too long");
        }
        while let Some(event) = splitter.next_event() {
            let is_known = match (event.id, partial.last_event_id) {
                (Some(id), Some(last)) => id <= last,
                _ => false,
            };
            if is_known {
                continue;
            }
            partial.last_event_id = event.id.or(partial.last_event_id);
            partial.events.extend(event.data());
        }
    }
}

fn request(
    host: &str,
    item: &Item,
    lease: &Lease,
    partial: &PartialOutput,
) -> Result<Request<Full<Bytes>>, String> {
    let body = job::body_of(&item.body)?;
    let mut builder = Request::post(&item.path);
    for (name, value) in &item.headers {
        builder = builder.header(name, value);
    }
    builder = builder.header("host", host);
    builder = builder.header(header::REQUEST_ID, &item.id);
    builder = builder.header(header::TARGET, &lease.grant.target);
    if let Some(last) = partial.last_event_id {
        builder = builder.header(header::LAST_EVENT, last.to_string());
    }
    builder.body(Full::new(body)).map_err(|error| error.to_string())
}
