//! Which route a request takes. All is in persistent maps, so that a snapshot is a clone, and readers take no lock.
//!
//! A request is of four pairs of tenant and class at most: both, one or none of them named. A pair of few routes is one
//! short list in the order of choice. One of many has a map of networks for each length of prefix, and for each network
//! the ranges of subjects (`ranges`).

use std::cmp::Reverse;
use std::net::IpAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use foldhash::fast::RandomState;
use imbl::GenericHashMap;
use imbl::shared_ptr::DefaultSharedPtr;
use ipnet::IpNet;

pub use super::crowd::{MOST_FORMS, MOST_IN_CELL};
use super::flat::Flat;
use super::merge::{Held, Merged};
use super::ranges::{Ranged, Ranges};
use super::route::{Match, Name, Request, Subjects};

type Map<K, V> = GenericHashMap<K, V, RandomState, DefaultSharedPtr>;

/// Matches of a pair up to which it is one list, and down to which it becomes one again.
const FEW: usize = 32;
const FEW_AGAIN: usize = 16;

/// Whether it is IPv6, and the length; nothing for any address.
type Prefix = Option<(bool, u8)>;

fn prefix(net: Option<IpNet>) -> Prefix {
    net.map(|net| (matches!(net, IpNet::V6(_)), net.prefix_len()))
}

/// The first bits of an address, as many as the prefix has; nothing where it is of the other kind.
fn bits(prefix: Prefix, address: IpAddr) -> Option<u128> {
    let Some((six, length)) = prefix else { return Some(0) };
    let (address, whole) = match address {
        IpAddr::V4(four) if !six => (u128::from(u32::from(four)), 32u32),
        IpAddr::V6(address) if six => (address.to_bits(), 128),
        _ => return None,
    };
    Some(address.checked_shr(whole.saturating_sub(length.into())).unwrap_or(0))
}

/// Longer prefixes are chosen first; those of one length and kind are together.
fn longest_first(prefix: Prefix) -> (Reverse<Option<u8>>, bool) {
    (Reverse(prefix.map(|(_, length)| length)), prefix.is_some_and(|(six, _)| six))
}

#[derive(Clone, Debug)]
struct Entry {
    net: Option<IpNet>,
    ranged: Ranged,
}

type Rank = ((Reverse<Option<u8>>, bool), (u64, u64), Option<IpNet>);

impl Entry {
    /// The lower is chosen.
    fn rank(&self) -> Rank {
        (longest_first(prefix(self.net)), self.ranged.rank(), self.net)
    }
}

/// All networks of one length.
#[derive(Clone, Debug)]
struct Form {
    prefix: Prefix,
    nets: Flat<u128, Ranges>,
}

/// The routes of one tenant and class, or of any.
#[derive(Clone, Debug)]
enum Pair {
    /// In the order of choice; the subjects once more by themselves, since they rule most out and are short to read.
    Few { subjects: Arc<[Subjects]>, entries: Arc<[Entry]> },
    Many {
        forms: Arc<[Form]>,
        matches: usize,
        /// From the first subject that any of them had to the last, since they were few: one beyond is looked for in none.
        bounds: Subjects,
    },
}

impl Default for Pair {
    fn default() -> Self {
        Self::Few { subjects: Arc::default(), entries: Arc::default() }
    }
}

impl Pair {
    fn len(&self) -> usize {
        match self {
            Self::Few { entries, .. } => entries.len(),
            Self::Many { matches, .. } => *matches,
        }
    }

    fn of_few(entries: Vec<Entry>) -> Self {
        let subjects = entries.iter().map(|entry| entry.ranged.subjects).collect();
        Self::Few { subjects, entries: entries.into() }
    }

    fn few(&self) -> (&[Subjects], &[Entry]) {
        if let Self::Few { subjects, entries } = self { (subjects, entries) } else { (&[], &[]) }
    }

    fn many(&self) -> &[Form] {
        if let Self::Many { forms, .. } = self { forms } else { &[] }
    }

    /// Those that may have a route for a subject.
    fn many_for(&self, subject: u64) -> &[Form] {
        match self {
            Self::Many { forms, bounds, .. } if bounds.contains(subject) => forms,
            _ => &[],
        }
    }

    fn get(&self, net: Option<IpNet>, subjects: Subjects) -> Option<&Arc<[Held]>> {
        let is_it = |entry: &&Entry| entry.net == net && entry.ranged.subjects == subjects;
        if let Self::Few { entries, .. } = self {
            return entries.iter().find(is_it).map(|entry| &entry.ranged.held);
        }
        let form = self.many().iter().find(|form| form.prefix == prefix(net))?;
        form.nets.get(bits(form.prefix, address_of(net))?)?.get(subjects)
    }

    /// Has these routes for just these requests: none where there are none.
    fn put(&mut self, net: Option<IpNet>, subjects: Subjects, held: Vec<Held>) {
        let held = (!held.is_empty()).then(|| Arc::from(held));
        match self {
            Self::Few { entries, .. } => *self = Self::of_few(put_few(entries, net, subjects, held)),
            Self::Many { forms, matches, bounds } => {
                *bounds = around(*bounds, subjects);
                *matches = *matches + usize::from(held.is_some())
                    - usize::from(put_many(forms, net, subjects, held));
            }
        }
        match self {
            Self::Few { entries, .. } if entries.len() > FEW => self.become_many(),
            Self::Many { matches, .. } if *matches <= FEW_AGAIN => self.become_few(),
            _ => {}
        }
    }

    fn become_many(&mut self) {
        let (mut forms, mut bounds) = (Arc::default(), NONE);
        for Entry { net, ranged } in self.few().1 {
            put_many(&mut forms, *net, ranged.subjects, Some(ranged.held.clone()));
            bounds = around(bounds, ranged.subjects);
        }
        *self = Self::Many { matches: self.len(), forms, bounds };
    }

    fn become_few(&mut self) {
        let mut entries = Vec::with_capacity(self.len());
        let nets = self.many().iter().flat_map(|form| form.nets.values());
        nets.for_each(|ranges| {
            ranges.each(&mut |ranged| {
                let net = ranged.held.first().and_then(|held| held.route.matches.addresses);
                entries.push(Entry { net: net.map(|net| net.trunc()), ranged: ranged.clone() });
            });
        });
        entries.sort_unstable_by_key(Entry::rank);
        *self = Self::of_few(entries);
    }

    /// What a request may take by its address and subject, in the order of choice.
    fn found(&self, address: IpAddr, subject: u64) -> impl Iterator<Item = &Ranged> {
        let (subjects, entries) = self.few();
        let few = subjects
            .iter()
            .zip(entries)
            .filter(move |(subjects, entry)| {
                subjects.contains(subject) && entry.net.is_none_or(|net| net.contains(&address))
            })
            .map(|(_, entry)| &entry.ranged);
        let forms = self.many_for(subject).iter();
        let nets = forms.filter_map(move |form| form.nets.get(bits(form.prefix, address)?));
        few.chain(nets.flat_map(move |ranges| ranges.found(subject)))
    }
}

/// No subject is within these.
const NONE: Subjects = Subjects { first: u64::MAX, last: 0 };

/// The least that has both in it.
fn around(one: Subjects, other: Subjects) -> Subjects {
    Subjects { first: one.first.min(other.first), last: one.last.max(other.last) }
}

/// The network's own address; any for none.
fn address_of(net: Option<IpNet>) -> IpAddr {
    net.map_or(IpAddr::from([0, 0, 0, 0]), |net| net.network())
}

fn put_few(
    entries: &[Entry],
    net: Option<IpNet>,
    subjects: Subjects,
    held: Option<Arc<[Held]>>,
) -> Vec<Entry> {
    let is_other = |entry: &&Entry| entry.net != net || entry.ranged.subjects != subjects;
    let mut all: Vec<Entry> = entries.iter().filter(is_other).cloned().collect();
    if let Some(held) = held {
        let entry = Entry { net, ranged: Ranged::new(subjects, held) };
        let at = all.partition_point(|other| other.rank() < entry.rank());
        all.insert(at, entry);
    }
    all
}

/// Whether there were any before.
fn put_many(
    forms: &mut Arc<[Form]>,
    net: Option<IpNet>,
    subjects: Subjects,
    held: Option<Arc<[Held]>>,
) -> bool {
    let prefix = prefix(net);
    let Some(bits) = bits(prefix, address_of(net)) else { return false };
    let mut all = forms.to_vec();
    let at = match all.binary_search_by_key(&longest_first(prefix), |form| longest_first(form.prefix)) {
        Ok(at) => at,
        Err(at) => {
            all.insert(at, Form { prefix, nets: Flat::default() });
            at
        }
    };
    let nets = &mut all[at].nets;
    let mut ranges = nets.get(bits).cloned().unwrap_or_default();
    let before = ranges.put(subjects, held);
    nets.put(bits, (!ranges.is_empty()).then_some(ranges));
    if nets.len() == 0 {
        all.remove(at);
    }
    *forms = all.into();
    before
}

/// The routes of one tenant, or of any.
#[derive(Clone, Debug, Default)]
struct Row {
    any: Pair,
    /// By the class's number.
    classes: Flat<u64, Pair>,
}

/// All routes, found by what a request is. A clone is a snapshot.
#[derive(Clone, Default)]
pub struct Index {
    /// The number of each class, and how many matches name it.
    classes: Map<Name, (u64, usize)>,
    /// The number that was given last. None is given twice.
    last: u64,
    tenants: Map<Name, Row>,
    any: Row,
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

    /// Looks at all routes, in any order.
    pub fn each<'a>(&'a self, what: &mut impl FnMut(&'a Held)) {
        for row in self.tenants.values().chain([&self.any]) {
            for pair in row.classes.values().chain([&row.any]) {
                let (_, few) = pair.few();
                few.iter().flat_map(|entry| entry.ranged.held.iter()).for_each(&mut *what);
                let ranges = pair.many().iter().flat_map(|form| form.nets.values());
                ranges.for_each(|ranges| ranges.each(&mut |ranged| ranged.held.iter().for_each(&mut *what)));
            }
        }
    }

    /// The routes for just these requests, the chosen one first.
    pub fn chain(&self, matches: &Match) -> &[Held] {
        self.held(matches).map_or(&[], |held| held)
    }

    fn held(&self, matches: &Match) -> Option<&Arc<[Held]>> {
        let row = matches.tenant.as_ref().map_or(Some(&self.any), |tenant| self.tenants.get(tenant))?;
        let pair = match &matches.class {
            None => &row.any,
            Some(class) => row.classes.get(self.classes.get(class)?.0)?,
        };
        pair.get(matches.addresses.map(|net| net.trunc()), matches.subjects)
    }

    /// Changes the routes for just these requests.
    pub(super) fn alter(&mut self, matches: &Match, change: impl FnOnce(&mut Vec<Held>)) {
        let mut held = self.chain(matches).to_vec();
        let before = held.len();
        change(&mut held);
        let after = held.len();
        self.routes = self.routes + after - before;
        if (before, after) == (0, 0) {
            return;
        }
        let class = matches.class.as_ref().map(|class| self.count(class, before == 0, after == 0));
        let row = match &matches.tenant {
            None => &mut self.any,
            Some(tenant) => self.tenants.entry(tenant.clone()).or_default(),
        };
        let net = matches.addresses.map(|net| net.trunc());
        match class {
            None => row.any.put(net, matches.subjects, held),
            Some(class) => {
                let mut pair = row.classes.get(class).cloned().unwrap_or_default();
                pair.put(net, matches.subjects, held);
                row.classes.put(class, (pair.len() > 0).then_some(pair));
            }
        }
        if let Some(tenant) = &matches.tenant
            && row.any.len() == 0
            && row.classes.len() == 0
        {
            self.tenants.remove(tenant);
        }
    }

    /// The number of a class, after a match that names it has come or gone.
    fn count(&mut self, class: &Name, comes: bool, goes: bool) -> u64 {
        if !self.classes.contains_key(class) {
            self.last += 1;
        }
        let (number, uses) = self.classes.entry(class.clone()).or_insert((self.last, 0));
        *uses = *uses + usize::from(comes) - usize::from(goes);
        let (number, uses) = (*number, *uses);
        if uses == 0 {
            self.classes.remove(class);
        }
        number
    }

    /// The routes that a request may take, the one to take first: those that name its tenant, then those that name its
    /// class, then by the longer prefix, then by the narrower range of subjects, then as the merge chose. `now` is in ms
    /// since 1970 (UTC).
    pub fn courses<'a>(&'a self, request: &'a Request<'a>, now: u64) -> impl Iterator<Item = &'a Held> {
        let class = self.classes.get(request.class).map(|(number, _)| *number);
        let row = request.tenant.and_then(|tenant| self.tenants.get(tenant));
        let pairs = move |row: &'a Row| {
            let of_class = class.and_then(|class| row.classes.get(class));
            of_class.into_iter().chain([&row.any])
        };
        row.into_iter()
            .chain([&self.any])
            .flat_map(pairs)
            .flat_map(move |pair| pair.found(request.address, request.subject))
            .flat_map(|ranged| ranged.held.iter().map(|held| (ranged.always, held)))
            .filter(move |(always, held)| *always || held.route.restrictions.serves(request.tenant, now))
            .map(|(_, held)| held)
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
