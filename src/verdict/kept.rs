//! The highest number of a list that this node has seen, kept over its restarts: no older list is applied after one.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

use super::list::{Guard, List, ListError, Number};

/// Why a list is not applied.
#[derive(Debug, Error)]
pub enum KeepError {
    /// It must not be.
    #[error("{0}")]
    List(#[from] ListError),
    /// Its number cannot be kept, so that an older one could be applied after a restart.
    #[error("its number cannot be kept: {0}")]
    Io(#[from] io::Error),
}

/// The guard with its file.
#[derive(Debug)]
pub struct KeptGuard {
    guard: Guard,
    path: Option<PathBuf>,
}

impl KeptGuard {
    /// One that reads this file, where there is one; without it, the number ends with the process.
    ///
    /// # Errors
    /// The file cannot be read, or is none of a guard.
    pub fn open(path: Option<PathBuf>) -> io::Result<Self> {
        let seen = match path.as_deref().map(fs::read) {
            Some(Ok(text)) => serde_json::from_slice(&text)?,
            Some(Err(problem)) if problem.kind() != io::ErrorKind::NotFound => return Err(problem),
            _ => Number::default(),
        };
        Ok(Self { guard: Guard::after(seen), path })
    }

    /// What it guards.
    pub fn guard(&self) -> &Guard {
        &self.guard
    }

    /// Applies a list, once its number is kept; whether it is another than the one in force.
    ///
    /// # Errors
    /// It is not the latest, cannot be, or its number cannot be kept.
    pub fn accept(&mut self, now: f64, list: &List) -> Result<bool, KeepError> {
        let mut next = self.guard.clone();
        let new = next.accept(now, list)?;
        if let Some(path) = self.path.as_deref().filter(|_| next.seen() != self.guard.seen()) {
            keep(path, next.seen())?;
        }
        self.guard = next;
        Ok(new)
    }

    /// See [`Guard::confirmed`].
    pub fn confirmed(&mut self, now: f64, number: Number) -> bool {
        self.guard.confirmed(now, number)
    }
}

/// Writes the whole file or none of it.
fn keep(path: &Path, seen: Number) -> io::Result<()> {
    if let Some(directory) = path.parent() {
        fs::create_dir_all(directory)?;
    }
    let early = path.with_extension("new");
    let file = File::create(&early)?;
    serde_json::to_writer(&file, &seen)?;
    file.sync_all()?;
    fs::rename(&early, path)?;
    let directory = path.parent().filter(|parent| !parent.as_os_str().is_empty());
    File::open(directory.unwrap_or(Path::new(".")))?.sync_all()
}
