//! What a node says of its copies.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::slots::Terms;

/// How many of what was done for this node's own requests, and of what was made good.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Claims that were begun.
    pub claims: u64,
    /// Claims that were given.
    pub granted: u64,
    /// Requests answered with what came of another run.
    pub shared: u64,
    /// Requests failed since it could not be known what came of another run.
    pub doubts: u64,
    /// Claims for which not enough holders were reached.
    pub unreached: u64,
    /// Claims for which the holders had no room.
    pub full: u64,
    /// Ends of runs that were copied.
    pub copied: u64,
    /// Ends of runs that were not, within their window.
    pub uncopied: u64,
    /// Keys fetched from other holders.
    pub fetched: u64,
    /// Their bytes.
    pub fetched_bytes: u64,
}

/// What holders of a zone have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Zone {
    /// Nodes that hold anything.
    pub nodes: usize,
    /// Places of slots that they hold.
    pub places: usize,
    /// Of them, places that are being filled.
    pub moving: usize,
}

/// How one node stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Why nothing can be kept on disk, and no claim be given here, while that is so.
    #[serde(default)]
    pub trouble: Option<String>,
    /// What the fleet keeps to.
    pub terms: Option<Terms>,
    /// Slots that this node holds, or is to.
    pub slots: usize,
    /// Slots of the whole fleet whose holders change.
    pub slots_moving: usize,
    /// Slots that this node does not have everything of yet.
    pub slots_coming: usize,
    /// Keys that it holds.
    pub keys: usize,
    /// Of them, claimed and not over.
    pub claimed: usize,
    /// Over, with a result.
    pub done: usize,
    /// Over without one.
    pub failed: usize,
    /// Bytes that they take.
    pub bytes: usize,
    /// Keys with a holder that is not alive or does not have everything, as this node sees it.
    pub keys_short: usize,
    /// Keys whose holders change.
    pub keys_moving: usize,
    /// Keys claimed by a process that is gone or not heard.
    pub in_doubt: usize,
    /// Claims of this node's own requests that are not over.
    pub under_way: usize,
    /// What was done so far.
    pub counts: Counts,
    /// By zone.
    pub zones: BTreeMap<String, Zone>,
}
