//! Stand-in of an engine as the users' platform runs them: it admits requests in
//! the order in which they arrive, streams numbered events, resumes them, and
//! says when it did not run a request.

use crate::serve::Process;
use bytes::Bytes;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{Semaphore, mpsc};
use transport::http::{self, BodyStream, RequestHead, Response, Service};

const MAX_BODY_BYTES: usize = 8 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
const HANG_TIME: Duration = Duration::from_secs(3_600);
/// Headers of the platform that a runner reads or sets.
const REQUEST_ID: &str = "x-gatespool-request-id";
const DEADLINE_MS: &str = "x-gatespool-deadline-ms";
const EXPECTED_TARGET: &str = "x-gatespool-expect-instance";
const NOT_RUN: &str = "x-gatespool-not-run";
const SERVER_STAMP: &str = "x-gatespool-server-stamp";

/// What a runner is like.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its id.
    pub id: String,
    /// Requests that it works on at once.
    pub slots: usize,
    /// Requests that may wait besides.
    pub queue_size: usize,
    /// Time to the first event.
    pub first_event_delay: Duration,
    /// Time between events.
    pub event_interval: Duration,
    /// Events of one answer.
    pub event_count: u64,
    /// Time until it is back after a crash.
    pub restart_delay: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            id: String::from("runner"),
            slots: 4,
            queue_size: 12,
            first_event_delay: Duration::from_millis(10),
            event_interval: Duration::from_millis(5),
            event_count: 10,
            restart_delay: Duration::from_secs(3_600),
        }
    }
}

/// How a runner misbehaves.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// This many requests are run and break off inside an event.
    pub interrupted: u32,
    /// This many requests are run and answered under another id.
    pub wrong_id: u32,
    /// Requests are taken and never answered.
    pub unresponsive: bool,
    /// Every request is turned away as not run.
    pub rejects_all: bool,
}

/// One run, from the runner's own record.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the request.
    pub id: String,
    /// Path of the request.
    pub path: String,
    /// The event after which it went on.
    pub last_event_id: Option<u64>,
    /// Time that its sender said was left.
    pub remaining: Option<Duration>,
    /// When it arrived.
    pub arrived: Instant,
    /// When its first token was due: how long it waited is the difference.
    pub started: Instant,
    /// Whether it came to its end.
    pub is_complete: bool,
}

#[derive(Default)]
struct State {
    faults: Faults,
    runs: Vec<Run>,
    failing_ids: HashMap<String, u16>,
    failing_suffix: Option<(String, u16)>,
    crash_path: Option<String>,
    event_count: Option<u64>,
}

/// The runner.
#[derive(Clone)]
pub struct Runner {
    config: Config,
    process: Process,
    state: Arc<Mutex<State>>,
    slots: Arc<Semaphore>,
    admission: Arc<Semaphore>,
}

impl Runner {
    /// An idle runner.
    pub fn new(config: Config) -> Runner {
        Runner {
            slots: Arc::new(Semaphore::new(config.slots)),
            admission: Arc::new(Semaphore::new(config.slots + config.queue_size)),
            state: Arc::default(),
            process: Process { restart_delay: config.restart_delay, ..Process::default() },
            config,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the faults from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Requests with this id fail with `status` each time they run.
    pub fn fail_id(&self, id: &str, status: u16) {
        self.lock().failing_ids.insert(id.to_owned(), status);
    }

    /// Requests whose id ends so fail with `status` each time they run.
    pub fn fail_suffix(&self, suffix: &str, status: u16) {
        self.lock().failing_suffix = Some((suffix.to_owned(), status));
    }

    /// Requests whose path begins so crash the runner once it has begun to run them.
    pub fn crash_on_path(&self, prefix: &str) {
        self.lock().crash_path = Some(prefix.to_owned());
    }

    /// How its process crashes and starts again.
    pub fn process(&self) -> Process {
        self.process.clone()
    }

    /// From now on, answers have this many events.
    pub fn set_event_count(&self, event_count: u64) {
        self.lock().event_count = Some(event_count);
    }

    /// What it ran.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// The data of all events of an answer to `id`, in order.
    pub fn text(id: &str, event_count: u64) -> String {
        let data: Vec<String> = (1..=event_count).map(|n| format!("{id}-{n}")).collect();
        data.join("\n")
    }

    fn rejection(&self, head: &RequestHead) -> Option<Response> {
        let expected = head.header(EXPECTED_TARGET);
        if !expected.is_empty() && expected != self.config.id {
            return Some(http::bytes(421, "text/plain", Bytes::new()));
        }
        if self.lock().faults.rejects_all {
            let mut response = http::bytes(503, "text/plain", Bytes::new());
            http::set_header(&mut response, NOT_RUN, "1");
            return Some(response);
        }
        None
    }

    async fn run(&self, head: &RequestHead) -> Response {
        let Ok(admitted) = self.admission.clone().try_acquire_owned() else {
            let mut response = http::bytes(503, "text/plain", Bytes::new());
            http::set_header(&mut response, NOT_RUN, "1");
            return response;
        };
        let arrived = Instant::now();
        let Ok(slot) = self.slots.clone().acquire_owned().await else {
            return http::bytes(500, "text/plain", Bytes::new());
        };
        let id = head.header(REQUEST_ID).to_owned();
        let last_event_id = head.header("last-event-id").parse().ok();
        let (run_index, is_interrupted, wrong_id, failure_status, will_crash) = {
            let mut state = self.lock();
            let started = Instant::now();
            let path = head.path.clone();
            let remaining = head.header(DEADLINE_MS).parse().ok().map(Duration::from_millis);
            let run = Run {
                id: id.clone(),
                path,
                last_event_id,
                remaining,
                arrived,
                started,
                is_complete: false,
            };
            state.runs.push(run);
            let is_interrupted = state.faults.interrupted > 0;
            state.faults.interrupted = state.faults.interrupted.saturating_sub(1);
            let wrong_id = state.faults.wrong_id > 0;
            state.faults.wrong_id = state.faults.wrong_id.saturating_sub(1);
            let by_suffix = state.failing_suffix.as_ref().filter(|(end, _)| id.ends_with(end));
            let failure_status =
                state.failing_ids.get(&id).copied().or(by_suffix.map(|(_, status)| *status));
            let will_crash =
                state.crash_path.as_ref().is_some_and(|path| head.path.starts_with(path));
            (state.runs.len() - 1, is_interrupted, wrong_id, failure_status, will_crash)
        };
        tokio::time::sleep(self.config.first_event_delay).await;
        let echoed = if wrong_id { "another" } else { id.as_str() };
        let mut response = match failure_status {
            Some(status) => http::bytes(status, "text/plain", Bytes::from_static(b"failed")),
            None => {
                let (sender, pieces) = mpsc::channel(4);
                let runner = self.clone();
                let id = id.clone();
                drop(tokio::spawn(async move {
                    if will_crash {
                        tokio::time::sleep(runner.config.first_event_delay).await;
                        runner.process.crash.notify_one();
                        std::future::pending::<()>().await;
                    }
                    runner
                        .stream_events(&id, last_event_id, is_interrupted, run_index, sender)
                        .await;
                    drop((admitted, slot));
                }));
                http::stream(200, "text/event-stream", pieces)
            }
        };
        http::set_header(&mut response, REQUEST_ID, echoed);
        http::set_header(&mut response, SERVER_STAMP, &format!("{}-{id}", self.config.id));
        response
    }

    async fn stream_events(
        &self,
        id: &str,
        last_event_id: Option<u64>,
        is_interrupted: bool,
        run_index: usize,
        sender: mpsc::Sender<Result<Bytes, String>>,
    ) {
        let from = last_event_id.map_or(1, |id| id + 1);
        let event_count = self.lock().event_count.unwrap_or(self.config.event_count);
        for n in from..=event_count {
            let event = format!("id: {n}\ndata: {id}-{n}\n\n");
            if is_interrupted && n >= from + 2 {
                let half = Bytes::from(event.as_bytes()[..event.len() / 2].to_vec());
                let _closed = sender.send(Ok(half)).await;
                let _closed = sender.send(Err(String::from("cut"))).await;
                return;
            }
            tokio::select! {
                sent = sender.send(Ok(Bytes::from(event))) => if sent.is_err() { return },
                () = sender.closed() => return,
            }
            tokio::select! {
                () = tokio::time::sleep(self.config.event_interval) => {}
                () = sender.closed() => return,
            }
        }
        if let Some(run) = self.lock().runs.get_mut(run_index) {
            run.is_complete = true;
        }
    }
}

impl Service for Runner {
    async fn call<B: BodyStream>(&self, head: RequestHead, mut body: B) -> Response {
        if http::read_body(&mut body, MAX_BODY_BYTES, BODY_TIMEOUT).await.is_err() {
            return http::bytes(400, "text/plain", Bytes::new());
        }
        if self.lock().faults.unresponsive {
            tokio::time::sleep(HANG_TIME).await;
        }
        match self.rejection(&head) {
            Some(response) => response,
            None => self.run(&head).await,
        }
    }
}
