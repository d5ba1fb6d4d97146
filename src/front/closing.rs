//! Closing a connection without taking an answer with it.
//!
//! To close a socket over bytes that were not read resets the connection, and the reset discards what the other side has
//! not read yet. And a request that was read has to be answered, so nothing may be read once no answer can be written.

use std::mem::MaybeUninit;
use std::time::Duration;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt, Interest};
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::timeout;

/// How long the other side has to close its half after ours is closed.
const LINGER: Duration = Duration::from_millis(500);
/// Bytes that are discarded meanwhile at the most.
const LINGER_BYTES: u64 = 64 * 1024;

/// Whether bytes, or the end of the other side's half, lie in the socket unread. Asks the system itself: what the runtime
/// knows of a socket is as old as its last turn.
pub(super) fn has_unread(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    match SockRef::from(stream).peek(&mut byte) {
        Ok(_) => true,
        Err(problem) => problem.kind() == std::io::ErrorKind::Interrupted,
    }
}

/// Resolves when the connection is reset: nobody is there any more to read an answer. The end of the other side's half is
/// none, as it may still read.
pub(super) async fn reset(stream: &TcpStream) {
    while stream.ready(Interest::ERROR).await.is_ok_and(|ready| !ready.is_error()) {
        yield_now().await;
    }
}

/// Whether the connection is reset, by the system itself: what was read ahead of that has nobody left to answer.
pub(super) fn is_reset(stream: &TcpStream) -> bool {
    state(stream).intersects(PollFlags::HUP | PollFlags::ERR)
}

/// Whether the other side has closed its half or reset the connection, by the system itself, whatever lies unread ahead of
/// that.
pub(super) fn has_closed(stream: &TcpStream) -> bool {
    state(stream).intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
}

fn state(stream: &TcpStream) -> PollFlags {
    let mut asked = [PollFd::new(stream, PollFlags::RDHUP)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    match poll(&mut asked, Some(&at_once)) {
        Ok(_) => asked[0].revents(),
        Err(_) => PollFlags::empty(),
    }
}

/// Waits until the other side has closed its half, for a bounded time, and discards what it sends until then. Only for
/// connections whose own half is closed and on which nothing that is still sent can be a request.
pub(super) async fn linger(from: &mut (impl AsyncRead + Unpin)) {
    let mut rest = from.take(LINGER_BYTES);
    let _ = timeout(LINGER, tokio::io::copy(&mut rest, &mut tokio::io::sink())).await;
}
