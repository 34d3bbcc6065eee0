//! Owners of one shard, their log, and the invariants that they must keep.

use super::{Action, CHUNK, ITEMS, OWNERS, WriteResult};
use coordination::append_log::{Append, Step};
use protocol::chat;
use protocol::job::Phase;
use state::command::{Command, CommandResult, Reply};
use state::part::ResultPartRef;
use state::record::{Disposition, Entry, JobSpec, StoredOutcome};
use state::shard::{Batch, Decision, Policy, Shard};
use std::collections::{BTreeSet, HashMap, HashSet};

/// A chunk assigned to a holder, and the items that remain for it.
struct Assignment {
    chunk: u32,
    attempt: u32,
    items: Vec<u64>,
    parts: u32,
}

pub struct World {
    policy: Policy,
    log: Vec<Entry>,
    owners: Vec<Shard>,
    now: u64,
    tokens: u64,
    attempts: u64,
    sent: HashMap<u8, u32>,
    outcomes: HashMap<u8, u64>,
    assignments: Vec<Assignment>,
    /// Items in each result object, by chunk, assignment and number.
    parts: HashMap<(u32, u32, u32), Vec<u64>>,
    recorded: BTreeSet<(u32, u64)>,
    cancelled: bool,
}

impl World {
    pub fn new(policy: Policy) -> World {
        let mut world = World {
            policy,
            log: Vec::new(),
            owners: (0..OWNERS).map(|_| Shard::new(0, policy)).collect(),
            now: 1_000_000,
            tokens: 0,
            attempts: 0,
            sent: HashMap::new(),
            outcomes: HashMap::new(),
            assignments: Vec::new(),
            parts: HashMap::new(),
            recorded: BTreeSet::new(),
            cancelled: false,
        };
        let spec = JobSpec {
            job: "job-1".into(),
            digest: 1,
            upload: "u".into(),
            service: "s".into(),
            due: 0,
            items: ITEMS,
            starts: (0..ITEMS).step_by(CHUNK as usize).collect(),
            accepted_at: 0,
        };
        let accepted = world.submit(0, WriteResult::Written, &Command::Accept(spec));
        assert_eq!(accepted, Some(Ok(Reply::Recorded)));
        world
    }

    fn catch_up(&mut self, owner: usize) {
        let shard = &mut self.owners[owner];
        while let Some(entry) = self.log.get(shard.next_position() as usize) {
            shard.apply(entry.clone(), self.now);
        }
    }

    /// Submits a command to one owner, and retries after conflicts as the
    /// committer does; `None` when the caller gets no reply.
    fn submit(
        &mut self,
        owner: usize,
        write_result: WriteResult,
        command: &Command,
    ) -> Option<CommandResult> {
        loop {
            let shard = &mut self.owners[owner];
            if let Command::Progress { job, chunk, .. } = command {
                shard.on_heartbeat(job, *chunk, self.now);
            }
            let decision = shard.decide(&mut Batch::default(), command, self.now);
            let (records, reply) = match decision {
                Decision::Reply(reply) => return Some(reply),
                Decision::Defer => return None,
                Decision::Commit(records, reply) => (records, reply),
            };
            self.tokens += 1;
            let token = format!("{owner}-{}", self.tokens);
            let append = Append::new(shard.next_position(), token.clone());
            let entry = Entry { token, at: self.now, records };
            match self.append(&append, &entry, write_result) {
                Some(true) => {
                    self.catch_up(owner);
                    return Some(Ok(reply));
                }
                Some(false) => self.catch_up(owner),
                None => return None,
            }
        }
    }

    /// `true` when committed, `false` after a conflict, `None` when unknown.
    fn append(
        &mut self,
        append: &Append,
        entry: &Entry,
        write_result: WriteResult,
    ) -> Option<bool> {
        let position = append.position() as usize;
        let is_taken = position < self.log.len();
        let mut step = match write_result {
            WriteResult::NotWritten => return None,
            _ if is_taken => append.on_exists(),
            WriteResult::Written => {
                self.log.push(entry.clone());
                append.on_created()
            }
            WriteResult::ResponseLost => {
                self.log.push(entry.clone());
                append.on_unknown()
            }
        };
        if step == Step::ReadBack {
            step = append.on_read(self.log.get(position).map(|found| found.token.as_str()));
        }
        match step {
            Step::Committed => Some(true),
            Step::Conflict => Some(false),
            Step::ReadBack | Step::RetryCreate => None,
        }
    }

    pub fn act(
        &mut self,
        owner: usize,
        write_result: WriteResult,
        action: &Action,
    ) -> Result<(), String> {
        match action {
            Action::Send { key, is_released } => self.send(owner, write_result, *key, *is_released),
            Action::Finish { key } => self.finish(owner, write_result, *key),
            Action::Claim { holder } => self.claim(owner, write_result, *holder),
            Action::Report { assignment, items, releases } => {
                self.report(owner, write_result, *assignment, *items, *releases)
            }
            Action::Cancel => {
                let command = Command::Cancel { job: "job-1".into() };
                let reply = self.submit(owner, write_result, &command);
                if let Some(Ok(Reply::Status(status))) = reply {
                    self.cancelled |= status.phase == Phase::Cancelled;
                }
                Ok(())
            }
            Action::Wait { millis } => {
                self.now += millis;
                Ok(())
            }
            Action::CatchUp => {
                self.catch_up(owner);
                Ok(())
            }
            Action::Restart => {
                self.owners[owner] = Shard::new(0, self.policy);
                self.catch_up(owner);
                Ok(())
            }
        }
    }

    /// Begins a request, and sends it if the owner lets it proceed; each request
    /// may be sent once.
    fn send(
        &mut self,
        owner: usize,
        write_result: WriteResult,
        key: u8,
        is_released: bool,
    ) -> Result<(), String> {
        self.attempts += 1;
        let attempt = self.attempts;
        let command = Command::Begin {
            key: format!("k{key}"),
            digest: 7,
            repeatable: false,
            attempt,
            deadline: self.now + 5_000,
            issued: 1_000_000,
        };
        let reply = self.submit(owner, write_result, &command);
        if matches!(reply, Some(Ok(Reply::Proceed))) && !is_released {
            let sent = self.sent.entry(key).or_insert(0);
            *sent += 1;
            if *sent > 1 {
                return Err(format!("request {key} was sent twice"));
            }
            return Ok(());
        }
        if reply.is_none() || is_released {
            // The attempt was never sent: any owner can release it.
            let key = format!("k{key}");
            let release = Command::Release { key, attempt, issued: 1_000_000 };
            self.submit((owner + 1) % OWNERS, WriteResult::Written, &release);
        }
        Ok(())
    }

    fn finish(&mut self, owner: usize, write_result: WriteResult, key: u8) -> Result<(), String> {
        if !self.sent.contains_key(&key) {
            return Ok(());
        }
        let text = format!("text {}", self.tokens);
        let outcome = StoredOutcome::Chat(chat::Outcome { text, finish: "stop".into(), tokens: 1 });
        let command =
            Command::Finish { key: format!("k{key}"), digest: 7, issued: 1_000_000, outcome };
        let reply = self.submit(owner, write_result, &command);
        let position = match reply {
            Some(Ok(Reply::Recorded)) => self.owners[owner].next_position() - 1,
            Some(Ok(Reply::Duplicate { position })) => position,
            _ => return Ok(()),
        };
        match self.outcomes.insert(key, position) {
            Some(before) if before != position => {
                Err(format!("request {key} has its outcome at {before} and at {position}"))
            }
            _ => Ok(()),
        }
    }

    fn claim(
        &mut self,
        owner: usize,
        write_result: WriteResult,
        holder: u64,
    ) -> Result<(), String> {
        let command = Command::Claim { holder, services: vec!["s".into()] };
        let Some(Ok(Reply::Work(work))) = self.submit(owner, write_result, &command) else {
            return Ok(());
        };
        // Items in the result objects of earlier assignments are not run again.
        let done: HashSet<u64> = self.done_by(work.chunk, &work.parts);
        let items = (0..CHUNK).filter(|item| !done.contains(item)).collect();
        let (chunk, attempt) = (work.chunk, work.attempt);
        self.assignments.push(Assignment { chunk, attempt, items, parts: 0 });
        Ok(())
    }

    fn done_by(&self, chunk: u32, parts: &[ResultPartRef]) -> HashSet<u64> {
        let written = |part: &ResultPartRef| self.parts.get(&(chunk, part.attempt, part.part));
        parts.iter().filter_map(written).flatten().copied().collect()
    }

    /// Reports the next items of an assignment, which may be superseded by now.
    fn report(
        &mut self,
        owner: usize,
        write_result: WriteResult,
        assignment: usize,
        items: usize,
        releases: bool,
    ) -> Result<(), String> {
        if self.assignments.is_empty() {
            return Ok(());
        }
        let index = assignment % self.assignments.len();
        let assignment = &self.assignments[index];
        let (chunk, attempt, part) = (assignment.chunk, assignment.attempt, assignment.parts);
        let done: Vec<u64> = assignment.items.iter().take(items).copied().collect();
        let disposition = match (done.len() == assignment.items.len(), releases) {
            (true, _) => Disposition::Done,
            (false, true) => Disposition::Release,
            (false, false) => Disposition::Continue,
        };
        let written = (!done.is_empty()).then_some(ResultPartRef { attempt, part });
        if written.is_some() {
            self.parts.insert((chunk, attempt, part), done.clone());
        }
        let command = Command::Progress {
            job: "job-1".into(),
            chunk,
            attempt,
            part: written,
            done: done.len() as u32,
            failed: 0,
            disposition,
        };
        match self.submit(owner, write_result, &command) {
            Some(Ok(Reply::Continue)) => self.on_recorded(index, &done, disposition),
            Some(_) => {
                self.assignments.remove(index);
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn on_recorded(
        &mut self,
        index: usize,
        done: &[u64],
        disposition: Disposition,
    ) -> Result<(), String> {
        let chunk = self.assignments[index].chunk;
        for item in done {
            if !self.recorded.insert((chunk, *item)) {
                return Err(format!("item {item} of chunk {chunk} has two outcomes"));
            }
        }
        if self.cancelled && !done.is_empty() {
            return Err(format!("chunk {chunk} got an outcome after the cancel"));
        }
        let assignment = &mut self.assignments[index];
        assignment.items.drain(..done.len());
        assignment.parts += u32::from(!done.is_empty());
        if disposition != Disposition::Continue {
            self.assignments.remove(index);
        }
        Ok(())
    }

    /// Checks that all owners reach the same state as a replay of the whole log.
    pub fn check(&mut self) -> Result<(), String> {
        for owner in 0..OWNERS {
            self.catch_up(owner);
        }
        let mut replayed = Shard::new(0, self.policy);
        for entry in &self.log {
            replayed.apply(entry.clone(), self.now);
        }
        let done = |shard: &Shard| shard.jobs().get("job-1").map(|job| job.done);
        if done(&replayed) != Some(self.recorded.len() as u64) {
            return Err(format!(
                "{:?} outcomes counted, {} are",
                done(&replayed),
                self.recorded.len()
            ));
        }
        let agree = self
            .owners
            .iter()
            .all(|owner| owner.keys() == replayed.keys() && done(owner) == done(&replayed));
        if agree { Ok(()) } else { Err("owners disagree on the same log".into()) }
    }
}
