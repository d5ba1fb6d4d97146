//! What a node keeps of the merged table over a restart: whole or not at all, and never for longer than it may be stale.

use std::io;
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::asking::Feed;
use crate::durable::{LoadError, SmallFile};

/// The file in the operator's directory.
const FILE: &str = "partners.json";

/// A time that a later process can compare with its own.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stamp {
    /// By the wall clock, in ms since 1970 (UTC).
    pub utc_ms: u64,
    /// By the clock that begins with the boot and that no step moves, in ms.
    pub boot_ms: u64,
    /// Which boot that is, where the system tells.
    pub boot: Option<String>,
}

#[derive(Serialize, Deserialize)]
struct Kept<F> {
    /// By the wall clock: what there is of files of earlier versions, and behind another boot.
    at_ms: u64,
    #[serde(default)]
    boot_ms: u64,
    #[serde(default)]
    boot: Option<String>,
    feed: F,
}

impl<F> Kept<F> {
    /// How long ago it was kept, in ms. Behind another boot the wall clock tells, and where that has been set back since,
    /// nothing is known of it: all counts as over.
    fn age_ms(&self, now: &Stamp) -> u64 {
        if self.boot.is_some() && self.boot == now.boot {
            return now.boot_ms.saturating_sub(self.boot_ms);
        }
        now.utc_ms.checked_sub(self.at_ms).unwrap_or(u64::MAX)
    }
}

/// What was kept, with each table as stale as it is by now.
///
/// # Errors
/// There is a file that cannot be read.
pub fn read(directory: &Path, now: &Stamp) -> Result<Option<Feed>, LoadError> {
    let kept: Option<Kept<Feed>> = SmallFile::new(directory.join(FILE)).load()?;
    let Some(kept) = kept else { return Ok(None) };
    let age_ms = kept.age_ms(now);
    let mut feed = kept.feed;
    feed.partners.values_mut().for_each(|line| line.stale_ms = line.stale_ms.saturating_add(age_ms));
    feed.from = None;
    Ok(Some(feed))
}

/// Keeps all of a table.
///
/// # Errors
/// It is not kept; what was kept before is.
pub fn write(directory: &Path, feed: &Feed, now: Stamp) -> io::Result<()> {
    let Stamp { utc_ms, boot_ms, boot } = now;
    SmallFile::new(directory.join(FILE)).store(&Kept { at_ms: utc_ms, boot_ms, boot, feed })
}
