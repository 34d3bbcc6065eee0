//! The life of a job under seeded interleavings: two holders, a store that loses
//! answers, runs that fail, ends at any moment.

use proptest::prelude::*;
use state::progress::{Failure, Job, JobState, Outcome, PartialOutput, Progress};
use std::collections::BTreeSet;

const ITEMS: [&str; 5] = ["a", "b", "c", "d", "e"];

fn outcome(item: &str, by: &str) -> Outcome {
    Outcome { item: item.to_owned(), is_complete: true, text: format!("{item} by {by}") }
}

#[test]
fn an_item_fails_for_good_after_its_attempts_also_across_holders() {
    let mut first = JobState::new(Job::example("j", &["a"]), Progress::default(), 3);
    for _ in 0..2 {
        first.start_next().expect("an item");
        first.on_failed("a", Failure::Retryable);
    }
    assert!(first.has_unwritten_failures());
    let mut second = JobState::new(Job::example("j", &["a"]), first.to_progress(), 3);
    second.start_next().expect("an item");
    second.on_failed("a", Failure::Retryable);
    let draft = second.next_write().expect("a result");
    assert!(!draft.outcomes[0].is_complete);
    assert!(second.start_next().is_none());
}

#[test]
fn an_impossible_item_runs_once() {
    let mut state = JobState::new(Job::example("j", &["a"]), Progress::default(), 3);
    state.start_next().expect("an item");
    state.on_failed("a", Failure::Permanent);
    assert!(state.is_done());
}

/// Regression: of the items that were stopped the first in the list went on, so
/// some stayed nearly done until the whole job was late.
#[test]
fn the_item_with_the_least_left_goes_on_first() {
    let mut state = JobState::new(Job::example("j", &["a", "b", "c"]), Progress::default(), 3);
    let partial = |made: usize| PartialOutput {
        last_event_id: Some(made as u64),
        events: vec![String::from("x"); made],
    };
    state.merge_partials([("a".to_owned(), partial(3)), ("b".to_owned(), partial(9))].into());
    assert_eq!(state.next_event_count(), Some(9));
    assert_eq!(state.start_next().map(|item| item.id), Some(String::from("b")));
}

#[test]
fn a_stopped_item_goes_on_where_it_stood() {
    let mut state = JobState::new(Job::example("j", &["a", "b"]), Progress::default(), 3);
    let item = state.start_next().expect("an item").id;
    let made = PartialOutput { last_event_id: Some(3), events: vec!["x".into(); 3] };
    state.on_stopped(&item, made.clone());
    assert_eq!(state.start_next().expect("it again").id, item);
    assert_eq!(state.partial(&item), made);
    // What a failed run had made is worth nothing.
    state.on_failed(&item, Failure::Retryable);
    assert_eq!(state.partial(&item), PartialOutput::default());
}

#[test]
fn nothing_starts_after_the_end_and_what_is_late_is_given_up() {
    let mut state = JobState::new(Job::example("j", &["a", "b"]), Progress::default(), 3);
    state.end();
    assert!(state.start_next().is_none());
    assert_eq!(state.waiting_tokens(), 0);
    let mut late = JobState::new(Job::example("j", &["a", "b"]), Progress::default(), 3);
    late.expire(59_999);
    assert!(!late.is_done());
    late.expire(60_000);
    assert!(late.is_done());
    assert!(late.next_write().expect("results").outcomes.iter().all(|o| !o.is_complete));
}

/// Regression: a job that another instance had ended went on listing what its holder
/// had still made; whoever had read the ended job showed fewer results for good.
#[test]
fn nothing_is_listed_once_an_end_is_durable() {
    let mut state = JobState::new(Job::example("j", &["a", "b", "c"]), Progress::default(), 3);
    for _ in 0..3 {
        state.start_next().expect("an item");
    }
    state.on_done("a", outcome("a", "holder"));
    let ended = Progress { ended: true, ..Progress::default() };
    state.on_conflict(ended);
    assert!(state.next_write().is_none(), "made before it knew of the end");
    state.on_done("b", outcome("b", "holder"));
    assert!(state.next_write().is_none(), "made after it knew");
    state.on_failed("c", Failure::Permanent);
    assert!(state.is_finished());
    assert!(state.durable_results().is_empty());
}

#[test]
fn what_is_done_before_an_end_is_listed_with_it() {
    let mut state = JobState::new(Job::example("j", &["a", "b"]), Progress::default(), 3);
    state.start_next().expect("an item");
    state.on_done("a", outcome("a", "holder"));
    state.end();
    let draft = state.next_write().expect("the end");
    assert_eq!((draft.outcomes.len(), draft.ended), (1, true));
    state.on_written(&draft);
    assert!(state.is_finished());
}

/// What the platform keeps of the job, with a revision.
#[derive(Clone)]
struct Store {
    progress: Progress,
    revision: u64,
}

/// One holder with its idea of the revision.
struct Worker {
    name: &'static str,
    state: JobState,
    revision: u64,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Finish(usize, usize),
    Fail(usize, usize),
    /// A write; `true` loses its answer.
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

fn write(worker: &mut Worker, store: &mut Store, is_answer_lost: bool) {
    let draft = worker.state.to_progress();
    if store.revision != worker.revision {
        let found = store.progress.clone();
        worker.revision = store.revision;
        if found == draft {
            worker.state.on_written(&draft);
        } else {
            worker.state.on_conflict(found);
        }
        return;
    }
    store.progress = draft.clone();
    store.revision += 1;
    if !is_answer_lost {
        worker.revision = store.revision;
        worker.state.on_written(&draft);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    /// Two holders that both believe the job theirs: no listed result ever moves
    /// or changes, none is doubled, what a holder lists is durable, an end stays.
    #[test]
    fn two_holders_never_contradict_what_was_listed(steps in steps()) {
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
            let kept = &store.progress;
            prop_assert_eq!(&kept.outcomes[..before.outcomes.len()], &before.outcomes[..]);
            prop_assert!(kept.ended || !before.ended, "an end stays");
            prop_assert!(!before.ended || kept.outcomes == before.outcomes, "and closes the list");
            let items: BTreeSet<&str> = kept.outcomes.iter().map(|o| o.item.as_str()).collect();
            prop_assert_eq!(items.len(), kept.outcomes.len(), "each item once");
            for worker in &workers {
                let listed = worker.state.durable_results();
                prop_assert_eq!(listed, &kept.outcomes[..listed.len()], "listed is durable");
            }
        }
        // In the end both write until all is settled, and agree.
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

/// Regression: a holder that lost its job kept to itself which items had failed for
/// good and what was done, so the next one ran them again, the third as well.
#[test]
fn what_a_holder_has_learnt_saves_the_next_one_the_runs() {
    let job = || Job::example("j", &["never", "done", "begun", "failed"]);
    let mut first = JobState::new(job(), Progress::default(), 3);
    while first.start_next().is_some() {}
    first.on_failed("never", Failure::Permanent);
    first.on_done("done", outcome("done", "first"));
    let made = PartialOutput { last_event_id: Some(3), events: vec!["x".into(); 3] };
    first.on_stopped("begun", made.clone());
    first.on_failed("failed", Failure::Retryable);
    first.on_failed("failed", Failure::Retryable);
    let mut second = JobState::new(job(), Progress::default(), 3);
    second.merge_handoff(first.handoff());
    assert_eq!(second.runnable(), 2, "neither what is done nor what can't be");
    assert_eq!(second.partial("begun"), made);
    second.on_failed("failed", Failure::Retryable);
    assert_eq!(second.runnable(), 1, "the third failure is the last");
    let listed = second.next_write().expect("results").outcomes;
    let complete: Vec<&str> =
        listed.iter().filter(|o| o.is_complete).map(|o| o.item.as_str()).collect();
    assert_eq!((listed.len(), complete), (3, vec!["done"]));
}

#[test]
fn what_two_holders_learnt_of_the_same_runs_counts_once() {
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
    assert!(!second.is_done(), "two failures are known for sure, not three or five");
    second.on_done("b", outcome("b", "second"));
    let draft = second.next_write().expect("a result");
    assert_eq!(draft.outcomes, [outcome("b", "first")], "one result, the one that was learnt");
}

#[test]
fn nothing_learnt_is_listed_once_an_end_is_durable() {
    let job = || Job::example("j", &["a", "b"]);
    let mut first = JobState::new(job(), Progress::default(), 3);
    first.start_next().expect("an item");
    first.on_done("a", outcome("a", "first"));
    let ended = Progress { ended: true, ..Progress::default() };
    let mut second = JobState::new(job(), ended, 3);
    second.merge_handoff(first.handoff());
    assert!(second.next_write().is_none());
}
