//! Client side: fronts that turn bytes into typed requests and answers into bytes.

pub mod admin;
pub mod ajp;
mod closing;
mod fields;
pub mod resp;
pub mod table;

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use log::{debug, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::exchange::{Handle, Input, Oddity};
use table::{Room, Seat, Table};

/// Wait after a failed accept, so that a full table of descriptors is not hammered.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

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
}

impl Shared {
    /// What fronts need beside the exchange.
    pub fn new(exchange: Handle, closing: CancellationToken) -> Rc<Self> {
        Rc::new(Self { exchange, closing, halved: Cell::new(false) })
    }

    /// How long a connection may rest; absent where it may for good.
    fn idle(&self) -> Option<Duration> {
        self.exchange.catalog().idle.map(|idle| idle + IDLE_MARGIN)
    }
}

/// The room of a front for clients.
pub fn room(most: usize) -> Room {
    Room { most, spares: SPARED }
}

/// Serves every connection of a listener until connections are to be given back, and then those that are left.
/// There is `room` for so many: a newcomer takes the place of one that says nothing, or is closed unread.
pub async fn serve<F, C>(listener: TcpListener, room: Room, shared: Rc<Shared>, connection: C)
where
    F: Future<Output = ()> + 'static,
    C: Fn(TcpStream, Seat) -> F,
{
    let mut open = JoinSet::new();
    let table = Rc::new(Table::new(room.spares));
    loop {
        let accepted = tokio::select! {
            biased;
            // Accepts come first: what waits in the backlog was accepted by the machine and is owed an answer.
            accepted = listener.accept() => accepted,
            Some(_) = open.join_next() => continue,
            () = shared.closing.cancelled() => break,
        };
        while open.try_join_next().is_some() {}
        let most = if shared.halved.get() { room.most / 2 } else { room.most };
        match accepted {
            Ok((stream, _)) if open.len() < most => {
                open.spawn_local(connection(set_up(stream), table.enter()));
            }
            Ok((stream, _)) if open.len() <= most + most / OVER && table.make_room() => {
                open.spawn_local(connection(set_up(stream), table.enter()));
                // The one that loses its place has its turn to end.
                tokio::task::yield_now().await;
            }
            Ok(_) => shared.exchange.tell(Input::Odd(Oddity::Shed)).await,
            Err(problem) => {
                debug!("no connection can be accepted: {problem}");
                shared.exchange.tell(Input::Odd(Oddity::Unaccepted)).await;
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    info!("not listening any more, {} connections open", open.len());
    // Guards the descriptors while the next process has connections too: those that rest for longest leave first.
    (room.most / KEPT..open.len()).take_while(|_| table.make_room()).for_each(drop);
    while open.join_next().await.is_some() {}
}

fn set_up(stream: TcpStream) -> TcpStream {
    if let Err(problem) = stream.set_nodelay(true) {
        warn!("a connection cannot be set up: {problem}");
    }
    stream
}
