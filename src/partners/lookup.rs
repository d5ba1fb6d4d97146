//! Which route a request takes: tuple space search (Srinivasan, Suri, Varghese 1999) in persistent maps, without a lock.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use foldhash::fast::RandomState;
use imbl::GenericHashMap;
use imbl::shared_ptr::DefaultSharedPtr;
use ipnet::IpNet;

use super::merge::{Held, Merged};
use super::route::{Match, Name, Request, Subjects};

type Map<K, V> = GenericHashMap<K, V, RandomState, DefaultSharedPtr>;

/// Routes for just the same requests, the chosen one first.
#[derive(Debug)]
struct Chain {
    matches: Match,
    held: Vec<Held>,
}

/// Numbers for the names in use. Zero is that of no name.
#[derive(Clone, Default)]
struct Names {
    numbers: Map<Name, (u32, u32)>,
    free: Arc<Vec<u32>>,
}

impl Names {
    fn find(&self, name: Option<&str>) -> Option<u32> {
        name.map_or(Some(0), |name| self.numbers.get(name).map(|(number, _)| *number))
    }

    fn hold(&mut self, name: Option<&Name>) {
        let Some(name) = name else { return };
        if let Some((_, uses)) = self.numbers.get_mut(name) {
            *uses += 1;
            return;
        }
        let number = Arc::make_mut(&mut self.free).pop().unwrap_or(self.numbers.len() as u32 + 1);
        self.numbers.insert(name.clone(), (number, 1));
    }

    fn release(&mut self, name: Option<&Name>) {
        let Some(name) = name else { return };
        let Some((number, uses)) = self.numbers.get_mut(name) else { return };
        *uses -= 1;
        if *uses == 0 {
            Arc::make_mut(&mut self.free).push(*number);
            self.numbers.remove(name);
        }
    }
}

/// The form of a match: how long a prefix, and how wide a range of subjects, as a power of two.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Shape {
    /// Nothing for any address; else whether it is IPv6, and the length.
    prefix: Option<(bool, u8)>,
    width: u8,
}

impl Shape {
    fn of(matches: &Match) -> Self {
        let prefix = matches.addresses.map(|net| (matches!(net, IpNet::V6(_)), net.prefix_len()));
        Self { prefix, width: width(&matches.subjects) }
    }

    /// The lower is searched first: longer prefixes, then narrower ranges.
    fn rank(&self) -> (Reverse<Option<u8>>, u8, Option<bool>) {
        (Reverse(self.prefix.map(|(_, length)| length)), self.width, self.prefix.map(|(six, _)| six))
    }

    /// The network of this length with the address in it; nothing where it is of the other kind.
    fn net(&self, address: IpAddr) -> Option<Option<IpNet>> {
        let Some((six, length)) = self.prefix else { return Some(None) };
        if six != address.is_ipv6() {
            return None;
        }
        IpNet::new(address, length).ok().map(|net| Some(net.trunc()))
    }
}

/// The least w with 2^w above the distance of the last from the first.
fn width(subjects: &Subjects) -> u8 {
    (64 - subjects.last.saturating_sub(subjects.first).leading_zeros()) as u8
}

/// Which cell of this width a subject is in; a range of that width is in two at the most.
fn cell(subject: u64, width: u8) -> u64 {
    subject.checked_shr(width.into()).unwrap_or(0)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Key {
    class: u32,
    tenant: u32,
    net: Option<IpNet>,
    width: u8,
    cell: u64,
}

/// Routes of one partner in one cell, and forms of match for one class and tenant: both bound what a look-up costs.
pub const MOST_IN_CELL: usize = 16;
/// Different lengths of prefixes, times different widths of ranges, of one partner for one class and tenant.
pub const MOST_FORMS: usize = 16;

type Whose = (Option<Name>, Option<Name>);
type Form = (Option<(bool, u8)>, u8);

/// How the routes of one partner crowd the index.
#[derive(Clone, Debug, Default)]
pub(super) struct Crowd {
    cells: BTreeMap<(Whose, Option<IpNet>, u8, u64), usize>,
    forms: BTreeMap<Whose, BTreeMap<Form, usize>>,
}

impl Crowd {
    /// Counts a route; false where it is one too many.
    pub(super) fn add(&mut self, matches: &Match) -> bool {
        let whose = (matches.class.clone(), matches.tenant.clone());
        let width = width(&matches.subjects);
        let forms = self.forms.entry(whose.clone()).or_default();
        *forms.entry((Shape::of(matches).prefix, width)).or_default() += 1;
        let has_room = forms.len() <= MOST_FORMS;
        let cells = cell(matches.subjects.first, width)..=cell(matches.subjects.last, width);
        cells.fold(has_room, |has_room, cell| {
            let count = self.cells.entry((whose.clone(), matches.addresses, width, cell)).or_default();
            *count += 1;
            has_room && *count <= MOST_IN_CELL
        })
    }

    /// Counts a route no longer.
    pub(super) fn remove(&mut self, matches: &Match) {
        let whose = (matches.class.clone(), matches.tenant.clone());
        let width = width(&matches.subjects);
        if let Some(forms) = self.forms.get_mut(&whose) {
            less(forms, &(Shape::of(matches).prefix, width));
            if forms.is_empty() {
                self.forms.remove(&whose);
            }
        }
        for cell in cell(matches.subjects.first, width)..=cell(matches.subjects.last, width) {
            less(&mut self.cells, &(whose.clone(), matches.addresses, width, cell));
        }
    }
}

fn less<K: Ord>(counts: &mut BTreeMap<K, usize>, key: &K) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}

type Shapes = Arc<[(Shape, u32)]>;
type Cell = Arc<[Arc<Chain>]>;

/// All routes, found by what a request is. A clone is a snapshot.
#[derive(Clone, Default)]
pub struct Index {
    classes: Names,
    tenants: Names,
    shapes: Map<(u32, u32), Shapes>,
    cells: Map<Key, Cell>,
    routes: usize,
}

impl Index {
    /// Routes in it.
    pub fn len(&self) -> usize {
        self.routes
    }

    /// Whether it has none.
    pub fn is_empty(&self) -> bool {
        self.routes == 0
    }

    fn keys(&self, matches: &Match) -> Option<impl Iterator<Item = Key> + use<>> {
        let class = self.classes.find(matches.class.as_ref().map(Name::as_str))?;
        let tenant = self.tenants.find(matches.tenant.as_ref().map(Name::as_str))?;
        let (net, width) = (matches.addresses, width(&matches.subjects));
        let cells = cell(matches.subjects.first, width)..=cell(matches.subjects.last, width);
        Some(cells.map(move |cell| Key { class, tenant, net, width, cell }))
    }

    /// The routes for just these requests, the chosen one first.
    pub fn chain(&self, matches: &Match) -> &[Held] {
        let cell = self.keys(matches).and_then(|mut keys| self.cells.get(&keys.next()?));
        let found = cell.and_then(|cell| cell.iter().find(|chain| chain.matches == *matches));
        found.map_or(&[], |chain| &chain.held)
    }

    /// Changes the routes for just these requests.
    pub(super) fn alter(&mut self, matches: &Match, change: impl FnOnce(&mut Vec<Held>)) {
        let mut held = self.chain(matches).to_vec();
        let before = held.len();
        change(&mut held);
        self.routes = self.routes + held.len() - before;
        if before == 0 && !held.is_empty() {
            self.classes.hold(matches.class.as_ref());
            self.tenants.hold(matches.tenant.as_ref());
            self.count(matches, true);
        }
        let is_gone = held.is_empty();
        let chain = Arc::new(Chain { matches: matches.clone(), held });
        for key in self.keys(matches).into_iter().flatten() {
            self.put(key, &chain);
        }
        if before > 0 && is_gone {
            self.count(matches, false);
            self.classes.release(matches.class.as_ref());
            self.tenants.release(matches.tenant.as_ref());
        }
    }

    fn put(&mut self, key: Key, chain: &Arc<Chain>) {
        let before = self.cells.get(&key).map_or(&[][..], |cell| cell);
        let mut all: Vec<Arc<Chain>> =
            before.iter().filter(|other| other.matches != chain.matches).cloned().collect();
        if !chain.held.is_empty() {
            let rank = |chain: &Chain| {
                let Subjects { first, last } = chain.matches.subjects;
                (last.saturating_sub(first), first)
            };
            let at = all.partition_point(|other| rank(other) < rank(chain));
            all.insert(at, chain.clone());
        }
        if all.is_empty() { drop(self.cells.remove(&key)) } else { drop(self.cells.insert(key, all.into())) }
    }

    fn count(&mut self, matches: &Match, more: bool) {
        let class = self.classes.find(matches.class.as_ref().map(Name::as_str)).unwrap_or(0);
        let tenant = self.tenants.find(matches.tenant.as_ref().map(Name::as_str)).unwrap_or(0);
        let shape = Shape::of(matches);
        let mut all = self.shapes.get(&(class, tenant)).map_or(Vec::new(), |shapes| shapes.to_vec());
        match (all.binary_search_by_key(&shape.rank(), |(shape, _)| shape.rank()), more) {
            (Ok(at), true) => all[at].1 += 1,
            (Err(at), true) => all.insert(at, (shape, 1)),
            (Ok(at), false) if all[at].1 == 1 => drop(all.remove(at)),
            (Ok(at), false) => all[at].1 -= 1,
            (Err(_), false) => {}
        }
        if all.is_empty() {
            self.shapes.remove(&(class, tenant));
        } else {
            self.shapes.insert((class, tenant), all.into());
        }
    }

    /// The routes that a request may take, the one to take first: those that name its tenant, then those that name its
    /// class, then by the longer prefix, then by the narrower range of subjects, then as the merge chose. `now` is in ms
    /// since 1970 (UTC).
    pub fn courses<'a>(&'a self, request: &'a Request<'a>, now: u64) -> impl Iterator<Item = &'a Held> {
        let class = self.classes.find(Some(request.class)).filter(|class| *class > 0);
        let tenant = request.tenant.and_then(|tenant| self.tenants.find(Some(tenant)));
        let pairs = [(class, tenant), (Some(0), tenant), (class, Some(0)), (Some(0), Some(0))];
        pairs
            .into_iter()
            .filter_map(|(class, tenant)| Some((class?, tenant?)))
            .filter_map(|pair| Some((pair, self.shapes.get(&pair)?)))
            .flat_map(move |((class, tenant), shapes)| {
                shapes.iter().filter_map(move |(shape, _)| {
                    let net = shape.net(request.address)?;
                    let width = shape.width;
                    let key = Key { class, tenant, net, width, cell: cell(request.subject, width) };
                    self.cells.get(&key)
                })
            })
            .flat_map(|cell| cell.iter())
            .filter(|chain| chain.matches.subjects.contains(request.subject))
            .flat_map(|chain| chain.held.iter())
            .filter(move |held| held.route.restrictions.serves(request.tenant, now))
    }
}

/// The table that is in force, for readers: none waits for another, nor for whoever changes it.
#[derive(Default)]
pub struct InForce(ArcSwap<Merged>);

impl InForce {
    /// Puts a table in force.
    pub fn set(&self, merged: Merged) {
        self.0.store(Arc::new(merged));
    }

    /// The table now. A request keeps it from its choice to its last try.
    pub fn get(&self) -> Arc<Merged> {
        self.0.load_full()
    }
}
