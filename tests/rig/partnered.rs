//! Sites that pass routes to each other in simulated time, with faults from a seed; and the checker of what each one has, which
//! goes by what was announced alone.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sillflow::route_exchange::admit::Partner;
use sillflow::route_exchange::export::{Aggregate, Exports, Rules};
use sillflow::route_exchange::merge::{Change, Held, Merged};
use sillflow::route_exchange::restrict::{Restriction, Sites};
use sillflow::route_exchange::route::{Match, Name, Route, Subjects};
use sillflow::route_exchange::table::{Document, Terms};

use crate::slow::{Draw, Groups, lets, name};

pub const TICK: u64 = 100;
pub const STALE: u64 = 3000;
/// Within so long a tightened restriction is at the next site, over a link that is up.
pub const FIRST: u64 = 1000;
/// An answer comes as late as this at the most.
const LATE: u64 = 6000;
/// Changes in one document, in most histories and in those with floods.
const MOST: usize = 3;
const MOST_FLOODED: usize = 30;
/// Routes of a flood: so many that only the next sites may have change, and wait to be told, before so many others are
/// withdrawn or get tighter: one in four is for the same requests as another's.
const QUEUE: usize = 420;
const FLOOD: usize = 60;

/// What was announced for a server, and from when on; nothing where it was withdrawn.
pub type Announced = BTreeMap<SocketAddr, (Name, Match, Vec<(u64, Option<Vec<Restriction>>)>)>;

/// What a site was seen to have.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: u64,
    pub site: Name,
    pub route: Arc<Route>,
    /// For how long the link over which it came has been up.
    pub up: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Broken {
    /// Nobody announced such a thing.
    Invented(Name),
    /// No announcement that may still have been under way lets the site have it.
    NotForIt(Name),
    /// It is at a site that it came through.
    Loop(Name),
    /// It is still at a site, over a link that is up, and the one before has not had it for longer than it may take.
    Left(Name),
}

/// Whether an announcement lets each site of the way have the route: from the origin on to the one that has it.
fn lets_pass(written: &[Restriction], way: &[&Name], groups: &Groups, at: u64) -> bool {
    let hop = |(hops, site): (usize, &&Name)| {
        written.iter().all(|restriction| match restriction {
            Restriction::Further { sites } => *sites as usize > hops,
            other => lets(other, site, groups, at),
        })
    };
    way.iter().enumerate().all(hop)
}

/// Holds one thing that a site has against the announcements.
pub fn judge(announced: &Announced, groups: &Groups, seen: &Seen) -> Option<Broken> {
    let Seen { at, site, route, up } = seen;
    if route.path.contains(site) || route.through.contains(site) {
        return Some(Broken::Loop(site.clone()));
    }
    let is_wider = |server| announced.get(server).is_some_and(|(_, matches, _)| *matches != route.matches);
    let is_made = route.servers.len() > 1 || !route.through.is_empty() || route.servers.iter().any(is_wider);
    // Each site on the way may have been cut off from the one before for as long as it keeps what is stale.
    let sites = (route.path.len() + route.through.len()) as u64;
    let is_next = route.path.len() == 1 && !is_made;
    let lag = if is_next && *up > FIRST { FIRST } else { sites * (STALE + LATE + 2 * FIRST) };
    for server in &route.servers {
        let Some((origin, matches, spans)) = announced.get(server) else {
            return Some(Broken::Invented(site.clone()));
        };
        let way: Vec<&Name> =
            if is_made { vec![site] } else { route.path.iter().rev().skip(1).chain([site]).collect() };
        let was_told_right =
            if is_made { route.matches.covers(matches) } else { route.path.last() == Some(origin) };
        let lately = spans
            .iter()
            .enumerate()
            .filter(|(n, _)| spans.get(n + 1).is_none_or(|(until, _)| at.saturating_sub(lag) <= *until));
        let allows = |written: &Vec<Restriction>| {
            let wider = is_made && written.contains(&Restriction::Unmerged {});
            // What ends now may be seen until the next tick.
            !wider && lets_pass(written, &way, groups, at.saturating_sub(2 * TICK))
        };
        let is_allowed = lately.filter_map(|(_, (_, written))| written.as_ref()).any(allows);
        if !was_told_right || !is_allowed {
            return Some(Broken::NotForIt(site.clone()));
        }
    }
    None
}

/// Holds a route that came through others against what the site before has had, by server: when that was last.
pub fn judge_left(seen: &Seen, had: &BTreeMap<(Name, SocketAddr), u64>) -> Option<Broken> {
    let Seen { at, site, route, up } = seen;
    let [before, _, ..] = route.path.as_slice() else { return None };
    let server = route.servers.first().filter(|_| route.servers.len() == 1 && route.through.is_empty())?;
    let last = had.get(&(before.clone(), *server)).copied();
    let is_left = *up > FIRST && last.is_none_or(|last| last + FIRST < *at);
    is_left.then(|| Broken::Left(site.clone()))
}

struct Node {
    name: Name,
    number: u64,
    own: BTreeMap<SocketAddr, Held>,
    partners: BTreeMap<Name, Partner>,
    merged: Merged,
    exports: Exports,
}

impl Node {
    fn apply(&mut self, changes: &[Change], now: u64) {
        let matches = self.merged.apply(self.number, changes).expect("the number");
        self.exports.changed(&self.merged, &matches, now);
    }
}

/// The sites, their links and what has been announced.
pub struct World {
    pub rng: SmallRng,
    pub now: u64,
    draw: Draw,
    groups: Groups,
    nodes: Vec<Node>,
    /// Of two sites, the lower first: since when their link is up, or nothing.
    links: BTreeMap<(usize, usize), Option<u64>>,
    pub announced: Announced,
    /// What was sent and comes late, or once more.
    late: Vec<(u64, usize, Name, Vec<u8>)>,
    pub broken: Vec<Broken>,
    servers: u32,
    /// When a site was last seen to have a route by this server.
    had: BTreeMap<(Name, SocketAddr), u64>,
    floods: bool,
}

fn link(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let floods = seed % 5 == 4;
        let sites = if floods { rng.random_range(3..=4) } else { rng.random_range(3..=6) };
        let draw = Draw { sites, classes: 2, tenants: 2, places: 30, restricted: 8 };
        let groups = draw.groups();
        let mut world = Self {
            now: 0,
            links: BTreeMap::new(),
            nodes: Vec::new(),
            announced: Announced::new(),
            late: Vec::new(),
            broken: Vec::new(),
            servers: 0,
            had: BTreeMap::new(),
            floods,
            groups,
            rng,
            draw,
        };
        for a in 0..world.draw.sites {
            for b in 0..a {
                // A chain at least, and most of the others.
                if a == b + 1 || world.rng.random_ratio(2, 3) {
                    world.links.insert((b, a), Some(0));
                }
            }
        }
        for n in 0..world.draw.sites {
            let node = world.started(n, 1, BTreeMap::new());
            world.nodes.push(node);
        }
        world
    }

    fn terms(&self, own: usize, partner: usize) -> Terms {
        Terms {
            partner: self.draw.site(partner),
            own: self.draw.site(own),
            bytes: 1 << 20,
            routes: 1000,
            stale_ms: STALE,
            grants: Vec::new(),
        }
    }

    fn partners_of(&self, n: usize) -> Vec<usize> {
        (0..self.draw.sites).filter(|m| *m != n && self.links.contains_key(&link(n, *m))).collect()
    }

    fn started(&self, n: usize, number: u64, own: BTreeMap<SocketAddr, Held>) -> Node {
        let name_of = |m: &usize| self.draw.site(*m);
        let partners = self.partners_of(n);
        let aggregates = vec![Aggregate {
            name: name("wide"),
            matches: Match { class: Some(name("c0")), ..Match::default() },
        }];
        let rules = Rules { own: self.draw.site(n), sites: Sites::new(self.groups.clone()), aggregates };
        let exports = Exports::new(rules, partners.iter().map(name_of), number);
        let partners = partners.iter().map(|m| (name_of(m), Partner::new(self.terms(n, *m)))).collect();
        let mut node =
            Node { name: self.draw.site(n), number, own, partners, merged: Merged::default(), exports };
        let own: Vec<Change> =
            node.own.values().map(|held| Change { before: None, after: Some(held.clone()) }).collect();
        node.apply(&own, self.now);
        node
    }

    /// A new process with the files of the one before, under the duty's next number.
    fn restart(&mut self, n: usize) {
        let number = self.nodes[n].number + 1;
        let own = std::mem::take(&mut self.nodes[n].own);
        let kept: Vec<(Document, u64)> = self.nodes[n]
            .partners
            .values()
            .map(|partner| (partner.keeps(), partner.stale_for(self.now).unwrap_or(0)))
            .collect();
        let mut node = self.started(n, number, own);
        for (document, stale_for) in kept {
            let partner = &node.partners[&document.site];
            if let Ok((partner, taken)) =
                Partner::restored(partner.terms().clone(), &document, stale_for, self.now)
            {
                node.partners.insert(document.site, partner);
                node.apply(&taken.changes, self.now);
            }
        }
        self.nodes[n] = node;
    }

    fn written(&mut self) -> Vec<Restriction> {
        let drawn = self.draw.restrictions(&mut self.rng).into_iter();
        let later = |restriction| match restriction {
            Restriction::Until { ms } => Restriction::Until { ms: self.now + ms * 5 },
            other => other,
        };
        drawn.map(later).collect()
    }

    fn new_server(&mut self) -> SocketAddr {
        self.servers += 1;
        SocketAddr::from((std::net::Ipv4Addr::from(0x7f00_0000 + self.servers), 80))
    }

    /// Requests of their own, or, one in four, the same as others'.
    fn new_match(&mut self) -> Match {
        let subject = if self.rng.random_range(0..4) == 0 { 7 } else { 1000 + u64::from(self.servers) };
        Match {
            class: Some(name("c0")),
            tenant: self.rng.random_ratio(1, 2).then(|| name("t0")),
            subjects: Subjects { first: subject, last: subject },
            addresses: None,
        }
    }

    /// A site has a server's route under these restrictions from now on, or none.
    fn set(&mut self, n: usize, server: SocketAddr, written: Option<Vec<Restriction>>) -> Change {
        let before = self.nodes[n].own.get(&server).cloned();
        let matches = before.as_ref().map_or_else(|| self.new_match(), |held| held.route.matches.clone());
        let route = written.as_ref().map(|written| Route {
            name: name(format!("o{server}")),
            matches: matches.clone(),
            servers: BTreeSet::from([server]),
            preference: self.rng.random_range(0..2),
            capacity: self.rng.random_range(1..9),
            path: Vec::new(),
            through: BTreeSet::new(),
            restrictions: written.iter().cloned().collect(),
        });
        let node = &mut self.nodes[n];
        let after =
            route.map(|route| Held { from: node.name.clone(), route: Arc::new(route), withdrawn: false });
        match &after {
            Some(held) => drop(node.own.insert(server, held.clone())),
            None => drop(node.own.remove(&server)),
        }
        let spans = self.announced.entry(server).or_insert_with(|| (node.name.clone(), matches, Vec::new()));
        spans.2.push((self.now, written));
        Change { before, after }
    }

    /// A site announces something new, or changes or withdraws what it announced.
    fn announce(&mut self, n: usize) {
        let own: Vec<SocketAddr> = self.nodes[n].own.keys().copied().collect();
        let old = (!own.is_empty() && self.rng.random_ratio(2, 3))
            .then(|| own[self.rng.random_range(0..own.len())]);
        let withdrawn = old.is_some() && self.rng.random_ratio(1, 2);
        let server = old.unwrap_or_else(|| self.new_server());
        let written = self.written();
        let change = self.set(n, server, (!withdrawn).then_some(written));
        self.nodes[n].apply(&[change], self.now);
    }

    /// The restrictions that a server was announced under last, if it is.
    fn written_last(&self, server: &SocketAddr) -> Option<Vec<Restriction>> {
        self.announced.get(server)?.2.last()?.1.clone()
    }

    /// Hundreds of changes at once: new routes; or changes behind which others are withdrawn or get tighter.
    fn flood(&mut self, n: usize) {
        let next_only = [Restriction::Further { sites: 1 }];
        let own: Vec<SocketAddr> = self.nodes[n].own.keys().copied().collect();
        let (queue, flood): (Vec<SocketAddr>, Vec<SocketAddr>) = own
            .into_iter()
            .partition(|server| self.written_last(server).is_some_and(|written| written == next_only));
        let mut changes = Vec::new();
        for _ in queue.len()..QUEUE {
            let server = self.new_server();
            changes.push(self.set(n, server, Some(next_only.to_vec())));
        }
        for server in &queue {
            changes.push(self.set(n, *server, Some(next_only.to_vec())));
        }
        for server in &flood {
            let tighter = self.rng.random_ratio(1, 4).then(|| {
                let mut written = self.written_last(server).unwrap_or_default();
                written.push(Restriction::Nobody {});
                written
            });
            changes.push(self.set(n, *server, tighter));
        }
        for _ in flood.len()..FLOOD {
            let server = self.new_server();
            let written = if self.rng.random_ratio(3, 4) { Vec::new() } else { self.written() };
            changes.push(self.set(n, server, Some(written)));
        }
        self.nodes[n].apply(&changes, self.now);
    }

    fn fault(&mut self) {
        let n = self.rng.random_range(0..self.draw.sites);
        if self.floods && self.rng.random_ratio(1, 50) {
            self.flood(n);
        }
        match self.rng.random_range(0..100) {
            0..8 => self.announce(n),
            8 => (0..60).for_each(|_| self.announce(n)),
            9..11 => {
                let at = self.rng.random_range(0..self.links.len());
                let now = self.now;
                let state = self.links.values_mut().nth(at).expect("a link");
                *state = if state.is_some() { None } else { Some(now) };
            }
            11 => self.restart(n),
            _ => {}
        }
    }

    fn receive(&mut self, n: usize, from: &Name, bytes: &[u8]) {
        let now = self.now;
        let node = &mut self.nodes[n];
        let Some(partner) = node.partners.get_mut(from) else { return };
        let (taken, _) = partner.receive(bytes, now);
        node.apply(&taken.changes, now);
    }

    fn poll(&mut self, n: usize, m: usize, faults: bool) {
        let (to, from) = (self.draw.site(n), self.draw.site(m));
        let now = self.now;
        if self.links[&link(n, m)].is_none() {
            self.nodes[n].partners.get_mut(&from).expect("a partner").lost(now);
            return;
        }
        let after = self.nodes[n].partners[&from].asks_after();
        let most = if self.floods { MOST_FLOODED } else { MOST };
        let Ok(answer) = self.nodes[m].exports.answer(&to, after, most) else { return };
        let Some(document) = answer else {
            self.nodes[n].partners.get_mut(&from).expect("a partner").heard();
            return;
        };
        let bytes = serde_json::to_vec(&document).expect("JSON");
        if faults && self.rng.random_ratio(1, 50) {
            let later = now + self.rng.random_range(1..=LATE / TICK) * TICK;
            self.late.push((later, n, from.clone(), bytes.clone()));
        }
        if !faults || self.rng.random_ratio(9, 10) {
            let cut = faults && self.rng.random_ratio(1, 50);
            let end = if cut { bytes.len() / 2 } else { bytes.len() };
            self.receive(n, &from, &bytes[..end]);
        }
    }

    /// One step: faults, what comes late, each site asks each of its partners, and all is looked at.
    pub fn step(&mut self, faults: bool) {
        self.now += TICK;
        if faults {
            self.fault();
        }
        let now = self.now;
        let (due, late) = std::mem::take(&mut self.late).into_iter().partition(|(at, ..)| *at <= now);
        self.late = late;
        let due: Vec<(u64, usize, Name, Vec<u8>)> = due;
        due.iter().for_each(|(_, n, from, bytes)| self.receive(*n, from, bytes));
        for n in 0..self.draw.sites {
            for m in self.partners_of(n) {
                self.poll(n, m, faults);
            }
            let node = &mut self.nodes[n];
            let changes: Vec<Change> =
                node.partners.values_mut().flat_map(|partner| partner.tick(now)).collect();
            node.apply(&changes, now);
            node.exports.tick(&node.merged, now);
        }
        self.look();
    }

    /// What a site has from its partners, with since when the link is up that it came by.
    fn seen(&self, n: usize) -> Vec<Seen> {
        let node = &self.nodes[n];
        let of_partner = |m: usize| {
            let up = self.links[&link(n, m)].map_or(0, |since| self.now - since);
            let partner = &node.partners[&self.draw.site(m)];
            // What is stale has its time, and what was withdrawn with most others is told to nobody.
            let up = if partner.stale_for(self.now).is_some() { 0 } else { up };
            let held = partner
                .in_force()
                .filter(|held| !held.withdrawn && !held.route.restrictions.has_ended(self.now));
            held.map(move |held| Seen {
                at: self.now,
                site: node.name.clone(),
                route: held.route.clone(),
                up,
            })
        };
        self.partners_of(n).into_iter().flat_map(of_partner).collect()
    }

    fn look(&mut self) {
        let all: Vec<Seen> = (0..self.draw.sites).flat_map(|n| self.seen(n)).collect();
        for Seen { site, route, .. } in &all {
            for server in &route.servers {
                self.had.insert((site.clone(), *server), self.now);
            }
        }
        for seen in &all {
            let broken = judge(&self.announced, &self.groups, seen).or_else(|| judge_left(seen, &self.had));
            if broken.is_some() && self.broken.is_empty() {
                let spans = seen.route.servers.iter().map(|server| &self.announced[server]);
                println!("first broken: {broken:?} {seen:?}\nannounced: {:?}", spans.collect::<Vec<_>>());
            }
            self.broken.extend(broken);
        }
    }

    /// No more faults, all links up, until what was late and left out has settled.
    pub fn settle(&mut self) {
        let now = self.now;
        self.links.values_mut().filter(|state| state.is_none()).for_each(|state| *state = Some(now));
        for _ in 0..(60_000 / TICK) {
            self.step(false);
        }
    }

    /// Routes that a neighbour of their origin may have now and has not.
    pub fn missing(&self) -> usize {
        let mut missing = 0;
        for (origin, matches, spans) in self.announced.values() {
            let Some((_, Some(written))) = spans.last() else { continue };
            let is_alone = matches.subjects.first >= 1000;
            for (n, node) in self.nodes.iter().enumerate() {
                let is_next = self.partners_of(n).iter().any(|m| self.draw.site(*m) == *origin);
                let one_tenant =
                    written.iter().filter(|one| matches!(one, Restriction::Tenants { .. })).count() < 2;
                if is_alone
                    && is_next
                    && one_tenant
                    && lets_pass(written, &[&node.name], &self.groups, self.now)
                {
                    let has = node.partners[origin].in_force().any(|held| held.route.matches == *matches);
                    missing += usize::from(!has);
                }
            }
        }
        missing
    }

    /// What every site has from every other one: the same at rest.
    pub fn holds(&self) -> Vec<Arc<Route>> {
        let all = self.nodes.iter().flat_map(|node| node.partners.values());
        all.flat_map(|partner| partner.in_force().map(|held| held.route.clone())).collect()
    }
}

/// A history from a seed: what is broken in it, and how many routes are missing in the end.
pub fn history(seed: u64, steps: u64) -> (Vec<Broken>, usize, usize) {
    let mut world = World::new(seed);
    (0..steps).for_each(|_| world.step(true));
    world.settle();
    let before = world.holds();
    (0..20).for_each(|_| world.step(false));
    let restless = usize::from(world.holds().iter().zip(&before).any(|(one, two)| !Arc::ptr_eq(one, two)));
    (std::mem::take(&mut world.broken), world.missing(), restless)
}
