//! Whose a directory is. Each gets a random word at its first start, under which its member is known to the others: a
//! directory that is empty, copied or older than what the others have seen of it is another member, which has promised
//! nothing yet, and never the one that it was.
//!
//! Three kinds of evidence, since none is enough alone (`docs/design-store.md`): the file that the directory was made
//! with, which a copy does not have; the witness beside the directory, which a file put back in place falls behind; and
//! a mark that only grows, made durable here and at the other members, for a machine that was put back as a whole.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// The file that a directory's contents were written to, as the file system knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprint {
    /// The device.
    pub device: u64,
    /// Its number on the device.
    pub inode: u64,
    /// When it was made, in nanoseconds since 1970, where the file system says.
    pub born: Option<u64>,
}

/// What a directory says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The member's word.
    pub member: u64,
    /// The cluster that it belongs to; none yet for a blank one.
    pub cluster: Option<u64>,
    /// How often it has been marked.
    pub mark: u64,
    /// The file that it was made with; none in memory.
    pub file: Option<Fingerprint>,
}

/// What is to be done with a directory as it is found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// Nothing is in it: a new identity is made.
    Empty,
    /// It is this member's.
    Own(Identity),
    /// It was written to another file, or is behind what was written beside it: a copy, which must not speak as the
    /// member that it was.
    Copied(Identity),
}

/// Judges a directory by what it says of itself, the file that it is in, and whether its witness has seen it further.
pub fn judge(said: Option<Identity>, here: Option<Fingerprint>, is_behind: bool) -> Found {
    match said {
        None => Found::Empty,
        Some(identity) if identity.file == here && !is_behind => Found::Own(identity),
        Some(identity) => Found::Copied(identity),
    }
}

/// Marks that are remembered of others; the least recently raised goes first.
pub const MOST_MARKS: usize = 64;

/// The highest mark that was seen of each member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Marks {
    seen: BTreeMap<u64, (u64, u64)>,
    turn: u64,
}

impl Marks {
    /// Takes a mark in: `before` is the last one that the member's directory held when it was raised to `now`. Says
    /// whether there is anything new to keep.
    ///
    /// # Errors
    /// Has the mark that was seen: the directory is older than that.
    pub fn raise(&mut self, member: u64, before: u64, now: u64) -> Result<bool, u64> {
        let seen = self.seen.get(&member).map_or(0, |(mark, _)| *mark);
        if before < seen {
            return Err(seen);
        }
        if now <= seen {
            return Ok(false);
        }
        self.turn += 1;
        self.seen.insert(member, (now, self.turn));
        if self.seen.len() > MOST_MARKS {
            let oldest = self.seen.iter().min_by_key(|(_, (_, turn))| *turn).map(|(member, _)| *member);
            oldest.map(|member| self.seen.remove(&member));
        }
        Ok(true)
    }
}

/// What another member says to a mark.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Marked {
    /// It is kept there durably.
    Kept {
        /// The word of who keeps it: a new directory at the same address has not seen what the one before it saw.
        by: u64,
        /// Whether the member belongs, as that one has it from the log.
        belongs: bool,
        /// The index of the change of members that it goes by.
        as_of: u64,
    },
    /// That one has no cluster yet.
    Blank,
    /// A later mark was seen.
    Older(u64),
    /// That one is of another cluster.
    Foreign(u64),
}

/// Whether a member may take part under its identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Not enough has been said.
    Wait,
    /// It may.
    Confirmed,
    /// Its directory is older than what it has promised.
    Older,
    /// It was taken out of the members meanwhile.
    Removed,
    /// Its members are of another cluster.
    Foreign(u64),
}

/// Weighs what others said to a mark. `others` are the words of the fellow voters, `own_change` is the index of the
/// change of members that this one goes by, `patient` whether there is time left to hear from all of them. One word
/// that the directory is older is enough, whoever says it; to go on, as many of the fellow voters must have kept the
/// mark as a majority needs beside this member.
pub fn weigh(others: &BTreeSet<u64>, said: &[Marked], own_change: u64, patient: bool) -> Standing {
    let older = said.iter().any(|said| matches!(said, Marked::Older(_)));
    let removed = said
        .iter()
        .any(|said| matches!(said, Marked::Kept { belongs: false, as_of, .. } if *as_of > own_change));
    let foreign = said.iter().find_map(|said| match said {
        Marked::Foreign(cluster) => Some(*cluster),
        _ => None,
    });
    let keeper = |said: &Marked| match said {
        Marked::Kept { by, .. } => others.get(by).copied(),
        _ => None,
    };
    let kept = said.iter().filter_map(keeper).collect::<BTreeSet<u64>>().len();
    let others = others.len();
    match foreign {
        _ if older => Standing::Older,
        _ if removed => Standing::Removed,
        Some(cluster) if kept == 0 => Standing::Foreign(cluster),
        _ if kept >= others || (!patient && kept >= others.div_ceil(2)) => Standing::Confirmed,
        _ => Standing::Wait,
    }
}
