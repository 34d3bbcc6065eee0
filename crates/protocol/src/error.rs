//! Errors returned to callers: a kind, a message and retry advice.

use crate::kind::{Execution, Kind, Retry};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// An error of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// Determines the HTTP status and the default retry delay.
    pub kind: Kind,
    /// Human-readable cause, with the path or key concerned.
    pub message: String,
    /// Overrides the retry delay of the kind.
    #[serde(default)]
    pub retry_after: Option<Duration>,
}

impl Error {
    /// Creates an error with the retry delay of its kind.
    pub fn new(kind: Kind, message: impl Into<String>) -> Error {
        Error { kind, message: message.into(), retry_after: None }
    }

    /// Sets the time after which the caller should retry.
    pub fn with_retry_after(self, retry_after: Duration) -> Error {
        Error { retry_after: Some(retry_after), ..self }
    }

    /// Seconds after which the caller should retry, rounded up and at least 1;
    /// `None` if the kind is not worth a retry.
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

/// Body of an error response, in the format of the OpenAI API.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Body {
    /// Details of the error.
    pub error: Detail,
}

/// Details in the body of an error response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Detail {
    /// Human-readable cause.
    pub message: String,
    /// Error kind.
    #[serde(rename = "type")]
    pub kind: Kind,
    /// Whether the request was run.
    pub ran: Execution,
    /// Seconds after which to retry; absent if a retry can't help.
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
