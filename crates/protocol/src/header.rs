//! Names of the headers that callers and targets use.

/// Key of a request; the same key gives the same outcome.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// When the key was issued, in Unix milliseconds.
pub const KEY_ISSUED_AT: &str = "gatespool-issued";
/// `false` marks a request that may run at most once.
pub const REPEATABLE: &str = "gatespool-repeatable";
/// Who calls; the unit of per-caller limits.
pub const CALLER: &str = "gatespool-caller";
/// `online` or `batch`.
pub const REQUEST_CLASS: &str = "gatespool-class";
/// How long the caller waits, in milliseconds from arrival.
pub const DEADLINE_MS: &str = "gatespool-deadline-ms";
/// On answers: `now`, or `later` when the outcome is not recorded yet.
pub const RECORDED: &str = "gatespool-recorded";
/// On answers: `true` when the outcome of an earlier run is given again.
pub const REPLAYED: &str = "gatespool-replayed";
/// On answers: the target that ran the request.
pub const TARGET: &str = "gatespool-target";
/// Towards targets: the id of this attempt.
pub const ATTEMPT_ID: &str = "gatespool-attempt";
/// Towards targets: 0 is online, 1 is batch.
pub const PRIORITY: &str = "gatespool-priority";
/// Towards targets: the fencing number of an order.
pub const FENCING_TOKEN: &str = "gatespool-fence";
