//! Claims chunks from the shards when items run short.

use super::{Event, RETRY_DELAY, Worker};
use crate::batch::chunk::Chunk;
use crate::batch::{accepts_work, report};
use protocol::{Error, ShardId};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Interval between claims while another shard may have work.
const CLAIM_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between claims after every shard had no work. Owners announce new work, so this
/// only finds missed announcements.
const IDLE_CLAIM_INTERVAL: Duration = Duration::from_millis(1500);
/// Maximum number of chunks held at once.
const MAX_CHUNKS: usize = 16;

impl Worker {
    /// Claims a chunk from one shard when a service is short of items.
    pub(super) fn claim_chunk(&mut self, free_slots: &HashMap<String, usize>, now: Instant) {
        let may_claim = self.chunks.len() < MAX_CHUNKS && accepts_work(&self.shared);
        let batch = self.shared.batch.clone();
        if self.claiming || !may_claim {
            return;
        }
        let services: Vec<String> =
            free_slots.keys().filter(|s| self.is_short_of_items(s, free_slots)).cloned().collect();
        if services.is_empty() {
            return;
        }
        let shard = match batch.next_hint() {
            Some(shard) => {
                self.empty_claims = 0;
                shard
            }
            None if now < self.next_claim => return,
            None => self.preferred_shard.unwrap_or_else(|| self.next_shard()),
        };
        self.claiming = true;
        let (shared, events) = (self.shared.clone(), self.events.clone());
        tokio::spawn(async move {
            let found = report::claim(&shared, shard, services).await;
            let found = found.map(|chunk| chunk.map(Box::new));
            drop(events.send(Event::Claimed { shard, found }).await);
        });
    }

    /// Whether fewer items of a service wait than run: the next chunk is claimed while the
    /// last one still fills the targets.
    fn is_short_of_items(&self, service: &String, free_slots: &HashMap<String, usize>) -> bool {
        let of_service = self.chunks.values().filter(|c| c.assignment.service == *service);
        let (ready, running) =
            of_service.fold((0, 0), |(r, n), c| (r + c.ready_count(), n + c.running_count()));
        let capacity = free_slots.get(service).copied().unwrap_or(0);
        (capacity > 0 || running > 0) && ready < running.max(1)
    }

    fn next_shard(&mut self) -> ShardId {
        self.last_shard = (self.last_shard + 1) % self.shared.settings.shards;
        self.last_shard
    }

    pub(super) fn on_claimed(&mut self, shard: ShardId, found: Result<Option<Box<Chunk>>, Error>) {
        self.claiming = false;
        let now = Instant::now();
        match found {
            Ok(Some(chunk)) => {
                self.next_id += 1;
                self.chunks.insert(self.next_id, *chunk);
                self.preferred_shard = Some(shard);
                self.empty_claims = 0;
            }
            Ok(None) => {
                self.preferred_shard = None;
                self.empty_claims = self.empty_claims.saturating_add(1);
                let wait = if self.empty_claims < self.shared.settings.shards {
                    CLAIM_INTERVAL
                } else {
                    IDLE_CLAIM_INTERVAL
                };
                self.next_claim = now + wait.mul_f64(0.5 + rand::random::<f64>());
            }
            Err(error) => {
                slog::debug!(self.shared.log, "chunk claim failed"; "reason" => error.to_string());
                self.preferred_shard = None;
                self.next_claim = now + RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>());
            }
        }
    }
}
