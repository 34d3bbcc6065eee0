//! How an engine behaves, what faults it is given, and what it records.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct Config {
    /// Requests at once.
    pub slots: u32,
    /// Time until the first token when the prefix isn't cached.
    pub prefill: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Age of load reports.
    pub report_delay: Duration,
    /// Prefixes kept.
    pub prefix_cache_size: usize,
    /// Whether old fencing numbers are refused.
    pub checks_fencing_token: bool,
    /// Time that an order takes.
    pub order_duration: Duration,
    /// Model version at the start.
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

/// Faults, set by the control call; fields left out stay as they are.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// New work is refused with the word that the engine is leaving.
    #[serde(default)]
    pub leaving: Option<bool>,
    /// Every answer takes this many times as long.
    #[serde(default)]
    #[serde(rename = "slow")]
    pub slow_factor: Option<f64>,
    /// Nothing moves.
    #[serde(default)]
    pub frozen: Option<bool>,
    /// This many streams break off after two tokens.
    #[serde(default)]
    #[serde(rename = "cut")]
    pub interrupted_streams: Option<u32>,
    /// Only streams whose prompt starts so break off.
    #[serde(default)]
    #[serde(rename = "cut_prefix")]
    pub interrupted_prefix: Option<String>,
    /// Every request fails.
    #[serde(default)]
    pub failing: Option<bool>,
    /// Time between tokens, in milliseconds.
    #[serde(default)]
    pub token_ms: Option<u64>,
}

/// One request that reached the engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// When it arrived, on a counter of arrivals and starts here.
    #[serde(rename = "arrived")]
    pub arrival_seq: u64,
    /// When it got a slot, on the same counter.
    #[serde(rename = "started")]
    pub start_seq: u64,
    /// Time between the two, in microseconds; for measurements.
    pub waited_us: u64,
    /// Attempt id.
    pub attempt: String,
    /// Key.
    pub key: String,
    /// Prompt.
    pub prompt: String,
    /// 0 is online, 1 is batch.
    pub priority: u8,
    /// Tokens generated.
    pub tokens: u32,
    /// Whether the answer was given whole.
    #[serde(rename = "whole")]
    pub is_complete: bool,
}
