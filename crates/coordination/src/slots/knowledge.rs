//! What senders know of targets, for an allocator that starts without any knowledge.
//!
//! An allocator keeps its estimates in memory only. The instances that sent the requests report to its
//! successor which long shared parts each target has read last, and how slow the target is.

use super::Allocator;
use super::placement::Forecast;
use crate::TargetId;
use crate::prompt::{Part, Prompt};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Instant;

/// Most prompts that a sender remembers.
const MAX_PROMPTS: usize = 128;

/// What one sender knows of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Knowledge {
    /// The target.
    pub target: TargetId,
    /// Shared parts of a prompt that it has read.
    pub prompt: Prompt,
    /// How slow it is, as a multiple of the usual time; 0 if unknown.
    pub slowness: f64,
}

/// The prompts with long shared parts that a sender has sent last, the oldest first.
#[derive(Clone, Debug, Default)]
pub struct SentPrompts {
    sent: VecDeque<Knowledge>,
}

impl SentPrompts {
    /// Records that a target has read a prompt with a shared part of `min_tokens` or more.
    pub fn on_completed(
        &mut self,
        target: &str,
        prompt: &Prompt,
        min_tokens: u64,
        forecast: &Forecast,
    ) {
        if prompt.long_part(min_tokens).is_none() {
            return;
        }
        let prompt = prompt.without_last();
        self.sent.retain(|known| known.target != target || known.prompt != prompt);
        if self.sent.len() == MAX_PROMPTS {
            self.sent.pop_front();
        }
        let (target, slowness) = (target.to_owned(), forecast.slowness);
        self.sent.push_back(Knowledge { target, prompt, slowness });
    }

    /// The targets that have read the long shared parts of a prompt, the last one first.
    pub fn readers(&self, prompt: &Prompt) -> impl Iterator<Item = &TargetId> {
        let shared = prompt.without_last();
        let sent = self.sent.iter().rev().filter(move |known| known.prompt == shared);
        sent.map(|known| &known.target)
    }

    /// What is known of the targets that `is_wanted` selects.
    pub fn of_targets(&self, is_wanted: impl Fn(&str) -> bool) -> Vec<Knowledge> {
        self.sent.iter().filter(|known| is_wanted(&known.target)).cloned().collect()
    }
}

impl Allocator {
    /// Takes over what a sender knows. It counts like one request to each target, so what this
    /// allocator learns itself soon outweighs it.
    pub fn on_knowledge(&mut self, knowledge: &[Knowledge], now: Instant) {
        if !self.policy.places_by_delay {
            return;
        }
        let mut last: Option<&TargetId> = None;
        for Knowledge { target, prompt, slowness } in knowledge {
            let Some(state) = self.targets.get_mut(target) else {
                continue;
            };
            let is_new = state.cache.kept_parts(prompt) < prompt.parts().len();
            if is_new {
                state.cache.on_sent(prompt);
            }
            if *slowness > 0.0 && last != Some(target) {
                state.slowness.record(*slowness, now);
            }
            last = Some(target);
        }
    }
}

impl Prompt {
    /// The parts that other requests may have too.
    fn without_last(&self) -> Prompt {
        let shared: &[Part] = self.parts().split_last().map_or(&[], |(_, shared)| shared);
        Prompt::from_parts(shared.to_vec())
    }
}
