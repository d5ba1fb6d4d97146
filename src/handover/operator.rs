//! What operators ask of a node, among its processes. The serving process listens at a Unix socket in the node's own
//! folder. Those that wait for their turn or have handed over forward changes to it, and follow its state, which counts
//! if it ends without a hand-over.

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use log::{debug, warn};
use serde::{Deserialize, Serialize};
use tokio::io::AsyncReadExt;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::oneshot;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{sleep, timeout};

use super::{listener, lock_or_warn, socket_path};
use crate::exchange::{Handle, Input, OperatorChange, OperatorReply, OperatorState, Role};
use crate::frame::{receive_within, send};
use crate::net::accept::{self, Acceptor};
use crate::net::stream::Uninterrupted;

/// Connections of other processes at once: those that wait follow on one each, and changes are short.
const MAX_CONNECTIONS: usize = 32;
/// Longest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 1024;
/// A connection without a request is closed after this time.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between attempts to reach the serving process, which changes with a hand-over.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// What another process of the node asks of the serving one.
#[derive(Serialize, Deserialize)]
enum Request {
    /// Apply this change; answered with an [`OperatorReply`].
    Change(OperatorChange),
    /// Answered with the [`OperatorState`], now and whenever it changes, for as long as this process serves.
    Follow,
}

/// Makes changes that operators ask for, in this process or the one of the node that serves.
#[derive(Clone)]
pub struct OperatorCalls {
    exchange: Handle,
    /// The socket of the serving process; `None` if the node has no other processes.
    socket: Option<PathBuf>,
}

impl OperatorCalls {
    /// For a node that never has more than this process.
    pub fn of_single_process(exchange: Handle) -> Self {
        Self { exchange, socket: None }
    }

    /// For a node whose processes follow one another.
    pub fn among_processes(name: &str, exchange: Handle) -> Self {
        Self { exchange, socket: Some(socket_path(name).with_extension("operator")) }
    }

    /// Whether this process is ready to serve.
    pub fn is_ready(&self) -> bool {
        self.exchange.node_status().borrow().ready
    }

    /// Makes a change for the node. Returns whether it is in force by the end of `within`.
    pub async fn change(&self, change: OperatorChange, within: Duration) -> bool {
        let in_force = timeout(within, self.apply_or_forward(change)).await.is_ok();
        if !in_force {
            warn!("no process of this node has applied {change:?} within {within:?}");
        }
        in_force
    }

    /// Has the serving process apply a change, whichever that is by then.
    async fn apply_or_forward(&self, change: OperatorChange) {
        while apply(&self.exchange, change).await != OperatorReply::InForce {
            if let Some(socket) = &self.socket {
                match forward(socket, change).await {
                    Ok(OperatorReply::InForce) => return,
                    Ok(OperatorReply::NotServing) => {}
                    Err(problem) => debug!("the process that serves cannot be reached: {problem}"),
                }
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Listens for the other processes of the node, as its serving process.
    ///
    /// # Errors
    /// The socket cannot be opened.
    pub async fn listen(&self, name: &str) -> io::Result<()> {
        let Some(socket) = &self.socket else { return Ok(()) };
        let _locked = lock_or_warn(name).await;
        spawn_local(serve(listener(socket)?, self.exchange.clone()));
        Ok(())
    }

    /// Follows the state of the serving process whenever this one does not serve.
    pub async fn follow(self) {
        let Some(socket) = &self.socket else { return };
        let mut status = self.exchange.node_status();
        while status.wait_for(|status| status.role != Role::Serving).await.is_ok() {
            tokio::select! {
                ended = receive_states(socket, &self.exchange) => {
                    if let Err(problem) = ended {
                        debug!("the process that serves cannot be followed: {problem}");
                    }
                    sleep(RETRY_INTERVAL).await;
                }
                _ = status.wait_for(|status| status.role == Role::Serving) => {}
            }
        }
    }
}

/// Applies a change in this process, if it serves.
async fn apply(exchange: &Handle, change: OperatorChange) -> OperatorReply {
    let (reply, replied) = oneshot::channel();
    exchange.send(Input::ChangeOperatorState { change, reply }).await;
    replied.await.unwrap_or(OperatorReply::NotServing)
}

/// Has the serving process apply a change.
async fn forward(socket: &Path, change: OperatorChange) -> io::Result<OperatorReply> {
    let mut stream = request(socket, &Request::Change(change)).await?;
    let reply = receive_within(&mut stream, MAX_MESSAGE_BYTES).await?;
    reply.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Takes over the state of the serving process until it ends or hands over.
async fn receive_states(socket: &Path, exchange: &Handle) -> io::Result<()> {
    let mut stream = request(socket, &Request::Follow).await?;
    while let Some(state) = receive_within::<OperatorState>(&mut stream, MAX_MESSAGE_BYTES).await? {
        exchange.send(Input::FollowOperator(state)).await;
    }
    Ok(())
}

async fn request(socket: &Path, request: &Request) -> io::Result<Uninterrupted<UnixStream>> {
    let mut stream = Uninterrupted::new(UnixStream::connect(socket).await?);
    send(&mut stream, request).await?;
    Ok(stream)
}

async fn serve(listener: UnixListener, exchange: Handle) {
    let begin = move |connections: &mut JoinSet<()>, stream| {
        let exchange = exchange.clone();
        connections.spawn_local(async move {
            if let Err(problem) = answer(Uninterrupted::new(stream), exchange).await {
                debug!("a connection of another process of this node is closed: {problem}");
            }
        });
    };
    accept::serve(Acceptor::new("other processes of this node", listener), MAX_CONNECTIONS, begin).await;
}

async fn answer(mut stream: Uninterrupted<UnixStream>, exchange: Handle) -> io::Result<()> {
    match timeout(REQUEST_TIMEOUT, receive_within(&mut stream, MAX_MESSAGE_BYTES)).await?? {
        None => Ok(()),
        Some(Request::Change(change)) => send(&mut stream, &apply(&exchange, change).await).await,
        Some(Request::Follow) => send_states(stream, &exchange).await,
    }
}

/// Sends the state, now and whenever it changes, until this process does not serve or the follower has gone.
async fn send_states(mut stream: Uninterrupted<UnixStream>, exchange: &Handle) -> io::Result<()> {
    let mut status = exchange.node_status();
    let mut sent = None;
    loop {
        let (role, state) = {
            let status = status.borrow_and_update();
            (status.role, status.operator)
        };
        if role != Role::Serving {
            return Ok(());
        }
        if sent.replace(state) != Some(state) {
            send(&mut stream, &state).await?;
        }
        tokio::select! {
            changed = status.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
            }
            // A follower sends nothing more: this is its end.
            ended = stream.read_u8() => return ended.map(drop),
        }
    }
}
