//! The thin transport between members: one message to a frame.

use std::io;
use std::time::Duration;

use log::{debug, warn};
use openraft::error::{InstallSnapshotError, NetworkError, RPCError, RaftError, RemoteError, Unreachable};
use openraft::network::{RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::{AnyError, BasicNode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::frame::{receive, send};

use super::{Answer, Member, Query, Types};

/// Connections served at once.
const CONNECTIONS: usize = 64;
/// How long a member that is asked has for its answer.
const PATIENCE: Duration = Duration::from_secs(8);

type Reply<T, E> = Result<T, RaftError<u64, E>>;

/// What members say to each other.
#[derive(Serialize, Deserialize)]
enum Message {
    Append(AppendEntriesRequest<Types>),
    Vote(VoteRequest<u64>),
    Snapshot(InstallSnapshotRequest<Types>),
    /// From a member that does not lead.
    Forwarded(Query),
    /// From a program beside the member.
    Asked(Query),
}

async fn exchange<T: DeserializeOwned>(stream: &mut TcpStream, message: &Message) -> io::Result<T> {
    send(stream, message).await?;
    receive(stream).await?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

async fn once(address: &str, message: Message) -> io::Result<Answer> {
    let asked = async { exchange(&mut TcpStream::connect(address).await?, &message).await };
    timeout(PATIENCE, asked).await?
}

/// Asks a member from outside.
///
/// # Errors
/// It cannot be reached, or does not answer in time.
pub async fn ask(address: &str, query: Query) -> io::Result<Answer> {
    once(address, Message::Asked(query)).await
}

/// Hands a query to the member that leads.
pub(super) async fn forward(address: &str, query: &Query) -> io::Result<Answer> {
    once(address, Message::Forwarded(query.clone())).await
}

/// Serves members and programs beside this one.
pub(super) async fn serve(listener: TcpListener, member: Member) {
    let mut open = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept(), if open.len() < CONNECTIONS => match accepted {
                Ok((stream, _)) => {
                    open.spawn(connection(stream, member.clone()));
                }
                Err(problem) => {
                    warn!("the store can accept no connection: {problem}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            },
            Some(_) = open.join_next() => {}
        }
    }
}

async fn connection(mut stream: TcpStream, member: Member) {
    if let Err(problem) = answer_all(&mut stream, &member).await {
        warn!("a connection of the store is closed: {problem}");
    }
}

async fn answer_all(stream: &mut TcpStream, member: &Member) -> io::Result<()> {
    stream.set_nodelay(true)?;
    while let Some(message) = receive(stream).await? {
        match message {
            Message::Append(rpc) => send(stream, &member.raft.append_entries(rpc).await).await?,
            Message::Vote(rpc) => send(stream, &member.raft.vote(rpc).await).await?,
            Message::Snapshot(rpc) => send(stream, &member.raft.install_snapshot(rpc).await).await?,
            Message::Forwarded(query) => send(stream, &member.answer(query, false).await).await?,
            Message::Asked(query) => send(stream, &member.answer(query, true).await).await?,
        }
    }
    Ok(())
}

/// Makes the links to other members.
pub(super) struct Network;

/// A link to one member, connected at its first use and again after it broke.
pub(super) struct Peer {
    target: u64,
    address: String,
    stream: Option<TcpStream>,
}

impl RaftNetworkFactory<Types> for Network {
    type Network = Peer;

    async fn new_client(&mut self, target: u64, node: &BasicNode) -> Peer {
        Peer { target, address: node.addr.clone(), stream: None }
    }
}

impl Peer {
    /// One question and its answer. The link is put back only behind a whole answer, so that one that is given
    /// up half way is never read as the answer to the next.
    async fn call<T, E>(&mut self, message: Message) -> Result<T, RPCError<u64, BasicNode, RaftError<u64, E>>>
    where
        T: DeserializeOwned,
        E: std::error::Error + DeserializeOwned,
    {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => TcpStream::connect(&self.address).await.map_err(|e| Unreachable::new(&e))?,
        };
        let reply: Reply<T, E> = exchange(&mut stream, &message).await.map_err(|e| {
            debug!("member {} does not answer: {e}", self.target);
            NetworkError::from(AnyError::new(&e))
        })?;
        self.stream = Some(stream);
        reply.map_err(|e| RemoteError::new(self.target, e).into())
    }
}

impl RaftNetwork<Types> for Peer {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<Types>,
        _option: RPCOption,
    ) -> Result<AppendEntriesResponse<u64>, RPCError<u64, BasicNode, RaftError<u64>>> {
        self.call(Message::Append(rpc)).await
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<Types>,
        _option: RPCOption,
    ) -> Result<InstallSnapshotResponse<u64>, RPCError<u64, BasicNode, RaftError<u64, InstallSnapshotError>>>
    {
        self.call(Message::Snapshot(rpc)).await
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<u64>,
        _option: RPCOption,
    ) -> Result<VoteResponse<u64>, RPCError<u64, BasicNode, RaftError<u64>>> {
        self.call(Message::Vote(rpc)).await
    }
}
