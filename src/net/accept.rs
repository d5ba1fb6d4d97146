//! Taking connections. No failure of accept ends a listener: see [`super::errors::accept_failure`].

use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::Arc;
use std::time::Duration;

use log::warn;
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use super::episode::FailureEpisode;
use super::errors::{AcceptFailure, accept_failure};
use super::fault::{Operation, inject};
use super::table::{Seat, Table};
use crate::fault_injection::{self, InjectedFault};

/// Pauses after failures for want of something grow from the first to the second of these: it costs little to look again,
/// and a connection that waits is to be taken soon after there is room.
const PAUSE: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(200));
/// Failures of single connections in a row behind which there is a pause, so that a storm of them starves nothing else.
const IN_A_ROW: u32 = 16;
/// A connection that has asked nothing for this long may lose its place, and time between two looks for one.
const SPARED: Duration = Duration::from_millis(200);
const LOOK_AGAIN: Duration = Duration::from_millis(20);
/// How long connections that wait at a listener's end are tried for while they cannot be taken: less than front ends wait.
const DRAIN_WITHIN: Duration = Duration::from_millis(500);

/// A socket that connections come to.
pub trait Listen {
    /// What comes of it.
    type Connection;

    /// The next connection. Nothing is lost where the future is dropped before its end.
    fn accept(&self) -> impl Future<Output = io::Result<Self::Connection>>;
}

impl Listen for TcpListener {
    type Connection = (TcpStream, SocketAddr);

    async fn accept(&self) -> io::Result<Self::Connection> {
        TcpListener::accept(self).await
    }
}

impl Listen for UnixListener {
    type Connection = UnixStream;

    async fn accept(&self) -> io::Result<Self::Connection> {
        UnixListener::accept(self).await.map(|(stream, _)| stream)
    }
}

impl<L: Listen> Listen for &L {
    type Connection = L::Connection;

    async fn accept(&self) -> io::Result<Self::Connection> {
        L::accept(self).await
    }
}

/// A listener with what is known of its last failures.
pub struct Acceptor<L> {
    listener: L,
    purpose: &'static str,
    episode: FailureEpisode,
    in_a_row: u32,
    pause: Duration,
    until: Option<Instant>,
}

impl<L: Listen> Acceptor<L> {
    /// Connections at this listener, whose purpose the log names.
    pub fn new(purpose: &'static str, listener: L) -> Self {
        let episode = FailureEpisode::new(format!("connections for {purpose} cannot be accepted"));
        Self { listener, purpose, episode, in_a_row: 0, pause: PAUSE.0, until: None }
    }

    /// The next connection, behind the pause that the last failure asks for. May be called again after every failure, and
    /// be dropped before its end.
    ///
    /// # Errors
    /// Nothing can be accepted now.
    pub async fn next(&mut self) -> io::Result<L::Connection> {
        if let Some(until) = self.until {
            sleep_until(until).await;
            self.until = None;
        }
        let accepted = match inject(Operation::Accept, self.purpose) {
            Ok(()) => self.listener.accept().await,
            Err(problem) => Err(problem),
        };
        match &accepted {
            Ok(_) => self.succeeded(),
            Err(problem) => self.failed(problem),
        }
        accepted
    }

    fn succeeded(&mut self) {
        self.episode.succeeded();
        (self.in_a_row, self.pause) = (0, PAUSE.0);
    }

    fn failed(&mut self, problem: &io::Error) {
        self.in_a_row += 1;
        let one_connection = accept_failure(problem) == AcceptFailure::OneConnection;
        if one_connection && self.in_a_row % IN_A_ROW != 0 {
            return self.episode.failed_quietly(problem);
        }
        self.episode.failed(problem);
        self.until = Some(Instant::now() + self.pause);
        self.pause = (self.pause * 2).min(PAUSE.1);
    }
}

/// Accepts for good, with `most` connections at a time; further ones wait. `begin` starts the task of each.
pub async fn serve<L: Listen, T: 'static>(
    mut acceptor: Acceptor<L>,
    most: usize,
    mut begin: impl FnMut(&mut JoinSet<T>, L::Connection),
) {
    let mut open = JoinSet::new();
    loop {
        tokio::select! {
            accepted = acceptor.next(), if open.len() < most => match accepted {
                Ok(connection) => begin(&mut open, connection),
                Err(_) if fault_injection::is_active(InjectedFault::AcceptEnds) => break,
                // Logged, and tried again behind a pause.
                Err(_) => {}
            },
            Some(_) = open.join_next() => {}
        }
    }
    while open.join_next().await.is_some() {}
}

/// Accepts for good, with `most` connections at a time, each of which asks something. Where there is no room for a newcomer,
/// the connection leaves that has asked nothing for longest; where all have asked, or are newer than 200 ms, it waits.
pub async fn serve_questions<L: Listen, T: 'static>(
    mut acceptor: Acceptor<L>,
    most: usize,
    mut begin: impl FnMut(&mut JoinSet<T>, L::Connection, Seat),
) {
    let table = Arc::new(Table::new(SPARED));
    let mut open = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = acceptor.next() => accepted,
            Some(_) = open.join_next() => continue,
        };
        match accepted {
            Ok(connection) => {
                make_room(&mut open, most, &table).await;
                begin(&mut open, connection, table.enter());
            }
            Err(_) if fault_injection::is_active(InjectedFault::AcceptEnds) => break,
            Err(_) => {}
        }
    }
    while open.join_next().await.is_some() {}
}

/// Waits for room, with one connection after the other asked to leave.
async fn make_room<T: 'static>(open: &mut JoinSet<T>, most: usize, table: &Table) {
    while open.len() >= most {
        table.make_room();
        tokio::select! {
            Some(_) = open.join_next() => {}
            () = sleep(LOOK_AGAIN) => {}
        }
    }
}

impl Acceptor<TcpListener> {
    /// Those that wait at a listener that is to be closed, as far as the system knows of them: the runtime may not have
    /// heard of them yet, and a close would reset them. The listener is closed when the queue is dropped.
    ///
    /// # Errors
    /// The listener cannot be taken from the runtime.
    pub fn into_queue(self) -> io::Result<Queue> {
        Ok(Queue { listener: self.listener.into_std()?, purpose: self.purpose })
    }
}

/// The connections that wait at a listener's end.
pub struct Queue {
    listener: StdListener,
    purpose: &'static str,
}

impl Queue {
    /// The next one that waits; none where there are no more.
    pub async fn next(&mut self) -> Option<TcpStream> {
        let until = Instant::now() + DRAIN_WITHIN;
        loop {
            match self.accept() {
                Ok(stream) => return Some(stream),
                Err(problem) if problem.kind() == io::ErrorKind::WouldBlock => return None,
                Err(problem) if Instant::now() >= until => {
                    let purpose = self.purpose;
                    warn!("connections for {purpose} that wait at the end cannot be accepted: {problem}");
                    return None;
                }
                Err(problem) if accept_failure(&problem) == AcceptFailure::OneConnection => {}
                Err(_) => sleep(PAUSE.0).await,
            }
        }
    }

    fn accept(&self) -> io::Result<TcpStream> {
        let (stream, _) = self.listener.accept()?;
        stream.set_nonblocking(true)?;
        TcpStream::from_std(stream)
    }
}
