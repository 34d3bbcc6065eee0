//! Error kinds and the HTTP status and retry advice of each.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether a target ran the request.
///
/// `NotRun` is a guarantee: no byte of the request was sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No target received the request.
    NotRun,
    /// The request was sent, but whether it ran is unknown.
    MayHaveRun,
    /// A target ran the request.
    Ran,
}

/// Retry advice to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// A retry would fail in the same way.
    Never,
    /// Retry after this time, unless the error carries its own.
    After(Duration),
}

/// Response properties of an error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Properties {
    /// HTTP status of the response.
    pub status: u16,
    /// Whether the request was run.
    pub ran: Execution,
    /// Retry advice to the caller.
    pub retry: Retry,
}

/// Kind of an error that an instance returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request can't be parsed or is invalid.
    Malformed,
    /// The body exceeds the size limit.
    TooLarge,
    /// The body did not arrive in time.
    SlowCaller,
    /// The API key is missing, malformed or unknown.
    Unauthorized,
    /// No such path or method.
    UnknownPath,
    /// No such service in the configuration.
    UnknownService,
    /// No such job, idempotency key or object.
    NotFound,
    /// The service has no target with that model version or adapter.
    UnknownModel,
    /// The idempotency key was used for a different request.
    KeyConflict,
    /// The idempotency key was issued outside the retention window.
    KeyExpired,
    /// A request with this idempotency key is running.
    InProgress,
    /// The caller exceeds its rate limit.
    CallerLimit,
    /// The queues of the request class are full.
    Overloaded,
    /// No target can serve the request at present.
    NoTarget,
    /// The request is quarantined because it crashed the targets that ran it.
    Quarantined,
    /// The stream can't go on: no target of the software version that began it is left, or the
    /// version is unknown.
    StreamGone,
    /// The instance is stopping.
    Draining,
    /// The instance has no usable configuration.
    NotReady,
    /// The platform is unreachable, so the request was not accepted.
    #[serde(rename = "platform_away")]
    PlatformUnavailable,
    /// The outcome of a write is unknown; a retry with the same key reveals it.
    Undetermined,
    /// A cancellation is in effect on this instance but not recorded yet.
    NotRecorded,
    /// A request that may run at most once was sent, and its outcome is unknown.
    MayHaveRun,
    /// The target failed while it ran the request.
    TargetFailed,
    /// The response was interrupted and could not be resumed.
    Truncated,
    /// The deadline passed before the request was sent to a target.
    DeadlinePassed,
    /// The deadline passed while a target ran the request.
    TimedOut,
    /// The change is based on a configuration that is no longer in force.
    StaleRevision,
    /// The submitted configuration is invalid.
    InvalidConfig,
    /// The job was cancelled.
    Cancelled,
    /// The item failed on every attempt.
    AttemptsExhausted,
    /// An error within the instance itself.
    Internal,
}

const RETRY_SOON: Retry = Retry::After(Duration::from_secs(1));
const RETRY_LATER: Retry = Retry::After(Duration::from_secs(5));

impl Kind {
    /// All kinds, in the order of the published table.
    pub const ALL: [Kind; 31] = [
        Kind::Malformed,
        Kind::TooLarge,
        Kind::SlowCaller,
        Kind::Unauthorized,
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
        Kind::StreamGone,
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

    /// HTTP status, execution guarantee and retry advice of this kind.
    pub fn properties(self) -> Properties {
        use Execution::{MayHaveRun, NotRun};
        use Retry::Never;
        let (status, ran, retry) = match self {
            Kind::Malformed => (400, NotRun, Never),
            Kind::TooLarge => (413, NotRun, Never),
            Kind::SlowCaller => (408, NotRun, RETRY_SOON),
            Kind::Unauthorized => (401, NotRun, Never),
            Kind::UnknownPath => (404, NotRun, Never),
            Kind::UnknownService => (404, NotRun, Never),
            Kind::NotFound => (404, NotRun, Never),
            Kind::UnknownModel => (404, NotRun, Never),
            Kind::KeyConflict => (409, NotRun, Never),
            Kind::KeyExpired => (410, NotRun, Never),
            Kind::InProgress => (409, NotRun, RETRY_SOON),
            Kind::CallerLimit => (429, NotRun, RETRY_SOON),
            Kind::Overloaded => (503, NotRun, RETRY_SOON),
            Kind::NoTarget => (503, NotRun, RETRY_SOON),
            Kind::Quarantined => (503, NotRun, RETRY_LATER),
            Kind::StreamGone => (410, NotRun, Never),
            Kind::Draining => (503, NotRun, RETRY_SOON),
            Kind::NotReady => (503, NotRun, RETRY_SOON),
            Kind::PlatformUnavailable => (503, NotRun, RETRY_LATER),
            Kind::Undetermined => (503, MayHaveRun, RETRY_SOON),
            Kind::NotRecorded => (503, MayHaveRun, RETRY_SOON),
            Kind::MayHaveRun => (409, MayHaveRun, Never),
            Kind::TargetFailed => (502, MayHaveRun, RETRY_SOON),
            Kind::Truncated => (502, MayHaveRun, RETRY_SOON),
            Kind::DeadlinePassed => (504, NotRun, RETRY_SOON),
            Kind::TimedOut => (504, MayHaveRun, RETRY_SOON),
            Kind::StaleRevision => (412, NotRun, Never),
            Kind::InvalidConfig => (422, NotRun, Never),
            Kind::Cancelled => (409, NotRun, Never),
            Kind::AttemptsExhausted => (502, Execution::Ran, Never),
            Kind::Internal => (500, MayHaveRun, RETRY_SOON),
        };
        Properties { status, ran, retry }
    }

    /// Name in responses and logs, in snake case.
    pub fn name(self) -> String {
        match serde_json::to_value(self) {
            Ok(serde_json::Value::String(name)) => name,
            _ => String::from("internal"),
        }
    }
}
