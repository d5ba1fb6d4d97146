//! One key at one of its holders: a register with ballots, changed as in CASPaxos (Rystsov 2018). What is accepted by a
//! majority under one ballot is chosen; whoever changes it looks at a majority first.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::key::Body;
use super::wire::Held;

/// The number of a try to change a register. No two tries have the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Rises with each further try.
    pub round: u32,
    /// A random word of the one that tries.
    pub word: u64,
}

impl Ballot {
    /// The next one of the same that tries, above that.
    pub fn above(self, round: u32) -> Self {
        Self { round: round.saturating_add(1), word: self.word }
    }
}

/// The try of a request that holds a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Claimant {
    /// The life of the node that has it; 0 for one that does not belong.
    pub node: u64,
    /// The process of that node: another one knows nothing of this run.
    pub process: u64,
    /// Which of that process's.
    pub run: u64,
}

/// What has come of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Fate {
    /// It may run, or may have.
    Claimed,
    /// It has not run, and is anyone's.
    Freed,
    /// It ran, or may have, and has no result.
    Failed,
    /// It ran, with this result.
    Done(Bytes),
}

/// What a register holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Value {
    /// Whose it is.
    pub by: Claimant,
    /// The body of its tries.
    pub body: Body,
    /// What has come of it.
    pub fate: Fate,
}

impl Value {
    /// Whether the run is over.
    pub fn is_over(&self) -> bool {
        matches!(self.fate, Fate::Failed | Fate::Done(_))
    }
}

/// A register at one holder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    /// Nothing is accepted below this.
    pub promised: Ballot,
    /// What was accepted last, and under which ballot.
    pub accepted: Option<(Ballot, Value)>,
    /// The last ballot that this holder's own voice was given to. What it only learned of is none.
    pub voted: Ballot,
}

impl Row {
    /// Promises to accept nothing below a ballot.
    ///
    /// # Errors
    /// A higher one was promised: that one.
    pub fn prepare(&mut self, ballot: Ballot) -> Result<(), Ballot> {
        if ballot < self.promised {
            return Err(self.promised);
        }
        self.promised = ballot;
        Ok(())
    }

    /// Accepts a value, and promises `next` with it. A voice that was given is given again.
    ///
    /// # Errors
    /// A higher ballot was promised: that one.
    pub fn accept(&mut self, ballot: Ballot, value: &Value, next: Ballot) -> Result<(), Ballot> {
        if self.voted == ballot {
            return Ok(());
        }
        if ballot < self.promised {
            return Err(self.promised);
        }
        self.accepted = Some((ballot, value.clone()));
        (self.voted, self.promised) = (ballot, ballot.max(next));
        Ok(())
    }

    /// Takes over what another holder has accepted. It is no voice: nobody counts it, so a promise does not forbid it, and
    /// nothing is said to have been accepted for it. Says whether anything is new.
    pub fn learn(&mut self, ballot: Ballot, value: Value) -> bool {
        let newer = self.accepted.as_ref().is_none_or(|(at, _)| *at < ballot);
        if newer {
            self.accepted = Some((ballot, value));
            self.promised = self.promised.max(ballot);
        }
        newer
    }

    /// What is told of it.
    pub fn told(&self) -> Option<Held> {
        let (ballot, value) = self.accepted.clone()?;
        Some(Held { ballot, value, voted: self.voted == ballot })
    }

    /// Bytes that its result takes.
    pub fn result_bytes(&self) -> usize {
        match &self.accepted {
            Some((_, Value { fate: Fate::Done(result), .. })) => result.len(),
            _ => 0,
        }
    }
}
