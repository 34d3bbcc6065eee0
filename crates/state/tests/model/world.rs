//! Owners of one shard, their chain, and what they have promised.

use super::{Action, CHUNK, Fate, ITEMS, OWNERS};
use coordination::append_log::{Append, Step};
use protocol::chat;
use protocol::job::Phase;
use state::command::{Answer, Command, Reply};
use state::part::ResultPartRef;
use state::record::{Disposition, Entry, JobSpec, StoredOutcome};
use state::shard::{Batch, Decision, Policy, Shard};
use std::collections::{BTreeSet, HashMap, HashSet};

/// A chunk in somebody's hands, and the items that he will run.
struct Hand {
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
    hands: Vec<Hand>,
    /// Result objects: what each report wrote, by chunk, hand-out and number.
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
            hands: Vec::new(),
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
            at: 0,
        };
        let accepted = world.submit(0, Fate::Sound, &Command::Accept(spec));
        assert_eq!(accepted, Some(Ok(Reply::Recorded)));
        world
    }

    fn catch_up(&mut self, owner: usize) {
        let shard = &mut self.owners[owner];
        while let Some(entry) = self.log.get(shard.next_position() as usize) {
            shard.apply(entry.clone(), self.now);
        }
    }

    /// Brings a command through one owner, as its committer does; `None` when
    /// the caller gets no answer.
    fn submit(&mut self, owner: usize, fate: Fate, command: &Command) -> Option<Answer> {
        loop {
            let shard = &mut self.owners[owner];
            if let Command::Progress { job, chunk, .. } = command {
                shard.on_heartbeat(job, *chunk, self.now);
            }
            let decision = shard.decide(&mut Batch::default(), command, self.now);
            let (records, reply) = match decision {
                Decision::Answer(answer) => return Some(answer),
                Decision::Defer => return None,
                Decision::Commit(records, reply) => (records, reply),
            };
            self.tokens += 1;
            let token = format!("{owner}-{}", self.tokens);
            let append = Append::new(shard.next_position(), token.clone());
            let entry = Entry { token, at: self.now, records };
            match self.drive(&append, &entry, fate) {
                Some(true) => {
                    self.catch_up(owner);
                    return Some(Ok(reply));
                }
                Some(false) => self.catch_up(owner),
                None => return None,
            }
        }
    }

    /// `true` when committed, `false` when overtaken, `None` when left open.
    fn drive(&mut self, append: &Append, entry: &Entry, fate: Fate) -> Option<bool> {
        let place = append.position() as usize;
        let taken = place < self.log.len();
        let mut step = match fate {
            Fate::Vanished => return None,
            _ if taken => append.on_exists(),
            Fate::Sound => {
                self.log.push(entry.clone());
                append.on_created()
            }
            Fate::Lost => {
                self.log.push(entry.clone());
                append.on_unknown()
            }
        };
        if step == Step::ReadBack {
            step = append.on_read(self.log.get(place).map(|found| found.token.as_str()));
        }
        match step {
            Step::Committed => Some(true),
            Step::Conflict => Some(false),
            Step::ReadBack | Step::RetryCreate => None,
        }
    }

    pub fn act(&mut self, owner: usize, fate: Fate, action: &Action) -> Result<(), String> {
        match action {
            Action::Offer { key, gives_up } => self.offer(owner, fate, *key, *gives_up),
            Action::Finish { key } => self.finish(owner, fate, *key),
            Action::Claim { holder } => self.claim(owner, fate, *holder),
            Action::Report { hand, items, hand_back } => {
                self.report(owner, fate, *hand, *items, *hand_back)
            }
            Action::Cancel => {
                let command = Command::Cancel { job: "job-1".into() };
                let answer = self.submit(owner, fate, &command);
                if let Some(Ok(Reply::Status(status))) = answer {
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

    /// An offer may be sent once: right after the log said so, by whoever asked.
    fn offer(&mut self, owner: usize, fate: Fate, key: u8, gives_up: bool) -> Result<(), String> {
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
        let answer = self.submit(owner, fate, &command);
        if matches!(answer, Some(Ok(Reply::Proceed))) && !gives_up {
            let sent = self.sent.entry(key).or_insert(0);
            *sent += 1;
            if *sent > 1 {
                return Err(format!("offer {key} was sent twice"));
            }
            return Ok(());
        }
        if answer.is_none() || gives_up {
            // Never sent: the claim is given back, through any owner.
            let key = format!("k{key}");
            let release = Command::Release { key, attempt, issued: 1_000_000 };
            self.submit((owner + 1) % OWNERS, Fate::Sound, &release);
        }
        Ok(())
    }

    fn finish(&mut self, owner: usize, fate: Fate, key: u8) -> Result<(), String> {
        if !self.sent.contains_key(&key) {
            return Ok(());
        }
        let text = format!("text {}", self.tokens);
        let outcome = StoredOutcome::Chat(chat::Outcome { text, finish: "stop".into(), tokens: 1 });
        let command =
            Command::Finish { key: format!("k{key}"), digest: 7, issued: 1_000_000, outcome };
        let answer = self.submit(owner, fate, &command);
        let position = match answer {
            Some(Ok(Reply::Recorded)) => self.owners[owner].next_position() - 1,
            Some(Ok(Reply::Duplicate { position })) => position,
            _ => return Ok(()),
        };
        match self.outcomes.insert(key, position) {
            Some(before) if before != position => {
                Err(format!("offer {key} has its outcome at {before} and at {position}"))
            }
            _ => Ok(()),
        }
    }

    fn claim(&mut self, owner: usize, fate: Fate, holder: u64) -> Result<(), String> {
        let command = Command::Claim { holder, services: vec!["s".into()] };
        let Some(Ok(Reply::Work(work))) = self.submit(owner, fate, &command) else {
            return Ok(());
        };
        // What the parts named in the hand-out hold is not run again.
        let done: HashSet<u64> = self.done_by(work.chunk, &work.parts);
        let items = (0..CHUNK).filter(|item| !done.contains(item)).collect();
        let (chunk, attempt) = (work.chunk, work.attempt);
        self.hands.push(Hand { chunk, attempt, items, parts: 0 });
        Ok(())
    }

    fn done_by(&self, chunk: u32, parts: &[ResultPartRef]) -> HashSet<u64> {
        let written = |part: &ResultPartRef| self.parts.get(&(chunk, part.attempt, part.part));
        parts.iter().filter_map(written).flatten().copied().collect()
    }

    /// A holder, however late, reports its next items.
    fn report(
        &mut self,
        owner: usize,
        fate: Fate,
        hand: usize,
        items: usize,
        hand_back: bool,
    ) -> Result<(), String> {
        if self.hands.is_empty() {
            return Ok(());
        }
        let index = hand % self.hands.len();
        let hand = &self.hands[index];
        let (chunk, attempt, part) = (hand.chunk, hand.attempt, hand.parts);
        let done: Vec<u64> = hand.items.iter().take(items).copied().collect();
        let after = match (done.len() == hand.items.len(), hand_back) {
            (true, _) => Disposition::Done,
            (false, true) => Disposition::Release,
            (false, false) => Disposition::Continue,
        };
        let place = (!done.is_empty()).then_some(ResultPartRef { attempt, part });
        if place.is_some() {
            self.parts.insert((chunk, attempt, part), done.clone());
        }
        let command = Command::Progress {
            job: "job-1".into(),
            chunk,
            attempt,
            part: place,
            done: done.len() as u32,
            failed: 0,
            disposition: after,
        };
        match self.submit(owner, fate, &command) {
            Some(Ok(Reply::Continue)) => self.on_recorded(index, &done, after),
            Some(_) => {
                self.hands.remove(index);
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn on_recorded(
        &mut self,
        index: usize,
        done: &[u64],
        after: Disposition,
    ) -> Result<(), String> {
        let chunk = self.hands[index].chunk;
        for item in done {
            if !self.recorded.insert((chunk, *item)) {
                return Err(format!("item {item} of chunk {chunk} has two outcomes"));
            }
        }
        if self.cancelled && !done.is_empty() {
            return Err(format!("chunk {chunk} got an outcome after the cancel"));
        }
        let hand = &mut self.hands[index];
        hand.items.drain(..done.len());
        hand.parts += u32::from(!done.is_empty());
        if after != Disposition::Continue {
            self.hands.remove(index);
        }
        Ok(())
    }

    /// However an owner came to know the chain, it knows the same.
    pub fn check(&mut self) -> Result<(), String> {
        for owner in 0..OWNERS {
            self.catch_up(owner);
        }
        let mut fresh = Shard::new(0, self.policy);
        for entry in &self.log {
            fresh.apply(entry.clone(), self.now);
        }
        let done = |shard: &Shard| shard.jobs().get("job-1").map(|job| job.done);
        if done(&fresh) != Some(self.recorded.len() as u64) {
            return Err(format!(
                "{:?} outcomes counted, {} are",
                done(&fresh),
                self.recorded.len()
            ));
        }
        let agree = self
            .owners
            .iter()
            .all(|owner| owner.keys() == fresh.keys() && done(owner) == done(&fresh));
        if agree { Ok(()) } else { Err("owners disagree on the same chain".into()) }
    }
}
