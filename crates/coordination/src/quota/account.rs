//! The account of one workspace in one data centre: a token bucket with a share of its quota.

use super::Policy;
use protocol::workspace::Quota;
use std::time::{Duration, Instant};

/// Part of the tolerance that pays for the margins of all data centres; as much pays for what new
/// ledgers start with.
const MARGIN_RATIO: f64 = 0.5;
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
    /// Whether every data centre may use the whole quota.
    is_unshared: bool,
    tokens: f64,
    refilled_at: Instant,
    /// Requests asked for, with weights that decay with their age.
    recent: f64,
    decayed_at: Instant,
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
            is_unshared: false,
            tokens: f64::INFINITY,
            refilled_at: now,
            recent: 0.0,
            decayed_at: now,
            last_turn: now,
            rejected: 0,
        };
        account.set_quota(policy, quota, sharers);
        if ledger_age < policy.window {
            // What ran before the ledger was created isn't known.
            let start = policy.tolerance(quota) * (1.0 - MARGIN_RATIO) / sharers as f64;
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
        self.tokens = self.tokens.min(self.capacity());
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

    /// Takes a token, or says when it is the caller's turn. Each rejected caller gets a later
    /// turn than the one before.
    pub(super) fn charge(&mut self, policy: &Policy, now: Instant) -> Result<(), Duration> {
        self.recent = self.decayed(policy, now) + 1.0;
        self.decayed_at = now;
        if self.take(now) {
            return Ok(());
        }
        self.rejected += 1;
        let until_token = Duration::from_secs_f64((1.0 - self.tokens) / self.rate());
        let spacing = Duration::from_secs_f64(1.0 / self.rate());
        let latest = now + MAX_TURN_DELAY;
        self.last_turn = (self.last_turn + spacing).max(now + until_token).min(latest);
        Err(self.last_turn.saturating_duration_since(now))
    }

    pub(super) fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.capacity());
    }

    fn decayed(&self, policy: &Policy, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.decayed_at).as_secs_f64();
        self.recent * (-elapsed / policy.demand_window.as_secs_f64()).exp()
    }

    /// Requests asked for, per second.
    pub(super) fn demand(&self, policy: &Policy, now: Instant) -> f64 {
        self.decayed(policy, now) / policy.demand_window.as_secs_f64()
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
