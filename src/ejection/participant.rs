//! A node's part in the votes: a thread of its own, on which it says what its calls have shown, hears who counts, applies
//! lists, and counts itself while it has the duty. The serving core only notes its calls and follows the shares.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use log::{error, info, warn};
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use super::claims::{ClaimOutcome, Claims, UnverifiedClaim};
use super::coordinator::{Policy, RetainedOutlier};
use super::coordinator_task::Counting;
use super::evidence::{Evidence, send_every_ms};
use super::list::{List, ListEntry, Number, ShareAssignment, Shares};
use super::list_manager::Trial;
use super::persistent_guard::{ApplyError, PersistentGuard};
use super::probing::MAX_PROBED;
use super::wire::Holder;
use super::{coordinator_task, listener, voter};
use crate::fleet::view::{Node, View};
use crate::lease::expiry::now_ms;
use crate::lease::{Held, Unproved, Voucher};
use crate::net::bind;
use crate::route_exchange::lookup::InForce;

/// Periods in which a voter that is there is heard.
const HEARD_PERIODS: f64 = 3.0;

/// How often the store is asked about one claim, and the time between.
const ASKED: usize = 3;
const ASKED_AGAIN: Duration = Duration::from_millis(100);

/// Time between two tries to read the number of the last list in a folder that fails.
const OPEN_AGAIN: Duration = Duration::from_secs(1);

/// What a node notes of its calls, to be sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecordedCalls {
    /// All of them.
    pub evidence: Evidence,
    /// Those to servers that it is to try.
    pub trials: Vec<(SocketAddr, Trial)>,
}

/// Asks the serving core for what it has noted.
pub type RecordRequests = mpsc::Sender<oneshot::Sender<RecordedCalls>>;

/// What the part is given.
pub struct Options {
    /// The node's name.
    pub name: String,
    /// Its zone in the fleet.
    pub zone: String,
    /// The address that it listens at and asks from.
    pub listen: SocketAddr,
    /// Asks the store whether who says that it counts does.
    pub voucher: Voucher,
    /// Where the number of the latest list is kept.
    pub file: Option<PathBuf>,
    /// What operators set.
    pub terms: watch::Receiver<Policy>,
    /// The merged table of sites' routes, where there is one.
    pub routes: Option<Arc<InForce>>,
    /// What the serving core has noted.
    pub asks: RecordRequests,
    /// What the serving core gives the servers.
    pub shares: watch::Sender<Shares>,
    /// What is shown.
    pub shown: watch::Sender<Report>,
}

/// What is known of the evidence where it is counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EvidenceSummary {
    /// Nodes that sent some in the last three periods.
    pub voters: usize,
    /// How long ago the last of it came, in ms.
    pub newest_ms: Option<u64>,
}

/// What a node shows of the votes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Whether it counts.
    pub counts: bool,
    /// Who counts, as it was told last.
    pub holder: Option<Holder>,
    /// The last word that somebody counts which it does not go by, of the last ten minutes.
    #[serde(default)]
    pub doubted: Option<UnverifiedClaim>,
    /// The number of the list that it follows.
    pub list: Number,
    /// How long ago that was confirmed, in ms; none before the first list.
    pub heard_ms: Option<u64>,
    /// Whether the list is in force: not after 120 s without a word of the one that counts.
    pub in_force: bool,
    /// The list.
    pub entries: Vec<ListEntry>,
    /// Whether this machine finds most servers bad, and counts for nothing.
    pub ill: bool,
    /// How long ago its own evidence was counted last, in ms.
    pub evidence_ms: Option<u64>,
    /// The evidence of all, where it counts.
    pub evidence: Option<EvidenceSummary>,
    /// Servers that stand out and stay, where it counts.
    pub kept: Vec<RetainedOutlier>,
    /// Machines that find most servers bad, where it counts.
    pub ill_machines: Vec<String>,
}

/// Starts the part, once this process is the node's only one. `given` brings the end at which the duty comes.
///
/// # Errors
/// The thread cannot be started. Anything later is logged.
pub fn start(
    options: Options,
    view: watch::Receiver<View>,
    mut alone: watch::Receiver<bool>,
    given: oneshot::Receiver<mpsc::Receiver<Held>>,
) -> io::Result<()> {
    std::thread::Builder::new().name("verdicts".to_owned()).spawn(move || {
        let serve = async {
            match alone.wait_for(|alone| *alone).await {
                Ok(_) => serve(options, view, given).await,
                Err(_) => Ok(()),
            }
        };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        if let Err(problem) = runtime.and_then(|rt| rt.block_on(LocalSet::new().run_until(serve))) {
            error!("this node has no part in the votes: {problem}");
        }
    })?;
    Ok(())
}

async fn serve(
    options: Options,
    view: watch::Receiver<View>,
    given: oneshot::Receiver<mpsc::Receiver<Held>>,
) -> io::Result<()> {
    let listener = bind::tcp("votes", options.listen).await?;
    info!("{} listens for votes on {}", options.name, listener.local_addr()?);
    let guard = open_guard(&options).await?;
    let seat = Rc::new(Seat {
        options,
        view,
        life: rand::rng().random(),
        guard: RefCell::new(guard),
        unkept: Cell::new(false),
        claims: RefCell::default(),
        counting: RefCell::default(),
        own: RefCell::default(),
        asked: RefCell::default(),
        rung: Notify::new(),
    });
    spawn_local(listener::open(listener, seat.clone()));
    spawn_local(voter::vote(seat.clone()));
    match given.await {
        Ok(given) => coordinator_task::hold(seat, given).await,
        // It takes no duties: it votes all the same.
        Err(_) => std::future::pending().await,
    }
    Ok(())
}

/// The number that was kept. While the folder fails, no list may be applied and nothing is answered.
async fn open_guard(options: &Options) -> io::Result<PersistentGuard> {
    let mut said = false;
    loop {
        match PersistentGuard::open(options.file.clone()) {
            Ok(guard) => return Ok(guard),
            Err(problem) if problem.is_transient() => {
                if !said {
                    error!("{} has no part in the votes until its folder works: {problem}", options.name);
                }
                said = true;
                sleep(OPEN_AGAIN).await;
            }
            Err(problem) => return Err(problem.into()),
        }
    }
}

/// Asks the store whether a node counts that says so, or that another one says it of. The member that is asked may lag
/// behind the one that gave the duty, so what it does not know is asked again.
async fn ask_store(seat: Rc<Seat>, teller: String, holder: Holder) {
    let mut asked = 0;
    let why = loop {
        asked += 1;
        match seat.options.voucher.proves(holder.fence, &holder.name).await {
            Ok(()) => return seat.accept_holder(holder),
            Err(Unproved::Unknown | Unproved::Unheard(_)) if asked < ASKED => sleep(ASKED_AGAIN).await,
            Err(why) => break why,
        }
    };
    let Holder { fence, name } = &holder;
    warn!("verdicts: {teller} says that {name} counts under number {fence}, which is not gone by: {why}");
    seat.claims.borrow_mut().reject(seat.now(), UnverifiedClaim { teller, holder, why });
}

/// How this node's own evidence fares.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Own {
    pub(super) counted: Option<f64>,
    pub(super) ill: bool,
}

/// What the tasks of the part share.
pub(super) struct Seat {
    pub(super) options: Options,
    view: watch::Receiver<View>,
    pub(super) life: u64,
    guard: RefCell<PersistentGuard>,
    /// Whether the number of a list could not be kept the last time.
    unkept: Cell<bool>,
    claims: RefCell<Claims>,
    /// While this node counts.
    pub(super) counting: RefCell<Option<Counting>>,
    pub(super) own: RefCell<Own>,
    /// Servers that the one that counts asks this node to call.
    pub(super) asked: RefCell<Vec<SocketAddr>>,
    /// Rung when the evidence is to be sent now.
    pub(super) rung: Notify,
}

impl Seat {
    /// Time in ms, on a clock that goes on while the process is stopped.
    pub(super) fn now(&self) -> f64 {
        now_ms() as f64
    }

    /// The address that is asked from.
    pub(super) fn from(&self) -> IpAddr {
        self.options.listen.ip()
    }

    /// How often evidence is sent, in ms, and within how long a voter that is there is heard.
    pub(super) fn period(&self) -> (f64, f64) {
        let every = send_every_ms(self.view.borrow().len());
        (every, every * HEARD_PERIODS)
    }

    /// A node as the fleet's view has it.
    pub(super) fn node(&self, name: &str) -> Option<Node> {
        self.view.borrow().get(name).cloned()
    }

    /// The names of all nodes.
    pub(super) fn names(&self) -> Vec<String> {
        self.view.borrow().nodes().map(|node| node.applicant.name.clone()).collect()
    }

    /// Where a node listens for votes: at the fleet's address of it, on the port that all have.
    pub(super) fn address_of(&self, node: &Node) -> SocketAddr {
        SocketAddr::new(node.applicant.address.ip(), self.options.listen.port())
    }

    /// Who counts, as it was told last.
    pub(super) fn holder(&self) -> Option<Holder> {
        self.claims.borrow().holder().cloned()
    }

    /// Hears from a node who counts. A lower number than one that was seen is turned down with that one; a holder that
    /// this node did not go by is gone by once the store vouches for it.
    pub(super) fn hear_of(self: &Rc<Self>, teller: &str, holder: Holder) -> Result<(), u64> {
        let seen = self.guard.borrow().guard().seen().fence;
        match self.claims.borrow_mut().receive(self.now(), seen, teller, &holder) {
            ClaimOutcome::Known | ClaimOutcome::RateLimited => Ok(()),
            ClaimOutcome::Superseded(seen) => Err(seen),
            ClaimOutcome::Unverified => {
                spawn_local(ask_store(self.clone(), teller.to_owned(), holder));
                Ok(())
            }
        }
    }

    /// Goes by a holder that the store vouches for, or that is this node.
    pub(super) fn accept_holder(&self, holder: Holder) {
        let told = format!("verdicts: {} counts under number {}", holder.name, holder.fence);
        if self.claims.borrow_mut().accept_holder(holder) {
            info!("{told}");
            self.rung.notify_one();
        }
    }

    /// How many machines may lie.
    pub(super) fn liars(&self) -> usize {
        let view = self.view.borrow();
        let machines: BTreeSet<&str> = view.nodes().map(|node| node.applicant.machine.as_str()).collect();
        self.options.terms.borrow().rules.max_liars(machines.len())
    }

    /// The number of the list that is in force here; none after a start, before the first list.
    pub(super) fn have(&self) -> Number {
        let guard = self.guard.borrow();
        guard.guard().in_force(self.now()).map_or(Number::default(), |list| list.number)
    }

    /// The list in force, where it is a higher one than that.
    pub(super) fn list_above(&self, number: Number) -> Option<List> {
        let guard = self.guard.borrow();
        guard.guard().in_force(self.now()).filter(|list| list.number > number).cloned()
    }

    /// Applies a list that this holder has told.
    pub(super) fn accept(&self, holder: &Holder, list: &List) {
        if list.number.fence != holder.fence {
            let Number { fence, sequence } = list.number;
            warn!("verdicts: {} tells list {fence}.{sequence}, which is not its own", holder.name);
            return;
        }
        let accepted = self.guard.borrow_mut().accept(self.now(), list);
        let Number { fence, sequence } = list.number;
        match accepted {
            Ok(true) => {
                self.unkept.set(false);
                info!("verdicts: list {fence}.{sequence} is in force, with {} lines", list.entries.len());
            }
            Ok(false) => {}
            Err(ApplyError::List(problem)) => warn!("verdicts: a list is turned down: {problem}"),
            Err(problem) => {
                if !self.unkept.replace(true) {
                    error!("verdicts: list {fence}.{sequence} and later ones are not applied: {problem}");
                }
            }
        }
    }

    /// The one that counts has no later list than this one.
    pub(super) fn confirmed(&self, number: Number) {
        self.guard.borrow_mut().confirmed(self.now(), number);
    }

    /// Lets the serving core and operators know how things stand.
    pub(super) fn publish(&self) {
        let now = self.now();
        let guard = self.guard.borrow();
        let guard = guard.guard();
        let mut shares = guard.shares(now, &self.options.name, &self.options.zone);
        for server in self.asked.borrow().iter().take(MAX_PROBED) {
            shares.entry(*server).or_insert(ShareAssignment::PROBED);
        }
        self.options.shares.send_if_modified(|known| {
            let changed = *known != shares;
            if changed {
                *known = shares;
            }
            changed
        });
        let ago = |at: f64| (now - at).max(0.0) as u64;
        let list = guard.in_force(now);
        let own = *self.own.borrow();
        let mut report = Report {
            counts: false,
            holder: self.holder(),
            doubted: self.claims.borrow().doubted(now).cloned(),
            list: guard.seen(),
            heard_ms: guard.heard_ms(now).map(|ms| ms as u64),
            in_force: list.is_some(),
            entries: list.map(|list| list.entries.clone()).unwrap_or_default(),
            ill: own.ill,
            evidence_ms: own.counted.map(ago),
            ..Report::default()
        };
        if let Some(counting) = self.counting.borrow().as_ref() {
            counting.show(now, self.period().1, &mut report);
        }
        self.options.shown.send_replace(report);
    }
}
