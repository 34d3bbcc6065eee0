//! Idle connections that show whether the process of a server still runs.

use super::{connect, presence};
use coordination::presence::Presence;
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// An idle connection to a server. It is closed when the server's process ends, even if another
/// process listens on the address by the time that anybody looks.
#[derive(Debug, Default)]
pub struct Witness {
    state: RefCell<State>,
    connected: Notify,
}

#[derive(Debug, Default)]
enum State {
    #[default]
    Connecting,
    Connected(TcpStream),
    /// There is no connection.
    Failed(Presence),
}

impl Witness {
    /// Opens a connection in a task of its own.
    pub(super) fn open(to: SocketAddr, timeout: Duration) -> Rc<Witness> {
        let witness = Rc::new(Witness::default());
        let opened = witness.clone();
        tokio::task::spawn_local(async move {
            let stream = connect(to, timeout).await.and_then(tokio::net::TcpStream::into_std);
            *opened.state.borrow_mut() = match stream {
                Ok(stream) => State::Connected(stream),
                Err(error) => State::Failed(presence(&error)),
            };
            opened.connected.notify_waiters();
        });
        witness
    }

    /// Whether the process to which the connection was opened still runs. Waits until it is open.
    pub async fn presence(&self) -> Presence {
        let connected = self.connected.notified();
        if matches!(*self.state.borrow(), State::Connecting) {
            connected.await;
        }
        match &*self.state.borrow() {
            State::Connecting => Presence::Unknown,
            State::Connected(stream) if is_open(stream) => Presence::Listening,
            State::Connected(_) => Presence::Closed,
            State::Failed(presence) => *presence,
        }
    }

    /// Whether the connection was open and has been closed.
    pub fn is_closed(&self) -> bool {
        matches!(&*self.state.borrow(), State::Connected(stream) if !is_open(stream))
    }
}

/// Whether a connection on which nothing was sent is open, and nothing was received.
fn is_open(stream: &TcpStream) -> bool {
    stream.peek(&mut [0]).is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}
