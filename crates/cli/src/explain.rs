//! `gatespool explain`: the story of one request, item or job, from the logs of
//! several instances.
//!
//! It takes every line that names the id, and around them what the same
//! instances came to believe meanwhile: members, targets, configuration, the
//! platform lost and regained. Lines come out in order of time.

use crate::exit::Exit;
use crate::options::Explain;
use anyhow::Context;
use serde_json::Value;
use std::collections::BTreeSet;
use std::path::Path;

/// Lines that tell what an instance believes rather than what it did.
const BELIEFS: [&str; 16] = [
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
/// Keys that every line has, which say nothing of the decision.
const FRAME: [&str; 4] = ["msg", "level", "ts", "data_centre"];
/// How much earlier than the first line beliefs are of interest, in seconds.
const BEFORE: f64 = 2.0;

/// One line of a log.
#[derive(Clone, Debug)]
struct Line {
    /// Time as it was written; instances' clocks may differ a little.
    time: String,
    /// Seconds of the day, for the window around the story.
    seconds: f64,
    /// The instance: what stands before the line, else the file's name.
    source: String,
    message: String,
    value: Value,
}

impl Line {
    fn read(text: &str, file: &str) -> Option<Line> {
        let start = text.find('{')?;
        let value: Value = serde_json::from_str(&text[start..]).ok()?;
        let time = value["ts"].as_str()?.to_owned();
        let before = text[..start].split_whitespace().next_back().unwrap_or(file);
        let message = value["msg"].as_str()?.to_owned();
        let seconds = seconds_of_day(&time)?;
        Some(Line { time, seconds, source: before.to_owned(), message, value })
    }

    fn names(&self, id: &str) -> bool {
        let values = self.value.as_object().into_iter().flat_map(|object| object.values());
        values.filter_map(Value::as_str).any(|value| value == id)
    }

    fn text(&self, key: &str) -> Option<&str> {
        self.value.get(key).and_then(Value::as_str)
    }

    fn show(&self) -> String {
        let object = self.value.as_object();
        let fields = object.into_iter().flatten().filter(|(key, value)| {
            !FRAME.contains(&key.as_str()) && !value.is_null() && *value != ""
        });
        let fields: Vec<String> = fields.map(|(key, value)| format!("{key}={value}")).collect();
        format!("{}  {:<20}  {:<24}  {}", self.time, self.source, self.message, fields.join(" "))
    }
}

/// Seconds since midnight of a time like `2026-12-02T14:03:05.25Z`.
fn seconds_of_day(time: &str) -> Option<f64> {
    let clock = time.split('T').nth(1)?.trim_end_matches('Z');
    let parts: Vec<f64> = clock.split(':').filter_map(|part| part.parse().ok()).collect();
    match parts[..] {
        [hours, minutes, seconds] => Some(hours * 3_600.0 + minutes * 60.0 + seconds),
        _ => None,
    }
}

/// Tells the story of an id.
///
/// # Errors
///
/// A file that can't be read.
pub fn run(args: &Explain) -> anyhow::Result<Exit> {
    let mut lines = Vec::new();
    for file in &args.files {
        lines.append(&mut read(file)?);
    }
    let story = story(&lines, &args.id, args.beliefs);
    if story.is_empty() {
        eprintln!("{}: no line names it", args.id);
        return Ok(Exit::No);
    }
    for line in story {
        println!("{}", line.show());
    }
    Ok(Exit::Done)
}

fn read(file: &Path) -> anyhow::Result<Vec<Line>> {
    let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
    let name = file.file_stem().and_then(|stem| stem.to_str()).unwrap_or("log");
    Ok(text.lines().filter_map(|line| Line::read(line, name)).collect())
}

fn story<'a>(lines: &'a [Line], id: &str, beliefs: bool) -> Vec<&'a Line> {
    let named: Vec<&Line> = lines.iter().filter(|line| line.names(id)).collect();
    let seconds = named.iter().map(|line| line.seconds);
    let from = seconds.clone().fold(f64::INFINITY, f64::min) - BEFORE;
    let to = seconds.fold(f64::NEG_INFINITY, f64::max);
    let sources: BTreeSet<&str> = named.iter().map(|line| line.source.as_str()).collect();
    let targets: BTreeSet<&str> = named.iter().filter_map(|line| line.text("target")).collect();
    let is_belief = |line: &&Line| {
        let is_near = line.seconds >= from && line.seconds <= to;
        let is_of_target = line.text("target").is_none_or(|target| targets.contains(target));
        let is_one = BELIEFS.contains(&line.message.as_str());
        beliefs && is_one && is_near && is_of_target && sources.contains(line.source.as_str())
    };
    let mut story: Vec<&Line> =
        lines.iter().filter(|line| line.names(id) || is_belief(line)).collect();
    story.sort_by(|a, b| (&a.time, &a.source).cmp(&(&b.time, &b.source)));
    story
}
