//! Splits server-sent events without decoding them.
//!
//! Events are forwarded byte for byte, and their ids are needed to resume an
//! interrupted stream. [`crate::sse`] decodes the data of events instead.
//! [`EventTracker`] only finds out where events end, and buffers nothing.

use bytes::{Bytes, BytesMut};
use hyper::HeaderMap;
use hyper::header::{CONTENT_ENCODING, CONTENT_TYPE};

const MAX_EVENT_BYTES: usize = 1 << 20;
const CONTENT_TYPE_OF_EVENTS: &str = "text/event-stream";

/// Whether headers announce events as plain text; `None` if they name no content type.
pub fn are_events(headers: &HeaderMap) -> Option<bool> {
    if headers.get(CONTENT_ENCODING).is_some_and(|coding| coding != "identity") {
        return Some(false);
    }
    let content_type = headers.get(CONTENT_TYPE)?.as_bytes();
    let prefix = content_type.get(..CONTENT_TYPE_OF_EVENTS.len()).unwrap_or_default();
    Some(prefix.eq_ignore_ascii_case(CONTENT_TYPE_OF_EVENTS.as_bytes()))
}

/// One complete event, or comments that an empty line ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Bytes of the event as received, with the empty line that ends it.
    pub raw: Bytes,
    /// Value of the last `id` field, if it is a number.
    pub id: Option<u64>,
}

impl Event {
    /// Whether it has nothing but comments.
    pub fn is_comment(&self) -> bool {
        let text = String::from_utf8_lossy(&self.raw);
        lines(&text).all(|line| line.is_empty() || line.starts_with(':'))
    }

    /// Values of the `data` fields, joined by line feeds; `None` if there are none.
    pub fn data(&self) -> Option<String> {
        let text = String::from_utf8_lossy(&self.raw);
        let lines: Vec<&str> = lines(&text).filter_map(|line| field(line, "data")).collect();
        if lines.is_empty() { None } else { Some(lines.join("\n")) }
    }
}

fn lines(text: &str) -> impl Iterator<Item = &str> {
    text.split(['\n', '\r'])
}

fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let rest = line.strip_prefix(name)?.strip_prefix(':')?;
    Some(rest.strip_prefix(' ').unwrap_or(rest))
}

/// The line that a stream is in, as far as it has been received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

/// Headers that tell the end of a response's body. No event has a field with such a name.
const FRAMING_HEADERS: [&[u8]; 2] = [b"content-length", b"transfer-encoding"];
/// Length of the longest of them.
const MAX_NAME_BYTES: usize = 17;

/// The beginning of a line, as far as it is needed to tell the name of its field.
#[derive(Clone, Copy, Debug, Default)]
struct LineStart {
    bytes: [u8; MAX_NAME_BYTES],
    /// Bytes of the line so far, at most [`MAX_NAME_BYTES`] and one.
    length: usize,
}

impl LineStart {
    fn push(&mut self, byte: u8) {
        if let Some(place) = self.bytes.get_mut(self.length) {
            *place = byte;
        }
        self.length = (self.length + 1).min(MAX_NAME_BYTES + 1);
    }

    fn is_framing_header(&self) -> bool {
        let name = self.bytes.get(..self.length);
        name.is_some_and(|name| FRAMING_HEADERS.iter().any(|h| name.eq_ignore_ascii_case(h)))
    }
}

/// Tracks whether a stream is inside an event. Lines end with LF, CR or both.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventTracker {
    line: Line,
    start: LineStart,
    /// Whether a line was a header of a response.
    has_head: bool,
    /// Whether the current event has a complete line that isn't a comment.
    has_fields: bool,
    /// Whether the last byte was CR, so that LF belongs to the same line end.
    is_after_cr: bool,
    events: u64,
}

impl EventTracker {
    /// Advances past received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.advance(*byte);
        }
    }

    /// Whether the stream is inside an event or a comment that isn't complete.
    pub fn is_inside(&self) -> bool {
        self.has_fields || self.line != Line::Empty
    }

    /// Whether the head of a response is in the stream, as behind an event that the server broke off.
    /// The event that it is part of isn't complete then.
    pub fn has_head(&self) -> bool {
        self.has_head
    }

    /// Number of complete events.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Advances past one byte; returns whether it ends an empty line.
    fn advance(&mut self, byte: u8) -> bool {
        let is_second_of_crlf = byte == b'\n' && self.is_after_cr;
        self.is_after_cr = byte == b'\r';
        match byte {
            b'\n' if is_second_of_crlf => return false,
            b'\n' | b'\r' => return self.end_line(),
            b':' if self.line == Line::Empty => self.line = Line::Comment,
            _ if self.line == Line::Empty => self.line = Line::Field,
            b':' if self.start.is_framing_header() => self.has_head = true,
            _ => {}
        }
        self.start.push(byte);
        false
    }

    fn end_line(&mut self) -> bool {
        let line = std::mem::take(&mut self.line);
        self.start.length = 0;
        match line {
            Line::Empty => self.events += u64::from(std::mem::take(&mut self.has_fields)),
            Line::Comment => {}
            Line::Field => self.has_fields = true,
        }
        line == Line::Empty
    }
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of bytes that `tracker` has passed.
    scanned: usize,
    tracker: EventTracker,
}

impl EventSplitter {
    /// Appends received bytes; returns `false` if more than 1 MiB is buffered.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Removes and returns the next event, if it is complete.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let raw = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        let text = String::from_utf8_lossy(&raw);
        let id = lines(&text).filter_map(|line| field(line, "id")).last();
        let id = id.and_then(|id| id.trim().parse().ok());
        Some(Event { raw, id })
    }

    /// Removes and returns what follows the last event.
    pub fn take_rest(&mut self) -> Bytes {
        self.scanned = 0;
        self.buffer.split().freeze()
    }

    fn find_end(&mut self) -> Option<usize> {
        while let Some(byte) = self.buffer.get(self.scanned).copied() {
            self.scanned += 1;
            if self.tracker.advance(byte) {
                return Some(self.scanned + usize::from(self.skip_second_of_crlf()));
            }
        }
        None
    }

    /// Advances past the LF of a line end that began with CR, if it has been received.
    fn skip_second_of_crlf(&mut self) -> bool {
        let is_next = self.tracker.is_after_cr && self.buffer.get(self.scanned) == Some(&b'\n');
        if is_next {
            self.tracker.advance(b'\n');
        }
        is_next
    }
}
