//! What a shard answers when it doesn't do as it is asked.

use crate::command::{Answer, Reply};
use crate::keys::Claim;
use protocol::{Error, Kind, Millis};
use std::time::Duration;

pub(super) fn refuse(kind: Kind, message: &str) -> Answer {
    Err(Error::new(kind, message))
}

pub(super) fn conflict() -> Answer {
    refuse(Kind::KeyConflict, "the key was used for another request")
}

pub(super) fn unknown_job(job: &str) -> Answer {
    Err(Error::new(Kind::NotFound, format!("no job `{job}`")))
}

pub(super) fn in_progress(deadline: Millis, now: Millis) -> Answer {
    let left = Duration::from_millis(deadline.saturating_sub(now));
    let wait = left.min(Duration::from_secs(1));
    Err(Error::new(Kind::InProgress, "a request with this key is running").with_retry_after(wait))
}

/// A claim without an outcome: while its answer is awaited, come back; after
/// that nobody knows whether it ran, and nobody may find out by running it.
pub(super) fn refuse_claimed(claim: &Claim, digest: u64, attempt: u64, now: Millis) -> Answer {
    if claim.digest != digest {
        return conflict();
    }
    if claim.attempt == attempt {
        return Ok(Reply::Proceed);
    }
    if now < claim.deadline {
        return in_progress(claim.deadline, now);
    }
    refuse(Kind::MayHaveRun, "the request was claimed and its outcome is unknown")
}
