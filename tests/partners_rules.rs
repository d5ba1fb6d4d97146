//! Routes of partners without I/O: restrictions, tables, the merge and what each is told, held against a slow rule.

#[path = "rig/partnered.rs"]
mod partnered;
#[path = "rig/partners.rs"]
mod slow;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use partnered::{Announced as Announcements, Broken, Seen, history, judge, judge_left};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use sillflow::fault_injection::{InjectedFault, inject};
use sillflow::route_exchange::admit::Partner;
use sillflow::route_exchange::board::Board;
use sillflow::route_exchange::course::{Asked, Course, Next, Tried};
use sillflow::route_exchange::export::{Aggregate, Exports, MOST_CHANGES, NotTold, Rules};
use sillflow::route_exchange::lead::{Leading, Now};
use sillflow::route_exchange::merge::{Change, Held, Merged, Tables, join};
use sillflow::route_exchange::restrict::{Restriction, Restrictions, Sites, may_tell};
use sillflow::route_exchange::route::{Match, Name, Route};
use sillflow::route_exchange::table::{Document, Grant, Table, Terms, Version};
use slow::{Announced, Draw, agrees, name};

const NOW: u64 = 1000;
const DRAW: Draw = Draw { sites: 6, classes: 3, tenants: 3, places: 40, restricted: 6 };

fn rng(seed: u64) -> SmallRng {
    SmallRng::seed_from_u64(seed)
}

fn restrictions(seed: u64) -> Restrictions {
    let draw = Draw { restricted: 3, ..DRAW };
    draw.restrictions(&mut rng(seed)).into_iter().collect()
}

proptest! {
    #[test]
    fn the_meet_is_that_of_a_lattice(a: u64, b: u64, c: u64) {
        let (a, b, c) = (restrictions(a), restrictions(b), restrictions(c));
        prop_assert_eq!(a.meet(&b), b.meet(&a));
        prop_assert_eq!(a.meet(&b).meet(&c), a.meet(&b.meet(&c)));
        prop_assert_eq!(a.meet(&a), a.clone());
        prop_assert_eq!(a.meet(&Restrictions::default()), a.clone());
        prop_assert_eq!(a.meet(&Restrictions::tightest()), Restrictions::tightest());
        prop_assert!(a.meet(&b).no_looser(&a));
    }

    #[test]
    fn what_is_too_much_to_carry_is_for_nobody_in_any_grouping(seeds in prop::collection::vec(any::<u64>(), 30)) {
        let all: Vec<Restrictions> = seeds.iter().map(|seed| {
            let draw = Draw { restricted: 1, sites: 60, ..DRAW };
            let keep = |one: &Restriction| matches!(one, Restriction::Only { .. } | Restriction::Not { .. });
            draw.restrictions(&mut rng(*seed)).into_iter().filter(keep).collect()
        }).collect();
        let halves = Restrictions::of_all(&all[..15]).meet(&Restrictions::of_all(&all[15..]));
        prop_assert_eq!(&halves, &Restrictions::of_all(all.iter().rev()));
        prop_assert!(halves.is_for_nobody());
    }

    #[test]
    fn a_site_may_have_what_each_restriction_lets_it_have(seed: u64) {
        let mut rng = rng(seed);
        let one = Draw { restricted: 3, ..DRAW }.announced(&mut rng, 0, 1);
        let groups = DRAW.groups();
        for site in (0..DRAW.sites).map(|n| DRAW.site(n)) {
            let may = !one.route.path.contains(&site)
                && one.written.iter().all(|restriction| slow::lets(restriction, &site, &groups, NOW));
            // Tenants that exclude each other leave none, which no restriction says by itself.
            let of_none = one.written.iter().filter(|one| matches!(one, Restriction::Tenants { .. })).count() > 1;
            if !of_none {
                prop_assert_eq!(may_tell(&one.route, &site, &Sites::new(groups.clone()), NOW).is_ok(), may);
            }
        }
    }

    #[test]
    fn a_route_is_read_as_it_was_written(seed: u64) {
        let one = DRAW.announced(&mut rng(seed), 0, 1);
        let document = whole("s0", 1, vec![one.route]);
        let bytes = serde_json::to_vec(&document).expect("JSON");
        let terms = Terms { grants: Vec::new(), ..terms("s0") };
        prop_assert_eq!(terms.read(&bytes).expect("it is good"), document);
    }
}

#[rstest]
#[case(r#"{"kind":"moonlight"}"#)]
#[case(r#"{"kind":"further","sites":3,"by":"night"}"#)]
#[case(r#"{"kind":"unmerged","except":"s9"}"#)]
#[case(r#"{"kind":"only","to":[{"planet":"mars"}]}"#)]
#[case(
    r#"{"kind":"only","to":[]}, {"kind":"until","ms":0}, {"kind":"tenants","names":[]}, {"kind":"unmerged"}"#
)]
#[case(r#"7"#)]
fn what_is_not_understood_is_the_tightest(#[case] text: &str) {
    let read: Restrictions = serde_json::from_str(&format!("[{text}]")).expect("it is read");
    assert_eq!(read, Restrictions::tightest());
}

fn terms(partner: &str) -> Terms {
    Terms {
        partner: name(partner),
        own: name("home"),
        bytes: 100_000,
        routes: 2000,
        stale_ms: 30_000,
        grants: vec![Grant {
            matches: Match { tenant: Some(name("granted")), ..Match::default() },
            to: BTreeSet::from([name("s5")]),
        }],
    }
}

fn whole(site: &str, serial: u64, routes: Vec<Arc<Route>>) -> Document {
    let version = Version { term: 1, serial };
    Document { site: name(site), version, from: None, count: routes.len(), routes, gone: Vec::new() }
}

/// A route for one subject, told by a site.
fn plain(site: &str, n: u64) -> Route {
    let mut rng = rng(0);
    let drawn = DRAW.announced(&mut rng, 0, n as usize).route;
    let mut matches = Match { class: Some(name("c0")), ..Match::default() };
    (matches.subjects.first, matches.subjects.last) = (n, n);
    Route {
        matches,
        path: vec![name(site)],
        restrictions: Restrictions::default(),
        preference: 1,
        ..drawn.as_ref().clone()
    }
}

fn many(site: &str, count: u64) -> Vec<Arc<Route>> {
    (0..count).map(|n| Arc::new(plain(site, n))).collect()
}

#[rstest]
#[case("a loop", r#"{"path":["s0","home"]}"#, "path: is a loop")]
#[case("a path without the partner", r#"{"path":["s1"]}"#, "path: does not begin")]
#[case("a site twice", r#"{"path":["s0","s1","s1"]}"#, "path: has a site twice")]
#[case("a loop of a part", r#"{"through":["home"]}"#, "path: is a loop")]
#[case("given to another", r#"{"match":{"tenant":"granted"}}"#, "match: is given to s5")]
#[case("given to another in part", r#"{"match":{}}"#, "match: is given to s5")]
#[case("no servers", r#"{"servers":[]}"#, "servers: names none")]
#[case("no address", r#"{"servers":["here"]}"#, "servers[0]: invalid socket address")]
#[case("no capacity", r#"{"capacity":0}"#, "capacity: is 0")]
#[case("a negative one", r#"{"capacity":-4}"#, "capacity: invalid value")]
#[case(
    "a range backwards",
    r#"{"match":{"tenant":"t","subjects":{"first":9,"last":1}}}"#,
    "subjects: 9 is after 1"
)]
#[case("no prefix", r#"{"match":{"addresses":"10.0.0.0/99"}}"#, "match.addresses: ")]
#[case("an unknown field of a match", r#"{"match":{"method":"get"}}"#, "match.method: unknown field")]
fn a_route_that_cannot_be_used_is_named(#[case] what: &str, #[case] fields: &str, #[case] says: &str) {
    let with_tenant = |n| {
        let mut route = plain("s0", n);
        route.matches.tenant = Some(name("t0"));
        Arc::new(route)
    };
    let document = whole("s0", 2, vec![with_tenant(1), with_tenant(2)]);
    let mut json = serde_json::to_value(document).expect("JSON");
    let fields: serde_json::Value = serde_json::from_str(fields).expect("JSON");
    for (field, value) in fields.as_object().expect("an object") {
        json["routes"][1][field] = value.clone();
    }
    let refused = terms("s0").read(json.to_string().as_bytes()).expect_err(what);
    let text = refused.to_string();
    assert!(text.starts_with("partner s0, route r2, ") && text.contains(says), "{what}: {text}");
}

#[rstest]
fn a_document_that_cannot_be_used_is_turned_down_and_the_last_good_table_stays_for_its_time() {
    let mut partner = Partner::new(terms("s0"));
    let send = |document: &Document| serde_json::to_vec(document).expect("JSON");
    let routes: Vec<Arc<Route>> = many("s0", 3).into_iter().map(of_tenant).collect();
    let (taken, refused) = partner.receive(&send(&whole("s0", 5, routes.clone())), 0);
    assert_eq!((taken.changes.len(), refused), (3, None));
    let half = Document { count: 4, ..whole("s0", 6, routes.clone()) };
    let other_base = Document { from: Some(Version { term: 1, serial: 4 }), ..whole("s0", 6, vec![]) };
    let too_many: Vec<Arc<Route>> = many("s0", 2001).into_iter().map(of_tenant).collect();
    let cut = &send(&whole("s0", 6, routes.clone()))[..200];
    for (bytes, field) in [
        (send(&whole("s0", 4, routes.clone())), "version: "),
        (send(&half), "count: "),
        (send(&other_base), "from: "),
        (send(&whole("s1", 6, vec![])), "site: "),
        (vec![b' '; 100_001], "bytes: "),
        (cut.to_vec(), "EOF"),
        (b"[]".to_vec(), "partner s0"),
    ] {
        let (taken, refused) = partner.receive(&bytes, 10);
        let text = refused.expect("it is turned down").to_string();
        assert!(text.contains(field) && taken.changes.is_empty(), "{text}");
    }
    let mut wide = terms("s0");
    wide.bytes = 10_000_000;
    let refused = wide.read(&send(&whole("s0", 6, too_many))).expect_err("too many");
    assert!(refused.to_string().contains("routes: 2001 are over 2000"), "{refused}");
    assert_eq!(partner.stale_for(20), Some(10));
    assert_eq!(partner.in_force().count(), 3);
    assert!(partner.tick(10 + 29_999).is_empty());
    assert_eq!(partner.tick(10 + 30_000).len(), 3);
    assert_eq!(partner.in_force().count(), 0);
    // The same table once more is as good as a new one, an older one is not.
    assert!(partner.receive(&send(&whole("s0", 4, routes.clone())), 50_000).1.is_some());
    let (taken, refused) = partner.receive(&send(&whole("s0", 5, routes)), 50_000);
    assert_eq!((taken.changes.len(), refused, partner.stale_for(50_000)), (3, None, None));
}

fn of_tenant(route: Arc<Route>) -> Arc<Route> {
    let mut route = route.as_ref().clone();
    route.matches.tenant = Some(name("t0"));
    Arc::new(route)
}

#[rstest]
fn what_a_bad_table_makes_tighter_is_in_force_all_the_same() {
    let mut partner = Partner::new(terms("s0"));
    let mut routes: Vec<Arc<Route>> = many("s0", 3).into_iter().map(of_tenant).collect();
    partner.receive(&serde_json::to_vec(&whole("s0", 5, routes.clone())).expect("JSON"), 0);
    let tight =
        Route { restrictions: Restrictions::one(Restriction::Nobody {}), ..routes[0].as_ref().clone() };
    routes[0] = Arc::new(tight);
    let bad = Route { capacity: 0, ..routes[2].as_ref().clone() };
    routes[2] = Arc::new(bad);
    let (taken, refused) = partner.receive(&serde_json::to_vec(&whole("s0", 6, routes)).expect("JSON"), 1);
    assert!(refused.is_some());
    let after: Vec<&Held> = taken.changes.iter().filter_map(|change| change.after.as_ref()).collect();
    assert_eq!(after.len(), 1);
    assert!(after[0].route.restrictions.is_for_nobody());
    assert_eq!(partner.asks_after(), None, "the whole table is asked for");
}

#[rstest]
fn what_is_withdrawn_all_at_once_is_used_for_a_while_and_told_to_nobody() {
    let mut partner = Partner::new(terms("s0"));
    partner.take(&whole("s0", 1, many("s0", 20)), 0).expect("good");
    let taken = partner.take(&whole("s0", 2, vec![]), 100).expect("good");
    assert_eq!((taken.kept, taken.changes.len()), (20, 20));
    assert!(partner.in_force().all(|held| held.withdrawn));
    assert_eq!(partner.tick(100 + 30_000).len(), 20);
    let few = many("s0", 4);
    partner.take(&whole("s0", 3, few), 40_000).expect("good");
    let taken = partner.take(&whole("s0", 4, vec![]), 100_000).expect("good");
    assert_eq!((taken.kept, partner.in_force().count()), (0, 0));
}

#[rstest]
fn a_route_that_flaps_is_left_out_until_it_is_calm_and_costs_the_others_nothing() {
    let mut partner = Partner::new(terms("s0"));
    let (flaps, calm) = (Arc::new(plain("s0", 1)), Arc::new(plain("s0", 2)));
    let mut changes = 0;
    for turn in 0..200u64 {
        let routes = if turn % 2 == 0 { vec![flaps.clone(), calm.clone()] } else { vec![calm.clone()] };
        let taken = partner.take(&whole("s0", turn + 1, routes), turn * 100).expect("good");
        changes += taken.changes.len();
    }
    assert!(changes < 10, "{changes}");
    assert_eq!(partner.in_force().count(), 1);
    partner.take(&whole("s0", 300, vec![flaps, calm]), 20_000).expect("good");
    assert_eq!(partner.tick(30_000).len(), 0);
    assert_eq!(partner.tick(20_000 + 26_000).len(), 1, "within 2.6 half-lives");
    assert_eq!(partner.in_force().count(), 2);
}

#[rstest]
fn one_partner_cannot_crowd_the_look_up() {
    let mut partner = Partner::new(terms("s0"));
    let alike = |n: u64| {
        let mut route = plain("s0", n);
        (route.matches.subjects.first, route.matches.subjects.last) = (n, n + 1000);
        Arc::new(route)
    };
    let refused = partner.take(&whole("s0", 1, (0..20).map(alike).collect()), 0).expect_err("too alike");
    assert!(refused.to_string().contains("match: is over 16 routes"), "{refused}");
    partner.take(&whole("s0", 1, (0..10).map(alike).collect()), 0).expect("they are fewer");
}

/// Tables of drawn announcements.
fn drawn(seed: u64, sites: usize, each: usize) -> (Vec<Announced>, Tables) {
    let mut rng = rng(seed);
    let draw = Draw { sites, ..DRAW };
    let all: Vec<Announced> = (0..sites)
        .flat_map(|site| (0..each).map(move |n| (site, n)))
        .map(|(site, n)| draw.announced(&mut rng, site, n))
        .collect();
    let mut tables = Tables::new();
    for one in &all {
        let table = tables.entry(one.from.clone()).or_default();
        table.version = Version { term: 1, serial: 1 };
        table.routes.insert(one.route.name.clone(), one.route.clone());
    }
    (all, tables)
}

fn coming(one: &Announced) -> Change {
    let after = Held { from: one.from.clone(), route: one.route.clone(), withdrawn: false };
    Change { before: None, after: Some(after) }
}

fn going(one: &Announced) -> Change {
    let Change { before, after } = coming(one);
    Change { before: after, after: before }
}

fn same(one: &Merged, two: &Merged, all: &[Announced]) -> bool {
    one.index().len() == two.index().len()
        && all.iter().all(|it| one.chain(&it.route.matches) == two.chain(&it.route.matches))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    #[test]
    fn the_merge_is_a_function_of_the_set_of_tables(seed: u64) {
        let (mut all, tables) = drawn(seed, 5, 20);
        let (_, newer) = drawn(seed + 1, 5, 20);
        let newer: Tables = newer.into_iter().map(|(site, table)| {
            let serial = 1 + u64::from(site.as_str() > "s2");
            (site, Table { version: Version { term: 1, serial }, ..table })
        }).collect();
        let third = drawn(seed + 2, 3, 20).1;
        prop_assert_eq!(join(&tables, &newer), join(&newer, &tables));
        prop_assert_eq!(join(&join(&tables, &newer), &third), join(&tables, &join(&newer, &third)));
        prop_assert_eq!(join(&tables, &tables), tables.clone());
        let whole = Merged::of(&tables);
        let mut rng = rng(seed);
        // What comes and goes in another order, some of it twice, comes to the same.
        let (others, _) = drawn(seed + 3, 5, 10);
        let others: Vec<Announced> = others.into_iter().map(|mut one| {
            let route = Route { name: name(format!("x{}", one.route.name)), ..one.route.as_ref().clone() };
            one.route = Arc::new(route);
            one
        }).collect();
        let mut changed = Merged::default();
        all.shuffle(&mut rng);
        changed.apply(1, &others.iter().map(coming).collect::<Vec<_>>()).expect("the number");
        changed.apply(1, &all.iter().map(coming).collect::<Vec<_>>()).expect("the number");
        changed.apply(2, &others.iter().map(going).collect::<Vec<_>>()).expect("the number");
        changed.apply(2, &all[..30].iter().map(coming).collect::<Vec<_>>()).expect("the number");
        prop_assert!(same(&whole, &changed, &all));
        prop_assert!(changed.apply(1, &all.iter().map(going).collect::<Vec<_>>()).is_err());
        prop_assert!(same(&whole, &changed, &all));
        changed.apply(2, &all.iter().map(going).collect::<Vec<_>>()).expect("the number");
        prop_assert!(changed.index().is_empty());
    }
}

fn wider() -> Vec<Aggregate> {
    let class = |n: usize| Some(name(format!("c{n}")));
    let all = |class| Match { class, ..Match::default() };
    vec![
        Aggregate { name: name("all-c0"), matches: all(class(0)) },
        Aggregate { name: name("all"), matches: all(None) },
    ]
}

fn rules(draw: &Draw) -> Rules {
    Rules { own: name("home"), sites: Sites::new(draw.groups()), aggregates: wider() }
}

#[rstest]
#[case(DRAW, 25)]
// So many of one class and tenant that they are one list at one time and not at another.
#[case(Draw { classes: 1, tenants: 1, places: 400, ..DRAW }, 40)]
// So many classes of one tenant that they are no flat table at one time, and one at another.
#[case(Draw { classes: 400, tenants: 1, places: 400, ..DRAW }, 60)]
fn drawn_sets_are_merged_looked_up_and_told_as_by_the_slow_rule(#[case] draw: Draw, #[case] each: usize) {
    for seed in 0..20 {
        let mut rng = rng(seed);
        let mut away: Vec<Announced> = (0..draw.sites)
            .flat_map(|site| (0..each).map(move |n| (site, n)))
            .map(|(site, n)| draw.announced(&mut rng, site, n))
            .collect();
        let mut merged = Merged::default();
        let mut exports = Exports::new(rules(&draw), (0..draw.sites).map(|n| draw.site(n)), 1);
        let mut there: Vec<Announced> = Vec::new();
        for step in 0..12 {
            // More and more of them, and then fewer.
            for _ in 0..each {
                let comes = rng.random_ratio(if step < 7 { 3 } else { 1 }, 4);
                let (from, to, change): (_, _, fn(&Announced) -> Change) =
                    if comes { (&mut away, &mut there, coming) } else { (&mut there, &mut away, going) };
                if from.is_empty() {
                    continue;
                }
                let one = from.swap_remove(rng.random_range(0..from.len()));
                let matches = merged.apply(1, &[change(&one)]).expect("the number");
                if rng.random_ratio(1, 2) {
                    exports.changed(&merged, &matches, NOW);
                } else {
                    exports.note(&merged, &matches);
                }
                to.push(one);
            }
            while exports.noted() > 0 {
                exports.work(&merged, NOW, 7);
            }
            let agreed = agrees(&there, &merged, &mut exports, &wider(), &draw, &mut rng, NOW);
            assert_eq!(agreed, Ok(()), "seed {seed}, step {step}");
        }
    }
}

fn told_home(count: u64) -> (Merged, Exports, Vec<Announced>) {
    let one = |route: Arc<Route>| Announced { from: name("s0"), route, written: Vec::new() };
    let all: Vec<Announced> = many("s0", count).into_iter().map(one).collect();
    let mut merged = Merged::default();
    let matches = merged.apply(7, &all.iter().map(coming).collect::<Vec<_>>()).expect("the number");
    let rules = Rules { own: name("home"), sites: Sites::default(), aggregates: Vec::new() };
    let mut exports = Exports::new(rules, [name("s0"), name("s1")], 7);
    exports.changed(&merged, &matches, NOW);
    (merged, exports, all)
}

fn changed_to(one: &Announced, change: impl Fn(&mut Route)) -> Change {
    let mut route = one.route.as_ref().clone();
    change(&mut route);
    let before = going(one).before;
    let after = before.clone().map(|held| Held { route: Arc::new(route), ..held });
    Change { before, after }
}

#[rstest]
fn a_tightened_restriction_and_a_withdrawal_go_before_all_that_waits() {
    let (mut merged, mut exports, all) = told_home(10_002);
    let to = name("s1");
    let first = exports.answer(&to, None, 1000).expect("a partner").expect("all");
    assert_eq!(first.routes.len(), 10_002);
    assert!(exports.answer(&to, Some(first.version), 1000).expect("a partner").is_none());
    let mut changes: Vec<Change> =
        all[2..].iter().map(|one| changed_to(one, |route| route.capacity += 1)).collect();
    let nobody =
        |route: &mut Route| route.restrictions = Restrictions::one(Restriction::Further { sites: 1 });
    changes.push(changed_to(&all[0], nobody));
    changes.push(going(&all[1]));
    let matches = merged.apply(7, &changes).expect("the number");
    assert_eq!(exports.changed(&merged, &matches, NOW), std::slice::from_ref(&to));
    assert_eq!(exports.waiting(&to), (2, 10_000));
    let next = exports.answer(&to, Some(first.version), 1000).expect("a partner").expect("more");
    assert_eq!(next.gone.len(), 1);
    assert!(next.routes.iter().any(|route| route.restrictions.is_for_nobody()), "the tightened one is in it");
    assert_eq!(next.routes.len(), 999);
    assert_eq!(exports.waiting(&to), (0, 9002));
}

#[rstest]
fn a_withdrawal_that_waits_is_found() {
    inject(Some(InjectedFault::WithdrawalWaits));
    let (mut merged, mut exports, all) = told_home(2000);
    let to = name("s1");
    let first = exports.answer(&to, None, 1000).expect("a partner").expect("all");
    let mut changes: Vec<Change> =
        all[..1999].iter().map(|one| changed_to(one, |route| route.capacity += 1)).collect();
    changes.push(going(&all[1999]));
    let matches = merged.apply(7, &changes).expect("the number");
    exports.changed(&merged, &matches, NOW);
    let next = exports.answer(&to, Some(first.version), 1000).expect("a partner").expect("more");
    inject(None);
    assert!(next.gone.is_empty(), "the withdrawal is behind the queue");
}

#[rstest]
fn a_flood_of_withdrawals_goes_before_all_that_waits_in_the_order_in_which_it_came() {
    let (mut merged, mut exports, all) = told_home(13_500);
    let to = name("s1");
    let mut have = exports.answer(&to, None, MOST_CHANGES).expect("a partner").expect("all").version;
    let (queue, flood) = all.split_at(10_000);
    let changes: Vec<Change> = queue.iter().map(|one| changed_to(one, |route| route.capacity += 1)).collect();
    let matches = merged.apply(7, &changes).expect("the number");
    exports.changed(&merged, &matches, NOW);
    // The last in the table's order is the first to come, and would be the last to go by it.
    for (n, one) in flood.iter().rev().enumerate() {
        let no_further =
            |route: &mut Route| route.restrictions = Restrictions::one(Restriction::Further { sites: 1 });
        let change = if n % 2 == 0 { going(one) } else { changed_to(one, no_further) };
        let matches = merged.apply(7, &[change]).expect("the number");
        exports.changed(&merged, &matches, NOW);
    }
    assert_eq!(exports.waiting(&to), (3500, 10_000));
    for (first, gone) in [(12_500, 500), (11_500, 500), (10_500, 500), (10_000, 250)] {
        let next = exports.answer(&to, Some(have), MOST_CHANGES).expect("a partner").expect("more");
        have = next.version;
        assert_eq!((exports.waiting(&to).0, next.gone.len()), (first - 10_000, gone));
        assert_eq!(next.routes.len() + next.gone.len(), MOST_CHANGES);
        let urgent: Vec<&Arc<Route>> =
            next.routes.iter().filter(|route| route.restrictions.is_for_nobody()).collect();
        assert_eq!(urgent.len(), gone);
        assert!(urgent.iter().all(|route| route.matches.subjects.first >= first as u64));
    }
    assert_eq!(exports.waiting(&to), (0, 9500));
}

#[rstest]
fn all_that_is_noted_is_taken_up_in_pieces_and_nobody_is_told_half_a_table() {
    let (merged, whole, all) = told_home(1000);
    let to = name("s1");
    let rules = Rules { own: name("home"), sites: Sites::default(), aggregates: Vec::new() };
    let mut exports = Exports::new(rules, [name("s0"), to.clone()], 7);
    let matches: Vec<Match> = all.iter().map(|one| one.route.matches.clone()).collect();
    exports.note(&merged, &matches);
    exports.note(&merged, &matches[..10]);
    assert_eq!(exports.noted(), 1000);
    for left in (0..10).rev() {
        assert_eq!(exports.answer(&to, None, MOST_CHANGES).expect("a partner"), None);
        exports.work(&merged, NOW, 100);
        assert_eq!(exports.noted(), left * 100);
    }
    let told = exports.answer(&to, None, MOST_CHANGES).expect("a partner").expect("all");
    let at_once = whole.clone().answer(&to, None, MOST_CHANGES).expect("a partner").expect("all");
    assert_eq!((told.routes.len(), &told.routes), (1000, &at_once.routes));
    // What has been told is looked at first: only that can be urgent.
    let mut merged = merged;
    let fresh: Vec<Announced> =
        (5000..5050).map(|n| Announced { route: Arc::new(plain("s0", n)), ..all[0].clone() }).collect();
    let mut changes: Vec<Change> = fresh.iter().map(coming).collect();
    changes.push(going(&all[500]));
    let matches = merged.apply(7, &changes).expect("the number");
    exports.note(&merged, &matches);
    assert_eq!(exports.work(&merged, NOW, 1), std::slice::from_ref(&to));
    assert_eq!((exports.waiting(&to), exports.noted()), ((1, 0), 50));
    let next = exports.answer(&to, Some(told.version), MOST_CHANGES).expect("a partner").expect("it");
    assert_eq!((next.gone.len(), next.routes.len()), (1, 0));
    // A change that is taken up at once is not taken up again.
    exports.changed(&merged, &[fresh[0].route.matches.clone()], NOW);
    assert_eq!((exports.waiting(&to), exports.noted()), ((0, 1), 49));
}

#[rstest]
fn a_large_table_holds_up_neither_anothers_changes_nor_what_is_urgent() {
    const AT: Now = Now { own: NOW, utc: NOW };
    let terms =
        |site| (name(site), Terms { bytes: 1 << 30, routes: 10_000, grants: Vec::new(), ..terms(site) });
    let terms: BTreeMap<Name, Terms> = ["s0", "s1"].map(terms).into();
    let rules = Rules { own: name("home"), sites: Sites::default(), aggregates: Vec::new() };
    let mut board = Board::default();
    let mut leading = Leading::begin(&mut board, "node", 1, rules, &terms, AT).expect("the number");
    leading.own_stays();
    let send = |leading: &mut Leading, board: &mut Board, document: Document| {
        let lent = leading.lend(&document.site, AT).expect("all before is merged");
        assert!(leading.lend(&document.site, AT).is_none(), "it is lent");
        let received = lent.receive(&serde_json::to_vec(&document).expect("JSON"));
        assert_eq!(leading.give_back(board, &document.site, received, AT), None);
    };
    let mut other = many("s1", 2);
    send(&mut leading, &mut board, whole("s0", 1, many("s0", 9_000)));
    send(&mut leading, &mut board, whole("s1", 1, other.clone()));
    (0..4).for_each(|_| leading.go_on(&mut board, AT));
    assert!(board.count(&name("s0")).0 > 0 && leading.is_merging(&name("s0")));
    assert_eq!(board.count(&name("s1")), (2, 0));
    assert!(!leading.is_settled(AT), "one table is half merged");
    other[0] = Arc::new(Route { restrictions: Restrictions::tightest_export(), ..plain("s1", 0) });
    send(&mut leading, &mut board, whole("s1", 2, other));
    leading.go_on(&mut board, AT);
    assert!(board.of(&name("s1")).any(|held| held.route.restrictions.is_for_nobody()));
    assert!(leading.is_merging(&name("s0")));
    while !leading.is_done() {
        leading.go_on(&mut board, AT);
    }
    assert_eq!((board.count(&name("s0")), board.count(&name("s1"))), ((9_000, 0), (2, 0)));
    assert!(leading.is_settled(AT));
    let told = leading.tell(&name("s1"), None).expect("a partner").expect("all").document();
    assert_eq!((told.routes.len(), told.count), (9_000, 9_000));
}

#[rstest]
fn what_was_never_told_leaves_no_trace_and_what_was_lost_on_the_way_is_told_again() {
    let (mut merged, mut exports, all) = told_home(3);
    let to = name("s1");
    let first = exports.answer(&to, None, 1000).expect("a partner").expect("all");
    let fleeting = Announced { route: Arc::new(plain("s0", 77)), ..all[0].clone() };
    let mut change = |exports: &mut Exports, change: Change| {
        let matches = merged.apply(7, &[change]).expect("the number");
        exports.changed(&merged, &matches, NOW);
    };
    change(&mut exports, coming(&fleeting));
    change(&mut exports, going(&fleeting));
    assert!(exports.answer(&to, Some(first.version), 1000).expect("a partner").is_none());
    change(&mut exports, coming(&fleeting));
    change(&mut exports, going(&all[0]));
    let lost = exports.answer(&to, Some(first.version), 1).expect("a partner").expect("the withdrawal");
    assert_eq!((lost.gone.len(), lost.routes.len()), (1, 0));
    change(&mut exports, going(&fleeting));
    let again = exports.answer(&to, Some(first.version), 1000).expect("a partner").expect("it again");
    assert!(again.version > lost.version);
    assert_eq!((again.gone.len(), again.routes.len(), again.from), (1, 0, Some(first.version)));
    assert!(exports.answer(&to, Some(again.version), 1000).expect("a partner").is_none());
    // A node that no longer has the duty says nothing, and one that has it now begins with the whole.
    let newer = Some(Version { term: 8, serial: 1 });
    assert_eq!(exports.answer(&to, newer, 9), Err(NotTold::Superseded { seen: 8, number: 7 }));
    let unknown =
        exports.answer(&to, Some(Version { term: 6, serial: 9 }), 9).expect("a partner").expect("all");
    assert_eq!((unknown.from, unknown.routes.len()), (None, 2));
    assert!(exports.answer(&name("s9"), None, 9).is_err());
}

#[rstest]
fn a_route_is_withdrawn_when_its_time_ends() {
    let (mut merged, mut exports, all) = told_home(2);
    let to = name("s1");
    let until =
        |route: &mut Route| route.restrictions = Restrictions::one(Restriction::Until { ms: NOW + 5 });
    let matches = merged.apply(7, &[changed_to(&all[0], until)]).expect("the number");
    exports.changed(&merged, &matches, NOW);
    let first = exports.answer(&to, None, 1000).expect("a partner").expect("all");
    assert_eq!(first.routes.len(), 2);
    exports.tick(&merged, NOW + 4);
    assert_eq!(exports.waiting(&to), (0, 0));
    exports.tick(&merged, NOW + 5);
    assert_eq!(exports.waiting(&to), (1, 0));
}

#[rstest]
#[case(false, Tried::MayHaveRun, true)]
#[case(true, Tried::NotRun, true)]
#[case(true, Tried::MayHaveRun, false)]
fn a_request_goes_to_each_site_once_from_one_table(
    #[case] keyed: bool,
    #[case] tried: Tried,
    #[case] goes_on: bool,
) {
    let mut merged = Merged::default();
    let held = |site: &str, preference| {
        let route = Arc::new(Route { preference, ..plain(site, 1) });
        let after = Some(Held { from: name(site), route, withdrawn: false });
        Change { before: None, after }
    };
    merged.apply(1, &[held("s0", 1), held("s1", 3), held("s2", 2)]).expect("the number");
    let (chosen, over) = merged.explain(&plain("s0", 1).matches).expect("one");
    assert_eq!((chosen.from.as_str(), over.len()), ("s1", 2));
    let mut course = Course::new(Arc::new(merged.clone()), NOW);
    merged.apply(1, &[held("s3", 9)]).expect("the number");
    let address = "10.0.0.1".parse().expect("an address");
    let asked = Asked { class: "c0", tenant: None, subject: Some(1), address: Some(address) };
    let mut next = |tried| match course.next(&asked, !keyed, tried, NOW, |held| Some(held.from.clone())) {
        Next::To(site) => Some(site),
        Next::Nowhere | Next::Unserved => None,
    };
    assert_eq!(next(Tried::Nothing), Some(name("s1")));
    assert_eq!(next(tried), goes_on.then(|| name("s2")));
    if goes_on {
        assert_eq!(next(tried), Some(name("s0")));
        assert_eq!(next(tried), None);
    }
}

#[rstest]
fn readers_keep_the_table_that_they_began_with() {
    let in_force = sillflow::route_exchange::lookup::InForce::default();
    let (merged, ..) = told_home(3);
    in_force.set(merged);
    let before = in_force.get();
    in_force.set(Merged::default());
    assert_eq!((before.index().len(), in_force.get().index().len()), (3, 0));
}

#[rstest]
fn names_are_bounded() {
    assert!(
        Name::try_from("x".repeat(65)).is_err()
            && Name::try_from("a b").is_err()
            && Name::try_from("").is_err()
    );
}

/// How many histories: 20, or as many as COUNT says.
fn count() -> u64 {
    std::env::var("COUNT").ok().and_then(|count| count.parse().ok()).unwrap_or(20)
}

#[rstest]
fn no_route_is_where_it_may_not_be_in_any_history() {
    let next = AtomicU64::new(0);
    let histories = || {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= count() {
                break;
            }
            let (broken, missing, restless) = history(seed, 600);
            assert!(broken.is_empty(), "seed {seed}: {} broken, first {:?}", broken.len(), broken.first());
            assert_eq!((missing, restless), (0, 0), "seed {seed}");
        }
    };
    let threads = std::thread::available_parallelism().map_or(1, |threads| threads.get());
    std::thread::scope(|scope| (0..threads).for_each(|_| drop(scope.spawn(histories))));
}

#[rstest]
#[case(InjectedFault::MeetIsJoin)]
#[case(InjectedFault::AggregateLoses)]
#[case(InjectedFault::StaleForEver)]
#[case(InjectedFault::NotDecreased)]
#[case(InjectedFault::LoopIsTold)]
#[case(InjectedFault::UnmergedIsMerged)]
#[case(InjectedFault::WithdrawalWaits)]
fn a_planted_error_is_found(#[case] error: InjectedFault) {
    inject(Some(error));
    let found = (0..20).any(|seed| {
        // A loop is turned down where it comes: what is seen is that routes are missing there.
        let (broken, missing, restless) = history(seed, 600);
        !broken.is_empty() || missing + restless > 0
    });
    inject(None);
    assert!(found, "{error:?}");
}

#[rstest]
#[case("as announced", 500, 1, |_: &mut Route| {}, None)]
#[case("long after its withdrawal", 90_000, 1, |_: &mut Route| {}, Some(Broken::NotForIt(name("s2"))))]
#[case("too late over a link that is up", 3_000, 9_000, |_: &mut Route| {}, Some(Broken::NotForIt(name("s2"))))]
#[case("too far", 500, 1, |route: &mut Route| route.path.insert(0, name("s1")), Some(Broken::NotForIt(name("s2"))))]
#[case("a loop", 500, 1, |route: &mut Route| route.path.insert(0, name("s2")), Some(Broken::Loop(name("s2"))))]
#[case("nobody's", 500, 1, |route: &mut Route| route.servers = ["127.9.9.9:1".parse().expect("one")].into(),
    Some(Broken::Invented(name("s2"))))]
#[case("merged", 500, 1, |route: &mut Route| route.through = [name("s4")].into(), Some(Broken::NotForIt(name("s2"))))]
fn the_checker_finds_what_breaks_the_rule(
    #[case] what: &str,
    #[case] at: u64,
    #[case] up: u64,
    #[case] spoil: fn(&mut Route),
    #[case] finds: Option<Broken>,
) {
    let mut route = plain("s0", 1);
    let server = *route.servers.first().expect("one");
    let written = vec![Restriction::Further { sites: 1 }, Restriction::Unmerged {}];
    let spans = vec![(0, Some(written)), (1000, None)];
    let announced = Announcements::from([(server, (name("s0"), route.matches.clone(), spans))]);
    spoil(&mut route);
    let seen = Seen { at, site: name("s2"), route: Arc::new(route), up };
    assert_eq!(judge(&announced, &DRAW.groups(), &seen), finds, "{what}");
}

#[rstest]
#[case("as the one before has it", 1500, 9000, 1, None)]
#[case("longer than that", 3000, 9000, 1, Some(Broken::Left(name("s2"))))]
#[case("over a link that came up just now", 3000, 1000, 1, None)]
#[case("never there", 500, 9000, 0, Some(Broken::Left(name("s2"))))]
fn the_checker_finds_what_the_one_before_has_no_longer(
    #[case] what: &str,
    #[case] at: u64,
    #[case] up: u64,
    #[case] times: usize,
    #[case] finds: Option<Broken>,
) {
    let mut route = plain("s0", 1);
    route.path.insert(0, name("s1"));
    let server = *route.servers.first().expect("one");
    let had = std::iter::once(((name("s1"), server), 1000)).take(times).collect();
    let seen = Seen { at, site: name("s2"), route: Arc::new(route), up };
    assert_eq!(judge_left(&seen, &had), finds, "{what}");
}
