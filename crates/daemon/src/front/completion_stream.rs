//! Obtains one completion from the targets: selects a target, queues, retries and
//! resumes an interrupted stream on another target.

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
use transport::target::{AttemptError, AttemptMeta, Client, Stream, StreamItem};

const MAX_ATTEMPTS: u32 = 4;

/// A completion in progress.
pub struct CompletionStream {
    shared: Arc<Shared>,
    client: Client,
    options: RequestOptions,
    requirements: Requirements,
    service: String,
    request: Request,
    stream: Option<(TargetGuard, Stream)>,
    tried: Vec<TargetId>,
    attempts: u32,
    sent: bool,
    text: String,
    tokens: u32,
    target: TargetId,
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
            stream: None,
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
            if self.stream.is_none() {
                self.open().await?;
            }
            let Some((guard, stream)) = &mut self.stream else {
                continue;
            };
            let remaining = self.options.remaining(Instant::now());
            let repeatable = self.options.repeatable;
            let item = tokio::time::timeout(
                remaining,
                until_unresponsive(guard, repeatable, stream.next()),
            );
            match item.await {
                Err(_) => {
                    return Err(Error::new(Kind::TimedOut, "the completion exceeded its deadline"));
                }
                Ok(Ok(StreamItem::Token(text))) => {
                    self.text.push_str(&text);
                    self.tokens += 1;
                    return Ok(StreamItem::Token(text));
                }
                Ok(Ok(end)) => {
                    guard.on_success();
                    self.stream = None;
                    return Ok(end);
                }
                Ok(Err(error)) => {
                    if self.shared.settings.is_guard_disabled("whole") {
                        return Ok(StreamItem::End("stop".into()));
                    }
                    let guard = self.stream.take().map(|(guard, _)| guard);
                    self.on_error(guard, &error)?;
                }
            }
        }
    }

    async fn open(&mut self) -> Result<(), Error> {
        let guard = self.acquire_target().await?;
        let now = Instant::now();
        let remaining = self.options.remaining(now);
        let meta = AttemptMeta {
            attempt: rand::random(),
            key: self.options.key.as_ref().map_or(String::new(), |key| key.scoped.clone()),
            priority: u8::from(self.options.class == Class::Batch),
            timeout: remaining,
        };
        self.request.stream = true;
        self.request.resume =
            (self.tokens > 0).then(|| Resume { text: self.text.clone(), tokens: self.tokens });
        self.attempts += 1;
        if self.attempts == 1 {
            lock(&self.shared.budget).on_request();
        }
        self.target.clone_from(&guard.target.config.name);
        let address = guard.target.config.address;
        let chat = self.client.chat(address, &self.request, &meta);
        match until_unresponsive(&guard, self.options.repeatable, chat).await {
            Ok(stream) => {
                self.sent = true;
                self.stream = Some((guard, stream));
                Ok(())
            }
            Err(error) => self.on_error(Some(guard), &error),
        }
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

    /// Returns `Ok` if the request should be retried, otherwise the final error.
    fn on_error(&mut self, guard: Option<TargetGuard>, error: &AttemptError) -> Result<(), Error> {
        let now = Instant::now();
        if let Some(guard) = guard {
            guard.on_failure(now);
            self.tried.push(guard.target.config.name.clone());
            if error.leaving {
                let notice = Notice { leaving: true, stamp: clock::millis() };
                self.shared.report_leaving(&guard.target.config.name, Source::Target, notice);
            }
        }
        let may_have_run = error.failure == Failure::Unknown;
        self.sent |= may_have_run;
        let guard_disabled = self.shared.settings.is_guard_disabled("retry");
        let may_retry = retry::may_retry(self.options.repeatable || guard_disabled, error.failure);
        let in_time = !self.options.remaining(now).is_zero();
        if may_retry
            && in_time
            && self.attempts < MAX_ATTEMPTS
            && lock(&self.shared.budget).try_take()
        {
            let key = self.options.key.as_ref().map_or("", |key| key.scoped.as_str());
            slog::info!(self.shared.log, "retrying request"; "service" => &self.service, "key" => key,
                "target" => &self.target, "reason" => &error.message, "tokens" => self.tokens);
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

/// Fails when the target becomes unresponsive, so that another target can continue
/// a repeatable request. A request that may run at most once waits for its target.
async fn until_unresponsive<T>(
    guard: &TargetGuard,
    repeatable: bool,
    response: impl Future<Output = Result<T, AttemptError>>,
) -> Result<T, AttemptError> {
    if !repeatable {
        return response.await;
    }
    tokio::select! {
        response = response => response,
        () = guard.target.wait_unresponsive() => {
            Err(AttemptError::new(Failure::Unknown, "the target is unresponsive"))
        }
    }
}
