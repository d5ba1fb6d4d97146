//! A node's part in partners' routes: on a thread of its own it follows the holder of the duty, or holds it itself: then
//! it asks each partner in a task, merges, and tells.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::{debug, error, info, warn};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{JoinSet, LocalSet, spawn_blocking, spawn_local};
use tokio::time::{Instant, sleep};

use super::asking::{Asked, FLEET, Feed, ROUTES};
use super::board::{Board, NotTaken};
use super::export::{NotTold, Rules};
use super::fetch::{Answer, Failed, Line, pause};
use super::lead::{Leading, Now};
use super::lookup::InForce;
use super::planted::{self, Planted};
use super::restrict::Sites;
use super::route::Name;
use super::table::{Document, Terms, Version};
use super::{keep, publish};
use crate::config::{PartnersTable, SiteTable};
use crate::duty::hold::Held;
use crate::duty::lease::now_ms;
use crate::duty::{Fence, Guard};
use crate::fleet::view::View;

/// How long an answer may wait for something new.
const WAIT: Duration = Duration::from_secs(1);
/// How often what changes by time alone is looked at.
const TICK: Duration = Duration::from_millis(100);
/// How often the file of own routes is looked at.
const LOOK: Duration = Duration::from_millis(500);
/// What a node has in memory alone, at the most.
const KEEP_AFTER: Duration = Duration::from_millis(500);
/// How often what a node keeps says how the partners stand, where nothing else changes.
const KEEP_EVERY: Duration = Duration::from_secs(10);
/// Time between two documents of one partner: one that sends many costs the others no more.
const BETWEEN: Duration = Duration::from_millis(10);
/// Time until a partner that was turned down is asked again.
const REFUSED: Duration = Duration::from_millis(500);
/// How often it is shown how the node stands, in ms.
const SHOW_MS: u64 = 300;
/// Nodes that are asked in one round for the holder.
const ROUND: usize = 8;
/// Bytes of what the holder tells.
const FEED: usize = 1 << 30;
/// The file of the numbers that were seen.
const NUMBERS: &str = "numbers.json";

/// A node's part, before it begins.
pub struct Options {
    /// The node's name.
    pub name: String,
    /// The operator's table.
    pub table: PartnersTable,
    /// The address that it asks from.
    pub from: IpAddr,
    /// The view, with the other nodes.
    pub view: watch::Receiver<View>,
    /// Whether this process is the node's only one.
    pub alone: watch::Receiver<bool>,
    /// Where the duty comes.
    pub given: oneshot::Receiver<mpsc::Receiver<Held>>,
    /// Where the merged table is put in force.
    pub in_force: Arc<InForce>,
    /// Where it is shown how it stands.
    pub shown: watch::Sender<Report>,
}

/// A partner as its node shows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shown {
    /// Its name.
    pub partner: Name,
    /// The version of its table.
    pub version: Version,
    /// For how long it has been stale, in ms.
    pub stale_ms: u64,
    /// Its routes in force, those that are told to nobody among them.
    pub routes: usize,
    /// Routes that are used here and told to nobody.
    pub withheld: usize,
    /// Changes that wait to be told to it, urgent ones first; none at a node that does not hold the duty.
    pub waiting: (usize, usize),
    /// Why it was turned down last; shown by the holder alone.
    pub refused: Option<String>,
}

/// What a node shows of its part in partners' routes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The node whose merged table is in force here.
    pub holder: String,
    /// Whether it is this node.
    pub holds: bool,
    /// The version of the merged table.
    pub version: Version,
    /// How long ago it was heard from the holder, in ms.
    pub heard_ms: u64,
    /// Its routes.
    pub routes: usize,
    /// All partners.
    pub partners: Vec<Shown>,
}

/// Why a question is not answered.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NotAnswered {
    /// Another node holds the duty.
    #[error("this node does not hold the duty: {0}")]
    NotHeld(String),
    /// It has held the duty for a moment only, and has not heard all partners.
    #[error("this node holds the duty, and has not heard all partners yet")]
    NotSettled,
    /// The partner may not be told.
    #[error("{0}")]
    NotTold(#[from] NotTold),
}

struct Inside {
    board: Board,
    leading: Option<(Leading, Rc<Held>)>,
    guard: Guard,
    refused: BTreeMap<Name, String>,
    asking: BTreeMap<Name, usize>,
    /// Where the holder was found, and when it was last heard.
    holder: Option<SocketAddr>,
    heard: u64,
}

/// The part of one node, shared by its tasks on one thread.
pub struct Site {
    name: String,
    table: PartnersTable,
    terms: BTreeMap<Name, Terms>,
    from: IpAddr,
    in_force: Arc<InForce>,
    shown: watch::Sender<Report>,
    news: watch::Sender<()>,
    changed: Cell<bool>,
    shown_at: Cell<u64>,
    inside: RefCell<Inside>,
}

/// A place among the questions of a partner that wait.
pub struct Seat<'a> {
    site: &'a Site,
    partner: Name,
}

impl Drop for Seat<'_> {
    fn drop(&mut self) {
        if let Some(count) = self.site.inside.borrow_mut().asking.get_mut(&self.partner) {
            *count -= 1;
        }
    }
}

fn now() -> Now {
    let utc = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
    Now { own: now_ms(), utc }
}

/// Starts the node's part on a thread of its own.
///
/// # Errors
/// The thread cannot be started. Anything later is logged.
pub fn start(options: Options) -> io::Result<()> {
    std::thread::Builder::new().name("partners".to_owned()).spawn(move || {
        planted::plant_from_env();
        let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(problem) => return error!("this node has no part in partners' routes: {problem}"),
        };
        runtime.block_on(LocalSet::new().run_until(async {
            if let Err(problem) = run(options).await {
                error!("this node has no part in partners' routes: {problem}");
            }
        }));
    })?;
    Ok(())
}

async fn run(options: Options) -> io::Result<()> {
    let Options { name, table, from, view, mut alone, given, in_force, shown } = options;
    if alone.wait_for(|alone| *alone).await.is_err() {
        return Ok(());
    }
    std::fs::create_dir_all(&table.directory)?;
    let guard = Guard::open(&table.directory.join(NUMBERS))?;
    let now = now();
    let mut board = Board::default();
    match keep::read(&table.directory, now.utc) {
        Ok(Some(feed)) => {
            if let Err(not) = board.take(feed, now.own) {
                warn!("partners: what was kept cannot be used: {not}");
                board = Board::default();
            }
        }
        Ok(None) => {}
        // Without it numbers could run backwards.
        Err(bad) => return Err(io::Error::other(bad)),
    }
    let terms = table.terms();
    board.tick(&terms, now.own);
    let inside = Inside {
        board,
        leading: None,
        guard,
        refused: BTreeMap::new(),
        asking: BTreeMap::new(),
        holder: None,
        heard: now.own,
    };
    let site = Rc::new(Site {
        name,
        terms,
        from,
        in_force,
        shown,
        news: watch::channel(()).0,
        changed: Cell::new(false),
        shown_at: Cell::new(0),
        inside: RefCell::new(inside),
        table,
    });
    site.turned();
    let listener = publish::listen(site.table.listen).await;
    spawn_local(publish::serve(listener, site.clone()));
    spawn_local(follow(site.clone(), view));
    spawn_local(keep_on(site.clone()));
    if let Ok(given) = given.await {
        spawn_local(hold(site.clone(), given));
    }
    loop {
        sleep(TICK).await;
        site.tick();
    }
}

impl Site {
    /// The node's name.
    pub fn node(&self) -> &str {
        &self.name
    }

    /// Where it listens.
    pub fn listens(&self) -> SocketAddr {
        self.table.listen
    }

    /// Whether a partner of this name asks from there.
    pub fn is_partner(&self, partner: &Name, from: IpAddr) -> bool {
        let is = |site: &SiteTable| site.name == *partner && site.allow.iter().any(|net| net.contains(&from));
        self.table.sites.iter().any(is)
    }

    /// Whether a node of this fleet asks from there.
    pub fn is_node(&self, from: IpAddr) -> bool {
        self.table.nodes.iter().any(|net| net.contains(&from))
    }

    /// Rung whenever something is new.
    pub fn news(&self) -> watch::Receiver<()> {
        self.news.subscribe()
    }

    /// A place among a partner's questions, where there is one.
    pub fn seat(&self, partner: &Name, most: usize) -> Option<Seat<'_>> {
        let mut inside = self.inside.borrow_mut();
        let count = inside.asking.entry(partner.clone()).or_insert(0);
        (*count < most).then(|| {
            *count += 1;
            Seat { site: self, partner: partner.clone() }
        })
    }

    /// The number that this node may act under now.
    pub fn leads(&self) -> Option<u64> {
        let inside = self.inside.borrow();
        let (leading, held) = inside.leading.as_ref()?;
        let may = held.check().is_ok() || planted::is(Planted::AnswersUnheld);
        may.then(|| leading.number())
    }

    /// What is said to whoever asks a node that does not hold the duty.
    pub fn not_held(&self) -> NotAnswered {
        let inside = self.inside.borrow();
        let by = inside.board.by();
        NotAnswered::NotHeld(match inside.holder {
            Some(at) if !by.is_empty() => format!("{by} does, at {at}"),
            _ => "it is not known who does".to_owned(),
        })
    }

    /// The version of the merged table.
    pub fn version(&self) -> Version {
        self.inside.borrow().board.version()
    }

    /// The merged table, or the differences from a version, for a node.
    ///
    /// # Errors
    /// This node does not hold the duty.
    pub fn feed(&self, after: Option<Version>) -> Result<Feed, NotAnswered> {
        if self.leads().is_none() {
            return Err(self.not_held());
        }
        Ok(self.inside.borrow().board.feed(after, now().own))
    }

    /// What a partner is told that has this version; nothing where it has all.
    ///
    /// # Errors
    /// It may not be told anything here, or not yet.
    pub fn told(&self, partner: &Name, after: Option<Version>) -> Result<Option<Document>, NotAnswered> {
        if self.leads().is_none() {
            return Err(self.not_held());
        }
        let mut inside = self.inside.borrow_mut();
        match &mut inside.leading {
            Some((leading, _)) if leading.is_settled(now()) => Ok(leading.answer(partner, after)?),
            _ => Err(NotAnswered::NotSettled),
        }
    }

    /// Does something as the holder, where this node is.
    fn lead<T>(&self, act: impl FnOnce(&mut Leading, &mut Board, Now) -> T) -> Option<T> {
        self.leads()?;
        let mut inside = self.inside.borrow_mut();
        let Inside { board, leading, .. } = &mut *inside;
        let (leading, _) = leading.as_mut()?;
        let before = board.version();
        let was_settled = leading.is_settled(now());
        let done = act(leading, board, now());
        let is_new = board.version() != before || leading.is_settled(now()) != was_settled;
        drop(inside);
        if is_new {
            self.turned();
        }
        Some(done)
    }

    /// The merged table is another one.
    fn turned(&self) {
        self.in_force.set(self.inside.borrow().board.merged().clone());
        self.changed.set(true);
        self.news.send_replace(());
    }

    /// Shows how it stands; not at each change, as it counts all routes.
    fn show(&self) {
        let now = now();
        if now.own.saturating_sub(self.shown_at.get()) < SHOW_MS {
            return;
        }
        self.shown_at.set(now.own);
        let inside = self.inside.borrow();
        let Inside { board, leading, .. } = &*inside;
        let line = |(name, stand): (&Name, &super::board::Stand)| Shown {
            partner: name.clone(),
            version: stand.seen,
            stale_ms: match leading {
                Some((leading, _)) => leading.stale_for(name, now).unwrap_or(0),
                None => stand.stale_for(now.own),
            },
            routes: board.of(name).count(),
            withheld: board.of(name).filter(|held| held.withdrawn).count(),
            waiting: leading.as_ref().map_or((0, 0), |(leading, _)| leading.waiting(name)),
            refused: inside.refused.get(name).cloned(),
        };
        self.shown.send_replace(Report {
            holder: board.by().to_owned(),
            holds: leading.is_some(),
            version: board.version(),
            heard_ms: if leading.is_some() { 0 } else { now.own.saturating_sub(inside.heard) },
            routes: board.merged().index().len(),
            partners: board.partners().iter().map(line).collect(),
        });
    }

    fn tick(&self) {
        let led = self.lead(|leading, board, now| {
            let before = board.version();
            leading.tick(board, now);
            board.version() != before
        });
        if led.is_none() {
            let mut inside = self.inside.borrow_mut();
            // Whoever has lost the duty and has not noticed yet says nothing; it follows soon.
            let dropped = inside.leading.is_none() && inside.board.tick(&self.terms, now().own);
            drop(inside);
            if dropped {
                warn!("partners: tables that were not heard for their time are dropped");
                self.turned();
            }
        }
        // What has ended by itself is told by no change of the table.
        self.news.send_replace(());
        self.show();
    }

    /// A node follows what the holder tells.
    fn take(&self, feed: Feed, at: SocketAddr) -> Result<(), NotTaken> {
        let mut inside = self.inside.borrow_mut();
        if inside.leading.is_some() {
            return Ok(());
        }
        let (before, by) = (inside.board.version(), inside.board.by().to_owned());
        if feed.version.term > before.term && !self.admit(&mut inside, feed.version.term) {
            return Ok(());
        }
        let now = now();
        let taken = inside.board.take(feed, now.own);
        let dropped = inside.board.tick(&self.terms, now.own);
        inside.heard = now.own;
        inside.holder = Some(at);
        let (version, holder) = (inside.board.version(), inside.board.by().to_owned());
        drop(inside);
        if taken? || dropped || version != before {
            if holder != by || version.term != before.term {
                info!("partners: {holder} tells the merged table, under number {}", version.term);
            }
            self.turned();
        }
        Ok(())
    }

    /// Whether this number may be acted by. One that is new is kept first.
    fn admit(&self, inside: &mut Inside, number: u64) -> bool {
        let Ok(duty) = self.table.duty.clone().try_into() else { return false };
        let admitted = inside.guard.admit(&Fence { duty, number });
        if let Err(stale) = &admitted {
            warn!("partners: nothing is taken: {stale}");
        }
        admitted.is_ok()
    }

    /// Begins to hold the duty.
    fn begin(&self, held: &Rc<Held>) -> bool {
        let Fence { number, .. } = *held.fence();
        let rules = Rules {
            own: self.table.site.clone(),
            sites: Sites::new(self.table.groups.clone()),
            aggregates: self.table.wider(),
        };
        let mut inside = self.inside.borrow_mut();
        if !self.admit(&mut inside, number) {
            return false;
        }
        let Inside { board, leading, refused, holder, .. } = &mut *inside;
        match Leading::begin(board, &self.name, number, rules, &self.terms, now()) {
            Ok(begun) => {
                *leading = Some((begun, held.clone()));
                refused.clear();
                *holder = None;
            }
            Err(superseded) => {
                warn!("partners: the duty is given back: {superseded}");
                return false;
            }
        }
        drop(inside);
        info!(
            "partners: {} holds the duty under number {number}, and asks {} partners",
            self.name,
            self.terms.len()
        );
        self.turned();
        true
    }

    fn end(&self) {
        let mut inside = self.inside.borrow_mut();
        inside.leading = None;
        inside.heard = now().own;
        drop(inside);
        self.turned();
    }
}

/// Holds the duty each time that it is given.
async fn hold(site: Rc<Site>, mut given: mpsc::Receiver<Held>) {
    while let Some(held) = given.recv().await {
        let held = Rc::new(held);
        if !site.begin(&held) {
            continue;
        }
        let mut asking = JoinSet::new();
        for partner in &site.table.sites {
            asking.spawn_local(ask_partner(site.clone(), partner.clone()));
        }
        let wished = tokio::select! {
            lost = held.lost(), if !planted::is(Planted::AnswersUnheld) => {
                info!("partners: {lost}");
                false
            }
            () = held.to_hand_on() => true,
            () = work(&site, &held) => false,
        };
        asking.shutdown().await;
        site.end();
        // The next holder asks the partners itself, and has the table as it follows it.
        match Rc::try_unwrap(held) {
            Ok(held) if wished => drop(held.hand_on(Vec::new()).await),
            Ok(held) => drop(held),
            Err(_) => error!("partners: the duty is in use still"),
        }
    }
}

/// Own routes, and what proves that the duty is done: a thread that is stuck does not come by here.
async fn work(site: &Site, held: &Held) {
    let mut done = 0;
    let (mut seen, mut looked) = (None, Instant::now());
    own_routes(site, &mut seen).await;
    loop {
        done += 1;
        held.progress(done);
        sleep(TICK).await;
        if looked.elapsed() >= LOOK {
            looked = Instant::now();
            own_routes(site, &mut seen).await;
        }
    }
}

type Stamp = Option<(SystemTime, u64)>;

fn stamp(path: &Option<PathBuf>) -> Stamp {
    let about = std::fs::metadata(path.as_ref()?).ok()?;
    Some((about.modified().ok()?, about.len()))
}

/// Reads this site's own routes where their file has changed.
async fn own_routes(site: &Site, seen: &mut Option<Stamp>) {
    let stamp = stamp(&site.table.routes_file);
    if *seen == Some(stamp) {
        return;
    }
    let table = site.table.clone();
    match spawn_blocking(move || table.own()).await {
        Ok(Ok(routes)) => {
            if seen.is_some() {
                info!("partners: this site has {} routes of its own", routes.len());
            }
            site.lead(|leading, board, now| leading.set_own(board, &routes, now));
        }
        Ok(Err(problem)) => {
            error!("partners: own routes stay as they were: {problem}");
            site.lead(|leading, _, _| leading.own_stays());
        }
        Err(problem) => error!("partners: own routes stay as they were: {problem}"),
    }
    *seen = Some(stamp);
}

/// Asks one partner again and again for as long as this node holds the duty.
async fn ask_partner(site: Rc<Site>, table: SiteTable) {
    let mut line = Line::new(site.from);
    let (mut at, mut failed, mut rounds) = (0, 0, 0);
    let name = &table.name;
    while let Some(after) = site.lead(|leading, _, _| leading.asks_after(name)) {
        let asked = Asked { site: Some(site.table.site.clone()), after, wait: WAIT };
        let path = format!("{ROUTES}?{}", asked.query());
        let address = table.addresses[at % table.addresses.len()];
        match line.ask(address, &path, WAIT, table.bytes).await {
            Ok(Answer::Nothing(number)) => {
                (failed, rounds) = (0, 0);
                site.lead(|leading, board, now| leading.heard(board, name, number, now));
                said(&site, name, None);
            }
            Ok(Answer::Bytes(bytes)) => {
                (failed, rounds) = (0, 0);
                let terms = site.terms[name].clone();
                let Ok(read) = spawn_blocking(move || terms.read(&bytes)).await else { continue };
                let fault = site.lead(|leading, board, now| leading.receive(board, name, read, now));
                let fault = fault.flatten().map(|fault| fault.to_string());
                let was_refused = fault.is_some();
                said(&site, name, fault);
                sleep(if was_refused { REFUSED } else { BETWEEN }).await;
            }
            Err(problem) => {
                debug!("partners: {name} at {address}: {problem}");
                at += 1;
                failed += 1;
                site.lead(|leading, board, now| leading.lost(board, name, now));
                let too_long = matches!(problem, Failed::TooLong { .. });
                if too_long || failed >= table.addresses.len() {
                    failed = 0;
                    rounds += 1;
                    said(&site, name, Some(unheard(&table, address, &problem)));
                    if too_long { sleep(REFUSED).await } else { pause(rounds).await }
                }
            }
        }
    }
}

fn unheard(table: &SiteTable, at: SocketAddr, problem: &Failed) -> String {
    let field = if matches!(problem, Failed::TooLong { .. }) { "bytes" } else { "answer" };
    format!("partner {}, {field}: {problem}, at {at}", table.name)
}

/// Notes why a partner is turned down or not heard, with one line of the log for each change.
fn said(site: &Site, partner: &Name, fault: Option<String>) {
    let mut inside = site.inside.borrow_mut();
    let before = inside.refused.get(partner);
    if before == fault.as_ref() {
        return;
    }
    match fault {
        Some(fault) => {
            warn!("partners: {fault}; its last good table is used for {} ms", site.terms[partner].stale_ms);
            inside.refused.insert(partner.clone(), fault);
        }
        None => {
            info!("partners: {partner} is heard again");
            inside.refused.remove(partner);
        }
    }
}

/// Follows the holder for as long as the node is none itself.
async fn follow(site: Rc<Site>, view: watch::Receiver<View>) {
    let mut line = Line::new(site.from);
    let (mut rounds, mut whole, mut silent) = (0, false, None);
    loop {
        if site.inside.borrow().leading.is_some() {
            sleep(TICK).await;
            continue;
        }
        let mut found = false;
        for address in to_ask(&site, &view, silent) {
            let after = (!whole).then(|| site.version()).filter(|version| version.term > 0);
            let asked = Asked { site: None, after, wait: WAIT };
            let answer = line.ask(address, &format!("{FLEET}?{}", asked.query()), WAIT, FEED).await;
            let feed = match answer {
                Ok(Answer::Bytes(bytes)) => {
                    spawn_blocking(move || serde_json::from_slice::<Feed>(&bytes)).await
                }
                Ok(Answer::Nothing(_)) => continue,
                Err(problem) => {
                    debug!("partners: {address} does not tell the merged table: {problem}");
                    continue;
                }
            };
            let Ok(Ok(feed)) = feed else {
                warn!("partners: what {address} tells is no merged table");
                continue;
            };
            match site.take(feed, address) {
                Ok(()) => (found, whole) = (true, false),
                Err(NotTaken::Gap(_)) => (found, whole) = (true, true),
                Err(below) => {
                    debug!("partners: {address} tells nothing that is taken: {below}");
                    continue;
                }
            }
            break;
        }
        rounds = if found { 0 } else { rounds + 1 };
        if !found {
            silent = site.inside.borrow_mut().holder.take().or(silent);
            pause(rounds).await;
        }
    }
}

/// Whom to ask for the merged table: the one that told it last, or some of the nodes.
fn to_ask(site: &Site, view: &watch::Receiver<View>, silent: Option<SocketAddr>) -> Vec<SocketAddr> {
    if let Some(holder) = site.inside.borrow().holder {
        return vec![holder];
    }
    let port = site.table.listen.port();
    let view = view.borrow();
    let others: Vec<SocketAddr> = view
        .nodes()
        .filter(|node| node.applicant.name != site.name)
        .map(|node| SocketAddr::new(node.applicant.address.ip(), port))
        .collect();
    let mut some: Vec<SocketAddr> = others.choose_multiple(&mut rand::rng(), ROUND).copied().collect();
    // The one that has just fallen silent is not waited for before the others.
    some.sort_by_key(|address| Some(*address) == silent);
    some
}

/// Keeps the table over a restart, beside the thread that serves.
async fn keep_on(site: Rc<Site>) {
    let mut kept = Instant::now();
    loop {
        sleep(KEEP_AFTER).await;
        if !site.changed.replace(false) && kept.elapsed() < KEEP_EVERY {
            continue;
        }
        kept = Instant::now();
        let (feed, now) = {
            let now = now();
            (site.inside.borrow().board.feed(None, now.own), now)
        };
        let directory = site.table.directory.clone();
        match spawn_blocking(move || keep::write(&directory, &feed, now.utc)).await {
            Ok(Ok(())) => {}
            Ok(Err(problem)) => warn!("partners: the table is not kept: {problem}"),
            Err(problem) => warn!("partners: the table is not kept: {problem}"),
        }
    }
}
