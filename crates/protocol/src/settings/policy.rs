//! `[policy]`: figures and switches of what the gateway decides. The defaults are
//! what was measured best; docs/POLICY.md says what each is worth.

use super::SettingsError;
use super::source::Source;
use std::time::Duration;

/// What the gateway decides by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// `[policy] accounts`: most accounts in which one request waits.
    pub max_allocators: usize,
    /// `[policy] late_last`: whether what can't be in time any more waits behind
    /// what still can.
    pub late_last: bool,
    /// `[policy] begun_first`: whether items that were begun go before those that
    /// weren't.
    pub started_first: bool,
    /// `[policy] spare`: time allowed to an item that wasn't begun beyond the mean that
    /// others took, as a factor; with less left it goes behind those that are sure to be in
    /// time.
    pub slack_factor: f64,
    /// `[policy] gather_ms`: how long results of batch jobs wait to be written together.
    pub write_delay: Duration,
    /// `[policy] headroom`: most slots that batch leaves free, as a share of a
    /// service's.
    pub headroom: f64,
    /// `[policy] stop_cost_ms`: slot time that a stopped item is taken to lose; with
    /// what online requests come it says how much headroom pays.
    pub preemption_cost: Duration,
    /// `[policy] slow_last`: whether targets that are slower than others are used
    /// last.
    pub slow_last: bool,
    /// `[policy] failing_last`: whether targets that fail in part are used last,
    /// and not for batch.
    pub failing_last: bool,
    /// `[policy] doubt`: whether a target whose first event is overdue is used
    /// last for a while.
    pub overdue_last: bool,
    /// `[policy] own_share`: share of the objective that a target is given for
    /// its first event.
    pub target_share: f64,
    /// `[policy] overdue`: share of the objective after which a first event is
    /// overdue.
    pub overdue_factor: f64,
    /// `[policy] give_up`: objectives after which a request that may run again is
    /// sent elsewhere.
    pub reroute_factor: f64,
    /// `[policy] crashes`: targets that a request may crash before it is held; 0 for any
    /// number.
    pub max_crashes: usize,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            max_allocators: 4,
            late_last: true,
            started_first: true,
            slack_factor: 1.25,
            write_delay: Duration::from_secs(3),
            headroom: 0.06,
            preemption_cost: Duration::from_millis(120),
            slow_last: true,
            failing_last: true,
            overdue_last: true,
            target_share: 0.35,
            overdue_factor: 0.8,
            reroute_factor: 1.6,
            max_crashes: 3,
        }
    }
}

impl Policy {
    pub(super) fn fill(&mut self, s: &mut Source) -> Result<(), SettingsError> {
        let bool = "true or false";
        s.value("policy", "accounts", "a number of accounts", &mut self.max_allocators)?;
        s.value("policy", "late_last", bool, &mut self.late_last)?;
        s.value("policy", "begun_first", bool, &mut self.started_first)?;
        s.value("policy", "spare", "a factor", &mut self.slack_factor)?;
        s.millis("policy", "gather_ms", &mut self.write_delay)?;
        s.value("policy", "headroom", "a share of the slots", &mut self.headroom)?;
        s.millis("policy", "stop_cost_ms", &mut self.preemption_cost)?;
        s.value("policy", "slow_last", bool, &mut self.slow_last)?;
        s.value("policy", "failing_last", bool, &mut self.failing_last)?;
        s.value("policy", "doubt", bool, &mut self.overdue_last)?;
        s.value("policy", "own_share", "a share of the objective", &mut self.target_share)?;
        s.value("policy", "overdue", "a share of the objective", &mut self.overdue_factor)?;
        s.value("policy", "give_up", "a number of objectives", &mut self.reroute_factor)?;
        s.value("policy", "crashes", "a number of targets", &mut self.max_crashes)
    }

    /// The first key out of its bounds, and what was expected.
    pub(super) fn check(&self) -> Option<(&'static str, &'static str)> {
        let is_share = |share: f64| (0.0..1.0).contains(&share);
        let rules = [
            (self.max_allocators >= 1, "accounts", "at least 1"),
            (self.slack_factor >= 0.0, "spare", "at least 0"),
            (is_share(self.headroom), "headroom", "from 0 to below 1"),
            (is_share(self.target_share), "own_share", "from 0 to below 1"),
            (self.overdue_factor > 0.0, "overdue", "above 0"),
            (self.reroute_factor >= self.overdue_factor, "give_up", "at least overdue"),
        ];
        rules.iter().find(|(met, ..)| !met).map(|(_, key, expected)| (*key, *expected))
    }
}
