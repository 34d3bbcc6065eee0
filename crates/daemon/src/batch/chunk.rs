//! A chunk that this instance runs: which items wait, run, and have outcomes.

use protocol::Kind;
use protocol::job::{Item, Outcome};
use state::command::ChunkAssignment;
use state::part::{ChunkItems as Items, ChunkProgress, Plan, ResultPart, ResultPartRef};
use state::record::Disposition;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Instant;

/// Maximum number of at-most-once items recorded as started with one report.
const MAX_RECORDED_STARTS: usize = 16;

/// Output of a preempted stream, to resume from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Partial {
    /// Text so far.
    pub text: String,
    /// Number of tokens in `text`.
    pub tokens: u32,
}

/// An item that waits or runs.
#[derive(Clone, Debug)]
pub struct PendingItem {
    /// Position in the chunk.
    pub index: u32,
    /// The item with its prompt.
    pub item: Item,
    /// Failed attempts so far.
    pub attempts: u32,
    /// Output of an earlier, preempted stream.
    pub partial: Partial,
}

/// Outcome of one run of an item.
#[derive(Clone, Debug)]
pub enum RunOutcome {
    /// Completed with this text.
    Completed(String),
    /// Preempted with this output so far.
    Preempted(Partial),
    /// Failed for this reason; counts as an attempt.
    Failed(String),
    /// Not sent, or rejected by the target; doesn't count as an attempt.
    Rejected,
}

/// A report that isn't acknowledged yet. It stays the same until then, so that it can be
/// sent again after a lost reply.
#[derive(Clone, Debug)]
pub struct Report {
    /// Object that it is written to; `None` without outcomes or starts.
    pub part: Option<(ResultPartRef, ResultPart)>,
    /// Number of items with an outcome in this report.
    pub done: u32,
    /// Number of those that failed.
    pub failed: u32,
    /// What becomes of the chunk after it.
    pub disposition: Disposition,
}

/// A chunk held by this instance.
pub struct Chunk {
    /// The assignment that this instance holds.
    pub assignment: ChunkAssignment,
    /// Items that may start now.
    pub waiting: VecDeque<PendingItem>,
    /// At-most-once items that must be recorded as started first.
    pub unrecorded_starts: VecDeque<PendingItem>,
    running: BTreeMap<u32, PendingItem>,
    unwritten: BTreeMap<u32, Outcome>,
    recording_starts: Vec<u32>,
    total: usize,
    finished: BTreeSet<u32>,
    parts: u32,
    /// The report that isn't acknowledged yet.
    pub report: Option<Report>,
    /// When the last report was acknowledged; at first, when the chunk was claimed.
    pub last_reported: Instant,
    /// When this instance last owned a usable target for it.
    pub last_serviceable: Instant,
    /// Whether a task is sending a report.
    pub sending: bool,
    /// Whether no new item starts, because the chunk will be released.
    pub releasing: bool,
}

impl Chunk {
    /// Creates a chunk from its assignment and the results that earlier holders recorded.
    pub fn new(
        assignment: ChunkAssignment,
        items: Items,
        progress: &ChunkProgress,
        max_attempts: u32,
        now: Instant,
    ) -> Chunk {
        let total = items.items.len();
        let mut chunk = Chunk {
            assignment,
            waiting: VecDeque::new(),
            unrecorded_starts: VecDeque::new(),
            running: BTreeMap::new(),
            unwritten: BTreeMap::new(),
            recording_starts: Vec::new(),
            total,
            finished: progress.outcomes.keys().copied().collect(),
            parts: 0,
            report: None,
            last_reported: now,
            last_serviceable: now,
            sending: false,
            releasing: false,
        };
        for (index, item) in items.items.into_iter().enumerate() {
            chunk.plan(index as u32, item, progress, max_attempts);
        }
        chunk
    }

    fn plan(&mut self, index: u32, item: Item, progress: &ChunkProgress, max_attempts: u32) {
        match progress.plan(index, &item, max_attempts) {
            Plan::Skip => {}
            Plan::OutcomeUnknown => {
                let reason = "the item was started and its outcome is unknown";
                self.fail(index, Kind::MayHaveRun, reason.into());
            }
            Plan::AttemptsExhausted => {
                self.fail(index, Kind::AttemptsExhausted, "every attempt failed".into());
            }
            Plan::Run { tries } => {
                let is_at_most_once = !item.repeatable;
                let pending =
                    PendingItem { index, item, attempts: tries, partial: Partial::default() };
                if is_at_most_once {
                    self.unrecorded_starts.push_back(pending);
                } else {
                    self.waiting.push_back(pending);
                }
            }
        }
    }

    /// Whether an item may start now; an at-most-once item only if `allow_at_most_once`.
    pub fn has_item(&self, allow_at_most_once: bool) -> bool {
        !self.releasing && self.next_position(allow_at_most_once).is_some()
    }

    fn next_position(&self, allow_at_most_once: bool) -> Option<usize> {
        self.waiting.iter().position(|pending| allow_at_most_once || pending.item.repeatable)
    }

    /// Takes the next item to run; an at-most-once item only if `allow_at_most_once`.
    pub fn take_next(&mut self, allow_at_most_once: bool) -> Option<PendingItem> {
        if self.releasing {
            return None;
        }
        let pending = self.waiting.remove(self.next_position(allow_at_most_once)?)?;
        self.running.insert(pending.index, pending.clone());
        Some(pending)
    }

    /// Number of items that may start now or after the next report.
    pub fn ready_count(&self) -> usize {
        if self.releasing { 0 } else { self.waiting.len() + self.unrecorded_starts.len() }
    }

    /// Number of items that run.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Number of outcomes that aren't recorded yet.
    pub fn unrecorded_count(&self) -> usize {
        let reported =
            self.report.as_ref().and_then(|r| r.part.as_ref()).map_or(0, |(_, p)| p.outcomes.len());
        self.unwritten.len() + reported
    }

    /// Handles the end of an item's run.
    pub fn on_run_ended(&mut self, index: u32, outcome: RunOutcome, max_attempts: u32) {
        let Some(mut pending) = self.running.remove(&index) else {
            return;
        };
        match outcome {
            RunOutcome::Completed(text) => {
                self.finished.insert(index);
                self.unwritten.insert(index, Outcome::Completed { text });
            }
            RunOutcome::Preempted(partial) => {
                pending.partial = partial;
                self.waiting.push_front(pending);
            }
            RunOutcome::Rejected => self.waiting.push_back(pending),
            RunOutcome::Failed(reason) if !pending.item.repeatable => {
                self.fail(index, Kind::MayHaveRun, reason);
            }
            RunOutcome::Failed(reason) => {
                pending.attempts += 1;
                if pending.attempts >= max_attempts {
                    let text = format!("{} attempts: {reason}", pending.attempts);
                    self.fail(index, Kind::AttemptsExhausted, text);
                } else {
                    self.waiting.push_back(pending);
                }
            }
        }
    }

    fn fail(&mut self, index: u32, kind: Kind, reason: String) {
        self.finished.insert(index);
        self.unwritten.insert(index, Outcome::Failed { kind, reason });
    }

    fn is_finished(&self) -> bool {
        self.finished.len() == self.total
    }

    /// Whether a report is due: the interval has passed, every item is finished, starts
    /// must be recorded, or the chunk can be released.
    pub fn is_due(&self, interval: std::time::Duration, now: Instant) -> bool {
        let may_release = self.releasing && self.running.is_empty();
        let is_idle = self.waiting.is_empty() && self.running.is_empty();
        let has_starts_to_record = is_idle && !self.unrecorded_starts.is_empty();
        let is_interval_over = now.saturating_duration_since(self.last_reported) >= interval;
        self.is_finished() || may_release || has_starts_to_record || is_interval_over
    }

    /// Returns the unacknowledged report, or makes a new one.
    pub fn make_report(&mut self) -> Report {
        if let Some(report) = &self.report {
            return report.clone();
        }
        let outcomes = std::mem::take(&mut self.unwritten);
        let starts =
            if self.releasing { 0 } else { MAX_RECORDED_STARTS.min(self.unrecorded_starts.len()) };
        self.recording_starts =
            self.unrecorded_starts.iter().take(starts).map(|p| p.index).collect();
        let tries: BTreeMap<u32, u32> = self.attempts();
        let done = outcomes.len() as u32;
        let is_failed = |o: &&Outcome| matches!(o, Outcome::Failed { .. });
        let failed = outcomes.values().filter(is_failed).count() as u32;
        let disposition = match (self.is_finished(), self.releasing && self.running.is_empty()) {
            (true, _) => Disposition::Done,
            (false, true) => Disposition::Release,
            (false, false) => Disposition::Continue,
        };
        let part = ResultPart { outcomes, started: self.recording_starts.clone(), tries };
        let is_needed = !part.outcomes.is_empty() || !part.started.is_empty();
        let part_ref = ResultPartRef { attempt: self.assignment.attempt, part: self.parts };
        let part = is_needed.then_some((part_ref, part));
        let report = Report { part, done, failed, disposition };
        self.report = Some(report.clone());
        report
    }

    /// Attempts of unfinished items; a running one counts its current attempt, in case it
    /// crashes this instance.
    fn attempts(&self) -> BTreeMap<u32, u32> {
        let pending = self.waiting.iter().map(|p| (p.index, p.attempts));
        let running = self.running.values().map(|p| (p.index, p.attempts + 1));
        pending.chain(running).filter(|(_, tries)| *tries > 0).collect()
    }

    /// Handles the acknowledgement of the report: items recorded as started may start.
    /// Returns whether this instance no longer holds the chunk.
    pub fn on_recorded(&mut self, now: Instant) -> bool {
        self.last_reported = now;
        let Some(report) = self.report.take() else {
            return false;
        };
        if report.part.is_some() {
            self.parts += 1;
        }
        for _ in 0..std::mem::take(&mut self.recording_starts).len() {
            self.waiting.extend(self.unrecorded_starts.pop_front());
        }
        report.disposition != Disposition::Continue
    }
}
