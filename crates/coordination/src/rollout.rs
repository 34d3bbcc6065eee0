//! Decides what a controller orders a target to do next.

/// State of a target as it reports it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Actual {
    /// Loaded model version; empty if none is loaded.
    pub version: String,
    /// Loaded adapters, sorted.
    pub adapters: Vec<String>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Requests running there.
    pub running: u32,
}

/// Configured state of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Desired {
    /// Model version to load.
    pub version: String,
    /// Adapters to load, sorted.
    pub adapters: Vec<String>,
}

/// The controller's next step for one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The target is in the desired state.
    UpToDate,
    /// Wait: an order is in progress, or requests are still running.
    Wait,
    /// Send no more requests there, so that the order interrupts none.
    Drain,
    /// No other target of the service can serve: leave this one in service.
    KeepServing,
    /// Order the target into this state.
    Order(Desired),
}

/// Decides the next step.
///
/// `others` is the number of other targets of the service that can serve. A target without a model
/// can always be ordered; one that serves is ordered only if another can serve, so that the
/// service stays available.
pub fn step(actual: &Actual, desired: &Desired, drained: bool, others: usize) -> Step {
    if actual.busy {
        return Step::Wait;
    }
    if actual.version == desired.version && actual.adapters == desired.adapters {
        return Step::UpToDate;
    }
    if actual.version.is_empty() {
        return Step::Order(desired.clone());
    }
    if others == 0 {
        return Step::KeepServing;
    }
    if !drained {
        return Step::Drain;
    }
    if actual.running > 0 {
        return Step::Wait;
    }
    Step::Order(desired.clone())
}
