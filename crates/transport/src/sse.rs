//! Decodes the server-sent events of chat completions.

use std::collections::VecDeque;

const MAX_LINE_BYTES: usize = 1 << 20;

/// Extracts the data of events from a byte stream; each `data` field must hold
/// the whole data of its event.
#[derive(Debug, Default)]
pub struct DataParser {
    buffer: Vec<u8>,
    ready: VecDeque<String>,
}

impl DataParser {
    /// Appends received bytes; returns `false` if a line exceeds 1 MiB.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        while let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            self.on_line(&line);
        }
        self.buffer.len() <= MAX_LINE_BYTES
    }

    /// Removes and returns the data of the next event, if it is complete.
    pub fn next_data(&mut self) -> Option<String> {
        self.ready.pop_front()
    }

    fn on_line(&mut self, line: &[u8]) {
        let text = String::from_utf8_lossy(line);
        if let Some(data) = text.trim_end().strip_prefix("data:") {
            self.ready.push_back(data.trim_start().to_owned());
        }
    }
}
