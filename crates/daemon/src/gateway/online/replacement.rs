//! Replaces a target that has fallen silent. It may be slow, dead or about to go on, so its
//! exchange is kept until another target has the request.

use super::attempt::{FailedAttempt, Pending, RetryReason, flatten};
use super::{ProxiedRequest, TargetResponse};
use crate::clock;
use crate::gateway::crash::hex;
use crate::gateway::leases::Lease;
use coordination::presence::{CLOSE_WINDOW, Presence};
use coordination::slots::LeaseOutcome;
use std::future::Future;
use std::time::Duration;

/// How long a request may run at a silent target and at another one at once. Operators allow
/// 400 ms.
const MAX_OVERLAP: Duration = Duration::from_millis(250);

/// Another target that has the request.
pub enum Replacement {
    /// It has begun its response.
    Response(Box<TargetResponse>),
    /// It has been sent the request.
    Pending(Box<Pending>),
}

/// What became of a request whose target was silent.
pub enum Replaced<T> {
    /// The target went on, or failed and there is no other; holds what it sent.
    Kept(T),
    /// Another target has the request, so the exchange with the silent one is to be dropped. Holds
    /// how that one failed, if it did first.
    By(Replacement, Option<T>),
    /// The deadline has passed.
    Expired,
}

impl<T> Replaced<T> {
    fn name(&self) -> &'static str {
        match self {
            Replaced::Kept(_) => "kept",
            Replaced::By(..) => "replaced",
            Replaced::Expired => "expired",
        }
    }
}

impl ProxiedRequest {
    /// Looks for a target that replaces the silent one of `lease`, while `silent` waits for what
    /// it sends next; `has_failed` tells whether that is a failure.
    pub async fn replace<F>(
        &mut self,
        silent: F,
        has_failed: impl Fn(&F::Output) -> bool,
        lease: &Lease,
        last_event: Option<u64>,
    ) -> Replaced<F::Output>
    where
        F: Future + Unpin,
    {
        let remaining = self.call.remaining(clock::now());
        self.on_silent(lease, last_event);
        let search = self.find_replacement(last_event);
        let replaced = tokio::time::timeout(remaining, race(silent, has_failed, search)).await;
        let replaced = replaced.unwrap_or(Replaced::Expired);
        self.log_end_of_silence(replaced.name(), lease);
        replaced
    }

    /// Sends the request to another target. Waits while there is none; `None` if there may be no
    /// other attempt.
    async fn find_replacement(&mut self, last_event: Option<u64>) -> Option<Replacement> {
        self.unreachable = 0;
        self.connecting = Duration::ZERO;
        loop {
            let lease = self.acquire_patiently(last_event).await.ok()?;
            match self.try_replacement(lease, last_event).await {
                Ok(replacement) => return Some(replacement),
                Err(failed) => self.on_failed(failed).ok()?,
            }
        }
    }

    async fn try_replacement(
        &mut self,
        lease: Lease,
        last_event: Option<u64>,
    ) -> Result<Replacement, FailedAttempt> {
        let grant = lease.grant.clone();
        let failed = |reason| FailedAttempt::new(&grant, reason);
        let since = clock::now();
        // The connection is kept for the request, so that the overlap begins with its run.
        let presence = self.node.targets.probe(lease.grant.address).await;
        if presence != Presence::Listening {
            if presence != Presence::Refused {
                self.connecting += clock::since(since);
            }
            lease.end(LeaseOutcome::Unresponsive);
            return Err(failed(RetryReason::NotSent(String::from("can't be reached"))));
        }
        let mut other = self.start(lease, last_event)?;
        let Ok(result) = tokio::time::timeout(MAX_OVERLAP, &mut other.sending).await else {
            return Ok(Replacement::Pending(Box::new(other)));
        };
        let response = self.accept(flatten(result), other.lease, last_event.is_some());
        let response = response.map_err(&failed)?;
        let status = response.body.head().status;
        if status.is_server_error() {
            response.lease.end(LeaseOutcome::Failed);
            let text = format!("target responded with {status}");
            return Err(failed(RetryReason::MayHaveRun(text)));
        }
        Ok(Replacement::Response(Box::new(response)))
    }

    /// Whether a replacement failed because its process has ended. That was no attempt at a target
    /// that could complete the request, so another one may follow, also at a silent target.
    pub(super) async fn is_lost(&self, failed: &FailedAttempt) -> bool {
        if !matches!(failed.reason, RetryReason::MayHaveRun(_)) {
            return false;
        }
        tokio::time::sleep(CLOSE_WINDOW).await;
        self.node.targets.probe(failed.address).await == Presence::Refused
    }

    fn on_silent(&mut self, lease: &Lease, last_event: Option<u64>) {
        self.may_have_run = true;
        self.silent.push(lease.grant.target.clone());
        slog::info!(self.node.log, "target is silent"; "request" => &self.call.id,
            "content" => hex(self.call.fingerprint()), "target" => &lease.grant.target,
            "software" => &lease.software, "silent_ms" => lease.silence().as_millis() as u64,
            "after" => last_event, "sent" => self.attempts, "attempts" => self.route.max_attempts,
            "config" => self.version,
            "age_ms" => clock::since(self.call.started).as_millis() as u64);
    }

    fn log_end_of_silence(&self, outcome: &'static str, lease: &Lease) {
        self.node.metrics.count(&format!("silence.{outcome}"));
        slog::info!(self.node.log, "silence ended"; "request" => &self.call.id,
            "target" => &lease.grant.target, "how" => outcome,
            "silent_ms" => lease.silence().as_millis() as u64, "sent" => self.attempts,
            "age_ms" => clock::since(self.call.started).as_millis() as u64);
    }
}

/// Waits for the silent target and for its replacement, whichever has the request first.
async fn race<F>(
    silent: F,
    has_failed: impl Fn(&F::Output) -> bool,
    search: impl Future<Output = Option<Replacement>>,
) -> Replaced<F::Output>
where
    F: Future + Unpin,
{
    let mut silent = silent;
    let mut search = std::pin::pin!(search);
    let value = tokio::select! {
        biased;
        value = &mut silent => value,
        found = &mut search => return match found {
            Some(replacement) => Replaced::By(replacement, None),
            None => Replaced::Kept(silent.await),
        },
    };
    if !has_failed(&value) {
        return Replaced::Kept(value);
    }
    match search.await {
        Some(replacement) => Replaced::By(replacement, Some(value)),
        None => Replaced::Kept(value),
    }
}
