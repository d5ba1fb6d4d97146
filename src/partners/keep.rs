//! What a node keeps of the merged table over a restart: whole or not at all, and never for longer than it may be stale.

use std::fs::{self, File};
use std::io;
use std::path::Path;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::asking::Feed;

/// The file in the operator's directory.
const FILE: &str = "partners.json";

/// Why what was kept cannot be used.
#[derive(Debug, Error)]
#[error("{path}: {why}")]
pub struct BadKept {
    /// The file.
    path: String,
    /// What is wrong.
    why: String,
}

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
pub fn read(directory: &Path, utc: u64) -> Result<Option<Feed>, BadKept> {
    let path = directory.join(FILE);
    let bad = |why: String| BadKept { path: path.display().to_string(), why };
    let text = match fs::read(&path) {
        Ok(text) => text,
        Err(problem) if problem.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(problem) => return Err(bad(problem.to_string())),
    };
    let Kept { at_ms, mut feed }: Kept<Feed> =
        serde_json::from_slice(&text).map_err(|problem| bad(problem.to_string()))?;
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
    fs::create_dir_all(directory)?;
    let path = directory.join(FILE);
    let early = path.with_extension("new");
    let file = File::create(&early)?;
    let mut writer = io::BufWriter::new(file);
    serde_json::to_writer(&mut writer, &Kept { at_ms: utc, feed })?;
    writer.into_inner().map_err(io::IntoInnerError::into_error)?.sync_all()?;
    fs::rename(&early, &path)?;
    File::open(directory)?.sync_all()
}
