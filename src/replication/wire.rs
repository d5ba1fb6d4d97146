//! What nodes say to each other about copies. Times are durations: no clock of one node means anything to another but in
//! [`Before`], which is told in the clock of the one that is asked.

use serde::{Deserialize, Serialize};

use super::key::{KeyId, PARTS};
use super::register::{Ballot, Value};

/// Bytes of a result that is copied at the most.
pub const MOST_RESULT: usize = 64 * 1024;

/// How long a question is good for: it is not answered later, however long it was under way. Without it, one that is
/// delivered a minute late could stand for a key that is used anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Before {
    /// The process that is asked.
    pub process: u64,
    /// Until when, in ms of that process's clock.
    pub at: u64,
}

/// A question to a holder about one key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ask {
    /// The epoch of the slot, as the asking node has it.
    pub epoch: u64,
    /// The key.
    pub key: KeyId,
    /// What it is to do.
    pub what: What,
}

/// What a holder is to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum What {
    /// Promise to accept nothing below this ballot, and tell what was accepted.
    Prepare {
        /// The ballot.
        ballot: Ballot,
        /// How long the key's window lasts still, in ms.
        left_ms: u32,
    },
    /// Accept a value.
    Accept {
        /// The ballot.
        ballot: Ballot,
        /// The value.
        value: Value,
        /// Promised with it: the same one changes the value next under this.
        next: Ballot,
        /// How long the key's window lasts still, in ms.
        left_ms: u32,
    },
    /// Tell what was accepted, and promise nothing.
    Read,
}

/// What a holder has accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Held {
    /// Under which ballot.
    pub ballot: Ballot,
    /// What.
    pub value: Value,
    /// Whether it has given its voice to that, and has not only learned of it.
    pub voted: bool,
}

/// What a holder answers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Said {
    /// It has promised, and this is what it had accepted.
    Promised(Ballot, Option<Held>),
    /// It has accepted.
    Accepted(Ballot),
    /// It is bound to this higher ballot, and this is what it had accepted.
    Outbid(Ballot, Option<Held>),
    /// This is what it has accepted.
    Holds(Option<Held>),
    /// It has no room, and has changed nothing.
    Full,
    /// It does not hold the slot under that epoch, but under this one.
    Elsewhere(u64),
    /// It has not heard for so long which view is in force that it gives no voice.
    Blind,
}

/// Which ranges of a slot differ, one bit each.
pub type Parts = u16;

/// What is told of a slot in short: for each range the sum of what is in it.
pub type Sums = [u64; PARTS];

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A question to a holder.
    Ask {
        /// Who asks; 0 for one that does not belong.
        from: u64,
        /// The asking node's number for it, which comes back.
        number: u64,
        /// The holder that is meant.
        to: u64,
        /// How long it is good for; none where the holder's clock is not known.
        before: Option<Before>,
        /// The question.
        ask: Ask,
    },
    /// Its answer.
    Said {
        /// The number of the question.
        number: u64,
        /// The holder that answers.
        from: u64,
        /// Its process and what that's clock shows.
        clock: Before,
        /// What it says; none where the question came late, or was for another process.
        said: Option<Said>,
    },
    /// Does the slot hold the same there?
    Compare {
        /// The holder that asks.
        from: u64,
        /// The slot and its epoch.
        slot: u16,
        /// See `slot`.
        epoch: u64,
        /// What the asking one has of it.
        sums: Sums,
    },
    /// Which of its ranges do not.
    Differs {
        /// The holder that answers.
        from: u64,
        /// The slot and its epoch.
        slot: u16,
        /// See `slot`.
        epoch: u64,
        /// The ranges.
        parts: Parts,
    },
    /// The sender has all that those before had of these slots, as of these epochs.
    Complete {
        /// Who.
        from: u64,
        /// The slots and their epochs.
        slots: Vec<(u16, u64)>,
    },
}

/// A key as one holder tells it to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    pub key: KeyId,
    /// What was accepted.
    pub ballot: Ballot,
    /// See `ballot`.
    pub value: Value,
    /// How long its window lasts still, in ms.
    pub left_ms: u32,
}

/// A request for the keys of some ranges of a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// The slot and its epoch.
    pub slot: u16,
    /// See `slot`.
    pub epoch: u64,
    /// The ranges.
    pub parts: Parts,
    /// The keys behind this one.
    pub after: Option<KeyId>,
}

/// Some of them, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The keys.
    pub records: Vec<Record>,
    /// Whether there are more behind them.
    pub more: bool,
}
