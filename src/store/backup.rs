//! Everything that the store holds, in one file that carries its digest; what it is restored to, and what is in a
//! directory.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;

use openraft::{CommittedLeaderId, LogId, Vote};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::decide::members::Place;
use super::decide::pieces::digest;
use super::disk::{Disk, DiskError, Report};
use super::map::{Contents, Versioned};
use crate::durable::SmallFile;

/// The form that is written.
const FORM: u32 = 1;

/// A backup.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backup {
    form: u32,
    /// The cluster that it was taken of, in hexadecimal digits.
    pub cluster: String,
    /// The last entry of the log that is in it.
    pub applied: u64,
    /// All keys.
    pub entries: BTreeMap<String, Versioned>,
    digest: String,
}

/// Why a backup is not used.
#[derive(Debug, Error)]
pub enum BackupError {
    /// It cannot be read or written.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// It is no backup.
    #[error("it is no backup: {0}")]
    Form(#[from] serde_json::Error),
    /// It was written by a version that this one does not know.
    #[error("its form is {0}, and this version reads {FORM}")]
    Later(u32),
    /// It is not what was written.
    #[error("it is damaged: its digest is another")]
    Damaged,
    /// The directory has something in it.
    #[error("{0} is not empty: a backup is restored to an empty directory")]
    Occupied(String),
    /// The directory cannot be written.
    #[error("{0}")]
    Disk(#[from] DiskError),
}

impl Backup {
    /// What a member holds.
    pub fn of(cluster: u64, contents: &Contents) -> Self {
        let mut backup = Self {
            form: FORM,
            cluster: format!("{cluster:016x}"),
            applied: contents.applied().map_or(0, |log| log.index),
            entries: contents.under(""),
            digest: String::new(),
        };
        backup.digest = backup.sum();
        backup
    }

    /// The digest of all but itself.
    fn sum(&self) -> String {
        let bare = Self { digest: String::new(), ..self.clone() };
        let bytes = serde_json::to_vec(&bare).unwrap_or_default();
        digest(&bytes).iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Reads a file.
    ///
    /// # Errors
    /// It cannot be read, or is not what was written.
    pub fn read(path: &Path) -> Result<Self, BackupError> {
        let backup: Self = serde_json::from_slice(&std::fs::read(path)?)?;
        backup.verify()?;
        Ok(backup)
    }

    /// Whether it is what was written.
    ///
    /// # Errors
    /// It is not.
    pub fn verify(&self) -> Result<(), BackupError> {
        if self.form != FORM {
            return Err(BackupError::Later(self.form));
        }
        if self.sum() == self.digest { Ok(()) } else { Err(BackupError::Damaged) }
    }

    /// Writes a file whole, or not at all.
    ///
    /// # Errors
    /// It cannot be written.
    pub fn write(&self, path: &Path) -> Result<(), BackupError> {
        Ok(SmallFile::new(path.to_owned()).store_bytes(&serde_json::to_vec_pretty(self)?)?)
    }
}

/// Makes an empty directory the first member of a new cluster that holds what a backup does. Members of the old one
/// are strangers to it.
///
/// # Errors
/// The backup is damaged, the directory is not empty or cannot be written.
pub fn restore(backup: &Backup, directory: &Path, number: u64, address: &str) -> Result<(), BackupError> {
    backup.verify()?;
    if std::fs::read_dir(directory).is_ok_and(|mut entries| entries.next().is_some()) {
        return Err(BackupError::Occupied(directory.display().to_string()));
    }
    let member = rand::random();
    let place = Place { number, address: address.to_owned(), spare: false };
    let applied = LogId::new(CommittedLeaderId::new(1, member), backup.applied);
    let contents = Contents::planted(applied, member, place, backup.entries.clone());
    Ok(Disk::restore(directory, member, &contents, Vote::new(1, member))?)
}

/// Reads all that is in the directory of a member that does not run, each row against its digest.
///
/// # Errors
/// Something is damaged or missing.
pub fn verify_directory(directory: &Path) -> Result<Report, DiskError> {
    Disk::load(directory)?.report()
}
