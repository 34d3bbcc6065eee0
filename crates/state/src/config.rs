//! The chain of accepted configuration changes, folded.

use coordination::append_log::{self, EntryOrder};
use protocol::Generation;
use protocol::config::{ConfigEntry, Document};
use std::collections::BTreeMap;

/// Entries kept for peers that are behind.
const HISTORY_LIMIT: usize = 1024;

/// The configuration in force and the changes that led to it.
#[derive(Clone, Debug, Default)]
pub struct Log {
    document: Document,
    entries: BTreeMap<Generation, ConfigEntry>,
}

impl Log {
    /// The configuration in force.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Its generation.
    pub fn generation(&self) -> Generation {
        self.document.generation
    }

    /// Takes in an entry from anywhere: the platform, a watch, a peer.
    ///
    /// Only the very next generation is applied. An entry that doesn't validate
    /// can't be in the chain (it was validated before it was written), so one
    /// that fails here is reported as a gap and not applied.
    pub fn apply(&mut self, entry: ConfigEntry) -> EntryOrder {
        let offer = append_log::classify(self.generation(), entry.generation);
        if offer != EntryOrder::Next {
            return offer;
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

    /// Takes a whole document from a peer or a snapshot, for an instance that is
    /// further behind than the entries reach; `false` when it isn't further.
    pub fn install(&mut self, document: Document) -> bool {
        let is_further = document.generation > self.generation();
        if is_further {
            self.document = document;
            self.entries.clear();
        }
        is_further
    }

    /// Test only: the rule without its guard, which takes whatever it is shown.
    pub fn apply_unchecked(&mut self, entries: &[ConfigEntry]) {
        let mut document = Document::default();
        for entry in entries {
            document = document.with_change(&entry.change).unwrap_or(document);
        }
        self.document = document;
    }

    /// Entries after `generation`, at most `most`.
    pub fn since(&self, generation: Generation, most: usize) -> Vec<ConfigEntry> {
        self.entries.range(generation + 1..).take(most).map(|(_, entry)| entry.clone()).collect()
    }

    /// The entry that brought `generation` into force, if it is still kept.
    pub fn entry(&self, generation: Generation) -> Option<&ConfigEntry> {
        self.entries.get(&generation)
    }

    /// Entries kept, latest last.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &ConfigEntry> {
        self.entries.values()
    }
}
