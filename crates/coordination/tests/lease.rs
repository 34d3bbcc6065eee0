//! Leases: an order of the former holder never arrives after the first order of its successor,
//! although no clock is shared.

use coordination::lease::{Action, Held, Observation, Record, claim};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::time::{Duration, Instant};

const LENGTH: Duration = Duration::from_millis(6000);
const LIFETIME: Duration = Duration::from_millis(2000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The holder writes at 0, effective after `write_delay`. The candidate observes the record after
/// `observed_after` more, and then every `poll_interval`. The holder orders at `order` if its lease
/// allows it, and the order takes `in_flight`, up to its lifetime.
#[test]
fn successor_waits_for_orders_in_flight() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let config = Config { cases: 5000, failure_persistence: None, ..Config::default() };
    let steps = (0..3000u64, 0..3000u64, 1..900u64, 0..20_000u64, 0..2000u64);
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |(write_delay, observed_after, poll_interval, order, in_flight)| {
            let start = Instant::now();
            let record = Record { holder: 1, epoch: 4, renewal: 0 };
            let held = Held { record, since: start, length: LENGTH };
            let may_order = held.may_order(LIFETIME, start + ms(order));
            let arrives = ms(order) + ms(in_flight).min(LIFETIME);
            let mut now = ms(write_delay) + ms(observed_after);
            let mut observation = None;
            let first = loop {
                observation = Some(Observation::update(observation, record, start + now));
                match claim(2, observation, LENGTH, LIFETIME, start + now) {
                    Action::Write(next) => {
                        prop_assert_eq!(next, Record { holder: 2, epoch: 5, renewal: 0 });
                        break now;
                    }
                    Action::Wait(left) => now += left.min(ms(poll_interval)),
                }
            };
            prop_assert!(
                !may_order || arrives < first,
                "an order arrived after its successor's first"
            );
            Ok(())
        })
        .expect("no order is overtaken");
}

#[test]
fn holder_may_not_order_after_a_suspension() {
    let now = Instant::now();
    let record = Record { holder: 1, epoch: 1, renewal: 0 };
    let held = Held { record, since: now, length: LENGTH };
    assert!(held.may_order(LIFETIME, now));
    assert!(held.may_order(LIFETIME, now + ms(3999)));
    assert!(!held.may_order(LIFETIME, now + ms(4000)));
    assert!(!held.may_order(LIFETIME, now + Duration::from_secs(3600)));
}

#[test]
fn released_lease_is_available_at_once() {
    let now = Instant::now();
    let record = Record { holder: 0, epoch: 7, renewal: 3 };
    let observation = Some(Observation { record, since: now });
    let next = Record { holder: 2, epoch: 8, renewal: 0 };
    assert_eq!(claim(2, observation, LENGTH, LIFETIME, now), Action::Write(next));
}

#[test]
fn renewal_restarts_the_wait() {
    let now = Instant::now();
    let record = Record { holder: 1, epoch: 1, renewal: 0 };
    let first = Observation::update(None, record, now);
    let later = now + ms(7000);
    let renewed = Observation::update(Some(first), Record { renewal: 1, ..record }, later);
    assert_eq!(claim(2, Some(renewed), LENGTH, LIFETIME, later), Action::Wait(ms(8000)));
}
