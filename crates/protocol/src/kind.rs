//! The closed list of error kinds and the one table from kind to answer.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether the work that the answer speaks of was run.
///
/// The value is a promise: `NotRun` is only given when no byte of the request
/// went to a target on the caller's behalf.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No target was given the work.
    NotRun,
    /// A target may have run it; nobody knows.
    MayHaveRun,
    /// A target ran it.
    Ran,
}

/// What a caller should do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// The same request will be answered the same way.
    Never,
    /// Come back after this long; the daemon may give a better figure.
    After(Duration),
}

/// One row of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Properties {
    /// HTTP status of the answer.
    pub status: u16,
    /// Whether the work ran.
    pub ran: Execution,
    /// What the caller should do.
    pub retry: Retry,
}

/// Every kind of error that leaves a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request can't be understood.
    Malformed,
    /// The body is over the limit.
    TooLarge,
    /// The caller sent its body too slowly.
    SlowCaller,
    /// No such path or method.
    UnknownPath,
    /// No such service in the configuration.
    UnknownService,
    /// No such job, key or object.
    NotFound,
    /// The service has no target with that model version or adapter.
    UnknownModel,
    /// The key was used for another request.
    KeyConflict,
    /// The key's issue time is outside the retention window.
    KeyExpired,
    /// A request with this key is running now.
    InProgress,
    /// The caller is over its rate.
    CallerLimit,
    /// Queues of the class are full.
    Overloaded,
    /// No target can serve this now.
    NoTarget,
    /// The request has crashed the targets that ran it, and is held.
    Quarantined,
    /// The instance is stopping.
    Draining,
    /// The instance has no configuration it may serve from.
    NotReady,
    /// The platform can't be reached, so the work was not accepted.
    #[serde(rename = "platform_away")]
    PlatformUnavailable,
    /// A write's fate is unknown; the same key finds out.
    Undetermined,
    /// A cancel is applied here but not recorded yet.
    NotRecorded,
    /// A request marked not repeatable was claimed and its outcome is unknown.
    MayHaveRun,
    /// The target failed while it ran the request.
    TargetFailed,
    /// The answer broke off and could not be resumed.
    Truncated,
    /// The deadline passed before any target was given the request.
    DeadlinePassed,
    /// The deadline passed while a target ran the request.
    TimedOut,
    /// The revision named is no longer the one in force.
    StaleRevision,
    /// The configuration offered is not valid.
    InvalidConfig,
    /// The job was cancelled.
    Cancelled,
    /// The item failed on every attempt.
    AttemptsExhausted,
    /// A fault of the daemon itself.
    Internal,
}

const SOON: Retry = Retry::After(Duration::from_secs(1));
const LATER: Retry = Retry::After(Duration::from_secs(5));

impl Kind {
    /// Every kind, in the order of the published table.
    pub const ALL: [Kind; 29] = [
        Kind::Malformed,
        Kind::TooLarge,
        Kind::SlowCaller,
        Kind::UnknownPath,
        Kind::UnknownService,
        Kind::NotFound,
        Kind::UnknownModel,
        Kind::KeyConflict,
        Kind::KeyExpired,
        Kind::InProgress,
        Kind::CallerLimit,
        Kind::Overloaded,
        Kind::NoTarget,
        Kind::Quarantined,
        Kind::Draining,
        Kind::NotReady,
        Kind::PlatformUnavailable,
        Kind::Undetermined,
        Kind::NotRecorded,
        Kind::MayHaveRun,
        Kind::TargetFailed,
        Kind::Truncated,
        Kind::DeadlinePassed,
        Kind::TimedOut,
        Kind::StaleRevision,
        Kind::InvalidConfig,
        Kind::Cancelled,
        Kind::AttemptsExhausted,
        Kind::Internal,
    ];

    /// The table: status, whether the work ran, and what to do next.
    pub fn properties(self) -> Properties {
        use Execution::{MayHaveRun, NotRun};
        use Retry::Never;
        let (status, ran, retry) = match self {
            Kind::Malformed => (400, NotRun, Never),
            Kind::TooLarge => (413, NotRun, Never),
            Kind::SlowCaller => (408, NotRun, SOON),
            Kind::UnknownPath => (404, NotRun, Never),
            Kind::UnknownService => (404, NotRun, Never),
            Kind::NotFound => (404, NotRun, Never),
            Kind::UnknownModel => (404, NotRun, Never),
            Kind::KeyConflict => (409, NotRun, Never),
            Kind::KeyExpired => (410, NotRun, Never),
            Kind::InProgress => (409, NotRun, SOON),
            Kind::CallerLimit => (429, NotRun, SOON),
            Kind::Overloaded => (503, NotRun, SOON),
            Kind::NoTarget => (503, NotRun, SOON),
            Kind::Quarantined => (503, NotRun, LATER),
            Kind::Draining => (503, NotRun, SOON),
            Kind::NotReady => (503, NotRun, SOON),
            Kind::PlatformUnavailable => (503, NotRun, LATER),
            Kind::Undetermined => (503, MayHaveRun, SOON),
            Kind::NotRecorded => (503, MayHaveRun, SOON),
            Kind::MayHaveRun => (409, MayHaveRun, Never),
            Kind::TargetFailed => (502, MayHaveRun, SOON),
            Kind::Truncated => (502, MayHaveRun, SOON),
            Kind::DeadlinePassed => (504, NotRun, SOON),
            Kind::TimedOut => (504, MayHaveRun, SOON),
            Kind::StaleRevision => (412, NotRun, Never),
            Kind::InvalidConfig => (422, NotRun, Never),
            Kind::Cancelled => (409, NotRun, Never),
            Kind::AttemptsExhausted => (502, Execution::Ran, Never),
            Kind::Internal => (500, MayHaveRun, SOON),
        };
        Properties { status, ran, retry }
    }

    /// The name that travels in answers and logs.
    pub fn name(self) -> String {
        match serde_json::to_value(self) {
            Ok(serde_json::Value::String(name)) => name,
            _ => String::from("internal"),
        }
    }
}
