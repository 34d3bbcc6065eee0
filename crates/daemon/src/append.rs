//! Drives one append to a chain on the platform, as far as it goes now.
//!
//! The rules are `coordination::append_log`'s; this only makes the calls that they ask
//! for. Shards and the configuration share it.

use crate::store::Handle;
use bytes::Bytes;
use coordination::append_log::{Append, Step};
use platform::key_value::Condition;
use platform::store::StoreError;

/// How an append ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The entry is in the chain.
    Committed,
    /// Another entry stands there.
    Overtaken,
    /// It was never taken in, for this reason.
    Refused(String),
    /// Nobody can tell yet.
    Open,
}

/// Creates `value` at `key` and settles lost answers, in at most `tries` rounds.
/// `token` reads the writer's token of an entry that was found there.
pub async fn drive(
    store: &Handle,
    append: &Append,
    key: &str,
    value: Bytes,
    tries: u32,
    token: impl Fn(&[u8]) -> String,
) -> End {
    let mut step = Step::RetryCreate;
    let mut uncertain = false;
    for _ in 0..tries {
        if step == Step::RetryCreate {
            step = match store.put(key, value.clone(), Condition::Absent).await {
                Ok(_) => append.on_created(),
                Err(StoreError::Conflict(_)) => append.on_exists(),
                // Only a first create that was refused has surely had no effect.
                Err(StoreError::Unavailable(text)) if !uncertain => return End::Refused(text),
                Err(_) => append.on_unknown(),
            };
            uncertain = true;
        }
        if step == Step::ReadBack {
            step = match store.get(key).await {
                Err(_) => Step::ReadBack,
                Ok(None) => append.on_read(None),
                Ok(Some(found)) => append.on_read(Some(&token(&found.bytes))),
            };
        }
        match step {
            Step::Committed => return End::Committed,
            Step::Conflict => return End::Overtaken,
            Step::ReadBack | Step::RetryCreate => {}
        }
    }
    End::Open
}
