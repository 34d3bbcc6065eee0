//! Appends to a chain, with creates that arrive late, twice or never.

use coordination::append_log::{Append, EntryOrder, Step, classify};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;

/// How one create fares: whether it arrives, when, and whether its answer does.
#[derive(Clone, Copy, Debug)]
struct Create {
    arrives: bool,
    delayed: bool,
    answered: bool,
}

fn create() -> impl Strategy<Value = Create> {
    (any::<bool>(), any::<bool>(), any::<bool>()).prop_map(|(arrives, delayed, answered)| Create {
        arrives,
        delayed,
        answered,
    })
}

struct Place {
    token: Option<String>,
    on_their_way: Vec<String>,
}

impl Place {
    fn create(&mut self, token: &str) -> bool {
        let is_free = self.token.is_none();
        if is_free {
            self.token = Some(token.to_owned());
        }
        is_free
    }

    fn deliver(&mut self) {
        for token in std::mem::take(&mut self.on_their_way) {
            self.create(&token);
        }
    }
}

fn attempt(place: &mut Place, append: &Append, token: &str, one: Create) -> Step {
    if !one.arrives {
        return append.on_unknown();
    }
    if one.delayed {
        place.on_their_way.push(token.to_owned());
        return append.on_unknown();
    }
    match (place.create(token), one.answered) {
        (true, true) => append.on_created(),
        (false, true) => append.on_exists(),
        (_, false) => append.on_unknown(),
    }
}

/// Two writers at one place: at most one is told that it committed, and what it
/// was told stays true when late creates arrive.
#[test]
fn of_two_writers_one_commits_whatever_is_lost_or_late() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let config = Config { cases: 5000, failure_persistence: None, ..Config::default() };
    let steps = proptest::collection::vec((any::<bool>(), create(), any::<bool>()), 1..24);
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |steps| {
            let mut place = Place { token: None, on_their_way: Vec::new() };
            let writers = ["a", "b"].map(|token| Append::new(0, token));
            let mut next = [Step::RetryCreate; 2];
            for (second, one, deliver) in steps {
                let who = usize::from(second);
                let token = ["a", "b"][who];
                next[who] = match next[who] {
                    Step::RetryCreate => attempt(&mut place, &writers[who], token, one),
                    Step::ReadBack => writers[who].on_read(place.token.as_deref()),
                    ended => ended,
                };
                if deliver {
                    place.deliver();
                }
            }
            place.deliver();
            let committed: Vec<&str> = (0..2)
                .filter(|who| next[*who] == Step::Committed)
                .map(|who| ["a", "b"][who])
                .collect();
            prop_assert!(committed.len() <= 1);
            if let Some(token) = committed.first() {
                prop_assert_eq!(place.token.as_deref(), Some(*token));
            }
            Ok(())
        })
        .expect("one writer commits");
}

#[rstest]
#[case(5, 4, EntryOrder::Stale)]
#[case(5, 5, EntryOrder::Stale)]
#[case(5, 6, EntryOrder::Next)]
#[case(5, 7, EntryOrder::Gap)]
#[case(0, 1, EntryOrder::Next)]
fn only_the_next_generation_is_applied(
    #[case] in_force: u64,
    #[case] generation: u64,
    #[case] expected: EntryOrder,
) {
    assert_eq!(classify(in_force, generation), expected);
}
