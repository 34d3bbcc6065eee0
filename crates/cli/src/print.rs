//! Output as aligned tables or JSON.

use crate::client::Client;
use serde::Serialize;

/// Global options of a command.
pub struct Context {
    /// Client of the daemon that `--address` names.
    pub client: Client,
    /// Print JSON instead of tables.
    pub json: bool,
}

impl Context {
    /// Prints `value` as JSON, or `headers` and `rows` as a table.
    ///
    /// # Errors
    ///
    /// The value can't be serialized as JSON.
    pub fn print<T: Serialize>(
        &self,
        value: &T,
        headers: &[&str],
        rows: impl FnOnce() -> Vec<Vec<String>>,
    ) -> anyhow::Result<()> {
        if self.json {
            println!("{}", serde_json::to_string_pretty(value)?);
        } else {
            print!("{}", table(headers, &rows()));
        }
        Ok(())
    }
}

/// Formats a table with left-aligned columns. Rows may be shorter than `headers`.
pub fn table(headers: &[&str], rows: &[Vec<String>]) -> String {
    let cell_width = |row: &[String], n: usize| row.get(n).map_or(0, |cell| cell.chars().count());
    let width = |n: usize| {
        let widest = rows.iter().map(|row| cell_width(row, n)).max().unwrap_or(0);
        widest.max(headers[n].chars().count())
    };
    let widths: Vec<usize> = (0..headers.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let padded = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        let line = padded.collect::<Vec<_>>().join("  ");
        format!("{}\n", line.trim_end())
    };
    let mut text = line(headers.to_vec());
    for row in rows {
        text.push_str(&line(row.iter().map(String::as_str).collect()));
    }
    text
}
