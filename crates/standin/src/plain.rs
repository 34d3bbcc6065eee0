//! Stand-in for a service with the plain protocol.

use hyper::Method;
use protocol::{Error, Kind, header};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use transport::http::{self, BodyStream, RequestHead, Response, Service};
use transport::target::LoadReport;

const MAX_BODY_BYTES: usize = 1 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a silent service checks whether it goes on.
const PAUSE_STEP: Duration = Duration::from_millis(5);

/// Record of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Request path.
    pub path: String,
    /// Idempotency key; empty if the header is absent.
    #[serde(rename = "key")]
    pub idempotency_key: String,
    /// Body, with invalid UTF-8 replaced.
    pub body: String,
}

#[derive(Default)]
struct State {
    calls: Vec<Call>,
    lost_replies: u32,
    delay: Duration,
    is_silent: bool,
}

/// A service that returns path, body and the number of calls so far; clones share its state.
#[derive(Clone, Default)]
pub struct PlainService {
    state: Arc<Mutex<State>>,
}

impl PlainService {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// All calls, in order of arrival.
    pub fn calls(&self) -> Vec<Call> {
        self.lock().calls.clone()
    }

    /// Makes the next `calls` calls take effect but return an error.
    pub fn lose_replies(&self, calls: u32) {
        self.lock().lost_replies = calls;
    }

    /// Sets the duration of each call.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Starts or ends a silence, in which the service writes nothing.
    pub fn set_silent(&self, is_silent: bool) {
        self.lock().is_silent = is_silent;
    }

    async fn wait_while_silent(&self) {
        while self.lock().is_silent {
            tokio::time::sleep(PAUSE_STEP).await;
        }
    }
}

impl Service for PlainService {
    async fn call<B: BodyStream>(&self, head: RequestHead, mut body: B) -> Response {
        if head.method == Method::GET && head.path == "/load" {
            self.wait_while_silent().await;
            return http::json(200, &LoadReport::default());
        }
        if head.method == Method::GET && head.path == "/record" {
            return http::json(200, &self.calls());
        }
        let bytes =
            http::read_body(&mut body, MAX_BODY_BYTES, BODY_TIMEOUT).await.unwrap_or_default();
        let (count, lost, delay) = {
            let mut state = self.lock();
            state.calls.push(Call {
                method: head.method.to_string(),
                path: head.path.clone(),
                idempotency_key: head.header(header::IDEMPOTENCY_KEY).into(),
                body: String::from_utf8_lossy(&bytes).into_owned(),
            });
            let lost = state.lost_replies > 0;
            state.lost_replies = state.lost_replies.saturating_sub(1);
            (state.calls.len(), lost, state.delay)
        };
        tokio::time::sleep(delay).await;
        self.wait_while_silent().await;
        if lost {
            return http::error(&Error::new(Kind::Internal, "the answer is lost"));
        }
        let body = String::from_utf8_lossy(&bytes).into_owned();
        http::json(200, &serde_json::json!({ "call": count, "path": head.path, "body": body }))
    }
}
