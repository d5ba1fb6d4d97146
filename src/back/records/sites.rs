//! The way of a call by the merged table of partners' routes: which site, and which of its servers in the route.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use foldhash::fast::RandomState;
use log::{debug, info};
use tokio::time::Instant;

use super::USUAL_WORK;
use crate::clock::utc_ms;
use crate::config::RecordsTable;
use crate::exchange::{Call, Catalog};
use crate::fault_injection::{self, InjectedFault};
use crate::peers::{Leg, Routes};
use crate::route::{CallEndKind, Options, ServerId, Spec};
use crate::route_exchange::capacity::Given;
use crate::route_exchange::course::{Asked, Course, Next, Tried};
use crate::route_exchange::lookup::InForce;
use crate::route_exchange::merge::Held;
use crate::route_exchange::rest::{Standing, Turn};
use crate::route_exchange::route::{Name, Route};

/// Pools that are kept at the most: one for each set of servers of a site that calls go to. The one that was not used for
/// longest goes first.
const MOST_POOLS: usize = 256;
/// Sites whose standing is kept at the most.
const MOST_SITES: usize = 1024;

type Map<K, V> = HashMap<K, V, RandomState>;

/// The sites that calls go to, with what is known of them.
pub struct Sites {
    table: Arc<InForce>,
    options: Options,
    seed: u64,
    start: Instant,
    /// Servers that the fleet has removed: they leave the routes as well.
    removed: Box<dyn Fn(SocketAddr) -> bool>,
    inside: RefCell<Inside>,
}

#[derive(Default)]
struct Inside {
    pools: Map<Name, Map<BTreeSet<SocketAddr>, Pooled>>,
    count: usize,
    uses: u64,
    standings: Map<Name, Standing>,
    given: Given,
}

/// The pool of a route's servers.
struct Pooled {
    routes: Rc<Routes>,
    removed: Vec<SocketAddr>,
    used: u64,
}

/// A call's way from site to site.
pub(super) struct Journey {
    course: Course,
    stop: Option<Stop>,
}

/// The site where it is.
struct Stop {
    held: Held,
    pool: Rc<Routes>,
    /// Servers that were tried there.
    tried: Vec<ServerId>,
}

impl Journey {
    /// Whether a further try is within the budget of the site where it is, which it then counts to.
    pub(super) fn may_retry(&self) -> bool {
        let budget = self.stop.as_ref().is_some_and(|stop| stop.pool.may_retry());
        budget || fault_injection::is_active(InjectedFault::NoBudget)
    }
}

/// What the table goes by of a call.
fn asked<'a>(call: &Call, catalog: &'a Catalog) -> Asked<'a> {
    let origin = call.origin;
    let tenant = origin.tenant.and_then(|at| catalog.tenant_names.get(at)).filter(|name| !name.is_empty());
    Asked {
        class: catalog.class_names.get(origin.class).map_or("", String::as_str),
        tenant: tenant.map(String::as_str),
        subject: origin.subject,
        address: origin.address,
    }
}

impl Sites {
    /// Follows this table. Servers are chosen among as `options` say; those that are `removed` are not.
    pub fn new(
        table: Arc<InForce>,
        options: Options,
        seed: u64,
        removed: impl Fn(SocketAddr) -> bool + 'static,
    ) -> Rc<Self> {
        // A partner's servers have no zones here.
        let options = Options { zone: String::new(), ..options };
        let (start, removed, inside) = (Instant::now(), Box::new(removed), RefCell::default());
        Rc::new(Self { table, options, seed, start, removed, inside })
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// A way by the table in force now; it is kept to the last try.
    pub(super) fn set_out(&self) -> Journey {
        Journey { course: Course::new(self.table.get(), utc_ms()), stop: None }
    }

    /// Where a call goes next: to another server of the site where it is, if it has not run there, else to the next site.
    /// Sites that rest are taken where there is no other.
    pub(super) fn next(
        &self,
        journey: &mut Journey,
        call: &Call,
        catalog: &Catalog,
        tried: Tried,
    ) -> Next<Leg> {
        let asked = asked(call, catalog);
        if fault_injection::is_active(InjectedFault::NewerTable) {
            journey.course.planted_turn(&self.table.get());
        }
        if tried == Tried::NotRun
            && let Some(leg) = self.stay(journey, call, &asked)
        {
            return Next::To(leg);
        }
        let mut next = self.pass(journey, call, &asked, tried, false);
        if matches!(next, Next::Nowhere) {
            next = self.pass(journey, call, &asked, tried, true);
        }
        next
    }

    /// Another server of the site where it is.
    fn stay(&self, journey: &mut Journey, call: &Call, asked: &Asked) -> Option<Leg> {
        let Journey { course, stop } = journey;
        let stop = stop.as_mut().filter(|stop| course.still_serves(&stop.held, asked, utc_ms()))?;
        if stop.tried.len() >= stop.pool.count() {
            return None;
        }
        let (pool, leg) = self.take(&stop.held, call, &stop.tried)?;
        // Their pool falls back on those that were tried.
        let is_new = Rc::ptr_eq(&pool, &stop.pool) && !stop.tried.contains(&leg.server());
        is_new.then(|| {
            stop.tried.push(leg.server());
            leg
        })
    }

    /// The next site, those that rest among them or not.
    fn pass(
        &self,
        journey: &mut Journey,
        call: &Call,
        asked: &Asked,
        tried: Tried,
        rested: bool,
    ) -> Next<Leg> {
        let now = self.now();
        let next = journey.course.next(asked, call.safe, tried, utc_ms(), |held| {
            let allows = |standing: &Standing| standing.allows(call.safe, now);
            let is_fit = rested || self.inside.borrow().standings.get(&held.from).is_none_or(allows);
            is_fit.then(|| self.take(held, call, &[])).flatten().map(|taken| (held.clone(), taken))
        });
        match next {
            Next::To((held, (pool, leg))) => {
                if let Some(standing) = self.inside.borrow_mut().standings.get_mut(&held.from) {
                    standing.goes(now);
                }
                let tried = vec![leg.server()];
                journey.stop = Some(Stop { held, pool, tried });
                Next::To(leg)
            }
            Next::Nowhere => Next::Nowhere,
            Next::Unserved => Next::Unserved,
        }
    }

    /// A server of a route, where one has room and the route has requests left.
    fn take(&self, held: &Held, call: &Call, tried: &[ServerId]) -> Option<(Rc<Routes>, Leg)> {
        let (now, route) = (self.now(), &held.route);
        if !self.inside.borrow().given.may(&held.from, &route.name, route.capacity, now) {
            return None;
        }
        let pool = self.pool(&held.from, route)?;
        let leg = pool.choose(call.hint_ms.unwrap_or(USUAL_WORK), call.safe, tried).ok()?;
        self.inside.borrow_mut().given.give(&held.from, &route.name, route.capacity, now);
        Some((pool, leg))
    }

    /// The pool of a route's servers; none where the fleet has removed all of them.
    fn pool(&self, site: &Name, route: &Route) -> Option<Rc<Routes>> {
        let removed: Vec<SocketAddr> =
            route.servers.iter().copied().filter(|server| (self.removed)(*server)).collect();
        if removed.len() == route.servers.len() {
            return None;
        }
        let inside = &mut *self.inside.borrow_mut();
        inside.uses += 1;
        let known = inside.pools.get_mut(site).and_then(|pools| pools.get_mut(&route.servers));
        if let Some(pooled) = known {
            pooled.used = inside.uses;
            if pooled.removed != removed {
                pooled.routes.replace(&left(route, &removed));
                pooled.removed = removed;
            }
            return Some(pooled.routes.clone());
        }
        if inside.count >= MOST_POOLS {
            inside.forget_unused();
        }
        let table = RecordsTable { choice: self.options.clone(), servers: left(route, &removed) };
        let routes = Routes::new(&table, self.seed ^ inside.uses);
        let pooled = Pooled { routes: routes.clone(), removed, used: inside.uses };
        inside.pools.entry(site.clone()).or_default().insert(route.servers.clone(), pooled);
        inside.count += 1;
        Some(routes)
    }

    /// Notes how a call ended at the site where it is.
    pub(super) fn ended(&self, journey: &Journey, kind: CallEndKind) {
        let well = match kind {
            CallEndKind::Served => true,
            CallEndKind::Abandoned | CallEndKind::NotSent => return,
            _ => false,
        };
        let Some(Stop { held, .. }) = &journey.stop else { return };
        let (site, now, inside) = (&held.from, self.now(), &mut *self.inside.borrow_mut());
        let standings = &mut inside.standings;
        if !standings.contains_key(site) {
            if well {
                return;
            }
            if standings.len() >= MOST_SITES {
                standings.retain(|_, standing| !standing.allows(false, now));
            }
            // All of them rest: this one is not kept beside them.
            if standings.len() >= MOST_SITES {
                return;
            }
            standings.insert(site.clone(), Standing::default());
        }
        let Some(standing) = standings.get_mut(site) else { return };
        match standing.ended(well, now) {
            Turn::None => {}
            Turn::Rests(ms) => info!("site {site} is passed over for {ms:.0} ms: its last calls went badly"),
            Turn::Back => debug!("site {site} serves again"),
        }
    }
}

impl Inside {
    fn forget_unused(&mut self) {
        let oldest = self.pools.values().flat_map(|pools| pools.values()).map(|pooled| pooled.used).min();
        self.pools.values_mut().for_each(|pools| pools.retain(|_, pooled| Some(pooled.used) != oldest));
        self.pools.retain(|_, pools| !pools.is_empty());
        self.count = self.pools.values().map(HashMap::len).sum();
    }
}

/// A route's servers without those that are removed.
fn left(route: &Route, removed: &[SocketAddr]) -> Vec<Spec> {
    let left = route.servers.iter().filter(|server| !removed.contains(server));
    left.map(|address| Spec { address: *address, zone: String::new(), weight: 1.0 }).collect()
}
