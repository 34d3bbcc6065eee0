//! Server-sent events, as far as chat completions use them.

use std::collections::VecDeque;

/// Most bytes of one event; a target that sends more is at fault.
const MAX_EVENT: usize = 1 << 20;

/// Splits bytes into the data of events.
#[derive(Debug, Default)]
pub struct DataParser {
    buffer: Vec<u8>,
    ready: VecDeque<String>,
}

impl DataParser {
    /// Takes in bytes; `false` when an event is longer than any may be.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        while let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            self.line(&line);
        }
        self.buffer.len() <= MAX_EVENT
    }

    /// The data of the next event, if one is whole.
    pub fn next_data(&mut self) -> Option<String> {
        self.ready.pop_front()
    }

    fn line(&mut self, line: &[u8]) {
        let text = String::from_utf8_lossy(line);
        if let Some(data) = text.trim_end().strip_prefix("data:") {
            self.ready.push_back(data.trim_start().to_owned());
        }
    }
}
