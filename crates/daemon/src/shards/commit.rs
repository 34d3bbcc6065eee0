//! The committer of one shard: groups commands, appends, settles lost answers.

use super::Item;
use super::load::{self, Loaded};
use crate::append::{self, End};
use crate::clock;
use crate::shared::Shared;
use crate::store::Handle;
use bytes::Bytes;
use coordination::append_log::Append;
use coordination::retry;
use platform::store::StoreError;
use protocol::{Error, Kind, Millis, ShardId};
use state::command::{Command, CommandResult, Reply};
use state::object_key;
use state::record::{Disposition, Entry, Record};
use state::shard::{Batch, Decision, Policy, Shard};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;
use transport::channel::RequestReceiver;

mod housekeeping;

/// Most commands in one append.
const MOST_COMMANDS: usize = 2048;
/// How long a shard counts as up to date without looking at its tail.
const FRESH: Duration = Duration::from_secs(1);
/// Time between housekeeping rounds.
const HOUSEKEEPING: Duration = Duration::from_millis(500);
/// Tries to settle an append before its callers are told that it's open.
const SETTLE_TRIES: u32 = 3;
const BACKOFF_BASE: Duration = Duration::from_millis(100);
const BACKOFF_CAP: Duration = Duration::from_secs(3);

/// An append whose fate is open.
struct Open {
    append: Append,
    entry: Entry,
    next: Instant,
}

struct Waiting {
    item: Item,
    records: Vec<Record>,
    reply: Reply,
}

/// The committer.
pub struct Committer {
    shared: Arc<Shared>,
    store: Handle,
    id: ShardId,
    policy: Policy,
    loaded: Option<Loaded>,
    open: Option<Open>,
    queue: VecDeque<Item>,
    verified: Option<Instant>,
    committed: Instant,
    failures: u32,
    sequence: u64,
    swept: Instant,
    archiving: Option<tokio::sync::oneshot::Receiver<CommandResult>>,
}

impl Committer {
    /// A committer that has read nothing yet.
    pub fn new(shared: Arc<Shared>, store: Handle, id: ShardId) -> Committer {
        let settings = &shared.settings;
        let policy = Policy {
            retention: settings.retention,
            claim_timeout: settings.claim_timeout,
            without_fencing: settings.is_guard_disabled("fence"),
            without_claims: settings.is_guard_disabled("claim"),
        };
        let now = Instant::now();
        Committer {
            store,
            id,
            policy,
            loaded: None,
            open: None,
            queue: VecDeque::new(),
            verified: None,
            committed: now.checked_sub(settings.commit_interval).unwrap_or(now),
            failures: 0,
            sequence: 0,
            swept: now,
            archiving: None,
            shared,
        }
    }

    /// Commits until `stop` and the queue is empty.
    pub async fn run(mut self, mut items: RequestReceiver<Item>, stop: CancellationToken) {
        let mut housekeeping = tokio::time::interval(HOUSEKEEPING);
        loop {
            tokio::select! {
                item = items.recv() => match item {
                    Some(item) => self.queue.push_back(item),
                    None => return,
                },
                _ = housekeeping.tick() => self.housekeep().await,
                () = stop.cancelled() => return,
            }
            self.pace().await;
            self.collect(&mut items);
            while !self.queue.is_empty() {
                self.round().await;
                self.collect(&mut items);
            }
        }
    }

    fn collect(&mut self, items: &mut RequestReceiver<Item>) {
        while self.queue.len() < MOST_COMMANDS {
            let Ok(item) = items.try_recv() else {
                return;
            };
            self.queue.push_back(item);
        }
    }

    /// Waits until the last commit is long enough ago; what arrives meanwhile
    /// shares the next append.
    async fn pace(&self) {
        let wait = self.shared.settings.commit_interval.saturating_sub(self.committed.elapsed());
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    /// Decides what waits and appends it. At the end the queue holds only what
    /// must be decided again.
    async fn round(&mut self) {
        if let Err(error) = self.prepare().await {
            self.refuse_all(&error);
            return;
        }
        let now = clock::millis();
        let (waiting, deferred) = self.decide(now);
        self.queue = deferred;
        if waiting.is_empty() {
            return;
        }
        self.pace().await;
        self.append(waiting).await;
    }

    /// Makes sure that the shard is read and not behind.
    async fn prepare(&mut self) -> Result<(), Error> {
        if let Some(open) = &self.open {
            if Instant::now() < open.next {
                return Err(away("an append of this shard is open", self.backoff()));
            }
            self.settle().await?;
        }
        let now = clock::millis();
        match &mut self.loaded {
            None => {
                let read = load::load(&self.store, self.id, self.policy, now).await;
                match read {
                    Ok(loaded) => self.loaded = Some(loaded),
                    Err(fault) => return Err(self.on_fault(&fault)),
                }
            }
            Some(loaded) if self.verified.is_none_or(|at| at.elapsed() > FRESH) => {
                let read = load::catch_up(&self.store, &mut loaded.shard, now).await;
                if let Err(fault) = read {
                    return Err(self.on_fault(&fault));
                }
            }
            Some(_) => return Ok(()),
        }
        self.on_reached();
        Ok(())
    }

    fn on_fault(&mut self, fault: &StoreError) -> Error {
        self.failures += 1;
        let wait = self.backoff();
        away(&fault.to_string(), wait)
    }

    fn on_reached(&mut self) {
        if self.failures > 0
            && let Some(loaded) = &mut self.loaded
        {
            // Holders couldn't report while the platform was away.
            let now = clock::millis();
            loaded.shard.renew_leases(now);
        }
        self.failures = 0;
        self.verified = Some(Instant::now());
    }

    fn backoff(&self) -> Duration {
        let chance = rand::random::<f64>();
        retry::backoff(self.failures.max(1), BACKOFF_BASE, BACKOFF_CAP, chance)
    }

    fn refuse_all(&mut self, error: &Error) {
        for item in self.queue.drain(..) {
            // A caller that no longer waits is no fault.
            drop(item.answer.send(Err(error.clone())));
        }
    }

    fn decide(&mut self, now: Millis) -> (Vec<Waiting>, VecDeque<Item>) {
        let mut waiting = Vec::new();
        let mut deferred = VecDeque::new();
        let Some(loaded) = &mut self.loaded else {
            return (waiting, deferred);
        };
        let mut batch = Batch::default();
        let mut bytes = 0;
        for item in self.queue.drain(..) {
            // Whoever gave up on an answer acts as if nothing was decided; a
            // claim that nobody waits for would only block its key.
            if item.answer.is_closed() {
                continue;
            }
            let ungrouped = self.shared.settings.is_guard_disabled("group") && !waiting.is_empty();
            if bytes > object_key::MAX_VALUE_BYTES / 2 || ungrouped {
                deferred.push_back(item);
                continue;
            }
            note_life(&mut loaded.shard, &item.command, now);
            match loaded.shard.decide(&mut batch, &item.command, now) {
                Decision::Reply(answer) => {
                    if matches!(answer, Ok(Reply::Proceed)) {
                        loaded.shard.track_running(&item.command, now);
                    }
                    drop(item.answer.send(answer));
                }
                Decision::Defer => deferred.push_back(item),
                Decision::Commit(records, reply) => {
                    bytes += records.iter().map(size).sum::<usize>();
                    waiting.push(Waiting { item, records, reply });
                }
            }
        }
        (waiting, deferred)
    }

    async fn append(&mut self, waiting: Vec<Waiting>) {
        let Some(loaded) = &self.loaded else {
            return;
        };
        self.sequence += 1;
        let token = format!("{:016x}-{}-{}", self.shared.id, self.id, self.sequence);
        let records = waiting.iter().flat_map(|w| w.records.iter().cloned()).collect();
        let entry = Entry { token: token.clone(), at: clock::millis(), records };
        let append = Append::new(loaded.shard.next_position(), token);
        self.committed = Instant::now();
        match self.drive(&append, &entry).await {
            End::Committed => {
                self.apply(entry);
                answer_all(waiting, |w| Ok(w.reply.clone()));
            }
            End::Overtaken => {
                // Someone else appended: read what they wrote and decide anew.
                self.verified = None;
                let back = waiting.into_iter().map(|w| w.item);
                self.queue.extend(back);
            }
            End::Refused(text) => {
                self.failures += 1;
                let error = away(&text, self.backoff());
                answer_all(waiting, |_| Err(error.clone()));
            }
            End::Open => {
                self.failures += 1;
                let wait = self.backoff();
                let error = Error::new(Kind::Undetermined, "the platform gave no answer")
                    .with_retry_after(wait);
                self.open = Some(Open { append, entry, next: Instant::now() + wait });
                answer_all(waiting, |_| Err(error.clone()));
            }
        }
    }

    fn apply(&mut self, entry: Entry) {
        let Some(loaded) = &mut self.loaded else {
            return;
        };
        let has_work = entry.records.iter().any(brings_work);
        loaded.shard.apply(entry, clock::millis());
        self.on_reached();
        if has_work {
            self.shared.announce_work(self.id, clock::millis());
        }
    }

    /// Takes an append as far as it goes now.
    async fn drive(&self, append: &Append, entry: &Entry) -> End {
        let key = object_key::entry(self.id, append.position());
        let value = Bytes::from(entry.encode());
        let token = |bytes: &[u8]| Entry::decode(bytes).map(|e| e.token).unwrap_or_default();
        append::drive(&self.store, append, &key, value, SETTLE_TRIES, token).await
    }

    /// Settles an append whose callers were told that its fate is open.
    async fn settle(&mut self) -> Result<(), Error> {
        let Some(mut open) = self.open.take() else {
            return Ok(());
        };
        match self.drive(&open.append, &open.entry).await {
            End::Committed => {
                self.apply(open.entry);
                Ok(())
            }
            End::Overtaken => {
                self.verified = None;
                Ok(())
            }
            End::Refused(_) | End::Open => {
                self.failures += 1;
                let wait = self.backoff();
                open.next = Instant::now() + wait;
                self.open = Some(open);
                Err(away("an append of this shard is open", wait))
            }
        }
    }
}

/// A progress report shows that its holder lives, even when it brings no news.
fn note_life(shard: &mut Shard, command: &Command, now: Millis) {
    if let Command::Progress { job, chunk, .. } = command {
        shard.on_heartbeat(job, *chunk, now);
    }
}

/// Whether a record leaves a chunk for somebody to run.
fn brings_work(record: &Record) -> bool {
    let is_given_back =
        matches!(record, Record::Progressed { disposition: Disposition::Release, .. });
    is_given_back || matches!(record, Record::Accepted(_))
}

fn size(record: &Record) -> usize {
    serde_json::to_vec(record).map_or(0, |bytes| bytes.len())
}

fn away(text: &str, wait: Duration) -> Error {
    Error::new(Kind::PlatformUnavailable, text).with_retry_after(wait)
}

fn answer_all(waiting: Vec<Waiting>, answer: impl Fn(&Waiting) -> CommandResult) {
    for one in waiting {
        let reply = answer(&one);
        drop(one.item.answer.send(reply));
    }
}
