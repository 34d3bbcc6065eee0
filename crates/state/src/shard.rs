//! One shard: decides commands, folds records.

mod policy;
mod refusal;

pub use policy::Policy;

use crate::command::{Answer, Command, Reply};
use crate::jobs::{ChunkId, Job, Jobs};
use crate::keys::{Claim, Finished, Keys};
use crate::record::{Disposition, Entry, JobSpec, Record, StoredOutcome};
use protocol::job::Phase;
use protocol::{Kind, Millis, ShardId};
use refusal::{conflict, in_progress, refuse, refuse_claimed, unknown_job};
use std::collections::{BTreeSet, HashMap, HashSet};

/// What one entry under construction already touches.
///
/// Commands are decided against what is durable. Two commands on the same key
/// or chunk can't share an entry, or the second would be decided on a state
/// that doesn't know the first.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    subjects: HashSet<String>,
    chunks: BTreeSet<ChunkId>,
    cancelled: HashSet<String>,
}

/// What becomes of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is answered from what is durable.
    Answer(Answer),
    /// These records must be durable first; then this is the answer.
    Commit(Vec<Record>, Reply),
    /// It must wait for the entry under construction.
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
    /// Repeatable requests that run now: not durable, spares double work only.
    running: HashMap<String, (u64, u64, Millis)>,
    duplicate_outcomes: u64,
}

impl Shard {
    /// An empty shard.
    pub fn new(id: ShardId, policy: Policy) -> Shard {
        Shard::restore(id, policy, 0, Keys::default(), Jobs::default())
    }

    /// A shard as a snapshot gives it, with `next` the first entry not folded.
    pub fn restore(id: ShardId, policy: Policy, next: u64, keys: Keys, jobs: Jobs) -> Shard {
        Shard { id, policy, next, keys, jobs, running: HashMap::new(), duplicate_outcomes: 0 }
    }

    /// Its number.
    pub fn id(&self) -> ShardId {
        self.id
    }

    /// Position of the next entry.
    pub fn next_position(&self) -> u64 {
        self.next
    }

    /// Its keys.
    pub fn keys(&self) -> &Keys {
        &self.keys
    }

    /// Its jobs.
    pub fn jobs(&self) -> &Jobs {
        &self.jobs
    }

    /// Outcomes that came after the first one and were dropped.
    pub fn duplicate_outcomes(&self) -> u64 {
        self.duplicate_outcomes
    }

    /// Decides `command` against what is durable.
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
            Command::Status { job } => Decision::Answer(self.status(job)),
            Command::Results { job, from, limit } => {
                Decision::Answer(self.results(job, *from, *limit))
            }
            Command::Archive { job } => self.archive(job),
        }
    }

    fn begin(&self, batch: &mut Batch, command: &Command, now: Millis) -> Decision {
        let Command::Begin { key, digest, repeatable, attempt, deadline, issued } = command else {
            return Decision::Defer;
        };
        if self.keys.is_released(*attempt) {
            return Decision::Answer(refuse(
                Kind::PlatformUnavailable,
                "the attempt was given back",
            ));
        }
        if let Some(refusal) = self.refuse_key(key, *digest, *attempt, *issued, now) {
            return Decision::Answer(refusal);
        }
        if *repeatable {
            return Decision::Answer(Ok(Reply::Proceed));
        }
        if !batch.subjects.insert(key.clone()) {
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

    fn refuse_key(
        &self,
        key: &str,
        digest: u64,
        attempt: u64,
        issued: Millis,
        now: Millis,
    ) -> Option<Answer> {
        if issued + self.policy.retention.as_millis() as Millis <= now {
            return Some(refuse(
                Kind::KeyExpired,
                "the key was issued before the retention window",
            ));
        }
        if let Some(finished) = self.keys.finished(key) {
            let same = finished.digest == digest;
            let kept = Reply::AlreadyFinished { position: finished.position };
            return Some(if same { Ok(kept) } else { conflict() });
        }
        if let Some(claim) = self.keys.claim(key)
            && !self.policy.without_claims
        {
            return Some(refuse_claimed(claim, digest, attempt, now));
        }
        let (other, running, deadline) = self.running.get(key).copied()?;
        if other == attempt || deadline <= now {
            return None;
        }
        Some(if running == digest { in_progress(deadline, now) } else { conflict() })
    }

    /// Notes that a repeatable request runs, so that a resend waits for it.
    pub fn track_running(&mut self, command: &Command, now: Millis) {
        if let Command::Begin { key, digest, repeatable: true, attempt, deadline, .. } = command {
            if self.running.len() > RUNNING_SWEEP {
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
            let earlier = Reply::Duplicate { position: finished.position };
            return Decision::Answer(if finished.digest == digest {
                Ok(earlier)
            } else {
                conflict()
            });
        }
        if !batch.subjects.insert(key.to_owned()) {
            return Decision::Defer;
        }
        let key = key.to_owned();
        let record = Record::Finished { key, digest, issued, outcome: outcome.clone() };
        Decision::Commit(vec![record], Reply::Recorded)
    }

    fn release(&self, batch: &mut Batch, key: &str, attempt: u64, issued: Millis) -> Decision {
        if self.keys.is_released(attempt) {
            return Decision::Answer(Ok(Reply::Recorded));
        }
        if !batch.subjects.insert(key.to_owned()) {
            return Decision::Defer;
        }
        // Recorded also when there is no claim: its append may still land.
        let record = Record::Released { key: key.into(), attempt, issued };
        Decision::Commit(vec![record], Reply::Recorded)
    }

    fn accept(&self, batch: &mut Batch, spec: &JobSpec) -> Decision {
        if let Some(job) = self.jobs.get(&spec.job) {
            let same = job.spec.digest == spec.digest;
            return Decision::Answer(if same {
                Ok(Reply::Status(job.status()))
            } else {
                conflict()
            });
        }
        if !batch.subjects.insert(spec.job.clone()) {
            return Decision::Defer;
        }
        Decision::Commit(vec![Record::Accepted(spec.clone())], Reply::Recorded)
    }

    fn claim(&self, batch: &mut Batch, holder: u64, services: &[String], now: Millis) -> Decision {
        let silent = now.saturating_sub(self.policy.claim_timeout.as_millis() as Millis);
        let Some(work) = self.jobs.next_chunk(services, &batch.chunks, silent) else {
            return Decision::Answer(Ok(Reply::NoWork));
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
        let Some(found) = self.jobs.get(job).filter(|found| self.is_held(found, *chunk, *attempt))
        else {
            return Decision::Answer(Ok(Reply::Stop));
        };
        let known = found.chunks[*chunk as usize].parts.iter().any(|known| Some(*known) == *part);
        if known || (part.is_none() && *disposition == Disposition::Continue) {
            return Decision::Answer(Ok(Reply::Continue));
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

    fn is_held(&self, job: &Job, chunk: u32, attempt: u32) -> bool {
        let Some(chunk) = job.chunks.get(chunk as usize) else {
            return false;
        };
        let is_current = chunk.attempt == attempt && chunk.holder.is_some();
        job.phase == Phase::Running && !chunk.done && (is_current || self.policy.without_fencing)
    }

    fn cancel(&self, batch: &mut Batch, job: &str) -> Decision {
        let Some(found) = self.jobs.get(job) else {
            return Decision::Answer(unknown_job(job));
        };
        if found.phase != Phase::Running {
            return Decision::Answer(Ok(Reply::Status(found.status())));
        }
        let touched = batch.chunks.iter().any(|(id, _)| id == job);
        if touched || !batch.cancelled.insert(job.to_owned()) {
            return Decision::Defer;
        }
        let mut status = found.status();
        status.phase = Phase::Cancelled;
        Decision::Commit(vec![Record::Cancelled { job: job.into() }], Reply::Status(status))
    }

    fn status(&self, job: &str) -> Answer {
        match self.jobs.get(job) {
            Some(found) => Ok(Reply::Status(found.status())),
            None => unknown_job(job),
        }
    }

    fn results(&self, job: &str, from: u64, most: u64) -> Answer {
        let Some(found) = self.jobs.get(job) else {
            return unknown_job(job);
        };
        let (status, archived) = (found.status(), found.archived);
        Ok(Reply::Results { status, chunks: found.chunk_results(from, most), archived })
    }

    fn archive(&self, job: &str) -> Decision {
        let is_due = self.jobs.get(job).is_some_and(|j| !j.archived && j.phase != Phase::Running);
        if !is_due {
            return Decision::Answer(Ok(Reply::Recorded));
        }
        Decision::Commit(vec![Record::Archived { job: job.into() }], Reply::Recorded)
    }

    /// Folds the entry at [`Shard::next`]. `now` is the reader's clock: holders
    /// found in it get a whole claim time from then.
    pub fn apply(&mut self, entry: Entry, now: Millis) {
        let position = self.next;
        for record in entry.records {
            self.fold(record, position, now);
        }
        self.next += 1;
    }

    fn fold(&mut self, record: Record, position: u64, now: Millis) {
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
            Record::Progressed { job, chunk, part, done, failed, disposition: after, .. } => {
                self.jobs.on_progressed(&(job, chunk), part, (done, failed), after, now);
            }
            Record::Cancelled { job } => self.jobs.on_cancelled(&job),
            Record::Archived { job } => self.jobs.on_archived(&job),
        }
    }

    /// A chunk's holder gave a sign of life.
    pub fn on_heartbeat(&mut self, job: &str, chunk: u32, now: Millis) {
        self.jobs.on_heartbeat(job, chunk, now);
    }

    /// Chunks of holders that are known to be gone may go out at once.
    /// Returns whether there were any that hadn't been found before.
    pub fn reclaim_lost(&mut self, is_gone: impl Fn(u64) -> bool) -> bool {
        self.jobs.reclaim_lost(is_gone)
    }

    /// The platform is reached again after a time in which no holder could report.
    pub fn renew_leases(&mut self, now: Millis) {
        self.jobs.renew_leases(now);
    }

    /// A request that was begun is over without an outcome to keep.
    pub fn on_abandoned(&mut self, key: &str, attempt: u64) {
        if self.running.get(key).is_some_and(|(running, ..)| *running == attempt) {
            self.running.remove(key);
        }
    }

    /// Forgets what is older than the retention window; returns the jobs among it.
    pub fn expire(&mut self, now: Millis) -> Vec<Job> {
        let before = now.saturating_sub(self.policy.retention.as_millis() as Millis);
        self.keys.expire(before);
        self.jobs.expire(before)
    }
}

const RUNNING_SWEEP: usize = 4096;
