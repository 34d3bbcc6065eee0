//! Where events end, whichever way a stream is cut into chunks.

use rstest::rstest;
use transport::event::EventTracker;

#[rstest]
#[case::nothing("", false, 0)]
#[case::one_event("id: 1\ndata: x\n\n", false, 1)]
#[case::carriage_returns("data: x\r\rdata: y\r\r", false, 2)]
#[case::both("data: x\r\n\r\n", false, 1)]
#[case::half_of_the_line_end("data: x\r\n\r", false, 1)]
#[case::empty_lines("\n\n\ndata: x\n\n\n\n", false, 1)]
#[case::comment("data: x\n\n: idle\n", false, 1)]
#[case::comment_and_empty_line(": idle\n\n", false, 0)]
#[case::part_of_a_comment("data: x\n\n: idl", true, 1)]
#[case::part_of_a_field("data: x\n\nda", true, 1)]
#[case::no_empty_line("data: x\n", true, 0)]
#[case::comment_inside_an_event("data: x\n: idle\n", true, 0)]
fn end_of_a_stream_inside_an_event_is_told_from_one_between_events(
    #[case] stream: &str,
    #[case] is_inside: bool,
    #[case] events: u64,
    #[values(1, 2, 3, 64)] chunk_bytes: usize,
) {
    let mut tracker = EventTracker::default();
    stream.as_bytes().chunks(chunk_bytes).for_each(|chunk| tracker.push(chunk));
    assert_eq!((tracker.is_inside(), tracker.events()), (is_inside, events));
}
