//! Closing a connection without taking an answer with it.
//!
//! To close a socket over bytes that were not read resets the connection, and the reset discards what the other side has
//! not read yet. And a request that was read has to be answered, so nothing may be read once no answer can be written.

use std::mem::MaybeUninit;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::TcpStream;
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

/// Waits until the other side has closed its half, for a bounded time, and discards what it sends until then. Only for
/// connections whose own half is closed and on which nothing that is still sent can be a request.
pub(super) async fn linger(from: &mut (impl AsyncRead + Unpin)) {
    let mut rest = from.take(LINGER_BYTES);
    let _ = timeout(LINGER, tokio::io::copy(&mut rest, &mut tokio::io::sink())).await;
}
