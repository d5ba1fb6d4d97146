//! From one process of a node to the next, while the platform holds the clients' socket: the next one waits at a
//! Unix socket in the node's own folder until the one that serves is told to go.

use std::cell::RefCell;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;

use log::{info, warn};
use serde::{Deserialize, Serialize};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

use crate::duty::MOST_DUTIES;
use crate::duty::pass::{Carried, Passed};
use crate::exchange::{Handed, HandedKey, Handle, Input, Room, Turn};
use crate::frame::{receive, send};

/// What one process says to the next.
#[derive(Serialize, Deserialize)]
pub enum Said {
    /// A key, as it stands now.
    Key(HandedKey),
    /// From here on the next process serves.
    Turn(Turn),
    /// Behind the turn, what this process still takes of the node's room.
    Room(Room),
    /// A duty that goes with the session.
    Duty(Box<Carried>),
    /// The session of the node's duties, behind all of them.
    Session(Box<Passed>),
}

impl From<Handed> for Said {
    fn from(handed: Handed) -> Self {
        match handed {
            Handed::Key(key) => Self::Key(key),
            Handed::Turn(turn) => Self::Turn(turn),
            Handed::Room(room) => Self::Room(room),
        }
    }
}

fn path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("sillflow-{name}.sock"))
}

/// The process that serves now, where there is one.
pub async fn predecessor(name: &str) -> Option<UnixStream> {
    UnixStream::connect(path(name)).await.ok()
}

/// Takes what the process before hands over, to its end. `turn` resolves when this one is to serve, `session` when that of
/// the duties is this one's.
pub async fn take_over(
    mut from: UnixStream,
    exchange: Handle,
    turn: oneshot::Sender<()>,
    session: oneshot::Sender<Passed>,
) {
    let (mut turn, mut session, mut duties) = (Some(turn), Some(session), Vec::new());
    loop {
        match receive::<Said>(&mut from).await {
            Ok(Some(Said::Key(key))) => exchange.tell(Input::Handed(Handed::Key(key))).await,
            Ok(Some(Said::Turn(of))) => {
                exchange.tell(Input::Handed(Handed::Turn(of))).await;
                if let Some(turn) = turn.take() {
                    let _ = turn.send(());
                }
            }
            Ok(Some(Said::Room(room))) => exchange.tell(Input::Handed(Handed::Room(room))).await,
            Ok(Some(Said::Duty(duty))) if duties.len() < MOST_DUTIES => duties.push(*duty),
            Ok(Some(Said::Duty(duty))) => warn!("{} is one duty too many", duty.fence.duty),
            Ok(Some(Said::Session(passed))) => {
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
    info!("the process before has ended");
    // Where it went without a word, it is this one's turn all the same: the sender is dropped.
    exchange.tell(Input::Alone).await;
}

/// Where the next process of this node waits.
#[derive(Clone, Default)]
pub struct Successor(Rc<RefCell<Option<UnixStream>>>);

impl Successor {
    /// Lets a process wait here; the last one that comes counts.
    ///
    /// # Errors
    /// The socket cannot be had.
    pub fn listen(&self, name: &str) -> io::Result<()> {
        let path = path(name);
        // It is of no use any more: who served there has ended or is about to.
        match std::fs::remove_file(&path) {
            Err(problem) if problem.kind() != io::ErrorKind::NotFound => return Err(problem),
            _ => {}
        }
        let listener = UnixListener::bind(&path)?;
        let waits = self.0.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                info!("the next process is there");
                waits.replace(Some(stream));
            }
        });
        Ok(())
    }

    /// The process that waits, if it has not ended meanwhile.
    pub fn take(&self) -> Option<UnixStream> {
        let waiting = self.0.take()?;
        let alive = matches!(waiting.try_read(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        alive.then_some(waiting)
    }
}

/// Tells the next process what is handed over, until nothing is left.
pub async fn tell(mut to: UnixStream, mut said: mpsc::UnboundedReceiver<Said>) {
    while let Some(message) = said.recv().await {
        if let Err(problem) = send(&mut to, &message).await {
            return warn!("the next process cannot be told: {problem}");
        }
    }
}
