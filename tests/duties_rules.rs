//! What is decided of duties: leases, numbers, who gets what; histories in simulated time, and planted errors.

#[path = "rig/duties.rs"]
#[allow(dead_code)]
mod duties;

use std::collections::BTreeMap;

use duties::{Broken, Plant, Seen, gaps, history, judge};
use proptest::prelude::*;
use rstest::rstest;
use sillflow::lease::expiry::{self, Watch};
use sillflow::lease::own::Own;
use sillflow::lease::table::{Deed, Fit, Grant, Grants, Refused, Standing, State, Table, Work};
use sillflow::lease::{DutyName, Fence, Guard, Stale, Vouched};

const LEASE: u64 = 1000;

fn name(n: usize) -> DutyName {
    DutyName::new(format!("d{n}")).expect("a name")
}

fn all(_: &str, _: u64) -> bool {
    true
}

fn fence(number: u64) -> Fence {
    Fence { duty: name(0), number }
}

fn open(n: u64, weight: u8) -> Deed {
    let node = format!("n{n}");
    Deed::Open { session: n, node, incarnation: n, weight, lease_ms: LEASE, still_most: 3, fit: Fit::Ready }
}

fn renewed(table: &Table, n: u64) -> u64 {
    table.session(n).map_or(0, |session| session.renewed)
}

fn expire(table: &mut Table, n: u64) {
    let renewed = renewed(table, n);
    table.apply(Deed::Expire { session: n, renewed }, &all).expect("no error");
}

fn renew(n: u64, fit: Fit, work: Vec<Work>) -> Deed {
    Deed::Renew { session: n, fit, work }
}

#[test]
fn a_session_that_is_asked_for_again_is_not_ended_by_the_time_of_its_first_question() {
    let mut table = table(1, 1);
    let (mut watch, mut own) = (Watch::default(), Own::default());
    own.begin(1);
    assert_eq!(watch.look(0, &table), []);
    // The answer to the first question never came: the node asks again, and may act by the second one.
    table.apply(open(1, 1), &all).expect("it is there");
    own.turn_to(table.grants(1).expect("it lives"));
    own.renewed(1, LEASE - 100, LEASE);
    let held = own.held().next().expect("a duty");
    assert_eq!(watch.look(LEASE - 99, &table), []);
    for now in (LEASE - 99..2 * LEASE - 100).step_by(50) {
        for deed in watch.look(now, &table) {
            table.apply(deed, &all).expect("no error");
        }
        assert!(own.may(now, &held) && table.session(1).is_some(), "at {now} ms");
    }
}

#[rstest]
fn a_member_vouches_for_the_holder_under_its_number_alone() {
    let mut table = table(1, 2);
    let held = |table: &Table| {
        let by = table.duty(&name(0)).and_then(|duty| Some((duty.number, duty.state.holder()?)));
        by.expect("it is held")
    };
    let (number, by) = held(&table);
    let (node, other) = (format!("n{by}"), format!("n{}", 3 - by));
    let vouch = |table: &Table, number, node: &str| table.vouch(&name(0), number, node);
    assert_eq!(vouch(&table, number, &node), Vouched::Holds);
    assert_eq!(vouch(&table, number, &other), Vouched::Not);
    assert_eq!(vouch(&table, number + 1, &node), Vouched::Unknown);
    assert_eq!(vouch(&table, u64::MAX, &other), Vouched::Unknown);
    assert_eq!(table.vouch(&name(7), number, &node), Vouched::Unknown);
    expire(&mut table, by);
    let (next, after) = held(&table);
    assert!(next > number && after != by);
    assert_eq!(vouch(&table, next, &other), Vouched::Holds);
    assert_eq!([vouch(&table, number, &node), vouch(&table, next, &node)], [Vouched::Not; 2]);
}

fn table(duties: usize, nodes: u64) -> Table {
    let mut table = Table::default();
    (1..=nodes).for_each(|n| table.apply(open(n, 1), &all).expect("room"));
    table.apply(Deed::Declare((0..duties).map(name).collect()), &all).expect("room");
    table
}

#[rstest]
fn what_the_first_node_has_alone_is_spread_over_those_that_come_a_few_at_a_time() {
    let (nodes, duties) = (60, 200);
    let mut table = table(duties, 1);
    let wished = |table: &Table| {
        let moves =
            |duty: &sillflow::lease::table::Duty| matches!(duty.state, State::Held { hand_on: Some(_), .. });
        table.duties().filter(|(_, duty)| moves(duty)).count()
    };
    // The last one can do none of them: it keeps nobody else from its share.
    (2..=nodes).for_each(|n| table.apply(open(n, 1), &all).expect("room"));
    assert_eq!(wished(&table), 8);
    loop {
        let unable: Vec<Grant> = table.grants(nodes).expect("it lives").grants;
        if unable.is_empty() && wished(&table) == 0 {
            break;
        }
        for Grant { duty, number, .. } in unable {
            let release = Deed::Release { session: nodes, duty, number, state: Vec::new(), unable: true };
            table.apply(release, &all).expect("it is held");
        }
        hand_on(&mut table);
    }
    let loads = loads(&table);
    let share = duties / nodes as usize;
    assert!(loads.iter().all(|(id, load)| *id == nodes || (share..=share + 1).contains(load)), "{loads:?}");
}

/// Hands on whatever is to be handed on, and says how much that was.
fn hand_on(table: &mut Table) -> usize {
    let mut moved = 0;
    loop {
        let wished = table.duties().find_map(|(name, duty)| match duty.state {
            State::Held { by, hand_on: Some(_) } => Some((name.clone(), by, duty.number)),
            _ => None,
        });
        let Some((duty, session, number)) = wished else { return moved };
        let release = Deed::Release { session, duty, number, state: Vec::new(), unable: false };
        table.apply(release, &all).expect("it is held");
        moved += 1;
    }
}

fn loads(table: &Table) -> BTreeMap<u64, usize> {
    table.sessions().map(|(id, _)| (id, table.grants(id).map_or(0, |grants| grants.grants.len()))).collect()
}

fn held_by(table: &Table, n: usize) -> Option<u64> {
    table.duty(&name(n)).and_then(|duty| duty.state.holder())
}

#[rstest]
fn a_thousand_histories_break_no_promise() {
    let count = std::env::var("COUNT").ok().and_then(|count| count.parse().ok()).unwrap_or(1000);
    let threads = std::thread::available_parallelism().map_or(1, usize::from) as u64;
    std::thread::scope(|scope| {
        for thread in 0..threads {
            scope.spawn(move || {
                for seed in (0..count).filter(|seed| seed % threads == thread) {
                    let broken = history(seed, None);
                    assert!(broken.is_empty(), "seed {seed}: {broken:?}");
                }
            });
        }
    });
}

#[rstest]
#[case::lease_from_the_answer(Plant::FromAnswer)]
#[case::no_check_after_a_restart(Plant::GuardForgets)]
#[case::a_timer_renews_for_a_stuck_task(Plant::TimerRenews)]
#[case::expiry_by_a_wall_clock(Plant::WallClock)]
#[case::no_check_at_the_effect(Plant::NotAtEffect)]
#[case::an_expiry_without_its_mark(Plant::NoMark)]
#[case::numbers_begin_anew(Plant::NumbersAgain)]
#[case::numbers_are_passed_on_with_effects_under_way(Plant::PassedUnderWay)]
fn a_planted_error_is_found(#[case] plant: Plant) {
    let found = (0..600).find(|seed| !history(*seed, Some(plant)).is_empty());
    assert!(found.is_some(), "{plant:?} is not found");
}

#[rstest]
fn the_checker_finds_what_breaks_the_promises() {
    let begun = |number, by, at_ms| Seen::Begun { at_ms, fence: fence(number), by };
    let came = |number, at_ms| Seen::Came { at_ms, fence: fence(number), by: number, taken: true };
    assert_eq!(judge(&[begun(1, 1, 0), begun(2, 2, 1), came(1, 1), came(2, 2)]), []);
    assert!(matches!(
        judge(&[begun(2, 2, 0), begun(1, 1, 1)])[..],
        [Broken::Overlap { low: 1, high: 2, .. }]
    ));
    assert!(matches!(judge(&[begun(1, 1, 0), begun(1, 2, 1)])[..], [Broken::Twice { number: 1, .. }]));
    assert!(matches!(judge(&[came(2, 0), came(1, 1)])[..], [Broken::Back { low: 1, high: 2, .. }]));
    let passed = Seen::Passed { from: 1, to: 3 };
    assert_eq!(judge(&[begun(1, 1, 0), came(1, 0), passed.clone(), begun(1, 3, 1)]), []);
    let back = [passed.clone(), begun(1, 1, 0), begun(1, 3, 1), begun(1, 1, 2)];
    let under_way = [passed, begun(1, 1, 0), begun(1, 3, 1), came(1, 2)];
    for seen in [back, under_way] {
        assert!(matches!(judge(&seen)[..], [Broken::Twice { number: 1, .. }]));
    }
    let seen = [came(1, 100), came(1, 900)];
    assert_eq!(gaps(&seen, &[name(0)], (0, 1000), 800), []);
    assert!(matches!(gaps(&seen, &[name(0)], (0, 1000), 700)[..], [Broken::Gap { ms: 800, .. }]));
    assert_eq!(gaps(&[], &[name(0)], (0, 1000), 700).len(), 1);
}

#[rstest]
fn a_guard_turns_down_lower_numbers_over_restarts() {
    let path = std::env::temp_dir().join(format!("sillflow-guard-{}", std::process::id()));
    let _ = std::fs::remove_file(&path);
    let mut guard = Guard::open(&path).expect("a new one");
    guard.admit(&fence(3)).expect("the first");
    guard.admit(&fence(5)).expect("a higher one");
    guard.admit(&fence(5)).expect("the same");
    let mut guard = Guard::open(&path).expect("it was kept");
    assert!(matches!(guard.admit(&fence(4)), Err(Stale::Lower { number: 4, seen: 5, .. })));
    guard.admit(&Fence { duty: name(1), number: 1 }).expect("another duty");
    std::fs::write(&path, "no guard").expect("a file");
    assert!(Guard::open(&path).is_err(), "a damaged file is no empty one");
    let _ = std::fs::remove_file(&path);
    // A number that cannot be kept is not let in.
    let mut guard = Guard::open(std::path::Path::new("/nowhere/guard")).expect("nothing is there");
    assert!(matches!(guard.admit(&fence(1)), Err(Stale::Unkept { .. })));
    assert_eq!(guard.seen(&name(0)), None);
}

#[rstest]
fn what_a_node_may_do_follows_the_latest_answer_and_the_first_question() {
    let mut own = Own::default();
    own.begin(1);
    let grants = |revision, numbers: &[u64]| {
        let grant =
            |number: &u64| Grant { duty: name(0), number: *number, hand_on: false, state: Vec::new() };
        Grants {
            session: 1,
            revision,
            grants: numbers.iter().map(grant).collect(),
            standing: Standing::default(),
            leader: None,
        }
    };
    assert_eq!(own.turn_to(grants(5, &[7])).begun.len(), 1);
    assert!(!own.may(0, &fence(7)), "there is no lease yet");
    own.renewed(1, 100, LEASE);
    own.renewed(1, 50, LEASE);
    own.renewed(2, 5000, LEASE);
    assert!(own.may(1099, &fence(7)) && !own.may(1100, &fence(7)), "it counts from when it asked");
    assert!(!own.may(500, &fence(6)));
    // An older answer changes nothing, a newer one takes it.
    assert_eq!(own.turn_to(grants(4, &[])), Default::default());
    assert_eq!(own.turn_to(grants(6, &[])).over, [fence(7)]);
    assert!(!own.may(500, &fence(7)));
    let other = Grants { session: 2, ..grants(9, &[12]) };
    assert_eq!(own.turn_to(other), Default::default(), "it is of another session");
    // No number is begun twice.
    let turned = own.turn_to(grants(7, &[7]));
    assert_eq!((turned.begun.len(), turned.left), (0, vec![fence(7)]));
    own.turn_to(grants(8, &[9]));
    assert_eq!(own.end(), [fence(9)]);
    assert!(!own.may(0, &fence(9)));
}

#[rstest]
fn a_session_expires_only_at_the_renewal_that_was_seen_to_stand() {
    let mut table = table(2, 2);
    let mut watch = Watch::default();
    assert_eq!(watch.look(10_000, &table), []);
    let within = 10_000 + expiry::in_force_ms(LEASE);
    table.apply(renew(2, Fit::Ready, Vec::new()), &all).expect("it lives");
    let late = watch.look(within, &table);
    let mark = renewed(&table, 1);
    assert_eq!(late, [Deed::Late { session: 1, renewed: mark }]);
    let expired = watch.look(within + 1, &table);
    assert_eq!(expired[0], Deed::Expire { session: 1, renewed: mark });
    // A renewal that was written before makes it void.
    table.apply(renew(1, Fit::Ready, Vec::new()), &all).expect("it lives");
    table.apply(expired[0].clone(), &all).expect("no error");
    assert!(table.session(1).is_some());
    expire(&mut table, 1);
    // A try of its beginning that comes late makes it another one: what was proposed of the first does not end it.
    table.apply(open(1, 1), &all).expect("room");
    table.apply(expired[0].clone(), &all).expect("no error");
    assert!(table.session(1).is_some());
    expire(&mut table, 1);
    assert_eq!(table.apply(renew(1, Fit::Ready, Vec::new()), &all), Err(Refused::Ended(1)));
    assert_eq!(loads(&table), BTreeMap::from([(2, 2)]));
    // A new watch counts everything as renewed just now.
    assert_eq!(Watch::default().look(1_000_000, &table), []);
}

#[rstest]
fn a_duty_that_stands_still_is_taken_while_its_session_lives() {
    let mut table = table(1, 2);
    let by = held_by(&table, 0).expect("it is held");
    let number = table.duty(&name(0)).expect("a duty").number;
    let work = |progress| vec![Work { duty: name(0), number, progress }];
    for progress in 1..20 {
        table.apply(renew(by, Fit::Ready, work(progress)), &all).expect("it lives");
    }
    for _ in 0..4 {
        assert_eq!(table.duty(&name(0)).expect("a duty").state, State::Held { by, hand_on: None });
        table.apply(renew(by, Fit::Ready, work(19)), &all).expect("it lives");
    }
    assert_eq!(table.duty(&name(0)).expect("a duty").state, State::Ending { by });
    // It may act until it has confirmed or its lease is over: nobody else has it yet.
    assert_eq!(loads(&table).values().sum::<usize>(), 0);
    let release = Deed::Release { session: by, duty: name(0), number, state: Vec::new(), unable: false };
    let mut confirmed = table.clone();
    confirmed.apply(release, &all).expect("it had it");
    let mut watch = Watch::default();
    watch.look(0, &table);
    table.apply(renew(by, Fit::Ready, Vec::new()), &all).expect("it lives");
    let ended = watch.look(expiry::in_force_ms(LEASE) + 1, &table);
    assert!(ended.contains(&Deed::Ended { duty: name(0), number }), "{ended:?}");
    table.apply(Deed::Ended { duty: name(0), number }, &all).expect("no error");
    for table in [confirmed, table] {
        assert_eq!(held_by(&table, 0), Some(3 - by), "the other one has it");
        assert!(table.duty(&name(0)).expect("a duty").number > number);
    }
}

#[rstest]
fn a_duty_that_kills_three_holders_is_set_aside_for_longer_each_time() {
    let mut table = table(1, 9);
    let mut times = Vec::new();
    for death in 1..=6 {
        let by = held_by(&table, 0).expect("it is held");
        let number = table.duty(&name(0)).expect("a duty").number;
        let begun = vec![Work { duty: name(0), number, progress: 1 }];
        table.apply(renew(by, Fit::Ready, begun), &all).expect("it lives");
        expire(&mut table, by);
        assert_eq!(table.duty(&name(0)).expect("a duty").state == State::Aside, death % 3 == 0);
        if death % 3 == 0 {
            assert_eq!(table.standing().aside, [name(0)]);
            let aside = expiry::aside_ms(table.duty(&name(0)).expect("a duty").asides);
            let mut watch = Watch::default();
            watch.look(0, &table);
            let comes = |deeds: Vec<Deed>| deeds.contains(&Deed::Return { duty: name(0), number });
            assert!(!comes(watch.look(aside, &table)) && comes(watch.look(aside + 1, &table)));
            table.apply(Deed::Return { duty: name(0), number }, &all).expect("no error");
            times.push(aside);
        }
    }
    assert!(times[1] > times[0], "{times:?}");
}

#[rstest]
fn nobody_who_drains_is_cold_is_late_or_is_gone_is_given_a_duty() {
    let mut table = table(0, 5);
    table.apply(renew(1, Fit::Draining, Vec::new()), &all).expect("it lives");
    table.apply(renew(2, Fit::Cold, Vec::new()), &all).expect("it lives");
    let mark = renewed(&table, 3);
    table.apply(Deed::Late { session: 3, renewed: mark }, &all).expect("no error");
    let gone = |_: &str, incarnation: u64| incarnation != 4;
    table.apply(Deed::Declare((0..7).map(name).collect()), &gone).expect("room");
    assert_eq!(loads(&table), BTreeMap::from([(1, 0), (2, 0), (3, 0), (4, 0), (5, 7)]));
    // One that drains hands on what it has to the one that it is meant for, with its state.
    table.apply(renew(2, Fit::Ready, Vec::new()), &gone).expect("it lives");
    table.apply(renew(5, Fit::Draining, Vec::new()), &gone).expect("it lives");
    let grants = table.grants(5).expect("a session").grants;
    assert!(grants.iter().all(|grant| grant.hand_on) && grants.len() == 7, "{grants:?}");
    for Grant { duty, number, .. } in grants {
        let release = Deed::Release { session: 5, duty, number, state: vec![number as u8], unable: false };
        table.apply(release, &gone).expect("it is held");
    }
    let taken = table.grants(2).expect("a session").grants;
    assert!(taken.len() == 7 && taken.iter().all(|grant| grant.state.len() == 1), "{taken:?}");
}

#[rstest]
fn numbers_only_grow_whatever_comes_and_goes() {
    let mut table = table(3, 2);
    let most = |table: &Table| table.duties().map(|(_, duty)| duty.number).max().unwrap_or(0);
    let before = most(&table);
    table.apply(Deed::Retire(name(1)), &all).expect("no error");
    table.apply(Deed::Declare([name(1)].into()), &all).expect("room");
    assert!(table.duty(&name(1)).expect("a duty").number > before);
    table.apply(Deed::Above(1000), &all).expect("no error");
    table.apply(Deed::Close { session: 1 }, &all).expect("it lives");
    assert!(most(&table) > 1000);
    assert!(table.apply(Deed::Above(u64::MAX), &all).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    /// Nodes of any weights come and go: each has at most its share rounded up, and when one leaves nothing else moves.
    #[test]
    fn duties_are_spread_by_weight_and_few_move(
        weights in prop::collection::vec(1u8..4, 2..12), duties in 1usize..60, leaver in 0usize..12,
    ) {
        let mut table = Table::default();
        table.apply(Deed::Declare((0..duties).map(name).collect()), &all).expect("room");
        for (n, weight) in weights.iter().enumerate() {
            table.apply(open(n as u64 + 1, *weight), &all).expect("room");
            hand_on(&mut table);
        }
        let spread = |table: &Table, weights: &BTreeMap<u64, u8>| {
            let whole: usize = weights.values().map(|weight| usize::from(*weight)).sum();
            loads(table).iter().all(|(id, load)| {
                let share = duties * usize::from(weights[id]);
                (share / whole..=share.div_ceil(whole)).contains(load)
            })
        };
        let mut weights: BTreeMap<u64, u8> =
            weights.iter().enumerate().map(|(n, weight)| (n as u64 + 1, *weight)).collect();
        prop_assert!(spread(&table, &weights), "{:?} {weights:?}", loads(&table));
        let leaver = leaver as u64 % weights.len() as u64 + 1;
        let before: BTreeMap<DutyName, Option<u64>> =
            table.duties().map(|(name, duty)| (name.clone(), duty.state.holder())).collect();
        expire(&mut table, leaver);
        weights.remove(&leaver);
        let moved = table.duties().filter(|(name, duty)| before[name] != duty.state.holder()).count();
        let must = before.values().filter(|by| **by == Some(leaver)).count();
        prop_assert_eq!(moved, must);
        let held = table.duties().all(|(_, duty)| matches!(duty.state, State::Held { .. }));
        prop_assert!(held);
    }
}
