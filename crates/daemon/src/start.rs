//! Starts and stops the worker threads of one daemon.

use crate::batch;
use crate::clock;
use crate::control;
use crate::fleet::lock;
use crate::front::HttpHandler;
use crate::peers;
use crate::shards;
use crate::shared::{Shared, SharedParts};
use crate::store;
use crate::telemetry::Telemetry;
use coordination::capacity;
use coordination::drain::{self, Phase, Plan};
use coordination::membership::{Member, State};
use protocol::settings::Settings;
use slog::Logger;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio_util::sync::CancellationToken;
use transport::http;
use transport::partition::SimulatedPartition;
use transport::target::Client;

const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running daemon.
pub struct Daemon {
    /// Address at which callers are served.
    pub front: SocketAddr,
    /// Address at which other instances are served.
    pub peer: SocketAddr,
    shared: Arc<Shared>,
    tokens: Tokens,
    threads: Vec<JoinHandle<()>>,
}

/// Cancellation tokens. The front end's is cancelled first: the others serve the requests
/// that it still runs.
#[derive(Clone, Default)]
struct Tokens {
    front: CancellationToken,
    workers: CancellationToken,
}

/// Starts a daemon: binds its addresses, then starts one thread for each worker.
///
/// # Errors
///
/// When an address can't be bound or a thread can't be started.
pub fn start(settings: Settings, log: Logger) -> anyhow::Result<Daemon> {
    let front_runtime = Builder::new_multi_thread()
        .worker_threads(settings.front_threads)
        .thread_name("front")
        .enable_all()
        .build()?;
    let peer_runtime = single_threaded()?;
    let front = bind(&front_runtime, settings.front_address)?;
    let peer = bind(&peer_runtime, settings.peer_address)?;
    let me = member(&settings, front.1, peer.1);
    let partition = SimulatedPartition::new(settings.partition_file.clone());
    let (store, store_worker) = store::new_worker(store::Config {
        address: settings.platform_address,
        timeout: settings.platform_timeout,
        calls_per_second: settings.platform_calls_per_second,
        partition: partition.clone(),
    });
    let (shards, items) = shards::new_handle(&settings);
    let (peers, calls) = peers::new_handle();
    let batch = batch::Handle::default();
    let telemetry = Telemetry::new(settings.metrics_address)?;
    let shared =
        Arc::new(SharedParts { settings, log, me, store, shards, peers, batch, telemetry }.build());
    let tokens = Tokens::default();
    let mut workers = Workers { tokens: tokens.clone(), threads: Vec::new() };
    let (log, stop) = (shared.log.clone(), tokens.workers.clone());
    workers.spawn_local("platform", single_threaded()?, move || store_worker.run(log, stop))?;
    workers.spawn(
        "log",
        single_threaded()?,
        shards::run(shared.clone(), items, tokens.workers.clone()),
    )?;
    let client = || {
        Client::new(
            shared.settings.connect_timeout,
            shared.settings.stream_idle_timeout,
            partition.clone(),
        )
    };
    workers.spawn(
        "batch",
        single_threaded()?,
        batch::run(shared.clone(), client(), tokens.workers.clone()),
    )?;
    let control = control::run(shared.clone(), client(), tokens.workers.clone());
    workers.spawn("control", single_threaded()?, control)?;
    let stop = tokens.workers.clone();
    let (shared_of_peers, partition_of_peers) = (shared.clone(), partition.clone());
    workers.spawn_local("peers", peer_runtime, move || {
        peers::run(shared_of_peers, peer.0, calls, partition_of_peers, stop)
    })?;
    let service = HttpHandler { shared: shared.clone(), client: client() };
    workers.spawn("front", front_runtime, http::serve(front.0, service, tokens.front.clone()))?;
    slog::info!(shared.log, "started"; "front" => front.1.to_string(),
        "peers" => peer.1.to_string(), "id" => format!("{:016x}", shared.id));
    Ok(Daemon { front: front.1, peer: peer.1, shared, tokens, threads: workers.threads })
}

fn single_threaded() -> std::io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

fn bind(runtime: &Runtime, address: SocketAddr) -> anyhow::Result<(TcpListener, SocketAddr)> {
    let _guard = runtime.enter();
    let listener = http::listen(address)
        .map_err(|error| anyhow::anyhow!("can't listen on {address}: {error}"))?;
    let bound = listener.local_addr()?;
    Ok((listener, bound))
}

/// Set in every id drawn, so that no id is zero.
const NONZERO_ID_BIT: u64 = 1 << 4;

/// The member table entry of this start of an instance.
pub(crate) fn member(settings: &Settings, front: SocketAddr, peer: SocketAddr) -> Member {
    Member {
        id: capacity::tag_id(rand::random::<u64>() | NONZERO_ID_BIT, settings.cpu_cores),
        peer,
        http: front,
        data_centre: settings.data_centre.clone(),
        incarnation: clock::millis(),
        state: State::Alive,
        generation: 0,
    }
}

struct Workers {
    tokens: Tokens,
    threads: Vec<JoinHandle<()>>,
}

impl Workers {
    fn spawn(
        &mut self,
        name: &str,
        runtime: Runtime,
        worker: impl Future<Output = ()> + Send + 'static,
    ) -> std::io::Result<()> {
        let thread = std::thread::Builder::new().name(name.into());
        self.threads.push(thread.spawn(move || {
            runtime.block_on(worker);
            runtime.shutdown_background();
        })?);
        Ok(())
    }

    fn spawn_local<F: Future<Output = ()> + 'static>(
        &mut self,
        name: &str,
        runtime: Runtime,
        new_worker: impl FnOnce() -> F + Send + 'static,
    ) -> std::io::Result<()> {
        let stop = self.tokens.workers.clone();
        let thread = std::thread::Builder::new().name(name.into());
        self.threads.push(thread.spawn(move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, async move {
                tokio::select! {
                    () = new_worker() => {}
                    () = stop.cancelled() => {}
                }
            });
        })?);
        Ok(())
    }
}

impl Daemon {
    /// State shared with the workers, for embedding.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Requests a planned stop; [`Daemon::join`] returns when it is done.
    pub fn stop(&self) {
        let mut stopping = lock(&self.shared.stopping);
        if stopping.is_none() {
            *stopping = Some(Instant::now());
            slog::info!(self.shared.log, "stop ordered");
        }
        drop(stopping);
        lock(&self.shared.members).leave();
        self.shared.updates_ready.notify_one();
        self.shared.batch.wake();
    }

    /// Waits until a planned stop is requested and has gone through its phases.
    pub fn join(self) {
        let settings = &self.shared.settings;
        let plan = Plan { grace: settings.stop_grace, max_duration: settings.max_stop_duration };
        loop {
            std::thread::sleep(STOP_POLL_INTERVAL);
            let Some(since) = *lock(&self.shared.stopping) else {
                continue;
            };
            let running = self.shared.in_flight.load(Ordering::Relaxed)
                + self.shared.batch.assigned_chunks()
                + self.shared.retry_queue.len();
            let without_drain = settings.is_guard_disabled("drain");
            let rejects_new = self.shared.rejects_new.load(Ordering::Relaxed);
            match drain::phase(plan, since, running, rejects_new, Instant::now()) {
                Phase::Exit => break,
                _ if without_drain => break,
                Phase::Grace => {}
                Phase::Draining => self.shared.rejects_new.store(true, Ordering::Relaxed),
            }
        }
        slog::info!(self.shared.log, "stopped";
            "unrecorded" => self.shared.retry_queue.len());
        self.tokens.front.cancel();
        self.tokens.workers.cancel();
    }

    /// Cancels every worker at once, like a kill; for tests that embed a daemon.
    pub fn kill(self) {
        self.tokens.front.cancel();
        self.tokens.workers.cancel();
        for thread in self.threads {
            drop(thread);
        }
    }
}
