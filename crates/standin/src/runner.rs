//! Stand-in for an engine run by the platform: admits requests in order of arrival, streams
//! numbered events, resumes streams, and marks requests that it did not run.

mod config;
mod events;

pub use config::Config;

use crate::prompt_memory::{PromptMemory, Tokens};
use crate::serve::Process;
use bytes::Bytes;
use events::{EventStream, RunEnd, event_data, versioned_event_data};
use hyper::Version;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{Semaphore, watch};
use transport::body;
use transport::http::{self, BodyStream, RequestHead, Response, Service};

/// Path of the health check, which states the id of the current start.
const HEALTH_PATH: &str = "/healthz";
const MAX_BODY_BYTES: usize = 8 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
const HANG_TIME: Duration = Duration::from_secs(3_600);
const REQUEST_ID: &str = "x-gatespool-request-id";
const DEADLINE_MS: &str = "x-gatespool-deadline-ms";
const EXPECTED_TARGET: &str = "x-gatespool-expect-instance";
const WORKSPACE: &str = "x-gatespool-tenant";
const TARGET_ID: &str = "x-gatespool-instance-id";
const NOT_RUN: &str = "x-gatespool-not-run";
const MODEL: &str = "x-gatespool-model";
const PROMPT_PREFIX: &str = "x-gatespool-prompt-prefix";
const SERVER_STAMP: &str = "x-gatespool-server-stamp";

/// Injected faults; none by default.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Number of responses to truncate inside an event.
    pub interrupted: u32,
    /// Number of responses to send with the id of another request.
    pub wrong_id: u32,
    /// Accepts requests without responding.
    pub unresponsive: bool,
    /// Rejects every request as not run.
    pub rejects_all: bool,
}

/// What a runner doesn't write while it is silent. It goes on afterwards as if nothing had happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    /// Anything.
    Everything,
    /// Events; heads of responses are written.
    Events,
    /// The second half of an event, and all that follows.
    HalfEvents,
}

/// Record of a run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Request id.
    pub id: String,
    /// Request path.
    pub path: String,
    /// Workspace that the sender named; empty if it named none.
    pub workspace: String,
    /// `Authorization` header; empty if there was none.
    pub authorization: String,
    /// Event after which it resumed; `None` for a new stream.
    pub last_event_id: Option<u64>,
    /// Version of the runner's software.
    pub software: String,
    /// Remaining time, as the sender stated it.
    pub remaining: Option<Duration>,
    /// Arrival, when it was queued.
    pub arrived: Instant,
    /// When it got a slot.
    pub started: Instant,
    /// When its last event was sent or its caller was gone; `None` while it runs.
    pub ended: Option<Instant>,
    /// Whether all events were sent.
    pub is_complete: bool,
}

/// What a start of a runner is known by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Target name.
    pub id: String,
    /// Version of its software.
    pub software: String,
}

#[derive(Default)]
struct State {
    /// `None` until [`Runner::restart_as`].
    identity: Option<Identity>,
    faults: Faults,
    runs: Vec<Run>,
    /// Number of requests that were received and have no head of a response.
    open_calls: usize,
    failing_ids: HashMap<String, u16>,
    failing_suffixes: Vec<(String, u16)>,
    crash_path: Option<String>,
    crash_part: Option<String>,
    event_count: Option<u64>,
    /// What is added to the data of each event, by request id.
    paddings: HashMap<String, String>,
    memory: PromptMemory,
}

/// Handle to a runner; clones share its state.
#[derive(Clone)]
pub struct Runner {
    config: Config,
    process: Process,
    state: Arc<Mutex<State>>,
    silence: Arc<watch::Sender<Option<Silence>>>,
    slots: Arc<Semaphore>,
    admission: Arc<Semaphore>,
}

impl Runner {
    /// Creates an idle runner.
    pub fn new(config: Config) -> Runner {
        Runner {
            slots: Arc::new(Semaphore::new(config.slots)),
            admission: Arc::new(Semaphore::new(config.slots + config.queue_size)),
            state: Arc::default(),
            silence: Arc::new(watch::Sender::new(None)),
            process: Process { restart_delay: config.restart_delay, ..Process::default() },
            config,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What the current start is known by.
    pub fn identity(&self) -> Identity {
        let Config { id, software, .. } = &self.config;
        let first = || Identity { id: id.clone(), software: software.clone() };
        self.lock().identity.clone().unwrap_or_else(first)
    }

    /// Serves further requests as another start. Its user breaks the connections of the earlier one.
    pub fn restart_as(&self, identity: Identity) {
        self.lock().identity = Some(identity);
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Starts or ends a silence.
    pub fn set_silence(&self, silence: Option<Silence>) {
        self.silence.send_replace(silence);
    }

    /// Waits for the end of a silence that `holds` what is to be written.
    async fn wait_while_silent(&self, holds: impl Fn(Silence) -> bool) {
        let mut silence = self.silence.subscribe();
        // The sender lives as long as `self`, so the wait can't fail.
        drop(silence.wait_for(|silence| !silence.is_some_and(&holds)).await);
    }

    /// Makes requests with this id fail with `status`.
    pub fn fail_id(&self, id: &str, status: u16) {
        self.lock().failing_ids.insert(id.to_owned(), status);
    }

    /// Adds `padding` to the data of each event of the responses to this id.
    pub fn pad_events(&self, id: &str, padding: &str) {
        self.lock().paddings.insert(id.to_owned(), padding.to_owned());
    }

    /// Makes requests whose id has this suffix fail with `status`.
    pub fn fail_suffix(&self, suffix: &str, status: u16) {
        self.lock().failing_suffixes.push((suffix.to_owned(), status));
    }

    /// Makes requests whose path has this prefix crash the runner while they run.
    pub fn crash_on_path(&self, prefix: &str) {
        self.lock().crash_path = Some(prefix.to_owned());
    }

    /// Makes requests whose prompt has the part with this id crash the runner while they run.
    pub fn crash_on_part(&self, id: &str) {
        self.lock().crash_part = Some(id.to_owned());
    }

    /// Its process, for [`crate::serve::start_process`] and for crashing it.
    pub fn process(&self) -> Process {
        self.process.clone()
    }

    /// Overrides [`Config::event_count`].
    pub fn set_event_count(&self, event_count: u64) {
        self.lock().event_count = Some(event_count);
    }

    /// Requests that got a slot, in that order.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Whether it has responded to all requests that it received, in full.
    pub fn is_idle(&self) -> bool {
        let state = self.lock();
        state.open_calls == 0 && state.runs.iter().all(|run| run.ended.is_some())
    }

    /// Tokens of prompts that it read and that it had kept.
    pub fn tokens(&self) -> Tokens {
        self.lock().memory.tokens()
    }

    /// Number of times that it read a part of a prompt, whatever the parts before it.
    pub fn read_count(&self, part: &str) -> usize {
        self.lock().memory.read_count(part)
    }

    /// Joined data of all events of the response to `id`.
    pub fn text(id: &str, event_count: u64) -> String {
        let data: Vec<String> = (1..=event_count).map(|n| event_data(id, n)).collect();
        data.join("\n")
    }

    /// As [`Runner::text`], of a runner with [`Config::names_software`].
    pub fn text_by(software: &str, id: &str, event_count: u64) -> String {
        let data = (1..=event_count).map(|n| versioned_event_data(id, n, software));
        data.collect::<Vec<String>>().join("\n")
    }

    fn rejection(&self, head: &RequestHead) -> Option<Response> {
        let expected = head.header(EXPECTED_TARGET);
        if !expected.is_empty() && expected != self.identity().id {
            return Some(http::bytes(421, "text/plain", Bytes::new()));
        }
        self.lock().faults.rejects_all.then(not_run)
    }

    /// Answers a health check, which waits for a slot or is rejected like a request.
    async fn health(&self) -> Response {
        let Ok(_admitted) = self.admission.clone().try_acquire_owned() else {
            return not_run();
        };
        let _slot = self.slots.acquire().await;
        let mut response = http::bytes(200, "text/plain", Bytes::new());
        http::set_header(&mut response, TARGET_ID, &self.identity().id);
        response
    }

    async fn run(&self, head: &RequestHead) -> Response {
        let Ok(admitted) = self.admission.clone().try_acquire_owned() else {
            return not_run();
        };
        let arrived = Instant::now();
        // A later start doesn't run what this one has queued.
        let Identity { id: runner_id, software } = self.identity();
        let Ok(slot) = self.slots.clone().acquire_owned().await else {
            return http::bytes(500, "text/plain", Bytes::new());
        };
        let id = head.header(REQUEST_ID).to_owned();
        let last_event_id = head.header("last-event-id").parse().ok();
        let (run_index, is_interrupted, wrong_id, failure_status, will_crash, unread) = {
            let mut state = self.lock();
            let started = Instant::now();
            let path = head.path.clone();
            let remaining = head.header(DEADLINE_MS).parse().ok().map(Duration::from_millis);
            let run = Run {
                id: id.clone(),
                path,
                workspace: head.header(WORKSPACE).to_owned(),
                authorization: head.header("authorization").to_owned(),
                last_event_id,
                software: software.clone(),
                remaining,
                arrived,
                started,
                ended: None,
                is_complete: false,
            };
            state.runs.push(run);
            let is_interrupted = state.faults.interrupted > 0;
            state.faults.interrupted = state.faults.interrupted.saturating_sub(1);
            let wrong_id = state.faults.wrong_id > 0;
            state.faults.wrong_id = state.faults.wrong_id.saturating_sub(1);
            let by_suffix = state.failing_suffixes.iter().find(|(end, _)| id.ends_with(end));
            let failure_status =
                state.failing_ids.get(&id).copied().or(by_suffix.map(|(_, status)| *status));
            let (model, prompt) = (head.header(MODEL), head.header(PROMPT_PREFIX));
            let has_crash_path =
                state.crash_path.as_ref().is_some_and(|path| head.path.starts_with(path));
            let has_crash_part =
                state.crash_part.as_ref().is_some_and(|part| has_part(prompt, part));
            let will_crash = has_crash_path || has_crash_part;
            let unread = state.memory.read(model, prompt, self.config.memory_tokens);
            let run_index = state.runs.len() - 1;
            (run_index, is_interrupted, wrong_id, failure_status, will_crash, unread)
        };
        let end = RunEnd { runner: self.clone(), run_index };
        let reading = self.config.token_time.mul_f64(unread as f64);
        let first_event_delay = self.config.first_event_delay + reading;
        tokio::time::sleep(first_event_delay.mul_f64(self.config.slowness)).await;
        self.wait_while_silent(|silence| silence == Silence::Everything).await;
        let echoed = if wrong_id { "another" } else { id.as_str() };
        let mut response = match failure_status {
            Some(status) => http::bytes(status, "text/plain", Bytes::from_static(b"failed")),
            None => {
                let (tx, rx) = body::channel(4);
                let runner = self.clone();
                let id = id.clone();
                drop(tokio::spawn(async move {
                    if will_crash {
                        tokio::time::sleep(runner.config.first_event_delay).await;
                        runner.process.crash.notify_one();
                        std::future::pending::<()>().await;
                    }
                    let stream = EventStream { id, software, last_event_id, is_interrupted };
                    let is_complete = runner.send_events(stream, &tx).await;
                    if let Some(run) = runner.lock().runs.get_mut(run_index) {
                        run.is_complete = is_complete;
                    }
                    drop(end);
                    if is_complete {
                        tx.finish().await;
                    }
                    drop((admitted, slot));
                }));
                http::stream(200, "text/event-stream", rx)
            }
        };
        if self.config.is_unframed {
            *response.version_mut() = Version::HTTP_10;
        }
        http::set_header(&mut response, REQUEST_ID, echoed);
        http::set_header(&mut response, SERVER_STAMP, &format!("{runner_id}-{id}"));
        response
    }
}

/// Whether one of the parts of a prompt, each as id and tokens, has this id.
fn has_part(prompt: &str, id: &str) -> bool {
    prompt.split(',').filter_map(|part| part.split_once(':')).any(|(known, _)| known == id)
}

/// Response to a request that was not run.
fn not_run() -> Response {
    let mut response = http::bytes(503, "text/plain", Bytes::new());
    http::set_header(&mut response, NOT_RUN, "1");
    response
}

/// A request that has no head of a response, until dropped.
struct OpenCall(Runner);

impl OpenCall {
    fn new(runner: &Runner) -> OpenCall {
        runner.lock().open_calls += 1;
        OpenCall(runner.clone())
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.lock().open_calls -= 1;
    }
}

impl Service for Runner {
    async fn call<B: BodyStream>(&self, head: RequestHead, body: B) -> Response {
        let mut response = self.respond(&head, body).await;
        let id = head.header(REQUEST_ID);
        if !id.is_empty() && !response.headers().contains_key(REQUEST_ID) {
            http::set_header(&mut response, REQUEST_ID, id);
        }
        response
    }
}

impl Runner {
    async fn respond<B: BodyStream>(&self, head: &RequestHead, mut body: B) -> Response {
        let _open_call = OpenCall::new(self);
        if http::read_body(&mut body, MAX_BODY_BYTES, BODY_TIMEOUT).await.is_err() {
            return http::bytes(400, "text/plain", Bytes::new());
        }
        if self.lock().faults.unresponsive {
            tokio::time::sleep(HANG_TIME).await;
        }
        self.wait_while_silent(|silence| silence == Silence::Everything).await;
        match self.rejection(head) {
            Some(response) => response,
            None if head.path == HEALTH_PATH => self.health().await,
            None => self.run(head).await,
        }
    }
}
