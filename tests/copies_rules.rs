//! The machines of the copies without I/O: placement, registers, claims, repair; and histories in simulated time.

mod rig;
mod support;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, Ordering::SeqCst};

use bytes::Bytes;
use proptest::prelude::*;
use rand::Rng;
use rig::copied::{Broken, Seen, Weather, World, judge};
use rstest::rstest;
use sillflow::fleet::view::Change;
use sillflow::replication::holder::Holder;
use sillflow::replication::keeping::Keeping;
use sillflow::replication::key::{Body, KeyId, SLOTS};
use sillflow::replication::place::{Candidate, Field};
use sillflow::replication::proposal::{Next, Proposal, Verdict, Wish};
use sillflow::replication::register::{Ballot, Claimant, Fate, Row, Value};
use sillflow::replication::slots::{Slot, Slots, Terms};
use sillflow::replication::wire::{Ask, Fetch, Held, Message, Said, What};

/// Names, machines and zones of so many nodes.
fn names(count: usize) -> Vec<(u64, String, String, String)> {
    let node =
        |n: usize| (n as u64 + 1, format!("n{n}"), format!("m{}-{}", n % 3, n / 6), format!("z{}", n % 3));
    (0..count).map(node).collect()
}

fn field(nodes: &[(u64, String, String, String)], weight: impl Fn(u64) -> u8) -> Field<'_> {
    let candidates: Vec<Candidate> = nodes
        .iter()
        .map(|(id, name, machine, zone)| Candidate { id: *id, name, weight: weight(*id), machine, zone })
        .collect();
    Field::new(candidates.into_iter())
}

fn all(field: &Field, copies: u8) -> Vec<Vec<u64>> {
    (0..SLOTS).map(|slot| field.choose(slot, copies)).collect()
}

#[rstest]
fn holders_are_in_different_zones_and_on_different_machines_while_there_are_such() {
    let nodes = names(12);
    let zone = |id: u64| (id - 1) % 3;
    let machine = |id: u64| ((id - 1) % 3, (id - 1) / 6);
    for holders in all(&field(&nodes, |_| 1), 3) {
        let zones: Vec<u64> = holders.iter().map(|id| zone(*id)).collect();
        assert!(zones[0] != zones[1] && zones[1] != zones[2] && zones[0] != zones[2], "{holders:?}");
    }
    for holders in all(&field(&nodes, |_| 1), 5) {
        let mut machines: Vec<(u64, u64)> = holders.iter().map(|id| machine(*id)).collect();
        machines.sort_unstable();
        machines.dedup();
        assert_eq!(machines.len(), 5, "{holders:?}");
    }
    assert!(all(&field(&nodes[..2], |_| 1), 3).iter().all(|holders| *holders == [1, 2]));
}

#[rstest]
fn weights_count_and_a_node_without_any_holds_nothing() {
    let nodes = names(30);
    let mut places = BTreeMap::<u64, usize>::new();
    let chosen = all(&field(&nodes, |id| if id == 1 { 0 } else { 1 + u8::from(id % 2 == 0) }), 3);
    chosen.iter().flatten().for_each(|id| *places.entry(*id).or_default() += 1);
    let mean = |odd: bool| {
        let of: Vec<usize> = places.iter().filter(|(id, _)| (*id % 2 == 1) == odd).map(|(_, n)| *n).collect();
        of.iter().sum::<usize>() as f64 / of.len() as f64
    };
    assert!(!places.contains_key(&1));
    let ratio = mean(false) / mean(true);
    assert!((1.5..2.5).contains(&ratio), "{ratio}");
}

proptest! {
    #[test]
    fn only_what_must_move_moves(count in 4usize..40, gone in 0usize..40, copies in 1u8..=7) {
        let nodes = names(count);
        let gone = gone % count;
        let id = nodes[gone].0;
        let left: Vec<_> = nodes.iter().filter(|node| node.0 != id).cloned().collect();
        let (before, after) = (all(&field(&nodes, |_| 1), copies), all(&field(&left, |_| 1), copies));
        for (before, after) in before.iter().zip(&after) {
            let new = after.iter().filter(|holder| !before.contains(holder)).count();
            prop_assert!(new <= usize::from(before.contains(&id)), "{before:?} {after:?} without {id}");
        }
    }
}

const KEY: KeyId = KeyId(7 << 100);

fn claimant(node: u64) -> Claimant {
    Claimant { node, process: node, run: 1 }
}

fn value(node: u64, fate: Fate) -> Value {
    Value { by: claimant(node), body: Body::of(b""), fate }
}

fn ballot(round: u32, word: u64) -> Ballot {
    Ballot { round, word }
}

#[rstest]
fn a_register_keeps_its_promises_and_what_it_learns_is_no_voice() {
    let mut row = Row::default();
    row.prepare(ballot(2, 1)).expect("the first");
    assert_eq!(row.prepare(ballot(1, 9)), Err(ballot(2, 1)));
    let claimed = value(1, Fate::Claimed);
    assert_eq!(row.accept(ballot(1, 9), &claimed, ballot(2, 9)), Err(ballot(2, 1)));
    // It hears from another holder what was accepted under the lower ballot: that is known now, and no voice for it.
    assert!(row.learn(ballot(1, 9), claimed.clone()));
    assert_eq!(row.accept(ballot(1, 9), &claimed, ballot(2, 9)), Err(ballot(2, 1)));
    row.accept(ballot(2, 1), &claimed, ballot(3, 1)).expect("promised");
    row.accept(ballot(2, 1), &claimed, ballot(3, 1)).expect("a voice is given again");
    assert!(!row.learn(ballot(1, 5), value(2, Fate::Claimed)));
    assert!(row.learn(ballot(9, 5), value(2, Fate::Failed)));
    assert_eq!(row.accept(ballot(4, 1), &claimed, ballot(5, 1)), Err(ballot(9, 5)));
}

/// A holder of the key's slot under an epoch.
fn holder(epoch: u64, bytes: usize) -> Holder {
    let mut holder = Holder::new(bytes);
    holder.serve([(KEY.slot(), epoch)]);
    holder
}

fn accept(key: KeyId, round: u32, fate: Fate, left_ms: u32) -> Ask {
    let (ballot, next) = (ballot(round, 1), ballot(round + 1, 1));
    Ask { epoch: 1, key, what: What::Accept { ballot, value: value(1, fate), next, left_ms } }
}

#[rstest]
fn keys_go_with_their_windows_by_the_holders_own_clock_and_no_sooner() {
    let mut holder = holder(1, 1 << 20);
    holder.answer(1_000_000, &accept(KEY, 1, Fate::Claimed, 5000));
    holder.expire(1_005_000);
    assert!(holder.get(KEY).is_some(), "a window ends here no sooner than there");
    // A later word of a shorter window takes nothing back.
    holder.answer(1_001_000, &accept(KEY, 2, Fate::Failed, 10));
    holder.expire(1_005_000);
    assert!(holder.get(KEY).is_some());
    holder.expire(1_005_101);
    assert!(holder.get(KEY).is_none());
    assert_eq!(holder.take_gone().len(), 1);
    assert_eq!(holder.bytes(), 0);
}

#[rstest]
fn a_full_table_takes_no_further_key_and_changes_nothing() {
    let mut holder = holder(1, 3 * 4480);
    let key = |n: u128| KeyId(KEY.0 + n);
    let taken = (0..10).filter(|n| holder.answer(0, &accept(key(*n), 1, Fate::Claimed, 100)).0 != Said::Full);
    assert_eq!(taken.count(), 3);
    // What came of a run has its room set aside, and leaves more than it takes.
    let (said, _) = holder.answer(0, &accept(key(0), 2, Fate::Done(Bytes::from(vec![0; 4000])), 100));
    assert!(matches!(said, Said::Accepted(_)));
    let (said, _) = holder.answer(0, &accept(key(1), 2, Fate::Done(Bytes::from(vec![0; 70_000])), 100));
    assert_eq!(said, Said::Full);
    assert!(matches!(
        holder.get(key(1)).expect("as before").row.accepted,
        Some((_, Value { fate: Fate::Claimed, .. }))
    ));
    holder.expire(10_000);
    assert!(matches!(holder.answer(10_000, &accept(key(9), 1, Fate::Claimed, 100)).0, Said::Accepted(_)));
}

#[rstest]
fn voices_of_another_epoch_are_not_given() {
    let mut holder = holder(4, 1 << 20);
    assert_eq!(holder.answer(0, &accept(KEY, 1, Fate::Claimed, 100)).0, Said::Elsewhere(4));
    assert_eq!(holder.page(0, &Fetch { slot: KEY.slot(), epoch: 1, parts: !0, after: None }), None);
    assert_eq!(holder.differs(KEY.slot(), 1, &[0; 16]), None);
}

#[rstest]
fn what_was_held_by_a_later_view_is_not_judged_by_an_earlier_one() {
    let mut before = holder(1, 1 << 20);
    before.answer(0, &accept(KEY, 1, Fate::Claimed, 60_000));
    let rows = before.rows().map(|(key, held)| (key, held.clone())).collect::<Vec<_>>();
    let mut holder = holder(1, 1 << 20);
    holder.restore(3, 6, rows);
    holder.turn_to(Some(3), 5, &Slots::default());
    assert!(holder.get(KEY).is_some());
    assert!(matches!(holder.answer(0, &accept(KEY, 2, Fate::Claimed, 60_000)).0, Said::Elsewhere(_)));
    holder.turn_to(Some(3), 6, &Slots::default());
    assert!(holder.get(KEY).is_none(), "others have it by then");
}

#[rstest]
fn ranges_tell_what_differs_and_pages_bring_it() {
    let (mut one, mut other) = (holder(1, 1 << 24), holder(1, 1 << 24));
    let key = |n: u128| KeyId(KEY.0 + (n << 108));
    for n in 0..400 {
        one.answer(0, &accept(key(n), 1, Fate::Done(Bytes::from(vec![1; 2000])), 60_000));
        if n % 100 != 0 {
            other.answer(0, &accept(key(n), 1, Fate::Done(Bytes::from(vec![1; 2000])), 60_000));
        }
    }
    let parts = one.differs(KEY.slot(), 1, &other.sums(KEY.slot())).expect("the same epoch");
    assert!(parts.count_ones() <= 4 && parts != 0, "{parts:b}");
    let mut fetch = Fetch { slot: KEY.slot(), epoch: 1, parts, after: None };
    let (mut pages, mut more) = (0, true);
    while more {
        let page = one.page(0, &fetch).expect("it is held");
        (fetch.after, more, pages) = (page.records.last().map(|record| record.key), page.more, pages + 1);
        assert!(other.learn(0, KEY.slot(), 1, page.records).1);
    }
    assert!(pages < 12, "{pages} pages");
    assert_eq!(one.differs(KEY.slot(), 1, &other.sums(KEY.slot())), Some(0));
}

fn slot(active: &[u64], pending: Option<&[u64]>) -> Slot {
    Slot { epoch: 1, active: active.to_vec(), pending: pending.map(<[u64]>::to_vec) }
}

#[rstest]
#[case(&[1, 2], true)]
#[case(&[1, 4], false)]
#[case(&[2, 4], false)]
#[case(&[1, 2, 5], true)]
#[case(&[1, 4, 5], false)]
#[case(&[1, 2, 4, 5], true)]
fn a_majority_of_those_before_and_of_those_to_come_is_needed(#[case] yes: &[u64], #[case] enough: bool) {
    let moving = slot(&[1, 2, 3], Some(&[1, 2, 4]));
    assert_eq!(moving.enough(|id| yes.contains(&id)), enough);
}

#[rstest]
fn one_who_sees_a_claim_at_one_holder_does_not_run_and_one_who_sees_an_end_makes_it_certain() {
    let body = Body::of(b"");
    let begin = || Proposal::new(KEY, claimant(2), body, Wish::Claim, slot(&[1, 2, 3], None), 77);
    let mut proposal = begin();
    let told = |(ballot, value)| Held { ballot, value, voted: true };
    let promised = |held: Option<(Ballot, Value)>| Said::Promised(ballot(1, 77), held.map(told));
    assert_eq!(proposal.hear(1, promised(None)), Next::Wait);
    let theirs = Some((ballot(1, 5), value(1, Fate::Claimed)));
    assert_eq!(proposal.hear(2, promised(theirs)), Next::Over(Verdict::Theirs(claimant(1))));
    let mut proposal = begin();
    let over = value(1, Fate::Done(Bytes::from_static(b"paid")));
    proposal.hear(3, promised(Some((ballot(2, 5), over.clone()))));
    assert_eq!(proposal.hear(2, promised(None)), Next::Ask);
    let asked = proposal.asks(100);
    assert!(asked.iter().all(|(_, ask)| matches!(&ask.what, What::Accept { value, .. } if *value == over)));
    assert_eq!(proposal.hear(1, Said::Accepted(ballot(1, 77))), Next::Wait);
    assert_eq!(proposal.hear(1, Said::Accepted(ballot(1, 77))), Next::Wait, "one voice counts once");
    assert_eq!(proposal.hear(3, Said::Accepted(ballot(1, 77))), Next::Over(Verdict::Ended(over)));
}

#[rstest]
fn the_judge_finds_what_breaks_the_promises() {
    let began = |run| Seen::Began { key: 1, run, node: 0 };
    assert_eq!(judge(&[began(1), Seen::Done { key: 1, run: 1 }, Seen::Failed { key: 1 }]), []);
    assert_eq!(judge(&[began(1), began(2)]), [Broken::SecondRun(1)]);
    assert_eq!(judge(&[Seen::Done { key: 1, run: 1 }]), [Broken::OtherResult(1)]);
    let two = [began(1), Seen::Done { key: 1, run: 1 }, began(2), Seen::Done { key: 1, run: 2 }];
    assert_eq!(judge(&two), [Broken::SecondRun(1), Broken::OtherResult(1)]);
    let refused = |asked| Seen::Refused { key: 1, asked };
    assert_eq!(judge(&[refused(0), began(1), refused(0)]), [], "it was asked for before it began");
    assert_eq!(judge(&[began(1), refused(1)]), [Broken::Denied(1)]);
}

#[rstest]
fn a_repeat_anywhere_gets_the_result_and_two_at_once_run_once() {
    let mut world = World::new(1, 5, 3);
    assert!(world.is_settled());
    (0..5).for_each(|n| world.ask(n, 1));
    world.run_for(400);
    (0..5).for_each(|n| world.ask(n, 1));
    world.run_for(400);
    assert_eq!(judge(&world.seen), []);
    let done = world.seen.iter().filter(|seen| matches!(seen, Seen::Done { .. })).count();
    assert_eq!(done, 10, "{:?}", world.seen);
}

/// Guards against a repeat that fails at a busy node where one holder of three has missed the end of its run.
#[rstest]
fn a_repeat_at_a_busy_node_gets_a_result_that_one_holder_has_missed() {
    const NODES: usize = 6;
    let mut world = World::new(6, NODES, 3);
    for missing in 1..NODES {
        let key = missing as u64;
        world.ask(0, key);
        let began = |world: &World| {
            world.seen.iter().any(|seen| matches!(seen, Seen::Began { key: begun, .. } if *begun == key))
        };
        while !began(&world) {
            world.run_for(1);
        }
        let others = (0..NODES).filter(|n| *n != missing);
        world.cut = others.flat_map(|n| [(n, missing), (missing, n)]).collect();
        world.run_for(400);
        world.cut.clear();
        for _ in 0..10 {
            (0..NODES).for_each(|n| world.ask_busy(n, key));
            world.run_for(100);
        }
    }
    assert_eq!(judge(&world.seen), []);
    let not_done = world.seen.iter().filter(|seen| !matches!(seen, Seen::Done { .. } | Seen::Began { .. }));
    assert_eq!(not_done.collect::<Vec<_>>(), [] as [&Seen; 0]);
}

#[rstest]
fn what_a_lost_machine_held_is_copied_again_and_its_claims_are_in_doubt() {
    let mut world = World::new(2, 7, 3);
    (0..40).for_each(|key| world.ask(key as usize % 7, key));
    world.run_for(500);
    world.ask(3, 99);
    let began = |world: &World| world.seen.iter().any(|seen| matches!(seen, Seen::Began { key: 99, .. }));
    while !began(&world) {
        world.run_for(1);
    }
    world.lose(3, 300);
    world.run_for(1500);
    assert!(world.is_settled(), "no slot waits for holders");
    for key in 0..40 {
        assert_eq!(world.copies_of(key), 3, "key {key}");
        world.ask(4, key);
    }
    world.ask(4, 99);
    world.run_for(600);
    assert_eq!(judge(&world.seen), []);
    let done =
        |key| world.seen.iter().filter(|seen| matches!(seen, Seen::Done { key: k, .. } if *k == key)).count();
    assert!((0..40).all(|key| done(key) >= 1), "{:?}", world.seen);
    assert!(world.seen.contains(&Seen::Failed { key: 99 }), "nobody knows whether it ran");
}

#[rstest]
fn a_node_that_leaves_hands_on_what_it_held() {
    for copies in [1, 2, 3] {
        let mut world = World::new(3, 5, copies);
        (0..30).for_each(|key| world.ask(key as usize % 5, key));
        world.run_for(500);
        world.leave(2);
        world.run_for(1500);
        assert!(world.is_settled(), "{copies} copies");
        assert!((0..30).all(|key| world.copies_of(key) >= usize::from(copies)), "{copies} copies");
    }
}

#[rstest]
fn another_number_of_copies_comes_into_force_in_service() {
    let mut world = World::new(4, 7, 3);
    (0..30).for_each(|key| world.ask(key as usize % 7, key));
    world.run_for(300);
    world.change(Change::Copies(Terms { copies: 5, window_ms: 16_000 }));
    world.run_for(1500);
    assert!(world.is_settled());
    assert!((0..30).all(|key| world.copies_of(key) == 5));
    (0..30).for_each(|key| world.ask(key as usize % 5, key));
    world.run_for(600);
    assert_eq!(judge(&world.seen), []);
}

#[rstest]
fn a_node_that_is_cut_off_refuses_unrun_and_a_split_fleet_runs_once() {
    let mut world = World::new(5, 6, 3);
    for n in 1..6 {
        world.cut.extend([(0, n), (n, 0)]);
    }
    (0..20).for_each(|key| world.ask(0, key));
    world.run_for(600);
    assert!(world.seen.iter().all(|seen| matches!(seen, Seen::Refused { .. })), "{:?}", world.seen);
    (0..20).for_each(|key| world.ask(3, key));
    world.run_for(600);
    assert_eq!(judge(&world.seen), []);
}

fn in_slot(slot: u16, key: u128) -> KeyId {
    KeyId(u128::from(slot) << 120 | key)
}

#[rstest]
fn a_slot_is_not_complete_before_all_that_was_fetched_for_it_is_synced() {
    let mut keeping = Keeping::<&str>::default();
    keeping.learned(&[in_slot(3, 1), in_slot(3, 2)]);
    assert!(keeping.is_learning(3) && !keeping.is_learning(2) && !keeping.is_learning(4));
    assert_eq!(keeping.begin(), Some(vec![in_slot(3, 1), in_slot(3, 2)]));
    assert!(keeping.is_learning(3), "it is under way");
    // One of them changes again meanwhile; another slot's key comes.
    keeping.changed(in_slot(3, 2));
    keeping.learned(&[in_slot(4, 1)]);
    keeping.synced();
    assert!(keeping.is_learning(3) && keeping.is_learning(4));
    keeping.begin();
    keeping.synced();
    assert!(!keeping.is_learning(3) && !keeping.is_learning(4));
}

#[rstest]
fn what_a_holder_says_waits_for_the_sync_that_has_it() {
    let mut keeping = Keeping::default();
    keeping.changed(in_slot(1, 1));
    keeping.wait("first");
    assert!(keeping.begin().is_some());
    keeping.changed(in_slot(1, 2));
    keeping.wait("second");
    assert_eq!(keeping.begin(), None, "one sync at a time");
    assert_eq!(keeping.synced(), ["first"]);
    assert!(keeping.is_open(in_slot(1, 2)) && !keeping.is_open(in_slot(1, 1)));
    assert_eq!(keeping.begin(), Some(vec![in_slot(1, 2)]));
    assert_eq!(keeping.synced(), ["second"]);
}

#[rstest]
fn a_sync_that_fails_says_nothing_and_is_tried_again_after_a_rest() {
    let mut keeping = Keeping::default();
    keeping.learned(&[in_slot(1, 1)]);
    keeping.wait("said while it was open");
    keeping.begin();
    keeping.wait("said while it was under way");
    keeping.failed();
    keeping.wait("said while the disk rests");
    assert!(keeping.is_open(in_slot(1, 1)) && keeping.is_learning(1));
    assert_eq!(keeping.begin(), None, "it rests");
    keeping.rested();
    assert_eq!(keeping.begin(), Some(vec![in_slot(1, 1)]), "and goes on with nothing new");
    assert_eq!(keeping.synced(), [] as [&str; 0]);
    assert!(!keeping.is_learning(1));
}

/// A drawn history: callers, weather, cuts, lost machines and changes of the view, within one window.
fn history(seed: u64, plant: Option<fn(&mut Message)>) -> World {
    let mut world = World::new(seed, 5 + (seed % 5) as usize, 3);
    world.plant = plant;
    let nodes = 5 + (seed % 5) as usize;
    let share =
        |rng: &mut rand::rngs::SmallRng| if rng.random_bool(0.5) { rng.random_range(0.0..0.2) } else { 0.0 };
    world.weather = Weather {
        lost: share(&mut world.rng),
        doubled: share(&mut world.rng),
        put_off: share(&mut world.rng) / 4.0,
    };
    let mut lost = None;
    for _ in 0..60 {
        let n = world.rng.random_range(0..nodes);
        match world.rng.random_range(0..30) {
            0 if lost.is_none() => {
                let after = world.rng.random_range(100..600);
                world.lose(n, after);
                lost = Some((n, world.now + 700));
            }
            1 => {
                let other = world.rng.random_range(0..nodes);
                world.cut.extend([(n, other), (other, n)]);
            }
            2 => {
                let other = world.rng.random_range(0..nodes);
                world.cut.insert((n, other));
            }
            3 | 4 => world.cut.clear(),
            5 => {
                let copies = world.rng.random_range(2..=4);
                world.change(Change::Copies(Terms { copies, window_ms: 16_000 }));
            }
            _ => {
                let key = world.rng.random_range(0..12);
                if world.rng.random_bool(0.2) { world.ask_busy(n, key) } else { world.ask(n, key) }
            }
        }
        if let Some((n, at)) = lost
            && world.now > at
            && world.is_settled()
        {
            world.begin(n);
            lost = None;
        }
        let time = world.rng.random_range(0..80);
        world.run_for(time);
    }
    world.cut.clear();
    world.weather = Weather::default();
    (0..12).for_each(|key| world.ask((0..nodes).find(|n| world.is_up(*n)).expect("one is up"), key));
    world.run_for(2000);
    world
}

#[rstest]
fn drawn_histories_break_no_promise() {
    let (mut began, mut done) = (0, 0);
    for seed in 0..250 {
        let world = history(seed, None);
        assert_eq!(judge(&world.seen), [], "seed {seed}");
        began += world.seen.iter().filter(|seen| matches!(seen, Seen::Began { .. })).count();
        done += world.seen.iter().filter(|seen| matches!(seen, Seen::Done { .. })).count();
    }
    assert!(began > 1200 && done > 3500, "{began} runs, {done} results: too little happened");
}

#[rstest]
#[case::a_ballot_is_not_compared(|message: &mut Message| {
    if let Message::Ask { ask: Ask { what: What::Accept { ballot, next, .. }, .. }, .. } = message {
        // Each is above all others that were sent, and its answer is as if it had not been raised.
        static RAISED: AtomicU32 = AtomicU32::new(1);
        let raise = 1000 * RAISED.fetch_add(1, SeqCst);
        (ballot.round, next.round) = (ballot.round % 1000 + raise, next.round % 1000 + raise);
    }
    if let Message::Said { said: Some(Said::Accepted(ballot)), .. } = message {
        ballot.round %= 1000;
    }
})]
#[case::what_was_accepted_is_not_told(|message: &mut Message| {
    if let Message::Said { said: Some(Said::Promised(_, accepted)), .. } = message {
        *accepted = None;
    }
})]
#[case::holders_do_not_say_what_they_have(|message: &mut Message| {
    if let Message::Said { said: Some(Said::Holds(held)), .. } = message {
        *held = None;
    }
})]
#[case::a_window_of_the_wrong_length(|message: &mut Message| {
    if let Message::Ask { ask: Ask { what: What::Accept { left_ms, .. } | What::Prepare { left_ms, .. }, .. }, .. } = message {
        *left_ms = 1;
    }
})]
fn planted_errors_are_found(#[case] plant: fn(&mut Message)) {
    let found = (0..400).find(|seed| !judge(&history(*seed, Some(plant)).seen).is_empty());
    assert!(found.is_some());
}
