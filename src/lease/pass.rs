//! What a node's session leaves to the node's next process: it goes on under the same numbers, as this one has ended all
//! effects under them before it says so.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::Fence;
use super::own::Own;

/// A duty whose task has ended all of its effects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Carried {
    /// The number under which it goes on.
    pub fence: Fence,
    /// What the next process is to know.
    #[serde(with = "crate::base64")]
    pub state: Bytes,
    /// How much was done under the number: the store counts on from there.
    pub done: u64,
}

/// The session itself. Who has sent it does nothing more for it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Passed {
    /// Which.
    pub session: u64,
    /// The life of the node that it belongs to.
    pub life: u64,
    /// The lease that it was begun with, in ms.
    pub lease_ms: u64,
    /// What it has: of the duties, those alone that have ended.
    pub own: Own,
    /// When it was sent, on the clock of [`super::expiry::now_ms`].
    pub sent_ms: u64,
    /// The duties, which go before it one by one.
    #[serde(skip)]
    pub duties: Vec<Carried>,
}
