//! Server for calls from other instances.

use super::Handler;
use super::codec::{read_member, read_updates, write_member, write_updates};
use super::connection::{CountedStream, Traffic, network};
use crate::peer_capnp::peer;
use capnp::capability::Rc;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp};
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

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
        let updates = read_updates(params.get_notes()?)?;
        let (local, outgoing) = self.handler.ping(from, updates).await;
        let mut reply = results.get();
        write_member(reply.reborrow().init_self(), &local);
        write_updates(reply.init_notes(outgoing.len() as u32), &outgoing);
        Ok(())
    }

    async fn command(
        self: Rc<Self>,
        params: peer::CommandParams,
        mut results: peer::CommandResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let body = params.get_body()?.to_vec();
        let reply = self.handler.command(params.get_shard(), body).await;
        results.get().set_body(&reply);
        Ok(())
    }

    async fn entries(
        self: Rc<Self>,
        params: peer::EntriesParams,
        mut results: peer::EntriesResults,
    ) -> Result<(), capnp::Error> {
        let found = self.handler.entries(params.get()?.get_after()).await;
        let mut reply = results.get();
        reply.set_head(found.head);
        reply.set_document(&found.document);
        let mut list = reply.init_entries(found.entries.len() as u32);
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

    async fn ask(
        self: Rc<Self>,
        params: peer::AskParams,
        mut results: peer::AskResults,
    ) -> Result<(), capnp::Error> {
        let body = params.get()?.get_body()?.to_vec();
        let reply = self.handler.ask(body).await;
        results.get().set_body(&reply);
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

/// Serves calls from other instances until `stop` is cancelled. Must be called inside
/// a `LocalSet`.
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
        let counted = CountedStream::new(stream, traffic.clone());
        if let Some(network) = network(counted, rpc_twoparty_capnp::Side::Server) {
            let system = RpcSystem::new(Box::new(network), Some(client.client));
            tokio::task::spawn_local(run_until(system, stop.clone()));
        }
    }
}

async fn run_until(system: RpcSystem<rpc_twoparty_capnp::Side>, stop: CancellationToken) {
    tokio::select! {
        _ = system => {}
        () = stop.cancelled() => {}
    }
}
