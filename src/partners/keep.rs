//! What a node keeps of the merged table over a restart: whole or not at all, and never for longer than it may be stale.

use std::io;
use std::path::Path;

use crate::durable::{LoadError, SmallFile};
use serde::{Deserialize, Serialize};

use super::asking::Feed;

/// The file in the operator's directory.
const FILE: &str = "partners.json";

#[derive(Serialize, Deserialize)]
struct Kept<F> {
    /// When, in ms since 1970 (UTC): there is no other clock that both processes have.
    at_ms: u64,
    feed: F,
}

/// What was kept, with each table as stale as it is by now. Where the clock has been set back since, nothing is known of
/// that, and all counts as over.
///
/// # Errors
/// There is a file that cannot be read.
pub fn read(directory: &Path, utc: u64) -> Result<Option<Feed>, LoadError> {
    let kept: Option<Kept<Feed>> = SmallFile::new(directory.join(FILE)).load()?;
    let Some(Kept { at_ms, mut feed }) = kept else { return Ok(None) };
    let since = utc.checked_sub(at_ms).unwrap_or(u64::MAX);
    feed.partners.values_mut().for_each(|line| line.stale_ms = line.stale_ms.saturating_add(since));
    feed.from = None;
    Ok(Some(feed))
}

/// Keeps all of a table.
///
/// # Errors
/// It is not kept; what was kept before is.
pub fn write(directory: &Path, feed: &Feed, utc: u64) -> io::Result<()> {
    SmallFile::new(directory.join(FILE)).store(&Kept { at_ms: utc, feed })
}
