//! Exit codes of the command.

use crate::client::ApiError;
use protocol::kind::Retry;

/// Result of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Exit code 0.
    Success,
    /// The command ran with a negative result, such as a failed check or a cancelled job:
    /// exit code 1.
    Negative,
    /// The daemon rejected the request and a retry would not help: exit code 3.
    Rejected,
    /// The request was rejected or failed and may succeed later: exit code 4.
    Retryable,
    /// No daemon responded, or another error: exit code 5.
    Failed,
}

impl Exit {
    /// Exit code of the process; the argument parser uses 2.
    pub fn code(self) -> i32 {
        match self {
            Exit::Success => 0,
            Exit::Negative => 1,
            Exit::Rejected => 3,
            Exit::Retryable => 4,
            Exit::Failed => 5,
        }
    }

    /// Prints an error to stderr and returns the exit for it.
    pub fn from_error(error: &anyhow::Error) -> Exit {
        eprintln!("gatespool: {error:#}");
        match error.downcast_ref::<ApiError>() {
            None => Exit::Failed,
            Some(error) => match error.detail.kind.properties().retry {
                Retry::Never => Exit::Rejected,
                Retry::After(_) => Exit::Retryable,
            },
        }
    }
}
