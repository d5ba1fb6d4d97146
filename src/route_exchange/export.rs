//! What each partner is told: the part that it may have, in numbered versions. Tightened restrictions and withdrawals go
//! before all else that waits.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use imbl::OrdMap;

use super::pending::{Key, Keys, Pending, Place, Waiting};

use super::merge::{Held, Merged};
use super::restrict::{Restrictions, Sites, may_tell};
use super::route::{MOST_PATH, MOST_SERVERS, Match, Name, Route};
use super::table::{Document, MOST_THROUGH, Version};
use crate::fault_injection::{self, InjectedFault};

/// Routes in one document of differences.
pub const MOST_CHANGES: usize = 1000;
/// Matches that make one aggregate; one of more is not told.
pub const MOST_PARTS: usize = 4096;
/// Routes whose end is taken up in one `tick`; more are left to the next, and whoever has them ends them by itself.
pub const MOST_ENDS: usize = 1000;

/// A wider route that the operator has told in place of knowing its parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Aggregate {
    /// Its name.
    pub name: Name,
    /// Which requests; its parts serve some of these each, and not all.
    pub matches: Match,
}

/// What decides about all partners alike.
#[derive(Clone, Debug)]
pub struct Rules {
    /// This site.
    pub own: Name,
    /// The groups of sites.
    pub sites: Sites,
    /// The wider routes.
    pub aggregates: Vec<Aggregate>,
}

impl Rules {
    /// The best of a chain that a site may have. Those that it may not have are no part of what it is told.
    fn best<'a>(&self, chain: &'a [Held], to: &Name, now: u64) -> Option<&'a Held> {
        chain.iter().find(|held| {
            let route = &held.route;
            !held.withdrawn
                && held.from != *to
                && route.path.len() < MOST_PATH
                && may_tell(route, to, &self.sites, now).is_ok()
        })
    }

    /// What a site is told for just these requests, as it is held here: the best of the chain that it may have, or the
    /// aggregate where that is better.
    fn chosen(
        &self,
        merged: &Merged,
        chain: &[Held],
        made_of: Option<(&Aggregate, &BTreeSet<Match>)>,
        to: &Name,
        now: u64,
    ) -> Option<Arc<Route>> {
        let best = self.best(chain, to, now);
        let made = made_of.and_then(|(aggregate, parts)| {
            let parts = parts.iter().filter_map(|part| self.best(merged.chain(part), to, now));
            let parts: Vec<&Held> = parts.filter(|held| held.route.restrictions.may_widen()).collect();
            let route = Arc::new(self.aggregate(aggregate, &parts)?);
            let held = Held { from: self.own.clone(), route, withdrawn: false };
            self.best(std::slice::from_ref(&held), to, now).cloned()
        });
        let chosen = match (best, &made) {
            (Some(best), Some(made)) => Some(if best.rank() <= made.rank() { best } else { made }),
            (best, made) => best.or(made.as_ref()),
        };
        chosen.map(|held| held.route.clone())
    }

    /// A route made of others: it carries the meet of their restrictions, and came through whatever they came through.
    fn aggregate(&self, aggregate: &Aggregate, parts: &[&Held]) -> Option<Route> {
        let routes = || parts.iter().map(|held| held.route.as_ref());
        let through: BTreeSet<Name> =
            routes().flat_map(|route| route.path.iter().chain(&route.through)).cloned().collect();
        if parts.is_empty() || through.len() > MOST_THROUGH {
            return None;
        }
        let carried = if fault_injection::is_active(InjectedFault::AggregateLoses) { 1 } else { parts.len() };
        Some(Route {
            name: aggregate.name.clone(),
            matches: aggregate.matches.clone(),
            servers: routes().flat_map(|route| route.servers.iter().copied()).take(MOST_SERVERS).collect(),
            preference: routes().map(|route| route.preference).min().unwrap_or(0),
            capacity: routes().fold(0, |sum, route| sum.saturating_add(route.capacity)),
            path: Vec::new(),
            through,
            restrictions: Restrictions::of_all(routes().take(carried).map(|route| &route.restrictions)),
        })
    }

    /// As the next site has it: this one before the path, a site less to go, and a name that says nothing of the table
    /// that it came from.
    fn passed_on(&self, route: &Route, name: Name) -> Route {
        let mut path = Vec::with_capacity(route.path.len() + 1);
        path.push(self.own.clone());
        path.extend_from_slice(&route.path);
        let restrictions = route.restrictions.passed_on();
        Route { name, path, restrictions, ..route.clone() }
    }
}

/// What is told for one match. Most partners may have the same route, which is then made once for all.
#[derive(Default)]
struct Made {
    name: Option<Name>,
    last: Option<(Arc<Route>, Arc<Route>)>,
}

impl Made {
    fn of(&mut self, rules: &Rules, matches: &Match, chosen: Arc<Route>) -> Arc<Route> {
        if let Some((from, made)) = &self.last
            && Arc::ptr_eq(from, &chosen)
        {
            return made.clone();
        }
        let name = self.name.get_or_insert_with(|| name_of(matches)).clone();
        let made = Arc::new(rules.passed_on(&chosen, name));
        self.last = Some((chosen, made.clone()));
        made
    }
}

/// The name under which the route for just these requests is told.
fn name_of(matches: &Match) -> Name {
    let form = serde_json::to_vec(matches).unwrap_or_default();
    let digest = blake3::hash(&form).to_hex();
    Name::of_hex(&digest[..32])
}

/// The matches that make each aggregate.
#[derive(Clone, Debug, Default)]
struct Parts {
    all: Vec<(Aggregate, BTreeSet<Match>)>,
}

impl Parts {
    fn of(&self, matches: &Match) -> Option<(&Aggregate, &BTreeSet<Match>)> {
        let made = self.all.iter().find(|(aggregate, _)| aggregate.matches == *matches)?;
        (made.1.len() <= MOST_PARTS).then_some((&made.0, &made.1))
    }

    /// Counts a match among the parts where it has routes. What is returned are the aggregates that it is a part of.
    fn note(&mut self, matches: &Match, has_routes: bool) -> Vec<Match> {
        let mut wider = Vec::new();
        for (aggregate, parts) in &mut self.all {
            if aggregate.matches != *matches && aggregate.matches.covers(matches) {
                let _ = if has_routes { parts.insert(matches.clone()) } else { parts.remove(matches) };
                wider.push(aggregate.matches.clone());
            }
        }
        wider
    }
}

/// A document that has been sent and not been confirmed by a question after it.
#[derive(Clone, Debug)]
struct Flight {
    version: Version,
    is_whole: bool,
    /// Which matches are in it, at which place, and what was told of them before.
    changed: BTreeMap<Key, (usize, Option<Arc<Route>>)>,
}

/// What a partner is told next. It costs little to have, whatever its size.
#[derive(Clone, Debug)]
pub struct Telling {
    document: Document,
    /// All that it is told, where that is the whole table.
    all: OrdMap<Key, Arc<Route>>,
}

impl Telling {
    /// As it is sent: for a whole table its size has to be gone through, beside a thread that serves.
    pub fn document(self) -> Document {
        let Self { mut document, all } = self;
        document.routes.extend(all.values().cloned());
        document
    }
}

/// What one partner has been told, and what it has to be.
#[derive(Clone, Debug)]
struct Outbox {
    /// The last version that was given to anything for this partner.
    last: Version,
    /// What the partner has confirmed.
    confirmed: Option<Version>,
    /// What it has been told, with what has been sent and not been confirmed.
    told: OrdMap<Key, Arc<Route>>,
    flight: Option<Flight>,
    urgent: Waiting,
    later: Waiting,
    /// When routes end that are told or are to be, in ms since 1970 (UTC).
    ends: BTreeSet<(u64, Key)>,
}

fn end(route: Option<&Arc<Route>>) -> Option<u64> {
    route.and_then(|route| route.restrictions.until())
}

impl Outbox {
    fn new(term: u64) -> Self {
        Self {
            last: Version { term, serial: 0 },
            confirmed: None,
            told: OrdMap::new(),
            flight: None,
            urgent: Waiting::default(),
            later: Waiting::default(),
            ends: BTreeSet::new(),
        }
    }

    fn waits(&self, key: Key) -> Option<&Option<Arc<Route>>> {
        self.urgent.get(key).or_else(|| self.later.get(key))
    }

    /// Whether anything of a match has been told or is to be.
    fn has(&self, key: Key) -> bool {
        self.told.contains_key(&key)
            || self.waits(key).is_some()
            || self.flight.as_ref().is_some_and(|flight| flight.changed.contains_key(&key))
    }

    /// Has a match told as it is wished. Changes of one match are one: what waits is bounded by the table.
    fn wish(&mut self, key: Key, wished: Option<Arc<Route>>, place: Place) {
        let ended = end(self.waits(key).map_or(self.told.get(&key), Option::as_ref));
        if ended != end(wished.as_ref()) {
            if let Some(end) = ended {
                self.ends.remove(&(end, key));
            }
            if let Some(end) = end(wished.as_ref()) {
                self.ends.insert((end, key));
            }
        }
        if self.is_first() {
            self.tell(key, wished);
            return;
        }
        let told = self.told.get(&key);
        let is_urgent = match (told, &wished) {
            _ if fault_injection::is_active(InjectedFault::WithdrawalWaits) => false,
            (Some(_), None) => true,
            (Some(told), Some(wished)) => !told.restrictions.no_looser(&wished.restrictions),
            _ => false,
        };
        let is_told = told == wished.as_ref();
        let (queue, other) =
            if is_urgent { (&mut self.urgent, &mut self.later) } else { (&mut self.later, &mut self.urgent) };
        other.remove(key);
        if is_told { queue.remove(key) } else { queue.put(key, wished, place) }
    }

    /// What was told before.
    fn tell(&mut self, key: Key, wished: Option<Arc<Route>>) -> Option<Arc<Route>> {
        match wished {
            Some(route) => self.told.insert(key, route),
            None => self.told.remove(&key),
        }
    }

    /// Whether nothing has been sent yet: the first document has all there is.
    fn is_first(&self) -> bool {
        self.confirmed.is_none() && self.flight.is_none()
    }

    /// Whether the partner has what the next differences are from.
    fn follows(&self, after: Option<Version>) -> bool {
        let sent = self.flight.as_ref().map(|flight| flight.version);
        after.is_some() && (after == self.confirmed || after == sent)
    }

    /// The partner asks for what comes after a version. What it names has arrived; what has been sent beyond it has not,
    /// and is the first to be sent again.
    fn confirm(&mut self, after: Option<Version>) {
        let Some(flight) = self.flight.take() else { return };
        if after == Some(flight.version) {
            self.confirmed = after;
        } else if flight.is_whole {
            self.confirmed = None;
        } else {
            let mut sent: Vec<_> = flight.changed.into_iter().collect();
            sent.sort_unstable_by_key(|(_, (place, _))| Reverse(*place));
            for (key, (_, before)) in sent {
                let sent = self.tell(key, before);
                let wished = self.waits(key).cloned().unwrap_or(sent);
                self.wish(key, wished, Place::First);
            }
        }
    }

    /// The next document for a partner that has this version.
    fn tell_next(&mut self, own: &Name, after: Option<Version>, most: usize) -> Option<Telling> {
        self.confirm(after);
        let has_it = after.is_some() && after == self.confirmed;
        if has_it && self.urgent.is_empty() && self.later.is_empty() {
            return None;
        }
        let asked = after.map_or(0, |after| if after.term == self.last.term { after.serial } else { 0 });
        self.last.serial = self.last.serial.max(asked).saturating_add(1);
        Some(if has_it { self.differences(own, most) } else { self.whole(own) })
    }

    fn pop(&mut self) -> Option<(Key, Option<Arc<Route>>)> {
        self.urgent.pop().or_else(|| self.later.pop())
    }

    fn differences(&mut self, own: &Name, most: usize) -> Telling {
        let mut changed = BTreeMap::new();
        let (mut routes, mut gone) = (Vec::new(), Vec::new());
        while changed.len() < most
            && let Some((key, wished)) = self.pop()
        {
            let before = self.tell(key, wished.clone());
            match (wished, &before) {
                (Some(route), _) => routes.push(route),
                (None, Some(before)) => gone.push(before.name.clone()),
                (None, None) => {}
            }
            changed.insert(key, (changed.len(), before));
        }
        self.flight = Some(Flight { version: self.last, is_whole: false, changed });
        let (from, count) = (self.confirmed, self.told.len());
        let document = Document { site: own.clone(), version: self.last, from, count, routes, gone };
        Telling { document, all: OrdMap::new() }
    }

    fn whole(&mut self, own: &Name) -> Telling {
        while let Some((key, wished)) = self.pop() {
            self.tell(key, wished);
        }
        self.flight = Some(Flight { version: self.last, is_whole: true, changed: BTreeMap::new() });
        let (version, count) = (self.last, self.told.len());
        let (routes, gone) = (Vec::new(), Vec::new());
        let document = Document { site: own.clone(), version, from: None, count, routes, gone };
        Telling { document, all: self.told.clone() }
    }
}

/// Why a partner's question is not answered.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotTold {
    /// It is no partner of this site.
    #[error("{0} is no partner")]
    NoPartner(String),
    /// It has been told under a higher number of the duty: another node tells it now.
    #[error("told under {seen} before, and this is {number}")]
    Superseded {
        /// The number that the partner has seen.
        seen: u64,
        /// The number here.
        number: u64,
    },
}

/// What all partners are told.
#[derive(Clone, Debug)]
pub struct Exports {
    rules: Rules,
    parts: Parts,
    number: u64,
    boxes: BTreeMap<Name, Outbox>,
    /// The matches that some partner has been told, or is to be.
    keys: Keys,
    /// What has changed in the merge and has not been looked at.
    pending: Pending,
    /// All that there was at first has been looked at.
    is_whole: bool,
}

impl Exports {
    /// For these partners, under the number of the duty; all that is merged is told to each as a whole at first.
    pub fn new(rules: Rules, partners: impl IntoIterator<Item = Name>, number: u64) -> Self {
        let boxes = partners.into_iter().map(|partner| (partner, Outbox::new(number))).collect();
        let parts = rules.aggregates.iter().map(|aggregate| (aggregate.clone(), BTreeSet::new())).collect();
        let parts = Parts { all: parts };
        let (keys, pending) = (Keys::default(), Pending::default());
        Self { rules, parts, number, boxes, keys, pending, is_whole: false }
    }

    /// Takes up what has changed in the merge, at once, before all that has been noted. What is returned are the partners
    /// for whom something waits that is urgent.
    pub fn changed(&mut self, merged: &Merged, matches: &[Match], now: u64) -> Vec<Name> {
        for one in self.with_wider(merged, matches) {
            self.pending.remove(&one);
            self.take_up(merged, &one, now);
        }
        self.urgent()
    }

    /// Notes what has changed in the merge, to be taken up in pieces by `work`. Until all that was noted at first has been
    /// taken up, no partner is told a whole table, since what is not in it would count as withdrawn.
    pub fn note(&mut self, merged: &Merged, matches: &[Match]) {
        for one in self.with_wider(merged, matches) {
            let is_known = self.keys.get(&one).is_some();
            self.pending.put(one, is_known);
        }
    }

    /// Takes up a piece of what has been noted: so many matches at the most, first those that some partner has been told.
    /// What is returned are the partners for whom something waits that is urgent.
    pub fn work(&mut self, merged: &Merged, now: u64, most: usize) -> Vec<Name> {
        for _ in 0..most {
            let Some(one) = self.pending.pop() else { break };
            self.take_up(merged, &one, now);
        }
        self.is_whole |= self.pending.is_empty();
        self.urgent()
    }

    /// Whether all that there was at first has been taken up.
    pub fn is_whole(&self) -> bool {
        self.is_whole || self.pending.is_empty()
    }

    /// How many matches have been noted and not been taken up.
    pub fn noted(&self) -> usize {
        self.pending.len()
    }

    fn urgent(&self) -> Vec<Name> {
        self.boxes.iter().filter(|(_, out)| !out.urgent.is_empty()).map(|(to, _)| to.clone()).collect()
    }

    /// Each of the matches once, with the aggregates that it is a part of.
    fn with_wider(&mut self, merged: &Merged, matches: &[Match]) -> BTreeSet<Match> {
        let mut all: BTreeSet<Match> = matches.iter().cloned().collect();
        for one in matches {
            all.extend(self.parts.note(one, !merged.chain(one).is_empty()));
        }
        all
    }

    fn take_up(&mut self, merged: &Merged, matches: &Match, now: u64) {
        let (chain, made_of) = (merged.chain(matches), self.parts.of(matches));
        let mut made = Made::default();
        let mut key = self.keys.get(matches);
        let mut is_told = false;
        for (to, out) in &mut self.boxes {
            let chosen = self.rules.chosen(merged, chain, made_of, to, now);
            let wished = chosen.map(|chosen| made.of(&self.rules, matches, chosen));
            is_told |= wished.is_some();
            if key.is_none() && wished.is_some() {
                key = Some(self.keys.add(matches));
            }
            // Without a key no partner has been told, nor is to be.
            if let Some(key) = key {
                out.wish(key, wished, Place::Last);
            }
        }
        if !is_told {
            self.keys.leaves(matches);
        }
        for _ in 0..2 {
            let boxes = &self.boxes;
            self.keys.forget(|key| !boxes.values().any(|out| out.has(key)));
        }
    }

    /// Withdraws what has ended by now, in ms since 1970 (UTC): of `MOST_ENDS` routes at the most.
    pub fn tick(&mut self, merged: &Merged, now: u64) {
        let mut ended = BTreeSet::new();
        for out in self.boxes.values_mut() {
            while ended.len() < MOST_ENDS
                && out.ends.first().is_some_and(|(end, _)| *end <= now)
                && let Some((_, key)) = out.ends.pop_first()
            {
                let route = out.waits(key).map_or(out.told.get(&key), Option::as_ref);
                ended.extend(route.map(|route| route.matches.clone()));
            }
        }
        for matches in ended {
            self.take_up(merged, &matches, now);
        }
    }

    /// The next document for a partner, at once.
    ///
    /// # Errors
    /// It may not be told anything by this node.
    pub fn answer(
        &mut self,
        to: &Name,
        after: Option<Version>,
        most: usize,
    ) -> Result<Option<Document>, NotTold> {
        Ok(self.tell(to, after, most)?.map(Telling::document))
    }

    /// What is told next to a partner that has this version, with so many changes at most; nothing where it has all, or
    /// where the whole table that it has to be told has not been taken up yet.
    ///
    /// # Errors
    /// It may not be told anything by this node.
    pub fn tell(
        &mut self,
        to: &Name,
        after: Option<Version>,
        most: usize,
    ) -> Result<Option<Telling>, NotTold> {
        let out = self.boxes.get_mut(to).ok_or_else(|| NotTold::NoPartner(to.to_string()))?;
        if let Some(seen) = after.map(|after| after.term).filter(|seen| *seen > self.number) {
            return Err(NotTold::Superseded { seen, number: self.number });
        }
        self.is_whole |= self.pending.is_empty();
        if !self.is_whole && !out.follows(after) {
            return Ok(None);
        }
        Ok(out.tell_next(&self.rules.own, after, most))
    }

    /// How many changes wait for a partner: urgent ones, and others.
    pub fn waiting(&self, to: &Name) -> (usize, usize) {
        self.boxes.get(to).map_or((0, 0), |out| (out.urgent.len(), out.later.len()))
    }
}
