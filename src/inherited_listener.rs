//! A socket that the platform holds and hands down to the processes of a node, one after the other.

use std::fs::File;
use std::io;
use std::net::TcpListener as Listener;
use std::os::fd::{AsRawFd, OwnedFd, RawFd};

use filedescriptor::FileDescriptor;
use tokio::net::TcpListener;

/// A descriptor that this process was started with.
struct Inherited(RawFd);

impl AsRawFd for Inherited {
    fn as_raw_fd(&self) -> RawFd {
        self.0
    }
}

/// The listening socket under this number.
///
/// # Errors
/// There is no such descriptor, or it is no socket.
pub fn listener(descriptor: RawFd) -> io::Result<TcpListener> {
    let file: File = FileDescriptor::dup(&Inherited(descriptor))
        .and_then(|own| own.as_file())
        .map_err(|problem| io::Error::other(format!("descriptor {descriptor}: {problem}")))?;
    let listener = Listener::from(OwnedFd::from(file));
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}
