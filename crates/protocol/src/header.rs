//! Names of the HTTP headers exchanged with callers and targets.

/// Idempotency key; requests with the same key get the same outcome.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Time at which the idempotency key was issued, in Unix milliseconds.
pub const KEY_ISSUED_AT: &str = "gatespool-issued";
/// `false` if the request may run at most once.
pub const REPEATABLE: &str = "gatespool-repeatable";
/// Name of the caller, to which rate limits apply.
pub const CALLER: &str = "gatespool-caller";
/// Request class: `online` or `batch`.
pub const REQUEST_CLASS: &str = "gatespool-class";
/// Time that the caller waits for the response, in milliseconds from arrival.
pub const DEADLINE_MS: &str = "gatespool-deadline-ms";
/// On responses: `now`, or `later` if the outcome is not recorded yet.
pub const RECORDED: &str = "gatespool-recorded";
/// On responses: `true` if the outcome of an earlier run is replayed.
pub const REPLAYED: &str = "gatespool-replayed";
/// On responses: the target that ran the request.
pub const TARGET: &str = "gatespool-target";
/// To targets: id of this attempt.
pub const ATTEMPT_ID: &str = "gatespool-attempt";
/// To targets: 0 for online, 1 for batch.
pub const PRIORITY: &str = "gatespool-priority";
/// To targets: fencing token of an order.
pub const FENCING_TOKEN: &str = "gatespool-fence";
