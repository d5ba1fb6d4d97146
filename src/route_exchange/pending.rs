//! What waits to be told, and what waits to be looked at: each match once, in the order in which it came.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use foldhash::fast::RandomState;
use imbl::GenericHashMap;
use imbl::shared_ptr::DefaultSharedPtr;

use super::route::{Match, Route};

type Map<V> = GenericHashMap<Match, V, RandomState, DefaultSharedPtr>;

/// Stands for a match: what is kept for each partner goes by it, since comparing the names in a match costs more.
pub(super) type Key = u64;

/// The keys of matches that some partner has been told, or is to be. None is given twice.
#[derive(Clone, Debug, Default)]
pub(super) struct Keys {
    /// With whether it is one of those that leave.
    all: Map<(Key, bool)>,
    last: Key,
    /// Told to nobody from some time on: forgotten as soon as nothing of them waits.
    leaving: VecDeque<Match>,
}

impl Keys {
    pub(super) fn get(&self, matches: &Match) -> Option<Key> {
        self.all.get(matches).map(|(key, _)| *key)
    }

    pub(super) fn add(&mut self, matches: &Match) -> Key {
        self.last += 1;
        self.all.insert(matches.clone(), (self.last, false));
        self.last
    }

    pub(super) fn leaves(&mut self, matches: &Match) {
        if let Some((_, leaves)) = self.all.get_mut(matches)
            && !std::mem::replace(leaves, true)
        {
            self.leaving.push_back(matches.clone());
        }
    }

    /// Looks at one that leaves. Where something waits of it, its turn comes again.
    pub(super) fn forget(&mut self, is_free: impl FnOnce(Key) -> bool) {
        let Some(matches) = self.leaving.pop_front() else { return };
        if self.get(&matches).is_some_and(is_free) {
            self.all.remove(&matches);
        } else {
            self.leaving.push_back(matches);
        }
    }
}

/// Where something new is to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Place {
    /// Before all that waits: it had been sent already.
    First,
    /// Behind all that waits.
    Last,
}

/// What waits for one partner, by match; nothing for a withdrawal. What changes again keeps its place.
#[derive(Clone, Debug, Default)]
pub(super) struct Waiting {
    all: BTreeMap<Key, (i64, Option<Arc<Route>>)>,
    order: BTreeMap<i64, Key>,
}

impl Waiting {
    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    pub(super) fn get(&self, key: Key) -> Option<&Option<Arc<Route>>> {
        self.all.get(&key).map(|(_, wished)| wished)
    }

    pub(super) fn put(&mut self, key: Key, wished: Option<Arc<Route>>, place: Place) {
        if let Some((_, before)) = self.all.get_mut(&key) {
            *before = wished;
            return;
        }
        let at = match place {
            Place::First => self.order.first_key_value().map_or(0, |(first, _)| first - 1),
            Place::Last => self.order.last_key_value().map_or(0, |(last, _)| last + 1),
        };
        self.order.insert(at, key);
        self.all.insert(key, (at, wished));
    }

    pub(super) fn remove(&mut self, key: Key) {
        if let Some((at, _)) = self.all.remove(&key) {
            self.order.remove(&at);
        }
    }

    /// The one that is the first.
    pub(super) fn pop(&mut self) -> Option<(Key, Option<Arc<Route>>)> {
        let (_, key) = self.order.pop_first()?;
        let (_, wished) = self.all.remove(&key)?;
        Some((key, wished))
    }
}

/// Matches that have changed and not been looked at. Only those that are known to some partner can be urgent.
#[derive(Clone, Debug, Default)]
pub(super) struct Pending {
    /// Whether it waits among those that are known.
    all: Map<bool>,
    soon: VecDeque<Match>,
    later: VecDeque<Match>,
}

impl Pending {
    pub(super) fn len(&self) -> usize {
        self.all.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    pub(super) fn put(&mut self, matches: Match, is_known: bool) {
        if self.all.get(&matches).is_some_and(|soon| *soon || !is_known) {
            return;
        }
        let queue = if is_known { &mut self.soon } else { &mut self.later };
        queue.push_back(matches.clone());
        self.all.insert(matches, is_known);
    }

    /// It has been looked at.
    pub(super) fn remove(&mut self, matches: &Match) {
        if !self.all.is_empty() {
            self.all.remove(matches);
        }
    }

    /// The next to look at. What has been looked at meanwhile, or waits in the other queue as well, is passed over.
    pub(super) fn pop(&mut self) -> Option<Match> {
        loop {
            let (matches, is_soon) = match self.soon.pop_front() {
                Some(matches) => (matches, true),
                None => (self.later.pop_front()?, false),
            };
            if self.all.get(&matches) == Some(&is_soon) {
                self.all.remove(&matches);
                return Some(matches);
            }
        }
    }
}
