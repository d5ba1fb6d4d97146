//! What a node may do with a view that it has not heard to be in force for a while.

use serde::{Deserialize, Serialize};

/// What a view is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// To know whom to probe, to show it, to ask for something that anyone may answer.
    Hint,
    /// To choose who holds something. A choice by an old view is found out by its number where it is made, so an old one
    /// costs a try.
    Choose,
    /// To count a majority in. Whoever is counted says under which view: only voices of one number are counted together,
    /// and a node that has not heard of the store for long does not ask.
    Count,
}

/// How well a view is known to be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Freshness {
    /// The store, or a node that has heard of it, has said so just now.
    Current,
    /// The store has not been heard for a while: a change may have been missed.
    Stale,
    /// Nothing was heard for so long that much may have changed.
    Old,
}

/// A view counts as current for this long, and as stale until that, in ms.
pub const CURRENT_MS: u64 = 15_000;
/// See [`CURRENT_MS`].
pub const STALE_MS: u64 = 600_000;

/// How well a view is known that was last said to be in force so long ago.
pub fn freshness(age_ms: u64) -> Freshness {
    match age_ms {
        0..CURRENT_MS => Freshness::Current,
        CURRENT_MS..STALE_MS => Freshness::Stale,
        _ => Freshness::Old,
    }
}

/// Whether a view may be used so.
pub fn may(wish: Use, freshness: Freshness) -> bool {
    match wish {
        Use::Hint => true,
        Use::Choose => freshness < Freshness::Old,
        Use::Count => freshness == Freshness::Current,
    }
}
