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
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use super::ask::{Store, Word};
use super::lease::now_ms;
use super::own::{Own, Turned};
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
    progress: AtomicU64,
    hand_on: watch::Sender<bool>,
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
        let _ = self.words.send(Word { state, ..Word::over(self.fence.clone()) }).await;
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
    /// Rung when the duties of the node may have changed.
    pub bell: Arc<Notify>,
    /// What it shows.
    pub shown: watch::Receiver<Report>,
    leave: mpsc::Sender<Leave>,
}

/// A wish to go, until when, and where it is said to be done.
type Leave = (Instant, oneshot::Sender<()>);

impl Ends {
    /// Hands on what the node has, in order; what nobody takes by then is given up. Resolves when that is done.
    pub async fn leave(self, within: Duration) {
        let (done, left) = oneshot::channel();
        if self.leave.try_send((Instant::now() + within, done)).is_ok() {
            let _ = timeout(within + LAST, left).await;
        }
    }
}

/// The part before it begins.
pub struct Part {
    bell: Arc<Notify>,
    shown: watch::Sender<Report>,
    leaves: mpsc::Receiver<Leave>,
}

/// A part that can be begun, and its ends.
pub fn part() -> (Part, Ends) {
    let (bell, (shown, seen), (leave, leaves)) =
        (Arc::new(Notify::new()), watch::channel(Report::default()), mpsc::channel(1));
    (Part { bell: bell.clone(), shown, leaves }, Ends { bell, shown: seen, leave })
}

/// Starts the node's part on a thread of its own, once this process is the node's only one. `with` spawns the tasks that
/// do the duties there.
///
/// # Errors
/// The thread cannot be started.
pub fn start(
    options: Options,
    part: Part,
    view: watch::Receiver<View>,
    mut alone: watch::Receiver<bool>,
    with: impl FnOnce() -> Registry + Send + 'static,
) -> io::Result<()> {
    std::thread::Builder::new().name("duties".to_owned()).spawn(move || {
        let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(problem) => return error!("this node takes no duties: {problem}"),
        };
        let serve = async {
            if alone.wait_for(|alone| *alone).await.is_ok() {
                Keeper::new(options, part, view, with()).run().await;
            }
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
    own: Own,
    until_ms: Arc<AtomicU64>,
    rights: BTreeMap<DutyName, (u64, Arc<Right>)>,
    words: mpsc::Sender<Word>,
    said: mpsc::Receiver<Word>,
    began_ms: u64,
    fit: Fit,
    store: Rc<Store>,
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
    Rung,
    Said(Word),
    Told(u64),
    Leave(Leave),
    Late,
}

impl Keeper {
    fn new(options: Options, part: Part, view: watch::Receiver<View>, registry: Registry) -> Self {
        let (words, said) = mpsc::channel(WORDS);
        let every = Duration::from_millis(options.lease_ms / RENEWALS);
        let store = Rc::new(Store::new(options.members.clone(), options.from, every));
        let fit = if options.cold_ms > 0 { Fit::Cold } else { Fit::Ready };
        Self {
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
            store,
            releases: JoinSet::new(),
            releasing: BTreeSet::new(),
        }
    }

    fn every(&self) -> Duration {
        Duration::from_millis(self.options.lease_ms / RENEWALS)
    }

    async fn run(mut self) {
        let mut left: Option<Leave> = None;
        let mut due = Instant::now();
        loop {
            let woken = tokio::select! {
                () = tokio::time::sleep_until(due) => Woken::Due,
                () = self.part.bell.notified() => Woken::Rung,
                Some(word) = self.said.recv() => Woken::Said(word),
                Some(Ok(number)) = self.releases.join_next() => Woken::Told(number),
                Some(leave) = self.part.leaves.recv(), if left.is_none() => Woken::Leave(leave),
                () = until(left.as_ref().map(|(at, _)| *at)) => Woken::Late,
            };
            match woken {
                Woken::Due => {
                    let before = self.session;
                    let renewed = self.renew().await;
                    let every = self.every().mul_f64(rand::rng().random_range(0.9..1.0));
                    let wait = match (before, self.session) {
                        // It counts as cold until it has renewed: it has heard that its session began.
                        (None, Some(_)) => Duration::ZERO,
                        _ if renewed => every,
                        _ => AGAIN.min(every),
                    };
                    due = Instant::now() + wait;
                }
                Woken::Rung => self.look().await,
                Woken::Said(word) => self.give_back(word),
                Woken::Told(number) => drop(self.releasing.remove(&number)),
                Woken::Late => {
                    warn!("duties: {} are given up: nobody took them in time", self.rights.len());
                    self.end_all();
                    self.releases.shutdown().await;
                }
                Woken::Leave(leave) => {
                    self.fit = Fit::Draining;
                    info!("duties: this node goes, and hands on {} duties", self.rights.len());
                    left = Some(leave);
                    due = Instant::now();
                }
            }
            self.show();
            // The end of the session would throw away what a word of a duty hands on.
            if self.rights.is_empty()
                && self.releases.is_empty()
                && let Some((_, back)) = left.take()
            {
                self.close().await;
                let _ = back.send(());
                return;
            }
        }
    }

    /// The life of the node in the view, where it belongs.
    fn incarnation(&self) -> Option<u64> {
        self.view.borrow().get(&self.options.name).map(|node| node.incarnation)
    }

    /// Renews the session, or begins one.
    async fn renew(&mut self) -> bool {
        let lives = self.incarnation();
        if self.fit == Fit::Cold && now_ms() >= self.began_ms + self.options.cold_ms {
            self.fit = Fit::Ready;
        }
        match (self.session, lives) {
            (Some((session, life)), lives) if lives.is_none_or(|now| now == life) => {
                self.go_on(session).await
            }
            (Some(_), _) => {
                warn!("duties: this node has another life, and ends its session");
                self.end_all();
                self.close().await;
                false
            }
            (None, Some(life)) if self.fit != Fit::Draining => self.open(life).await,
            (None, _) => true,
        }
    }

    async fn open(&mut self, incarnation: u64) -> bool {
        let session = rand::rng().random();
        let declare = Deed::Declare(self.registry.tasks.keys().cloned().collect());
        if let Err(problem) = self.store.tell(declare).await {
            debug!("duties: the store is not told of them: {problem}");
            return false;
        }
        let Options { lease_ms, still_most, weight, .. } = self.options;
        // A node that does not hear of its session, for its link is slower than its lease, is to get no duty with it.
        let (node, fit) = (self.options.name.clone(), Fit::Cold);
        let open = Deed::Open { session, node, incarnation, weight, lease_ms, still_most, fit };
        let asked = now_ms();
        match self.store.tell(open).await {
            Ok(Ok(Some(grants))) => {
                info!("duties: session {session:016x} begins, with a lease of {lease_ms} ms");
                self.session = Some((session, incarnation));
                self.own.begin(session);
                self.confirmed(asked, grants);
                true
            }
            Ok(other) => {
                warn!("duties: no session is begun: {other:?}");
                false
            }
            Err(problem) => {
                debug!("duties: no session is begun: {problem}");
                false
            }
        }
    }

    async fn go_on(&mut self, session: u64) -> bool {
        let rights = self.rights.iter();
        let work = rights.map(|(duty, (number, right))| Work {
            duty: duty.clone(),
            number: *number,
            progress: right.progress.load(SeqCst),
        });
        let renewal = Deed::Renew { session, fit: self.fit, work: work.collect() };
        // The lease counts from here, whenever the answer comes.
        let asked = now_ms();
        match self.store.tell(renewal).await {
            Ok(Ok(Some(grants))) => {
                self.confirmed(asked, grants);
                true
            }
            Ok(Err(Refused::Ended(_))) | Ok(Ok(None)) => {
                warn!("duties: session {session:016x} has ended, with {} duties", self.rights.len());
                self.end_all();
                self.session = None;
                false
            }
            Ok(Err(refused)) => {
                warn!("duties: session {session:016x} is not renewed: {refused}");
                false
            }
            Err(problem) => {
                debug!("duties: session {session:016x} is not renewed: {problem}");
                false
            }
        }
    }

    /// The store has confirmed what was asked then. What was taken is over before the lease goes on.
    fn confirmed(&mut self, asked_ms: u64, grants: Grants) {
        self.stands(&grants);
        let session = grants.session;
        let turned = self.own.turn_to(grants);
        self.take(&turned);
        self.own.renewed(session, asked_ms, self.options.lease_ms);
        self.until_ms.store(self.own.until_ms(), SeqCst);
        self.turn(turned);
    }

    /// Looks at what the store says of the duties, without a renewal.
    async fn look(&mut self) {
        let Some((session, _)) = self.session else { return };
        if let Ok(Answer::Duties(Some(grants))) = self.store.ask(Query::Duties { session }).await {
            self.stands(&grants);
            let turned = self.own.turn_to(grants);
            self.take(&turned);
            self.turn(turned);
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
        for grant in turned.begun {
            self.begin(grant);
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

    fn begin(&mut self, grant: Grant) {
        let Grant { duty, number, state, .. } = grant;
        let fence = Fence { duty: duty.clone(), number };
        let right = Arc::new(Right {
            until_ms: self.until_ms.clone(),
            over: AtomicBool::new(false),
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
            let how = if word.unable { "is given up" } else { "is handed on" };
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
            progress: right.progress.load(SeqCst),
        });
        let held: Vec<Shown> = held.collect();
        self.part.shown.send_modify(|shown| {
            shown.session = self.session.map(|(session, _)| format!("{session:016x}"));
            shown.good_ms = self.until_ms.load(SeqCst).saturating_sub(now_ms());
            shown.held = held;
        });
    }
}
