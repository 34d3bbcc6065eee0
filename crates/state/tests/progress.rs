//! Tests of a job's state machine, among them random interleavings of two holders,
//! lost responses of the store, failed runs and ends.

use proptest::prelude::*;
use protocol::routing::Origin;
use state::progress::{Failure, FailureCount, Job, JobState, Outcome, PartialOutput, Progress};
use std::collections::{BTreeMap, BTreeSet};

const ITEMS: [&str; 5] = ["a", "b", "c", "d", "e"];

fn outcome(item: &str, by: &str) -> Outcome {
    Outcome { item: item.to_owned(), is_complete: true, text: format!("{item} by {by}") }
}

#[test]
fn item_fails_permanently_after_max_attempts_across_holders() {
    let mut first = JobState::new(Job::example("j", &["a"]), Progress::default(), 3);
    for _ in 0..2 {
        first.start_next().expect("an item");
        first.on_failed("a", Failure::Retryable);
    }
    assert!(first.has_unwritten_failures());
    let mut second = JobState::new(Job::example("j", &["a"]), first.to_progress(), 3);
    second.start_next().expect("an item");
    second.on_failed("a", Failure::Retryable);
    let progress = second.next_write().expect("a result");
    assert!(!progress.outcomes[0].is_complete);
    assert!(second.start_next().is_none());
}

#[test]
fn item_with_permanent_failure_runs_once() {
    let mut state = JobState::new(Job::example("j", &["a"]), Progress::default(), 3);
    state.start_next().expect("an item");
    state.on_failed("a", Failure::Permanent);
    assert!(state.is_done());
}

/// Regression: preempted items resumed in list order, and nearly complete ones
/// were completed too late.
#[test]
fn preempted_item_with_most_events_resumes_first() {
    let mut state = JobState::new(Job::example("j", &["a", "b", "c"]), Progress::default(), 3);
    let partial = |count: usize| PartialOutput {
        last_event_id: Some(count as u64),
        events: vec![String::from("x"); count],
        origin: None,
    };
    state.merge_partials([("a".to_owned(), partial(3)), ("b".to_owned(), partial(9))].into());
    assert_eq!(state.next_event_count(), Some(9));
    assert_eq!(state.start_next().map(|item| item.id), Some(String::from("b")));
}

/// An item whose output is of another software version runs after items without output, and keeps
/// that output until a new run has produced as much.
#[test]
fn output_of_another_version_is_continued_last_and_kept() {
    let mut state = JobState::new(Job::example("j", &["a", "b"]), Progress::default(), 3);
    let partial = |version: &str, count: usize| PartialOutput {
        last_event_id: Some(count as u64),
        events: vec![String::from(version); count],
        origin: origin(version),
    };
    state.merge_partials([("a".to_owned(), partial("v1", 9))].into());
    let is_v2 = |partial: &PartialOutput| partial.origin == origin("v2");
    let started = [state.start_next_where(is_v2), state.start_next_where(is_v2)];
    assert_eq!(started.map(|item| item.expect("an item").id), ["b", "a"]);
    state.on_stopped("a", partial("v2", 3));
    assert_eq!(state.partial("a"), partial("v1", 9));
    state.on_stopped("a", partial("v2", 9));
    assert_eq!(state.partial("a"), partial("v2", 9));
}

fn origin(version: &str) -> Option<Origin> {
    Some(Origin { service: String::from("llm"), software: Some(version.to_owned()) })
}

#[test]
fn preempted_item_resumes_with_its_partial_output() {
    let mut state = JobState::new(Job::example("j", &["a", "b"]), Progress::default(), 3);
    let item = state.start_next().expect("an item").id;
    let partial =
        PartialOutput { last_event_id: Some(3), events: vec!["x".into(); 3], origin: None };
    state.on_stopped(&item, partial.clone());
    assert_eq!(state.start_next().expect("the same item").id, item);
    assert_eq!(state.partial(&item), partial);
    // A failed run discards the output so far.
    state.on_failed(&item, Failure::Retryable);
    assert_eq!(state.partial(&item), PartialOutput::default());
}

#[test]
fn no_item_starts_after_the_end_and_items_fail_at_expiry() {
    let mut state = JobState::new(Job::example("j", &["a", "b"]), Progress::default(), 3);
    state.end();
    assert!(state.start_next().is_none());
    assert_eq!(state.waiting_tokens(), 0);
    let mut expired = JobState::new(Job::example("j", &["a", "b"]), Progress::default(), 3);
    expired.expire(59_999);
    assert!(!expired.is_done());
    expired.expire(60_000);
    assert!(expired.is_done());
    assert!(expired.next_write().expect("results").outcomes.iter().all(|o| !o.is_complete));
}

/// Regression: a holder added results to a job that another instance had ended,
/// so that readers of the ended job saw different results.
#[test]
fn no_result_is_added_once_the_end_is_durable() {
    let mut state = JobState::new(Job::example("j", &["a", "b", "c"]), Progress::default(), 3);
    for _ in 0..3 {
        state.start_next().expect("an item");
    }
    state.on_done("a", outcome("a", "holder"));
    let ended = Progress { ended: true, ..Progress::default() };
    state.on_conflict(ended);
    assert!(state.next_write().is_none(), "result from before the conflict");
    state.on_done("b", outcome("b", "holder"));
    assert!(state.next_write().is_none(), "result from after the conflict");
    state.on_failed("c", Failure::Permanent);
    assert!(state.is_finished());
    assert!(state.durable_results().is_empty());
}

/// Regression: on a conflict with an ended job, merging the failure counts failed an
/// item and added its result to that job.
#[test]
fn merged_failures_add_no_result_once_the_end_is_durable() {
    let mut state = JobState::new(Job::example("j", &["a"]), Progress::default(), 3);
    state.on_done("a", outcome("a", "holder"));
    for _ in 0..3 {
        state.on_failed("a", Failure::Retryable);
    }
    let count = FailureCount { runs: 1, ..FailureCount::default() };
    let failures = BTreeMap::from([(String::from("a"), count)]);
    state.on_conflict(Progress { ended: true, failures, ..Progress::default() });
    assert!(state.next_write().is_none());
}

#[test]
fn results_before_the_end_are_written_with_it() {
    let mut state = JobState::new(Job::example("j", &["a", "b"]), Progress::default(), 3);
    state.start_next().expect("an item");
    state.on_done("a", outcome("a", "holder"));
    state.end();
    let progress = state.next_write().expect("the end");
    assert_eq!((progress.outcomes.len(), progress.ended), (1, true));
    state.on_written(&progress);
    assert!(state.is_finished());
}

/// The stored progress of the job, with its revision.
#[derive(Clone)]
struct Store {
    progress: Progress,
    revision: u64,
}

/// One holder, with the revision that it last saw.
struct Worker {
    name: &'static str,
    state: JobState,
    revision: u64,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Finish(usize, usize),
    Fail(usize, usize),
    /// A write; with `true` its response is lost.
    Write(usize, bool),
    End(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..2_usize, 0..5_usize).prop_map(|(w, i)| Step::Finish(w, i)),
        1 => (0..2_usize, 0..5_usize).prop_map(|(w, i)| Step::Fail(w, i)),
        5 => (0..2_usize, any::<bool>()).prop_map(|(w, lost)| Step::Write(w, lost)),
        1 => (0..2_usize).prop_map(Step::End),
    ];
    proptest::collection::vec(step, 1..60)
}

fn write(worker: &mut Worker, store: &mut Store, is_response_lost: bool) {
    let progress = worker.state.to_progress();
    if store.revision != worker.revision {
        let found = store.progress.clone();
        worker.revision = store.revision;
        if found == progress {
            worker.state.on_written(&progress);
        } else {
            worker.state.on_conflict(found);
        }
        return;
    }
    store.progress = progress.clone();
    store.revision += 1;
    if !is_response_lost {
        worker.revision = store.revision;
        worker.state.on_written(&progress);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    /// With two concurrent holders, results are append-only and unique, each holder
    /// shows only durable ones, and an end is final.
    #[test]
    fn two_holders_keep_results_append_only(steps in steps()) {
        let mut store = Store { progress: Progress::default(), revision: 1 };
        let worker = |name| Worker {
            name,
            state: JobState::new(Job::example("j", &ITEMS), Progress::default(), 3),
            revision: 1,
        };
        let mut workers = [worker("one"), worker("two")];
        for step in steps {
            let before = store.progress.clone();
            match step {
                Step::Finish(w, item) => {
                    let worker = &mut workers[w];
                    let outcome = outcome(ITEMS[item], worker.name);
                    worker.state.on_done(ITEMS[item], outcome);
                }
                Step::Fail(w, item) => workers[w].state.on_failed(ITEMS[item], Failure::Retryable),
                Step::Write(w, lost) => write(&mut workers[w], &mut store, lost),
                Step::End(w) => workers[w].state.end(),
            }
            let stored = &store.progress;
            prop_assert_eq!(&stored.outcomes[..before.outcomes.len()], &before.outcomes[..]);
            prop_assert!(stored.ended || !before.ended, "an end is final");
            prop_assert!(!before.ended || stored.outcomes == before.outcomes, "no later results");
            let items: BTreeSet<&str> = stored.outcomes.iter().map(|o| o.item.as_str()).collect();
            prop_assert_eq!(items.len(), stored.outcomes.len(), "one result for each item");
            for worker in &workers {
                let results = worker.state.durable_results();
                prop_assert_eq!(results, &stored.outcomes[..results.len()], "durable results");
            }
        }
        // Both holders converge once they write without lost responses.
        for _ in 0..6 {
            for worker in &mut workers {
                write(worker, &mut store, false);
            }
        }
        for worker in &workers {
            prop_assert_eq!(worker.state.durable_results(), &store.progress.outcomes[..]);
        }
    }
}

/// Regression: each new holder ran items again that had completed or failed
/// permanently at the previous one.
#[test]
fn handoff_spares_the_next_holder_repeated_runs() {
    let job = || Job::example("j", &["never", "done", "preempted", "failed"]);
    let mut first = JobState::new(job(), Progress::default(), 3);
    while first.start_next().is_some() {}
    first.on_failed("never", Failure::Permanent);
    first.on_done("done", outcome("done", "first"));
    let partial =
        PartialOutput { last_event_id: Some(3), events: vec!["x".into(); 3], origin: None };
    first.on_stopped("preempted", partial.clone());
    first.on_failed("failed", Failure::Retryable);
    first.on_failed("failed", Failure::Retryable);
    let mut second = JobState::new(job(), Progress::default(), 3);
    second.merge_handoff(first.handoff());
    assert_eq!(second.runnable(), 2, "neither the completed nor the failed item");
    assert_eq!(second.partial("preempted"), partial);
    second.on_failed("failed", Failure::Retryable);
    assert_eq!(second.runnable(), 1, "no run after the third failure");
    let results = second.next_write().expect("results").outcomes;
    let complete: Vec<&str> =
        results.iter().filter(|o| o.is_complete).map(|o| o.item.as_str()).collect();
    assert_eq!((results.len(), complete), (3, vec!["done"]));
}

#[test]
fn repeated_handoff_counts_failed_runs_once() {
    let job = || Job::example("j", &["a", "b"]);
    let mut first = JobState::new(job(), Progress::default(), 3);
    while first.start_next().is_some() {}
    first.on_failed("a", Failure::Retryable);
    first.on_failed("a", Failure::Retryable);
    first.on_done("b", outcome("b", "first"));
    let mut second = JobState::new(job(), Progress::default(), 3);
    while second.start_next().is_some() {}
    second.on_failed("a", Failure::Retryable);
    second.merge_handoff(first.handoff());
    second.merge_handoff(first.handoff());
    assert!(!second.is_done(), "two failed runs, not three or five");
    second.on_done("b", outcome("b", "second"));
    let progress = second.next_write().expect("a result");
    assert_eq!(progress.outcomes, [outcome("b", "first")], "one result, from the handoff");
}

#[test]
fn handoff_adds_no_result_once_the_end_is_durable() {
    let job = || Job::example("j", &["a", "b"]);
    let mut first = JobState::new(job(), Progress::default(), 3);
    first.start_next().expect("an item");
    first.on_done("a", outcome("a", "first"));
    let ended = Progress { ended: true, ..Progress::default() };
    let mut second = JobState::new(job(), ended, 3);
    second.merge_handoff(first.handoff());
    assert!(second.next_write().is_none());
}
