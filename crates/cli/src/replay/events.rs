//! Replays the events of a trace at their recorded times.

use super::report::{EventResult, Report};
use crate::client::{Client, Headers};
use crate::options::Control;
use bytes::Bytes;
use http_body_util::BodyExt;
use protocol::chat::{self, Chunk, Completion, DONE};
use protocol::error::Body;
use protocol::job::{Outcome, Phase, ResultLine, ResultPage, Status};
use protocol::trace::{Event, Fault, Job, Request};
use protocol::{Kind, header};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Timeout for a job to end.
const JOB_TIMEOUT: Duration = Duration::from_secs(600);
/// Delay between polls of a job and between retries.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
const RESULTS_PER_PAGE: u64 = 1000;

/// Replays a trace against one or more daemons.
#[derive(Clone)]
pub struct Player {
    /// Client from which those of all addresses are derived.
    pub client: Client,
    /// Addresses of the daemons, called in turn.
    pub addresses: Vec<SocketAddr>,
    /// Control addresses of stand-ins.
    pub controls: Vec<Control>,
    /// Speed relative to the recording; 2.0 halves all delays.
    pub speed: f64,
    /// How long a rejected or failed request is retried.
    pub patience: Duration,
}

/// Result of a request after its last attempt.
#[derive(Clone, Debug, Default)]
pub struct RequestResult {
    /// Text of a complete response; `None` on failure.
    pub text: Option<String>,
    /// Kind of the last error response.
    pub kind: Option<Kind>,
    /// Message of the last error.
    pub message: String,
    /// Time from sending the last attempt to its first body frame.
    pub first_token: Option<Duration>,
    /// Times between body frames of a stream.
    pub token_gaps: Vec<Duration>,
    /// Number of attempts, including the first.
    pub attempts: u32,
}

impl Player {
    /// Replays every event and waits until all have ended.
    pub async fn play(self, events: Vec<Event>) -> anyhow::Result<Report> {
        let start = Instant::now();
        let mut tasks = JoinSet::new();
        for (number, event) in events.into_iter().enumerate() {
            let player = self.clone();
            let daemon = self.client.with_address(self.addresses[number % self.addresses.len()]);
            tasks.spawn(async move { player.play_event(daemon, start, event).await });
        }
        let mut results = Vec::new();
        while let Some(result) = tasks.join_next().await {
            results.extend(result?);
        }
        Ok(Report::new(results, start.elapsed()))
    }

    async fn sleep_until(&self, start: Instant, millis: u64) {
        let after = Duration::from_millis(millis).div_f64(self.speed);
        tokio::time::sleep_until(start + after).await;
    }

    async fn play_event(self, daemon: Client, start: Instant, event: Event) -> Option<EventResult> {
        match event {
            Event::Request(request) => {
                self.sleep_until(start, request.at).await;
                let result = self.send_request(&daemon, &request).await;
                Some(EventResult::request(request, result))
            }
            Event::Job(job) => {
                self.sleep_until(start, job.at).await;
                let started = Instant::now();
                let (status, lines) = self.run_job(&daemon, &job, start).await;
                Some(EventResult::job(job, status, lines, started.elapsed()))
            }
            Event::Fault(fault) => {
                self.sleep_until(start, fault.at).await;
                self.inject_fault(&fault).await
            }
        }
    }

    async fn inject_fault(&self, fault: &Fault) -> Option<EventResult> {
        let control = self.controls.iter().find(|control| control.name == fault.standin);
        let outcome = match control {
            None => Err(format!("no --control for `{}`", fault.standin)),
            Some(control) => {
                let client = self.client.with_address(control.address);
                let response = client.post("/control", &Headers::new(), &fault.control).await;
                let checked = response.and_then(|response| response.check());
                checked.map_err(|error| error.to_string())
            }
        };
        Some(EventResult::fault(fault, outcome))
    }

    /// Sends a request and retries it after the delay that the error response states.
    async fn send_request(&self, daemon: &Client, request: &Request) -> RequestResult {
        let deadline = Instant::now() + self.patience;
        let mut attempts = 0;
        let mut retries = 0;
        loop {
            attempts += 1;
            let address = self.addresses[(retries + attempts as usize - 1) % self.addresses.len()];
            let daemon = if attempts == 1 { daemon.clone() } else { daemon.with_address(address) };
            let (mut result, retry) = send(&daemon, request).await;
            result.attempts = attempts;
            retries += 1;
            let is_expected = matches!(&request.expect,
                protocol::trace::Expect::Error(kind) if result.kind == Some(*kind));
            match retry {
                Some(wait) if !is_expected && Instant::now() + wait < deadline => {
                    tokio::time::sleep(wait).await;
                }
                _ => return result,
            }
        }
    }

    async fn run_job(
        &self,
        daemon: &Client,
        job: &Job,
        start: Instant,
    ) -> (Option<Status>, Vec<ResultLine>) {
        let Some(accepted) = self.submit_job(daemon, job).await else {
            return (None, Vec::new());
        };
        if let Some(after) = job.cancel_after {
            self.sleep_until(start, job.at + after).await;
            let path = format!("/v1/jobs/{}/cancel", accepted.job);
            drop(daemon.call("POST", &path, &Headers::new(), Bytes::new()).await);
        }
        let deadline = Instant::now() + JOB_TIMEOUT;
        while Instant::now() < deadline {
            for address in &self.addresses {
                let path = format!("/v1/jobs/{}", accepted.job);
                if let Ok(status) = daemon.with_address(*address).get::<Status>(&path).await
                    && status.phase != Phase::Running
                {
                    let lines = self.fetch_results(&daemon.with_address(*address), &status).await;
                    return (Some(status), lines);
                }
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        (Some(accepted), Vec::new())
    }

    async fn submit_job(&self, daemon: &Client, job: &Job) -> Option<Status> {
        let due = if job.due == 0 { 0 } else { crate::job::unix_millis() + job.due };
        let mut body = serde_json::json!({ "service": job.service, "due": due }).to_string();
        let numbered = (0..job.items).map(|n| format!("{} {n}", job.prompt));
        for prompt in numbered.chain(job.extra.iter().cloned()) {
            let mut item = serde_json::json!({ "prompt": prompt });
            if let Some(max_tokens) = job.max_tokens {
                item["max_tokens"] = max_tokens.into();
            }
            body.push('\n');
            body.push_str(&item.to_string());
        }
        let headers = vec![(header::IDEMPOTENCY_KEY, job.key.clone())];
        let deadline = Instant::now() + self.patience;
        for attempt in 0.. {
            let client = daemon.with_address(self.addresses[attempt % self.addresses.len()]);
            let response =
                client.call("POST", "/v1/jobs", &headers, Bytes::from(body.clone())).await;
            if let Ok(status) = response.and_then(|response| response.json::<Status>()) {
                return Some(status);
            }
            if Instant::now() > deadline {
                break;
            }
            tokio::time::sleep(RETRY_INTERVAL * 5).await;
        }
        None
    }

    async fn fetch_results(&self, daemon: &Client, status: &Status) -> Vec<ResultLine> {
        let mut lines = Vec::new();
        let mut from = Some(0);
        let deadline = Instant::now() + self.patience;
        while let Some(start) = from {
            let path =
                format!("/v1/jobs/{}/results?from={start}&limit={RESULTS_PER_PAGE}", status.job);
            match daemon.get::<ResultPage>(&path).await {
                Ok(page) => {
                    lines.extend(page.results);
                    from = page.next;
                }
                Err(_) if Instant::now() < deadline => tokio::time::sleep(RETRY_INTERVAL).await,
                Err(_) => break,
            }
        }
        lines
    }
}

/// Number of failed items.
pub fn failed_count(lines: &[ResultLine]) -> u64 {
    lines.iter().filter(|line| matches!(line.outcome, Outcome::Failed { .. })).count() as u64
}

async fn send(daemon: &Client, request: &Request) -> (RequestResult, Option<Duration>) {
    let started = Instant::now();
    let mut chat = chat::Request::user(&request.service, &request.prompt);
    chat.stream = request.stream;
    chat.max_tokens = request.max_tokens;
    let body = Bytes::from(serde_json::to_vec(&chat).unwrap_or_default());
    let response = daemon.send("POST", "/v1/chat/completions", &headers(request), body).await;
    let mut result = RequestResult::default();
    let response = match response {
        Ok(response) => response,
        // Without a response the idempotency key makes a retry safe.
        Err(error) => {
            result.message = error.to_string();
            return (result, Some(RETRY_INTERVAL));
        }
    };
    let is_stream = request.stream && response.status().is_success();
    let mut body = response.into_body();
    let mut received = Vec::new();
    let mut last_frame = None;
    while let Some(Ok(frame)) = body.frame().await {
        let Some(bytes) = frame.data_ref() else {
            continue;
        };
        let now = Instant::now();
        match last_frame.replace(now) {
            None => result.first_token = Some(now - started),
            Some(previous) if is_stream => result.token_gaps.push(now - previous),
            Some(_) => {}
        }
        received.extend_from_slice(bytes);
    }
    parse_response(&received, is_stream, &mut result);
    let retry = result.text.is_none().then(|| retry_delay(&received, is_stream)).flatten();
    (result, retry)
}

fn headers(request: &Request) -> Headers {
    let mut headers = Headers::new();
    if let Some(key) = &request.key {
        headers.push((header::IDEMPOTENCY_KEY, key.clone()));
    }
    if !request.repeatable {
        headers.push((header::REPEATABLE, "false".into()));
    }
    headers.push((header::CALLER, request.class.clone()));
    headers
}

fn parse_response(received: &[u8], is_stream: bool, result: &mut RequestResult) {
    if !is_stream {
        if let Ok(completion) = serde_json::from_slice::<Completion>(received) {
            result.text =
                completion.choices.into_iter().next().map(|choice| choice.message.content);
        } else {
            parse_error(received, result);
        }
        return;
    }
    let mut text = String::new();
    for data in String::from_utf8_lossy(received).lines().filter_map(|l| l.strip_prefix("data: ")) {
        if data == DONE {
            result.text = Some(std::mem::take(&mut text));
        } else if let Ok(chunk) = serde_json::from_str::<Chunk>(data) {
            let content = chunk.choices.into_iter().next().and_then(|choice| choice.delta.content);
            text.push_str(&content.unwrap_or_default());
        } else {
            parse_error(data.as_bytes(), result);
        }
    }
}

fn parse_error(bytes: &[u8], result: &mut RequestResult) {
    if let Ok(body) = serde_json::from_slice::<Body>(bytes) {
        result.kind = Some(body.error.kind);
        result.message = body.error.message;
    }
}

/// Delay before a retry: as stated in the error response, `None` if it states none.
/// A truncated response is retried after [`RETRY_INTERVAL`].
fn retry_delay(received: &[u8], is_stream: bool) -> Option<Duration> {
    let text = String::from_utf8_lossy(received);
    let last = if is_stream {
        text.lines().rev().find_map(|line| line.strip_prefix("data: "))
    } else {
        Some(text.as_ref())
    };
    match last.and_then(|data| serde_json::from_str::<Body>(data).ok()) {
        Some(body) => body.error.retry_after.map(Duration::from_secs),
        None => Some(RETRY_INTERVAL),
    }
}
