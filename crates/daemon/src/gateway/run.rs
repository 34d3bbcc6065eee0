//! Starts a gateway, and stops it gracefully.

use super::front::HttpHandler;
use super::metrics::StatusHandler;
use super::node::Node;
use super::peers::{HEARTBEAT_TIMEOUT, PeerHandler};
use super::{
    anti_entropy, discovery, handoff, items, job_scan, leases, origins, peers, platform_health,
    quarantine, quota, suspension, takeover, watch,
};
use crate::clock;
use crate::start;
use anyhow::Context;
use coordination::drain::{self, Phase, Plan};
use protocol::settings::Settings;
use slog::Logger;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio_util::sync::CancellationToken;
use transport::budget::Budget;
use transport::connections::Connections;
use transport::link::SimulatedLink;
use transport::partition::SimulatedPartition;
use transport::peer::{Pool, Traffic, serve};
use transport::{http, server};

const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How much earlier than its time limit a stop ends, so that the process isn't killed while it
/// writes its last log lines.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// Runs a gateway until a signal stops it.
///
/// # Errors
///
/// Returns an error if an address can't be bound or a signal handler can't be installed.
pub fn run(settings: Settings, file: &Path, log: Logger) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, serve_all(settings, file, log))
}

fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    http::listen(address).with_context(|| format!("can't listen on {address}"))
}

async fn serve_all(settings: Settings, file: &Path, log: Logger) -> anyhow::Result<()> {
    settings.suspension_file.iter().for_each(|file| clock::simulate_suspension(file.clone()));
    let mut terminate = signal(SignalKind::terminate()).context("SIGTERM")?;
    let mut reload = signal(SignalKind::hangup()).context("SIGHUP")?;
    let front = bind(settings.front_address)?;
    let ready = settings.ready_address.map(bind).transpose()?;
    let metrics = settings.metrics_listen_address.map(bind).transpose()?;
    let peer = bind(settings.peer_address)?;
    let me = start::member(&settings, front.local_addr()?, peer.local_addr()?);
    let partition = SimulatedPartition::new(settings.partition_file.clone());
    let link = settings.simulated_link_rate.map(|rate| SimulatedLink::new(rate, clock::now()));
    let messages = Budget::new(settings.max_body_memory_bytes());
    let traffic = Arc::new(Traffic { link, messages, ..Traffic::default() });
    let pool = Pool::new(HEARTBEAT_TIMEOUT, partition, traffic.clone());
    let node = Node::new(settings, log, me, pool);
    slog::info!(node.log, "started"; "id" => format!("{:x}", node.id()),
        "front" => front.local_addr()?.to_string(), "peers" => peer.local_addr()?.to_string(),
        "platform" => %node.settings.platform_address);
    let stop = CancellationToken::new();
    spawn_local(serve(peer, PeerHandler { node: node.clone() }, traffic, stop.clone()));
    spawn_local(peers::run(node.clone(), stop.clone()));
    watch::start(&node, &stop);
    spawn_local(platform_health::run(node.clone(), stop.clone()));
    spawn_local(suspension::run(node.clone(), stop.clone()));
    spawn_local(discovery::run(node.clone(), stop.clone()));
    spawn_local(origins::run(node.clone(), stop.clone()));
    spawn_local(anti_entropy::run(node.clone(), stop.clone()));
    spawn_local(leases::report(node.clone(), stop.clone()));
    spawn_local(quota::run(node.clone(), stop.clone()));
    spawn_local(items::run(node.clone(), stop.clone()));
    spawn_local(takeover::run(node.clone(), stop.clone()));
    spawn_local(quarantine::persist(node.clone(), stop.clone()));
    spawn_local(job_scan::run(node.clone(), stop.clone()));
    for listener in ready.into_iter().chain(metrics) {
        let handler = Rc::new(StatusHandler { node: node.clone() });
        spawn_local(server::serve(listener, handler, Connections::new(usize::MAX), stop.clone()));
    }
    let handler = Rc::new(HttpHandler { node: node.clone() });
    let callers_stop = CancellationToken::new();
    spawn_local(server::serve(front, handler, node.callers.clone(), callers_stop.clone()));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => reload_settings(&node, file),
        }
    }
    drain(&node, &callers_stop, &stop).await;
    slog::info!(node.log, "stopped"; "running" => node.in_flight.get());
    stop.cancel();
    Ok(())
}

/// Reads the settings again and applies new seeds; other changes take effect at the next start.
/// An invalid file is logged.
fn reload_settings(node: &Node, file: &Path) {
    match Settings::read(file) {
        Ok(settings) => {
            let has_new_seeds = *node.seeds.borrow() != settings.seeds;
            node.seeds.borrow_mut().clone_from(&settings.seeds);
            let others = Settings { seeds: node.settings.seeds.clone(), ..settings };
            slog::info!(node.log, "reload"; "new_seeds" => has_new_seeds,
                "takes_effect_at_next_start" => others != node.settings);
        }
        Err(error) => slog::error!(node.log, "reload"; "fault" => %error),
    }
}

/// Stops gracefully: reports not ready, hands off jobs, and completes requests in flight, within
/// the time limit of the settings. `callers_stop` ends the server of callers, and `stop` the hand-off
/// of jobs.
async fn drain(node: &Rc<Node>, callers_stop: &CancellationToken, stop: &CancellationToken) {
    let since = clock::now();
    slog::info!(node.log, "stop ordered"; "running" => node.in_flight.get(),
        "jobs" => node.jobs.held_count());
    let max_duration = node.settings.max_stop_duration.saturating_sub(STOP_MARGIN);
    let plan = Plan { grace: node.settings.stop_grace, max_duration };
    node.exit_at.set(Some(since + max_duration));
    node.stopping.cancel();
    node.members.borrow_mut().leave();
    node.membership_changed.notify_one();
    spawn_local(handoff::hand_off_jobs(node.clone(), stop.clone()));
    loop {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
        let connections = node.callers.count();
        let remaining = node.in_flight.get() + node.jobs.open_jobs().len() + connections;
        let is_closed = callers_stop.is_cancelled();
        match drain::phase(plan, since, remaining, is_closed, clock::now()) {
            Phase::Exit => break,
            Phase::Grace => {}
            Phase::Draining => callers_stop.cancel(),
        }
    }
    callers_stop.cancel();
    node.ending.cancel();
    tokio::time::sleep(STOP_POLL_INTERVAL).await;
}
