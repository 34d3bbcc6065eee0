//! Which request a response belongs to.
//!
//! A faulty server may send a second response to a request, late, in the place of the response to the
//! next one. Servers that repeat the id of a request in their response show which is which, as long
//! as a connection carries each id only once. A response without an id certainly belongs to a
//! request only if its connection has carried no other.

use super::SendError;
use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Number of ids that a connection remembers, by far more than a server sends responses late.
const MAX_IDS: usize = 64;
/// How long connections to a server that has sent a response in the wrong place aren't reused.
const DISTRUST_PERIOD: Duration = Duration::from_secs(60);

/// Id of a request; `None` if nothing in a response could show that it belongs to the request.
pub(super) type RequestId = Option<HeaderValue>;

/// The id of a request, from the header with this name.
pub(super) fn request_id(name: &HeaderName, headers: &HeaderMap) -> RequestId {
    headers.get(name).filter(|id| !id.is_empty()).cloned()
}

/// What a connection has carried.
#[derive(Debug, Default)]
pub(super) struct Carried {
    has_request: bool,
    /// The last ids, the oldest first.
    ids: VecDeque<HeaderValue>,
}

impl Carried {
    /// Whether the connection may carry a request. One without an id needs a new connection.
    pub(super) fn allows(&self, id: &RequestId) -> bool {
        match id {
            Some(id) => !self.ids.contains(id),
            None => !self.has_request,
        }
    }

    /// Notes a request that the connection carries from now on.
    pub(super) fn add(&mut self, id: &RequestId) {
        self.has_request = true;
        let Some(id) = id else {
            return;
        };
        if self.ids.len() == MAX_IDS {
            self.ids.pop_front();
        }
        self.ids.push_back(id.clone());
    }

    /// Whether the connection hasn't carried any request.
    pub(super) fn is_empty(&self) -> bool {
        !self.has_request
    }
}

/// Checks whether a response belongs to the request `id`, which is the first one of its connection if
/// `is_first`. Returns whether the response names the request, so that the connection may carry another
/// one.
///
/// # Errors
///
/// It is, or may be, the response to another request.
pub(super) fn check(
    name: &HeaderName,
    headers: &HeaderMap,
    id: &RequestId,
    is_first: bool,
) -> Result<bool, SendError> {
    let mut ids = headers.get_all(name).iter().filter(|id| !id.is_empty()).peekable();
    if ids.peek().is_none() {
        return if is_first { Ok(false) } else { Err(foreign("response without an id")) };
    }
    if ids.all(|response_id| Some(response_id) == id.as_ref()) {
        return Ok(true);
    }
    Err(foreign("response to a different request"))
}

fn foreign(text: &str) -> SendError {
    SendError::Foreign(text.to_owned())
}

/// Servers that have sent a response in the wrong place, each with the end of its distrust.
#[derive(Debug, Default)]
pub(super) struct Distrust(HashMap<SocketAddr, Instant>);

impl Distrust {
    /// Notes that a server has sent a response in the wrong place.
    pub(super) fn add(&mut self, server: SocketAddr, now: Instant) {
        self.0.retain(|_, until| now < *until);
        self.0.insert(server, now + DISTRUST_PERIOD);
    }

    /// Whether connections to a server aren't to be reused.
    pub(super) fn contains(&self, server: SocketAddr, now: Instant) -> bool {
        self.0.get(&server).is_some_and(|until| now < *until)
    }
}
