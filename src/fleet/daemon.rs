//! The fleet's socket: one task has the machine of who is alive and the view, and does whatever comes next of a datagram,
//! a time that is over, an answer of the store and an operator's question. It has a thread of its own, so that it is heard
//! while the node's one core is busy.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use log::{debug, error, info, warn};
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{SeedableRng, rng};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::{JoinSet, LocalSet, spawn_blocking, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::config::FleetTable;
use crate::durable::{LoadError, SmallFile, is_transient};
use crate::ejection;
use crate::frame::{receive_within, send};
use crate::lease::hold::Ends;
use crate::lease::table::Grants;
use crate::net::accept::{self, Acceptor};
use crate::net::bind::{self, BIND_WITHIN, BindError};
use crate::net::connect::Stream;
use crate::net::datagram;
use crate::net::episode::FailureEpisode;
use crate::net::table::Seat;
use crate::replication;
use crate::replication::disk::DiskError;

use super::copying::{Copying, Datagram, Part, Target, Woken};
use super::follow::{Heard, Store};
use super::gossip::State;
use super::liveness::{Care, Liveness};
use super::trust::freshness;
use super::view::{Applicant, Change, Lacking, View};
use super::wire::{
    DATAGRAM_BYTES, Line, Packet, PeerAnswer, PeerQuestion, QUESTION_BYTES, Question, Report, STEPS, Told,
    fitting,
};

/// Connections of operators served at once.
const CONNECTIONS: usize = 8;
/// A connection that is not done by then is closed.
const DONE_WITHIN: Duration = Duration::from_secs(8);
/// The daemon looks at itself this often at least, in ms.
const LONGEST_SLEEP_MS: u64 = 60_000;
/// How long a process may take to end once it has handed all over, and how often the next one looks whether it has.
const ENDS_WITHIN: Duration = Duration::from_secs(10);
const ENDS_LOOK: Duration = Duration::from_millis(20);
/// Wait after a datagram that could not be received, so that failures in a row starve nothing else.
const HEARS_AGAIN: Duration = Duration::from_millis(5);
/// How long a node is heard after the view has it no more: longer than a process has to end.
const HEARD_AFTER: Duration = Duration::from_secs(120);
/// Time between two questions for the view by a node that leaves.
const LOOK_AGAIN: Duration = Duration::from_millis(100);
/// Nodes that are told of a new view at once where copies are kept.
const HINTS: usize = 4;
/// Time until the store is asked again to let the node go.
const AGAIN: Duration = Duration::from_millis(300);
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
    /// The node's address cannot be listened on.
    #[error("{0}")]
    Bind(#[from] BindError),
    /// What it kept cannot be read.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The file of its view cannot be begun.
    #[error("{path}: {cause}")]
    Store {
        /// The file.
        path: String,
        /// What the system says.
        cause: io::Error,
    },
    /// Its copies cannot be taken up.
    #[error("copies: {0}")]
    Copies(#[from] DiskError),
}

impl FleetError {
    /// Whether the folder may work again without anyone looking at it.
    fn is_transient(&self) -> bool {
        match self {
            Self::Io(_) | Self::Bind(_) => false,
            Self::Load(problem) => problem.is_transient(),
            Self::Store { cause, .. } => is_transient(cause),
            Self::Copies(problem) => problem.is_transient(),
        }
    }
}

/// What a node keeps over a restart.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Kept {
    birth: u64,
    view: View,
}

/// How long a node keeps a view that it has turned to in memory alone: 100 that join at once are one file.
const KEEP_AFTER: Duration = Duration::from_millis(200);

/// Time until a view that could not be kept, or a folder that could not be taken up, is tried again.
const KEEP_AGAIN: Duration = Duration::from_secs(1);

/// A node's part in the fleet.
pub struct Options {
    /// The node's name.
    pub name: String,
    /// The operator's table.
    pub table: FleetTable,
    /// Its copies, where it has any.
    pub copies: Option<Part>,
    /// Its part in the duties, where it has one.
    pub duties: Option<Ends>,
    /// Its part in partners' routes, where it has one.
    pub partners: Option<watch::Receiver<crate::route_exchange::live::Report>>,
    /// What it shows of the votes on servers, where it has a part in them.
    pub verdicts: Option<watch::Receiver<ejection::participant::Report>>,
    /// Whether this process is the node's only one: until it is, it follows the fleet and does not belong.
    pub alone: watch::Receiver<bool>,
}

/// Starts the node's part in the fleet on a thread of its own. Its view can be watched.
///
/// # Errors
/// The thread cannot be started. Anything later is logged.
pub fn start(options: Options) -> io::Result<watch::Receiver<View>> {
    let (shown, view) = watch::channel(View::default());
    std::thread::Builder::new().name("fleet".to_owned()).spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let served = runtime
            .map_err(FleetError::from)
            .and_then(|rt| rt.block_on(LocalSet::new().run_until(serve(options, shown))));
        if let Err(problem) = served {
            error!("this node has no part in the fleet: {problem}");
        }
    })?;
    Ok(view)
}

async fn serve(options: Options, shown: watch::Sender<View>) -> Result<(), FleetError> {
    let Options { name, table, copies, duties, partners, verdicts, mut alone } = options;
    let number = Rc::new(Cell::new(0));
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
        address: table.address.unwrap_or(table.listen),
        machine: table.machine.clone().unwrap_or_else(|| name.clone()),
        zone: table.zone.clone(),
        birth: rng().random(),
        weight: copies.as_ref().map_or(0, |part| part.table.weight),
    };
    let (said, joined) = mpsc::channel(1);
    let (wishes, wished) = watch::channel(None);
    spawn_local(store.clone().follow());
    spawn_local(belong(store.clone(), wished, said));
    let (keeps, to_keep) = watch::channel(Kept { birth: 0, view: View::default() });
    let (unkept, shows_unkept) = watch::channel(None);
    let began = Instant::now();
    let mut daemon = Daemon {
        unkept: shows_unkept,
        copying: copies.map(|part| Copying::new(part, store.clone(), rng().random())),
        duties,
        partners,
        verdicts,
        keeps,
        leaving: None,
        confirmed: false,
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
        store: store.clone(),
        neighbours: BTreeSet::new(),
        gone: BTreeMap::new(),
        began,
        rng: SmallRng::from_rng(&mut rng()),
        passed_over: 0,
        said: began,
        bytes_sent: 0,
        asked_peers: None,
        sending: FailureEpisode::new("datagrams of the fleet cannot be sent"),
    };
    let guest = !*alone.borrow_and_update();
    let mut inputs = Inputs { hears, questions, joined, alone };
    if guest {
        // Another process of this node has its address and its place still.
        let socket = bind::udp("the fleet", SocketAddr::new(daemon.table.listen.ip(), 0)).await?;
        daemon.run(&socket, &mut inputs, true).await;
    }
    let (socket, door) = take_place(daemon.table.listen, guest).await?;
    info!("{} listens for the fleet on {}", daemon.name, door.local_addr()?);
    spawn_local(open_door(door, asked, store.clone()));
    daemon.settle(socket.local_addr()?, &mut inputs.questions, &socket).await?;
    if let Some(file) = file(&daemon.table) {
        spawn_local(keep_view(file, to_keep, unkept));
    }
    daemon.run(&socket, &mut inputs, false).await;
    Ok(())
}

/// The node's address, for datagrams and connections. Behind another process of the node it may be taken for as long as
/// that one needs to end.
async fn take_place(listen: SocketAddr, follows: bool) -> Result<(UdpSocket, TcpListener), BindError> {
    let within = if follows { ENDS_WITHIN } else { BIND_WITHIN };
    let mut tries = 0;
    let attempt = || {
        tries += 1;
        async move {
            let socket = UdpSocket::bind(listen).await?;
            let door = TcpListener::bind(socket.local_addr()?).await?;
            Ok((socket, door))
        }
    };
    let taken = bind::patiently("the fleet", listen, within, attempt).await?;
    // The files of the process before go after its sockets.
    if tries > 1 {
        sleep(ENDS_LOOK).await;
    }
    Ok(taken)
}

/// What wakes the daemon beside datagrams and times.
struct Inputs {
    hears: mpsc::Receiver<Heard>,
    questions: mpsc::Receiver<Asked>,
    joined: mpsc::Receiver<Joined>,
    alone: watch::Receiver<bool>,
}

/// Writes what the node keeps beside the thread that is heard by the others, and not more often than it must; what could
/// not be written is written again.
async fn keep_view(file: SmallFile, mut kept: watch::Receiver<Kept>, unkept: watch::Sender<Option<String>>) {
    while kept.changed().await.is_ok() {
        sleep(KEEP_AFTER).await;
        loop {
            let (now, to) = (kept.borrow_and_update().clone(), file.clone());
            let stored = match spawn_blocking(move || to.store(&now)).await {
                Ok(stored) => stored,
                Err(problem) => Err(io::Error::other(problem)),
            };
            let problem = stored.err().map(|problem| format!("{}: {problem}", file.path().display()));
            match (&problem, unkept.borrow().is_some()) {
                (Some(problem), false) => warn!("the fleet's view is not kept until it can be: {problem}"),
                (None, true) => info!("the fleet's view is kept again"),
                _ => {}
            }
            let failed = problem.is_some();
            unkept.send_replace(problem);
            if !failed {
                break;
            }
            sleep(KEEP_AGAIN).await;
        }
    }
}

type Joined = Result<u64, String>;

/// What was kept at the last run, or a new word.
fn keep(table: &FleetTable, name: &str) -> Result<Kept, FleetError> {
    let fresh = Kept { birth: rng().random(), view: View::default() };
    let Some(file) = file(table) else { return Ok(fresh) };
    if let Some(kept) = file.load()? {
        return Ok(kept);
    }
    let path = || file.path().display().to_string();
    file.store(&fresh).map_err(|cause| FleetError::Store { path: path(), cause })?;
    info!("{name} begins a new life in the fleet, {:016x}", fresh.birth);
    Ok(fresh)
}

fn file(table: &FleetTable) -> Option<SmallFile> {
    table.directory.as_ref().map(|directory| SmallFile::new(directory.join(FILE)))
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

/// The next datagram from this time on.
async fn hear(socket: &UdpSocket, buffer: &mut [u8], from: Instant) -> io::Result<(usize, SocketAddr)> {
    sleep_until(from).await;
    datagram::receive(socket, buffer).await
}

/// What is asked of the node on a connection, and where the answer goes.
enum Asked {
    /// What it sees of the fleet.
    Report(oneshot::Sender<Report>),
    /// How its copies stand.
    Copies(oneshot::Sender<Option<replication::report::Report>>),
    /// What another node asks about copies.
    Peer(Box<PeerQuestion>, oneshot::Sender<PeerAnswer>),
}

async fn open_door(door: TcpListener, asked: mpsc::Sender<Asked>, store: Rc<Store>) {
    let acceptor = Acceptor::new("the fleet", door);
    let begin = move |open: &mut JoinSet<()>, (stream, _): (TcpStream, SocketAddr), seat: Seat| {
        let (asked, store) = (asked.clone(), store.clone());
        open.spawn_local(async move {
            let answered = timeout(DONE_WITHIN, answer(Stream::new(stream), asked, store, &seat));
            let _ = seat.serve(answered).await;
        });
    };
    accept::serve_questions(acceptor, CONNECTIONS, begin).await;
}

async fn answer(
    mut stream: Stream,
    asked: mpsc::Sender<Asked>,
    store: Rc<Store>,
    seat: &Seat,
) -> io::Result<()> {
    let Some(question) = receive_within::<Question>(&mut stream, QUESTION_BYTES).await? else {
        return Ok(());
    };
    seat.work();
    let told = match question {
        Question::Report => Told::Report(Box::new(put(&asked, Asked::Report).await?)),
        Question::Leave(name) => take_out(&store, &put(&asked, Asked::Report).await?, name, false).await,
        Question::DeclareLost(name) => take_out(&store, &put(&asked, Asked::Report).await?, name, true).await,
        Question::Copies => match put(&asked, Asked::Copies).await? {
            Some(report) => Told::Copies(Box::new(report)),
            None => Told::Failed("this node copies nothing: its file has no table copies".to_owned()),
        },
        Question::Peer(question) => match postcard::from_bytes::<PeerQuestion>(&question) {
            Ok(question) => {
                let answer = put(&asked, |back| Asked::Peer(Box::new(question), back)).await?;
                Told::Peer(postcard::to_stdvec(&answer).map_err(io::Error::other)?.into())
            }
            Err(problem) => Told::Failed(problem.to_string()),
        },
    };
    send(&mut stream, &told).await
}

/// Puts a question to the daemon.
async fn put<T>(
    asked: &mpsc::Sender<Asked>,
    question: impl FnOnce(oneshot::Sender<T>) -> Asked,
) -> io::Result<T> {
    let gone = || io::Error::from(io::ErrorKind::BrokenPipe);
    let (back, answered) = oneshot::channel();
    asked.send(question(back)).await.map_err(|_| gone())?;
    answered.await.map_err(|_| gone())
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

/// What this node thinks of the others' being alive; of itself it has no doubt.
fn alive(liveness: &Liveness, own: Option<u64>, now: u64) -> impl Fn(u64) -> bool {
    move |id| {
        Some(id) == own || liveness.opinion(now, id).is_some_and(|opinion| opinion.state == State::Alive)
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
    store: Rc<Store>,
    /// Where nodes that belong or have just left are.
    neighbours: BTreeSet<IpAddr>,
    /// Where nodes were that are in the view no more, and since when.
    gone: BTreeMap<IpAddr, Instant>,
    began: Instant,
    rng: SmallRng,
    passed_over: u64,
    said: Instant,
    bytes_sent: u64,
    asked_peers: Option<Instant>,
    sending: FailureEpisode,
    copying: Option<Copying>,
    duties: Option<Ends>,
    partners: Option<watch::Receiver<crate::route_exchange::live::Report>>,
    verdicts: Option<watch::Receiver<ejection::participant::Report>>,
    keeps: watch::Sender<Kept>,
    /// Why the view is not kept, while that is so.
    unkept: watch::Receiver<Option<String>>,
    /// The life that this node had when it left, for as long as it hands on what it held.
    leaving: Option<u64>,
    /// Whether the store has said to this process that its life belongs: what was kept on disk may be older.
    confirmed: bool,
}

impl Daemon {
    fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Takes its place. While a folder fails it asks for none, and tells whoever asks why.
    async fn settle(
        &mut self,
        address: SocketAddr,
        questions: &mut mpsc::Receiver<Asked>,
        socket: &UdpSocket,
    ) -> Result<(), FleetError> {
        let mut waited = false;
        while let Err(problem) = self.settle_in(address) {
            if !problem.is_transient() {
                return Err(problem);
            }
            if !waited {
                warn!("{} does not belong to the fleet until its folder works: {problem}", self.name);
            }
            waited = true;
            self.trouble = Some(problem.to_string());
            let again = sleep(KEEP_AGAIN);
            tokio::pin!(again);
            loop {
                tokio::select! {
                    () = &mut again => break,
                    Some(asks) = questions.recv() => self.asked(socket, asks).await,
                }
            }
        }
        if waited {
            info!("the folder of {} works again", self.name);
        }
        Ok(())
    }

    /// Takes its place, once no other process of the node has it.
    fn settle_in(&mut self, address: SocketAddr) -> Result<(), FleetError> {
        let Kept { birth, view } = keep(&self.table, &self.name)?;
        self.applicant.address = self.table.address.unwrap_or(address);
        self.applicant.birth = birth;
        // As a guest it may have heard of a later view than the one that was kept.
        if let Err(gap) = self.view.follow(Lacking::Whole(view)) {
            debug!("{gap}");
        }
        let now = self.now();
        if let Some(copying) = &mut self.copying {
            // What is held is synced before anyone hears of it, the view a while later: it may lack this life.
            let (name, view) = (&self.name, &self.view);
            let life = |birth, last| view.life_of(name, birth, last);
            self.applicant.birth = copying.take_up(now, life)?;
        }
        self.wishes.send_replace(Some(self.applicant.clone()));
        let _ = self.turned();
        Ok(())
    }

    /// Has the view and this life's word kept.
    fn keep_on(&self) {
        self.keeps.send_replace(Kept { birth: self.applicant.birth, view: self.view.clone() });
    }

    /// Runs until this process is the node's only one where it is a guest, else for good.
    async fn run(&mut self, socket: &UdpSocket, inputs: &mut Inputs, guest: bool) {
        let mut datagram = vec![0; DATAGRAM_BYTES + 1];
        let mut hearing = FailureEpisode::new("datagrams of the fleet cannot be received");
        let mut hears_from = self.began;
        loop {
            let now = self.now();
            let copies = self.copying.as_ref().map_or(u64::MAX, |copying| copying.wake_at());
            let probes = if guest { u64::MAX } else { self.liveness.wake_at() };
            let at = probes.min(copies).min(now + LONGEST_SLEEP_MS);
            let wake = self.began + Duration::from_millis(at);
            let copying = self.copying.as_mut();
            let woken = async {
                match copying {
                    Some(copying) => copying.woken().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                // What waits to be read is heard before anyone is found silent.
                biased;
                received = hear(socket, &mut datagram, hears_from) => match received {
                    Ok((length, from)) => {
                        hearing.succeeded();
                        self.receive(socket, &datagram[..length], from).await;
                    }
                    Err(problem) => {
                        hearing.failed(&problem);
                        hears_from = Instant::now() + HEARS_AGAIN;
                    }
                },
                Some(Heard { lacking, age_ms }) = inputs.hears.recv() => {
                    let out = self.turn_to(lacking);
                    self.confirmed |= self.incarnation.is_some();
                    self.send_copies(socket, out).await;
                    if let Some(age_ms) = age_ms {
                        self.liveness.level(self.now(), age_ms);
                    }
                }
                Some(said) = inputs.joined.recv() => self.joined(said),
                Some(asks) = inputs.questions.recv() => self.asked(socket, asks).await,
                woken = woken => self.woken(socket, woken).await,
                Ok(()) = inputs.alone.changed(), if guest => return,
                () = sleep_until(wake) => {
                    let now = self.now();
                    if !guest {
                        let out = self.liveness.tick(now, &mut self.rng);
                        self.send_all(socket, out).await;
                    }
                    self.peers_are_late();
                }
            }
            self.tick_copies(socket).await;
        }
    }

    async fn tick_copies(&mut self, socket: &UdpSocket) {
        let (now, age_ms) = (self.now(), self.liveness.view_age_ms(self.now()));
        let Some(copying) = &mut self.copying else { return };
        copying.level(now, age_ms);
        if copying.wake_at() > now {
            return;
        }
        let out = copying.tick(now, &alive(&self.liveness, self.incarnation, now), &mut self.rng);
        self.send_copies(socket, out).await;
    }

    async fn asked(&mut self, socket: &UdpSocket, asked: Asked) {
        let now = self.now();
        match (asked, &mut self.copying) {
            (Asked::Report(back), _) => drop(back.send(self.report())),
            (Asked::Copies(back), copying) => {
                let alive = alive(&self.liveness, self.incarnation, now);
                drop(back.send(copying.as_ref().map(|copying| copying.report(&alive, &self.view))));
            }
            (Asked::Peer(_, back), None) => drop(back.send(PeerAnswer::Nothing)),
            (Asked::Peer(question, back), Some(copying)) => match *question {
                PeerQuestion::Fetch(fetch) => drop(back.send(copying.page(now, &fetch))),
                PeerQuestion::Message(message) => {
                    let out = copying.hear(now, message, Target::Whole(back), &mut self.rng);
                    self.send_copies(socket, out).await;
                }
            },
        }
    }

    /// Something that is not heard from other nodes woke the copies.
    async fn woken(&mut self, socket: &UdpSocket, woken: Woken) {
        let (now, me) = (self.now(), self.incarnation);
        let Some(copying) = &mut self.copying else { return };
        let (out, leaves) = copying.wake(now, woken, me, &self.view, &mut self.rng);
        self.send_copies(socket, out).await;
        if let Some(incarnation) = me.filter(|_| leaves) {
            info!("{} leaves the fleet", self.name);
            let (store, name) = (self.store.clone(), self.name.clone());
            spawn_local(async move {
                while let Err(problem) = store.change(Change::Leave { name: name.clone(), incarnation }).await
                {
                    debug!("the store does not let the node leave: {problem}");
                    sleep(AGAIN).await;
                }
                // It is out of what the others tell each other: the store tells it when nobody needs it any more.
                loop {
                    store.bell.notify_one();
                    sleep(LOOK_AGAIN).await;
                }
            });
        }
    }

    async fn send_copies(&mut self, socket: &UdpSocket, out: Vec<Datagram>) {
        for (to, packet) in out {
            self.send(socket, &packet, to).await;
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
        match datagram::send(socket, bytes, to).await {
            Ok(()) => self.sending.succeeded(),
            // What it says is said again by the next one.
            Err(problem) => self.sending.failed(&problem),
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
                let out = self.turn_to(Lacking::Steps(steps));
                self.send_copies(socket, out).await;
            }
            Ok(Packet::Newer(number)) if self.is_neighbour(from) => {
                if number > self.view.number() {
                    self.ask_peer(socket, from).await;
                }
            }
            Ok(Packet::Copies(message)) if self.is_neighbour(from) => {
                let now = self.now();
                if let Some(copying) = &mut self.copying {
                    let out = copying.hear(now, *message, Target::Datagram(from), &mut self.rng);
                    self.send_copies(socket, out).await;
                }
            }
            // The next renewal would tell it as well.
            Ok(Packet::Duties) if self.is_neighbour(from) => self.ring_duties(None),
            // What is granted is the word of a member of the store alone; of others, that there may be news.
            Ok(Packet::Granted(grants)) if self.is_neighbour(from) => {
                let is_members = self.store.members.iter().any(|member| member.ip() == from.ip());
                self.ring_duties(is_members.then_some(*grants));
            }
            Ok(Packet::Whole { number, from: node }) if self.is_neighbour(from) => {
                let now = self.now();
                if let Some(copying) = &mut self.copying {
                    let out = copying.hear_long(now, number, node);
                    self.send_copies(socket, out).await;
                }
            }
            Ok(_) => self.pass_over(from, "it is from nobody who belongs"),
            Err(bad) => self.pass_over(from, &bad.to_string()),
        }
    }

    fn ring_duties(&self, grants: Option<Grants>) {
        if let Some(duties) = &self.duties {
            duties.ring(grants);
        }
    }

    /// Whether an address is that of a node that belongs or did a while ago; another process of one asks from another
    /// port. One that has left ends its runs still and has their results copied, and its next process claims keys before
    /// it belongs itself.
    fn is_neighbour(&self, from: SocketAddr) -> bool {
        let gone = self.gone.get(&from.ip());
        self.neighbours.contains(&from.ip()) || gone.is_some_and(|since| since.elapsed() < HEARD_AFTER)
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

    /// Turns to a newer view, and says what the copies send for it.
    fn turn_to(&mut self, lacking: Lacking) -> Vec<Datagram> {
        match self.view.follow(lacking) {
            Ok(true) => {}
            Ok(false) => return Vec::new(),
            Err(gap) => {
                debug!("{gap}");
                self.bell.notify_one();
                return Vec::new();
            }
        }
        self.turned()
    }

    /// Goes by the view that there is now, and says what the copies send for it.
    fn turned(&mut self) -> Vec<Datagram> {
        self.asked_peers = None;
        self.number.set(self.view.number());
        self.addresses = self.view.nodes().map(|node| (node.incarnation, node.applicant.address)).collect();
        self.names = self.view.nodes().map(|node| (node.incarnation, node.applicant.name.clone())).collect();
        self.find_itself();
        let now = self.now();
        self.liveness.turn_to(now, self.view.number(), self.addresses.keys().copied());
        let all = self.view.nodes().chain(self.view.leaving());
        let before =
            std::mem::replace(&mut self.neighbours, all.map(|node| node.applicant.address.ip()).collect());
        let now_gone = before.into_iter().filter(|ip| !self.neighbours.contains(ip));
        self.gone.retain(|_, since| since.elapsed() < HEARD_AFTER);
        self.gone.extend(now_gone.map(|ip| (ip, Instant::now())));
        self.shown.send_replace(self.view.clone());
        self.keep_on();
        let hands_on = self.leaving.filter(|life| self.view.leaving().any(|node| node.incarnation == *life));
        let Some(copying) = &mut self.copying else { return Vec::new() };
        let mut out = copying.turn_to(now, self.incarnation.or(hands_on), &self.view);
        let hint = Packet::Newer(self.view.number());
        let hearers = self.addresses.values().copied().choose_multiple(&mut self.rng, HINTS);
        out.extend(hearers.into_iter().map(|to| (to, hint.clone())));
        out
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
            (Some(before), None) if self.has_left(before) && self.confirmed => {
                info!("{} has left the fleet, by view {number}", self.name);
                self.leaving = Some(before);
                self.trouble = Some("it has left; it asks to belong again at its next start".to_owned());
            }
            (before, None) => {
                // What this life held is given up by the others: whatever comes next is another one.
                self.applicant.birth = rng().random();
                if let Some(copying) = &mut self.copying {
                    copying.renew(self.applicant.birth);
                }
                // One that left just before its process ended may have kept an older view. Its start asks to belong.
                let left = before.is_some_and(|life| self.has_left(life));
                let went = if left { "had left before its start" } else { "was declared lost" };
                let (name, birth) = (&self.name, self.applicant.birth);
                warn!("{name} {went}, by view {number}; it begins a new life, {birth:016x}");
                self.trouble = Some(format!("it {went}, and asks to belong anew"));
                self.wishes.send_replace(Some(self.applicant.clone()));
            }
        }
        self.liveness = Liveness::new(own.unwrap_or(0), self.now(), Care::default());
        self.incarnation = own;
    }

    /// Whether a life of this node has left in order.
    fn has_left(&self, life: u64) -> bool {
        self.view.was_lost(&self.name, life) == Some(false)
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
            trouble: self.trouble.clone().or_else(|| self.unkept.borrow().clone()),
            view: self.view.number(),
            view_age_ms,
            freshness: freshness(view_age_ms),
            illness: self.liveness.illness(),
            counts: self.liveness.counts(),
            passed_over: self.passed_over,
            bytes_sent: self.bytes_sent,
            nodes: self.view.nodes().map(line).collect(),
            duties: self.duties.as_ref().map(|duties| duties.shown.borrow().clone()),
            partners: self.partners.as_ref().map(|partners| partners.borrow().clone()),
            verdicts: self.verdicts.as_ref().map(|verdicts| verdicts.borrow().clone()),
        }
    }
}
