//! Tables for people, JSON for programs.

use crate::client::Client;
use serde::Serialize;

/// What every command needs.
pub struct Context {
    /// The daemon to call.
    pub client: Client,
    /// Print JSON.
    pub json: bool,
}

impl Context {
    /// Prints a value as JSON, or as the table that `rows` makes of it.
    ///
    /// # Errors
    ///
    /// When the value can't be written as JSON.
    pub fn show<T: Serialize>(
        &self,
        value: &T,
        heads: &[&str],
        rows: impl FnOnce() -> Vec<Vec<String>>,
    ) -> anyhow::Result<()> {
        if self.json {
            println!("{}", serde_json::to_string_pretty(value)?);
        } else {
            print!("{}", table(heads, &rows()));
        }
        Ok(())
    }
}

/// Lays out a table with aligned columns.
pub fn table(heads: &[&str], rows: &[Vec<String>]) -> String {
    let cell = |row: &[String], n: usize| row.get(n).map_or(0, |cell| cell.chars().count());
    let width = |n: usize| {
        let widest = rows.iter().map(|row| cell(row, n)).max().unwrap_or(0);
        widest.max(heads[n].chars().count())
    };
    let widths: Vec<usize> = (0..heads.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let padded = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        let line = padded.collect::<Vec<_>>().join("  ");
        format!("{}\n", line.trim_end())
    };
    let mut text = line(heads.to_vec());
    for row in rows {
        text.push_str(&line(row.iter().map(String::as_str).collect()));
    }
    text
}
