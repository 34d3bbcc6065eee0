//! Appends one entry to an append-only log on the platform.
//!
//! `coordination::append_log` decides the steps; this module makes the calls. The shards
//! and the configuration share it.

use crate::store::Handle;
use bytes::Bytes;
use coordination::append_log::{Append, Step};
use platform::key_value::Condition;
use platform::store::StoreError;

/// Result of an append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The entry is in the log.
    Committed,
    /// Another entry has this position.
    Conflict,
    /// The entry was never written, for this reason.
    Rejected(String),
    /// Whether the entry was written is unknown.
    Unknown,
}

/// Creates `value` at `key` and reads it back after lost replies, in at most `max_attempts`
/// rounds. `token` extracts the writer's token from the entry found at `key`.
pub async fn drive(
    store: &Handle,
    append: &Append,
    key: &str,
    value: Bytes,
    max_attempts: u32,
    token: impl Fn(&[u8]) -> String,
) -> AppendOutcome {
    let mut step = Step::RetryCreate;
    let mut may_exist = false;
    for _ in 0..max_attempts {
        if step == Step::RetryCreate {
            step = match store.put(key, value.clone(), Condition::Absent).await {
                Ok(_) => append.on_created(),
                Err(StoreError::Conflict(_)) => append.on_exists(),
                // Only a first create that was rejected has surely had no effect.
                Err(StoreError::Unavailable(text)) if !may_exist => {
                    return AppendOutcome::Rejected(text);
                }
                Err(_) => append.on_unknown(),
            };
            may_exist = true;
        }
        if step == Step::ReadBack {
            step = match store.get(key).await {
                Err(_) => Step::ReadBack,
                Ok(None) => append.on_read(None),
                Ok(Some(found)) => append.on_read(Some(&token(&found.bytes))),
            };
        }
        match step {
            Step::Committed => return AppendOutcome::Committed,
            Step::Conflict => return AppendOutcome::Conflict,
            Step::ReadBack | Step::RetryCreate => {}
        }
    }
    AppendOutcome::Unknown
}
