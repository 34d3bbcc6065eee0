//! Generated text: a function of prompt and token position, so that any engine can resume the
//! response of another and a test can compute the expected text.

use xxhash_rust::xxh3::xxh3_64_with_seed;

const SYLLABLES: [&str; 16] = [
    "ba", "de", "fi", "go", "hu", "ka", "le", "mi", "no", "pu", "ra", "se", "ti", "vo", "wu", "ya",
];
const MIN_TOKENS: u32 = 8;
const TOKEN_COUNT_RANGE: u64 = 8;

/// Token `position` of the response to `prompt`.
pub fn token(prompt: &str, position: u32) -> String {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), u64::from(position));
    let first = SYLLABLES[(hash % 16) as usize];
    let second = SYLLABLES[(hash / 16 % 16) as usize];
    format!("{first}{second} ")
}

/// Number of tokens of the response to `prompt` without a limit.
pub fn token_count(prompt: &str) -> u32 {
    MIN_TOKENS + (xxh3_64_with_seed(prompt.as_bytes(), u64::MAX) % TOKEN_COUNT_RANGE) as u32
}

/// Response to `prompt`, with `max_tokens` tokens if given.
pub fn full_text(prompt: &str, max_tokens: Option<u32>) -> String {
    let tokens = max_tokens.unwrap_or_else(|| token_count(prompt));
    (0..tokens).map(|position| token(prompt, position)).collect()
}
