//! What each partner is told: the part that it may have, in numbered versions. Tightened restrictions and withdrawals go
//! before all else that waits.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use imbl::OrdMap;

use super::merge::{Held, Merged};
use super::planted::{self, Planted};
use super::restrict::{Restrictions, Sites, may_tell};
use super::route::{MOST_PATH, MOST_SERVERS, Match, Name, Route};
use super::table::{Document, MOST_THROUGH, Version};

/// Routes in one document of differences.
pub const MOST_CHANGES: usize = 1000;
/// Matches that make one aggregate; one of more is not told.
pub const MOST_PARTS: usize = 4096;

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

    /// What a site is told for just these requests, as it is held here; `parts` are the matches of the aggregate's parts.
    fn told(&self, merged: &Merged, matches: &Match, parts: &Parts, to: &Name, now: u64) -> Option<Route> {
        let best = self.best(merged.chain(matches), to, now);
        let made = parts.of(matches).and_then(|(aggregate, parts)| {
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
        chosen.map(|held| self.passed_on(&held.route))
    }

    /// A route made of others: it carries the meet of their restrictions, and came through whatever they came through.
    fn aggregate(&self, aggregate: &Aggregate, parts: &[&Held]) -> Option<Route> {
        let routes = || parts.iter().map(|held| held.route.as_ref());
        let through: BTreeSet<Name> =
            routes().flat_map(|route| route.path.iter().chain(&route.through)).cloned().collect();
        if parts.is_empty() || through.len() > MOST_THROUGH {
            return None;
        }
        let carried = if planted::is(Planted::AggregateLoses) { 1 } else { parts.len() };
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
    fn passed_on(&self, route: &Route) -> Route {
        let mut path = Vec::with_capacity(route.path.len() + 1);
        path.push(self.own.clone());
        path.extend_from_slice(&route.path);
        let restrictions = route.restrictions.passed_on();
        Route { name: name_of(&route.matches), path, restrictions, ..route.clone() }
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

/// What waits for one partner, by match; nothing for a withdrawal.
type Waiting = BTreeMap<Match, Option<Arc<Route>>>;

/// A document that has been sent and not been confirmed by a question after it.
#[derive(Clone, Debug)]
struct Flight {
    version: Version,
    is_whole: bool,
    /// Which matches are in it.
    changed: Vec<Match>,
}

/// What one partner has been told, and what it has to be.
#[derive(Clone, Debug)]
struct Outbox {
    /// The last version that was given to anything for this partner.
    last: Version,
    /// What the partner has confirmed, and under which version.
    confirmed: (Option<Version>, OrdMap<Match, Arc<Route>>),
    /// The same with what has been sent since.
    told: OrdMap<Match, Arc<Route>>,
    flight: Option<Flight>,
    urgent: Waiting,
    later: Waiting,
    /// When routes end that are told or are to be, in ms since 1970 (UTC).
    ends: BTreeSet<(u64, Match)>,
}

impl Outbox {
    fn new(term: u64) -> Self {
        Self {
            last: Version { term, serial: 0 },
            confirmed: (None, OrdMap::new()),
            told: OrdMap::new(),
            flight: None,
            urgent: Waiting::new(),
            later: Waiting::new(),
            ends: BTreeSet::new(),
        }
    }

    /// Has a match told as it is wished. Changes of one match are one: what waits is bounded by the table.
    fn wish(&mut self, matches: &Match, wished: Option<Arc<Route>>) {
        let waits = self.urgent.remove(matches).or_else(|| self.later.remove(matches));
        let told = self.told.get(matches);
        let end = |route: Option<&Arc<Route>>| route.and_then(|route| route.restrictions.until());
        if let Some(end) = end(waits.unwrap_or_else(|| told.cloned()).as_ref()) {
            self.ends.remove(&(end, matches.clone()));
        }
        if let Some(end) = end(wished.as_ref()) {
            self.ends.insert((end, matches.clone()));
        }
        if told == wished.as_ref() {
            return;
        }
        let is_urgent = match (told, &wished) {
            _ if planted::is(Planted::WithdrawalWaits) => false,
            (Some(_), None) => true,
            (Some(told), Some(wished)) => !told.restrictions.no_looser(&wished.restrictions),
            _ => false,
        };
        let queue = if is_urgent { &mut self.urgent } else { &mut self.later };
        queue.insert(matches.clone(), wished);
    }

    /// The partner asks for what comes after a version. What it names has arrived; what has been sent beyond it has not.
    fn confirm(&mut self, after: Option<Version>) {
        let Some(flight) = self.flight.take() else { return };
        if after == Some(flight.version) {
            self.confirmed = (after, self.told.clone());
        } else if flight.is_whole {
            self.confirmed = (None, OrdMap::new());
        } else {
            let sent = std::mem::replace(&mut self.told, self.confirmed.1.clone());
            for matches in flight.changed {
                let waits = self.urgent.remove(&matches).or_else(|| self.later.remove(&matches));
                let wished = waits.unwrap_or_else(|| sent.get(&matches).cloned());
                self.wish(&matches, wished);
            }
        }
    }

    /// The next document for a partner that has this version.
    fn answer(&mut self, own: &Name, after: Option<Version>, most: usize) -> Option<Document> {
        self.confirm(after);
        let has_it = after.is_some() && after == self.confirmed.0;
        if has_it && self.urgent.is_empty() && self.later.is_empty() {
            return None;
        }
        let asked = after.map_or(0, |after| if after.term == self.last.term { after.serial } else { 0 });
        self.last.serial = self.last.serial.max(asked).saturating_add(1);
        let document = if has_it { self.differences(own, most) } else { self.whole(own) };
        Some(document)
    }

    fn differences(&mut self, own: &Name, most: usize) -> Document {
        let mut changed = Vec::new();
        let (mut routes, mut gone) = (Vec::new(), Vec::new());
        while changed.len() < most
            && let Some((matches, wished)) = self.urgent.pop_first().or_else(|| self.later.pop_first())
        {
            match wished {
                Some(route) => {
                    routes.push(route.clone());
                    self.told.insert(matches.clone(), route);
                }
                None => {
                    gone.push(name_of(&matches));
                    self.told.remove(&matches);
                }
            }
            changed.push(matches);
        }
        self.flight = Some(Flight { version: self.last, is_whole: false, changed });
        let (from, count) = (self.confirmed.0, self.told.len());
        Document { site: own.clone(), version: self.last, from, count, routes, gone }
    }

    fn whole(&mut self, own: &Name) -> Document {
        for (matches, wished) in
            std::mem::take(&mut self.urgent).into_iter().chain(std::mem::take(&mut self.later))
        {
            match wished {
                Some(route) => drop(self.told.insert(matches, route)),
                None => drop(self.told.remove(&matches)),
            }
        }
        self.flight = Some(Flight { version: self.last, is_whole: true, changed: Vec::new() });
        let routes: Vec<Arc<Route>> = self.told.values().cloned().collect();
        Document {
            site: own.clone(),
            version: self.last,
            from: None,
            count: routes.len(),
            routes,
            gone: Vec::new(),
        }
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
}

impl Exports {
    /// For these partners, under the number of the duty; all that is merged is told to each as a whole at first.
    pub fn new(rules: Rules, partners: impl IntoIterator<Item = Name>, number: u64) -> Self {
        let boxes = partners.into_iter().map(|partner| (partner, Outbox::new(number))).collect();
        let parts = rules.aggregates.iter().map(|aggregate| (aggregate.clone(), BTreeSet::new())).collect();
        Self { rules, parts: Parts { all: parts }, number, boxes }
    }

    /// Takes up what has changed in the merge. What is returned are the partners for whom something waits that is urgent.
    pub fn changed(&mut self, merged: &Merged, matches: &[Match], now: u64) -> Vec<Name> {
        let mut all: BTreeSet<Match> = matches.iter().cloned().collect();
        for one in matches {
            all.extend(self.parts.note(one, !merged.chain(one).is_empty()));
        }
        for (to, out) in &mut self.boxes {
            for one in &all {
                let wished = self.rules.told(merged, one, &self.parts, to, now).map(Arc::new);
                out.wish(one, wished);
            }
        }
        self.boxes.iter().filter(|(_, out)| !out.urgent.is_empty()).map(|(to, _)| to.clone()).collect()
    }

    /// Withdraws what has ended by now, in ms since 1970 (UTC).
    pub fn tick(&mut self, merged: &Merged, now: u64) {
        for (to, out) in &mut self.boxes {
            while let Some((end, _)) = out.ends.first()
                && *end <= now
                && let Some((_, matches)) = out.ends.pop_first()
            {
                let wished = self.rules.told(merged, &matches, &self.parts, to, now).map(Arc::new);
                out.wish(&matches, wished);
            }
        }
    }

    /// The next document for a partner that has this version, with so many changes at most; nothing where it has all.
    ///
    /// # Errors
    /// It may not be told anything by this node.
    pub fn answer(
        &mut self,
        to: &Name,
        after: Option<Version>,
        most: usize,
    ) -> Result<Option<Document>, NotTold> {
        let out = self.boxes.get_mut(to).ok_or_else(|| NotTold::NoPartner(to.to_string()))?;
        if let Some(seen) = after.map(|after| after.term).filter(|seen| *seen > self.number) {
            return Err(NotTold::Superseded { seen, number: self.number });
        }
        Ok(out.answer(&self.rules.own, after, most))
    }

    /// How many changes wait for a partner: urgent ones, and others.
    pub fn waiting(&self, to: &Name) -> (usize, usize) {
        self.boxes.get(to).map_or((0, 0), |out| (out.urgent.len(), out.later.len()))
    }
}
