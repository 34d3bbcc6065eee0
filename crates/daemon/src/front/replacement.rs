//! Replaces a target that has fallen silent. It may be dead or about to go on, so the exchange
//! with it is kept until another target has the request.

use super::attempt::Attempt;
use super::completion_stream::{CompletionStream, MAX_ATTEMPTS};
use crate::fleet::{self, TargetGuard, lock};
use std::time::{Duration, Instant};
use tokio::time::{sleep, sleep_until};
use transport::target::{AttemptError, StreamItem};

/// How long a silent target may go on running a request that was also sent to another one.
const MAX_OVERLAP: Duration = Duration::from_millis(250);
/// Interval at which a free target is looked for.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// What became of an attempt at a silent target.
pub enum Replaced {
    /// This attempt goes on; holds what it sent.
    By(Attempt, Option<StreamItem>),
    /// The target failed before another one had the request.
    Failed(Attempt, AttemptError),
    /// The deadline has passed.
    Expired,
}

/// What happens first.
enum Event {
    Silent(Result<StreamItem, AttemptError>),
    Other(Result<StreamItem, AttemptError>),
    /// The other target has had the request for long enough, or should be looked for.
    Due,
    Expired,
}

impl CompletionStream {
    /// Looks for a target that replaces the one of `silent`, while that may go on. Takes
    /// whichever sends something first.
    pub(super) async fn replace(&mut self, silent: Attempt) -> Replaced {
        let mut silent = silent;
        let mut other: Option<Attempt> = None;
        let mut due = Instant::now();
        self.on_silent(&silent);
        loop {
            let remaining = self.options.remaining(Instant::now());
            let event = tokio::select! {
                biased;
                item = silent.next_despite_idle() => Event::Silent(item),
                item = next_of(&mut other) => Event::Other(item),
                () = sleep_until(due.into()) => Event::Due,
                () = sleep(remaining) => Event::Expired,
            };
            match (event, other.take()) {
                (Event::Silent(Ok(item)), _) => {
                    self.log_end("kept", &silent);
                    self.target.clone_from(&silent.guard.target.config.name);
                    return Replaced::By(silent, Some(item));
                }
                (Event::Silent(Err(error)), None) => return Replaced::Failed(silent, error),
                (Event::Silent(Err(error)), Some(other)) => {
                    self.on_failure(&silent.guard, &error, Instant::now());
                    return Replaced::By(other, None);
                }
                (Event::Other(Ok(item)), Some(other)) => {
                    self.on_given_up("replaced", &silent);
                    return Replaced::By(other, Some(item));
                }
                (Event::Other(Err(error)), Some(other)) => {
                    self.on_failure(&other.guard, &error, Instant::now());
                    due = Instant::now() + RETRY_INTERVAL;
                }
                (Event::Due, Some(other)) => {
                    self.on_given_up("replaced", &silent);
                    return Replaced::By(other, None);
                }
                (Event::Due | Event::Other(_), None) => {
                    let now = Instant::now();
                    other = self.start_replacement(&silent, now);
                    due = now + if other.is_some() { MAX_OVERLAP } else { RETRY_INTERVAL };
                }
                (Event::Expired, _) => {
                    self.on_given_up("expired", &silent);
                    return Replaced::Expired;
                }
            }
        }
    }

    /// Sends the request to another target, if one is free and the request may be sent again.
    fn start_replacement(&mut self, silent: &Attempt, now: Instant) -> Option<Attempt> {
        if self.attempts >= MAX_ATTEMPTS || lock(&self.shared.budget).is_used_up() {
            return None;
        }
        let guard = self.pick_replacement(silent, now)?;
        let is_taken = lock(&self.shared.budget).try_take();
        is_taken.then(|| self.start(guard, now))
    }

    /// Picks a free target that responds, preferably one that hasn't been tried.
    fn pick_replacement(&self, silent: &Attempt, now: Instant) -> Option<TargetGuard> {
        let view = self.shared.view();
        let targets = view.services.get(&self.service)?;
        let unresponsive = targets.targets.iter().filter(|target| target.is_unresponsive());
        let mut excluded: Vec<_> = unresponsive.map(|target| target.config.name.clone()).collect();
        excluded.push(silent.guard.target.config.name.clone());
        let tried = [&excluded[..], &self.tried[..]].concat();
        let data_centre = &self.shared.settings.data_centre;
        let pick =
            |excluded: &[_]| fleet::pick(targets, &self.requirements, excluded, data_centre, now);
        pick(&tried).or_else(|| pick(&excluded))
    }

    fn on_silent(&mut self, silent: &Attempt) {
        self.sent = true;
        self.tried.push(silent.guard.target.config.name.clone());
        slog::info!(self.shared.log, "target is silent"; "service" => &self.service,
            "key" => self.key(), "target" => &silent.guard.target.config.name,
            "tokens" => self.tokens, "attempts" => self.attempts);
    }

    /// Counts a failure of a target that was silent only to this request. Missed load reports have
    /// been counted.
    fn on_given_up(&self, outcome: &'static str, silent: &Attempt) {
        if !silent.guard.target.is_unresponsive() {
            silent.guard.on_failure(Instant::now());
        }
        self.log_end(outcome, silent);
    }

    fn log_end(&self, outcome: &'static str, silent: &Attempt) {
        self.shared.telemetry.count(&format!("front.silence_{outcome}"));
        slog::info!(self.shared.log, "silence ended"; "service" => &self.service,
            "key" => self.key(), "target" => &silent.guard.target.config.name, "how" => outcome,
            "tokens" => self.tokens, "attempts" => self.attempts);
    }
}

async fn next_of(attempt: &mut Option<Attempt>) -> Result<StreamItem, AttemptError> {
    match attempt {
        Some(attempt) => attempt.next_despite_idle().await,
        None => std::future::pending().await,
    }
}
