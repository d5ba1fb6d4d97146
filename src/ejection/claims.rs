//! Who counts, as this node goes by it. A word of it proves nothing, whoever says it: one lying node that names a number
//! high enough would be followed by all, and nobody else ever after. So a holder that is new here is gone by only once
//! the store has vouched for it, and nobody has the store asked more often than [`RETRY_INTERVAL_MS`].

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::wire::Holder;
use crate::lease::Unproved;

/// How long a teller's next claim waits once the store was asked about one, in ms.
pub const RETRY_INTERVAL_MS: f64 = 500.0;
/// How long a claim that is not gone by is shown to operators, in ms.
pub const SHOWN_MS: f64 = 600_000.0;

/// What becomes of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// It is what this node goes by.
    Known,
    /// A higher number was seen, or this one as another's.
    Superseded(u64),
    /// The store was asked about a claim of this teller just now: it may come again.
    RateLimited,
    /// The store is to be asked.
    Unverified,
}

/// A claim that is not gone by.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnverifiedClaim {
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
    doubted: Option<(f64, UnverifiedClaim)>,
    /// Until when further claims of a teller wait, in ms.
    waits: BTreeMap<String, f64>,
}

impl Claims {
    /// The holder that this node goes by.
    pub fn holder(&self) -> Option<&Holder> {
        self.holder.as_ref()
    }

    /// The last claim that was not gone by, for [`SHOWN_MS`].
    pub fn doubted(&self, now: f64) -> Option<&UnverifiedClaim> {
        self.doubted.as_ref().filter(|(at, _)| now - at <= SHOWN_MS).map(|(_, doubted)| doubted)
    }

    /// A claim is not gone by.
    pub fn doubt(&mut self, now: f64, doubted: UnverifiedClaim) {
        self.doubted = Some((now, doubted));
    }

    /// Hears a claim. `seen` is the highest number of which a list was applied, over all starts.
    pub fn receive(&mut self, now: f64, seen: u64, teller: &str, claim: &Holder) -> ClaimOutcome {
        if self.holder.as_ref() == Some(claim) {
            return ClaimOutcome::Known;
        }
        let known = self.holder.as_ref().map(|known| known.fence);
        if claim.fence < seen || known.is_some_and(|known| claim.fence <= known) {
            return ClaimOutcome::Superseded(known.unwrap_or(0).max(seen));
        }
        self.waits.retain(|_, until| now < *until);
        if self.waits.contains_key(teller) {
            return ClaimOutcome::RateLimited;
        }
        self.waits.insert(teller.to_owned(), now + RETRY_INTERVAL_MS);
        ClaimOutcome::Unverified
    }

    /// The store vouches for a holder. Whether it is another one than before: it may have been passed meanwhile.
    pub fn accept_holder(&mut self, holder: Holder) -> bool {
        let new = self.holder.as_ref().is_none_or(|known| known.fence < holder.fence);
        if new {
            self.holder = Some(holder);
        }
        new
    }
}
