//! Client side: fronts that turn bytes into typed requests and answers into bytes.

pub mod admin;
pub mod ajp;
mod closing;
mod fairness;
mod fields;
pub mod resp;

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::exchange::{Anomaly, Handle, Input};
use crate::fault_injection::{self, InjectedFault};
use crate::net::accept::Acceptor;
use crate::net::table::{Room, Seat, Table};

/// A client that has said nothing whole for this long is closed: since its connection was accepted, or since it
/// began what it has not ended. Slow front ends take two seconds to write a request; three are too long.
const SPEAKS_WITHIN: Duration = Duration::from_millis(2600);
/// A client that has said nothing for this long since its connection was accepted may lose its place.
const SPARED: Duration = Duration::from_millis(200);
/// A client that has not taken an answer for this long is closed: all answers are overdue then.
const WRITES_WITHIN: Duration = Duration::from_secs(10);
/// A connection that has been idle for this much longer than front ends keep theirs is given back.
const IDLE_MARGIN: Duration = Duration::from_secs(5);
/// Part of the room that connections at rest keep when they are given back: one in so many.
const KEPT: usize = 4;
/// Connections over the bound, one in so many, while those that lose their place have not ended yet.
const OVER: usize = 16;

/// What every connection of a front shares.
pub struct Shared {
    /// The exchange.
    pub exchange: Handle,
    /// Cancelled when connections are to be given back.
    pub closing: CancellationToken,
    /// Whether another process of this node has connections as well: both have half of the room then.
    pub halved: Cell<bool>,
    /// Whether another process accepts on the socket that the platform holds, so that what waits there is its own.
    pub succeeded: Cell<bool>,
}

impl Shared {
    /// What fronts need beside the exchange.
    pub fn new(exchange: Handle, closing: CancellationToken) -> Rc<Self> {
        Rc::new(Self { exchange, closing, halved: Cell::new(false), succeeded: Cell::new(false) })
    }

    /// How long a connection may rest; absent where it may for good.
    fn idle(&self) -> Option<Duration> {
        self.exchange.catalog().idle_timeout.map(|timeout| timeout + IDLE_MARGIN)
    }
}

/// The room of a front for clients.
pub fn room(most: usize) -> Room {
    Room { most, spares: SPARED }
}

/// A listener of a front.
pub struct Door {
    /// What takes its connections.
    pub acceptor: Acceptor<TcpListener>,
    /// Whether the platform holds the socket, with all that waits there, beyond this process.
    pub held: bool,
}

impl Door {
    /// A listener of this process's own.
    pub fn own(purpose: &'static str, listener: TcpListener) -> Self {
        Self { acceptor: Acceptor::new(purpose, listener), held: false }
    }
}

/// Serves every connection of a listener until connections are to be given back, and then those that are left.
/// There is `room` for so many: a newcomer takes the place of one that says nothing, or is closed unread.
pub async fn serve<F, C>(door: Door, room: Room, shared: Rc<Shared>, connection: C)
where
    F: Future<Output = ()> + 'static,
    C: Fn(TcpStream, Seat) -> F,
{
    let Door { mut acceptor, held } = door;
    let mut crowd =
        Crowd { open: JoinSet::new(), table: Arc::new(Table::new(room.spares)), room, shared, connection };
    let closing = crowd.shared.closing.clone();
    loop {
        let accepted = tokio::select! {
            biased;
            // Accepts come first: what waits in the backlog was accepted by the machine and is owed an answer.
            accepted = acceptor.next() => accepted,
            Some(_) = crowd.open.join_next() => continue,
            () = closing.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => crowd.admit(stream).await,
            Err(_) if fault_injection::is_active(InjectedFault::AcceptEnds) => break,
            Err(_) => crowd.shared.exchange.send(Input::Anomaly(Anomaly::AcceptFailed)).await,
        }
    }
    if held && crowd.shared.succeeded.get() {
        drop(acceptor);
    } else {
        crowd.admit_waiting(acceptor).await;
    }
    let Crowd { mut open, table, .. } = crowd;
    info!("not listening any more, {} connections open", open.len());
    // Guards the descriptors while the next process has connections too: those that rest for longest leave first.
    (room.most / KEPT..open.len()).take_while(|_| table.make_room()).for_each(drop);
    while open.join_next().await.is_some() {}
}

/// The connections of a front, and how further ones are served.
struct Crowd<C> {
    open: JoinSet<()>,
    table: Arc<Table>,
    room: Room,
    shared: Rc<Shared>,
    connection: C,
}

impl<F, C> Crowd<C>
where
    F: Future<Output = ()> + 'static,
    C: Fn(TcpStream, Seat) -> F,
{
    /// Serves a newcomer where there is room, or can be made.
    async fn admit(&mut self, stream: TcpStream) {
        while self.open.try_join_next().is_some() {}
        let most = if self.shared.halved.get() { self.room.most / 2 } else { self.room.most };
        if self.open.len() < most {
            self.begin(stream);
        } else if self.open.len() <= most + most / OVER && self.table.make_room() {
            self.begin(stream);
            // The one that loses its place has its turn to end.
            tokio::task::yield_now().await;
        } else {
            self.shared.exchange.send(Input::Anomaly(Anomaly::ConnectionLimit)).await;
        }
    }

    fn begin(&mut self, stream: TcpStream) {
        self.open.spawn_local((self.connection)(set_up(stream), self.table.enter()));
    }

    /// Serves those that have connected and were not accepted yet, and closes the listener: the system would reset them,
    /// with the requests that they may have written.
    async fn admit_waiting(&mut self, acceptor: Acceptor<TcpListener>) {
        match acceptor.into_queue() {
            Ok(mut queue) => {
                while let Some(stream) = queue.next().await {
                    self.admit(stream).await;
                }
            }
            Err(problem) => warn!("connections that wait at the end cannot be accepted: {problem}"),
        }
    }
}

fn set_up(stream: TcpStream) -> TcpStream {
    if let Err(problem) = stream.set_nodelay(true) {
        warn!("a connection cannot be set up: {problem}");
    }
    stream
}
