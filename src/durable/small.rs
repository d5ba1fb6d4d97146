//! A small file that is replaced as a whole: written under another name, synced, renamed, and the directory synced.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use super::faults::{self, Operation};
use super::{create_directory, parent, sync_directory, temporary};
use crate::fault_injection::{self, InjectedFault};

/// The calls to the system that a small file needs; tests have others that fail or lose what was not synced.
pub trait Operations {
    /// An open file.
    type File;

    /// The whole of a file.
    ///
    /// # Errors
    /// It is not there or cannot be read.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;
    /// Makes a directory that lasts, with those above it.
    ///
    /// # Errors
    /// It is not made, or may not last.
    fn create_directory(&self, path: &Path) -> io::Result<()>;
    /// Makes a file that must not be there.
    ///
    /// # Errors
    /// It is there, or cannot be made.
    fn create(&self, path: &Path) -> io::Result<Self::File>;
    /// Writes all of these bytes.
    ///
    /// # Errors
    /// Any part of them may have been written.
    fn write(&self, file: &mut Self::File, bytes: &[u8]) -> io::Result<()>;
    /// Syncs a file.
    ///
    /// # Errors
    /// Any part of what was written may be lost for good.
    fn sync(&self, file: &Self::File) -> io::Result<()>;
    /// Puts a file in another's place.
    ///
    /// # Errors
    /// It is not put there.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    /// Syncs a directory.
    ///
    /// # Errors
    /// What was renamed may be undone by a loss of power.
    fn sync_directory(&self, path: &Path) -> io::Result<()>;
    /// Takes a file away.
    ///
    /// # Errors
    /// It is not there or cannot be taken away.
    fn remove(&self, path: &Path) -> io::Result<()>;
}

/// The calls as the system has them.
#[derive(Clone, Copy, Debug, Default)]
pub struct System;

impl Operations for System {
    type File = (File, PathBuf);

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        fs::read(path)
    }

    fn create_directory(&self, path: &Path) -> io::Result<()> {
        create_directory(path)
    }

    fn create(&self, path: &Path) -> io::Result<Self::File> {
        faults::check(Operation::Write, path)?;
        Ok((OpenOptions::new().write(true).create_new(true).open(path)?, path.to_owned()))
    }

    fn write(&self, (file, path): &mut Self::File, bytes: &[u8]) -> io::Result<()> {
        faults::check(Operation::Write, path)?;
        file.write_all(bytes)
    }

    fn sync(&self, (file, path): &Self::File) -> io::Result<()> {
        faults::check(Operation::Sync, path)?;
        file.sync_all()
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn sync_directory(&self, path: &Path) -> io::Result<()> {
        sync_directory(path)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }
}

/// Why a small file cannot be read.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The system does not give it.
    #[error("{path}: {cause}")]
    Unusable {
        /// Which.
        path: PathBuf,
        /// What the system says.
        cause: io::Error,
    },
    /// It is not what was written: torn or changed. It is left as it is.
    #[error("{path} is damaged at byte {offset}, and nothing of it is used: {cause}")]
    Damaged {
        /// Which.
        path: PathBuf,
        /// How far it could be read.
        offset: usize,
        /// What is wrong there.
        cause: serde_json::Error,
    },
}

impl LoadError {
    /// Whether another try may go well with the file as it is.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Unusable { cause, .. } if super::is_transient(cause))
    }
}

impl From<LoadError> for io::Error {
    fn from(problem: LoadError) -> Self {
        match &problem {
            LoadError::Unusable { cause, .. } => Self::new(cause.kind(), problem.to_string()),
            LoadError::Damaged { .. } => Self::new(io::ErrorKind::InvalidData, problem.to_string()),
        }
    }
}

/// A file that holds one value as JSON.
#[derive(Clone, Debug)]
pub struct SmallFile<O = System> {
    path: PathBuf,
    operations: O,
}

impl SmallFile {
    /// The file of this path.
    pub fn new(path: PathBuf) -> Self {
        Self::with(path, System)
    }
}

impl<O: Operations> SmallFile<O> {
    /// The file of this path, by other calls to the system.
    pub fn with(path: PathBuf, operations: O) -> Self {
        Self { path, operations }
    }

    /// Its path.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// What was stored last, none where nothing was; a temporary that an earlier process has left is taken away. For the
    /// one process that stores to it, at its start.
    ///
    /// # Errors
    /// There is a file that cannot be read, or that is not what was stored.
    pub fn load<T: DeserializeOwned>(&self) -> Result<Option<T>, LoadError> {
        let unusable = |cause| LoadError::Unusable { path: self.path.clone(), cause };
        absent_is_well(self.operations.remove(&temporary(&self.path))).map_err(unusable)?;
        let bytes = match self.operations.read(&self.path) {
            Ok(bytes) => bytes,
            Err(problem) if is_absent(&problem) => return Ok(None),
            Err(problem) => return Err(unusable(problem)),
        };
        match serde_json::from_slice(&bytes) {
            Ok(value) => Ok(Some(value)),
            Err(cause) => {
                let offset = offset(&bytes, cause.line(), cause.column());
                Err(LoadError::Damaged { path: self.path.clone(), offset, cause })
            }
        }
    }

    /// Stores a value in place of the one before: it lasts when this returns. A try after one that failed writes all of
    /// it again.
    ///
    /// # Errors
    /// The value does not count as stored. What is read after a restart is this one or the one before, each whole.
    pub fn store<T: Serialize>(&self, value: &T) -> io::Result<()> {
        let bytes = serde_json::to_vec(value)?;
        self.operations.create_directory(&parent(&self.path))?;
        self.store_bytes(&bytes)
    }

    /// The same with bytes, in a directory that is there.
    ///
    /// # Errors
    /// As those of [`Self::store`].
    pub fn store_bytes(&self, bytes: &[u8]) -> io::Result<()> {
        let (directory, early) = (parent(&self.path), temporary(&self.path));
        absent_is_well(self.operations.remove(&early))?;
        let written = self.write(&early, bytes).and_then(|()| self.operations.rename(&early, &self.path));
        if written.is_err() {
            // Room on a full device; the next try and the next start take it away as well.
            let _ = self.operations.remove(&early);
        }
        written?;
        self.operations.sync_directory(&directory)
    }

    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let mut file = self.operations.create(path)?;
        self.operations.write(&mut file, bytes)?;
        let synced = self.operations.sync(&file);
        if fault_injection::is_active(InjectedFault::SecondSyncBelieved) {
            return synced.or_else(|_| self.operations.sync(&file));
        }
        synced
    }
}

fn is_absent(problem: &io::Error) -> bool {
    problem.kind() == io::ErrorKind::NotFound
}

fn absent_is_well(removed: io::Result<()>) -> io::Result<()> {
    removed.or_else(|problem| if is_absent(&problem) { Ok(()) } else { Err(problem) })
}

/// Where a line and a column of a text are, from its first byte on.
fn offset(bytes: &[u8], line: usize, column: usize) -> usize {
    let lines = bytes.split_inclusive(|byte| *byte == b'\n').take(line.saturating_sub(1));
    lines.map(<[u8]>::len).sum::<usize>() + column
}
