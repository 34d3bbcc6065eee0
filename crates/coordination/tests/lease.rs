//! Leases: an order of a former holder never reaches a target after the first
//! order of its successor, though no clock is shared.

use coordination::lease::{Action, Held, Observation, Record, claim};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::time::{Duration, Instant};

const LENGTH: Duration = Duration::from_millis(6000);
const LIFETIME: Duration = Duration::from_millis(2000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The holder writes at 0; its write takes effect after `write`; the candidate
/// sees it `look` later and tries every `every`. The holder orders at `order`,
/// if it still may, and the order takes up to its lifetime.
#[test]
fn a_successor_waits_out_every_order_of_the_holder() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let config = Config { cases: 5000, failure_persistence: None, ..Config::default() };
    let steps = (0..3000u64, 0..3000u64, 1..900u64, 0..20_000u64, 0..2000u64);
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |(write, look, every, order, travel)| {
            let start = Instant::now();
            let record = Record { holder: 1, epoch: 4, renewal: 0 };
            let held = Held { record, since: start, length: LENGTH };
            let may = held.may_order(LIFETIME, start + ms(order));
            let arrives = ms(order) + ms(travel).min(LIFETIME);
            let mut now = ms(write) + ms(look);
            let mut sight = None;
            let first = loop {
                sight = Some(Observation::update(sight, record, start + now));
                match claim(2, sight, LENGTH, LIFETIME, start + now) {
                    Action::Write(next) => {
                        prop_assert_eq!(next, Record { holder: 2, epoch: 5, renewal: 0 });
                        break now;
                    }
                    Action::Wait(left) => now += left.min(ms(every)),
                }
            };
            prop_assert!(!may || arrives < first, "an order arrived after its successor's first");
            Ok(())
        })
        .expect("no order is overtaken");
}

#[test]
fn a_holder_that_wakes_may_not_order() {
    let now = Instant::now();
    let record = Record { holder: 1, epoch: 1, renewal: 0 };
    let held = Held { record, since: now, length: LENGTH };
    assert!(held.may_order(LIFETIME, now));
    assert!(held.may_order(LIFETIME, now + ms(3999)));
    assert!(!held.may_order(LIFETIME, now + ms(4000)));
    assert!(!held.may_order(LIFETIME, now + Duration::from_secs(3600)));
}

#[test]
fn a_lease_given_back_is_free_at_once() {
    let now = Instant::now();
    let record = Record { holder: 0, epoch: 7, renewal: 3 };
    let sight = Some(Observation { record, since: now });
    let next = Record { holder: 2, epoch: 8, renewal: 0 };
    assert_eq!(claim(2, sight, LENGTH, LIFETIME, now), Action::Write(next));
}

#[test]
fn a_renewal_starts_the_wait_anew() {
    let now = Instant::now();
    let record = Record { holder: 1, epoch: 1, renewal: 0 };
    let first = Observation::update(None, record, now);
    let later = now + ms(7000);
    let renewed = Observation::update(Some(first), Record { renewal: 1, ..record }, later);
    assert_eq!(claim(2, Some(renewed), LENGTH, LIFETIME, later), Action::Wait(ms(8000)));
}
