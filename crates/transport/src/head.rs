//! Heads of no response: those that consist of two, those whose status belongs to no class of HTTP
//! (RFC 9110, section 15), and those of a change of protocol, as no request asks for one.
//!
//! A server that fails inside a head may go on with another response on the same connection, such
//! as that of the failure. Both heads then read as one: with the status of the first, and with the
//! status line of the second at the end of a reason or of a header's value.

use hyper::ext::ReasonPhrase;
use hyper::{Response, StatusCode};
use std::ops::RangeInclusive;

/// A status line up to its code; `0` stands for any digit.
const STATUS_LINE: &[u8] = b"HTTP/1.0 000";

/// Statuses of the classes of HTTP.
const STATUSES: RangeInclusive<u16> = 100..=599;

/// Whether a status belongs to a class of HTTP.
pub(crate) fn has_class(status: StatusCode) -> bool {
    STATUSES.contains(&status.as_u16())
}

/// Why a head is that of no response; `None` if it may be that of one.
pub(crate) fn fault<B>(response: &Response<B>) -> Option<&'static str> {
    if response.status() == StatusCode::SWITCHING_PROTOCOLS {
        return Some("a change of protocol");
    }
    if !has_class(response.status()) {
        return Some("a status of no class");
    }
    is_joined(response).then_some("a second status line within a head")
}

/// Whether a head has a second status line in it.
fn is_joined<B>(response: &Response<B>) -> bool {
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
