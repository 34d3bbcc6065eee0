//! The account of one workspace in one data centre: a token bucket with a share of its quota.

use super::demand::Demand;
use super::{Attempt, Policy};
use protocol::workspace::Quota;
use std::time::{Duration, Instant};

/// Part of the tolerance that pays for the margins of all data centres; as much pays for what new
/// ledgers start with.
const MARGIN_RATIO: f64 = 0.5;
/// Part of the tolerance that pays for tokens reserved before a share shrinks; taken from what new
/// ledgers start with, since the reservations of the ledger before also run later.
const RESERVED_RATIO: f64 = 0.2;
/// Longest delay until the turn of a rejected caller.
const MAX_TURN_DELAY: Duration = Duration::from_secs(5);
/// Demand in requests per second below which an account counts as unused.
const IDLE_DEMAND: f64 = 0.01;

#[derive(Clone, Debug)]
pub(super) struct Account {
    quota: Quota,
    /// Part of the quota, from 0 to 1.
    share: f64,
    /// Tokens that the bucket holds on top of its share of the burst.
    margin: f64,
    /// Most tokens that may be reserved.
    max_reserved: f64,
    /// Whether every data centre may use the whole quota.
    is_unshared: bool,
    /// Tokens in the bucket; below zero by the reserved ones.
    tokens: f64,
    refilled_at: Instant,
    /// All requests asked for, and the fresh ones among them.
    demand: Demand,
    fresh_demand: Demand,
    /// Turn of the caller that was rejected last.
    last_turn: Instant,
    /// Callers rejected since this was last read.
    rejected: u64,
}

impl Account {
    /// An account that one of `sharers` data centres opens; its ledger was created `ledger_age`
    /// ago.
    pub(super) fn new(
        policy: &Policy,
        quota: Quota,
        share: f64,
        sharers: usize,
        ledger_age: Duration,
        now: Instant,
    ) -> Account {
        let mut account = Account {
            quota,
            share,
            margin: 0.0,
            max_reserved: 0.0,
            is_unshared: false,
            tokens: f64::INFINITY,
            refilled_at: now,
            demand: Demand::new(now),
            fresh_demand: Demand::new(now),
            last_turn: now,
            rejected: 0,
        };
        account.set_quota(policy, quota, sharers);
        if ledger_age < policy.window {
            // What ran before the ledger was created isn't known.
            let budget = policy.tolerance(quota) * (1.0 - MARGIN_RATIO);
            let start = budget / sharers as f64 - account.max_reserved;
            let since = ledger_age.as_secs_f64() * account.rate();
            account.tokens = (start + since).min(account.capacity());
        }
        account
    }

    /// Applies the quota in force, and the number of data centres that share it.
    pub(super) fn set_quota(&mut self, policy: &Policy, quota: Quota, sharers: usize) {
        let budget = policy.tolerance(quota) * MARGIN_RATIO;
        let others = sharers.saturating_sub(1) as f64;
        self.quota = quota;
        self.is_unshared = policy.allowed(quota) * others <= budget;
        self.margin = if self.is_unshared { 0.0 } else { budget / sharers as f64 };
        let reserved_ratio = if policy.fresh_first { RESERVED_RATIO } else { 0.0 };
        self.max_reserved = policy.tolerance(quota) * reserved_ratio / sharers as f64;
        // What was reserved under a higher quota must not block a low one for long.
        self.tokens = self.tokens.clamp(-self.max_reserved, self.capacity());
    }

    pub(super) fn quota(&self) -> Quota {
        self.quota
    }

    pub(super) fn is_unshared(&self) -> bool {
        self.is_unshared
    }

    pub(super) fn share(&self) -> f64 {
        if self.is_unshared { 1.0 } else { self.share }
    }

    fn rate(&self) -> f64 {
        self.quota.rate * self.share()
    }

    /// Most tokens that the bucket holds; at least one, or no request could ever run.
    fn capacity(&self) -> f64 {
        (self.quota.burst * self.share() + self.margin).max(1.0)
    }

    pub(super) fn tokens(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        (self.tokens + elapsed * self.rate()).min(self.capacity())
    }

    fn refill(&mut self, now: Instant) {
        self.tokens = self.tokens(now);
        self.refilled_at = now;
    }

    /// Takes a token; `false` if there is none.
    pub(super) fn take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let is_available = self.tokens >= 1.0;
        self.tokens -= if is_available { 1.0 } else { 0.0 };
        is_available
    }

    /// Takes or reserves a token and returns when it is due, or says when it is the caller's turn.
    /// Each rejected caller gets a later turn than the one before.
    pub(super) fn charge(
        &mut self,
        policy: &Policy,
        attempt: Attempt,
        now: Instant,
    ) -> Result<Duration, Duration> {
        let fresh_demand = self.fresh_demand(policy, now);
        self.demand.record(policy.demand_window, now);
        if attempt != Attempt::Retry {
            self.fresh_demand.record(policy.demand_window, now);
        }
        self.refill(now);
        let due = match attempt {
            Attempt::Fresh { max_wait } if policy.fresh_first => self.reserve(max_wait),
            Attempt::Retry if policy.fresh_first && !self.can_spare(policy, fresh_demand) => None,
            Attempt::Fresh { .. } | Attempt::Retry => self.take(now).then_some(Duration::ZERO),
        };
        let spare_rate = self.rate() - if policy.fresh_first { fresh_demand } else { 0.0 };
        due.ok_or_else(|| self.next_turn(spare_rate, now))
    }

    /// Takes the next token if it is due within `max_wait`; the time until then.
    fn reserve(&mut self, max_wait: Duration) -> Option<Duration> {
        let missing = (1.0 - self.tokens).max(0.0);
        // A tiny rate makes the time longer than any duration.
        let wait = Duration::try_from_secs_f64(missing / self.rate()).ok()?;
        if wait > max_wait || missing > self.max_reserved {
            return None;
        }
        self.tokens -= 1.0;
        Some(wait)
    }

    /// Whether fresh requests leave a token over if as many come as in the last demand window.
    fn can_spare(&self, policy: &Policy, fresh_demand: f64) -> bool {
        let surplus = (self.rate() - fresh_demand) * policy.demand_window.as_secs_f64();
        self.tokens + surplus.min(0.0) >= 1.0
    }

    /// Delay until a rejected caller would get a token, if fresh requests leave `spare_rate` of
    /// the rate to callers like it.
    fn next_turn(&mut self, spare_rate: f64, now: Instant) -> Duration {
        self.rejected += 1;
        let after = |tokens: f64| match spare_rate > 0.0 {
            true => {
                Duration::from_secs_f64((tokens / spare_rate).min(MAX_TURN_DELAY.as_secs_f64()))
            }
            false => MAX_TURN_DELAY,
        };
        let next = (self.last_turn + after(1.0)).max(now + after((1.0 - self.tokens).max(0.0)));
        self.last_turn = next.min(now + MAX_TURN_DELAY);
        self.last_turn.saturating_duration_since(now)
    }

    pub(super) fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.capacity());
    }

    /// Requests asked for, per second.
    pub(super) fn demand(&self, policy: &Policy, now: Instant) -> f64 {
        self.demand.per_second(policy.demand_window, now)
    }

    /// Fresh requests asked for, per second.
    pub(super) fn fresh_demand(&self, policy: &Policy, now: Instant) -> f64 {
        self.fresh_demand.per_second(policy.demand_window, now)
    }

    pub(super) fn set_share(&mut self, share: f64, now: Instant) {
        self.refill(now);
        self.share = share;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Number of callers rejected since the last call of this function.
    pub(super) fn take_rejected(&mut self) -> u64 {
        std::mem::take(&mut self.rejected)
    }

    /// Whether the account is as good as a new one.
    pub(super) fn is_idle(&self, policy: &Policy, now: Instant) -> bool {
        self.tokens(now) >= self.capacity() && self.demand(policy, now) < IDLE_DEMAND
    }
}
