//! Replies of another instance that are cut at any byte.

use coordination::membership::{Member, State, Update};
use rstest::rstest;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio_util::sync::CancellationToken;
use transport::partition::SimulatedPartition;
use transport::peer::{Entries, Handler, PeerError, Pool, Traffic, serve};

const TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Peer;

fn member(id: u64) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let data_centre = String::from("east");
    let state = State::Alive;
    Member { id, peer: address, http: address, data_centre, incarnation: 1, state, generation: 0 }
}

fn entries() -> Entries {
    Entries { head: 7, entries: vec![vec![1; 20], vec![2; 20]], document: vec![3; 20] }
}

impl Handler for Peer {
    async fn ping(&self, _from: Member, _updates: Vec<Update>) -> (Member, Vec<Update>) {
        (member(2), vec![Update::Generation(7)])
    }

    async fn command(&self, _shard: u32, _body: Vec<u8>) -> Vec<u8> {
        vec![4; 100]
    }

    async fn entries(&self, _after: u64) -> Entries {
        entries()
    }

    async fn pressure(&self, _from: u64, _target: String, _online: u32) {}

    async fn ask(&self, _body: Vec<u8>) -> Vec<u8> {
        vec![5; 100]
    }

    async fn members(&self) -> Vec<Member> {
        vec![member(2), member(3)]
    }
}

#[derive(Clone, Copy, Debug)]
enum Call {
    Ping,
    Command,
    Entries,
    Ask,
    Members,
}

impl Call {
    /// Whether the whole reply arrived.
    async fn send(self, pool: &Pool, to: SocketAddr) -> Result<bool, PeerError> {
        Ok(match self {
            Call::Ping => {
                pool.ping(to, &member(1), &[]).await? == (member(2), vec![Update::Generation(7)])
            }
            Call::Command => pool.command(to, 1, b"x", TIMEOUT).await? == [4; 100],
            Call::Entries => pool.entries(to, 1).await? == entries(),
            Call::Ask => pool.ask(to, b"x", TIMEOUT).await? == [5; 100],
            Call::Members => pool.members(to).await? == [member(2), member(3)],
        })
    }
}

/// Forwards a connection to `peer`, and at most `limit` bytes of what comes back.
async fn forward(near: TcpStream, peer: SocketAddr, limit: usize, cuts: Rc<Cell<usize>>) {
    let far = TcpStream::connect(peer).await.expect("the peer");
    let ((mut from_near, mut to_near), (mut from_far, mut to_far)) =
        (near.into_split(), far.into_split());
    let requests = spawn_local(async move { copy(&mut from_near, &mut to_far).await });
    let mut left = limit;
    let mut buffer = [0; 4096];
    while let Ok(count @ 1..) = from_far.read(&mut buffer).await {
        let part = count.min(left);
        left -= part;
        if to_near.write_all(&buffer[..part]).await.is_err() {
            break;
        }
        if part < count {
            cuts.set(cuts.get() + 1);
            break;
        }
    }
    requests.abort();
}

/// Guards against a part of a reply that passes for the whole, such as an empty list.
#[rstest]
#[tokio::test(flavor = "current_thread")]
async fn cut_reply_is_no_reply(
    #[values(Call::Ping, Call::Command, Call::Entries, Call::Ask, Call::Members)] call: Call,
) {
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let peer = listener.local_addr().expect("an address");
        let traffic = Arc::new(Traffic::default());
        spawn_local(serve(listener, Peer, traffic.clone(), CancellationToken::new()));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let cuts = Rc::new(Cell::new(0));
        let (limit, count) = (Rc::new(Cell::new(0)), cuts.clone());
        let limit_of_next = limit.clone();
        spawn_local(async move {
            loop {
                let (near, _) = listener.accept().await.expect("a connection");
                spawn_local(forward(near, peer, limit_of_next.get(), count.clone()));
            }
        });
        let mut failed = 0;
        loop {
            let pool = Pool::new(TIMEOUT, SimulatedPartition::new(None), traffic.clone());
            match call.send(&pool, address).await {
                Ok(is_whole) => break assert!(is_whole, "{} bytes", limit.get()),
                Err(_) => failed += 1,
            }
            assert_eq!(cuts.get(), failed, "{} bytes", limit.get());
            limit.set(limit.get() + 1);
        }
        assert!(failed > 100, "{failed} replies cut");
        println!("{call:?}: {failed} replies cut");
    };
    LocalSet::new().run_until(test).await;
}
