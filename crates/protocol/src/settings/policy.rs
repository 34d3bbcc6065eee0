//! `[policy]`: parameters of the gateway's decisions; docs/POLICY.md has the effect of each.

use super::SettingsError;
use super::batch_order::BatchOrder;
use super::source::Source;
use std::time::Duration;

/// Parameters of the gateway's decisions; each field names its key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// `[policy] accounts`: maximum number of slot allocators in which one request is queued.
    pub max_allocators: usize,
    /// `[policy] late_last`: whether requests that can't meet their deadline are
    /// queued behind those that can.
    pub late_last: bool,
    /// `[policy] begun_first`: whether started items are queued before others.
    pub started_first: bool,
    /// `[policy] batch_order`: which running item is preempted for an online request.
    pub batch_order: BatchOrder,
    /// `[policy] spare`: safety factor on the mean run time of an item that isn't started; an
    /// item with less time remaining is queued behind those that are sure to be in time.
    pub slack_factor: f64,
    /// `[policy] gather_ms`: maximum time that results of batch jobs wait for a common write.
    pub write_delay: Duration,
    /// `[policy] headroom`: maximum share of a service's slots that batch leaves free.
    pub headroom: f64,
    /// `[policy] stop_cost_ms`: slot time lost by preempting an item; determines the
    /// headroom together with the rate of online requests.
    pub preemption_cost: Duration,
    /// `[policy] slow_last`: whether slow targets are used last.
    pub slow_last: bool,
    /// `[policy] place_by_delay`: whether requests go to the target on which they delay all callers
    /// least, by what it has read and how fast it is, instead of to the least loaded.
    pub places_by_delay: bool,
    /// `[policy] copy_prompts`: whether a target is told to copy a long prompt from another one that
    /// keeps it, where that is much faster than reading it.
    pub copies_prompts: bool,
    /// `[policy] fresh_first`: whether requests over the quota of their workspace may wait shortly
    /// for a token, before retries.
    pub fresh_first: bool,
    /// `[policy] fair_shares`: whether workspaces that had no more than their share of the slots
    /// lately precede others.
    pub fair_shares: bool,
    /// `[policy] failing_last`: whether targets that fail some requests are used last,
    /// and not at all for batch.
    pub failing_last: bool,
    /// `[policy] doubt`: whether a target whose first event is overdue is used
    /// last for a while.
    pub overdue_last: bool,
    /// `[policy] own_share`: share of the latency objective allowed to a target for
    /// its first event.
    pub target_share: f64,
    /// `[policy] overdue`: multiple of the latency objective after which a first event
    /// is overdue.
    pub overdue_factor: f64,
    /// `[policy] give_up`: multiple of the latency objective after which a repeatable
    /// request is sent to another target.
    pub reroute_factor: f64,
    /// `[policy] crashes`: number of targets that a request may crash before it is
    /// quarantined; 0 for no limit.
    pub max_crashes: usize,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            max_allocators: 4,
            late_last: true,
            started_first: true,
            batch_order: BatchOrder::Due,
            slack_factor: 1.25,
            write_delay: Duration::from_secs(3),
            headroom: 0.06,
            preemption_cost: Duration::from_millis(120),
            slow_last: true,
            places_by_delay: true,
            copies_prompts: true,
            fresh_first: true,
            fair_shares: true,
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
    pub(super) fn read(&mut self, source: &mut Source) -> Result<(), SettingsError> {
        let bool = "true or false";
        source.read_value(
            "policy",
            "accounts",
            "a number of slot allocators",
            &mut self.max_allocators,
        )?;
        source.read_value("policy", "late_last", bool, &mut self.late_last)?;
        source.read_value("policy", "begun_first", bool, &mut self.started_first)?;
        source.read_value("policy", "batch_order", "finish or due", &mut self.batch_order)?;
        source.read_value("policy", "spare", "a factor", &mut self.slack_factor)?;
        source.read_millis("policy", "gather_ms", &mut self.write_delay)?;
        source.read_value("policy", "headroom", "a share of the slots", &mut self.headroom)?;
        source.read_millis("policy", "stop_cost_ms", &mut self.preemption_cost)?;
        source.read_value("policy", "slow_last", bool, &mut self.slow_last)?;
        source.read_value("policy", "place_by_delay", bool, &mut self.places_by_delay)?;
        source.read_value("policy", "copy_prompts", bool, &mut self.copies_prompts)?;
        source.read_value("policy", "fresh_first", bool, &mut self.fresh_first)?;
        source.read_value("policy", "fair_shares", bool, &mut self.fair_shares)?;
        source.read_value("policy", "failing_last", bool, &mut self.failing_last)?;
        source.read_value("policy", "doubt", bool, &mut self.overdue_last)?;
        source.read_value(
            "policy",
            "own_share",
            "a share of the objective",
            &mut self.target_share,
        )?;
        source.read_value(
            "policy",
            "overdue",
            "a share of the objective",
            &mut self.overdue_factor,
        )?;
        source.read_value(
            "policy",
            "give_up",
            "a number of objectives",
            &mut self.reroute_factor,
        )?;
        source.read_value("policy", "crashes", "a number of targets", &mut self.max_crashes)
    }

    /// Returns the first invalid key and a description of valid values.
    pub(super) fn validate(&self) -> Option<(&'static str, &'static str)> {
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
