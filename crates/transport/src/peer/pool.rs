//! Connections to other daemons, kept for the few that are spoken to.

use super::Entries;
use super::codec::{read_member, read_notes, write_member, write_notes};
use super::connection::{Counted, Traffic, network};
use crate::partition::SimulatedPartition;
use crate::peer_capnp::peer;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp};
use coordination::membership::{Member, Update};
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Most connections kept to other daemons. Above the members of a deployment of
/// today; beyond it, the one unused for longest makes room.
const MOST_CONNECTIONS: usize = 96;

/// Why a call to a peer failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerError {
    /// No connection; the call never left.
    NotSent(String),
    /// The call left and no answer came.
    OutcomeUnknown(String),
}

#[derive(Clone)]
struct Kept {
    client: peer::Client,
    opened: Instant,
    used: Instant,
}

/// Connections to other daemons. Lives inside a `LocalSet`.
#[derive(Clone)]
pub struct Pool {
    connections: std::rc::Rc<RefCell<HashMap<SocketAddr, Kept>>>,
    timeout: Duration,
    partition: SimulatedPartition,
    traffic: Arc<Traffic>,
}

impl Pool {
    /// An empty pool; calls wait for `timeout` at most.
    pub fn new(timeout: Duration, partition: SimulatedPartition, traffic: Arc<Traffic>) -> Pool {
        Pool { connections: std::rc::Rc::default(), timeout, partition, traffic }
    }

    /// Sends a heartbeat with news.
    ///
    /// # Errors
    ///
    /// How the call failed.
    pub async fn ping(
        &self,
        to: SocketAddr,
        me: &Member,
        notes: &[Update],
    ) -> Result<(Member, Vec<Update>), PeerError> {
        let client = self.connect(to).await?;
        let mut request = client.ping_request();
        write_member(request.get().init_from(), me);
        write_notes(request.get().init_notes(notes.len() as u32), notes);
        self.finish(to, self.timeout, async {
            let response = request.send().promise.await?;
            let answer = response.get()?;
            Ok((read_member(answer.get_self()?)?, read_notes(answer.get_notes()?)?))
        })
        .await
    }

    /// Sends a command to the owner of a shard.
    ///
    /// # Errors
    ///
    /// How the call failed.
    pub async fn command(
        &self,
        to: SocketAddr,
        shard: u32,
        body: &[u8],
        limit: Duration,
    ) -> Result<Vec<u8>, PeerError> {
        let client = self.connect(to).await?;
        let mut request = client.command_request();
        request.get().set_shard(shard);
        request.get().set_body(body);
        self.finish(to, limit, async {
            let response = request.send().promise.await?;
            Ok(response.get()?.get_body()?.to_vec())
        })
        .await
    }

    /// Asks for configuration entries after a generation.
    ///
    /// # Errors
    ///
    /// How the call failed.
    pub async fn entries(&self, to: SocketAddr, after: u64) -> Result<Entries, PeerError> {
        let client = self.connect(to).await?;
        let mut request = client.entries_request();
        request.get().set_after(after);
        self.finish(to, self.timeout, async {
            let response = request.send().promise.await?;
            let answer = response.get()?;
            let entries: Result<Vec<Vec<u8>>, capnp::Error> =
                answer.get_entries()?.iter().map(|entry| Ok(entry?.to_vec())).collect();
            let document = answer.get_document()?.to_vec();
            Ok(Entries { head: answer.get_head(), entries: entries?, document })
        })
        .await
    }

    /// Tells how many online requests this daemon has at a target.
    ///
    /// # Errors
    ///
    /// How the call failed.
    pub async fn pressure(
        &self,
        to: SocketAddr,
        from: u64,
        target: &str,
        online: u32,
    ) -> Result<(), PeerError> {
        let client = self.connect(to).await?;
        let mut request = client.pressure_request();
        request.get().set_from(from);
        request.get().set_target(target);
        request.get().set_online(online);
        self.finish(to, self.timeout, async { request.send().promise.await.map(|_| ()) }).await
    }

    /// Sends a message of the gateway and waits `limit` for its reply.
    ///
    /// # Errors
    ///
    /// How the call failed.
    pub async fn ask(
        &self,
        to: SocketAddr,
        body: &[u8],
        limit: Duration,
    ) -> Result<Vec<u8>, PeerError> {
        let client = self.connect(to).await?;
        let mut request = client.ask_request();
        request.get().set_body(body);
        self.finish(to, limit, async {
            let response = request.send().promise.await?;
            Ok(response.get()?.get_body()?.to_vec())
        })
        .await
    }

    /// Asks for all members that a daemon knows.
    ///
    /// # Errors
    ///
    /// How the call failed.
    pub async fn members(&self, to: SocketAddr) -> Result<Vec<Member>, PeerError> {
        let client = self.connect(to).await?;
        let request = client.members_request();
        self.finish(to, self.timeout, async {
            let response = request.send().promise.await?;
            response.get()?.get_members()?.iter().map(read_member).collect()
        })
        .await
    }

    async fn finish<T>(
        &self,
        to: SocketAddr,
        limit: Duration,
        call: impl Future<Output = Result<T, capnp::Error>>,
    ) -> Result<T, PeerError> {
        let fault = match tokio::time::timeout(limit, call).await {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("no answer in {limit:?}"),
        };
        self.connections.borrow_mut().remove(&to);
        Err(PeerError::OutcomeUnknown(fault))
    }

    async fn connect(&self, to: SocketAddr) -> Result<peer::Client, PeerError> {
        if self.partition.is_unreachable(to, Instant::now()) {
            self.connections.borrow_mut().remove(&to);
            return Err(PeerError::NotSent("cut off".into()));
        }
        if let Some(kept) = self.kept(to) {
            if self.partition.is_unresponsive(to, kept.opened, kept.used) {
                tokio::time::sleep(self.timeout).await;
                self.connections.borrow_mut().remove(&to);
                return Err(PeerError::OutcomeUnknown("the connection is silent".into()));
            }
            return Ok(kept.client);
        }
        let stream = tokio::time::timeout(self.timeout, TcpStream::connect(to)).await;
        let stream = stream.map_err(|_| PeerError::NotSent("no connection in time".into()))?;
        let stream = stream.map_err(|error| PeerError::NotSent(error.to_string()))?;
        let counted = Counted { stream, traffic: self.traffic.clone() };
        let network = network(counted, rpc_twoparty_capnp::Side::Client)
            .ok_or_else(|| PeerError::NotSent("the connection closed".into()))?;
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: peer::Client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
        tokio::task::spawn_local(system);
        self.keep(to, client.clone());
        Ok(client)
    }

    /// The connection to an address, which is used now.
    fn kept(&self, to: SocketAddr) -> Option<Kept> {
        let mut connections = self.connections.borrow_mut();
        let kept = connections.get_mut(&to)?;
        kept.used = Instant::now();
        Some(kept.clone())
    }

    fn keep(&self, to: SocketAddr, client: peer::Client) {
        let mut connections = self.connections.borrow_mut();
        if connections.len() >= MOST_CONNECTIONS {
            let oldest = connections.iter().min_by_key(|(_, kept)| kept.used).map(|(a, _)| *a);
            oldest.map(|address| connections.remove(&address));
        }
        let now = Instant::now();
        connections.insert(to, Kept { client, opened: now, used: now });
    }
}
