//! A stand-in for another instance, which replies to requests in a way that a test chooses.

use coordination::membership::{Member, State, Update};
use daemon::gateway::message::{PeerReply, PeerRequest, decode, encode};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};
use tokio_util::sync::{CancellationToken, DropGuard};
use transport::partition::SimulatedPartition;
use transport::peer::{Entries, Handler, Pool, Traffic, serve};

const TIMEOUT: Duration = Duration::from_secs(2);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// A member that holds no jobs. It falls silent when dropped.
pub struct PeerStandin {
    requests: Arc<Mutex<Vec<PeerRequest>>>,
    _stop: DropGuard,
}

#[derive(Clone)]
struct Recorder {
    me: Member,
    requests: Arc<Mutex<Vec<PeerRequest>>>,
    reply: Vec<u8>,
}

impl Handler for Recorder {
    async fn ping(&self, _from: Member, _updates: Vec<Update>) -> (Member, Vec<Update>) {
        (self.me.clone(), Vec::new())
    }

    async fn command(&self, _shard: u32, _body: Vec<u8>) -> Vec<u8> {
        Vec::new()
    }

    async fn entries(&self, _after: u64) -> Entries {
        Entries::default()
    }

    async fn pressure(&self, _from: u64, _target: String, _online: u32) {}

    async fn ask(&self, body: Vec<u8>) -> Vec<u8> {
        let request = decode::<PeerRequest>(&body);
        self.requests.lock().expect("no panic elsewhere").extend(request);
        self.reply.clone()
    }

    async fn members(&self) -> Vec<Member> {
        vec![self.me.clone()]
    }
}

impl PeerStandin {
    /// Joins the instances at `others` as a member with this id, and answers every request
    /// with `reply`.
    pub fn join(id: u64, data_centre: &str, others: Vec<SocketAddr>, reply: Vec<u8>) -> Self {
        let requests = Arc::default();
        let stop = CancellationToken::new();
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("an address");
        let peer = listener.local_addr().expect("an address");
        let me = Member {
            id,
            peer,
            http: peer,
            data_centre: data_centre.to_owned(),
            incarnation: 1,
            state: State::Alive,
            generation: 0,
        };
        let recorder = Recorder { me, requests: Arc::clone(&requests), reply };
        let guard = stop.clone().drop_guard();
        std::thread::spawn(move || run(listener, recorder, others, stop));
        PeerStandin { requests, _stop: guard }
    }

    /// Number of requests to take a job over.
    pub fn takeover_requests(&self) -> usize {
        let requests = self.requests.lock().expect("no panic elsewhere");
        requests.iter().filter(|request| matches!(request, PeerRequest::TakeOver(..))).count()
    }
}

fn pool() -> Pool {
    Pool::new(TIMEOUT, SimulatedPartition::new(None), Arc::new(Traffic::default()))
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), future)
}

fn run(
    listener: std::net::TcpListener,
    recorder: Recorder,
    others: Vec<SocketAddr>,
    stop: CancellationToken,
) {
    block_on(async move {
        listener.set_nonblocking(true).expect("a socket option");
        let listener = TcpListener::from_std(listener).expect("a listener");
        let traffic = Arc::new(Traffic::default());
        spawn_local(serve(listener, recorder.clone(), traffic, stop.clone()));
        let pool = pool();
        while !stop.is_cancelled() {
            for other in &others {
                // An instance that has exited doesn't reply.
                let _result = pool.ping(*other, &recorder.me, &[]).await;
            }
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    });
}

/// Sends one request to an instance as another instance does. `None` if there was no reply, or
/// one of an unknown format.
pub fn request(to: SocketAddr, request: &PeerRequest) -> Option<PeerReply> {
    let bytes = block_on(async { pool().ask(to, &encode(request), TIMEOUT).await });
    decode(&bytes.ok()?)
}
