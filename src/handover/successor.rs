//! The processes of a node that wait to take over from this one.

use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::rc::Rc;

use log::{info, warn};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::Notify;
use tokio::task::{JoinSet, spawn_local};

use super::{listener, lock_or_warn, socket_path};
use crate::net::accept::{self, Acceptor};

/// Processes that may wait at once. A platform starts one at a time.
const MAX_WAITING: usize = 8;

/// The connections of the processes that wait.
#[derive(Clone, Default)]
pub struct Successor {
    waiting: Rc<RefCell<Vec<UnixStream>>>,
    come: Rc<Notify>,
    dismissed: Rc<Cell<bool>>,
}

impl Successor {
    /// Lets processes wait here, at the socket's path.
    ///
    /// # Errors
    /// The socket cannot be had.
    pub async fn listen(&self, name: &str) -> io::Result<()> {
        let _locked = lock_or_warn(name).await;
        self.wait_at(listener(&socket_path(name))?);
        Ok(())
    }

    /// Lets processes wait at this socket. All that come are kept: one that lost its connection would take itself for the
    /// next one.
    pub fn wait_at(&self, listener: UnixListener) {
        let successor = self.clone();
        let add = move |_: &mut JoinSet<()>, stream| successor.add(stream);
        // A process that waits costs no task: there is nothing to bound.
        spawn_local(accept::serve(Acceptor::new("the next process", listener), 1, add));
    }

    fn add(&self, stream: UnixStream) {
        if self.dismissed.get() {
            return;
        }
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(is_alive);
        if waiting.len() >= MAX_WAITING {
            return warn!("{MAX_WAITING} processes wait already: a further one is sent away");
        }
        waiting.push(stream);
        info!("the next process is there; {} processes wait", waiting.len());
        self.come.notify_one();
    }

    /// The newest process that waits and has not ended meanwhile. The others wait on.
    pub fn take(&self) -> Option<UnixStream> {
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(is_alive);
        waiting.pop()
    }

    /// Sends all that wait, and those that come, to the process that has taken over: it may be told to go before this
    /// one has ended.
    pub fn dismiss(&self) {
        self.dismissed.set(true);
        self.waiting.borrow_mut().clear();
    }

    /// The next process, as soon as there is one.
    pub async fn come(&self) -> UnixStream {
        loop {
            if let Some(stream) = self.take() {
                return stream;
            }
            self.come.notified().await;
        }
    }
}

/// Whether the process at the other end of a connection, which says nothing, is there still.
fn is_alive(waiting: &UnixStream) -> bool {
    matches!(waiting.try_read(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
}
