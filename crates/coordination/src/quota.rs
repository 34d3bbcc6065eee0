//! Request quotas of workspaces, which hold over all instances together.
//!
//! Every online request asks the slot allocator of its data centre for a slot, so the instance
//! that runs the allocator also keeps the data centre's [`Ledger`]: one account per workspace.
//! The accounts of a workspace in all data centres share its quota in proportion to their
//! demand, which their keepers report to each other.
//!
//! A ledger reports new figures only once all others have acknowledged the last ones, and until
//! then counts itself with the lower of the two. So no data centre takes a share before the
//! others have given it up, whatever is lost or delayed, and in a network partition all shares
//! stay as they are. A ledger that starts inside a partition continues from a [`Snapshot`] of the
//! last one. Without one, it takes an equal part for one exchange and then a small one, since the
//! others may hold all the rest.
//!
//! The quota is a limit on each sliding window, with a tolerance. A part of the tolerance is
//! spent on a margin for each data centre, which serves callers that a share just missed; another
//! part is what a new ledger, which doesn't know what ran before it, starts with. The quota of a
//! workspace that fits into the tolerance as a whole is granted by every data centre alone.
//!
//! Under a load far beyond the quota, callers that retry after their Retry-After would take the
//! tokens of fresh requests, which are then rejected and come late themselves. So a fresh request
//! may reserve a token that is due shortly, and a retry gets one only if fresh requests leave it.
//! A reserved token runs when the bucket would have held it. Only a share that shrinks meanwhile
//! lets it run early; a part of the tolerance pays for that.

mod account;
mod demand;
mod snapshot;

pub use snapshot::Snapshot;

use account::Account;
use protocol::workspace::Quota;
use protocol::{DataCentreId, WorkspaceId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Demand as a ratio of the quota's rate that every data centre is taken to have at least, so
/// that a request in a data centre without recent ones finds a share.
const MIN_DEMAND_RATIO: f64 = 0.05;
/// Accounts with a lower demand, in requests per second, are not reported.
const MIN_REPORTED_DEMAND: f64 = 0.05;
/// Reported demand is rounded to hundredths, which keeps messages short.
const DEMAND_DIGITS: f64 = 100.0;

/// Settings of a ledger.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Length of the sliding window in which a quota must hold.
    pub window: Duration,
    /// Tolerated excess over the quota in a window, as a ratio.
    pub excess_ratio: f64,
    /// Tolerated excess over the quota in a window, in requests, on top of the ratio.
    pub excess_requests: f64,
    /// Time between the reports of a ledger.
    pub exchange_interval: Duration,
    /// Time over which demand is averaged.
    pub demand_window: Duration,
    /// Whether fresh requests may reserve tokens that are due later, and retries get only tokens
    /// that fresh requests don't need.
    pub fresh_first: bool,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            window: Duration::from_secs(5),
            excess_ratio: 0.1,
            excess_requests: 20.0,
            exchange_interval: Duration::from_millis(400),
            demand_window: Duration::from_secs(1),
            fresh_first: true,
        }
    }
}

impl Policy {
    /// Requests that a quota allows in one window.
    pub fn allowed(&self, quota: Quota) -> f64 {
        quota.rate * self.window.as_secs_f64() + quota.burst
    }

    /// Requests tolerated in a window beyond the allowed ones.
    pub fn tolerance(&self, quota: Quota) -> f64 {
        self.allowed(quota) * self.excess_ratio + self.excess_requests
    }
}

/// What a request is charged as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// The first attempt of a caller.
    Fresh {
        /// Longest time that the request may wait for its token.
        max_wait: Duration,
    },
    /// The caller was rejected before.
    Retry,
}

/// A data centre's part of a quota is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsedUp;

/// Demand of workspaces in requests per second. One that isn't listed has none.
pub type Demand = BTreeMap<WorkspaceId, f64>;

/// Identifies one report of one ledger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportId {
    /// Identifies the ledger; a new ledger of the same data centre has another one.
    pub epoch: u64,
    /// Number of the report, which increases.
    pub number: u64,
}

/// What one ledger reports to the others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Data centre of the ledger.
    pub data_centre: DataCentreId,
    /// Id of this report; a repeated report has the same one.
    pub id: ReportId,
    /// Demand of the workspaces whose quota is shared.
    pub demand: Demand,
    /// Latest reports that the sender has received and applied.
    pub received: BTreeMap<DataCentreId, ReportId>,
}

/// What one account holds, for logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Balance {
    /// Requests that may run at once.
    pub tokens: f64,
    /// Part of the quota that this data centre may use, from 0 to 1.
    pub share: f64,
    /// Requests per second that were asked for here.
    pub demand: f64,
    /// Fresh ones among them.
    pub fresh_demand: f64,
    /// Age of the oldest report that the share depends on; `None` if one is missing.
    pub report_age: Option<Duration>,
}

/// What is known of another data centre.
#[derive(Clone, Debug)]
struct Sharer {
    id: ReportId,
    demand: Demand,
    received_at: Instant,
    /// The latest report of this ledger that the other one has applied.
    acknowledged: Option<ReportId>,
}

/// The accounts of all workspaces in one data centre.
#[derive(Clone, Debug)]
pub struct Ledger {
    policy: Policy,
    data_centre: DataCentreId,
    created_at: Instant,
    accounts: HashMap<WorkspaceId, Account>,
    /// The other data centres that share the quotas; `None` until they have reported.
    sharers: BTreeMap<DataCentreId, Option<Sharer>>,
    /// The last report that all others have acknowledged.
    settled: Demand,
    /// The report that is being sent.
    proposed: Demand,
    proposed_id: ReportId,
}

impl Ledger {
    /// A ledger of a data centre that shares the quotas with no other yet. `epoch` must differ
    /// from those of earlier ledgers.
    pub fn new(policy: Policy, data_centre: &str, epoch: u64, now: Instant) -> Ledger {
        Ledger {
            policy,
            data_centre: data_centre.to_owned(),
            created_at: now,
            accounts: HashMap::new(),
            sharers: BTreeMap::new(),
            settled: Demand::new(),
            proposed: Demand::new(),
            proposed_id: ReportId { epoch, number: 0 },
        }
    }

    /// Sets the data centres that share the quotas, including this one.
    pub fn set_data_centres(&mut self, names: &BTreeSet<DataCentreId>) {
        self.sharers.retain(|name, _| names.contains(name));
        for name in names.iter().filter(|name| **name != self.data_centre) {
            self.sharers.entry(name.clone()).or_default();
        }
    }

    /// Age of the ledger.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.created_at)
    }

    /// Charges one request to a workspace. Returns the time after which it may run, which is zero
    /// unless the token is reserved.
    ///
    /// # Errors
    ///
    /// The request exceeds the quota; the time after which it is the caller's turn.
    pub fn charge(
        &mut self,
        workspace: &str,
        quota: Quota,
        attempt: Attempt,
        now: Instant,
    ) -> Result<Duration, Duration> {
        let policy = self.policy;
        self.account(workspace, quota, now).charge(&policy, attempt, now)
    }

    /// Charges one request from another data centre, whose part of the quota is used up. It
    /// doesn't count as demand here.
    ///
    /// # Errors
    ///
    /// This part is used up too.
    pub fn lend(&mut self, workspace: &str, quota: Quota, now: Instant) -> Result<(), UsedUp> {
        self.account(workspace, quota, now).take(now).then_some(()).ok_or(UsedUp)
    }

    /// The account of a workspace, with the quota in force.
    fn account(&mut self, workspace: &str, quota: Quota, now: Instant) -> &mut Account {
        let sharers = self.sharer_count();
        let (share, age) = (self.share(workspace, quota, now), self.age(now));
        let new = || Account::new(&self.policy, quota, share, sharers, age, now);
        let account = self.accounts.entry(workspace.to_owned()).or_insert_with(new);
        account.set_quota(&self.policy, quota, sharers);
        account
    }

    /// Gives back the charge of a request that did not run.
    pub fn refund(&mut self, workspace: &str) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.refund();
        }
    }

    /// Records the report of another ledger.
    pub fn on_report(&mut self, report: Report, now: Instant) {
        let Some(sharer) = self.sharers.get_mut(&report.data_centre) else {
            return;
        };
        let is_older = |known: &Sharer| {
            known.id.epoch == report.id.epoch && known.id.number > report.id.number
        };
        if sharer.as_ref().is_some_and(is_older) {
            return;
        }
        *sharer = Some(Sharer {
            id: report.id,
            demand: report.demand,
            received_at: now,
            acknowledged: report.received.get(&self.data_centre).copied(),
        });
    }

    /// Updates the shares, and returns the report to be sent to the other ledgers. To be called
    /// once per exchange interval.
    pub fn exchange(&mut self, now: Instant) -> Report {
        let policy = self.policy;
        self.accounts.retain(|_, account| !account.is_idle(&policy, now));
        if self.is_acknowledged() {
            let current = self.current_demand(now);
            self.settled = std::mem::replace(&mut self.proposed, current);
            self.proposed_id.number += 1;
        }
        let mut accounts = std::mem::take(&mut self.accounts);
        for (workspace, account) in &mut accounts {
            account.set_share(self.share(workspace, account.quota(), now), now);
        }
        self.accounts = accounts;
        let known = self.sharers.iter().filter_map(|(name, sharer)| Some((name, sharer.as_ref()?)));
        Report {
            data_centre: self.data_centre.clone(),
            id: self.proposed_id,
            demand: self.proposed.clone(),
            received: known.map(|(name, sharer)| (name.clone(), sharer.id)).collect(),
        }
    }

    /// Workspaces that exceeded their quota since the last call, with the number of rejected
    /// requests.
    pub fn take_rejected(&mut self) -> Vec<(WorkspaceId, u64)> {
        let accounts = self.accounts.iter_mut();
        let rejected = accounts.map(|(name, account)| (name.clone(), account.take_rejected()));
        rejected.filter(|(_, count)| *count > 0).collect()
    }

    /// What the account of a workspace holds; `None` if it was not used lately.
    pub fn balance(&self, workspace: &str, now: Instant) -> Option<Balance> {
        let account = self.accounts.get(workspace)?;
        Some(Balance {
            tokens: account.tokens(now),
            share: account.share(),
            demand: account.demand(&self.policy, now),
            fresh_demand: account.fresh_demand(&self.policy, now),
            report_age: self.report_age(now),
        })
    }

    /// Number of data centres that share the quotas.
    fn sharer_count(&self) -> usize {
        self.sharers.len() + 1
    }

    /// Whether all others have applied the report that is being sent.
    fn is_acknowledged(&self) -> bool {
        let has_acknowledged = |sharer: &Option<Sharer>| {
            let acknowledged = sharer.as_ref().and_then(|sharer| sharer.acknowledged);
            acknowledged == Some(self.proposed_id)
        };
        self.sharers.values().all(has_acknowledged)
    }

    fn current_demand(&self, now: Instant) -> Demand {
        let shared = self.accounts.iter().filter(|(_, account)| !account.is_unshared());
        shared
            .map(|(workspace, account)| (workspace.clone(), account.demand(&self.policy, now)))
            .map(|(workspace, demand)| {
                (workspace, (demand * DEMAND_DIGITS).round() / DEMAND_DIGITS)
            })
            .filter(|(_, demand)| *demand >= MIN_REPORTED_DEMAND)
            .collect()
    }

    /// Age of the oldest report; `None` if one is missing.
    fn report_age(&self, now: Instant) -> Option<Duration> {
        let age = |sharer: &Option<Sharer>| {
            sharer.as_ref().map(|sharer| now.saturating_duration_since(sharer.received_at))
        };
        let ages: Option<Vec<Duration>> = self.sharers.values().map(age).collect();
        Some(ages?.into_iter().max().unwrap_or_default())
    }

    /// Part of the quota in proportion to the demand of all data centres.
    ///
    /// While a report is missing, a new ledger takes an equal part for one exchange. Later, a data
    /// centre that has not reported counts with a demand of the whole quota.
    fn share(&self, workspace: &str, quota: Quota, now: Instant) -> f64 {
        let is_new = self.age(now) <= self.policy.exchange_interval;
        if is_new && self.sharers.values().any(Option::is_none) {
            return 1.0 / self.sharer_count() as f64;
        }
        let min_demand = quota.rate * MIN_DEMAND_RATIO;
        let demand_in = |demand: &Demand| demand.get(workspace).copied().unwrap_or_default();
        let own = demand_in(&self.settled).min(demand_in(&self.proposed)) + min_demand;
        let other = |sharer: &Option<Sharer>| {
            let demand = sharer.as_ref().map(|sharer| demand_in(&sharer.demand));
            demand.unwrap_or(quota.rate) + min_demand
        };
        let others: f64 = self.sharers.values().map(other).sum();
        own / (own + others)
    }
}
