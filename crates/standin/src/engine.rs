//! Stand-in of a model engine: bounded slots, priorities without preemption,
//! late load reports, a limited prefix cache, resume, orders.

use crate::text;
use bytes::Bytes;
use hyper::Method;
use protocol::chat::{self, DONE};
use protocol::{Error, Kind, header};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use transport::http::{self, BodyStream, RequestHead, Response, Service};
use transport::target::{LEAVING, LoadReport, Order};

mod events;
mod slot;
mod types;

use events::{collect, event};
use slot::Waiter;
pub use types::{Config, Control, Run};

const BODY_LIMIT: usize = 1 << 20;
const BODY_WAIT: Duration = Duration::from_secs(10);

/// A prompt with this in it fails on every engine.
pub const POISON: &str = "[poison]";

#[derive(Default)]
struct State {
    running: [u32; 2],
    waiters: Vec<Waiter>,
    events: u64,
    runs: Vec<Run>,
    reports: VecDeque<(Instant, LoadReport)>,
    prefixes: VecDeque<u64>,
    control: Control,
    fence: u64,
    version: String,
    adapters: Vec<String>,
    busy: bool,
    orders: Vec<(u64, Order)>,
    refused_orders: u64,
    hits: u64,
}

/// A model engine.
#[derive(Clone)]
pub struct Engine {
    config: Config,
    state: Arc<Mutex<State>>,
}

impl Engine {
    /// An engine that runs nothing yet.
    pub fn new(config: Config) -> Engine {
        let state = State { version: config.version.clone(), ..State::default() };
        Engine { config, state: Arc::new(Mutex::new(state)) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets faults.
    pub fn control(&self, control: Control) {
        let known = &mut self.lock().control;
        known.leaving = control.leaving.or(known.leaving);
        known.slow = control.slow.or(known.slow);
        known.frozen = control.frozen.or(known.frozen);
        known.cut = control.cut.or(known.cut);
        known.cut_prefix = control.cut_prefix.or(known.cut_prefix.take());
        known.failing = control.failing.or(known.failing);
        known.token_ms = control.token_ms.or(known.token_ms);
    }

    /// Everything that got a slot, in order of service.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Orders carried out, with their fencing numbers.
    pub fn orders(&self) -> Vec<(u64, Order)> {
        self.lock().orders.clone()
    }

    /// Orders refused for an old fencing number.
    pub fn refused_orders(&self) -> u64 {
        self.lock().refused_orders
    }

    /// Requests that run now: online and batch.
    pub fn running(&self) -> [u32; 2] {
        self.lock().running
    }

    /// Requests whose prefix was cached.
    pub fn hits(&self) -> u64 {
        self.lock().hits
    }

    /// Model version loaded.
    pub fn version(&self) -> String {
        self.lock().version.clone()
    }

    fn report(&self) -> LoadReport {
        let mut state = self.lock();
        let now = Instant::now();
        let current = state.current();
        state.reports.push_back((now, current.clone()));
        let old = |at: Instant| now.saturating_duration_since(at) >= self.config.lag;
        while state.reports.len() > 1 && state.reports.get(1).is_some_and(|(at, _)| old(*at)) {
            state.reports.pop_front();
        }
        let mut report = state.reports.front().map_or(current.clone(), |(_, r)| r.clone());
        report.version = current.version;
        report.adapters = current.adapters;
        report.busy = current.busy;
        report
    }

    fn pace(&self) -> (Duration, f64, bool) {
        let state = self.lock();
        let token = state.control.token_ms.map_or(self.config.token, Duration::from_millis);
        (token, state.control.slow.unwrap_or(1.0), state.control.frozen == Some(true))
    }

    async fn sleep(&self, time: Duration) {
        let (_, slow, _) = self.pace();
        tokio::time::sleep(time.mul_f64(slow)).await;
        while self.pace().2 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn prefill(&self, prompt: &str) -> Duration {
        let hash = coordination::route::prefix("", prompt);
        let mut state = self.lock();
        let known = state.prefixes.iter().position(|p| *p == hash);
        if let Some(place) = known {
            state.prefixes.remove(place);
        }
        state.prefixes.push_back(hash);
        if state.prefixes.len() > self.config.cache {
            state.prefixes.pop_front();
        }
        state.hits += u64::from(known.is_some());
        if known.is_some() { self.config.prefill / 4 } else { self.config.prefill }
    }

    async fn chat<B: BodyStream>(&self, head: RequestHead, mut body: B) -> Response {
        let request = match http::read_body(&mut body, BODY_LIMIT, BODY_WAIT).await {
            Ok(bytes) => serde_json::from_slice::<chat::Request>(&bytes),
            Err(error) => return http::error(&error),
        };
        let Ok(request) = request else {
            return http::error(&Error::new(Kind::Malformed, "not a chat request"));
        };
        if let Some(refusal) = self.refuse() {
            return refusal;
        }
        let prompt = request.text();
        if prompt.contains(POISON) {
            self.note_failed(&head, &prompt);
            return http::error(&Error::new(Kind::Internal, "this prompt can't be answered"));
        }
        let (pieces, receiver) = mpsc::channel(16);
        let engine = self.clone();
        let stream = request.stream;
        tokio::spawn(async move { engine.generate(head, request, prompt, pieces).await });
        if stream {
            return http::stream(200, "text/event-stream", receiver);
        }
        collect(receiver).await
    }

    fn refuse(&self) -> Option<Response> {
        let state = self.lock();
        if state.control.failing == Some(true) {
            return Some(http::error(&Error::new(Kind::Internal, "failing")));
        }
        let leaving = state.control.leaving == Some(true);
        if !leaving && !state.busy && !state.version.is_empty() {
            return None;
        }
        let mut response = http::error(&Error::new(Kind::Draining, "no new work"));
        if leaving {
            http::set_header(&mut response, LEAVING, "true");
        }
        Some(response)
    }

    fn note_failed(&self, head: &RequestHead, prompt: &str) {
        let mut state = self.lock();
        let run = state.run(head, prompt, 0);
        state.runs.push(run);
    }

    async fn generate(
        self,
        head: RequestHead,
        request: chat::Request,
        prompt: String,
        pieces: mpsc::Sender<Result<Bytes, String>>,
    ) {
        let priority = if head.header(header::PRIORITY) == "1" { 1 } else { 0 };
        let arrival = Instant::now();
        let waited = tokio::select! {
            waited = self.slot(priority) => waited,
            () = pieces.closed() => return,
        };
        let Some((slot, arrived)) = waited else {
            return;
        };
        let index = {
            let mut state = self.lock();
            let mut run = state.run(&head, &prompt, arrived);
            run.waited_us = arrival.elapsed().as_micros() as u64;
            state.runs.push(run);
            state.runs.len() - 1
        };
        tokio::select! {
            () = self.stream(index, &request, &prompt, &pieces) => {}
            () = pieces.closed() => {}
        }
        drop(slot);
    }

    async fn stream(
        &self,
        index: usize,
        request: &chat::Request,
        prompt: &str,
        pieces: &mpsc::Sender<Result<Bytes, String>>,
    ) {
        self.sleep(self.prefill(prompt)).await;
        let from = request.resume.as_ref().map_or(0, |resume| resume.tokens);
        let most = request.max_tokens.unwrap_or_else(|| text::length(prompt));
        for place in from..most {
            if place > from {
                let (token, ..) = self.pace();
                self.sleep(token).await;
            }
            if place == from + 2 && self.take_cut(prompt) {
                drop(pieces.send(Err(String::from("cut"))).await);
                return;
            }
            let event = event(&request.model, Some(text::token(prompt, place)), None);
            if pieces.send(Ok(event)).await.is_err() {
                return;
            }
            self.lock().runs[index].tokens += 1;
        }
        let reason = if request.max_tokens.is_some() { "length" } else { "stop" };
        let last = event(&request.model, None, Some(reason));
        let done = Bytes::from(format!("data: {DONE}\n\n"));
        self.lock().runs[index].whole = true;
        drop(pieces.send(Ok(last)).await);
        drop(pieces.send(Ok(done)).await);
    }

    fn take_cut(&self, prompt: &str) -> bool {
        let mut state = self.lock();
        let prefix = state.control.cut_prefix.as_deref().unwrap_or_default();
        let left = state.control.cut.unwrap_or(0);
        let is_cut = left > 0 && prompt.starts_with(prefix);
        if is_cut {
            state.control.cut = Some(left - 1);
        }
        is_cut
    }

    async fn order<B: BodyStream>(&self, head: RequestHead, mut body: B) -> Response {
        let order = match http::read_body(&mut body, BODY_LIMIT, BODY_WAIT).await {
            Ok(bytes) => serde_json::from_slice::<Order>(&bytes),
            Err(error) => return http::error(&error),
        };
        let Ok(order) = order else {
            return http::error(&Error::new(Kind::Malformed, "not an order"));
        };
        let fence: u64 = head.header(header::FENCING_TOKEN).parse().unwrap_or(0);
        {
            let mut state = self.lock();
            if self.config.checks_fence && fence < state.fence {
                state.refused_orders += 1;
                return http::error(&Error::new(Kind::StaleRevision, "old fencing number"))
                    .with_status_409();
            }
            state.fence = state.fence.max(fence);
            state.busy = true;
        }
        let engine = self.clone();
        tokio::spawn(async move {
            engine.sleep(engine.config.load).await;
            let mut state = engine.lock();
            state.version.clone_from(&order.version);
            state.adapters.clone_from(&order.adapters);
            state.orders.push((fence, order));
            state.busy = false;
        });
        http::json(200, &"taken")
    }
}

trait Status409 {
    fn with_status_409(self) -> Response;
}

impl Status409 for Response {
    fn with_status_409(mut self) -> Response {
        *self.status_mut() = hyper::StatusCode::CONFLICT;
        self
    }
}

impl State {
    fn total(&self) -> u32 {
        self.running[0] + self.running[1]
    }

    fn current(&self) -> LoadReport {
        let waiting = |p| self.waiters.iter().filter(|w| w.priority == p).count() as u32;
        LoadReport {
            online: self.running[0] + waiting(0),
            batch: self.running[1] + waiting(1),
            leaving: self.control.leaving == Some(true),
            version: self.version.clone(),
            adapters: self.adapters.clone(),
            busy: self.busy,
        }
    }

    fn run(&mut self, head: &RequestHead, prompt: &str, arrived: u64) -> Run {
        self.events += 1;
        Run {
            arrived,
            started: self.events,
            waited_us: 0,
            attempt: head.header(header::ATTEMPT_ID).into(),
            key: head.header(header::IDEMPOTENCY_KEY).into(),
            prompt: prompt.into(),
            priority: u8::from(head.header(header::PRIORITY) == "1"),
            tokens: 0,
            whole: false,
        }
    }
}

impl Service for Engine {
    async fn call<B: BodyStream>(&self, head: RequestHead, mut body: B) -> Response {
        match (&head.method, head.path.as_str()) {
            (&Method::POST, "/v1/chat/completions") => self.chat(head, body).await,
            (&Method::POST, "/order") => self.order(head, body).await,
            (&Method::GET, "/load") => {
                if self.pace().2 {
                    self.sleep(Duration::ZERO).await;
                }
                http::json(200, &self.report())
            }
            (&Method::GET, "/record") => http::json(200, &self.runs()),
            (&Method::POST, "/control") => {
                let bytes =
                    http::read_body(&mut body, BODY_LIMIT, BODY_WAIT).await.unwrap_or_default();
                match serde_json::from_slice(&bytes) {
                    Ok(control) => {
                        self.control(control);
                        http::json(200, &"set")
                    }
                    Err(error) => http::error(&Error::new(Kind::Malformed, error.to_string())),
                }
            }
            _ => http::error(&Error::new(Kind::UnknownPath, head.path)),
        }
    }
}
