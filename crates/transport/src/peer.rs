//! Calls between daemons over capnp-rpc.
//!
//! capnp-rpc is single-threaded, so this is a duty on a thread of its own with
//! a `LocalSet`; other duties reach it through a ring. Connections are kept for
//! the few members that are spoken to, and dropped at the first fault.

use crate::cut::Cut;
use crate::peer_capnp::{leaving, member, note, peer};
use capnp::capability::Rc;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use coordination::leaving::Witness;
use coordination::member::{Member, Note, State};
use futures_util::AsyncReadExt;
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::compat::TokioAsyncReadCompatExt;
use tokio_util::sync::CancellationToken;

/// Most connections kept to other daemons.
const MOST_CONNECTIONS: usize = 64;

/// Configuration entries and, for one far behind, the whole document.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Entries {
    /// Generation in force at the daemon that answers.
    pub head: u64,
    /// Entries after the one asked for, encoded.
    pub entries: Vec<Vec<u8>>,
    /// The whole document, encoded; empty when the entries suffice.
    pub document: Vec<u8>,
}

/// What a daemon does when a peer calls.
pub trait Handler: Clone + 'static {
    /// A heartbeat with news; answers with oneself and news for the sender.
    fn ping(&self, from: Member, notes: Vec<Note>) -> impl Future<Output = (Member, Vec<Note>)>;
    /// A command to a shard, encoded.
    fn command(&self, shard: u32, body: Vec<u8>) -> impl Future<Output = Vec<u8>>;
    /// Configuration entries after a generation.
    fn entries(&self, after: u64) -> impl Future<Output = Entries>;
    /// A peer's online requests at a target.
    fn pressure(&self, from: u64, target: String, online: u32) -> impl Future<Output = ()>;
    /// All members known.
    fn members(&self) -> impl Future<Output = Vec<Member>>;
}

fn write_member(mut to: member::Builder<'_>, from: &Member) {
    to.set_id(from.id);
    to.set_peer(from.peer.to_string());
    to.set_http(from.http.to_string());
    to.set_data_centre(&from.data_centre);
    to.set_incarnation(from.incarnation);
    to.set_generation(from.generation);
    to.set_state(match from.state {
        State::Alive => member::State::Alive,
        State::Suspect => member::State::Suspect,
        State::Leaving => member::State::Leaving,
        State::Dead => member::State::Dead,
    });
}

fn read_member(from: member::Reader<'_>) -> Result<Member, capnp::Error> {
    let state = match from.get_state()? {
        member::State::Alive => State::Alive,
        member::State::Suspect => State::Suspect,
        member::State::Leaving => State::Leaving,
        member::State::Dead => State::Dead,
    };
    Ok(Member {
        id: from.get_id(),
        peer: read_address(from.get_peer()?)?,
        http: read_address(from.get_http()?)?,
        data_centre: from.get_data_centre()?.to_string()?,
        incarnation: from.get_incarnation(),
        generation: from.get_generation(),
        state,
    })
}

fn write_witness(witness: Witness) -> leaving::Witness {
    match witness {
        Witness::Target => leaving::Witness::Target,
        Witness::Platform => leaving::Witness::Platform,
        Witness::Operator => leaving::Witness::Operator,
        Witness::Controller => leaving::Witness::Controller,
    }
}

fn read_witness(witness: leaving::Witness) -> Witness {
    match witness {
        leaving::Witness::Target => Witness::Target,
        leaving::Witness::Platform => Witness::Platform,
        leaving::Witness::Operator => Witness::Operator,
        leaving::Witness::Controller => Witness::Controller,
    }
}

fn read_address(text: capnp::text::Reader<'_>) -> Result<SocketAddr, capnp::Error> {
    let text = text.to_str()?;
    text.parse().map_err(|_| capnp::Error::failed(format!("not an address: {text}")))
}

fn write_notes(mut to: capnp::struct_list::Builder<'_, note::Owned>, from: &[Note]) {
    for (index, note) in from.iter().enumerate() {
        let mut slot = to.reborrow().get(index as u32);
        match note {
            Note::Member(member) => write_member(slot.init_member(), member),
            Note::Leaving { target, since, leaving, witness } => {
                let mut word = slot.init_leaving();
                word.set_target(target);
                word.set_since(*since);
                word.set_leaving(*leaving);
                word.set_witness(write_witness(*witness));
            }
            Note::Cancel(job) => slot.set_cancel(job),
            Note::Generation(generation) => slot.set_generation(*generation),
            Note::Work(shard, at) => {
                let mut work = slot.init_work();
                work.set_shard(*shard);
                work.set_at(*at);
            }
        }
    }
}

fn read_notes(
    from: capnp::struct_list::Reader<'_, note::Owned>,
) -> Result<Vec<Note>, capnp::Error> {
    from.iter().map(read_note).collect()
}

fn read_note(note: note::Reader<'_>) -> Result<Note, capnp::Error> {
    match note.which()? {
        note::Which::Member(member) => Ok(Note::Member(read_member(member?)?)),
        note::Which::Leaving(word) => {
            let word = word?;
            Ok(Note::Leaving {
                target: word.get_target()?.to_string()?,
                since: word.get_since(),
                leaving: word.get_leaving(),
                witness: read_witness(word.get_witness()?),
            })
        }
        note::Which::Cancel(job) => Ok(Note::Cancel(job?.to_string()?)),
        note::Which::Generation(generation) => Ok(Note::Generation(generation)),
        note::Which::Work(work) => {
            let work = work?;
            Ok(Note::Work(work.get_shard(), work.get_at()))
        }
    }
}

struct Server<H> {
    handler: H,
}

impl<H: Handler> peer::Server for Server<H> {
    async fn ping(
        self: Rc<Self>,
        params: peer::PingParams,
        mut results: peer::PingResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let from = read_member(params.get_from()?)?;
        let notes = read_notes(params.get_notes()?)?;
        let (me, news) = self.handler.ping(from, notes).await;
        let mut answer = results.get();
        write_member(answer.reborrow().init_self(), &me);
        write_notes(answer.init_notes(news.len() as u32), &news);
        Ok(())
    }

    async fn command(
        self: Rc<Self>,
        params: peer::CommandParams,
        mut results: peer::CommandResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let body = params.get_body()?.to_vec();
        let answer = self.handler.command(params.get_shard(), body).await;
        results.get().set_body(&answer);
        Ok(())
    }

    async fn entries(
        self: Rc<Self>,
        params: peer::EntriesParams,
        mut results: peer::EntriesResults,
    ) -> Result<(), capnp::Error> {
        let found = self.handler.entries(params.get()?.get_after()).await;
        let mut answer = results.get();
        answer.set_head(found.head);
        answer.set_document(&found.document);
        let mut list = answer.init_entries(found.entries.len() as u32);
        for (index, entry) in found.entries.iter().enumerate() {
            list.set(index as u32, entry);
        }
        Ok(())
    }

    async fn pressure(
        self: Rc<Self>,
        params: peer::PressureParams,
        _results: peer::PressureResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let target = params.get_target()?.to_string()?;
        self.handler.pressure(params.get_from(), target, params.get_online()).await;
        Ok(())
    }

    async fn members(
        self: Rc<Self>,
        _params: peer::MembersParams,
        mut results: peer::MembersResults,
    ) -> Result<(), capnp::Error> {
        let members = self.handler.members().await;
        let mut list = results.get().init_members(members.len() as u32);
        for (index, member) in members.iter().enumerate() {
            write_member(list.reborrow().get(index as u32), member);
        }
        Ok(())
    }
}

/// Bytes moved between daemons, for metrics.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: AtomicU64,
    /// Bytes received.
    pub received: AtomicU64,
}

/// Serves peers until `stop`. Runs inside a `LocalSet`.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: H,
    traffic: Arc<Traffic>,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let server = Server { handler: handler.clone() };
        let client: peer::Client = capnp_rpc::new_client(server);
        let counted = Counted { stream, traffic: traffic.clone() };
        if let Some(network) = network(counted, rpc_twoparty_capnp::Side::Server) {
            let system = RpcSystem::new(Box::new(network), Some(client.client));
            tokio::task::spawn_local(until(system, stop.clone()));
        }
    }
}

async fn until(system: RpcSystem<rpc_twoparty_capnp::Side>, stop: CancellationToken) {
    tokio::select! {
        _ = system => {}
        () = stop.cancelled() => {}
    }
}

type Network = twoparty::VatNetwork<
    futures_util::io::BufReader<futures_util::io::ReadHalf<tokio_util::compat::Compat<Counted>>>,
>;

fn network(stream: Counted, side: rpc_twoparty_capnp::Side) -> Option<Network> {
    stream.stream.set_nodelay(true).ok()?;
    let (read, write) = stream.compat().split();
    let read = futures_util::io::BufReader::new(read);
    let write = futures_util::io::BufWriter::new(write);
    Some(twoparty::VatNetwork::new(read, write, side, capnp::message::ReaderOptions::new()))
}

/// A connection that counts its bytes.
struct Counted {
    stream: TcpStream,
    traffic: Arc<Traffic>,
}

impl tokio::io::AsyncRead for Counted {
    fn poll_read(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let polled = std::pin::Pin::new(&mut self.stream).poll_read(cx, buffer);
        let read = buffer.filled().len() - before;
        self.traffic.received.fetch_add(read as u64, Ordering::Relaxed);
        polled
    }
}

impl tokio::io::AsyncWrite for Counted {
    fn poll_write(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        bytes: &[u8],
    ) -> std::task::Poll<std::io::Result<usize>> {
        let polled = std::pin::Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let std::task::Poll::Ready(Ok(written)) = &polled {
            self.traffic.sent.fetch_add(*written as u64, Ordering::Relaxed);
        }
        polled
    }

    fn poll_flush(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        std::pin::Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        std::pin::Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Why a call to a peer failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No connection; the call never left.
    NotSent(String),
    /// The call left and no answer came.
    Lost(String),
}

/// Connections to other daemons. Lives inside a `LocalSet`.
#[derive(Clone)]
pub struct Pool {
    connections: std::rc::Rc<RefCell<HashMap<SocketAddr, (peer::Client, Instant)>>>,
    timeout: Duration,
    cut: Cut,
    traffic: Arc<Traffic>,
}

impl Pool {
    /// An empty pool; calls wait for `timeout` at most.
    pub fn new(timeout: Duration, cut: Cut, traffic: Arc<Traffic>) -> Pool {
        Pool { connections: std::rc::Rc::default(), timeout, cut, traffic }
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
        notes: &[Note],
    ) -> Result<(Member, Vec<Note>), Fault> {
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
    ) -> Result<Vec<u8>, Fault> {
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
    pub async fn entries(&self, to: SocketAddr, after: u64) -> Result<Entries, Fault> {
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
    ) -> Result<(), Fault> {
        let client = self.connect(to).await?;
        let mut request = client.pressure_request();
        request.get().set_from(from);
        request.get().set_target(target);
        request.get().set_online(online);
        self.finish(to, self.timeout, async { request.send().promise.await.map(|_| ()) }).await
    }

    /// Asks for all members that a daemon knows.
    ///
    /// # Errors
    ///
    /// How the call failed.
    pub async fn members(&self, to: SocketAddr) -> Result<Vec<Member>, Fault> {
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
    ) -> Result<T, Fault> {
        let fault = match tokio::time::timeout(limit, call).await {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("no answer in {limit:?}"),
        };
        self.connections.borrow_mut().remove(&to);
        Err(Fault::Lost(fault))
    }

    async fn connect(&self, to: SocketAddr) -> Result<peer::Client, Fault> {
        if self.cut.is_cut(to, Instant::now()) {
            self.connections.borrow_mut().remove(&to);
            return Err(Fault::NotSent("cut off".into()));
        }
        if let Some((client, used)) = self.connections.borrow_mut().get_mut(&to) {
            *used = Instant::now();
            return Ok(client.clone());
        }
        let stream = tokio::time::timeout(self.timeout, TcpStream::connect(to)).await;
        let stream = stream.map_err(|_| Fault::NotSent("no connection in time".into()))?;
        let stream = stream.map_err(|error| Fault::NotSent(error.to_string()))?;
        let counted = Counted { stream, traffic: self.traffic.clone() };
        let network = network(counted, rpc_twoparty_capnp::Side::Client)
            .ok_or_else(|| Fault::NotSent("the connection closed".into()))?;
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: peer::Client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
        tokio::task::spawn_local(system);
        self.keep(to, client.clone());
        Ok(client)
    }

    fn keep(&self, to: SocketAddr, client: peer::Client) {
        let mut connections = self.connections.borrow_mut();
        if connections.len() >= MOST_CONNECTIONS {
            let oldest = connections.iter().min_by_key(|(_, (_, used))| *used).map(|(a, _)| *a);
            oldest.map(|address| connections.remove(&address));
        }
        connections.insert(to, (client, Instant::now()));
    }
}
