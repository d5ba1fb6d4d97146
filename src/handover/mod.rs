//! From one process of a node to the next, while the platform holds the clients' socket: the next one waits at a
//! Unix socket in the node's own folder until the one that serves is told to go.

pub mod operator;
mod successor;

use std::fs::File;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::time::Duration;

use log::{info, warn};
use rustix::fs::{FlockOperation, flock};
use rustix::io::Errno;
use serde::{Deserialize, Serialize};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use crate::exchange::{HandedOverKey, Handle, HandoverMessage, Input, PredecessorResources, StartServing};
use crate::frame::{receive, send};
use crate::lease::MOST_DUTIES;
use crate::lease::pass::{Carried, Passed};
use crate::net::stream::Uninterrupted;

pub use successor::Successor;

/// Time before a process that has lost the one it waited for looks for the one that serves.
const PLACE_AGAIN: Duration = Duration::from_millis(10);
/// Time between attempts to lock the socket's path, which others hold for a moment.
const LOCKED: Duration = Duration::from_millis(2);

/// A message from one process to the next.
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// A key, as it stands now.
    Key(HandedOverKey),
    /// From here on the next process serves.
    #[serde(rename = "Turn")]
    StartServing(StartServing),
    /// Sent after that: the resources that this process still uses.
    #[serde(rename = "Room")]
    Resources(PredecessorResources),
    /// A duty that goes with the session.
    Duty(Box<Carried>),
    /// The session of the node's duties, behind all of them.
    Session(Box<Passed>),
}

impl From<HandoverMessage> for Message {
    fn from(handed: HandoverMessage) -> Self {
        match handed {
            HandoverMessage::Key(key) => Self::Key(key),
            HandoverMessage::StartServing(start) => Self::StartServing(start),
            HandoverMessage::Resources(resources) => Self::Resources(resources),
        }
    }
}

/// The path of the socket at which the next processes of a node wait.
fn socket_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("sillflow-{name}.sock"))
}

/// Where a process of a node stands among the others.
pub enum Place {
    /// No other serves. Those that come wait at this socket.
    First(UnixListener),
    /// Another serves, or comes ahead: it tells on this connection.
    Behind(UnixStream),
}

/// Finds the place of this process. A lock makes it that of several which ask at once only one is the first: each looks
/// whether anybody listens, and listens itself where nobody does, in one step.
///
/// # Errors
/// The socket cannot be had.
pub async fn place(name: &str) -> io::Result<Place> {
    let _locked = lock_or_warn(name).await;
    loop {
        match UnixStream::connect(socket_path(name)).await.map_err(|problem| (problem.kind(), problem)) {
            Ok(stream) => return Ok(Place::Behind(stream)),
            Err((ErrorKind::NotFound | ErrorKind::ConnectionRefused, _)) => {
                return listener(&socket_path(name)).map(Place::First);
            }
            // Somebody listens, and has not accepted those that came before; or has ended just as it was asked, which
            // is no reason to serve beside the one that comes next.
            Err((ErrorKind::WouldBlock | ErrorKind::Interrupted | ErrorKind::ConnectionReset, _)) => {
                sleep(LOCKED).await;
            }
            Err((_, problem)) => return Err(problem),
        }
    }
}

/// The lock on the socket's path, until it is dropped. It is held for a moment at a time, so it is waited for.
async fn lock(name: &str) -> io::Result<File> {
    let file = File::create(socket_path(name).with_extension("lock"))?;
    loop {
        match flock(&file, FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => return Ok(file),
            Err(Errno::WOULDBLOCK | Errno::INTR) => sleep(LOCKED).await,
            Err(problem) => return Err(problem.into()),
        }
    }
}

/// The lock, where it can be had: without it only processes that start in the same moment can miss each other.
async fn lock_or_warn(name: &str) -> Option<File> {
    lock(name).await.inspect_err(|problem| warn!("the place of a process cannot be locked: {problem}")).ok()
}

fn listener(path: &Path) -> io::Result<UnixListener> {
    // It is of no use any more: who served there has ended or is about to.
    match std::fs::remove_file(path) {
        Err(problem) if problem.kind() != ErrorKind::NotFound => Err(problem),
        _ => UnixListener::bind(path),
    }
}

/// Waits behind the process before, and behind whichever takes its place, until this one is to serve, and takes what is
/// handed over, to its end. `turn` resolves when this one is to serve, `session` when that of the duties is this one's.
/// Others wait for this one in `successor` from then on.
pub async fn follow(
    name: String,
    from: UnixStream,
    successor: Successor,
    exchange: Handle,
    turn: oneshot::Sender<()>,
    session: oneshot::Sender<Passed>,
) {
    let mut from = Uninterrupted::new(from);
    let mut turn = Some(turn);
    let mut session = Some(session);
    info!("another process of {name} serves still");
    loop {
        take_over(&mut from, &exchange, &mut turn, &mut session).await;
        if turn.is_none() {
            break;
        }
        // It has ended without a word, or another of those that waited has its place now, or is about to.
        sleep(PLACE_AGAIN).await;
        match place(&name).await {
            Ok(Place::Behind(stream)) => from = Uninterrupted::new(stream),
            Ok(Place::First(listener)) => {
                successor.wait_at(listener);
                break;
            }
            Err(problem) => {
                warn!("no process can take over from this one: {problem}");
                break;
            }
        }
    }
    info!("the process before has ended");
    // Where it went without a word, it is this one's turn all the same: the sender is dropped.
    exchange.send(Input::PredecessorEnded).await;
}

/// Takes what one process hands over, to its end.
async fn take_over(
    from: &mut Uninterrupted<UnixStream>,
    exchange: &Handle,
    turn: &mut Option<oneshot::Sender<()>>,
    session: &mut Option<oneshot::Sender<Passed>>,
) {
    let mut duties = Vec::new();
    loop {
        match receive::<Message>(from).await {
            Ok(Some(Message::Key(key))) => {
                exchange.send(Input::FromPredecessor(HandoverMessage::Key(key))).await
            }
            Ok(Some(Message::StartServing(start))) => {
                exchange.send(Input::FromPredecessor(HandoverMessage::StartServing(start))).await;
                if let Some(turn) = turn.take() {
                    let _ = turn.send(());
                }
            }
            Ok(Some(Message::Resources(resources))) => {
                exchange.send(Input::FromPredecessor(HandoverMessage::Resources(resources))).await
            }
            Ok(Some(Message::Duty(duty))) if duties.len() < MOST_DUTIES => duties.push(*duty),
            Ok(Some(Message::Duty(duty))) => warn!("{} is one duty too many", duty.fence.duty),
            Ok(Some(Message::Session(passed))) => {
                if let Some(session) = session.take() {
                    let _ = session.send(Passed { duties: std::mem::take(&mut duties), ..*passed });
                }
            }
            Ok(None) => break,
            Err(problem) => {
                warn!("the process before has broken off: {problem}");
                break;
            }
        }
    }
}

/// Tells the next process what is handed over, until nothing is left.
pub async fn tell(to: UnixStream, mut messages: mpsc::UnboundedReceiver<Message>) {
    let mut to = Uninterrupted::new(to);
    while let Some(message) = messages.recv().await {
        if let Err(problem) = send(&mut to, &message).await {
            return warn!("the next process cannot be told: {problem}");
        }
    }
}
