//! State machine of one shard: decides commands and applies log records.

mod policy;
mod rejection;

pub use policy::Policy;

use crate::command::{Command, CommandResult, Reply};
use crate::jobs::{ChunkId, Job, Jobs};
use crate::keys::{Claim, Finished, Keys};
use crate::record::{Disposition, Entry, JobSpec, Record, StoredOutcome};
use protocol::job::Phase;
use protocol::{Kind, Millis, ShardId};
use rejection::{conflict, in_progress, reject, reject_claimed, unknown_job};
use std::collections::{BTreeSet, HashMap, HashSet};

/// Keys, jobs and chunks that the log entry under construction touches.
///
/// Commands are decided against the durable state. Two commands on the same key
/// or chunk can't share an entry, as the second would be decided without the
/// effect of the first.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    routing_keys: HashSet<String>,
    chunks: BTreeSet<ChunkId>,
    cancelled: HashSet<String>,
}

/// Decision on a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The result follows from the durable state.
    Reply(CommandResult),
    /// The reply may be sent once the records are durable.
    Commit(Vec<Record>, Reply),
    /// Decide again once the entry under construction is durable.
    Defer,
}

/// State of one shard.
#[derive(Clone, Debug)]
pub struct Shard {
    id: ShardId,
    policy: Policy,
    next: u64,
    keys: Keys,
    jobs: Jobs,
    /// Repeatable requests that are running, as attempt, digest and deadline.
    /// Not durable: it only avoids duplicate work.
    running: HashMap<String, (u64, u64, Millis)>,
    duplicate_outcomes: u64,
}

impl Shard {
    /// An empty shard.
    pub fn new(id: ShardId, policy: Policy) -> Shard {
        Shard::restore(id, policy, 0, Keys::default(), Jobs::default())
    }

    /// Restores a shard from a snapshot; `next` is the position of the first log
    /// entry to apply.
    pub fn restore(id: ShardId, policy: Policy, next: u64, keys: Keys, jobs: Jobs) -> Shard {
        Shard { id, policy, next, keys, jobs, running: HashMap::new(), duplicate_outcomes: 0 }
    }

    /// Number of the shard, from 0.
    pub fn id(&self) -> ShardId {
        self.id
    }

    /// Position of the next log entry to apply or append.
    pub fn next_position(&self) -> u64 {
        self.next
    }

    /// Idempotency keys of the shard.
    pub fn keys(&self) -> &Keys {
        &self.keys
    }

    /// Jobs of the shard.
    pub fn jobs(&self) -> &Jobs {
        &self.jobs
    }

    /// Number of outcomes dropped because their key already had one.
    pub fn duplicate_outcomes(&self) -> u64 {
        self.duplicate_outcomes
    }

    /// Decides `command` against the durable state, and marks in `batch` what the
    /// command touches.
    pub fn decide(&self, batch: &mut Batch, command: &Command, now: Millis) -> Decision {
        match command {
            Command::Begin { .. } => self.begin(batch, command, now),
            Command::Finish { key, digest, issued, outcome } => {
                self.finish(batch, key, (*digest, *issued), outcome)
            }
            Command::Release { key, attempt, issued } => {
                self.release(batch, key, *attempt, *issued)
            }
            Command::Accept(spec) => self.accept(batch, spec),
            Command::Claim { holder, services } => self.claim(batch, *holder, services, now),
            Command::Progress { .. } => self.progress(batch, command),
            Command::Cancel { job } => self.cancel(batch, job),
            Command::Status { job } => Decision::Reply(self.status(job)),
            Command::Results { job, from, limit } => {
                Decision::Reply(self.results(job, *from, *limit))
            }
            Command::Archive { job } => self.archive(job),
        }
    }

    fn begin(&self, batch: &mut Batch, command: &Command, now: Millis) -> Decision {
        let Command::Begin { key, digest, repeatable, attempt, deadline, issued } = command else {
            return Decision::Defer;
        };
        if self.keys.is_released(*attempt) {
            return Decision::Reply(reject(
                Kind::PlatformUnavailable,
                "the attempt was given back",
            ));
        }
        if let Some(rejection) = self.reject_key(key, *digest, *attempt, *issued, now) {
            return Decision::Reply(rejection);
        }
        if *repeatable {
            return Decision::Reply(Ok(Reply::Proceed));
        }
        if !batch.routing_keys.insert(key.clone()) {
            return Decision::Defer;
        }
        let record = Record::Claimed {
            key: key.clone(),
            digest: *digest,
            attempt: *attempt,
            deadline: *deadline,
            issued: *issued,
        };
        Decision::Commit(vec![record], Reply::Proceed)
    }

    fn reject_key(
        &self,
        key: &str,
        digest: u64,
        attempt: u64,
        issued: Millis,
        now: Millis,
    ) -> Option<CommandResult> {
        if issued + self.policy.retention.as_millis() as Millis <= now {
            return Some(reject(
                Kind::KeyExpired,
                "the key was issued before the retention window",
            ));
        }
        if let Some(finished) = self.keys.finished(key) {
            let is_same = finished.digest == digest;
            let reply = Reply::AlreadyFinished { position: finished.position };
            return Some(if is_same { Ok(reply) } else { conflict() });
        }
        if let Some(claim) = self.keys.claim(key)
            && !self.policy.without_claims
        {
            return Some(reject_claimed(claim, digest, attempt, now));
        }
        let (other, running, deadline) = self.running.get(key).copied()?;
        if other == attempt || deadline <= now {
            return None;
        }
        Some(if running == digest { in_progress(deadline, now) } else { conflict() })
    }

    /// Tracks a running repeatable request, so that a retry waits for it.
    pub fn track_running(&mut self, command: &Command, now: Millis) {
        if let Command::Begin { key, digest, repeatable: true, attempt, deadline, .. } = command {
            if self.running.len() > RUNNING_CLEANUP_SIZE {
                self.running.retain(|_, (_, _, until)| *until > now);
            }
            self.running.insert(key.clone(), (*attempt, *digest, *deadline));
        }
    }

    fn finish(
        &self,
        batch: &mut Batch,
        key: &str,
        (digest, issued): (u64, Millis),
        outcome: &StoredOutcome,
    ) -> Decision {
        if let Some(finished) = self.keys.finished(key) {
            let reply = Reply::Duplicate { position: finished.position };
            return Decision::Reply(if finished.digest == digest { Ok(reply) } else { conflict() });
        }
        if !batch.routing_keys.insert(key.to_owned()) {
            return Decision::Defer;
        }
        let key = key.to_owned();
        let record = Record::Finished { key, digest, issued, outcome: outcome.clone() };
        Decision::Commit(vec![record], Reply::Recorded)
    }

    fn release(&self, batch: &mut Batch, key: &str, attempt: u64, issued: Millis) -> Decision {
        if self.keys.is_released(attempt) {
            return Decision::Reply(Ok(Reply::Recorded));
        }
        if !batch.routing_keys.insert(key.to_owned()) {
            return Decision::Defer;
        }
        // Recorded even without a claim, as the claim may still be appended.
        let record = Record::Released { key: key.into(), attempt, issued };
        Decision::Commit(vec![record], Reply::Recorded)
    }

    fn accept(&self, batch: &mut Batch, spec: &JobSpec) -> Decision {
        if let Some(job) = self.jobs.get(&spec.job) {
            let is_same = job.spec.digest == spec.digest;
            return Decision::Reply(if is_same {
                Ok(Reply::Status(job.status()))
            } else {
                conflict()
            });
        }
        if !batch.routing_keys.insert(spec.job.clone()) {
            return Decision::Defer;
        }
        Decision::Commit(vec![Record::Accepted(spec.clone())], Reply::Recorded)
    }

    fn claim(&self, batch: &mut Batch, holder: u64, services: &[String], now: Millis) -> Decision {
        let stale_before = now.saturating_sub(self.policy.claim_timeout.as_millis() as Millis);
        let Some(work) = self.jobs.next_chunk(services, &batch.chunks, stale_before) else {
            return Decision::Reply(Ok(Reply::NoWork));
        };
        if batch.cancelled.contains(&work.job) {
            return Decision::Defer;
        }
        batch.chunks.insert((work.job.clone(), work.chunk));
        let (job, chunk, attempt) = (work.job.clone(), work.chunk, work.attempt);
        Decision::Commit(vec![Record::Assigned { job, chunk, attempt, holder }], Reply::Work(work))
    }

    fn progress(&self, batch: &mut Batch, command: &Command) -> Decision {
        let Command::Progress { job, chunk, attempt, part, done, failed, disposition } = command
        else {
            return Decision::Defer;
        };
        let id = (job.clone(), *chunk);
        if batch.cancelled.contains(job) || batch.chunks.contains(&id) {
            return Decision::Defer;
        }
        let Some(found) =
            self.jobs.get(job).filter(|found| self.is_current_holder(found, *chunk, *attempt))
        else {
            return Decision::Reply(Ok(Reply::Stop));
        };
        let is_recorded =
            found.chunks[*chunk as usize].parts.iter().any(|known| Some(*known) == *part);
        if is_recorded || (part.is_none() && *disposition == Disposition::Continue) {
            return Decision::Reply(Ok(Reply::Continue));
        }
        batch.chunks.insert(id);
        let record = Record::Progressed {
            job: job.clone(),
            chunk: *chunk,
            attempt: *attempt,
            part: *part,
            done: *done,
            failed: *failed,
            disposition: *disposition,
        };
        Decision::Commit(vec![record], Reply::Continue)
    }

    fn is_current_holder(&self, job: &Job, chunk: u32, attempt: u32) -> bool {
        let Some(chunk) = job.chunks.get(chunk as usize) else {
            return false;
        };
        let is_current = chunk.attempt == attempt && chunk.holder.is_some();
        job.phase == Phase::Running && !chunk.done && (is_current || self.policy.without_fencing)
    }

    fn cancel(&self, batch: &mut Batch, job: &str) -> Decision {
        let Some(found) = self.jobs.get(job) else {
            return Decision::Reply(unknown_job(job));
        };
        if found.phase != Phase::Running {
            return Decision::Reply(Ok(Reply::Status(found.status())));
        }
        let is_touched = batch.chunks.iter().any(|(id, _)| id == job);
        if is_touched || !batch.cancelled.insert(job.to_owned()) {
            return Decision::Defer;
        }
        let mut status = found.status();
        status.phase = Phase::Cancelled;
        Decision::Commit(vec![Record::Cancelled { job: job.into() }], Reply::Status(status))
    }

    fn status(&self, job: &str) -> CommandResult {
        match self.jobs.get(job) {
            Some(found) => Ok(Reply::Status(found.status())),
            None => unknown_job(job),
        }
    }

    fn results(&self, job: &str, from: u64, limit: u64) -> CommandResult {
        let Some(found) = self.jobs.get(job) else {
            return unknown_job(job);
        };
        let (status, archived) = (found.status(), found.archived);
        Ok(Reply::Results { status, chunks: found.chunk_results(from, limit), archived })
    }

    fn archive(&self, job: &str) -> Decision {
        let is_due = self.jobs.get(job).is_some_and(|j| !j.archived && j.phase != Phase::Running);
        if !is_due {
            return Decision::Reply(Ok(Reply::Recorded));
        }
        Decision::Commit(vec![Record::Archived { job: job.into() }], Reply::Recorded)
    }

    /// Applies the log entry at [`Shard::next_position`]. The claim timeout of
    /// holders in the entry starts at `now`, the reader's clock.
    pub fn apply(&mut self, entry: Entry, now: Millis) {
        let position = self.next;
        for record in entry.records {
            self.apply_record(record, position, now);
        }
        self.next += 1;
    }

    fn apply_record(&mut self, record: Record, position: u64, now: Millis) {
        match record {
            Record::Claimed { key, digest, attempt, deadline, issued } => {
                self.keys.on_claimed(key, Claim { digest, attempt, deadline, issued });
            }
            Record::Released { key, attempt, issued } => {
                self.keys.on_released(&key, attempt, issued);
            }
            Record::Finished { key, digest, issued, .. } => {
                self.running.remove(&key);
                let is_first = self.keys.on_finished(&key, Finished { digest, position, issued });
                self.duplicate_outcomes += u64::from(!is_first);
            }
            Record::Accepted(spec) => self.jobs.on_accepted(spec, now),
            Record::Assigned { job, chunk, attempt, holder } => {
                self.jobs.on_assigned(&job, chunk, attempt, holder, now);
            }
            Record::Progressed { job, chunk, part, done, failed, disposition, .. } => {
                self.jobs.on_progressed(&(job, chunk), part, (done, failed), disposition, now);
            }
            Record::Cancelled { job } => self.jobs.on_cancelled(&job),
            Record::Archived { job } => self.jobs.on_archived(&job),
        }
    }

    /// Records a heartbeat of a chunk's holder.
    pub fn on_heartbeat(&mut self, job: &str, chunk: u32, now: Millis) {
        self.jobs.on_heartbeat(job, chunk, now);
    }

    /// Lets chunks of lost holders be assigned again at once. Returns whether any
    /// chunk was newly reclaimed.
    pub fn reclaim_lost(&mut self, is_lost: impl Fn(u64) -> bool) -> bool {
        self.jobs.reclaim_lost(is_lost)
    }

    /// Renews the claims of all holders, after the platform was unavailable and
    /// none could report.
    pub fn renew_leases(&mut self, now: Millis) {
        self.jobs.renew_leases(now);
    }

    /// Records that a running request ended without an outcome to store.
    pub fn on_abandoned(&mut self, key: &str, attempt: u64) {
        if self.running.get(key).is_some_and(|(running, ..)| *running == attempt) {
            self.running.remove(key);
        }
    }

    /// Removes keys and jobs older than the retention window; returns the removed
    /// jobs so that the caller can delete their objects.
    pub fn expire(&mut self, now: Millis) -> Vec<Job> {
        let before = now.saturating_sub(self.policy.retention.as_millis() as Millis);
        self.keys.expire(before);
        self.jobs.expire(before)
    }
}

/// Number of tracked requests above which those past their deadline are removed.
const RUNNING_CLEANUP_SIZE: usize = 4096;
