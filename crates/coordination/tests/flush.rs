//! When results of batch jobs are written: few calls, and all in time.

use coordination::flush::{self, Policy, Unwritten};
use rstest::rstest;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

fn fresh(now: Instant, due_ms: u32) -> Unwritten {
    Unwritten { oldest: now, failed: None, due: now + MS * due_ms, is_last: false }
}

#[rstest]
#[case::long_before(18_000, 3_000)]
#[case::the_time_before_it_is_due_comes_first(4_000, 2_500)]
#[case::just_before(1_000, 300)]
#[case::in_the_last_moment(100, 100)]
#[case::late(0, 3_000)]
fn a_result_waits_no_longer_than_it_may(#[case] due_ms: u32, #[case] waits_ms: u32) {
    let now = Instant::now();
    assert_eq!(flush::flush_at(Policy::default(), fresh(now, due_ms)) - now, MS * waits_ms);
}

#[test]
fn a_verdict_is_written_soon() {
    let now = Instant::now();
    let verdict = Unwritten { failed: Some(now + MS * 500), ..fresh(now, 18_000) };
    assert_eq!(flush::flush_at(Policy::default(), verdict) - now, MS * 800);
}

/// Writes for results that come at these times, in milliseconds.
fn writes(policy: Policy, results: &[u32], due_ms: u32) -> (usize, usize) {
    let start = Instant::now();
    let due = start + MS * due_ms;
    let (mut calls, mut seen_in_time) = (0, 0);
    let mut left = results.iter().map(|at| start + MS * *at).peekable();
    while let Some(oldest) = left.next() {
        let at = flush::flush_at(policy, Unwritten { oldest, failed: None, due, is_last: false });
        let mut written = 1;
        while left.next_if(|next| *next <= at).is_some() {
            written += 1;
        }
        calls += 1;
        // Callers ask twice a second, and a last time half a second after it is due.
        seen_in_time += if at <= due + MS * 200 { written } else { 0 };
    }
    (calls, seen_in_time)
}

/// Regression: of a job that was late, each result was a write of its own: 383 writes for
/// 436 results in a shortage. Before, a result of a late job waited for nothing.
#[test]
fn results_of_a_late_job_share_writes() {
    let results: Vec<u32> = (0..10).map(|n| 19_000 + 800 * n).collect();
    let (calls, _) = writes(Policy::default(), &results, 18_000);
    assert_eq!(calls, 3, "ten before");
}

/// A job of ten items that are done within six seconds, as on a day without trouble.
#[test]
fn results_of_a_job_share_writes_and_all_are_seen_in_time() {
    let results: Vec<u32> = (0..10).map(|n| 5_000 + 650 * n).collect();
    let eager = Policy { max_delay: MS * 1_500, ..Policy::default() };
    assert_eq!(writes(eager, &results, 18_000), (4, 10));
    assert_eq!(writes(Policy::default(), &results, 18_000), (2, 10));
    let late: Vec<u32> = (0..10).map(|n| 12_050 + 650 * n).collect();
    assert_eq!(writes(Policy::default(), &late, 18_000).1, 10);
}
