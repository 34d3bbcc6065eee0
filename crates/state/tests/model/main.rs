//! A model check of the shard log: random interleavings of owners that are
//! stale, paused and overtaken, of lost answers, claims that lapse, cancels and
//! resends. The seed is fixed, so the verdict is the same on every run.

mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use state::shard::Policy;
use std::time::Duration;
use world::World;

const OWNERS: usize = 3;
const KEYS: u8 = 3;
const ITEMS: u64 = 8;
const CHUNK: u64 = 4;

#[derive(Clone, Debug)]
enum Action {
    Offer { key: u8, gives_up: bool },
    Finish { key: u8 },
    Claim { holder: u64 },
    Report { hand: usize, items: usize, hand_back: bool },
    Cancel,
    Wait { millis: u64 },
    CatchUp,
    Restart,
}

#[derive(Clone, Copy, Debug)]
enum Fate {
    Sound,
    /// The write takes effect and its answer is lost.
    Lost,
    /// The write never arrives, and its answer is lost too.
    Vanished,
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        3 => (0..KEYS, any::<bool>()).prop_map(|(key, gives_up)| Action::Offer { key, gives_up }),
        1 => (0..KEYS).prop_map(|key| Action::Finish { key }),
        3 => (1..4u64).prop_map(|holder| Action::Claim { holder }),
        5 => (0..6usize, 0..3usize, any::<bool>())
            .prop_map(|(hand, items, hand_back)| Action::Report { hand, items, hand_back }),
        1 => Just(Action::Cancel),
        3 => (1..30_000u64).prop_map(|millis| Action::Wait { millis }),
        2 => Just(Action::CatchUp),
        1 => Just(Action::Restart),
    ]
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![6 => Just(Fate::Sound), 1 => Just(Fate::Lost), 1 => Just(Fate::Vanished)]
}

fn run(policy: Policy, cases: u32) -> Result<(), String> {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec((0..OWNERS, fate(), action()), 1..60);
    let result = runner.run(&steps, |steps| {
        let mut world = World::new(policy);
        for (owner, fate, action) in &steps {
            world.act(*owner, *fate, action).map_err(TestCaseError::fail)?;
        }
        world.check().map_err(TestCaseError::fail)
    });
    result.map_err(|error| error.to_string())
}

fn policy() -> Policy {
    Policy { claim_timeout: Duration::from_secs(15), ..Policy::default() }
}

#[test]
fn owners_pauses_and_lost_answers_break_no_promise() {
    run(policy(), 3000).expect("the promises hold");
}

#[test]
fn without_the_fence_the_model_finds_a_second_outcome() {
    let error =
        run(Policy { without_fencing: true, ..policy() }, 3000).expect_err("a second outcome");
    assert!(error.contains("outcome"), "{error}");
}

#[test]
fn without_the_claim_the_model_finds_a_second_send() {
    let error = run(Policy { without_claims: true, ..policy() }, 3000).expect_err("a second send");
    assert!(error.contains("sent twice"), "{error}");
}
