//! A single run of an item on a slot.

use crate::clock;
use crate::gateway::crash::{self, BrokenRequest, hex};
use crate::gateway::held_job::HeldJob;
use crate::gateway::leases::Lease;
use crate::gateway::node::{Node, unix_millis};
use crate::gateway::origins;
use crate::gateway::quarantine;
use crate::gateway::target_body::TargetBody;
use crate::gateway::target_head::{self, Verdict};
use crate::gateway::target_process::TargetProcess;
use crate::gateway::workload;
use bytes::Bytes;
use coordination::quarantine::Contents;
use coordination::run_time::Sample;
use coordination::slots::LeaseOutcome;
use coordination::{continuation, hash, prompt};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use platform::{header, job};
use protocol::routing::Origin;
use protocol::{PartFingerprint, RequestFingerprint, ServiceId};
use state::progress::{Failure, Item, Job, Outcome, PartialOutput};
use std::rc::Rc;
use std::time::{Duration, Instant};
use transport::budget::Budget;
use transport::event::EventSplitter;
use transport::upstream::SendError;

/// Time without data after which a target counts as unresponsive. Leaves room for targets
/// that run several times slower than normal.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without an event after which a target counts as unresponsive although it sends something,
/// such as comments.
const MAX_EVENT_WAIT: Duration = Duration::from_secs(10);
/// Memory of an event besides its data: its place in the list, and what the allocator adds.
const EVENT_OVERHEAD_BYTES: usize = 64;
/// Maximum share of an object's bytes for the text of a result; the rest is for its id, field names,
/// and what the platform adds.
const OUTPUT_BYTES_RATIO: f64 = 31.0 / 32.0;
/// Why a run ends whose output finds no room.
const NO_ROOM: &str = "no room for the output";
/// Largest error body that is read to keep the connection reusable, and the longest time for it.
const MAX_BODY_BYTES: usize = 1 << 20;
const BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// How a run ended.
enum RunEnd {
    Completed,
    Failed(Failure),
    /// There is no memory for more output, which isn't the target's fault; a later run resumes.
    NoRoom,
    /// Interrupted; a later run resumes after the last event received.
    Stopped {
        outcome: LeaseOutcome,
        /// How long the target had sent nothing, if that is why.
        silence: Option<Duration>,
        error: String,
    },
}

impl RunEnd {
    fn stopped(outcome: LeaseOutcome, error: impl Into<String>) -> RunEnd {
        RunEnd::Stopped { outcome, silence: None, error: error.into() }
    }

    /// The target has sent nothing of use for this long.
    fn silent(silence: Duration) -> RunEnd {
        RunEnd::Stopped {
            outcome: LeaseOutcome::Unresponsive,
            silence: Some(silence),
            error: String::from("idle"),
        }
    }
}

/// When the events of a run arrived.
#[derive(Clone, Copy, Debug, Default)]
struct EventTimes {
    first: Option<Instant>,
    last: Option<Instant>,
    count: u32,
}

impl EventTimes {
    fn on_event(&mut self, now: Instant) {
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.count += 1;
    }

    fn first_since(&self, started: Instant) -> Option<Duration> {
        Some(self.first?.saturating_duration_since(started))
    }

    /// Mean time between two events; `None` with fewer than two.
    fn interval(&self) -> Option<Duration> {
        let gaps = self.count.checked_sub(1).filter(|gaps| *gaps > 0)?;
        Some(self.last?.saturating_duration_since(self.first?) / gaps)
    }
}

/// Whether a run on a leased slot may go on with the output of earlier runs: only targets of one
/// software version generate one item.
pub(super) fn can_continue(
    node: &Node,
    service: &str,
    lease: &Lease,
    partial: &PartialOutput,
) -> bool {
    let software = lease.software.as_deref();
    // The allocator may know a target of another version earlier than this instance.
    if software.is_none() && !lease.states_no_software() {
        return false;
    }
    let has_versions = origins::has_versions(node, service);
    continuation::allows(partial.origin.as_ref(), service, software, has_versions)
}

/// What generated the output of a run that has ended.
fn origin(service: ServiceId, lease: &Lease) -> Origin {
    Origin { service, software: lease.version_of_run() }
}

/// Runs an item of `service`. Items never crash targets, so they are not subject to the quarantine.
pub(super) async fn run_item(
    node: Rc<Node>,
    held: Rc<HeldJob>,
    item: Item,
    service: ServiceId,
    lease: Lease,
) {
    let mut partial = held.state.borrow().partial(&item.id);
    if !can_continue(&node, &service, &lease, &partial) {
        partial = PartialOutput::default();
    }
    let events_before = partial.events.len();
    let started = clock::now();
    held.first_started.borrow_mut().entry(item.id.clone()).or_insert(started);
    let target = lease.grant.target.clone();
    let fingerprint = fingerprint_of(&held, &item);
    let mut times = EventTimes::default();
    let run_end = tokio::select! {
        biased;
        () = std::future::ready(()), if !lease.is_usable(clock::now()) =>
            RunEnd::stopped(LeaseOutcome::Unused, "target is unusable"),
        run_end = attempt(&node, &service, &held, &item, &lease, &mut partial, &mut times) => run_end,
        () = lease.stop.cancelled() =>
            RunEnd::stopped(LeaseOutcome::Unused, "revoked"),
        () = held.released.cancelled() =>
            RunEnd::stopped(LeaseOutcome::Unused, "released"),
        () = held.ended.cancelled() =>
            RunEnd::stopped(LeaseOutcome::Unused, "job ended"),
    };
    let mut lease = lease;
    let new_events = partial.events.len() - events_before.min(partial.events.len());
    let slot_interval = (new_events > 1).then(|| clock::since(started) / new_events as u32);
    lease.report.first_event = times.first_since(started);
    lease.report.event_interval = times.interval();
    let (how, error) = match &run_end {
        RunEnd::Completed => ("complete", String::new()),
        RunEnd::Failed(failure) => ("failed", format!("{failure:?}")),
        RunEnd::NoRoom => ("stopped", String::from(NO_ROOM)),
        RunEnd::Stopped { error, .. } => ("stopped", error.clone()),
    };
    slog::info!(node.log, "item run"; "item" => &item.id, "content" => hex(fingerprint),
        "job" => &held.state.borrow().job().id, "target" => target, "how" => how,
        "fault" => &error, "events" => partial.events.len(), "resumed_at" => events_before,
        "software" => &lease.software,
        "registry" => lease.registry,
        "ran_ms" => clock::since(started).as_millis() as u64);
    let mut delay = Duration::ZERO;
    match run_end {
        RunEnd::Completed => {
            let total =
                clock::since(held.first_started.borrow_mut().remove(&item.id).unwrap_or(started));
            let events = partial.events.len() as u32;
            lease.report.completed = slot_interval.map(|interval| Sample {
                events,
                event_interval: interval,
                elapsed: total,
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
            // A failure counts against the target only if the item hasn't failed on another
            // one and isn't permanently invalid.
            let is_first = !held.state.borrow().has_failed(&item.id);
            let is_evidence = is_first && failure == Failure::Retryable;
            lease.end(if is_evidence { LeaseOutcome::Failed } else { LeaseOutcome::Unused });
            held.state.borrow_mut().on_failed(&item.id, failure);
        }
        RunEnd::NoRoom => {
            partial.origin = Some(origin(service, &lease));
            lease.end(LeaseOutcome::Unused);
            delay = held.next_retry_delay(&item.id, LeaseOutcome::Rejected);
            held.state.borrow_mut().on_stopped(&item.id, partial);
        }
        RunEnd::Stopped { outcome, silence, .. } => {
            if outcome == LeaseOutcome::Interrupted {
                let broken = BrokenRequest {
                    id: item.id.clone(),
                    contents: Contents { request: fingerprint, parts: shared_parts(&item) },
                    has_event: times.count > 0,
                    is_item: true,
                };
                crash::on_interrupted(&node, &lease.grant, broken);
            }
            partial.origin = Some(origin(service, &lease));
            lease.report.silence = silence;
            lease.end(outcome);
            if outcome != LeaseOutcome::Unused {
                delay = held.next_retry_delay(&item.id, outcome);
            }
            held.state.borrow_mut().on_stopped(&item.id, partial);
        }
    }
    held.mark_dirty();
    if !delay.is_zero() {
        withhold(&held, &item, delay).await;
    }
    node.jobs.wake();
}

/// Delays the next run of an item, to the end of its job at most.
async fn withhold(held: &HeldJob, item: &Item, delay: Duration) {
    let expires = held.state.borrow().job().expires;
    held.state.borrow_mut().withhold(&item.id);
    let delay = delay.min(Duration::from_millis(expires.saturating_sub(unix_millis())));
    tokio::select! {
        () = tokio::time::sleep(delay) => {}
        () = held.released.cancelled() => {}
        () = held.ended.cancelled() => {}
    }
    held.state.borrow_mut().on_released(&item.id);
}

/// Fingerprint of the equivalent online request.
fn fingerprint_of(held: &HeldJob, item: &Item) -> RequestFingerprint {
    let state = held.state.borrow();
    let body = job::decode_body(&item.body).unwrap_or_default();
    hash::request_fingerprint("POST", &state.job().host, &item.path, &body)
}

/// Parts of an item's prompt that other requests may have too.
fn shared_parts(item: &Item) -> Vec<PartFingerprint> {
    prompt::shared_parts(header::prompt_parts(workload::item_header(item, header::PROMPT_PREFIX)))
}

async fn attempt(
    node: &Rc<Node>,
    service: &str,
    held: &HeldJob,
    item: &Item,
    lease: &Lease,
    partial: &mut PartialOutput,
    times: &mut EventTimes,
) -> RunEnd {
    let request = request(held.state.borrow().job(), item, lease, partial);
    let request = match request {
        Ok(request) => request,
        Err(error) => {
            slog::warn!(node.log, "invalid item request"; "item" => &item.id, "fault" => &error);
            return RunEnd::Failed(Failure::Permanent);
        }
    };
    let sent = node.targets.send(lease.grant.address, request);
    let mut exchange = match tokio::time::timeout(IDLE_TIMEOUT, sent).await {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(SendError::NotSent(error) | SendError::Refused(error))) => {
            return RunEnd::stopped(LeaseOutcome::Unresponsive, error);
        }
        Ok(Err(SendError::Foreign(error))) => {
            node.metrics.count("response.foreign");
            return RunEnd::stopped(LeaseOutcome::Interrupted, error);
        }
        Ok(Err(SendError::OutcomeUnknown(error))) => {
            return RunEnd::stopped(LeaseOutcome::Interrupted, error);
        }
        Err(_) => {
            return RunEnd::silent(IDLE_TIMEOUT);
        }
    };
    let head = exchange.head();
    if let Verdict::NotRun(outcome) = target_head::classify(head) {
        return RunEnd::stopped(outcome, format!("rejected with status {}", head.status));
    }
    let status = head.status;
    // Other successes come without the output, or with a part of it.
    if status == StatusCode::OK {
        let is_resumed = partial.last_event_id.is_some();
        let process = TargetProcess::of(&exchange, node, service, &lease.grant);
        let mut body = TargetBody::of_events(exchange, process).resumed(is_resumed);
        let max_bytes = (node.settings.max_value_bytes as f64 * OUTPUT_BYTES_RATIO) as usize;
        let run_end = read_events(&mut body, partial, times, max_bytes, &node.bodies).await;
        if times.count > 0 {
            quarantine::on_answered(node, &shared_parts(item));
        }
        return run_end;
    }
    // Reading the rest keeps the connection reusable.
    let rest = tokio::time::timeout(BODY_TIMEOUT, exchange.read_to_end(MAX_BODY_BYTES)).await;
    slog::info!(node.log, "item failed"; "item" => &item.id, "status" => status.as_u16(),
        "target" => &lease.grant.target, "whole" => matches!(rest, Ok(Ok(_))));
    match status {
        StatusCode::UNPROCESSABLE_ENTITY => RunEnd::Failed(Failure::Permanent),
        StatusCode::INTERNAL_SERVER_ERROR => RunEnd::Failed(Failure::Retryable),
        _ => RunEnd::stopped(LeaseOutcome::Interrupted, format!("unexpected status {status}")),
    }
}

/// Reads the events of a run to its end. An output that the platform couldn't hold is dropped; one
/// that finds no memory goes on in a later run.
async fn read_events(
    body: &mut TargetBody,
    partial: &mut PartialOutput,
    times: &mut EventTimes,
    max_output_bytes: usize,
    bodies: &Budget,
) -> RunEnd {
    let interrupted = |error: String| RunEnd::stopped(LeaseOutcome::Interrupted, error);
    let mut splitter = EventSplitter::default();
    let mut progress_at = clock::now();
    let mut output_bytes: usize = partial.events.iter().map(|data| encoded_bytes(data)).sum();
    let data_bytes: usize = partial.events.iter().map(String::len).sum();
    let mut memory_bytes = data_bytes + partial.events.len() * EVENT_OVERHEAD_BYTES;
    let mut reservation = bodies.reserve();
    loop {
        if clock::since(progress_at) >= MAX_EVENT_WAIT {
            return RunEnd::silent(MAX_EVENT_WAIT);
        }
        let chunk = match tokio::time::timeout(IDLE_TIMEOUT, body.next_chunk()).await {
            Err(_) => return RunEnd::silent(IDLE_TIMEOUT),
            Ok(Err(truncation)) => return interrupted(truncation.to_string()),
            Ok(Ok(None)) => return RunEnd::Completed,
            Ok(Ok(Some(chunk))) => chunk,
        };
        if !splitter.push(&chunk) {
            return interrupted(String::from("event exceeds the size limit"));
        }
        while let Some(event) = splitter.next_event() {
            if event.is_comment() {
                continue;
            }
            let now = clock::now();
            times.on_event(now);
            let is_duplicate = match (event.id, partial.last_event_id) {
                (Some(id), Some(last)) => id <= last,
                _ => false,
            };
            if is_duplicate {
                continue;
            }
            let Some(data) = event.data() else {
                partial.last_event_id = event.id.or(partial.last_event_id);
                continue;
            };
            progress_at = now;
            output_bytes += encoded_bytes(&data);
            memory_bytes += data.len() + EVENT_OVERHEAD_BYTES;
            if output_bytes > max_output_bytes {
                *partial = PartialOutput::default();
                return interrupted(String::from(NO_ROOM));
            }
            if !reservation.grow(memory_bytes) {
                return RunEnd::NoRoom;
            }
            partial.last_event_id = event.id.or(partial.last_event_id);
            partial.events.push(data);
        }
    }
}

/// Size of an event's data in a stored result, with the line feed behind it.
fn encoded_bytes(data: &str) -> usize {
    // Control characters are encoded as an escape of two bytes or of six.
    let escape = |byte: u8| match byte {
        b'"' | b'\\' | b'\n' | b'\r' | b'\t' | 0x08 | 0x0c => 1,
        0..0x20 => 5,
        _ => 0,
    };
    data.len() + data.bytes().map(escape).sum::<usize>() + r"\n".len()
}

fn request(
    job: &Job,
    item: &Item,
    lease: &Lease,
    partial: &PartialOutput,
) -> Result<Request<Full<Bytes>>, String> {
    let body = job::decode_body(&item.body)?;
    let mut builder = Request::post(&item.path);
    for (name, value) in item.headers.iter().filter(|(name, _)| !header::is_reserved(name)) {
        builder = builder.header(name, value);
    }
    builder = builder.header("host", &job.host);
    if let Some(workspace) = &job.workspace {
        builder = builder.header(header::WORKSPACE, workspace);
    }
    builder = builder.header(header::REQUEST_ID, &item.id);
    builder = builder.header(header::EXPECTED_TARGET, &lease.grant.target);
    if let Some(source) = lease.grant.copy_from {
        builder = builder.header(header::COPY_PROMPT_FROM, source.to_string());
    }
    if let Some(last) = partial.last_event_id {
        builder = builder.header(header::LAST_EVENT_ID, last.to_string());
    }
    builder.body(Full::new(body)).map_err(|error| error.to_string())
}
