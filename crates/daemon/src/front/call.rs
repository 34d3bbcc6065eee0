//! What the headers of a call say about it.

use crate::clock;
use protocol::{Error, Kind, Millis, header};
use std::time::{Duration, Instant};
use transport::http::RequestHead;
use xxhash_rust::xxh3::Xxh3Default;

/// Longest deadline that a caller may ask for.
const LONGEST: Duration = Duration::from_secs(600);
const LONGEST_KEY: usize = 200;

/// A request key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    /// The key in the scope of its caller.
    pub scoped: String,
    /// Digest of the request.
    pub digest: u64,
    /// When it was issued.
    pub issued: Millis,
}

/// Class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Somebody waits for it.
    Online,
    /// It takes idle capacity.
    Batch,
}

impl Class {
    /// Name in headers and service levels.
    pub fn name(self) -> &'static str {
        match self {
            Class::Online => "online",
            Class::Batch => "batch",
        }
    }
}

/// A call's terms.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Id of this call, and of its first attempt.
    pub id: u64,
    /// Class.
    pub class: Class,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Its key, if it has one.
    pub key: Option<Key>,
}

impl Terms {
    /// Reads the terms of a call.
    ///
    /// # Errors
    ///
    /// `Malformed`, with the header at fault.
    pub fn read(
        head: &RequestHead,
        scope: &str,
        body: &[u8],
        default: Duration,
        now: Instant,
    ) -> Result<Terms, Error> {
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
                Duration::from_millis(millis).min(LONGEST)
            }
        };
        let key = read_key(head, scope, body)?;
        Ok(Terms { id: rand::random(), class, repeatable, deadline: now + wait, key })
    }

    /// Time until the caller stops waiting.
    pub fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

fn read_key(head: &RequestHead, scope: &str, body: &[u8]) -> Result<Option<Key>, Error> {
    let key = head.header(header::IDEMPOTENCY_KEY);
    if key.is_empty() {
        return Ok(None);
    }
    if key.len() > LONGEST_KEY {
        return Err(malformed(header::IDEMPOTENCY_KEY, "at most 200 characters"));
    }
    let now = clock::millis();
    let issued = match head.header(header::KEY_ISSUED_AT) {
        "" => now,
        text => text.parse().map_err(|_| malformed(header::KEY_ISSUED_AT, "Unix milliseconds"))?,
    };
    // A clock that is ahead may not push a key beyond the retention window.
    let issued: Millis = std::cmp::min(issued, now);
    let scoped = format!("{}/{scope}/{key}", head.header(header::CALLER));
    Ok(Some(Key { scoped, digest: digest(scope, body), issued }))
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
