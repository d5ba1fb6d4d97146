//! The highest number of a list that this node has seen, kept over its restarts: no older list is applied after one.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

use crate::durable::{LoadError, SmallFile};

use super::list::{Guard, List, ListError, Number};

/// Why a list is not applied.
#[derive(Debug, Error)]
pub enum ApplyError {
    /// It must not be.
    #[error("{0}")]
    List(#[from] ListError),
    /// Its number cannot be kept, so that an older one could be applied after a restart.
    #[error("its number cannot be kept: {0}")]
    Io(#[from] io::Error),
}

/// The guard with its file.
#[derive(Debug)]
pub struct PersistentGuard {
    guard: Guard,
    file: Option<SmallFile>,
}

impl PersistentGuard {
    /// One that reads this file, where there is one; without it, the number ends with the process.
    ///
    /// # Errors
    /// The file cannot be read, or is none of a guard.
    pub fn open(path: Option<PathBuf>) -> Result<Self, LoadError> {
        let file = path.map(SmallFile::new);
        let seen = file.as_ref().map(SmallFile::load).transpose()?.flatten();
        Ok(Self { guard: Guard::after(seen.unwrap_or_default()), file })
    }

    /// What it guards.
    pub fn guard(&self) -> &Guard {
        &self.guard
    }

    /// Applies a list, once its number is kept; whether it is another than the one in force.
    ///
    /// # Errors
    /// It is not the latest, cannot be, or its number cannot be kept.
    pub fn accept(&mut self, now: f64, list: &List) -> Result<bool, ApplyError> {
        let mut next = self.guard.clone();
        let new = next.accept(now, list)?;
        if let Some(file) = self.file.as_ref().filter(|_| next.seen() != self.guard.seen()) {
            file.store(&next.seen())?;
        }
        self.guard = next;
        Ok(new)
    }

    /// See [`Guard::confirmed`].
    pub fn confirmed(&mut self, now: f64, number: Number) -> bool {
        self.guard.confirmed(now, number)
    }
}
