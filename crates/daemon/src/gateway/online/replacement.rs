//! Replaces a target that has fallen silent. It may be slow, dead or about to go on, so its
//! exchange is kept until another target has the request.

use super::attempt::{FailedAttempt, Pending, flatten};
use super::{ProxiedRequest, RETRY_AFTER, TargetResponse};
use crate::clock;
use crate::gateway::crash::hex;
use crate::gateway::leases::{AcquireError, Lease};
use std::future::Future;
use std::time::Duration;

/// How long a silent target may go on running a request that was also sent to another one.
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
    /// The target went on first; holds what it sent.
    Kept(T),
    /// Another target has the request, so the exchange with the silent one is to be dropped.
    By(Replacement),
    /// The deadline has passed.
    Expired,
}

impl<T> Replaced<T> {
    fn name(&self) -> &'static str {
        match self {
            Replaced::Kept(_) => "kept",
            Replaced::By(_) => "replaced",
            Replaced::Expired => "expired",
        }
    }
}

impl ProxiedRequest {
    /// Looks for a target that replaces the silent one of `lease`, while `silent` waits for what
    /// it sends next.
    pub async fn replace<F>(
        &mut self,
        silent: F,
        lease: &Lease,
        last_event: Option<u64>,
    ) -> Replaced<F::Output>
    where
        F: Future + Unpin,
    {
        let remaining = self.call.remaining(clock::now());
        self.on_silent(lease, last_event);
        let replaced = tokio::select! {
            biased;
            value = silent => Replaced::Kept(value),
            replacement = self.find_replacement(last_event) => Replaced::By(replacement),
            () = tokio::time::sleep(remaining) => Replaced::Expired,
        };
        self.log_end_of_silence(replaced.name(), lease);
        replaced
    }

    /// Sends the request to another target. Waits as long as there is none.
    async fn find_replacement(&mut self, last_event: Option<u64>) -> Replacement {
        loop {
            let lease = match self.acquire_next(last_event).await {
                Ok(lease) => lease,
                Err(AcquireError::Full(delay)) => {
                    tokio::time::sleep(delay).await;
                    continue;
                }
                Err(AcquireError::NoTarget | AcquireError::NoReply) => {
                    tokio::time::sleep(RETRY_AFTER).await;
                    continue;
                }
                Err(_) => return std::future::pending().await,
            };
            match self.try_replacement(lease, last_event).await {
                Ok(replacement) => return replacement,
                Err(failed) => {
                    if self.on_failed(failed).is_err() {
                        return std::future::pending().await;
                    }
                }
            }
        }
    }

    async fn try_replacement(
        &mut self,
        lease: Lease,
        last_event: Option<u64>,
    ) -> Result<Replacement, FailedAttempt> {
        let target = lease.grant.target.clone();
        let mut other = self.start(lease, last_event)?;
        let Ok(result) = tokio::time::timeout(MAX_OVERLAP, &mut other.sending).await else {
            return Ok(Replacement::Pending(Box::new(other)));
        };
        let response = self.accept(flatten(result), other.lease, last_event.is_some());
        let response = response.map_err(|reason| FailedAttempt { target, reason })?;
        Ok(Replacement::Response(Box::new(response)))
    }

    fn on_silent(&mut self, lease: &Lease, last_event: Option<u64>) {
        self.may_have_run = true;
        self.excluded.push(lease.grant.target.clone());
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
