//! Reasons for calls of the platform. Calls are billed, so they are counted by reason.

/// Why a call of the platform was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallReason {
    /// A watch, or the list that it starts from.
    Watch,
    /// A probe whether the platform responds; billed at a tenth of other calls.
    Probe,
    /// Writes this instance's address, or reads those of others.
    Address,
    /// Stores a submitted job, or checks whether it was stored.
    Submission,
    /// Writes the progress of a held job.
    Progress,
    /// Checks whether a held job was taken over or ended elsewhere.
    Verify,
    /// Reads a job for a caller because its holder can't be reached.
    Lookup,
    /// Ends a job for a caller because its holder can't be reached.
    End,
    /// Takes over a job.
    Takeover,
    /// Scans all jobs.
    Scan,
    /// Deletes a job past its retention.
    Expiry,
    /// Reports that a machine to be decommissioned is empty.
    Decommission,
    /// Reads or writes quarantined requests.
    Quarantine,
    /// Reads or writes the list of software versions.
    Release,
}

impl CallReason {
    /// Name in logs and metrics.
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
            CallReason::Scan => "sweep",
            CallReason::Expiry => "expiry",
            CallReason::Decommission => "retirement",
            CallReason::Quarantine => "quarantine",
            CallReason::Release => "release",
        }
    }
}
