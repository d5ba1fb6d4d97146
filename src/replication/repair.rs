//! Copies that are made again: which slots a node is to hold and does not have yet, whom it asks for them and in which
//! order, and when the store is told that they are complete. In calm times each holder compares a slot with another one
//! now and then, since a majority may have accepted what the third holder has missed.
//!
//! No I/O; time and chance come as arguments, in ms of this process's clock.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use rand::seq::IteratorRandom;

use super::holder::Holder;
use super::slots::Slots;
use super::wire::{Fetch, Parts};

/// Time until a holder that did not answer is asked again, in ms.
const AGAIN_MS: u64 = 250;
/// Time between two looks at one slot in calm times, in ms.
const SWEEP_MS: u64 = 4000;
/// Slots that are compared at one waking, and told to be complete in one datagram.
const AT_ONCE: usize = 64;
/// Pages under way at once, in calm times and while the node serves much.
const PAGES: usize = 4;
const PAGES_BUSY: usize = 1;
/// Bytes a second that are fetched, in calm times and while the node serves much, and how many may come at once.
const BYTES_A_SECOND: u64 = 4 << 20;
const BYTES_A_SECOND_BUSY: u64 = 512 << 10;
const BURST_BYTES: u64 = 512 << 10;
/// Time between two looks at what is made complete, in ms.
const LOOK_MS: u64 = 25;
/// Time between two reports that slots are complete, in ms.
const REPORT_MS: u64 = 100;
/// A voice is given under a view that was heard to be in force so long ago at the most, in ms.
pub const VOICE_MS: u64 = 600_000;

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask a holder whether it has the same of a slot.
    Compare {
        /// Whom.
        to: u64,
        /// The slot and its epoch.
        slot: u16,
        /// See `slot`.
        epoch: u64,
    },
    /// Fetch keys from a holder.
    Fetch {
        /// From whom.
        from: u64,
        /// Which.
        fetch: Fetch,
    },
    /// Tell the one that gathers it that these slots are complete here.
    Complete {
        /// Whom.
        to: u64,
        /// The slots and their epochs.
        slots: Vec<(u16, u64)>,
    },
    /// Tell the store that those to come have everything.
    Settle(Vec<(u16, u64)>),
}

/// How far it is with one of those that have what was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Progress {
    Silent { asked: Option<u64> },
    Differing { fetch: Fetch, asked: Option<u64> },
    Same,
}

/// A slot that this node makes complete.
#[derive(Clone, Debug)]
struct Task {
    epoch: u64,
    /// Those to be asked, without this node itself.
    sources: BTreeMap<u64, Progress>,
    complete: bool,
    /// Since when the holders before are too few to be asked.
    orphaned: Option<u64>,
}

/// All that is made complete.
#[derive(Clone, Debug, Default)]
pub struct Repair {
    me: Option<u64>,
    tasks: BTreeMap<u16, Task>,
    sweeps: BTreeMap<u16, Task>,
    /// Of the slots that this node gathers: who has everything, as of which epoch.
    gathered: BTreeMap<u16, (u64, BTreeSet<u64>)>,
    next_report: u64,
    next_sweep: u64,
    next_look: u64,
    spent: u64,
    refilled: u64,
}

/// What repair needs to know of the world at a waking.
#[derive(Clone, Copy)]
pub struct Around<'a> {
    /// Now.
    pub now: u64,
    /// Who holds what.
    pub slots: &'a Slots,
    /// Whether a node is alive, as this one thinks.
    pub alive: &'a dyn Fn(u64) -> bool,
    /// Whether a node can be asked at all: it belongs, or is about to leave.
    pub there: &'a dyn Fn(u64) -> bool,
    /// Whether the node serves much just now.
    pub busy: bool,
}

impl Repair {
    /// Turns to the holders of another view. What is complete under an epoch stays so.
    pub fn turn_to(&mut self, me: Option<u64>, slots: &Slots) {
        self.me = me;
        let Some(me) = me else {
            self.tasks.clear();
            self.sweeps.clear();
            return;
        };
        let mut tasks = BTreeMap::new();
        for (at, slot) in slots.all() {
            if !slot.pending.as_ref().is_some_and(|pending| pending.contains(&me)) {
                continue;
            }
            let before = self.tasks.remove(&at).filter(|task| task.epoch == slot.epoch);
            let sources = slot.active.iter().filter(|id| **id != me);
            let fresh = || Task {
                epoch: slot.epoch,
                sources: sources.map(|id| (*id, Progress::Silent { asked: None })).collect(),
                complete: false,
                orphaned: None,
            };
            tasks.insert(at, before.unwrap_or_else(fresh));
        }
        self.tasks = tasks;
        let epoch = |at: &u16| slots.get(*at).map(|slot| slot.epoch);
        self.sweeps.retain(|at, task| epoch(at) == Some(task.epoch));
        self.gathered.retain(|at, (of, _)| epoch(at) == Some(*of));
    }

    /// Slots that are being made complete here, with the epochs.
    pub fn under_way(&self) -> impl Iterator<Item = (u16, u64)> {
        self.tasks.iter().filter(|(_, task)| !task.complete).map(|(slot, task)| (*slot, task.epoch))
    }

    /// When [`Self::tick`] is due next, in ms.
    pub fn wake_at(&self) -> u64 {
        let calm = self.tasks.is_empty() && self.sweeps.is_empty();
        if calm { self.next_sweep } else { self.next_sweep.min(self.next_look) }
    }

    /// Another holder has everything of these slots.
    pub fn completed(&mut self, from: u64, slots: &[(u16, u64)], now: &Slots) {
        for (at, epoch) in slots {
            let Some(slot) = now.get(*at).filter(|slot| slot.epoch == *epoch) else { continue };
            if slot.gatherer(*at) == self.me && self.me.is_some() {
                self.gathered.entry(*at).or_insert((*epoch, BTreeSet::new())).1.insert(from);
            }
        }
    }

    /// A holder has said which ranges differ.
    pub fn compared(&mut self, from: u64, slot: u16, epoch: u64, parts: Parts) {
        for tasks in [&mut self.tasks, &mut self.sweeps] {
            let task = tasks.get_mut(&slot).filter(|task| task.epoch == epoch);
            if let Some(progress @ Progress::Silent { .. }) =
                task.and_then(|task| task.sources.get_mut(&from))
            {
                let fetch = Fetch { slot, epoch, parts, after: None };
                *progress =
                    if parts == 0 { Progress::Same } else { Progress::Differing { fetch, asked: None } };
            }
        }
    }

    /// A page has come of what was asked for, of so many bytes, with what to ask next; none where it was the last. One
    /// for which there was no room is asked for again later.
    pub fn fetched(&mut self, from: u64, asked: &Fetch, next: Option<Fetch>, room: bool, bytes: u64) {
        self.spent += bytes;
        for tasks in [&mut self.tasks, &mut self.sweeps] {
            let task = tasks.get_mut(&asked.slot).filter(|task| task.epoch == asked.epoch);
            let Some(progress) = task.and_then(|task| task.sources.get_mut(&from)) else { continue };
            if !matches!(progress, Progress::Differing { fetch, .. } if fetch == asked) {
                continue;
            }
            match next.clone().filter(|_| room) {
                Some(fetch) => *progress = Progress::Differing { fetch, asked: None },
                None if room => *progress = Progress::Same,
                None => {}
            }
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, around: &Around, holder: &Holder, rng: &mut impl Rng) -> Vec<Step> {
        let Some(me) = self.me else { return Vec::new() };
        let now = around.now;
        self.next_look = now + LOOK_MS;
        self.refill(now, around.busy);
        let mut steps = Vec::new();
        self.finish(me, around);
        self.sweep(me, around, holder, rng);
        let (mut room, mut compares) = (self.room(now, around.busy), AT_ONCE);
        for (slot, source) in self.in_order(around) {
            let tasks = if self.tasks.contains_key(&slot) { &mut self.tasks } else { &mut self.sweeps };
            let task = tasks.get_mut(&slot);
            let Some(progress) = task.and_then(|task| task.sources.get_mut(&source)) else { continue };
            let due = |asked: &Option<u64>| asked.is_none_or(|at| now >= at + AGAIN_MS);
            let epoch = around.slots.get(slot).map_or(0, |slot| slot.epoch);
            match progress {
                Progress::Silent { asked } if due(asked) && compares > 0 => {
                    (*asked, compares) = (Some(now), compares - 1);
                    steps.push(Step::Compare { to: source, slot, epoch });
                }
                Progress::Differing { fetch, asked } if due(asked) && room > 0 => {
                    (*asked, room) = (Some(now), room - 1);
                    steps.push(Step::Fetch { from: source, fetch: fetch.clone() });
                }
                _ => {}
            }
        }
        if now >= self.next_report {
            self.next_report = now + REPORT_MS;
            self.report(me, around.slots, &mut steps);
        }
        steps
    }

    fn refill(&mut self, now: u64, busy: bool) {
        let rate = if busy { BYTES_A_SECOND_BUSY } else { BYTES_A_SECOND };
        let back = rate * now.saturating_sub(self.refilled) / 1000;
        self.spent = self.spent.saturating_sub(back);
        self.refilled = now;
    }

    /// Pages that may be asked for now.
    fn room(&self, now: u64, busy: bool) -> usize {
        if self.spent > BURST_BYTES {
            return 0;
        }
        let all = self.tasks.values().chain(self.sweeps.values()).flat_map(|task| task.sources.values());
        let under_way = all
            .filter(|progress| {
                matches!(progress, Progress::Differing { asked: Some(at), .. } if now < at + AGAIN_MS)
            })
            .count();
        (if busy { PAGES_BUSY } else { PAGES }).saturating_sub(under_way)
    }

    /// What is to be asked, and whom: the slots with the fewest living holders first.
    fn in_order(&self, around: &Around) -> Vec<(u16, u64)> {
        let left = |at: &u16| {
            let active = around.slots.get(*at).map_or(&[][..], |slot| &slot.active);
            active.iter().filter(|id| (around.alive)(**id)).count()
        };
        let open = self.tasks.iter().filter(|(_, task)| !task.complete);
        let mut order: Vec<(usize, u16)> = open.map(|(at, _)| (left(at), *at)).collect();
        order.sort_unstable();
        let swept = self.sweeps.keys().map(|at| (usize::MAX, *at));
        let sources = |at: u16| {
            let tasks = [self.tasks.get(&at), self.sweeps.get(&at)];
            tasks.into_iter().flatten().flat_map(|task| task.sources.keys().copied()).collect::<Vec<_>>()
        };
        let all = order.into_iter().chain(swept);
        all.flat_map(|(_, at)| sources(at).into_iter().map(move |source| (at, source))).collect()
    }

    /// A slot is complete once a majority of those before has told all that it had, under this epoch: they give no voice
    /// under an earlier one any more. Where too few of them are left for that, it is once every key of theirs is over.
    fn finish(&mut self, me: u64, around: &Around) {
        let window = around.slots.terms().map_or(u64::MAX, |terms| terms.window_ms);
        for (at, task) in self.tasks.iter_mut().filter(|(_, task)| !task.complete) {
            let Some(slot) = around.slots.get(*at) else { continue };
            let same = |id: u64| id == me || task.sources.get(&id) == Some(&Progress::Same);
            let told = slot.knows(same);
            if slot.knows(|id| (around.there)(id)) {
                task.orphaned = None;
            } else {
                task.orphaned.get_or_insert(around.now);
            }
            let over = window.saturating_add(VOICE_MS).saturating_add(window / 10);
            let outlived = task.orphaned.is_some_and(|since| around.now >= since.saturating_add(over));
            task.complete = told || outlived;
        }
    }

    /// Compares one slot after the other with another holder, all of them within [`SWEEP_MS`].
    fn sweep(&mut self, me: u64, around: &Around, holder: &Holder, rng: &mut impl Rng) {
        self.sweeps.retain(|_, task| task.sources.values().any(|progress| *progress != Progress::Same));
        if around.now < self.next_sweep {
            return;
        }
        let held: Vec<(u16, u64)> = holder.slots().collect();
        self.next_sweep = around.now + (SWEEP_MS / (held.len().max(1) as u64)).max(1);
        let settled =
            |(at, _): &&(u16, u64)| around.slots.get(*at).is_some_and(|slot| slot.pending.is_none());
        let Some((at, epoch)) = held.iter().filter(settled).choose(rng).copied() else { return };
        let others = around.slots.get(at).into_iter().flat_map(|slot| slot.members());
        let Some(other) = others.filter(|id| *id != me && (around.alive)(*id)).choose(rng) else { return };
        let sources = BTreeMap::from([(other, Progress::Silent { asked: None })]);
        self.sweeps.entry(at).or_insert(Task { epoch, sources, complete: false, orphaned: None });
    }

    fn report(&mut self, me: u64, slots: &Slots, steps: &mut Vec<Step>) {
        let mut told: BTreeMap<u64, Vec<(u16, u64)>> = BTreeMap::new();
        for (at, task) in self.tasks.iter().filter(|(_, task)| task.complete) {
            if let Some(gatherer) = slots.get(*at).and_then(|slot| slot.gatherer(*at)) {
                told.entry(gatherer).or_default().push((*at, task.epoch));
            }
        }
        if let Some(own) = told.remove(&me) {
            self.completed(me, &own, slots);
        }
        for (to, slots) in &told {
            let parts = slots.chunks(AT_ONCE).map(|part| Step::Complete { to: *to, slots: part.to_vec() });
            steps.extend(parts);
        }
        let all_have = |at: u16, of: u64, have: &BTreeSet<u64>| {
            let slot = slots.get(at).filter(|slot| slot.epoch == of);
            slot.and_then(|slot| slot.pending.as_ref())
                .is_some_and(|pending| pending.iter().all(|id| have.contains(id)))
        };
        let settled: Vec<(u16, u64)> = self
            .gathered
            .iter()
            .filter(|(at, (of, have))| all_have(**at, *of, have))
            .map(|(at, (of, _))| (*at, *of))
            .take(AT_ONCE)
            .collect();
        if !settled.is_empty() {
            steps.push(Step::Settle(settled));
        }
    }
}
