//! The committer of one shard: groups commands, appends them and resolves appends whose
//! outcome is unknown.

use super::Submission;
use super::load::{self, Loaded};
use crate::append::{self, AppendOutcome};
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

/// Maximum number of commands in one append.
const MAX_BATCH_COMMANDS: usize = 2048;
/// How long a shard counts as up to date before its tail is read again.
const VERIFY_INTERVAL: Duration = Duration::from_secs(1);
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(500);
/// Rounds of create and read-back before callers are told that the outcome is unknown.
const MAX_APPEND_ATTEMPTS: u32 = 3;
const BACKOFF_BASE: Duration = Duration::from_millis(100);
const BACKOFF_CAP: Duration = Duration::from_secs(3);

/// An append whose outcome is unknown.
struct OpenAppend {
    append: Append,
    entry: Entry,
    retry_at: Instant,
}

struct PendingAppend {
    submission: Submission,
    records: Vec<Record>,
    reply: Reply,
}

/// Committer of one shard.
pub struct Committer {
    shared: Arc<Shared>,
    store: Handle,
    id: ShardId,
    policy: Policy,
    loaded: Option<Loaded>,
    open_append: Option<OpenAppend>,
    queue: VecDeque<Submission>,
    last_verified: Option<Instant>,
    last_commit: Instant,
    failures: u32,
    append_count: u64,
    last_deletion: Instant,
    archive_reply: Option<tokio::sync::oneshot::Receiver<CommandResult>>,
}

impl Committer {
    /// Creates a committer; the shard is read when it is first needed.
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
            open_append: None,
            queue: VecDeque::new(),
            last_verified: None,
            last_commit: now.checked_sub(settings.commit_interval).unwrap_or(now),
            failures: 0,
            append_count: 0,
            last_deletion: now,
            archive_reply: None,
            shared,
        }
    }

    /// Commits until `stop` or until the channel closes.
    pub async fn run(
        mut self,
        mut submissions: RequestReceiver<Submission>,
        stop: CancellationToken,
    ) {
        let mut housekeeping = tokio::time::interval(HOUSEKEEPING_INTERVAL);
        loop {
            tokio::select! {
                submission = submissions.recv() => match submission {
                    Some(submission) => self.queue.push_back(submission),
                    None => return,
                },
                _ = housekeeping.tick() => self.housekeep().await,
                () = stop.cancelled() => return,
            }
            self.wait_commit_interval().await;
            self.collect(&mut submissions);
            while !self.queue.is_empty() {
                self.commit_queue().await;
                self.collect(&mut submissions);
            }
        }
    }

    fn collect(&mut self, submissions: &mut RequestReceiver<Submission>) {
        while self.queue.len() < MAX_BATCH_COMMANDS {
            let Ok(submission) = submissions.try_recv() else {
                return;
            };
            self.queue.push_back(submission);
        }
    }

    /// Waits until the commit interval since the last commit has passed; commands that
    /// arrive meanwhile share the next append.
    async fn wait_commit_interval(&self) {
        let wait = self.shared.settings.commit_interval.saturating_sub(self.last_commit.elapsed());
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    /// Decides the queued commands and appends the result; afterwards the queue holds only
    /// commands that must be decided again.
    async fn commit_queue(&mut self) {
        if let Err(error) = self.prepare().await {
            self.reject_all(&error);
            return;
        }
        let now = clock::millis();
        let (appends, deferred) = self.decide(now);
        self.queue = deferred;
        if appends.is_empty() {
            return;
        }
        self.wait_commit_interval().await;
        self.append(appends).await;
    }

    /// Reads the shard or catches up with its tail, after resolving an open append.
    async fn prepare(&mut self) -> Result<(), Error> {
        if let Some(open) = &self.open_append {
            if Instant::now() < open.retry_at {
                return Err(platform_unavailable(
                    "the outcome of an append to this shard is unknown",
                    self.backoff(),
                ));
            }
            self.resolve_open_append().await?;
        }
        let now = clock::millis();
        match &mut self.loaded {
            None => {
                let read = load::load(&self.store, self.id, self.policy, now).await;
                match read {
                    Ok(loaded) => self.loaded = Some(loaded),
                    Err(error) => return Err(self.on_store_error(&error)),
                }
            }
            Some(loaded) if self.last_verified.is_none_or(|at| at.elapsed() > VERIFY_INTERVAL) => {
                let read = load::catch_up(&self.store, &mut loaded.shard, now).await;
                if let Err(error) = read {
                    return Err(self.on_store_error(&error));
                }
            }
            Some(_) => return Ok(()),
        }
        self.on_platform_available();
        Ok(())
    }

    fn on_store_error(&mut self, error: &StoreError) -> Error {
        self.failures += 1;
        let wait = self.backoff();
        platform_unavailable(&error.to_string(), wait)
    }

    fn on_platform_available(&mut self) {
        if self.failures > 0
            && let Some(loaded) = &mut self.loaded
        {
            // Holders couldn't send heartbeats while the platform was unavailable.
            let now = clock::millis();
            loaded.shard.renew_leases(now);
        }
        self.failures = 0;
        self.last_verified = Some(Instant::now());
    }

    fn backoff(&self) -> Duration {
        let random = rand::random::<f64>();
        retry::backoff(self.failures.max(1), BACKOFF_BASE, BACKOFF_CAP, random)
    }

    fn reject_all(&mut self, error: &Error) {
        for submission in self.queue.drain(..) {
            // The send fails when the caller no longer waits.
            drop(submission.reply.send(Err(error.clone())));
        }
    }

    fn decide(&mut self, now: Millis) -> (Vec<PendingAppend>, VecDeque<Submission>) {
        let mut appends = Vec::new();
        let mut deferred = VecDeque::new();
        let Some(loaded) = &mut self.loaded else {
            return (appends, deferred);
        };
        let mut batch = Batch::default();
        let mut bytes = 0;
        for submission in self.queue.drain(..) {
            // A caller that stopped waiting acts as if nothing was decided; a claim without
            // a caller would only block its key.
            if submission.reply.is_closed() {
                continue;
            }
            let ungrouped = self.shared.settings.is_guard_disabled("group") && !appends.is_empty();
            if bytes > object_key::MAX_VALUE_BYTES / 2 || ungrouped {
                deferred.push_back(submission);
                continue;
            }
            record_heartbeat(&mut loaded.shard, &submission.command, now);
            match loaded.shard.decide(&mut batch, &submission.command, now) {
                Decision::Reply(reply) => {
                    if matches!(reply, Ok(Reply::Proceed)) {
                        loaded.shard.track_running(&submission.command, now);
                    }
                    drop(submission.reply.send(reply));
                }
                Decision::Defer => deferred.push_back(submission),
                Decision::Commit(records, reply) => {
                    bytes += records.iter().map(encoded_len).sum::<usize>();
                    appends.push(PendingAppend { submission, records, reply });
                }
            }
        }
        (appends, deferred)
    }

    async fn append(&mut self, appends: Vec<PendingAppend>) {
        let Some(loaded) = &self.loaded else {
            return;
        };
        self.append_count += 1;
        let token = format!("{:016x}-{}-{}", self.shared.id, self.id, self.append_count);
        let records = appends.iter().flat_map(|append| append.records.iter().cloned()).collect();
        let entry = Entry { token: token.clone(), at: clock::millis(), records };
        let append = Append::new(loaded.shard.next_position(), token);
        self.last_commit = Instant::now();
        match self.drive(&append, &entry).await {
            AppendOutcome::Committed => {
                self.apply(entry);
                reply_all(appends, |append| Ok(append.reply.clone()));
            }
            AppendOutcome::Conflict => {
                // Another instance appended: read its entries and decide again.
                self.last_verified = None;
                let retried = appends.into_iter().map(|append| append.submission);
                self.queue.extend(retried);
            }
            AppendOutcome::Rejected(text) => {
                self.failures += 1;
                let error = platform_unavailable(&text, self.backoff());
                reply_all(appends, |_| Err(error.clone()));
            }
            AppendOutcome::Unknown => {
                self.failures += 1;
                let wait = self.backoff();
                let error = Error::new(Kind::Undetermined, "the platform didn't respond")
                    .with_retry_after(wait);
                self.open_append =
                    Some(OpenAppend { append, entry, retry_at: Instant::now() + wait });
                reply_all(appends, |_| Err(error.clone()));
            }
        }
    }

    fn apply(&mut self, entry: Entry) {
        let Some(loaded) = &mut self.loaded else {
            return;
        };
        let has_work = entry.records.iter().any(adds_work);
        loaded.shard.apply(entry, clock::millis());
        self.on_platform_available();
        if has_work {
            self.shared.announce_work(self.id, clock::millis());
        }
    }

    /// Drives an append as far as it goes now.
    async fn drive(&self, append: &Append, entry: &Entry) -> AppendOutcome {
        let key = object_key::entry(self.id, append.position());
        let value = Bytes::from(entry.encode());
        let token = |bytes: &[u8]| Entry::decode(bytes).map(|e| e.token).unwrap_or_default();
        append::drive(&self.store, append, &key, value, MAX_APPEND_ATTEMPTS, token).await
    }

    /// Resolves an append whose callers were told that its outcome is unknown.
    async fn resolve_open_append(&mut self) -> Result<(), Error> {
        let Some(mut open) = self.open_append.take() else {
            return Ok(());
        };
        match self.drive(&open.append, &open.entry).await {
            AppendOutcome::Committed => {
                self.apply(open.entry);
                Ok(())
            }
            AppendOutcome::Conflict => {
                self.last_verified = None;
                Ok(())
            }
            AppendOutcome::Rejected(_) | AppendOutcome::Unknown => {
                self.failures += 1;
                let wait = self.backoff();
                open.retry_at = Instant::now() + wait;
                self.open_append = Some(open);
                Err(platform_unavailable("the outcome of an append to this shard is unknown", wait))
            }
        }
    }
}

/// Counts a progress report as a heartbeat of its holder, even without new results.
fn record_heartbeat(shard: &mut Shard, command: &Command, now: Millis) {
    if let Command::Progress { job, chunk, .. } = command {
        shard.on_heartbeat(job, *chunk, now);
    }
}

/// Whether a record leaves a chunk unassigned.
fn adds_work(record: &Record) -> bool {
    let is_released =
        matches!(record, Record::Progressed { disposition: Disposition::Release, .. });
    is_released || matches!(record, Record::Accepted(_))
}

fn encoded_len(record: &Record) -> usize {
    serde_json::to_vec(record).map_or(0, |bytes| bytes.len())
}

fn platform_unavailable(text: &str, wait: Duration) -> Error {
    Error::new(Kind::PlatformUnavailable, text).with_retry_after(wait)
}

fn reply_all(appends: Vec<PendingAppend>, result: impl Fn(&PendingAppend) -> CommandResult) {
    for pending in appends {
        let reply = result(&pending);
        drop(pending.submission.reply.send(reply));
    }
}
