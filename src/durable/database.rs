//! Opens and makes the files of databases (redb 2.6).
//!
//! What the database does about errors: after one failed read, write or sync it turns down all further work on that handle
//! (`PreviousIo`) and leaves the file marked as not closed, so it has to be opened again. Opening such a file reads the
//! newest state through the page cache, checks each page against its digest, and writes and syncs the head page anew before
//! anything can be committed. That state lasts only if every commit has two phases: the pages of a commit are then synced
//! without an error before the head page names them, so the head page is the only thing that a failed second sync can have
//! lost, and just that page is written again. With one phase, pages that a failed sync has dropped would be read from the
//! cache, taken for good and never be written again. **Whoever commits sets two phases.**

use std::any::Any;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};

use redb::backends::FileBackend;
use redb::{Database, DatabaseError, StorageBackend};
use rustix::io::Errno;
use thiserror::Error;

use super::faults::{self, Operation};
use super::{parent, sync_directory, temporary};
use crate::fault_injection::{self, InjectedFault};

/// Bytes that the shortest file of a database has: the database reads its head without asking.
const SHORTEST: u64 = 4096;

/// Why a file cannot be opened or made.
#[derive(Debug, Error)]
pub enum OpenError {
    /// The system does not let it be used.
    #[error("{path}: {cause}")]
    Unusable {
        /// Which.
        path: PathBuf,
        /// What the system says.
        cause: io::Error,
    },
    /// It is not what was written. It is left as it is.
    #[error("{path} is damaged, and nothing of it is used: {what}")]
    Damaged {
        /// Which.
        path: PathBuf,
        /// What was found, and where that is known.
        what: String,
    },
}

impl OpenError {
    /// Tells a failure of the device from a damaged file.
    pub fn of(path: &Path, problem: redb::Error) -> Self {
        let path = path.to_owned();
        let busy = || io::Error::new(io::ErrorKind::ResourceBusy, "another process has it open");
        match problem {
            redb::Error::DatabaseAlreadyOpen => Self::Unusable { path, cause: busy() },
            // An earlier failure of this handle.
            redb::Error::PreviousIo => Self::Unusable { path, cause: Errno::IO.into() },
            redb::Error::Io(cause)
                if !matches!(cause.kind(), io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof) =>
            {
                Self::Unusable { path, cause }
            }
            other => Self::Damaged { path, what: other.to_string() },
        }
    }

    /// Whether another try may go well with the file as it is.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Unusable { cause, .. } if super::is_transient(cause))
    }
}

/// What holds a database's bytes, with the failures that tests want.
#[derive(Debug)]
pub struct Backend<B> {
    inner: B,
    path: PathBuf,
}

impl<B> Backend<B> {
    /// Puts the failures of tests before a backend.
    pub fn new(inner: B, path: &Path) -> Self {
        Self { inner, path: path.to_owned() }
    }
}

impl<B: StorageBackend> StorageBackend for Backend<B> {
    fn len(&self) -> io::Result<u64> {
        self.inner.len()
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        self.inner.read(offset, len)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        faults::check(Operation::Write, &self.path)?;
        self.inner.set_len(len)
    }

    fn sync_data(&self, eventual: bool) -> io::Result<()> {
        faults::check(Operation::Sync, &self.path)?;
        let synced = self.inner.sync_data(eventual);
        if fault_injection::is_active(InjectedFault::SecondSyncBelieved) {
            return synced.or_else(|_| self.inner.sync_data(eventual));
        }
        synced
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        faults::check(Operation::Write, &self.path)?;
        self.inner.write(offset, data)
    }
}

/// Opens a file that must be there. The directory is synced first: a process that ended before it could do so may have
/// left a name that does not last.
///
/// # Errors
/// It is missing, in use or damaged, or the system does not let it be used.
pub fn open(path: &Path) -> Result<Database, OpenError> {
    let unusable = |cause| OpenError::Unusable { path: path.to_owned(), cause };
    let damaged = |what: String| OpenError::Damaged { path: path.to_owned(), what };
    let file = OpenOptions::new().read(true).write(true).open(path).map_err(unusable)?;
    let length = file.metadata().map_err(unusable)?.len();
    if length < SHORTEST {
        return Err(damaged(format!("it is {length} bytes long")));
    }
    sync_directory(&parent(path)).map_err(unusable)?;
    // What the database finds out of order in a file's head ends in a panic.
    let opened = catch_unwind(AssertUnwindSafe(|| over(file, path)));
    opened.map_err(|panic| damaged(said(panic.as_ref())))?.map_err(|e| OpenError::of(path, e.into()))
}

fn over(file: File, path: &Path) -> Result<Database, DatabaseError> {
    Database::builder().create_with_backend(Backend::new(FileBackend::new(file)?, path))
}

/// What a panic says; the database has no better word for a file that it cannot make sense of.
fn said(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str).or(panic.downcast_ref::<&str>().copied());
    let text = text.unwrap_or_default();
    format!("the database cannot make sense of it: {text}")
}

/// Makes a file that must not be there: `begin` has what it begins with, and it is whole under another name before it has
/// its own, so that a kill on the way leaves no half of one. A temporary that was left is made anew.
///
/// # Errors
/// It is not made: nothing was promised in it, and the next try begins from nothing.
pub fn create<T, E: From<OpenError>>(
    path: &Path,
    begin: impl FnOnce(Database, &Path) -> Result<T, E>,
) -> Result<T, E> {
    let early = temporary(path);
    let unusable = |path: &Path| {
        let path = path.to_owned();
        |cause| OpenError::Unusable { path, cause }
    };
    match fs::remove_file(&early) {
        Err(problem) if problem.kind() != io::ErrorKind::NotFound => {
            return Err(unusable(&early)(problem).into());
        }
        _ => {}
    }
    faults::check(Operation::Write, &early).map_err(unusable(&early))?;
    let file = OpenOptions::new().read(true).write(true).create_new(true).open(&early);
    let database =
        over(file.map_err(unusable(&early))?, &early).map_err(|e| OpenError::of(&early, e.into()))?;
    let made = begin(database, &early)?;
    fs::rename(&early, path).map_err(unusable(path))?;
    if let Err(problem) = sync_directory(&parent(path)) {
        // The name may not last, and another sync would not prove that it does.
        let _ = fs::rename(path, &early);
        return Err(unusable(path)(problem).into());
    }
    Ok(made)
}
