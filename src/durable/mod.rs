//! Files that outlast the process: small ones that are replaced as a whole, and databases. One rule holds for both. What
//! is acknowledged was written and synced without an error, with the directory that names the file. After an error nothing
//! that was under way counts as kept: the kernel reports a failed write-back once and forgets that the pages were dirty, so
//! a later sync of the same data that returns without an error proves nothing. The data has to be written again.
//!
//! Nothing here ever deletes a file that cannot be read, or puts an empty one in its place.

pub mod database;
mod faults;
mod small;

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};

use rustix::io::Errno;

pub use small::{LoadError, Operations, SmallFile, System};

/// Whether a system call failed for a reason that passes by itself or that an operator mends while the process runs: a
/// full or failing device, a lack of descriptors or memory, a file that another process still has. A missing or forbidden
/// path is none of these.
pub fn is_transient(problem: &io::Error) -> bool {
    use io::ErrorKind::{
        Interrupted, OutOfMemory, QuotaExceeded, ReadOnlyFilesystem, ResourceBusy, StaleNetworkFileHandle,
        StorageFull, TimedOut, WouldBlock,
    };
    let by_kind = matches!(
        problem.kind(),
        Interrupted
            | OutOfMemory
            | QuotaExceeded
            | ReadOnlyFilesystem
            | ResourceBusy
            | StaleNetworkFileHandle
            | StorageFull
            | TimedOut
            | WouldBlock
    );
    by_kind || matches!(Errno::from_io_error(problem), Some(Errno::IO | Errno::MFILE | Errno::NFILE))
}

/// Syncs a directory: a new name in it lasts once this has returned without an error.
///
/// # Errors
/// It cannot be opened or synced; names that are new in it may be lost.
pub fn sync_directory(directory: &Path) -> io::Result<()> {
    faults::check(faults::Operation::Sync, directory)?;
    File::open(directory)?.sync_all()
}

/// Makes a directory with those above it, each of which lasts when this returns.
///
/// # Errors
/// One cannot be made or synced.
pub fn create_directory(directory: &Path) -> io::Result<()> {
    let missing = directory.ancestors().take_while(|above| !above.as_os_str().is_empty() && !above.exists());
    let missing: Vec<&Path> = missing.collect();
    if missing.is_empty() {
        return Ok(());
    }
    faults::check(faults::Operation::Write, directory)?;
    std::fs::create_dir_all(directory)?;
    let made = missing.into_iter().try_for_each(|made| sync_directory(&parent(made)));
    if made.is_err() {
        // A later sync would prove nothing: the next try makes it again. One that has files in it stays.
        let _ = std::fs::remove_dir(directory);
    }
    made
}

/// The directory that names a file.
fn parent(path: &Path) -> PathBuf {
    match path.parent() {
        Some(parent) if !parent.as_os_str().is_empty() => parent.to_owned(),
        _ => PathBuf::from("."),
    }
}

/// The name under which a file is written before it is renamed.
fn temporary(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".new");
    PathBuf::from(name)
}
