//! Stand-in for a model engine: bounded slots, priorities without preemption, delayed load reports,
//! a bounded prefix cache, resumption and orders.

use crate::text;
use bytes::Bytes;
use hyper::Method;
use protocol::chat::{self, DONE};
use protocol::{Error, Kind, header};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use transport::body;
use transport::http::{self, BodyStream, RequestHead, Response, Service};
use transport::target::{LEAVING, LoadReport, Order};

mod events;
mod orders;
mod slot;
mod types;

use events::{collect_response, event};
use slot::Waiter;
pub use types::{Config, Control, Run, Silence};

const MAX_BODY_BYTES: usize = 1 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a paused engine checks whether it goes on.
const PAUSE_STEP: Duration = Duration::from_millis(5);

/// Marker of prompts that fail on every engine.
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
    silence: Option<Silence>,
    fencing_token: u64,
    version: String,
    adapters: Vec<String>,
    busy: bool,
    orders: Vec<(u64, Order)>,
    rejected_orders: u64,
    cache_hits: u64,
}

/// Handle to a model engine; clones share its state.
#[derive(Clone)]
pub struct Engine {
    config: Config,
    state: Arc<Mutex<State>>,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(config: Config) -> Engine {
        let state = State { version: config.version.clone(), ..State::default() };
        Engine { config, state: Arc::new(Mutex::new(state)) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the faults given in `control`; the others stay.
    pub fn control(&self, control: Control) {
        let current = &mut self.lock().control;
        current.leaving = control.leaving.or(current.leaving);
        current.slow_factor = control.slow_factor.or(current.slow_factor);
        current.frozen = control.frozen.or(current.frozen);
        current.interrupted_streams = control.interrupted_streams.or(current.interrupted_streams);
        current.interrupted_prefix =
            control.interrupted_prefix.or(current.interrupted_prefix.take());
        current.failing = control.failing.or(current.failing);
        current.token_ms = control.token_ms.or(current.token_ms);
    }

    /// Starts or ends a silence.
    pub fn set_silence(&self, silence: Option<Silence>) {
        self.lock().silence = silence;
    }

    async fn wait_while_heads_are_withheld(&self) {
        while self.lock().silence == Some(Silence::Everything) {
            tokio::time::sleep(PAUSE_STEP).await;
        }
    }

    /// Requests that got a slot or failed at once, in that order.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Completed orders with their fencing tokens.
    pub fn orders(&self) -> Vec<(u64, Order)> {
        self.lock().orders.clone()
    }

    /// Number of orders rejected because of a stale fencing token.
    pub fn rejected_orders(&self) -> u64 {
        self.lock().rejected_orders
    }

    /// Number of running requests: online, batch.
    pub fn running(&self) -> [u32; 2] {
        self.lock().running
    }

    /// Number of requests whose prefix was cached.
    pub fn cache_hits(&self) -> u64 {
        self.lock().cache_hits
    }

    /// Loaded model version; empty if none.
    pub fn version(&self) -> String {
        self.lock().version.clone()
    }

    fn report(&self) -> LoadReport {
        let mut state = self.lock();
        let now = Instant::now();
        let current = state.current();
        state.reports.push_back((now, current.clone()));
        let is_due = |at: Instant| now.saturating_duration_since(at) >= self.config.report_delay;
        while state.reports.len() > 1 && state.reports.get(1).is_some_and(|(at, _)| is_due(*at)) {
            state.reports.pop_front();
        }
        let mut report = state.reports.front().map_or(current.clone(), |(_, r)| r.clone());
        report.version = current.version;
        report.adapters = current.adapters;
        report.busy = current.busy;
        report
    }

    /// Token interval, factor on delays, whether progress is stopped.
    fn timing(&self) -> (Duration, f64, bool) {
        let state = self.lock();
        let token_interval =
            state.control.token_ms.map_or(self.config.token_interval, Duration::from_millis);
        (
            token_interval,
            state.control.slow_factor.unwrap_or(1.0),
            state.control.frozen == Some(true) || state.silence.is_some(),
        )
    }

    async fn sleep(&self, time: Duration) {
        let (_, slow_factor, _) = self.timing();
        tokio::time::sleep(time.mul_f64(slow_factor)).await;
        while self.timing().2 {
            tokio::time::sleep(PAUSE_STEP).await;
        }
    }

    fn prefill(&self, prompt: &str) -> Duration {
        let hash = coordination::route::prefix("", prompt);
        let mut state = self.lock();
        let cached = state.prefixes.iter().position(|p| *p == hash);
        if let Some(position) = cached {
            state.prefixes.remove(position);
        }
        state.prefixes.push_back(hash);
        if state.prefixes.len() > self.config.prefix_cache_size {
            state.prefixes.pop_front();
        }
        state.cache_hits += u64::from(cached.is_some());
        if cached.is_some() { self.config.prefill / 4 } else { self.config.prefill }
    }

    async fn chat<B: BodyStream>(&self, head: RequestHead, mut body: B) -> Response {
        let request = match http::read_body(&mut body, MAX_BODY_BYTES, BODY_TIMEOUT).await {
            Ok(bytes) => serde_json::from_slice::<chat::Request>(&bytes),
            Err(error) => return http::error(&error),
        };
        let Ok(request) = request else {
            return http::error(&Error::new(Kind::Malformed, "not a chat request"));
        };
        if let Some(response) = self.rejection() {
            return response;
        }
        let prompt = request.text();
        if prompt.contains(POISON) {
            self.record_failed_run(&head, &prompt);
            return http::error(&Error::new(Kind::Internal, "this prompt can't be answered"));
        }
        let (tx, rx) = body::channel(16);
        let engine = self.clone();
        let stream = request.stream;
        tokio::spawn(async move { engine.generate(head, request, prompt, tx).await });
        self.wait_while_heads_are_withheld().await;
        if stream {
            return http::stream(200, "text/event-stream", rx);
        }
        collect_response(rx).await
    }

    fn rejection(&self) -> Option<Response> {
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

    fn record_failed_run(&self, head: &RequestHead, prompt: &str) {
        let mut state = self.lock();
        let run = state.new_run(head, prompt, 0);
        state.runs.push(run);
    }

    async fn generate(
        self,
        head: RequestHead,
        request: chat::Request,
        prompt: String,
        tx: body::Sender,
    ) {
        let priority = if head.header(header::PRIORITY) == "1" { 1 } else { 0 };
        let arrival = Instant::now();
        let acquired = tokio::select! {
            acquired = self.acquire_slot(priority) => acquired,
            () = tx.closed() => return,
        };
        let Some((slot, arrival_seq)) = acquired else {
            return;
        };
        let run_index = {
            let mut state = self.lock();
            let mut run = state.new_run(&head, &prompt, arrival_seq);
            run.waited_us = arrival.elapsed().as_micros() as u64;
            state.runs.push(run);
            state.runs.len() - 1
        };
        let is_complete = tokio::select! {
            is_complete = self.stream(run_index, &request, &prompt, &tx) => is_complete,
            () = tx.closed() => false,
        };
        if is_complete {
            tx.finish().await;
        }
        drop(slot);
    }

    /// Sends the events of a run; returns whether it is complete.
    async fn stream(
        &self,
        run_index: usize,
        request: &chat::Request,
        prompt: &str,
        tx: &body::Sender,
    ) -> bool {
        self.sleep(self.prefill(prompt)).await;
        let first_position = request.resume.as_ref().map_or(0, |resume| resume.tokens);
        let max_tokens = request.max_tokens.unwrap_or_else(|| text::token_count(prompt));
        for position in first_position..max_tokens {
            if position > first_position {
                let (token_interval, ..) = self.timing();
                self.sleep(token_interval).await;
            }
            if position == first_position + 2 && self.take_interruption(prompt) {
                return false;
            }
            let event = event(&request.model, Some(text::token(prompt, position)), None);
            if tx.send(event).await.is_err() {
                return false;
            }
            self.lock().runs[run_index].tokens += 1;
        }
        let reason = if request.max_tokens.is_some() { "length" } else { "stop" };
        let last = event(&request.model, None, Some(reason));
        let done = Bytes::from(format!("data: {DONE}\n\n"));
        self.lock().runs[run_index].is_complete = true;
        tx.send(last).await.is_ok() && tx.send(done).await.is_ok()
    }

    fn take_interruption(&self, prompt: &str) -> bool {
        let mut state = self.lock();
        let prefix = state.control.interrupted_prefix.as_deref().unwrap_or_default();
        let remaining = state.control.interrupted_streams.unwrap_or(0);
        let is_interrupted = remaining > 0 && prompt.starts_with(prefix);
        if is_interrupted {
            state.control.interrupted_streams = Some(remaining - 1);
        }
        is_interrupted
    }
}

impl State {
    fn total_running(&self) -> u32 {
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

    fn new_run(&mut self, head: &RequestHead, prompt: &str, arrival_seq: u64) -> Run {
        self.events += 1;
        Run {
            arrival_seq,
            start_seq: self.events,
            waited_us: 0,
            attempt: head.header(header::ATTEMPT_ID).into(),
            key: head.header(header::IDEMPOTENCY_KEY).into(),
            prompt: prompt.into(),
            priority: u8::from(head.header(header::PRIORITY) == "1"),
            tokens: 0,
            is_complete: false,
        }
    }
}

impl Service for Engine {
    async fn call<B: BodyStream>(&self, head: RequestHead, mut body: B) -> Response {
        match (&head.method, head.path.as_str()) {
            (&Method::POST, "/v1/chat/completions") => self.chat(head, body).await,
            (&Method::POST, "/order") => self.order(head, body).await,
            (&Method::GET, "/load") => {
                if self.timing().2 {
                    self.sleep(Duration::ZERO).await;
                }
                http::json(200, &self.report())
            }
            (&Method::GET, "/record") => http::json(200, &self.runs()),
            (&Method::POST, "/control") => {
                let bytes = http::read_body(&mut body, MAX_BODY_BYTES, BODY_TIMEOUT)
                    .await
                    .unwrap_or_default();
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
