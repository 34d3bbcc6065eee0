//! Exit codes, so that scripts can tell one end from another.

use crate::client::Refused;
use protocol::kind::Retry;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done: 0.
    Done,
    /// It ran and says no: a verdict that fails, a job that is cancelled: 1.
    No,
    /// Refused for good: 3.
    Refused,
    /// Refused or failed now; the same call may do later: 4.
    Later,
    /// No daemon answered, or something else is wrong: 5.
    Failed,
}

impl Exit {
    /// The process's exit code. 2 is left to the parser of arguments.
    pub fn code(self) -> i32 {
        match self {
            Exit::Done => 0,
            Exit::No => 1,
            Exit::Refused => 3,
            Exit::Later => 4,
            Exit::Failed => 5,
        }
    }

    /// Prints an error and gives its code.
    pub fn failed(error: &anyhow::Error) -> Exit {
        eprintln!("gatespool: {error:#}");
        match error.downcast_ref::<Refused>() {
            None => Exit::Failed,
            Some(refused) => match refused.detail.kind.properties().retry {
                Retry::Never => Exit::Refused,
                Retry::After(_) => Exit::Later,
            },
        }
    }
}
