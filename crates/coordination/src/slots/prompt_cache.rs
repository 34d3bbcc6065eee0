//! What a target probably keeps of the prompts that it has read.
//!
//! An allocator learns it from its own grants: a target reads what it is sent, and the parts unused
//! longest give way once its memory is full. The belief may be wrong either way; the cost is a
//! prompt that is read again, or a request that goes to a busier target than it needed to.

use crate::prompt::{Part, PartKey, Prompt};
use std::collections::{BTreeMap, HashMap};

/// Number of uses of any part so far, which orders the parts by their last use.
type UseCount = u64;

#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: u32,
    last_use: UseCount,
    /// Whether a request with this part has completed.
    is_confirmed: bool,
}

/// The parts that one target keeps.
#[derive(Clone, Debug)]
pub(super) struct PromptCache {
    /// Tokens that the target keeps at most.
    capacity: u64,
    /// Number of parts that are remembered at most.
    max_parts: usize,
    entries: HashMap<PartKey, Entry>,
    by_use: BTreeMap<UseCount, PartKey>,
    tokens: u64,
    uses: UseCount,
    /// Number of requests in a row whose first events came so late that parts which count as kept
    /// must have been read again.
    late_first_events: u32,
}

/// Number of late first events in a row from which on nothing that counts as kept is believed. One
/// may be due to a disturbance.
const MAX_LATE_FIRST_EVENTS: u32 = 2;

impl PromptCache {
    /// An empty cache; `capacity` in tokens.
    pub(super) fn new(capacity: u64, max_parts: usize) -> PromptCache {
        PromptCache {
            capacity,
            max_parts,
            entries: HashMap::new(),
            by_use: BTreeMap::new(),
            tokens: 0,
            uses: 0,
            late_first_events: 0,
        }
    }

    /// Changes the limits, in tokens and in parts.
    pub(super) fn set_limits(&mut self, capacity: u64, max_parts: usize) {
        (self.capacity, self.max_parts) = (capacity, max_parts);
        self.evict();
    }

    /// Number of leading parts of a prompt that are kept.
    pub(super) fn kept_parts(&self, prompt: &Prompt) -> usize {
        let is_kept = |part: &&Part| self.entries.contains_key(&part.key);
        prompt.parts().iter().take_while(is_kept).count()
    }

    /// A request with this prompt is sent to the target, which will keep all parts.
    pub(super) fn on_sent(&mut self, prompt: &Prompt) {
        // A part is of no use without those before it, so these must be evicted later.
        for part in prompt.parts().iter().rev() {
            self.touch(part);
        }
        self.evict();
    }

    /// A request with this prompt has completed, so its parts were read.
    pub(super) fn on_completed(&mut self, prompt: &Prompt) {
        for part in prompt.parts() {
            if let Some(entry) = self.entries.get_mut(&part.key) {
                entry.is_confirmed = true;
            }
        }
    }

    /// A request whose first `kept` parts were kept already was not run. Forgets its other parts,
    /// unless another request had them read.
    pub(super) fn on_not_run(&mut self, prompt: &Prompt, kept: usize) {
        for part in prompt.parts().iter().skip(kept) {
            if self.entries.get(&part.key).is_some_and(|entry| !entry.is_confirmed) {
                self.remove(part.key);
            }
        }
    }

    /// A request with this prompt had its first event, so late that the target must have read the
    /// parts that count as kept, or not.
    pub(super) fn on_first_event(&mut self, prompt: &Prompt, is_late: bool) {
        self.late_first_events = if is_late { self.late_first_events + 1 } else { 0 };
        if self.late_first_events < MAX_LATE_FIRST_EVENTS {
            return;
        }
        self.late_first_events = 0;
        self.entries.clear();
        self.by_use.clear();
        self.tokens = 0;
        // What it has just read is kept.
        self.on_sent(prompt);
    }

    fn touch(&mut self, part: &Part) {
        self.uses += 1;
        let new = Entry { tokens: part.tokens, last_use: self.uses, is_confirmed: false };
        match self.entries.get_mut(&part.key) {
            Some(entry) => {
                self.by_use.remove(&entry.last_use);
                entry.last_use = self.uses;
            }
            None => {
                self.entries.insert(part.key, new);
                self.tokens += u64::from(part.tokens);
            }
        }
        self.by_use.insert(self.uses, part.key);
    }

    fn evict(&mut self) {
        while self.tokens > self.capacity || self.entries.len() > self.max_parts {
            let Some((_, oldest)) = self.by_use.first_key_value() else {
                return;
            };
            self.remove(*oldest);
        }
    }

    fn remove(&mut self, key: PartKey) {
        if let Some(entry) = self.entries.remove(&key) {
            self.by_use.remove(&entry.last_use);
            self.tokens -= u64::from(entry.tokens);
        }
    }
}
