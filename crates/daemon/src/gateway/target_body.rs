//! Bodies of targets' responses, and whether they are complete.
//!
//! A target that fails halfway may leave a body that looks complete: its connection or its
//! chunks may end in order. Whoever reads the body through [`TargetBody`] gets an error instead.

use bytes::{Bytes, BytesMut};
use hyper::header::CONTENT_TYPE;
use hyper::http::response::Parts;
use std::fmt;
use transport::event::EventTracker;
use transport::upstream::{Exchange, Framing};

const EVENT_STREAM: &str = "text/event-stream";

/// Why a body is incomplete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Truncation {
    /// The connection failed, or what it carried is malformed.
    Connection(String),
    /// The body is larger than this number of bytes.
    TooLarge(usize),
    /// An event stream ended inside an event.
    InsideEvent,
}

impl fmt::Display for Truncation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Truncation::Connection(error) => write!(f, "{error}"),
            Truncation::TooLarge(max_bytes) => write!(f, "exceeds {max_bytes} bytes"),
            Truncation::InsideEvent => write!(f, "ended inside an event"),
        }
    }
}

/// Body of a target's response.
pub struct TargetBody {
    exchange: Exchange,
    /// Position in an event stream; `None` for any other body.
    events: Option<EventTracker>,
}

impl TargetBody {
    /// Wraps a body whose response head says whether it is an event stream. If it doesn't, a
    /// successful response is one if `expects_events`.
    pub fn new(exchange: Exchange, expects_events: bool) -> TargetBody {
        let is_event_stream = is_event_stream(exchange.head(), expects_events);
        TargetBody { exchange, events: is_event_stream.then(EventTracker::default) }
    }

    /// Wraps a body that must be an event stream, whatever its head says.
    pub fn of_events(exchange: Exchange) -> TargetBody {
        TargetBody { exchange, events: Some(EventTracker::default()) }
    }

    /// Status and headers of the response.
    pub fn head(&self) -> &Parts {
        self.exchange.head()
    }

    /// What tells the end of the body.
    pub fn framing(&self) -> Framing {
        self.exchange.framing()
    }

    /// Whether the end of the body is distinguishable from a connection closed early.
    pub fn is_framed(&self) -> bool {
        self.exchange.has_body_framing()
    }

    /// Whether the body is an event stream.
    pub fn is_event_stream(&self) -> bool {
        self.events.is_some()
    }

    /// Whether the body, as far as it was read, ends inside an event.
    pub fn is_inside_event(&self) -> bool {
        self.events.is_some_and(|events| events.is_inside())
    }

    /// Returns the next chunk, or `None` at the end of a complete body. May be cancelled.
    ///
    /// # Errors
    ///
    /// The body is incomplete.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, Truncation> {
        let chunk = self.exchange.next_chunk().await.map_err(Truncation::Connection)?;
        match &chunk {
            Some(bytes) => self.events.iter_mut().for_each(|events| events.push(bytes)),
            None => self.check_end()?,
        }
        Ok(chunk)
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// The body is incomplete, or the rest exceeds `max_bytes`.
    pub async fn read_to_end(&mut self, max_bytes: usize) -> Result<Bytes, Truncation> {
        let mut buffer = BytesMut::new();
        while let Some(chunk) = self.next_chunk().await? {
            if buffer.len() + chunk.len() > max_bytes {
                return Err(Truncation::TooLarge(max_bytes));
            }
            buffer.extend_from_slice(&chunk);
        }
        Ok(buffer.freeze())
    }

    fn check_end(&self) -> Result<(), Truncation> {
        if self.is_inside_event() {
            return Err(Truncation::InsideEvent);
        }
        Ok(())
    }
}

fn is_event_stream(head: &Parts, expects_events: bool) -> bool {
    let Some(content_type) = head.headers.get(CONTENT_TYPE) else {
        return expects_events && head.status.is_success();
    };
    let content_type = content_type.as_bytes();
    let prefix = content_type.get(..EVENT_STREAM.len()).unwrap_or_default();
    prefix.eq_ignore_ascii_case(EVENT_STREAM.as_bytes())
}
