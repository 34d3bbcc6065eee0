//! Batching of result writes: few calls, and in time for the callers.

use coordination::flush::{self, Policy, Unwritten};
use rstest::rstest;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

fn unwritten(now: Instant, due_ms: u32) -> Unwritten {
    Unwritten { oldest: now, failed: None, due: now + MS * due_ms, is_last: false }
}

#[rstest]
#[case::long_before(18_000, 3_000)]
#[case::the_time_before_it_is_due_comes_first(4_000, 2_500)]
#[case::just_before(1_000, 300)]
#[case::in_the_last_moment(100, 100)]
#[case::late(0, 3_000)]
fn flush_waits_no_longer_than_the_deadline_allows(#[case] due_ms: u32, #[case] delay_ms: u32) {
    let now = Instant::now();
    assert_eq!(flush::flush_at(Policy::default(), unwritten(now, due_ms)) - now, MS * delay_ms);
}

#[test]
fn permanent_failure_is_flushed_early() {
    let now = Instant::now();
    let failure = Unwritten { failed: Some(now + MS * 500), ..unwritten(now, 18_000) };
    assert_eq!(flush::flush_at(Policy::default(), failure) - now, MS * 800);
}

/// Number of writes for results at these times, in milliseconds, and of results that callers see
/// in time.
fn writes(policy: Policy, results: &[u32], due_ms: u32) -> (usize, usize) {
    let start = Instant::now();
    let due = start + MS * due_ms;
    let (mut calls, mut seen_in_time) = (0, 0);
    let mut remaining = results.iter().map(|at| start + MS * *at).peekable();
    while let Some(oldest) = remaining.next() {
        let at = flush::flush_at(policy, Unwritten { oldest, failed: None, due, is_last: false });
        let mut written = 1;
        while remaining.next_if(|next| *next <= at).is_some() {
            written += 1;
        }
        calls += 1;
        // Callers poll twice a second, last half a second after the deadline.
        seen_in_time += if at <= due + MS * 200 { written } else { 0 };
    }
    (calls, seen_in_time)
}

/// Regression: after its deadline a job wrote each result by itself.
#[test]
fn results_of_a_late_job_share_writes() {
    let results: Vec<u32> = (0..10).map(|n| 19_000 + 800 * n).collect();
    let (calls, _) = writes(Policy::default(), &results, 18_000);
    assert_eq!(calls, 3, "not one write for each result");
}

/// A job whose ten items complete within six seconds.
#[test]
fn results_of_a_job_share_writes_and_are_seen_in_time() {
    let results: Vec<u32> = (0..10).map(|n| 5_000 + 650 * n).collect();
    let eager = Policy { max_delay: MS * 1_500, ..Policy::default() };
    assert_eq!(writes(eager, &results, 18_000), (4, 10));
    assert_eq!(writes(Policy::default(), &results, 18_000), (2, 10));
    let late: Vec<u32> = (0..10).map(|n| 12_050 + 650 * n).collect();
    assert_eq!(writes(Policy::default(), &late, 18_000).1, 10);
}
