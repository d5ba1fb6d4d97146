//! The slow rule of partners' routes: it recomputes from the announcements what is chosen and what each site may have, with
//! nothing kept between two questions; and drawn announcements.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::sync::Arc;

use rand::Rng;
use rand::rngs::SmallRng;
use sillflow::route_exchange::export::{Aggregate, Exports, MOST_CHANGES};
use sillflow::route_exchange::merge::{Held, Merged};
use sillflow::route_exchange::restrict::{Audience, MOST_CLAUSES, MOST_NAMED, Restriction, Restrictions};
use sillflow::route_exchange::route::{Match, Name, Request, Route, Subjects};
use sillflow::route_exchange::table::Document;

pub fn name(text: impl AsRef<str>) -> Name {
    Name::try_from(text.as_ref()).expect("a name")
}

/// A site's announcement as a checker has it: who told it, the route, and each restriction as it was written.
#[derive(Clone, Debug)]
pub struct Announced {
    pub from: Name,
    pub route: Arc<Route>,
    pub written: Vec<Restriction>,
}

pub type Groups = BTreeMap<Name, BTreeSet<Name>>;

fn named(to: &BTreeSet<Audience>, site: &Name, groups: &Groups, else_: bool) -> bool {
    to.iter().any(|audience| match audience {
        Audience::Site(one) => one == site,
        Audience::Group(group) => groups.get(group).map_or(else_, |members| members.contains(site)),
    })
}

/// Whether one restriction, by itself, lets a site be told by one that holds the route.
pub fn lets(restriction: &Restriction, site: &Name, groups: &Groups, now: u64) -> bool {
    match restriction {
        Restriction::Nobody {} => false,
        Restriction::Only { to } => named(to, site, groups, false),
        Restriction::Not { to } => !named(to, site, groups, true),
        Restriction::Further { sites } => *sites > 0,
        Restriction::Tenants { names } => !names.is_empty(),
        Restriction::Until { ms } => now < *ms,
        Restriction::Unmerged {} => true,
    }
}

fn may_have(one: &Announced, site: &Name, groups: &Groups, now: u64) -> bool {
    one.from != *site
        && !one.route.path.contains(site)
        && !one.route.through.contains(site)
        && one.written.iter().all(|restriction| lets(restriction, site, groups, now))
}

/// Whether the first is chosen before the second.
fn before(one: &Announced, two: &Announced) -> bool {
    let (a, b) = (&one.route, &two.route);
    if a.preference != b.preference {
        return a.preference > b.preference;
    }
    if a.path.len() != b.path.len() {
        return a.path.len() < b.path.len();
    }
    (&a.path, &one.from, &a.name) < (&b.path, &two.from, &b.name)
}

fn best<'a>(all: impl Iterator<Item = &'a Announced>) -> Option<&'a Announced> {
    all.reduce(|best, one| if before(one, best) { one } else { best })
}

/// The order of all announcements that a request may take.
pub fn courses<'a>(all: &'a [Announced], request: &Request, now: u64) -> Vec<&'a Announced> {
    let usable = |one: &&Announced| {
        one.route.matches.fits(request)
            && one.written.iter().all(|restriction| match restriction {
                Restriction::Tenants { names } => {
                    request.tenant.is_some_and(|tenant| names.contains(&name(tenant)))
                }
                Restriction::Until { ms } => now < *ms,
                _ => true,
            })
    };
    let rank = |one: &Announced| {
        let Match { class, tenant, subjects, addresses } = &one.route.matches;
        let prefix = addresses.map_or(-1, |net| i32::from(net.prefix_len()));
        (tenant.is_none(), class.is_none(), -prefix, subjects.last - subjects.first, subjects.first)
    };
    let mut fit: Vec<&Announced> = all.iter().filter(usable).collect();
    fit.sort_by(|one, two| {
        let by_choice =
            || if before(one, two) { std::cmp::Ordering::Less } else { std::cmp::Ordering::Greater };
        rank(one).cmp(&rank(two)).then_with(by_choice)
    });
    fit
}

/// What a site may be told, by match: the servers, the path and each restriction that it has to be under.
pub type May = BTreeMap<Match, (BTreeSet<String>, Vec<Name>, BTreeSet<Name>, Vec<Restriction>)>;

/// What `own` tells `site` when these are all announcements that it has.
pub fn told(
    own: &Name,
    all: &[Announced],
    wider: &[Aggregate],
    site: &Name,
    groups: &Groups,
    now: u64,
) -> May {
    let mut by_match: BTreeMap<&Match, Vec<&Announced>> = BTreeMap::new();
    for one in all.iter().filter(|one| may_have(one, site, groups, now)) {
        by_match.entry(&one.route.matches).or_default().push(one);
    }
    let mut chosen: BTreeMap<Match, Announced> = by_match
        .into_iter()
        .filter_map(|(m, may)| Some((m.clone(), best(may.into_iter())?.clone())))
        .collect();
    let singles = chosen.clone();
    for aggregate in wider {
        let is_part = |m: &Match| *m != aggregate.matches && aggregate.matches.covers(m);
        let parts: Vec<&Announced> = singles
            .iter()
            .filter(|(m, one)| is_part(m) && !one.written.contains(&Restriction::Unmerged {}))
            .map(|(_, one)| one)
            .collect();
        let Some(first) = parts.first() else { continue };
        let through = parts.iter().flat_map(|one| one.route.path.iter().chain(&one.route.through));
        let route = Route {
            name: aggregate.name.clone(),
            matches: aggregate.matches.clone(),
            servers: parts.iter().flat_map(|one| one.route.servers.clone()).take(32).collect(),
            preference: parts.iter().map(|one| one.route.preference).min().unwrap_or(0),
            capacity: 0,
            path: Vec::new(),
            through: through.cloned().collect(),
            restrictions: first.route.restrictions.clone(),
        };
        let written: Vec<Restriction> = parts.iter().flat_map(|one| one.written.clone()).collect();
        let made = Announced { from: own.clone(), route: Arc::new(route), written };
        // What excludes each other among the tenants leaves none.
        let tenants = made.written.iter().filter_map(|restriction| match restriction {
            Restriction::Tenants { names } => Some(names.clone()),
            _ => None,
        });
        let common = tenants.reduce(|one, two| one.intersection(&two).cloned().collect());
        if common.is_some_and(|common| common.is_empty()) {
            continue;
        }
        // More than this is not carried, and so told to nobody.
        let clauses: BTreeSet<&BTreeSet<Audience>> = made
            .written
            .iter()
            .filter_map(
                |restriction| if let Restriction::Only { to } = restriction { Some(to) } else { None },
            )
            .collect();
        let excluded: BTreeSet<&Audience> = made
            .written
            .iter()
            .filter_map(|restriction| if let Restriction::Not { to } = restriction { Some(to) } else { None })
            .flatten()
            .collect();
        if clauses.len() > MOST_CLAUSES || excluded.len() > MOST_NAMED {
            continue;
        }
        match chosen.get(&aggregate.matches) {
            Some(single) if before(single, &made) => {}
            _ => drop(chosen.insert(aggregate.matches.clone(), made)),
        }
    }
    let told = |(m, one): (Match, Announced)| {
        let mut path = vec![own.clone()];
        path.extend(one.route.path.iter().cloned());
        let further = |restriction: Restriction| match restriction {
            Restriction::Further { sites } => Restriction::Further { sites: sites - 1 },
            other => other,
        };
        let servers = one.route.servers.iter().map(ToString::to_string).collect();
        let written = one.written.into_iter().map(further).collect();
        (m, (servers, path, one.route.through.clone(), written))
    };
    chosen.into_iter().map(told).collect()
}

/// What a document comes to in the terms of the slow rule.
fn comes_to(document: &Document) -> May {
    let route = |route: &Arc<Route>| {
        let servers = route.servers.iter().map(ToString::to_string).collect();
        let written = route.restrictions.written();
        (route.matches.clone(), (servers, route.path.clone(), route.through.clone(), written))
    };
    document.routes.iter().map(route).collect()
}

/// Whether two come to the same, however their restrictions are written.
fn alike(one: &May, two: &May) -> bool {
    one.len() == two.len()
        && one.iter().zip(two).all(|((m, (a, b, c, written)), (n, (d, e, f, told)))| {
            let written: Restrictions = written.iter().cloned().collect();
            let told: Restrictions = told.iter().cloned().collect();
            (m, a, b, c) == (n, d, e, f) && written == told
        })
}

/// Holds what each site is told as a whole, and what drawn requests look up, against the slow rule.
pub fn agrees(
    all: &[Announced],
    merged: &Merged,
    exports: &mut Exports,
    wider: &[Aggregate],
    draw: &Draw,
    rng: &mut SmallRng,
    now: u64,
) -> Result<(), String> {
    let groups = draw.groups();
    for site in (0..draw.sites).map(|n| draw.site(n)) {
        let document = exports.answer(&site, None, MOST_CHANGES).expect("a partner").expect("all of it");
        if !alike(&told(&name("home"), all, wider, &site, &groups, now), &comes_to(&document)) {
            return Err(format!("told to {site}"));
        }
    }
    let classes: Vec<String> = (0..=draw.classes).map(|n| format!("c{n}")).collect();
    let tenants: Vec<String> = (0..=draw.tenants).map(|n| format!("t{n}")).collect();
    for _ in 0..50 {
        let request = draw.request(rng, &classes, &tenants);
        let slow = courses(all, &request, now);
        let fast: Vec<&Held> = merged.index().courses(&request, now).collect();
        let same = |(one, held): (&&Announced, &&Held)| one.from == held.from && one.route == held.route;
        if slow.len() != fast.len() || !slow.iter().zip(&fast).all(same) {
            return Err(format!("looked up for {request:?}"));
        }
    }
    Ok(())
}

/// How drawn announcements are spread.
pub struct Draw {
    pub sites: usize,
    pub classes: usize,
    pub tenants: usize,
    /// Of subjects and addresses: the fewer, the more often routes meet.
    pub places: u64,
    /// One in so many has a restriction of each kind.
    pub restricted: u32,
}

impl Draw {
    pub fn site(&self, n: usize) -> Name {
        name(format!("s{n}"))
    }

    fn audience(&self, rng: &mut SmallRng) -> BTreeSet<Audience> {
        let one = |rng: &mut SmallRng| match rng.random_range(0..4) {
            0 => Audience::Group(name(format!("g{}", rng.random_range(0..3)))),
            _ => Audience::Site(self.site(rng.random_range(0..self.sites))),
        };
        (0..rng.random_range(1..4)).map(|_| one(rng)).collect()
    }

    pub fn groups(&self) -> Groups {
        (0..2)
            .map(|g| (name(format!("g{g}")), (g..self.sites).step_by(3).map(|n| self.site(n)).collect()))
            .collect()
    }

    pub fn restrictions(&self, rng: &mut SmallRng) -> Vec<Restriction> {
        let mut all = Vec::new();
        let mut one = |rng: &mut SmallRng, restriction: &dyn Fn(&mut SmallRng) -> Restriction| {
            if rng.random_ratio(1, self.restricted) {
                let drawn = restriction(rng);
                all.push(drawn);
            }
        };
        one(rng, &|_| Restriction::Nobody {});
        one(rng, &|rng| Restriction::Only { to: self.audience(rng) });
        one(rng, &|rng| Restriction::Only { to: self.audience(rng) });
        one(rng, &|rng| Restriction::Not { to: self.audience(rng) });
        one(rng, &|rng| Restriction::Further { sites: rng.random_range(0..4) });
        one(rng, &|rng| {
            let names = (0..2).map(|_| name(format!("t{}", rng.random_range(0..self.tenants)))).collect();
            Restriction::Tenants { names }
        });
        one(rng, &|rng| Restriction::Until { ms: rng.random_range(500..1500) });
        one(rng, &|_| Restriction::Unmerged {});
        all
    }

    pub fn matches(&self, rng: &mut SmallRng) -> Match {
        let some = |rng: &mut SmallRng, of: usize, letter: &str| {
            rng.random_ratio(3, 4).then(|| name(format!("{letter}{}", rng.random_range(0..of))))
        };
        let width = [0u64, 3, 16, 1000][rng.random_range(0..4usize)];
        let first = rng.random_range(0..self.places);
        let subjects =
            if rng.random_ratio(1, 4) { Subjects::ALL } else { Subjects { first, last: first + width } };
        let place = rng.random_range(0..self.places) as u32;
        let addresses = match rng.random_range(0..3) {
            0 => None,
            1 => Some(format!("10.{}.{}.0/24", place / 256 % 256, place % 256)),
            _ => Some(format!("10.{}.0.0/16", place / 256 % 256)),
        };
        Match {
            class: some(rng, self.classes, "c"),
            tenant: some(rng, self.tenants, "t"),
            subjects,
            addresses: addresses.map(|net| net.parse().expect("a prefix")),
        }
    }

    /// A route that a site tells, which may have come through others before.
    pub fn announced(&self, rng: &mut SmallRng, from: usize, n: usize) -> Announced {
        let mut path = vec![self.site(from)];
        for _ in 0..rng.random_range(0..3) {
            let further = self.site(rng.random_range(0..self.sites));
            if !path.contains(&further) {
                path.push(further);
            }
        }
        let written = self.restrictions(rng);
        let route = Route {
            name: name(format!("r{n}")),
            matches: self.matches(rng),
            servers: [format!("127.0.{}.{}:80", from, n % 250 + 1).parse().expect("an address")].into(),
            preference: rng.random_range(0..3),
            capacity: rng.random_range(1..100),
            path,
            through: BTreeSet::new(),
            restrictions: written.iter().cloned().collect(),
        };
        Announced { from: self.site(from), route: Arc::new(route), written }
    }

    pub fn request<'a>(
        &self,
        rng: &mut SmallRng,
        classes: &'a [String],
        tenants: &'a [String],
    ) -> Request<'a> {
        let place = rng.random_range(0..self.places) as u32;
        Request {
            class: &classes[rng.random_range(0..classes.len())],
            tenant: rng.random_ratio(4, 5).then(|| tenants[rng.random_range(0..tenants.len())].as_str()),
            subject: rng.random_range(0..self.places),
            address: IpAddr::from([10, (place / 256) as u8, place as u8, 1]),
        }
    }
}
