//! How many requests a second a route is given: a bucket for each route that is in use.

use std::collections::HashMap;

use foldhash::fast::RandomState;

use super::route::Name;
use crate::fault_injection::{self, InjectedFault};

/// The part of a second's requests that may come at once.
const AT_ONCE: f64 = 0.1;
/// Routes that are counted before those at rest are looked for.
const MOST_COUNTED: usize = 4096;

/// What the routes in use were given, by site and name. Times are ms of a clock that never runs backwards.
#[derive(Debug, Default)]
pub struct Given {
    /// When each would be at rest again (the generic cell rate algorithm of ATM's traffic management).
    rests_at: HashMap<Name, HashMap<Name, f64, RandomState>, RandomState>,
    counted: usize,
}

impl Given {
    /// Whether a route that is good for so many requests a second may be given one now.
    pub fn may(&self, site: &Name, route: &Name, capacity: u64, now: f64) -> bool {
        let rests_at = self.rests_at.get(site).and_then(|routes| routes.get(route));
        let spare = 1000.0 * AT_ONCE - 1000.0 / capacity.max(1) as f64;
        fault_injection::is_active(InjectedFault::NoCapacity)
            || rests_at.is_none_or(|rests_at| *rests_at - now <= spare.max(0.0))
    }

    /// Counts a request that a route was given.
    pub fn give(&mut self, site: &Name, route: &Name, capacity: u64, now: f64) {
        let each = 1000.0 / capacity.max(1) as f64;
        if let Some(rests_at) = self.rests_at.get_mut(site).and_then(|routes| routes.get_mut(route)) {
            *rests_at = rests_at.max(now) + each;
            return;
        }
        if self.counted >= MOST_COUNTED {
            self.forget_resting(now);
        }
        self.rests_at.entry(site.clone()).or_default().insert(route.clone(), now + each);
        self.counted += 1;
    }

    /// One at rest is as one that was never given anything. Those that are not were given some within a second.
    fn forget_resting(&mut self, now: f64) {
        for routes in self.rests_at.values_mut() {
            routes.retain(|_, rests_at| *rests_at > now);
        }
        self.rests_at.retain(|_, routes| !routes.is_empty());
        self.counted = self.rests_at.values().map(HashMap::len).sum();
    }
}
