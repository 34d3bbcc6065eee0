//! Streams and items that targets break off, and that go on at other targets.

mod util;

use rstest::rstest;
use util::raw_caller::Version;
use util::raw_streams::{
    UNFRAMED, call, event, events, fleet_of, sound_target, target, target_with_body, with_length,
};
use util::raw_target::{Answer, End, RawTarget};

#[rstest]
fn resumed_stream_does_not_end_at_the_length_of_its_first_target(
    #[values(Version::Http10, Version::Http11)] version: Version,
) {
    let body = format!("{}id: 4\ndata: pa", events(1, 3));
    let broken = target(move |request| {
        Answer::new(&request.id, &with_length(&body), &[&body], End::KeepAlive)
    });
    let sound = sound_target();
    let fleet = fleet_of(&[&broken, &sound]);
    for n in 0..8 {
        let response = call(&fleet, version, "/talk/x", &format!("talk-{n}"));
        assert!(response.looks_complete(), "{response:?}");
        assert_eq!(response.body, events(1, 6));
    }
}

#[rstest]
#[case::inside_an_event(End::Close, "id: 3\ndata: pa")]
#[case::between_events_in_a_crash(End::Crash, "")]
fn resumable_stream_that_is_broken_off_continues_on_another_target(
    #[case] end: End,
    #[case] rest: &str,
    #[values(Version::Http10, Version::Http11)] version: Version,
) {
    let begun = events(1, 2) + rest;
    let broken = target_with_body(UNFRAMED, &[&begun], end);
    let sound = sound_target();
    let fleet = fleet_of(&[&broken, &sound]);
    for n in 0..8 {
        let response = call(&fleet, version, "/talk/on", &format!("on-{n}"));
        assert!(response.looks_complete(), "{response:?}");
        assert_eq!(response.body, events(1, 6));
    }
    assert!(!broken.requests().is_empty());
}

/// Checks that items are whole although `broken` breaks their output off.
fn check_items(broken: &RawTarget) {
    let sound = sound_target();
    let fleet = fleet_of(&[broken, &sound]);
    let items = ["item-1", "item-2", "item-3", "item-4", "item-5", "item-6"];
    assert_eq!(fleet.submit(0, "job", &items).status, 202);
    let text: Vec<String> = (1..=6).map(|n| format!("part-{n}")).collect();
    for result in fleet.wait_results(0, "job") {
        assert_eq!(result["message"], text.join("\n"), "{result}");
    }
    assert!(!broken.requests().is_empty());
}

#[rstest]
fn item_of_a_target_that_crashes_between_events_is_completed_elsewhere(
    #[values(End::Crash, End::Restart)] end: End,
) {
    check_items(&target_with_body(UNFRAMED, &[&event(1), &event(2)], end));
}

#[test]
fn item_of_a_target_that_closes_inside_an_event_is_completed_elsewhere() {
    let pieces = [&event(1), &event(2), "id: 3\ndata: pa"];
    check_items(&target_with_body(UNFRAMED, &pieces, End::Close));
}

#[test]
fn resumed_stream_closed_inside_an_event_does_not_look_complete() {
    let broken = target_with_body(UNFRAMED, &[&events(1, 2), "id: 3\nda"], End::Close);
    let resumed = target(|request| {
        let from = request.last_event_id.unwrap_or(0) + 1;
        let pieces = [&event(from), "id: 9\ndata: pa"];
        Answer::new(&request.id, UNFRAMED, &pieces, End::Close)
    });
    let fleet = fleet_of(&[&broken, &resumed]);
    for n in 0..4 {
        let response = call(&fleet, Version::Http11, "/talk/half", &format!("half-{n}"));
        assert!(!response.looks_complete(), "{response:?}");
    }
    assert!(resumed.requests().iter().any(|request| request.last_event_id.is_some()));
}

/// Guards against a loop of resumptions after the last event.
#[test]
fn resumed_stream_without_further_events_is_complete() {
    let broken = target_with_body(UNFRAMED, &[&events(1, 6)], End::Reset);
    let resumed = target(|request| match request.last_event_id {
        Some(_) => Answer::new(&request.id, UNFRAMED, &[], End::Close),
        None => Answer::new(&request.id, UNFRAMED, &[&events(1, 6)], End::Close),
    });
    let fleet = fleet_of(&[&broken, &resumed]);
    for n in 0..4 {
        let response = call(&fleet, Version::Http11, "/talk/all", &format!("all-{n}"));
        assert!(response.looks_complete(), "{response:?}");
        assert_eq!(response.body, events(1, 6));
    }
    assert!(resumed.requests().iter().any(|request| request.last_event_id == Some(6)));
}
