//! The front duty: calls of callers, applications and operators.

use crate::fleet::lock;
use crate::shared::Shared;
use coordination::limit::TokenBucket;
use hyper::Method;
use protocol::{Error, Kind};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;
use transport::http::{self, BodyStream, RequestHead, Response, Service};
use transport::target::Client;

mod admin;
mod answer;
mod call;
mod chat;
mod jobs;
mod keyed;
mod plain;

/// The contract, as it is served.
const CONTRACT: &str = include_str!("../../../../api/openapi.json");

/// Answers calls.
#[derive(Clone)]
pub struct Front {
    /// What the duties share.
    pub shared: Arc<Shared>,
    /// Client for targets.
    pub client: Client,
}

/// Counts a call as running; dropping it counts it as over.
pub struct Running(Arc<Shared>);

impl Running {
    fn new(shared: &Arc<Shared>) -> Running {
        shared.in_flight.fetch_add(1, Ordering::Relaxed);
        Running(shared.clone())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Service for Front {
    async fn call<B: BodyStream>(&self, head: RequestHead, body: B) -> Response {
        let running = Running::new(&self.shared);
        let method = head.method.clone();
        let path = head.path.clone();
        let segments: Vec<&str> = path.split('/').filter(|part| !part.is_empty()).collect();
        let key = head.header(protocol::header::IDEMPOTENCY_KEY).to_owned();
        let result = match (&method, segments.as_slice()) {
            (&Method::GET, ["live"]) => Ok(http::json(200, &"live")),
            (&Method::GET, ["ready"]) => self.ready(),
            (&Method::GET, ["v1", "openapi.json"]) => {
                Ok(http::bytes(200, "application/json", CONTRACT.into()))
            }
            (&Method::GET, ["v1", ..]) => self.read(&head, &segments[1..]).await,
            (&Method::POST, ["v1", "chat", "completions"]) => {
                self.work(&head, || chat::call(self, &head, body, running)).await
            }
            (&Method::POST, ["v1", "jobs"]) => {
                self.work(&head, || jobs::submit(self, &head, body)).await
            }
            (&Method::POST, ["v1", "jobs", job, "cancel"]) => jobs::cancel(self, job).await,
            (&Method::POST, ["v1", "config"]) => admin::apply(self, body).await,
            (&Method::POST, ["v1", "targets", name, "leave"]) => admin::leave(self, name, true),
            (&Method::POST, ["v1", "targets", name, "return"]) => admin::leave(self, name, false),
            _ if self.shared.view().plain_service(&path).is_some() => {
                self.work(&head, || plain::call(self, &head, body)).await
            }
            _ => Err(Error::new(Kind::UnknownPath, format!("{method} {path}"))),
        };
        result.unwrap_or_else(|error| self.refuse(&path, &key, &error))
    }
}

impl Front {
    async fn read(&self, head: &RequestHead, segments: &[&str]) -> Result<Response, Error> {
        match segments {
            ["models"] => Ok(admin::models(self)),
            ["jobs", job] => jobs::status(self, job).await,
            ["jobs", job, "results"] => jobs::results(self, head, job).await,
            ["config"] => Ok(admin::config(self)),
            ["config", "history"] => Ok(admin::history(self)),
            ["targets"] => Ok(admin::targets(self)),
            ["instances"] => Ok(admin::instances(self)),
            ["status"] => Ok(admin::status(self)),
            ["burn"] => Ok(admin::burn(self)),
            _ => Err(Error::new(Kind::UnknownPath, head.path.clone())),
        }
    }

    /// Runs a call that brings work, if this instance may take it.
    async fn work<F: Future<Output = Result<Response, Error>>>(
        &self,
        head: &RequestHead,
        call: impl FnOnce() -> F,
    ) -> Result<Response, Error> {
        if self.shared.rejects_new.load(Ordering::Relaxed) {
            return Err(Error::new(Kind::Draining, "this instance is stopping"));
        }
        if !self.shared.view().ready {
            return Err(Error::new(Kind::NotReady, "the configuration in force isn't known yet"));
        }
        self.admit(head.header(protocol::header::CALLER), Instant::now())?;
        call().await
    }

    /// Takes one token of the caller's bucket.
    fn admit(&self, caller: &str, now: Instant) -> Result<(), Error> {
        let view = self.shared.view();
        let limits = &view.document.limits;
        let Some(limit) = limits.get(caller).or_else(|| limits.get("*")) else {
            return Ok(());
        };
        let mut buckets = lock(&self.shared.buckets);
        if buckets.len() > MOST_CALLERS {
            buckets.clear();
        }
        let fresh = || TokenBucket::new(limit.rate, limit.burst, now);
        let bucket = buckets.entry(caller.to_owned()).or_insert_with(fresh);
        bucket.set(limit.rate, limit.burst);
        bucket.try_take(now).map_err(|wait| {
            Error::new(Kind::CallerLimit, format!("caller `{caller}` is over its rate"))
                .with_retry_after(wait)
        })
    }

    fn ready(&self) -> Result<Response, Error> {
        let stopping = lock(&self.shared.stopping).is_some();
        if stopping {
            return Err(Error::new(Kind::Draining, "this instance is stopping"));
        }
        if !self.shared.view().ready {
            return Err(Error::new(Kind::NotReady, "the configuration in force isn't known yet"));
        }
        Ok(http::json(200, &"ready"))
    }

    fn refuse(&self, path: &str, key: &str, error: &Error) -> Response {
        let telemetry = &self.shared.telemetry;
        telemetry.count(&format!("refused.{}", error.kind.name()));
        slog::info!(self.shared.log, "refused"; "path" => path, "key" => key,
            "kind" => error.kind.name(), "reason" => &error.message);
        http::error(error)
    }
}

/// Callers whose buckets are kept.
const MOST_CALLERS: usize = 10_000;
