//! Memory that requests and retained keys use.

use std::collections::{BTreeMap, BTreeSet};

use super::average::micros;

/// Memory in use: by requests, and by retained keys until they expire.
#[derive(Default)]
pub(super) struct MemoryBudget {
    pub(super) limit_kb: f64,
    pub(super) key_kb: f64,
    pub(super) requests_kb: f64,
    /// Booked for requests of another process.
    pub(super) reserved_kb: f64,
    /// Expiry and whether the run failed, by request id.
    pub(super) keys: BTreeMap<u32, (i64, bool)>,
    pub(super) expiries: BTreeSet<(i64, u32)>,
}

impl MemoryBudget {
    pub(super) fn used_kb(&self) -> f64 {
        self.requests_kb + self.reserved_kb + self.keys.len() as f64 * self.key_kb
    }

    /// Whether `more_kb` fits under this share of the memory; always true without a limit.
    pub(super) fn fits(&self, more_kb: f64, share: f64) -> bool {
        self.limit_kb <= 0.0 || self.used_kb() + more_kb <= self.limit_kb * share
    }

    /// Retains the key of a request until that time, or extends it.
    pub(super) fn retain_key(&mut self, id: u32, until: f64) {
        self.forget_key(id);
        self.keys.insert(id, (micros(until), false));
        self.expiries.insert((micros(until), id));
    }

    /// Removes a key; returns whether it was there.
    pub(super) fn forget_key(&mut self, id: u32) -> bool {
        self.keys.remove(&id).is_some_and(|(until, _)| self.expiries.remove(&(until, id)))
    }

    /// Removes the keys that have expired.
    pub(super) fn expire_keys(&mut self, now: f64) {
        while let Some((until, id)) =
            self.expiries.first().copied().filter(|(until, _)| *until <= micros(now))
        {
            self.expiries.remove(&(until, id));
            self.keys.remove(&id);
        }
    }
}
