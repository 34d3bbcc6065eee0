//! Append-only log of configuration changes, and the configuration it leads to.

use coordination::append_log::{self, EntryOrder};
use protocol::Generation;
use protocol::config::{ConfigEntry, Document};
use std::collections::BTreeMap;

/// Maximum number of retained entries, for peers that are out of date.
const HISTORY_LIMIT: usize = 1024;

/// The current configuration and the latest changes that led to it.
#[derive(Clone, Debug, Default)]
pub struct Log {
    document: Document,
    entries: BTreeMap<Generation, ConfigEntry>,
}

impl Log {
    /// The current configuration.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Generation of the current configuration; 0 before the first change.
    pub fn generation(&self) -> Generation {
        self.document.generation
    }

    /// Applies an entry received from the platform or from a peer.
    ///
    /// Only the next generation is applied. Entries are validated before they are
    /// written, so one that fails validation isn't part of the log: it is
    /// reported as a gap and not applied.
    pub fn apply(&mut self, entry: ConfigEntry) -> EntryOrder {
        let order = append_log::classify(self.generation(), entry.generation);
        if order != EntryOrder::Next {
            return order;
        }
        let Ok(document) = self.document.with_change(&entry.change) else {
            return EntryOrder::Gap;
        };
        self.document = document;
        self.entries.insert(entry.generation, entry);
        if self.entries.len() > HISTORY_LIMIT {
            self.entries.pop_first();
        }
        EntryOrder::Next
    }

    /// Replaces the configuration with a later one, for an instance that is more
    /// out of date than the retained entries; `false` if `document` isn't later.
    pub fn install(&mut self, document: Document) -> bool {
        let is_later = document.generation > self.generation();
        if is_later {
            self.document = document;
            self.entries.clear();
        }
        is_later
    }

    /// Test only: applies entries without the check of their generation.
    pub fn apply_unchecked(&mut self, entries: &[ConfigEntry]) {
        let mut document = Document::default();
        for entry in entries {
            document = document.with_change(&entry.change).unwrap_or(document);
        }
        self.document = document;
    }

    /// Retained entries after `generation`, at most `limit`.
    pub fn since(&self, generation: Generation, limit: usize) -> Vec<ConfigEntry> {
        self.entries.range(generation + 1..).take(limit).map(|(_, entry)| entry.clone()).collect()
    }

    /// The entry that led to `generation`, if it is still retained.
    pub fn entry(&self, generation: Generation) -> Option<&ConfigEntry> {
        self.entries.get(&generation)
    }

    /// Retained entries, latest last.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &ConfigEntry> {
        self.entries.values()
    }
}
