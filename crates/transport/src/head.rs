//! Heads of responses that consist of two.
//!
//! A server that fails inside a head may go on with another response on the same connection, such
//! as that of the failure. Both heads then read as one: with the status of the first, and with the
//! status line of the second at the end of a reason or of a header's value.

use hyper::Response;
use hyper::ext::ReasonPhrase;

/// A status line up to its code; `0` stands for any digit.
const STATUS_LINE: &[u8] = b"HTTP/1.0 000";

/// Whether a head has a second status line in it, so that it is the head of no response.
pub(crate) fn is_joined<B>(response: &Response<B>) -> bool {
    let reason = response.extensions().get::<ReasonPhrase>();
    reason.is_some_and(|reason| has_status_line(reason.as_bytes()))
        || response.headers().values().any(|value| has_status_line(value.as_bytes()))
}

fn has_status_line(text: &[u8]) -> bool {
    text.windows(STATUS_LINE.len()).enumerate().any(|(from, line)| {
        let next = text.get(from + STATUS_LINE.len());
        is_status_line(line) && matches!(next, None | Some(b' '))
    })
}

fn is_status_line(line: &[u8]) -> bool {
    let is_same = |pattern: u8, byte: u8| match pattern {
        b'0' => byte.is_ascii_digit(),
        _ => byte == pattern,
    };
    STATUS_LINE.iter().zip(line).all(|(pattern, byte)| is_same(*pattern, *byte))
}
