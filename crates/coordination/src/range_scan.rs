//! Splits the scan of a long listing between members.
//!
//! A listing is read page by page, which is slow for one reader. Names are split into ranges by
//! their first character, and a few members each read a run of adjacent ranges. Members with the
//! same view agree without messages; while views differ, a range may be read twice or not at all,
//! so a caller that needs every name scans again later.

use crate::InstanceId;
use crate::hash;

/// Exclusive starts of the ranges. Names usually begin with a hexadecimal digit, but every name is
/// in exactly one range. The tilde sorts after letters and digits, so no name equals a boundary.
const RANGE_STARTS: [&str; 16] =
    ["", "0~", "1~", "2~", "3~", "4~", "5~", "6~", "7~", "8~", "9~", "a~", "b~", "c~", "d~", "e~"];

/// Names between two exclusive bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Range {
    /// Exclusive lower bound; `None` starts at the first name.
    pub after: Option<&'static str>,
    /// Exclusive upper bound; `None` ends after the last name.
    pub before: Option<&'static str>,
}

impl Range {
    /// Whether `name` is below the upper bound.
    pub fn is_before_end(&self, name: &str) -> bool {
        self.before.is_none_or(|before| name < before)
    }
}

/// The range that `me` scans; one in `members_per_scanner` of `members` takes part, and the others
/// get `None`.
pub fn assigned_range(
    me: InstanceId,
    members: impl IntoIterator<Item = InstanceId>,
    members_per_scanner: usize,
) -> Option<Range> {
    let mut ranked: Vec<(u64, InstanceId)> =
        members.into_iter().map(|id| (hash::weight(b"sweep", id), id)).collect();
    ranked.sort_unstable();
    let scanners = ranked.len().div_ceil(members_per_scanner.max(1)).clamp(1, RANGE_STARTS.len());
    let rank = ranked.iter().take(scanners).position(|(_, id)| *id == me)?;
    let start = |rank: usize| RANGE_STARTS.get(rank * RANGE_STARTS.len() / scanners).copied();
    Some(Range { after: start(rank).filter(|start| !start.is_empty()), before: start(rank + 1) })
}
