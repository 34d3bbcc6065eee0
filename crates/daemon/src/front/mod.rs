//! HTTP API for callers, applications and operators.

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
mod attempt;
mod chat;
mod completion_stream;
mod jobs;
mod keyed;
mod plain;
mod replacement;
mod request_options;

/// Description of the HTTP API, served to callers.
const OPENAPI_DOCUMENT: &str = include_str!("../../../../api/openapi.json");

/// Handles HTTP requests of callers, applications and operators.
#[derive(Clone)]
pub struct HttpHandler {
    /// State shared with the other roles of the process.
    pub shared: Arc<Shared>,
    /// Sends requests to targets.
    pub client: Client,
}

/// Counts a request as in flight until it is dropped.
pub struct InFlightGuard(Arc<Shared>);

impl InFlightGuard {
    fn new(shared: &Arc<Shared>) -> InFlightGuard {
        shared.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(shared.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Service for HttpHandler {
    async fn call<B: BodyStream>(&self, head: RequestHead, body: B) -> Response {
        let in_flight = InFlightGuard::new(&self.shared);
        let method = head.method.clone();
        let path = head.path.clone();
        let segments: Vec<&str> = path.split('/').filter(|part| !part.is_empty()).collect();
        let key = head.header(protocol::header::IDEMPOTENCY_KEY).to_owned();
        let result = match (&method, segments.as_slice()) {
            (&Method::GET, ["live"]) => Ok(http::json(200, &"live")),
            (&Method::GET, ["ready"]) => self.ready(),
            (&Method::GET, ["v1", "openapi.json"]) => {
                Ok(http::bytes(200, "application/json", OPENAPI_DOCUMENT.into()))
            }
            (&Method::GET, ["v1", ..]) => self.read(&head, &segments[1..]).await,
            (&Method::POST, ["v1", "chat", "completions"]) => {
                self.admit(&head, || chat::call(self, &head, body, in_flight)).await
            }
            (&Method::POST, ["v1", "jobs"]) => {
                self.admit(&head, || jobs::submit(self, &head, body)).await
            }
            (&Method::POST, ["v1", "jobs", job, "cancel"]) => jobs::cancel(self, job).await,
            (&Method::POST, ["v1", "config"]) => admin::apply(self, body).await,
            (&Method::POST, ["v1", "targets", name, "leave"]) => admin::leave(self, name, true),
            (&Method::POST, ["v1", "targets", name, "return"]) => admin::leave(self, name, false),
            _ if self.shared.view().plain_service(&path).is_some() => {
                self.admit(&head, || plain::call(self, &head, body)).await
            }
            _ => Err(Error::new(Kind::UnknownPath, format!("{method} {path}"))),
        };
        result.unwrap_or_else(|error| self.reject(&path, &key, &error))
    }
}

impl HttpHandler {
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

    /// Handles a request that creates work, if this instance accepts any and the
    /// caller is within its rate limit.
    async fn admit<F: Future<Output = Result<Response, Error>>>(
        &self,
        head: &RequestHead,
        handle: impl FnOnce() -> F,
    ) -> Result<Response, Error> {
        if self.shared.rejects_new.load(Ordering::Relaxed) {
            return Err(Error::new(Kind::Draining, "this instance is stopping"));
        }
        if !self.shared.view().ready {
            return Err(Error::new(Kind::NotReady, "the configuration isn't loaded yet"));
        }
        self.check_rate_limit(head.header(protocol::header::CALLER), Instant::now())?;
        handle().await
    }

    /// Takes one token from the caller's bucket.
    fn check_rate_limit(&self, caller: &str, now: Instant) -> Result<(), Error> {
        let view = self.shared.view();
        let limits = &view.document.limits;
        let Some(limit) = limits.get(caller).or_else(|| limits.get("*")) else {
            return Ok(());
        };
        let mut buckets = lock(&self.shared.buckets);
        if buckets.len() > MAX_TRACKED_CALLERS {
            buckets.clear();
        }
        let new_bucket = || TokenBucket::new(limit.rate, limit.burst, now);
        let bucket = buckets.entry(caller.to_owned()).or_insert_with(new_bucket);
        bucket.set(limit.rate, limit.burst);
        bucket.try_take(now).map_err(|wait| {
            Error::new(Kind::CallerLimit, format!("caller `{caller}` exceeded its rate limit"))
                .with_retry_after(wait)
        })
    }

    fn ready(&self) -> Result<Response, Error> {
        let is_stopping = lock(&self.shared.stopping).is_some();
        if is_stopping {
            return Err(Error::new(Kind::Draining, "this instance is stopping"));
        }
        if !self.shared.view().ready {
            return Err(Error::new(Kind::NotReady, "the configuration isn't loaded yet"));
        }
        Ok(http::json(200, &"ready"))
    }

    fn reject(&self, path: &str, key: &str, error: &Error) -> Response {
        let telemetry = &self.shared.telemetry;
        telemetry.count(&format!("refused.{}", error.kind.name()));
        slog::info!(self.shared.log, "request rejected"; "path" => path, "key" => key,
            "kind" => error.kind.name(), "reason" => &error.message);
        http::error(error)
    }
}

/// All buckets are dropped when there are more callers.
const MAX_TRACKED_CALLERS: usize = 10_000;
