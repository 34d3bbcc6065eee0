//! Stand-in of an engine as the users' platform runs them: it admits requests in
//! the order in which they arrive, streams numbered events, resumes them, and
//! says when it did not run a request.

use crate::serve::Life;
use bytes::Bytes;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{Semaphore, mpsc};
use transport::http::{self, BodyStream, RequestHead, Response, Service};

const BODY_LIMIT: usize = 8 << 20;
const BODY_WAIT: Duration = Duration::from_secs(10);
const NEVER: Duration = Duration::from_secs(3_600);
/// Headers of the platform that a runner reads or sets.
const ID: &str = "x-gatespool-request-id";
const TIME_LEFT: &str = "x-gatespool-deadline-ms";
const EXPECTED: &str = "x-gatespool-expect-instance";
const NOT_RUN: &str = "x-gatespool-not-run";
const STAMP: &str = "x-gatespool-server-stamp";

/// What a runner is like.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its id.
    pub id: String,
    /// Requests that it works on at once.
    pub slots: usize,
    /// Requests that may wait besides.
    pub queue: usize,
    /// Time to the first event.
    pub first: Duration,
    /// Time between events.
    pub pace: Duration,
    /// Events of one answer.
    pub events: u64,
    /// Time until it is back after a crash.
    pub down: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            id: String::from("runner"),
            slots: 4,
            queue: 12,
            first: Duration::from_millis(10),
            pace: Duration::from_millis(5),
            events: 10,
            down: Duration::from_secs(3_600),
        }
    }
}

/// How a runner misbehaves.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// This many requests are run and break off inside an event.
    pub cut: u32,
    /// This many requests are run and answered under another id.
    pub foreign: u32,
    /// Requests are taken and never answered.
    pub silent: bool,
    /// Every request is turned away as not run.
    pub full: bool,
}

/// One run, from the runner's own record.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the request.
    pub id: String,
    /// Path of the request.
    pub path: String,
    /// The event after which it went on.
    pub after: Option<u64>,
    /// Time that its sender said was left.
    pub left: Option<Duration>,
    /// When it arrived.
    pub arrived: Instant,
    /// When its first token was due: how long it waited is the difference.
    pub began: Instant,
    /// Whether it came to its end.
    pub is_whole: bool,
}

#[derive(Default)]
struct State {
    faults: Faults,
    runs: Vec<Run>,
    failing: HashMap<String, u16>,
    failing_suffix: Option<(String, u16)>,
    deadly: Option<String>,
    events: Option<u64>,
}

/// The runner.
#[derive(Clone)]
pub struct Runner {
    config: Config,
    life: Life,
    state: Arc<Mutex<State>>,
    slots: Arc<Semaphore>,
    places: Arc<Semaphore>,
}

impl Runner {
    /// An idle runner.
    pub fn new(config: Config) -> Runner {
        Runner {
            slots: Arc::new(Semaphore::new(config.slots)),
            places: Arc::new(Semaphore::new(config.slots + config.queue)),
            state: Arc::default(),
            life: Life { down: config.down, ..Life::default() },
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
    pub fn fail(&self, id: &str, status: u16) {
        self.lock().failing.insert(id.to_owned(), status);
    }

    /// Requests whose id ends so fail with `status` each time they run.
    pub fn fail_all(&self, suffix: &str, status: u16) {
        self.lock().failing_suffix = Some((suffix.to_owned(), status));
    }

    /// Requests whose path begins so crash the runner once it has begun to run them.
    pub fn die_of(&self, prefix: &str) {
        self.lock().deadly = Some(prefix.to_owned());
    }

    /// How its process crashes and starts again.
    pub fn life(&self) -> Life {
        self.life.clone()
    }

    /// From now on, answers have this many events.
    pub fn set_events(&self, events: u64) {
        self.lock().events = Some(events);
    }

    /// What it ran.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// The data of all events of an answer to `id`, in order.
    pub fn text(id: &str, events: u64) -> String {
        let data: Vec<String> = (1..=events).map(|n| format!("{id}-{n}")).collect();
        data.join("\n")
    }

    fn turn_away(&self, head: &RequestHead) -> Option<Response> {
        let expected = head.header(EXPECTED);
        if !expected.is_empty() && expected != self.config.id {
            return Some(http::bytes(421, "text/plain", Bytes::new()));
        }
        if self.lock().faults.full {
            let mut response = http::bytes(503, "text/plain", Bytes::new());
            http::set_header(&mut response, NOT_RUN, "1");
            return Some(response);
        }
        None
    }

    async fn run(&self, head: &RequestHead) -> Response {
        let Ok(place) = self.places.clone().try_acquire_owned() else {
            let mut response = http::bytes(503, "text/plain", Bytes::new());
            http::set_header(&mut response, NOT_RUN, "1");
            return response;
        };
        let arrived = Instant::now();
        let Ok(slot) = self.slots.clone().acquire_owned().await else {
            return http::bytes(500, "text/plain", Bytes::new());
        };
        let id = head.header(ID).to_owned();
        let after = head.header("last-event-id").parse().ok();
        let (number, cut, foreign, failing, deadly) = {
            let mut state = self.lock();
            let began = Instant::now();
            let path = head.path.clone();
            let left = head.header(TIME_LEFT).parse().ok().map(Duration::from_millis);
            let run = Run { id: id.clone(), path, after, left, arrived, began, is_whole: false };
            state.runs.push(run);
            let cut = state.faults.cut > 0;
            state.faults.cut = state.faults.cut.saturating_sub(1);
            let foreign = state.faults.foreign > 0;
            state.faults.foreign = state.faults.foreign.saturating_sub(1);
            let by_suffix = state.failing_suffix.as_ref().filter(|(end, _)| id.ends_with(end));
            let failing = state.failing.get(&id).copied().or(by_suffix.map(|(_, status)| *status));
            let deadly = state.deadly.as_ref().is_some_and(|path| head.path.starts_with(path));
            (state.runs.len() - 1, cut, foreign, failing, deadly)
        };
        tokio::time::sleep(self.config.first).await;
        let echoed = if foreign { "another" } else { id.as_str() };
        let mut response = match failing {
            Some(status) => http::bytes(status, "text/plain", Bytes::from_static(b"failed")),
            None => {
                let (sender, pieces) = mpsc::channel(4);
                let runner = self.clone();
                let id = id.clone();
                drop(tokio::spawn(async move {
                    if deadly {
                        tokio::time::sleep(runner.config.first).await;
                        runner.life.crash.notify_one();
                        std::future::pending::<()>().await;
                    }
                    runner.events(&id, after, cut, number, sender).await;
                    drop((place, slot));
                }));
                http::stream(200, "text/event-stream", pieces)
            }
        };
        http::set_header(&mut response, ID, echoed);
        http::set_header(&mut response, STAMP, &format!("{}-{id}", self.config.id));
        response
    }

    async fn events(
        &self,
        id: &str,
        after: Option<u64>,
        cut: bool,
        number: usize,
        sender: mpsc::Sender<Result<Bytes, String>>,
    ) {
        let from = after.map_or(1, |after| after + 1);
        let events = self.lock().events.unwrap_or(self.config.events);
        for n in from..=events {
            let event = format!("id: {n}\ndata: {id}-{n}\n\n");
            if cut && n >= from + 2 {
                let half = Bytes::from(event.as_bytes()[..event.len() / 2].to_vec());
                let _gone = sender.send(Ok(half)).await;
                let _gone = sender.send(Err(String::from("cut"))).await;
                return;
            }
            tokio::select! {
                sent = sender.send(Ok(Bytes::from(event))) => if sent.is_err() { return },
                () = sender.closed() => return,
            }
            tokio::select! {
                () = tokio::time::sleep(self.config.pace) => {}
                () = sender.closed() => return,
            }
        }
        if let Some(run) = self.lock().runs.get_mut(number) {
            run.is_whole = true;
        }
    }
}

impl Service for Runner {
    async fn call<B: BodyStream>(&self, head: RequestHead, mut body: B) -> Response {
        if http::read_body(&mut body, BODY_LIMIT, BODY_WAIT).await.is_err() {
            return http::bytes(400, "text/plain", Bytes::new());
        }
        if self.lock().faults.silent {
            tokio::time::sleep(NEVER).await;
        }
        match self.turn_away(&head) {
            Some(response) => response,
            None => self.run(&head).await,
        }
    }
}
