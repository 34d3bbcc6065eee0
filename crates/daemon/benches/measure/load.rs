//! Open-loop load generator: sends at a fixed rate, regardless of responses.

use bytes::Bytes;
use cli::client::{Client, Headers};
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// The load to send.
#[derive(Clone, Debug)]
pub struct Load {
    /// Daemons, in round-robin order.
    pub addresses: Vec<SocketAddr>,
    /// Requests per second.
    pub rate: f64,
    /// How long to send; responses are awaited after it.
    pub duration: Duration,
    /// Maximum tokens of each completion.
    pub tokens: u32,
    /// Whether requests have idempotency keys.
    pub keyed: bool,
    /// Interval of bursts and the factor by which they raise the rate.
    pub burst: Option<(Duration, f64)>,
    /// Prefix of the prompts.
    pub name: &'static str,
}

/// Results of a load.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Complete responses.
    pub completed: u64,
    /// Requests rejected without having run.
    pub rejected: u64,
    /// All other requests.
    pub failed: u64,
    /// Time to the first token, in microseconds.
    pub first_token: Histogram<u64>,
    /// Time between tokens, in microseconds.
    pub token_gap: Histogram<u64>,
    /// Time to the end of the response, in microseconds.
    pub total_time: Histogram<u64>,
}

impl Outcome {
    fn new() -> Outcome {
        let empty = || Histogram::new(3).expect("invalid histogram precision");
        Outcome {
            completed: 0,
            rejected: 0,
            failed: 0,
            first_token: empty(),
            token_gap: empty(),
            total_time: empty(),
        }
    }
}

/// Value at a quantile, in milliseconds.
pub fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

const BURST_DURATION: Duration = Duration::from_secs(2);

/// Sends the load and waits for all responses.
pub fn send(load: Load) -> Outcome {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()
        .expect("failed to start the runtime");
    runtime.block_on(run(load))
}

async fn run(load: Load) -> Outcome {
    let outcome = Arc::new(Mutex::new(Outcome::new()));
    let client = Client::new(load.addresses[0]);
    let start = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    let mut send_at = Duration::ZERO;
    let mut number = 0usize;
    while send_at < load.duration {
        tokio::time::sleep_until(start + send_at).await;
        let client = client.with_address(load.addresses[number % load.addresses.len()]);
        let (request_load, outcome) = (load.clone(), outcome.clone());
        tasks.spawn(async move { send_request(client, request_load, number, outcome).await });
        number += 1;
        let in_burst = load.burst.filter(|(every, _)| {
            send_at.as_millis() % every.as_millis() >= (*every - BURST_DURATION).as_millis()
        });
        let rate = load.rate * in_burst.map_or(1.0, |(_, factor)| factor);
        send_at += Duration::from_secs_f64(1.0 / rate);
    }
    while tasks.join_next().await.is_some() {}
    outcome.lock().expect("a request panicked").clone()
}

async fn send_request(client: Client, load: Load, number: usize, outcome: Arc<Mutex<Outcome>>) {
    let prompt = format!("{} {number}", load.name);
    let body = serde_json::json!({
        "model": "pustak-llm", "stream": true, "max_tokens": load.tokens,
        "messages": [{ "role": "user", "content": prompt }],
    });
    let mut headers = Headers::new();
    if load.keyed {
        headers.push((protocol::header::IDEMPOTENCY_KEY, prompt));
    }
    let start = Instant::now();
    let body = Bytes::from(body.to_string());
    let response = client.send("POST", "/v1/chat/completions", &headers, body).await;
    let Ok(response) = response else {
        outcome.lock().expect("a request panicked").failed += 1;
        return;
    };
    let is_stream = response.status().is_success();
    let mut body = response.into_body();
    let mut received = Vec::new();
    let mut arrivals = Vec::new();
    while let Some(Ok(frame)) = body.frame().await {
        if let Some(bytes) = frame.data_ref() {
            // The first event holds only the role; it arrives with the first token.
            arrivals.push(Instant::now());
            received.extend_from_slice(bytes);
        }
    }
    let text = String::from_utf8_lossy(&received);
    let mut outcome = outcome.lock().expect("a request panicked");
    if is_stream && text.contains("[DONE]") {
        outcome.completed += 1;
        let micros = |from: Instant, to: Instant| (to - from).as_micros() as u64;
        let _ = outcome.first_token.record(micros(start, arrivals[0]));
        let _ = outcome.total_time.record(micros(start, arrivals[arrivals.len() - 1]));
        for pair in arrivals.windows(2).skip(1) {
            let _ = outcome.token_gap.record(micros(pair[0], pair[1]));
        }
    } else if text.contains("\"not_run\"") {
        outcome.rejected += 1;
    } else {
        outcome.failed += 1;
    }
}
