//! What a case sent and saw, written to `record.txt` in its folder.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// The record of one run; lines bear the time since its start.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    /// Starts a new record in a folder.
    pub fn create(folder: &Path) -> io::Result<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record { file: Mutex::new(file), started: Instant::now() })
    }

    /// Adds a line, also to standard output.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}", self.started.elapsed().as_secs_f64(), text.as_ref());
        println!("{line}");
        if let Ok(mut file) = self.file.lock() {
            // A record that can't be written doesn't change what was seen.
            let _written = writeln!(file, "{line}");
        }
    }
}
