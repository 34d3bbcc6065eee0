//! Calls between instances over capnp-rpc.
//!
//! capnp-rpc is single-threaded: it runs on a worker thread with a `LocalSet`, which
//! other threads reach through a channel. Connections are pooled, and closed when a
//! call fails.

mod arriving;
mod codec;
mod connection;
mod pool;
mod serve;

pub use connection::Traffic;
pub use pool::{PeerError, Pool};
pub use serve::serve;

use coordination::membership::{Member, Update};
use std::future::Future;

/// Configuration entries or, if the peer lacks more than the log holds, the document.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Entries {
    /// Generation in force at the instance that replies.
    pub head: u64,
    /// Encoded entries after the requested generation.
    pub entries: Vec<Vec<u8>>,
    /// Encoded document; empty if the entries suffice.
    pub document: Vec<u8>,
}

/// Handles calls from other instances.
pub trait Handler: Clone + 'static {
    /// Handles a heartbeat with updates; returns this member and updates for the sender.
    fn ping(
        &self,
        from: Member,
        updates: Vec<Update>,
    ) -> impl Future<Output = (Member, Vec<Update>)>;
    /// Runs an encoded command on a shard; returns the encoded reply.
    fn command(&self, shard: u32, body: Vec<u8>) -> impl Future<Output = Vec<u8>>;
    /// Returns the configuration entries after a generation.
    fn entries(&self, after: u64) -> impl Future<Output = Entries>;
    /// Records the number of online requests that instance `from` has at a target.
    fn pressure(&self, from: u64, target: String, online: u32) -> impl Future<Output = ()>;
    /// Handles an encoded gateway request; returns the encoded reply.
    fn ask(&self, body: Vec<u8>) -> impl Future<Output = Vec<u8>>;
    /// Returns all known members.
    fn members(&self) -> impl Future<Output = Vec<Member>>;
}
