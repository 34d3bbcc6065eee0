//! The log duty: one committer for each shard that this instance is asked for.
//!
//! Commands go to the shard's owner, which groups them into one append. If the
//! owner can't be reached, this instance appends by itself: the conditional
//! create keeps that safe, it only costs a conflict when both do so at once.

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
mod load;
mod sweep;

const CAPACITY: usize = 8192;
const SHARD_CAPACITY: usize = 4096;

/// A command on its way to a committer.
pub struct Item {
    /// Shard.
    pub shard: ShardId,
    /// Command.
    pub command: Command,
    /// Where the answer goes.
    pub answer: channel::ReplySender<CommandResult>,
}

/// The log as other duties see it.
#[derive(Clone)]
pub struct Handle {
    sender: RequestSender<Item>,
    shards: u32,
    limit: Duration,
}

/// A handle and the duty's own end.
pub fn duty(settings: &Settings) -> (Handle, RequestReceiver<Item>) {
    let (sender, receiver) = channel::channel("log", CAPACITY);
    // Two platform calls and a read-back fit into this.
    let limit = settings.platform_timeout * 3 + settings.commit_interval;
    (Handle { sender, shards: settings.shards, limit }, receiver)
}

impl Handle {
    /// Shard of a key or job.
    pub fn shard_of(&self, subject: &str) -> ShardId {
        hash::shard(subject, self.shards)
    }

    /// Brings a command to the shard of its subject.
    ///
    /// # Errors
    ///
    /// What the owner answered, or `Undetermined` when its answer was lost.
    pub async fn submit(&self, shared: &Shared, command: Command) -> CommandResult {
        let shard = command.routing_key().map_or(0, |subject| self.shard_of(subject));
        self.submit_to(shared, shard, command).await
    }

    /// Brings a command to a shard.
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
            return self.local(shard, command).await;
        };
        let body = serde_json::to_vec(&command).unwrap_or_default();
        match shared.peers.command(owner.peer, shard, body, self.limit).await {
            Ok(bytes) => serde_json::from_slice(&bytes).unwrap_or_else(|error| {
                Err(Error::new(Kind::Undetermined, format!("answer of the owner: {error}")))
            }),
            Err(PeerError::NotSent(_)) => self.local(shard, command).await,
            Err(PeerError::OutcomeUnknown(_)) if matches!(command, Command::Claim { .. }) => {
                Ok(Reply::NoWork)
            }
            // Every other command may be given twice: a second one finds what
            // the first has done and answers by it.
            Err(PeerError::OutcomeUnknown(_)) => self.local(shard, command).await,
        }
    }

    /// Gives a command to this instance's own committer.
    ///
    /// # Errors
    ///
    /// What it answered, or `Undetermined` when it took too long.
    pub async fn local(&self, shard: ShardId, command: Command) -> CommandResult {
        let make = |answer| Item { shard, command, answer };
        self.sender.call(self.limit, make).await.unwrap_or_else(Err)
    }
}

/// Runs committers until `stop`, then lets those with work finish it.
pub async fn run(shared: Arc<Shared>, mut items: RequestReceiver<Item>, stop: CancellationToken) {
    let mut committers: HashMap<ShardId, RequestSender<Item>> = HashMap::new();
    loop {
        let item = tokio::select! {
            item = items.recv() => item,
            () = stop.cancelled() => None,
        };
        let Some(item) = item else {
            return;
        };
        let shard = item.shard;
        let sender = committers.entry(shard).or_insert_with(|| {
            let (sender, receiver) = channel::channel("shard", SHARD_CAPACITY);
            let committer = commit::Committer::new(shared.clone(), shared.store.clone(), shard);
            tokio::spawn(committer.run(receiver, stop.clone()));
            sender
        });
        if let Err(error) = sender.try_send(item) {
            let (item, error) = *error;
            drop(item.answer.send(Err(error)));
        }
    }
}

/// Whether `holder` is known to be gone.
fn is_gone(shared: &Shared, holder: u64) -> bool {
    lock(&shared.members).is_dead(holder)
}
