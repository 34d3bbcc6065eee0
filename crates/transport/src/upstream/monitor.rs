//! Idle connections that show whether the process of a server still runs.

use super::{connect, presence};
use coordination::presence::Presence;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Time for which a monitor stays open after its last use.
const LIFETIME: Duration = Duration::from_secs(30);

/// Monitors of the servers whose responses have ended with their connections, by address.
#[derive(Debug, Default)]
pub(super) struct Monitors(HashMap<SocketAddr, Shared>);

#[derive(Debug)]
struct Shared {
    monitor: Rc<Monitor>,
    expires: Instant,
}

impl Monitors {
    /// An open monitor of a server, or one that is being opened.
    pub(super) fn get_or_open(
        &mut self,
        to: SocketAddr,
        timeout: Duration,
        now: Instant,
    ) -> Rc<Monitor> {
        self.0.retain(|_, shared| now < shared.expires);
        let known = self.0.get(&to).filter(|shared| !shared.monitor.is_lost());
        let monitor =
            known.map_or_else(|| Monitor::open(to, timeout), |shared| shared.monitor.clone());
        let expires = now + LIFETIME;
        self.0.insert(to, Shared { monitor: monitor.clone(), expires });
        monitor
    }

    /// As [`Monitors::get_or_open`] for a server that had a monitor a short time ago; `None` for
    /// any other.
    pub(super) fn reopen(
        &mut self,
        to: SocketAddr,
        timeout: Duration,
        now: Instant,
    ) -> Option<Rc<Monitor>> {
        let is_known = self.0.get(&to).is_some_and(|shared| now < shared.expires);
        is_known.then(|| self.get_or_open(to, timeout, now))
    }

    /// Closes the monitors of servers for which `keep` returns `false`, once they aren't in use.
    pub(super) fn retain(&mut self, keep: impl Fn(SocketAddr) -> bool) {
        self.0.retain(|address, _| keep(*address));
    }
}

/// An idle connection to a server. It is closed when the server's process ends, even if another
/// process listens on the address by the time that anybody looks.
#[derive(Debug, Default)]
pub struct Monitor {
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

impl Monitor {
    /// Opens a connection in a task of its own.
    pub(super) fn open(to: SocketAddr, timeout: Duration) -> Rc<Monitor> {
        let monitor = Rc::new(Monitor::default());
        let opened = monitor.clone();
        tokio::task::spawn_local(async move {
            let stream = connect(to, timeout).await.and_then(tokio::net::TcpStream::into_std);
            *opened.state.borrow_mut() = match stream {
                Ok(stream) => State::Connected(stream),
                Err(error) => State::Failed(presence(&error)),
            };
            opened.connected.notify_waiters();
        });
        monitor
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

    /// Whether there is no connection any more, or none could be opened.
    pub fn is_lost(&self) -> bool {
        match &*self.state.borrow() {
            State::Connecting => false,
            State::Connected(stream) => !is_open(stream),
            State::Failed(_) => true,
        }
    }

    /// Whether there is a connection, or will be within `timeout`.
    pub(super) async fn is_open_within(&self, timeout: Duration) -> bool {
        let presence = tokio::time::timeout(timeout, self.presence()).await;
        presence.is_ok_and(|presence| presence == Presence::Listening)
    }
}

/// Whether a connection on which nothing was sent is open, and nothing was received.
fn is_open(stream: &TcpStream) -> bool {
    stream.peek(&mut [0]).is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}
