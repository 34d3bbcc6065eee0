//! Helpers of the batch job tests.

use super::gateway::Plan;
use serde_json::Value;
use standin::runner::{Config, Runner};
use std::time::Duration;

/// A runner that takes 1.6 s per response.
pub fn slow_runner(id: &str) -> Config {
    Config {
        id: id.to_owned(),
        event_interval: Duration::from_millis(40),
        event_count: 40,
        ..Config::default()
    }
}

/// Slow runners, one in each data centre.
pub fn slow_plan() -> Plan {
    Plan {
        runners: vec![("east", slow_runner("r0")), ("west", slow_runner("r1"))],
        ..Plan::default()
    }
}

/// Asserts that each of `items` has exactly one result, complete with `events` events.
#[track_caller]
pub fn assert_results(results: &[Value], items: &[&str], events: u64) {
    let mut ids: Vec<&str> = results.iter().filter_map(|result| result["id"].as_str()).collect();
    ids.sort_unstable();
    assert_eq!(ids, items, "exactly one result per item");
    for result in results {
        let id = result["id"].as_str().expect("an id");
        assert_eq!(result["state"], "complete");
        assert_eq!(result["message"], Runner::text(id, events));
    }
}

/// Queries on parsed log lines.
pub trait LogLines {
    /// The last line with the message `msg`.
    fn last_message(&self, msg: &str) -> Option<Value>;
}

impl LogLines for Vec<Value> {
    fn last_message(&self, msg: &str) -> Option<Value> {
        self.iter().rev().find(|line| line["msg"] == msg).cloned()
    }
}
