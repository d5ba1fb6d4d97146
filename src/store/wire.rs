//! The thin transport between members: one message to a frame. Whatever one says to another as a member carries the
//! cluster and the words of both, so that neither a foreign member nor one with a new directory is taken for another.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use log::debug;
use openraft::error::{
    Fatal, InstallSnapshotError, NetworkError, RPCError, RaftError, RemoteError, ReplicationClosed,
    StreamingError, Unreachable,
};
use openraft::network::{RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    SnapshotResponse, VoteRequest, VoteResponse,
};
use openraft::{AnyError, OptionalSend, Snapshot, SnapshotMeta, Vote};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};

use crate::frame::{receive, receive_within, send};
use crate::net::accept::{self, Acceptor};
use crate::net::connect::{self as connection, Stream};
use crate::net::errors::Failure;
use crate::net::table::Seat;

use super::decide::identity::Marked;
use super::decide::members::Place;
use super::decide::pieces::{Announced, Digest, PIECE_BYTES, PieceError, digest};
use super::door::Door;
use super::election::Elections;
use super::{Answer, Query, Status, Types};

/// Connections served at once.
const CONNECTIONS: usize = 64;
/// How long a program that asks has for its answer; longer than a member takes to give it.
const PATIENCE: Duration = Duration::from_secs(8);
/// How long one member has for its answer to another's question of who it is.
pub(super) const GREETING: Duration = Duration::from_millis(700);
/// A connection on which nothing comes for this long is closed.
const IDLE: Duration = Duration::from_secs(30);
/// How long one piece of a snapshot may take, and the wait before a broken transfer goes on.
const PIECE: Duration = Duration::from_secs(4);
const AGAIN: Duration = Duration::from_millis(100);
/// Tries of one transfer before the consensus library hears that it failed.
const TRANSFERS: u32 = 50;
/// The longest answer to a program, which may have the whole map, each byte escaped.
const ANSWER_BYTES: usize = 32 * 1024 * 1024;

type Reply<T, E> = Result<T, RaftError<u64, E>>;

/// What members and programs say to a member.
#[derive(Serialize, Deserialize)]
pub(super) enum Message {
    /// From one member of a cluster to another.
    Raft { cluster: u64, from: u64, to: u64, call: Call },
    /// Who are you?
    Hello,
    /// You belong to this cluster; formed of these, where it is new.
    Adopt { cluster: u64, member: u64, founders: Option<BTreeMap<u64, Place>> },
    /// A member has raised its mark.
    Mark { cluster: u64, member: u64, before: u64, now: u64 },
    /// From a member that does not lead, with the word of the change.
    Forwarded { query: Query, tag: u64, since: u64 },
    /// From a program beside the member.
    Asked(Query),
}

/// What the consensus library says.
#[derive(Serialize, Deserialize)]
pub(super) enum Call {
    Append(AppendEntriesRequest<Types>),
    Vote(VoteRequest<u64>),
    Announce(Announced),
    Piece { of: Digest, at: usize, piece: String },
    Install { vote: Vote<u64>, meta: SnapshotMeta<u64, Place>, of: Digest },
}

/// Why a member does not listen to another.
#[derive(Debug, Serialize, Deserialize, thiserror::Error)]
pub(super) enum Deaf {
    #[error("it is of another cluster, {0:016x}")]
    Foreign(u64),
    #[error("it is another member, {0:016x}: its directory is not the one it had")]
    Another(u64),
    #[error("it is not running yet")]
    NotYet,
}

/// What a member says of itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct About {
    pub member: u64,
    pub place: Place,
    pub cluster: Option<u64>,
}

/// When each member was last heard, by its word.
#[derive(Clone, Default)]
pub(super) struct Heard(Arc<Mutex<BTreeMap<u64, Sign>>>);

/// A sign of a member: when it was looked for first, and heard last.
struct Sign {
    sought: Instant,
    heard: Option<Instant>,
}

impl Heard {
    pub fn now(&self, member: u64) {
        let now = Instant::now();
        let sign = Sign { sought: now, heard: Some(now) };
        self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(member, sign);
    }

    /// Time since it was heard, in ms, where it was heard at all.
    pub fn silent_ms(&self, member: u64) -> Option<u64> {
        let signs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        signs.get(&member)?.heard.map(|at| at.elapsed().as_millis() as u64)
    }

    /// The same, or the time since it was first asked for, which begins now.
    pub fn gone_ms(&self, member: u64) -> u64 {
        let mut signs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let sign = signs.entry(member).or_insert_with(|| Sign { sought: Instant::now(), heard: None });
        sign.heard.unwrap_or(sign.sought).elapsed().as_millis() as u64
    }

    pub fn keep(&self, only: impl Fn(u64) -> bool) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).retain(|member, _| only(*member));
    }
}

/// Connects from the address that this member listens on, by which others may know it.
async fn connect(address: &str, own: Option<IpAddr>) -> Result<Stream, Failure> {
    let found = tokio::net::lookup_host(address).await.map_err(Failure::Connect)?.next();
    let none = || io::Error::new(io::ErrorKind::NotFound, format!("{address} is no address"));
    connection::connect(found.ok_or_else(none).map_err(Failure::Connect)?, own).await
}

async fn exchange<T: DeserializeOwned>(stream: &mut Stream, message: &Message, most: usize) -> io::Result<T> {
    send(stream, message).await?;
    receive_within(stream, most).await?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// One question over a connection of its own.
pub(super) async fn once<T: DeserializeOwned>(
    address: &str,
    own: Option<IpAddr>,
    message: &Message,
    within: Duration,
) -> io::Result<T> {
    let asked = async { exchange(&mut connect(address, own).await?, message, ANSWER_BYTES).await };
    timeout(within, asked).await?
}

/// Asks a member from outside.
///
/// # Errors
/// It cannot be reached, or does not answer in time.
pub async fn ask(address: &str, query: Query) -> io::Result<Answer> {
    once(address, None, &Message::Asked(query), PATIENCE).await
}

/// The same, from one of this machine's addresses.
///
/// # Errors
/// It cannot be reached, or does not answer in time.
pub async fn ask_from(address: &str, from: IpAddr, query: Query) -> io::Result<Answer> {
    once(address, Some(from), &Message::Asked(query), PATIENCE).await
}

/// Serves members and programs beside this one.
pub(super) async fn serve(listener: &TcpListener, door: Arc<Door>) {
    let acceptor = Acceptor::new("the store", listener);
    let begin = move |open: &mut JoinSet<()>, (stream, _): (TcpStream, SocketAddr), seat: Seat| {
        let door = door.clone();
        open.spawn(async move {
            seat.serve(connection(stream, door, &seat)).await;
        });
    };
    accept::serve_questions(acceptor, CONNECTIONS, begin).await;
}

/// Tells whoever asks that this member can promise nothing now, and why.
pub(super) async fn refuse(listener: &TcpListener, number: u64, why: &str) {
    let begin = |open: &mut JoinSet<()>, (stream, _): (TcpStream, SocketAddr), seat: Seat| {
        let why = format!("this member of the store takes nothing on: {why}");
        open.spawn(async move {
            let _ = seat.serve(timeout(IDLE, refuse_all(Stream::new(stream), number, why, &seat))).await;
        });
    };
    accept::serve_questions(Acceptor::new("the store", listener), CONNECTIONS, begin).await;
}

async fn refuse_all(mut stream: Stream, number: u64, why: String, seat: &Seat) -> io::Result<()> {
    while let Some(message) = receive::<Message>(&mut stream).await? {
        seat.work();
        let answer = match message {
            Message::Asked(Query::Status) => Answer::Status(Box::new(Status::blank(number, why.clone()))),
            Message::Asked(_) | Message::Forwarded { .. } => Answer::NotDone(why.clone()),
            // Another member hears that from the connection's end.
            _ => return Ok(()),
        };
        send(&mut stream, &answer).await?;
        seat.listen();
    }
    Ok(())
}

async fn connection(stream: TcpStream, door: Arc<Door>, seat: &Seat) {
    let _ = stream.set_nodelay(true);
    let mut stream = Stream::new(stream);
    match answer_all(&mut stream, &door, seat).await {
        Ok(()) => {}
        // Members drop a link in the middle of a question whenever they give it up.
        Err(problem) if problem.kind() == io::ErrorKind::UnexpectedEof => {}
        Err(problem) => debug!("a connection of the store is closed: {problem}"),
    }
}

async fn answer_all(stream: &mut Stream, door: &Arc<Door>, seat: &Seat) -> io::Result<()> {
    while let Some(message) = timeout(IDLE, receive(stream)).await?? {
        seat.work();
        timeout(IDLE, answer_one(stream, door, message)).await??;
        seat.listen();
    }
    Ok(())
}

async fn answer_one(stream: &mut Stream, door: &Arc<Door>, message: Message) -> io::Result<()> {
    match message {
        Message::Raft { cluster, from, to, call } => hear(stream, door, (cluster, from, to), call).await?,
        Message::Hello => send(stream, &door.about()).await?,
        Message::Adopt { cluster, member, founders } => {
            send(stream, &door.adopt(cluster, member, founders)).await?;
        }
        Message::Mark { cluster, member, before, now } => {
            let marked: Result<Marked, String> =
                door.mark(cluster, member, before, now).map_err(|e| e.to_string());
            send(stream, &marked).await?;
        }
        Message::Forwarded { query, tag, since } => {
            send(stream, &door.answer_forwarded(query, tag, since).await).await?;
        }
        Message::Asked(query) => send(stream, &door.answer(query).await).await?,
    }
    Ok(())
}

/// Answers the consensus library of another member, which must mean this one.
async fn hear(
    stream: &mut Stream,
    door: &Arc<Door>,
    (cluster, from, to): (u64, u64, u64),
    call: Call,
) -> io::Result<()> {
    let member = match door.meant(cluster, to) {
        Ok(member) => member,
        Err(deaf) => return send(stream, &Err::<(), _>(deaf)).await,
    };
    member.heard.now(from);
    match call {
        Call::Append(rpc) => {
            // Behind a sync that holds this thread up, what came before it counts from when it came.
            if rpc.vote >= member.metrics().vote {
                member.elections.hold_off();
            }
            let reply = member.raft.append_entries(rpc).await;
            if matches!(reply, Ok(AppendEntriesResponse::Success)) {
                member.level_now();
            }
            if !matches!(reply, Ok(AppendEntriesResponse::HigherVote(_)) | Err(_)) {
                member.elections.hold_off();
            }
            send(stream, &Ok::<_, Deaf>(reply)).await
        }
        Call::Vote(rpc) => {
            let reply = member.raft.vote(rpc).await;
            if reply.as_ref().is_ok_and(|reply| reply.vote_granted) {
                member.elections.hold_off();
            }
            send(stream, &Ok::<_, Deaf>(reply)).await
        }
        Call::Announce(announced) => send(stream, &Ok::<_, Deaf>(door.announce(&announced))).await,
        Call::Piece { of, at, piece } => {
            let taken = match STANDARD.decode(&piece) {
                Ok(piece) => door.take(&of, at, &piece),
                Err(_) => Err(PieceError::Damaged),
            };
            send(stream, &Ok::<_, Deaf>(taken)).await
        }
        Call::Install { vote, meta, of } => {
            let installed = match door.finish(&of) {
                Ok(bytes) => {
                    let snapshot = Snapshot { meta, snapshot: Box::new(io::Cursor::new(bytes)) };
                    let installed = member.raft.install_full_snapshot(vote, snapshot).await;
                    if installed.as_ref().is_ok_and(|reply| reply.vote <= vote) {
                        member.elections.hold_off();
                    }
                    Ok(installed)
                }
                Err(problem) => Err(problem),
            };
            send(stream, &Ok::<_, Deaf>(installed)).await
        }
    }
}

/// Makes the links to other members.
#[derive(Clone)]
pub(super) struct Network {
    pub cluster: u64,
    pub member: u64,
    pub own: Option<IpAddr>,
    pub heard: Heard,
    /// Whether this member says nothing as the one that leads: see [`super::steward`].
    pub silent: Arc<AtomicBool>,
    pub elections: Elections,
}

/// A link to one member, connected at its first use and again after it broke.
pub(super) struct Peer {
    network: Network,
    target: u64,
    address: String,
    stream: Option<Stream>,
}

impl RaftNetworkFactory<Types> for Network {
    type Network = Peer;

    async fn new_client(&mut self, target: u64, node: &Place) -> Peer {
        Peer { network: self.clone(), target, address: node.address.clone(), stream: None }
    }
}

type Called<T, E> = Result<T, RPCError<u64, Place, RaftError<u64, E>>>;

impl Peer {
    /// One question and its answer. The link is put back only behind a whole answer, so that one that is given
    /// up half way is never read as the answer to the next.
    async fn exchange<T: DeserializeOwned>(&mut self, call: Call) -> io::Result<T> {
        let Network { cluster, member: from, own, .. } = self.network;
        let message = Message::Raft { cluster, from, to: self.target, call };
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => connect(&self.address, own).await?,
        };
        let reply: Result<T, Deaf> = exchange(&mut stream, &message, ANSWER_BYTES).await?;
        self.stream = Some(stream);
        match reply {
            Ok(reply) => {
                self.network.heard.now(self.target);
                Ok(reply)
            }
            Err(deaf) => Err(io::Error::new(io::ErrorKind::ConnectionRefused, deaf.to_string())),
        }
    }

    async fn call<T, E>(&mut self, call: Call) -> Called<T, E>
    where
        T: DeserializeOwned,
        E: std::error::Error + DeserializeOwned,
    {
        let reply: Reply<T, E> = self.exchange(call).await.map_err(|e| {
            debug!("the member at {} does not answer: {e}", self.address);
            match e.kind() {
                // Not to be asked again at once.
                io::ErrorKind::ConnectionRefused => RPCError::Unreachable(Unreachable::new(&e)),
                _ => RPCError::Network(NetworkError::from(AnyError::new(&e))),
            }
        })?;
        reply.map_err(|e| RemoteError::new(self.target, e).into())
    }

    /// Sends what the other side lacks of a snapshot, piece by piece.
    async fn transfer(&mut self, bytes: &[u8], announced: &Announced) -> io::Result<()> {
        let refused = |problem: PieceError| io::Error::other(problem);
        let announce = self.exchange::<Result<usize, PieceError>>(Call::Announce(announced.clone()));
        let mut have = timeout(PIECE, announce).await??.map_err(refused)?;
        while have < bytes.len() {
            let end = bytes.len().min(have + PIECE_BYTES);
            let piece = STANDARD.encode(&bytes[have..end]);
            let call = Call::Piece { of: announced.digest, at: have, piece };
            let sent = timeout(PIECE, self.exchange::<Result<usize, PieceError>>(call)).await??;
            have = sent.map_err(refused)?;
        }
        Ok(())
    }
}

impl RaftNetwork<Types> for Peer {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<Types>,
        _option: RPCOption,
    ) -> Called<AppendEntriesResponse<u64>, openraft::error::Infallible> {
        if self.network.silent.load(Relaxed) {
            let unheard = io::Error::other("this member leads and is not heard, so it is silent");
            return Err(Unreachable::new(&unheard).into());
        }
        self.call(Call::Append(rpc)).await
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<u64>,
        _option: RPCOption,
    ) -> Called<VoteResponse<u64>, openraft::error::Infallible> {
        let elections = self.network.elections.clone();
        let _request = elections.request();
        let last_log_id = rpc.last_log_id;
        let reply: VoteResponse<u64> = self.call(Call::Vote(rpc)).await?;
        if reply.last_log_id > last_log_id {
            elections.has_shorter_log();
        }
        Ok(reply)
    }

    /// Snapshots travel by [`Self::full_snapshot`] alone.
    async fn install_snapshot(
        &mut self,
        _rpc: InstallSnapshotRequest<Types>,
        _option: RPCOption,
    ) -> Called<InstallSnapshotResponse<u64>, InstallSnapshotError> {
        let never =
            io::Error::new(io::ErrorKind::Unsupported, "snapshots travel in pieces of the store's own");
        Err(Unreachable::new(&never).into())
    }

    async fn full_snapshot(
        &mut self,
        vote: Vote<u64>,
        snapshot: Snapshot<Types>,
        cancel: impl Future<Output = ReplicationClosed> + OptionalSend + 'static,
        _option: RPCOption,
    ) -> Result<SnapshotResponse<u64>, StreamingError<Types, Fatal<u64>>> {
        let bytes = snapshot.snapshot.into_inner();
        let announced = Announced { length: bytes.len(), digest: digest(&bytes) };
        let sent = async {
            let mut last = io::Error::from(io::ErrorKind::TimedOut);
            for _ in 0..TRANSFERS {
                match self.transfer(&bytes, &announced).await {
                    Ok(()) => {
                        let (meta, of) = (snapshot.meta.clone(), announced.digest);
                        let call = Call::Install { vote, meta, of };
                        type Installed = Result<Result<SnapshotResponse<u64>, Fatal<u64>>, PieceError>;
                        match timeout(PIECE, self.exchange::<Installed>(call)).await {
                            Ok(Ok(Ok(reply))) => {
                                return reply.map_err(|e| RemoteError::new(self.target, e).into());
                            }
                            Ok(Ok(Err(problem))) => last = io::Error::other(problem),
                            Ok(Err(problem)) => last = problem,
                            Err(late) => last = late.into(),
                        }
                    }
                    Err(problem) => last = problem,
                }
                debug!("a snapshot for {} is broken off: {last}", self.address);
                tokio::time::sleep(AGAIN).await;
            }
            Err(Unreachable::new(&last).into())
        };
        tokio::select! {
            sent = sent => sent,
            closed = cancel => Err(closed.into()),
        }
    }
}
