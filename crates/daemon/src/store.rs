//! The platform's store as the duties of one daemon see it.
//!
//! One thread makes every call of a daemon, under one budget: the platform
//! counts calls, and a daemon that retried on each thread by itself would meet
//! an outage with a flood. The client is `platform::store`'s; what this adds is
//! the ring that joins it to the other duties, the rate, and a line in the log
//! when the platform is lost and regained.

use bytes::Bytes;
use coordination::limit::TokenBucket;
use platform::instance;
use platform::key_value::{Changes, Condition, KeyValueStore, Value};
use platform::store::{Revision, Store, StoreError};
use platform::target;
use protocol::TargetId;
use slog::Logger;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;
use transport::channel::{self, ReplySender, RequestReceiver, RequestSender};
use transport::partition::SimulatedPartition;

/// Calls that may wait for the duty; more fail at once.
const CAPACITY: usize = 4096;

/// Where the platform is and how much it may be asked.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address of the store.
    pub address: SocketAddr,
    /// Longest wait for one call.
    pub timeout: Duration,
    /// Most calls a second.
    pub rate: f64,
    /// Cuts of a test.
    pub partition: SimulatedPartition,
}

/// Calls made and failed, for metrics.
#[derive(Debug, Default)]
pub struct Counts {
    /// Calls made.
    pub calls: AtomicU64,
    /// Calls that failed otherwise than by their condition.
    pub failed: AtomicU64,
}

/// How the platform lists a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The target.
    pub name: TargetId,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Revision of its entry: of two lists, the one with the higher is later.
    pub revision: Revision,
}

enum Call {
    Get(String, ReplySender<Result<Option<Value>, StoreError>>),
    Put(String, Bytes, Condition, ReplySender<Result<Revision, StoreError>>),
    Delete(String, ReplySender<Result<(), StoreError>>),
    Keys(String, ReplySender<Result<Changes, StoreError>>),
    Watch(String, Option<Revision>, Duration, ReplySender<Result<Changes, StoreError>>),
    Targets(ReplySender<Result<Vec<Listed>, StoreError>>),
    Instances(ReplySender<Result<Vec<SocketAddr>, StoreError>>),
    Register(String, instance::Registration, ReplySender<Result<(), StoreError>>),
}

/// The store, for the other duties.
#[derive(Clone)]
pub struct Handle {
    sender: RequestSender<Call>,
    limit: Duration,
    counts: Arc<Counts>,
}

impl Handle {
    async fn ask<T>(
        &self,
        limit: Duration,
        call: impl FnOnce(ReplySender<Result<T, StoreError>>) -> Call,
    ) -> Result<T, StoreError> {
        self.counts.calls.fetch_add(1, Ordering::Relaxed);
        let result = match self.sender.call(limit, call).await {
            Ok(result) => result,
            Err(error) if error.kind == protocol::Kind::Undetermined => {
                Err(StoreError::OutcomeUnknown(error.message))
            }
            Err(error) => Err(StoreError::Unavailable(error.message)),
        };
        if matches!(result, Err(StoreError::Unavailable(_) | StoreError::OutcomeUnknown(_))) {
            self.counts.failed.fetch_add(1, Ordering::Relaxed);
        }
        result
    }

    /// Calls made and failed.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// As [`KeyValueStore::get`].
    ///
    /// # Errors
    ///
    /// As [`KeyValueStore::get`]; here and below also [`StoreError::Unavailable`] when the duty is
    /// overloaded or has ended.
    pub async fn get(&self, key: &str) -> Result<Option<Value>, StoreError> {
        self.ask(self.limit, |answer| Call::Get(key.into(), answer)).await
    }

    /// As [`KeyValueStore::put`].
    ///
    /// # Errors
    ///
    /// As [`KeyValueStore::put`].
    pub async fn put(
        &self,
        key: &str,
        value: Bytes,
        condition: Condition,
    ) -> Result<Revision, StoreError> {
        self.ask(self.limit, |answer| Call::Put(key.into(), value, condition, answer)).await
    }

    /// As [`KeyValueStore::delete`].
    ///
    /// # Errors
    ///
    /// As [`KeyValueStore::delete`].
    pub async fn delete(&self, key: &str) -> Result<(), StoreError> {
        self.ask(self.limit, |answer| Call::Delete(key.into(), answer)).await
    }

    /// As [`KeyValueStore::keys`].
    ///
    /// # Errors
    ///
    /// As [`KeyValueStore::keys`].
    pub async fn keys(&self, prefix: &str) -> Result<Vec<String>, StoreError> {
        let found = self.ask(self.limit, |answer| Call::Keys(prefix.into(), answer)).await?;
        Ok(found.keys)
    }

    /// As [`KeyValueStore::watch`].
    ///
    /// # Errors
    ///
    /// As [`KeyValueStore::watch`].
    pub async fn watch(
        &self,
        prefix: &str,
        revision: Option<Revision>,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        let limit = wait + self.limit;
        self.ask(limit, |answer| Call::Watch(prefix.into(), revision, wait, answer)).await
    }

    /// The targets as the platform lists them.
    ///
    /// # Errors
    ///
    /// How the call failed.
    pub async fn targets(&self) -> Result<Vec<Listed>, StoreError> {
        self.ask(self.limit, Call::Targets).await
    }

    /// Addresses that instances have left on the platform.
    ///
    /// # Errors
    ///
    /// How the call failed.
    pub async fn instances(&self) -> Result<Vec<SocketAddr>, StoreError> {
        self.ask(self.limit, Call::Instances).await
    }

    /// Leaves this instance's address on the platform.
    ///
    /// # Errors
    ///
    /// How the call failed.
    pub async fn register(
        &self,
        name: &str,
        entry: instance::Registration,
    ) -> Result<(), StoreError> {
        self.ask(self.limit, |answer| Call::Register(name.into(), entry, answer)).await
    }
}

/// The duty's own end: run it on a thread of its own, inside a `LocalSet`.
pub struct Duty {
    calls: RequestReceiver<Call>,
    config: Config,
}

/// A handle for the other duties, and the duty itself.
pub fn duty(config: Config) -> (Handle, Duty) {
    let (sender, calls) = channel::channel("platform", CAPACITY);
    // The handle waits longer than one call may take, so that the call's own
    // verdict (sent or not) arrives before the handle gives up on it.
    let limit = config.timeout * 2;
    (Handle { sender, limit, counts: Arc::default() }, Duty { calls, config })
}

impl Duty {
    /// Makes calls until `stop`.
    pub async fn run(mut self, log: Logger, stop: CancellationToken) {
        let client = Rc::new(Client {
            keyed: KeyValueStore::new(Store::new(self.config.address, self.config.timeout)),
            config: self.config.clone(),
            log,
            failures: Cell::new(0),
        });
        let rate = self.config.rate;
        let mut bucket = TokenBucket::new(rate, rate.max(1.0), Instant::now());
        loop {
            let call = tokio::select! {
                call = self.calls.recv() => call,
                () = stop.cancelled() => None,
            };
            let Some(call) = call else {
                return;
            };
            while let Err(wait) = bucket.try_take(Instant::now()) {
                tokio::time::sleep(wait).await;
            }
            spawn_local(client.clone().perform(call));
        }
    }
}

struct Client {
    keyed: KeyValueStore,
    config: Config,
    log: Logger,
    /// Calls in a row that the platform didn't answer.
    failures: Cell<u64>,
}

impl Client {
    async fn perform(self: Rc<Client>, call: Call) {
        // A caller that no longer waits for its answer is no fault.
        match call {
            Call::Get(key, answer) => drop(answer.send(self.note(self.keyed.get(&key)).await)),
            Call::Put(key, value, condition, answer) => {
                let put = self.keyed.put(&key, &value, condition);
                drop(answer.send(self.note(put).await));
            }
            Call::Delete(key, answer) => {
                drop(answer.send(self.note(self.keyed.delete(&key)).await));
            }
            Call::Keys(prefix, answer) => {
                drop(answer.send(self.note(self.keyed.keys(&prefix)).await));
            }
            Call::Watch(prefix, revision, wait, answer) => {
                let watch = self.keyed.watch(&prefix, revision, wait);
                drop(answer.send(self.note(watch).await));
            }
            Call::Targets(answer) => drop(answer.send(self.note(self.targets()).await)),
            Call::Instances(answer) => drop(answer.send(self.note(self.instances()).await)),
            Call::Register(name, entry, answer) => {
                drop(answer.send(self.note(self.register(&name, &entry)).await));
            }
        }
    }

    /// Makes a call, unless a test has cut the platform off, and notes whether the
    /// platform answers.
    async fn note<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let result = if self.config.partition.is_unreachable(self.config.address, Instant::now()) {
            Err(StoreError::Unavailable("cut off".into()))
        } else {
            call.await
        };
        let failures = self.failures.get();
        match &result {
            Err(fault @ (StoreError::Unavailable(_) | StoreError::OutcomeUnknown(_))) => {
                self.failures.set(failures + 1);
                if failures == 0 {
                    slog::warn!(self.log, "platform lost"; "fault" => %fault);
                }
            }
            _ if failures > 0 => {
                self.failures.set(0);
                slog::info!(self.log, "platform regained"; "failures" => failures);
            }
            _ => {}
        }
        result
    }

    async fn targets(&self) -> Result<Vec<Listed>, StoreError> {
        let objects = self.keyed.store().list_all(target::KIND).await?.objects;
        let read = |object: &platform::store::Object| match target::decode(
            &object.name,
            object.revision,
            object.spec.get(),
        ) {
            Ok(found) => {
                Some(Listed { name: found.id, is_leaving: found.leaving, revision: found.revision })
            }
            Err(error) => {
                slog::warn!(self.log, "entry of a target not understood";
                        "target" => &object.name, "error" => %error);
                None
            }
        };
        Ok(objects.iter().filter_map(read).collect())
    }

    async fn instances(&self) -> Result<Vec<SocketAddr>, StoreError> {
        let objects = self.keyed.store().list_all(instance::KIND).await?.objects;
        let read = |object: &platform::store::Object| match instance::decode(object.spec.get()) {
            Ok(entry) => Some(entry.peer_address),
            Err(error) => {
                slog::warn!(self.log, "entry of an instance not understood";
                        "instance" => &object.name, "error" => %error);
                None
            }
        };
        Ok(objects.iter().filter_map(read).collect())
    }

    async fn register(&self, name: &str, entry: &instance::Registration) -> Result<(), StoreError> {
        let store = self.keyed.store();
        match store.create(instance::KIND, name, entry).await {
            // An earlier start of this instance, perhaps at another address.
            Err(StoreError::Conflict(_)) => {
                store.replace(instance::KIND, name, None, entry).await.map(|_| ())
            }
            other => other.map(|_| ()),
        }
    }
}
