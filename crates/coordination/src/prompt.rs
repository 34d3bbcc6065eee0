//! Prompts as chains of parts that requests share.
//!
//! An engine that has read a prompt keeps its parts for a while. A request whose prompt begins with
//! the same parts, in the same order and for the same model, doesn't have them read again. So a part
//! is identified by everything that precedes it.
//!
//! ```
//! use coordination::prompt::Prompt;
//!
//! let first = Prompt::new("m", [("manual", 800), ("question-1", 40)]);
//! let second = Prompt::new("m", [("manual", 800), ("question-2", 60)]);
//! assert_eq!(first.parts()[0], second.parts()[0]);
//! assert_ne!(first.parts()[1], second.parts()[1]);
//! assert_eq!(second.shared_tokens(), 800);
//! ```

use crate::hash;
use protocol::PartFingerprint;
use serde::{Deserialize, Serialize};

/// Identifies a part together with the model and all parts before it.
pub type PartKey = u64;

/// Longest chain that is kept apart; the rest of a longer one counts as its last part.
const MAX_PARTS: usize = 16;

/// A part of a prompt, and how many tokens it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(PartKey, u32)", into = "(PartKey, u32)")]
pub struct Part {
    /// Identifies the part.
    pub key: PartKey,
    /// Length in tokens.
    pub tokens: u32,
}

impl From<(PartKey, u32)> for Part {
    fn from((key, tokens): (PartKey, u32)) -> Part {
        Part { key, tokens }
    }
}

impl From<Part> for (PartKey, u32) {
    fn from(part: Part) -> (PartKey, u32) {
        (part.key, part.tokens)
    }
}

/// The parts of a prompt in order; none if the caller named none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Prompt {
    parts: Vec<Part>,
}

impl Prompt {
    /// The prompt for a model whose parts have these ids and lengths.
    pub fn new<'a>(model: &str, parts: impl IntoIterator<Item = (&'a str, u32)>) -> Prompt {
        let mut chain: Vec<Part> = Vec::new();
        let mut key = hash::bytes(model.as_bytes());
        for (id, tokens) in parts {
            key = hash::weight(id.as_bytes(), key);
            let is_full = chain.len() == MAX_PARTS;
            match chain.last_mut() {
                Some(last) if is_full => {
                    *last = Part { key, tokens: last.tokens.saturating_add(tokens) };
                }
                _ => chain.push(Part { key, tokens }),
            }
        }
        Prompt { parts: chain }
    }

    pub(crate) fn from_parts(parts: Vec<Part>) -> Prompt {
        Prompt { parts }
    }

    /// The parts, from the beginning of the prompt.
    pub fn parts(&self) -> &[Part] {
        &self.parts
    }

    /// Whether no parts are known.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Length of all parts in tokens.
    pub fn tokens(&self) -> u64 {
        sum(&self.parts)
    }

    /// Length of the parts that other requests may have too: all but the last, which belongs to the
    /// request or its session.
    pub fn shared_tokens(&self) -> u64 {
        self.parts.split_last().map_or(0, |(_, shared)| sum(shared))
    }

    /// The shared part with which the prompt reaches this length; `None` if the shared parts are
    /// shorter.
    pub fn long_part(&self, min_tokens: u64) -> Option<PartKey> {
        let (_, shared) = self.parts.split_last()?;
        let mut tokens = 0;
        let part = shared.iter().find(|part| {
            tokens += u64::from(part.tokens);
            tokens >= min_tokens
        });
        part.map(|part| part.key)
    }
}

/// Fingerprints of the first [`MAX_PARTS`] parts that other prompts may have too, in any place and for
/// any model: all but the last, which belongs to the request or its session.
pub fn shared_parts<'a>(parts: impl IntoIterator<Item = (&'a str, u32)>) -> Vec<PartFingerprint> {
    let ids = parts.into_iter().map(|(id, _)| id).take(MAX_PARTS + 1);
    let mut fingerprints: Vec<PartFingerprint> = ids.map(hash::part_fingerprint).collect();
    fingerprints.pop();
    fingerprints
}

fn sum(parts: &[Part]) -> u64 {
    parts.iter().map(|part| u64::from(part.tokens)).sum()
}
