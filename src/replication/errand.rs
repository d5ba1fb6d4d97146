//! What the core of a node asks of the copies, and what it hears of it. No socket is named here.

use bytes::Bytes;

use super::key::{Body, KeyId};
use super::register::Fate;

/// What is to be done for one request, which is named by its number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Errand {
    /// Claim its key ahead of its run.
    Claim(Claim),
    /// Say whether its key is another one's, and claim nothing: it is to be refused where it is nobody's.
    Look(Claim),
    /// Its run is over: this has come of it.
    End {
        /// Which request.
        request: u32,
        /// What has come of it.
        fate: Fate,
    },
    /// Nobody waits for its claim any more, and it has not run.
    GiveUp {
        /// Which request.
        request: u32,
    },
}

/// A claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Which request.
    pub request: u32,
    /// Its key.
    pub key: KeyId,
    /// Its body.
    pub body: Body,
    /// How long its window lasts still, in ms.
    pub left_ms: u32,
    /// How long the holders may take to give it, in ms.
    pub wait_ms: u32,
    /// How long the end of another run of the key may be waited for, in ms.
    pub share_ms: u32,
}

/// What is heard of an errand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// The key is claimed: the request may run.
    Mine,
    /// Another one has the key: what comes of that is waited for.
    Theirs,
    /// Another one has had it, with another body.
    Taken,
    /// Another one has had it, with this result.
    Done(Bytes),
    /// Another one has had it, and has no result.
    Failed,
    /// It cannot be known whether another one has run.
    Doubt,
    /// Not enough holders could be reached, and none that was knows of another run.
    Unreached,
    /// A majority of the holders knows of no run: none had begun when they were asked.
    Nobodys,
    /// The holders have no room for the key.
    Full,
    /// What came of the run is copied.
    Copied,
    /// What came of the run cannot be copied as it is.
    TooLarge,
}
