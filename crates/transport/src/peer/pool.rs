//! Pooled connections to other instances.

use super::Entries;
use super::codec::{read_member, read_updates, write_member, write_updates};
use super::connection::{CountedStream, Traffic, network};
use crate::partition::SimulatedPartition;
use crate::peer_capnp::peer;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp};
use coordination::membership::{Member, Update};
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio_util::sync::{CancellationToken, DropGuard};

/// Beyond this, the least recently used connection is closed.
const MAX_CONNECTIONS: usize = 96;
/// Connections that aren't used for this long are closed: longer than the time between heartbeats
/// to one partner of a large fleet.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a call to another instance failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerError {
    /// No connection; nothing was sent.
    NotSent(String),
    /// The call was sent, but there is no reply.
    OutcomeUnknown(String),
}

/// Longest time for a reply whose size grows with the fleet.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(10);

/// How long a call may take.
#[derive(Clone, Copy)]
struct Limits {
    /// Longest time without a reply in which nothing arrives on the connection.
    silence: Duration,
    /// Time after which the call isn't waited for any longer, whatever arrives.
    total: Duration,
}

impl Limits {
    fn total(timeout: Duration) -> Limits {
        Limits { silence: timeout, total: timeout }
    }

    /// Limits of a call with a large reply, which may take long as long as it arrives.
    fn large(silence: Duration) -> Limits {
        Limits { silence, total: MAX_TRANSFER_TIME }
    }
}

/// A connection that is closed once it isn't pooled any more and its last call has ended.
#[derive(Clone)]
struct OpenConnection {
    client: peer::Client,
    /// Bytes received on it.
    received: Arc<AtomicU64>,
    closes: Rc<DropGuard>,
}

impl OpenConnection {
    fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}

struct Connection {
    open: OpenConnection,
    opened: Instant,
    last_used: Instant,
}

/// Connections to other instances. Must be used inside a `LocalSet`.
#[derive(Clone)]
pub struct Pool {
    connections: Rc<RefCell<HashMap<SocketAddr, Connection>>>,
    timeout: Duration,
    partition: SimulatedPartition,
    traffic: Arc<Traffic>,
}

impl Pool {
    /// Creates an empty pool. `timeout` applies to connecting, and to calls without
    /// a timeout of their own.
    pub fn new(timeout: Duration, partition: SimulatedPartition, traffic: Arc<Traffic>) -> Pool {
        Pool { connections: Rc::default(), timeout, partition, traffic }
    }

    /// Sends a heartbeat with updates; returns the peer and its updates.
    ///
    /// # Errors
    ///
    /// The call failed.
    pub async fn ping(
        &self,
        to: SocketAddr,
        local: &Member,
        updates: &[Update],
    ) -> Result<(Member, Vec<Update>), PeerError> {
        let connection = self.connect(to).await?;
        let mut request = connection.client.ping_request();
        write_member(request.get().init_from(), local);
        write_updates(request.get().init_notes(updates.len() as u32), updates);
        self.finish(to, &connection, Limits::total(self.timeout), async {
            let response = request.send().promise.await?;
            let reply = response.get()?;
            Ok((read_member(reply.get_self()?)?, read_updates(reply.get_notes()?)?))
        })
        .await
    }

    /// Sends an encoded command to the owner of a shard; returns the encoded reply.
    ///
    /// # Errors
    ///
    /// The call failed.
    pub async fn command(
        &self,
        to: SocketAddr,
        shard: u32,
        body: &[u8],
        timeout: Duration,
    ) -> Result<Vec<u8>, PeerError> {
        let connection = self.connect(to).await?;
        let mut request = connection.client.command_request();
        request.get().set_shard(shard);
        request.get().set_body(body);
        self.finish(to, &connection, Limits::total(timeout), async {
            let response = request.send().promise.await?;
            Ok(response.get()?.get_body()?.to_vec())
        })
        .await
    }

    /// Fetches the configuration entries after a generation.
    ///
    /// # Errors
    ///
    /// The call failed.
    pub async fn entries(&self, to: SocketAddr, after: u64) -> Result<Entries, PeerError> {
        let connection = self.connect(to).await?;
        let mut request = connection.client.entries_request();
        request.get().set_after(after);
        self.finish(to, &connection, Limits::large(self.timeout), async {
            let response = request.send().promise.await?;
            let reply = response.get()?;
            let entries: Result<Vec<Vec<u8>>, capnp::Error> =
                reply.get_entries()?.iter().map(|entry| Ok(entry?.to_vec())).collect();
            let document = reply.get_document()?.to_vec();
            Ok(Entries { head: reply.get_head(), entries: entries?, document })
        })
        .await
    }

    /// Reports the number of online requests that this instance has at a target.
    ///
    /// # Errors
    ///
    /// The call failed.
    pub async fn pressure(
        &self,
        to: SocketAddr,
        from: u64,
        target: &str,
        online: u32,
    ) -> Result<(), PeerError> {
        let connection = self.connect(to).await?;
        let mut request = connection.client.pressure_request();
        request.get().set_from(from);
        request.get().set_target(target);
        request.get().set_online(online);
        self.finish(to, &connection, Limits::total(self.timeout), async {
            request.send().promise.await.map(|_| ())
        })
        .await
    }

    /// Sends an encoded gateway request; returns the encoded reply.
    ///
    /// # Errors
    ///
    /// The call failed.
    pub async fn ask(
        &self,
        to: SocketAddr,
        body: &[u8],
        timeout: Duration,
    ) -> Result<Vec<u8>, PeerError> {
        self.ask_within(to, body, Limits::total(timeout)).await
    }

    /// As [`Pool::ask`], for a large reply: the call fails if nothing arrives for `silence`.
    ///
    /// # Errors
    ///
    /// The call failed.
    pub async fn ask_large(
        &self,
        to: SocketAddr,
        body: &[u8],
        silence: Duration,
    ) -> Result<Vec<u8>, PeerError> {
        self.ask_within(to, body, Limits::large(silence)).await
    }

    /// Fetches all members known to another instance.
    ///
    /// # Errors
    ///
    /// The call failed.
    pub async fn members(&self, to: SocketAddr) -> Result<Vec<Member>, PeerError> {
        let connection = self.connect(to).await?;
        let request = connection.client.members_request();
        self.finish(to, &connection, Limits::large(self.timeout), async {
            let response = request.send().promise.await?;
            response.get()?.get_members()?.iter().map(read_member).collect()
        })
        .await
    }

    async fn ask_within(
        &self,
        to: SocketAddr,
        body: &[u8],
        limits: Limits,
    ) -> Result<Vec<u8>, PeerError> {
        let connection = self.connect(to).await?;
        let mut request = connection.client.ask_request();
        request.get().set_body(body);
        self.finish(to, &connection, limits, async {
            let response = request.send().promise.await?;
            Ok(response.get()?.get_body()?.to_vec())
        })
        .await
    }

    /// Waits for a reply. A connection on which something has arrived meanwhile is kept after a
    /// timeout: the peer is alive, and other calls wait for their replies on it.
    async fn finish<T>(
        &self,
        to: SocketAddr,
        connection: &OpenConnection,
        limits: Limits,
        call: impl Future<Output = Result<T, capnp::Error>>,
    ) -> Result<T, PeerError> {
        let started = Instant::now();
        let mut call = std::pin::pin!(call);
        loop {
            let received = connection.received();
            let error = match tokio::time::timeout(limits.silence, &mut call).await {
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(error)) => {
                    self.remove(to, connection);
                    error.to_string()
                }
                Err(_) => {
                    let is_silent = connection.received() == received;
                    if !is_silent && started.elapsed() < limits.total {
                        continue;
                    }
                    if is_silent {
                        self.remove(to, connection);
                    }
                    format!("no reply within {:?}", limits.silence)
                }
            };
            return Err(PeerError::OutcomeUnknown(error));
        }
    }

    /// Removes a connection from the pool, unless another has taken its place.
    fn remove(&self, to: SocketAddr, connection: &OpenConnection) {
        let mut connections = self.connections.borrow_mut();
        let is_pooled = |pooled: &Connection| Rc::ptr_eq(&pooled.open.closes, &connection.closes);
        if connections.get(&to).is_some_and(is_pooled) {
            connections.remove(&to);
        }
    }

    async fn connect(&self, to: SocketAddr) -> Result<OpenConnection, PeerError> {
        if self.partition.is_unreachable(to, Instant::now()) {
            self.connections.borrow_mut().remove(&to);
            return Err(PeerError::NotSent("unreachable (simulated partition)".into()));
        }
        if let Some((open, opened, last_used)) = self.pooled(to) {
            if self.partition.is_unresponsive(to, opened, last_used) {
                tokio::time::sleep(self.timeout).await;
                self.connections.borrow_mut().remove(&to);
                return Err(PeerError::OutcomeUnknown("no reply (simulated partition)".into()));
            }
            return Ok(open);
        }
        let stream = tokio::time::timeout(self.timeout, TcpStream::connect(to)).await;
        let stream = stream.map_err(|_| PeerError::NotSent("connection timed out".into()))?;
        let stream = stream.map_err(|error| PeerError::NotSent(error.to_string()))?;
        let counted = CountedStream::new(stream, self.traffic.clone());
        let received = counted.received();
        let network = network(counted, rpc_twoparty_capnp::Side::Client)
            .ok_or_else(|| PeerError::NotSent("connection closed".into()))?;
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: peer::Client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
        let close = CancellationToken::new();
        let open = OpenConnection { client, received, closes: Rc::new(close.clone().drop_guard()) };
        tokio::task::spawn_local(async move {
            tokio::select! {
                _ = system => {}
                () = close.cancelled() => {}
            }
        });
        self.insert(to, open.clone());
        Ok(open)
    }

    /// Returns the open connection to an address, with the times at which it was opened and now marked
    /// as used.
    fn pooled(&self, to: SocketAddr) -> Option<(OpenConnection, Instant, Instant)> {
        let mut connections = self.connections.borrow_mut();
        let now = Instant::now();
        let is_idle = |connection: &Connection| {
            now.saturating_duration_since(connection.last_used) > IDLE_TIMEOUT
        };
        connections.retain(|address, connection| *address == to || !is_idle(connection));
        let connection = connections.get_mut(&to)?;
        connection.last_used = now;
        Some((connection.open.clone(), connection.opened, now))
    }

    fn insert(&self, to: SocketAddr, open: OpenConnection) {
        let mut connections = self.connections.borrow_mut();
        if connections.len() >= MAX_CONNECTIONS {
            let oldest = connections
                .iter()
                .min_by_key(|(_, connection)| connection.last_used)
                .map(|(a, _)| *a);
            oldest.map(|address| connections.remove(&address));
        }
        let now = Instant::now();
        connections.insert(to, Connection { open, opened: now, last_used: now });
    }
}
