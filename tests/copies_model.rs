//! The claim machine as the program runs it, explored exhaustively in the small: three holders and a fourth that comes, two
//! owners, one key, one disk lost, one change of the view. A question may come at any time or never, in any order, and
//! some come twice; an answer may be lost. One that comes late is not explored apart: nothing follows from an answer before
//! enough have come, and what follows are questions, which may be as late. A page of keys comes at once.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use rstest::rstest;
use sillflow::replication::holder::Holder;
use sillflow::replication::key::{Body, KeyId};
use sillflow::replication::proposal::{Next, Proposal, Verdict, Wish};
use sillflow::replication::register::{Ballot, Claimant, Fate};
use sillflow::replication::slots::Slot;
use sillflow::replication::wire::{Ask, Fetch, Said, What};
use stateright::{Checker, HasDiscoveries, Model, Property};

const KEY: KeyId = KeyId(7 << 100);
const LEFT_MS: u32 = 1000;

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Planted {
    Nothing,
    /// A holder accepts whatever it has promised.
    BallotNotCompared,
    /// One that has lost its disk answers as before.
    WipedCounted,
    /// While the holders change, only those to come are counted.
    NotJoined,
    /// The run begins with the first voice.
    RunAheadOfMajority,
    /// Windows end by a clock that has been stepped.
    WrongClock,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Phase {
    Idle,
    Claiming,
    Ending,
    Settling,
    Over,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Owner {
    view: u8,
    phase: Phase,
    proposal: Option<Proposal>,
    again: u8,
    /// Whether it has found the key to be another's.
    asked: bool,
    began: bool,
    answered: Option<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Keeper {
    view: u8,
    up: bool,
    holder: Holder,
    /// Those before that have told all that they had.
    told: BTreeSet<u64>,
}

/// A question of an owner to a holder.
type Sent = (usize, u64, Ask);

/// A set of messages that is one value whatever the order of sending was.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Messages(Vec<(u64, Sent)>);

impl Messages {
    fn add(&mut self, sent: Sent) {
        use std::hash::{DefaultHasher, Hash, Hasher};
        let mut hasher = DefaultHasher::new();
        sent.hash(&mut hasher);
        let entry = (hasher.finish(), sent);
        if let Err(at) = self.0.binary_search_by_key(&entry.0, |(hash, _)| *hash) {
            self.0.insert(at, entry);
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    view: u8,
    owners: Vec<Owner>,
    keepers: Vec<Keeper>,
    sent: Messages,
    stepped: bool,
    doubled: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Claim(usize),
    /// A question comes; whether its answer does, and whether it will come again.
    Deliver {
        at: usize,
        answered: bool,
        again: bool,
    },
    Settle(usize),
    Change,
    HearOfView(usize),
    KeeperHears(u64),
    Tell(u64, u64),
    Complete,
    Lose,
    StepClock,
}

#[derive(Clone, Copy)]
struct Small {
    planted: Planted,
    /// Whether the view changes.
    changes: bool,
    /// Times that owners begin again above a higher ballot.
    again: u8,
    /// Messages that come twice.
    doubled: u8,
    /// Whether one that finds the key to be another's makes certain what came of it.
    settles: bool,
    /// Whether what comes of a run is looked at as well.
    ends: bool,
    /// Whether answers are lost, and a holder's disk.
    answers_lost: bool,
    disk_lost: bool,
}

fn slot(view: u8) -> Slot {
    let (old, new) = (vec![1, 2, 3], vec![1, 2, 4]);
    match view {
        0 => Slot { epoch: 1, active: old, pending: None },
        1 => Slot { epoch: 2, active: old, pending: Some(new) },
        _ => Slot { epoch: 3, active: new, pending: None },
    }
}

/// Whether a holder to come has been told all that a majority of those before had.
fn is_complete(state: &State, id: u64) -> bool {
    let keeper = &state.keepers[id as usize - 1];
    let told = |source: u64| source == id || keeper.told.contains(&source);
    keeper.up && keeper.view == 1 && slot(1).knows(told)
}

fn serve(keeper: &mut Keeper, id: u64) {
    let slot = slot(keeper.view);
    keeper.holder.serve(slot.has(id).then_some((KEY.slot(), slot.epoch)));
}

impl Small {
    fn counted(&self, view: u8) -> Slot {
        match (self.planted, slot(view)) {
            (Planted::NotJoined, Slot { epoch, pending: Some(new), .. }) => {
                Slot { epoch, active: new, pending: None }
            }
            (_, slot) => slot,
        }
    }

    fn ask(&self, state: &mut State, owner: usize) {
        let Some(proposal) = &state.owners[owner].proposal else { return };
        // A question for a promise of an earlier stage could only raise a promise, as those that follow it do.
        let late = |(of, _, ask): &Sent| *of == owner && matches!(ask.what, What::Prepare { .. });
        state.sent.0.retain(|(_, sent)| !late(sent));
        for (to, ask) in proposal.asks(LEFT_MS) {
            state.sent.add((owner, to, ask));
        }
    }

    fn begin(&self, state: &mut State, owner: usize, wish: Wish, phase: Phase) {
        let me = Claimant { node: 10 + owner as u64, process: 1, run: 1 };
        let view = state.owners[owner].view;
        let word = owner as u64 * 10 + u64::from(phase == Phase::Settling) + 1;
        let proposal = Proposal::new(KEY, me, Body::of(b""), wish, self.counted(view), word);
        (state.owners[owner].proposal, state.owners[owner].phase) = (Some(proposal), phase);
        self.ask(state, owner);
    }

    fn keeper_answers(&self, keeper: &mut Keeper, ask: &Ask) -> Said {
        match (&ask.what, self.planted) {
            (What::Accept { ballot, value, next, left_ms }, Planted::BallotNotCompared) => {
                let high = |ballot: &Ballot| Ballot { round: ballot.round + 100, ..*ballot };
                let what = What::Accept {
                    ballot: high(ballot),
                    value: value.clone(),
                    next: *next,
                    left_ms: *left_ms,
                };
                match keeper.holder.answer(0, &Ask { what, ..ask.clone() }).0 {
                    Said::Accepted(_) => Said::Accepted(*ballot),
                    other => other,
                }
            }
            _ => keeper.holder.answer(0, ask).0,
        }
    }
    /// Brings a question; nothing where that changes nothing.
    fn deliver(&self, mut state: State, at: usize, answered: bool, again: bool) -> Option<State> {
        let (owner, to, ask) = if again { state.sent.0[at].1.clone() } else { state.sent.0.remove(at).1 };
        state.doubled += u8::from(again);
        let keeper = &mut state.keepers[to as usize - 1];
        let before = keeper.clone();
        let said = if keeper.up { self.keeper_answers(keeper, &ask) } else { return None };
        let changed = *keeper != before;
        let heard = answered && self.owner_hears(&mut state, owner, to, &said);
        (changed || heard).then_some(state)
    }

    fn owner_hears(&self, state: &mut State, n: usize, from: u64, said: &Said) -> bool {
        let before = state.owners[n].clone();
        let owner = &mut state.owners[n];
        let Some(proposal) = &mut owner.proposal else { return false };
        if self.planted == Planted::RunAheadOfMajority
            && owner.phase == Phase::Claiming
            && matches!(said, Said::Accepted(_))
        {
            owner.began = true;
        }
        let next = proposal.hear(from, said.clone());
        match (next, owner.phase.clone()) {
            (Next::Wait | Next::Moved(_), _) => {}
            (Next::Ask, _) => self.ask(state, n),
            (Next::Outbid, _) if owner.again < self.again => {
                owner.again += 1;
                proposal.again();
                self.ask(state, n);
            }
            (Next::Outbid, _) => {}
            (Next::Over(Verdict::Mine), Phase::Claiming) => {
                owner.began = true;
                if !self.ends {
                    owner.phase = Phase::Over;
                    return true;
                }
                let ending = proposal.clone().follow_up(Fate::Done(Bytes::from(vec![n as u8])));
                (owner.proposal, owner.phase) = (Some(ending), Phase::Ending);
                self.ask(state, n);
            }
            (Next::Over(Verdict::Ended(value)), _) => {
                owner.phase = Phase::Over;
                if let Fate::Done(result) = value.fate {
                    owner.answered = Some(result[0]);
                }
            }
            // Another one has it: what came of that can be made certain later.
            (Next::Over(Verdict::Theirs(_)), Phase::Claiming) if self.settles => {
                (owner.phase, owner.proposal, owner.asked) = (Phase::Idle, None, true);
            }
            (Next::Over(_), _) => owner.phase = Phase::Over,
        }
        state.owners[n] != before
    }
}

impl Model for Small {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let owner = Owner {
            view: 0,
            phase: Phase::Idle,
            proposal: None,
            again: 0,
            asked: false,
            began: false,
            answered: None,
        };
        let keeper = |id: u64| {
            let mut keeper =
                Keeper { view: 0, up: true, holder: Holder::new(1 << 20), told: BTreeSet::new() };
            serve(&mut keeper, id);
            keeper
        };
        let keepers = (1..=4).map(keeper).collect();
        vec![State {
            view: 0,
            owners: vec![owner; 2],
            keepers,
            sent: Messages::default(),
            stepped: false,
            doubled: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (n, owner) in state.owners.iter().enumerate() {
            if owner.phase == Phase::Idle {
                actions.push(if owner.asked { Action::Settle(n) } else { Action::Claim(n) });
            }
            if owner.view < state.view && owner.phase != Phase::Over {
                actions.push(Action::HearOfView(n));
            }
        }
        for at in 0..state.sent.0.len() {
            actions.push(Action::Deliver { at, answered: true, again: false });
            if self.answers_lost {
                actions.push(Action::Deliver { at, answered: false, again: false });
            }
            if state.doubled < self.doubled {
                actions.push(Action::Deliver { at, answered: true, again: true });
            }
        }
        for (id, keeper) in (1..).zip(&state.keepers) {
            if keeper.up && keeper.view < state.view {
                actions.push(Action::KeeperHears(id));
            }
            if !slot(1).pending.iter().flatten().any(|new| *new == id) || is_complete(state, id) {
                continue;
            }
            for source in slot(1).active.iter().filter(|source| **source != id) {
                let from = &state.keepers[*source as usize - 1];
                if keeper.view == 1 && from.view == 1 && keeper.up && from.up && !keeper.told.contains(source)
                {
                    actions.push(Action::Tell(*source, id));
                }
            }
        }
        if self.changes && state.view == 0 {
            actions.push(Action::Change);
        }
        if state.view == 1 {
            actions.push(Action::Complete);
        }
        if state.keepers[2].up && self.disk_lost && state.keepers[2].holder.get(KEY).is_some() {
            actions.push(Action::Lose);
        }
        if self.planted == Planted::WrongClock && !state.stepped {
            actions.push(Action::StepClock);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Claim(n) => self.begin(&mut state, n, Wish::Claim, Phase::Claiming),
            Action::Settle(n) => self.begin(&mut state, n, Wish::Settle, Phase::Settling),
            Action::Deliver { at, answered, again } => return self.deliver(state, at, answered, again),
            Action::Change => state.view = 1,
            Action::HearOfView(n) => {
                state.owners[n].view = state.view;
                let slot = self.counted(state.view);
                if let Some(proposal) = &mut state.owners[n].proposal {
                    proposal.move_to(&slot);
                    self.ask(&mut state, n);
                }
            }
            Action::KeeperHears(id) => {
                let keeper = &mut state.keepers[id as usize - 1];
                keeper.view += 1;
                serve(keeper, id);
            }
            Action::Tell(from, to) => {
                let fetch = Fetch { slot: KEY.slot(), epoch: 2, parts: !0, after: None };
                let page = state.keepers[from as usize - 1].holder.page(0, &fetch)?;
                let keeper = &mut state.keepers[to as usize - 1];
                keeper.told.insert(from);
                keeper.holder.learn(0, KEY.slot(), 2, page.records);
            }
            Action::Complete => {
                let complete = |id: u64| is_complete(&state, id);
                let all = slot(1).pending.into_iter().flatten().all(complete);
                if !all {
                    return None;
                }
                state.view = 2;
            }
            Action::Lose => {
                let keeper = &mut state.keepers[2];
                keeper.holder = Holder::new(1 << 20);
                keeper.up = self.planted == Planted::WipedCounted;
                serve(keeper, 3);
            }
            Action::StepClock => {
                state.stepped = true;
                state.keepers.iter_mut().for_each(|keeper| keeper.holder.expire(u64::from(LEFT_MS) * 10));
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a key runs once", |_, state: &State| {
                state.owners.iter().filter(|owner| owner.began).count() <= 1
            }),
            Property::always("all get one result, of the run that there was", |_, state: &State| {
                let results: BTreeSet<u8> = state.owners.iter().filter_map(|owner| owner.answered).collect();
                let began = |n: &u8| state.owners[usize::from(*n)].began;
                results.len() <= 1 && results.iter().all(began)
            }),
            Property::sometimes("one gets the other's result", |model: &Self, state: &State| {
                !model.ends || state.owners[0].answered == Some(1) || state.owners[1].answered == Some(0)
            }),
            Property::sometimes("the view changes for good", |model: &Self, state: &State| {
                !model.changes || state.view == 2 && state.owners[0].began
            }),
        ]
    }
}

/// The machine without a change of the view, where one that finds the key to be another's makes certain what came of it.
const CALM: Small = Small {
    planted: Planted::Nothing,
    changes: false,
    again: 0,
    doubled: 0,
    settles: true,
    ends: true,
    answers_lost: true,
    disk_lost: false,
};
/// Claims alone, while the view changes.
const CHANGING: Small = Small { changes: true, settles: false, ends: false, answers_lost: false, ..CALM };
/// The same with the disk of a holder lost.
const LOSING: Small = Small { disk_lost: true, ..CHANGING };

/// A broken promise, if one is; the states that were looked at, of at most so many that were met; and whether what should
/// happen does.
fn explore(small: Small, most: usize) -> (Option<&'static str>, usize, bool) {
    let checker = small.checker().threads(4).target_state_count(most).timeout(Duration::from_secs(60));
    match small.planted {
        Planted::Nothing => found(&checker.spawn_dfs().join(), small),
        // The shortest way to an error is found first.
        _ => found(&checker.finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join(), small),
    }
}

fn found(checker: &impl Checker<Small>, small: Small) -> (Option<&'static str>, usize, bool) {
    let promises = ["a key runs once", "all get one result, of the run that there was"];
    let broken = checker.discoveries().into_keys().find(|name| promises.contains(name));
    let met = checker.discovery("one gets the other's result").is_some()
        && checker.discovery("the view changes for good").is_some();
    println!(
        "{:?}: {} states, all of them {}",
        small.planted,
        checker.unique_state_count(),
        checker.is_done()
    );
    (broken, checker.unique_state_count(), met)
}

#[rstest]
fn no_order_of_messages_breaks_a_promise() {
    let (broken, states, met) = explore(CALM, usize::MAX);
    assert_eq!(broken, None);
    assert!(met && states > 100_000, "{states} states");
}

/// All of them, in about a minute on four cores: `make measure-copies` runs it, and CI looks at as many as there is time for.
#[rstest]
#[ignore = "explores five million states"]
fn no_order_of_messages_and_changes_breaks_a_promise() {
    let (broken, states, met) = explore(Small { answers_lost: true, ..LOSING }, usize::MAX);
    assert_eq!(broken, None);
    assert!(met && states > 1_000_000, "{states} states");
}

#[rstest]
fn many_orders_of_messages_and_changes_break_no_promise() {
    let (broken, states, _) = explore(LOSING, 3_000_000);
    assert_eq!(broken, None);
    assert!(states > 100_000, "{states} states");
}

#[rstest]
fn doubled_messages_and_further_tries_break_no_promise() {
    let (broken, states, met) = explore(Small { again: 1, doubled: 1, ..CALM }, 3_000_000);
    assert_eq!(broken, None);
    assert!(met && states > 100_000, "{states} states");
}

#[rstest]
#[case(Planted::BallotNotCompared, CALM)]
#[case(Planted::WipedCounted, LOSING)]
#[case(Planted::NotJoined, CHANGING)]
#[case(Planted::RunAheadOfMajority, CALM)]
#[case(Planted::WrongClock, CALM)]
fn a_planted_error_is_found(#[case] planted: Planted, #[case] small: Small) {
    let (broken, states, _) = explore(Small { planted, ..small }, 20_000_000);
    assert!(broken.is_some(), "not in {states} states");
}
