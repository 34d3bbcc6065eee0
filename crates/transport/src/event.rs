//! Server-sent events with their ids, as raw bytes.
//!
//! [`crate::sse`] reads the data of chat completions; this splitter keeps each
//! event's bytes as they came, since they are passed on unchanged, and reads
//! the id that a broken stream resumes at.

use bytes::{Bytes, BytesMut};

/// Most bytes of one event; a target that sends more is at fault.
const MAX_EVENT: usize = 1 << 20;

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, the empty line behind it included.
    pub raw: Bytes,
    /// Its id, if it carries one.
    pub id: Option<u64>,
}

impl Event {
    /// Its data: the text behind each `data:`, joined by line feeds; `None`
    /// when it carries none.
    pub fn data(&self) -> Option<String> {
        let text = String::from_utf8_lossy(&self.raw);
        let lines: Vec<&str> = text.lines().filter_map(|line| field(line, "data")).collect();
        if lines.is_empty() { None } else { Some(lines.join("\n")) }
    }
}

fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let rest = line.trim_end_matches('\r').strip_prefix(name)?.strip_prefix(':')?;
    Some(rest.strip_prefix(' ').unwrap_or(rest))
}

/// Splits bytes into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    looked: usize,
}

impl EventSplitter {
    /// Takes in bytes; `false` when an event is longer than any may be.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let raw = self.buffer.split_to(end).freeze();
        self.looked = 0;
        let text = String::from_utf8_lossy(&raw);
        let id = text.lines().filter_map(|line| field(line, "id")).next_back();
        let id = id.and_then(|id| id.trim().parse().ok());
        Some(Event { raw, id })
    }

    /// Whether bytes of an unfinished event are left.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        let start = self.looked.saturating_sub(3);
        for at in start..bytes.len() {
            if bytes[at..].starts_with(b"\n\n") {
                return Some(at + 2);
            }
            if bytes[at..].starts_with(b"\n\r\n") {
                return Some(at + 3);
            }
        }
        self.looked = bytes.len();
        None
    }
}
