//! Bodies of targets' responses, and whether they are complete.
//!
//! A target that fails halfway may leave a body that looks complete: its connection or its
//! chunks may end in order. Whoever reads the body through [`TargetBody`] gets an error instead.
//!
//! An event stream must end between two events. An end that nothing but the connection tells
//! counts only if the process that responded still runs: an idle connection to it, opened before
//! the request was sent, must still be open, or the process must state its id.

use super::target_process::TargetProcess;
use bytes::{Bytes, BytesMut};
use coordination::presence::{CLOSE_WINDOW, Presence};
use hyper::http::response::Parts;
use std::fmt;
use transport::budget::Budget;
use transport::event::{self, EventTracker};
use transport::upstream::{Exchange, Framing};

/// Why a body is incomplete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Truncation {
    /// The connection failed, or what it carried is malformed.
    Connection(String),
    /// The body is larger than this number of bytes.
    TooLarge(usize),
    /// An event stream ended inside an event.
    InsideEvent,
    /// A line of an event stream is a header that tells the end of a response's body, so the head of
    /// another response has begun.
    Head,
    /// A new event stream ended with its connection, before its first event.
    NoEvent,
    /// The body ended with its connection, and the process that sent it wasn't found afterwards.
    TargetGone(Presence),
}

impl fmt::Display for Truncation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Truncation::Connection(error) => write!(f, "{error}"),
            Truncation::TooLarge(max_bytes) => write!(f, "exceeds {max_bytes} bytes"),
            Truncation::InsideEvent => write!(f, "ended inside an event"),
            Truncation::Head => write!(f, "goes on with the head of another response"),
            Truncation::NoEvent => write!(f, "closed before the first event"),
            Truncation::TargetGone(presence) => write!(f, "closed, and then {presence:?}"),
        }
    }
}

/// What was read of a body.
pub enum Read {
    /// All of it.
    Whole(Bytes),
    /// Its beginning, since there is no room for more.
    Part(Bytes),
}

/// Body of a target's response.
pub struct TargetBody {
    exchange: Exchange,
    /// Position in an event stream; `None` for any other body.
    events: Option<EventTracker>,
    /// Whether the stream continues an earlier one, and may have no events left.
    is_resumed: bool,
    /// The process that sends the body; `None` if the target states the end of the body.
    process: Option<Box<TargetProcess>>,
}

impl TargetBody {
    /// Wraps a body whose response head says whether it is an event stream. If it doesn't, a
    /// successful response is one if `expects_events`.
    pub fn new(
        exchange: Exchange,
        process: Option<Box<TargetProcess>>,
        expects_events: bool,
    ) -> TargetBody {
        let head = exchange.head();
        let is_event_stream =
            event::are_events(&head.headers).unwrap_or(expects_events && head.status.is_success());
        let events = is_event_stream.then(EventTracker::default);
        TargetBody::with_events(exchange, process, events)
    }

    /// Wraps a body that must be an event stream, whatever its head says.
    pub fn of_events(exchange: Exchange, process: Option<Box<TargetProcess>>) -> TargetBody {
        TargetBody::with_events(exchange, process, Some(EventTracker::default()))
    }

    fn with_events(
        exchange: Exchange,
        process: Option<Box<TargetProcess>>,
        events: Option<EventTracker>,
    ) -> TargetBody {
        if process.is_some() {
            exchange.monitor_later();
        }
        TargetBody { exchange, events, is_resumed: false, process }
    }

    /// Marks the body as the rest of a stream that was interrupted after one of its events.
    pub fn resumed(self, is_resumed: bool) -> TargetBody {
        TargetBody { is_resumed, ..self }
    }

    /// Status and headers of the response.
    pub fn head(&self) -> &Parts {
        self.exchange.head()
    }

    /// What tells the end of the body.
    pub fn framing(&self) -> Framing {
        self.exchange.framing()
    }

    /// Whether the target states the end of the body.
    pub fn is_framed(&self) -> bool {
        self.framing() != Framing::Connection
    }

    /// Whether the body is an event stream.
    pub fn is_event_stream(&self) -> bool {
        self.events.is_some()
    }

    /// Whether the body, as far as it was read, ends inside an event.
    pub fn is_inside_event(&self) -> bool {
        self.events.is_some_and(|events| events.is_inside())
    }

    /// Whether an event stream, as far as it was read, has a complete event.
    pub fn has_event(&self) -> bool {
        self.events.is_some_and(|events| events.events() > 0)
    }

    /// Returns the next chunk, or `None` at the end of a complete body. May be cancelled.
    ///
    /// # Errors
    ///
    /// The body is incomplete.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, Truncation> {
        let chunk = self.exchange.next_chunk().await.map_err(Truncation::Connection)?;
        match &chunk {
            Some(bytes) => self.check_events(bytes)?,
            None => self.check_end().await?,
        }
        Ok(chunk)
    }

    fn check_events(&mut self, bytes: &[u8]) -> Result<(), Truncation> {
        let Some(events) = &mut self.events else {
            return Ok(());
        };
        events.push(bytes);
        if events.has_head() { Err(Truncation::Head) } else { Ok(()) }
    }

    /// Reads the rest of the body, or as much as `budget` leaves room for.
    ///
    /// # Errors
    ///
    /// The body is incomplete, or the rest exceeds `max_bytes`.
    pub async fn read(&mut self, max_bytes: usize, budget: &Budget) -> Result<Read, Truncation> {
        let mut buffer = BytesMut::new();
        let mut reservation = budget.reserve();
        while let Some(chunk) = self.next_chunk().await? {
            let bytes = buffer.len() + chunk.len();
            if bytes > max_bytes {
                return Err(Truncation::TooLarge(max_bytes));
            }
            let has_room = reservation.grow(bytes);
            buffer.extend_from_slice(&chunk);
            if !has_room {
                return Ok(Read::Part(reservation.hold(buffer.freeze())));
            }
        }
        Ok(Read::Whole(reservation.hold(buffer.freeze())))
    }

    async fn check_end(&self) -> Result<(), Truncation> {
        if self.is_inside_event() {
            return Err(Truncation::InsideEvent);
        }
        if self.is_framed() {
            return Ok(());
        }
        if !self.is_resumed && self.is_event_stream() && !self.has_event() {
            return Err(Truncation::NoEvent);
        }
        self.check_presence().await
    }

    async fn check_presence(&self) -> Result<(), Truncation> {
        tokio::time::sleep(CLOSE_WINDOW).await;
        if let Some(monitor) = self.exchange.monitor()
            && monitor.presence().await.confirms_end()
        {
            return Ok(());
        }
        // There was no connection in time, or the target has closed an idle one.
        let presence = match &self.process {
            Some(process) => process.presence().await,
            None => Presence::Unknown,
        };
        if presence.confirms_end() {
            return Ok(());
        }
        Err(Truncation::TargetGone(presence))
    }
}
