//! Who counts, as this node goes by it. A word of it proves nothing, whoever says it: one lying node that names a number
//! high enough would be followed by all, and nobody else ever after. So a holder that is new here is gone by only once
//! the store has vouched for it, and nobody has the store asked more often than [`AGAIN_MS`].

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::wire::Holder;
use crate::lease::Unproved;

/// How long a teller's next claim waits once the store was asked about one, in ms.
pub const AGAIN_MS: f64 = 500.0;
/// How long a claim that is not gone by is shown to operators, in ms.
pub const SHOWN_MS: f64 = 600_000.0;

/// What becomes of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// It is what this node goes by.
    Known,
    /// A higher number was seen, or this one as another's.
    Passed(u64),
    /// The store was asked about a claim of this teller just now: it may come again.
    Waits,
    /// The store is to be asked.
    New,
}

/// A claim that is not gone by.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Doubted {
    /// Who has made it: the node itself, or one that names another.
    pub teller: String,
    /// Who is said to count.
    pub holder: Holder,
    /// Why it is not gone by.
    pub why: Unproved,
}

/// The holder that this node goes by, and who has made claims lately.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    holder: Option<Holder>,
    /// The last claim that was not gone by, and when that was found, in ms.
    doubted: Option<(f64, Doubted)>,
    /// Until when further claims of a teller wait, in ms.
    waits: BTreeMap<String, f64>,
}

impl Claims {
    /// The holder that this node goes by.
    pub fn holder(&self) -> Option<&Holder> {
        self.holder.as_ref()
    }

    /// The last claim that was not gone by, for [`SHOWN_MS`].
    pub fn doubted(&self, now: f64) -> Option<&Doubted> {
        self.doubted.as_ref().filter(|(at, _)| now - at <= SHOWN_MS).map(|(_, doubted)| doubted)
    }

    /// A claim is not gone by.
    pub fn doubt(&mut self, now: f64, doubted: Doubted) {
        self.doubted = Some((now, doubted));
    }

    /// Hears a claim. `seen` is the highest number of which a list was applied, over all starts.
    pub fn hear(&mut self, now: f64, seen: u64, teller: &str, claim: &Holder) -> Heard {
        if self.holder.as_ref() == Some(claim) {
            return Heard::Known;
        }
        let known = self.holder.as_ref().map(|known| known.fence);
        if claim.fence < seen || known.is_some_and(|known| claim.fence <= known) {
            return Heard::Passed(known.unwrap_or(0).max(seen));
        }
        self.waits.retain(|_, until| now < *until);
        if self.waits.contains_key(teller) {
            return Heard::Waits;
        }
        self.waits.insert(teller.to_owned(), now + AGAIN_MS);
        Heard::New
    }

    /// The store vouches for a holder. Whether it is another one than before: it may have been passed meanwhile.
    pub fn go_by(&mut self, holder: Holder) -> bool {
        let new = self.holder.as_ref().is_none_or(|known| known.fence < holder.fence);
        if new {
            self.holder = Some(holder);
        }
        new
    }
}
