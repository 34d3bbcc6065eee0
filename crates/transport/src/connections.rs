//! Open connections of callers, of which idle ones give way to new ones.
//!
//! Callers keep connections for further requests. If most of the new ones come to one instance,
//! those that are kept would take all its descriptors, and it could neither accept further ones nor
//! reach its targets.

use hyper::body::{Body, Frame, SizeHint};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Position of a connection among the idle ones; the longest idle one has the lowest.
type IdlePosition = u64;

/// The open connections of a server.
pub struct Connections {
    tasks: TaskTracker,
    max: usize,
    /// Idle connections, each with what closes it.
    idle: RefCell<BTreeMap<IdlePosition, CancellationToken>>,
    next_position: Cell<IdlePosition>,
    closed_idle: Cell<u64>,
    closed_unread: Cell<u64>,
}

impl Connections {
    /// Without connections; at most `max` may be open.
    pub fn new(max: usize) -> Rc<Connections> {
        Rc::new(Connections {
            tasks: TaskTracker::new(),
            max,
            idle: RefCell::default(),
            next_position: Cell::new(0),
            closed_idle: Cell::new(0),
            closed_unread: Cell::new(0),
        })
    }

    /// Number of open connections. A response is written once its connection has ended.
    pub fn count(&self) -> usize {
        self.tasks.len()
    }

    /// Number of idle connections that gave way to new ones so far.
    pub fn closed_idle(&self) -> u64 {
        self.closed_idle.get()
    }

    /// Number of new connections that weren't admitted so far.
    pub fn closed_unread(&self) -> u64 {
        self.closed_unread.get()
    }

    /// Admits a connection that was accepted. With as many open ones as there may be, it closes the
    /// one that has been idle for longest; `None` if none is idle.
    pub fn open(self: &Rc<Connections>) -> Option<Connection> {
        if self.count() >= self.max && !self.close_idle() {
            self.closed_unread.set(self.closed_unread.get() + 1);
            return None;
        }
        let connection = Connection(Rc::new(State {
            connections: self.clone(),
            closing: CancellationToken::new(),
            position: Cell::new(None),
        }));
        connection.0.set_idle();
        Some(connection)
    }

    /// Closes the connection that has been idle for longest; `false` if none is idle.
    pub fn close_idle(&self) -> bool {
        let Some((_, closing)) = self.idle.borrow_mut().pop_first() else {
            return false;
        };
        closing.cancel();
        self.closed_idle.set(self.closed_idle.get() + 1);
        true
    }

    /// Runs the task of a connection.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.tasks.spawn_local(task);
    }
}

/// An open connection.
#[derive(Clone)]
pub struct Connection(Rc<State>);

impl Connection {
    /// Waits until the connection has to give way to another one.
    pub async fn closing(&self) {
        self.0.closing.cancelled().await;
    }

    /// Marks the connection as busy until the result is dropped.
    pub fn start_request(&self) -> Busy {
        self.0.set_busy();
        Busy(self.0.clone())
    }
}

struct State {
    connections: Rc<Connections>,
    closing: CancellationToken,
    /// `None` while a request is in progress.
    position: Cell<Option<IdlePosition>>,
}

impl State {
    fn set_idle(&self) {
        let position = self.connections.next_position.get();
        self.connections.next_position.set(position + 1);
        self.connections.idle.borrow_mut().insert(position, self.closing.clone());
        self.position.set(Some(position));
    }

    fn set_busy(&self) {
        if let Some(position) = self.position.take() {
            self.connections.idle.borrow_mut().remove(&position);
        }
    }
}

impl Drop for State {
    fn drop(&mut self) {
        self.set_busy();
    }
}

/// A request in progress on a connection.
pub struct Busy(Rc<State>);

impl Busy {
    /// Keeps the connection busy until the end of a response's body.
    pub fn until_end_of<B>(self, body: B) -> BusyBody<B> {
        BusyBody { body, _busy: self }
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.set_idle();
    }
}

/// Body of the response to a request in progress.
pub struct BusyBody<B> {
    body: B,
    _busy: Busy,
}

impl<B: Body + Unpin> Body for BusyBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
