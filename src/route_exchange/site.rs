//! A node's part in partners' routes, as its tasks share it: the board, what it leads where it holds the duty, and what it says
//! to whoever asks. Nothing here waits.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;

use log::{error, info, warn};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::sync::{Notify, watch};
use tokio::task::spawn_blocking;

use super::asking::Feed;
use super::board::{self, Board, NotTaken};
use super::export::{self, NotTold, Rules};
use super::lead::{Leading, Now};
use super::lookup::InForce;
use super::restrict::Sites;
use super::route::Name;
use super::table::{Terms, Version};
use crate::clock::utc_ms;
use crate::config::{PartnersTable, SiteTable};
use crate::fault_injection::{self, InjectedFault};
use crate::lease::expiry::now_ms;
use crate::lease::hold::Held;
use crate::lease::{Fence, Guard, Unproved, Voucher};

/// How long a node that is not followed is shown, in ms.
const DOUBTED_MS: u64 = 600_000;
/// How often it is shown how the node stands, in ms.
const SHOW_MS: u64 = 300;

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
    /// The last node that told a table as the holder and is not followed, of the last ten minutes.
    #[serde(default)]
    pub doubted: Option<Doubted>,
    /// How long ago it was heard from the holder, in ms.
    pub heard_ms: u64,
    /// Its routes.
    pub routes: usize,
    /// All partners.
    pub partners: Vec<Shown>,
}

/// Why a node that tells as the holder is not followed.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NotFollowed {
    /// The view has the node of that name at another address.
    #[error("that node is at another address")]
    Elsewhere,
    /// The store does not vouch for it.
    #[error("{0}")]
    Unproved(#[from] Unproved),
}

/// A node that tells a table as the holder and is not followed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Doubted {
    /// Where it is.
    pub at: SocketAddr,
    /// The name that it goes by.
    pub by: String,
    /// The number of the duty that it tells under.
    pub number: u64,
    /// Why it is not followed.
    pub why: NotFollowed,
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

pub(super) struct Inside {
    pub(super) board: Board,
    pub(super) leading: Option<(Leading, Rc<Held>)>,
    /// Whether it begins to lead: until then the board stays as it is.
    pub(super) begins: bool,
    pub(super) guard: Guard,
    pub(super) refused: BTreeMap<Name, String>,
    pub(super) asking: BTreeMap<Name, usize>,
    /// Where the holder was found, and when it was last heard.
    pub(super) holder: Option<SocketAddr>,
    pub(super) heard: u64,
    /// Who was not followed last, and when that was found.
    pub(super) doubted: Option<(u64, Doubted)>,
}

impl Inside {
    /// Whether this node holds the duty, or begins to.
    pub(super) fn leads(&self) -> bool {
        self.begins || self.leading.is_some()
    }
}

/// Takes what the holder tells, and drops what has been stale for its time; whether the table is another one.
fn take_in(board: &mut Board, feed: Feed, terms: &BTreeMap<Name, Terms>) -> Result<bool, NotTaken> {
    let now = now().own;
    let taken = board.take(feed, now);
    let dropped = board.tick(terms, now);
    Ok(taken? || dropped)
}

/// The same with a copy.
fn with(mut board: Board, feed: Feed, terms: &BTreeMap<Name, Terms>) -> (Board, Result<bool, NotTaken>) {
    let taken = take_in(&mut board, feed, terms);
    (board, taken)
}

/// The part of one node, shared by its tasks on one thread.
pub struct Site {
    pub(super) name: String,
    pub(super) table: PartnersTable,
    pub(super) terms: BTreeMap<Name, Terms>,
    pub(super) from: IpAddr,
    /// Asks the store whether who says that it holds the duty does.
    pub(super) voucher: Voucher,
    pub(super) in_force: Arc<InForce>,
    pub(super) shown: watch::Sender<Report>,
    pub(super) news: watch::Sender<()>,
    /// Rung where the holder has something to go on with.
    pub(super) work: Notify,
    pub(super) changed: Cell<bool>,
    pub(super) shown_at: Cell<u64>,
    pub(super) inside: RefCell<Inside>,
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

/// Which time it is.
pub(super) fn now() -> Now {
    Now { own: now_ms(), utc: utc_ms() }
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
        let may = held.check().is_ok() || fault_injection::is_active(InjectedFault::AnswersUnheld);
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
    pub fn feed(&self, after: Option<Version>) -> Result<board::Telling, NotAnswered> {
        if self.leads().is_none() {
            return Err(self.not_held());
        }
        Ok(self.inside.borrow().board.tell(after, now().own))
    }

    /// What a partner is told that has this version; nothing where it has all.
    ///
    /// # Errors
    /// It may not be told anything here, or not yet.
    pub fn told(
        &self,
        partner: &Name,
        after: Option<Version>,
    ) -> Result<Option<export::Telling>, NotAnswered> {
        if self.leads().is_none() {
            return Err(self.not_held());
        }
        let mut inside = self.inside.borrow_mut();
        match &mut inside.leading {
            Some((leading, _)) if leading.is_settled(now()) => Ok(leading.tell(partner, after)?),
            _ => Err(NotAnswered::NotSettled),
        }
    }

    /// Does something as the holder, where this node is.
    pub(super) fn lead<T>(&self, act: impl FnOnce(&mut Leading, &mut Board, Now) -> T) -> Option<T> {
        self.leads()?;
        let mut inside = self.inside.borrow_mut();
        let Inside { board, leading, .. } = &mut *inside;
        let (leading, _) = leading.as_mut()?;
        let before = board.version();
        let was_settled = leading.is_settled(now());
        let done = act(leading, board, now());
        if !leading.is_done() {
            self.work.notify_one();
        }
        let is_new = board.version() != before || leading.is_settled(now()) != was_settled;
        drop(inside);
        if is_new {
            self.turned();
        }
        Some(done)
    }

    /// The merged table is another one.
    pub(super) fn turned(&self) {
        self.in_force.set(self.inside.borrow().board.merged().clone());
        self.changed.set(true);
        self.news.send_replace(());
    }

    /// Shows how it stands; not at each change, as there may be many.
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
            routes: board.count(name).0,
            withheld: board.count(name).1,
            waiting: leading.as_ref().map_or((0, 0), |(leading, _)| leading.waiting(name)),
            refused: inside.refused.get(name).cloned(),
        };
        self.shown.send_replace(Report {
            holder: board.by().to_owned(),
            holds: leading.is_some(),
            version: board.version(),
            doubted: inside
                .doubted
                .as_ref()
                .filter(|(at, _)| now.own - at <= DOUBTED_MS)
                .map(|(_, one)| one.clone()),
            heard_ms: if leading.is_some() { 0 } else { now.own.saturating_sub(inside.heard) },
            routes: board.merged().index().len(),
            partners: board.partners().iter().map(line).collect(),
        });
    }

    pub(super) fn tick(&self) {
        let led = self.lead(|leading, board, now| {
            let before = board.version();
            leading.tick(board, now);
            board.version() != before
        });
        if led.is_none() {
            let mut inside = self.inside.borrow_mut();
            // Whoever has lost the duty and has not noticed yet says nothing; it follows soon.
            let dropped = !inside.leads() && inside.board.tick(&self.terms, now().own);
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

    /// Whether a node holds the duty under a number. The store is asked about a holder that this node does not follow yet:
    /// a number that somebody has made up would shut out all others for ever.
    ///
    /// # Errors
    /// It does not, or that is not known.
    pub(super) async fn vouch(&self, by: &str, number: u64) -> Result<(), Unproved> {
        let known = {
            let inside = self.inside.borrow();
            let seen = inside.board.version().term;
            // What is below is turned down in any case.
            number < seen || number == seen && inside.board.by() == by
        };
        if known { Ok(()) } else { self.voucher.proves(number, by).await }
    }

    /// Notes why a node is not followed, with one line of the log for each that is new.
    pub(super) fn doubt(&self, doubted: Doubted) {
        let mut inside = self.inside.borrow_mut();
        if inside.doubted.as_ref().is_some_and(|(_, known)| *known == doubted) {
            return;
        }
        let Doubted { at, by, number, why } = &doubted;
        warn!("partners: {at} tells as {by} under number {number}, which is not followed: {why}");
        inside.doubted = Some((now().own, doubted));
    }

    /// A node follows what the holder tells. All of a table is taken beside the thread, from a copy of the board.
    pub(super) async fn take(&self, feed: Feed, at: SocketAddr) -> Result<(), NotTaken> {
        let (before, by) = {
            let mut inside = self.inside.borrow_mut();
            let before = inside.board.version();
            let new = feed.version.term > before.term;
            if inside.leads() || new && !self.admit(&mut inside, feed.version.term) {
                return Ok(());
            }
            (before, inside.board.by().to_owned())
        };
        let taken = if feed.from.is_none() {
            let (board, terms) = (self.inside.borrow().board.clone(), self.terms.clone());
            let Ok((board, taken)) = spawn_blocking(move || with(board, feed, &terms)).await else {
                return Ok(());
            };
            let mut inside = self.inside.borrow_mut();
            // The duty has come meanwhile, or tables have been dropped: it is asked for again.
            if inside.leads() || inside.board.version() != before {
                return Ok(());
            }
            inside.board = board;
            taken
        } else {
            take_in(&mut self.inside.borrow_mut().board, feed, &self.terms)
        };
        let mut inside = self.inside.borrow_mut();
        inside.heard = now().own;
        inside.holder = Some(at);
        let (version, holder) = (inside.board.version(), inside.board.by().to_owned());
        drop(inside);
        if taken? || version != before {
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

    /// Begins to hold the duty: beside the thread, from a copy of the board, which nobody changes meanwhile.
    pub(super) async fn begin(&self, held: &Rc<Held>) -> bool {
        let Fence { number, .. } = *held.fence();
        let rules = Rules {
            own: self.table.site.clone(),
            sites: Sites::new(self.table.groups.clone()),
            aggregates: self.table.wider(),
        };
        let (mut board, terms, name) = {
            let mut inside = self.inside.borrow_mut();
            if !self.admit(&mut inside, number) {
                return false;
            }
            inside.begins = true;
            (inside.board.clone(), self.terms.clone(), self.name.clone())
        };
        let begun = spawn_blocking(move || {
            let begun = Leading::begin(&mut board, &name, number, rules, &terms, now());
            (begun, board)
        });
        let begun = begun.await;
        let mut inside = self.inside.borrow_mut();
        inside.begins = false;
        match begun {
            Ok((Ok(leading), board)) => {
                inside.board = board;
                inside.leading = Some((leading, held.clone()));
                inside.refused.clear();
                inside.holder = None;
            }
            Ok((Err(superseded), _)) => {
                warn!("partners: the duty is given back: {superseded}");
                return false;
            }
            Err(problem) => {
                error!("partners: the duty is given back: {problem}");
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

    pub(super) fn end(&self) {
        let mut inside = self.inside.borrow_mut();
        inside.leading = None;
        inside.heard = now().own;
        drop(inside);
        self.turned();
    }
}
