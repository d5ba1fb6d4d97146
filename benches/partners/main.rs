//! What the merge of partners' routes costs, and how soon a tightened restriction is sent: a line a figure, with its bar.

#[path = "../shared/report.rs"]
mod report;
#[path = "../../tests/rig/partners.rs"]
mod slow;

use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;
use std::net::{IpAddr, SocketAddr};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use report::Report;
use sillflow::route_exchange::board::Board;
use sillflow::route_exchange::export::{Aggregate, Exports, MOST_CHANGES, Rules};
use sillflow::route_exchange::lead::{Leading, Now};
use sillflow::route_exchange::merge::{Change, Held, Merged};
use sillflow::route_exchange::restrict::{Restriction, Restrictions, Sites};
use sillflow::route_exchange::route::{Match, Name, Request, Route, Subjects};
use sillflow::route_exchange::table::{Document, Terms, Version};
use slow::{Announced, Draw, agrees, name};

const PARTNERS: usize = 20;
const ROUTES: usize = 100_000;
const LOOK_UPS: usize = 1_000_000;
const CHANGES: usize = 2000;
/// Changes that wait before a restriction is tightened.
const QUEUE: usize = 10_000;
/// Withdrawals and tightened restrictions at once, behind the same.
const FLOOD: usize = 5000;
/// Matches that are noted in one piece, and taken up in one step.
const NOTED: usize = 100;
const STEP: usize = 16;
/// How long the thread works before all else has its turn.
const PIECE: Duration = Duration::from_millis(2);
/// How long a thread that serves may be held, in ms.
const HELD: f64 = 5.0;
const NOW: u64 = 1000;
const AT: Now = Now { own: NOW, utc: NOW };

/// A route of one of the partners: of 50 classes and 500 tenants, four lengths of prefix and six widths of range.
fn route(rng: &mut SmallRng, partner: usize, n: usize) -> Held {
    let from = name(format!("site-{partner}"));
    let length = [8, 16, 20, 24][rng.random_range(0..4usize)];
    let first: u64 = rng.random_range(0..1 << 20);
    let width = 1u64 << [0, 4, 8, 10, 12, 16][rng.random_range(0..6usize)];
    let net = format!("{}/{length}", IpAddr::from([10, rng.random(), rng.random(), 0]));
    let matches = Match {
        class: rng.random_ratio(9, 10).then(|| name(format!("class-{}", rng.random_range(0..50)))),
        tenant: rng.random_ratio(9, 10).then(|| name(format!("tenant-{}", rng.random_range(0..500)))),
        subjects: Subjects { first, last: first + width - 1 },
        addresses: rng.random_ratio(1, 2).then(|| net.parse::<ipnet::IpNet>().expect("a prefix").trunc()),
    };
    let server = SocketAddr::from(([10, 0, partner as u8, rng.random()], 80));
    let route = Route {
        name: name(format!("route-{n}")),
        matches,
        servers: BTreeSet::from([server]),
        preference: rng.random_range(0..4),
        capacity: 100,
        path: vec![from.clone()],
        through: BTreeSet::new(),
        restrictions: Restrictions::one(Restriction::Further { sites: 3 }),
    };
    Held { from, route: Arc::new(route), withdrawn: false }
}

fn coming(held: &Held) -> Change {
    Change { before: None, after: Some(held.clone()) }
}

/// Bytes of memory that this process has.
fn resident() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok()).unwrap_or(0.0) * 4096.0
}

/// The time that this thread has run, in s: of a machine that others use as well, what is left of it to others is not in it.
fn run() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

fn worst_and_median(mut times: Vec<f64>) -> (f64, f64) {
    times.sort_by(f64::total_cmp);
    (times[times.len() - 1], times[times.len() / 2])
}

fn look_ups(report: &mut Report, merged: &Merged, held: &[Held], rng: &mut SmallRng) {
    let asked: Vec<(String, String, u64, IpAddr)> = (0..10_000)
        .map(|_| {
            let Match { class, tenant, subjects, addresses } =
                &held[rng.random_range(0..held.len())].route.matches;
            let address = addresses.map_or(IpAddr::from([10, 1, 2, 3]), |net| net.network());
            let text =
                |name: &Option<Name>, other: &str| name.as_ref().map_or(other, Name::as_str).to_owned();
            (text(class, "class-0"), text(tenant, "tenant-0"), subjects.first, address)
        })
        .collect();
    let request = |n: usize, subject: u64| {
        let (class, tenant, _, address) = &asked[n % asked.len()];
        Request { class, tenant: Some(tenant), subject, address: *address }
    };
    let began = run();
    let found = (0..LOOK_UPS)
        .filter(|n| {
            black_box(merged.index().courses(&request(*n, asked[n % asked.len()].2), NOW).next()).is_some()
        })
        .count();
    let each = (run() - began) * 1e6 / LOOK_UPS as f64;
    assert!(found == LOOK_UPS, "each is about a route that is there");
    report.most("look-up of a request with a route, mean in us", each, 1.0);
    let began = run();
    for n in 0..LOOK_UPS {
        black_box(merged.index().courses(&request(n, u64::MAX - 5), NOW).next());
    }
    let each = (run() - began) * 1e6 / LOOK_UPS as f64;
    report.most("look-up of a request beyond all ranges, mean in us", each, 1.0);
    // Those of subjects for which there are routes, but none for this class, tenant and address.
    let served = |n: &usize, subject| merged.index().courses(&request(*n, subject), NOW).next().is_some();
    let unserved: Vec<(usize, u64)> = (0..20_000)
        .map(|n| (n, rng.random_range(0..1 << 20)))
        .filter(|(n, subject)| !served(n, *subject))
        .collect();
    let began = run();
    for n in 0..LOOK_UPS {
        let (n, subject) = unserved[n % unserved.len()];
        black_box(merged.index().courses(&request(n, subject), NOW).next());
    }
    let each = (run() - began) * 1e6 / LOOK_UPS as f64;
    report.most("look-up of a request that no route serves, mean in us", each, 1.0);
}

/// What one change costs beside readers that hold a snapshot.
fn changes(report: &mut Report, merged: &mut Merged, rng: &mut SmallRng) {
    let (mut least, mut ran, mut took) = (Vec::new(), Vec::new(), Vec::new());
    for n in 0..CHANGES {
        let change = [coming(&route(rng, n % PARTNERS, ROUTES + n))];
        let snapshot = merged.clone();
        // The same change on three copies of the table: what holds the thread up for a moment seldom meets all of them.
        let again = || {
            let (mut copy, began) = (snapshot.clone(), run());
            copy.apply(1, &change).expect("the number");
            (run() - began) * 1e3
        };
        least.push((0..3).map(|_| again()).fold(f64::INFINITY, f64::min));
        let (began, began_run) = (Instant::now(), run());
        merged.apply(1, &change).expect("the number");
        ran.push((run() - began_run) * 1e3);
        took.push(began.elapsed().as_secs_f64() * 1e3);
        drop(snapshot);
    }
    let (worst, median) = worst_and_median(ran);
    report.most("change of one route, median in ms", median, 1.0);
    report.most(
        "change of one route, worst of 2,000, each the least of three times, in ms",
        worst_and_median(least).0,
        1.0,
    );
    report.plain("change of one route, worst of 2,000 made once, in ms", worst);
    report.plain("the same with what others had of the machine, worst in ms", worst_and_median(took).0);
}

/// What each of some pieces takes, in ms.
#[derive(Default)]
struct Pieces(Vec<f64>);

impl Pieces {
    fn time<T>(&mut self, piece: impl FnOnce() -> T) -> T {
        let began = run();
        let done = piece();
        self.0.push((run() - began) * 1e3);
        done
    }

    fn take_up(&mut self, exports: &mut Exports, merged: &Merged) {
        while exports.noted() > 0 {
            self.time(|| {
                let began = Instant::now();
                while exports.noted() > 0 && began.elapsed() < PIECE {
                    exports.work(merged, NOW, STEP);
                }
            });
        }
    }

    /// Steps of what the holder has to do, as its task has them.
    fn go_on(&mut self, leading: &mut Leading, board: &mut Board) {
        self.time(|| {
            let began = Instant::now();
            while !leading.is_done() && began.elapsed() < PIECE {
                leading.go_on(board, AT);
            }
        });
    }

    /// The longest, and all in s.
    fn report(self, report: &mut Report, what: &str) {
        report.plain(&format!("{what}, in s"), self.0.iter().sum::<f64>() / 1e3);
        let (worst, median) = worst_and_median(self.0);
        report.plain(&format!("{what}, median of its pieces in ms"), median);
        report.most(&format!("{what}, longest of its pieces in ms"), worst, HELD);
    }
}

fn changed(held: &Held, change: &dyn Fn(&mut Route)) -> Change {
    let mut route = held.route.as_ref().clone();
    change(&mut route);
    let after = Held { route: Arc::new(route), ..held.clone() };
    Change { before: Some(held.clone()), after: Some(after) }
}

fn nobody(held: &Held) -> Change {
    changed(held, &|route| route.restrictions = Restrictions::one(Restriction::Nobody {}))
}

/// The time from tightened restrictions and withdrawals to the documents that have them, for the last of all partners.
fn tightened(report: &mut Report, merged: &mut Merged, held: &[Held]) {
    let rules = Rules { own: name("home"), sites: Sites::default(), aggregates: Vec::new() };
    let partners: Vec<Name> = (0..PARTNERS).map(|n| name(format!("site-{n}"))).collect();
    let mut exports = Exports::new(rules, partners.clone(), 1);
    let all: Vec<Match> = held.iter().map(|held| held.route.matches.clone()).collect();
    let mut pieces = Pieces::default();
    for some in all.chunks(NOTED) {
        pieces.time(|| exports.note(merged, some));
    }
    pieces.take_up(&mut exports, merged);
    let mut have = Vec::new();
    for to in &partners {
        let first = pieces.time(|| exports.tell(to, None, MOST_CHANGES)).expect("a partner").expect("all");
        let first = first.document();
        have.push(first.version);
        let next = pieces.time(|| exports.tell(to, Some(first.version), MOST_CHANGES));
        assert!(next.expect("a partner").is_none());
    }
    pieces.report(report, "all told to 20 partners for the first time");
    // Chosen ones: what is told is the best for its match.
    let chosen = |held: &&Held| merged.chain(&held.route.matches).first() == Some(*held);
    let chosen: Vec<Held> = held.iter().filter(chosen).take(1 + QUEUE + FLOOD).cloned().collect();
    let (one, more) = chosen.split_first().expect("routes");
    let (queue, flood) = more.split_at(QUEUE);
    let mut pieces = Pieces::default();
    for some in queue.chunks(NOTED) {
        let some: Vec<Change> = some.iter().map(|held| changed(held, &|route| route.capacity += 1)).collect();
        let matches = pieces.time(|| merged.apply(1, &some)).expect("the number");
        pieces.time(|| exports.note(merged, &matches));
    }
    pieces.take_up(&mut exports, merged);
    pieces.report(report, "10,000 changes merged and taken up for 20 partners");
    let began = Instant::now();
    let matches = merged.apply(1, &[nobody(one)]).expect("the number");
    let urgent = exports.changed(merged, &matches, NOW);
    assert_eq!(urgent.len(), PARTNERS - 1, "all but the one that told it");
    let sent = send(&mut exports, &partners, &mut have);
    let took = began.elapsed().as_secs_f64();
    assert_eq!(sent, PARTNERS - 1);
    report.most("tightened to written for all partners, 10,000 changes before it, in s", took, 1.0);
    let began = Instant::now();
    let mut pieces = Pieces::default();
    for some in flood.chunks(NOTED) {
        let going = |held: &Held| Change { before: Some(held.clone()), after: None };
        let one = |(n, held)| if n % 2 == 0 { going(held) } else { nobody(held) };
        let some: Vec<Change> = some.iter().enumerate().map(one).collect();
        let matches = pieces.time(|| merged.apply(1, &some)).expect("the number");
        pieces.time(|| exports.note(merged, &matches));
    }
    pieces.take_up(&mut exports, merged);
    while partners.iter().any(|to| exports.waiting(to).0 > 0) {
        send(&mut exports, &partners, &mut have);
    }
    let took = began.elapsed().as_secs_f64();
    report.most(
        "5,000 withdrawn or tightened at once, to written for all partners, behind the same, in s",
        took,
        1.0,
    );
    pieces.report(report, "the same, before it is written");
}

/// A table of 100,000 routes of one partner, and one of another that tightens a restriction while it is merged.
fn one_of_many(report: &mut Report, rng: &mut SmallRng) {
    let terms = |partner| Terms {
        partner,
        own: name("home"),
        bytes: usize::MAX,
        routes: ROUTES,
        stale_ms: 60_000,
        grants: Vec::new(),
    };
    let names = || (0..PARTNERS).map(|n| name(format!("site-{n}")));
    let terms: BTreeMap<Name, Terms> = names().map(|site| (site.clone(), terms(site))).collect();
    let rules = Rules { own: name("home"), sites: Sites::default(), aggregates: Vec::new() };
    let mut board = Board::default();
    let mut leading = Leading::begin(&mut board, "node", 1, rules.clone(), &terms, AT).expect("the number");
    leading.own_stays();
    let document = |site: &Name, serial, routes: &[Arc<Route>]| Document {
        site: site.clone(),
        version: Version { term: 1, serial },
        from: None,
        count: routes.len(),
        routes: routes.to_vec(),
        gone: Vec::new(),
    };
    let receive = |leading: &mut Leading, board: &mut Board, site: &Name, document: &Document| {
        let lent = leading.lend(site, AT).expect("it is not lent");
        let received = lent.receive(&serde_json::to_vec(document).expect("JSON"));
        let began = run();
        assert_eq!(leading.give_back(board, site, received, AT), None);
        (run() - began) * 1e3
    };
    let sites: Vec<Name> = names().collect();
    let small: Vec<Arc<Route>> = vec![route(rng, 1, 0).route];
    for (n, site) in sites.iter().enumerate().skip(1) {
        let all = if n == 1 { small.clone() } else { Vec::new() };
        receive(&mut leading, &mut board, site, &document(site, 1, &all));
    }
    // Of as many tenants as make it no crowd.
    let one = |n: usize| {
        let mut route = route(rng, 0, n).route.as_ref().clone();
        route.matches.tenant = Some(name(format!("tenant-{}", n / 10)));
        Arc::new(route)
    };
    let all: Vec<Arc<Route>> = (0..ROUTES).map(one).collect();
    let mut pieces = Pieces::default();
    let given_back = receive(&mut leading, &mut board, &sites[0], &document(&sites[0], 1, &all));
    pieces.0.push(given_back);
    (0..10).for_each(|_| pieces.go_on(&mut leading, &mut board));
    let mut tight = small[0].as_ref().clone();
    tight.restrictions = Restrictions::one(Restriction::Nobody {});
    let began = Instant::now();
    receive(&mut leading, &mut board, &sites[1], &document(&sites[1], 2, &[Arc::new(tight)]));
    pieces.go_on(&mut leading, &mut board);
    let took = began.elapsed().as_secs_f64() * 1e3;
    assert!(board.merged().chain(&small[0].matches)[0].route.restrictions.is_for_nobody());
    assert!(leading.is_merging(&sites[0]), "the large one is merged behind it");
    while !leading.is_done() {
        pieces.go_on(&mut leading, &mut board);
    }
    assert_eq!(board.count(&sites[0]).0, ROUTES);
    report.most("another's tightened restriction merged in the middle of these, in ms", took, 100.0);
    pieces.report(report, "100,000 routes of one partner merged and taken up for 20");
    let began = run();
    assert!(Leading::begin(&mut board, "next", 2, rules, &terms, AT).is_ok());
    report.plain("the next holder begins with them, in one piece, in ms", (run() - began) * 1e3);
}

/// One document for each partner, as it is written. What is returned is how many withdrawals were in them.
fn send(exports: &mut Exports, partners: &[Name], have: &mut [Version]) -> usize {
    let mut sent = 0;
    for (to, have) in partners.iter().zip(have) {
        let Some(next) = exports.answer(to, Some(*have), MOST_CHANGES).expect("a partner") else { continue };
        black_box(serde_json::to_vec(&next).expect("JSON"));
        sent += next.gone.len();
        *have = next.version;
    }
    sent
}

/// How many drawn sets: 1,000, or as many as SETS says.
fn sets() -> u64 {
    std::env::var("SETS").ok().and_then(|sets| sets.parse().ok()).unwrap_or(1000)
}

/// A set of 20 sites and 10,000 routes, half of them for requests that others have routes for, is merged and told as by the
/// slow rule; and so is what is left after half of it has changed, tightened or gone.
fn drawn_set(seed: u64) -> Result<(), String> {
    let rng = &mut SmallRng::seed_from_u64(seed);
    let draw = Draw { sites: PARTNERS, classes: 5, tenants: 8, places: 1000, restricted: 8 };
    let pool: Vec<Match> = (0..1000).map(|_| draw.matches(rng)).collect();
    let drawn = |rng: &mut SmallRng, n: usize| {
        let mut one = draw.announced(rng, n % PARTNERS, n);
        if rng.random_ratio(1, 2) {
            let matches = pool[rng.random_range(0..pool.len())].clone();
            one.route = Arc::new(Route { matches, ..one.route.as_ref().clone() });
        }
        one
    };
    let held = |one: &Announced| Held { from: one.from.clone(), route: one.route.clone(), withdrawn: false };
    let mut all: Vec<Announced> = (0..10_000).map(|n| drawn(rng, n)).collect();
    let narrow = Match { class: Some(name("c1")), tenant: Some(name("t1")), ..Match::default() };
    let wider = vec![Aggregate { name: name("wide"), matches: narrow }];
    let rules = Rules { own: name("home"), sites: Sites::new(draw.groups()), aggregates: wider.clone() };
    let mut exports = Exports::new(rules, (0..PARTNERS).map(|n| draw.site(n)), 1);
    let mut merged = Merged::default();
    let changes: Vec<Change> = all.iter().map(|one| coming(&held(one))).collect();
    let matches = merged.apply(1, &changes).expect("the number");
    exports.note(&merged, &matches);
    while exports.noted() > 0 {
        exports.work(&merged, NOW, NOTED);
    }
    agrees(&all, &merged, &mut exports, &wider, &draw, rng, NOW)?;
    let mut changes = Vec::new();
    for (n, one) in all.iter_mut().enumerate().take(5000) {
        let before = Some(held(one));
        *one = drawn(rng, n);
        let after = (n % 2 == 0).then(|| held(one));
        changes.push(Change { before, after });
    }
    let matches = merged.apply(1, &changes).expect("the number");
    exports.changed(&merged, &matches, NOW);
    let left: Vec<Announced> = all
        .iter()
        .enumerate()
        .filter(|(n, _)| *n >= 5000 || n % 2 == 0)
        .map(|(_, one)| one.clone())
        .collect();
    agrees(&left, &merged, &mut exports, &wider, &draw, rng, NOW)
}

fn drawn_sets(report: &mut Report) {
    let (next, differ) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    let threads = std::thread::available_parallelism().map_or(1, |threads| threads.get());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= sets() {
                        break;
                    }
                    if let Err(what) = drawn_set(seed) {
                        println!("set of seed {seed}: {what}");
                        differ.lock().expect("no thread ends early").push(seed);
                    }
                }
            });
        }
    });
    let differ = differ.into_inner().expect("no thread ends early").len();
    report.plain("drawn sets of 20 sites and 10,000 routes held against the slow rule", sets() as f64);
    report.most("those that differ from it", differ as f64, 0.0);
}

fn main() -> ExitCode {
    let mut report = Report::default();
    let rng = &mut SmallRng::seed_from_u64(27);
    let held: Vec<Held> = (0..ROUTES).map(|n| route(rng, n % PARTNERS, n)).collect();
    let all: Vec<Change> = held.iter().map(coming).collect();
    let before = resident();
    let began = Instant::now();
    let mut merged = Merged::default();
    merged.apply(1, &all).expect("the number");
    report.most("100,000 routes of 20 partners merged, in s", began.elapsed().as_secs_f64(), 2.0);
    report.least("routes in it", merged.index().len() as f64, ROUTES as f64);
    report.plain("memory of the merge, in bytes a route", (resident() - before) / ROUTES as f64);
    look_ups(&mut report, &merged, &held, rng);
    changes(&mut report, &mut merged, rng);
    tightened(&mut report, &mut merged, &held);
    drop((merged, held));
    one_of_many(&mut report, rng);
    drawn_sets(&mut report);
    report.end()
}
