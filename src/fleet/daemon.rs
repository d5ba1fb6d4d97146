//! The fleet's socket: one task has the machine of who is alive and the view, and does whatever comes next of a datagram,
//! a time that is over, an answer of the store and an operator's question. It has a thread of its own, so that it is heard
//! while the node's one core is busy.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use log::{debug, error, info, warn};
use rand::Rng;
use rand::rngs::SmallRng;
use rand::{SeedableRng, rng};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::{JoinSet, LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::config::FleetTable;
use crate::frame::{receive_within, send};

use super::follow::{Heard, Store};
use super::liveness::{Care, Liveness};
use super::rumours::State;
use super::trust::freshness;
use super::view::{Applicant, Change, Lacking, View};
use super::wire::{DATAGRAM_BYTES, Line, Packet, QUESTION_BYTES, Question, Report, STEPS, Told, fitting};

/// Connections of operators served at once.
const CONNECTIONS: usize = 8;
/// A connection that is not done by then is closed.
const DONE_WITHIN: Duration = Duration::from_secs(8);
/// Time until a node that was refused asks again to belong.
const ASK_AGAIN: Duration = Duration::from_secs(3);
/// How long a node that hears of a newer view waits for it from its peers before it asks the store.
const FROM_PEERS: Duration = Duration::from_millis(800);
/// The file in the operator's directory.
const FILE: &str = "fleet.json";
/// Time between two lines of the log that say what was passed over.
const SAY_EVERY: Duration = Duration::from_secs(60);

/// Why a node has no part in the fleet.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A socket cannot be had.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// What it kept cannot be read.
    #[error("{path}: {problem}")]
    Kept {
        /// The file.
        path: String,
        /// What is wrong with it.
        problem: String,
    },
}

/// What a node keeps over a restart.
#[derive(Debug, Serialize, Deserialize)]
struct Kept {
    birth: u64,
    view: View,
}

/// Starts the node's part in the fleet on a thread of its own. Its view can be watched.
///
/// # Errors
/// The thread cannot be started. Anything later is logged.
pub fn start(name: &str, table: FleetTable) -> io::Result<watch::Receiver<View>> {
    let (shown, view) = watch::channel(View::default());
    let name = name.to_owned();
    std::thread::Builder::new().name("fleet".to_owned()).spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let served = runtime
            .map_err(FleetError::from)
            .and_then(|rt| rt.block_on(LocalSet::new().run_until(serve(name, table, shown))));
        if let Err(problem) = served {
            error!("this node has no part in the fleet: {problem}");
        }
    })?;
    Ok(view)
}

async fn serve(name: String, table: FleetTable, shown: watch::Sender<View>) -> Result<(), FleetError> {
    let socket = UdpSocket::bind(table.listen).await?;
    let door = TcpListener::bind(socket.local_addr()?).await?;
    info!("{name} listens for the fleet on {}", door.local_addr()?);
    let kept = keep(&table, &name)?;
    let number = Rc::new(Cell::new(kept.view.number()));
    let (heard, hears) = mpsc::channel(4);
    let (asked, questions) = mpsc::channel(CONNECTIONS);
    let bell = Rc::new(Notify::new());
    let store = Rc::new(Store {
        members: table.store.clone(),
        from: table.listen.ip(),
        heard,
        bell: bell.clone(),
        number: number.clone(),
    });
    let applicant = Applicant {
        name: name.clone(),
        address: table.address.unwrap_or(socket.local_addr()?),
        machine: table.machine.clone().unwrap_or_else(|| name.clone()),
        zone: table.zone.clone(),
        birth: kept.birth,
    };
    let (said, joined) = mpsc::channel(1);
    let (wishes, wished) = watch::channel(Some(applicant.clone()));
    spawn_local(store.clone().follow());
    spawn_local(belong(store.clone(), wished, said));
    spawn_local(open_door(door, asked, store.clone()));
    let began = Instant::now();
    let mut daemon = Daemon {
        name,
        applicant,
        wishes,
        table,
        incarnation: None,
        trouble: Some("the store has not taken this node in yet".to_owned()),
        addresses: BTreeMap::new(),
        names: BTreeMap::new(),
        liveness: Liveness::new(0, 0, Care::default()),
        view: View::default(),
        shown,
        number,
        bell,
        began,
        rng: SmallRng::from_rng(&mut rng()),
        passed_over: 0,
        said: began,
        bytes_sent: 0,
        asked_peers: None,
    };
    daemon.turn_to(Lacking::Whole(kept.view));
    daemon.run(&socket, hears, questions, joined).await;
    Ok(())
}

type Joined = Result<u64, String>;

/// What was kept at the last run, or a new word.
fn keep(table: &FleetTable, name: &str) -> Result<Kept, FleetError> {
    let Some(path) = path(table) else { return Ok(Kept { birth: rng().random(), view: View::default() }) };
    let bad = |problem: String| FleetError::Kept { path: path.display().to_string(), problem };
    match std::fs::read(&path) {
        Ok(text) => serde_json::from_slice(&text).map_err(|e| bad(e.to_string())),
        Err(problem) if problem.kind() == io::ErrorKind::NotFound => {
            let kept = Kept { birth: rng().random(), view: View::default() };
            write(&path, &kept).map_err(|e| bad(e.to_string()))?;
            info!("{name} begins a new life in the fleet, {:016x}", kept.birth);
            Ok(kept)
        }
        Err(problem) => Err(bad(problem.to_string())),
    }
}

fn path(table: &FleetTable) -> Option<PathBuf> {
    table.directory.as_ref().map(|directory| directory.join(FILE))
}

/// Writes the whole file or none of it.
fn write(path: &std::path::Path, kept: &Kept) -> io::Result<()> {
    if let Some(directory) = path.parent() {
        std::fs::create_dir_all(directory)?;
    }
    let early = path.with_extension("new");
    let mut file = std::fs::File::create(&early)?;
    serde_json::to_writer(&mut file, kept)?;
    file.sync_all()?;
    std::fs::rename(&early, path)
}

/// Asks to belong for as long as the node wishes to and does not.
async fn belong(
    store: Rc<Store>,
    mut wished: watch::Receiver<Option<Applicant>>,
    said: mpsc::Sender<Joined>,
) {
    loop {
        let applicant = match wished.wait_for(Option::is_some).await {
            Ok(applicant) => applicant.clone(),
            Err(_) => return,
        };
        if let Some(node) = applicant {
            let answer = store.change(Change::Join { node, instead: None }).await;
            if said.send(answer).await.is_err() {
                return;
            }
        }
        let again = ASK_AGAIN.mul_f64(rng().random_range(0.5..1.5));
        // The view that has the node comes with the next question.
        let _ = timeout(again, wished.wait_for(Option::is_none)).await;
    }
}

/// Who waits to hear what the node sees.
type Asked = oneshot::Sender<Report>;

async fn open_door(door: TcpListener, asked: mpsc::Sender<Asked>, store: Rc<Store>) {
    let mut open = JoinSet::new();
    loop {
        tokio::select! {
            accepted = door.accept(), if open.len() < CONNECTIONS => match accepted {
                Ok((stream, _)) => {
                    open.spawn_local(timeout(DONE_WITHIN, answer(stream, asked.clone(), store.clone())));
                }
                Err(problem) => {
                    debug!("no connection can be accepted: {problem}");
                    sleep(Duration::from_millis(20)).await;
                }
            },
            Some(_) = open.join_next() => {}
        }
    }
}

async fn answer(mut stream: TcpStream, asked: mpsc::Sender<Asked>, store: Rc<Store>) -> io::Result<()> {
    let Some(question) = receive_within::<Question>(&mut stream, QUESTION_BYTES).await? else {
        return Ok(());
    };
    let gone = || io::Error::from(io::ErrorKind::BrokenPipe);
    let (asks, answered) = oneshot::channel();
    asked.send(asks).await.map_err(|_| gone())?;
    let report = answered.await.map_err(|_| gone())?;
    let (name, lost) = match question {
        Question::Report => return send(&mut stream, &Told::Report(Box::new(report))).await,
        Question::Leave(name) => (name, false),
        Question::DeclareLost(name) => (name, true),
    };
    let told = take_out(&store, &report, name, lost).await;
    send(&mut stream, &told).await
}

/// An operator takes a node out of the view, which the asked one knows the life of.
async fn take_out(store: &Store, report: &Report, name: String, lost: bool) -> Told {
    let Some(line) = report.nodes.iter().find(|line| line.node.applicant.name == name) else {
        return Told::Failed(format!("no node {name} belongs, by view {}", report.view));
    };
    let alive = line.opinion.is_none_or(|opinion| opinion.state == State::Alive);
    if lost && alive {
        return Told::Failed(format!(
            "{name} is alive as far as this node sees; let it leave, or stop it first"
        ));
    }
    let incarnation = line.node.incarnation;
    let change = match lost {
        true => Change::Lost { name: name.clone(), incarnation },
        false => Change::Leave { name: name.clone(), incarnation },
    };
    match store.change(change).await {
        Ok(_) if lost => Told::Done(format!("{name} ({incarnation}) is declared lost")),
        Ok(_) => Told::Done(format!("{name} ({incarnation}) has left")),
        Err(problem) => Told::Failed(problem),
    }
}

struct Daemon {
    name: String,
    applicant: Applicant,
    /// As what the node wishes to belong, while it does not.
    wishes: watch::Sender<Option<Applicant>>,
    table: FleetTable,
    incarnation: Option<u64>,
    trouble: Option<String>,
    /// Where each who belongs is, by incarnation, and their names.
    addresses: BTreeMap<u64, SocketAddr>,
    names: BTreeMap<u64, String>,
    liveness: Liveness,
    view: View,
    shown: watch::Sender<View>,
    number: Rc<Cell<u64>>,
    bell: Rc<Notify>,
    began: Instant,
    rng: SmallRng,
    passed_over: u64,
    said: Instant,
    bytes_sent: u64,
    asked_peers: Option<Instant>,
}

impl Daemon {
    fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    async fn run(
        &mut self,
        socket: &UdpSocket,
        mut hears: mpsc::Receiver<Heard>,
        mut questions: mpsc::Receiver<Asked>,
        mut joined: mpsc::Receiver<Joined>,
    ) {
        let mut datagram = vec![0; DATAGRAM_BYTES + 1];
        loop {
            let wake = self.began + Duration::from_millis(self.liveness.wake_at());
            tokio::select! {
                // What waits to be read is heard before anyone is found silent.
                biased;
                received = socket.recv_from(&mut datagram) => match received {
                    Ok((length, from)) => self.receive(socket, &datagram[..length], from).await,
                    // An address that nobody listens at answers so.
                    Err(problem) => debug!("a datagram cannot be read: {problem}"),
                },
                Some(Heard { lacking, age_ms }) = hears.recv() => {
                    self.turn_to(lacking);
                    if let Some(age_ms) = age_ms {
                        self.liveness.level(self.now(), age_ms);
                    }
                }
                Some(said) = joined.recv() => self.joined(said),
                Some(asks) = questions.recv() => drop(asks.send(self.report())),
                () = sleep_until(wake) => {
                    let now = self.now();
                    let out = self.liveness.tick(now, &mut self.rng);
                    self.send_all(socket, out).await;
                    self.peers_are_late();
                }
            }
        }
    }

    async fn send_all(&mut self, socket: &UdpSocket, out: Vec<super::liveness::Datagram>) {
        for datagram in out {
            if let Some(to) = self.addresses.get(&datagram.to).copied() {
                self.send(socket, &Packet::Gossip(datagram), to).await;
            }
        }
    }

    async fn send(&mut self, socket: &UdpSocket, packet: &Packet, to: SocketAddr) {
        if let Some(bytes) = packet.to_bytes() {
            self.send_bytes(socket, &bytes, to).await;
        }
    }

    async fn send_bytes(&mut self, socket: &UdpSocket, bytes: &[u8], to: SocketAddr) {
        self.bytes_sent += bytes.len() as u64;
        if let Err(problem) = socket.send_to(bytes, to).await {
            debug!("a datagram to {to} is not sent: {problem}");
        }
    }

    async fn receive(&mut self, socket: &UdpSocket, bytes: &[u8], from: SocketAddr) {
        match Packet::read(bytes) {
            Ok(Packet::Gossip(datagram)) if self.addresses.get(&datagram.from) == Some(&from) => {
                let now = self.now();
                let out = self.liveness.hear(now, &datagram);
                self.send_all(socket, out).await;
                if datagram.view > self.view.number() {
                    self.ask_peer(socket, from).await;
                }
            }
            Ok(Packet::Inquiry { name, incarnation, rival }) if name == self.name => {
                if self.incarnation == Some(incarnation) && rival != self.applicant.address {
                    error!("another process asks to go by the name of this node, {name}, at {rival}");
                }
                let birth = self.applicant.birth;
                let here = Packet::Here { name, incarnation: self.incarnation, birth };
                self.send(socket, &here, from).await;
            }
            Ok(Packet::Behind { from: asker, number }) if self.addresses.get(&asker) == Some(&from) => {
                if let Lacking::Steps(steps) = self.view.since(number, STEPS)
                    && !steps.is_empty()
                    && let Some(bytes) = fitting(steps)
                {
                    self.send_bytes(socket, &bytes, from).await;
                }
            }
            Ok(Packet::Steps(steps)) if self.addresses.values().any(|address| *address == from) => {
                self.turn_to(Lacking::Steps(steps));
            }
            Ok(_) => self.pass_over(from, "it is from nobody who belongs"),
            Err(bad) => self.pass_over(from, &bad.to_string()),
        }
    }

    fn pass_over(&mut self, from: SocketAddr, why: &str) {
        self.passed_over += 1;
        debug!("a datagram from {from} is passed over: {why}");
        if self.said.elapsed() >= SAY_EVERY || self.passed_over == 1 {
            self.said = Instant::now();
            warn!("{} datagrams were passed over so far, the last from {from}: {why}", self.passed_over);
        }
    }

    /// A peer has a newer view: it is asked for the steps, and the store only where it does not tell them in time.
    async fn ask_peer(&mut self, socket: &UdpSocket, peer: SocketAddr) {
        let (Some(from), None) = (self.incarnation, self.asked_peers) else { return };
        self.asked_peers = Some(Instant::now());
        let number = self.view.number();
        self.send(socket, &Packet::Behind { from, number }, peer).await;
    }

    fn peers_are_late(&mut self) {
        if self.asked_peers.is_some_and(|at| at.elapsed() >= FROM_PEERS) {
            self.asked_peers = None;
            self.bell.notify_one();
        }
    }

    /// Turns to a newer view.
    fn turn_to(&mut self, lacking: Lacking) {
        match self.view.follow(lacking) {
            Ok(true) => {}
            Ok(false) => return,
            Err(gap) => {
                debug!("{gap}");
                self.bell.notify_one();
                return;
            }
        }
        self.asked_peers = None;
        self.number.set(self.view.number());
        self.addresses = self.view.nodes().map(|node| (node.incarnation, node.applicant.address)).collect();
        self.names = self.view.nodes().map(|node| (node.incarnation, node.applicant.name.clone())).collect();
        self.find_itself();
        let now = self.now();
        self.liveness.turn_to(now, self.view.number(), self.addresses.keys().copied());
        self.shown.send_replace(self.view.clone());
        if let Some(path) = path(&self.table) {
            let kept = Kept { birth: self.applicant.birth, view: self.view.clone() };
            if let Err(problem) = write(&path, &kept) {
                warn!("{}: the view is not kept: {problem}", path.display());
            }
        }
    }

    /// Whether this life of the node belongs, and what follows where that has changed.
    fn find_itself(&mut self) {
        let own = self.view.get(&self.name).filter(|node| node.applicant == self.applicant);
        let own = own.map(|node| node.incarnation);
        if own == self.incarnation {
            return;
        }
        let number = self.view.number();
        match (self.incarnation, own) {
            (_, Some(incarnation)) => {
                info!("{} belongs to the fleet as {incarnation}, by view {number}", self.name);
                self.trouble = None;
                self.wishes.send_replace(None);
            }
            (Some(before), None) if self.view.was_lost(&self.name, before) == Some(false) => {
                info!("{} has left the fleet, by view {number}", self.name);
                self.trouble = Some("it has left; it asks to belong again at its next start".to_owned());
            }
            (_, None) => {
                // What this life held is given up by the others: whatever comes next is another one.
                self.applicant.birth = rng().random();
                warn!(
                    "{} was declared lost, by view {number}; it begins a new life, {:016x}",
                    self.name, self.applicant.birth
                );
                self.trouble = Some("it was declared lost, and asks to belong anew".to_owned());
                self.wishes.send_replace(Some(self.applicant.clone()));
            }
        }
        self.liveness = Liveness::new(own.unwrap_or(0), self.now(), Care::default());
        self.incarnation = own;
    }

    fn joined(&mut self, said: Joined) {
        match said {
            Ok(incarnation) if self.incarnation != Some(incarnation) => self.bell.notify_one(),
            Ok(_) => {}
            Err(problem) => {
                if self.incarnation.is_none() && self.trouble.as_ref() != Some(&problem) {
                    warn!("{} does not belong to the fleet: {problem}", self.name);
                }
                if self.incarnation.is_none() {
                    self.trouble = Some(problem);
                }
            }
        }
    }

    fn report(&self) -> Report {
        let now = self.now();
        let view_age_ms = self.liveness.view_age_ms(now);
        let line = |node: &super::view::Node| {
            let opinion = self.liveness.opinion(now, node.incarnation);
            let says = opinion.and_then(|opinion| self.names.get(&opinion.by).cloned());
            Line { node: node.clone(), opinion, says }
        };
        Report {
            name: self.name.clone(),
            incarnation: self.incarnation,
            trouble: self.trouble.clone(),
            view: self.view.number(),
            view_age_ms,
            freshness: freshness(view_age_ms),
            illness: self.liveness.illness(),
            counts: self.liveness.counts(),
            passed_over: self.passed_over,
            bytes_sent: self.bytes_sent,
            nodes: self.view.nodes().map(line).collect(),
        }
    }
}
