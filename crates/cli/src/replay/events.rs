//! Plays the events of a trace at their times.

use super::report::{Played, Report};
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

/// Longest wait for a job of a trace.
const JOB_LIMIT: Duration = Duration::from_secs(600);
const LOOK: Duration = Duration::from_millis(100);
const PAGE: u64 = 1000;

/// Plays a trace against some daemons.
#[derive(Clone)]
pub struct Player {
    /// Client.
    pub client: Client,
    /// Daemons, called in turn.
    pub addresses: Vec<SocketAddr>,
    /// Stand-ins.
    pub controls: Vec<Control>,
    /// How many times as fast as recorded.
    pub speed: f64,
    /// How long a refused call is tried again.
    pub patience: Duration,
}

/// What came of one call.
#[derive(Clone, Debug, Default)]
pub struct Got {
    /// Text of a whole answer.
    pub text: Option<String>,
    /// Kind of the final error.
    pub kind: Option<Kind>,
    /// What the daemon said of the error.
    pub message: String,
    /// Time to the first token.
    pub first: Option<Duration>,
    /// Gaps between tokens.
    pub gaps: Vec<Duration>,
    /// Calls made.
    pub calls: u32,
}

impl Player {
    /// Plays every event and waits for all outcomes.
    pub async fn play(self, events: Vec<Event>) -> anyhow::Result<Report> {
        let start = Instant::now();
        let mut tasks = JoinSet::new();
        for (number, event) in events.into_iter().enumerate() {
            let player = self.clone();
            let daemon = self.client.at(self.addresses[number % self.addresses.len()]);
            tasks.spawn(async move { player.event(daemon, start, event).await });
        }
        let mut played = Vec::new();
        while let Some(one) = tasks.join_next().await {
            played.extend(one?);
        }
        Ok(Report::new(played, start.elapsed()))
    }

    async fn at(&self, start: Instant, millis: u64) {
        let after = Duration::from_millis(millis).div_f64(self.speed);
        tokio::time::sleep_until(start + after).await;
    }

    async fn event(self, daemon: Client, start: Instant, event: Event) -> Option<Played> {
        match event {
            Event::Request(request) => {
                self.at(start, request.at).await;
                let got = self.request(&daemon, &request).await;
                Some(Played::request(request, got))
            }
            Event::Job(job) => {
                self.at(start, job.at).await;
                let began = Instant::now();
                let (status, lines) = self.job(&daemon, &job, start).await;
                Some(Played::job(job, status, lines, began.elapsed()))
            }
            Event::Fault(fault) => {
                self.at(start, fault.at).await;
                self.fault(&fault).await
            }
        }
    }

    async fn fault(&self, fault: &Fault) -> Option<Played> {
        let control = self.controls.iter().find(|control| control.name == fault.standin);
        let done = match control {
            None => Err(format!("no --control for `{}`", fault.standin)),
            Some(control) => {
                let client = self.client.at(control.address);
                let answer = client.post("/control", &Headers::new(), &fault.control).await;
                let checked = answer.and_then(|answer| answer.check());
                checked.map_err(|error| error.to_string())
            }
        };
        Some(Played::fault(fault, done))
    }

    /// Asks until there is a final answer: a refusal that says when to come
    /// back is followed, as a caller's client would.
    async fn request(&self, daemon: &Client, request: &Request) -> Got {
        let end = Instant::now() + self.patience;
        let mut calls = 0;
        let mut turn = 0;
        loop {
            calls += 1;
            let at = self.addresses[(turn + calls as usize - 1) % self.addresses.len()];
            let daemon = if calls == 1 { daemon.clone() } else { daemon.at(at) };
            let (mut got, retry) = ask(&daemon, request).await;
            got.calls = calls;
            turn += 1;
            let expected = matches!(&request.expect,
                protocol::trace::Expect::Error(kind) if got.kind == Some(*kind));
            match retry {
                Some(wait) if !expected && Instant::now() + wait < end => {
                    tokio::time::sleep(wait).await;
                }
                _ => return got,
            }
        }
    }

    async fn job(
        &self,
        daemon: &Client,
        job: &Job,
        start: Instant,
    ) -> (Option<Status>, Vec<ResultLine>) {
        let Some(accepted) = self.submit(daemon, job).await else {
            return (None, Vec::new());
        };
        if let Some(after) = job.cancel_after {
            self.at(start, job.at + after).await;
            let path = format!("/v1/jobs/{}/cancel", accepted.job);
            drop(daemon.call("POST", &path, &Headers::new(), Bytes::new()).await);
        }
        let end = Instant::now() + JOB_LIMIT;
        while Instant::now() < end {
            for address in &self.addresses {
                let path = format!("/v1/jobs/{}", accepted.job);
                if let Ok(status) = daemon.at(*address).get::<Status>(&path).await
                    && status.phase != Phase::Running
                {
                    let lines = self.results(&daemon.at(*address), &status).await;
                    return (Some(status), lines);
                }
            }
            tokio::time::sleep(LOOK).await;
        }
        (Some(accepted), Vec::new())
    }

    async fn submit(&self, daemon: &Client, job: &Job) -> Option<Status> {
        let due = if job.due == 0 { 0 } else { crate::job::millis() + job.due };
        let mut body = serde_json::json!({ "service": job.service, "due": due }).to_string();
        let counted = (0..job.items).map(|n| format!("{} {n}", job.prompt));
        for prompt in counted.chain(job.extra.iter().cloned()) {
            let mut item = serde_json::json!({ "prompt": prompt });
            if let Some(most) = job.max_tokens {
                item["max_tokens"] = most.into();
            }
            body.push('\n');
            body.push_str(&item.to_string());
        }
        let headers = vec![(header::IDEMPOTENCY_KEY, job.key.clone())];
        let end = Instant::now() + self.patience;
        for turn in 0.. {
            let at = daemon.at(self.addresses[turn % self.addresses.len()]);
            let answer = at.call("POST", "/v1/jobs", &headers, Bytes::from(body.clone())).await;
            if let Ok(status) = answer.and_then(|answer| answer.read::<Status>()) {
                return Some(status);
            }
            if Instant::now() > end {
                break;
            }
            tokio::time::sleep(LOOK * 5).await;
        }
        None
    }

    async fn results(&self, daemon: &Client, status: &Status) -> Vec<ResultLine> {
        let mut lines = Vec::new();
        let mut from = Some(0);
        let end = Instant::now() + self.patience;
        while let Some(start) = from {
            let path = format!("/v1/jobs/{}/results?from={start}&limit={PAGE}", status.job);
            match daemon.get::<ResultPage>(&path).await {
                Ok(page) => {
                    lines.extend(page.results);
                    from = page.next;
                }
                Err(_) if Instant::now() < end => tokio::time::sleep(LOOK).await,
                Err(_) => break,
            }
        }
        lines
    }
}

/// Outcomes of a job that failed.
pub fn failed(lines: &[ResultLine]) -> u64 {
    lines.iter().filter(|line| matches!(line.outcome, Outcome::Failed { .. })).count() as u64
}

async fn ask(daemon: &Client, request: &Request) -> (Got, Option<Duration>) {
    let began = Instant::now();
    let mut chat = chat::Request::user(&request.service, &request.prompt);
    chat.stream = request.stream;
    chat.max_tokens = request.max_tokens;
    let body = Bytes::from(serde_json::to_vec(&chat).unwrap_or_default());
    let response = daemon.open("POST", "/v1/chat/completions", &headers(request), body).await;
    let mut got = Got::default();
    let response = match response {
        Ok(response) => response,
        // Nothing answered: the key makes asking again safe.
        Err(error) => {
            got.message = error.to_string();
            return (got, Some(LOOK));
        }
    };
    let is_stream = request.stream && response.status().is_success();
    let mut body = response.into_body();
    let mut all = Vec::new();
    let mut last = None;
    while let Some(Ok(frame)) = body.frame().await {
        let Some(bytes) = frame.data_ref() else {
            continue;
        };
        let now = Instant::now();
        match last.replace(now) {
            None => got.first = Some(now - began),
            Some(before) if is_stream => got.gaps.push(now - before),
            Some(_) => {}
        }
        all.extend_from_slice(bytes);
    }
    read(&all, is_stream, &mut got);
    let retry = got.text.is_none().then(|| retry(&all, is_stream)).flatten();
    (got, retry)
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

fn read(all: &[u8], is_stream: bool, got: &mut Got) {
    if !is_stream {
        if let Ok(completion) = serde_json::from_slice::<Completion>(all) {
            got.text = completion.choices.into_iter().next().map(|choice| choice.message.content);
        } else {
            note_error(all, got);
        }
        return;
    }
    let mut text = String::new();
    for data in String::from_utf8_lossy(all).lines().filter_map(|l| l.strip_prefix("data: ")) {
        if data == DONE {
            got.text = Some(std::mem::take(&mut text));
        } else if let Ok(chunk) = serde_json::from_str::<Chunk>(data) {
            let content = chunk.choices.into_iter().next().and_then(|choice| choice.delta.content);
            text.push_str(&content.unwrap_or_default());
        } else {
            note_error(data.as_bytes(), got);
        }
    }
}

fn note_error(bytes: &[u8], got: &mut Got) {
    if let Ok(body) = serde_json::from_slice::<Body>(bytes) {
        got.kind = Some(body.error.kind);
        got.message = body.error.message;
    }
}

/// When to ask again: what the refusal says. A stream that broke off without a
/// word is asked again at once.
fn retry(all: &[u8], is_stream: bool) -> Option<Duration> {
    let text = String::from_utf8_lossy(all);
    let last = if is_stream {
        text.lines().rev().find_map(|line| line.strip_prefix("data: "))
    } else {
        Some(text.as_ref())
    };
    match last.and_then(|data| serde_json::from_str::<Body>(data).ok()) {
        Some(body) => body.error.retry_after.map(Duration::from_secs),
        None => Some(LOOK),
    }
}
