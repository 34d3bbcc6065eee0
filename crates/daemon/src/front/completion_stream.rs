//! Obtains one completion from the targets: selects a target, queues, retries and
//! resumes an interrupted stream on another target.

use super::attempt::Attempt;
use super::replacement::Replaced;
use super::request_options::{Class, RequestOptions};
use crate::clock;
use crate::fleet::{self, Requirements, ServiceTargets, TargetGuard, lock};
use crate::shared::Shared;
use coordination::leaving::{Notice, Source};
use coordination::queue::{self, Decision, Queue};
use coordination::retry::{self, Failure};
use protocol::chat::{Request, Resume};
use protocol::{Error, Kind, TargetId};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use transport::target::{AttemptError, AttemptMeta, Client, StreamItem};

/// Maximum number of targets that a request is sent to.
pub(super) const MAX_ATTEMPTS: u32 = 4;

/// A completion in progress.
pub struct CompletionStream {
    pub(super) shared: Arc<Shared>,
    client: Client,
    pub(super) options: RequestOptions,
    pub(super) requirements: Requirements,
    pub(super) service: String,
    request: Request,
    attempt: Option<Attempt>,
    pub(super) tried: Vec<TargetId>,
    pub(super) attempts: u32,
    pub(super) sent: bool,
    text: String,
    pub(super) tokens: u32,
    pub(super) target: TargetId,
}

impl CompletionStream {
    /// Nothing is sent until the first call of [`CompletionStream::next`].
    pub fn new(
        shared: Arc<Shared>,
        client: Client,
        options: RequestOptions,
        requirements: Requirements,
        service: String,
        request: Request,
    ) -> CompletionStream {
        CompletionStream {
            shared,
            client,
            options,
            requirements,
            service,
            request,
            attempt: None,
            tried: Vec::new(),
            attempts: 0,
            sent: false,
            text: String::new(),
            tokens: 0,
            target: TargetId::new(),
        }
    }

    /// Whether a target may have received the request.
    pub fn was_sent(&self) -> bool {
        self.sent
    }

    /// The text received so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The number of tokens received so far.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// The target of the current or latest attempt; empty before the first.
    pub fn target(&self) -> &str {
        &self.target
    }

    /// Returns the next item, retrying failed attempts.
    ///
    /// # Errors
    ///
    /// Why the completion can't be finished.
    pub async fn next(&mut self) -> Result<StreamItem, Error> {
        loop {
            let attempt = match self.attempt.take() {
                Some(attempt) => attempt,
                None => {
                    let guard = self.acquire_target().await?;
                    self.start(guard, Instant::now())
                }
            };
            if let Some(item) = self.advance(attempt).await? {
                return Ok(item);
            }
        }
    }

    /// Waits until the attempt brings an item, fails or falls silent; `None` if another attempt
    /// is to go on.
    async fn advance(&mut self, attempt: Attempt) -> Result<Option<StreamItem>, Error> {
        let mut attempt = attempt;
        let remaining = self.options.remaining(Instant::now());
        let silence = attempt.silence();
        let item = tokio::select! {
            biased;
            item = attempt.next() => item,
            () = silence, if self.options.repeatable => return self.on_silence(attempt).await,
            () = tokio::time::sleep(remaining) => return self.on_deadline(&attempt).map(|()| None),
        };
        match item {
            Ok(item) => Ok(Some(self.accept(attempt, item))),
            Err(error) if attempt.is_idle(&error) => self.on_idle(attempt).await,
            Err(error) => self.on_interruption(attempt, &error),
        }
    }

    /// A request that may run at most once waits for its target.
    async fn on_idle(&mut self, attempt: Attempt) -> Result<Option<StreamItem>, Error> {
        if self.options.repeatable {
            return self.on_silence(attempt).await;
        }
        self.attempt = Some(attempt);
        Ok(None)
    }

    async fn on_silence(&mut self, silent: Attempt) -> Result<Option<StreamItem>, Error> {
        match self.replace(silent).await {
            Replaced::By(attempt, Some(item)) => Ok(Some(self.accept(attempt, item))),
            Replaced::By(attempt, None) => {
                self.attempt = Some(attempt);
                Ok(None)
            }
            Replaced::Failed(attempt, error) => self.on_interruption(attempt, &error),
            Replaced::Expired => Err(deadline_exceeded()),
        }
    }

    fn on_deadline(&mut self, attempt: &Attempt) -> Result<(), Error> {
        self.sent = true;
        if attempt.has_begun() {
            return Err(deadline_exceeded());
        }
        let error = AttemptError::new(Failure::Unknown, "no response before the deadline");
        self.on_error(&attempt.guard, &AttemptError { is_timeout: true, ..error })
    }

    fn accept(&mut self, attempt: Attempt, item: StreamItem) -> StreamItem {
        self.sent = true;
        if let StreamItem::Token(text) = &item {
            self.text.push_str(text);
            self.tokens += 1;
            self.attempt = Some(attempt);
        } else {
            attempt.guard.on_success();
        }
        item
    }

    fn on_interruption(
        &mut self,
        attempt: Attempt,
        error: &AttemptError,
    ) -> Result<Option<StreamItem>, Error> {
        self.sent |= attempt.has_begun();
        if attempt.has_begun() && self.shared.settings.is_guard_disabled("whole") {
            return Ok(Some(StreamItem::End("stop".into())));
        }
        self.on_error(&attempt.guard, error)?;
        Ok(None)
    }

    /// Sends the request to a target, with what has been received so far.
    pub(super) fn start(&mut self, guard: TargetGuard, now: Instant) -> Attempt {
        let meta = AttemptMeta {
            attempt: rand::random(),
            key: self.key().to_owned(),
            priority: u8::from(self.options.class == Class::Batch),
            timeout: self.options.remaining(now),
        };
        self.request.stream = true;
        self.request.resume =
            (self.tokens > 0).then(|| Resume { text: self.text.clone(), tokens: self.tokens });
        self.attempts += 1;
        if self.attempts == 1 {
            lock(&self.shared.budget).on_request();
        }
        self.target.clone_from(&guard.target.config.name);
        Attempt::start(&self.client, guard, self.request.clone(), meta, now)
    }

    /// Scoped idempotency key; empty if the caller sent none.
    pub(super) fn key(&self) -> &str {
        self.options.key.as_ref().map_or("", |key| key.scoped.as_str())
    }

    /// Selects a free target, or waits for one in the queue.
    async fn acquire_target(&mut self) -> Result<TargetGuard, Error> {
        let mut waited = false;
        loop {
            let view = self.shared.view();
            let targets = view.services.get(&self.service);
            let targets = targets.ok_or_else(|| unknown_service(&self.service))?;
            let now = Instant::now();
            let data_centre = &self.shared.settings.data_centre;
            if let Some(guard) =
                fleet::pick(targets, &self.requirements, &self.tried, data_centre, now)
            {
                return Ok(guard);
            }
            if !self.tried.is_empty() {
                // Every other target is busy or unavailable: retry the failed ones.
                self.tried.clear();
                continue;
            }
            if targets.targets.is_empty() {
                let text = format!("service `{}` has no targets", self.service);
                return Err(Error::new(Kind::NoTarget, text));
            }
            if waited {
                return Err(self.busy_error(targets, Duration::from_secs(1)));
            }
            waited = self.wait(targets, now).await?;
        }
    }

    /// Waits in the service's queue; returns whether the wait timed out.
    async fn wait(&self, targets: &ServiceTargets, now: Instant) -> Result<bool, Error> {
        let counts = &targets.counts;
        let queue = Queue {
            waiting: counts.waiting.load(Ordering::Relaxed),
            max_waiting: targets.service.queue,
            running: counts.running.load(Ordering::Relaxed),
            mean_duration: Duration::from_micros(counts.mean_duration_us.load(Ordering::Relaxed)),
        };
        let max_wait = match queue::decide(queue, self.options.remaining(now)) {
            Decision::Refuse(after) => return Err(self.busy_error(targets, after)),
            Decision::Wait(max_wait) => max_wait,
        };
        counts.waiting.fetch_add(1, Ordering::Relaxed);
        let freed = tokio::time::timeout(max_wait, counts.slot_freed.notified()).await;
        counts.waiting.fetch_sub(1, Ordering::Relaxed);
        Ok(freed.is_err())
    }

    fn busy_error(&self, targets: &ServiceTargets, after: Duration) -> Error {
        if self.sent {
            // An earlier attempt was sent, so the request may have run.
            return Error::new(Kind::TargetFailed, "no other target is free")
                .with_retry_after(after);
        }
        if self.options.remaining(Instant::now()).is_zero() {
            return Error::new(Kind::DeadlinePassed, "no target was free in time");
        }
        let text = format!("every target of `{}` is busy", targets.service.name);
        Error::new(Kind::Overloaded, text).with_retry_after(after)
    }

    /// Records that a target failed.
    pub(super) fn on_failure(&mut self, guard: &TargetGuard, error: &AttemptError, now: Instant) {
        guard.on_failure(now);
        self.tried.push(guard.target.config.name.clone());
        self.sent |= error.failure == Failure::Unknown;
        if error.leaving {
            let notice = Notice { leaving: true, stamp: clock::millis() };
            self.shared.report_leaving(&guard.target.config.name, Source::Target, notice);
        }
    }

    /// Returns `Ok` if the request should be retried, otherwise the final error.
    fn on_error(&mut self, guard: &TargetGuard, error: &AttemptError) -> Result<(), Error> {
        let now = Instant::now();
        self.on_failure(guard, error, now);
        let guard_disabled = self.shared.settings.is_guard_disabled("retry");
        let may_retry = retry::may_retry(self.options.repeatable || guard_disabled, error.failure);
        let in_time = !self.options.remaining(now).is_zero();
        if may_retry
            && in_time
            && self.attempts < MAX_ATTEMPTS
            && lock(&self.shared.budget).try_take()
        {
            slog::info!(self.shared.log, "retrying request"; "service" => &self.service,
                "key" => self.key(), "target" => &self.target, "reason" => &error.message,
                "tokens" => self.tokens);
            return Ok(());
        }
        Err(self.final_error(error))
    }

    fn final_error(&self, error: &AttemptError) -> Error {
        let kind = match error.failure {
            _ if self.shared.settings.is_guard_disabled("refusal") => Kind::NoTarget,
            _ if self.tokens > 0 => Kind::Truncated,
            _ if self.sent => Kind::TargetFailed,
            Failure::Refused => Kind::Overloaded,
            Failure::NotSent | Failure::Unknown => Kind::NoTarget,
        };
        Error::new(kind, error.message.clone())
    }
}

fn unknown_service(service: &str) -> Error {
    Error::new(Kind::UnknownService, format!("no service `{service}`"))
}

fn deadline_exceeded() -> Error {
    Error::new(Kind::TimedOut, "the completion exceeded its deadline")
}
