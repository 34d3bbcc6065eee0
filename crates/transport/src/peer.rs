//! Calls between daemons over capnp-rpc.
//!
//! capnp-rpc is single-threaded, so this is a duty on a thread of its own with
//! a `LocalSet`; other duties reach it through a ring. Connections are kept for
//! the few members that are spoken to, and dropped at the first fault.

mod codec;
mod connection;
mod pool;
mod serve;

pub use connection::Traffic;
pub use pool::{PeerError, Pool};
pub use serve::serve;

use coordination::membership::{Member, Update};
use std::future::Future;

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
    fn ping(&self, from: Member, notes: Vec<Update>)
    -> impl Future<Output = (Member, Vec<Update>)>;
    /// A command to a shard, encoded.
    fn command(&self, shard: u32, body: Vec<u8>) -> impl Future<Output = Vec<u8>>;
    /// Configuration entries after a generation.
    fn entries(&self, after: u64) -> impl Future<Output = Entries>;
    /// A peer's online requests at a target.
    fn pressure(&self, from: u64, target: String, online: u32) -> impl Future<Output = ()>;
    /// A message of the gateway, encoded; answers with its reply, encoded.
    fn ask(&self, body: Vec<u8>) -> impl Future<Output = Vec<u8>>;
    /// All members known.
    fn members(&self) -> impl Future<Output = Vec<Member>>;
}
