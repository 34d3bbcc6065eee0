//! Jobs of one shard, and the chunks in which their items are assigned to
//! instances.

use crate::command::{ChunkAssignment, ChunkResults};
use crate::part::ResultPartRef;
use crate::record::{Disposition, JobSpec};
use protocol::job::{Phase, Status};
use protocol::{InstanceId, JobId, Millis};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// State of one chunk of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Number of assignments so far; fences reports of earlier ones.
    pub attempt: u32,
    /// Instance that runs it; `None` while it is unassigned or done.
    pub holder: Option<InstanceId>,
    /// Whether all its items have outcomes.
    pub done: bool,
    /// Result objects in the order in which they were recorded.
    pub parts: Vec<ResultPartRef>,
}

/// State of one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The job as it was accepted.
    pub spec: JobSpec,
    /// Running, finished or cancelled.
    pub phase: Phase,
    /// Number of items with an outcome.
    pub done: u64,
    /// Number of items among `done` that failed.
    pub failed: u64,
    /// Number of chunk assignments, repeated ones included.
    #[serde(rename = "claims")]
    pub assignments: u64,
    /// Its chunks; empty once the job is archived.
    pub chunks: Vec<Chunk>,
    /// Whether the index object holds the locations of the results.
    pub archived: bool,
}

impl Job {
    fn new(spec: JobSpec) -> Job {
        let chunks = vec![Chunk::default(); spec.starts.len()];
        Job {
            spec,
            phase: Phase::Running,
            done: 0,
            failed: 0,
            assignments: 0,
            chunks,
            archived: false,
        }
    }

    /// Status as the public API reports it.
    pub fn status(&self) -> Status {
        Status {
            job: self.spec.job.clone(),
            service: self.spec.service.clone(),
            phase: self.phase,
            items: self.spec.items,
            done: self.done,
            failed: self.failed,
            due: self.spec.due,
            claims: self.assignments,
        }
    }

    /// Index of the first item of chunk `index`, and the index after its last.
    pub fn item_range(&self, index: usize) -> (u64, u64) {
        let starts = &self.spec.starts;
        let end = starts.get(index + 1).copied().unwrap_or(self.spec.items);
        (starts[index], end)
    }

    /// Result locations of the chunks that overlap items `from..from + limit`.
    pub fn chunk_results(&self, from: u64, limit: u64) -> Vec<ChunkResults> {
        let until = from.saturating_add(limit);
        let ranges = (0..self.chunks.len()).map(|i| (i, self.item_range(i)));
        let wanted = ranges.filter(|(_, (start, end))| *start < until && *end > from);
        wanted
            .map(|(i, (start, end))| ChunkResults {
                chunk: i as u32,
                start,
                end,
                parts: self.chunks[i].parts.clone(),
            })
            .collect()
    }

    fn assignment(&self, index: u32) -> ChunkAssignment {
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

/// Job id and index of a chunk within the job.
pub type ChunkId = (JobId, u32);

/// All jobs of a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Jobs {
    jobs: BTreeMap<JobId, Job>,
    /// Running jobs by due time (those without one last), then by acceptance.
    by_due: BTreeSet<(Millis, Millis, JobId)>,
    /// Chunks of running jobs without a holder.
    unassigned: BTreeMap<JobId, BTreeSet<u32>>,
    /// Chunks with a holder, and the time of its last heartbeat.
    assigned: BTreeMap<ChunkId, Millis>,
}

impl Jobs {
    /// The job with this id, if the shard knows it.
    pub fn get(&self, job: &str) -> Option<&Job> {
        self.jobs.get(job)
    }

    /// All jobs, for a snapshot.
    pub fn all(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Finished or cancelled jobs whose index isn't written yet.
    pub fn to_archive(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().filter(|j| j.phase != Phase::Running && !j.archived)
    }

    /// Whether any chunk of a running job has no holder.
    pub fn has_unassigned(&self) -> bool {
        !self.unassigned.is_empty()
    }

    /// Restores jobs from a snapshot; the claims of holders are renewed at `now`.
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
            self.by_due.insert(due_order(&job.spec));
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

    /// The next chunk to assign for one of `services`, except `excluded` ones.
    ///
    /// Jobs are served by due time, and chunks within a job in order. A chunk
    /// whose last heartbeat is older than `stale_before` is assigned again.
    pub fn next_chunk(
        &self,
        services: &[String],
        excluded: &BTreeSet<ChunkId>,
        stale_before: Millis,
    ) -> Option<ChunkAssignment> {
        let jobs = self.by_due.iter().filter_map(|(_, _, id)| self.jobs.get(id));
        let matching = jobs.filter(|job| services.contains(&job.spec.service));
        matching.into_iter().find_map(|job| self.next_chunk_of(job, excluded, stale_before))
    }

    fn next_chunk_of(
        &self,
        job: &Job,
        excluded: &BTreeSet<ChunkId>,
        stale_before: Millis,
    ) -> Option<ChunkAssignment> {
        let id = &job.spec.job;
        let is_free = |chunk: &u32| !excluded.contains(&(id.clone(), *chunk));
        let unassigned = self.unassigned.get(id).and_then(|set| set.iter().copied().find(is_free));
        let expired = || {
            let range = self.assigned.range((id.clone(), 0)..=(id.clone(), u32::MAX));
            let stale = range.filter(|(_, at)| **at < stale_before).map(|((_, c), _)| *c);
            stale.into_iter().find(is_free)
        };
        unassigned.or_else(expired).map(|chunk| job.assignment(chunk))
    }

    /// Records a heartbeat of a chunk's holder.
    pub fn on_heartbeat(&mut self, job: &str, chunk: u32, now: Millis) {
        if let Some(last_heartbeat) = self.assigned.get_mut(&(job.to_owned(), chunk)) {
            *last_heartbeat = now;
        }
    }

    /// Lets chunks of lost holders be assigned again at once, without waiting
    /// for the claim timeout. Returns whether any chunk was newly reclaimed.
    pub fn reclaim_lost(&mut self, is_lost: impl Fn(InstanceId) -> bool) -> bool {
        let jobs = &self.jobs;
        let holder = |(job, chunk): &ChunkId| {
            let chunk = jobs.get(job).and_then(|j| j.chunks.get(*chunk as usize));
            chunk.and_then(|c| c.holder)
        };
        let lost = |id: &ChunkId| holder(id).is_some_and(&is_lost);
        let found = self.assigned.iter_mut().filter(|(id, at)| **at > 0 && lost(id));
        found.map(|(_, at)| *at = 0).count() > 0
    }

    /// Renews the claims of all holders, after a time in which none could report.
    pub fn renew_leases(&mut self, now: Millis) {
        self.assigned.values_mut().for_each(|last_heartbeat| *last_heartbeat = now);
    }

    /// Applies an acceptance; a repeated one has no effect.
    pub fn on_accepted(&mut self, spec: JobSpec, now: Millis) {
        if !self.jobs.contains_key(&spec.job) {
            self.insert(Job::new(spec), now);
        }
    }

    /// Applies an assignment.
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
        found.assignments += 1;
        self.remove_unassigned(job, chunk);
        self.assigned.insert((job.to_owned(), chunk), now);
    }

    /// Applies a progress report; `counts` are items with an outcome and failed
    /// ones among them.
    pub fn on_progressed(
        &mut self,
        id: &ChunkId,
        part: Option<ResultPartRef>,
        counts: (u32, u32),
        disposition: Disposition,
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
        match disposition {
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
                self.finish_if_complete(job);
            }
        }
    }

    /// Applies a cancellation; it has no effect once the job has ended.
    pub fn on_cancelled(&mut self, job: &str) {
        if let Some(found) = self.jobs.get_mut(job)
            && found.phase == Phase::Running
        {
            found.phase = Phase::Cancelled;
            self.dequeue(job);
        }
    }

    /// Records that the index is written, and drops the chunks it replaces.
    pub fn on_archived(&mut self, job: &str) {
        if let Some(found) = self.jobs.get_mut(job) {
            found.archived = true;
            found.chunks = Vec::new();
        }
    }

    /// Removes archived jobs that were accepted before `before`, and returns them
    /// so that the caller can delete their objects.
    pub fn expire(&mut self, before: Millis) -> Vec<Job> {
        let is_old = |job: &Job| job.archived && job.spec.accepted_at < before;
        let old: Vec<JobId> =
            self.jobs.values().filter(|job| is_old(job)).map(|job| job.spec.job.clone()).collect();
        old.iter().filter_map(|id| self.jobs.remove(id)).collect()
    }

    fn finish_if_complete(&mut self, job: &str) {
        let Some(found) = self.jobs.get_mut(job) else {
            return;
        };
        if found.phase == Phase::Running && found.chunks.iter().all(|c| c.done) {
            found.phase = Phase::Finished;
            self.dequeue(job);
        }
    }

    fn dequeue(&mut self, job: &str) {
        if let Some(found) = self.jobs.get(job) {
            self.by_due.remove(&due_order(&found.spec));
        }
        self.unassigned.remove(job);
        self.assigned.retain(|(id, _), _| id != job);
    }

    fn remove_unassigned(&mut self, job: &str, chunk: u32) {
        if let Some(set) = self.unassigned.get_mut(job) {
            set.remove(&chunk);
            if set.is_empty() {
                self.unassigned.remove(job);
            }
        }
    }
}

fn due_order(spec: &JobSpec) -> (Millis, Millis, JobId) {
    let due = if spec.due == 0 { Millis::MAX } else { spec.due };
    (due, spec.accepted_at, spec.job.clone())
}
