//! What the head of a target's response says about its request.
//!
//! The response is known to belong to the request: an exchange of the pool of targets begins with no
//! other one.

use coordination::slots::LeaseOutcome;
use hyper::StatusCode;
use hyper::http::response::Parts;
use platform::header;

/// What a head says about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The target did not run the request; the lease on its slot ends so.
    NotRun(LeaseOutcome),
    /// The target ran the request, to an end that the status tells.
    Run,
}

/// Classifies the head of a response.
pub fn classify(head: &Parts) -> Verdict {
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return Verdict::NotRun(LeaseOutcome::Misdirected);
    }
    if head.headers.contains_key(header::NOT_RUN) {
        return Verdict::NotRun(LeaseOutcome::Rejected);
    }
    Verdict::Run
}
