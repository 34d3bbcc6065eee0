//! The platform's store, for the workers of one daemon.
//!
//! One thread makes all calls of a daemon, under one rate limit: the platform counts calls,
//! and retries from every worker would flood it during an outage. `platform::store` is the
//! client; this module adds the channel, the rate limit and log lines when the platform is
//! lost and regained.

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

/// Calls that may wait for the worker; further ones fail at once.
const CHANNEL_CAPACITY: usize = 4096;

/// Address and limits of the platform's store.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address of the store.
    pub address: SocketAddr,
    /// Timeout of one call.
    pub timeout: Duration,
    /// Maximum rate of calls.
    pub calls_per_second: f64,
    /// Network partitions simulated by tests.
    pub partition: SimulatedPartition,
}

/// Counts of calls since the start, for metrics.
#[derive(Debug, Default)]
pub struct CallCounts {
    /// Calls, including failed ones.
    pub calls: AtomicU64,
    /// Failed calls, except those whose condition didn't hold.
    pub failed: AtomicU64,
}

/// A target in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// Name of the target.
    pub name: TargetId,
    /// Whether it must get no new requests.
    pub is_leaving: bool,
    /// Revision of its entry; the higher one is later.
    pub revision: Revision,
}

enum Call {
    Get(String, ReplySender<Result<Option<Value>, StoreError>>),
    Put(String, Bytes, Condition, ReplySender<Result<Revision, StoreError>>),
    Delete(String, ReplySender<Result<(), StoreError>>),
    Keys(String, ReplySender<Result<Changes, StoreError>>),
    Watch(String, Option<Revision>, Duration, ReplySender<Result<Changes, StoreError>>),
    Targets(ReplySender<Result<Vec<TargetEntry>, StoreError>>),
    Instances(ReplySender<Result<Vec<SocketAddr>, StoreError>>),
    Register(String, instance::Registration, ReplySender<Result<(), StoreError>>),
}

/// The store, for the other workers.
#[derive(Clone)]
pub struct Handle {
    sender: RequestSender<Call>,
    timeout: Duration,
    counts: Arc<CallCounts>,
}

impl Handle {
    async fn call<T>(
        &self,
        timeout: Duration,
        new_call: impl FnOnce(ReplySender<Result<T, StoreError>>) -> Call,
    ) -> Result<T, StoreError> {
        self.counts.calls.fetch_add(1, Ordering::Relaxed);
        let result = match self.sender.call(timeout, new_call).await {
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

    /// Counts of the calls of all handles.
    pub fn counts(&self) -> &CallCounts {
        &self.counts
    }

    /// As [`KeyValueStore::get`].
    ///
    /// # Errors
    ///
    /// As [`KeyValueStore::get`]; here and below also [`StoreError::Unavailable`] when the
    /// worker is overloaded or has ended.
    pub async fn get(&self, key: &str) -> Result<Option<Value>, StoreError> {
        self.call(self.timeout, |reply| Call::Get(key.into(), reply)).await
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
        self.call(self.timeout, |reply| Call::Put(key.into(), value, condition, reply)).await
    }

    /// As [`KeyValueStore::delete`].
    ///
    /// # Errors
    ///
    /// As [`KeyValueStore::delete`].
    pub async fn delete(&self, key: &str) -> Result<(), StoreError> {
        self.call(self.timeout, |reply| Call::Delete(key.into(), reply)).await
    }

    /// As [`KeyValueStore::keys`].
    ///
    /// # Errors
    ///
    /// As [`KeyValueStore::keys`].
    pub async fn keys(&self, prefix: &str) -> Result<Vec<String>, StoreError> {
        let found = self.call(self.timeout, |reply| Call::Keys(prefix.into(), reply)).await?;
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
        let timeout = wait + self.timeout;
        self.call(timeout, |reply| Call::Watch(prefix.into(), revision, wait, reply)).await
    }

    /// Lists the targets on the platform, without entries that can't be decoded.
    ///
    /// # Errors
    ///
    /// The error of the call.
    pub async fn targets(&self) -> Result<Vec<TargetEntry>, StoreError> {
        self.call(self.timeout, Call::Targets).await
    }

    /// Lists the peer addresses that instances registered on the platform.
    ///
    /// # Errors
    ///
    /// The error of the call.
    pub async fn instances(&self) -> Result<Vec<SocketAddr>, StoreError> {
        self.call(self.timeout, Call::Instances).await
    }

    /// Registers this instance's address on the platform, replacing an earlier entry.
    ///
    /// # Errors
    ///
    /// The error of the call.
    pub async fn register(
        &self,
        name: &str,
        entry: instance::Registration,
    ) -> Result<(), StoreError> {
        self.call(self.timeout, |reply| Call::Register(name.into(), entry, reply)).await
    }
}

/// Makes the calls; run it on a thread of its own, inside a `LocalSet`.
pub struct Worker {
    calls: RequestReceiver<Call>,
    config: Config,
}

/// A handle for the other workers, and the worker.
pub fn new_worker(config: Config) -> (Handle, Worker) {
    let (sender, calls) = channel::channel("platform", CHANNEL_CAPACITY);
    // Longer than one call may take, so that the call's own result arrives first: it says
    // whether the call was sent.
    let timeout = config.timeout * 2;
    (Handle { sender, timeout, counts: Arc::default() }, Worker { calls, config })
}

impl Worker {
    /// Makes calls until `stop`.
    pub async fn run(mut self, log: Logger, stop: CancellationToken) {
        let client = Rc::new(Client {
            key_values: KeyValueStore::new(Store::new(self.config.address, self.config.timeout)),
            config: self.config.clone(),
            log,
            failures: Cell::new(0),
        });
        let rate = self.config.calls_per_second;
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
    key_values: KeyValueStore,
    config: Config,
    log: Logger,
    /// Calls in a row without a response.
    failures: Cell<u64>,
}

impl Client {
    async fn perform(self: Rc<Client>, call: Call) {
        // A send fails when the caller no longer waits.
        match call {
            Call::Get(key, reply) => {
                drop(reply.send(self.record_result(self.key_values.get(&key)).await))
            }
            Call::Put(key, value, condition, reply) => {
                let put = self.key_values.put(&key, &value, condition);
                drop(reply.send(self.record_result(put).await));
            }
            Call::Delete(key, reply) => {
                drop(reply.send(self.record_result(self.key_values.delete(&key)).await));
            }
            Call::Keys(prefix, reply) => {
                drop(reply.send(self.record_result(self.key_values.keys(&prefix)).await));
            }
            Call::Watch(prefix, revision, wait, reply) => {
                let watch = self.key_values.watch(&prefix, revision, wait);
                drop(reply.send(self.record_result(watch).await));
            }
            Call::Targets(reply) => drop(reply.send(self.record_result(self.targets()).await)),
            Call::Instances(reply) => drop(reply.send(self.record_result(self.instances()).await)),
            Call::Register(name, entry, reply) => {
                drop(reply.send(self.record_result(self.register(&name, &entry)).await));
            }
        }
    }

    /// Awaits a call, unless a test simulates a partition, and tracks whether the platform
    /// responds.
    async fn record_result<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let result = if self.config.partition.is_unreachable(self.config.address, Instant::now()) {
            Err(StoreError::Unavailable("simulated partition".into()))
        } else {
            call.await
        };
        let failures = self.failures.get();
        match &result {
            Err(error @ (StoreError::Unavailable(_) | StoreError::OutcomeUnknown(_))) => {
                self.failures.set(failures + 1);
                if failures == 0 {
                    slog::warn!(self.log, "platform lost"; "fault" => %error);
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

    async fn targets(&self) -> Result<Vec<TargetEntry>, StoreError> {
        let objects = self.key_values.store().list_all(target::KIND).await?.objects;
        let decode = |object: &platform::store::Object| match target::decode(
            &object.name,
            object.revision,
            object.spec.get(),
        ) {
            Ok(found) => Some(TargetEntry {
                name: found.id,
                is_leaving: found.leaving,
                revision: found.revision,
            }),
            Err(error) => {
                slog::warn!(self.log, "malformed entry of a target";
                        "target" => &object.name, "error" => %error);
                None
            }
        };
        Ok(objects.iter().filter_map(decode).collect())
    }

    async fn instances(&self) -> Result<Vec<SocketAddr>, StoreError> {
        let objects = self.key_values.store().list_all(instance::KIND).await?.objects;
        let decode = |object: &platform::store::Object| match instance::decode(object.spec.get()) {
            Ok(entry) => Some(entry.peer_address),
            Err(error) => {
                slog::warn!(self.log, "malformed entry of an instance";
                        "instance" => &object.name, "error" => %error);
                None
            }
        };
        Ok(objects.iter().filter_map(decode).collect())
    }

    async fn register(&self, name: &str, entry: &instance::Registration) -> Result<(), StoreError> {
        let store = self.key_values.store();
        match store.create(instance::KIND, name, entry).await {
            // Left by an earlier start of this instance, perhaps with another address.
            Err(StoreError::Conflict(_)) => {
                store.replace(instance::KIND, name, None, entry).await.map(|_| ())
            }
            other => other.map(|_| ()),
        }
    }
}
