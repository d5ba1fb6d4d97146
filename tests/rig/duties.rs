//! What others see of duties: a checker of effects, and a world in simulated time with nodes, a store that changes its
//! leader, and a target that guards itself. The decisions are those of the program; the world only carries messages.

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sillflow::lease::expiry::Watch;
use sillflow::lease::own::Own;
use sillflow::lease::table::{Deed, Fit, Grants, Refused, State, Table, Work};
use sillflow::lease::{DutyName, Fence, Guard};

/// What was seen from outside, in the order in which it was.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// An effect was begun by somebody: seen by one that turns nothing down.
    Begun { at_ms: u64, fence: Fence, by: u64 },
    /// It came to the target, which took it or turned it down.
    Came { at_ms: u64, fence: Fence, by: u64, taken: bool },
    /// One may go on under the numbers of another, which begins nothing more by then.
    Passed { from: u64, to: u64 },
}

/// What breaks the promises.
#[derive(Clone, Debug, PartialEq)]
pub enum Broken {
    /// An effect was begun under a lower number than one before.
    Overlap { duty: DutyName, low: u64, high: u64, at_ms: u64 },
    /// Two acted under one number, and it was not passed on, or the first one's effects had not ended.
    Twice { duty: DutyName, number: u64 },
    /// The target took a lower number than one before.
    Back { duty: DutyName, low: u64, high: u64 },
    /// Nobody was seen to act for so long, in ms.
    Gap { duty: DutyName, ms: u64, at_ms: u64 },
}

/// Judges what was seen, but for gaps.
pub fn judge(seen: &[Seen]) -> Vec<Broken> {
    let mut broken = Vec::new();
    let (mut begun, mut taken) = (BTreeMap::<&DutyName, u64>::new(), BTreeMap::<&DutyName, u64>::new());
    let mut owner = BTreeMap::<u64, (&DutyName, u64)>::new();
    let mut passed = BTreeSet::new();
    for event in seen {
        if let Seen::Begun { fence, by, .. } | Seen::Came { fence, by, taken: true, .. } = event {
            let (duty, number) = (&fence.duty, fence.number);
            let owner = owner.entry(number).or_insert((duty, *by));
            if owner.0 == duty && passed.contains(&(owner.1, *by)) {
                owner.1 = *by;
            }
            if *owner != (duty, *by) {
                broken.push(Broken::Twice { duty: duty.clone(), number });
            }
        }
        match event {
            Seen::Begun { at_ms, fence, .. } => {
                let (duty, low) = (&fence.duty, fence.number);
                let high = begun.entry(duty).or_insert(low);
                if low < *high {
                    broken.push(Broken::Overlap { duty: duty.clone(), low, high: *high, at_ms: *at_ms });
                }
                *high = low.max(*high);
            }
            Seen::Passed { from, to } => drop(passed.insert((*from, *to))),
            Seen::Came { fence, taken: true, .. } => {
                let (duty, low) = (&fence.duty, fence.number);
                let high = taken.entry(duty).or_insert(low);
                if low < *high {
                    broken.push(Broken::Back { duty: duty.clone(), low, high: *high });
                }
                *high = low.max(*high);
            }
            Seen::Came { .. } => {}
        }
    }
    broken
}

/// Gaps of more than `most` ms between effects of these duties that were taken, from one moment to another.
pub fn gaps(seen: &[Seen], duties: &[DutyName], (from, to): (u64, u64), most: u64) -> Vec<Broken> {
    let mut broken = Vec::new();
    for duty in duties {
        let times = seen.iter().filter_map(|event| match event {
            Seen::Came { at_ms, fence, taken: true, .. } if fence.duty == *duty => Some(*at_ms),
            _ => None,
        });
        let mut last = from;
        for at in times.filter(|at| (from..=to).contains(at)).chain([to]) {
            if at - last > most {
                broken.push(Broken::Gap { duty: duty.clone(), ms: at - last, at_ms: at });
            }
            last = at;
        }
    }
    broken
}

/// An error that is planted in the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// The holder counts its lease from when the answer came.
    FromAnswer,
    /// The target forgets its numbers when it starts again.
    GuardForgets,
    /// A timer beside the task renews for it, whatever it does.
    TimerRenews,
    /// The store's watch reads a wall clock, which is set now and then.
    WallClock,
    /// A holder looks at its lease when it renews, and not at the effect.
    NotAtEffect,
    /// What ended a session does not name the renewal that it saw.
    NoMark,
    /// Numbers begin anew when the store has lost power.
    NumbersAgain,
    /// A process passes its numbers on while effects under them are under way.
    PassedUnderWay,
}

/// The lease, in ms, and renewals in it.
pub const LEASE_MS: u64 = 2000;
const EVERY_MS: u64 = LEASE_MS / 4;
/// Renewals over which a duty may stand still.
const STILL: u32 = 8;
/// Members of the store.
const MEMBERS: usize = 3;

enum Event {
    Renew { node: usize, life: u64 },
    AtStore { node: usize, life: u64, deed: Deed, asked: u64 },
    Answer { node: usize, life: u64, asked: Option<u64>, done: Result<Option<Grants>, Refused> },
    Act { node: usize, life: u64, fence: Fence },
    Arrives { node: usize, life: u64, fence: Fence },
    Acked { node: usize, life: u64, fence: Fence, taken: bool },
    Look { member: usize },
    Apply { member: usize, upto: usize },
    Proposed(Deed),
    Ring { node: usize },
}

#[derive(Clone, Copy)]
struct Clock {
    offset: u64,
    ppm: i64,
}

impl Clock {
    fn at(&self, now: u64) -> u64 {
        self.offset + (now as i64 + now as i64 * self.ppm / 1_000_000) as u64
    }
}

struct Node {
    up: bool,
    life: u64,
    session: u64,
    own: Own,
    clock: Clock,
    fit: Fit,
    /// Stopped, as by a signal, until then.
    stopped: u64,
    progress: BTreeMap<DutyName, u64>,
    /// Numbers whose effect is under way.
    busy: BTreeSet<u64>,
    leaving: BTreeSet<DutyName>,
    /// Duties whose task does nothing here.
    pub stuck: BTreeSet<DutyName>,
    looked_ok: bool,
}

struct Member {
    table: Table,
    upto: usize,
    watch: Watch,
    clock: Clock,
    stopped: u64,
}

/// What the network does.
#[derive(Clone, Copy, Debug, Default)]
pub struct Weather {
    pub lost: f64,
    pub doubled: f64,
    /// Share of messages that come up to 5 s late.
    pub put_off: f64,
}

pub struct World {
    pub now: u64,
    pub seen: Vec<Seen>,
    pub weather: Weather,
    pub duties: Vec<DutyName>,
    pub table: Table,
    pub writes: u64,
    pub plant: Option<Plant>,
    /// Whether a majority of the store is there.
    pub majority: bool,
    /// Nodes that the store does not reach, and that do not reach it.
    pub from_store: BTreeSet<usize>,
    pub to_store: BTreeSet<usize>,
    pub to_target: BTreeSet<usize>,
    pub rng: SmallRng,
    log: Vec<Deed>,
    leader: usize,
    nodes: Vec<Node>,
    members: Vec<Member>,
    guard: Guard,
    events: BTreeMap<(u64, u64), Event>,
    turn: u64,
    wall: u64,
}

fn belongs(_: &str, _: u64) -> bool {
    true
}

impl World {
    /// So many nodes and duties, without any fault yet.
    pub fn new(seed: u64, nodes: usize, duties: usize, plant: Option<Plant>) -> Self {
        let mut world = Self::empty(seed, nodes, duties, plant);
        (0..nodes).for_each(|n| world.begin(n));
        world
    }

    /// The same with one node that was alone when the duties were declared, and the others some time later.
    pub fn of_one(seed: u64, nodes: usize, duties: usize) -> Self {
        let mut world = Self::empty(seed, nodes, duties, None);
        world.begin(0);
        world.run_for(5000);
        (1..nodes).for_each(|n| world.begin(n));
        world
    }

    fn empty(seed: u64, nodes: usize, duties: usize, plant: Option<Plant>) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let names: Vec<DutyName> =
            (0..duties).map(|n| DutyName::new(format!("d{n}")).expect("a name")).collect();
        let mut clock = || Clock { offset: rng.random_range(0..1 << 40), ppm: rng.random_range(-4000..4000) };
        let node = |clock| Node {
            up: false,
            life: 0,
            session: 0,
            own: Own::default(),
            clock,
            fit: Fit::Ready,
            stopped: 0,
            progress: BTreeMap::new(),
            busy: BTreeSet::new(),
            leaving: BTreeSet::new(),
            stuck: BTreeSet::new(),
            looked_ok: false,
        };
        let nodes_made = (0..nodes).map(|_| node(clock())).collect();
        let member =
            |clock| Member { table: Table::default(), upto: 0, watch: Watch::default(), clock, stopped: 0 };
        let members = (0..MEMBERS).map(|_| member(clock())).collect();
        let mut world = Self {
            now: 0,
            seen: Vec::new(),
            weather: Weather::default(),
            duties: names.clone(),
            table: Table::default(),
            writes: 0,
            plant,
            majority: true,
            from_store: BTreeSet::new(),
            to_store: BTreeSet::new(),
            to_target: BTreeSet::new(),
            rng,
            log: Vec::new(),
            leader: 0,
            nodes: nodes_made,
            members,
            guard: Guard::new(),
            events: BTreeMap::new(),
            turn: 0,
            wall: 0,
        };
        world.commit(Deed::Declare(names.into_iter().collect())).expect("room");
        (0..MEMBERS).for_each(|member| world.at(50, Event::Look { member }));
        world
    }

    fn at(&mut self, after: u64, event: Event) {
        self.turn += 1;
        self.events.insert((self.now + after, self.turn), event);
    }

    /// Starts a node's process.
    pub fn begin(&mut self, n: usize) {
        let session = self.rng.random();
        let node = &mut self.nodes[n];
        node.life += 1;
        (node.up, node.session, node.fit, node.stopped) = (true, session, Fit::Ready, 0);
        node.own = Own::default();
        node.own.begin(session);
        node.progress.clear();
        node.busy.clear();
        node.leaving.clear();
        node.stuck.clear();
        let life = node.life;
        self.at(1, Event::Renew { node: n, life });
    }

    /// Another process of a node goes on with its session, under the numbers whose effects have ended.
    pub fn upgrade(&mut self, n: usize) {
        let (all, node) = (self.plant == Some(Plant::PassedUnderWay), &mut self.nodes[n]);
        if !node.up || node.stopped > self.now {
            return;
        }
        let (busy, own) = (std::mem::take(&mut node.busy), std::mem::take(&mut node.own));
        node.own = own.pass(|fence| all || !busy.contains(&fence.number));
        node.life += 1;
        let (life, to) = (node.life, n as u64 * 1000 + node.life);
        self.seen.push(Seen::Passed { from: to - 1, to });
        let held: Vec<Fence> = self.nodes[n].own.held().collect();
        held.into_iter().for_each(|fence| self.at(1, Event::Act { node: n, life, fence }));
        self.at(1, Event::Renew { node: n, life });
    }

    pub fn is_up(&self, n: usize) -> bool {
        self.nodes[n].up
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n].up = false;
    }

    /// Stops a node's process for a while.
    pub fn stop(&mut self, n: usize, ms: u64) {
        self.nodes[n].stopped = self.nodes[n].stopped.max(self.now + ms);
    }

    pub fn stop_member(&mut self, member: usize, ms: u64) {
        self.members[member].stopped = self.members[member].stopped.max(self.now + ms);
    }

    pub fn leader(&self) -> usize {
        self.leader
    }

    /// Another member leads, and counts anew.
    pub fn lead(&mut self, member: usize) {
        self.leader = member;
        self.members[member].watch = Watch::default();
    }

    /// The task of a duty does nothing more at a node.
    pub fn stick(&mut self, n: usize, duty: DutyName) {
        self.nodes[n].stuck.insert(duty);
    }

    pub fn drain(&mut self, n: usize) {
        self.nodes[n].fit = Fit::Draining;
    }

    /// Sets the clock that only a planted error reads.
    pub fn set_wall(&mut self, forward: u64) {
        self.wall += forward;
    }

    pub fn restart_target(&mut self) {
        if self.plant == Some(Plant::GuardForgets) {
            self.guard = Guard::new();
        }
    }

    /// All processes end at once, and the clocks begin anew; what is synced stays.
    pub fn lose_power(&mut self) {
        (0..self.nodes.len()).for_each(|n| self.kill(n));
        if self.plant == Some(Plant::NumbersAgain) {
            self.table = Table::default();
            let names: BTreeSet<DutyName> = self.duties.iter().cloned().collect();
            self.log = Vec::new();
            self.members.iter_mut().for_each(|member| (member.table, member.upto) = (Table::default(), 0));
            self.commit(Deed::Declare(names)).expect("room");
        }
        for n in 0..self.nodes.len() {
            self.nodes[n].clock.offset = self.rng.random_range(0..1000);
        }
        for member in 0..MEMBERS {
            self.members[member].clock.offset = self.rng.random_range(0..1000);
            self.members[member].watch = Watch::default();
        }
    }

    /// The node that a duty is held by, if it is.
    pub fn holder(&self, duty: &DutyName) -> Option<usize> {
        let State::Held { by, .. } = self.table.duty(duty)?.state else { return None };
        self.nodes.iter().position(|node| node.session == by)
    }

    /// How many duties each session has.
    pub fn loads(&self) -> BTreeMap<u64, usize> {
        let mut loads = BTreeMap::new();
        for by in self.table.duties().filter_map(|(_, duty)| duty.state.holder()) {
            *loads.entry(by).or_insert(0) += 1;
        }
        loads
    }

    /// Who holds which duty.
    pub fn holders(&self) -> BTreeMap<DutyName, Option<usize>> {
        self.duties.iter().map(|duty| (duty.clone(), self.holder(duty))).collect()
    }

    fn commit(&mut self, mut deed: Deed) -> Result<(), Refused> {
        if self.plant == Some(Plant::NoMark)
            && let Deed::Expire { session, renewed } = &mut deed
        {
            *renewed = self.table.session(*session).map_or(0, |session| session.renewed);
        }
        self.writes += 1;
        self.log.push(deed.clone());
        let before = self.table.revision();
        let done = self.table.apply(deed, &belongs);
        let upto = self.log.len();
        for member in 0..MEMBERS {
            let after = if member == self.leader { 0 } else { self.rng.random_range(1..200) };
            self.at(after, Event::Apply { member, upto });
        }
        let told: Vec<u64> =
            self.table.sessions().filter(|(_, session)| session.changed > before).map(|(id, _)| id).collect();
        for n in 0..self.nodes.len() {
            if told.contains(&self.nodes[n].session) && !self.is_lost() && !self.from_store.contains(&n) {
                let after = self.late();
                self.at(after, Event::Ring { node: n });
            }
        }
        done
    }

    fn is_lost(&mut self) -> bool {
        self.rng.random_bool(self.weather.lost)
    }

    fn late(&mut self) -> u64 {
        let late = self.rng.random_bool(self.weather.put_off);
        if late { self.rng.random_range(5..5000) } else { self.rng.random_range(1..8) }
    }

    fn tell_store(&mut self, n: usize, deed: Deed) {
        let node = &self.nodes[n];
        let (life, asked) = (node.life, node.clock.at(self.now));
        if self.is_lost() || self.to_store.contains(&n) {
            return;
        }
        for _ in 0..1 + usize::from(self.rng.random_bool(self.weather.doubled)) {
            let after = self.late();
            self.at(after, Event::AtStore { node: n, life, deed: deed.clone(), asked });
        }
    }

    fn lives(&self, n: usize, life: u64) -> bool {
        self.nodes[n].up && self.nodes[n].life == life
    }

    /// Whether a node that is stopped has to do this later.
    fn put_off(&mut self, n: usize, event: Event) -> Option<Event> {
        let stopped = self.nodes[n].stopped;
        if stopped > self.now {
            self.at(stopped - self.now, event);
            return None;
        }
        Some(event)
    }

    fn happen(&mut self, event: Event) {
        let stops = match &event {
            Event::Renew { node, .. }
            | Event::Answer { node, .. }
            | Event::Act { node, .. }
            | Event::Acked { node, .. }
            | Event::Ring { node } => Some(*node),
            _ => None,
        };
        let event = match stops {
            Some(n) => self.put_off(n, event),
            None => Some(event),
        };
        let Some(event) = event else { return };
        match event {
            Event::Renew { node, life } if self.lives(node, life) => self.renew(node),
            Event::AtStore { node, life, deed, asked } if self.majority => {
                let session = deed.session();
                let renews = matches!(deed, Deed::Open { .. } | Deed::Renew { .. });
                let done = self.commit(deed).map(|()| session.and_then(|id| self.table.grants(id)));
                if !self.is_lost() && !self.from_store.contains(&node) {
                    let after = self.late();
                    self.at(after, Event::Answer { node, life, asked: renews.then_some(asked), done });
                }
            }
            Event::Answer { node, life, asked, done } if self.lives(node, life) => {
                self.answered(node, asked, done);
            }
            Event::Ring { node } if self.nodes[node].up => {
                if let Some(grants) = self.table.grants(self.nodes[node].session) {
                    self.turn(node, grants, None);
                }
            }
            Event::Act { node, life, fence } if self.lives(node, life) => self.act(node, fence),
            Event::Arrives { node, life, fence } => {
                let taken = self.guard.admit(&fence).is_ok();
                let (at_ms, by) = (self.now, node as u64 * 1000 + life);
                self.seen.push(Seen::Came { at_ms, fence: fence.clone(), by, taken });
                let after = self.late();
                self.at(after, Event::Acked { node, life, fence, taken });
            }
            Event::Acked { node, life, fence, taken } if self.lives(node, life) => {
                self.acked(node, fence, taken);
            }
            Event::Look { member } => self.look(member),
            Event::Apply { member, upto } => {
                let stopped = self.members[member].stopped;
                if stopped > self.now {
                    // What it missed comes some time after it goes on.
                    let after = stopped - self.now + self.rng.random_range(0..300);
                    self.at(after, Event::Apply { member, upto });
                    return;
                }
                let there = &mut self.members[member];
                while there.upto < upto.min(self.log.len()) {
                    let _ = there.table.apply(self.log[there.upto].clone(), &belongs);
                    there.upto += 1;
                }
            }
            Event::Proposed(deed) if self.majority => drop(self.commit(deed)),
            _ => {}
        }
    }

    fn renew(&mut self, n: usize) {
        let (life, draining) = (self.nodes[n].life, self.nodes[n].fit == Fit::Draining);
        let node = &mut self.nodes[n];
        let now = node.clock.at(self.now);
        node.looked_ok = now < node.own.until_ms();
        let (session, fit) = (node.session, node.fit);
        let timer = self.plant == Some(Plant::TimerRenews);
        let held: Vec<Fence> = node.own.held().collect();
        let work = held.into_iter().map(|Fence { duty, number }| {
            let progress = if timer { now } else { node.progress.get(&duty).copied().unwrap_or(0) };
            Work { duty, number, progress }
        });
        let work: Vec<Work> = work.collect();
        let idle = work.is_empty();
        // A process that the store does not know yet opens its session again and again under the same word.
        let open = Deed::Open {
            session,
            node: format!("n{n}"),
            incarnation: 1,
            weight: 1,
            lease_ms: LEASE_MS,
            still_most: STILL,
            fit: Fit::Cold,
        };
        let deed = if node.own.until_ms() == 0 { open } else { Deed::Renew { session, fit, work } };
        if draining && idle {
            self.tell_store(n, Deed::Close { session });
            self.kill(n);
            return;
        }
        self.tell_store(n, deed);
        let after = self.rng.random_range(EVERY_MS * 9 / 10..=EVERY_MS);
        self.at(after, Event::Renew { node: n, life });
    }

    fn answered(&mut self, n: usize, asked: Option<u64>, done: Result<Option<Grants>, Refused>) {
        match done {
            Ok(Some(grants)) => self.turn(n, grants, asked),
            Err(Refused::Ended(ended)) if ended == self.nodes[n].session => {
                // The session is over: the same process begins another.
                let session = self.rng.random();
                let node = &mut self.nodes[n];
                node.own.begin(session);
                node.session = session;
                node.leaving.clear();
            }
            _ => {}
        }
    }

    fn turn(&mut self, n: usize, grants: Grants, asked: Option<u64>) {
        let from_answer = self.plant == Some(Plant::FromAnswer);
        let (now, life) = (self.now, self.nodes[n].life);
        let node = &mut self.nodes[n];
        let session = node.session;
        let of = grants.session;
        let turned = node.own.turn_to(grants);
        if let Some(asked) = asked {
            node.own.renewed(of, if from_answer { node.clock.at(now) } else { asked }, LEASE_MS);
            node.looked_ok = true;
        }
        for grant in turned.begun {
            node.progress.insert(grant.duty.clone(), 0);
            let fence = Fence { duty: grant.duty, number: grant.number };
            self.turn += 1;
            self.events.insert((now + 1, self.turn), Event::Act { node: n, life, fence });
        }
        self.nodes[n].leaving.extend(turned.hand_on);
        for Fence { duty, number } in turned.over.into_iter().chain(turned.left) {
            self.tell_store(n, Deed::Release { session, duty, number, state: Vec::new(), unable: false });
        }
    }

    fn act(&mut self, n: usize, fence: Fence) {
        let life = self.nodes[n].life;
        let node = &mut self.nodes[n];
        let now = node.clock.at(self.now);
        let stays = node.own.held().any(|held| held == fence);
        if !stays || node.busy.contains(&fence.number) {
            return;
        }
        if node.leaving.remove(&fence.duty) {
            node.own.stop(&fence);
            let (session, Fence { duty, number }) = (node.session, fence);
            self.tell_store(n, Deed::Release { session, duty, number, state: vec![1], unable: false });
            return;
        }
        let good = match self.plant {
            Some(Plant::NotAtEffect) => node.looked_ok,
            _ => node.own.may(now, &fence),
        };
        let again = self.rng.random_range(10..40);
        self.at(again, Event::Act { node: n, life, fence: fence.clone() });
        if !good || self.nodes[n].stuck.contains(&fence.duty) {
            return;
        }
        let by = n as u64 * 1000 + life;
        self.seen.push(Seen::Begun { at_ms: self.now, fence: fence.clone(), by });
        self.nodes[n].busy.insert(fence.number);
        if self.to_target.contains(&n) || self.is_lost() {
            // It is tried again when no answer has come.
            self.at(300, Event::Acked { node: n, life, fence, taken: false });
            return;
        }
        let after = self.late();
        self.at(after, Event::Arrives { node: n, life, fence });
    }

    fn acked(&mut self, n: usize, fence: Fence, taken: bool) {
        let life = self.nodes[n].life;
        let node = &mut self.nodes[n];
        node.busy.remove(&fence.number);
        if taken {
            *node.progress.entry(fence.duty.clone()).or_insert(0) += 1;
        }
        let after = self.rng.random_range(10..40);
        self.at(after, Event::Act { node: n, life, fence });
    }

    fn look(&mut self, member: usize) {
        let after = self.rng.random_range(40..60);
        self.at(after, Event::Look { member });
        let (now, wall) = (self.now, self.wall);
        let there = &mut self.members[member];
        if there.stopped > now || member != self.leader {
            return;
        }
        let clock = if self.plant == Some(Plant::WallClock) { now + wall } else { there.clock.at(now) };
        for deed in there.watch.look(clock, &there.table) {
            // One that was overtaken as leader may see it in the log much later.
            let after = if self.rng.random_bool(0.02) {
                self.rng.random_range(0..3000)
            } else {
                self.rng.random_range(1..20)
            };
            self.at(after, Event::Proposed(deed));
        }
    }

    /// Lets time pass.
    pub fn run_for(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= end) {
            self.now = entry.key().0;
            let event = entry.remove();
            self.happen(event);
        }
        self.now = end;
    }

    /// Everything passes again, and everybody runs.
    pub fn calm(&mut self) {
        self.weather = Weather::default();
        self.majority = true;
        [&mut self.from_store, &mut self.to_store, &mut self.to_target].into_iter().for_each(BTreeSet::clear);
        for n in 0..self.nodes.len() {
            self.nodes[n].stopped = self.now;
            if !self.nodes[n].up {
                self.begin(n);
            }
        }
        self.members.iter_mut().for_each(|member| member.stopped = 0);
    }
}

/// A history of faults drawn from a seed, and what is wrong with it.
pub fn history(seed: u64, plant: Option<Plant>) -> Vec<Broken> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xd07);
    let (nodes, duties) = (rng.random_range(5..=9), rng.random_range(1..=6));
    let mut world = World::new(seed, nodes, duties, plant);
    world.run_for(3000);
    for _ in 0..rng.random_range(4..14) {
        let n = rng.random_range(0..nodes);
        let duty = world.duties[rng.random_range(0..duties)].clone();
        let holder = world.holder(&duty).unwrap_or(n);
        match rng.random_range(0..17) {
            0 => world.stop(holder, rng.random_range(100..3 * LEASE_MS)),
            1 => world.kill(holder),
            2 => drop(world.from_store.insert(holder)),
            3 => drop(world.to_store.insert(holder)),
            4 => drop(world.to_target.insert(holder)),
            5 => world.weather = Weather { lost: 0.2, doubled: 0.1, put_off: 0.1 },
            6 => world.lead((world.leader() + 1) % MEMBERS),
            7 => {
                world.kill(holder);
                world.stop_member(world.leader(), rng.random_range(500..8000));
                world.run_for(rng.random_range(500..2000));
                world.lead((world.leader() + 1) % MEMBERS);
            }
            8 => world.stick(holder, duty),
            9 => world.drain(holder),
            10 => world.lose_power(),
            11 => {
                // An effect of a holder that died comes late, at a target that has started again.
                world.weather.put_off = 0.5;
                world.run_for(1000);
                world.kill(holder);
                world.run_for(rng.random_range(2000..3500));
                for _ in 0..10 {
                    world.restart_target();
                    world.run_for(rng.random_range(20..200));
                }
            }
            12 => world.set_wall(rng.random_range(1000..20_000)),
            13 => world.majority = false,
            14 => world.stop_member(world.leader(), rng.random_range(100..5000)),
            15 => world.upgrade(holder),
            _ => world.calm(),
        }
        world.run_for(rng.random_range(50..4000));
        if !world.is_up(n) {
            world.begin(n);
        }
    }
    world.calm();
    // Some tasks are stuck still: their duties go elsewhere. What was set aside comes back.
    world.run_for(8 * LEASE_MS);
    let (from, to) = (world.now, world.now + 2000);
    world.run_for(2000);
    let mut broken = judge(&world.seen);
    let aside = |duty: &&DutyName| world.table.duty(duty).is_some_and(|duty| duty.state != State::Aside);
    let tried: Vec<DutyName> = world.duties.iter().filter(aside).cloned().collect();
    broken.extend(gaps(&world.seen, &tried, (from, to), 1500));
    broken
}
