//! The merged table at one node, whether it makes it or follows it: which version it is, how each partner stands, and what
//! has changed lately.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use imbl::OrdMap;
use thiserror::Error;

use super::asking::{Feed, Line, Told};
use super::merge::{Change, Held, Merged, Superseded};
use super::route::{Match, Name};
use super::table::{Document, Terms, Version};
use crate::fault_injection::{self, InjectedFault};

/// Versions whose differences are at hand; who is further behind is told all.
const MOST_VERSIONS: usize = 1024;
/// Names in these differences.
const MOST_NAMES: usize = 100_000;

/// How long the table of a partner is used that the holder's file has, and this node's does not yet, in ms.
const UNKNOWN_STALE_MS: u64 = 60_000;

/// Which route: whose, and its name there.
type Key = (Name, Name);

/// How a partner stands. Times are in ms of the process's own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stand {
    /// The version that its next one has to be above.
    pub seen: Version,
    /// Its table counts as heard then.
    pub heard: u64,
    /// How long it had been stale before there was such a clock.
    pub before: u64,
}

impl Stand {
    /// For how long it has been stale, in ms.
    pub fn stale_for(&self, now: u64) -> u64 {
        now.saturating_sub(self.heard).saturating_add(self.before)
    }
}

/// Why what the holder tells is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NotTaken {
    /// It is of a version below what is here.
    #[error("{told:?} is below {seen:?}")]
    Below {
        /// What was told.
        told: Version,
        /// What is here.
        seen: Version,
    },
    /// It is the differences from another version: all of it has to be asked for.
    #[error("it does not follow from {0:?}")]
    Gap(Version),
}

/// What a node is told or keeps. It costs little to have, whatever its size.
#[derive(Clone, Debug)]
pub struct Telling {
    feed: Feed,
    /// All routes, where it is all of the table.
    all: OrdMap<Key, Held>,
}

impl Telling {
    /// As it is sent and kept: for all of a table its size has to be gone through, beside a thread that serves.
    pub fn feed(self) -> Feed {
        let Self { mut feed, all } = self;
        feed.routes.extend(all.values().map(Told::from));
        feed
    }
}

/// The merged table at one node.
#[derive(Clone, Default)]
pub struct Board {
    version: Version,
    by: String,
    held: OrdMap<Key, Held>,
    /// Of each: its routes, and how many of them are told to nobody.
    counts: BTreeMap<Name, (usize, usize)>,
    partners: BTreeMap<Name, Stand>,
    merged: Merged,
    lately: VecDeque<(u64, Vec<Key>)>,
    names: usize,
}

impl Board {
    /// What version the table is of.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Who told it, or made it.
    pub fn by(&self) -> &str {
        &self.by
    }

    /// The merge. A clone costs next to nothing.
    pub fn merged(&self) -> &Merged {
        &self.merged
    }

    /// All routes.
    pub fn held(&self) -> impl Iterator<Item = &Held> {
        self.held.values()
    }

    /// How each partner stands.
    pub fn partners(&self) -> &BTreeMap<Name, Stand> {
        &self.partners
    }

    /// Routes of one partner, or of this site.
    pub fn of<'a>(&'a self, from: &'a Name) -> impl Iterator<Item = &'a Held> {
        let first = (from.clone(), Name::of_hex(""));
        self.held.range(first..).take_while(move |((name, _), _)| name == from).map(|(_, held)| held)
    }

    /// How many routes a partner or this site has, and how many of them are told to nobody.
    pub fn count(&self, from: &Name) -> (usize, usize) {
        self.counts.get(from).copied().unwrap_or_default()
    }

    /// Notes how a partner stands.
    pub fn stands(&mut self, partner: &Name, stand: Stand) {
        self.partners.insert(partner.clone(), stand);
    }

    /// Begins to be made by the holder of the duty under this number.
    ///
    /// # Errors
    /// A higher number has been seen.
    pub fn lead(&mut self, by: &str, number: u64) -> Result<(), Superseded> {
        if number < self.version.term {
            return Err(Superseded { told: number, seen: self.version.term });
        }
        if number > self.version.term {
            self.version = Version { term: number, serial: 0 };
        }
        self.by = by.to_owned();
        self.lately.clear();
        self.names = 0;
        Ok(())
    }

    /// Makes changes as the holder, under the number that it leads by: a new version, where something changes. What is
    /// returned are the requests whose routes have changed.
    pub fn change(&mut self, changes: &[Change]) -> Vec<Match> {
        let (keys, matches) = self.put(changes);
        if keys.is_empty() {
            return matches;
        }
        self.version.serial += 1;
        self.names += keys.len();
        self.lately.push_back((self.version.serial, keys));
        while self.lately.len() > MOST_VERSIONS || self.names > MOST_NAMES {
            let Some((_, keys)) = self.lately.pop_front() else { break };
            self.names -= keys.len();
        }
        matches
    }

    /// Puts changes into the table. What was there counts, and not what a change says was there before.
    fn put(&mut self, changes: &[Change]) -> (Vec<Key>, Vec<Match>) {
        let (mut keys, mut real) = (Vec::new(), Vec::new());
        for Change { before, after } in changes {
            let Some(held) = after.as_ref().or(before.as_ref()) else { continue };
            let key = (held.from.clone(), held.route.name.clone());
            let before = match after {
                Some(after) => self.held.insert(key.clone(), after.clone()),
                None => self.held.remove(&key),
            };
            if before != *after {
                self.count_change(&key.0, before.as_ref(), after.as_ref());
                real.push(Change { before, after: after.clone() });
                keys.push(key);
            }
        }
        let matches = self.merged.apply(self.version.term, &real).unwrap_or_default();
        (keys, matches)
    }

    fn count_change(&mut self, from: &Name, before: Option<&Held>, after: Option<&Held>) {
        let (all, withheld) = self.counts.entry(from.clone()).or_default();
        let is_withheld = |held: Option<&Held>| usize::from(held.is_some_and(|held| held.withdrawn));
        *all = *all + usize::from(after.is_some()) - usize::from(before.is_some());
        *withheld = *withheld + is_withheld(after) - is_withheld(before);
        if *all == 0 {
            self.counts.remove(from);
        }
    }

    /// What the holder tells a node that has this version, or one that has nothing.
    pub fn tell(&self, after: Option<Version>, now: u64) -> Telling {
        let partners = self
            .partners
            .iter()
            .map(|(name, stand)| (name.clone(), Line { seen: stand.seen, stale_ms: stand.stale_for(now) }))
            .collect();
        let mut feed = Feed {
            by: self.by.clone(),
            version: self.version,
            from: after.filter(|after| self.has_since(*after)),
            count: self.held.len(),
            partners,
            routes: Vec::new(),
            gone: Vec::new(),
        };
        let Some(from) = feed.from else {
            return Telling { feed, all: self.held.clone() };
        };
        let since = self.lately.iter().filter(|(serial, _)| *serial > from.serial);
        let changed: BTreeSet<&Key> = since.flat_map(|(_, keys)| keys).collect();
        for key in changed {
            match self.held.get(key) {
                Some(held) => feed.routes.push(held.into()),
                None => feed.gone.push(key.clone()),
            }
        }
        Telling { feed, all: OrdMap::new() }
    }

    fn has_since(&self, after: Version) -> bool {
        let first = self.lately.front().map_or(self.version.serial + 1, |(serial, _)| *serial);
        after.term == self.version.term && after.serial <= self.version.serial && after.serial + 1 >= first
    }

    /// Takes what the holder tells. What is returned is whether the table has changed.
    ///
    /// # Errors
    /// Nothing is changed: it is old, or does not follow.
    pub fn take(&mut self, feed: Feed, now: u64) -> Result<bool, NotTaken> {
        if feed.version < self.version && !fault_injection::is_active(InjectedFault::LowerIsTaken) {
            return Err(NotTaken::Below { told: feed.version, seen: self.version });
        }
        if feed.from.is_some_and(|from| from != self.version) {
            return Err(NotTaken::Gap(self.version));
        }
        let mut changes: Vec<Change> = Vec::new();
        let mut gone: BTreeSet<Key> = feed.gone.into_iter().collect();
        if feed.from.is_none() {
            gone.extend(self.held.keys().cloned());
        }
        for told in feed.routes {
            gone.remove(&(told.from.clone(), told.route.name.clone()));
            changes.push(Change { before: None, after: Some(told.into()) });
        }
        let before = gone.iter().filter_map(|key| self.held.get(key)).cloned();
        changes.extend(before.map(|held| Change { before: Some(held), after: None }));
        self.version = feed.version;
        self.by = feed.by;
        let (keys, _) = self.put(&changes);
        let stand = |line: Line| Stand { seen: line.seen, heard: now, before: line.stale_ms };
        self.partners = feed.partners.into_iter().map(|(name, line)| (name, stand(line))).collect();
        if self.held.len() != feed.count {
            // It cannot be what was meant: the next question asks for all.
            self.version.serial = self.version.serial.saturating_sub(1);
            return Err(NotTaken::Gap(feed.version));
        }
        Ok(!keys.is_empty())
    }

    /// Drops the tables that have been stale for their time. What is returned is whether any was.
    pub fn tick(&mut self, terms: &BTreeMap<Name, Terms>, now: u64) -> bool {
        let is_over = |(name, stand): &(&Name, &Stand)| {
            stand.stale_for(now) >= terms.get(*name).map_or(UNKNOWN_STALE_MS, |terms| terms.stale_ms)
        };
        let over: Vec<Name> = self.partners.iter().filter(is_over).map(|(name, _)| name.clone()).collect();
        if fault_injection::is_active(InjectedFault::StaleForEver) {
            return false;
        }
        let of = |name: &Name| {
            self.of(name).map(|held| Change { before: Some(held.clone()), after: None }).collect::<Vec<_>>()
        };
        let changes: Vec<Change> = over.iter().flat_map(of).collect();
        !self.put(&changes).0.is_empty()
    }

    /// A partner's table as the next holder begins with it: what it told last, with all that was tighter. It is of a version
    /// just below the one that was seen, so that the partner may tell that one once more.
    pub fn begins_with(&self, terms: &Terms) -> Option<Document> {
        let site = terms.partner.clone();
        let version = below(self.partners.get(&site)?.seen);
        let held = self.of(&terms.partner).filter(|held| !held.withdrawn && terms.admits(&held.route));
        let routes: Vec<_> = held.map(|held| held.route.clone()).take(terms.routes).collect();
        Some(Document { site, version, from: None, count: routes.len(), routes, gone: Vec::new() })
    }

    /// A partner is none any more.
    pub fn forget(&mut self, partner: &Name) {
        self.partners.remove(partner);
    }
}

fn below(Version { term, serial }: Version) -> Version {
    match serial.checked_sub(1) {
        Some(serial) => Version { term, serial },
        None => Version { term: term.saturating_sub(1), serial: u64::MAX },
    }
}
