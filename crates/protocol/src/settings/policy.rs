//! `[policy]`: figures and switches of what the gateway decides. The defaults are
//! what was measured best; docs/POLICY.md says what each is worth.

use super::SettingsError;
use super::source::Source;
use std::time::Duration;

/// What the gateway decides by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// `[policy] accounts`: most accounts in which one request waits.
    pub accounts: usize,
    /// `[policy] late_last`: whether what can't be in time any more waits behind
    /// what still can.
    pub late_last: bool,
    /// `[policy] begun_first`: whether items that were begun go before those that
    /// weren't.
    pub begun_first: bool,
    /// `[policy] spare`: time allowed to an item that wasn't begun beyond the mean that
    /// others took, as a factor; with less left it goes behind those that are sure to be in
    /// time.
    pub spare: f64,
    /// `[policy] gather_ms`: how long results of batch jobs wait to be written together.
    pub gather: Duration,
    /// `[policy] headroom`: most slots that batch leaves free, as a share of a
    /// service's.
    pub headroom: f64,
    /// `[policy] stop_cost_ms`: slot time that a stopped item is taken to lose; with
    /// what online requests come it says how much headroom pays.
    pub stop_cost: Duration,
    /// `[policy] slow_last`: whether targets that are slower than others are used
    /// last.
    pub slow_last: bool,
    /// `[policy] failing_last`: whether targets that fail in part are used last,
    /// and not for batch.
    pub failing_last: bool,
    /// `[policy] doubt`: whether a target whose first event is overdue is used
    /// last for a while.
    pub doubt: bool,
    /// `[policy] own_share`: share of the objective that a target is given for
    /// its first event.
    pub own_share: f64,
    /// `[policy] overdue`: share of the objective after which a first event is
    /// overdue.
    pub overdue: f64,
    /// `[policy] give_up`: objectives after which a request that may run again is
    /// sent elsewhere.
    pub give_up: f64,
    /// `[policy] crashes`: targets that a request may crash before it is held; 0 for any
    /// number.
    pub crashes: usize,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            accounts: 4,
            late_last: true,
            begun_first: true,
            spare: 1.25,
            gather: Duration::from_secs(3),
            headroom: 0.06,
            stop_cost: Duration::from_millis(120),
            slow_last: true,
            failing_last: true,
            doubt: true,
            own_share: 0.35,
            overdue: 0.8,
            give_up: 1.6,
            crashes: 3,
        }
    }
}

impl Policy {
    pub(super) fn fill(&mut self, s: &mut Source) -> Result<(), SettingsError> {
        let bool = "true or false";
        s.value("policy", "accounts", "a number of accounts", &mut self.accounts)?;
        s.value("policy", "late_last", bool, &mut self.late_last)?;
        s.value("policy", "begun_first", bool, &mut self.begun_first)?;
        s.value("policy", "spare", "a factor", &mut self.spare)?;
        s.millis("policy", "gather_ms", &mut self.gather)?;
        s.value("policy", "headroom", "a share of the slots", &mut self.headroom)?;
        s.millis("policy", "stop_cost_ms", &mut self.stop_cost)?;
        s.value("policy", "slow_last", bool, &mut self.slow_last)?;
        s.value("policy", "failing_last", bool, &mut self.failing_last)?;
        s.value("policy", "doubt", bool, &mut self.doubt)?;
        s.value("policy", "own_share", "a share of the objective", &mut self.own_share)?;
        s.value("policy", "overdue", "a share of the objective", &mut self.overdue)?;
        s.value("policy", "give_up", "a number of objectives", &mut self.give_up)?;
        s.value("policy", "crashes", "a number of targets", &mut self.crashes)
    }

    /// The first key out of its bounds, and what was expected.
    pub(super) fn check(&self) -> Option<(&'static str, &'static str)> {
        let is_share = |share: f64| (0.0..1.0).contains(&share);
        let rules = [
            (self.accounts >= 1, "accounts", "at least 1"),
            (self.spare >= 0.0, "spare", "at least 0"),
            (is_share(self.headroom), "headroom", "from 0 to below 1"),
            (is_share(self.own_share), "own_share", "from 0 to below 1"),
            (self.overdue > 0.0, "overdue", "above 0"),
            (self.give_up >= self.overdue, "give_up", "at least overdue"),
        ];
        rules.iter().find(|(met, ..)| !met).map(|(_, key, expected)| (*key, *expected))
    }
}
