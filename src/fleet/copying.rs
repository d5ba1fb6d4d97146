//! The copies' sockets: hands what comes to the machine, and does what that says. Questions and answers are datagrams
//! where they fit; long ones, and keys that are fetched, go over connections.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use log::{debug, error, info, warn};
use rand::rngs::SmallRng;
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::task::{spawn_blocking, spawn_local};
use tokio::time::timeout;

use crate::config::CopiesTable;
use crate::replication::disk::{Change as Kept, Disk, DiskError, Found};
use crate::replication::keeping::Keeping;
use crate::replication::key::KeyId;
use crate::replication::report::{Report, Zone};
use crate::replication::slots::Terms;
use crate::replication::wire::{Fetch, Message, Page};
use crate::replication::{Errand, Machine, Members, News, Out};

use super::follow::Store;
use super::view::{Change, View};
use super::wire::{Packet, PeerAnswer, PeerQuestion, Question, Told, ask_from};

/// How long another node has for an answer on a connection.
const PATIENCE: Duration = Duration::from_secs(2);
/// Time after a sync that has failed until the next one.
const REST: Duration = Duration::from_millis(500);
/// Connections to other nodes at once.
const CONNECTIONS: usize = 8;

/// What the core of the node and its copies tell each other.
pub struct Part {
    /// The operator's table.
    pub table: CopiesTable,
    /// What the core wants done.
    pub errands: mpsc::UnboundedReceiver<Errand>,
    /// What it is told of that, by request.
    pub news: mpsc::UnboundedSender<(u32, News)>,
    /// What the operator's file says the whole fleet is to keep to.
    pub terms: watch::Receiver<Terms>,
    /// Set when the node is to leave; its sender hears when it has.
    pub leave: mpsc::Receiver<oneshot::Sender<()>>,
}

/// Where an answer goes.
pub(super) enum Target {
    /// Back as a datagram.
    Datagram(SocketAddr),
    /// Back on a connection.
    Whole(oneshot::Sender<PeerAnswer>),
}

/// Something that has come in beside datagrams.
pub(super) enum Inside {
    /// What another node says on a connection.
    Heard(Message),
    /// A page, or none where it was not to be had.
    Fetched(u64, Fetch, Option<Page>),
    /// What was to be synced is, or not.
    Synced(Result<(), String>),
    /// The time after a sync that has failed is over.
    Rested,
    /// The store has made a change, which is in the view of this number, or has not.
    Changed(Option<u64>),
}

/// A datagram on its way out.
pub(super) type Datagram = (SocketAddr, Packet);

/// What is kept on disk and what waits for that.
struct Keeper {
    disk: Arc<Disk>,
    keeping: Keeping<(Target, Message)>,
    /// Why nothing can be kept, while that is so.
    trouble: Option<String>,
}

/// The copies of a node, beside its part in the fleet.
pub(super) struct Copying {
    machine: Machine,
    part: Part,
    keeper: Option<Keeper>,
    store: Rc<Store>,
    addresses: BTreeMap<u64, SocketAddr>,
    me: Option<u64>,
    inside: mpsc::UnboundedSender<Inside>,
    from_inside: mpsc::UnboundedReceiver<Inside>,
    connections: Rc<Semaphore>,
    settling: bool,
    /// The view that has what this node has changed.
    awaited: u64,
    leaving: Option<oneshot::Sender<()>>,
    wished: Option<Terms>,
}

/// What woke the copies.
pub(super) enum Woken {
    Errand(Errand),
    Inside(Inside),
    Terms,
    Leave(oneshot::Sender<()>),
}

impl Copying {
    /// The copies of a process. A node that has them on disk is to belong under the word that comes with it.
    pub(super) fn new(part: Part, store: Rc<Store>, process: u64) -> Self {
        let (inside, from_inside) = mpsc::unbounded_channel();
        Self {
            machine: Machine::new(process, part.table.memory_kb * 1024),
            part,
            keeper: None,
            store,
            addresses: BTreeMap::new(),
            me: None,
            inside,
            from_inside,
            connections: Rc::new(Semaphore::new(CONNECTIONS)),
            settling: false,
            awaited: 0,
            leaving: None,
            wished: None,
        }
    }

    /// Takes up what is on disk, and says under which word the node is to belong: that of the directory, or a new one
    /// where copies are in memory and end with the process. `life` tells the life of a directory by its word and by the
    /// last life that something was kept in.
    pub(super) fn take_up(
        &mut self,
        now: u64,
        life: impl Fn(u64, Option<u64>) -> Option<u64>,
    ) -> Result<u64, DiskError> {
        let Some(directory) = self.part.table.directory.clone() else { return Ok(rand::random()) };
        let (disk, Found { mut birth, mut lives, is_old }) = Disk::open(&directory, now)?;
        let last = lives.keys().next_back().copied();
        let me = life(birth, last).filter(|_| !is_old);
        if let Some(me) = me {
            let own = lives.remove(&me).unwrap_or_default();
            info!("{} keys are held as before", own.rows.len());
            self.machine.holder_mut().restore(me, own.level, own.rows);
        } else if is_old || !lives.is_empty() {
            // Whoever counts on what was held here would count on what is not there.
            let why =
                if is_old { "older than what was kept here last" } else { "of a life that is not known" };
            warn!("{} is {why}: the node comes back as another life", directory.display());
            birth = rand::random();
            disk.renew(birth)?;
        }
        self.keeper = Some(Keeper { disk: Arc::new(disk), keeping: Keeping::default(), trouble: None });
        Ok(birth)
    }

    /// Begins another life of the node, whose copies were given up.
    pub(super) fn renew(&mut self, birth: u64) {
        if let Some(keeper) = &mut self.keeper {
            keeper.keeping.renew();
            if let Err(problem) = keeper.disk.renew(birth) {
                error!("nothing is kept until the copies of the life before are given up: {problem}");
            }
        }
    }

    /// Waits for what is not heard from other nodes.
    pub(super) async fn woken(&mut self) -> Woken {
        loop {
            tokio::select! {
                Some(inside) = self.from_inside.recv() => return Woken::Inside(inside),
                Some(errand) = self.part.errands.recv() => return Woken::Errand(errand),
                Some(left) = self.part.leave.recv() => return Woken::Leave(left),
                Ok(()) = self.part.terms.changed() => return Woken::Terms,
                else => std::future::pending().await,
            }
        }
    }

    /// When the machine is to be woken, in ms.
    pub(super) fn wake_at(&self) -> u64 {
        self.machine.wake_at()
    }

    /// Does what is due.
    pub(super) fn tick(
        &mut self,
        now: u64,
        alive: &dyn Fn(u64) -> bool,
        rng: &mut SmallRng,
    ) -> Vec<Datagram> {
        let out = self.machine.tick(now, alive, rng);
        let gone = self.machine.holder_mut().take_gone();
        if let Some(keeper) = &mut self.keeper {
            keeper.keeping.gone(gone);
        }
        self.carry_out(now, out, None)
    }

    /// Notes how long ago the view was heard to be in force.
    pub(super) fn level(&mut self, now: u64, age_ms: u64) {
        self.machine.level(now, age_ms);
    }

    /// Turns to another view, in which this node belongs, or hands on what it held, as `me`.
    pub(super) fn turn_to(&mut self, now: u64, me: Option<u64>, view: &View) -> Vec<Datagram> {
        self.me = me;
        let members = Members {
            number: view.number(),
            me,
            nodes: view.nodes().map(|node| node.incarnation).collect(),
            leaving: view.leaving().map(|node| node.incarnation).collect(),
        };
        let all = view.nodes().chain(view.leaving());
        self.addresses = all.map(|node| (node.incarnation, node.applicant.address)).collect();
        let out = self.machine.turn_to(now, members, view.slots().clone());
        self.agree(me, view.slots().terms());
        self.left();
        self.carry_out(now, out, None)
    }

    /// Sees to it that the fleet has terms, and that those that the operator has just set come into force.
    fn agree(&mut self, me: Option<u64>, terms: Option<Terms>) {
        if terms.is_some() && terms == self.wished {
            self.wished = None;
        }
        let awaits = self.store.number.get() < self.awaited;
        if me.is_none() || self.leaving.is_some() || self.settling || awaits {
            return;
        }
        if let Some(wished) = self.wished.or(terms.is_none().then(|| *self.part.terms.borrow())) {
            info!("this node asks for {} copies, windows of {} ms", wished.copies, wished.window_ms);
            self.change(Change::Copies(wished));
        }
    }

    /// Asks the store for a change, one at a time.
    fn change(&mut self, change: Change) {
        self.settling = true;
        let (store, inside) = (self.store.clone(), self.inside.clone());
        spawn_local(async move {
            let changed = store.change(change).await;
            if let Err(problem) = &changed {
                debug!("the store does not change the copies: {problem}");
                tokio::time::sleep(PATIENCE / 8).await;
            }
            store.bell.notify_one();
            let _ = inside.send(Inside::Changed(changed.ok()));
        });
    }

    /// Tells the one who waits for that when nothing here is needed by others any more.
    fn left(&mut self) {
        if self.machine.is_done()
            && let Some(left) = self.leaving.take()
        {
            info!("the copies of this node are handed on");
            let _ = left.send(());
        }
    }

    /// Does what follows from something that woke the copies. Where the node is to leave, it says so.
    pub(super) fn wake(
        &mut self,
        now: u64,
        woken: Woken,
        me: Option<u64>,
        view: &View,
        rng: &mut SmallRng,
    ) -> (Vec<Datagram>, bool) {
        let out = match woken {
            Woken::Errand(errand) => self.machine.run(now, errand, rng),
            Woken::Terms => {
                self.wished = Some(*self.part.terms.borrow_and_update());
                self.agree(me, view.slots().terms());
                Vec::new()
            }
            Woken::Leave(left) => {
                self.leaving = Some(left);
                self.left();
                return (Vec::new(), true);
            }
            Woken::Inside(Inside::Heard(message)) => self.machine.hear(now, message, rng),
            Woken::Inside(Inside::Fetched(from, fetch, page)) => {
                if let Some(page) = page {
                    let changed = self.machine.fetched(now, from, &fetch, page);
                    if let Some(keeper) = &mut self.keeper {
                        keeper.keeping.learned(&changed);
                    }
                }
                Vec::new()
            }
            Woken::Inside(Inside::Synced(synced)) => return (self.synced(now, synced), false),
            Woken::Inside(Inside::Rested) => {
                if let Some(keeper) = &mut self.keeper {
                    keeper.keeping.rested();
                }
                Vec::new()
            }
            Woken::Inside(Inside::Changed(number)) => {
                self.settling = false;
                self.awaited = self.awaited.max(number.unwrap_or(0));
                self.agree(me, view.slots().terms());
                Vec::new()
            }
        };
        (self.carry_out(now, out, None), false)
    }

    /// Hears a node, whose answer goes to `target`.
    pub(super) fn hear(
        &mut self,
        now: u64,
        message: Message,
        target: Target,
        rng: &mut SmallRng,
    ) -> Vec<Datagram> {
        let out = self.machine.hear(now, message, rng);
        self.carry_out(now, out, Some(target))
    }

    /// A node's answer is too long for a datagram.
    pub(super) fn hear_long(&mut self, now: u64, number: u64, from: u64) -> Vec<Datagram> {
        let out = self.machine.hear_long(now, number, from);
        self.carry_out(now, out, None)
    }

    /// Some of the keys that are held here.
    pub(super) fn page(&self, now: u64, fetch: &Fetch) -> PeerAnswer {
        // What is not synced yet is not told: it may be gone after a loss of power.
        let unsynced = |page: &Page| {
            let open = |key| self.keeper.as_ref().is_some_and(|keeper| keeper.keeping.is_open(key));
            page.records.iter().any(|record| open(record.key))
        };
        PeerAnswer::Page(self.machine.page(now, fetch).filter(|page| !unsynced(page)))
    }

    /// The slots of which nothing is left to be synced of what was fetched: a loss of power takes nothing of them.
    fn safe(&self, mut slots: Vec<(u16, u64)>) -> Vec<(u16, u64)> {
        if let Some(keeper) = &self.keeper {
            slots.retain(|(slot, _)| !keeper.keeping.is_learning(*slot));
        }
        slots
    }

    fn carry_out(&mut self, now: u64, out: Vec<Out>, target: Option<Target>) -> Vec<Datagram> {
        let (mut datagrams, mut target) = (Vec::new(), target);
        for out in out {
            match out {
                // What is held back here is said again before long.
                Out::Send(to, Message::Complete { from, slots }) => {
                    let slots = self.safe(slots);
                    if !slots.is_empty() {
                        self.send(to, Message::Complete { from, slots }, &mut datagrams);
                    }
                }
                Out::Send(to, message) => self.send(to, message, &mut datagrams),
                Out::Whole(to, message) => self.ask_whole(to, message),
                Out::Reply(message) => reply(target.take(), message, &mut datagrams),
                Out::Answer(message, key, changed) => {
                    let Some(target) = target.take() else { continue };
                    let keeping = self.keeper.as_mut().map(|keeper| &mut keeper.keeping);
                    match keeping.filter(|keeping| changed || keeping.is_open(key)) {
                        Some(keeping) => {
                            if changed {
                                keeping.changed(key);
                            }
                            keeping.wait((target, message));
                        }
                        None => reply(Some(target), message, &mut datagrams),
                    }
                }
                Out::Tell(request, news) => drop(self.part.news.send((request, news))),
                Out::Fetch(from, fetch) => self.fetch(from, fetch),
                Out::Settle(settled) if !self.settling && self.store.number.get() >= self.awaited => {
                    let settled = self.safe(settled);
                    if !settled.is_empty() {
                        self.change(Change::Settled(settled));
                    }
                }
                Out::Settle(_) => {}
                Out::Newer(node) => datagrams.extend(self.newer(node)),
            }
        }
        self.sync(now);
        self.left();
        datagrams
    }

    /// A node that has a newer view is asked for the steps, as is the store.
    fn newer(&self, node: u64) -> Option<Datagram> {
        self.store.bell.notify_one();
        let (to, number) = (*self.addresses.get(&node)?, self.store.number.get());
        Some((to, Packet::Behind { from: self.me.unwrap_or(0), number }))
    }

    fn send(&self, to: u64, message: Message, datagrams: &mut Vec<Datagram>) {
        let Some(address) = self.addresses.get(&to) else { return };
        let packet = Packet::Copies(Box::new(message));
        if packet.to_bytes().is_some() {
            return datagrams.push((*address, packet));
        }
        if let Packet::Copies(message) = packet {
            self.ask_whole(to, *message);
        }
    }

    fn ask_whole(&self, to: u64, message: Message) {
        let Some(address) = self.addresses.get(&to).copied() else { return };
        let (inside, connections) = (self.inside.clone(), self.connections.clone());
        let own = self.store.from;
        spawn_local(async move {
            let _one = connections.acquire().await;
            if let Some(PeerAnswer::Message(answer)) =
                peer(address, own, PeerQuestion::Message(message)).await
            {
                let _ = inside.send(Inside::Heard(answer));
            }
        });
    }

    fn fetch(&self, from: u64, fetch: Fetch) {
        let Some(address) = self.addresses.get(&from).copied() else { return };
        let (inside, connections) = (self.inside.clone(), self.connections.clone());
        let own = self.store.from;
        spawn_local(async move {
            let _one = connections.acquire().await;
            let answer = peer(address, own, PeerQuestion::Fetch(fetch.clone())).await;
            let page = match answer {
                Some(PeerAnswer::Page(page)) => page,
                _ => None,
            };
            let _ = inside.send(Inside::Fetched(from, fetch, page));
        });
    }

    /// Syncs all that has changed since the last sync began, when that is over.
    fn sync(&mut self, now: u64) {
        let Some(keeper) = &mut self.keeper else { return };
        let Some(keys) = keeper.keeping.begin() else { return };
        let (holder, slots) = (self.machine.holder(), self.machine.slots());
        let change = |key: &KeyId| Kept {
            key: *key,
            epoch: slots.get(key.slot()).map_or(0, |slot| slot.epoch),
            held: holder.get(*key).cloned(),
        };
        let changes: Vec<Kept> = keys.iter().map(change).collect();
        let (disk, inside, life) = (keeper.disk.clone(), self.inside.clone(), holder.life().unwrap_or(0));
        spawn_local(async move {
            let kept = spawn_blocking(move || disk.keep(life, now, &changes)).await;
            let synced = match kept {
                Ok(kept) => kept.map_err(|problem| problem.to_string()),
                Err(problem) => Err(problem.to_string()),
            };
            let _ = inside.send(Inside::Synced(synced));
        });
    }

    fn synced(&mut self, now: u64, synced: Result<(), String>) -> Vec<Datagram> {
        let mut datagrams = Vec::new();
        if let Some(keeper) = &mut self.keeper {
            match synced {
                Ok(()) => {
                    if keeper.trouble.take().is_some() {
                        info!("claims are kept and given again");
                    }
                    keeper.keeping.synced().into_iter().for_each(|(target, message)| {
                        reply(Some(target), message, &mut datagrams);
                    });
                }
                Err(problem) => {
                    warn!("claims cannot be kept, and are not given until they can: {problem}");
                    keeper.trouble = Some(problem);
                    keeper.keeping.failed();
                    let inside = self.inside.clone();
                    spawn_local(async move {
                        tokio::time::sleep(REST).await;
                        let _ = inside.send(Inside::Rested);
                    });
                }
            }
        }
        self.sync(now);
        datagrams
    }

    /// What an operator is shown.
    pub(super) fn report(&self, alive: &dyn Fn(u64) -> bool, view: &View) -> Report {
        let mut report = self.machine.report(alive);
        report.trouble = self.keeper.as_ref().and_then(|keeper| keeper.trouble.clone());
        let nodes = view.nodes().chain(view.leaving());
        for node in nodes {
            let zone: &mut Zone = report.zones.entry(node.applicant.zone.clone()).or_default();
            let held = view.slots().all().filter(|(_, slot)| slot.has(node.incarnation));
            let coming = view.slots().all().filter(|(_, slot)| {
                let new = |pending: &Vec<u64>| pending.contains(&node.incarnation);
                slot.pending.as_ref().is_some_and(new) && !slot.active.contains(&node.incarnation)
            });
            let places = held.count();
            zone.nodes += usize::from(places > 0);
            zone.places += places;
            zone.moving += coming.count();
        }
        report
    }
}

/// Answers a node.
fn reply(target: Option<Target>, message: Message, datagrams: &mut Vec<Datagram>) {
    match target {
        Some(Target::Datagram(to)) => {
            let packet = Packet::Copies(Box::new(message));
            let packet = match (&packet.to_bytes(), &packet) {
                (None, Packet::Copies(message)) => match **message {
                    Message::Said { number, from, .. } => Packet::Whole { number, from },
                    _ => return,
                },
                _ => packet,
            };
            datagrams.push((to, packet));
        }
        Some(Target::Whole(back)) => drop(back.send(PeerAnswer::Message(message))),
        None => {}
    }
}

/// Asks another node on a connection.
async fn peer(address: SocketAddr, own: IpAddr, question: PeerQuestion) -> Option<PeerAnswer> {
    let bytes = Bytes::from(postcard::to_stdvec(&question).ok()?);
    match timeout(PATIENCE, ask_from(address, Some(own), &Question::Peer(bytes))).await {
        Ok(Ok(Told::Peer(answer))) => postcard::from_bytes(&answer).ok(),
        Ok(Ok(other)) => {
            debug!("{address} answers what was not asked: {other:?}");
            None
        }
        Ok(Err(problem)) => {
            debug!("{address} cannot be asked: {problem}");
            None
        }
        Err(_) => None,
    }
}
