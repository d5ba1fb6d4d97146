//! Failures of system calls that tests inject. Builds without debug assertions have none.
//!
//! The environment names a file, which a test writes and changes while the program runs. A line is an operation, the
//! number of an error and, unless all are meant, the purpose of the socket: `accept 24 the store`. An operation fails for
//! as long as the file says so. Of reads, of writes and of all calls that signals interrupt every second one does, so
//! that there is progress.

use std::cell::Cell;
use std::io;
use std::path::PathBuf;
use std::sync::LazyLock;

use rustix::io::Errno;

/// A system call that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Operation {
    Accept,
    Bind,
    Connect,
    Read,
    Write,
    Send,
    Receive,
}

impl Operation {
    fn word(self) -> &'static str {
        match self {
            Self::Accept => "accept",
            Self::Bind => "bind",
            Self::Connect => "connect",
            Self::Read => "read",
            Self::Write => "write",
            Self::Send => "send",
            Self::Receive => "receive",
        }
    }
}

static FILE: LazyLock<Option<PathBuf>> =
    LazyLock::new(|| std::env::var_os("SILLFLOW_NET_FAULTS").map(PathBuf::from));

thread_local! {
    static SPARED: Cell<bool> = const { Cell::new(false) };
}

/// Fails where a test wants this operation to fail. `purpose` is empty for streams.
pub(crate) fn inject(operation: Operation, purpose: &str) -> io::Result<()> {
    if !cfg!(debug_assertions) {
        return Ok(());
    }
    let Some(text) = FILE.as_ref().and_then(|file| std::fs::read_to_string(file).ok()) else { return Ok(()) };
    let Some(error) = text.lines().find_map(|line| error(line, operation, purpose)) else { return Ok(()) };
    let interrupted = error == Errno::INTR.raw_os_error();
    let alternates = interrupted || matches!(operation, Operation::Read | Operation::Write);
    if alternates && SPARED.replace(!SPARED.get()) {
        return Ok(());
    }
    Err(io::Error::from_raw_os_error(error))
}

fn error(line: &str, operation: Operation, purpose: &str) -> Option<i32> {
    let mut words = line.splitn(3, ' ');
    let named = words.next()? == operation.word();
    let error = words.next()?.parse().ok()?;
    (named && words.next().is_none_or(|only| only == purpose)).then_some(error)
}
