//! Configuration of a runner.

use std::time::Duration;

/// Configuration of a runner.
#[derive(Clone, Debug)]
pub struct Config {
    /// Target name.
    pub id: String,
    /// Version of its software, which each of its events names as its type.
    pub software: String,
    /// Maximum number of concurrent requests.
    pub slots: usize,
    /// Maximum number of waiting requests; more are rejected.
    pub queue_size: usize,
    /// Time from getting a slot to the response.
    pub first_event_delay: Duration,
    /// Time between events.
    pub event_interval: Duration,
    /// Number of events per response.
    pub event_count: u64,
    /// Time from a crash to the restart.
    pub restart_delay: Duration,
    /// Time to read a token of a prompt that isn't kept.
    pub token_time: Duration,
    /// Number of tokens of prompts that are kept at most.
    pub memory_tokens: u64,
    /// Factor to the times until and between events, and to read tokens.
    pub slowness: f64,
    /// Whether its responses have neither a length nor chunks, and end with their connection.
    pub is_unframed: bool,
    /// Whether the data of each event names the version of its software, too.
    pub names_software: bool,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            id: String::from("runner"),
            software: String::from("v1"),
            slots: 4,
            queue_size: 12,
            first_event_delay: Duration::from_millis(10),
            event_interval: Duration::from_millis(5),
            event_count: 10,
            restart_delay: Duration::from_secs(3_600),
            token_time: Duration::ZERO,
            memory_tokens: u64::MAX,
            slowness: 1.0,
            is_unframed: false,
            names_software: false,
        }
    }
}
