//! What one process of a node hands to the next: keys with what has come of them.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// One thing that is handed over. All keys come ahead of the turn; behind it come those whose standing has changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum HandoverMessage {
    /// A key, as it stands now.
    Key(HandedOverKey),
    /// From here on the next process serves.
    #[serde(rename = "Turn")]
    StartServing(StartServing),
    /// Behind the turn, what the requests that stay over there take by now.
    #[serde(rename = "Room")]
    Resources(PredecessorResources),
}

/// Room of the node that requests take which stay with the process before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PredecessorResources {
    /// Memory that is booked for them, in kB.
    pub booked_kb: f64,
    /// Those that are on the cores or at calls, from which they come back.
    #[serde(default)]
    pub runs: u32,
    /// Calls in the hands of what lies below, and those that may linger there.
    #[serde(default)]
    pub calls: u32,
}

/// A key that tries of one request bear.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandedOverKey {
    /// The name of its class.
    pub class: String,
    /// The key.
    pub operation: String,
    /// The body of its tries, in short.
    pub digest: u64,
    /// Requests that arrive later than this are no repeats, in Unix ms on the clock of the process that hands it over.
    /// Versions that know of no spans read it; a wall clock that was stepped makes it another time for the next process.
    pub until: f64,
    /// How long from now on requests that arrive are repeats, in ms. Versions that know of no spans do not say.
    #[serde(default)]
    pub left_ms: Option<f64>,
    /// What has come of it.
    #[serde(rename = "standing")]
    pub state: HandedOverState,
}

/// What has come of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum HandedOverState {
    /// Held or running over there.
    Open,
    /// Over, with this result.
    Served(#[serde(with = "crate::base64")] Bytes),
    /// Over, without one.
    Failed,
    /// It never ran: it is anyone's again.
    Free,
}

/// What the next process needs beside the keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartServing {
    /// What bodies are shortened with.
    pub seed: u64,
    /// What the requests that stay over there take.
    #[serde(flatten)]
    pub resources: PredecessorResources,
    /// Whether the node has been told to send clients away, at the door and in the store.
    pub standby: bool,
    /// The same in the store.
    pub maintenance: bool,
}
