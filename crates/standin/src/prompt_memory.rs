//! Memory of a stand-in engine: the parts of prompts that it has read and keeps.

use std::collections::HashMap;

/// Numbers of tokens of prompts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tokens {
    /// Tokens that had to be read.
    pub read: u64,
    /// Tokens that were kept from an earlier prompt.
    pub found: u64,
}

/// Kept parts of prompts, and counts of what was read.
#[derive(Debug, Default)]
pub struct PromptMemory {
    /// Kept parts with their lengths, that unused longest first. A part is named by its model, the
    /// parts before it and its own id.
    kept: Vec<(String, u64)>,
    tokens: Tokens,
    /// Number of reads by id of the part.
    reads: HashMap<String, usize>,
}

impl PromptMemory {
    /// Reads a prompt, given as `ID:TOKENS` of its parts separated by commas, and keeps up to
    /// `capacity` tokens of it and of earlier ones. Returns the number of tokens that weren't kept.
    pub fn read(&mut self, model: &str, prompt: &str, capacity: u64) -> u64 {
        let mut name = model.to_owned();
        let mut chain = Vec::new();
        let mut unread = 0;
        for (id, tokens) in prompt.split(',').filter_map(|part| part.trim().split_once(':')) {
            let tokens: u64 = tokens.parse().unwrap_or(0);
            name = format!("{name}/{id}");
            // A part counts as kept only if all parts before it are.
            if unread == 0 && self.kept.iter().any(|(kept, _)| *kept == name) {
                self.tokens.found += tokens;
            } else {
                unread += tokens;
                *self.reads.entry(id.to_owned()).or_default() += 1;
            }
            chain.push((name.clone(), tokens));
        }
        self.tokens.read += unread;
        self.kept.retain(|(kept, _)| chain.iter().all(|(used, _)| used != kept));
        // Later parts are of no use without the earlier ones, so they are evicted first.
        self.kept.extend(chain.into_iter().rev());
        while self.kept.iter().map(|(_, tokens)| tokens).sum::<u64>() > capacity {
            self.kept.remove(0);
        }
        unread
    }

    /// Tokens read and found so far.
    pub fn tokens(&self) -> Tokens {
        self.tokens
    }

    /// Number of times that a part was read, whatever the parts before it.
    pub fn read_count(&self, part: &str) -> usize {
        self.reads.get(part).copied().unwrap_or(0)
    }
}
