//! Splits the scan of a long listing between members.
//!
//! A listing is read page by page, which is slow for one reader. Names are split into ranges by
//! their first character, and a few members each read a run of adjacent ranges. Members with the
//! same view agree without messages; while views differ, a range may be read twice or not at all.
//! Therefore a member whose range changes soon after a scan, because it has discovered other members,
//! scans again ([`Schedule`]): once the views agree, every range has been read by its reader.

use crate::InstanceId;
use crate::hash;
use std::time::{Duration, Instant};

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

/// The first scan waits until the members haven't changed for this long, so that each member knows
/// its range...
const MEMBERSHIP_STABLE_PERIOD: Duration = Duration::from_millis(250);
/// ...but no longer than this.
const MAX_FIRST_SCAN_DELAY: Duration = Duration::from_millis(1_500);
/// Delay after a scan that failed or ran before all members were known.
const RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// Delay after the loss of a member, since others may be lost with it.
const DELAY_AFTER_LOSS: Duration = Duration::from_millis(2_000);
/// Interval between scans when nothing has happened.
const INTERVAL: Duration = Duration::from_secs(60);
/// How long after a start or a loss a member whose range changes scans again. Longer than it takes
/// until all members know each other after all have started at once; later, a change of the range
/// alone leaves nothing unread.
const SETTLING_PERIOD: Duration = Duration::from_secs(10);

/// A member's view of the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Number of losses of members so far.
    pub losses: u64,
    /// Version of the membership; 0 while no other member was looked for.
    pub version: u64,
    /// The range that this member scans; `None` if it scans none.
    pub range: Option<Range>,
}

/// When a member scans its range.
#[derive(Clone, Debug)]
pub struct Schedule {
    started_at: Instant,
    next: Option<Instant>,
    view: View,
    stable_since: Instant,
    /// When something last happened that may have left names for a scan to find.
    triggered_at: Instant,
    /// When a scan after a loss is due, however lately another one has run; `None` once one has begun
    /// that is late enough for all losses.
    after_loss: Option<Instant>,
    /// The range of the last complete scan, or that there was none to scan; `None` before.
    scanned: Option<Option<Range>>,
}

impl Schedule {
    /// The schedule of a member that has just started.
    pub fn new(now: Instant) -> Schedule {
        Schedule {
            started_at: now,
            next: None,
            view: View::default(),
            stable_since: now,
            triggered_at: now,
            after_loss: None,
            scanned: None,
        }
    }

    /// Whether a scan is due.
    pub fn is_due(&mut self, view: View, now: Instant) -> bool {
        if self.view.version != view.version {
            self.stable_since = now;
        }
        if self.view.losses != view.losses {
            self.triggered_at = now;
            self.after_loss = self.after_loss.or(Some(now + DELAY_AFTER_LOSS));
        }
        self.view = view;
        let is_stable = view.version > 0 && now >= self.stable_since + MEMBERSHIP_STABLE_PERIOD;
        let Some(next) = self.next else {
            return is_stable || now >= self.started_at + MAX_FIRST_SCAN_DELAY;
        };
        let settling = self.triggered_at + DELAY_AFTER_LOSS..self.triggered_at + SETTLING_PERIOD;
        let is_unread = self.scanned.is_some_and(|scanned| scanned != view.range);
        if self.after_loss.is_some_and(|due| now >= due) {
            let after_last = self.triggered_at + DELAY_AFTER_LOSS;
            self.after_loss = Some(after_last).filter(|due| *due > now);
            return true;
        }
        now >= next || (settling.contains(&now) && is_stable && is_unread && view.range.is_some())
    }

    /// Records a scan of `range`; one that isn't complete is repeated soon.
    pub fn on_scan(&mut self, range: Option<Range>, is_complete: bool, now: Instant) {
        self.scanned = is_complete.then_some(range);
        self.next = Some(now + if is_complete { INTERVAL } else { RETRY_DELAY });
    }
}
