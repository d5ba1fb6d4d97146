//! A node's part in partners' routes: on a thread of its own it follows the holder of the duty, or holds it itself: then
//! it asks each partner in a task, merges, and tells.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use log::{debug, error, info, warn};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::{JoinSet, LocalSet, spawn_blocking, spawn_local, yield_now};
use tokio::time::{Instant, sleep};

use super::asking::{Asked, Feed, ROUTES};
use super::board::Board;
use super::fetch::{Answer, Failed, Line, pause};
use super::follow::follow;
use super::lead::Now;
use super::lookup::InForce;
use super::route::Name;
use super::site::{Inside, Site, now};
use super::table::Fault;
use super::{keep, publish};
use crate::clock::boot_id;
use crate::config::{PartnersTable, SiteTable};
use crate::durable::{create_directory, is_transient};
use crate::fault_injection::{self, InjectedFault};
use crate::fleet::view::View;
use crate::lease::hold::Held;
use crate::lease::{DutyName, Guard, Voucher};

pub use super::site::{Doubted, NotFollowed, Report, Shown};

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
/// How long the thread works at what waits before all else has its turn.
const PIECE: Duration = Duration::from_millis(2);
/// Time between two documents of one partner: one that sends many costs the others no more.
const BETWEEN: Duration = Duration::from_millis(10);
/// Time until a partner that was turned down is asked again.
const REFUSED: Duration = Duration::from_millis(500);
/// Time between two tries to read what was kept in a folder that fails.
const OPEN_AGAIN: Duration = Duration::from_secs(1);
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
    /// Members of the store, which vouch for the holder.
    pub members: Vec<SocketAddr>,
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

/// Starts the node's part on a thread of its own.
///
/// # Errors
/// The thread cannot be started. Anything later is logged.
pub fn start(options: Options) -> io::Result<()> {
    std::thread::Builder::new().name("partners".to_owned()).spawn(move || {
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

/// A time for what is kept over a restart.
fn kept_at(now: Now) -> keep::Stamp {
    keep::Stamp { utc_ms: now.utc, boot_ms: now.own, boot: boot_id() }
}

/// What was kept: without it numbers could run backwards. While the folder fails the part does not begin.
async fn open_kept(directory: &Path) -> io::Result<(Guard, Option<Feed>)> {
    let mut said = false;
    loop {
        let opened = create_directory(directory).and_then(|()| {
            let guard = Guard::open(&directory.join(NUMBERS))?;
            Ok((guard, keep::read(directory, &kept_at(now()))?))
        });
        match opened {
            Err(problem) if is_transient(&problem) => {
                if !said {
                    error!("partners: this node has no part in routes until its folder works: {problem}");
                }
                said = true;
                sleep(OPEN_AGAIN).await;
            }
            opened => return opened,
        }
    }
}

async fn run(options: Options) -> io::Result<()> {
    let Options { name, table, from, members, view, mut alone, given, in_force, shown } = options;
    if alone.wait_for(|alone| *alone).await.is_err() {
        return Ok(());
    }
    let (guard, feed) = open_kept(&table.directory).await?;
    let now = now();
    let mut board = Board::default();
    if let Some(feed) = feed
        && let Err(not) = board.take(feed, now.own)
    {
        warn!("partners: what was kept cannot be used: {not}");
        board = Board::default();
    }
    let terms = table.terms();
    board.tick(&terms, now.own);
    let inside = Inside {
        board,
        leading: None,
        begins: false,
        guard,
        refused: BTreeMap::new(),
        asking: BTreeMap::new(),
        holder: None,
        heard: now.own,
        doubted: None,
    };
    let duty = DutyName::new(table.duty.clone()).map_err(io::Error::other)?;
    let site = Rc::new(Site {
        name,
        terms,
        from,
        voucher: Voucher { duty, members, from },
        in_force,
        shown,
        news: watch::channel(()).0,
        work: Notify::new(),
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

/// Holds the duty each time that it is given.
async fn hold(site: Rc<Site>, mut given: mpsc::Receiver<Held>) {
    while let Some(held) = given.recv().await {
        let held = Rc::new(held);
        if !site.begin(&held).await {
            continue;
        }
        let mut asking = JoinSet::new();
        for partner in &site.table.sites {
            asking.spawn_local(ask_partner(site.clone(), partner.clone()));
        }
        asking.spawn_local(go_on(site.clone()));
        let wished = tokio::select! {
            lost = held.lost(), if !fault_injection::is_active(InjectedFault::AnswersUnheld) => {
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

/// Merges what partners sent and takes it up for the others, in pieces of so much time: between these there are questions
/// and answers, and whatever is urgent meanwhile is next.
async fn go_on(site: Rc<Site>) {
    loop {
        let began = Instant::now();
        let done = site.lead(|leading, board, now| {
            while !leading.is_done() && began.elapsed() < PIECE {
                leading.go_on(board, now);
            }
            leading.is_done()
        });
        site.news.send_replace(());
        match done {
            Some(false) => yield_now().await,
            _ => site.work.notified().await,
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
    let is_merging = site.lead(|leading, _, _| leading.is_merging(&site.table.site)).unwrap_or(true);
    if *seen == Some(stamp) || is_merging {
        return;
    }
    let table = site.table.clone();
    match spawn_blocking(move || table.own()).await {
        Ok(Ok(routes)) => {
            if seen.is_some() {
                info!("partners: this site has {} routes of its own", routes.len());
            }
            site.lead(|leading, board, _| leading.set_own(board, &routes));
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
                let fault = receive(&site, name, bytes).await.map(|fault| fault.to_string());
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

/// Has what a partner sent taken beside this thread, and then merged by turns. What is returned is why it is turned down.
async fn receive(site: &Site, name: &Name, bytes: Bytes) -> Option<Fault> {
    let lent = loop {
        match site.lead(|leading, _, now| leading.lend(name, now))? {
            Some(lent) => break lent,
            // Its stale table is on its way out.
            None => site.news().changed().await.ok()?,
        }
    };
    let Ok(received) = spawn_blocking(move || lent.receive(&bytes)).await else {
        site.lead(|leading, board, _| leading.give_up(board, &site.terms[name]));
        return None;
    };
    let fault = site.lead(|leading, board, now| leading.give_back(board, name, received, now)).flatten();
    let mut news = site.news();
    while site.lead(|leading, _, _| leading.is_merging(name))? {
        news.changed().await.ok()?;
    }
    fault
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

/// Keeps the table over a restart, beside the thread that serves.
async fn keep_on(site: Rc<Site>) {
    let mut kept = Instant::now();
    let mut failing = false;
    loop {
        sleep(KEEP_AFTER).await;
        if !site.changed.replace(false) && kept.elapsed() < KEEP_EVERY {
            continue;
        }
        kept = Instant::now();
        let (telling, now) = {
            let now = now();
            (site.inside.borrow().board.tell(None, now.own), now)
        };
        let directory = site.table.directory.clone();
        let written = spawn_blocking(move || keep::write(&directory, &telling.feed(), kept_at(now))).await;
        let written = written.unwrap_or_else(|problem| Err(io::Error::other(problem)));
        match (&written, failing) {
            (Ok(()), true) => info!("partners: the table is kept again"),
            (Err(problem), false) => warn!("partners: the table is not kept until it can be: {problem}"),
            _ => {}
        }
        failing = written.is_err();
        if failing {
            site.changed.set(true);
        }
    }
}
