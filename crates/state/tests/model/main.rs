//! Model test of the shard log: random interleavings of owners with stale state,
//! failed writes, expired claims, cancellations and retries. The seed is fixed,
//! so that every run has the same result.

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
    Send { key: u8, is_released: bool },
    Finish { key: u8 },
    Claim { holder: u64 },
    Report { assignment: usize, items: usize, releases: bool },
    Cancel,
    Wait { millis: u64 },
    CatchUp,
    Restart,
}

#[derive(Clone, Copy, Debug)]
enum WriteResult {
    Written,
    /// The write takes effect, but its response is lost.
    ResponseLost,
    /// The write takes no effect, and there is no response.
    NotWritten,
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        3 => (0..KEYS, any::<bool>())
            .prop_map(|(key, is_released)| Action::Send { key, is_released }),
        1 => (0..KEYS).prop_map(|key| Action::Finish { key }),
        3 => (1..4u64).prop_map(|holder| Action::Claim { holder }),
        5 => (0..6usize, 0..3usize, any::<bool>())
            .prop_map(|(assignment, items, releases)| {
                Action::Report { assignment, items, releases }
            }),
        1 => Just(Action::Cancel),
        3 => (1..30_000u64).prop_map(|millis| Action::Wait { millis }),
        2 => Just(Action::CatchUp),
        1 => Just(Action::Restart),
    ]
}

fn write_result() -> impl Strategy<Value = WriteResult> {
    prop_oneof![
        6 => Just(WriteResult::Written),
        1 => Just(WriteResult::ResponseLost),
        1 => Just(WriteResult::NotWritten),
    ]
}

fn run(policy: Policy, cases: u32) -> Result<(), String> {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec((0..OWNERS, write_result(), action()), 1..60);
    let result = runner.run(&steps, |steps| {
        let mut world = World::new(policy);
        for (owner, write_result, action) in &steps {
            world.act(*owner, *write_result, action).map_err(TestCaseError::fail)?;
        }
        world.check().map_err(TestCaseError::fail)
    });
    result.map_err(|error| error.to_string())
}

fn policy() -> Policy {
    Policy { claim_timeout: Duration::from_secs(15), ..Policy::default() }
}

#[test]
fn invariants_hold_with_stale_owners_and_failed_writes() {
    run(policy(), 3000).expect("no invariant is violated");
}

#[test]
fn model_finds_second_outcome_without_fencing() {
    let error =
        run(Policy { without_fencing: true, ..policy() }, 3000).expect_err("a second outcome");
    assert!(error.contains("outcome"), "{error}");
}

#[test]
fn model_finds_second_send_without_claims() {
    let error = run(Policy { without_claims: true, ..policy() }, 3000).expect_err("a second send");
    assert!(error.contains("sent twice"), "{error}");
}
