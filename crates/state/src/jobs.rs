//! Jobs of one shard and the chunks they are handed out in.

use crate::command::{ChunkAssignment, ChunkResults};
use crate::part::ResultPartRef;
use crate::record::{Disposition, JobSpec};
use protocol::job::{Phase, Status};
use protocol::{InstanceId, JobId, Millis};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A chunk of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Hand-outs so far.
    pub attempt: u32,
    /// Who runs it now.
    pub holder: Option<InstanceId>,
    /// Whether all its items have outcomes.
    pub done: bool,
    /// Its result objects, in the order that counts.
    pub parts: Vec<ResultPartRef>,
}

/// A job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// What was accepted.
    pub spec: JobSpec,
    /// Where it stands.
    pub phase: Phase,
    /// Items with an outcome.
    pub done: u64,
    /// Of those, failed.
    pub failed: u64,
    /// Hand-outs in all.
    pub claims: u64,
    /// Its chunks; empty once the job is archived.
    pub chunks: Vec<Chunk>,
    /// Whether the index object holds the chunks' parts.
    pub archived: bool,
}

impl Job {
    fn new(spec: JobSpec) -> Job {
        let chunks = vec![Chunk::default(); spec.starts.len()];
        Job { spec, phase: Phase::Running, done: 0, failed: 0, claims: 0, chunks, archived: false }
    }

    /// Status as callers see it.
    pub fn status(&self) -> Status {
        Status {
            job: self.spec.job.clone(),
            service: self.spec.service.clone(),
            phase: self.phase,
            items: self.spec.items,
            done: self.done,
            failed: self.failed,
            due: self.spec.due,
            claims: self.claims,
        }
    }

    /// First item of chunk `index`, and the item after its last.
    pub fn span(&self, index: usize) -> (u64, u64) {
        let starts = &self.spec.starts;
        let end = starts.get(index + 1).copied().unwrap_or(self.spec.items);
        (starts[index], end)
    }

    /// Places of the chunks that hold items `from..from + most`.
    pub fn chunk_results(&self, from: u64, most: u64) -> Vec<ChunkResults> {
        let until = from.saturating_add(most);
        let spans = (0..self.chunks.len()).map(|i| (i, self.span(i)));
        let wanted = spans.filter(|(_, (start, end))| *start < until && *end > from);
        wanted
            .map(|(i, (start, end))| ChunkResults {
                chunk: i as u32,
                start,
                end,
                parts: self.chunks[i].parts.clone(),
            })
            .collect()
    }

    fn work(&self, index: u32) -> ChunkAssignment {
        let chunk = &self.chunks[index as usize];
        ChunkAssignment {
            job: self.spec.job.clone(),
            upload: self.spec.upload.clone(),
            service: self.spec.service.clone(),
            due: self.spec.due,
            chunk: index,
            attempt: chunk.attempt + 1,
            parts: chunk.parts.clone(),
        }
    }
}

/// A chunk, named.
pub type ChunkId = (JobId, u32);

/// All jobs of a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Jobs {
    jobs: BTreeMap<JobId, Job>,
    /// Running jobs by due time (none is last), then by acceptance.
    order: BTreeSet<(Millis, Millis, JobId)>,
    /// Chunks of running jobs that nobody runs.
    unassigned: BTreeMap<JobId, BTreeSet<u32>>,
    /// Chunks that somebody runs, with the time of the last sign of life.
    assigned: BTreeMap<ChunkId, Millis>,
}

impl Jobs {
    /// A job.
    pub fn get(&self, job: &str) -> Option<&Job> {
        self.jobs.get(job)
    }

    /// All jobs, for a snapshot.
    pub fn all(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Jobs that have ended but whose index isn't written.
    pub fn to_archive(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().filter(|j| j.phase != Phase::Running && !j.archived)
    }

    /// Whether any chunk waits to be run.
    pub fn has_unassigned(&self) -> bool {
        !self.unassigned.is_empty()
    }

    /// Jobs as a snapshot gives them; holders get a whole claim time from `now`.
    pub fn restore(list: Vec<Job>, now: Millis) -> Jobs {
        let mut jobs = Jobs::default();
        for job in list {
            jobs.insert(job, now);
        }
        jobs
    }

    fn insert(&mut self, job: Job, now: Millis) {
        let id = job.spec.job.clone();
        if job.phase == Phase::Running {
            self.order.insert(order_of(&job.spec));
            for (index, chunk) in job.chunks.iter().enumerate() {
                let index = index as u32;
                match (chunk.done, chunk.holder) {
                    (true, _) => {}
                    (false, Some(_)) => drop(self.assigned.insert((id.clone(), index), now)),
                    (false, None) => {
                        self.unassigned.entry(id.clone()).or_default().insert(index);
                    }
                }
            }
        }
        self.jobs.insert(id, job);
    }

    /// The next chunk to hand out for one of `services`, leaving out `taken`.
    ///
    /// The earliest due job goes first; within it, chunks in order. A chunk
    /// whose holder has been silent since before `silent` goes out again.
    pub fn next_chunk(
        &self,
        services: &[String],
        taken: &BTreeSet<ChunkId>,
        silent: Millis,
    ) -> Option<ChunkAssignment> {
        let jobs = self.order.iter().filter_map(|(_, _, id)| self.jobs.get(id));
        let fitting = jobs.filter(|job| services.contains(&job.spec.service));
        fitting.into_iter().find_map(|job| self.next_chunk_of(job, taken, silent))
    }

    fn next_chunk_of(
        &self,
        job: &Job,
        taken: &BTreeSet<ChunkId>,
        silent: Millis,
    ) -> Option<ChunkAssignment> {
        let id = &job.spec.job;
        let is_free = |chunk: &u32| !taken.contains(&(id.clone(), *chunk));
        let open = self.unassigned.get(id).and_then(|set| set.iter().copied().find(is_free));
        let lapsed = || {
            let range = self.assigned.range((id.clone(), 0)..=(id.clone(), u32::MAX));
            let silent = range.filter(|(_, heard)| **heard < silent).map(|((_, c), _)| *c);
            silent.into_iter().find(is_free)
        };
        open.or_else(lapsed).map(|chunk| job.work(chunk))
    }

    /// A holder gave a sign of life.
    pub fn on_heartbeat(&mut self, job: &str, chunk: u32, now: Millis) {
        if let Some(heard) = self.assigned.get_mut(&(job.to_owned(), chunk)) {
            *heard = now;
        }
    }

    /// Chunks of holders that are known to be gone may go out at once.
    /// Returns whether there were any that hadn't been found before.
    pub fn reclaim_expired(&mut self, is_gone: impl Fn(InstanceId) -> bool) -> bool {
        let jobs = &self.jobs;
        let holder = |(job, chunk): &ChunkId| {
            let chunk = jobs.get(job).and_then(|j| j.chunks.get(*chunk as usize));
            chunk.and_then(|c| c.holder)
        };
        let gone = |id: &ChunkId| holder(id).is_some_and(&is_gone);
        let found = self.assigned.iter_mut().filter(|(id, heard)| **heard > 0 && gone(id));
        found.map(|(_, heard)| *heard = 0).count() > 0
    }

    /// Holders couldn't report until now: each gets a whole claim time again.
    pub fn renew_leases(&mut self, now: Millis) {
        self.assigned.values_mut().for_each(|heard| *heard = now);
    }

    /// Folds an acceptance; the first one counts.
    pub fn on_accepted(&mut self, spec: JobSpec, now: Millis) {
        if !self.jobs.contains_key(&spec.job) {
            self.insert(Job::new(spec), now);
        }
    }

    /// Folds a hand-out.
    pub fn on_assigned(
        &mut self,
        job: &str,
        chunk: u32,
        attempt: u32,
        holder: InstanceId,
        now: Millis,
    ) {
        let Some(found) = self.jobs.get_mut(job) else {
            return;
        };
        let Some(entry) = found.chunks.get_mut(chunk as usize) else {
            return;
        };
        entry.attempt = attempt;
        entry.holder = Some(holder);
        found.claims += 1;
        self.take_open(job, chunk);
        self.assigned.insert((job.to_owned(), chunk), now);
    }

    /// Folds a progress report.
    pub fn on_progressed(
        &mut self,
        id: &ChunkId,
        part: Option<ResultPartRef>,
        counts: (u32, u32),
        after: Disposition,
        now: Millis,
    ) {
        let (job, chunk) = id;
        let Some(found) = self.jobs.get_mut(job) else {
            return;
        };
        let Some(entry) = found.chunks.get_mut(*chunk as usize) else {
            return;
        };
        entry.parts.extend(part);
        found.done += u64::from(counts.0);
        found.failed += u64::from(counts.1);
        match after {
            Disposition::Continue => drop(self.assigned.insert(id.clone(), now)),
            Disposition::Release => {
                entry.holder = None;
                self.assigned.remove(id);
                self.unassigned.entry(job.clone()).or_default().insert(*chunk);
            }
            Disposition::Done => {
                entry.holder = None;
                entry.done = true;
                self.assigned.remove(id);
                self.end_if_done(job);
            }
        }
    }

    /// Folds a cancel; one that comes after the end changes nothing.
    pub fn on_cancelled(&mut self, job: &str) {
        if let Some(found) = self.jobs.get_mut(job)
            && found.phase == Phase::Running
        {
            found.phase = Phase::Cancelled;
            self.close(job);
        }
    }

    /// Folds the note that the index is written.
    pub fn on_archived(&mut self, job: &str) {
        if let Some(found) = self.jobs.get_mut(job) {
            found.archived = true;
            found.chunks = Vec::new();
        }
    }

    /// Forgets jobs accepted before `before` that have ended, and gives them back
    /// so that their objects can be deleted.
    pub fn expire(&mut self, before: Millis) -> Vec<Job> {
        let is_old = |job: &Job| job.archived && job.spec.at < before;
        let old: Vec<JobId> =
            self.jobs.values().filter(|job| is_old(job)).map(|job| job.spec.job.clone()).collect();
        old.iter().filter_map(|id| self.jobs.remove(id)).collect()
    }

    fn end_if_done(&mut self, job: &str) {
        let Some(found) = self.jobs.get_mut(job) else {
            return;
        };
        if found.phase == Phase::Running && found.chunks.iter().all(|c| c.done) {
            found.phase = Phase::Finished;
            self.close(job);
        }
    }

    fn close(&mut self, job: &str) {
        if let Some(found) = self.jobs.get(job) {
            self.order.remove(&order_of(&found.spec));
        }
        self.unassigned.remove(job);
        self.assigned.retain(|(id, _), _| id != job);
    }

    fn take_open(&mut self, job: &str, chunk: u32) {
        if let Some(set) = self.unassigned.get_mut(job) {
            set.remove(&chunk);
            if set.is_empty() {
                self.unassigned.remove(job);
            }
        }
    }
}

fn order_of(spec: &JobSpec) -> (Millis, Millis, JobId) {
    let due = if spec.due == 0 { Millis::MAX } else { spec.due };
    (due, spec.at, spec.job.clone())
}
