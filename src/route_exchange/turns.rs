//! What partners sent and is not merged yet. Each has its turn, so that a large table of one holds up no other; what is
//! tightened or withdrawn goes first.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;

use super::merge::Change;
use super::route::Name;

/// Changes in one step: urgent ones are told to all partners in it, the others merged alone.
const URGENT: usize = 16;
const LATER: usize = 128;

/// Changes of one partner in the order in which they are merged.
#[derive(Clone, Debug)]
pub(super) struct Batch {
    /// What is urgent, and the rest.
    changes: [VecDeque<Change>; 2],
    /// The partner counts as heard once all of it is merged.
    heard: bool,
}

impl Batch {
    /// Puts what is urgent first: a large one takes long, beside the thread that serves.
    pub(super) fn new(changes: Vec<Change>, heard: bool) -> Self {
        let (urgent, later) = changes.into_iter().partition(is_urgent);
        Self { changes: [urgent, later], heard }
    }

    fn is_empty(&self) -> bool {
        self.changes.iter().all(VecDeque::is_empty)
    }
}

/// What waits of all partners.
#[derive(Clone, Debug, Default)]
pub(super) struct Turns {
    all: BTreeMap<Name, Batch>,
    /// Whose turn was last.
    last: Option<Name>,
    heard: BTreeSet<Name>,
}

/// Whether it takes away what some site may have.
fn is_urgent(change: &Change) -> bool {
    let Change { before: Some(before), after } = change else { return false };
    after.as_ref().is_none_or(|after| {
        after.withdrawn && !before.withdrawn
            || !before.route.restrictions.no_looser(&after.route.restrictions)
    })
}

impl Turns {
    /// What one partner sent, of whom nothing waits: what is urgent goes before the rest, and could not go before what came
    /// earlier.
    pub(super) fn put(&mut self, from: &Name, batch: Batch) {
        if batch.is_empty() {
            self.end(from.clone(), batch.heard);
        } else {
            self.all.insert(from.clone(), batch);
        }
    }

    pub(super) fn has(&self, from: &Name) -> bool {
        self.all.contains_key(from)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Those of whom all has been merged since it was asked last.
    pub(super) fn heard(&mut self) -> BTreeSet<Name> {
        std::mem::take(&mut self.heard)
    }

    /// The next changes that are urgent.
    pub(super) fn urgent(&mut self) -> Option<Vec<Change>> {
        self.next(0, URGENT)
    }

    /// The next of the others.
    pub(super) fn later(&mut self) -> Option<Vec<Change>> {
        self.next(1, LATER)
    }

    fn next(&mut self, which: usize, most: usize) -> Option<Vec<Change>> {
        let has = |(name, batch): (&Name, &Batch)| (!batch.changes[which].is_empty()).then(|| name.clone());
        let after = self.last.clone().map_or(Bound::Unbounded, Bound::Excluded);
        let behind = self.all.range((after, Bound::Unbounded)).find_map(has);
        let name = behind.or_else(|| self.all.iter().find_map(has))?;
        let batch = self.all.get_mut(&name)?;
        let some = &mut batch.changes[which];
        let changes = some.drain(..most.min(some.len())).collect();
        if batch.is_empty() {
            let heard = batch.heard;
            self.all.remove(&name);
            self.end(name.clone(), heard);
        }
        self.last = Some(name);
        Some(changes)
    }

    fn end(&mut self, name: Name, heard: bool) {
        if heard {
            self.heard.insert(name);
        }
    }
}
