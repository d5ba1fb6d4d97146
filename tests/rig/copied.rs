//! Many nodes' copies in one process, in simulated time: the machines as the program runs them, with a network that loses,
//! doubles and puts off, machines that die with what they hold, and views that come to each node in its own time. What
//! callers and processors saw is judged by [`judge`].

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sillflow::fleet::view::{Applicant, Change, View};
use sillflow::replication::key::{Body, KeyId};
use sillflow::replication::register::Fate;
use sillflow::replication::slots::Terms;
use sillflow::replication::wire::{Fetch, Message, Page};
use sillflow::replication::{Claim, Errand, Machine, Members, News, Out};

/// How long a key's window lasts, in ms.
pub const WINDOW_MS: u64 = 8000;
/// How long a caller waits.
const DUE_MS: u64 = 1500;
/// How long the holders have to give a claim.
const CLAIM_MS: u32 = 400;

/// What was seen from outside, in the order in which it was.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A processor has begun a run of a key: which run, at which node.
    Began { key: u64, run: u64, node: usize },
    /// A caller has got a result.
    Done { key: u64, run: u64 },
    /// A caller was told that its request failed.
    Failed { key: u64 },
    /// A caller was turned away, which asked when so much had been seen.
    Refused { key: u64, asked: usize },
}

/// What breaks the promises.
#[derive(Clone, Debug, PartialEq)]
pub enum Broken {
    /// A key was begun twice.
    SecondRun(u64),
    /// Two callers got results of different runs, or one of no run.
    OtherResult(u64),
    /// A caller that asked after a run had begun was told that nothing ran.
    Denied(u64),
}

/// Judges what was seen. All of it lies within one window.
pub fn judge(seen: &[Seen]) -> Vec<Broken> {
    let (mut runs, mut done) = (BTreeMap::<u64, u64>::new(), BTreeMap::<u64, u64>::new());
    let mut broken = Vec::new();
    let mut begins = BTreeMap::<u64, usize>::new();
    for (at, event) in seen.iter().enumerate() {
        match event {
            Seen::Began { key, run, .. } => {
                begins.entry(*key).or_insert(at);
                if runs.insert(*key, *run).is_some() {
                    broken.push(Broken::SecondRun(*key));
                }
            }
            Seen::Done { key, run } => {
                let other = done.insert(*key, *run).is_some_and(|before| before != *run);
                if other || runs.get(key) != Some(run) {
                    broken.push(Broken::OtherResult(*key));
                }
            }
            Seen::Refused { key, asked } => {
                if begins.get(key).is_some_and(|at| at < asked) {
                    broken.push(Broken::Denied(*key));
                }
            }
            Seen::Failed { .. } => {}
        }
    }
    broken
}

enum Event {
    Message { to: u64, from: usize, message: Message },
    Page { to: usize, from: u64, fetch: Fetch, page: Option<Page> },
    Ended { node: usize, life: u64, request: u32 },
    View { node: usize, view: Box<View> },
    Store(Change),
}

struct Request {
    key: u64,
    /// Whether its caller or another has asked for the key before, and how much had been seen when it did itself.
    further: bool,
    asked: usize,
    run: Option<u64>,
    due: u64,
    answered: bool,
}

struct Node {
    machine: Machine,
    /// Which process of the node it is.
    life: u64,
    view: View,
    requests: BTreeMap<u32, Request>,
    up: bool,
}

/// What the network does.
#[derive(Clone, Copy, Debug, Default)]
pub struct Weather {
    pub lost: f64,
    pub doubled: f64,
    /// Share of messages that come up to a minute late.
    pub put_off: f64,
}

pub struct World {
    pub now: u64,
    pub view: View,
    pub seen: Vec<Seen>,
    pub weather: Weather,
    pub cut: BTreeSet<(usize, usize)>,
    pub messages: u64,
    /// What is done to messages on their way, where an error is planted.
    pub plant: Option<fn(&mut Message)>,
    nodes: Vec<Node>,
    events: BTreeMap<(u64, u64), Event>,
    /// Keys that were asked for.
    keys: BTreeSet<u64>,
    turn: u64,
    runs: u64,
    pub rng: SmallRng,
}

impl World {
    /// So many nodes in three zones, which all belong and hold copies of a number.
    pub fn new(seed: u64, count: usize, copies: u8) -> Self {
        let mut world = Self {
            now: 0,
            view: View::default(),
            seen: Vec::new(),
            weather: Weather::default(),
            cut: BTreeSet::new(),
            messages: 0,
            plant: None,
            nodes: Vec::new(),
            events: BTreeMap::new(),
            keys: BTreeSet::new(),
            turn: 0,
            runs: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for n in 0..count {
            let machine = Machine::new(world.rng.random(), 1 << 20);
            let view = View::default();
            world.nodes.push(Node { machine, life: 1, view, requests: BTreeMap::new(), up: true });
            world.join(n);
        }
        world.change(Change::Copies(Terms { copies, window_ms: WINDOW_MS * 2 }));
        world.run_for(2000);
        world
    }

    fn join(&mut self, n: usize) {
        let node = Applicant {
            name: format!("n{n}"),
            address: ([127, 0, 0, 1], 7000 + n as u16).into(),
            machine: format!("m{n}"),
            zone: format!("z{}", n % 3),
            birth: n as u64 * 1000 + self.nodes[n].life,
            weight: 1,
        };
        self.change(Change::Join { node, instead: None });
    }

    fn at(&mut self, after: u64, event: Event) {
        self.turn += 1;
        self.events.insert((self.now + after, self.turn), event);
    }

    /// Changes the view, which comes to each node in its own time.
    pub fn change(&mut self, change: Change) {
        let before = self.view.number();
        let _ = self.view.change(change);
        if self.view.number() != before {
            for node in 0..self.nodes.len() {
                let (after, view) = (self.rng.random_range(1..400), Box::new(self.view.clone()));
                self.at(after, Event::View { node, view });
            }
        }
    }

    fn me(&self, n: usize) -> Option<u64> {
        let birth = n as u64 * 1000 + self.nodes[n].life;
        let view = &self.nodes[n].view;
        let mut there = view.nodes().chain(view.leaving());
        there.find(|node| node.applicant.birth == birth).map(|node| node.incarnation)
    }

    fn node_of(&self, id: u64) -> Option<usize> {
        let node = self.view.nodes().chain(self.view.leaving()).find(|node| node.incarnation == id)?;
        node.applicant.name[1..].parse().ok()
    }

    /// Ends a machine with all that it holds, and declares it lost a while later; then it begins anew.
    pub fn lose(&mut self, n: usize, after: u64) {
        self.nodes[n].up = false;
        let name = format!("n{n}");
        if let Some(incarnation) = self.view.get(&name).map(|node| node.incarnation) {
            self.at(after, Event::Store(Change::Lost { name, incarnation }));
        }
    }

    /// Begins a lost machine anew, with nothing.
    pub fn begin(&mut self, n: usize) {
        let process = self.rng.random();
        let life = self.nodes[n].life + 1;
        let (machine, view) = (Machine::new(process, 1 << 20), self.view.clone());
        self.nodes[n] = Node { machine, life, view, requests: BTreeMap::new(), up: true };
        self.join(n);
    }

    pub fn is_up(&self, n: usize) -> bool {
        self.nodes[n].up
    }

    /// A node leaves in order.
    pub fn leave(&mut self, n: usize) {
        let name = format!("n{n}");
        if let Some(incarnation) = self.view.get(&name).map(|node| node.incarnation) {
            self.change(Change::Leave { name, incarnation });
        }
    }

    pub fn machine(&self, n: usize) -> &Machine {
        &self.nodes[n].machine
    }

    /// A caller asks a node to run a key.
    pub fn ask(&mut self, n: usize, key: u64) {
        self.asks(n, key, Errand::Claim);
    }

    /// The same where the node has much to do and would turn a repeat away.
    pub fn ask_busy(&mut self, n: usize, key: u64) {
        self.asks(n, key, if self.keys.contains(&key) { Errand::Look } else { Errand::Claim });
    }

    fn asks(&mut self, n: usize, key: u64, errand: fn(Claim) -> Errand) {
        if !self.nodes[n].up {
            return;
        }
        self.turn += 1;
        let (request, due) = (self.turn as u32, self.now + DUE_MS);
        let (further, asked) = (!self.keys.insert(key), self.seen.len());
        let of = Request { key, further, asked, run: None, due, answered: false };
        self.nodes[n].requests.insert(request, of);
        let claim = Claim {
            request,
            key: KeyId::of("pay", &key.to_string()),
            body: Body::of(&key.to_le_bytes()),
            left_ms: WINDOW_MS as u32,
            wait_ms: CLAIM_MS,
            share_ms: DUE_MS as u32 - 50,
        };
        let node = &mut self.nodes[n];
        let out = node.machine.run(self.now, errand(claim), &mut self.rng);
        self.carry_out(n, out);
    }

    fn carry_out(&mut self, n: usize, out: Vec<Out>) {
        for out in out {
            match out {
                Out::Send(to, message) | Out::Whole(to, message) => self.send(n, to, message),
                Out::Reply(_) | Out::Answer(..) => {}
                Out::Tell(request, news) => self.told(n, request, news),
                Out::Fetch(from, fetch) => {
                    let page = self.node_of(from).filter(|other| self.passes(*other, n));
                    let page = page.and_then(|other| self.nodes[other].machine.page(self.now, &fetch));
                    let after = self.rng.random_range(1..10);
                    self.at(after, Event::Page { to: n, from, fetch, page });
                }
                Out::Settle(settled) => {
                    let after = self.rng.random_range(5..100);
                    self.at(after, Event::Store(Change::Settled(settled)));
                }
                Out::Newer(_) => {
                    let (after, view) = (self.rng.random_range(5..100), Box::new(self.view.clone()));
                    self.at(after, Event::View { node: n, view });
                }
            }
        }
    }

    fn passes(&self, from: usize, to: usize) -> bool {
        self.nodes[from].up && self.nodes[to].up && !self.cut.contains(&(from, to))
    }

    fn send(&mut self, from: usize, to: u64, mut message: Message) {
        self.messages += 1;
        if let Some(plant) = self.plant {
            plant(&mut message);
        }
        if self.rng.random_bool(self.weather.lost) {
            return;
        }
        for _ in 0..1 + usize::from(self.rng.random_bool(self.weather.doubled)) {
            let late = self.rng.random_bool(self.weather.put_off);
            let after = if late { self.rng.random_range(10..60_000) } else { self.rng.random_range(1..4) };
            self.at(after, Event::Message { to, from, message: message.clone() });
        }
    }

    fn told(&mut self, n: usize, request: u32, news: News) {
        self.runs += 1;
        let (run, now) = (self.runs, self.now);
        let Some(asked) = self.nodes[n].requests.get_mut(&request) else { return };
        let key = asked.key;
        let late = now > asked.due;
        let mut answer = |asked: &mut Request, seen: Seen| {
            if !std::mem::replace(&mut asked.answered, true) && !late {
                self.seen.push(seen);
            }
        };
        match news {
            News::Mine => {
                asked.run = Some(run);
                self.seen.push(Seen::Began { key, run, node: n });
                let (after, life) = (self.rng.random_range(5..150), self.nodes[n].life);
                self.at(after, Event::Ended { node: n, life, request });
            }
            News::Done(result) => {
                let run = u64::from_le_bytes(result[..].try_into().expect("a run's number"));
                answer(asked, Seen::Done { key, run });
            }
            News::Copied => {
                if let Some(run) = asked.run {
                    answer(asked, Seen::Done { key, run });
                }
            }
            News::Failed | News::Doubt | News::Taken => answer(asked, Seen::Failed { key }),
            News::Unreached if asked.further => answer(asked, Seen::Failed { key }),
            News::Unreached | News::Full | News::Nobodys => {
                let refused = Seen::Refused { key, asked: asked.asked };
                answer(asked, refused);
            }
            News::Theirs | News::TooLarge => {}
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Message { to, from, message } => {
                let Some(n) = self.node_of(to).filter(|n| self.passes(from, *n)) else { return };
                let out = self.nodes[n].machine.hear(self.now, message, &mut self.rng);
                let (answers, rest): (Vec<Out>, Vec<Out>) =
                    out.into_iter().partition(|out| matches!(out, Out::Reply(_) | Out::Answer(..)));
                self.carry_out(n, rest);
                let Some(back) = self.me(from) else { return };
                for answer in answers {
                    if let Out::Reply(message) | Out::Answer(message, ..) = answer {
                        self.send(n, back, message);
                    }
                }
            }
            Event::Page { to, from, fetch, page } => {
                if let Some(page) = page.filter(|_| self.nodes[to].up) {
                    self.nodes[to].machine.fetched(self.now, from, &fetch, page);
                }
            }
            Event::Ended { node, life, request } if self.nodes[node].up && self.nodes[node].life == life => {
                let run = self.nodes[node].requests.get(&request).and_then(|asked| asked.run).unwrap_or(0);
                let fate = Fate::Done(run.to_le_bytes().to_vec().into());
                let errand = Errand::End { request, fate };
                let out = self.nodes[node].machine.run(self.now, errand, &mut self.rng);
                self.carry_out(node, out);
            }
            Event::Ended { .. } => {}
            Event::View { node, view } => {
                if self.nodes[node].up && view.number() > self.nodes[node].view.number() {
                    self.nodes[node].view = *view;
                    let me = self.me(node);
                    let view = &self.nodes[node].view;
                    let members = Members {
                        number: view.number(),
                        me,
                        nodes: view.nodes().map(|node| node.incarnation).collect(),
                        leaving: view.leaving().map(|node| node.incarnation).collect(),
                    };
                    let slots = view.slots().clone();
                    let out = self.nodes[node].machine.turn_to(self.now, members, slots);
                    self.carry_out(node, out);
                }
            }
            Event::Store(change) => self.change(change),
        }
    }

    /// Lets time pass.
    pub fn run_for(&mut self, time: u64) {
        let end = self.now + time;
        while self.now < end {
            let next = self.events.keys().next().map_or(end, |(at, _)| *at);
            let wake = |node: &Node| if node.up { node.machine.wake_at() } else { u64::MAX };
            let woken = self.nodes.iter().map(wake).min().unwrap_or(u64::MAX);
            self.now = next.min(woken.max(self.now + 1)).min(end);
            while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let event = entry.remove();
                self.happen(event);
            }
            for n in 0..self.nodes.len() {
                if self.nodes[n].up && self.nodes[n].machine.wake_at() <= self.now {
                    let up: BTreeSet<u64> = self.alive();
                    let node = &mut self.nodes[n];
                    node.machine.level(self.now, 0);
                    let out = node.machine.tick(self.now, &|id| up.contains(&id), &mut self.rng);
                    self.carry_out(n, out);
                }
            }
        }
    }

    fn alive(&self) -> BTreeSet<u64> {
        let up = |id: &u64| self.node_of(*id).is_some_and(|n| self.nodes[n].up);
        self.view.nodes().map(|node| node.incarnation).filter(up).collect()
    }

    /// Whether the holders of every slot are those that they are to be.
    pub fn is_settled(&self) -> bool {
        self.view.slots().all().all(|(_, slot)| slot.pending.is_none())
    }

    /// Living holders that have the end of a key.
    pub fn copies_of(&self, key: u64) -> usize {
        let key = KeyId::of("pay", &key.to_string());
        let over = |node: &Node| {
            let held = node.machine.holder().get(key).and_then(|held| held.row.accepted.as_ref());
            node.up && held.is_some_and(|(_, value)| matches!(value.fate, Fate::Done(_)))
        };
        self.nodes.iter().filter(|node| over(node)).count()
    }
}
