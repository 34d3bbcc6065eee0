//! What a controller orders a target to do next.

/// What a target runs, by its own report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Actual {
    /// Model version loaded; empty when none is.
    pub version: String,
    /// Adapters loaded, sorted.
    pub adapters: Vec<String>,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Requests running there.
    pub running: u32,
}

/// What the configuration wants of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Desired {
    /// Model version.
    pub version: String,
    /// Adapters, sorted.
    pub adapters: Vec<String>,
}

/// The controller's next step for one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The target is as wanted.
    UpToDate,
    /// Wait: the target is busy with an order or still runs requests.
    Wait,
    /// Stop sending work there, so that the order cuts off nothing.
    Drain,
    /// Another target of the service must serve first.
    KeepServing,
    /// Order this state.
    Order(Desired),
}

/// Decides the next step.
///
/// `others` is how many other targets of the service can serve now. A target
/// that serves nothing can always be ordered; one that serves only while
/// another does, so that a service is never left without.
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
