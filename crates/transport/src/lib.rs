//! Connections of a daemon: to the platform, to targets, to its peers.
//!
//! Each module moves messages and says how a call ended, in just the terms
//! that decisions need: was it sent, was it refused, is its fate unknown. None
//! of them decides what to do about it.
//!
//! What it is not: a place for retries. A retry needs to know whether the work
//! may run twice, and only the caller of this crate knows that.

pub mod channel;
pub mod clock;
pub mod event;
pub mod http;
pub mod partition;
pub mod peer;

pub mod server;
pub mod sse;
pub mod target;
pub mod upstream;

/// Generated from `schema/peer.capnp`; committed so that the build needs no
/// generator.
#[allow(missing_docs, clippy::all, unsafe_code, unused_qualifications)]
#[rustfmt::skip]
pub mod peer_capnp;
