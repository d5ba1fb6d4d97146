//! Which node coordinates, as far as this node has verified it. A claim alone proves nothing, whoever sends it: one lying
//! node that names a high enough fencing token would be followed by all, and no other coordinator ever after. So a new
//! holder is accepted only once the store has verified it, and each sender can trigger at most one store query per [`RETRY_INTERVAL_MS`].

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::wire::Holder;
use crate::lease::Unproved;

/// Minimum time between two store queries that one sender's claims trigger, in ms.
pub const RETRY_INTERVAL_MS: f64 = 500.0;
/// How long an unverified claim is reported to operators, in ms.
pub const REPORTED_MS: f64 = 600_000.0;

/// The outcome of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// It names the holder that this node has accepted.
    Known,
    /// A higher fencing token was seen, or the same one for another holder. Carries the highest one seen.
    Superseded(u64),
    /// The store was queried about a claim of this sender within the retry interval; the claim may be sent again.
    RateLimited,
    /// The store has to be queried.
    Unverified,
}

/// A claim that the store did not verify.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnverifiedClaim {
    /// The node that sent the claim, about itself or about another node.
    pub teller: String,
    /// The claimed coordinator.
    pub holder: Holder,
    /// Why it was not verified.
    pub why: Unproved,
}

/// The holder that this node has accepted, and the recent claims.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    holder: Option<Holder>,
    /// The last unverified claim, and when it was rejected, in ms.
    doubted: Option<(f64, UnverifiedClaim)>,
    /// Per sender, the time before which its further claims are not verified, in ms.
    retry_after: BTreeMap<String, f64>,
}

impl Claims {
    /// The accepted holder.
    pub fn holder(&self) -> Option<&Holder> {
        self.holder.as_ref()
    }

    /// The last unverified claim, for [`REPORTED_MS`].
    pub fn doubted(&self, now: f64) -> Option<&UnverifiedClaim> {
        self.doubted.as_ref().filter(|(at, _)| now - at <= REPORTED_MS).map(|(_, doubted)| doubted)
    }

    /// Records an unverified claim.
    pub fn reject(&mut self, now: f64, doubted: UnverifiedClaim) {
        self.doubted = Some((now, doubted));
    }

    /// Takes a claim. `seen` is the highest fencing token of an applied list, over all starts of this node.
    pub fn receive(&mut self, now: f64, seen: u64, teller: &str, claim: &Holder) -> ClaimOutcome {
        if self.holder.as_ref() == Some(claim) {
            return ClaimOutcome::Known;
        }
        let known = self.holder.as_ref().map(|known| known.fence);
        if claim.fence < seen || known.is_some_and(|known| claim.fence <= known) {
            return ClaimOutcome::Superseded(known.unwrap_or(0).max(seen));
        }
        self.retry_after.retain(|_, until| now < *until);
        if self.retry_after.contains_key(teller) {
            return ClaimOutcome::RateLimited;
        }
        self.retry_after.insert(teller.to_owned(), now + RETRY_INTERVAL_MS);
        ClaimOutcome::Unverified
    }

    /// Accepts a holder that the store has verified. Returns whether it replaces the previous one: a higher fencing token
    /// may have been accepted meanwhile.
    pub fn accept_holder(&mut self, holder: Holder) -> bool {
        let new = self.holder.as_ref().is_none_or(|known| known.fence < holder.fence);
        if new {
            self.holder = Some(holder);
        }
        new
    }
}
