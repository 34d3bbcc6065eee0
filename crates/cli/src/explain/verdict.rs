//! Last line of `explain`: why a request that was late or rejected was placed where it was, and
//! what it waited for.

use serde_json::{Map, Value};

/// Messages of the log lines that end a request.
pub const OUTCOMES: [&str; 3] = ["request failed", "stream ended", "stream aborted"];
/// What is printed for a field that a log line doesn't have.
const NOT_LOGGED: &str = "not logged";
/// What is printed for a field that the instance didn't know.
const UNKNOWN: &str = "unknown";

/// Describes the outcome of a request from the log line that ends it; `None` if the line ends no
/// request, or if the request was in time.
pub fn describe(message: &str, fields: &Map<String, Value>) -> Option<String> {
    let line = Line { fields };
    match message {
        "request failed" => Some(line.failure()),
        "stream ended" => line.lateness().map(|lateness| line.stream(&lateness)),
        "stream aborted" => Some(line.stream(&line.truncation())),
        _ => None,
    }
}

struct Line<'a> {
    fields: &'a Map<String, Value>,
}

impl Line<'_> {
    fn number(&self, key: &str) -> Option<f64> {
        self.fields.get(key).and_then(Value::as_f64)
    }

    /// A field with its unit.
    fn text(&self, key: &str, unit: &str) -> String {
        match self.fields.get(key) {
            None => NOT_LOGGED.to_owned(),
            Some(Value::Null) => UNKNOWN.to_owned(),
            Some(Value::String(text)) => text.clone(),
            Some(value) => format!("{value}{unit}"),
        }
    }

    fn workspace(&self) -> String {
        match self.fields.get("workspace") {
            Some(Value::String(name)) if !name.is_empty() => format!("workspace {name}"),
            Some(_) => "no workspace".to_owned(),
            None => format!("workspace {NOT_LOGGED}"),
        }
    }

    /// How a complete response missed its objectives; `None` if it met them.
    fn lateness(&self) -> Option<String> {
        let (Some(objective), Some(max_gap)) =
            (self.number("objective_ms"), self.number("max_gap_ms"))
        else {
            return Some("late or not: the objective isn't logged (earlier build)".to_owned());
        };
        let is_first_late = self.number("first_ms").is_none_or(|first| first > objective);
        let has_paused = self.number("slowest_ms").is_some_and(|pause| pause > max_gap);
        let first =
            format!("first event after {}, objective {objective} ms", self.text("first_ms", " ms"));
        let pause = format!("paused for {}, limit {max_gap} ms", self.text("slowest_ms", " ms"));
        match (is_first_late, has_paused) {
            (true, true) => Some(format!("late: {first}; {pause}")),
            (true, false) => Some(format!("late: {first}")),
            (false, true) => Some(format!("late: {pause}")),
            (false, false) => None,
        }
    }

    /// Why a response is incomplete, and what would have told its end.
    fn truncation(&self) -> String {
        let (fault, framing) = (self.text("fault", ""), self.text("framing", ""));
        format!("aborted: {fault}; end told by its {framing}")
    }

    fn stream(&self, outcome: &str) -> String {
        format!(
            "{outcome}; placed on {}: first event from the target expected after {}, came after {}; \
             tokens kept {}, unread {}; slowness {}; waited {} for its slot; {}",
            self.text("target", ""),
            self.text("expected_ms", " ms"),
            self.text("target_first_ms", " ms"),
            self.text("kept_tokens", ""),
            self.text("unread_tokens", ""),
            self.slowness(),
            self.text("slot_ms", " ms"),
            self.workspace(),
        )
    }

    fn slowness(&self) -> String {
        match self.number("slowness") {
            Some(slowness) => format!("{slowness:.2}"),
            None => self.text("slowness", ""),
        }
    }

    fn failure(&self) -> String {
        let placement = match self.number("sent") {
            Some(0.0) => "placed nowhere".to_owned(),
            _ => format!("sent {} times, tried targets {}", self.text("sent", ""), self.tried()),
        };
        format!(
            "failed with {}: {}; {placement}; waited {} for {}; {}",
            self.text("status", ""),
            self.text("cause", ""),
            self.text("slot_ms", " ms"),
            self.awaited(),
            self.workspace(),
        )
    }

    fn tried(&self) -> String {
        self.text("avoided", "").replace('"', "")
    }

    /// What the request waited for, by the cause of its failure.
    fn awaited(&self) -> String {
        match self.fields.get("cause").and_then(Value::as_str) {
            Some("over the quota") => "the quota of its workspace".to_owned(),
            _ => format!("a slot of {}", self.text("service", "")),
        }
    }
}
