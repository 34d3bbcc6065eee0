//! A chunk that this instance runs: which items wait, run, and have outcomes.

use protocol::Kind;
use protocol::job::{Item, Outcome};
use state::command::ChunkAssignment;
use state::part::{ChunkItems as Items, ChunkProgress, Plan, ResultPart, ResultPartRef};
use state::record::Disposition;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Instant;

/// Items that may run once and are noted as started with one report.
const START_GROUP: usize = 16;

/// Where a parked stream goes on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Partial {
    /// Text so far.
    pub text: String,
    /// Tokens so far.
    pub tokens: u32,
}

/// An item that waits.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Place in the chunk.
    pub index: u32,
    /// The item.
    pub item: Item,
    /// Tries before.
    pub tries: u32,
    /// What an earlier stream already brought.
    pub partial: Partial,
}

/// How the run of an item ended.
#[derive(Clone, Debug)]
pub enum End {
    /// With the whole text.
    Whole(String),
    /// It made way; the text so far is kept.
    Parked(Partial),
    /// The target failed it; that counts as a try.
    Failed(String),
    /// The target didn't take it; that doesn't count.
    NotTaken,
}

/// A report that isn't acknowledged yet. It doesn't change until it is, so that
/// a report whose answer was lost can be given again.
#[derive(Clone, Debug)]
pub struct Report {
    /// Object it is written to, if it brings anything.
    pub part: Option<(ResultPartRef, ResultPart)>,
    /// Items with an outcome.
    pub done: u32,
    /// Of those, failed.
    pub failed: u32,
    /// What becomes of the chunk.
    pub after: Disposition,
}

/// A chunk in hand.
pub struct Chunk {
    /// What was handed out.
    pub work: ChunkAssignment,
    /// Items that may start.
    pub waiting: VecDeque<Waiting>,
    /// Items that may run once and aren't noted as started.
    pub unnoted: VecDeque<Waiting>,
    running: BTreeMap<u32, Waiting>,
    fresh: BTreeMap<u32, Outcome>,
    noting: Vec<u32>,
    total: usize,
    ended: BTreeSet<u32>,
    parts: u32,
    /// The report under way.
    pub report: Option<Report>,
    /// When the last report was acknowledged.
    pub reported: Instant,
    /// When there last was a target for it here.
    pub served: Instant,
    /// Whether a report is being sent.
    pub sending: bool,
    /// Whether no new item starts, because the chunk is given back.
    pub closing: bool,
}

impl Chunk {
    /// A chunk as handed out, with what earlier holders recorded.
    pub fn new(
        work: ChunkAssignment,
        items: Items,
        progress: &ChunkProgress,
        most: u32,
        now: Instant,
    ) -> Chunk {
        let total = items.items.len();
        let mut chunk = Chunk {
            work,
            waiting: VecDeque::new(),
            unnoted: VecDeque::new(),
            running: BTreeMap::new(),
            fresh: BTreeMap::new(),
            noting: Vec::new(),
            total,
            ended: progress.outcomes.keys().copied().collect(),
            parts: 0,
            report: None,
            reported: now,
            served: now,
            sending: false,
            closing: false,
        };
        for (index, item) in items.items.into_iter().enumerate() {
            chunk.plan(index as u32, item, progress, most);
        }
        chunk
    }

    fn plan(&mut self, index: u32, item: Item, progress: &ChunkProgress, most: u32) {
        match progress.plan(index, &item, most) {
            Plan::Skip => {}
            Plan::OutcomeUnknown => {
                let reason = "the item was started and its outcome is unknown";
                self.fail(index, Kind::MayHaveRun, reason.into());
            }
            Plan::AttemptsExhausted => {
                self.fail(index, Kind::AttemptsExhausted, "every try failed".into());
            }
            Plan::Run { tries } => {
                let once = !item.repeatable;
                let waiting = Waiting { index, item, tries, partial: Partial::default() };
                if once {
                    self.unnoted.push_back(waiting);
                } else {
                    self.waiting.push_back(waiting);
                }
            }
        }
    }

    /// Whether an item may start now; one that may run once only when `may_once`.
    pub fn has_item(&self, may_once: bool) -> bool {
        !self.closing && self.place(may_once).is_some()
    }

    fn place(&self, may_once: bool) -> Option<usize> {
        self.waiting.iter().position(|waiting| may_once || waiting.item.repeatable)
    }

    /// Takes the next item to run.
    pub fn take(&mut self, may_once: bool) -> Option<Waiting> {
        if self.closing {
            return None;
        }
        let waiting = self.waiting.remove(self.place(may_once)?)?;
        self.running.insert(waiting.index, waiting.clone());
        Some(waiting)
    }

    /// Items that could start now or after the next report.
    pub fn ready(&self) -> usize {
        if self.closing { 0 } else { self.waiting.len() + self.unnoted.len() }
    }

    /// Items that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Outcomes that aren't recorded.
    pub fn unrecorded(&self) -> usize {
        let held =
            self.report.as_ref().and_then(|r| r.part.as_ref()).map_or(0, |(_, p)| p.outcomes.len());
        self.fresh.len() + held
    }

    /// The run of an item ended.
    pub fn on_end(&mut self, index: u32, end: End, most: u32) {
        let Some(mut waiting) = self.running.remove(&index) else {
            return;
        };
        match end {
            End::Whole(text) => {
                self.ended.insert(index);
                self.fresh.insert(index, Outcome::Completed { text });
            }
            End::Parked(partial) => {
                waiting.partial = partial;
                self.waiting.push_front(waiting);
            }
            End::NotTaken => self.waiting.push_back(waiting),
            End::Failed(reason) if !waiting.item.repeatable => {
                self.fail(index, Kind::MayHaveRun, reason);
            }
            End::Failed(reason) => {
                waiting.tries += 1;
                if waiting.tries >= most {
                    let text = format!("{} tries: {reason}", waiting.tries);
                    self.fail(index, Kind::AttemptsExhausted, text);
                } else {
                    self.waiting.push_back(waiting);
                }
            }
        }
    }

    fn fail(&mut self, index: u32, kind: Kind, reason: String) {
        self.ended.insert(index);
        self.fresh.insert(index, Outcome::Failed { kind, reason });
    }

    fn is_done(&self) -> bool {
        self.ended.len() == self.total
    }

    /// Whether a report is due: the time has come, all is done, items wait to be
    /// noted as started, or the chunk is to be given back.
    pub fn is_due(&self, every: std::time::Duration, now: Instant) -> bool {
        let given_back = self.closing && self.running.is_empty();
        let starved = self.waiting.is_empty() && self.running.is_empty();
        let noting = starved && !self.unnoted.is_empty();
        let time = now.saturating_duration_since(self.reported) >= every;
        self.is_done() || given_back || noting || time
    }

    /// The report to send: the one under way, or a new one.
    pub fn make_report(&mut self) -> Report {
        if let Some(report) = &self.report {
            return report.clone();
        }
        let outcomes = std::mem::take(&mut self.fresh);
        let group = if self.closing { 0 } else { START_GROUP.min(self.unnoted.len()) };
        self.noting = self.unnoted.iter().take(group).map(|w| w.index).collect();
        let tries: BTreeMap<u32, u32> = self.tries();
        let done = outcomes.len() as u32;
        let is_failed = |o: &&Outcome| matches!(o, Outcome::Failed { .. });
        let failed = outcomes.values().filter(is_failed).count() as u32;
        let after = match (self.is_done(), self.closing && self.running.is_empty()) {
            (true, _) => Disposition::Done,
            (false, true) => Disposition::Release,
            (false, false) => Disposition::Continue,
        };
        let part = ResultPart { outcomes, started: self.noting.clone(), tries };
        let is_news = !part.outcomes.is_empty() || !part.started.is_empty();
        let place = ResultPartRef { attempt: self.work.attempt, part: self.parts };
        let part = is_news.then_some((place, part));
        let report = Report { part, done, failed, after };
        self.report = Some(report.clone());
        report
    }

    /// Tries of items without an outcome; a running item counts as tried, since
    /// it may be what ends this instance.
    fn tries(&self) -> BTreeMap<u32, u32> {
        let waiting = self.waiting.iter().map(|w| (w.index, w.tries));
        let running = self.running.values().map(|w| (w.index, w.tries + 1));
        waiting.chain(running).filter(|(_, tries)| *tries > 0).collect()
    }

    /// The report is recorded; items noted as started may now start. Returns
    /// whether the chunk is over for this instance.
    pub fn on_recorded(&mut self, now: Instant) -> bool {
        self.reported = now;
        let Some(report) = self.report.take() else {
            return false;
        };
        if report.part.is_some() {
            self.parts += 1;
        }
        for _ in 0..std::mem::take(&mut self.noting).len() {
            self.waiting.extend(self.unnoted.pop_front());
        }
        report.after != Disposition::Continue
    }
}
