//! Membership updates, spread by gossip: each is sent along with other datagrams so often that it reaches all nodes, and no
//! more often.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// What is said of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// It is alive.
    Alive,
    /// It may be dead.
    Suspect,
    /// It is taken for dead.
    Dead,
}

/// A membership update: what one node says of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The incarnation of the node that it is about.
    pub about: u64,
    /// How often that node had spoken up against being suspected when this was said.
    pub life: u32,
    /// What is said of it.
    pub state: State,
    /// The incarnation of the node that found it.
    pub by: u64,
}

impl Update {
    /// Whether this says more than another about the same node: a later life, or in the same one a worse state.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.life, self.state) > (other.life, other.state)
    }
}

/// Updates in one datagram at the most: 8 were too few where a fifth of all datagrams is lost, and updates came too late.
pub const UPDATES_PER_DATAGRAM: usize = 32;
/// Times that an update is sent for each tenfold of nodes.
const SENDS_PER_TENFOLD: u32 = 4;

/// The updates that are still to be sent.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
    /// By whom it is about and, for suspicions, who found it: those of several count together.
    updates: BTreeMap<(u64, u64), (Update, u32)>,
}

/// How often an update is sent among so many nodes.
pub fn sends_needed(nodes: usize) -> u32 {
    SENDS_PER_TENFOLD * (nodes.max(1) as f64 + 1.0).log10().ceil() as u32
}

impl Gossip {
    /// Adds an update; those that it supersedes are not sent any more.
    pub fn add(&mut self, update: Update) {
        self.updates.retain(|(about, _), (old, _)| *about != update.about || !update.supersedes(old));
        let by = if update.state == State::Suspect { update.by } else { 0 };
        self.updates.insert((update.about, by), (update, 0));
    }

    /// The updates of the next datagram: the least sent first, so many at the most.
    pub fn take(&mut self, most: usize, nodes: usize) -> Vec<Update> {
        let mut all: Vec<((u64, u64), u32)> =
            self.updates.iter().map(|(key, (_, sent))| (*key, *sent)).collect();
        all.sort_by_key(|(_, sent)| *sent);
        let limit = sends_needed(nodes);
        let mut taken = Vec::new();
        for (key, _) in all.into_iter().take(most) {
            if let Some((update, sent)) = self.updates.get_mut(&key) {
                taken.push(*update);
                *sent += 1;
                if *sent >= limit {
                    self.updates.remove(&key);
                }
            }
        }
        taken
    }

    /// Drops the updates about all nodes but these.
    pub fn keep(&mut self, belongs: impl Fn(u64) -> bool) {
        self.updates.retain(|(about, _), _| belongs(*about));
    }

    /// Updates that are still to be sent.
    pub fn len(&self) -> usize {
        self.updates.len()
    }

    /// Whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.updates.is_empty()
    }
}
