//! Configuration, faults and records of an engine.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Configuration of an engine.
#[derive(Clone, Debug)]
pub struct Config {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Time to the first token; a quarter of it if the prefix is cached.
    pub prefill: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Age of the load reports that it sends.
    pub report_delay: Duration,
    /// Number of cached prefixes.
    pub prefix_cache_size: usize,
    /// Whether orders with a stale fencing token are rejected.
    pub checks_fencing_token: bool,
    /// Time to carry out an order.
    pub order_duration: Duration,
    /// Model version loaded at the start.
    pub version: String,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            slots: 8,
            prefill: Duration::from_millis(10),
            token_interval: Duration::from_millis(2),
            report_delay: Duration::from_millis(200),
            prefix_cache_size: 64,
            checks_fencing_token: true,
            order_duration: Duration::from_millis(50),
            version: String::from("v1"),
        }
    }
}

/// Body of the control call; absent fields leave their fault unchanged.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Rejects new requests as a leaving target.
    #[serde(default)]
    pub leaving: Option<bool>,
    /// Factor on all delays.
    #[serde(default)]
    #[serde(rename = "slow")]
    pub slow_factor: Option<f64>,
    /// Stops all progress.
    #[serde(default)]
    pub frozen: Option<bool>,
    /// Number of streams to interrupt after two tokens.
    #[serde(default)]
    #[serde(rename = "cut")]
    pub interrupted_streams: Option<u32>,
    /// Interrupts only streams whose prompt has this prefix.
    #[serde(default)]
    #[serde(rename = "cut_prefix")]
    pub interrupted_prefix: Option<String>,
    /// Fails every request.
    #[serde(default)]
    pub failing: Option<bool>,
    /// Time between tokens, in milliseconds; overrides [`Config::token_interval`].
    #[serde(default)]
    pub token_ms: Option<u64>,
}

/// What an engine doesn't write while it is silent. It goes on afterwards as if nothing had happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    /// Anything.
    Everything,
    /// Tokens and load reports; heads of responses are written.
    Tokens,
}

/// Record of a request that got a slot, or failed at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Arrival, on a counter that arrivals and starts share; 0 if it failed at once.
    #[serde(rename = "arrived")]
    pub arrival_seq: u64,
    /// Start, on the same counter.
    #[serde(rename = "started")]
    pub start_seq: u64,
    /// Time between arrival and start, in microseconds.
    pub waited_us: u64,
    /// Attempt id; empty if the header is absent.
    pub attempt: String,
    /// Idempotency key; empty if the header is absent.
    pub key: String,
    /// Text of all messages.
    pub prompt: String,
    /// 0 for online, 1 for batch.
    pub priority: u8,
    /// Number of tokens sent.
    pub tokens: u32,
    /// Whether all tokens were sent.
    #[serde(rename = "whole")]
    pub is_complete: bool,
}
