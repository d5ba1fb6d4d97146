//! Numbered lists of what is removed, and how nodes apply them: never one that is older than what they have seen.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::cap::OperatorOverride;
use super::detection::{Kind, Outlier, Scope};

/// Entries of a list at the most.
pub const MAX_ENTRIES: usize = 4096;
/// How long a node that does not hear of the holder keeps to the last list, in ms. Then it acts by its own measure.
pub const LIST_VALIDITY_MS: f64 = 120_000.0;

/// The number of a list: that of the duty under which it was made, and which one of that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Number {
    /// The duty's; no two holders have the same.
    pub fence: u64,
    /// Counts up under it.
    pub sequence: u64,
}

/// How far a server is out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// No new call goes there. Those under way end as they do.
    Out,
    /// Only these nodes call it, now and then.
    Trial(Vec<String>),
    /// It gets this part of its share, in percent.
    Step(u8),
}

/// Why it is listed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Why {
    /// By votes; what they came to.
    Votes(Outlier),
    /// By an operator's word.
    Operator,
}

/// A server that is listed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListEntry {
    /// Which.
    pub server: SocketAddr,
    /// For whom.
    pub scope: Scope,
    /// How far.
    pub stage: Stage,
    /// How often in a row.
    pub times: u32,
    /// Why.
    pub why: Why,
    /// What an operator says of it, beside what votes say.
    pub word: Option<OperatorOverride>,
}

/// A list of removals. It holds as a whole: two are never joined, so that no cap is passed by what two holders removed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// Its number.
    pub number: Number,
    /// Server by server.
    pub entries: Vec<ListEntry>,
}

/// Why a list is not applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ListError {
    /// A later one was seen.
    #[error("list {told:?} is older than {seen:?}")]
    Older {
        /// Its number.
        told: Number,
        /// The highest that was seen.
        seen: Number,
    },
    /// Another one has the same number: one of the two was not made by a holder.
    #[error("another list was told as {0:?}")]
    Twice(Number),
    /// There is too much of it.
    #[error("{0} entries are over {MAX_ENTRIES}")]
    Long(usize),
}

/// How much of its usual share a server gets from a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Share {
    /// This part, from 0 to 1.
    Part(f64),
    /// Trial calls: this node is one of those that make them.
    Trial,
    /// The whole of it, and calls beside that for evidence: more is to be known of it.
    Probed,
}

/// What a server gets from one node, other than its whole share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareAssignment {
    /// How much.
    pub share: Share,
    /// In what trial calls are to find it well.
    pub kind: Kind,
    /// How often in a row it went: trial calls of another time tell nothing of this one.
    pub times: u32,
}

impl ShareAssignment {
    /// What a server gets that is not listed, and that the node is asked to call.
    pub const PROBED: Self = Self { share: Share::Probed, kind: Kind::Failing, times: 0 };
}

/// What all listed servers get from one node.
pub type Shares = BTreeMap<SocketAddr, ShareAssignment>;

/// What a node has of lists.
#[derive(Clone, Debug, Default)]
pub struct Guard {
    /// The highest number that was seen, for ever.
    seen: Number,
    list: Option<List>,
    /// When the holder was last heard to have no later one, in ms.
    heard: f64,
}

impl Guard {
    /// After a start: the highest number that was seen before it.
    pub fn after(seen: Number) -> Self {
        Self { seen, ..Self::default() }
    }

    /// The highest number that was seen, to be kept on disk before a list is applied.
    pub fn seen(&self) -> Number {
        self.seen
    }

    /// Applies a list; whether it is another than the one in force.
    ///
    /// # Errors
    /// It is not the latest, or cannot be.
    pub fn accept(&mut self, now: f64, list: &List) -> Result<bool, ListError> {
        if list.entries.len() > MAX_ENTRIES {
            return Err(ListError::Long(list.entries.len()));
        }
        if list.number < self.seen {
            return Err(ListError::Older { told: list.number, seen: self.seen });
        }
        let known = self.list.as_ref().filter(|known| known.number == list.number);
        if known.is_some_and(|known| known != list) {
            return Err(ListError::Twice(list.number));
        }
        let new = known.is_none();
        self.seen = list.number;
        self.heard = now;
        if new {
            self.list = Some(list.clone());
        }
        Ok(new)
    }

    /// The holder says that its latest list has this number. Whether that is the one here; if not, it is to be asked for.
    pub fn confirmed(&mut self, now: f64, number: Number) -> bool {
        let same = self.list.as_ref().is_some_and(|list| list.number == number);
        if same {
            self.heard = now;
        }
        same
    }

    /// How long ago the holder was last heard to have no later list, in ms; none before the first.
    pub fn heard_ms(&self, now: f64) -> Option<f64> {
        self.list.as_ref().map(|_| now - self.heard)
    }

    /// The list in force; none once the holder was not heard for [`LIST_VALIDITY_MS`].
    pub fn in_force(&self, now: f64) -> Option<&List> {
        self.list.as_ref().filter(|_| now - self.heard <= LIST_VALIDITY_MS)
    }

    /// What a server gets from the node of this name and zone.
    pub fn share(&self, now: f64, server: SocketAddr, node: &str, zone: &str) -> Share {
        let listed = self.in_force(now).into_iter().flat_map(|list| &list.entries);
        let shares = listed
            .filter(|listed| listed.server == server)
            .filter_map(|listed| Some(listed.given(node, zone)?.share));
        shares.min_by(|a, b| a.rank().total_cmp(&b.rank())).unwrap_or(Share::Part(1.0))
    }

    /// What every server gets that is listed for the node of this name and zone; all others get their whole share.
    pub fn shares(&self, now: f64, node: &str, zone: &str) -> Shares {
        let mut shares = Shares::new();
        for listed in self.in_force(now).into_iter().flat_map(|list| &list.entries) {
            let Some(given) = listed.given(node, zone) else { continue };
            let least = shares.entry(listed.server).or_insert(given);
            if given.share.rank() < least.share.rank() {
                *least = given;
            }
        }
        shares
    }
}

impl ListEntry {
    /// What the node of this name and zone gives the server; none where the line is not for it.
    fn given(&self, node: &str, zone: &str) -> Option<ShareAssignment> {
        let touched = match &self.scope {
            Scope::Everywhere => true,
            Scope::Zone(of) => of == zone,
        };
        let share = match &self.stage {
            Stage::Out => Share::Part(0.0),
            Stage::Trial(nodes) if nodes.iter().any(|name| name == node) => Share::Trial,
            Stage::Trial(_) => Share::Part(0.0),
            Stage::Step(percent) => Share::Part(f64::from(*percent).min(100.0) / 100.0),
        };
        let kind = match &self.why {
            Why::Votes(outlier) => outlier.kind,
            Why::Operator => Kind::Failing,
        };
        touched.then_some(ShareAssignment { share, kind, times: self.times })
    }
}

impl Share {
    /// A trial is more than nothing, and less than any part.
    fn rank(&self) -> f64 {
        match self {
            Self::Part(part) if *part == 0.0 => 0.0,
            Self::Trial => 0.001,
            Self::Part(part) => *part,
            Self::Probed => 1.0,
        }
    }
}
