//! What client side and server side hand to the exchange and get from it. No socket and no wire is named here.

use std::fmt;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};
use tokio::time::Instant;

use super::handed::HandoverMessage;
use crate::config::Site;
use crate::interface::{Outcome, RequestId};
use crate::replication::News;

/// The name of one try of a request, as its caller and the processor know it: 16 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct TryId([u8; 16]);

impl TryId {
    /// Takes exactly 16 hexadecimal digits.
    pub fn parse(text: &[u8]) -> Option<Self> {
        let digits: [u8; 16] = text.try_into().ok()?;
        digits.iter().all(u8::is_ascii_hexdigit).then_some(Self(digits))
    }

    /// A name for a try whose caller gives none.
    pub fn random() -> Self {
        let mut digits = [0; 16];
        digits.fill_with(|| b"0123456789abcdef"[fastrand::usize(..16)]);
        Self(digits)
    }

    /// The digits.
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

/// A request as a front has read it.
#[derive(Debug)]
pub struct IncomingRequest {
    /// The name of this try.
    pub try_id: TryId,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Whether it names that tenant itself: one that names none counts as the first's.
    pub names_tenant: bool,
    /// Where it comes from, as far as its front knows.
    pub address: Option<IpAddr>,
    /// In keyed classes: the same for all tries of one request.
    pub op_key: Option<Arc<str>>,
    /// What a read is about.
    pub subject: Option<u64>,
    /// Whether it is marked as a further try.
    pub is_retry: bool,
    /// Rough expected work, in ms.
    pub hint_ms: Option<f64>,
    /// Memory while held, in kB.
    pub held_kb: f64,
    /// When it was read.
    pub received: Instant,
    /// How long before that it came to the machine.
    pub age: Duration,
    /// How long after it came to the machine its caller gives up; the class's limit where it is not told.
    pub caller_timeout: Option<Duration>,
    /// The body, as it came.
    pub body: Bytes,
}

/// The one final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Served, with the result of the run.
    Served(Bytes),
    /// Turned away; this try never ran.
    Refused {
        /// How long to stay away, in ms; 0 for no advice.
        stay_away_ms: f64,
        /// Whether no other node is to be tried.
        last: bool,
    },
    /// Failed, with no promise that it never ran.
    Failed,
}

impl Answer {
    /// Its kind in a word, without what it holds.
    pub(super) fn kind(&self) -> &'static str {
        match self {
            Self::Served(_) => "served",
            Self::Refused { .. } => "refused",
            Self::Failed => "failed",
        }
    }
}

/// An answer on its way to the client that is owed it.
#[derive(Debug)]
pub struct Reply {
    /// The client's own name for the request.
    pub token: u64,
    /// The answer.
    pub answer: Answer,
    /// The free value that goes with it.
    pub level: Option<f64>,
    /// The request's place on its connection, free again once this is written.
    pub slot: Option<OwnedSemaphorePermit>,
}

/// Where the answer to a request goes. It can be used once.
#[derive(Debug)]
pub struct ReplyTo {
    /// The client's queue.
    pub queue: mpsc::UnboundedSender<Reply>,
    /// The client's own name for the request.
    pub token: u64,
    /// The request's place on its connection.
    pub slot: Option<OwnedSemaphorePermit>,
}

impl ReplyTo {
    pub(super) fn send(self, answer: Answer, level: Option<f64>) {
        // A client that has gone has no use for its answer.
        let _ = self.queue.send(Reply { token: self.token, answer, level, slot: self.slot });
    }
}

/// What should not happen, and is counted for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Anomaly {
    /// Answered by the failsafe, as the decision module was silent until it was nearly due.
    Failsafe,
    /// A second run within the window that the table of keys has stopped.
    DuplicateRunPrevented,
    /// Turned away as the table of keys is full.
    IdempotencyTableFull,
    /// Failed unread, as its class or one of its fields makes no sense.
    InvalidRequest,
    /// A command that the processor has not carried out.
    RejectedByProcessor,
    /// Failed, as its name is that of an open request or its key that of another body.
    IdentifierConflict,
    /// Failed, as it was read so late that a run of its key may be forgotten.
    ReceivedTooLate,
    /// Failed, as its key came to light only after all keys were handed to the next process.
    KeysHandedOver,
    /// A connection that was closed for what came on it.
    ProtocolError,
    /// A connection that was closed as nothing whole came on it.
    IncompleteInput,
    /// A connection that was closed as its answers were not read.
    AnswersNotRead,
    /// A connection that was closed unread, as there was no room for it.
    ConnectionLimit,
    /// A connection that could not be accepted.
    AcceptFailed,
    /// A run that goes on long after its caller was answered or left.
    RunOutlastsCaller,
    /// A run that the processor knows nothing of any more, as it says when it is asked.
    RunUnknownToProcessor,
    /// A question about servers from an address that may not ask.
    StatsQueryForbidden,
    /// Refused, as the holders of its key could not be reached.
    HoldersUnreachable,
    /// Refused, as the holders of its key have no room.
    HoldersFull,
    /// Run under this node's own table alone, as the holders of its key could not be reached.
    RunWithoutClaim,
    /// Failed, as it cannot be known whether another node has run it.
    MayHaveRunElsewhere,
    /// Failed, as its result could not be copied in time.
    ResultNotReplicated,
    /// Served, though its result could not be copied in time.
    ServedBeforeReplication,
}

impl fmt::Display for Anomaly {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Failsafe => "requests answered by the failsafe",
            Self::DuplicateRunPrevented => "requests repeated a run and were not run",
            Self::IdempotencyTableFull => "requests turned away with the table of keys full",
            Self::InvalidRequest => "requests failed unread",
            Self::RejectedByProcessor => "requests rejected by the processor",
            Self::IdentifierConflict => "requests failed for a name or key that is another's",
            Self::ReceivedTooLate => "requests failed as they were read after their keys may be forgotten",
            Self::KeysHandedOver => "requests failed as the next process has all keys",
            Self::ProtocolError => "connections closed for what came on them",
            Self::IncompleteInput => "connections closed as nothing whole came on them",
            Self::AnswersNotRead => "connections closed as their answers were not read",
            Self::ConnectionLimit => "connections closed unread for lack of room",
            Self::AcceptFailed => "connections could not be accepted",
            Self::RunOutlastsCaller => "runs that go on long after their callers were answered or left",
            Self::RunUnknownToProcessor => "runs that the processor had forgotten the end of",
            Self::StatsQueryForbidden => "questions about servers from addresses that may not ask",
            Self::HoldersUnreachable => "requests refused as the holders of their keys were not reached",
            Self::HoldersFull => "requests refused as the holders of their keys have no room",
            Self::RunWithoutClaim => "requests run without a claim, under this node's own table alone",
            Self::MayHaveRunElsewhere => "requests failed as another node may have run them",
            Self::ResultNotReplicated => "requests failed as their results were not copied in time",
            Self::ServedBeforeReplication => "requests served with their results not copied in time",
        })
    }
}

/// What happens to a node.
#[derive(Debug)]
pub enum Input {
    /// The processor is up; nothing is decided before.
    ProcessorUp {
        /// Whether it started cold.
        cold: bool,
        /// How long ago it started, in ms.
        age_ms: f64,
    },
    /// A client asks.
    Submit(RequestId, IncomingRequest, ReplyTo),
    /// A client waits no longer.
    Abandon(RequestId),
    /// A run is over.
    RunEnded {
        /// Whose run.
        try_id: TryId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took, in ms.
        took_ms: f64,
        /// The result, where it went well.
        result: Bytes,
    },
    /// A run waits for a call to what lies below.
    RunAwaitsCall {
        /// Whose run.
        try_id: TryId,
        /// The processor's number for this wait.
        notice: u64,
        /// The body of the call.
        body: Bytes,
    },
    /// A call has ended.
    CallEnded {
        /// Whose call.
        id: RequestId,
        /// Which of its calls.
        serial: u64,
        /// How it ended.
        outcome: Outcome,
        /// How long it took, in ms.
        took_ms: f64,
        /// The reply, where it went well.
        reply: Bytes,
    },
    /// The call of a request was given up and made a second time.
    CallRepeated(RequestId),
    /// The gauges that were asked for under this tag.
    Gauges {
        /// The tag of the question.
        tag: u64,
        /// The values, in the order of the settings.
        values: Vec<f32>,
    },
    /// Something has gone wrong with a request that the exchange does not see itself.
    Anomaly(Anomaly),
    /// What is heard of a claim, or of the copies of a result.
    Replication(RequestId, News),
    /// A further process of this node is ready: it is handed the keys, and told of those that change.
    HandOver(mpsc::UnboundedSender<HandoverMessage>),
    /// The process before hands this over.
    FromPredecessor(HandoverMessage),
    /// The process before has ended: what it had in hand, and has not told the end of, may have run.
    PredecessorEnded,
    /// Resolves once nothing is open any more and nothing runs.
    Finish(oneshot::Sender<()>),
    /// New settings are in force.
    ApplySettings(Box<Site>),
    /// Whether the operator wants no traffic sent here, as the store has it.
    Maintenance(bool),
    /// The same, as told at the operators' door.
    Standby(bool),
    /// The notice to leave: the process is stopped after this many ms.
    Drain {
        /// Time until the stop, in ms.
        stop_in_ms: f64,
    },
}

/// What the processor is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Run a request.
    Run {
        /// Which.
        try_id: TryId,
        /// Index of its class.
        class: usize,
        /// Its body.
        body: Bytes,
    },
    /// The reply to the call that a run waits for.
    CallReply {
        /// Whose run.
        try_id: TryId,
        /// The reply.
        body: Bytes,
    },
    /// Go on without the call.
    SkipCall {
        /// Whose run.
        try_id: TryId,
        /// The processor's number for the wait.
        notice: u64,
    },
    /// Ask for the gauges.
    ReadGauges {
        /// Comes back with them.
        tag: u64,
    },
}

/// What a request is, as far as the way of its calls goes by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin {
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant, where it names one.
    pub tenant: Option<usize>,
    /// What it is about, where it says.
    pub subject: Option<u64>,
    /// Where it comes from, as far as its front knows.
    pub address: Option<IpAddr>,
}

/// A call to what lies below.
#[derive(Debug)]
pub struct Call {
    /// The request that it is made for.
    pub id: RequestId,
    /// Which of its calls.
    pub serial: u64,
    /// The try that it is made for.
    pub try_id: TryId,
    /// What the request is.
    pub origin: Origin,
    /// How long it may take, in ms.
    pub timeout_ms: f64,
    /// The work to expect, as the request was hinted; absent where it was not.
    pub hint_ms: Option<f64>,
    /// The body.
    pub body: Bytes,
    /// Whether it may be made a second time though the first may have run.
    pub safe: bool,
    /// Whether there is room for a second one beside it, should its reply be late: the first may linger.
    pub repeatable: bool,
    /// Resolves when the call is given up.
    pub given_up: oneshot::Receiver<()>,
}

/// What a node shows of itself between requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeStatus {
    /// Whether it wants traffic.
    pub healthy: bool,
    /// Whether it is up and nobody has told it to send clients away.
    pub ready: bool,
    /// Whether it has been told so at the operators' door.
    pub standby: bool,
    /// The free value, once there is one.
    pub level: Option<f64>,
    /// Connections idle for this many ms are closed, where that is wished.
    pub idle_ms: Option<f64>,
}
