//! Choice of the instances that watch the platform.

use coordination::watch::{Candidate, is_watcher};
use rstest::rstest;

fn watchers(candidates: &[Candidate], watcher_count: usize) -> Vec<u64> {
    let ids = candidates.iter().map(|candidate| candidate.id);
    ids.filter(|id| is_watcher("topic", *id, candidates.iter().copied(), watcher_count)).collect()
}

#[rstest]
#[case(9, 2, 2)]
#[case(9, 1, 1)]
#[case(1, 2, 1)]
#[case(0, 2, 0)]
fn number_of_watchers_is_bounded(
    #[case] members: u64,
    #[case] watcher_count: usize,
    #[case] expected: usize,
) {
    let candidates: Vec<Candidate> =
        (0..members).map(|id| Candidate { id, is_disconnected: false }).collect();
    assert_eq!(watchers(&candidates, watcher_count).len(), expected);
}

#[test]
fn disconnected_watcher_is_replaced_until_it_reconnects() {
    let mut candidates: Vec<Candidate> =
        (0..5).map(|id| Candidate { id, is_disconnected: false }).collect();
    let before = watchers(&candidates, 1)[0];
    candidates[before as usize].is_disconnected = true;
    assert_ne!(watchers(&candidates, 1)[0], before);
    candidates[before as usize].is_disconnected = false;
    assert_eq!(watchers(&candidates, 1), [before]);
    candidates.iter_mut().for_each(|candidate| candidate.is_disconnected = true);
    assert_eq!(watchers(&candidates, 1).len(), 1, "one instance keeps trying");
}
