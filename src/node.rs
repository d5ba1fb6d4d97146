//! A whole node: its configuration, its exchange and the tasks of both sides, from start to stop.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use log::{error, info, warn};
use thiserror::Error;
use tokio::net::{TcpListener, UnixStream};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{JoinHandle, JoinSet, spawn_local};
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::back::records::sites::Sites;
use crate::back::{control, processor, records};
use crate::clock;
use crate::config::{
    Config, ConfigError, CopiesTable, Descriptors, Operator, Peers, RecordsTable, RoutesTable,
};
use crate::ejection;
use crate::ejection::coordinator::Policy as EjectionPolicy;
use crate::ejection::list::Shares;
use crate::exchange::{self, Handle, HandoverMessage, Input, OperatorChange, ReplicationChannel};
use crate::fleet;
use crate::fleet::copying::Part;
use crate::fleet::view::View;
use crate::front::{self, Door, Shared, ajp, resp};
use crate::handover::operator::OperatorCalls;
use crate::handover::{self, Message, Place, Successor};
use crate::inherited_listener;
use crate::interface::{RequestId, SettingsError};
use crate::lease::pass::Passed;
use crate::lease::{DutyName, Held, Voucher, heartbeat, hold};
use crate::net::accept::Acceptor;
use crate::net::bind::{self, BindError};
use crate::peers::{Routes, Teller, learn};
use crate::replication::News;
use crate::replication::slots::Terms;
use crate::route::Options;
use crate::route_exchange::live;
use crate::route_exchange::lookup::InForce;
use crate::store::{self, Contents};

/// How long before its stop a node gives connections back and stops listening.
const GIVE_BACK: Duration = Duration::from_millis(900);
/// How long a request may cross the notice that its connection is given back.
const CROSSES: Duration = Duration::from_millis(60);
/// How long after its stop a node that was not stopped and whose connections are not given back ends by itself.
/// Until then it answers what may still be written to it.
const LAST: Duration = Duration::from_secs(1);
/// How often it is looked whether the process before has let go of its address.
const FREE_AGAIN: Duration = Duration::from_millis(20);
/// How long before its stop a node waits no longer for its copies to be handed on.
const HAND_ON_MARGIN: Duration = Duration::from_millis(250);
/// How long before it the session of its duties has gone to the next process.
const PASS_MARGIN: Duration = Duration::from_millis(50);

/// The value of the store's key that puts a node into maintenance.
const MAINTENANCE_ON: &str = "on";
/// How long a change of maintenance is waited for before it is logged and tried again.
const MAINTENANCE_RETRY: Duration = Duration::from_secs(1);

/// Why a node cannot run.
#[derive(Debug, Error)]
pub enum NodeError {
    /// A socket or signal cannot be had.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// An address cannot be listened on.
    #[error("{0}")]
    Bind(#[from] BindError),
    /// The configuration cannot be kept.
    #[error("{0}")]
    Form(#[from] serde_json::Error),
    /// The configuration cannot be read anew.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// The settings make no sense.
    #[error("{0}")]
    Settings(#[from] SettingsError),
}

/// The signals that a node follows. One that comes before they are installed ends the process.
pub struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the handlers. A signal that comes from here on waits until the node gets to it.
    ///
    /// # Errors
    /// A handler cannot be had.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }
}

/// Runs a node until it has been told to leave and has left.
///
/// # Errors
/// It cannot listen, or its settings are not accepted.
pub async fn run(config: Config, signals: Signals) -> Result<(), NodeError> {
    clock::start();
    let Signals { hangup, mut terminate, mut interrupt } = signals;
    let listener = match config.inherited {
        Some(descriptor) => inherited_listener::listener(descriptor)?,
        None => bind::tcp("the platform", config.listen).await?,
    };
    info!("{} listens on {}", config.name, listener.local_addr()?);
    let (mut exchange, handle, servers) = exchange::new(config.seed, &config.site, config.memory_bytes)?;
    let mut copies = Copies::of(&config);
    if let Some((to_exchange, news)) = copies.core.take() {
        exchange = exchange.with_replication(to_exchange);
        spawn_local(carry_news(news, handle.clone()));
    }
    spawn_local(exchange.run());
    let (reached, peers) = watch::channel(config.peers);
    let link = processor::Link::new(peers.clone(), handle.clone(), servers.commands);
    spawn_local(link.keep());
    let routes = config.operator.records.as_ref().map(|table| Routes::new(table, config.seed));
    let in_force = in_force(&config.operator)?;
    let sites = in_force.as_ref().map(|in_force| sites(&config, in_force, routes.clone()));
    let most = Descriptors::of(config.sockets).calls;
    let records = records::Records::new(peers.clone(), routes.clone(), sites, handle.clone(), most);
    spawn_local(records.serve(servers.calls));
    let (publish, published) = watch::channel(config.published()?);
    let mut votes = Votes::of(&config, routes.clone(), in_force.clone());
    let turning = Turning {
        reached,
        publish,
        routes: routes.clone(),
        terms: copies.terms.clone(),
        votes: votes.as_ref().map(|votes| votes.terms.clone()),
        in_force: in_force.clone(),
    };
    spawn_local(follow_file(hangup, config.clone(), handle.clone(), turning));
    let successor = Successor::default();
    let operators = match config.inherited {
        Some(_) => OperatorCalls::among_processes(&config.name, handle.clone()),
        None => OperatorCalls::of_single_process(handle.clone()),
    };
    let Succession { alone, turn, session } = succeed(&config, &handle, &successor).await;
    let (on_its_own, is_alone) = watch::channel(false);
    let mut duties = None;
    if let Some(table) = config.operator.fleet.clone() {
        let part = copies.part.take();
        let (keeper, ends) = config.operator.duties.as_ref().map(|_| hold::part()).unzip();
        let (show, shown) =
            config.operator.partners.as_ref().map(|_| watch::channel(Default::default())).unzip();
        let options = fleet::daemon::Options {
            name: config.name.clone(),
            table,
            copies: part,
            duties: ends.clone(),
            partners: shown,
            verdicts: votes.as_ref().map(|votes| votes.shown.clone()),
            alone: is_alone.clone(),
        };
        match fleet::daemon::start(options) {
            Ok(view) => {
                let partners = begin_partners(&config, show, &view, &is_alone, in_force.unwrap_or_default());
                let counts = votes.take().and_then(|votes| votes.begin(view.clone(), is_alone.clone()));
                begin_duties(&config, keeper, view, (is_alone, session), [partners, counts]);
            }
            Err(problem) => error!("this node has no part in the fleet: {problem}"),
        }
        duties = ends;
    }
    if let Some(admin) = config.admin {
        admit_operators(&config, admin, &handle, operators.clone()).await?;
    }
    spawn_local(operators.clone().follow());
    let told_turn = tokio::select! {
        turn = turn => turn.is_ok(),
        _ = terminate.recv() => return Ok(()),
        _ = interrupt.recv() => return Ok(()),
    };
    // Where it was told its turn, those that come next are to wait here from now on.
    if config.inherited.is_some()
        && told_turn
        && let Err(problem) = successor.listen(&config.name).await
    {
        warn!("no process can take over from this one: {problem}");
    }
    if let Err(problem) = operators.listen(&config.name).await {
        warn!("other processes of this node cannot forward calls of operators: {problem}");
    }
    let donors = &config.operator.knowledge.donors;
    if let Some(routes) = routes.clone().filter(|_| !donors.is_empty()) {
        spawn_local(learn(config.operator.knowledge.clone(), routes));
    }
    let reports = spawn_local(control::report(config.name.clone(), config.listen, peers, handle.clone()));
    let closing = CancellationToken::new();
    let shared = Shared::new(handle.clone(), closing.clone());
    let succeeded = shared.clone();
    shared.halved.set(!alone.is_finished());
    let settling = settle_in(alone, on_its_own, config.clone(), published, routes, shared.clone(), operators);
    spawn_local(settling);
    let fronts = fronts(&config, listener, shared).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    // A life that leaves the fleet takes its session with it.
    let (next, leaves) = (successor.take(), copies.leave.is_some());
    let left = copies.leave(config.stop);
    let (passes, goes) = match duties {
        Some(duties) if next.is_some() && !leaves => (Some(duties), None),
        duties => (None, duties),
    };
    let goes = goes.map(|duties| spawn_local(duties.leave(config.stop.saturating_sub(HAND_ON_MARGIN))));
    let leaving =
        Leaving { told: Instant::now(), stop: config.stop, exchange: handle, closing, fronts, reports };
    match next {
        Some(next) => {
            succeeded.succeeded.set(true);
            leaving.prepare_hand_over().await;
            hand_over(leaving, next, &successor, passes).await
        }
        None => drain(leaving, &successor).await,
    }
    left.await;
    if let Some(duties) = goes {
        let _ = duties.await;
    }
    Ok(())
}

/// Begins the node's part in partners' routes, where the operator's file has one. What is returned is its duty, and where
/// that is given to it.
fn begin_partners(
    config: &Config,
    shown: Option<watch::Sender<live::Report>>,
    view: &watch::Receiver<View>,
    alone: &watch::Receiver<bool>,
    in_force: Arc<InForce>,
) -> Option<Given> {
    let (table, shown) = config.operator.partners.clone().zip(shown)?;
    let duty = DutyName::new(table.duty.clone()).ok()?;
    let fleet = config.operator.fleet.as_ref()?;
    let (from, members) = (fleet.listen.ip(), fleet.store.clone());
    let (give, given) = oneshot::channel();
    let (name, view, alone) = (config.name.clone(), view.clone(), alone.clone());
    match live::start(live::Options { name, table, from, members, view, alone, given, in_force, shown }) {
        Ok(()) => Some((duty, give)),
        Err(problem) => {
            error!("this node has no part in partners' routes: {problem}");
            None
        }
    }
}

/// Begins the node's part in the duties, where the operator's file has one.
fn begin_duties(
    config: &Config,
    part: Option<hold::Part>,
    view: watch::Receiver<View>,
    (alone, session): (watch::Receiver<bool>, oneshot::Receiver<Passed>),
    others: [Option<Given>; 2],
) {
    let (Some(part), Some(table), Some(fleet)) =
        (part, config.operator.duties.clone(), config.operator.fleet.clone())
    else {
        return;
    };
    let options = hold::Options {
        name: config.name.clone(),
        lease_ms: table.lease_ms,
        still_most: table.still,
        weight: table.weight,
        cold_ms: table.cold_ms,
        members: fleet.store,
        from: fleet.listen.ip(),
    };
    let name = config.name.clone();
    let beats = move || {
        let mut registry = heartbeat::all(&table.beats, &name, fleet.listen.ip());
        for (duty, give) in others.into_iter().flatten() {
            // Where nobody is there to hold it, it is given back.
            let _ = give.send(registry.register(duty));
        }
        registry
    };
    if let Err(problem) = hold::start(options, part, view, alone, session, beats) {
        error!("this node takes no duties: {problem}");
    }
}

/// A duty that is no heartbeat, and where it comes.
type Given = (DutyName, oneshot::Sender<mpsc::Receiver<Held>>);

/// The node's part in the votes on servers before it begins.
struct Votes {
    duty: DutyName,
    options: ejection::participant::Options,
    terms: Rc<watch::Sender<EjectionPolicy>>,
    shown: watch::Receiver<ejection::participant::Report>,
}

impl Votes {
    /// The part, where the operator's file has one. The calls of this node are noted for it from here on.
    fn of(config: &Config, routes: Option<Rc<Routes>>, in_force: Option<Arc<InForce>>) -> Option<Self> {
        let Config { name, operator, .. } = config;
        let (Some(table), Some(records), Some(fleet)) =
            (&operator.verdicts, &operator.records, &operator.fleet)
        else {
            return None;
        };
        // The table was held to the same rule when it was read.
        let duty = DutyName::new(table.duty.clone()).ok()?;
        let (terms, agreed) = watch::channel(table.terms(records));
        let (shares, given) = watch::channel(Shares::new());
        let (shown, seen) = watch::channel(ejection::participant::Report::default());
        let (asks, asked) = mpsc::channel(1);
        spawn_local(routes?.vote(asked, given));
        let in_directory = || fleet.directory.as_ref().map(|directory| directory.join("verdicts.json"));
        let options = ejection::participant::Options {
            name: name.clone(),
            zone: fleet.zone.clone(),
            listen: SocketAddr::new(fleet.listen.ip(), table.port),
            voucher: Voucher { duty: duty.clone(), members: fleet.store.clone(), from: fleet.listen.ip() },
            file: table.file.clone().or_else(in_directory),
            terms: agreed,
            routes: in_force,
            asks,
            shares,
            shown,
        };
        Some(Self { duty, options, terms: Rc::new(terms), shown: seen })
    }

    /// Begins it. What is returned takes the duty's end.
    fn begin(self, view: watch::Receiver<View>, alone: watch::Receiver<bool>) -> Option<Given> {
        let (give, given) = oneshot::channel();
        match ejection::participant::start(self.options, view, alone, given) {
            Ok(()) => Some((self.duty, give)),
            Err(problem) => {
                error!("this node has no part in the votes: {problem}");
                None
            }
        }
    }
}

/// The ends of the channels between the core, its copies and the operator's file.
struct Copies {
    core: Option<(ReplicationChannel, mpsc::UnboundedReceiver<(u32, News)>)>,
    part: Option<Part>,
    terms: Option<watch::Sender<Terms>>,
    leave: Option<mpsc::Sender<oneshot::Sender<()>>>,
}

impl Copies {
    fn of(config: &Config) -> Self {
        let Some(table) = config.operator.copies.clone().filter(|_| config.operator.fleet.is_some()) else {
            return Self { core: None, part: None, terms: None, leave: None };
        };
        let (to_copies, errands) = mpsc::unbounded_channel();
        let (tells, news) = mpsc::unbounded_channel();
        let (terms, agreed) = watch::channel(table.terms());
        let (leave, leaves) = mpsc::channel(1);
        let core = ReplicationChannel {
            requests: to_copies,
            claim_timeout_ms: table.claim_ms,
            local_only_classes: table.alone.clone(),
            late_policy: table.late,
        };
        let leave = table.leaves().then_some(leave);
        let part = Part { table, errands, news: tells, terms: agreed, leave: leaves };
        Self { core: Some((core, news)), part: Some(part), terms: Some(terms), leave }
    }

    /// Has the copies of this node handed on, where they are not to outlive its process here. What is returned resolves
    /// when that is done, or there is no more time.
    fn leave(&mut self, stop: Duration) -> impl Future<Output = ()> + use<> {
        let leave = self.leave.take();
        let until = Instant::now() + stop.saturating_sub(HAND_ON_MARGIN);
        let (done, left) = oneshot::channel();
        let told = leave.is_some_and(|leave| leave.try_send(done).is_ok());
        async move {
            if told && tokio::time::timeout_at(until, left).await.is_err() {
                warn!("the copies of this node are not all handed on");
            }
        }
    }
}

/// Carries what the copies say to the core.
async fn carry_news(mut news: mpsc::UnboundedReceiver<(u32, News)>, exchange: Handle) {
    while let Some((request, news)) = news.recv().await {
        exchange.send(Input::Replication(RequestId(request), news)).await;
    }
}

/// How a process of this node stands to the one before.
struct Succession {
    /// Ends when this one is alone.
    alone: JoinHandle<()>,
    /// Resolves when it is this one's turn, to an error where nobody told it so: those that come next wait for it then
    /// already.
    turn: oneshot::Receiver<()>,
    /// Has the session of the node's duties.
    session: oneshot::Receiver<Passed>,
}

/// Finds the process of this node that serves now.
async fn succeed(config: &Config, exchange: &Handle, successor: &Successor) -> Succession {
    let ((begin, turn), (pass, session)) = (oneshot::channel(), oneshot::channel());
    let place = match config.inherited {
        Some(_) => handover::place(&config.name).await,
        None => return Succession { alone: spawn_local(async {}), turn, session },
    };
    let alone = match place {
        Ok(Place::Behind(before)) => {
            exchange.send(Input::AwaitTurn).await;
            let (name, successor, exchange) = (config.name.clone(), successor.clone(), exchange.clone());
            spawn_local(handover::follow(name, before, successor, exchange, begin, pass))
        }
        Ok(Place::First(listener)) => {
            successor.wait_at(listener);
            spawn_local(async {})
        }
        Err(problem) => {
            warn!("no process can take over from this one: {problem}");
            spawn_local(async {})
        }
    };
    Succession { alone, turn, session }
}

/// Waits until the process before has let go of the store's address: it may hand on duties and copies after the last word
/// to its successor. The fleet's part waits for its own.
async fn is_free(config: &Config) {
    let Some(address) = config.operator.store.listen else { return };
    let until = Instant::now() + config.stop + LAST;
    while Instant::now() < until && TcpListener::bind(address).await.is_err() {
        tokio::time::sleep(FREE_AGAIN).await;
    }
    // Its sockets and its files go one after the other.
    tokio::time::sleep(FREE_AGAIN).await;
}

/// Takes what no two processes can have: the whole room for connections, the address for questions about servers and
/// the store. Follows what the operator keeps there.
async fn settle_in(
    alone: JoinHandle<()>,
    on_its_own: watch::Sender<bool>,
    config: Config,
    published: watch::Receiver<String>,
    routes: Option<Rc<Routes>>,
    shared: Rc<Shared>,
    operators: OperatorCalls,
) {
    if !alone.is_finished() {
        let _ = alone.await;
        is_free(&config).await;
    }
    on_its_own.send_replace(true);
    shared.halved.set(false);
    if let Some(routes) = routes
        && let Err(problem) = answer_peers(&config, routes, shared.exchange.clone()).await
    {
        error!("questions about servers cannot be answered: {problem}");
    }
    let Config { name, operator, .. } = config;
    if !operator.store.is_set_up() {
        return;
    }
    let key = format!("state/{name}/maintenance");
    let is_durable = operator.store.directory.is_some();
    // A store in memory has lost the key with the process before.
    let was_set = shared.exchange.node_status().borrow().operator.maintenance;
    let initial = (was_set && !is_durable).then(|| (key.clone(), MAINTENANCE_ON.to_owned()));
    match store::start(&name, operator.store, published, initial) {
        Ok(contents) => follow_maintenance(key, contents, is_durable, operators).await,
        Err(problem) => error!("the store cannot run: {problem}"),
    }
}

/// Answers those that ask what is known of the servers, where that is wished.
async fn answer_peers(config: &Config, routes: Rc<Routes>, exchange: Handle) -> Result<(), NodeError> {
    let table = &config.operator.knowledge;
    if let Some(listen) = table.listen {
        let listener = bind::tcp("questions about servers", listen).await?;
        info!("{} listens for questions about servers on {}", config.name, listener.local_addr()?);
        let (name, allow) = (config.name.clone(), table.allow.clone());
        spawn_local(Teller { name, allow, routes, exchange }.serve(listener));
    }
    Ok(())
}

/// Opens the operators' door, which stays open to the end.
async fn admit_operators(
    config: &Config,
    admin: SocketAddr,
    exchange: &Handle,
    operators: OperatorCalls,
) -> Result<(), NodeError> {
    let listener = bind::tcp("operators", admin).await?;
    let most = Descriptors::of(config.sockets).operators;
    info!("{} listens for operators on {}", config.name, listener.local_addr()?);
    let shared = Shared::new(exchange.clone(), CancellationToken::new());
    let operators = Rc::new(operators);
    let connection = move |stream, seat| front::admin::connection(stream, operators.clone(), seat);
    let door = Door::own("operators", listener);
    spawn_local(front::serve(door, front::admin::room(most), shared, connection));
    Ok(())
}

/// Reads the configuration anew at each SIGHUP and, where all of it is good, turns to the addresses and settings
/// that it tells. All else in it counts from the next start.
async fn follow_file(mut hangup: Signal, mut config: Config, exchange: Handle, turning: Turning) {
    while hangup.recv().await.is_some() {
        match config.renewed().map_err(NodeError::from).and_then(|new| Ok((new.published()?, new))) {
            Ok((published, new)) => {
                let (processor, classes) = (new.peers.processor, new.site.classes.join(", "));
                info!(
                    "the configuration is read anew; the processor is at {processor}, the classes are {classes}"
                );
                exchange.send(Input::ApplySettings(Box::new(new.site.clone()))).await;
                turning.reached.send_replace(new.peers);
                turning.publish.send_replace(published);
                turn_to(&turning.routes, &new.operator.records);
                turning.agree(&new.operator.copies);
                turning.count(&new.operator);
                turning.follow(&new.operator);
                config = new;
            }
            Err(problem) => warn!("the configuration stays as it was: {problem}"),
        }
    }
}

/// What follows a new configuration.
struct Turning {
    reached: watch::Sender<Peers>,
    publish: watch::Sender<String>,
    routes: Option<Rc<Routes>>,
    terms: Option<watch::Sender<Terms>>,
    votes: Option<Rc<watch::Sender<EjectionPolicy>>>,
    in_force: Option<Arc<InForce>>,
}

impl Turning {
    /// Counts votes by other words and for other servers. Whether this node has a part in them counts from the next start.
    fn count(&self, operator: &Operator) {
        match (&self.votes, &operator.verdicts, &operator.records) {
            (Some(votes), Some(table), Some(records)) => drop(votes.send_replace(table.terms(records))),
            (None, None, _) => {}
            _ => warn!("votes on servers come or go as a whole at the next start only"),
        }
    }

    /// Puts the tables of sites in force as their files are now. Whether there are any counts from the next start.
    fn follow(&self, operator: &Operator) {
        match (&self.in_force, &operator.routes) {
            (Some(in_force), Some(table)) => {
                if let Err(problem) = follow(table, in_force) {
                    warn!("the routes of sites stay as they were: {problem}");
                }
            }
            (None, None) => {}
            (Some(_), None) if operator.partners.is_some() => {}
            _ => warn!("routes of sites come or go as a whole at the next start only"),
        }
    }

    /// Asks for another number of copies, where the operator has set one. Whether there are any counts from the next
    /// start.
    fn agree(&self, table: &Option<CopiesTable>) {
        match (&self.terms, table) {
            (Some(terms), Some(table)) => {
                _ = terms.send_if_modified(|now| {
                    let changed = *now != table.terms();
                    *now = table.terms();
                    changed
                })
            }
            (None, None) => {}
            _ => warn!("copies come or go as a whole at the next start only"),
        }
    }
}

/// The table of routes that calls follow: the one that partners tell, or the one of files; none where there is neither.
fn in_force(operator: &Operator) -> Result<Option<Arc<InForce>>, ConfigError> {
    let in_force = (operator.partners.is_some() || operator.routes.is_some()).then(Arc::default);
    if let (Some(in_force), Some(table)) = (&in_force, &operator.routes) {
        follow(table, in_force)?;
    }
    Ok(in_force)
}

/// The servers of sites. What the fleet has removed of those that this node has of itself is out there as well.
fn sites(config: &Config, in_force: &Arc<InForce>, routes: Option<Rc<Routes>>) -> Rc<Sites> {
    let choice = config.operator.records.as_ref().map(|table| table.choice.clone());
    let none_named = || Options { processes: Some(config.processes()), ..Options::default() };
    let is_out = move |server| routes.as_ref().is_some_and(|routes| routes.is_out(server));
    Sites::new(in_force.clone(), choice.unwrap_or_else(none_named), config.seed, is_out)
}

/// Puts the tables of sites in force as their files are now.
fn follow(table: &RoutesTable, in_force: &InForce) -> Result<(), ConfigError> {
    let merged = table.merged()?;
    info!("calls follow {} routes of {} sites", merged.index().len(), table.files.len());
    in_force.set(merged);
    Ok(())
}

/// Puts another list of servers in force. Whether there is one at all counts from the next start.
fn turn_to(routes: &Option<Rc<Routes>>, table: &Option<RecordsTable>) {
    match (routes, table) {
        (Some(routes), Some(table)) => {
            info!("calls go to {} servers", table.servers.len());
            routes.replace(&table.servers);
            if let Some(processes) = table.choice.processes {
                routes.share_among(processes);
            }
        }
        (None, None) => {}
        _ => warn!("servers of the records service come or go as a whole at the next start only"),
    }
}

/// Applies what the store says of maintenance: a node in maintenance serves, yet asks for no traffic. What the process
/// before has told counts until the store says something.
async fn follow_maintenance(
    key: String,
    mut contents: watch::Receiver<Contents>,
    is_durable: bool,
    operators: OperatorCalls,
) {
    let mut in_force = None;
    loop {
        let requested = {
            let contents = contents.borrow_and_update();
            // A member that begins anew has nothing yet, and one in memory begins anew with each process.
            let is_known = contents.applied().is_some() && (is_durable || in_force.is_some());
            contents.get(&key).map(|value| value == MAINTENANCE_ON).or(is_known.then_some(false))
        };
        if let Some(requested) = requested.filter(|requested| in_force != Some(*requested)) {
            let change = OperatorChange::Maintenance(requested);
            while !operators.change(change, MAINTENANCE_RETRY).await {}
            in_force = Some(requested);
        }
        if contents.changed().await.is_err() {
            return;
        }
    }
}

/// Starts the platform's front and, where the operator has set it up, the one for AJP.
async fn fronts(
    config: &Config,
    listener: TcpListener,
    shared: Rc<Shared>,
) -> Result<JoinSet<()>, NodeError> {
    let mut fronts = JoinSet::new();
    let most = Descriptors::of(config.sockets).clients_within(config.memory_bytes);
    if let Some(options) = config.operator.ajp.clone() {
        let listener = bind::tcp("AJP", options.listen).await?;
        info!("{} listens for AJP on {}", config.name, listener.local_addr()?);
        let connections = options.connections.map_or(most / 2, |set| set.min(most / 2));
        let front = Rc::new(ajp::Front::new(shared.clone(), options, config.memory_bytes));
        let connection = move |stream, seat| ajp::connection(stream, front.clone(), seat);
        let door = Door::own("AJP", listener);
        fronts.spawn_local(front::serve(door, front::room(connections), shared.clone(), connection));
    }
    let most = if config.operator.ajp.is_some() { most / 2 } else { most };
    let of_all = shared.clone();
    let connection = move |stream, seat| resp::connection(stream, shared.clone(), seat);
    let door = Door { acceptor: Acceptor::new("the platform", listener), held: config.inherited.is_some() };
    fronts.spawn_local(front::serve(door, front::room(most), of_all, connection));
    Ok(fronts)
}

/// A process that has been told to leave.
struct Leaving {
    told: Instant,
    /// How long after that it is stopped.
    stop: Duration,
    exchange: Handle,
    /// Gives the connections back.
    closing: CancellationToken,
    fronts: JoinSet<()>,
    reports: JoinHandle<()>,
}

impl Leaving {
    /// Has all that is open answered before the stop, by the time of the notice.
    async fn prepare_hand_over(&self) {
        let left = (self.told + self.stop).saturating_duration_since(Instant::now());
        self.exchange.send(Input::PrepareHandOver { stop_in_ms: left.as_secs_f64() * 1000.0 }).await;
    }
}

/// Leaves to the next process: gives the connections back at once, hands the keys over, and ends when all that it
/// has read is answered and nothing runs any more.
async fn hand_over(leaving: Leaving, next: UnixStream, successor: &Successor, duties: Option<hold::Ends>) {
    let Leaving { told, stop, exchange, closing, fronts, reports } = leaving;
    closing.cancel();
    // What crosses the notice is still this process's, with its key.
    tokio::time::sleep(CROSSES).await;
    reports.abort();
    let (to_next, mut handed) = mpsc::unbounded_channel::<HandoverMessage>();
    let (say, said) = mpsc::unbounded_channel();
    let (finish, finished) = oneshot::channel();
    exchange.send(Input::HandOver(to_next)).await;
    successor.dismiss();
    let telling = spawn_local(handover::tell(next, said));
    let say_handed = say.clone();
    spawn_local(async move {
        while let Some(handed) = handed.recv().await {
            let _ = say_handed.send(handed.into());
        }
    });
    let mut finished = spawn_local(async move {
        fronts.join_all().await;
        exchange.send(Input::Finish(finish)).await;
        let _ = finished.await;
    });
    // Duties are done here for as long as may be: the next process has no place in the fleet before this one's end.
    let early = told + stop.saturating_sub(HAND_ON_MARGIN);
    let all_done = tokio::time::timeout_at(early, &mut finished).await.is_ok();
    if let Some(duties) = duties {
        pass_on(duties, told + stop.saturating_sub(PASS_MARGIN), &say).await;
    }
    drop(say);
    let left = async {
        if !all_done {
            let _ = finished.await;
        }
        let _ = telling.await;
    };
    let left = tokio::time::timeout_at(told + stop + LAST, left).await;
    info!("ended {}", if left.is_ok() { "with everything handed over" } else { "with requests open" });
}

/// Gives the session of the duties to the next process, where there is one.
async fn pass_on(duties: hold::Ends, by: Instant, say: &mpsc::UnboundedSender<Message>) {
    if let Some(mut passed) = duties.pass(by).await {
        for duty in passed.duties.drain(..) {
            let _ = say.send(Message::Duty(Box::new(duty)));
        }
        let _ = say.send(Message::Session(Box::new(passed)));
    }
}

/// Leaves: tells the exchange, serves on, gives the connections back in good time, and ends when all are gone. A next
/// process that comes meanwhile is handed the keys.
async fn drain(mut leaving: Leaving, successor: &Successor) {
    let (told, stop) = (leaving.told, leaving.stop);
    leaving.exchange.send(Input::Drain { stop_in_ms: stop.as_secs_f64() * 1000.0 }).await;
    let mut next = tokio::select! {
        next = successor.come() => Some(next),
        () = sleep_until(told + stop.saturating_sub(GIVE_BACK)) => None,
    };
    let mut left = false;
    if next.is_none() {
        leaving.closing.cancel();
        tokio::select! {
            late = successor.come() => next = Some(late),
            () = all_gone(&mut leaving.fronts) => left = true,
            () = sleep_until(told + stop + LAST) => {}
        }
    }
    match next {
        Some(next) => hand_over(leaving, next, successor, None).await,
        None => {
            info!(
                "stopped {}",
                if left { "with every connection given back" } else { "with connections open" }
            );
        }
    }
}

async fn all_gone(fronts: &mut JoinSet<()>) {
    while fronts.join_next().await.is_some() {}
}
