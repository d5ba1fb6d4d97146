//! What of a partner's table is in force: its last good one, for a stated time after it; and not what flaps.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::crowd::{Crowd, MOST_FORMS, MOST_IN_CELL};
use super::merge::{Change, Held};
use super::restrict::Restrictions;
use super::route::{Name, Route};
use super::table::{Document, Refused, Table, Terms, Version};
use crate::fault_injection::{self, InjectedFault};

/// Penalties of a route that flaps, halved each `HALF_LIFE_MS`, in the manner of RFC 2439: one for each change.
const PENALTY: f64 = 1000.0;
/// Above it a route is left out.
const SUPPRESS: f64 = 2500.0;
/// Below it, it comes back.
const REUSE: f64 = 1000.0;
/// The highest that counts, so that no route is left out for over `HALF_LIFE_MS` times 2.6.
const MOST_PENALTY: f64 = 6000.0;
/// In ms.
const HALF_LIFE_MS: f64 = 10_000.0;
/// A table that loses at least so many routes at once, and over half of them, is in trouble.
const MASS: usize = 8;

#[derive(Clone, Copy, Debug)]
struct Penalty {
    sum: f64,
    at: u64,
    suppressed: bool,
}

impl Penalty {
    fn now(&self, now: u64) -> f64 {
        self.sum * (-(now.saturating_sub(self.at) as f64) / HALF_LIFE_MS).exp2()
    }
}

/// What a document came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Taken {
    /// What changes in the merge. Tightened restrictions and withdrawals are among them whatever else is wrong.
    pub changes: Vec<Change>,
    /// Routes that were withdrawn with most of the others: they are told to nobody, and used until the table has been
    /// stale for its time.
    pub kept: usize,
}

/// One partner, as far as its table goes. Times are in ms of the process's own clock.
#[derive(Clone, Debug)]
pub struct Partner {
    terms: Terms,
    table: Table,
    in_force: BTreeMap<Name, Held>,
    /// Withdrawn with most of the others, and when they end.
    kept: BTreeMap<Name, u64>,
    penalties: BTreeMap<Name, Penalty>,
    crowd: Crowd,
    stale_since: Option<u64>,
    asks_whole: bool,
}

impl Partner {
    /// One that has told nothing yet.
    pub fn new(terms: Terms) -> Self {
        Self {
            terms,
            table: Table::default(),
            in_force: BTreeMap::new(),
            kept: BTreeMap::new(),
            penalties: BTreeMap::new(),
            crowd: Crowd::default(),
            stale_since: None,
            asks_whole: true,
        }
    }

    /// One whose table was kept over a restart; it is stale from now on, for what is left of its time.
    ///
    /// # Errors
    /// What was kept is not good under these terms.
    pub fn restored(
        terms: Terms,
        kept: &Document,
        stale_for: u64,
        now: u64,
    ) -> Result<(Self, Taken), Refused> {
        let mut partner = Self::new(terms);
        let mut taken = partner.take(kept, now)?;
        partner.stale_since = Some(now.saturating_sub(stale_for));
        partner.asks_whole = true;
        // What had its time before the restart is in force at no moment after it.
        if stale_for >= partner.terms.stale_ms {
            partner.in_force.clear();
            taken.changes.clear();
        }
        Ok((partner, taken))
    }

    /// What it is held to.
    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// What is to be kept over a restart.
    pub fn keeps(&self) -> Document {
        self.table.whole(self.terms.partner.clone())
    }

    /// For how long its table has been stale, in ms.
    pub fn stale_for(&self, now: u64) -> Option<u64> {
        self.stale_since.map(|since| now.saturating_sub(since))
    }

    /// The version to ask for the differences from; nothing where the whole table is needed.
    pub fn asks_after(&self) -> Option<Version> {
        (!self.asks_whole).then_some(self.table.version)
    }

    /// The version that it has to be above.
    pub fn seen(&self) -> Version {
        self.table.version
    }

    /// The partner answers, and nothing is new.
    pub fn heard(&mut self) {
        if !self.asks_whole {
            self.stale_since = None;
        }
    }

    /// The partner cannot be reached, or what it sends cannot be used: from now on its table is stale.
    pub fn lost(&mut self, now: u64) {
        self.stale_since.get_or_insert(now);
    }

    /// Reads and takes what the partner sent.
    ///
    /// # Errors
    /// It is turned down: what it makes tighter is in force all the same, and is returned beside the fault.
    pub fn receive(&mut self, bytes: &[u8], now: u64) -> (Taken, Option<Refused>) {
        let read = self.terms.read(bytes);
        match read.and_then(|document| self.take(&document, now)) {
            Ok(taken) => (taken, None),
            Err(refused) => (Taken { changes: self.turned_down(&refused, now), kept: 0 }, Some(refused)),
        }
    }

    /// Takes a document that has been read under the terms.
    ///
    /// # Errors
    /// It does not follow from the table that is there; nothing has changed.
    pub fn take(&mut self, document: &Document, now: u64) -> Result<Taken, Refused> {
        let table = if self.is_again(document) {
            self.table.clone()
        } else {
            self.table.after(document, &self.terms)?
        };
        let (gone, come) = self.differences(&table, document);
        self.make_room(&gone, &come)?;
        let is_mass = gone.len() >= MASS && gone.len() * 2 > self.table.routes.len();
        let mut taken = Taken::default();
        for name in gone {
            let is_kept = is_mass && self.keep(&name, now, &mut taken.changes);
            if is_kept {
                taken.kept += 1;
            } else {
                self.penalize(&name, now);
                self.put(&name, None, &mut taken.changes);
            }
        }
        for route in come {
            self.kept.remove(&route.name);
            self.admit(&route, now, &mut taken.changes);
        }
        self.table = table;
        self.stale_since = None;
        self.asks_whole = false;
        Ok(taken)
    }

    /// Whether this is the table that is held, told once more where all of it was asked for.
    fn is_again(&self, document: &Document) -> bool {
        let routes = &self.table.routes;
        self.asks_whole
            && document.from.is_none()
            && document.version == self.table.version
            && document.routes.len() == routes.len()
            && document.routes.iter().all(|route| routes.get(&route.name) == Some(route))
    }

    /// Names that go, and routes that come or change, at a cost by the document's size.
    fn differences(&self, table: &Table, document: &Document) -> (Vec<Name>, Vec<Arc<Route>>) {
        let names: Vec<Name> = match document.from {
            Some(_) => document.gone.clone(),
            None => self.table.routes.keys().cloned().collect(),
        };
        let gone = names
            .into_iter()
            .filter(|name| self.table.routes.contains_key(name) && !table.routes.contains_key(name));
        let is_new = |route: &&Arc<Route>| match self.in_force.get(&route.name) {
            Some(held) => held.withdrawn || held.route != **route,
            None => !self.is_left_out(&route.name) || self.table.routes.get(&route.name) != Some(*route),
        };
        let come = document.routes.iter().filter(is_new).cloned().collect();
        (gone.collect(), come)
    }

    /// Counts what comes in place of what goes; where that is too much, all is counted as before.
    fn make_room(&mut self, gone: &[Name], come: &[Arc<Route>]) -> Result<(), Refused> {
        let routes = &self.table.routes;
        let names = || gone.iter().chain(come.iter().map(|route| &route.name));
        let before: Vec<&Arc<Route>> = names().filter_map(|name| routes.get(name)).collect();
        before.iter().for_each(|route| self.crowd.remove(&route.matches));
        let has_room: Vec<bool> = come.iter().map(|route| self.crowd.add(&route.matches)).collect();
        let Some(at) = has_room.iter().position(|has_room| !has_room) else { return Ok(()) };
        come.iter().for_each(|route| self.crowd.remove(&route.matches));
        for route in before {
            self.crowd.add(&route.matches);
        }
        let why = format!(
            "is over {MOST_IN_CELL} routes for alike requests, or over {MOST_FORMS} forms for one class and tenant"
        );
        let mut refused = self.terms.refuse("match", why);
        refused.fault.route = Some(come[at].name.to_string());
        refused.tightened =
            come.iter().map(|route| (route.name.clone(), route.restrictions.clone())).collect();
        refused.gone = gone.to_vec();
        Err(refused)
    }

    /// Heeds what a document that was turned down makes tighter, and has the partner asked for all of its table.
    pub fn turned_down(&mut self, refused: &Refused, now: u64) -> Vec<Change> {
        self.lost(now);
        self.asks_whole = true;
        let mut changes = Vec::new();
        for (name, restrictions) in &refused.tightened {
            self.tighten(name, restrictions, &mut changes);
        }
        for name in &refused.gone {
            self.tighten(name, &Restrictions::tightest_export(), &mut changes);
        }
        changes
    }

    fn tighten(&mut self, name: &Name, restrictions: &Restrictions, changes: &mut Vec<Change>) {
        let Some(held) = self.in_force.get(name) else { return };
        let met = held.route.restrictions.meet(restrictions);
        if met != held.route.restrictions {
            let route = Arc::new(Route { restrictions: met, ..held.route.as_ref().clone() });
            let held = Held { route, ..held.clone() };
            self.put(name, Some(held), changes);
        }
    }

    fn keep(&mut self, name: &Name, now: u64, changes: &mut Vec<Change>) -> bool {
        let Some(held) = self.in_force.get(name).cloned() else { return false };
        self.kept.insert(name.clone(), now + self.terms.stale_ms);
        self.put(name, Some(Held { withdrawn: true, ..held }), changes);
        true
    }

    /// A route that only gets tighter is never put off; one that flaps is left out until it has been calm.
    fn admit(&mut self, route: &Arc<Route>, now: u64, changes: &mut Vec<Change>) {
        let before = self.in_force.get(&route.name);
        let gets_tighter = before.is_some_and(|held| {
            let tightened = Route { restrictions: route.restrictions.clone(), ..held.route.as_ref().clone() };
            !held.withdrawn && tightened == **route && route.restrictions.no_looser(&held.route.restrictions)
        });
        let is_first = before.is_none() && !self.penalties.contains_key(&route.name);
        let is_left_out = !gets_tighter && !is_first && self.penalize(&route.name, now);
        let held = Held { from: self.terms.partner.clone(), route: route.clone(), withdrawn: false };
        self.put(&route.name, (!is_left_out).then_some(held), changes);
    }

    /// Counts a change of a route; true where it is to be left out.
    fn penalize(&mut self, name: &Name, now: u64) -> bool {
        // Calm ones are forgotten in `tick`; what has no room is not left out, and the table bounds the names.
        let before = self.penalties.get(name).copied();
        let sum = before.map_or(0.0, |before| before.now(now)) + PENALTY;
        let sum = sum.min(MOST_PENALTY);
        let suppressed = sum > SUPPRESS || before.is_some_and(|before| before.suppressed && sum > REUSE);
        if before.is_some() || self.penalties.len() < self.terms.routes * 2 {
            self.penalties.insert(name.clone(), Penalty { sum, at: now, suppressed });
        }
        suppressed
    }

    fn put(&mut self, name: &Name, after: Option<Held>, changes: &mut Vec<Change>) {
        let before = match &after {
            Some(held) => self.in_force.insert(name.clone(), held.clone()),
            None => self.in_force.remove(name),
        };
        if before != after {
            changes.push(Change { before, after });
        }
    }

    fn is_left_out(&self, name: &Name) -> bool {
        self.penalties.get(name).is_some_and(|penalty| penalty.suppressed)
    }

    /// What changes by time alone: a table or routes that have been stale for their time go, calm routes come back.
    pub fn tick(&mut self, now: u64) -> Vec<Change> {
        let mut changes = Vec::new();
        let is_over = self.stale_for(now).is_some_and(|stale| stale >= self.terms.stale_ms);
        if is_over && !fault_injection::is_active(InjectedFault::StaleForEver) {
            let all: Vec<Name> = self.in_force.keys().cloned().collect();
            all.iter().for_each(|name| self.put(name, None, &mut changes));
            self.kept.clear();
            self.asks_whole = true;
            return changes;
        }
        let ended: Vec<Name> =
            self.kept.iter().filter(|(_, end)| **end <= now).map(|(name, _)| name.clone()).collect();
        for name in ended {
            self.kept.remove(&name);
            self.put(&name, None, &mut changes);
        }
        let calm: Vec<(Name, bool)> = self
            .penalties
            .iter()
            .filter(|(_, penalty)| penalty.now(now) < REUSE / if penalty.suppressed { 1.0 } else { 8.0 })
            .map(|(name, penalty)| (name.clone(), penalty.suppressed))
            .collect();
        for (name, was_left_out) in calm {
            if !was_left_out {
                self.penalties.remove(&name);
                continue;
            }
            self.penalties.entry(name.clone()).and_modify(|penalty| penalty.suppressed = false);
            if let Some(route) = self.table.routes.get(&name).cloned()
                && !self.in_force.contains_key(&name)
            {
                let held = Held { from: self.terms.partner.clone(), route, withdrawn: false };
                self.put(&name, Some(held), &mut changes);
            }
        }
        changes
    }

    /// What of it is in the merge.
    pub fn in_force(&self) -> impl Iterator<Item = &Held> {
        self.in_force.values()
    }
}
