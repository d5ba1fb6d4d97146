//! Streams on which a call that a signal interrupts is made again. Tokio hands `EINTR` to its caller, which would take it
//! for the end of the connection, with every request open on it.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::fault::{Operation, inject};

/// Calls made again in one go; behind so many the task lets others run before it goes on.
const IN_A_ROW: u32 = 16;

/// A stream whose reads and writes are never ended by an interruption.
#[derive(Debug)]
pub struct Uninterrupted<S> {
    inner: S,
}

impl<S> Uninterrupted<S> {
    /// Takes a stream, or a half of one.
    pub fn new(inner: S) -> Self {
        Self { inner }
    }

    /// The stream inside, for what is neither read nor written.
    pub fn get_ref(&self) -> &S {
        &self.inner
    }

    /// The stream inside.
    pub fn into_inner(self) -> S {
        self.inner
    }
}

/// Makes a call that waits for nothing until it is not interrupted. One that always is has not come to anything yet.
///
/// # Errors
/// Those of the call, but for `Interrupted`.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 0..IN_A_ROW {
        match inject(Operation::Read, "").and_then(|()| call()) {
            Err(problem) if problem.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
    Err(io::ErrorKind::WouldBlock.into())
}

/// The same for a call that may wait.
fn poll_uninterrupted<T>(
    context: &mut Context<'_>,
    operation: Operation,
    mut call: impl FnMut(&mut Context<'_>) -> Poll<io::Result<T>>,
) -> Poll<io::Result<T>> {
    for _ in 0..IN_A_ROW {
        let done = match inject(operation, "") {
            Ok(()) => ready!(call(context)),
            Err(problem) => Err(problem),
        };
        match done {
            Err(problem) if problem.kind() == io::ErrorKind::Interrupted => {}
            done => return Poll::Ready(done),
        }
    }
    context.waker().wake_by_ref();
    Poll::Pending
}

impl<S: AsyncRead + Unpin> AsyncRead for Uninterrupted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let inner = &mut self.inner;
        poll_uninterrupted(context, Operation::Read, |context| {
            Pin::new(&mut *inner).poll_read(context, buffer)
        })
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Uninterrupted<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let inner = &mut self.inner;
        poll_uninterrupted(context, Operation::Write, |context| {
            Pin::new(&mut *inner).poll_write(context, bytes)
        })
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let inner = &mut self.inner;
        poll_uninterrupted(context, Operation::Write, |context| {
            Pin::new(&mut *inner).poll_write_vectored(context, slices)
        })
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let inner = &mut self.inner;
        poll_uninterrupted(context, Operation::Write, |context| Pin::new(&mut *inner).poll_flush(context))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let inner = &mut self.inner;
        poll_uninterrupted(context, Operation::Write, |context| Pin::new(&mut *inner).poll_shutdown(context))
    }
}
