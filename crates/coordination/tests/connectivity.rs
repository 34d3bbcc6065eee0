//! A service that has fallen silent, told from one with nothing to tell.

use coordination::connectivity::{Policy, Tracker, Uptime};
use std::time::{Duration, Instant};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn contact() -> Tracker {
    Tracker::new(Policy { probe_after: ms(300), expiry: ms(1_800) })
}

#[test]
fn a_sign_of_life_is_due_only_while_nothing_is_answered() {
    let start = Instant::now();
    let mut contact = contact();
    assert!(contact.is_probe_due(start), "nothing was ever answered");
    for step in 0..20 {
        contact.on_response(start + ms(200) * step);
        assert!(!contact.is_probe_due(start + ms(200) * step + ms(199)));
    }
    assert!(contact.is_probe_due(start + ms(3_800) + ms(300)));
}

#[test]
fn it_is_lost_from_an_overdue_sign_of_life_until_the_next_answer() {
    let start = Instant::now();
    let mut contact = contact();
    contact.on_response(start);
    contact.on_failure();
    assert!(!contact.is_disconnected(), "one failed call says little");
    contact.on_probe_failed();
    assert!(contact.is_disconnected());
    contact.on_response(start + ms(900));
    assert!(!contact.is_disconnected());
}

fn since(contact: &Tracker) -> Option<Instant> {
    contact.uptime().map(|series| series.since)
}

/// Regression: after any failed call, removals were held back for 2.3 s as possible
/// lapses, though the store had been away for a moment only.
#[test]
fn only_a_break_long_enough_for_a_lapse_counts_as_an_outage() {
    let start = Instant::now();
    let mut contact = contact();
    contact.on_response(start);
    contact.on_failure();
    let short = start + ms(1_799);
    contact.on_response(short);
    assert_eq!(since(&contact), Some(start));
    contact.on_probe_failed();
    let back = short + ms(1_800);
    contact.on_response(back);
    assert_eq!(since(&contact), Some(back));
}

#[test]
fn a_long_silence_without_a_failed_call_is_no_outage() {
    let start = Instant::now();
    let mut contact = contact();
    contact.on_response(start);
    contact.on_response(start + ms(60_000));
    assert_eq!(since(&contact), Some(start));
}

/// Regression: one that was turned away alone held back removals as if the store had
/// been away for the targets too.
#[test]
fn an_outage_for_this_instance_alone_is_none_once_others_say_so() {
    let start = Instant::now();
    let mut contact = contact();
    contact.on_response(start);
    contact.on_probe_failed();
    let back = start + ms(9_000);
    contact.on_response(back);
    assert_eq!(since(&contact), Some(back), "as far as it knows");
    let elsewhere = Uptime { since: start - ms(500), last: back - ms(300) };
    contact.on_peer_report(Some(elsewhere), false);
    assert_eq!(since(&contact), Some(start - ms(500)));
}

/// Regression: the first answer after an outage, told by another instance, hid the
/// outage from those that were answered next, and they took lapsed targets for gone.
#[test]
fn an_outage_is_one_for_whoever_hears_of_its_end() {
    let start = Instant::now();
    let mut contact = contact();
    contact.on_response(start);
    contact.on_probe_failed();
    let back = start + ms(2_500);
    contact.on_peer_report(Some(Uptime { since: back, last: back + ms(20) }), false);
    contact.on_response(back + ms(100));
    assert_eq!(since(&contact), Some(back));
    let old = Uptime { since: start - ms(5_000), last: start + ms(100) };
    contact.on_peer_report(Some(old), true);
    assert_eq!(since(&contact), Some(back), "what was before it says nothing");
}

/// One that takes over from an instance that was cut off has failed nowhere itself.
#[test]
fn whoever_takes_over_knows_how_long_the_service_was_silent() {
    let start = Instant::now();
    let mut successor = contact();
    successor.on_response(start);
    let elsewhere = |last: u64| Some(Uptime { since: start - ms(500), last: start + ms(last) });
    successor.on_peer_report(elsewhere(9_200), true);
    successor.on_response(start + ms(10_000));
    assert_eq!(since(&successor), Some(start - ms(500)), "800 ms without an answer to anybody");
    successor.on_peer_report(elsewhere(10_100), true);
    let back = start + ms(13_000);
    successor.on_response(back);
    assert_eq!(since(&successor), Some(back));
}
