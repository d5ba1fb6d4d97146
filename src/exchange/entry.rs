//! What the exchange knows of one request, and what it waits for.

use bytes::Bytes;
use tokio::sync::oneshot;
use tokio_util::time::delay_queue;

use super::claims;
use super::idempotency::Key;
use super::inquiry::Inquiry;
use super::types::{Origin, ReplyTo, TryId};
use crate::interface::RequestId;

/// One wait of the exchange.
pub(super) enum Timer {
    /// The decision module asked to be woken.
    Wake,
    /// Gauges are late.
    Gauges(u64),
    /// A request is nearly due.
    Failsafe(RequestId),
    /// A run that nobody waits for has not ended: the processor is asked about it.
    RunInquiry(RequestId),
    /// A kept key has outlived its use.
    KeyExpiry(Key, RequestId),
    /// Classes that were dropped at this retuning are served no more.
    RetiredClasses(u64),
    /// Anomalies are to be logged.
    AnomalyReport,
    /// A result's copies are late.
    ReplicationTimeout(RequestId),
}

/// How far a request has come.
pub(super) enum Phase {
    Held,
    Sharing,
    /// Its key is being claimed since then; perhaps another node has it.
    Claiming {
        since: f64,
        held_elsewhere: bool,
    },
    /// It was to be refused, and the holders are asked whether anybody has run its key. The decision module is done with it.
    VerifyingRefusal {
        stay_away_ms: f64,
        last: bool,
    },
    Running,
    AwaitingCall(PendingCall),
    /// It has run, and its result is copied ahead of its answer.
    Replicating(claims::UnreplicatedResult),
}

/// The call that a run waits for.
pub(super) struct PendingCall {
    pub(super) notice: u64,
    pub(super) body: Bytes,
    /// The number of the call that is out; the sender is dropped to give the call up.
    pub(super) placed: Option<(u64, oneshot::Sender<()>)>,
}

pub(super) struct Entry {
    pub(super) try_id: TryId,
    pub(super) class: usize,
    pub(super) origin: Origin,
    pub(super) key: Option<Key>,
    /// Its body, in short; the body itself goes with the run.
    pub(super) digest: u64,
    /// When it was read, and when it came to the machine, as far as clocks tell. Its age may be overestimated, so a
    /// window that it opens counts from the former: it never ends early.
    pub(super) received: f64,
    pub(super) arrived: f64,
    pub(super) body: Bytes,
    /// Whether its key is claimed at further nodes, and how long that took, in ms.
    pub(super) claimed: bool,
    pub(super) claim_ms: f64,
    /// Whether its key may have run at another node.
    pub(super) may_have_run_elsewhere: bool,
    /// Work to expect, where its caller says.
    pub(super) hint_ms: Option<f64>,
    /// Gone once the request is answered or given up.
    pub(super) reply: Option<ReplyTo>,
    /// When its answer is due at the latest, by the exchange's clock, in ms.
    pub(super) due: f64,
    /// When the processor was told to run it, by the exchange's clock, in ms.
    pub(super) began_at: f64,
    /// When its caller has given it up at the latest, by the exchange's clock, in ms.
    pub(super) given_up_by: f64,
    /// The questions about the end of its run, once nobody waits for that any more.
    pub(super) inquiry: Option<Inquiry>,
    /// The wait until it is nearly due. Gone once that is over or called off: the queue uses its keys again.
    pub(super) failsafe_timer: Option<delay_queue::Key>,
    pub(super) phase: Phase,
}

impl Entry {
    pub(super) fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running | Phase::AwaitingCall(_))
    }
}
