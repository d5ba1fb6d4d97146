//! Messages from one process of a node to the next: idempotency keys with their outcomes, and the capacity that the
//! requests of the old process still use.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// One handover message. All keys are sent before `StartServing`, and after it those whose state has changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum HandoverMessage {
    /// A key with its current state.
    Key(HandedOverKey),
    /// The next process serves from now on.
    #[serde(rename = "Turn")]
    StartServing(StartServing),
    /// Sent after `StartServing`: the resources that the requests of the old process use now.
    #[serde(rename = "Room")]
    Resources(PredecessorResources),
}

/// Resources of the node that are used by requests which finish in the previous process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PredecessorResources {
    /// Memory reserved for them, in kB.
    pub booked_kb: f64,
    /// Requests that run on the cores, or wait for a call after which they use the cores again.
    #[serde(default)]
    pub runs: u32,
    /// Calls outstanding at the dependency, and abandoned ones that may still be running there.
    #[serde(default)]
    pub calls: u32,
}

/// An idempotency key, shared by all tries of one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandedOverKey {
    /// Name of its class.
    pub class: String,
    /// The key as its callers send it.
    pub operation: String,
    /// Digest of the body, which all tries under the key share.
    pub digest: u64,
    /// End of the repeat window, in Unix ms on the sender's clock: requests that arrive later are not repeats. Read
    /// only by versions without `left_ms`; if the wall clock is stepped, it is a different time for the next process.
    pub until: f64,
    /// Time left in the repeat window, in ms. Older versions do not send it.
    #[serde(default)]
    pub left_ms: Option<f64>,
    /// What is known of its run.
    #[serde(rename = "standing")]
    pub state: HandedOverState,
}

/// What the previous process knows of the run of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum HandedOverState {
    /// Held or running in the previous process.
    Open,
    /// Finished with this result.
    Served(#[serde(with = "crate::base64")] Bytes),
    /// Finished without a result.
    Failed,
    /// It never ran: any request may use the key.
    Free,
}

/// What the next process needs besides the keys to start serving.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartServing {
    /// Seed of the body digests: the digests of both processes must agree.
    pub seed: u64,
    /// Resources that the requests of the old process still use.
    #[serde(flatten)]
    pub resources: PredecessorResources,
    /// Whether standby was set at the admin interface.
    pub standby: bool,
    /// Whether maintenance was set in the store.
    pub maintenance: bool,
}
