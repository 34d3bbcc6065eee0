//! Wishes, leases and verdicts: what an account of slots is asked and answers.

use crate::run_time::Sample;
use crate::{InstanceId, TargetId};
use protocol::DataCentreId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Identifies a lease; unique for each account.
pub type LeaseId = u64;
/// Identifies who waits for a lease.
pub type WaiterId = u64;

/// What a lease is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// Somebody waits for the answer.
    Online,
    /// An item of a batch job; it can be stopped at any time.
    Batch,
}

/// How an account works; the figures come from the measured rounds.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Most slots that batch leaves free, as a share of a service's, so that not
    /// every online request has to stop an item. A stopped item reads its prompt anew.
    pub headroom: f64,
    /// Slot time that a stopped item loses: its slot stands empty until its stream is
    /// closed, it is asked for anew, and its prompt is read again. With what online
    /// requests come it says how much headroom pays.
    pub preemption_cost: Duration,
    /// Time in which a new account hands out nothing to batch, until holders
    /// have reported what they hold. A few round trips.
    pub settling_period: Duration,
    /// A lease that its holder doesn't report is dropped when it is older than
    /// this; younger ones may have crossed the report.
    pub report_grace: Duration,
    /// An online lease whose holder has said nothing for this long counts as given
    /// back: the holder may be cut off. A report is due each second, and online
    /// requests take less than one.
    pub holder_timeout: Duration,
    /// Whether what can't be in time any more waits behind what still can, and
    /// gives way before it.
    pub late_last: bool,
    /// Whether batch that was begun goes before batch that wasn't.
    pub started_first: bool,
    /// A target whose events come this many times slower than the median is
    /// used last.
    pub slow_factor: f64,
    /// Whether a target that fails in part is used last, and not for batch.
    pub failing_last: bool,
    /// Whether a target at which somebody waited in vain is used last for a while.
    pub overdue_last: bool,
    /// Weight of the newest measurement in a running mean.
    pub smoothing: f64,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            headroom: 0.06,
            preemption_cost: Duration::from_millis(120),
            settling_period: Duration::from_millis(300),
            report_grace: Duration::from_secs(1),
            holder_timeout: Duration::from_millis(1_500),
            late_last: true,
            started_first: true,
            slow_factor: 2.0,
            failing_last: true,
            overdue_last: true,
            smoothing: 0.2,
        }
    }
}

/// A wish for a slot.
#[derive(Clone, Debug)]
pub struct Request {
    /// Who asks.
    pub holder: InstanceId,
    /// Data centre of the account that is asked. One instance may keep several.
    pub data_centre: DataCentreId,
    /// Service whose targets will do.
    pub service: String,
    /// What the slot is for.
    pub purpose: Purpose,
    /// When the work is due.
    pub due: Instant,
    /// Slot time that the work needs; of several items the one with most of it left
    /// gives way first. Zero where it isn't known.
    pub remaining: Duration,
    /// Whether an earlier run has done a part of the work.
    pub is_started: bool,
    /// Until when a slot brings the answer within its objective.
    pub latest_start: Instant,
    /// Until when a slot brings the work to its end in time for sure; batch only. Between
    /// this and the one before it may or may not.
    pub safe_start: Instant,
    /// Until when a slot is of any use: the caller leaves then.
    pub expires: Instant,
    /// Slots of all the accounts in which the request waits, this one's included.
    pub total_slots: u32,
    /// Targets that won't do.
    pub excluded: Vec<TargetId>,
    /// Whether it may wait.
    pub may_wait: bool,
}

/// Place in the order of those that wait; the lowest goes first.
pub(super) type Priority = (u8, Feasibility, bool, Instant);

/// Whether work can be in time; the best chance goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Feasibility {
    /// For sure, as far as can be told.
    Safe,
    /// Perhaps: of those that take such a turn many end late, and then what they took is
    /// lost to others that would have been in time.
    AtRisk,
    /// It is late.
    Missed,
}

impl Feasibility {
    /// The chance of work that must go on until one of two times: to be in time for
    /// sure, or at all.
    pub fn at<T: PartialOrd>(now: T, sure_until: T, in_time_until: T) -> Feasibility {
        match () {
            () if now >= in_time_until => Feasibility::Missed,
            () if now >= sure_until => Feasibility::AtRisk,
            () => Feasibility::Safe,
        }
    }
}

impl Request {
    /// Whether another wish asks for the same slots.
    pub(super) fn is_like(&self, other: &Request) -> bool {
        self.service == other.service && self.data_centre == other.data_centre
    }

    /// Whether a wish that found nothing says the same for another, whose turn is later.
    pub(super) fn keeps_back(&self, other: &Request) -> bool {
        let is_before = self.purpose == Purpose::Online || self.purpose == other.purpose;
        is_before && self.is_like(other)
    }

    /// Whether the work of batch can be in time.
    fn chance(&self, policy: &Policy, now: Instant) -> Feasibility {
        match policy.late_last {
            true => Feasibility::at(now, self.safe_start, self.latest_start),
            false => Feasibility::Safe,
        }
    }

    /// Its turn: online before batch, who can be in time before who can't, then
    /// who is due first. What is late already is served when nobody else waits,
    /// the caller who leaves first before the others.
    ///
    /// Of batch, what was begun goes first: in a shortage that lasts, many items are
    /// begun otherwise and few are done. Of the events that a fleet made that was asked for
    /// far more than it can do, a tenth was of items that were never done, and a third on
    /// a day with trouble.
    pub(super) fn priority(&self, policy: &Policy, now: Instant) -> Priority {
        match self.purpose {
            Purpose::Online if policy.late_last && now > self.latest_start => {
                (0, Feasibility::Missed, false, self.expires)
            }
            Purpose::Online => (0, Feasibility::Safe, false, self.latest_start),
            Purpose::Batch => {
                let is_fresh = policy.started_first && !self.is_started;
                (1, self.chance(policy, now), is_fresh, self.due)
            }
        }
    }
}

/// A lease on a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The lease.
    pub lease: LeaseId,
    /// The target.
    pub target: TargetId,
    /// Where the target is reached.
    pub address: SocketAddr,
}

/// A lease that batch must give back at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Revocation {
    /// The lease.
    pub lease: LeaseId,
    /// Who holds it.
    pub holder: InstanceId,
}

/// The answer to a wish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// A slot, and what has to be stopped for it.
    Granted(Grant, Option<Revocation>),
    /// It waits; an answer follows.
    Queued(WaiterId),
    /// Nothing is free; a slot is expected after this long.
    Full(Duration),
    /// There is no target of that service here.
    NoTarget,
}

/// How a lease was used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseReport {
    /// How it ended.
    #[serde(rename = "end")]
    pub outcome: LeaseOutcome,
    /// Time to the first event, if one came.
    #[serde(rename = "first")]
    pub first_event: Option<Duration>,
    /// Mean time between events, if several came.
    #[serde(rename = "pace")]
    pub event_interval: Option<Duration>,
    /// The item that it brought to its end.
    #[serde(rename = "done")]
    pub completed: Option<Sample>,
}

/// How the use of a lease ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseOutcome {
    /// The answer came to its end.
    #[default]
    #[serde(rename = "Good")]
    Completed,
    /// It was not used, or stopped by its holder.
    Unused,
    /// The target ran the request and answered with a failure.
    Failed,
    /// The target turned the request away.
    #[serde(rename = "Refused")]
    Rejected,
    /// Another target answers at its address: it isn't there any more, whatever its entry
    /// says.
    Misdirected,
    /// The answer broke off or was no answer.
    #[serde(rename = "Broken")]
    Interrupted,
    /// The target can't be reached or says nothing.
    #[serde(rename = "Silent")]
    Unresponsive,
}

/// A lease as its holder reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLease {
    /// The lease.
    pub lease: LeaseId,
    /// The target.
    pub target: TargetId,
    /// What it is for.
    pub purpose: Purpose,
}
