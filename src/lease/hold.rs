//! A node's session and what it holds: one task renews the session with the progress of each duty, hands what the store
//! gives to the tasks that do the work, and takes it from them.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::time::Duration;

use log::{debug, error, info, warn};
use rand::Rng;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use super::ask::{Store, Told, Word};
use super::expiry::now_ms;
use super::own::{Own, Turned};
use super::pass::{Carried, Passed};
use super::table::{Deed, Fit, Grant, Grants, Refused, Standing, Work};
use super::{DutyName, Fence, MOST_STATE};
use crate::fleet::view::View;
use crate::store::{Answer, Query};

/// Renewals in one lease.
const RENEWALS: u64 = 4;
/// Duties that wait for their task at the most.
const WAITING: usize = 4;
/// Words of tasks that wait to be sent.
const WORDS: usize = 256;
/// Rings that wait to be heard. One that finds no room is made up for by the next renewal.
const RINGS: usize = 16;
/// Time until the store is asked again for what it did not answer.
const AGAIN: Duration = Duration::from_millis(50);
/// How long the store has to hear that a session ends.
const LAST: Duration = Duration::from_millis(300);
/// How often a task that waits for the end of its lease looks at the clock: tokio's may stand still while it goes on.
const LOOK: Duration = Duration::from_millis(20);

/// The lease is over, or the duty was taken: nothing may be done under this number any more.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{} is held under number {} no more", .0.duty, .0.number)]
pub struct Lost(pub Fence);

/// What a task and its session share of a duty.
#[derive(Debug)]
struct Right {
    /// Until when the session's lease is good, in ms of [`now_ms`].
    until_ms: Arc<AtomicU64>,
    over: AtomicBool,
    /// What a process before this one has done under the number.
    before: u64,
    progress: AtomicU64,
    hand_on: watch::Sender<bool>,
}

impl Right {
    /// What was done under the number, by all processes of the node.
    fn done(&self) -> u64 {
        self.before.saturating_add(self.progress.load(SeqCst))
    }
}

/// A duty that this node has. Dropped without [`Held::hand_on`], it counts as one that this node cannot do.
#[derive(Debug)]
pub struct Held {
    fence: Fence,
    right: Arc<Right>,
    state: Vec<u8>,
    words: mpsc::Sender<Word>,
    said: bool,
}

impl Held {
    /// The number that every effect has to carry.
    pub fn fence(&self) -> &Fence {
        &self.fence
    }

    /// What the holder before has handed on; empty where it could not.
    pub fn state(&self) -> &[u8] {
        &self.state
    }

    /// Whether the duty may be acted under now. To be asked at the effect, not before it.
    ///
    /// # Errors
    /// The lease is over, or the duty was taken.
    pub fn check(&self) -> Result<&Fence, Lost> {
        let over = self.right.over.load(SeqCst) || now_ms() >= self.right.until_ms.load(SeqCst);
        if over { Err(Lost(self.fence.clone())) } else { Ok(&self.fence) }
    }

    /// Carries out one effect while the lease is good. One that is under way when it ends is left to the receiver's guard.
    ///
    /// # Errors
    /// The lease was over before the effect began, or was over when it ended: then it may be done or not.
    pub async fn effect<T>(&self, act: impl AsyncFnOnce(&Fence) -> T) -> Result<T, Lost> {
        let done = act(self.check()?).await;
        self.check()?;
        Ok(done)
    }

    /// Says how much was done so far: a count that grows with the work itself. A duty whose count stands still is taken.
    pub fn progress(&self, done: u64) {
        self.right.progress.fetch_max(done, SeqCst);
    }

    /// Resolves when the duty is to be handed on.
    pub async fn to_hand_on(&self) {
        let mut wished = self.right.hand_on.subscribe();
        if wished.wait_for(|wished| *wished).await.is_err() {
            std::future::pending().await
        }
    }

    /// Resolves when the lease is over or the duty was taken.
    pub async fn lost(&self) -> Lost {
        loop {
            if let Err(lost) = self.check() {
                return lost;
            }
            sleep(LOOK).await;
        }
    }

    /// Hands the duty on with what the next holder is to know, once all effects are done.
    ///
    /// # Errors
    /// The state is longer than [`MOST_STATE`] bytes: the duty is given back without it.
    pub async fn hand_on(mut self, state: Vec<u8>) -> Result<(), usize> {
        let length = state.len();
        let fits = length <= MOST_STATE;
        self.right.over.store(true, SeqCst);
        self.said = true;
        let state = if fits { state } else { Vec::new() };
        let _ = self.words.send(Word { state, ended: true, ..Word::over(self.fence.clone()) }).await;
        if fits { Ok(()) } else { Err(length) }
    }

    /// Gives the duty back as who takes its effects has seen a higher number: the store is told, and the next number
    /// is above that. After a store was restored from a backup, this brings its numbers up to what receivers remember.
    ///
    /// # Errors
    /// The lease is over or the duty was taken: then a higher number is as it should be, and nothing is said of it.
    pub async fn outdated(mut self, seen: u64, state: Vec<u8>) -> Result<(), Lost> {
        let fence = self.check()?.clone();
        self.right.over.store(true, SeqCst);
        self.said = true;
        let state = if state.len() <= MOST_STATE { state } else { Vec::new() };
        let _ = self.words.send(Word { state, seen: Some(seen), ..Word::over(fence) }).await;
        Ok(())
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let unable = self.check().is_ok();
        self.right.over.store(true, SeqCst);
        if !self.said {
            // A word that finds no room is made up for at the next renewal, where the store counts it as held still.
            let _ = self.words.try_send(Word { unable, ..Word::over(self.fence.clone()) });
        }
    }
}

/// The duties that this node can do, and who does them.
#[derive(Debug, Default)]
pub struct Registry {
    tasks: BTreeMap<DutyName, mpsc::Sender<Held>>,
}

impl Registry {
    /// The duty of this name is done by whoever has the returned end: each time that the node gets it, it comes there.
    pub fn register(&mut self, duty: DutyName) -> mpsc::Receiver<Held> {
        let (give, given) = mpsc::channel(WAITING);
        self.tasks.insert(duty, give);
        given
    }
}

/// One duty as its node shows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shown {
    /// The duty.
    pub duty: DutyName,
    /// The number.
    pub number: u64,
    /// How much was done.
    pub progress: u64,
}

/// What a node shows of its part in the duties.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Its session, in hexadecimal digits; none where it has none.
    pub session: Option<String>,
    /// For how long its lease is good, in ms.
    pub good_ms: u64,
    /// What it holds.
    pub held: Vec<Shown>,
    /// How all duties stand, as the store said last.
    pub standing: Standing,
}

/// A node's part in the duties.
#[derive(Clone, Debug)]
pub struct Options {
    /// The node's name.
    pub name: String,
    /// The lease, in ms.
    pub lease_ms: u64,
    /// Renewals over which a duty may stand still.
    pub still_most: u32,
    /// How many times as much as others it is given.
    pub weight: u8,
    /// How long it counts as cold after its start, in ms.
    pub cold_ms: u64,
    /// Members of the store.
    pub members: Vec<SocketAddr>,
    /// The address that it asks from.
    pub from: IpAddr,
}

/// The ends that others have of a node's part.
#[derive(Clone, Debug)]
pub struct Ends {
    /// What it shows.
    pub shown: watch::Receiver<Report>,
    rings: mpsc::Sender<Option<Grants>>,
    wishes: mpsc::Sender<Wish>,
}

/// A wish to go.
enum Wish {
    /// All is to be handed on by then, and it is said to be done.
    Leave(Instant, oneshot::Sender<()>),
    /// The session goes to the node's next process.
    Pass(Instant, oneshot::Sender<Passed>),
}

impl Ends {
    /// The duties of the node may have changed: to these, where they are told with the word of it.
    pub fn ring(&self, grants: Option<Grants>) {
        let _ = self.rings.try_send(grants);
    }

    /// Hands on what the node has, in order; what nobody takes by then is given up. Resolves when that is done.
    pub async fn leave(self, within: Duration) {
        let (done, left) = oneshot::channel();
        if self.wishes.try_send(Wish::Leave(Instant::now() + within, done)).is_ok() {
            let _ = timeout(within + LAST, left).await;
        }
    }

    /// Ends all that the node does, for its next process to go on with. What has not ended by then is not passed on. None
    /// where there is no session.
    pub async fn pass(self, by: Instant) -> Option<Passed> {
        let (give, given) = oneshot::channel();
        self.wishes.try_send(Wish::Pass(by, give)).ok()?;
        given.await.ok()
    }
}

/// The part before it begins.
pub struct Part {
    rings: mpsc::Receiver<Option<Grants>>,
    shown: watch::Sender<Report>,
    wishes: mpsc::Receiver<Wish>,
}

/// A part that can be begun, and its ends.
pub fn part() -> (Part, Ends) {
    let (shown, seen) = watch::channel(Report::default());
    let ((ring, rings), (wish, wishes)) = (mpsc::channel(RINGS), mpsc::channel(1));
    (Part { rings, shown, wishes }, Ends { shown: seen, rings: ring, wishes: wish })
}

/// Starts the node's part on a thread of its own, once the process before has passed its session on or this process is
/// the node's only one. `with` spawns the tasks that do the duties there.
///
/// # Errors
/// The thread cannot be started.
pub fn start(
    options: Options,
    part: Part,
    view: watch::Receiver<View>,
    mut alone: watch::Receiver<bool>,
    passed: oneshot::Receiver<Passed>,
    with: impl FnOnce() -> Registry + Send + 'static,
) -> io::Result<()> {
    std::thread::Builder::new().name("duties".to_owned()).spawn(move || {
        let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(problem) => return error!("this node takes no duties: {problem}"),
        };
        let serve = async {
            // What is passed on comes before the word that this process is alone.
            let passed = tokio::select! {
                biased;
                Ok(passed) = passed => Some(passed),
                alone = alone.wait_for(|alone| *alone) => match alone {
                    Ok(_) => None,
                    Err(_) => return,
                },
            };
            let mut keeper = Keeper::new(options, part, view, with());
            if let Some(passed) = passed {
                keeper.take_over(passed);
            }
            keeper.run().await;
        };
        runtime.block_on(tokio::task::LocalSet::new().run_until(serve));
    })?;
    Ok(())
}

/// The task that has the session.
struct Keeper {
    options: Options,
    part: Part,
    view: watch::Receiver<View>,
    registry: Registry,
    session: Option<(u64, u64)>,
    /// The lease of the session: that of its beginning, whatever this process was started with.
    lease_ms: u64,
    own: Own,
    until_ms: Arc<AtomicU64>,
    rights: BTreeMap<DutyName, (u64, Arc<Right>)>,
    words: mpsc::Sender<Word>,
    said: mpsc::Receiver<Word>,
    began_ms: u64,
    fit: Fit,
    /// Whether the store was told of the duties that this process can do.
    declared: bool,
    store: Rc<Store>,
    /// When the next renewal is due.
    due: Instant,
    /// What the store is asked: nothing else waits for its answers.
    asked: JoinSet<Heard>,
    /// Whether a session is being asked for, and how many renewals are under way.
    opening: bool,
    renewing: usize,
    /// Whether the store is asked what the session has, and is to be asked again.
    looking: bool,
    look_again: bool,
    /// What the store is being told of: none of it holds up a renewal.
    releases: JoinSet<u64>,
    releasing: BTreeSet<u64>,
}

/// Resolves then; never where there is no such time.
async fn until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// What wakes it.
enum Woken {
    Due,
    Rung(Option<Grants>),
    Said(Word),
    Released(u64),
    Heard(Heard),
    Wished(Wish),
    Late,
}

/// What the store has answered, and when it was asked.
enum Heard {
    Opened { session: u64, life: u64, asked_ms: u64, told: Told },
    Renewed { session: u64, asked_ms: u64, told: Told },
    Looked(Option<Grants>),
    Closed,
}

impl Keeper {
    fn new(options: Options, part: Part, view: watch::Receiver<View>, registry: Registry) -> Self {
        let (words, said) = mpsc::channel(WORDS);
        let every = Duration::from_millis(options.lease_ms / RENEWALS);
        let store = Rc::new(Store::new(options.members.clone(), options.from, every));
        let fit = if options.cold_ms > 0 { Fit::Cold } else { Fit::Ready };
        Self {
            lease_ms: options.lease_ms,
            options,
            part,
            view,
            registry,
            session: None,
            own: Own::default(),
            until_ms: Arc::default(),
            rights: BTreeMap::new(),
            words,
            said,
            began_ms: now_ms(),
            fit,
            declared: false,
            store,
            due: Instant::now(),
            asked: JoinSet::new(),
            opening: false,
            renewing: 0,
            looking: false,
            look_again: false,
            releases: JoinSet::new(),
            releasing: BTreeSet::new(),
        }
    }

    fn every(&self) -> Duration {
        Duration::from_millis(self.lease_ms / RENEWALS)
    }

    async fn run(mut self) {
        let mut left: Option<(Instant, oneshot::Sender<()>)> = None;
        loop {
            let woken = tokio::select! {
                () = tokio::time::sleep_until(self.due), if !self.opening && self.renewing == 0 => Woken::Due,
                Some(grants) = self.part.rings.recv() => Woken::Rung(grants),
                Some(word) = self.said.recv() => Woken::Said(word),
                Some(Ok(number)) = self.releases.join_next() => Woken::Released(number),
                Some(Ok(heard)) = self.asked.join_next() => Woken::Heard(heard),
                Some(wish) = self.part.wishes.recv(), if left.is_none() => Woken::Wished(wish),
                () = until(left.as_ref().map(|(at, _)| *at)) => Woken::Late,
            };
            match woken {
                Woken::Due => self.renew(),
                Woken::Rung(Some(grants)) => self.told(grants),
                Woken::Rung(None) => self.look(),
                Woken::Said(word) => self.give_back(word),
                Woken::Released(number) => drop(self.releasing.remove(&number)),
                Woken::Heard(heard) => self.heard(heard),
                Woken::Late => {
                    warn!("duties: {} are given up: nobody took them in time", self.rights.len());
                    self.end_all();
                    self.releases.shutdown().await;
                    self.opening = false;
                }
                Woken::Wished(Wish::Leave(by, done)) => {
                    self.fit = Fit::Draining;
                    info!("duties: this node goes, and hands on {} duties", self.rights.len());
                    left = Some((by, done));
                    // Beside one that is under way: that does not say so.
                    self.renew();
                }
                Woken::Wished(Wish::Pass(by, give)) => {
                    if let Some(passed) = self.pass(by).await {
                        let _ = give.send(passed);
                    }
                    return;
                }
            }
            self.show();
            // The end of the session would throw away what a word of a duty hands on.
            if self.rights.is_empty()
                && self.releases.is_empty()
                && !self.opening
                && let Some((_, done)) = left.take()
            {
                self.close().await;
                let _ = done.send(());
                return;
            }
        }
    }

    /// The life of the node in the view, where it belongs.
    fn incarnation(&self) -> Option<u64> {
        self.view.borrow().get(&self.options.name).map(|node| node.incarnation)
    }

    /// Renews the session, or begins one.
    fn renew(&mut self) {
        let lives = self.incarnation();
        if self.fit == Fit::Cold && now_ms() >= self.began_ms + self.options.cold_ms {
            self.fit = Fit::Ready;
        }
        match (self.session, lives) {
            (Some((session, life)), lives) if lives.is_none_or(|now| now == life) => self.go_on(session),
            (Some((session, _)), _) => {
                warn!("duties: this node has another life, and ends its session");
                self.end_all();
                self.session = None;
                self.opening = true;
                let store = self.store.clone();
                self.asked.spawn_local(async move {
                    let _ = store.tell(Deed::Close { session }).await;
                    Heard::Closed
                });
            }
            (None, Some(life)) if self.fit != Fit::Draining => self.open(life),
            (None, _) => self.next(self.every()),
        }
    }

    /// The next renewal is due so much later.
    fn next(&mut self, wait: Duration) {
        self.due = Instant::now() + wait;
    }

    /// The duties that this process can do.
    fn declaration(&self) -> Deed {
        Deed::Declare(self.registry.tasks.keys().cloned().collect())
    }

    fn open(&mut self, life: u64) {
        let session = rand::rng().random();
        let Options { lease_ms, still_most, weight, .. } = self.options;
        // A node that does not hear of its session, for its link is slower than its lease, is to get no duty with it.
        let (node, fit) = (self.options.name.clone(), Fit::Cold);
        let open = Deed::Open { session, node, incarnation: life, weight, lease_ms, still_most, fit };
        let (store, declare) = (self.store.clone(), self.declaration());
        self.opening = true;
        self.asked.spawn_local(async move {
            let declared = store.tell(declare).await;
            let asked_ms = now_ms();
            let told = match declared {
                Ok(_) => store.tell(open).await,
                Err(problem) => Err(problem),
            };
            Heard::Opened { session, life, asked_ms, told }
        });
    }

    fn go_on(&mut self, session: u64) {
        let rights = self.rights.iter();
        let work = rights.map(|(duty, (number, right))| Work {
            duty: duty.clone(),
            number: *number,
            progress: right.done(),
        });
        let renewal = Deed::Renew { session, fit: self.fit, work: work.collect() };
        let declare = (!std::mem::replace(&mut self.declared, true)).then(|| self.declaration());
        let store = self.store.clone();
        self.renewing += 1;
        // The lease counts from here, whenever the answer comes.
        let asked_ms = now_ms();
        self.asked.spawn_local(async move {
            let told = store.tell(renewal).await;
            if let Some(declare) = declare
                && let Err(problem) = store.tell(declare).await
            {
                debug!("duties: the store is not told of all that this process can do: {problem}");
            }
            Heard::Renewed { session, asked_ms, told }
        });
    }

    fn heard(&mut self, heard: Heard) {
        match heard {
            Heard::Opened { session, life, asked_ms, told } => {
                self.opening = false;
                match told {
                    Ok(Ok(Some(grants))) => {
                        self.lease_ms = self.options.lease_ms;
                        info!("duties: session {session:016x} begins, with a lease of {} ms", self.lease_ms);
                        self.session = Some((session, life));
                        self.declared = true;
                        self.own.begin(session);
                        self.confirmed(asked_ms, grants);
                        // It counts as cold until it has renewed: it has heard that its session began.
                        self.next(Duration::ZERO);
                    }
                    told => {
                        // A store that cannot be reached is asked again and again.
                        match told {
                            Ok(refused) => warn!("duties: no session is begun: {refused:?}"),
                            Err(problem) => debug!("duties: no session is begun: {problem}"),
                        }
                        self.next(AGAIN.min(self.every()));
                    }
                }
            }
            Heard::Renewed { session, asked_ms, told } => {
                self.renewing = self.renewing.saturating_sub(1);
                let of_this = self.session.is_some_and(|(now, _)| now == session);
                let wait = match of_this && self.renewed(session, asked_ms, told) {
                    true => self.every().mul_f64(rand::rng().random_range(0.9..1.0)),
                    false => AGAIN.min(self.every()),
                };
                self.next(wait);
            }
            Heard::Looked(grants) => {
                self.looking = false;
                if let Some(grants) = grants {
                    self.stands(&grants);
                    self.told(grants);
                }
                if std::mem::take(&mut self.look_again) {
                    self.look();
                }
            }
            Heard::Closed => {
                self.opening = false;
                self.next(AGAIN.min(self.every()));
            }
        }
    }

    /// Whether the store has confirmed a renewal.
    fn renewed(&mut self, session: u64, asked_ms: u64, told: Told) -> bool {
        match told {
            Ok(Ok(Some(grants))) => {
                self.confirmed(asked_ms, grants);
                return true;
            }
            Ok(Err(Refused::Ended(_))) | Ok(Ok(None)) => {
                warn!("duties: session {session:016x} has ended, with {} duties", self.rights.len());
                self.end_all();
                self.session = None;
            }
            Ok(Err(refused)) => warn!("duties: session {session:016x} is not renewed: {refused}"),
            Err(problem) => debug!("duties: session {session:016x} is not renewed: {problem}"),
        }
        false
    }

    /// The store has confirmed what was asked then. What was taken is over before the lease goes on.
    fn confirmed(&mut self, asked_ms: u64, grants: Grants) {
        self.stands(&grants);
        let session = grants.session;
        let turned = self.own.turn_to(grants);
        self.take(&turned);
        self.own.renewed(session, asked_ms, self.lease_ms);
        self.until_ms.store(self.own.until_ms(), SeqCst);
        self.turn(turned);
    }

    /// Turns to what the store says of the duties, without a renewal.
    fn told(&mut self, grants: Grants) {
        let turned = self.own.turn_to(grants);
        self.take(&turned);
        self.turn(turned);
    }

    /// Asks the store what the session has.
    fn look(&mut self) {
        let Some((session, _)) = self.session else { return };
        if std::mem::replace(&mut self.looking, true) {
            self.look_again = true;
            return;
        }
        let store = self.store.clone();
        self.asked.spawn_local(async move {
            match store.ask(Query::Duties { session }).await {
                Ok(Answer::Duties(grants)) => Heard::Looked(grants),
                _ => Heard::Looked(None),
            }
        });
    }

    /// Goes on with what the process before has passed on.
    fn take_over(&mut self, passed: Passed) {
        let now = now_ms();
        let Passed { session, life, lease_ms, mut own, duties, sent_ms } = passed;
        info!("duties: session {session:016x} goes on, with {} duties", duties.len());
        self.lease_ms = lease_ms;
        self.session = Some((session, life));
        own.arrive(sent_ms, now, lease_ms);
        self.own = own;
        self.until_ms.store(self.own.until_ms(), SeqCst);
        for Carried { fence, state, done } in duties {
            if self.own.may(now, &fence) {
                self.begin(fence, state.into(), done);
            } else {
                // Whoever gets it next is to know what was done.
                self.own.stop(&fence);
                self.release(Word { state: state.into(), ..Word::over(fence) });
            }
        }
    }

    /// Ends all that is done here, for the node's next process. An effect that has not ended within the time between two
    /// renewals may be under way still: its duty goes on under no number of this process, and the next one releases it.
    async fn pass(&mut self, by: Instant) -> Option<Passed> {
        let (session, life) = self.session?;
        let by = by.min(Instant::now() + self.every());
        for (_, right) in self.rights.values() {
            right.hand_on.send_replace(true);
        }
        let mut duties = Vec::new();
        while !(self.rights.is_empty() && self.releases.is_empty()) {
            tokio::select! {
                Some(word) = self.said.recv() => match self.carry(word) {
                    Ok(carried) => duties.push(carried),
                    Err(word) => self.give_back(word),
                },
                Some(_) = self.releases.join_next() => {}
                () = tokio::time::sleep_until(by) => break,
            }
        }
        let ended = |fence: &Fence| duties.iter().any(|carried: &Carried| carried.fence == *fence);
        let own = std::mem::take(&mut self.own).pass(ended);
        let left = self.rights.len();
        self.end_all();
        self.show();
        info!(
            "duties: session {session:016x} is passed on, with {} duties, and without {left}",
            duties.len()
        );
        let lease_ms = self.lease_ms;
        Some(Passed { session, life, lease_ms, own, duties, sent_ms: now_ms() })
    }

    /// A duty whose task has ended all of its effects goes with the session.
    fn carry(&mut self, word: Word) -> Result<Carried, Word> {
        let Fence { duty, number } = &word.fence;
        match self.rights.get(duty) {
            Some((of, right)) if word.ended && of == number => {
                let done = right.done();
                self.rights.remove(duty);
                Ok(Carried { fence: word.fence, state: word.state.into(), done })
            }
            _ => Err(word),
        }
    }

    fn stands(&self, grants: &Grants) {
        self.part.shown.send_modify(|shown| shown.standing = grants.standing.clone());
    }

    fn take(&mut self, turned: &Turned) {
        for fence in &turned.over {
            if let Some((_, right)) = self.rights.remove(&fence.duty) {
                right.over.store(true, SeqCst);
            }
            warn!("duties: {} is lost under number {}: the store has taken it", fence.duty, fence.number);
        }
    }

    fn turn(&mut self, turned: Turned) {
        for Grant { duty, number, state, .. } in turned.begun {
            self.begin(Fence { duty, number }, state, 0);
        }
        for duty in turned.hand_on {
            if let Some((_, right)) = self.rights.get(&duty) {
                right.hand_on.send_replace(true);
            }
        }
        // Whoever gets it next does not wait for a lease to end.
        for fence in turned.over.into_iter().chain(turned.left) {
            self.release(Word::over(fence));
        }
    }

    /// Gives a duty to its task, behind what was done under its number.
    fn begin(&mut self, fence: Fence, state: Vec<u8>, before: u64) {
        let Fence { duty, number } = fence.clone();
        let right = Arc::new(Right {
            until_ms: self.until_ms.clone(),
            over: AtomicBool::new(false),
            before,
            progress: AtomicU64::new(0),
            hand_on: watch::channel(false).0,
        });
        let (words, said) = (self.words.clone(), false);
        let held = Held { fence: fence.clone(), right: right.clone(), state, words, said };
        let given = self.registry.tasks.get(&duty).map(|task| task.try_send(held));
        if let Some(Ok(())) = given {
            info!("duties: {duty} is held under number {number}");
            self.rights.insert(duty, (number, right));
        } else {
            // A held one that was not taken has said so itself; it says it twice at the most.
            warn!("duties: {duty} is given back: nothing here does it");
            self.own.stop(&fence);
            self.release(Word { unable: true, ..Word::over(fence) });
        }
    }

    /// A task has stopped.
    fn give_back(&mut self, word: Word) {
        let current =
            self.rights.get(&word.fence.duty).is_some_and(|(number, _)| *number == word.fence.number);
        if current {
            self.rights.remove(&word.fence.duty);
        }
        if self.own.stop(&word.fence) {
            let how = match &word {
                Word { unable: true, .. } => "is given up",
                Word { ended: true, .. } | Word { seen: Some(_), .. } => "is handed on",
                _ => "is lost",
            };
            info!("duties: {} {how} under number {}", word.fence.duty, word.fence.number);
            self.release(word);
        }
    }

    /// Tells the store that nobody here acts under a number any more. Where it does not hear, it is told again after the
    /// next renewal.
    fn release(&mut self, word: Word) {
        let Some((session, _)) = self.session else { return };
        let number = word.fence.number;
        if !self.releasing.insert(number) {
            return;
        }
        let store = self.store.clone();
        self.releases.spawn_local(async move {
            if let Err(problem) = store.release(session, word).await {
                debug!("duties: the store is not told of one that is over: {problem}");
            }
            number
        });
    }

    fn end_all(&mut self) {
        self.until_ms.store(0, SeqCst);
        for fence in self.own.end() {
            warn!("duties: {} is lost under number {}: the session is over", fence.duty, fence.number);
        }
        for (_, (_, right)) in std::mem::take(&mut self.rights) {
            right.over.store(true, SeqCst);
        }
    }

    async fn close(&mut self) {
        if let Some((session, _)) = self.session.take() {
            self.end_all();
            let _ = self.store.tell(Deed::Close { session }).await;
        }
    }

    fn show(&self) {
        let rights = self.rights.iter();
        let held = rights.map(|(duty, (number, right))| Shown {
            duty: duty.clone(),
            number: *number,
            progress: right.done(),
        });
        let held: Vec<Shown> = held.collect();
        self.part.shown.send_modify(|shown| {
            shown.session = self.session.map(|(session, _)| format!("{session:016x}"));
            shown.good_ms = self.until_ms.load(SeqCst).saturating_sub(now_ms());
            shown.held = held;
        });
    }
}
