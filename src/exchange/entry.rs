//! The state that the exchange keeps for one request, and the timers of the exchange.

use bytes::Bytes;
use tokio::sync::oneshot;
use tokio_util::time::delay_queue;

use super::claims;
use super::idempotency::Key;
use super::inquiry::Inquiry;
use super::types::{Origin, ReplyTo, TryId};
use crate::interface::RequestId;

/// A timer of the exchange.
pub(super) enum Timer {
    /// The decision module requested to be woken.
    Wake,
    /// The query for gauges with this tag timed out.
    Gauges(u64),
    /// A request is nearly due and must be answered now.
    Failsafe(RequestId),
    /// A run that no caller waits for has not ended: the processor is queried about it.
    RunInquiry(RequestId),
    /// The record of a key may be removed.
    KeyExpiry(Key, RequestId),
    /// Classes removed by the settings of this revision are no longer offered.
    RetiredClasses(u64),
    /// The counted anomalies are to be logged.
    AnomalyReport,
    /// The replication of a result timed out.
    ReplicationTimeout(RequestId),
}

/// The phase of a request.
pub(super) enum Phase {
    /// Waits for the decision module.
    Held,
    /// Waits for the result of another try of its key.
    Sharing,
    /// Its key is being claimed at other nodes since `since`; `held_elsewhere` if another node has the claim.
    Claiming { since: f64, held_elsewhere: bool },
    /// The decision module has refused it. Before the refusal is sent, the holders are queried whether another node
    /// has run its key.
    VerifyingRefusal { stay_away_ms: f64, last: bool },
    /// Runs at the processor.
    Running,
    /// Its run waits for a call.
    AwaitingCall(PendingCall),
    /// It has run, and its result is replicated before the answer is sent.
    Replicating(claims::UnreplicatedResult),
}

/// The call that a run waits for.
pub(super) struct PendingCall {
    /// The sequence number of the processor's notice.
    pub(super) notice: u64,
    pub(super) body: Bytes,
    /// Serial number of the call in progress; dropping the sender abandons the call.
    pub(super) placed: Option<(u64, oneshot::Sender<()>)>,
}

/// An open request, or one whose run continues after its answer.
pub(super) struct Entry {
    pub(super) try_id: TryId,
    pub(super) class: usize,
    pub(super) origin: Origin,
    pub(super) key: Option<Key>,
    /// Digest of the body.
    pub(super) digest: u64,
    /// When the request was read, and when it reached its caller's machine as far as the clocks show. Its age may be
    /// overestimated, so the window of repeats counts from `received`: it never ends early.
    pub(super) received: f64,
    pub(super) arrived: f64,
    pub(super) body: Bytes,
    /// Whether its key is claimed at other nodes, and how long that took, in ms.
    pub(super) claimed: bool,
    pub(super) claim_ms: f64,
    /// Whether its key may have run at another node.
    pub(super) may_have_run_elsewhere: bool,
    /// The caller's estimate of the work, in ms, if it gave one.
    pub(super) hint_ms: Option<f64>,
    /// `None` once the request is answered or its caller has gone.
    pub(super) reply: Option<ReplyTo>,
    /// The latest time for its answer, by the exchange's clock, in ms.
    pub(super) due: f64,
    /// When the processor was told to run it, by the exchange's clock, in ms.
    pub(super) began_at: f64,
    /// The latest time at which its caller gives up, by the exchange's clock, in ms.
    pub(super) given_up_by: f64,
    /// The queries about the end of its run, once no caller waits for it.
    pub(super) inquiry: Option<Inquiry>,
    /// The timer that answers it shortly before it is due. `None` once it has expired or was cancelled, because the queue
    /// reuses its keys.
    pub(super) failsafe_timer: Option<delay_queue::Key>,
    pub(super) phase: Phase,
}

impl Entry {
    /// Whether the request runs at the processor.
    pub(super) fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running | Phase::AwaitingCall(_))
    }
}
