//! An error as it leaves a daemon: a kind, a reason, and when to come back.

use crate::kind::{Execution, Kind, Retry};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// An error with its kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// Which row of the table applies.
    pub kind: Kind,
    /// The reason, with the path or key at fault.
    pub message: String,
    /// A better figure than the table's for when to come back, if known.
    #[serde(default)]
    pub retry_after: Option<Duration>,
}

impl Error {
    /// An error of `kind` for the reason `message`.
    pub fn new(kind: Kind, message: impl Into<String>) -> Error {
        Error { kind, message: message.into(), retry_after: None }
    }

    /// The same error with a measured time to come back.
    pub fn with_retry_after(self, retry_after: Duration) -> Error {
        Error { retry_after: Some(retry_after), ..self }
    }

    /// Whole seconds to wait before trying again, rounded up; `None` when
    /// trying again can't help.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        let Retry::After(default) = self.kind.properties().retry else {
            return None;
        };
        let wait = self.retry_after.unwrap_or(default);
        let round_up = u64::from(wait.subsec_nanos() > 0);
        Some((wait.as_secs() + round_up).max(1))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.name(), self.message)
    }
}

impl std::error::Error for Error {}

/// The body of an error answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Body {
    /// The error itself, in the place where stock clients look for it.
    pub error: Detail,
}

/// The inner part of an error answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Detail {
    /// Human text.
    pub message: String,
    /// Name of the kind.
    #[serde(rename = "type")]
    pub kind: Kind,
    /// Whether the work ran.
    pub ran: Execution,
    /// Seconds after which to come back; absent when there is no use in it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
}

impl From<&Error> for Body {
    fn from(error: &Error) -> Body {
        Body {
            error: Detail {
                message: error.message.clone(),
                kind: error.kind,
                ran: error.kind.properties().ran,
                retry_after: error.retry_after_seconds(),
            },
        }
    }
}
