//! The log worker: one committer for each shard that this instance gets commands for.
//!
//! Commands go to the shard's owner, which groups them into one append. If the owner can't
//! be reached, this instance appends by itself; the conditional create keeps that safe, at
//! the cost of a conflict when both append at once.

use crate::fleet::lock;
use crate::shared::Shared;
use coordination::hash;
use protocol::settings::Settings;
use protocol::{Error, Kind, ShardId};
use state::command::{Command, CommandResult, Reply};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;
use transport::channel::{self, RequestReceiver, RequestSender};
use transport::peer::PeerError;

mod commit;
mod deletion;
mod load;

const CHANNEL_CAPACITY: usize = 8192;
const SHARD_CHANNEL_CAPACITY: usize = 4096;

/// A command submitted to a committer.
pub struct Submission {
    /// Shard of the command.
    pub shard: ShardId,
    /// The command itself.
    pub command: Command,
    /// Receives the result; closed when the caller stops waiting.
    pub reply: channel::ReplySender<CommandResult>,
}

/// The log, for the other workers.
#[derive(Clone)]
pub struct Handle {
    sender: RequestSender<Submission>,
    shards: u32,
    timeout: Duration,
}

/// A handle, and the receiver to run the worker with.
pub fn new_handle(settings: &Settings) -> (Handle, RequestReceiver<Submission>) {
    let (sender, receiver) = channel::channel("log", CHANNEL_CAPACITY);
    // Covers two platform calls and a read-back.
    let timeout = settings.platform_timeout * 3 + settings.commit_interval;
    (Handle { sender, shards: settings.shards, timeout }, receiver)
}

impl Handle {
    /// Shard of a key or job.
    pub fn shard_of(&self, routing_key: &str) -> ShardId {
        hash::shard(routing_key, self.shards)
    }

    /// Submits a command to the shard of its routing key.
    ///
    /// # Errors
    ///
    /// The owner's error, or `Undetermined` when its reply was lost.
    pub async fn submit(&self, shared: &Shared, command: Command) -> CommandResult {
        let shard = command.routing_key().map_or(0, |routing_key| self.shard_of(routing_key));
        self.submit_to(shared, shard, command).await
    }

    /// Submits a command to a shard.
    ///
    /// # Errors
    ///
    /// As [`Handle::submit`].
    pub async fn submit_to(
        &self,
        shared: &Shared,
        shard: ShardId,
        command: Command,
    ) -> CommandResult {
        let owner = shared.shard_owner(shard).filter(|owner| owner.id != shared.id);
        let Some(owner) = owner else {
            return self.submit_local(shard, command).await;
        };
        let body = serde_json::to_vec(&command).unwrap_or_default();
        match shared.peers.command(owner.peer, shard, body, self.timeout).await {
            Ok(bytes) => serde_json::from_slice(&bytes).unwrap_or_else(|error| {
                Err(Error::new(
                    Kind::Undetermined,
                    format!("malformed reply of the shard's owner: {error}"),
                ))
            }),
            Err(PeerError::NotSent(_)) => self.submit_local(shard, command).await,
            Err(PeerError::OutcomeUnknown(_)) if matches!(command, Command::Claim { .. }) => {
                Ok(Reply::NoWork)
            }
            // Every other command may be submitted twice: the second one finds the effects
            // of the first and replies accordingly.
            Err(PeerError::OutcomeUnknown(_)) => self.submit_local(shard, command).await,
        }
    }

    /// Submits a command to this instance's own committer.
    ///
    /// # Errors
    ///
    /// The committer's error, or `Undetermined` on a timeout.
    pub async fn submit_local(&self, shard: ShardId, command: Command) -> CommandResult {
        let new_command = |reply| Submission { shard, command, reply };
        self.sender.call(self.timeout, new_command).await.unwrap_or_else(Err)
    }
}

/// Runs committers until `stop`.
pub async fn run(
    shared: Arc<Shared>,
    mut submissions: RequestReceiver<Submission>,
    stop: CancellationToken,
) {
    let mut committers: HashMap<ShardId, RequestSender<Submission>> = HashMap::new();
    loop {
        let submission = tokio::select! {
            submission = submissions.recv() => submission,
            () = stop.cancelled() => None,
        };
        let Some(submission) = submission else {
            return;
        };
        let shard = submission.shard;
        let sender = committers.entry(shard).or_insert_with(|| {
            let (sender, receiver) = channel::channel("shard", SHARD_CHANNEL_CAPACITY);
            let committer = commit::Committer::new(shared.clone(), shared.store.clone(), shard);
            tokio::spawn(committer.run(receiver, stop.clone()));
            sender
        });
        if let Err(error) = sender.try_send(submission) {
            let (submission, error) = *error;
            drop(submission.reply.send(Err(error)));
        }
    }
}

fn is_dead(shared: &Shared, holder: u64) -> bool {
    lock(&shared.members).is_dead(holder)
}
