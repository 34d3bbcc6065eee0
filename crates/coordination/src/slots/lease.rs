//! Slot requests, leases and decisions of an allocator.

use super::placement::Forecast;
use super::shares::Shares;
use crate::prompt::{PartKey, Prompt};
use crate::run_time::Sample;
use crate::{InstanceId, TargetId};
use protocol::settings::BatchOrder;
use protocol::{DataCentreId, Millis, SoftwareVersion, WorkspaceId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Identifies a lease; unique within an allocator.
pub type LeaseId = u64;
/// Identifies a queued request; unique within an allocator.
pub type WaiterId = u64;

/// Class of work that a lease serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// A caller waits for the response.
    Online,
    /// An item of a batch job, which can be preempted at any time.
    Batch,
}

/// Settings of an allocator.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Maximum ratio of a service's slots that batch keeps free, so that not every online request
    /// preempts an item.
    pub headroom: f64,
    /// Slot time that a preemption costs: the slot is idle until the item's stream is closed, the
    /// item needs another slot, and its prompt is processed again. Together with the rate of
    /// online requests it sets how many slots batch keeps free.
    pub preemption_cost: Duration,
    /// How long a new allocator grants nothing to batch while holders report their leases; a few
    /// round trips.
    pub settling_period: Duration,
    /// Minimum age of a lease that is dropped because its holder doesn't report it; a younger one
    /// may have been granted while the report was in flight.
    pub report_grace: Duration,
    /// Time without any message from a holder after which its online leases are dropped. Holders
    /// report every second, and most online requests end within one.
    pub holder_timeout: Duration,
    /// Whether work that can no longer meet its deadline is queued behind work that can, and
    /// preempted before it.
    pub late_last: bool,
    /// Whether batch items that were started precede those that weren't.
    pub started_first: bool,
    /// Which batch item is preempted.
    pub batch_order: BatchOrder,
    /// Event interval, as a multiple of the median of all targets, above which a target is used
    /// last.
    pub slow_factor: f64,
    /// Whether a target with many recent failures is used last, and not for batch.
    pub failing_last: bool,
    /// Whether a target with an overdue first event is used last for a while.
    pub overdue_last: bool,
    /// Whether online requests are placed by the delays that are expected of them, where prompts
    /// or objectives are known, instead of by load alone.
    pub places_by_delay: bool,
    /// Whether work of workspaces that had no more than their share lately precedes other work of
    /// the same feasibility.
    pub fair_shares: bool,
    /// Weight of the newest sample in a running mean, in 0..1.
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
            batch_order: BatchOrder::Due,
            slow_factor: 2.0,
            failing_last: true,
            overdue_last: true,
            places_by_delay: true,
            fair_shares: true,
            smoothing: 0.2,
        }
    }
}

/// What is known of the work that a slot is requested for. Each field is empty or zero if it isn't
/// known, or if the sender is of an earlier build.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Workload {
    /// The prompt; for several slots of a job that of its next item.
    #[serde(skip_serializing_if = "Prompt::is_empty")]
    pub prompt: Prompt,
    /// Time from the request to its first event within which the response is in time.
    #[serde(rename = "objective_ms", with = "millis", skip_serializing_if = "Duration::is_zero")]
    pub objective: Duration,
    /// Longest pause between two events of a response that is in time.
    #[serde(rename = "gap_ms", with = "millis", skip_serializing_if = "Duration::is_zero")]
    pub max_event_gap: Duration,
    /// The workspace that the work belongs to, with its weight.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub workspace: Option<WorkspaceWeight>,
    /// Address of a target to which the sender has sent the same shared parts; `None` if it knows
    /// none. It may be in another data centre.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub read_at: Option<SocketAddr>,
    /// Software version of that target; `None` if unknown.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub read_by: Option<SoftwareVersion>,
    /// Tokens of the prompt and, at most, of the output.
    #[serde(skip_serializing_if = "is_zero")]
    pub tokens: u32,
    /// Whether the caller was rejected before and is retrying.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub is_retry: bool,
}

fn is_zero(tokens: &u32) -> bool {
    *tokens == 0
}

/// Part of the objective from which on reading the shared parts of a prompt takes longer than
/// sending the request to another data centre and its response back.
const MIN_LONG_READING_RATIO: f64 = 1.0 / 16.0;

impl Workload {
    /// Whether nothing is known of the work.
    pub fn is_unknown(&self) -> bool {
        *self == Workload::default()
    }

    /// The first shared part at which the prompt counts as long. Data centres are ordered by it, so
    /// that the part is read in few of them; `None` if reading the shared parts takes too little time to matter.
    pub fn long_part(&self, token_time: Duration) -> Option<PartKey> {
        self.prompt.long_part(self.min_long_tokens(token_time)?)
    }

    /// Length in tokens from which on shared parts are long; `None` if nothing is known of the time
    /// to read a token, or of the objective.
    pub fn min_long_tokens(&self, token_time: Duration) -> Option<u64> {
        let min_reading = self.objective.mul_f64(MIN_LONG_READING_RATIO);
        let tokens = min_reading.as_secs_f64() / token_time.as_secs_f64();
        (tokens.is_finite() && tokens > 0.0).then_some(tokens as u64)
    }
}

/// A workspace that competes for slots.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceWeight {
    /// Name of the workspace.
    pub name: WorkspaceId,
    /// Its part of the slots relative to those of others: the rate of its quota, or 1 without one.
    pub weight: f64,
}

/// Durations as whole milliseconds.
mod millis {
    use serde::{Deserialize, Deserializer, Serializer};
    use std::time::Duration;

    pub(super) fn serialize<S: Serializer>(time: &Duration, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_u64(time.as_millis() as u64)
    }

    pub(super) fn deserialize<'a, D: Deserializer<'a>>(from: D) -> Result<Duration, D::Error> {
        u64::deserialize(from).map(Duration::from_millis)
    }
}

/// A request for a slot.
#[derive(Clone, Debug)]
pub struct Request {
    /// Instance that will hold the lease.
    pub holder: InstanceId,
    /// Data centre of the slot; one instance may run the allocators of several.
    pub data_centre: DataCentreId,
    /// Service of the target.
    pub service: String,
    /// Class of work: online precedes batch.
    pub purpose: Purpose,
    /// Deadline of the work.
    pub due: Instant,
    /// Slot time that the work still needs; zero if unknown.
    pub remaining: Duration,
    /// Whether an earlier run has completed a part of the work.
    pub is_started: bool,
    /// Latest time of a grant for which the work may meet its deadline.
    pub latest_start: Instant,
    /// Latest time of a grant for which the work safely meets its deadline; batch only.
    pub safe_start: Instant,
    /// When the request is dropped, because the caller leaves.
    pub expires: Instant,
    /// Slots of all allocators where the request is queued, including this one.
    pub total_slots: u32,
    /// Targets that must not be used.
    pub excluded: Vec<TargetId>,
    /// Version of the only software that may be used, by which a stream was begun; `None` if any
    /// may.
    pub software: Option<SoftwareVersion>,
    /// Whether the request may be queued.
    pub may_wait: bool,
    /// What is known of the work.
    pub workload: Workload,
}

/// Sort key of queued requests; the lowest is served first.
pub(super) type Priority = (u8, Feasibility, bool, u8, Instant);

/// Whether work can meet its deadline; the most feasible sorts first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Feasibility {
    /// It meets the deadline unless it is preempted more often than usual.
    Safe,
    /// It may meet the deadline. Much of such work ends late, after taking slots from work that
    /// would have been in time.
    AtRisk,
    /// It can't meet the deadline.
    Missed,
}

impl Feasibility {
    /// Feasibility of work that needs a slot by `latest_start` to be in time, and by `safe_start`
    /// to be so safely.
    pub fn at<T: PartialOrd>(now: T, safe_start: T, latest_start: T) -> Feasibility {
        match () {
            () if now >= latest_start => Feasibility::Missed,
            () if now >= safe_start => Feasibility::AtRisk,
            () => Feasibility::Safe,
        }
    }
}

impl Request {
    /// Workspace of the work; `None` if unknown.
    pub(super) fn workspace(&self) -> Option<&WorkspaceId> {
        self.workload.workspace.as_ref().map(|workspace| &workspace.name)
    }

    /// Whether targets of a software version may be used; `None` for an unknown version.
    pub fn allows_software(&self, software: Option<&str>) -> bool {
        self.software.is_none() || self.software.as_deref() == software
    }

    /// Whether this request may use every slot that `other` may.
    pub(super) fn competes_with(&self, other: &Request) -> bool {
        self.service == other.service
            && self.data_centre == other.data_centre
            && (self.software.is_none() || self.software == other.software)
    }

    /// Whether `other`, of lower priority, can't be granted a slot either if there was none for
    /// this request.
    pub(super) fn blocks(&self, other: &Request) -> bool {
        let is_before = self.purpose == Purpose::Online || self.purpose == other.purpose;
        is_before && self.competes_with(other)
    }

    /// Online before batch, feasible before late, workspaces up to their share before those above
    /// it, then by deadline. Late online requests follow the other online ones, in the order in
    /// which their callers leave. Batch follows [`Policy::batch_priority`]; among started items, and
    /// among others, the share precedes the due time, so that shares leave no item half done.
    pub(super) fn priority(&self, policy: &Policy, shares: &Shares, now: Instant) -> Priority {
        let level = if policy.fair_shares { shares.level(self, now) } else { 0 };
        match self.purpose {
            Purpose::Online if policy.late_last && now > self.latest_start => {
                (0, Feasibility::Missed, false, level, self.expires)
            }
            Purpose::Online => (0, Feasibility::Safe, false, level, self.latest_start),
            Purpose::Batch => {
                let (feasibility, is_unstarted, due) =
                    policy.batch_priority(&self.batch_work(), now);
                (1, feasibility, is_unstarted, level, due)
            }
        }
    }
}

/// A lease on a slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Id for the release and for reports.
    pub lease: LeaseId,
    /// Target that the slot belongs to.
    pub target: TargetId,
    /// Address of the target.
    pub address: SocketAddr,
    /// Software version of the target, which its user may not have heard of yet; `None` if it states
    /// none, or from an earlier build.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareVersion>,
    /// How long the request for the slot was queued at the allocator.
    #[serde(default, rename = "waited_ms")]
    pub queued_ms: Millis,
    /// What is expected of the request; `None` if nothing is known, or from an earlier build.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub forecast: Option<Forecast>,
    /// Address of the target from which this one should copy what it keeps of the prompt; `None` if
    /// that takes longer than reading it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub copy_from: Option<SocketAddr>,
}

/// A batch lease that its holder must release at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Revocation {
    /// The revoked lease.
    pub lease: LeaseId,
    /// Instance to notify.
    pub holder: InstanceId,
}

/// The response to a slot request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A slot, and the batch lease that was preempted for it.
    Granted(Grant, Option<Revocation>),
    /// The request is queued; a grant or a rejection follows.
    Queued(WaiterId),
    /// No slot is free; one is expected after this long.
    Full(Duration),
    /// No target of the data centre serves that service.
    NoTarget,
}

/// How a lease was used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseReport {
    /// Defaults to [`LeaseOutcome::Completed`].
    #[serde(rename = "end")]
    pub outcome: LeaseOutcome,
    /// Time from sending the request to its first event; `None` if there was none.
    #[serde(rename = "first")]
    pub first_event: Option<Duration>,
    /// Mean time between events; `None` with fewer than two.
    #[serde(rename = "pace")]
    pub event_interval: Option<Duration>,
    /// Run time of the batch item, if it completed.
    #[serde(rename = "done")]
    pub completed: Option<Sample>,
    /// How long a target that is [`LeaseOutcome::Unresponsive`] had sent nothing; `None` if it
    /// couldn't be reached, and from earlier builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub silence: Option<Duration>,
}

/// How the use of a lease ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseOutcome {
    /// The response was complete.
    #[default]
    #[serde(rename = "Good")]
    Completed,
    /// The lease wasn't used, or its holder stopped the request.
    Unused,
    /// The target ran the request and responded with an error.
    Failed,
    /// The target rejected the request.
    #[serde(rename = "Refused")]
    Rejected,
    /// Another target responds at the address, so this one is gone whatever the registry says.
    Misdirected,
    /// The response was truncated or malformed.
    #[serde(rename = "Broken")]
    Interrupted,
    /// The target can't be reached or sends nothing.
    #[serde(rename = "Silent")]
    Unresponsive,
}

impl LeaseOutcome {
    /// Whether no target has run the request to its end, nor will, by this lease.
    pub(super) fn is_not_run(self) -> bool {
        matches!(self, LeaseOutcome::Unused | LeaseOutcome::Rejected | LeaseOutcome::Misdirected)
    }
}

/// A lease in a holder's report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLease {
    /// Id from the grant.
    pub lease: LeaseId,
    /// Target that the slot belongs to.
    pub target: TargetId,
    /// As in the slot request.
    pub purpose: Purpose,
}
