//! The messages between the exchange and its two sides, the client side (fronts) and the server side (processor and
//! dependency). They are independent of any transport or wire format.

use std::fmt;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};
use tokio::time::Instant;

use super::handed::HandoverMessage;
use super::operator_state::{OperatorChange, OperatorReply, OperatorState, Role};
use crate::config::Site;
use crate::interface::{Outcome, RequestId};
use crate::replication::News;

/// Identifier of one try of a request, shared by its caller and the processor: 16 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct TryId([u8; 16]);

impl TryId {
    /// Parses exactly 16 hexadecimal digits.
    pub fn parse(text: &[u8]) -> Option<Self> {
        let digits: [u8; 16] = text.try_into().ok()?;
        digits.iter().all(u8::is_ascii_hexdigit).then_some(Self(digits))
    }

    /// Generates an identifier for a try whose caller gives none.
    pub fn random() -> Self {
        let mut digits = [0; 16];
        digits.fill_with(|| b"0123456789abcdef"[fastrand::usize(..16)]);
        Self(digits)
    }

    /// The hexadecimal digits as text.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default()
    }
}

impl fmt::Display for TryId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl fmt::Debug for TryId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A request as read by a front.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Identifier of this try.
    pub try_id: TryId,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Whether the request itself names that tenant. A request that names none is accounted to the first tenant.
    pub names_tenant: bool,
    /// Address of the client, if the front knows it.
    pub address: Option<IpAddr>,
    /// Idempotency key, in keyed classes: the same for all tries of one request.
    pub op_key: Option<Arc<str>>,
    /// Subject of a read.
    pub subject: Option<u64>,
    /// Whether its caller marked it as a repeated try.
    pub is_retry: bool,
    /// The caller's rough estimate of the work, in ms.
    pub hint_ms: Option<f64>,
    /// Memory that the request takes while held, in kB.
    pub held_kb: f64,
    /// When the front read it.
    pub received: Instant,
    /// How long before `received` it reached the caller's machine.
    pub age: Duration,
    /// How long after it reached the caller's machine the caller gives up; `None` means the deadline of its class.
    pub caller_timeout: Option<Duration>,
    /// The body, unchanged.
    pub body: Bytes,
}

/// The final answer to a request; each request gets exactly one.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The run succeeded, with this result.
    Served(Bytes),
    /// Refused: this try is guaranteed not to have run.
    Refused {
        /// How long the caller should wait before it sends again, in ms; 0 for no advice.
        stay_away_ms: f64,
        /// Whether the caller should try no other node.
        last: bool,
    },
    /// Failed: the try may or may not have run.
    Failed,
}

impl Answer {
    /// The kind of answer as a word for the log, without the result.
    pub(super) fn kind(&self) -> &'static str {
        match self {
            Self::Served(_) => "served",
            Self::Refused { .. } => "refused",
            Self::Failed => "failed",
        }
    }
}

/// An answer on its way to its client.
#[derive(Debug)]
pub struct Reply {
    /// The front's identifier of the request.
    pub token: u64,
    /// The answer.
    pub answer: Answer,
    /// The load signal sent along with the answer (see [`SayKind`](crate::interface::SayKind)).
    pub level: Option<f64>,
    /// The request's permit among those of its connection, released once the answer is written.
    pub slot: Option<OwnedSemaphorePermit>,
}

/// Destination of the answer to one request. Sending consumes it.
#[derive(Debug)]
pub struct ReplyTo {
    /// The queue of answers of the client's connection.
    pub queue: mpsc::UnboundedSender<Reply>,
    /// The front's identifier of the request.
    pub token: u64,
    /// The request's permit among those of its connection.
    pub slot: Option<OwnedSemaphorePermit>,
}

impl ReplyTo {
    pub(super) fn send(self, answer: Answer, level: Option<f64>) {
        // A closed queue means that the client has disconnected.
        let _ = self.queue.send(Reply { token: self.token, answer, level, slot: self.slot });
    }
}

/// Abnormal conditions that are counted for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Anomaly {
    /// A request was answered by the failsafe, because the decision module had not decided until shortly before it
    /// was due.
    Failsafe,
    /// The idempotency table prevented a second run of a key within its window.
    DuplicateRunPrevented,
    /// A request was turned away because the idempotency table is full.
    IdempotencyTableFull,
    /// A request failed on arrival, because its class or one of its fields is invalid, or because too many requests were
    /// open on its connection.
    InvalidRequest,
    /// The processor rejected a command.
    RejectedByProcessor,
    /// A request failed because an open request has its try identifier, or because its key was used with another body.
    IdentifierConflict,
    /// A request failed because it was read so late that the record of an earlier run of its key may have expired.
    ReceivedTooLate,
    /// A request failed because its key was first seen after all keys were handed over to the next process.
    KeysHandedOver,
    /// A connection was closed because of a protocol error.
    ProtocolError,
    /// A connection was closed because no complete message arrived on it in time.
    IncompleteInput,
    /// A connection was closed because the client did not read its answers.
    AnswersNotRead,
    /// A connection was closed unread because the limit of connections was reached.
    ConnectionLimit,
    /// A request was turned away unread because the bodies of open requests take all memory that they may.
    BodiesFull,
    /// A connection could not be accepted.
    AcceptFailed,
    /// A run continues long after its caller was answered or gave up.
    RunOutlastsCaller,
    /// The processor, when queried, no longer knew a run whose end it had not reported.
    RunUnknownToProcessor,
    /// A query for server statistics came from an address without permission.
    StatsQueryForbidden,
    /// A request was refused because the holders of its key could not be reached.
    HoldersUnreachable,
    /// A request was refused because the holders of its key have no free capacity.
    HoldersFull,
    /// A request ran under this node's own table alone, because the holders of its key could not be reached.
    RunWithoutClaim,
    /// A request failed because another node may have run its key, with unknown outcome.
    MayHaveRunElsewhere,
    /// A request failed because its result could not be replicated in time.
    ResultNotReplicated,
    /// A request was served although its result could not be replicated in time.
    ServedBeforeReplication,
}

impl fmt::Display for Anomaly {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Failsafe => "requests answered by the failsafe",
            Self::DuplicateRunPrevented => "requests not run, as their idempotency keys have run already",
            Self::IdempotencyTableFull => "requests turned away, as the idempotency table is full",
            Self::InvalidRequest => "requests failed on arrival: invalid, or too many open on one connection",
            Self::RejectedByProcessor => "requests rejected by the processor",
            Self::IdentifierConflict => "requests failed: try identifier or key in use by another request",
            Self::ReceivedTooLate => "requests failed, read when records of their keys may have expired",
            Self::KeysHandedOver => "requests failed, as all keys were handed over to the next process",
            Self::ProtocolError => "connections closed for protocol errors",
            Self::IncompleteInput => "connections closed, as no complete message arrived in time",
            Self::AnswersNotRead => "connections closed, as the client did not read its answers",
            Self::ConnectionLimit => "connections closed unread at the connection limit",
            Self::BodiesFull => "requests turned away unread, as bodies take all memory that they may",
            Self::AcceptFailed => "connections could not be accepted",
            Self::RunOutlastsCaller => "runs continue long after their callers were answered or gave up",
            Self::RunUnknownToProcessor => "runs unknown to the processor, with no end reported",
            Self::StatsQueryForbidden => "queries for server statistics from addresses without permission",
            Self::HoldersUnreachable => "requests refused, as the holders of their keys were unreachable",
            Self::HoldersFull => "requests refused, as the holders of their keys have no free capacity",
            Self::RunWithoutClaim => "requests run without a claim, under this node's own table alone",
            Self::MayHaveRunElsewhere => "requests failed, as another node may have run them",
            Self::ResultNotReplicated => "requests failed, as their results were not replicated in time",
            Self::ServedBeforeReplication => "requests served before their results were replicated",
        })
    }
}

/// An event that the client side, the server side or the rest of the node reports to the exchange.
#[derive(Debug)]
pub enum Input {
    /// The processor is up. The exchange admits no request before the first one.
    ProcessorUp {
        /// Whether the processor started cold.
        cold: bool,
        /// How long ago the processor started, in ms.
        age_ms: f64,
    },
    /// A client sent a request.
    Submit(RequestId, IncomingRequest, ReplyTo),
    /// A client no longer waits for its answer.
    Abandon(RequestId),
    /// A run has ended.
    RunEnded {
        /// The try that ran.
        try_id: TryId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took, in ms.
        took_ms: f64,
        /// The result of a successful run.
        result: Bytes,
    },
    /// A run waits for the reply to a call to the dependency.
    RunAwaitsCall {
        /// The try that waits.
        try_id: TryId,
        /// The sequence number of the processor's notice.
        notice: u64,
        /// The body of the call.
        body: Bytes,
    },
    /// A call has ended.
    CallEnded {
        /// The request that the call was made for.
        id: RequestId,
        /// Serial number of the call.
        serial: u64,
        /// How it ended.
        outcome: Outcome,
        /// How long it took, in ms.
        took_ms: f64,
        /// The reply to a successful call.
        reply: Bytes,
    },
    /// The call of a request was abandoned and made a second time.
    CallRepeated(RequestId),
    /// The gauges that were requested under this tag.
    Gauges {
        /// The tag of the query.
        tag: u64,
        /// The values, in the order in which the settings list the gauges.
        values: Vec<f32>,
    },
    /// An abnormal condition that the exchange cannot see itself.
    Anomaly(Anomaly),
    /// An update on a claim, or on the replication of a result.
    Replication(RequestId, News),
    /// The next process of this node takes over, and this one will be stopped: all open requests are answered before.
    PrepareHandOver {
        /// Time until the process is stopped, in ms.
        stop_in_ms: f64,
    },
    /// The next process of this node is ready: the exchange sends it all keys, and later those that change.
    HandOver(mpsc::UnboundedSender<HandoverMessage>),
    /// A message of the hand-over from the previous process.
    FromPredecessor(HandoverMessage),
    /// The previous process has ended. Its open requests whose end it has not reported may have run.
    PredecessorEnded,
    /// Resolve the channel once no request is open and nothing runs.
    Finish(oneshot::Sender<()>),
    /// Apply new settings.
    ApplySettings(Box<Site>),
    /// A process that waits for its turn behind the serving one.
    AwaitTurn,
    /// Change what operators have asked of the node: over the admin interface of one of its processes, or in the store.
    ChangeOperatorState {
        /// The change.
        change: OperatorChange,
        /// Told what became of it.
        reply: oneshot::Sender<OperatorReply>,
    },
    /// What operators have asked of the node, from its serving process.
    FollowOperator(OperatorState),
    /// Drain the node: the process will be stopped soon.
    Drain {
        /// Time until the process is stopped, in ms.
        stop_in_ms: f64,
    },
}

/// Commands to the processor.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Run a request.
    Run {
        /// The try to run.
        try_id: TryId,
        /// Index of its class.
        class: usize,
        /// The body of the request.
        body: Bytes,
    },
    /// Deliver the reply to the call that a run waits for.
    CallReply {
        /// The try that waits.
        try_id: TryId,
        /// The reply.
        body: Bytes,
    },
    /// Continue the run without its call.
    SkipCall {
        /// The try that waits.
        try_id: TryId,
        /// The sequence number of the notice that announced the wait.
        notice: u64,
    },
    /// Report the gauges.
    ReadGauges {
        /// Returned with the values.
        tag: u64,
    },
}

/// The properties of a request that decide how its calls are routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin {
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant, if the request names one.
    pub tenant: Option<usize>,
    /// Its subject, if it names one.
    pub subject: Option<u64>,
    /// Address of the client, if the front knows it.
    pub address: Option<IpAddr>,
}

/// A call to the dependency.
#[derive(Debug)]
pub struct Call {
    /// The request that the call is made for.
    pub id: RequestId,
    /// Serial number of the call.
    pub serial: u64,
    /// The try that the call is made for.
    pub try_id: TryId,
    /// The properties of the request that matter for routing.
    pub origin: Origin,
    /// How long the call may take, in ms.
    pub timeout_ms: f64,
    /// The caller's estimate of the request's work, in ms; `None` if it gave none.
    pub hint_ms: Option<f64>,
    /// The body of the call.
    pub body: Bytes,
    /// Whether the call may be made a second time although the first may have run.
    pub safe: bool,
    /// Whether the call budget allows a second call if the reply is late; the first may still be running then.
    pub repeatable: bool,
    /// Resolves when the call is abandoned.
    pub given_up: oneshot::Receiver<()>,
}

/// The state that a node reports to clients, health checks and operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeStatus {
    /// Whether the node wants traffic.
    pub healthy: bool,
    /// Whether the processor is up and neither a drain, a hand-over, maintenance nor standby keeps clients away. A
    /// process that waits for its turn is ready once its processor is up: a node on standby can be upgraded.
    pub ready: bool,
    /// The place of this process among the processes of the node.
    pub role: Role,
    /// What operators have asked of the node.
    pub operator: OperatorState,
    /// The current load signal, if there is one.
    pub level: Option<f64>,
    /// Connections that are idle for this many ms are closed; `None` means never.
    pub idle_ms: Option<f64>,
}
