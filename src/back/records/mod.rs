//! The records service: HTTP/1.1, one call at a time on a connection. Each connection is a task; between calls
//! it waits on a stack of idle ones. Calls go to the platform's proxy or, where the operator names its servers, to
//! one of those; those that a partner's route serves go to servers of that route.

mod http;
pub mod sites;
mod usual;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use log::debug;
use tokio::sync::{AcquireError, OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use self::http::{Bad, Reply, exchange};
use self::sites::{Journey, Sites};
use self::usual::Usual;
use crate::config::Peers;
use crate::exchange::{Call, Handle, Input};
use crate::interface::Outcome;
use crate::net::connect::{Stream, connect};
use crate::net::episode::FailureEpisode;
use crate::net::errors::{Cause, Failure};
use crate::net::stream::uninterrupted;
use crate::peers::{Leg, Routes};
use crate::route::{CallEndKind, RetryBudget, ServerId};
use crate::route_exchange::course::{Next, Tried};
use crate::server_stats::StartReport;

/// An idle connection is closed after this: sooner than the other side does it, so that no call meets the end.
const IDLE: Duration = Duration::from_secs(8);
/// A connection is used again after this at the earliest: what comes late behind a reply must not be taken for the
/// next one.
const SETTLES: Duration = Duration::from_millis(2);
/// Time past the stated wait in which the other side's own word on it may come.
const GRACE: Duration = Duration::from_millis(20);
/// Idle connections that are kept at the most; to several servers, this part of all that there may be.
const KEPT: usize = 16;
const KEPT_SHARE: usize = 2;
/// A server that takes no connection in this time is given up for another one.
const CONNECT: Duration = Duration::from_millis(500);
/// Pauses between two tries to connect while this machine lacks descriptors, buffers or ports grow from the first to the
/// second of these.
const SHORTAGE_PAUSE: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(100));
/// A call goes to another server only while it has this much time left.
const WORTH_TRYING: Duration = Duration::from_millis(20);
/// The part of its time for which a call that is safe to repeat waits for one site while there may be another.
const PATIENCE: f64 = 0.5;
/// Calls whose reply has not come are made again for this share of all calls at the most: a service that is slow, and
/// has lost nothing, gets hardly more of them.
const REPEATS: f64 = 0.2;
/// The work of a call whose request gives no hint, in the same measure.
const USUAL_WORK: f64 = 100.0;

/// What a call came to: a status, or proof that it never began, or neither.
fn outcome(reply: &Reply) -> Outcome {
    match reply.status {
        200 => Outcome::Ok,
        409 if reply.not_begun => Outcome::Moot,
        _ if reply.not_begun => Outcome::Full,
        504 => Outcome::Timeout,
        _ => Outcome::Error,
    }
}

/// What the end of a call tells of the server that it was made to.
fn kind(outcome: Outcome) -> CallEndKind {
    match outcome {
        Outcome::Ok => CallEndKind::Served,
        Outcome::Full => CallEndKind::Rejected,
        Outcome::ConnectFailed => CallEndKind::Unreachable,
        // The run that waited for it is gone: that is no fault of the server's.
        Outcome::Moot => CallEndKind::Abandoned,
        _ => CallEndKind::Failed,
    }
}

/// What a connection that was not made tells of the server. What this machine lacks is no fault of the server's.
fn unconnected(cause: Cause) -> CallEndKind {
    match cause {
        Cause::Refused => CallEndKind::ConnectionRefused,
        cause if cause.tells_of_peer() => CallEndKind::Unreachable,
        _ => CallEndKind::NotSent,
    }
}

/// How an attempt at a call ended.
struct Attempt {
    outcome: Outcome,
    kind: CallEndKind,
    run: Option<StartReport>,
    reply: Bytes,
}

impl Attempt {
    fn of(outcome: Outcome) -> Self {
        Self { outcome, kind: kind(outcome), run: None, reply: Bytes::new() }
    }
}

/// A call with its time and, where there are several servers, its way to one and those tried before.
struct Timed {
    call: Call,
    since: Instant,
    /// When it was sent last, and whether that was the second time.
    sent: Instant,
    repeated: bool,
    leg: Option<Leg>,
    tried: Vec<ServerId>,
    /// Its way among sites, where a route serves it.
    journey: Option<Box<Journey>>,
}

/// What an attempt to have a reply came to.
enum Heard {
    Reply(Result<Reply, Bad>),
    /// Nothing by the time that its request allows.
    Nothing,
    /// Nothing for far longer than usual, and it may be made again.
    Lost,
}

impl Timed {
    fn new(call: Call) -> Self {
        let now = Instant::now();
        Self { call, since: now, sent: now, repeated: false, leg: None, tried: Vec::new(), journey: None }
    }

    fn due(&self) -> Instant {
        self.since + Duration::from_secs_f64(self.call.timeout_ms / 1000.0)
    }

    /// Until when it waits for the site where it is before it tries another.
    fn site_patience(&self) -> Option<Instant> {
        let left = self.due().saturating_duration_since(Instant::now());
        (self.call.safe && self.journey.is_some()).then(|| Instant::now() + left.mul_f64(PATIENCE))
    }

    fn encode(&self, host: SocketAddr) -> Vec<u8> {
        let left_ms = self.due().saturating_duration_since(Instant::now()).as_millis().max(1);
        let Call { try_id, body, .. } = &self.call;
        let mut request = format!(
            "POST /records/op HTTP/1.1\r\nHost: {host}\r\nOp-Of: {try_id}\r\nOp-Wait-Ms: {left_ms}\r\n\
             Content-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        request.extend_from_slice(body);
        request
    }
}

/// A connection that waits for its next call.
struct Idle {
    address: SocketAddr,
    since: Instant,
    hand_over: oneshot::Sender<Timed>,
}

/// A call that waits for a place, counted until it has one or ends.
struct Waits(Rc<Cell<usize>>);

impl Waits {
    fn new(waiting: &Rc<Cell<usize>>) -> Self {
        waiting.set(waiting.get() + 1);
        Self(waiting.clone())
    }
}

impl Drop for Waits {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The calls' side of the proxy to the tier below.
#[derive(Clone)]
pub struct Records {
    peers: watch::Receiver<Peers>,
    /// The servers, where the operator names them.
    routes: Option<Rc<Routes>>,
    /// The sites of routes, where there are any.
    sites: Option<Rc<Sites>>,
    /// Idle connections that are kept at the most.
    kept: usize,
    exchange: Handle,
    idle: Rc<RefCell<Vec<Idle>>>,
    room: Arc<Semaphore>,
    /// Calls that wait for a place.
    waiting: Rc<Cell<usize>>,
    usual: Rc<RefCell<Usual>>,
    repeats: Rc<RefCell<RetryBudget>>,
    /// Connections that this machine had no means for.
    shortage: Rc<RefCell<FailureEpisode>>,
}

impl Records {
    /// Nothing is connected before the first call; there are `most` connections at the most. Calls that no route of
    /// `sites` serves go as without them.
    pub fn new(
        peers: watch::Receiver<Peers>,
        routes: Option<Rc<Routes>>,
        sites: Option<Rc<Sites>>,
        exchange: Handle,
        most: usize,
    ) -> Self {
        let kept = if routes.is_some() || sites.is_some() { most / KEPT_SHARE } else { KEPT };
        Self {
            peers,
            routes,
            sites,
            kept,
            exchange,
            idle: Rc::default(),
            room: Arc::new(Semaphore::new(most)),
            waiting: Rc::default(),
            usual: Rc::default(),
            repeats: Rc::new(RefCell::new(RetryBudget::new(REPEATS))),
            shortage: Rc::new(RefCell::new(FailureEpisode::new("connections for calls cannot be made"))),
        }
    }

    /// Makes the calls that come.
    pub async fn serve(self, mut calls: mpsc::UnboundedReceiver<Call>) {
        while let Some(call) = calls.recv().await {
            self.repeats.borrow_mut().record_call();
            self.place(Timed::new(call));
        }
    }

    /// Finds where a call goes.
    ///
    /// # Errors
    /// The outcome of a call that goes nowhere, proven never to have begun.
    fn find(&self, call: &mut Timed) -> Result<SocketAddr, Outcome> {
        if let Some(sites) = &self.sites {
            let mut journey = Box::new(sites.set_out());
            match sites.next(&mut journey, &call.call, &self.exchange.catalog(), Tried::Nothing) {
                Next::To(leg) => {
                    call.journey = Some(journey);
                    return Ok(call.leg.insert(leg).address());
                }
                Next::Nowhere => return Err(Outcome::Full),
                Next::Unserved => {}
            }
        }
        self.find_own(call)
    }

    /// Finds where a call goes that no site's route serves.
    fn find_own(&self, call: &mut Timed) -> Result<SocketAddr, Outcome> {
        let Some(routes) = &self.routes else {
            return self.peers.borrow().records.ok_or(Outcome::ConnectFailed);
        };
        let Call { hint_ms, safe, .. } = call.call;
        let leg =
            routes.choose(hint_ms.unwrap_or(USUAL_WORK), safe, &call.tried).map_err(|_| Outcome::Full)?;
        call.tried.push(leg.server());
        Ok(call.leg.insert(leg).address())
    }

    fn place(&self, mut call: Timed) {
        self.hand_over(self.find(&mut call), call);
    }

    /// Hands a call to the connection that was used last, or to a new one. One that is not safe to repeat gets a
    /// new one: on an idle one that the other side forgot, a reset would not tell whether it ran. Connections to an address that is
    /// not in force any more get no further call, and end.
    fn hand_over(&self, found: Result<SocketAddr, Outcome>, mut call: Timed) {
        let address = match found {
            Ok(address) => address,
            Err(outcome) => {
                let records = self.clone();
                spawn_local(async move { records.tell(&call, outcome, Bytes::new()).await });
                return;
            }
        };
        while call.call.safe {
            let Some(idle) = self.settled(address) else { break };
            match idle.hand_over.send(call) {
                Ok(()) => return,
                Err(back) => call = back,
            }
        }
        spawn_local(self.clone().connection(address, call));
    }

    /// The connection there used last of those that have been idle for long enough.
    fn settled(&self, address: SocketAddr) -> Option<Idle> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|idle| !idle.hand_over.is_closed());
        let is_fit = |idle: &Idle| idle.address == address && idle.since.elapsed() >= SETTLES;
        let at = idle.iter().rposition(is_fit)?;
        Some(idle.remove(at))
    }

    /// Whether an address is in force, as one that a route led to or otherwise.
    fn is_in_force(&self, address: SocketAddr, by_route: bool) -> bool {
        match &self.routes {
            _ if by_route => self.sites.is_some(),
            Some(routes) => routes.has(address),
            None => self.peers.borrow().records == Some(address),
        }
    }

    /// A connection from its first call to its end.
    async fn connection(self, address: SocketAddr, mut call: Timed) {
        let to_server = call.leg.is_some();
        let connected = tokio::select! {
            connected = timeout_at(call.due(), self.connect(address, to_server, call.due())) => connected,
            _ = &mut call.call.given_up => return,
        };
        // Nothing was sent, so nothing can have begun.
        let (mut stream, _room) = match connected {
            Ok(Ok(connected)) => connected,
            failed => {
                let mut attempt = Attempt::of(Outcome::ConnectFailed);
                attempt.kind = match failed {
                    Ok(Err(problem)) => {
                        debug!("the tier below cannot be reached: {problem}");
                        unconnected(problem.cause())
                    }
                    _ => CallEndKind::NotSent,
                };
                return self.ended(call, attempt).await;
            }
        };
        loop {
            let by_route = call.journey.is_some();
            let reusable = self.make(&mut stream, address, call).await;
            self.idle.borrow_mut().retain(|idle| !idle.hand_over.is_closed());
            let wanted = self.is_in_force(address, by_route) && self.idle.borrow().len() < self.kept;
            // One that would rest gives its place to a call that waits for one.
            if !reusable || !wanted || self.waiting.get() > 0 {
                return;
            }
            match self.rest(&stream, address, !to_server).await {
                Some(next) => call = next,
                None => return,
            }
        }
    }

    async fn connect(
        &self,
        address: SocketAddr,
        to_server: bool,
        due: Instant,
    ) -> Result<(Stream, OwnedSemaphorePermit), Failure> {
        let closed = |closed| Failure::Connect(io::Error::other(closed));
        let room = self.place_for_one().await.map_err(closed)?;
        // The wait for room above is no fault of the server's.
        let within = if to_server { CONNECT } else { due.saturating_duration_since(Instant::now()) };
        let stream = self.connect_despite_shortage(address, due - WORTH_TRYING, within).await?;
        Ok((stream, room))
    }

    /// A place for a further connection. Where there is none, the one that has been idle for longest ends.
    async fn place_for_one(&self) -> Result<OwnedSemaphorePermit, AcquireError> {
        if let Ok(place) = self.room.clone().try_acquire_owned() {
            return Ok(place);
        }
        let _waits = Waits::new(&self.waiting);
        {
            let mut idle = self.idle.borrow_mut();
            idle.retain(|idle| !idle.hand_over.is_closed());
            if !idle.is_empty() {
                idle.remove(0);
            }
        }
        self.room.clone().acquire_owned().await
    }

    /// Connects, again behind a pause while this machine lacks what that takes: no other server would help.
    async fn connect_despite_shortage(
        &self,
        address: SocketAddr,
        until: Instant,
        within: Duration,
    ) -> Result<Stream, Failure> {
        let mut pause = SHORTAGE_PAUSE.0;
        loop {
            let late = |_| Err(Failure::Connect(io::ErrorKind::TimedOut.into()));
            match timeout(within, connect(address, None)).await.unwrap_or_else(late) {
                Err(problem) if !problem.cause().tells_of_peer() => {
                    self.shortage.borrow_mut().failed(&problem);
                    if Instant::now() + pause >= until {
                        return Err(problem);
                    }
                }
                done => {
                    self.shortage.borrow_mut().succeeded();
                    return done;
                }
            }
            sleep(pause).await;
            pause = (pause * 2).min(SHORTAGE_PAUSE.1);
        }
    }

    /// Gives a call that never ran to a new connection: others that are idle may be forgotten as well.
    fn again(self, call: Timed) {
        let chosen = call.leg.as_ref().map(Leg::address);
        let address = chosen.or(self.peers.borrow().records);
        spawn_local(async move {
            match address {
                Some(address) => self.connection(address, call).await,
                None => self.ended(call, Attempt::of(Outcome::ConnectFailed)).await,
            }
        });
    }

    /// Waits for the next call on a connection. None where it is of no use any more: one to the platform's address
    /// is not once that is another.
    async fn rest(&self, stream: &Stream, address: SocketAddr, to_platform: bool) -> Option<Timed> {
        let mut peers = self.peers.clone();
        let (hand_over, handed) = oneshot::channel();
        self.idle.borrow_mut().push(Idle { address, since: Instant::now(), hand_over });
        tokio::select! {
            biased;
            handed = handed => match (handed, uninterrupted(|| stream.get_ref().try_read(&mut [0]))) {
                (Ok(next), Err(problem)) if problem.kind() == io::ErrorKind::WouldBlock => Some(next),
                // It has ended meanwhile: nothing was sent on it, so the call may go elsewhere.
                (Ok(next), _) => {
                    self.clone().again(next);
                    None
                }
                (Err(_), _) => None,
            },
            // Anything that can be read between calls, an end most of all, makes it of no use.
            _ = stream.get_ref().readable() => None,
            _ = peers.wait_for(|peers| peers.records != Some(address)), if to_platform => None,
            () = sleep(IDLE) => None,
        }
    }

    /// One call. To close the connection gives it up. False where it is of no further use.
    async fn make(&self, stream: &mut Stream, address: SocketAddr, mut call: Timed) -> bool {
        let request = call.encode(address);
        if let Some(leg) = &mut call.leg {
            leg.sent();
        }
        call.sent = Instant::now();
        let due = call.due() + GRACE;
        let mut reply = pin!(exchange(stream, &request));
        let mut early = None;
        if let Some(until) = call.site_patience() {
            early = tokio::select! {
                early = timeout_at(until, reply.as_mut()) => early.ok(),
                _ = &mut call.call.given_up => return false,
            };
            if early.is_none()
                && let Some(address) = self.leave(&mut call)
            {
                self.exchange.send(Input::CallRepeated(call.call.id)).await;
                self.hand_over(Ok(address), call);
                return false;
            }
        }
        let patience = self.patience(&call);
        let heard = match early {
            Some(reply) => Heard::Reply(reply),
            None => tokio::select! {
                heard = self.hear(reply, due, patience) => heard,
                _ = &mut call.call.given_up => return false,
            },
        };
        let (attempt, after) = match heard {
            Heard::Lost => {
                debug!("the call for {} is made again, as its reply has not come", call.call.try_id);
                // The second one gives up the first, wherever that stands: it may linger there.
                call.repeated = true;
                self.exchange.send(Input::CallRepeated(call.call.id)).await;
                self.clone().again(call);
                return false;
            }
            Heard::Reply(Ok(reply)) => {
                let outcome = outcome(&reply);
                // To be turned away takes no time, whatever a call takes.
                if outcome == Outcome::Ok && call.leg.is_none() {
                    self.usual.borrow_mut().answered(call.sent.elapsed());
                }
                let Reply { body, run, reusable, .. } = reply;
                (Attempt { outcome, kind: kind(outcome), run, reply: body }, reusable)
            }
            Heard::Reply(Err(problem)) => {
                debug!("a call broke off: {problem}");
                (Attempt::of(Outcome::Reset), false)
            }
            Heard::Nothing => (Attempt::of(Outcome::Timeout), false),
        };
        self.ended(call, attempt).await;
        after
    }

    /// How long to wait for the reply to a call that may be made again. What several servers lose is their pool's concern.
    fn patience(&self, call: &Timed) -> Option<Duration> {
        let may = call.call.repeatable && !call.repeated && call.leg.is_none();
        let patience = self.usual.borrow().patience().filter(|_| may)?;
        // A second call needs its time as well.
        (call.sent + patience + WORTH_TRYING < call.due()).then_some(patience)
    }

    async fn hear(
        &self,
        reply: impl Future<Output = Result<Reply, Bad>>,
        due: Instant,
        patience: Option<Duration>,
    ) -> Heard {
        let mut reply = pin!(reply);
        if let Some(patience) = patience {
            if let Ok(reply) = timeout(patience, &mut reply).await {
                return Heard::Reply(reply);
            }
            self.usual.borrow_mut().lost();
            if self.repeats.borrow_mut().try_take() {
                return Heard::Lost;
            }
        }
        timeout_at(due, reply).await.map_or(Heard::Nothing, Heard::Reply)
    }

    /// Takes the end of an attempt. A call that is proven never to have begun goes to another server while it has
    /// time and the pool has attempts to spare, and on its way among sites one that is safe to repeat does so after any
    /// failure; any other end is the call's.
    async fn ended(&self, mut call: Timed, attempt: Attempt) {
        let Attempt { outcome, kind, run, reply } = attempt;
        let routed = call.leg.take().map(|leg| leg.end(kind, run)).is_some();
        let never_began = matches!(outcome, Outcome::ConnectFailed | Outcome::Full);
        if call.journey.is_some() {
            let tried = if never_began { Tried::NotRun } else { Tried::MayHaveRun };
            let failed = !matches!(outcome, Outcome::Ok | Outcome::Moot);
            self.note(&call, kind);
            let further = if failed { self.further(&mut call, tried) } else { None };
            match further {
                Some(address) => self.hand_over(Ok(address), call),
                None => self.tell(&call, outcome, reply).await,
            }
            return;
        }
        let has_time = call.due() > Instant::now() + WORTH_TRYING;
        let others = self.routes.as_ref().filter(|routes| routed && call.tried.len() < routes.count());
        if never_began && has_time && others.is_some_and(|routes| routes.may_retry()) {
            return self.place(call);
        }
        self.tell(&call, outcome, reply).await;
    }

    /// Tells what is known of a site how a call to it ended.
    fn note(&self, call: &Timed, kind: CallEndKind) {
        if let (Some(sites), Some(journey)) = (&self.sites, &call.journey) {
            sites.ended(journey, kind);
        }
    }

    /// Leaves a site that is slow for the next one. Where there is none, or no attempt to spare, it stays.
    fn leave(&self, call: &mut Timed) -> Option<SocketAddr> {
        let left = call.leg.take();
        let Some(address) = self.further(call, Tried::MayHaveRun) else {
            call.leg = left;
            return None;
        };
        if let Some(left) = left {
            left.end(CallEndKind::Failed, None);
        }
        Some(address)
    }

    /// Where a call goes on its way among sites after a try that failed, while it has time and the site where it is has
    /// attempts to spare.
    fn further(&self, call: &mut Timed, tried: Tried) -> Option<SocketAddr> {
        let (sites, journey) = (self.sites.as_ref()?, call.journey.as_mut()?);
        let due = call.since + Duration::from_secs_f64(call.call.timeout_ms / 1000.0);
        if due <= Instant::now() + WORTH_TRYING || !journey.may_retry() {
            return None;
        }
        match sites.next(journey, &call.call, &self.exchange.catalog(), tried) {
            Next::To(leg) => Some(call.leg.insert(leg).address()),
            Next::Nowhere | Next::Unserved => None,
        }
    }

    async fn tell(&self, call: &Timed, outcome: Outcome, reply: Bytes) {
        // Of a call that was made twice the second time: how fast the other side is, not how much is lost on the way.
        let sent = if call.repeated { call.sent } else { call.since };
        let took_ms = sent.elapsed().as_secs_f64() * 1000.0;
        let Call { id, serial, .. } = call.call;
        self.exchange.send(Input::CallEnded { id, serial, outcome, took_ms, reply }).await;
    }
}
