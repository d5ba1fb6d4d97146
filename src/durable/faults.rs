//! Failures and slow syncs that a test has the folder of a real process show. Builds without debug assertions have none.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::LazyLock;
use std::time::Duration;

use rustix::io::Errno;

/// What a test can let fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Operation {
    /// Writing, making and renaming files: ENOSPC.
    Write,
    /// Syncing files and directories: EIO.
    Sync,
}

/// Before the ms that each sync takes longer.
const SLOW: &str = "slow:";

/// The file that the environment names: while it is there, what it says (`write`, `sync`) fails, or syncs are slow
/// (`slow:450`).
static SWITCH: LazyLock<Option<PathBuf>> =
    LazyLock::new(|| std::env::var_os("SILLFLOW_FOLDER_FAULTS").map(PathBuf::from));

/// Fails where a test wants this operation to.
pub(super) fn check(operation: Operation, path: &Path) -> io::Result<()> {
    if !cfg!(debug_assertions) {
        return Ok(());
    }
    let Some(said) = SWITCH.as_ref().and_then(|switch| std::fs::read_to_string(switch).ok()) else {
        return Ok(());
    };
    if operation == Operation::Sync {
        let slower = said.split_whitespace().find_map(|named| named.strip_prefix(SLOW)?.parse().ok());
        std::thread::sleep(slower.map_or(Duration::ZERO, Duration::from_millis));
    }
    let (word, problem) = match operation {
        Operation::Write => ("write", Errno::NOSPC),
        Operation::Sync => ("sync", Errno::IO),
    };
    if said.split_whitespace().any(|named| named == word) {
        log::debug!("{}: a test lets this {word} fail", path.display());
        return Err(problem.into());
    }
    Ok(())
}
