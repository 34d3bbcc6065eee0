//! Appends to a log whose creates arrive late, twice or never.

use coordination::append_log::{Append, EntryOrder, Step, classify};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;

/// Delivery of one create and of its response.
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

struct Slot {
    token: Option<String>,
    in_flight: Vec<String>,
}

impl Slot {
    fn create(&mut self, token: &str) -> bool {
        let is_free = self.token.is_none();
        if is_free {
            self.token = Some(token.to_owned());
        }
        is_free
    }

    fn deliver(&mut self) {
        for token in std::mem::take(&mut self.in_flight) {
            self.create(&token);
        }
    }
}

fn attempt(slot: &mut Slot, append: &Append, token: &str, delivery: Create) -> Step {
    if !delivery.arrives {
        return append.on_unknown();
    }
    if delivery.delayed {
        slot.in_flight.push(token.to_owned());
        return append.on_unknown();
    }
    match (slot.create(token), delivery.answered) {
        (true, true) => append.on_created(),
        (false, true) => append.on_exists(),
        (_, false) => append.on_unknown(),
    }
}

/// At most one of two writers at the same position commits, and late creates don't change that.
#[test]
fn concurrent_append_commits_once_despite_lost_and_late_creates() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let config = Config { cases: 5000, failure_persistence: None, ..Config::default() };
    let steps = proptest::collection::vec((any::<bool>(), create(), any::<bool>()), 1..24);
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |steps| {
            let mut slot = Slot { token: None, in_flight: Vec::new() };
            let writers = ["a", "b"].map(|token| Append::new(0, token));
            let mut next = [Step::RetryCreate; 2];
            for (is_second, delivery, deliver) in steps {
                let writer = usize::from(is_second);
                let token = ["a", "b"][writer];
                next[writer] = match next[writer] {
                    Step::RetryCreate => attempt(&mut slot, &writers[writer], token, delivery),
                    Step::ReadBack => writers[writer].on_read(slot.token.as_deref()),
                    terminal => terminal,
                };
                if deliver {
                    slot.deliver();
                }
            }
            slot.deliver();
            let committed: Vec<&str> = (0..2)
                .filter(|writer| next[*writer] == Step::Committed)
                .map(|writer| ["a", "b"][writer])
                .collect();
            prop_assert!(committed.len() <= 1);
            if let Some(token) = committed.first() {
                prop_assert_eq!(slot.token.as_deref(), Some(*token));
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
fn classify_accepts_only_the_next_generation(
    #[case] in_force: u64,
    #[case] generation: u64,
    #[case] expected: EntryOrder,
) {
    assert_eq!(classify(in_force, generation), expected);
}
