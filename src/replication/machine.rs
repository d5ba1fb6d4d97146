//! A node's whole part in the copies: what it holds for others, the claims that it makes for its own requests, and the
//! repair of what is missing. It does no I/O; time, in ms of this process's clock, and chance come as arguments.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use rand::Rng;

use crate::fleet::trust::{Use, freshness, may};

use super::errand::{Claim, Errand, News};
use super::holder::Holder;
use super::key::{Body, KeyId};
use super::proposal::{AGAIN_MS, Next, Proposal, Verdict, Wish};
use super::register::{Claimant, Fate};
use super::repair::{Around, Repair, Step};
use super::report::{Counts, Report};
use super::slots::Slots;
use super::wire::{Ask, Before, Fetch, MOST_RESULT, Message, Page, Said};

/// Claims under way at once.
const MOST_WORKS: usize = 4096;
/// How long a question to a holder is good for, in ms.
const GOOD_MS: u64 = 2000;
/// The longest time between two rounds of asking, and the longest look at another's run, in ms.
const LONGEST_MS: u64 = 480;
const LONGEST_LOOK_MS: u64 = 160;
/// The first look at another's run comes after this, in ms.
const FIRST_LOOK_MS: u64 = 10;
/// A claim that was refused or given up is freed for so long at the most, in ms.
const FREE_FOR_MS: u64 = 10_000;
/// The end of a run is copied for so long at least, in ms.
const LEAST_END_MS: u64 = 1000;
/// Time that a holder is given to catch up with the view, in ms.
const BEHIND_MS: u64 = 25;
/// The wait after a higher ballot, and by how much it may be longer, doubled with each further time, in ms.
const OUTBID_MS: u64 = 12;
/// So many claims under way are much to serve.
const BUSY_WORKS: usize = 6;

/// What is to be done outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Out {
    /// Send a message to a node.
    Send(u64, Message),
    /// Send a message back to where the one that was heard came from.
    Reply(Message),
    /// The same, about a key: not before that is kept as it is now. Whether it is another than before.
    Answer(Message, KeyId, bool),
    /// Tell the core of a request.
    Tell(u32, News),
    /// The same on a connection, since the answer is long.
    Whole(u64, Message),
    /// Fetch keys from a node.
    Fetch(u64, Fetch),
    /// Tell the store that the holders to come of these slots have everything.
    Settle(Vec<(u16, u64)>),
    /// That node has a newer view.
    Newer(u64),
}

/// Who belongs, by the view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// The number of the view.
    pub number: u64,
    /// The life of this node; one that has left and hands its copies on keeps it until that is done.
    pub me: Option<u64>,
    /// Those that belong.
    pub nodes: BTreeSet<u64>,
    /// Those that have left and hand their copies on.
    pub leaving: BTreeSet<u64>,
}

#[derive(Clone, Debug)]
enum Stage {
    /// The key is being claimed.
    Claiming(Proposal),
    /// The key is not wished for: whether it is another one's is all that is asked.
    Asking(Proposal),
    /// A run of the key has ended, as a holder tells: that is made certain, and the key is still not wished for.
    Confirming(Proposal),
    /// Another one has it: its end is looked for, for the so-manieth time.
    Looking(Proposal, Claimant, u32),
    /// That one is gone: whatever holders have of it is made certain.
    Settling(Proposal),
    /// The claim holds, and the request runs.
    Running(Proposal),
    /// What came of it is copied, and the core waits to hear so.
    Ending(Proposal),
    /// The claim is given back, and nobody waits to hear so.
    Freeing(Proposal),
}

/// One request's claim, from its begin to its end.
#[derive(Clone, Debug)]
struct Work {
    request: u32,
    body: Body,
    me: Claimant,
    /// When its window is over, when its claim has to hold, and how long another's end is waited for.
    window: u64,
    claimed_by: u64,
    shared_by: u64,
    stage: Stage,
    /// When it is looked at next, and how often it has been in this stage.
    next: u64,
    turn: u32,
}

impl Work {
    fn proposal(&mut self) -> &mut Proposal {
        match &mut self.stage {
            Stage::Claiming(proposal)
            | Stage::Asking(proposal)
            | Stage::Confirming(proposal)
            | Stage::Looking(proposal, ..)
            | Stage::Settling(proposal)
            | Stage::Running(proposal)
            | Stage::Ending(proposal)
            | Stage::Freeing(proposal) => proposal,
        }
    }
}

/// A holder's clock, as it was shown at that time of this process's.
#[derive(Clone, Copy, Debug)]
struct Clock {
    shown: Before,
    heard: u64,
}

/// A node's part.
#[derive(Clone, Debug)]
pub struct Machine {
    process: u64,
    members: Members,
    slots: Slots,
    view_age_ms: u64,
    aged: u64,
    holder: Holder,
    repair: Repair,
    works: BTreeMap<u64, Work>,
    by_request: HashMap<u32, u64>,
    timers: BTreeSet<(u64, u64)>,
    clocks: HashMap<u64, Clock>,
    numbers: u64,
    counts: Counts,
}

impl Machine {
    /// The part of a process with this random word, which holds so many bytes at the most.
    pub fn new(process: u64, most_bytes: usize) -> Self {
        Self {
            process,
            members: Members::default(),
            slots: Slots::default(),
            view_age_ms: u64::MAX,
            aged: 0,
            holder: Holder::new(most_bytes),
            repair: Repair::default(),
            works: BTreeMap::new(),
            by_request: HashMap::new(),
            timers: BTreeSet::new(),
            clocks: HashMap::new(),
            numbers: 0,
            counts: Counts::default(),
        }
    }

    /// What it holds.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    /// The same, to put in what was kept over a restart.
    pub fn holder_mut(&mut self) -> &mut Holder {
        &mut self.holder
    }

    /// Whether anything is copied in this fleet.
    pub fn is_on(&self) -> bool {
        self.slots.terms().is_some()
    }

    /// Whether this node has nothing that others need of it, and so may end.
    pub fn is_done(&self) -> bool {
        self.works.is_empty() && self.members.me.is_none_or(|me| !self.slots.need(me))
    }

    /// Notes how long ago the view was heard to be in force.
    pub fn level(&mut self, now: u64, age_ms: u64) {
        (self.view_age_ms, self.aged) = (age_ms, now);
    }

    fn may_vote(&self, now: u64) -> bool {
        let age = self.view_age_ms.saturating_add(now.saturating_sub(self.aged));
        may(Use::Choose, freshness(age))
    }

    /// Turns to another view.
    pub fn turn_to(&mut self, now: u64, members: Members, slots: Slots) -> Vec<Out> {
        self.holder.turn_to(members.me, members.number, &slots);
        self.repair.turn_to(members.me, &slots);
        let there = |id: &u64| members.nodes.contains(id) || members.leaving.contains(id);
        self.clocks.retain(|id, _| there(id));
        (self.members, self.slots) = (members, slots);
        let mut out = Vec::new();
        let numbers: Vec<u64> = self.works.keys().copied().collect();
        for number in numbers {
            let Some(work) = self.works.get_mut(&number) else { continue };
            if matches!(work.stage, Stage::Running(_)) {
                continue;
            }
            let proposal = work.proposal();
            let slot = self.slots.get(proposal.key().slot()).cloned().unwrap_or_default();
            if *proposal.slot() != slot {
                proposal.move_to(&slot);
                work.turn = 0;
                self.ask(now, number, &mut out);
            }
        }
        out
    }

    /// When [`Self::tick`] is due next, in ms.
    pub fn wake_at(&self) -> u64 {
        let works = self.timers.first().map(|(at, _)| *at);
        let repair = self.repair.wake_at();
        let ends = self.holder.next_end();
        [works, ends, Some(repair)].into_iter().flatten().min().unwrap_or(u64::MAX)
    }

    /// Does what is due. `alive` is what this node thinks of another.
    pub fn tick(&mut self, now: u64, alive: &dyn Fn(u64) -> bool, rng: &mut impl Rng) -> Vec<Out> {
        self.holder.expire(now);
        let mut out = Vec::new();
        while let Some((_, number)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.pop_first();
            self.wake(now, number, rng, &mut out);
        }
        let members = &self.members;
        let there = |id: u64| members.nodes.contains(&id) || members.leaving.contains(&id);
        let busy = self.works.len() >= BUSY_WORKS;
        let around = Around { now, slots: &self.slots, alive, there: &there, busy };
        let steps = self.repair.tick(&around, &self.holder, rng);
        steps.into_iter().for_each(|step| self.repairs(step, &mut out));
        out
    }

    fn repairs(&mut self, step: Step, out: &mut Vec<Out>) {
        let Some(from) = self.members.me else { return };
        match step {
            Step::Compare { to, slot, epoch } => {
                let sums = self.holder.sums(slot);
                out.push(Out::Send(to, Message::Compare { from, slot, epoch, sums }));
            }
            Step::Fetch { from, fetch } => out.push(Out::Fetch(from, fetch)),
            Step::Complete { to, slots } => out.push(Out::Send(to, Message::Complete { from, slots })),
            Step::Settle(settled) => out.push(Out::Settle(settled)),
        }
    }

    /// Does an errand of the core.
    pub fn run(&mut self, now: u64, errand: Errand, rng: &mut impl Rng) -> Vec<Out> {
        let mut out = Vec::new();
        match errand {
            Errand::Claim(claim) => self.claim(now, claim, Wish::Claim, rng, &mut out),
            Errand::Look(claim) => self.claim(now, claim, Wish::Look, rng, &mut out),
            Errand::End { request, fate } => self.end(now, request, fate, &mut out),
            Errand::GiveUp { request } => self.give_up(now, request, &mut out),
        }
        out
    }

    fn claim(&mut self, now: u64, claim: Claim, wish: Wish, rng: &mut impl Rng, out: &mut Vec<Out>) {
        let Claim { request, key, body, left_ms, wait_ms, share_ms } = claim;
        let longest = self.slots.terms().map_or(0, |terms| terms.window_ms);
        if self.works.len() >= MOST_WORKS || u64::from(left_ms) > longest {
            self.counts.unreached += 1;
            return out.push(Out::Tell(request, News::Unreached));
        }
        self.numbers += 1;
        let number = self.numbers;
        let me = Claimant { node: self.members.me.unwrap_or(0), process: self.process, run: number };
        let looks = wish == Wish::Look;
        let proposal = self.propose(key, me, body, wish, rng);
        let work = Work {
            request,
            body,
            me,
            window: now + u64::from(left_ms),
            claimed_by: now + u64::from(wait_ms),
            shared_by: now + u64::from(share_ms),
            stage: if looks { Stage::Asking(proposal) } else { Stage::Claiming(proposal) },
            next: now,
            turn: 0,
        };
        self.works.insert(number, work);
        self.by_request.insert(request, number);
        self.counts.claims += u64::from(!looks);
        self.ask(now, number, out);
    }

    fn propose(&self, key: KeyId, me: Claimant, body: Body, wish: Wish, rng: &mut impl Rng) -> Proposal {
        let slot = self.slots.get(key.slot()).cloned().unwrap_or_default();
        Proposal::new(key, me, body, wish, slot, rng.random())
    }

    fn end(&mut self, now: u64, request: u32, fate: Fate, out: &mut Vec<Out>) {
        let Some(number) = self.by_request.get(&request).copied() else { return };
        let Some(work) = self.works.get_mut(&number) else { return };
        // One that ran longer than its window is copied all the same: those that share it wait for that.
        work.window = work.window.max(now + LEAST_END_MS);
        let fate = match fate {
            Fate::Done(result) if result.len() > MOST_RESULT => {
                out.push(Out::Tell(request, News::TooLarge));
                Fate::Failed
            }
            fate => fate,
        };
        let Stage::Running(proposal) = &work.stage else { return };
        let mut proposal = proposal.clone().follow_up(fate);
        if let Some(slot) = self.slots.get(proposal.key().slot()) {
            proposal.move_to(slot);
        }
        (work.stage, work.turn) = (Stage::Ending(proposal), 0);
        self.ask(now, number, out);
    }

    fn give_up(&mut self, now: u64, request: u32, out: &mut Vec<Out>) {
        if let Some(number) = self.by_request.remove(&request) {
            self.free(now, number, out);
        }
    }

    /// Gives back what a request may hold, and forgets it.
    fn free(&mut self, now: u64, number: u64, out: &mut Vec<Out>) {
        let Some(work) = self.works.get_mut(&number) else { return };
        let held = match &work.stage {
            Stage::Claiming(proposal) | Stage::Running(proposal) if proposal.may_hold() => proposal.clone(),
            // What came of a run is copied, whoever waits for it.
            Stage::Ending(_) | Stage::Freeing(_) => return,
            _ => return self.forget(number),
        };
        work.window = work.window.min(now + FREE_FOR_MS);
        let mut proposal = held.follow_up(Fate::Freed);
        if let Some(slot) = self.slots.get(proposal.key().slot()) {
            proposal.move_to(slot);
        }
        (work.stage, work.turn) = (Stage::Freeing(proposal), 0);
        self.ask(now, number, out);
    }

    fn forget(&mut self, number: u64) {
        let Some(work) = self.works.remove(&number) else { return };
        self.timers.remove(&(work.next, number));
        if self.by_request.get(&work.request) == Some(&number) {
            self.by_request.remove(&work.request);
        }
    }

    fn tell(&mut self, number: u64, news: News, out: &mut Vec<Out>) {
        let Some(work) = self.works.get(&number) else { return };
        if self.by_request.get(&work.request) == Some(&number) {
            out.push(Out::Tell(work.request, news));
        }
    }

    fn tell_last(&mut self, number: u64, news: News, out: &mut Vec<Out>) {
        self.tell(number, news, out);
        self.forget(number);
    }

    /// Nobody can tell what has come of a run of the key.
    fn in_doubt(&mut self, number: u64, out: &mut Vec<Out>) {
        self.counts.doubts += 1;
        self.tell_last(number, News::Doubt, out);
    }

    fn wake_work(&mut self, number: u64, at: u64) {
        let Some(work) = self.works.get_mut(&number) else { return };
        self.timers.remove(&(work.next, number));
        work.next = at;
        self.timers.insert((at, number));
    }

    /// Asks the holders that have not answered, and again after a while.
    fn ask(&mut self, now: u64, number: u64, out: &mut Vec<Out>) {
        let Some(work) = self.works.get_mut(&number) else { return };
        let left_ms = u32::try_from(work.window.saturating_sub(now)).unwrap_or(u32::MAX);
        let asks = work.proposal().asks(left_ms);
        let again = (AGAIN_MS << work.turn.min(3)).min(LONGEST_MS);
        work.turn += 1;
        let claiming = matches!(work.stage, Stage::Claiming(_) | Stage::Asking(_) | Stage::Confirming(_));
        let last = if claiming { work.claimed_by } else { work.window };
        let next = (now + again).min(last.max(now + 1));
        for (to, ask) in asks {
            let message = self.question(now, number, to, ask);
            out.push(Out::Send(to, message));
        }
        self.wake_work(number, next);
    }

    fn question(&self, now: u64, number: u64, to: u64, ask: Ask) -> Message {
        let at = |clock: &Clock| clock.shown.at + now.saturating_sub(clock.heard) + GOOD_MS;
        let before = self.clocks.get(&to).map(|clock| Before { process: clock.shown.process, at: at(clock) });
        Message::Ask { from: self.members.me.unwrap_or(0), number, to, before, ask }
    }

    /// A time that a claim has set is over.
    fn wake(&mut self, now: u64, number: u64, rng: &mut impl Rng, out: &mut Vec<Out>) {
        let Some(work) = self.works.get_mut(&number) else { return };
        match &mut work.stage {
            Stage::Claiming(proposal) if now >= work.claimed_by => {
                let news = if proposal.has_seen_another() { News::Doubt } else { News::Unreached };
                match news {
                    News::Doubt => self.counts.doubts += 1,
                    _ => self.counts.unreached += 1,
                }
                self.tell(number, news, out);
                let request = self.works.get(&number).map(|work| work.request);
                request.and_then(|request| self.by_request.remove(&request));
                self.free(now, number, out);
            }
            Stage::Asking(proposal) if now >= work.claimed_by => {
                let news = if proposal.has_seen_another() { News::Doubt } else { News::Unreached };
                self.tell_last(number, news, out);
            }
            Stage::Confirming(_) if now >= work.claimed_by => self.in_doubt(number, out),
            Stage::Looking(..) | Stage::Settling(_) if now >= work.shared_by => self.in_doubt(number, out),
            Stage::Ending(_) | Stage::Freeing(_) if now >= work.window => {
                self.counts.uncopied += 1;
                self.forget(number);
            }
            Stage::Running(_) => {}
            Stage::Looking(proposal, by, turn) => {
                let (key, by, turn) = (proposal.key(), *by, *turn);
                self.look(now, number, key, by, turn, rng, out);
            }
            Stage::Claiming(_)
            | Stage::Asking(_)
            | Stage::Confirming(_)
            | Stage::Settling(_)
            | Stage::Ending(_)
            | Stage::Freeing(_) => {
                self.ask(now, number, out);
            }
        }
    }

    /// Whether whoever has a claim can't tell any more what has come of it.
    fn is_gone(&self, by: &Claimant) -> bool {
        if by.node == 0 || by.node == self.members.me.unwrap_or(0) {
            return by.node != 0 && by.process != self.process;
        }
        let there = self.members.nodes.contains(&by.node) || self.members.leaving.contains(&by.node);
        let process = self.clocks.get(&by.node).map(|clock| clock.shown.process);
        !there || process.is_some_and(|process| process != by.process)
    }

    /// Looks for the end of another's run: seldom more and more, and for certain where that one is gone.
    #[allow(clippy::too_many_arguments)]
    fn look(
        &mut self,
        now: u64,
        number: u64,
        key: KeyId,
        by: Claimant,
        turn: u32,
        rng: &mut impl Rng,
        out: &mut Vec<Out>,
    ) {
        let Some(work) = self.works.get(&number) else { return };
        let (me, body) = (work.me, work.body);
        let gone = self.is_gone(&by);
        let wish = if gone { Wish::Settle } else { Wish::Look };
        let proposal = self.propose(key, me, body, wish, rng);
        let Some(work) = self.works.get_mut(&number) else { return };
        work.turn = 0;
        work.stage = match gone {
            true => Stage::Settling(proposal),
            false => Stage::Looking(proposal, by, turn + 1),
        };
        self.ask(now, number, out);
        if !gone {
            let wait = (FIRST_LOOK_MS << turn.min(5)).min(LONGEST_LOOK_MS);
            self.wake_work(number, now + wait);
        }
    }

    /// An answer is too long for a datagram: the question is put again on a connection.
    pub fn hear_long(&mut self, now: u64, number: u64, from: u64) -> Vec<Out> {
        let Some(work) = self.works.get_mut(&number) else { return Vec::new() };
        let left_ms = u32::try_from(work.window.saturating_sub(now)).unwrap_or(u32::MAX);
        let asks = work.proposal().asks(left_ms).into_iter().filter(|(to, _)| *to == from);
        asks.map(|(to, ask)| Out::Whole(to, self.question(now, number, to, ask))).collect()
    }

    /// Hears a message from another node.
    pub fn hear(&mut self, now: u64, message: Message, rng: &mut impl Rng) -> Vec<Out> {
        let mut out = Vec::new();
        match message {
            Message::Ask { from, number, to, before, ask } => {
                self.hear_ask(now, from, number, to, before, &ask, &mut out);
            }
            Message::Said { number, from, clock, said } => {
                self.hear_said(now, number, from, clock, said, rng, &mut out);
            }
            Message::Compare { from, slot, epoch, sums } => {
                if let (Some(me), Some(parts)) = (self.members.me, self.holder.differs(slot, epoch, &sums)) {
                    out.push(Out::Reply(Message::Differs { from: me, slot, epoch, parts }));
                } else if self.slots.get(slot).is_some_and(|slot| slot.epoch < epoch) {
                    out.push(Out::Newer(from));
                }
            }
            Message::Differs { from, slot, epoch, parts } => self.repair.compared(from, slot, epoch, parts),
            Message::Complete { from, slots } => self.repair.completed(from, &slots, &self.slots),
        }
        out
    }

    #[allow(clippy::too_many_arguments)]
    fn hear_ask(
        &mut self,
        now: u64,
        from: u64,
        number: u64,
        to: u64,
        before: Option<Before>,
        ask: &Ask,
        out: &mut Vec<Out>,
    ) {
        let Some(me) = self.members.me.filter(|me| *me == to) else { return };
        let clock = Before { process: self.process, at: now };
        let in_time = before.is_some_and(|before| before.process == self.process && now <= before.at);
        let (said, changed) = match in_time {
            false => (None, false),
            true if !self.may_vote(now) => (Some(Said::Blind), false),
            true => {
                let (said, changed) = self.holder.answer(now, ask);
                let epoch = self.slots.get(ask.key.slot()).map_or(0, |slot| slot.epoch);
                let elsewhere = matches!(said, Said::Elsewhere(_));
                (Some(if elsewhere { Said::Elsewhere(epoch) } else { said }), changed)
            }
        };
        let behind = self.slots.get(ask.key.slot()).is_some_and(|slot| slot.epoch < ask.epoch);
        if behind && from != 0 {
            out.push(Out::Newer(from));
        }
        let answer = Message::Said { number, from: me, clock, said };
        out.push(Out::Answer(answer, ask.key, changed));
    }

    #[allow(clippy::too_many_arguments)]
    fn hear_said(
        &mut self,
        now: u64,
        number: u64,
        from: u64,
        clock: Before,
        said: Option<Said>,
        rng: &mut impl Rng,
        out: &mut Vec<Out>,
    ) {
        let known = self.clocks.insert(from, Clock { shown: clock, heard: now });
        let Some(work) = self.works.get_mut(&number) else { return };
        let left_ms = u32::try_from(work.window.saturating_sub(now)).unwrap_or(u32::MAX);
        let Some(said) = said else {
            // It did not know this process's questions to be fresh, and does so now.
            let first = known.is_none_or(|known| known.shown.process != clock.process);
            let again = work.proposal().asks(left_ms).into_iter().find(|(to, _)| *to == from && first);
            if let Some((to, ask)) = again {
                out.push(Out::Send(to, self.question(now, number, to, ask)));
            }
            return;
        };
        match work.proposal().hear(from, said) {
            Next::Wait => {}
            Next::Ask => {
                work.turn = 0;
                self.ask(now, number, out);
            }
            Next::Outbid => {
                work.proposal().again();
                work.turn += 1;
                // The one above it has time to come to its end meanwhile.
                let wait = OUTBID_MS + rng.random_range(0..OUTBID_MS << work.turn.min(3));
                self.wake_work(number, now + wait);
            }
            Next::Moved(epoch) if epoch > work.proposal().slot().epoch => out.push(Out::Newer(from)),
            // It turns to this node's view once it has asked for the steps.
            Next::Moved(_) => {
                let soon = work.next.min(now + BEHIND_MS);
                self.wake_work(number, soon);
            }
            Next::Over(verdict) => self.decided(now, number, verdict, rng, out),
        }
    }

    fn decided(&mut self, now: u64, number: u64, verdict: Verdict, rng: &mut impl Rng, out: &mut Vec<Out>) {
        let Some(work) = self.works.get_mut(&number) else { return };
        let (key, me, body) = (work.proposal().key(), work.me, work.body);
        let stage = work.stage.clone();
        match (stage, verdict) {
            (Stage::Claiming(proposal), Verdict::Mine) => {
                if let Some(work) = self.works.get_mut(&number) {
                    work.stage = Stage::Running(proposal);
                }
                self.counts.granted += 1;
                self.wake_work(number, u64::MAX);
                self.tell(number, News::Mine, out);
            }
            (Stage::Claiming(_), Verdict::Theirs(by)) => {
                self.tell(number, News::Theirs, out);
                self.look(now, number, key, by, 0, rng, out);
            }
            (Stage::Looking(_, by, _), Verdict::Theirs(_)) if self.is_gone(&by) => {
                self.look(now, number, key, by, 0, rng, out);
            }
            (Stage::Looking(..), Verdict::Theirs(_)) => {}
            // What was only seen is made certain, or the key is anyone's again.
            (Stage::Looking(..), Verdict::Unsure | Verdict::Nobodys)
            | (Stage::Settling(_), Verdict::Nobodys) => {
                let proposal = self.propose(key, me, body, Wish::Claim, rng);
                if let Some(work) = self.works.get_mut(&number) {
                    work.claimed_by = work.shared_by;
                    (work.stage, work.turn) = (Stage::Claiming(proposal), 0);
                }
                self.ask(now, number, out);
            }
            (Stage::Asking(_), Verdict::Nobodys) => self.tell_last(number, News::Nobodys, out),
            (Stage::Asking(_), Verdict::Unsure) => {
                let proposal = self.propose(key, me, body, Wish::Settle, rng);
                if let Some(work) = self.works.get_mut(&number) {
                    (work.stage, work.turn) = (Stage::Confirming(proposal), 0);
                }
                self.ask(now, number, out);
            }
            (Stage::Asking(_) | Stage::Settling(_), Verdict::Theirs(_)) => self.in_doubt(number, out),
            (
                Stage::Claiming(_)
                | Stage::Asking(_)
                | Stage::Confirming(_)
                | Stage::Settling(_)
                | Stage::Looking(..),
                Verdict::Ended(value),
            ) => {
                self.counts.shared += 1;
                let news = match value.fate {
                    _ if value.body != body => News::Taken,
                    Fate::Done(result) => News::Done(result),
                    _ => News::Failed,
                };
                self.tell_last(number, news, out);
            }
            // The key has run, whatever holders still have of that.
            (Stage::Confirming(_), _) => self.in_doubt(number, out),
            (Stage::Ending(_), Verdict::Ended(_)) => {
                self.counts.copied += 1;
                self.tell_last(number, News::Copied, out);
            }
            (Stage::Claiming(proposal), Verdict::Full) => {
                self.counts.full += 1;
                let news = if proposal.has_seen_another() { News::Doubt } else { News::Full };
                self.tell(number, news, out);
                if let Some(request) = self.works.get(&number).map(|work| work.request) {
                    self.by_request.remove(&request);
                }
                self.free(now, number, out);
            }
            // Tried again until its window is over: there may be room then.
            (Stage::Ending(_) | Stage::Freeing(_), Verdict::Full) => {}
            (Stage::Ending(_), _) => {
                self.counts.uncopied += 1;
                self.forget(number);
            }
            (Stage::Running(_), _) => {}
            (Stage::Freeing(_), _)
            | (_, Verdict::Full | Verdict::Nobodys | Verdict::Mine | Verdict::Unsure) => {
                self.forget(number);
            }
        }
    }

    /// Some of the keys that another holder lacks; none where they are not held under that epoch.
    pub fn page(&self, now: u64, fetch: &Fetch) -> Option<Page> {
        self.holder.page(now, fetch)
    }

    /// A page has come. Says which keys are others than before, to be kept.
    pub fn fetched(&mut self, now: u64, from: u64, asked: &Fetch, page: Page) -> Vec<KeyId> {
        let next = page.records.last().map(|last| Fetch { after: Some(last.key), ..asked.clone() });
        let next = next.filter(|_| page.more);
        let bytes = page.records.iter().map(|record| 128 + result_bytes(&record.value.fate)).sum();
        self.counts.fetched += page.records.len() as u64;
        self.counts.fetched_bytes += bytes;
        let (changed, room) = self.holder.learn(now, asked.slot, asked.epoch, page.records);
        self.repair.fetched(from, asked, next, room, bytes);
        changed
    }

    /// What an operator is shown. `alive` is what this node thinks of another.
    pub fn report(&self, alive: &dyn Fn(u64) -> bool) -> Report {
        let under_way: BTreeSet<u16> = self.repair.under_way().map(|(slot, _)| slot).collect();
        let short = |slot: u16| {
            let slot = self.slots.get(slot);
            slot.is_some_and(|slot| slot.pending.is_some() || slot.active.iter().any(|id| !alive(*id)))
        };
        let moving = |slot: u16| self.slots.get(slot).is_some_and(|slot| slot.pending.is_some());
        let claimed = |by: &Claimant| self.is_gone(by) || !alive(by.node) && Some(by.node) != self.members.me;
        let (mut keys_short, mut keys_moving, mut in_doubt) = (0, 0, 0);
        for (key, held) in self.holder.rows() {
            keys_short += usize::from(short(key.slot()));
            keys_moving += usize::from(moving(key.slot()));
            let value = held.row.accepted.as_ref().map(|(_, value)| value);
            let open = value.filter(|value| value.fate == Fate::Claimed);
            in_doubt += usize::from(open.is_some_and(|value| claimed(&value.by)));
        }
        let standing = self.holder.standing();
        Report {
            trouble: None,
            terms: self.slots.terms(),
            slots: self.holder.slots().count(),
            slots_moving: self.slots.all().filter(|(_, slot)| slot.pending.is_some()).count(),
            slots_coming: under_way.len(),
            keys: standing.keys,
            claimed: standing.claimed,
            done: standing.done,
            failed: standing.failed,
            bytes: self.holder.bytes(),
            keys_short,
            keys_moving,
            in_doubt,
            under_way: self.works.len(),
            counts: self.counts,
            zones: BTreeMap::new(),
        }
    }

    /// The slots and who holds them.
    pub fn slots(&self) -> &Slots {
        &self.slots
    }
}

fn result_bytes(fate: &Fate) -> u64 {
    match fate {
        Fate::Done(result) => result.len() as u64,
        _ => 0,
    }
}
