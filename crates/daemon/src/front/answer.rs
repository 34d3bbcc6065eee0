//! Gets one whole answer from the targets: picks, waits, tries again, resumes.

use super::call::{Class, Terms};
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

/// Most tries of one request.
const MOST_TRIES: u32 = 4;

/// An answer under way.
pub struct Answer {
    shared: Arc<Shared>,
    client: Client,
    terms: Terms,
    wanted: Requirements,
    service: String,
    request: Request,
    stream: Option<(TargetGuard, Stream)>,
    tried: Vec<TargetId>,
    tries: u32,
    sent: bool,
    text: String,
    tokens: u32,
    target: TargetId,
}

impl Answer {
    /// An answer to `request`; nothing is sent yet.
    pub fn new(
        shared: Arc<Shared>,
        client: Client,
        terms: Terms,
        wanted: Requirements,
        service: String,
        request: Request,
    ) -> Answer {
        Answer {
            shared,
            client,
            terms,
            wanted,
            service,
            request,
            stream: None,
            tried: Vec::new(),
            tries: 0,
            sent: false,
            text: String::new(),
            tokens: 0,
            target: TargetId::new(),
        }
    }

    /// Whether anything may have reached a target.
    pub fn was_sent(&self) -> bool {
        self.sent
    }

    /// Text so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Tokens so far.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// The target that answers, or answered last.
    pub fn target(&self) -> &str {
        &self.target
    }

    /// The next piece of the answer, from whichever target gives it.
    ///
    /// # Errors
    ///
    /// Why there will be no whole answer.
    pub async fn next(&mut self) -> Result<StreamItem, Error> {
        loop {
            if self.stream.is_none() {
                self.open().await?;
            }
            let Some((hold, stream)) = &mut self.stream else {
                continue;
            };
            let left = self.terms.left(Instant::now());
            let repeatable = self.terms.repeatable;
            let piece = tokio::time::timeout(left, unless_silent(hold, repeatable, stream.next()));
            match piece.await {
                Err(_) => return Err(Error::new(Kind::TimedOut, "the answer took too long")),
                Ok(Ok(StreamItem::Token(text))) => {
                    self.text.push_str(&text);
                    self.tokens += 1;
                    return Ok(StreamItem::Token(text));
                }
                Ok(Ok(end)) => {
                    hold.on_success();
                    self.stream = None;
                    return Ok(end);
                }
                Ok(Err(fault)) => {
                    if self.shared.settings.is_guard_disabled("whole") {
                        return Ok(StreamItem::End("stop".into()));
                    }
                    let hold = self.stream.take().map(|(hold, _)| hold);
                    self.on_fault(hold, &fault)?;
                }
            }
        }
    }

    async fn open(&mut self) -> Result<(), Error> {
        let hold = self.hold().await?;
        let now = Instant::now();
        let left = self.terms.left(now);
        let meta = AttemptMeta {
            attempt: rand::random(),
            key: self.terms.key.as_ref().map_or(String::new(), |key| key.scoped.clone()),
            priority: u8::from(self.terms.class == Class::Batch),
            timeout: left,
        };
        self.request.stream = true;
        self.request.resume =
            (self.tokens > 0).then(|| Resume { text: self.text.clone(), tokens: self.tokens });
        self.tries += 1;
        if self.tries == 1 {
            lock(&self.shared.budget).on_request();
        }
        self.target.clone_from(&hold.node.target.name);
        let address = hold.node.target.address;
        let chat = self.client.chat(address, &self.request, &meta);
        match unless_silent(&hold, self.terms.repeatable, chat).await {
            Ok(stream) => {
                self.sent = true;
                self.stream = Some((hold, stream));
                Ok(())
            }
            Err(fault) => self.on_fault(Some(hold), &fault),
        }
    }

    /// Waits for a free target, within the rules of the queue.
    async fn hold(&mut self) -> Result<TargetGuard, Error> {
        let mut waited = false;
        loop {
            let view = self.shared.view();
            let bound = view.services.get(&self.service);
            let bound = bound.ok_or_else(|| unknown(&self.service))?;
            let now = Instant::now();
            let here = &self.shared.settings.data_centre;
            if let Some(hold) = fleet::pick(bound, &self.wanted, &self.tried, here, now) {
                return Ok(hold);
            }
            if !self.tried.is_empty() {
                // Every other target is busy or out of use: the ones that failed
                // are better than none.
                self.tried.clear();
                continue;
            }
            if bound.nodes.is_empty() {
                let text = format!("service `{}` has no target now", self.service);
                return Err(Error::new(Kind::NoTarget, text));
            }
            if waited {
                return Err(self.full(bound, Duration::from_secs(1)));
            }
            waited = self.wait(bound, now).await?;
        }
    }

    /// Waits in the service's queue; `true` when the wait is used up.
    async fn wait(&self, bound: &ServiceTargets, now: Instant) -> Result<bool, Error> {
        let counts = &bound.counts;
        let queue = Queue {
            waiting: counts.waiting.load(Ordering::Relaxed),
            max_waiting: bound.service.queue,
            running: counts.running.load(Ordering::Relaxed),
            mean_duration: Duration::from_micros(counts.mean_duration_us.load(Ordering::Relaxed)),
        };
        let limit = match queue::decide(queue, self.terms.left(now)) {
            Decision::Refuse(after) => return Err(self.full(bound, after)),
            Decision::Wait(limit) => limit,
        };
        counts.waiting.fetch_add(1, Ordering::Relaxed);
        let freed = tokio::time::timeout(limit, counts.slot_freed.notified()).await;
        counts.waiting.fetch_sub(1, Ordering::Relaxed);
        Ok(freed.is_err())
    }

    fn full(&self, bound: &ServiceTargets, after: Duration) -> Error {
        if self.sent {
            // A try was sent before; "not run" would be a lie.
            return Error::new(Kind::TargetFailed, "no other target is free")
                .with_retry_after(after);
        }
        if self.terms.left(Instant::now()).is_zero() {
            return Error::new(Kind::DeadlinePassed, "no target was free in time");
        }
        let text = format!("every target of `{}` is busy", bound.service.name);
        Error::new(Kind::Overloaded, text).with_retry_after(after)
    }

    /// Decides what follows a failed try: another one, or the final answer.
    fn on_fault(&mut self, hold: Option<TargetGuard>, fault: &AttemptError) -> Result<(), Error> {
        let now = Instant::now();
        if let Some(hold) = hold {
            hold.on_failure(now);
            self.tried.push(hold.node.target.name.clone());
            if fault.leaving {
                let word = Notice { leaving: true, stamp: clock::millis() };
                self.shared.report_leaving(&hold.node.target.name, Source::Target, word);
            }
        }
        let ran = fault.failure == Failure::Unknown;
        self.sent |= ran;
        let unguarded = self.shared.settings.is_guard_disabled("retry");
        let may = retry::may_retry(self.terms.repeatable || unguarded, fault.failure);
        let in_time = !self.terms.left(now).is_zero();
        if may && in_time && self.tries < MOST_TRIES && lock(&self.shared.budget).try_take() {
            let key = self.terms.key.as_ref().map_or("", |key| key.scoped.as_str());
            slog::info!(self.shared.log, "another try"; "service" => &self.service, "key" => key,
                "target" => &self.target, "reason" => &fault.message, "tokens" => self.tokens);
            return Ok(());
        }
        Err(self.final_error(fault))
    }

    fn final_error(&self, fault: &AttemptError) -> Error {
        let kind = match fault.failure {
            _ if self.shared.settings.is_guard_disabled("refusal") => Kind::NoTarget,
            _ if self.tokens > 0 => Kind::Truncated,
            _ if self.sent => Kind::TargetFailed,
            Failure::Refused => Kind::Overloaded,
            Failure::NotSent | Failure::Unknown => Kind::NoTarget,
        };
        Error::new(kind, fault.message.clone())
    }
}

fn unknown(service: &str) -> Error {
    Error::new(Kind::UnknownService, format!("no service `{service}`"))
}

/// Waits for a target, but no longer than until it falls silent: then another one
/// can go on with a request that may be repeated. One that may run once waits for
/// its own target to the end.
async fn unless_silent<T>(
    hold: &TargetGuard,
    repeatable: bool,
    answer: impl Future<Output = Result<T, AttemptError>>,
) -> Result<T, AttemptError> {
    if !repeatable {
        return answer.await;
    }
    tokio::select! {
        answer = answer => answer,
        () = hold.node.wait_unresponsive() => {
            Err(AttemptError::new(Failure::Unknown, "the target answers nothing"))
        }
    }
}
