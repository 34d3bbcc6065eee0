//! Commands that the log must still record: outcomes returned while the platform was
//! unavailable, and claims of requests that were never sent.

use crate::fleet::lock;
use crate::shared::Shared;
use protocol::Kind;
use state::command::Command;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Maximum number of queued commands. When the queue is full, an outcome isn't recorded;
/// its caller has been told so.
const MAX_COMMANDS: usize = 10_000;
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(200);
const BACKOFF_BASE: Duration = Duration::from_millis(200);
const BACKOFF_CAP: Duration = Duration::from_secs(5);

/// Commands in the order in which they are retried.
#[derive(Debug, Default)]
pub struct RetryQueue(Mutex<VecDeque<Command>>);

impl RetryQueue {
    /// Queues a command; `false` when the queue is full.
    pub fn push(&self, command: Command) -> bool {
        let mut queue = lock(&self.0);
        if queue.len() >= MAX_COMMANDS {
            return false;
        }
        queue.push_back(command);
        true
    }

    /// Number of queued commands.
    pub fn len(&self) -> usize {
        lock(&self.0).len()
    }

    /// Whether no command is queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn front(&self) -> Option<Command> {
        lock(&self.0).front().cloned()
    }

    fn pop(&self) {
        lock(&self.0).pop_front();
    }
}

/// Submits the queued commands until `stop`, with exponential backoff on errors. The jitter
/// keeps instances from returning to the platform at the same moment.
pub async fn run(shared: Arc<Shared>, stop: CancellationToken) {
    let mut failures = 0;
    while !stop.is_cancelled() {
        let Some(command) = shared.retry_queue.front() else {
            tokio::time::sleep(IDLE_POLL_INTERVAL).await;
            continue;
        };
        match shared.shards.submit(&shared, command).await {
            Err(error) if is_transient(error.kind) => {
                failures += 1;
                let random = rand::random::<f64>();
                let wait =
                    coordination::retry::backoff(failures, BACKOFF_BASE, BACKOFF_CAP, random);
                tokio::time::sleep(wait).await;
            }
            _ => {
                failures = 0;
                shared.retry_queue.pop();
            }
        }
    }
}

/// Whether an error only means that the log can't be reached now.
pub fn is_transient(kind: Kind) -> bool {
    matches!(
        kind,
        Kind::PlatformUnavailable
            | Kind::Undetermined
            | Kind::Overloaded
            | Kind::Draining
            | Kind::NotReady
    )
}
