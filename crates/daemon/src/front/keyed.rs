//! Requests with an idempotency key: claims them in the log before they are sent
//! and records their outcomes.

use super::request_options::{IdempotencyKey, RequestOptions};
use crate::clock;
use crate::retry_queue::is_transient;
use crate::shared::Shared;
use protocol::{Error, Kind, Millis};
use state::command::{Command, Reply};
use state::object_key;
use state::record::{Entry, Record, StoredOutcome};
use std::time::Instant;

/// How long after the caller's deadline an outcome may still be recorded.
const CLAIM_MARGIN_MS: Millis = 2000;

/// Whether a request needs to run.
pub enum BeginOutcome {
    /// No outcome is known; send it to a target.
    Run,
    /// It has already finished with this outcome.
    Replay(StoredOutcome),
}

/// Whether an outcome was written to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordStatus {
    /// It is in the log.
    Durable,
    /// It will be written when the platform is available again.
    Pending,
    /// Another outcome was recorded first and is the valid one.
    Superseded(Box<StoredOutcome>),
}

/// Claims a keyed request in the log.
///
/// A repeatable request may run while the log is unreachable; one that may run
/// at most once needs a durable claim before it is sent.
///
/// # Errors
///
/// Why the request may not run. Nothing was sent for this call.
pub async fn begin(
    shared: &Shared,
    options: &RequestOptions,
    key: &IdempotencyKey,
) -> Result<BeginOutcome, Error> {
    let remaining = options.remaining(Instant::now()).as_millis() as Millis;
    let command = Command::Begin {
        key: key.scoped.clone(),
        digest: key.digest,
        repeatable: options.repeatable,
        attempt: options.id,
        deadline: clock::millis() + remaining + CLAIM_MARGIN_MS,
        issued: key.issued,
    };
    match shared.shards.submit(shared, command).await {
        Ok(Reply::Proceed) => Ok(BeginOutcome::Run),
        Ok(Reply::AlreadyFinished { position }) => {
            read_outcome(shared, key, position).await.map(BeginOutcome::Replay)
        }
        Ok(_) => Err(Error::new(Kind::Internal, "unexpected reply from the log")),
        Err(error) if is_transient(error.kind) && options.repeatable => Ok(BeginOutcome::Run),
        Err(error) if error.kind == Kind::Undetermined => {
            // The claim may be durable, but nothing will be sent under it:
            // release it and report that the request did not run.
            release(shared, options, key);
            let text = "the claim could not be recorded";
            let error = Error { kind: Kind::PlatformUnavailable, message: text.into(), ..error };
            Err(error)
        }
        Err(error) => Err(error),
    }
}

/// Releases the claim of a request that was never sent.
pub fn release(shared: &Shared, options: &RequestOptions, key: &IdempotencyKey) {
    let (attempt, issued) = (options.id, key.issued);
    let command = Command::Release { key: key.scoped.clone(), attempt, issued };
    shared.retry_queue.push(command);
}

/// Records the outcome of a request.
///
/// # Errors
///
/// `KeyConflict` when the key was used for another request meanwhile.
pub async fn finish(
    shared: &Shared,
    key: &IdempotencyKey,
    outcome: StoredOutcome,
) -> Result<RecordStatus, Error> {
    let command = Command::Finish {
        key: key.scoped.clone(),
        digest: key.digest,
        issued: key.issued,
        outcome,
    };
    if shared.settings.is_guard_disabled("durable") {
        // Measurements only: the response doesn't wait for its record.
        shared.retry_queue.push(command);
        return Ok(RecordStatus::Durable);
    }
    match shared.shards.submit(shared, command.clone()).await {
        Ok(Reply::Duplicate { position }) => match read_outcome(shared, key, position).await {
            Ok(outcome) => Ok(RecordStatus::Superseded(Box::new(outcome))),
            Err(_) => Ok(RecordStatus::Durable),
        },
        Ok(_) => Ok(RecordStatus::Durable),
        Err(error) if is_transient(error.kind) => {
            shared.retry_queue.push(command);
            Ok(RecordStatus::Pending)
        }
        Err(error) => Err(error),
    }
}

/// Records `MayHaveRun` as the outcome of an at-most-once request that was sent
/// but has no complete response, so that resends needn't wait until the claim's
/// deadline.
pub async fn record_undetermined(shared: &Shared, key: &IdempotencyKey, error: &Error) -> Error {
    let error = Error::new(Kind::MayHaveRun, error.message.clone());
    match finish(shared, key, StoredOutcome::Failed(error.clone())).await {
        Ok(_) => error,
        Err(conflict) => conflict,
    }
}

/// Reads a recorded outcome from its log entry.
async fn read_outcome(
    shared: &Shared,
    key: &IdempotencyKey,
    position: u64,
) -> Result<StoredOutcome, Error> {
    let name = object_key::entry(shared.shards.shard_of(&key.scoped), position);
    let unavailable = |text: String| Error::new(Kind::PlatformUnavailable, text);
    let found = shared.store.get(&name).await.map_err(|error| unavailable(error.to_string()))?;
    let found = found.ok_or_else(|| unavailable(format!("`{name}` is missing")))?;
    let entry = Entry::decode(&found.bytes).map_err(|error| unavailable(error.to_string()))?;
    let outcome = entry.records.into_iter().find_map(|record| match record {
        Record::Finished { key: name, outcome, .. } if name == key.scoped => Some(outcome),
        _ => None,
    });
    outcome.ok_or_else(|| unavailable(format!("`{name}` holds no outcome of the key")))
}
