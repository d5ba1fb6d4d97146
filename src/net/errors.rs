//! What a failed system call on a socket means: for the request that was to be made, for the server, and for a listener.

use std::io;

use rustix::io::Errno;
use thiserror::Error;

/// Why an operation on a connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The other side takes no connections.
    Refused,
    /// The other side, or the way to it, does not answer.
    Unreachable,
    /// The other side, or something on the way, ended the connection.
    Broken,
    /// This machine lacks what the operation needs: descriptors, memory, buffers, ports. No fault of the other side's.
    LocalShortage,
    /// The call was interrupted or would have waited; nothing is wrong.
    Interrupted,
    /// Anything else.
    Other,
}

impl Cause {
    /// Whether the failure tells something of the other side. What this machine lacks must not count against a server.
    pub fn tells_of_peer(self) -> bool {
        !matches!(self, Self::LocalShortage | Self::Interrupted)
    }
}

/// What is proven of a request whose connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Begun {
    /// No byte of it was sent: it has not begun and may be tried again, whatever its effect.
    No,
    /// It may have run, and may be running.
    Unknown,
}

/// A failure of a client's connection, by when it came.
#[derive(Debug, Error)]
pub enum Failure {
    /// The connection was not made, so nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    /// The connection failed when something may have been sent on it.
    #[error("{0}")]
    Sent(#[source] io::Error),
}

impl Failure {
    /// What it proves of the request: an error of connect, whichever, proves that nothing was sent.
    pub fn begun(&self) -> Begun {
        match self {
            Self::Connect(_) => Begun::No,
            Self::Sent(_) => Begun::Unknown,
        }
    }

    /// Why it failed.
    pub fn cause(&self) -> Cause {
        cause(self.error())
    }

    fn error(&self) -> &io::Error {
        match self {
            Self::Connect(problem) | Self::Sent(problem) => problem,
        }
    }
}

impl From<Failure> for io::Error {
    /// Keeps the failure inside, where [`begun`] and [`cause`] find it.
    fn from(failure: Failure) -> Self {
        Self::new(failure.error().kind(), failure)
    }
}

fn failure(problem: &io::Error) -> Option<&Failure> {
    problem.get_ref().and_then(|inner| inner.downcast_ref())
}

/// What an error proves of the request that it ended. Without a [`Failure`] inside it proves nothing.
pub fn begun(problem: &io::Error) -> Begun {
    failure(problem).map_or(Begun::Unknown, Failure::begun)
}

/// Why an operation failed, by its error number where it has one.
pub fn cause(problem: &io::Error) -> Cause {
    if let Some(failure) = failure(problem) {
        return failure.cause();
    }
    match Errno::from_io_error(problem) {
        Some(Errno::CONNREFUSED) => Cause::Refused,
        Some(
            Errno::HOSTUNREACH
            | Errno::NETUNREACH
            | Errno::HOSTDOWN
            | Errno::NETDOWN
            | Errno::NONET
            | Errno::TIMEDOUT,
        ) => Cause::Unreachable,
        Some(Errno::CONNRESET | Errno::CONNABORTED | Errno::PIPE | Errno::NOTCONN | Errno::NETRESET) => {
            Cause::Broken
        }
        Some(
            Errno::MFILE
            | Errno::NFILE
            | Errno::NOBUFS
            | Errno::NOMEM
            | Errno::ADDRNOTAVAIL
            | Errno::ADDRINUSE,
        ) => Cause::LocalShortage,
        Some(Errno::INTR | Errno::AGAIN) => Cause::Interrupted,
        Some(_) => Cause::Other,
        None => by_kind(problem.kind()),
    }
}

/// Errors that no system call gave, as of a timer.
fn by_kind(kind: io::ErrorKind) -> Cause {
    match kind {
        io::ErrorKind::ConnectionRefused => Cause::Refused,
        io::ErrorKind::TimedOut | io::ErrorKind::HostUnreachable | io::ErrorKind::NetworkUnreachable => {
            Cause::Unreachable
        }
        io::ErrorKind::ConnectionReset
        | io::ErrorKind::ConnectionAborted
        | io::ErrorKind::BrokenPipe
        | io::ErrorKind::UnexpectedEof
        | io::ErrorKind::WriteZero => Cause::Broken,
        io::ErrorKind::Interrupted | io::ErrorKind::WouldBlock => Cause::Interrupted,
        _ => Cause::Other,
    }
}

/// What a failed accept means for its listener, which goes on after each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// One connection is gone, or the call was interrupted: the next may be there already.
    OneConnection,
    /// This machine lacks something, or the listener is unfit: there is no point in trying again at once.
    Listener,
}

/// What a failed accept means, by the list of accept(2): pending errors of the network belong to the new connection.
pub fn accept_failure(problem: &io::Error) -> AcceptFailure {
    match Errno::from_io_error(problem) {
        Some(
            Errno::CONNABORTED
            | Errno::INTR
            | Errno::AGAIN
            | Errno::PERM
            | Errno::PROTO
            | Errno::NETDOWN
            | Errno::NOPROTOOPT
            | Errno::HOSTDOWN
            | Errno::NONET
            | Errno::HOSTUNREACH
            | Errno::OPNOTSUPP
            | Errno::NETUNREACH,
        ) => AcceptFailure::OneConnection,
        _ => AcceptFailure::Listener,
    }
}

/// Whether a listener that could not be had may be had before long: this machine lacks something, or another process
/// still has the address.
pub fn bind_may_succeed_later(problem: &io::Error) -> bool {
    matches!(cause(problem), Cause::LocalShortage | Cause::Interrupted)
}
