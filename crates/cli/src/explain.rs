//! `explain`: log lines about one request, item or job from the logs of several
//! instances, sorted by time.
//!
//! With `--beliefs` it includes the state events that the same instances logged
//! around that time: members, targets, configuration, availability of the platform.
//! For a request that was late or rejected, the last line states why it was placed where it was
//! and what it waited for.

mod verdict;

use crate::exit::Exit;
use crate::options::Explain;
use anyhow::Context;
use serde_json::Value;
use std::collections::BTreeSet;
use std::path::Path;

/// Log messages about changes of an instance's view of the system.
const STATE_EVENTS: [&str; 16] = [
    "started",
    "stop ordered",
    "reload",
    "members",
    "slot allocators changed",
    "configuration in force",
    "platform lost",
    "platform contact lost",
    "platform regained",
    "watch started",
    "watch stopped",
    "watch broken",
    "watch history expired",
    "target",
    "target gone",
    "targets missing",
];
/// Keys that are left out of the printed fields because every line has them.
const COMMON_KEYS: [&str; 4] = ["msg", "level", "ts", "data_centre"];
/// Time before the first matching line from which state events are included.
const CONTEXT_SECONDS: f64 = 2.0;

#[derive(Clone, Debug)]
struct LogLine {
    /// Timestamp as logged; clocks of instances may differ.
    time: String,
    /// Seconds since midnight.
    seconds: f64,
    /// Instance that logged it: the word before the JSON object, or the file name.
    source: String,
    message: String,
    value: Value,
}

impl LogLine {
    fn parse(text: &str, file: &str) -> Option<LogLine> {
        let start = text.find('{')?;
        let value: Value = serde_json::from_str(&text[start..]).ok()?;
        let time = value["ts"].as_str()?.to_owned();
        let prefix = text[..start].split_whitespace().next_back().unwrap_or(file);
        let message = value["msg"].as_str()?.to_owned();
        let seconds = seconds_of_day(&time)?;
        Some(LogLine { time, seconds, source: prefix.to_owned(), message, value })
    }

    fn mentions(&self, id: &str) -> bool {
        let values = self.value.as_object().into_iter().flat_map(|object| object.values());
        values.filter_map(Value::as_str).any(|value| value == id)
    }

    fn str_field(&self, key: &str) -> Option<&str> {
        self.value.get(key).and_then(Value::as_str)
    }

    fn format(&self) -> String {
        let object = self.value.as_object();
        let fields = object.into_iter().flatten().filter(|(key, value)| {
            !COMMON_KEYS.contains(&key.as_str()) && !value.is_null() && *value != ""
        });
        let fields: Vec<String> = fields.map(|(key, value)| format!("{key}={value}")).collect();
        format!("{}  {:<20}  {:<24}  {}", self.time, self.source, self.message, fields.join(" "))
    }
}

/// Parses a time such as `2026-12-02T14:03:05.25Z` to seconds since midnight.
fn seconds_of_day(time: &str) -> Option<f64> {
    let time_of_day = time.split('T').nth(1)?.trim_end_matches('Z');
    let parts: Vec<f64> = time_of_day.split(':').filter_map(|part| part.parse().ok()).collect();
    match parts[..] {
        [hours, minutes, seconds] => Some(hours * 3_600.0 + minutes * 60.0 + seconds),
        _ => None,
    }
}

/// Prints the log lines about an id.
///
/// # Errors
///
/// A file can't be read.
pub fn run(args: &Explain) -> anyhow::Result<Exit> {
    let mut lines = Vec::new();
    for file in &args.files {
        lines.append(&mut read_log(file)?);
    }
    let timeline = timeline(&lines, &args.id, args.beliefs);
    if timeline.is_empty() {
        eprintln!("{}: no log line mentions this id", args.id);
        return Ok(Exit::Negative);
    }
    for line in &timeline {
        println!("{}", line.format());
    }
    if let Some(verdict) = verdict(&timeline, &args.id) {
        println!("{verdict}");
    }
    Ok(Exit::Success)
}

/// Describes the last outcome of a request. Other ids, such as the content of several requests,
/// have none.
fn verdict(timeline: &[&LogLine], id: &str) -> Option<String> {
    let is_outcome = |line: &&&LogLine| {
        line.str_field("request") == Some(id) && verdict::OUTCOMES.contains(&line.message.as_str())
    };
    let outcome = timeline.iter().rfind(is_outcome)?;
    verdict::describe(&outcome.message, outcome.value.as_object()?)
}

fn read_log(file: &Path) -> anyhow::Result<Vec<LogLine>> {
    let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
    let name = file.file_stem().and_then(|stem| stem.to_str()).unwrap_or("log");
    Ok(text.lines().filter_map(|line| LogLine::parse(line, name)).collect())
}

fn timeline<'a>(lines: &'a [LogLine], id: &str, beliefs: bool) -> Vec<&'a LogLine> {
    let mentions: Vec<&LogLine> = lines.iter().filter(|line| line.mentions(id)).collect();
    let seconds = mentions.iter().map(|line| line.seconds);
    let from = seconds.clone().fold(f64::INFINITY, f64::min) - CONTEXT_SECONDS;
    let to = seconds.fold(f64::NEG_INFINITY, f64::max);
    let sources: BTreeSet<&str> = mentions.iter().map(|line| line.source.as_str()).collect();
    let targets: BTreeSet<&str> =
        mentions.iter().filter_map(|line| line.str_field("target")).collect();
    let is_state_event = |line: &&LogLine| {
        let is_in_window = line.seconds >= from && line.seconds <= to;
        let is_relevant_target =
            line.str_field("target").is_none_or(|target| targets.contains(target));
        let is_listed = STATE_EVENTS.contains(&line.message.as_str());
        beliefs
            && is_listed
            && is_in_window
            && is_relevant_target
            && sources.contains(line.source.as_str())
    };
    let mut timeline: Vec<&LogLine> =
        lines.iter().filter(|line| line.mentions(id) || is_state_event(line)).collect();
    timeline.sort_by(|a, b| (&a.time, &a.source).cmp(&(&b.time, &b.source)));
    timeline
}
