//! Connections of an instance to callers, the platform, targets and other instances.
//!
//! Errors distinguish requests that were not sent, were rejected, or have an
//! unknown outcome. Nothing here retries: only the user of this crate knows
//! whether a request may run twice.

pub mod body;
pub mod budget;
pub mod channel;
pub mod clock;
pub mod connections;
pub mod event;
mod head;
pub mod http;
pub mod link;
pub mod partition;
pub mod peer;
pub mod server;
pub mod socket;
pub mod sse;
pub mod target;
pub mod upstream;

/// Generated from `schema/peer.capnp`; checked in so that builds don't need the capnp compiler.
#[allow(missing_docs, clippy::all, unsafe_code, unused_qualifications)]
#[rustfmt::skip]
pub mod peer_capnp;
