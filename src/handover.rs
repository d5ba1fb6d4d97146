//! From one process of a node to the next, while the platform holds the clients' socket: the next one waits at a
//! Unix socket in the node's own folder until the one that serves is told to go.

use std::cell::RefCell;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;

use log::{info, warn};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

use crate::exchange::{Handed, Handle, Input};
use crate::frame::{receive, send};

fn path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("sillflow-{name}.sock"))
}

/// The process that serves now, where there is one.
pub async fn predecessor(name: &str) -> Option<UnixStream> {
    UnixStream::connect(path(name)).await.ok()
}

/// Takes what the process before hands over, to its end. `turn` resolves when this one is to serve.
pub async fn take_over(mut from: UnixStream, exchange: Handle, turn: oneshot::Sender<()>) {
    let mut turn = Some(turn);
    loop {
        match receive::<Handed>(&mut from).await {
            Ok(Some(handed)) => {
                let is_turn = matches!(handed, Handed::Turn(_));
                exchange.tell(Input::Handed(handed)).await;
                if let Some(turn) = turn.take_if(|_| is_turn) {
                    let _ = turn.send(());
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

/// Tells the next process what the exchange hands over, until that has nothing left.
pub async fn tell(mut to: UnixStream, mut handed: mpsc::UnboundedReceiver<Handed>) {
    while let Some(message) = handed.recv().await {
        if let Err(problem) = send(&mut to, &message).await {
            return warn!("the next process cannot be told: {problem}");
        }
    }
}
