//! Who watches the platform for the others.

use coordination::watch::{Candidate, is_watcher};
use rstest::rstest;

fn watchers(candidates: &[Candidate], seats: usize) -> Vec<u64> {
    let ids = candidates.iter().map(|candidate| candidate.id);
    ids.filter(|id| is_watcher("topic", *id, candidates.iter().copied(), seats)).collect()
}

#[rstest]
#[case(9, 2, 2)]
#[case(9, 1, 1)]
#[case(1, 2, 1)]
#[case(0, 2, 0)]
fn as_many_watch_as_there_are_seats(
    #[case] members: u64,
    #[case] seats: usize,
    #[case] expected: usize,
) {
    let candidates: Vec<Candidate> =
        (0..members).map(|id| Candidate { id, is_disconnected: false }).collect();
    assert_eq!(watchers(&candidates, seats).len(), expected);
}

#[test]
fn whoever_cannot_see_the_platform_is_replaced_and_comes_back() {
    let mut candidates: Vec<Candidate> =
        (0..5).map(|id| Candidate { id, is_disconnected: false }).collect();
    let before = watchers(&candidates, 1)[0];
    candidates[before as usize].is_disconnected = true;
    assert_ne!(watchers(&candidates, 1)[0], before);
    candidates[before as usize].is_disconnected = false;
    assert_eq!(watchers(&candidates, 1), [before]);
    candidates.iter_mut().for_each(|candidate| candidate.is_disconnected = true);
    assert_eq!(watchers(&candidates, 1).len(), 1, "somebody must go on trying");
}
