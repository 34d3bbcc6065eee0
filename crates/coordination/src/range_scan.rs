//! Which part of a long list each member looks through.
//!
//! A list of names is read page by page, and one reader of a long one is slow.
//! Here a few members share it: the names are cut into ranges by their first
//! sign, and each of the sharers takes a run of neighbouring ranges. Members that
//! know the same members agree without talking; while they don't, parts may be
//! read twice or by nobody, so whoever must be sure looks again later.

use crate::InstanceId;
use crate::hash;

/// After what the ranges begin. Names are expected to begin with a hexadecimal
/// digit, and any others fall into one of them all the same; the tilde sorts
/// behind letters and digits, so that no name is a boundary itself.
const BEGINS: [&str; 16] =
    ["", "0~", "1~", "2~", "3~", "4~", "5~", "6~", "7~", "8~", "9~", "a~", "b~", "c~", "d~", "e~"];

/// Names from `after` (not included, `None` from the first) to `before` (not
/// included, `None` to the last).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Range {
    /// Names follow this one.
    pub after: Option<&'static str>,
    /// Names come before this one.
    pub before: Option<&'static str>,
}

impl Range {
    /// Whether a name lies before the range's end.
    pub fn is_before_end(&self, name: &str) -> bool {
        self.before.is_none_or(|before| name < before)
    }
}

/// The names that `me` looks through, shared with others of `members`: one in
/// `per_sharer` members takes part. `None` when nothing falls to it.
pub fn assigned_range(
    me: InstanceId,
    members: impl IntoIterator<Item = InstanceId>,
    per_sharer: usize,
) -> Option<Range> {
    let mut ranked: Vec<(u64, InstanceId)> =
        members.into_iter().map(|id| (hash::weight(b"sweep", id), id)).collect();
    ranked.sort_unstable();
    let sharers = ranked.len().div_ceil(per_sharer.max(1)).clamp(1, BEGINS.len());
    let place = ranked.iter().take(sharers).position(|(_, id)| *id == me)?;
    let begin = |place: usize| BEGINS.get(place * BEGINS.len() / sharers).copied();
    Some(Range { after: begin(place).filter(|begin| !begin.is_empty()), before: begin(place + 1) })
}
