//! Keyed requests: what is asked of the log before a run and told to it after.

use super::call::{Key, Terms};
use crate::clock;
use crate::retry_queue::is_transient;
use crate::shared::Shared;
use protocol::{Error, Kind, Millis};
use state::command::{Command, Reply};
use state::object_key;
use state::record::{Entry, Record, StoredOutcome};
use std::time::Instant;

/// Margin after the caller's deadline in which an answer may still be recorded.
const CLAIM_MARGIN_MS: Millis = 2000;

/// Whether to run a request.
pub enum Begun {
    /// Run it.
    Run,
    /// It has this outcome.
    Kept(StoredOutcome),
}

/// Whether an outcome is in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recorded {
    /// It is.
    Now,
    /// It will be; the platform is away.
    Later,
    /// Another one was recorded first, and counts.
    Earlier(Box<StoredOutcome>),
}

/// Asks the log whether a keyed request may run.
///
/// A repeatable one runs also while the log can't be reached; one that may run
/// once needs its claim to be durable before anything is sent.
///
/// # Errors
///
/// The refusal, which is true: nothing was sent for this call.
pub async fn begin(shared: &Shared, terms: &Terms, key: &Key) -> Result<Begun, Error> {
    let left = terms.left(Instant::now()).as_millis() as Millis;
    let command = Command::Begin {
        key: key.scoped.clone(),
        digest: key.digest,
        repeatable: terms.repeatable,
        attempt: terms.id,
        deadline: clock::millis() + left + CLAIM_MARGIN_MS,
        issued: key.issued,
    };
    match shared.shards.submit(shared, command).await {
        Ok(Reply::Proceed) => Ok(Begun::Run),
        Ok(Reply::AlreadyFinished { position }) => {
            kept(shared, key, position).await.map(Begun::Kept)
        }
        Ok(_) => Err(Error::new(Kind::Internal, "the log gave an answer that doesn't fit")),
        Err(error) if is_transient(error.kind) && terms.repeatable => Ok(Begun::Run),
        Err(error) if error.kind == Kind::Undetermined => {
            // The claim may be durable; nothing will be sent under it, so it is
            // given back, and the caller is told the truth: it was not run.
            release(shared, terms, key);
            let text = "the claim could not be recorded";
            let error = Error { kind: Kind::PlatformUnavailable, message: text.into(), ..error };
            Err(error)
        }
        Err(error) => Err(error),
    }
}

/// Gives back the claim of a request that was never sent.
pub fn release(shared: &Shared, terms: &Terms, key: &Key) {
    let (attempt, issued) = (terms.id, key.issued);
    let command = Command::Release { key: key.scoped.clone(), attempt, issued };
    shared.retry_queue.push(command);
}

/// Records an outcome.
///
/// # Errors
///
/// `KeyConflict` when the key was used for another request meanwhile.
pub async fn finish(shared: &Shared, key: &Key, outcome: StoredOutcome) -> Result<Recorded, Error> {
    let command = Command::Finish {
        key: key.scoped.clone(),
        digest: key.digest,
        issued: key.issued,
        outcome,
    };
    if shared.settings.is_guard_disabled("durable") {
        // Measurement only: the answer doesn't wait for its record.
        shared.retry_queue.push(command);
        return Ok(Recorded::Now);
    }
    match shared.shards.submit(shared, command.clone()).await {
        Ok(Reply::Duplicate { position }) => match kept(shared, key, position).await {
            Ok(earlier) => Ok(Recorded::Earlier(Box::new(earlier))),
            Err(_) => Ok(Recorded::Now),
        },
        Ok(_) => Ok(Recorded::Now),
        Err(error) if is_transient(error.kind) => {
            shared.retry_queue.push(command);
            Ok(Recorded::Later)
        }
        Err(error) => Err(error),
    }
}

/// A request that may run once was sent and there is no whole answer: that is
/// its outcome. Recorded, every resend is told so at once, rather than being
/// asked to come back until the claim's deadline.
pub async fn give_up(shared: &Shared, key: &Key, error: &Error) -> Error {
    let error = Error::new(Kind::MayHaveRun, error.message.clone());
    match finish(shared, key, StoredOutcome::Failed(error.clone())).await {
        Ok(_) => error,
        Err(conflict) => conflict,
    }
}

/// Reads a kept outcome from the entry that holds it.
async fn kept(shared: &Shared, key: &Key, position: u64) -> Result<StoredOutcome, Error> {
    let name = object_key::entry(shared.shards.shard_of(&key.scoped), position);
    let away = |text: String| Error::new(Kind::PlatformUnavailable, text);
    let found = shared.store.get(&name).await.map_err(|fault| away(fault.to_string()))?;
    let found = found.ok_or_else(|| away(format!("`{name}` is missing")))?;
    let entry = Entry::decode(&found.bytes).map_err(|error| away(error.to_string()))?;
    let of_key = entry.records.into_iter().find_map(|record| match record {
        Record::Finished { key: of, outcome, .. } if of == key.scoped => Some(outcome),
        _ => None,
    });
    of_key.ok_or_else(|| away(format!("`{name}` holds no outcome of the key")))
}
