//! Request options, parsed from the headers.

use crate::clock;
use protocol::{Error, Kind, Millis, header};
use std::time::{Duration, Instant};
use transport::http::RequestHead;
use xxhash_rust::xxh3::Xxh3Default;

/// Limit of the deadline that a caller may set.
const MAX_DEADLINE: Duration = Duration::from_secs(600);
const MAX_KEY_BYTES: usize = 200;

/// Idempotency key of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdempotencyKey {
    /// The key, prefixed with the caller and the scope.
    pub scoped: String,
    /// Digest of the scope and body, to detect a key that is used twice.
    pub digest: u64,
    /// Unix milliseconds, at most the current time.
    pub issued: Millis,
}

/// Class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Interactive: a caller waits for the response.
    Online,
    /// Runs on idle capacity.
    Batch,
}

impl Class {
    /// The name in headers and service levels.
    pub fn name(self) -> &'static str {
        match self {
            Class::Online => "online",
            Class::Batch => "batch",
        }
    }
}

/// Options of one request.
#[derive(Clone, Debug)]
pub struct RequestOptions {
    /// Random; also the attempt id in the claim.
    pub id: u64,
    /// Online if the header is missing.
    pub class: Class,
    /// Whether it may run more than once; the default.
    pub repeatable: bool,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Absent if the caller sent none.
    pub key: Option<IdempotencyKey>,
}

impl RequestOptions {
    /// Parses the headers. `scope` separates keys of different services and paths;
    /// `default` is the deadline without a header.
    ///
    /// # Errors
    ///
    /// `Malformed`, with the name of the invalid header.
    pub fn read(
        head: &RequestHead,
        scope: &str,
        body: &[u8],
        default: Duration,
        now: Instant,
    ) -> Result<RequestOptions, Error> {
        let class = match head.header(header::REQUEST_CLASS) {
            "" | "online" => Class::Online,
            "batch" => Class::Batch,
            _ => return Err(malformed(header::REQUEST_CLASS, "online or batch")),
        };
        let repeatable = match head.header(header::REPEATABLE) {
            "" | "true" => true,
            "false" => false,
            _ => return Err(malformed(header::REPEATABLE, "true or false")),
        };
        let wait = match head.header(header::DEADLINE_MS) {
            "" => default,
            text => {
                let millis = text.parse().ok().filter(|ms| *ms > 0);
                let millis =
                    millis.ok_or_else(|| malformed(header::DEADLINE_MS, "milliseconds"))?;
                Duration::from_millis(millis).min(MAX_DEADLINE)
            }
        };
        let key = read_key(head, scope, body)?;
        Ok(RequestOptions { id: rand::random(), class, repeatable, deadline: now + wait, key })
    }

    /// Time until the deadline; zero after it.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

fn read_key(head: &RequestHead, scope: &str, body: &[u8]) -> Result<Option<IdempotencyKey>, Error> {
    let key = head.header(header::IDEMPOTENCY_KEY);
    if key.is_empty() {
        return Ok(None);
    }
    if key.len() > MAX_KEY_BYTES {
        return Err(malformed(header::IDEMPOTENCY_KEY, "at most 200 characters"));
    }
    let now = clock::millis();
    let issued = match head.header(header::KEY_ISSUED_AT) {
        "" => now,
        text => text.parse().map_err(|_| malformed(header::KEY_ISSUED_AT, "Unix milliseconds"))?,
    };
    // A caller's clock that is ahead must not extend the key's retention.
    let issued: Millis = std::cmp::min(issued, now);
    let scoped = format!("{}/{scope}/{key}", head.header(header::CALLER));
    Ok(Some(IdempotencyKey { scoped, digest: digest(scope, body), issued }))
}

fn digest(scope: &str, body: &[u8]) -> u64 {
    let mut hasher = Xxh3Default::new();
    hasher.update(scope.as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
    hasher.digest()
}

fn malformed(name: &str, expected: &str) -> Error {
    Error::new(Kind::Malformed, format!("header `{name}`: expected {expected}"))
}
