//! The number that an effect carries, and who takes effects by it: a number lower than one that was seen is turned down
//! for ever, restarts included (fencing tokens; Gray, Cheriton 1989, Burrows 2006).

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::durable::{LoadError, SmallFile};

use super::{DutyName, MOST_DUTIES};

/// Under which number of which duty something is done. Those of one duty are ordered by their numbers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fence {
    /// The duty.
    pub duty: DutyName,
    /// Its number: higher with each holder, and never used twice.
    pub number: u64,
}

impl Ord for Fence {
    fn cmp(&self, other: &Self) -> Ordering {
        self.number.cmp(&other.number).then_with(|| self.duty.cmp(&other.duty))
    }
}

impl PartialOrd for Fence {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Why an effect is turned down.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Stale {
    /// A higher number was seen.
    #[error("{duty} is at number {seen}, not at {number}")]
    Lower {
        /// The duty.
        duty: DutyName,
        /// The number that came.
        number: u64,
        /// The highest that was seen.
        seen: u64,
    },
    /// The number cannot be kept over a restart, so nothing may be done under it.
    #[error("{duty}: number {number} cannot be kept: {why}")]
    Unkept {
        /// The duty.
        duty: DutyName,
        /// The number that came.
        number: u64,
        /// What is wrong.
        why: String,
    },
    /// There is room for no further duty.
    #[error("{MOST_DUTIES} duties are guarded, and no more can be")]
    Full,
}

/// The receiver's side: the highest number of each duty that it has seen.
#[derive(Debug, Default)]
pub struct Guard {
    seen: BTreeMap<DutyName, u64>,
    file: Option<SmallFile>,
}

impl Guard {
    /// One that ends with its process. For a receiver whose state does too.
    pub fn new() -> Self {
        Self::default()
    }

    /// One that keeps what it saw in this file, which is read where it is there.
    ///
    /// # Errors
    /// The file cannot be read, or is none of a guard.
    pub fn open(path: &Path) -> Result<Self, LoadError> {
        let file = SmallFile::new(path.to_owned());
        Ok(Self { seen: file.load()?.unwrap_or_default(), file: Some(file) })
    }

    /// The highest number of a duty that was seen.
    pub fn seen(&self, duty: &DutyName) -> Option<u64> {
        self.seen.get(duty).copied()
    }

    /// Lets an effect in. A number that is new is synced before anything is done under it.
    ///
    /// # Errors
    /// The number is lower than one that was seen, or cannot be kept: the effect must not be done.
    pub fn admit(&mut self, fence: &Fence) -> Result<(), Stale> {
        let (duty, number) = (&fence.duty, fence.number);
        match self.seen(duty) {
            Some(seen) if number < seen => {
                return Err(Stale::Lower { duty: duty.clone(), number, seen });
            }
            Some(seen) if number == seen => return Ok(()),
            None if self.seen.len() >= MOST_DUTIES => return Err(Stale::Full),
            _ => {}
        }
        let before = self.seen.insert(duty.clone(), number);
        if let Err(problem) = self.keep() {
            match before {
                Some(before) => self.seen.insert(duty.clone(), before),
                None => self.seen.remove(duty),
            };
            return Err(Stale::Unkept { duty: duty.clone(), number, why: problem.to_string() });
        }
        Ok(())
    }

    fn keep(&self) -> io::Result<()> {
        let Some(file) = &self.file else { return Ok(()) };
        // Where its directory is not, it is not made: nobody has set it up.
        file.store_bytes(&serde_json::to_vec(&self.seen)?)
    }
}
