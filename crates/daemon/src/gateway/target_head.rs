//! What the head of a target's response says about the request that it was taken for.
//!
//! A target may send a surplus response late, in the place of the next one. So the first question is
//! whose a response is; what it says counts only for its own request.

use coordination::slots::LeaseOutcome;
use hyper::http::response::Parts;
use hyper::{HeaderMap, StatusCode};
use platform::header;

/// What a head says about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It belongs to another request, so nothing is known of this one.
    Foreign,
    /// The target did not run the request; the lease on its slot ends so.
    NotRun(LeaseOutcome),
    /// The target ran the request, to an end that the status tells.
    Run,
}

/// Classifies the head of a response to the request `id`; empty for one without an id.
pub fn classify(head: &Parts, id: &str) -> Verdict {
    if !belongs_to(&head.headers, id) {
        return Verdict::Foreign;
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return Verdict::NotRun(LeaseOutcome::Misdirected);
    }
    if head.headers.contains_key(header::NOT_RUN) {
        return Verdict::NotRun(LeaseOutcome::Rejected);
    }
    Verdict::Run
}

/// Whether a response belongs to the request `id`; one without an id is taken to.
fn belongs_to(headers: &HeaderMap, id: &str) -> bool {
    let response_id = header::text(headers, header::REQUEST_ID);
    response_id.is_empty() || response_id == id
}
