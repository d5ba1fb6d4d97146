//! A few bytes beside the directory that say how far it has come: whoever puts back an old copy of the directory, even
//! into the very same file, leaves them as they are. They are written behind each commit and not synced: after a loss of
//! power they may be behind the directory, which says nothing, and are never ahead of it but for one that was put back.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use log::warn;

use super::decide::pieces::digest;

/// Bytes of the member, the count, and their digest.
const BYTES: usize = 24;

/// The file beside a directory.
#[derive(Debug)]
pub(crate) struct Witness(File);

fn path(directory: &Path) -> Option<PathBuf> {
    let mut name = directory.file_name()?.to_owned();
    name.push(".witness");
    Some(directory.with_file_name(name))
}

impl Witness {
    /// Opens the file, which is made where it is missing; none where nothing can be written beside the directory.
    pub fn open(directory: &Path) -> Option<Self> {
        let path = path(directory)?;
        match OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&path) {
            Ok(opened) => Some(Self(opened)),
            Err(problem) => {
                warn!("{}: an old copy of the directory may not be noticed: {problem}", path.display());
                None
            }
        }
    }

    /// The count that was written for a member; none where it was written for another, or is torn.
    pub fn count(&self, member: u64) -> Option<u64> {
        let mut bytes = [0; BYTES];
        self.0.read_exact_at(&mut bytes, 0).ok()?;
        let (said, check) = bytes.split_at(16);
        let (of, count) = said.split_at(8);
        let whole = digest(said)[..8] == *check && of == member.to_be_bytes();
        whole.then(|| count.try_into().map(u64::from_be_bytes).ok())?
    }

    /// Writes a count.
    pub fn write(&self, member: u64, count: u64) -> io::Result<()> {
        let mut bytes = [0; BYTES];
        bytes[..8].copy_from_slice(&member.to_be_bytes());
        bytes[8..16].copy_from_slice(&count.to_be_bytes());
        let check = digest(&bytes[..16]);
        bytes[16..].copy_from_slice(&check[..8]);
        self.0.write_all_at(&bytes, 0)
    }
}
