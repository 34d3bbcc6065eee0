//! Why a call of the platform was made: each is paid for, so each is counted by cause.

/// Why a call was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallReason {
    /// A list of what is watched, or a watch.
    Watch,
    /// A sign of life, at a tenth of a call's price.
    Probe,
    /// This instance's address, or those of others.
    Address,
    /// A job is accepted, or looked for because it may have been.
    Submission,
    /// What has happened to a held job is written.
    Progress,
    /// A held job is looked at: it may have been taken over or ended elsewhere.
    Verify,
    /// A caller asks for a job whose holder can't be asked.
    Lookup,
    /// A caller ends a job whose holder can't be asked.
    End,
    /// A job is taken over.
    Takeover,
    /// A look through all jobs.
    Sweep,
    /// A job past its retention is deleted.
    Expiry,
    /// A machine is told empty.
    Retirement,
    /// A request that crashes its targets is written down, or those that were are read.
    Quarantine,
}

impl CallReason {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            CallReason::Watch => "watch",
            CallReason::Probe => "life",
            CallReason::Address => "address",
            CallReason::Submission => "submission",
            CallReason::Progress => "progress",
            CallReason::Verify => "check",
            CallReason::Lookup => "find",
            CallReason::End => "end",
            CallReason::Takeover => "takeover",
            CallReason::Sweep => "sweep",
            CallReason::Expiry => "expiry",
            CallReason::Retirement => "retirement",
            CallReason::Quarantine => "quarantine",
        }
    }
}
