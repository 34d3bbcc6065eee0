//! Replies to commands that a shard rejects.

use crate::command::{CommandResult, Reply};
use crate::keys::Claim;
use protocol::{Error, Kind, Millis};
use std::time::Duration;

pub(super) fn reject(kind: Kind, message: &str) -> CommandResult {
    Err(Error::new(kind, message))
}

pub(super) fn conflict() -> CommandResult {
    reject(Kind::KeyConflict, "the key was used for another request")
}

pub(super) fn unknown_job(job: &str) -> CommandResult {
    Err(Error::new(Kind::NotFound, format!("no job `{job}`")))
}

pub(super) fn in_progress(deadline: Millis, now: Millis) -> CommandResult {
    let remaining = Duration::from_millis(deadline.saturating_sub(now));
    let retry_after = remaining.min(Duration::from_secs(1));
    Err(Error::new(Kind::InProgress, "a request with this key is running")
        .with_retry_after(retry_after))
}

/// Rejects another attempt while a claim has no outcome: until its deadline the
/// caller may retry later; after it, the request may have run and must not run
/// again.
pub(super) fn reject_claimed(
    claim: &Claim,
    digest: u64,
    attempt: u64,
    now: Millis,
) -> CommandResult {
    if claim.digest != digest {
        return conflict();
    }
    if claim.attempt == attempt {
        return Ok(Reply::Proceed);
    }
    if now < claim.deadline {
        return in_progress(claim.deadline, now);
    }
    reject(Kind::MayHaveRun, "the request was claimed and its outcome is unknown")
}
