//! An open-loop load: requests leave at their times, whatever came of the last.

use bytes::Bytes;
use cli::client::{Client, Headers};
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// What to send.
#[derive(Clone, Debug)]
pub struct Load {
    /// Daemons, called in turn.
    pub to: Vec<SocketAddr>,
    /// Requests a second.
    pub rate: f64,
    /// For how long.
    pub length: Duration,
    /// Tokens of an answer.
    pub tokens: u32,
    /// Whether each has a key.
    pub keyed: bool,
    /// Every so often a burst of this many times the rate, for two seconds.
    pub burst: Option<(Duration, f64)>,
    /// Start of the prompts.
    pub name: &'static str,
}

/// What came of it.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Answers that were whole.
    pub whole: u64,
    /// Refused as not run.
    pub refused: u64,
    /// Anything else.
    pub failed: u64,
    /// Time to the first token, in microseconds.
    pub first: Histogram<u64>,
    /// Gaps between tokens, in microseconds.
    pub gap: Histogram<u64>,
    /// Time to the end, in microseconds.
    pub whole_time: Histogram<u64>,
}

impl Outcome {
    fn new() -> Outcome {
        let empty = || Histogram::new(3).expect("a histogram");
        Outcome {
            whole: 0,
            refused: 0,
            failed: 0,
            first: empty(),
            gap: empty(),
            whole_time: empty(),
        }
    }
}

/// Milliseconds at a quantile.
pub fn at(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

const BURST: Duration = Duration::from_secs(2);

/// Sends the load and waits for the answers.
pub fn send(load: Load) -> Outcome {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(run(load))
}

async fn run(load: Load) -> Outcome {
    let outcome = Arc::new(Mutex::new(Outcome::new()));
    let client = Client::new(load.to[0]);
    let start = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    let mut due = Duration::ZERO;
    let mut number = 0usize;
    while due < load.length {
        tokio::time::sleep_until(start + due).await;
        let client = client.at(load.to[number % load.to.len()]);
        let (one, outcome) = (load.clone(), outcome.clone());
        tasks.spawn(async move { ask(client, one, number, outcome).await });
        number += 1;
        let in_burst = load.burst.filter(|(every, _)| {
            due.as_millis() % every.as_millis() >= (*every - BURST).as_millis()
        });
        let rate = load.rate * in_burst.map_or(1.0, |(_, times)| times);
        due += Duration::from_secs_f64(1.0 / rate);
    }
    while tasks.join_next().await.is_some() {}
    outcome.lock().expect("no panic").clone()
}

async fn ask(client: Client, load: Load, number: usize, outcome: Arc<Mutex<Outcome>>) {
    let prompt = format!("{} {number}", load.name);
    let body = serde_json::json!({
        "model": "pustak-llm", "stream": true, "max_tokens": load.tokens,
        "messages": [{ "role": "user", "content": prompt }],
    });
    let mut headers = Headers::new();
    if load.keyed {
        headers.push((protocol::header::IDEMPOTENCY_KEY, prompt));
    }
    let began = Instant::now();
    let body = Bytes::from(body.to_string());
    let response = client.open("POST", "/v1/chat/completions", &headers, body).await;
    let Ok(response) = response else {
        outcome.lock().expect("no panic").failed += 1;
        return;
    };
    let is_stream = response.status().is_success();
    let mut body = response.into_body();
    let mut all = Vec::new();
    let mut times = Vec::new();
    while let Some(Ok(frame)) = body.frame().await {
        if let Some(bytes) = frame.data_ref() {
            // The first event carries the role only; it comes with the first token.
            times.push(Instant::now());
            all.extend_from_slice(bytes);
        }
    }
    let text = String::from_utf8_lossy(&all);
    let mut outcome = outcome.lock().expect("no panic");
    if is_stream && text.contains("[DONE]") {
        outcome.whole += 1;
        let micros = |from: Instant, to: Instant| (to - from).as_micros() as u64;
        let _ = outcome.first.record(micros(began, times[0]));
        let _ = outcome.whole_time.record(micros(began, times[times.len() - 1]));
        for pair in times.windows(2).skip(1) {
            let _ = outcome.gap.record(micros(pair[0], pair[1]));
        }
    } else if text.contains("\"not_run\"") {
        outcome.refused += 1;
    } else {
        outcome.failed += 1;
    }
}
